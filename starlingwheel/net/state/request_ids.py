"""The ids of requests that may have run, for one process, which goes on without their log if that fails."""

from __future__ import annotations

from collections.abc import Callable

from .executed_ids import ExecutedIds


class RequestIds:
    """Claims and releases ids, in the log of all processes of the sidecar once it is shared."""

    def __init__(self, log: Callable[..., None]) -> None:
        """Know no id; `log` is called with an event's name and its fields."""
        self.log = log
        self.executed = ExecutedIds(None)

    def share(self, folder: str) -> None:
        """Share the ids with the other processes of this sidecar, by a log in `folder`."""
        try:
            self.executed = ExecutedIds(folder)
        except OSError as error:
            self.log("ids.failed", error=str(error))

    def claim(self, request_id: bytes) -> bool:
        """Reserve an id for a request that must not run twice; return False if it may have run already."""
        try:
            return self.executed.claim(request_id)
        except OSError as error:
            self._stop_sharing(error)
            return self.executed.claim(request_id)

    def release(self, request_id: bytes) -> None:
        """Let an id be used again, as its request has not run or may be sent again without harm."""
        try:
            self.executed.release(request_id)
        except OSError as error:
            self._stop_sharing(error)

    def compact(self) -> None:
        """Keep the log short; to be called while no other process of the sidecar is running."""
        try:
            self.executed.compact()
        except OSError as error:
            self._stop_sharing(error)

    def _stop_sharing(self, error: OSError) -> None:
        """Go on without the log; the ids that are known stay."""
        self.log("ids.failed", error=str(error))
        self.executed.close()
