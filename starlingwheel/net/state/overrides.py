"""Who is out: the upstreams that operators have taken out, joined with what discovery lists.

The one owner of that. It is kept in a file of `$TMPDIR`, which a process and the one that replaces it share.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

OVERRIDES_FILE = "starlingwheel-operators.json"
MAX_KNOWN_IDS = 4096  # ids ever listed that are remembered, the latest
RESTORED_RETENTION = 600.0  # seconds for which it is remembered that one was put back
DRAINING_STATE = "leaving"  # the state that says it, in discovery's word


class OverridesLockedError(Exception):
    """Another process is writing; to be tried again in a moment."""


class StoredOverrides(msgspec.Struct):
    """What operators have said, as the file has it."""

    out: dict[str, float | None] = {}  # with the start that discovery told when it was taken out
    back: dict[str, tuple[float | None, float]] = {}  # that start, and when it was put back
    known: list[str] = []
    lameduck: bool = False


class EndpointOverrides:
    def __init__(self, folder: str | None, now: Callable[[], float], log: Callable[..., None]) -> None:
        self.now, self.log = now, log
        self.path = Path(folder, OVERRIDES_FILE) if folder else None
        self.kept = StoredOverrides()
        self.entries: dict[str, Any] = {}  # as discovery lists them
        self.known: dict[str, None] = {}
        self.seen: tuple[int, int] | None = None
        self.unwritten = False
        self.read()

    # What discovery lists.

    def listed(self, whole: bool, entries: Iterable[Any]) -> list[Any]:
        """The entries as they count for this sidecar."""
        if whole:
            self.entries.clear()
        joined = []
        for entry in entries:
            if entry.state == "left":
                self.entries.pop(entry.id, None)
            else:
                self.entries[entry.id] = entry
                if entry.id not in self.known:
                    self._know([entry.id])
                    self.unwritten = True
            joined.append(self.joined(entry))
        return joined

    def current(self, name: str) -> Any | None:
        """What counts of an upstream by the last word that has come, read by the module yet or not."""
        entry = self.entries.get(name)
        return None if entry is None else self.joined(entry)

    def joined(self, entry: Any) -> Any:
        if entry.state == "left":
            return entry
        if entry.id in self.kept.out:
            return msgspec.structs.replace(entry, state=DRAINING_STATE)
        if entry.id in self.kept.back:
            before, at = self.kept.back[entry.id]
            if entry.started_ms == before:
                # Guards against taking a restarted upstream for warm while discovery does not say so yet.
                return msgspec.structs.replace(entry, started_ms=at)
        return entry

    def _know(self, ids: Iterable[str]) -> None:
        for one in ids:
            self.known[one] = None
        if len(self.known) > MAX_KNOWN_IDS:
            # Guards against growing without end where ids are ever new; what is listed now stays.
            kept = [one for one in self.known if one in self.entries or one in self.kept.out]
            late = [one for one in self.known if one not in self.entries and one not in self.kept.out]
            self.known = dict.fromkeys([*late[-MAX_KNOWN_IDS // 2 :], *kept])

    # What operators say.

    def take_out(self, name: str) -> list[Any] | None:
        """The entries that changed by it; None: nobody ever listed it."""
        entry = self.entries.get(name)
        return self._say(name, lambda kept: self._taken(kept, name, entry))

    def put_back(self, name: str) -> list[Any] | None:
        return self._say(name, lambda kept: self._put(kept, name))

    def lameduck(self, on: bool) -> None:
        if on != self.kept.lameduck:
            self._change(lambda kept: setattr(kept, "lameduck", on))

    def _taken(self, kept: StoredOverrides, name: str, entry: Any) -> None:
        if name not in kept.out:
            kept.out[name] = entry.started_ms if entry else None
        kept.back.pop(name, None)

    def _put(self, kept: StoredOverrides, name: str) -> None:
        if name in kept.out:
            kept.back[name] = kept.out.pop(name), round(self.now() * 1000)

    def _say(self, name: str, change: Callable[[StoredOverrides], None]) -> list[Any] | None:
        if name not in self.known:
            self.read()
        return self._change(change) if name in self.known else None

    def _change(self, change: Callable[[StoredOverrides], None]) -> list[Any]:
        """Raises `Busy`, or OSError where it can't be written: then nothing has changed."""
        with self._lock():
            kept = msgspec.convert(msgspec.to_builtins(self._stored()), StoredOverrides)
            change(kept)
            # Guards against ids that have left for good being kept: by then none of them is cold.
            oldest = (self.now() - RESTORED_RETENTION) * 1000
            kept.back = {n: back for n, back in kept.back.items() if back[1] > oldest}
            self._write(kept)
        return self._adopt(kept)

    def _adopt(self, kept: StoredOverrides) -> list[Any]:
        before = {name: self.joined(entry) for name, entry in self.entries.items()}
        self.kept = kept
        self._know(n for n in kept.known if n not in self.known)
        now = {name: self.joined(entry) for name, entry in self.entries.items()}
        return [entry for name, entry in now.items() if entry != before[name]]

    # The file.

    def read(self) -> list[Any]:
        """Take over what another process of this sidecar has written; the entries that changed by it."""
        if self.path is None:
            return []
        try:
            stat = os.stat(self.path)
        except OSError:
            return []
        if (stat.st_ino, stat.st_mtime_ns) == self.seen:
            return []
        self.seen = (stat.st_ino, stat.st_mtime_ns)
        return self._adopt(self._stored())

    def keep(self) -> None:
        """Write the ids that have come since, for the process that replaces this one."""
        if self.unwritten:
            with contextlib.suppress(OverridesLockedError, OSError):
                self._change(lambda kept: None)

    def _stored(self) -> StoredOverrides:
        if self.path is None or not self.path.exists():
            return self.kept
        try:
            return msgspec.json.decode(self.path.read_bytes(), type=StoredOverrides)
        except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
            # Guards against a torn file stopping a start or a call: what this process knows stays in force.
            self.log("operators.unreadable", error=str(error))
            return self.kept

    def _write(self, kept: StoredOverrides) -> None:
        self._know(n for n in kept.known if n not in self.known)
        kept.known = list(self.known)
        if self.path is not None:
            beside = self.path.with_suffix(f".{os.getpid()}")
            try:
                beside.write_bytes(msgspec.json.encode(kept))
                os.replace(beside, self.path)
            except OSError:
                with contextlib.suppress(OSError):
                    beside.unlink()
                raise
            stat = os.stat(self.path)
            self.seen = (stat.st_ino, stat.st_mtime_ns)
        self.unwritten = False

    @contextlib.contextmanager
    def _lock(self) -> Any:
        """Guards against two processes each writing over what the other has just written."""
        if self.path is None:
            yield
            return
        with open(self.path.with_suffix(".lock"), "wb") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError as error:
                raise OverridesLockedError from error
            yield
