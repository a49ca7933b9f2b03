"""The upstream side: one actor for each upstream, and one for each of its connections.

A connection carries one errand at a time. Whether an upstream may have run it hangs on one line: before the
request's last byte was written it can't have (`Fate.UNREACHED`), after that it may.
"""

from __future__ import annotations

import re
from math import inf
from typing import Any

import h11

from ...decisions.model import AttemptOutcome
from ...settings import REPORTED, SCALE
from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..gate import Refusal
from ..loop import INPUT, READ, WRITE, SocketReady
from ..messages import (
    CLOSE,
    CancelExchange,
    ConnectionClosed,
    ConnectionIdle,
    EndpointMoved,
    ExchangeEnded,
    StartExchange,
)
from ..state.body_stream import MAX_STREAMED_BODY, BodyStream
from ..state.buffers import MAX_BUFFERED_BODY, BufferedBody, BuffersExhaustedError
from ..state.requests import Exchange, UpstreamResponse
from .stream import ConnectionLostError, Stream, connect

EARLY = 0.8  # part of the time after which an upstream closes an idle connection, at which we do
UP = 1 / 4  # part of the shortest due time within which a connection comes up, or is given up
HELD = 1 / 64  # part of the shortest due time for which the last byte of exclusive work is held back
RESTED = 1 / 48  # part of it within which a second answer may come behind the one that was waited for
WARY = 8.0  # longest expiries for which one is wary: of breaks after a break, of second answers after one
HOLD = 1 / 2  # part of the due time after which an answer that does not tell its length is passed on
STALL = 5.0  # seconds without a byte after which an answer that is passed on counts as broken off
COMING = 30.0  # seconds that a work item may take to come, as far as its upstream is told
LONGEST_REPORT = 512
FIGURE = re.compile(r"\d{1,9}(\.\d{1,9})?")
BEGINNING = b"HTTP/1."
UNSENT_REASONS = {"no-buffers", *(refusal.value for refusal in Refusal)}
End = tuple[AttemptOutcome, dict[str, float], UpstreamResponse | None]  # how an errand ended
HOP_BY_HOP = {
    b"connection", b"keep-alive", b"te", b"trailer", b"transfer-encoding", b"upgrade", b"expect",
    b"proxy-authorization", b"proxy-authenticate", b"content-length", b"host", b"x-expires-in-ms",
}  # fmt: skip


def figures(text: str) -> dict[str, float]:
    """The figures of a load report that the decisions know. One that can't be read is dropped whole."""
    report: dict[str, float] = {}
    if len(text) > LONGEST_REPORT:
        return {}
    for pair in text.strip().removeprefix("TEXT").split(","):
        name, _, value = pair.strip().partition("=")
        if ours := REPORTED.get(name):
            # Guards against words, signs, infinities and figures said twice getting into the decisions.
            if ours in report or not FIGURE.fullmatch(value):
                return {}
            report[ours] = float(value) * SCALE.get(ours, 1.0)
    return report


def framed(response: h11.Response) -> int | None:
    """The length that an answer says it has.

    Raises `Lost` for one whose end can not be told, or that is too long to pass on. One that ends with its
    connection says so: else nobody could tell it from one whose head was spoilt.
    """
    lengths = [value for name, value in response.headers if name == b"content-length"]
    chunked = any(name == b"transfer-encoding" for name, _ in response.headers)
    said = [value.lower() for name, value in response.headers if name == b"connection"]
    closes = b"close" in said or response.http_version == b"1.0"
    if len(lengths) + chunked != 1 and not (closes and not lengths and not chunked):
        raise ConnectionLostError("unframed")
    if lengths and int(lengths[0]) > MAX_STREAMED_BODY:
        raise ConnectionLostError("answer-too-long")
    return int(lengths[0]) if lengths else None


