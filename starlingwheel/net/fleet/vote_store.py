"""The votes file, which survives a restart: the latest decision, and the vote that is still binding."""

from __future__ import annotations

import contextlib
import os
import threading
from collections.abc import Callable
from pathlib import Path

import msgspec

from ...fleet.policy.document import digest
from ...fleet.policy.host import StoredPolicy

decoder = msgspec.json.Decoder(StoredPolicy)


class VoteStore:
    """Reads the votes file at the start, and writes it on a separate thread: a slow disk blocks no actor."""

    def __init__(self, directory: str, fleet: str, name: str, log: Callable[..., None]) -> None:
        """`directory`: of the file; empty: nothing is stored. `name`: of this member."""
        self.path = Path(directory, f"starlingwheel-{fleet}-{name}.json") if directory else None
        self.fleet, self.log = fleet, log
        self.data = b""  # the content to be written
        self.pending = threading.Event()
        self.written: bytes | None = None  # the content of the file
        self.error = ""
        if self.path is not None:
            threading.Thread(target=self._run, args=(self.path,), daemon=True).start()

    def read(self) -> StoredPolicy:
        """Return the content of the file. An unusable file is logged and counts as missing."""
        if self.path is None:
            return StoredPolicy(self.fleet)
        try:
            stored = decoder.decode(self.path.read_bytes())
            self._check(stored)
        except FileNotFoundError:
            return StoredPolicy(self.fleet)
        except (OSError, ValueError, msgspec.DecodeError) as error:
            self.log("policy.unreadable", error=str(error))
            return StoredPolicy(self.fleet)
        return stored

    def _check(self, stored: StoredPolicy) -> None:
        if stored.fleet != self.fleet:
            raise ValueError(f"the file belongs to the fleet {stored.fleet!r}")
        if stored.decision is None:
            return
        for policy in (stored.decision.policy, stored.decision.previous):
            if policy.body is not None and digest(policy.body) != policy.digest:
                raise ValueError("the digest does not match the policy")

    def write(self, stored: StoredPolicy) -> None:
        """Begin to write the content of the file; `state` is empty once that is done."""
        if self.path is not None:
            self.data = msgspec.json.encode(stored)
            self.pending.set()

    @property
    def state(self) -> str | None:
        """Empty if the latest content is on disk, None if not yet, otherwise why it could not be written."""
        if self.path is None or self.written == self.data:
            return ""
        return self.error or None

    def _run(self, path: Path) -> None:
        while True:
            self.pending.wait()
            self.pending.clear()
            data = self.data
            if data == self.written:
                continue
            try:
                _replace(path, data)
                self.written, self.error = data, ""
            except OSError as error:
                self.error = error.strerror or "the file could not be written"


def _replace(path: Path, data: bytes) -> None:
    """Replace the file atomically. Raises `OSError`, and then leaves the file unchanged."""
    temporary = path.with_suffix(f".{os.getpid()}")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())  # the vote must survive a crash of the machine, not only of the process
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
