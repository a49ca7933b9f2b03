"""A connection to an upstream that carries many errands at once: HTTP/2 by h2, begun unasked (RFC 9113).

Loaded only where the settings say that a connection carries more than one. What proves that an errand never
ran: its connection never came up, its stream was not begun, or the upstream says so by REFUSED_STREAM or a
GOAWAY that names an earlier stream as the last. From its first frame on it may have run.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
import h11

from ...decisions.terms import Fate
from ..actor import Actor, Coroutine
from ..loop import READ, WRITE, Ready
from ..mail import CLOSE, Carry, Closed, Drop, Ended
from ..memory.buffers import Body, Exhausted
from ..memory.work import Answer, Errand
from .http import Lost, Stream, connect
from .upstream import EARLY, UP, fate_of, request_of, told_load

if TYPE_CHECKING:
    from ..lifecycle.start import Node
    from .upstream import Upstream

SETTINGS_FRAME = b"\x04"  # the type that the first frame has
NO_STATUS = 1  # for one that is no number; read as an error that may have run
WINDOW = 1 << 20  # bytes that an upstream may send ahead on one connection


class Exchange:
    """One errand on its stream."""

    __slots__ = ("errand", "number", "unsent", "status", "headers", "body")

    def __init__(self, errand: Errand, number: int, body: Body) -> None:
        self.errand, self.number, self.body = errand, number, body
        self.unsent = [bytes(view) for view in errand.job.body.views()] if errand.job else []
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []


class Shared(Actor):
    """One connection from its first errand to its end. A defect or a break ends every errand on it."""

    def __init__(self, node: Node, upstream: Upstream, errand: Errand) -> None:
        self.node, self.upstream = node, upstream
        self.waiting: dict[Errand, None] = {errand: None}  # until it is up and can be written to
        self.streams: dict[int, Exchange] = {}
        self.up = self.leaving = False
        self.stream: Stream | None = None
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.idle_since = 0.0
        self.entry = upstream.entry  # as it was when this connection was begun
        self.first = b""
        self.carried = 0
        node.ledger.upstream[self] = None
        node.ledger.note()
        super().__init__(node.loop)

    def takes(self) -> bool:
        """Another errand may be given to it."""
        most = self.node.terms.streams
        if self.up:
            most = min(most, self.http.remote_settings.max_concurrent_streams)
        return not self.ended and not self.leaving and len(self.streams) + len(self.waiting) < most

    def run(self) -> Coroutine[None]:
        reason = "defect"
        try:
            yield from self._connect()
            while True:
                yield from self._turn()
        except Lost as lost:
            reason = str(lost)
        except GeneratorExit:
            reason = "stopped"
        finally:
            self._close(reason)

    def _connect(self) -> Coroutine[None]:
        sock = connect(self.entry.addr)
        self.stream = Stream(self.loop, self, sock, h11.CLIENT, self.node.pool)
        self.stream.want(WRITE)
        until = self.loop.now() + min(self.node.terms.connect_within, UP * self.node.shortest)
        while True:
            self._overdue()
            if not self.waiting:
                raise Lost("not-needed")
            mail = yield min(until, self._next_due())
            if isinstance(mail, Ready):
                break
            if mail is None and self.loop.now() >= until:
                raise Lost("never-came-up")
            self._take(mail)
        self.stream.came_up()
        self.up = True
        self.idle_since = self.loop.now()
        self.http.initiate_connection()
        self.http.update_settings({h2.settings.SettingCodes.ENABLE_PUSH: 0})
        self.http.increment_flow_control_window(WINDOW)
        for errand in list(self.waiting):
            del self.waiting[errand]
            self._begin(errand)

    def _turn(self) -> Coroutine[None]:
        """Write what is to be written, then one word of the socket or one mail."""
        while (written := self._flush()) and self.waiting:
            # Guards against beginning a stream while nothing can be written, for a client that leaves then.
            errand = next(iter(self.waiting))
            del self.waiting[errand]
            self._begin(errand)
        self.stream.want(READ if written else READ | WRITE)
        if self.leaving and not self.streams:
            raise Lost("upstream-closes")
        idle = inf if self.streams else self.idle_since + EARLY * self.node.terms.keep_idle
        mail = yield min(idle, self._next_due())
        if isinstance(mail, Ready):
            self._read()
        else:
            self._take(mail)
        self._overdue()
        if not self.streams and self.loop.now() >= idle:
            raise Lost("idle")

    def _flush(self) -> bool:
        """Write on; True when nothing is left."""
        if data := self.http.data_to_send():
            self.stream.unwritten.append(data)
        return self.stream.write()

    def _take(self, mail: Any) -> None:
        match mail:
            case Carry(errand) if not self.up or self.stream.unwritten:
                self.waiting[errand] = None
            case Carry(errand):
                self._begin(errand)
            case Drop(errand):
                self._give_up(errand, Fate.CANCELLED)
            case _ if mail is CLOSE:
                # What is out is still waited for; an idle one ends at once.
                self.leaving = True

    def _next_due(self) -> float:
        errands = [*self.waiting, *(exchange.errand for exchange in self.streams.values())]
        return min((errand.until for errand in errands), default=inf)

    def _overdue(self) -> None:
        now = self.loop.now()
        for exchange in [e for e in self.streams.values() if e.errand.until <= now]:
            self._give_up(exchange.errand, Fate.OVERDUE)
        for errand in [e for e in self.waiting if e.until <= now]:
            self._give_up(errand, Fate.UNREACHED)

    def _give_up(self, errand: Errand, fate: Fate) -> None:
        if errand in self.waiting:
            del self.waiting[errand]
            self._settle(errand, Fate.UNREACHED if fate is Fate.OVERDUE else fate)
            return
        for exchange in [e for e in self.streams.values() if e.errand is errand]:
            # Only this stream is reset: the others on the connection go on.
            self.http.reset_stream(exchange.number, h2.errors.ErrorCodes.CANCEL)
            self._end(exchange, fate)

    def _begin(self, errand: Errand) -> None:
        if (
            self.leaving
            or not self.http.open_outbound_streams < self.http.remote_settings.max_concurrent_streams
            or self.node.gate.refusal(self.entry, errand)
        ):
            self._settle(errand, Fate.UNSENT)
            return
        self.upstream.note_begun(errand, self.loop.now())
        try:
            number = self.http.get_next_available_stream_id()
            method, target, headers = request_of(errand, self.node, self.loop.now())
            authority = next((value for name, value in headers if name.lower() == b"host"), b"")
            pseudo = [
                (b":method", method),
                (b":scheme", b"http"),
                (b":authority", authority),
                (b":path", target),
            ]
            rest = [(name.lower(), value) for name, value in headers if name.lower() != b"host"]
            exchange = Exchange(errand, number, Body(self.node.pool))
            self.http.send_headers(number, [*pseudo, *rest], end_stream=not exchange.unsent)
        except h2.exceptions.ProtocolError:
            # Guards against one request that h2 won't send, or stream numbers used up, ending the others.
            self.leaving = True
            self._settle(errand, Fate.UNSENT)
            return
        self.streams[number] = exchange
        self.node.ledger.idle.pop(self, None)
        errand.written = True
        self.carried += 1
        self._send(exchange)

    def _send(self, exchange: Exchange) -> None:
        """As much of the body as the upstream has room for."""
        while exchange.unsent:
            most = min(
                self.http.local_flow_control_window(exchange.number), self.http.max_outbound_frame_size
            )
            if most <= 0:
                return
            piece, rest = exchange.unsent[0][:most], exchange.unsent[0][most:]
            exchange.unsent[:1] = [rest] if rest else []
            self.http.send_data(exchange.number, piece, end_stream=not exchange.unsent)

    def _read(self) -> None:
        try:
            count = self.stream.sock.recv_into(self.node.pool.scratch)
        except BlockingIOError:
            return
        except OSError as error:
            raise Lost("reset") from error
        if not count:
            raise Lost("upstream-closed")
        data = bytes(memoryview(self.node.pool.scratch)[:count])
        if len(self.first) < 4:
            self.first += data[:4]
            if self.first[3:4] not in (b"", SETTINGS_FRAME):
                # Guards against waiting for the end of a frame in what is no HTTP/2.
                raise Lost("malformed")
        try:
            events = self.http.receive_data(data)
        except h2.exceptions.ProtocolError as error:
            raise Lost("malformed") from error
        for event in events:
            self._heed(event)

    def _heed(self, event: Any) -> None:
        match event:
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for exchange in [e for e in self.streams.values() if e.unsent]:
                    if self.node.gate.unwanted(exchange.errand):
                        # Guards against sending on for a client that has left, where no `Drop` may come.
                        self._give_up(exchange.errand, Fate.CANCELLED)
                    else:
                        self._send(exchange)
            case h2.events.ConnectionTerminated():
                self.leaving = True
                last = event.last_stream_id if event.last_stream_id is not None else 0
                for exchange in [e for e in self.streams.values() if e.number > last]:
                    self._end(exchange, Fate.TURNED_DOWN)
            case h2.events.DataReceived():
                self.http.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        exchange = self.streams.get(getattr(event, "stream_id", None) or 0)
        if exchange is None:
            return
        match event:
            case h2.events.ResponseReceived():
                headers = dict(event.headers)
                status = headers[b":status"]
                exchange.status = int(status) if status.isdigit() else NO_STATUS
                exchange.headers = [(n, v) for n, v in event.headers if not n.startswith(b":")]
            case h2.events.DataReceived():
                try:
                    if exchange.body.length + len(event.data) > self.node.pool.large:
                        raise Exhausted
                    exchange.body.add(event.data)
                except Exhausted:
                    self._give_up(exchange.errand, Fate.BROKEN)
            case h2.events.StreamReset():
                refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
                self._end(exchange, Fate.TURNED_DOWN if refused else Fate.BROKEN)
            case h2.events.StreamEnded():
                if exchange.unsent:
                    # Answered before it was whole: the rest is not wanted.
                    self.http.reset_stream(exchange.number, h2.errors.ErrorCodes.CANCEL)
                self._end(exchange, fate_of(exchange.status, dict(exchange.headers)))

    def _end(self, exchange: Exchange, fate: Fate) -> None:
        del self.streams[exchange.number]
        self.idle_since = self.loop.now()
        if not self.streams and not self.leaving:
            # Where descriptors run short, one that carries nothing makes room.
            self.node.ledger.idle[self] = None
        report = told_load(exchange.headers, exchange.errand, exchange.body) if exchange.status else {}
        if fate is Fate.FINISHED and exchange.errand.job is not None:
            kind = dict(exchange.headers).get(b"content-type", b"")
            self._settle(exchange.errand, fate, report, Answer(exchange.body, kind))
            return
        exchange.body.release()
        self._settle(exchange.errand, fate, report)

    def _settle(
        self, errand: Errand, fate: Fate, report: dict[str, float] | None = None, answer: Answer | None = None
    ) -> None:
        self.node.module.post(Ended(errand, fate, report or {}, answer))

    def _close(self, reason: str) -> None:
        for exchange in list(self.streams.values()):
            self._end(exchange, Fate.BROKEN)
        for errand in self.waiting:
            self._settle(errand, Fate.UNSENT if self.up else Fate.UNREACHED)
        self.waiting.clear()
        if self.stream is not None:
            self.stream.close()
        self.node.ledger.upstream.pop(self, None)
        self.node.ledger.idle.pop(self, None)
        self.upstream.post(Closed(self))
        name = self.upstream.entry.id
        self.node.log("upstream.end", reason=reason, upstream=name, carried=self.carried)

    def undelivered(self, mail: Any) -> None:
        # Guards against an errand lost because the connection ended before it got there; it was not begun.
        if isinstance(mail, Carry):
            self._settle(mail.errand, Fate.UNSENT)
