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
    """The gRPC codes that the API answers with."""

    INVALID_ARGUMENT = 3
    NOT_FOUND = 5
    OUT_OF_RANGE = 11
    UNAVAILABLE = 14


class EtcdApiError(Exception):
    """A call that the API answers with an error."""

    def __init__(self, code: ErrorCode, message: str) -> None:
        """`message`: in etcd's own words."""
        super().__init__(message)
        self.code = code


@dataclass
class Entry:
    """One key's value; `create` and `mod` are the revisions that created and last changed it."""

    key: bytes
    value: bytes
    create: int
    mod: int
    version: int
    lease: int


@dataclass
class Lease:
    """A lease of so many seconds, which ends at `until` on the loop's clock."""

    id: int
    seconds: int
    until: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Change:
    """One change of an entry; `kind` is PUT or DELETE."""

    revision: int
    kind: str
    entry: Entry


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Keys from `first` up to `end`; an empty end: only `first`; a zero byte: all from `first` on."""

    first: bytes
    end: bytes = b""

    def __contains__(self, key: object) -> bool:
        """Whether a key is in the range."""
        assert isinstance(key, bytes)
        if not self.end:
            return key == self.first
        return key >= self.first and (self.end == b"\0" or key < self.end)


def now() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()


class EtcdStore:
    """Entries, leases and revisions as etcd has them."""

    def __init__(self) -> None:
        """Start empty, at revision 1."""
        self.entries: dict[bytes, Entry] = {}
        self.leases: dict[int, Lease] = {}
        self.changes: list[Change] = []
        self.snapshots: list[tuple[int, dict[bytes, Entry]]] = []  # entries by revision
        self.revision = 1
        self.compacted = 0  # changes up to that revision can't be read any more
        self.last_lease = 7_000_000_000_000
        self.changed = asyncio.Event()  # set and replaced at each new revision
        self.write_history: list[tuple[float, str, bytes]] = []  # every value there ever was, and when

    def entries_at(self, revision: int) -> dict[bytes, Entry]:
        """Return the entries as of a revision; 0: of now. Raises `EtcdApiError`."""
        if revision and revision < self.compacted:
            message = "etcdserver: mvcc: required revision has been compacted"
            raise EtcdApiError(ErrorCode.OUT_OF_RANGE, message)
        if revision > self.revision:
            message = "etcdserver: mvcc: required revision is a future revision"
            raise EtcdApiError(ErrorCode.OUT_OF_RANGE, message)
        if not revision or revision == self.revision:
            return self.entries
        return next((entries for at, entries in reversed(self.snapshots) if at <= revision), {})

    def changes_since(self, revision: int, keys: KeyRange) -> list[Change]:
        """Return the changes of these keys from a revision on."""
        first = bisect_left(self.changes, revision, key=attrgetter("revision"))
        return [change for change in self.changes[first:] if change.entry.key in keys]

    def check_lease(self, lease: int) -> None:
        """Raise `EtcdApiError` for a lease that does not exist; 0: none."""
        if lease and lease not in self.leases:
            raise EtcdApiError(ErrorCode.NOT_FOUND, "etcdserver: requested lease not found")

    def put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        """Write an entry under a revision, which `commit` then makes the present one."""
        if not key:
            raise EtcdApiError(ErrorCode.INVALID_ARGUMENT, "etcdserver: key is not provided")
        self.check_lease(lease)
        before = self.entries.get(key)
        if before is not None and before.lease in self.leases:
            self.leases[before.lease].keys.discard(key)
        create, version = (before.create, before.version + 1) if before else (revision, 1)
        entry = Entry(key, value, create, revision, version, lease)
        self.entries[key] = entry
        if lease:
            self.leases[lease].keys.add(key)
        self.changes.append(Change(revision, "PUT", entry))
        self.write_history.append((now(), key.decode(), entry.value))

    def delete(self, keys: KeyRange, revision: int) -> int:
        """Delete entries under a revision, as `put`. Returns how many there were."""
        deleted = [key for key in self.entries if key in keys]
        for key in deleted:
            entry = self.entries.pop(key)
            if entry.lease in self.leases:
                self.leases[entry.lease].keys.discard(key)
            self.changes.append(Change(revision, "DELETE", Entry(key, b"", 0, revision, 0, 0)))
        return len(deleted)

    def commit(self, revision: int) -> None:
        """Make a revision the present one, and wake the watches."""
        self.revision = revision
        self.snapshots.append((revision, dict(self.entries)))
        del self.snapshots[:-MAX_SNAPSHOTS]
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        """Forget all changes up to now."""
        self.compacted = self.revision
        self.changes.clear()

    def grant(self, lease: int, seconds: int) -> Lease:
        """Return a new lease; 0: of a number that the store chooses."""
        if seconds <= 0:
            raise EtcdApiError(ErrorCode.INVALID_ARGUMENT, "etcdserver: TTL must be positive")
        self.last_lease += 1
        number = lease or self.last_lease
        self.leases[number] = Lease(number, seconds, now() + seconds)
        return self.leases[number]

    def renew(self, number: int) -> Lease | None:
        """Renew a lease; None: there is none of that number."""
        lease = self.leases.get(number)
        if lease is not None:
            lease.until = now() + lease.seconds
        return lease

    def revoke(self, number: int) -> None:
        """End a lease and delete its entries."""
        lease = self.leases.pop(number)
        revision = self.revision + 1
        for key in list(lease.keys):
            self.delete(KeyRange(key), revision)
        if lease.keys:
            self.commit(revision)

    def expire(self) -> None:
        """End the leases whose time is over."""
        for lease in [one for one in self.leases.values() if one.until <= now()]:
            self.revoke(lease.id)

    def all_hold(self, keys: KeyRange, predicate: Callable[[Entry], bool]) -> bool:
        """Whether a condition holds for all entries; a single missing key counts as an empty entry."""
        found = [entry for key, entry in self.entries.items() if key in keys]
        if not found and not keys.end:
            found = [Entry(keys.first, b"", 0, 0, 0, 0)]
        return all(predicate(entry) for entry in found)  # a range without entries holds, as published
