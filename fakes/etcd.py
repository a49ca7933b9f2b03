"""A fake etcd: its v3 API as the JSON gateway publishes it, and the ways in which it fails.

Written from the published specification: keys and values in base64, 64-bit numbers as strings, zero and false
left out, errors as {"error", "code", "message"}. Left out: authentication, clusters, nested transactions,
filters and progress of watches.
"""

from __future__ import annotations

import asyncio
import base64
import json
import operator
from collections import Counter
from collections.abc import AsyncIterator, Callable
from typing import Any

from .etcd_store import Change, Entry, ErrorCode, EtcdApiError, EtcdStore, KeyRange
from .http1 import RESET, Request, Response, Server

HTTP_STATUS = {
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.OUT_OF_RANGE: 400,
    ErrorCode.INVALID_ARGUMENT: 400,
    ErrorCode.UNAVAILABLE: 503,
}
EXPIRY_INTERVAL = 0.02  # seconds between looks for leases whose time is over
COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
# Field of an entry and field of the request for each target of a comparison.
COMPARED_FIELDS = {
    "VERSION": ("version", "version"),
    "CREATE": ("create", "create_revision"),
    "MOD": ("mod", "mod_revision"),
    "LEASE": ("lease", "lease"),
}

Json = dict[str, Any]


def decode_bytes(given: Json, name: str) -> bytes:
    """Return a field in base64; empty if it is left out."""
    return base64.b64decode(given.get(name) or "")


def encode_bytes(data: bytes) -> str:
    """Return bytes in base64."""
    return base64.b64encode(data).decode()


def decode_number(given: Json, name: str) -> int:
    """Return a number, which may be a string; 0 if it is left out."""
    return int(given.get(name) or 0)


def decode_range(given: Json) -> KeyRange:
    """Return the keys that a request is about."""
    return KeyRange(decode_bytes(given, "key"), decode_bytes(given, "range_end"))


def sparse(**fields: object) -> Json:
    """Return fields as the gateway writes them: numbers as strings, nothing that is zero, false or empty."""
    encoded = {name: str(v) if type(v) is int else v for name, v in fields.items()}
    return {name: v for name, v in encoded.items() if v not in ("0", "", False, None, [])}


