"""The data of the fake etcd: entries by key with their revisions, leases, and the history of changes."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from operator import attrgetter

MAX_SNAPSHOTS = 1000  # revisions whose entries can be read


class ErrorCode(IntEnum):
    """The gRPC status codes in the API's error responses."""

    INVALID_ARGUMENT = 3
    NOT_FOUND = 5
    OUT_OF_RANGE = 11
    UNAVAILABLE = 14


class EtcdApiError(Exception):
    """An error response to an API call."""

    def __init__(self, code: ErrorCode, message: str) -> None:
        """Create the error. `message`: as etcd words it."""
        super().__init__(message)
        self.code = code


@dataclass
class Entry:
    """The value of one key, with the revisions that created it and last modified it."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass
class Lease:
    """A lease. `ttl` is in seconds; `expires_at` is a time of the loop's clock."""

    id: int
    ttl: int
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Change:
    """One change of an entry. `kind`: PUT or DELETE."""

    revision: int
    kind: str
    entry: Entry


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The keys from `first` up to but excluding `end`.

    An empty `end` means only `first`; a zero byte means all keys from `first` on.
    """

    first: bytes
    end: bytes = b""

    def __contains__(self, key: object) -> bool:
        """Return whether a key is in the range."""
        assert isinstance(key, bytes)
        if not self.end:
            return key == self.first
        return key >= self.first and (self.end == b"\0" or key < self.end)


def now() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()


class EtcdStore:
    """Entries, leases and revisions, with etcd's semantics."""

    def __init__(self) -> None:
        """Create an empty store at revision 1."""
        self.entries: dict[bytes, Entry] = {}
        self.leases: dict[int, Lease] = {}
        self.changes: list[Change] = []
        self.snapshots: list[tuple[int, dict[bytes, Entry]]] = []  # entries by revision
        self.revision = 1
        self.compacted_revision = 0  # changes up to that revision can no longer be read
        self.last_lease_id = 7_000_000_000_000
        self.changed = asyncio.Event()  # set and replaced at each new revision
        self.write_history: list[tuple[float, str, bytes]] = []  # time, key and value

    def entries_at(self, revision: int) -> dict[bytes, Entry]:
        """Return the entries at a revision; 0 means the current one. Raises `EtcdApiError`."""
        if revision and revision < self.compacted_revision:
            message = "etcdserver: mvcc: required revision has been compacted"
            raise EtcdApiError(ErrorCode.OUT_OF_RANGE, message)
        if revision > self.revision:
            message = "etcdserver: mvcc: required revision is a future revision"
            raise EtcdApiError(ErrorCode.OUT_OF_RANGE, message)
        if not revision or revision == self.revision:
            return self.entries
        return next((entries for at, entries in reversed(self.snapshots) if at <= revision), {})

    def changes_since(self, revision: int, keys: KeyRange) -> list[Change]:
        """Return the changes of a range of keys since a revision, including it."""
        first = bisect_left(self.changes, revision, key=attrgetter("revision"))
        return [change for change in self.changes[first:] if change.entry.key in keys]

    def check_lease(self, lease: int) -> None:
        """Raise `EtcdApiError` if the lease does not exist; 0 means no lease."""
        if lease and lease not in self.leases:
            raise EtcdApiError(ErrorCode.NOT_FOUND, "etcdserver: requested lease not found")

    def put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        """Write an entry at a revision, which `commit` then makes the current one."""
        if not key:
            raise EtcdApiError(ErrorCode.INVALID_ARGUMENT, "etcdserver: key is not provided")
        self.check_lease(lease)
        before = self.entries.get(key)
        if before is not None and before.lease in self.leases:
            self.leases[before.lease].keys.discard(key)
        create_revision, version = (before.create_revision, before.version + 1) if before else (revision, 1)
        entry = Entry(key, value, create_revision, revision, version, lease)
        self.entries[key] = entry
        if lease:
            self.leases[lease].keys.add(key)
        self.changes.append(Change(revision, "PUT", entry))
        self.write_history.append((now(), key.decode(), entry.value))

    def delete(self, keys: KeyRange, revision: int) -> int:
        """Delete entries at a revision, as `put` does; return the number deleted."""
        deleted = [key for key in self.entries if key in keys]
        for key in deleted:
            entry = self.entries.pop(key)
            if entry.lease in self.leases:
                self.leases[entry.lease].keys.discard(key)
            self.changes.append(Change(revision, "DELETE", Entry(key, b"", 0, revision, 0, 0)))
        return len(deleted)

    def commit(self, revision: int) -> None:
        """Make a revision the current one and notify the watches."""
        self.revision = revision
        self.snapshots.append((revision, dict(self.entries)))
        del self.snapshots[:-MAX_SNAPSHOTS]
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        """Discard the history up to the current revision."""
        self.compacted_revision = self.revision
        self.changes.clear()

    def grant(self, lease_id: int, ttl: int) -> Lease:
        """Create and return a lease. `lease_id`: 0 lets the store choose. `ttl`: seconds."""
        if ttl <= 0:
            raise EtcdApiError(ErrorCode.INVALID_ARGUMENT, "etcdserver: TTL must be positive")
        self.last_lease_id += 1
        lease_id = lease_id or self.last_lease_id
        self.leases[lease_id] = Lease(lease_id, ttl, now() + ttl)
        return self.leases[lease_id]

    def renew(self, lease_id: int) -> Lease | None:
        """Renew and return a lease, or return None if it does not exist."""
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_at = now() + lease.ttl
        return lease

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its entries."""
        lease = self.leases.pop(lease_id)
        revision = self.revision + 1
        for key in list(lease.keys):
            self.delete(KeyRange(key), revision)
        if lease.keys:
            self.commit(revision)

    def expire(self) -> None:
        """Revoke the leases that have expired."""
        for lease in [lease for lease in self.leases.values() if lease.expires_at <= now()]:
            self.revoke(lease.id)

    def all_match(self, keys: KeyRange, predicate: Callable[[Entry], bool]) -> bool:
        """Return whether a condition holds for all entries; a single missing key counts as an empty entry."""
        found = [entry for key, entry in self.entries.items() if key in keys]
        if not found and not keys.end:
            found = [Entry(keys.first, b"", 0, 0, 0, 0)]
        return all(predicate(entry) for entry in found)  # true for a range without entries, as specified