def request_of(
    exchange: Exchange, context: SidecarContext, now: float
) -> tuple[bytes, bytes, list[tuple[bytes, bytes]]]:
    """Method, target and headers of what an errand sends; the framing is the protocol's."""
    host = (b"Host", b"backend.local")
    if exchange.pending is None:
        return b"GET", b"/status/load" if context.balancer_config.load_reported else b"/health", [host]
    pending = exchange.pending
    kept = [(name, value) for name, value in pending.headers if name.lower() not in HOP_BY_HOP]
    host = next(((name, value) for name, value in pending.headers if name.lower() == b"host"), host)
    flow = exchange.flow
    left = max(
        1,
        int(
            (exchange.deadline - now if exchange.deadline < inf else pending.request.time_left + COMING)
            * 1000
        ),
    )
    headers = [host, *kept, (b"X-Expires-In-Ms", str(left).encode())]
    if flow is not None and flow.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif pending.body.length or pending.method != b"GET":
        headers.append((b"Content-Length", str(pending.body.length).encode()))
    return pending.method, pending.target, headers


def fate_of(status: int, headers: dict[bytes, bytes]) -> AttemptOutcome:
    if status == 200:
        return AttemptOutcome.SUCCESS
    if status in (503, 504) and headers.get(b"x-never-ran") == b"1":
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR


def told_load(headers: Any, exchange: Exchange, body: BufferedBody) -> dict[str, float]:
    texts = [value for name, value in headers if name == b"endpoint-load-metrics"]
    text = texts[0].decode("latin-1") if len(texts) == 1 else ""
    if not texts and exchange.pending is None and body.length <= LONGEST_REPORT:
        text = b"".join(body.views()).decode("latin-1")
    return figures(text) if text else {}


class ConnectionPool(Actor):
    """Gives errands to its connections: of those that have rested the one used last, else a new one."""

    daemon = True

    def __init__(self, context: SidecarContext, entry: Any) -> None:
        self.context, self.entry = context, entry
        self.idle: list[Http1Connection] = []
        self.shared: list[Any] = []  # connections that carry many at once, where the settings say so
        self.last_begun_at, self.last_trace = 0.0, b""  # of the last attempt begun here; 0: none
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        while True:
            match (yield None):
                case StartExchange(exchange):
                    try:
                        self._carry(exchange)
                    except Exception:
                        # Guards against a hand-off that never ends: its upstream would seem silent for good.
                        self.context.coordinator.post(ExchangeEnded(exchange, AttemptOutcome.NOT_SENT))
                        raise
                case CancelExchange(exchange) as drop:
                    if exchange.connection:
                        exchange.connection.post(drop)
                case ConnectionIdle(connection):
                    self.idle.append(connection)
                    self.context.connections.idle[connection] = None
                case ConnectionClosed(connection):
                    self._no_longer_idle(connection)
                case EndpointMoved(entry):
                    self._moved(entry)

    def _no_longer_idle(self, connection: Http1Connection) -> None:
        self.context.connections.idle.pop(connection, None)
        for held in (self.idle, self.shared):
            if connection in held:
                held.remove(connection)

    def _moved(self, entry: Any) -> None:
        """Idle connections to a process that goes or has gone, or to its old address, are of no use."""
        before = self.entry
        if (
            entry is None
            or entry.state == "leaving"
            or (entry.addr, entry.started_ms) != (before.addr, before.started_ms)
        ):
            for connection in [*self.idle, *self.shared]:
                self._no_longer_idle(connection)
                connection.post(CLOSE)
            self._log_moved(entry)
        self.entry = entry or before

    def _log_moved(self, entry: Any) -> None:
        """What was begun here last, and when: shows whether anything was begun after the notice."""
        self.context.log(
            "upstream.moved",
            upstream=self.entry.id,
            state=entry.state if entry is not None else "left",
            last_begun_at=self.last_begun_at,
            last_trace=self.last_trace.decode("latin-1"),
        )

    def _carry(self, exchange: Exchange) -> None:
        for connection in self.shared:
            if connection.takes():
                exchange.connection = connection
                connection.post(StartExchange(exchange))
                return
        room = self.context.connections.room_for_upstream()
        # Guards against a second answer that comes late being taken for that of the next request.
        if connection := self.rested() or (None if room else self._longest_idle()):
            exchange.connection = connection
            connection.post(StartExchange(exchange))
            return
        if not room:
            longest_idle = self.context.connections.longest_idle()
            if longest_idle is None:
                self.context.coordinator.post(ExchangeEnded(exchange, AttemptOutcome.NOT_SENT))
                return
            longest_idle.upstream._no_longer_idle(longest_idle)
            longest_idle.post(CLOSE)
        exchange.connection = self.context.connection_type(self.context, self, exchange)
        if self.context.balancer_config.streams_per_connection > 1:
            self.shared.append(exchange.connection)
        exchange.connection.begin()

    def note_begun(self, exchange: Exchange, now: float) -> None:
        """The first byte of an attempt is about to be written."""
        self.last_begun_at = now
        self.last_trace = exchange.pending.trace if exchange.pending is not None else b""

    def rested(self) -> Http1Connection | None:
        """Of the idle connections on which no second answer is expected the one used last; it is taken."""
        return self._first_usable([c for c in reversed(self.idle) if c.rested()])

    def _longest_idle(self) -> Http1Connection | None:
        return self._first_usable(self.idle.copy())

    def _first_usable(self, idle: list[Http1Connection]) -> Http1Connection | None:
        for connection in idle:
            self._no_longer_idle(connection)
            # Guards against a request written to a connection that the upstream has closed or soon will.
            if connection.usable():
                return connection
            connection.post(CLOSE)
        return None


