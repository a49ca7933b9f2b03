"""Operators' overrides: endpoints that they have drained, joined with what discovery lists.

The overrides are stored in a file of `$TMPDIR` that a process shares with the one that replaces it.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from ..discovery.messages import DiscoveredEndpoint

OVERRIDES_FILE = "starlingwheel-operators.json"
MAX_KNOWN_IDS = 4096  # endpoint ids that are remembered, the latest
RESTORED_RETENTION = 600.0  # seconds for which it is remembered that an endpoint was restored
DRAINING_STATE = "leaving"  # states as discovery names them
LEFT_STATE = "left"


class OverridesLockedError(Exception):
    """Another process is writing the file; to be tried again in a moment."""


class StoredOverrides(msgspec.Struct):
    """The file's content; its JSON has these names."""

    out: dict[str, float | None] = {}  # drained endpoints by id, each with the start that discovery gave then
    back: dict[str, tuple[float | None, float]] = {}  # restored ones: that start, and when restored, in ms
    known: list[str] = []  # ids that were ever listed
    lameduck: bool = False  # the sidecar itself drains


class OverridesFile:
    """Reads and writes the file; without a path the overrides last as long as the process."""

    def __init__(self, path: Path | None, log: Callable[..., None]) -> None:
        """`log`: called with an event's name and its fields."""
        self.path = path
        self.log = log
        self._seen: tuple[int, int] | None = None  # inode and time of the version read or written last

    def changed(self) -> bool:
        """Return whether another process has written the file since it was read or written here."""
        if self.path is None:
            return False
        try:
            stat = os.stat(self.path)
        except OSError:
            return False
        version = (stat.st_ino, stat.st_mtime_ns)
        if version == self._seen:
            return False
        self._seen = version
        return True

    def read(self, current: StoredOverrides) -> StoredOverrides:
        """Return what is stored; `current` where nothing is, or where the file can't be read."""
        if self.path is None or not self.path.exists():
            return current
        try:
            return msgspec.json.decode(self.path.read_bytes(), type=StoredOverrides)
        except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
            # A torn file stops neither a start nor a call of an operator.
            self.log("operators.unreadable", error=str(error))
            return current

    def write(self, overrides: StoredOverrides) -> None:
        """Replace the file in one step. Raises OSError; the file is unchanged then."""
        if self.path is None:
            return
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_bytes(msgspec.json.encode(overrides))
            os.replace(temporary, self.path)
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise
        stat = os.stat(self.path)
        self._seen = (stat.st_ino, stat.st_mtime_ns)

    @contextlib.contextmanager
    def lock(self) -> Iterator[None]:
        """Keep other processes from writing. Raises `OverridesLockedError` if one of them does."""
        if self.path is None:
            yield
            return
        with open(self.path.with_suffix(".lock"), "wb") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError as error:
                raise OverridesLockedError from error
            yield


