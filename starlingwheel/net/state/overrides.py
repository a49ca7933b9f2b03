"""Operators' overrides of the endpoint list: drained endpoints, merged with what discovery lists.

The overrides are stored in a file in `$TMPDIR` that a process shares with the one that replaces it.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from ..discovery.messages import DRAINING_STATE, LEFT_STATE, DiscoveredEndpoint
from .endpoint_addresses import EndpointAddresses
from .known_ids import KnownIds

OVERRIDES_FILE = "starlingwheel-operators.json"
RESTORED_RETENTION = 600.0  # seconds for which the restoring of an endpoint is remembered


class OverridesLockedError(Exception):
    """Another process is writing the file; the caller should retry shortly."""


class StoredOverrides(msgspec.Struct):
    """The content of the file; the names given to the fields are the keys of its JSON."""

    # Drained endpoints by id, each with the start time that discovery listed when it was drained.
    drained: dict[str, float | None] = msgspec.field(default_factory=dict, name="out")
    # Restored endpoints by id: the start time listed when it was drained, and the time of the restoring, in
    # milliseconds.
    restored: dict[str, tuple[float | None, float]] = msgspec.field(default_factory=dict, name="back")
    known_ids: list[str] = msgspec.field(default_factory=list, name="known")  # ever listed
    sidecar_draining: bool = msgspec.field(default=False, name="lameduck")


class OverridesFile:
    """Reads and writes the file; without a path the overrides are lost when the process ends."""

    def __init__(self, path: Path | None, log: Callable[..., None]) -> None:
        """Prepare access to the file; `log` is called with an event's name and its fields."""
        self.path = path
        self.log = log
        self._seen: tuple[int, int] | None = None  # inode and mtime of the version read or written last

    def changed(self) -> bool:
        """Return whether another process has written the file since this process read or wrote it."""
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
        """Return the stored overrides, or `current` if there are none or the file can't be read."""
        if self.path is None or not self.path.exists():
            return current
        try:
            return msgspec.json.decode(self.path.read_bytes(), type=StoredOverrides)
        except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
            # A damaged file must not prevent a start or an admin call.
            self.log("operators.unreadable", error=str(error))
            return current

    def write(self, overrides: StoredOverrides) -> None:
        """Replace the file atomically; raises OSError, which leaves it unchanged."""
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
        """Lock out other writers; raises `OverridesLockedError` if another process holds the lock."""
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
    """The effective endpoint list of this sidecar: what discovery lists, with the overrides applied."""

    def __init__(self, folder: str | None, now: Callable[[], float], log: Callable[..., None]) -> None:
        """Read the stored overrides from `folder`; with None they are lost when the process ends."""
        self.now = now
        self.file = OverridesFile(Path(folder, OVERRIDES_FILE) if folder else None, log)
        self.stored = StoredOverrides()
        self.discovered: dict[str, DiscoveredEndpoint] = {}  # endpoints as discovery lists them, by id
        self.addresses = EndpointAddresses()
        self.known_ids = KnownIds()
        self.has_unstored_ids = False  # whether `known_ids` has ids that are not stored
        self.reload()

    # The endpoint list of discovery.

    def apply_watch_message(
        self, full: bool, entries: Iterable[DiscoveredEndpoint]
    ) -> list[DiscoveredEndpoint]:
        """Apply a snapshot (`full`) or a delta; return its endpoints with the overrides applied.

        With them are the others at their addresses, which another process may have taken.
        """
        if full:
            for endpoint_id in self.discovered:
                self.known_ids.release(endpoint_id)
            self.discovered.clear()
            self.addresses.clear()
        named: dict[str, DiscoveredEndpoint] = {}
        neighbours: dict[str, None] = {}
        for entry in entries:
            if (former := self.discovered.pop(entry.id, None)) is not None:
                neighbours |= self.addresses.remove(former)
            if entry.state == LEFT_STATE:
                self.known_ids.release(entry.id)
            else:
                self.discovered[entry.id] = entry
                neighbours |= self.addresses.add(entry)
                if self.known_ids.use(entry.id):
                    self.has_unstored_ids = True
            named[entry.id] = entry
        self._forget_unused_ids()
        others = [self.discovered[i] for i in neighbours if i not in named and i in self.discovered]
        return [self.effective(entry) for entry in [*named.values(), *others]]

    def current(self, endpoint_id: str) -> DiscoveredEndpoint | None:
        """Return an endpoint as last received, even if the coordinator has not handled it, or None."""
        entry = self.discovered.get(endpoint_id)
        return None if entry is None else self.effective(entry)

    def effective(self, entry: DiscoveredEndpoint) -> DiscoveredEndpoint:
        """Return a discovered endpoint with the overrides applied."""
        if entry.state == LEFT_STATE:
            return entry
        if self.addresses.is_replaced(entry):
            return msgspec.structs.replace(entry, state=LEFT_STATE)
        if entry.id in self.stored.drained:
            return msgspec.structs.replace(entry, state=DRAINING_STATE)
        if entry.id in self.stored.restored:
            start_when_drained, restored_at = self.stored.restored[entry.id]
            if entry.started_ms == start_when_drained:
                # The endpoint may have restarted without discovery knowing, so it goes through slow start.
                return msgspec.structs.replace(entry, started_ms=restored_at)
        return entry

    def _forget_unused_ids(self) -> None:
        """Forget ids that are not listed, but for drained ones, if there are too many."""
        self.known_ids.forget_unused(is_kept=self.stored.drained.__contains__)

    # Operators' commands. Each returns the endpoints that it changed, or None for an id that was never
    # listed. Each raises `OverridesLockedError`, or OSError if the file can't be written, and then changes
    # nothing.

    def drain_endpoint(self, endpoint_id: str) -> list[DiscoveredEndpoint] | None:
        """Drain an endpoint."""
        entry = self.discovered.get(endpoint_id)

        def drain(overrides: StoredOverrides) -> None:
            if endpoint_id not in overrides.drained:
                overrides.drained[endpoint_id] = entry.started_ms if entry else None
            overrides.restored.pop(endpoint_id, None)

        return self._change_endpoint(endpoint_id, drain)

    def restore_endpoint(self, endpoint_id: str) -> list[DiscoveredEndpoint] | None:
        """Restore an endpoint that operators drained."""

        def restore(overrides: StoredOverrides) -> None:
            if endpoint_id in overrides.drained:
                overrides.restored[endpoint_id] = overrides.drained.pop(endpoint_id), round(self.now() * 1000)

        return self._change_endpoint(endpoint_id, restore)

    def set_sidecar_draining(self, on: bool) -> None:
        """Start or end the draining of the sidecar itself."""

        def set_draining(overrides: StoredOverrides) -> None:
            overrides.sidecar_draining = on

        if on != self.stored.sidecar_draining:
            self._change(set_draining)

    def _change_endpoint(
        self, endpoint_id: str, change: Callable[[StoredOverrides], None]
    ) -> list[DiscoveredEndpoint] | None:
        if endpoint_id not in self.known_ids:
            self.reload()
        return self._change(change) if endpoint_id in self.known_ids else None

    def _change(self, change: Callable[[StoredOverrides], None]) -> list[DiscoveredEndpoint]:
        with self.file.lock():
            overrides = msgspec.convert(msgspec.to_builtins(self.file.read(self.stored)), StoredOverrides)
            change(overrides)
            # After `RESTORED_RETENTION` a restored endpoint has finished slow start; it is then forgotten.
            oldest = (self.now() - RESTORED_RETENTION) * 1000
            overrides.restored = {
                endpoint_id: (start, restored_at)
                for endpoint_id, (start, restored_at) in overrides.restored.items()
                if restored_at > oldest
            }
            self.known_ids.add_unused(overrides.known_ids)
            overrides.known_ids = self.known_ids.to_list()
            self.file.write(overrides)
            self.has_unstored_ids = False
        return self._adopt(overrides)

    def _adopt(self, overrides: StoredOverrides) -> list[DiscoveredEndpoint]:
        before = {endpoint_id: self.effective(entry) for endpoint_id, entry in self.discovered.items()}
        self.stored = overrides
        self.known_ids.add_unused(overrides.known_ids)
        self._forget_unused_ids()
        after = {endpoint_id: self.effective(entry) for endpoint_id, entry in self.discovered.items()}
        return [entry for endpoint_id, entry in after.items() if entry != before[endpoint_id]]

    # Changes by other processes of this sidecar.

    def reload(self) -> list[DiscoveredEndpoint]:
        """Adopt what another process has written; return the endpoints that it changed."""
        return self._adopt(self.file.read(self.stored)) if self.file.changed() else []

    def store_known_ids(self) -> None:
        """Store the ids listed since the last write, for the process that replaces this one."""
        if self.has_unstored_ids:
            with contextlib.suppress(OverridesLockedError, OSError):
                self._change(lambda overrides: None)
