"""The arbiter: etcd's v3 API as its JSON gateway publishes it, and the ways in which it fails.

Written from the published specification: keys and values in base64, 64-bit numbers as strings, zero and false
left out, errors as {"error", "code", "message"}. What is not played: authentication, clusters, nested
transactions, filters and progress of watches.
"""

from __future__ import annotations

import asyncio
import base64
import json
from bisect import bisect_left
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from operator import itemgetter
from typing import Any

from .http1 import RESET, Request, Response, Server

NOT_FOUND, OUT_OF_RANGE, INVALID, UNAVAILABLE = 5, 11, 3, 14
STATUS = {NOT_FOUND: 404, OUT_OF_RANGE: 400, INVALID: 400, UNAVAILABLE: 503}


class Refused(Exception):
    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclass
class Entry:
    key: bytes
    value: bytes
    create: int
    mod: int
    version: int
    lease: int


@dataclass
class Lease:
    id: int
    seconds: int
    until: float
    keys: set[bytes] = field(default_factory=set)


def binary(given: dict[str, Any], name: str) -> bytes:
    return base64.b64decode(given.get(name) or "")


def text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def whole(given: dict[str, Any], name: str) -> int:
    return int(given.get(name) or 0)


def sparse(**fields: Any) -> dict[str, Any]:
    """As the gateway writes: 64-bit numbers as strings, nothing that is zero, false or empty."""
    told = {name: str(v) if type(v) is int else v for name, v in fields.items()}
    return {name: v for name, v in told.items() if v not in ("0", "", False, None, [])}


def within(key: bytes, first: bytes, end: bytes) -> bool:
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)


