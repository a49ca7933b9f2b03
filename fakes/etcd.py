"""A fake etcd: the v3 API as published by the JSON gateway, with injectable faults.

Written from the published specification: keys and values in base64, 64-bit numbers as strings, zero and false
omitted, errors as {"error", "code", "message"}. Not implemented: authentication, clusters, nested
transactions, and the filters and progress notifications of watches.
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
EXPIRY_INTERVAL = 0.02  # seconds between checks for expired leases
COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
# The field of an entry and the field of the request, by the target of a comparison.
COMPARED_FIELDS = {
    "VERSION": ("version", "version"),
    "CREATE": ("create_revision", "create_revision"),
    "MOD": ("mod_revision", "mod_revision"),
    "LEASE": ("lease", "lease"),
}

Json = dict[str, Any]


def decode_bytes(body: Json, name: str) -> bytes:
    """Decode a base64 field; empty if it is omitted."""
    return base64.b64decode(body.get(name) or "")


def encode_bytes(data: bytes) -> str:
    """Encode bytes in base64."""
    return base64.b64encode(data).decode()


def decode_number(body: Json, name: str) -> int:
    """Decode a number, which may be a string; 0 if it is omitted."""
    return int(body.get(name) or 0)


def decode_range(body: Json) -> KeyRange:
    """Decode the range of keys of a request."""
    return KeyRange(decode_bytes(body, "key"), decode_bytes(body, "range_end"))


def encode_fields(**fields: object) -> Json:
    """Encode fields as the gateway does: numbers as strings, and zero, false and empty values omitted."""
    encoded = {name: str(v) if type(v) is int else v for name, v in fields.items()}
    return {name: v for name, v in encoded.items() if v not in ("0", "", False, None, [])}


class FakeEtcd:
    """One etcd server on loopback.

    Faults: `take_down`, `reply_delay`, `lost_replies`, `canned_replies`, `freeze_reads`, `abort_watches`,
    `compact`, `expire_lease_of`.
    """

    def __init__(self) -> None:
        """Create a store that is not listening yet."""
        self.server = Server(self._answer)
        self.store = EtcdStore()
        self.reply_delay = 0.0  # seconds before each answer
        # By path, how many replies are lost after the change has been applied.
        self.lost_replies: dict[str, int] = {}
        self.canned_replies: dict[str, bytes] = {}  # by path: the body to answer with
        self.stale_entries: dict[bytes, Entry] | None = None  # what serializable reads return, if set
        self.calls: list[tuple[float, str]] = []
        self.watch_counts: Counter[str] = Counter()  # lines and events sent on watches
        self.watches: set[asyncio.Task[Any]] = set()
        self.expiry_task: asyncio.Task[None] | None = None

    @property
    def entries(self) -> dict[bytes, Entry]:
        """The current entries by key."""
        return self.store.entries

    @property
    def write_history(self) -> list[tuple[float, str, bytes]]:
        """Every value written so far: time, key and value."""
        return self.store.write_history

    async def start(self) -> None:
        """Start listening, also again after `take_down`."""
        await self.server.start()
        if self.expiry_task is None:
            self.expiry_task = asyncio.create_task(self._expire_leases())

    async def take_down(self) -> None:
        """Refuse and reset connections; the data is kept, and leases continue to expire."""
        await self.server.stop()

    async def stop(self) -> None:
        """Stop the server and the expiry of leases."""
        if self.expiry_task is not None:
            self.expiry_task.cancel()
        await self.server.stop()

    def put(self, key: str, value: str) -> None:
        """Write an entry directly, without an API call."""
        self.put_encoded({"key": encode_bytes(key.encode()), "value": encode_bytes(value.encode())})

    # Faults

    def abort_watches(self) -> None:
        """Abort the open watches without a message."""
        for task in list(self.watches):
            task.cancel()

    def compact(self) -> None:
        """Compact the history up to the current revision."""
        self.store.compact()

    def expire_lease_of(self, key: str) -> None:
        """Expire the lease of an entry, as if it had not been renewed in time."""
        self.store.revoke(self.entries[key.encode()].lease)

    def freeze_reads(self) -> None:
        """Answer all later serializable reads from the current entries."""
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
            body = json.loads(request.body)
            if path == "/v3/watch":
                return Response(200, parts=self._watch(body["create_request"]))
            handler = self._handlers().get(path)
            if handler is None:
                return Response(404, b'{"code":5,"message":"Not Found"}')
            answer = handler(body)
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
        return encode_fields(cluster_id=1, member_id=1, revision=self.store.revision, raft_term=2)

    def _reply(self, **fields: object) -> Json:
        return {"header": self._header()} | encode_fields(**fields)

    def _encode_entry(self, entry: Entry, keys_only: bool = False) -> Json:
        return encode_fields(
            key=encode_bytes(entry.key),
            value="" if keys_only else encode_bytes(entry.value),
            create_revision=entry.create_revision,
            mod_revision=entry.mod_revision,
            version=entry.version,
            lease=entry.lease,
        )

    def _range(self, body: Json) -> Json:
        keys, revision = decode_range(body), decode_number(body, "revision")
        entries = self.store.entries_at(revision)
        if body.get("serializable") and self.stale_entries is not None and entries is self.entries:
            entries = self.stale_entries
        found = sorted((entry for key, entry in entries.items() if key in keys), key=lambda e: e.key)
        limit = decode_number(body, "limit")
        returned = found[:limit] if limit else found
        pairs = [self._encode_entry(entry, bool(body.get("keys_only"))) for entry in returned]
        return self._reply(
            kvs=[] if body.get("count_only") else pairs,
            count=len(found),
            more=bool(limit) and len(found) > limit,
        )

    def put_encoded(self, body: Json) -> Json:
        """Write an entry whose key and value are in base64, as in an API call."""
        revision = self.store.revision + 1
        self._put_at(body, revision)
        self.store.commit(revision)
        return self._reply()

    def _put_at(self, body: Json, revision: int) -> Json:
        key, value = decode_bytes(body, "key"), decode_bytes(body, "value")
        self.store.put(key, value, decode_number(body, "lease"), revision)
        return self._reply()

    def _delete_range(self, body: Json) -> Json:
        revision = self.store.revision + 1
        count = self.store.delete(decode_range(body), revision)
        if count:
            self.store.commit(revision)
        return self._reply(deleted=count)

    def _transaction(self, body: Json) -> Json:
        succeeded = all(self._matches(compare) for compare in body.get("compare") or [])
        operations = body.get("success" if succeeded else "failure") or []
        # A transaction is atomic, so errors are detected before any operation is applied.
        for operation in operations:
            self.store.check_lease(decode_number(operation.get("request_put") or {}, "lease"))
        revision, changes_before = self.store.revision + 1, len(self.store.changes)
        responses = [
            response for operation in operations if (response := self._apply_operation(operation, revision))
        ]
        if len(self.store.changes) > changes_before:
            self.store.commit(revision)
        return self._reply(succeeded=succeeded, responses=responses)

    def _apply_operation(self, operation: Json, revision: int) -> Json | None:
        """Apply one operation of a transaction; return its response."""
        if put := operation.get("request_put"):
            return {"response_put": self._put_at(put, revision)}
        if delete := operation.get("request_delete_range"):
            count = self.store.delete(decode_range(delete), revision)
            return {"response_delete_range": encode_fields(deleted=count)}
        if read := operation.get("request_range"):
            return {"response_range": self._range(read)}
        return None

    def _matches(self, compare: Json) -> bool:
        keys = decode_range(compare)
        target, result = compare.get("target", "VERSION"), compare.get("result", "EQUAL")
        if target == "VALUE":
            expected = decode_bytes(compare, "value")
            return self.store.all_match(
                keys, lambda entry: entry.version > 0 and COMPARISONS[result](entry.value, expected)
            )
        field, request_field = COMPARED_FIELDS[target]
        number = decode_number(compare, request_field)
        return self.store.all_match(keys, lambda entry: COMPARISONS[result](getattr(entry, field), number))

    def _grant(self, body: Json) -> Json:
        lease = self.store.grant(decode_number(body, "ID"), decode_number(body, "TTL"))
        return self._reply(ID=lease.id, TTL=lease.ttl)

    def _keep_alive(self, body: Json) -> Json:
        number = decode_number(body, "ID")
        lease = self.store.renew(number)
        return {"result": self._reply(ID=number, TTL=0 if lease is None else lease.ttl)}

    def _revoke(self, body: Json) -> Json:
        number = decode_number(body, "ID")
        if number not in self.store.leases:
            raise EtcdApiError(ErrorCode.NOT_FOUND, "etcdserver: requested lease not found")
        self.store.revoke(number)
        return self._reply()

    # Watches

    async def _watch(self, body: Json) -> AsyncIterator[bytes]:
        """Yield the lines of a watch: its creation, its events, and its end if the revision was compacted."""
        keys = decode_range(body)
        task = asyncio.current_task()
        assert task is not None
        self.watches.add(task)
        try:
            next_revision = decode_number(body, "start_revision") or self.store.revision + 1
            yield self._watch_line(created=True)
            while True:
                if next_revision <= self.store.compacted_revision:
                    compacted_revision = str(self.store.compacted_revision)
                    yield self._watch_line(canceled=True, compact_revision=compacted_revision)
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
            {"kv": self._encode_entry(change.entry)}
            | encode_fields(type="" if change.kind == "PUT" else change.kind)
            for change in changes
        ]
        return self._watch_line(events=events)
