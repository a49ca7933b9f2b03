"""The arbiter's client: etcd through the JSON gateway of its v3 API, over HTTP/1.1.

Keys and values are in base64, 64-bit numbers are strings, what is zero or false is left out. Four actors:
`Lessee` holds our lease and our entry, `Onlooker` follows what the fleet has there, `Clerk` ends the entries
of processes that have ended, `Scribe` writes what the policy has due. None is part of the ordinary path:
while the arbiter is gone, slow or talks nonsense, they try again at growing pauses, and all goes on under the
last view.
"""

from __future__ import annotations

import random
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable
from math import inf
from typing import Any

import h11
import msgspec

from ...fleet.membership import Member
from ...fleet.records import CELLS, MEMBERS, NAMES, Compare, StoreEntry, StoreRecords, Transaction, equal
from ..actor import Actor, Coroutine
from ..http.stream import ConnectionLostError, Stream, connect
from ..loop import READ, WRITE, Loop, SocketReady
from ..state.buffers import BufferPool
from .messages import (
    REGISTER_AGAIN,
    EntryLost,
    EvictMember,
    LeaseRenewed,
    StoreRead,
    ViewChanged,
    WriteTransaction,
)

WITHIN = 1 / 3  # of the lease within which a call is answered, or given up
RENEW = 1 / 3  # of the lease after which it is renewed
PAUSES = (0.05, 1.0)  # seconds before the next try: the first, and where the doubling ends
LONGEST = 1 << 22  # bytes of one answer
LINE = 1 << 20  # bytes of one line of a watch
MOST = 16_000  # entries that are believed: of a member three, while a policy is voted on
QUIET = 3.0  # leases without a word after which a watch is begun anew
RANGE, TXN, WATCH = "/v3/kv/range", "/v3/kv/txn", "/v3/watch"
GRANT, KEEPALIVE = "/v3/lease/grant", "/v3/lease/keepalive"


class UnusableReplyError(Exception):
    """An answer that is none, or a no; the text is its reason code."""


class ReplyHeader(msgspec.Struct):
    revision: str = "0"


class KeyValue(msgspec.Struct):
    key: str = ""
    value: str = ""
    create_revision: str = "0"
    mod_revision: str = "0"


class RangeReply(msgspec.Struct):
    header: ReplyHeader
    kvs: list[KeyValue] = []
    count: str = "0"


class LeaseGranted(msgspec.Struct):
    ID: str
    TTL: str = "0"


class KeepAliveReply(msgspec.Struct):
    result: LeaseGranted


class TransactionReply(msgspec.Struct):
    header: ReplyHeader
    succeeded: bool = False


class Event(msgspec.Struct):
    kv: KeyValue
    type: str = "PUT"


class WatchEvents(msgspec.Struct):
    header: ReplyHeader | None = None
    events: list[Event] = []
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"


class WatchLine(msgspec.Struct):
    result: WatchEvents


def b64(text: str | bytes) -> str:
    return b64encode(text.encode() if isinstance(text, str) else text).decode()