class FakeEtcd:
    """One etcd that listens on loopback.

    Faults: `take_down`, `reply_delay`, `lost_replies`, `canned_replies`, `freeze_reads`, `abort_watches`,
    `compact`, `expire_lease_of`.
    """

    def __init__(self) -> None:
        """`start` starts it."""
        self.server = Server(self._answer)
        self.store = EtcdStore()
        self.reply_delay = 0.0  # seconds before each answer
        self.lost_replies: dict[str, int] = {}  # by path: so many are lost after the change was applied
        self.canned_replies: dict[str, bytes] = {}  # by path: what is answered instead
        self.stale_entries: dict[bytes, Entry] | None = None  # what serializable reads see
        self.calls: list[tuple[float, str]] = []
        self.watch_counts: Counter[str] = Counter()  # lines of all watches with events, and these
        self.watches: set[asyncio.Task[Any]] = set()
        self.expiry_task: asyncio.Task[None] | None = None

    @property
    def entries(self) -> dict[bytes, Entry]:
        """The entries of now by key."""
        return self.store.entries

    @property
    def write_history(self) -> list[tuple[float, str, bytes]]:
        """Every value there ever was: when, key, value."""
        return self.store.write_history

    async def start(self) -> None:
        """Listen, also again after `take_down`."""
        await self.server.start()
        if self.expiry_task is None:
            self.expiry_task = asyncio.create_task(self._expire_leases())

    async def take_down(self) -> None:
        """Refuse and reset connections; the data stays, and leases run on."""
        await self.server.stop()

    async def stop(self) -> None:
        """End for good."""
        if self.expiry_task is not None:
            self.expiry_task.cancel()
        await self.server.stop()

    def put(self, key: str, value: str) -> None:
        """Write an entry without a call."""
        self.put_encoded({"key": encode_bytes(key.encode()), "value": encode_bytes(value.encode())})

    # Faults

    def abort_watches(self) -> None:
        """End the open watches without an answer."""
        for task in list(self.watches):
            task.cancel()

    def compact(self) -> None:
        """Forget all changes up to now."""
        self.store.compact()

    def expire_lease_of(self, key: str) -> None:
        """End the lease of an entry as if it had not been renewed in time."""
        self.store.revoke(self.entries[key.encode()].lease)

    def freeze_reads(self) -> None:
        """Answer serializable reads from the entries of now, from now on."""
        self.stale_entries = dict(self.entries)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL)
            self.store.expire()

    # The API

    async def _answer(self, request: Request) -> Response:
        path = request.target
        self.calls.append((asyncio.get_running_loop().time(), path))
        if self.reply_delay:
            await asyncio.sleep(self.reply_delay)
        if path in self.canned_replies:
            return Response(200, self.canned_replies[path])
        try:
            given = json.loads(request.body)
            if path == "/v3/watch":
                return Response(200, parts=self._watch(given["create_request"]))
            handler = self._handlers().get(path)
            if handler is None:
                return Response(404, b'{"code":5,"message":"Not Found"}')
            answer = handler(given)
        except EtcdApiError as error:
            return self._error(HTTP_STATUS[error.code], error.code, error)
        except (ValueError, KeyError, TypeError) as error:
            return self._error(400, ErrorCode.INVALID_ARGUMENT, error)
        if self.lost_replies.get(path, 0) > 0:
            self.lost_replies[path] -= 1
            return RESET
        return Response(200, json.dumps(answer).encode(), {"Content-Type": "application/json"})

    def _error(self, status: int, code: ErrorCode, error: Exception) -> Response:
        body = {"error": str(error), "code": int(code), "message": str(error)}
        return Response(status, json.dumps(body).encode())

    def _handlers(self) -> dict[str, Callable[[Json], Json]]:
        return {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self.put_encoded,
            "/v3/kv/txn": self._transaction,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }

    def _header(self) -> Json:
        return sparse(cluster_id=1, member_id=1, revision=self.store.revision, raft_term=2)

    def _reply(self, **fields: object) -> Json:
        return {"header": self._header()} | sparse(**fields)

    def _pair(self, entry: Entry, keys_only: bool = False) -> Json:
        return sparse(
            key=encode_bytes(entry.key),
            value="" if keys_only else encode_bytes(entry.value),
            create_revision=entry.create,
            mod_revision=entry.mod,
            version=entry.version,
            lease=entry.lease,
        )

    def _range(self, given: Json) -> Json:
        keys, revision = decode_range(given), decode_number(given, "revision")
        entries = self.store.entries_at(revision)
        if given.get("serializable") and self.stale_entries is not None and entries is self.entries:
            entries = self.stale_entries
        found = sorted((entry for key, entry in entries.items() if key in keys), key=lambda e: e.key)
        limit = decode_number(given, "limit")
        shown = found[:limit] if limit else found
        pairs = [self._pair(entry, bool(given.get("keys_only"))) for entry in shown]
        return self._reply(
            kvs=[] if given.get("count_only") else pairs,
            count=len(found),
            more=bool(limit) and len(found) > limit,
        )

    def put_encoded(self, given: Json) -> Json:
        """Write an entry, whose key and value are in base64 as in a call."""
        revision = self.store.revision + 1
        self._put_at(given, revision)
        self.store.commit(revision)
        return self._reply()

    def _put_at(self, given: Json, revision: int) -> Json:
        key, value = decode_bytes(given, "key"), decode_bytes(given, "value")
        self.store.put(key, value, decode_number(given, "lease"), revision)
        return self._reply()

    def _delete_range(self, given: Json) -> Json:
        revision = self.store.revision + 1
        count = self.store.delete(decode_range(given), revision)
        if count:
            self.store.commit(revision)
        return self._reply(deleted=count)

    def _transaction(self, given: Json) -> Json:
        succeeded = all(self._holds(compare) for compare in given.get("compare") or [])
        operations = given.get("success" if succeeded else "failure") or []
        # All or nothing: what can't be applied is found first.
        for one in operations:
            self.store.check_lease(decode_number(one.get("request_put") or {}, "lease"))
        revision, changes_before = self.store.revision + 1, len(self.store.changes)
        responses = [answer for one in operations if (answer := self._operate(one, revision))]
        if len(self.store.changes) > changes_before:
            self.store.commit(revision)
        return self._reply(succeeded=succeeded, responses=responses)

    def _operate(self, operation: Json, revision: int) -> Json | None:
        """Carry out one operation of a transaction."""
        if put := operation.get("request_put"):
            return {"response_put": self._put_at(put, revision)}
        if delete := operation.get("request_delete_range"):
            count = self.store.delete(decode_range(delete), revision)
            return {"response_delete_range": sparse(deleted=count)}
        if read := operation.get("request_range"):
            return {"response_range": self._range(read)}
        return None

    def _holds(self, compare: Json) -> bool:
        keys = decode_range(compare)
        target, result = compare.get("target", "VERSION"), compare.get("result", "EQUAL")
        if target == "VALUE":
            wanted = decode_bytes(compare, "value")
            return self.store.all_hold(
                keys, lambda entry: entry.version > 0 and COMPARISONS[result](entry.value, wanted)
            )
        field, sent = COMPARED_FIELDS[target]
        number = decode_number(compare, sent)
        return self.store.all_hold(keys, lambda entry: COMPARISONS[result](getattr(entry, field), number))

    def _grant(self, given: Json) -> Json:
        lease = self.store.grant(decode_number(given, "ID"), decode_number(given, "TTL"))
        return self._reply(ID=lease.id, TTL=lease.seconds)

    def _keep_alive(self, given: Json) -> Json:
        number = decode_number(given, "ID")
        lease = self.store.renew(number)
        return {"result": self._reply(ID=number, TTL=0 if lease is None else lease.seconds)}

    def _revoke(self, given: Json) -> Json:
        number = decode_number(given, "ID")
        if number not in self.store.leases:
            raise EtcdApiError(ErrorCode.NOT_FOUND, "etcdserver: requested lease not found")
        self.store.revoke(number)
        return self._reply()

    # Watches

    async def _watch(self, given: Json) -> AsyncIterator[bytes]:
        """The lines of a watch."""
        keys = decode_range(given)
        task = asyncio.current_task()
        assert task is not None
        self.watches.add(task)
        try:
            next_revision = decode_number(given, "start_revision") or self.store.revision + 1
            yield self._watch_line(created=True)
            while True:
                if next_revision <= self.store.compacted:
                    compacted = str(self.store.compacted)
                    yield self._watch_line(canceled=True, compact_revision=compacted)
                    return
                changes = self.store.changes_since(next_revision, keys)
                next_revision = self.store.revision + 1
                if changes:
                    yield self._events_line(changes)
                changed = self.store.changed
                if next_revision > self.store.revision:
                    await changed.wait()
        finally:
            self.watches.discard(task)

    def _watch_line(self, **result: object) -> bytes:
        return json.dumps({"result": {"header": self._header(), **result}}).encode() + b"\n"

    def _events_line(self, changes: list[Change]) -> bytes:
        self.watch_counts["lines"] += 1
        self.watch_counts["events"] += len(changes)
        events = [
            {"kv": self._pair(change.entry)} | sparse(type="" if change.kind == "PUT" else change.kind)
            for change in changes
        ]
        return self._watch_line(events=events)