class Http1Connection(Actor):
    """One connection to an upstream, from its first errand to its end."""

    def __init__(self, context: SidecarContext, upstream: ConnectionPool, exchange: Exchange) -> None:
        self.context, self.upstream = context, upstream
        self.exchange: Exchange | None = exchange
        self.stream: Stream | None = None
        self.body = BufferedBody(context.buffer_pool)
        self.reason = ""
        self.carried = 0
        self.idle_since = self.written_at = 0.0  # nothing: not yet
        self.asked = False  # its last errand was a question
        self.entry = upstream.entry  # as it was when this connection was begun
        context.connections.upstream[self] = None
        context.connections.note()
        super().__init__(context.loop)

    def usable(self) -> bool:
        fresh = self.loop.now() < self.idle_since + EARLY * self.context.balancer_config.idle_timeout
        return fresh and not self.ended and self.stream.silent()

    def rested(self) -> bool:
        """No second answer is to be expected on it any more.

        After a question only while such come: its upstream is often handed the work item at once, and a new
        connection for each costs upstreams work.
        """
        now = self.loop.now()
        quiet = self.asked and now >= self.context.unsolicited_until
        return not self.carried or quiet or now >= self.idle_since + RESTED * self.context.shortest_objective

    def run(self) -> Coroutine[None]:
        try:
            yield from self._connect()
            if self.exchange is None:
                self.upstream.post(ConnectionIdle(self))
                yield from self._rest()
            while True:
                fate, report, answer = yield from self._exchange()
                if self.reason:
                    break
                self._settle(fate, report, answer)
                self.upstream.post(ConnectionIdle(self))
                yield from self._rest()
        except ConnectionLostError as lost:
            fate, report, answer = self._fate(str(lost)), {}, None
        except GeneratorExit:
            fate, report, answer = self._fate("stopped"), {}, None
        finally:
            if not self.reason:
                # Guards against the answer of an earlier errand being taken for that of this one.
                fate, report, answer = self._fate("defect"), {}, None
            self._settle(fate, report, answer)
            self._close()

    def _fate(self, reason: str) -> AttemptOutcome:
        """How the errand ended when its connection can't be used any more."""
        self.reason = reason
        if reason == "dropped":
            return AttemptOutcome.CANCELLED
        written = self.exchange is not None and self.exchange.written
        if self.exchange is not None and reason in ("reset", "cut-short"):
            now = self.loop.now()
            if not written or now < self.written_at + HELD * self.context.shortest_objective:
                self.context.resets_expected_until = now + WARY * self.context.longest_timeout
        if self.exchange is not None and not written and self.idle_since:
            # The connection was old, which says nothing of the upstream.
            return AttemptOutcome.NOT_SENT
        if reason == "overdue" and written:
            return AttemptOutcome.TIMED_OUT
        if reason in UNSENT_REASONS and not written:
            return AttemptOutcome.NOT_SENT
        if reason == "answered-early":
            return AttemptOutcome.REJECTED
        return AttemptOutcome.RESET if written else AttemptOutcome.CONNECT_FAILED

    def _await(self, until: float, late: str, hold: float = inf) -> Coroutine[SocketReady | None]:
        """The next word of the socket, unless the errand is given up before; None: `hold` has come."""
        while True:
            message = yield min(until, hold)
            if message is None and hold < until:
                return None
            if message is None:
                raise ConnectionLostError(late)
            if isinstance(message, SocketReady):
                return message
            if isinstance(message, CancelExchange) and message.exchange is self.exchange:
                raise ConnectionLostError("dropped")

    def _connect(self) -> Coroutine[None]:
        sock = connect(self.entry.addr)
        self.stream = Stream(self.loop, self, sock, h11.CLIENT, self.context.buffer_pool)
        self.stream.want(WRITE)
        # Guards against a connection that never comes up: a machine that vanished says nothing. What waits
        # has not run, so it is given up while there is time for another upstream.
        within = self.loop.now() + min(
            self.context.balancer_config.connect_timeout, UP * self.context.shortest_objective
        )
        up = None
        while up is None:
            exchange = self.exchange
            until = within if exchange is None else min(within, exchange.deadline)
            look = inf if exchange is None else self.loop.now() + RESTED * self.context.shortest_objective
            up = yield from self._await(until, "never-came-up", look)
            if up is None and (kept := self.upstream.rested()):
                # Guards against waiting for one that comes up late where another has rested meanwhile.
                self.exchange, exchange.connection = None, kept
                kept.post(StartExchange(exchange))
        self.stream.came_up()

    # One errand.

    def _exchange(self) -> Coroutine[End]:
        exchange, stream = self.exchange, self.stream
        if self.carried:
            yield from self._listen(exchange)
        if self.idle_since:
            # Guards against what came behind the last answer being taken for the next one.
            self._nothing_came()
        if why := self.context.gate.refusal(self.entry, exchange):
            if why is Refusal.MOVED:
                raise ConnectionLostError(why.value)
            return AttemptOutcome.NOT_SENT, {}, None
        self.upstream.note_begun(exchange, self.loop.now())
        self._put(exchange)
        if exchange.flow is not None:
            yield from self._pass_request(exchange, exchange.flow)
        elif exchange.non_idempotent and self.loop.now() < self.context.resets_expected_until:
            yield from self._hold_back(exchange)
        yield from self._write(exchange)
        exchange.written, self.written_at = True, self.loop.now()
        if exchange.flow is not None:
            exchange.count_from(self.written_at)
        stream.want(READ)
        response = yield from self._answer(exchange)
        headers = dict(response.headers)
        report = told_load(response.headers, exchange, self.body)
        if stream.http.our_state is h11.DONE and stream.http.their_state is h11.DONE:
            stream.http.start_next_cycle()
            if stream.http.trailing_data[0]:
                self.reason = self._unasked()
        else:
            self.reason = "upstream-closes"
        fate = fate_of(response.status_code, headers)
        self.asked = exchange.pending is None
        self.carried += 1
        if self.exchange is None:
            return fate, report, None  # it has been passed on
        if fate is AttemptOutcome.SUCCESS and exchange.pending is not None:
            body, self.body = self.body, BufferedBody(self.context.buffer_pool)
            return fate, report, UpstreamResponse(body, headers.get(b"content-type", b""))
        self.body.release()
        return fate, report, None

    def _listen(self, exchange: Exchange) -> Coroutine[None]:
        """Guards against a second answer to the last request, that comes late, being taken for this one's.

        Only while such come: a connection that has not rested is used where there is no room for another.
        """
        until = min(
            self.idle_since + RESTED * self.context.shortest_objective, self.context.unsolicited_until
        )
        while self.loop.now() < until:
            message = yield until
            if isinstance(message, SocketReady):
                self._nothing_came()
            if isinstance(message, CancelExchange) and message.exchange is exchange:
                raise ConnectionLostError("dropped")

    def _nothing_came(self) -> None:
        """Raises `Lost` if something has come that nobody waits for, be it the end."""
        if not self.stream.silent():
            raise ConnectionLostError("upstream-closed" if self.stream.ended() else self._unasked())

    def _unasked(self) -> str:
        """Bytes came that nobody had asked for: it may happen again, here or at another upstream."""
        self.context.unsolicited_until = self.loop.now() + WARY * self.context.longest_timeout
        return "unasked-bytes"

    def _pass_request(self, exchange: Exchange, flow: BodyStream) -> Coroutine[None]:
        """Write a body while it comes; what ends it is left to be written."""
        flow.sink = self
        yield from self._write(exchange)
        while not flow.whole:
            if flow.broken:
                raise ConnectionLostError("client-left")
            part = flow.take()
            if not part.length:
                self.stream.want(READ)
                message = yield exchange.deadline
                if message is None and self.loop.now() >= exchange.deadline:
                    raise ConnectionLostError("overdue")
                if isinstance(message, SocketReady):
                    self._not_answered_early(message)
                if isinstance(message, CancelExchange) and message.exchange is exchange:
                    raise ConnectionLostError("dropped")
                continue
            # What has been taken is gone: this hand-off is the only one that there will be.
            exchange.pending.request.max_attempts = 1
            if flow.whole:
                self._still_wanted(exchange)
            # With the last byte it may run: how many of these arrive is not known if the connection breaks.
            exchange.written = flow.taken == flow.length
            try:
                self.stream.put(*(h11.Data(data=view) for view in part.views()))
                while not self.stream.write():
                    self.stream.want(READ | WRITE)
                    self._not_answered_early((yield from self._await(exchange.deadline, "overdue")))
            finally:
                part.release()
        if not exchange.written:
            self._still_wanted(exchange)
        exchange.written = True
        self.stream.put(h11.EndOfMessage())

    def _not_answered_early(self, ready: SocketReady) -> None:
        """Guards against sending megabytes to one that has turned them down already."""
        if ready.mask & INPUT and not self.exchange.written:
            raise ConnectionLostError("reset" if ready.hung_up else "answered-early")

    def _hold_back(self, exchange: Exchange) -> Coroutine[None]:
        """Write all but the last byte, and wait a moment for the connection to break.

        Guards against exclusive work lost to connections that upstreams have closed or reset already: while a
        byte is missing none can have begun it.
        """
        last = self.stream.keep_last()
        yield from self._write(exchange)
        self.stream.want(READ)
        until = self.loop.now() + HELD * self.context.shortest_objective
        while self.loop.now() < until:
            message = yield min(until, exchange.deadline)
            if isinstance(message, SocketReady):
                self._still_unanswered(message)
            elif isinstance(message, CancelExchange) and message.exchange is exchange:
                raise ConnectionLostError("dropped")
        if self.loop.now() >= exchange.deadline:
            raise ConnectionLostError("overdue")
        if not self.stream.silent():
            raise ConnectionLostError("reset")
        self._still_wanted(exchange)
        self.stream.unwritten.append(last)

    def _still_wanted(self, exchange: Exchange) -> None:
        if why := self.context.gate.unwanted(exchange):
            raise ConnectionLostError(why.value)

    def _write(self, exchange: Exchange) -> Coroutine[None]:
        done = self.stream.write()
        self.context.gate.note_written(exchange)
        while not done:
            self.stream.want(READ | WRITE)
            self._still_unanswered((yield from self._await(exchange.deadline, "overdue")))
            self._still_wanted(exchange)
            done = self.stream.write()

    def _still_unanswered(self, ready: SocketReady) -> None:
        """Guards against an answer to something else: before its request is written there is none."""
        if ready.mask & INPUT:
            raise ConnectionLostError("reset" if ready.hung_up else "early-answer")

    def _put(self, exchange: Exchange) -> None:
        method, target, headers = request_of(exchange, self.context, self.loop.now())
        self.stream.put(h11.Request(method=method, target=target, headers=headers))
        if exchange.flow is not None:
            return
        body = exchange.pending.body.views() if exchange.pending is not None else []
        self.stream.put(*(h11.Data(data=view) for view in body), h11.EndOfMessage())

    def _answer(self, exchange: Exchange) -> Coroutine[h11.Response]:
        """The head of the answer; its body, whole, is then in `self.body`, or it has been passed on."""
        response, length, flow = None, None, None
        try:
            while True:
                event = self.stream.event()
                if isinstance(event, h11.Response):
                    response, length = event, framed(event)
                elif isinstance(event, h11.Data):
                    if (
                        flow is None
                        and max(length or 0, self.body.length + len(event.data)) > MAX_BUFFERED_BODY
                    ):
                        flow = self._begin_to_pass_on(exchange, response, length)
                    if flow is not None and flow.total + len(event.data) > MAX_STREAMED_BODY:
                        raise ConnectionLostError("answer-too-long")
                    try:
                        (flow or self.body).add(event.data)
                    except BuffersExhaustedError:
                        raise ConnectionLostError("no-buffers") from None
                elif isinstance(event, h11.EndOfMessage):
                    if flow is not None:
                        flow.end()
                    return response
                elif (yield from self._read_on(event, exchange, response, length, flow)):
                    flow = self._begin_to_pass_on(exchange, response, length)
        finally:
            if flow is not None:
                flow.break_off()

    def _begin_to_pass_on(self, exchange: Exchange, response: h11.Response, length: int | None) -> BodyStream:
        """The first bytes of a long answer are the final answer: from now on only its source ends it."""
        headers = dict(response.headers)
        if exchange.pending is None or fate_of(response.status_code, headers) is not AttemptOutcome.SUCCESS:
            raise ConnectionLostError("answer-too-long")
        body, self.body = self.body, BufferedBody(self.context.buffer_pool)
        report = told_load(response.headers, exchange, body)
        flow = BodyStream(self.context.buffer_pool, self, length, body)
        self._settle(
            AttemptOutcome.SUCCESS, report, UpstreamResponse(flow, headers.get(b"content-type", b""))
        )
        return flow

    def _read_on(
        self,
        event: Any,
        exchange: Exchange,
        response: h11.Response | None,
        length: int | None,
        flow: BodyStream | None,
    ) -> Coroutine[bool]:
        """What is neither a head, nor a body, nor the end of one. True: it is not to be kept any longer."""
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionLostError("upstream-closed")
        if event is not h11.NEED_DATA:
            return False
        if response is None:
            begun = self.stream.http.trailing_data[0]
            if not begun.startswith(BEGINNING[: len(begun)]):
                # Guards against waiting for the end of a head in noise that has no line in it.
                raise ConnectionLostError("malformed")
        if flow is None:
            hold = self._hold_until(exchange, response) if length is None else inf
            if (yield from self._await(exchange.deadline, "overdue", hold)) is None:
                return True
            self.stream.read()
            return False
        while not flow.room() and not flow.refused:
            # Its client is slow, or buffers are short: what follows waits in the kernel.
            self.stream.pause()
            yield inf if flow.full else self.loop.now() + self.context.shortest_objective / 64
        if flow.refused:
            raise ConnectionLostError("dropped")
        self.stream.want(READ)
        until = self.loop.now() + STALL
        message = yield until
        if message is None and self.loop.now() >= until:
            raise ConnectionLostError("silent")
        if isinstance(message, SocketReady):
            self.stream.read()
        return False

    def _hold_until(self, exchange: Exchange, response: h11.Response | None) -> float:
        """How long the beginning of an answer is kept that tells no length and may be a long one.

        Guards against giving up, as late, one whose first bytes have come in time.
        """
        if (
            response is None
            or exchange.pending is None
            or response.status_code != 200
            or not self.body.length
        ):
            return inf
        return (
            exchange.pending.request.arrived_at
            + HOLD * exchange.pending.request.request_class.latency_objective
        )

    # Between errands.

    def _rest(self) -> Coroutine[None]:
        """Wait for the next errand, or for the end."""
        self.idle_since = self.loop.now()
        until = self.idle_since + EARLY * self.context.balancer_config.idle_timeout
        while True:
            message = yield until
            if isinstance(message, StartExchange):
                self.exchange = message.exchange
                return
            if message is CLOSE or isinstance(message, SocketReady):
                self._nothing_came()
            if message is CLOSE:
                raise ConnectionLostError("not-needed")
            if message is None:
                raise ConnectionLostError("idle")

    def _settle(
        self, fate: AttemptOutcome, report: dict[str, float], answer: UpstreamResponse | None
    ) -> None:
        if self.exchange is not None:
            self.context.coordinator.post(ExchangeEnded(self.exchange, fate, report, answer))
            self.exchange = None

    def _close(self) -> None:
        self.body.release()
        if self.stream is not None:
            self.stream.close()
        self.context.connections.upstream.pop(self, None)
        self.upstream.post(ConnectionClosed(self))
        name = self.upstream.entry.id
        self.context.log("upstream.end", reason=self.reason, upstream=name, carried=self.carried)

    def undelivered(self, message: Any) -> None:
        # Guards against an errand lost because the upstream closed while it was on its way to the connection,
        # which was old: that says nothing of the upstream.
        if isinstance(message, StartExchange):
            self.context.coordinator.post(ExchangeEnded(message.exchange, AttemptOutcome.NOT_SENT))