class EndpointOverrides:
    """The endpoint list as it counts for this sidecar: as discovery gives it, changed by operators."""

    def __init__(self, folder: str | None, now: Callable[[], float], log: Callable[..., None]) -> None:
        """Read what is stored. `folder`: of the file; None: the overrides end with the process."""
        self.now = now
        self.file = OverridesFile(Path(folder, OVERRIDES_FILE) if folder else None, log)
        self.kept = StoredOverrides()
        self.entries: dict[str, DiscoveredEndpoint] = {}  # as discovery lists them, by id
        self.known: dict[str, None] = {}  # ids that were ever listed, the latest last
        self.unwritten = False  # `known` has ids that are not stored
        self.read()

    # What discovery lists.

    def listed(self, whole: bool, entries: Iterable[DiscoveredEndpoint]) -> list[DiscoveredEndpoint]:
        """Take over a snapshot (`whole`) or a delta; return its endpoints as they count here."""
        if whole:
            self.entries.clear()
        joined = []
        for entry in entries:
            if entry.state == LEFT_STATE:
                self.entries.pop(entry.id, None)
            else:
                self.entries[entry.id] = entry
                if entry.id not in self.known:
                    self._remember_ids([entry.id])
                    self.unwritten = True
            joined.append(self.joined(entry))
        return joined

    def current(self, endpoint_id: str) -> DiscoveredEndpoint | None:
        """Return an endpoint by the latest message, handled by the coordinator or not; None: not listed."""
        entry = self.entries.get(endpoint_id)
        return None if entry is None else self.joined(entry)

    def joined(self, entry: DiscoveredEndpoint) -> DiscoveredEndpoint:
        """Return an endpoint of discovery's as it counts here."""
        if entry.state == LEFT_STATE:
            return entry
        if entry.id in self.kept.out:
            return msgspec.structs.replace(entry, state=DRAINING_STATE)
        if entry.id in self.kept.back:
            start_when_drained, restored_at = self.kept.back[entry.id]
            if entry.started_ms == start_when_drained:
                # It may have been restarted meanwhile, and discovery not have heard of it: it starts slowly.
                return msgspec.structs.replace(entry, started_ms=restored_at)
        return entry

    def _remember_ids(self, ids: Iterable[str]) -> None:
        for endpoint_id in ids:
            self.known[endpoint_id] = None
        if len(self.known) <= MAX_KNOWN_IDS:
            return
        in_use = {one for one in self.known if one in self.entries or one in self.kept.out}
        others = [one for one in self.known if one not in in_use]
        kept = [one for one in self.known if one in in_use]
        self.known = dict.fromkeys([*others[-MAX_KNOWN_IDS // 2 :], *kept])

    # What operators ask for. Each returns the endpoints that changed by it, or None for an id never listed,
    # and raises `OverridesLockedError`, or OSError where the file can't be written: nothing has changed then.

    def take_out(self, endpoint_id: str) -> list[DiscoveredEndpoint] | None:
        """Drain an endpoint."""
        entry = self.entries.get(endpoint_id)

        def drain(overrides: StoredOverrides) -> None:
            if endpoint_id not in overrides.out:
                overrides.out[endpoint_id] = entry.started_ms if entry else None
            overrides.back.pop(endpoint_id, None)

        return self._change_endpoint(endpoint_id, drain)

    def put_back(self, endpoint_id: str) -> list[DiscoveredEndpoint] | None:
        """Restore an endpoint that was drained."""

        def restore(overrides: StoredOverrides) -> None:
            if endpoint_id in overrides.out:
                overrides.back[endpoint_id] = overrides.out.pop(endpoint_id), round(self.now() * 1000)

        return self._change_endpoint(endpoint_id, restore)

    def lameduck(self, on: bool) -> None:
        """Drain the sidecar itself, or end that."""

        def set_draining(overrides: StoredOverrides) -> None:
            overrides.lameduck = on

        if on != self.kept.lameduck:
            self._change(set_draining)

    def _change_endpoint(
        self, endpoint_id: str, change: Callable[[StoredOverrides], None]
    ) -> list[DiscoveredEndpoint] | None:
        if endpoint_id not in self.known:
            self.read()
        return self._change(change) if endpoint_id in self.known else None

    def _change(self, change: Callable[[StoredOverrides], None]) -> list[DiscoveredEndpoint]:
        with self.file.lock():
            overrides = msgspec.convert(msgspec.to_builtins(self.file.read(self.kept)), StoredOverrides)
            change(overrides)
            # By then a restored endpoint has warmed up, and ids that are gone for good are forgotten.
            oldest = (self.now() - RESTORED_RETENTION) * 1000
            overrides.back = {one: back for one, back in overrides.back.items() if back[1] > oldest}
            self._remember_ids(one for one in overrides.known if one not in self.known)
            overrides.known = list(self.known)
            self.file.write(overrides)
            self.unwritten = False
        return self._adopt(overrides)

    def _adopt(self, overrides: StoredOverrides) -> list[DiscoveredEndpoint]:
        before = {endpoint_id: self.joined(entry) for endpoint_id, entry in self.entries.items()}
        self.kept = overrides
        self._remember_ids(one for one in overrides.known if one not in self.known)
        after = {endpoint_id: self.joined(entry) for endpoint_id, entry in self.entries.items()}
        return [entry for endpoint_id, entry in after.items() if entry != before[endpoint_id]]

    # What other processes of this sidecar have stored.

    def read(self) -> list[DiscoveredEndpoint]:
        """Take over what another process has written; return the endpoints that changed by it."""
        return self._adopt(self.file.read(self.kept)) if self.file.changed() else []

    def keep(self) -> None:
        """Store the ids that were listed since, for the process that replaces this one."""
        if self.unwritten:
            with contextlib.suppress(OverridesLockedError, OSError):
                self._change(lambda overrides: None)