class Arbiter:
    """One arbiter. Faults: `down`, `slow`, `lose` (replies to be lost once applied), `stale`, `nonsense`."""

    def __init__(self) -> None:
        self.server = Server(self._answer)
        self.entries: dict[bytes, Entry] = {}
        self.leases: dict[int, Lease] = {}
        self.events: list[tuple[int, str, Entry]] = []
        self.past: list[tuple[int, dict[bytes, Entry]]] = []
        self.revision, self.compacted, self.last_lease = 1, 0, 7_000_000_000_000
        self.changed = asyncio.Event()
        self.slow = 0.0
        self.lose: dict[str, int] = {}  # by path: so many replies are lost after the change was applied
        self.nonsense: dict[str, bytes] = {}  # by path: what is answered instead
        self.stale: dict[bytes, Entry] | None = None  # what serializable reads see
        self.calls: list[tuple[float, str]] = []
        self.written: list[tuple[float, str, bytes]] = []  # every value there ever was, and when
        self.told: Counter[str] = Counter()  # lines of all watches with events, and these
        self.watches: set[asyncio.Task[Any]] = set()
        self.chore: asyncio.Task[None] | None = None

    async def begin(self) -> None:
        await self.server.begin()
        if self.chore is None:
            self.chore = asyncio.create_task(self._expire())

    async def down(self) -> None:
        """Refuses and resets; what it keeps stays, and its leases run on."""
        await self.server.stop()

    async def stop(self) -> None:
        if self.chore is not None:
            self.chore.cancel()
        await self.server.stop()

    def put(self, key: str, value: str) -> None:
        """Have an entry there without a call."""
        self._put({"key": text(key.encode()), "value": text(value.encode())})

    # Faults.

    def cut_watches(self) -> None:
        for task in list(self.watches):
            task.cancel()

    def compact(self) -> None:
        self.compacted = self.revision
        self.events.clear()

    def end_lease_of(self, key: str) -> None:
        """As if it had not been renewed in time."""
        entry = self.entries[key.encode()]
        self._revoke(entry.lease)

    def freeze_reads(self) -> None:
        self.stale = dict(self.entries)

    # The API.

    async def _answer(self, request: Request) -> Response:
        now = asyncio.get_running_loop().time()
        path = request.target
        self.calls.append((now, path))
        if self.slow:
            await asyncio.sleep(self.slow)
        if path in self.nonsense:
            return Response(200, self.nonsense[path])
        try:
            given = json.loads(request.body)
            if path == "/v3/watch":
                return Response(200, parts=self._watch(given["create_request"]))
            calls = {
                "/v3/kv/range": self._range, "/v3/kv/put": self._put, "/v3/kv/txn": self._txn,
                "/v3/kv/deleterange": self._delete, "/v3/lease/grant": self._grant,
                "/v3/lease/keepalive": self._keepalive, "/v3/lease/revoke": self._revoked,
            }  # fmt: skip
            if path not in calls:
                return Response(404, b'{"code":5,"message":"Not Found"}')
            answer = calls[path](given)
        except Refused as refused:
            said = {"error": str(refused), "code": refused.code, "message": str(refused)}
            return Response(STATUS[refused.code], json.dumps(said).encode())
        except (ValueError, KeyError, TypeError) as error:
            said = {"error": str(error), "code": INVALID, "message": str(error)}
            return Response(400, json.dumps(said).encode())
        if self.lose.get(path, 0) > 0:
            self.lose[path] -= 1
            return RESET
        return Response(200, json.dumps(answer).encode(), {"Content-Type": "application/json"})

    def _header(self) -> dict[str, Any]:
        return sparse(cluster_id=1, member_id=1, revision=self.revision, raft_term=2)

    def _pair(self, entry: Entry, keys_only: bool = False) -> dict[str, Any]:
        return sparse(
            key=text(entry.key), value="" if keys_only else text(entry.value), create_revision=entry.create,
            mod_revision=entry.mod, version=entry.version, lease=entry.lease,
        )  # fmt: skip

    def _range(self, given: dict[str, Any]) -> dict[str, Any]:
        first, end, at = binary(given, "key"), binary(given, "range_end"), whole(given, "revision")
        if at and at < self.compacted:
            raise Refused(OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted")
        if at > self.revision:
            raise Refused(OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision")
        entries = self.entries
        if given.get("serializable") and self.stale is not None:
            entries = self.stale
        if at and at < self.revision:
            entries = next((kept for revision, kept in reversed(self.past) if revision <= at), {})
        found = sorted((e for k, e in entries.items() if within(k, first, end)), key=lambda e: e.key)
        limit = whole(given, "limit")
        shown = found[:limit] if limit else found
        pairs = (
            [] if given.get("count_only") else [self._pair(e, bool(given.get("keys_only"))) for e in shown]
        )
        return {"header": self._header()} | sparse(
            kvs=pairs, count=len(found), more=bool(limit) and len(found) > limit
        )

    def _keep_past(self) -> None:
        self.past.append((self.revision, dict(self.entries)))
        del self.past[:-1000]

    def _write(self, given: dict[str, Any], revision: int) -> dict[str, Any]:
        key, lease = binary(given, "key"), whole(given, "lease")
        if not key:
            raise Refused(INVALID, "etcdserver: key is not provided")
        if lease and lease not in self.leases:
            raise Refused(NOT_FOUND, "etcdserver: requested lease not found")
        before = self.entries.get(key)
        if before is not None and before.lease in self.leases:
            self.leases[before.lease].keys.discard(key)
        entry = Entry(
            key, binary(given, "value"), before.create if before else revision, revision,
            before.version + 1 if before else 1, lease,
        )  # fmt: skip
        self.entries[key] = entry
        if lease:
            self.leases[lease].keys.add(key)
        self.events.append((revision, "PUT", entry))
        self.written.append((asyncio.get_running_loop().time(), key.decode(), entry.value))
        return {"header": self._header()}

    def _erase(self, first: bytes, end: bytes, revision: int) -> int:
        gone = [k for k in self.entries if within(k, first, end)]
        for key in gone:
            entry = self.entries.pop(key)
            if entry.lease in self.leases:
                self.leases[entry.lease].keys.discard(key)
            self.events.append((revision, "DELETE", Entry(key, b"", 0, revision, 0, 0)))
        return len(gone)

    def _changed(self) -> None:
        self._keep_past()
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, given: dict[str, Any]) -> dict[str, Any]:
        self._write(given, self.revision + 1)
        self.revision += 1
        self._changed()
        return {"header": self._header()}

    def _delete(self, given: dict[str, Any]) -> dict[str, Any]:
        count = self._erase(binary(given, "key"), binary(given, "range_end"), self.revision + 1)
        if count:
            self.revision += 1
            self._changed()
        return {"header": self._header()} | sparse(deleted=count)

    def _txn(self, given: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._holds(compare) for compare in given.get("compare") or [])
        wanted = given.get("success" if succeeded else "failure") or []
        # All or nothing: what can't be applied is found first.
        for one in wanted:
            lease = whole(one.get("request_put") or {}, "lease")
            if lease and lease not in self.leases:
                raise Refused(NOT_FOUND, "etcdserver: requested lease not found")
        revision, before, responses = self.revision + 1, len(self.events), []
        for one in wanted:
            if put := one.get("request_put"):
                responses.append({"response_put": self._write(put, revision)})
            elif put := one.get("request_delete_range"):
                count = self._erase(binary(put, "key"), binary(put, "range_end"), revision)
                responses.append({"response_delete_range": sparse(deleted=count)})
            elif put := one.get("request_range"):
                responses.append({"response_range": self._range(put)})
        if len(self.events) > before:
            self.revision = revision
            self._changed()
        return {"header": self._header()} | sparse(succeeded=succeeded, responses=responses)

    def _holds(self, compare: dict[str, Any]) -> bool:
        first, end = binary(compare, "key"), binary(compare, "range_end")
        found = [e for k, e in self.entries.items() if within(k, first, end)]
        if not found and end:
            return True  # as published: a range with nothing in it holds, whatever is asked
        target, result = compare.get("target", "VERSION"), compare.get("result", "EQUAL")
        for entry in found or [Entry(first, b"", 0, 0, 0, 0)]:
            has: Any
            if target == "VALUE":
                if not found:
                    return False
                has, wanted = entry.value, binary(compare, "value")
            else:
                name = {"VERSION": "version", "CREATE": "create", "MOD": "mod", "LEASE": "lease"}[target]
                sent = {"CREATE": "create_revision", "MOD": "mod_revision"}.get(target, name)
                has, wanted = getattr(entry, name), whole(compare, sent)
            holds = {
                "EQUAL": has == wanted, "NOT_EQUAL": has != wanted,
                "GREATER": has > wanted, "LESS": has < wanted,
            }[result]  # fmt: skip
            if not holds:
                return False
        return True

    def _grant(self, given: dict[str, Any]) -> dict[str, Any]:
        seconds = whole(given, "TTL")
        if seconds <= 0:
            raise Refused(INVALID, "etcdserver: TTL must be positive")
        self.last_lease += 1
        number = whole(given, "ID") or self.last_lease
        until = asyncio.get_running_loop().time() + seconds
        self.leases[number] = Lease(number, seconds, until)
        return {"header": self._header()} | sparse(ID=number, TTL=seconds)

    def _keepalive(self, given: dict[str, Any]) -> dict[str, Any]:
        lease = self.leases.get(whole(given, "ID"))
        if lease is None:
            return {"result": {"header": self._header()} | sparse(ID=whole(given, "ID"))}
        lease.until = asyncio.get_running_loop().time() + lease.seconds
        return {"result": {"header": self._header()} | sparse(ID=lease.id, TTL=lease.seconds)}

    def _revoked(self, given: dict[str, Any]) -> dict[str, Any]:
        if whole(given, "ID") not in self.leases:
            raise Refused(NOT_FOUND, "etcdserver: requested lease not found")
        self._revoke(whole(given, "ID"))
        return {"header": self._header()}

    def _revoke(self, number: int) -> None:
        lease = self.leases.pop(number)
        revision = self.revision + 1
        for key in list(lease.keys):
            self._erase(key, b"", revision)
        if lease.keys or any(r == revision for r, _, _ in self.events[-1:]):
            self.revision = revision
            self._changed()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = asyncio.get_running_loop().time()
            for lease in [one for one in self.leases.values() if one.until <= now]:
                self._revoke(lease.id)

    async def _watch(self, given: dict[str, Any]) -> AsyncIterator[bytes]:
        first, end = binary(given, "key"), binary(given, "range_end")
        task = asyncio.current_task()
        assert task is not None
        self.watches.add(task)

        def line(**result: Any) -> bytes:
            return json.dumps({"result": {"header": self._header(), **result}}).encode() + b"\n"

        try:
            at = whole(given, "start_revision") or self.revision + 1
            yield line(created=True)
            while True:
                if at <= self.compacted:
                    yield line(canceled=True, compact_revision=str(self.compacted))
                    return
                since = bisect_left(self.events, at, key=itemgetter(0))
                new = [(r, kind, e) for r, kind, e in self.events[since:] if within(e.key, first, end)]
                at = self.revision + 1
                if new:
                    self.told["lines"] += 1
                    self.told["events"] += len(new)
                    told = [{"kv": self._pair(e)} | sparse(type="" if k == "PUT" else k) for _, k, e in new]
                    yield line(events=told)
                changed = self.changed
                if at > self.revision:
                    await changed.wait()
        finally:
            self.watches.discard(task)
