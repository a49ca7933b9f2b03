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

from ...decisions.model import AttemptOutcome
from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..loop import READ, WRITE, SocketReady
from ..messages import CLOSE, CancelExchange, ConnectionClosed, ExchangeEnded, StartExchange
from ..state.buffers import BufferedBody, BuffersExhaustedError
from ..state.requests import Exchange, UpstreamResponse
from .pool import EARLY, UP, fate_of, request_of, told_load
from .stream import ConnectionLostError, Stream, connect

if TYPE_CHECKING:
    from .pool import ConnectionPool

SETTINGS_FRAME = b"\x04"  # the type that the first frame has
NO_STATUS = 1  # for one that is no number; read as an error that may have run
WINDOW = 1 << 20  # bytes that an upstream may send ahead on one connection


class StreamExchange:
    """One errand on its stream."""

    __slots__ = ("exchange", "number", "unsent", "status", "headers", "body")

    def __init__(self, exchange: Exchange, number: int, body: BufferedBody) -> None:
        self.exchange, self.number, self.body = exchange, number, body
        self.unsent = [bytes(view) for view in exchange.pending.body.views()] if exchange.pending else []
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []


class Http2Connection(Actor):
    """One connection from its first errand to its end. A defect or a break ends every errand on it."""

    def __init__(self, context: SidecarContext, upstream: ConnectionPool, exchange: Exchange) -> None:
        self.context, self.upstream = context, upstream
        self.waiting: dict[Exchange, None] = {exchange: None}  # until it is up and can be written to
        self.streams: dict[int, StreamExchange] = {}
        self.up = self.leaving = False
        self.stream: Stream | None = None
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.idle_since = 0.0
        self.entry = upstream.entry  # as it was when this connection was begun
        self.first = b""
        self.carried = 0
        context.connections.upstream[self] = None
        context.connections.note()
        super().__init__(context.loop)

    def takes(self) -> bool:
        """Another errand may be given to it."""
        most = self.context.balancer_config.streams_per_connection
        if self.up:
            most = min(most, self.http.remote_settings.max_concurrent_streams)
        return not self.ended and not self.leaving and len(self.streams) + len(self.waiting) < most

    def run(self) -> Coroutine[None]:
        reason = "defect"
        try:
            yield from self._connect()
            while True:
                yield from self._turn()
        except ConnectionLostError as lost:
            reason = str(lost)
        except GeneratorExit:
            reason = "stopped"
        finally:
            self._close(reason)

    def _connect(self) -> Coroutine[None]:
        sock = connect(self.entry.addr)
        self.stream = Stream(self.loop, self, sock, h11.CLIENT, self.context.buffer_pool)
        self.stream.want(WRITE)
        until = self.loop.now() + min(
            self.context.balancer_config.connect_timeout, UP * self.context.shortest_objective
        )
        while True:
            self._overdue()
            if not self.waiting:
                raise ConnectionLostError("not-needed")
            message = yield min(until, self._next_due())
            if isinstance(message, SocketReady):
                break
            if message is None and self.loop.now() >= until:
                raise ConnectionLostError("never-came-up")
            self._take(message)
        self.stream.came_up()
        self.up = True
        self.idle_since = self.loop.now()
        self.http.initiate_connection()
        self.http.update_settings({h2.settings.SettingCodes.ENABLE_PUSH: 0})
        self.http.increment_flow_control_window(WINDOW)
        for exchange in list(self.waiting):
            del self.waiting[exchange]
            self._begin(exchange)

    def _turn(self) -> Coroutine[None]:
        """Write what is to be written, then one word of the socket or one mail."""
        while (written := self._flush()) and self.waiting:
            # Guards against beginning a stream while nothing can be written, for a client that leaves then.
            exchange = next(iter(self.waiting))
            del self.waiting[exchange]
            self._begin(exchange)
        self.stream.want(READ if written else READ | WRITE)
        if self.leaving and not self.streams:
            raise ConnectionLostError("upstream-closes")
        idle = inf if self.streams else self.idle_since + EARLY * self.context.balancer_config.idle_timeout
        message = yield min(idle, self._next_due())
        if isinstance(message, SocketReady):
            self._read()
        else:
            self._take(message)
        self._overdue()
        if not self.streams and self.loop.now() >= idle:
            raise ConnectionLostError("idle")

    def _flush(self) -> bool:
        """Write on; True when nothing is left."""
        if data := self.http.data_to_send():
            self.stream.unwritten.append(data)
        return self.stream.write()

    def _take(self, message: Any) -> None:
        match message:
            case StartExchange(exchange) if not self.up or self.stream.unwritten:
                self.waiting[exchange] = None
            case StartExchange(exchange):
                self._begin(exchange)
            case CancelExchange(exchange):
                self._give_up(exchange, AttemptOutcome.CANCELLED)
            case _ if message is CLOSE:
                # What is out is still waited for; an idle one ends at once.
                self.leaving = True

    def _next_due(self) -> float:
        exchanges = [*self.waiting, *(stream_exchange.exchange for stream_exchange in self.streams.values())]
        return min((exchange.deadline for exchange in exchanges), default=inf)

    def _overdue(self) -> None:
        now = self.loop.now()
        for stream_exchange in [e for e in self.streams.values() if e.exchange.deadline <= now]:
            self._give_up(stream_exchange.exchange, AttemptOutcome.TIMED_OUT)
        for exchange in [e for e in self.waiting if e.deadline <= now]:
            self._give_up(exchange, AttemptOutcome.CONNECT_FAILED)

    def _give_up(self, exchange: Exchange, fate: AttemptOutcome) -> None:
        if exchange in self.waiting:
            del self.waiting[exchange]
            self._settle(
                exchange, AttemptOutcome.CONNECT_FAILED if fate is AttemptOutcome.TIMED_OUT else fate
            )
            return
        for stream_exchange in [e for e in self.streams.values() if e.exchange is exchange]:
            # Only this stream is reset: the others on the connection go on.
            self.http.reset_stream(stream_exchange.number, h2.errors.ErrorCodes.CANCEL)
            self._end(stream_exchange, fate)

    def _begin(self, exchange: Exchange) -> None:
        if (
            self.leaving
            or not self.http.open_outbound_streams < self.http.remote_settings.max_concurrent_streams
            or self.context.gate.refusal(self.entry, exchange)
        ):
            self._settle(exchange, AttemptOutcome.NOT_SENT)
            return
        self.upstream.note_begun(exchange, self.loop.now())
        try:
            number = self.http.get_next_available_stream_id()
            method, target, headers = request_of(exchange, self.context, self.loop.now())
            authority = next((value for name, value in headers if name.lower() == b"host"), b"")
            pseudo = [
                (b":method", method),
                (b":scheme", b"http"),
                (b":authority", authority),
                (b":path", target),
            ]
            rest = [(name.lower(), value) for name, value in headers if name.lower() != b"host"]
            stream_exchange = StreamExchange(exchange, number, BufferedBody(self.context.buffer_pool))
            self.http.send_headers(number, [*pseudo, *rest], end_stream=not stream_exchange.unsent)
        except h2.exceptions.ProtocolError:
            # Guards against one request that h2 won't send, or stream numbers used up, ending the others.
            self.leaving = True
            self._settle(exchange, AttemptOutcome.NOT_SENT)
            return
        self.streams[number] = stream_exchange
        self.context.connections.idle.pop(self, None)
        exchange.written = True
        self.carried += 1
        self._send(stream_exchange)

    def _send(self, stream_exchange: StreamExchange) -> None:
        """As much of the body as the upstream has room for."""
        while stream_exchange.unsent:
            most = min(
                self.http.local_flow_control_window(stream_exchange.number), self.http.max_outbound_frame_size
            )
            if most <= 0:
                return
            piece, rest = stream_exchange.unsent[0][:most], stream_exchange.unsent[0][most:]
            stream_exchange.unsent[:1] = [rest] if rest else []
            self.http.send_data(stream_exchange.number, piece, end_stream=not stream_exchange.unsent)

    def _read(self) -> None:
        try:
            count = self.stream.sock.recv_into(self.context.buffer_pool.scratch)
        except BlockingIOError:
            return
        except OSError as error:
            raise ConnectionLostError("reset") from error
        if not count:
            raise ConnectionLostError("upstream-closed")
        data = bytes(memoryview(self.context.buffer_pool.scratch)[:count])
        if len(self.first) < 4:
            self.first += data[:4]
            if self.first[3:4] not in (b"", SETTINGS_FRAME):
                # Guards against waiting for the end of a frame in what is no HTTP/2.
                raise ConnectionLostError("malformed")
        try:
            events = self.http.receive_data(data)
        except h2.exceptions.ProtocolError as error:
            raise ConnectionLostError("malformed") from error
        for event in events:
            self._heed(event)

    def _heed(self, event: Any) -> None:
        match event:
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for stream_exchange in [e for e in self.streams.values() if e.unsent]:
                    if self.context.gate.unwanted(stream_exchange.exchange):
                        # Guards against sending on for a client that has left, where no `Drop` may come.
                        self._give_up(stream_exchange.exchange, AttemptOutcome.CANCELLED)
                    else:
                        self._send(stream_exchange)
            case h2.events.ConnectionTerminated():
                self.leaving = True
                last = event.last_stream_id if event.last_stream_id is not None else 0
                for stream_exchange in [e for e in self.streams.values() if e.number > last]:
                    self._end(stream_exchange, AttemptOutcome.REJECTED)
            case h2.events.DataReceived():
                self.http.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        stream_exchange = self.streams.get(getattr(event, "stream_id", None) or 0)
        if stream_exchange is None:
            return
        match event:
            case h2.events.ResponseReceived():
                headers = dict(event.headers)
                status = headers[b":status"]
                stream_exchange.status = int(status) if status.isdigit() else NO_STATUS
                stream_exchange.headers = [(n, v) for n, v in event.headers if not n.startswith(b":")]
            case h2.events.DataReceived():
                try:
                    if stream_exchange.body.length + len(event.data) > self.context.buffer_pool.large:
                        raise BuffersExhaustedError
                    stream_exchange.body.add(event.data)
                except BuffersExhaustedError:
                    self._give_up(stream_exchange.exchange, AttemptOutcome.RESET)
            case h2.events.StreamReset():
                refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
                self._end(stream_exchange, AttemptOutcome.REJECTED if refused else AttemptOutcome.RESET)
            case h2.events.StreamEnded():
                if stream_exchange.unsent:
                    # Answered before it was whole: the rest is not wanted.
                    self.http.reset_stream(stream_exchange.number, h2.errors.ErrorCodes.CANCEL)
                self._end(stream_exchange, fate_of(stream_exchange.status, dict(stream_exchange.headers)))

    def _end(self, stream_exchange: StreamExchange, fate: AttemptOutcome) -> None:
        del self.streams[stream_exchange.number]
        self.idle_since = self.loop.now()
        if not self.streams and not self.leaving:
            # Where descriptors run short, one that carries nothing makes room.
            self.context.connections.idle[self] = None
        report = (
            told_load(stream_exchange.headers, stream_exchange.exchange, stream_exchange.body)
            if stream_exchange.status
            else {}
        )
        if fate is AttemptOutcome.SUCCESS and stream_exchange.exchange.pending is not None:
            kind = dict(stream_exchange.headers).get(b"content-type", b"")
            self._settle(stream_exchange.exchange, fate, report, UpstreamResponse(stream_exchange.body, kind))
            return
        stream_exchange.body.release()
        self._settle(stream_exchange.exchange, fate, report)

    def _settle(
        self,
        exchange: Exchange,
        fate: AttemptOutcome,
        report: dict[str, float] | None = None,
        answer: UpstreamResponse | None = None,
    ) -> None:
        self.context.coordinator.post(ExchangeEnded(exchange, fate, report or {}, answer))

    def _close(self, reason: str) -> None:
        for stream_exchange in list(self.streams.values()):
            self._end(stream_exchange, AttemptOutcome.RESET)
        for exchange in self.waiting:
            self._settle(exchange, AttemptOutcome.NOT_SENT if self.up else AttemptOutcome.CONNECT_FAILED)
        self.waiting.clear()
        if self.stream is not None:
            self.stream.close()
        self.context.connections.upstream.pop(self, None)
        self.context.connections.idle.pop(self, None)
        self.upstream.post(ConnectionClosed(self))
        name = self.upstream.entry.id
        self.context.log("upstream.end", reason=reason, upstream=name, carried=self.carried)

    def undelivered(self, message: Any) -> None:
        # Guards against an errand lost because the connection ended before it got there; it was not begun.
        if isinstance(message, StartExchange):
            self._settle(message.exchange, AttemptOutcome.NOT_SENT)