def after(prefix: str) -> str:
    """The end of the range of all keys that begin with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def number(text: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > 19:
        raise UnusableReplyError("no-number")
    return int(text)


def read(data: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UnusableReplyError("unreadable") from error


class EtcdSession(Actor):
    """What they have in common: calls over one kept connection, and pauses between tries."""

    daemon = True

    def __init__(
        self,
        loop: Loop,
        addresses: list[str],
        lease: float,
        pool: BufferPool,
        log: Callable[..., None],
        rng: random.Random,
        fleet: str,
    ) -> None:
        self.addresses, self.lease, self.pool, self.log, self.rng = addresses, lease, pool, log, rng
        self.fleet = f"/{fleet}/"
        self.prefix = f"{self.fleet}{MEMBERS}"
        self.stream: Stream | None = None
        self.turn, self.pause = 0, 0.0
        self.reasons: Counter[str] = Counter()
        self.at = ""
        super().__init__(loop)

    def run(self) -> Coroutine[None]:
        while True:
            try:
                yield from self.work()
            except (ConnectionLostError, UnusableReplyError) as error:
                self.hang_up()
                self.reasons[str(error)] += 1
                if not self.pause and str(error) != "quiet":
                    self.log("arbiter.failed", reason=str(error), address=self.at, actor=type(self).__name__)
                self.turn += 1  # another one may be up
                self.pause = min(max(2 * self.pause, PAUSES[0]), PAUSES[1])
                until = self.loop.now() + self.pause * (0.5 + self.rng.random())
                while self.loop.now() < until:
                    yield until

    def work(self) -> Coroutine[None]:
        """One stay; ends by `Lost` or `Unfit`."""
        raise NotImplementedError

    def well(self) -> None:
        if self.pause:
            self.log("arbiter.back", address=self.at, actor=type(self).__name__)
        self.pause = 0.0

    def hang_up(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def wait(self, until: float) -> Coroutine[None]:
        while self.loop.now() < until:
            message = yield until
            if isinstance(message, EntryLost):
                raise UnusableReplyError("entry-gone")
            if isinstance(message, SocketReady) and self.stream is not None:
                # Nothing was asked for: it has ended.
                self.hang_up()

    def _ready(self, until: float, late: str = "slow") -> Coroutine[None]:
        while True:
            message = yield until
            if isinstance(message, SocketReady):
                return
            if isinstance(message, EntryLost):
                raise UnusableReplyError("entry-gone")
            if message is REGISTER_AGAIN:
                raise ConnectionLostError("quiet")
            if self.loop.now() >= until:
                raise ConnectionLostError(late)

    def ask(self, path: str, body: dict[str, Any], until: float) -> Coroutine[None]:
        """Send a call; what follows is its answer."""
        if self.stream is None or not self.stream.silent():
            self.hang_up()
            self.at = self.addresses[self.turn % len(self.addresses)]
            self.stream = Stream(self.loop, self, connect(self.at), h11.CLIENT, self.pool)
            self.stream.want(WRITE)
            yield from self._ready(until)
            self.stream.came_up()
        data = msgspec.json.encode(body)
        headers = [
            (b"Host", self.at.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(data)).encode()),
        ]
        request = h11.Request(method=b"POST", target=path.encode(), headers=headers)
        self.stream.put(request, h11.Data(data=data), h11.EndOfMessage())
        while not self.stream.write():
            self.stream.want(WRITE)
            yield from self._ready(until)
        self.stream.want(READ)

    def event(self, until: float, late: str = "slow") -> Coroutine[Any]:
        """The next piece of an answer."""
        while True:
            event = self.stream.event()
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    raise ConnectionLostError("closed")
                return event
            yield from self._ready(until, late)
            self.stream.read()

    def call(self, path: str, body: dict[str, Any], kind: type[Any]) -> Coroutine[Any]:
        """One call and its whole answer, read as `kind`."""
        until = self.loop.now() + WITHIN * self.lease
        yield from self.ask(path, body, until)
        status, data = 0, b""
        while True:
            event = yield from self.event(until)
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                data += bytes(event.data)
                if len(data) > LONGEST:
                    raise UnusableReplyError("endless")
            elif isinstance(event, h11.EndOfMessage):
                break
        if self.stream.http.our_state is h11.DONE and self.stream.http.their_state is h11.DONE:
            self.stream.http.start_next_cycle()
        else:
            self.hang_up()
        if status != 200:
            raise UnusableReplyError(f"answered-{status}")
        return read(data, kind)

    def write(self, txn: Transaction, lease: str = "") -> Coroutine[bool]:
        """Whether it was carried out. `lease`: of what is put."""
        compare = [self._compared(one) for one in txn.compare]
        under = {"lease": lease} if lease else {}
        success: list[dict[str, Any]] = [
            {"request_put": {"key": b64(self.fleet + key), "value": b64(value)} | under}
            for key, value in txn.put
        ]
        for key in txn.erase:
            erase = {"key": b64(self.fleet + key)}
            if key.endswith("/"):
                erase["range_end"] = b64(after(self.fleet + key))
            success.append({"request_delete_range": erase})
        decided = yield from self.call(TXN, {"compare": compare, "success": success}, TransactionReply)
        self.well()
        return decided.succeeded

    def _compared(self, one: Compare) -> dict[str, str]:
        key = self.fleet + one.key
        field = {"MOD": "mod_revision", "CREATE": "create_revision"}[one.target]
        told = {"key": b64(key), "target": one.target, "result": one.result, field: str(one.value)}
        if one.prefix:
            told["range_end"] = b64(after(key))
        return told


class LeaseKeeper(EtcdSession):
    """Holds a lease and, under it, our entry among the members."""

    def __init__(self, *given: Any, member: Member, tell: Callable[[Any], None]) -> None:
        super().__init__(*given)
        self.member, self.tell = member, tell
        self.held = ""  # the lease

    def work(self) -> Coroutine[None]:
        asked = self.loop.now()
        granted = yield from self.call(GRANT, {"TTL": str(int(self.lease))}, LeaseGranted)
        lease, seconds = granted.ID, number(granted.TTL)
        put = {
            "key": b64(self.prefix + self.member.id),
            "value": b64(msgspec.json.encode(self.member)),
            "lease": lease,
        }
        # Our name stays when our entry goes: more than half is counted of those that ever were in.
        name = {"key": b64(f"{self.fleet}{NAMES}{self.member.name}"), "value": b64(b"1")}
        new = {"key": name["key"], "target": "CREATE", "result": "EQUAL", "create_revision": "0"}
        entry = {"request_put": put}
        enter = {"compare": [new], "success": [{"request_put": name}, entry], "failure": [entry]}
        entered = number((yield from self.call(TXN, enter, TransactionReply)).header.revision)
        self.held = lease
        self.log("arbiter.entered", member=self.member.id, lease_s=seconds)
        held = asked
        while True:
            self.tell(LeaseRenewed(held + seconds, entered))
            self.well()
            yield from self.wait(held + RENEW * seconds)
            while True:
                asked = self.loop.now()
                try:
                    kept = yield from self.call(KEEPALIVE, {"ID": lease}, KeepAliveReply)
                    break
                except (ConnectionLostError, UnusableReplyError) as error:
                    self.hang_up()
                    if str(error) == "entry-gone" or self.loop.now() >= held + seconds:
                        raise
                    # The lease may well hold: its renewal is asked for again before a new one is.
                    self.reasons[str(error)] += 1
                    self.turn += 1
                    yield from self.wait(self.loop.now() + PAUSES[0])
            held, seconds = asked, number(kept.result.TTL)
            if not seconds:
                self.tell(LeaseRenewed(-inf, 0))
                raise UnusableReplyError("lease-ended")


class MemberEvictor(EtcdSession):
    """Ends the entries of members whose process has ended, so that nobody waits for their leases."""

    def __init__(self, *given: Any) -> None:
        self.gone: dict[str, Member] = {}  # whose entries are to end
        super().__init__(*given)

    def post(self, message: Any) -> None:
        if isinstance(message, EvictMember):
            # Guards against losing one that comes while another is waited for: many may end at once.
            self.gone[message.member.id] = message.member
        super().post(message)

    def work(self) -> Coroutine[None]:
        while True:
            while self.gone:
                # Guards against all members asking in the same moment; the first one does.
                yield from self.wait(self.loop.now() + self.rng.random() * PAUSES[0])
                yield from self._strike(self.gone.popitem()[1])
            if isinstance((yield None), SocketReady):
                self.hang_up()

    def _strike(self, member: Member) -> Coroutine[None]:
        key = MEMBERS + member.id
        # Only the entry that we know of: it may have entered anew.
        if (yield from self.write(Transaction("strike", [equal(key, "CREATE", member.term)], erase=[key]))):
            self.log("member.struck", member=member.id)


class StateWriter(EtcdSession):
    """Writes at the arbiter what the policy has due, and what operators ask for."""

    def __init__(
        self, *given: Any, due: Callable[[], Transaction | float], lease_id: Callable[[], str]
    ) -> None:
        super().__init__(*given)
        self.due, self.lease_id = due, lease_id

    def work(self) -> Coroutine[None]:
        until = 0.0
        while True:
            what = self.due() if self.loop.now() >= until else until
            if isinstance(what, Transaction):
                done = yield from self.write(what, self.lease_id() if what.leased else "")
                if not what.leased:
                    self.log("arbiter.wrote", what=what.what, done=done)
                # What it did is seen by the watch; it is tried again where that shows nothing.
                until = self.loop.now() + self.lease * WITHIN / 4
                continue
            message = yield what
            if isinstance(message, SocketReady):
                self.hang_up()
            elif isinstance(message, WriteTransaction):
                message.done = yield from self.write(message.txn)
            elif message is not None:
                until = 0.0  # something is known anew


class StateWatcher(EtcdSession):
    """Follows all that the fleet has at the arbiter: the whole, then each change of it, in order."""

    def __init__(self, *given: Any, tell: Callable[[Any], None]) -> None:
        super().__init__(*given)
        self.tell = tell
        self.records = StoreRecords()
        self.revision = 0  # up to which all changes are known; 0: none is

    def work(self) -> Coroutine[None]:
        reach = {"key": b64(self.fleet), "range_end": b64(after(self.fleet))}
        if not self.revision:
            ranged = yield from self.call(RANGE, reach, RangeReply)
            if len(ranged.kvs) > MOST:
                raise UnusableReplyError("too-many")
            self.records = StoreRecords(self.records.cells if self.records.revision else 0)
            for pair in ranged.kvs:
                self._put(pair)
            self.revision = number(ranged.header.revision)
            self._say(gap=True, members=True)
        # From where we were: guards against changes that nobody tells.
        create = {"create_request": reach | {"start_revision": str(self.revision + 1)}}
        yield from self.ask(WATCH, create, self.loop.now() + WITHIN * self.lease)
        line = b""
        while True:
            event = yield from self.event(self.loop.now() + QUIET * self.lease, "quiet")
            if isinstance(event, h11.Response) and event.status_code != 200:
                raise UnusableReplyError(f"answered-{event.status_code}")
            if isinstance(event, h11.Data):
                *whole, line = (line + bytes(event.data)).split(b"\n")
                if len(line) > LINE:
                    raise UnusableReplyError("endless")
                for text in whole:
                    if text.strip():
                        self._seen(read(text, WatchLine).result)
            elif isinstance(event, h11.EndOfMessage):
                raise ConnectionLostError("watch-ended")

    def _seen(self, seen: WatchEvents) -> None:
        if seen.canceled:
            self.revision = 0
            raise UnusableReplyError("compacted" if seen.compact_revision != "0" else "canceled")
        self.well()
        last, members = "", False
        for event in seen.events:
            if members and event.kv.mod_revision != last:
                # Each change of the members or cells by itself: a view between may have been somebody's.
                self._say(gap=False, members=True)
                members = False
            last = event.kv.mod_revision
            self.revision = max(self.revision, number(last))
            key = self._key(event.kv)
            members = members or key.startswith(MEMBERS) or key == CELLS
            if event.type == "DELETE":
                self.records.erase(key)
            else:
                self._put(event.kv)
        if seen.events:
            self._say(gap=False, members=members)

    def _key(self, pair: KeyValue) -> str:
        try:
            key = b64decode(pair.key, validate=True).decode()
        except ValueError as error:
            raise UnusableReplyError("unreadable") from error
        if not key.startswith(self.fleet):
            raise UnusableReplyError("not-asked-for")
        return key.removeprefix(self.fleet)

    def _put(self, pair: KeyValue) -> None:
        key = self._key(pair)
        try:
            value = b64decode(pair.value, validate=True)
        except ValueError:
            value = b""
        reason = self.records.put(
            key, StoreEntry(value, number(pair.create_revision), number(pair.mod_revision))
        )
        if reason:
            # One entry that nobody can read does not hide the others.
            self.log("arbiter.entry", key=key, reason=reason)

    def _say(self, gap: bool, members: bool) -> None:
        self.records.revision = self.revision
        if members:
            self.tell(ViewChanged(self.records.view(), gap))
        self.tell(StoreRead(self.records.copy(), gap))
