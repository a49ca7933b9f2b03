"""A connection to an endpoint over HTTP/2, by h2, which carries many exchanges at once.

The connection starts with prior knowledge (RFC 9113, 3.3). The module is loaded only where the settings let a
connection carry more than one exchange.

A request has provably not run if its connection was never established, if its stream was not begun, or if the
endpoint says so by REFUSED_STREAM or by a GOAWAY that names an earlier stream as the last. From its first
frame on, any other request may have run.
"""

from __future__ import annotations

import contextlib
from math import inf
from typing import TYPE_CHECKING

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from ...decisions.model import AttemptOutcome
from ...decisions.response_commitment import CommitReason
from ..actor import Coroutine
from ..loop import READ, WRITE, SocketReady
from ..messages import (
    CLOSE,
    CancelExchange,
    EndStalledResponse,
    ExchangeEnded,
    ResponseHeadReceived,
    ResponseStarted,
    StartExchange,
)
from ..state.body_stream import BodyStreamChanged
from ..state.buffers import BuffersExhaustedError
from ..state.requests import Exchange, UpstreamResponse
from .endpoint_connection import EndpointConnection
from .errors import CloseReason, ConnectionLostError
from .http2_input import FrameInput
from .http2_request import open_stream
from .http2_stream import StreamExchange
from .load_report import extract_load_report
from .stream import MAX_EVENTS_PER_TURN
from .timing import connect_deadline, idle_deadline
from .upstream_response import ExchangeResult

if TYPE_CHECKING:
    from ..context import SidecarContext
    from .pool import ConnectionPool

CONNECTION_WINDOW = 1 << 20  # bytes that an endpoint may send ahead on one connection


class Http2Connection(EndpointConnection):
    """One HTTP/2 connection from its first exchange to its end; an error on it ends all of its exchanges."""

    def __init__(self, context: SidecarContext, pool: ConnectionPool, exchange: Exchange) -> None:
        """Prepare a connection of `pool` for its first exchange; `begin` starts it."""
        # Exchanges that wait for the connection to be writable.
        self.waiting: dict[Exchange, None] = {exchange: None}
        self.streams: dict[int, StreamExchange] = {}
        self.connected = self.closing = False
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.input = FrameInput(self.http)
        super().__init__(context, pool)

    def has_capacity(self) -> bool:
        """Return whether the connection may be assigned another exchange."""
        limit = self.context.balancer_config.streams_per_connection
        if self.connected:
            limit = min(limit, self.http.remote_settings.max_concurrent_streams)
        return not self.ended and not self.closing and len(self.streams) + len(self.waiting) < limit

    def run(self) -> Coroutine[None]:
        """Connect, then serve the socket and the mailbox until the connection ends."""
        reason: CloseReason = CloseReason.DEFECT
        try:
            yield from self._connect()
            while True:
                yield from self._run_once()
        except ConnectionLostError as error:
            reason = error.reason
        except GeneratorExit:
            reason = CloseReason.STOPPED
        finally:
            self._close(reason)

    def undelivered(self, message: object) -> None:
        """Report an exchange as not sent that was assigned while the connection ended."""
        if isinstance(message, StartExchange):
            self._report(message.exchange, ExchangeResult(AttemptOutcome.NOT_SENT))

    def _connect(self) -> Coroutine[None]:
        self._begin_connecting()
        until = connect_deadline(self.context, self.loop.now())
        while True:
            self._end_expired()
            if not self.waiting:
                raise ConnectionLostError(CloseReason.NOT_NEEDED)
            message = yield min(until, self._next_deadline())
            if isinstance(message, SocketReady):
                break
            if message is None and self.loop.now() >= until:
                raise ConnectionLostError(CloseReason.CONNECT_TIMED_OUT)
            self._handle_message(message)
        self.stream.check_connected()
        self.connected = True
        self.idle_since = self.loop.now()
        self.http.initiate_connection()
        self.http.update_settings({h2.settings.SettingCodes.ENABLE_PUSH: 0})
        self.http.increment_flow_control_window(CONNECTION_WINDOW)
        for exchange in list(self.waiting):
            del self.waiting[exchange]
            self._start_exchange(exchange)

    def _run_once(self) -> Coroutine[None]:
        """Write pending data, then handle one socket event or one message."""
        # No stream is begun while the socket is not writable: the client may disconnect before it is again.
        while (written := self._flush()) and self.waiting:
            exchange = next(iter(self.waiting))
            del self.waiting[exchange]
            self._start_exchange(exchange)
        self.stream.wait_for(READ if written else READ | WRITE)
        if self.closing and not self.streams:
            raise ConnectionLostError(CloseReason.UPSTREAM_CLOSES)
        idle_until = inf if self.streams else idle_deadline(self.context, self.idle_since)
        resume_at = inf if self.input.is_empty else self.loop.now()
        message = yield min(idle_until, self._next_deadline(), resume_at)
        if isinstance(message, SocketReady) or not self.input.is_empty:
            self._read()
        if not isinstance(message, SocketReady):
            self._handle_message(message)
        self._end_expired()
        if not self.streams and self.loop.now() >= idle_until:
            raise ConnectionLostError(CloseReason.IDLE)

    def _handle_message(self, message: object) -> None:
        match message:
            case StartExchange(exchange) if not self.connected or self.stream.unwritten:
                self.waiting[exchange] = None
            case StartExchange(exchange):
                self._start_exchange(exchange)
            case CancelExchange(exchange):
                self._cancel(exchange, AttemptOutcome.CANCELLED)
            case EndStalledResponse(exchange):
                self._cancel(exchange, AttemptOutcome.RESET)
            case BodyStreamChanged():
                self._relays_changed()
            case _ if message is CLOSE:
                # Exchanges in progress run to their end; an idle connection ends at once.
                self.closing = True

    def _next_deadline(self) -> float:
        deadlines = [exchange.deadline for exchange in self.waiting]
        deadlines += [stream_exchange.next_deadline for stream_exchange in self.streams.values()]
        return min(deadlines, default=inf)

    def _end_expired(self) -> None:
        now = self.loop.now()
        expired = [e for e in self.streams.values() if e.next_deadline <= now]
        if any(e.commit_at <= now for e in expired):
            self._read()  # the end of a response may have come before its status has to be given away
            expired = [e for e in self.streams.values() if e.next_deadline <= now]
        for stream_exchange in expired:
            if stream_exchange.commit_at <= now:
                self._begin_relay(stream_exchange, stream_exchange.exchange.commit_reason(now))
            else:
                stalled = stream_exchange.relay is not None
                outcome = AttemptOutcome.RESET if stalled else AttemptOutcome.TIMED_OUT
                self._cancel(stream_exchange.exchange, outcome)
        for exchange in [e for e in self.waiting if e.deadline <= now]:
            self._cancel(exchange, AttemptOutcome.CONNECT_FAILED)

    def _cancel(self, exchange: Exchange, outcome: AttemptOutcome) -> None:
        """End an exchange and reset its stream; the others on the connection continue."""
        if exchange in self.waiting:
            del self.waiting[exchange]
            if outcome is AttemptOutcome.TIMED_OUT:
                outcome = AttemptOutcome.CONNECT_FAILED
            self._report(exchange, ExchangeResult(outcome))
            return
        for stream_exchange in [e for e in self.streams.values() if e.exchange is exchange]:
            self.http.reset_stream(stream_exchange.stream_id, h2.errors.ErrorCodes.CANCEL)
            self._end_exchange(stream_exchange, outcome)

    # Sending.

    def _flush(self) -> bool:
        """Write pending data; return True when none is left."""
        if data := self.http.data_to_send():
            self.stream.unwritten.append(data)
        return self.stream.write()

    def _start_exchange(self, exchange: Exchange) -> None:
        """Open a stream for an exchange, or report that it was not sent."""
        if (
            self.closing
            or self.http.open_outbound_streams >= self.http.remote_settings.max_concurrent_streams
            or self.context.gate.refusal(self.endpoint, exchange)
        ):
            self._report(exchange, ExchangeResult(AttemptOutcome.NOT_SENT))
            return
        self.pool.note_started(exchange, self.loop.now())
        try:
            stream_exchange = open_stream(self.http, exchange, self.context)
        except h2.exceptions.ProtocolError:
            # h2 rejects this request, or stream ids are used up; the other exchanges continue.
            self.closing = True
            self._report(exchange, ExchangeResult(AttemptOutcome.NOT_SENT))
            return
        self.streams[stream_exchange.stream_id] = stream_exchange
        self.context.connections.idle_endpoint_connections.pop(self, None)
        exchange.written = True
        self.exchange_count += 1
        stream_exchange.send_body(self.http)

    # Receiving.

    def _read(self) -> None:
        """Handle a bounded number of events; the rest of the input is left to a later turn."""
        if self.input.is_empty:
            self._receive()
        handled = 0
        while not self.input.is_empty and handled < MAX_EVENTS_PER_TURN / 2:
            events = self.input.next_events()
            handled += len(events)
            for event in events:
                self._handle_event(event)
        self.loop.turns_cut_short += not self.input.is_empty
        for stream_exchange in [e for e in self.streams.values() if e.awaits_rest]:
            self._act_on_head(stream_exchange)

    def _receive(self) -> None:
        scratch = self.context.buffer_pool.scratch
        try:
            count = self.stream.sock.recv_into(scratch)
        except BlockingIOError:
            return
        except OSError as error:
            raise ConnectionLostError(CloseReason.RESET) from error
        if not count:
            raise ConnectionLostError(CloseReason.UPSTREAM_CLOSED)
        self.input.add(bytes(memoryview(scratch)[:count]))

    def _handle_event(self, event: h2.events.Event) -> None:
        self._handle_connection_event(event)
        stream_exchange = self.streams.get(getattr(event, "stream_id", None) or 0)
        if stream_exchange is not None:
            self._handle_stream_event(event, stream_exchange)

    def _handle_connection_event(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for stream_exchange in [e for e in self.streams.values() if e.unsent]:
                    if self.context.gate.exchange_refusal(stream_exchange.exchange):
                        # The client may have disconnected, and a `CancelExchange` does not always follow.
                        self._cancel(stream_exchange.exchange, AttemptOutcome.CANCELLED)
                    else:
                        stream_exchange.send_body(self.http)
            case h2.events.ConnectionTerminated():
                self.closing = True
                last = event.last_stream_id if event.last_stream_id is not None else 0
                for stream_exchange in [e for e in self.streams.values() if e.stream_id > last]:
                    self._end_exchange(stream_exchange, AttemptOutcome.REJECTED)
            case h2.events.DataReceived():
                receiver = self.streams.get(event.stream_id)
                if receiver is None or receiver.relay is None:
                    self.http.acknowledge_received_data(event.flow_controlled_length, event.stream_id)

    def _handle_stream_event(self, event: h2.events.Event, stream_exchange: StreamExchange) -> None:
        match event:
            case h2.events.ResponseReceived():
                stream_exchange.set_head(event.headers)
            case h2.events.DataReceived():
                self._add_data(stream_exchange, event.data, event.flow_controlled_length)
            case h2.events.StreamReset():
                refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
                self._end_exchange(
                    stream_exchange, AttemptOutcome.REJECTED if refused else AttemptOutcome.RESET
                )
            case h2.events.StreamEnded():
                if stream_exchange.unsent:
                    # The response came before the end of the request, so the rest is not sent.
                    self.http.reset_stream(stream_exchange.stream_id, h2.errors.ErrorCodes.CANCEL)
                self._end_exchange(stream_exchange, stream_exchange.outcome)

    def _add_data(self, stream_exchange: StreamExchange, data: bytes, window: int) -> None:
        """Add data of a response, which has used up `window` bytes of the windows."""
        was_relayed = stream_exchange.relay is not None
        if stream_exchange.needs_relay(data):
            self._begin_relay(stream_exchange, CommitReason.LONG)
        elif stream_exchange.is_held and not self.context.buffer_pool.has_room_for_read():
            self._begin_relay(stream_exchange, CommitReason.NO_BUFFERS)
        try:
            stream_exchange.add(data, self.loop.now(), self.context.buffer_pool.max_body_size)
        except BuffersExhaustedError:
            self._cancel(stream_exchange.exchange, AttemptOutcome.RESET)
            return
        if was_relayed:
            self.context.connections.note_waiting_response(stream_exchange.exchange, self.loop.now())
            # The others on the connection do not wait for a slow client; only this stream does.
            self._open_window(window, None)
            stream_exchange.unacknowledged += window
            self._relays_changed()
        if stream_exchange.relay is not None and data:
            self._report_stream(stream_exchange, stream_exchange.outcome)
        if stream_exchange.is_held:
            self.context.held_responses.note(stream_exchange.exchange)

    def _act_on_head(self, stream_exchange: StreamExchange) -> None:
        """Act on the head of a response, the rest of which is still to come."""
        exchange = stream_exchange.exchange
        if stream_exchange.outcome is not AttemptOutcome.SUCCESS:
            # The client gets nothing of this response, so its rest is not needed.
            self.http.reset_stream(stream_exchange.stream_id, h2.errors.ErrorCodes.CANCEL)
            self._end_exchange(stream_exchange, stream_exchange.outcome)
        elif not exchange.head_received:
            exchange.head_received = True
            self.context.coordinator.post(ResponseHeadReceived(exchange, stream_exchange.may_pass_on))

    # Responses that are passed on while they arrive.

    def _begin_relay(self, stream_exchange: StreamExchange, reason: CommitReason) -> None:
        has_data = bool(stream_exchange.body.length)
        self.context.held_responses.remove(stream_exchange.exchange)
        self.context.note_commitment(stream_exchange.exchange, reason, stream_exchange.body.length)
        response = stream_exchange.begin_relay(self, self.loop.now())
        self.context.connections.note_waiting_response(stream_exchange.exchange, self.loop.now())
        self.context.coordinator.post(ResponseStarted(stream_exchange.exchange, response))
        if has_data:
            self._report_stream(stream_exchange, stream_exchange.outcome)

    def _relays_changed(self) -> None:
        """Open the window of each relayed response that has room; end those that no client wants."""
        for stream_exchange in list(self.streams.values()):
            if stream_exchange.is_unwanted:
                self._cancel(stream_exchange.exchange, AttemptOutcome.CANCELLED)
            else:
                self._open_window(stream_exchange.take_window(self.loop.now()), stream_exchange.stream_id)

    def _open_window(self, size: int, stream_id: int | None) -> None:
        """Let the endpoint send more on a stream or, with None, on the connection."""
        # A stream that has ended has no window any more.
        with contextlib.suppress(h2.exceptions.ProtocolError):
            if size:
                self.http.increment_flow_control_window(size, stream_id)

    # Ending exchanges and the connection.

    def _end_exchange(self, stream_exchange: StreamExchange, outcome: AttemptOutcome) -> None:
        del self.streams[stream_exchange.stream_id]
        self.idle_since = self.loop.now()
        if not self.streams and not self.closing:
            # When descriptors run short, a connection without an exchange is closed to make room.
            self.context.connections.idle_endpoint_connections[self] = None
        self.context.connections.note_response_progress(stream_exchange.exchange)
        self.context.held_responses.remove(stream_exchange.exchange)
        stream_exchange.end_relay(is_complete=outcome is AttemptOutcome.SUCCESS)
        self._report_stream(stream_exchange, outcome)

    def _report_stream(self, stream_exchange: StreamExchange, outcome: AttemptOutcome) -> None:
        """Report the result of an exchange, unless that has been done."""
        if stream_exchange.is_reported:
            return
        stream_exchange.is_reported = True
        exchange, body = stream_exchange.exchange, stream_exchange.body
        report: dict[str, float] = {}
        if stream_exchange.status:
            report = extract_load_report(stream_exchange.headers, exchange, body)
        response = None
        is_buffered = stream_exchange.relay is None and exchange.pending is not None
        if outcome is AttemptOutcome.SUCCESS and is_buffered:
            response = UpstreamResponse(body, stream_exchange.content_type)
        else:
            body.release()
        self._report(exchange, ExchangeResult(outcome, report, response))

    def _report(self, exchange: Exchange, result: ExchangeResult) -> None:
        self.context.coordinator.post(
            ExchangeEnded(exchange, result.outcome, result.load_report, result.response)
        )

    def _close(self, reason: CloseReason) -> None:
        exchanges = [stream_exchange.exchange for stream_exchange in self.streams.values()]
        traces = [e.pending.trace_id.decode("latin-1") for e in exchanges if e.pending is not None]
        details = {"traces": traces} if traces else {}
        for stream_exchange in list(self.streams.values()):
            self._end_exchange(stream_exchange, AttemptOutcome.RESET)
        outcome = AttemptOutcome.NOT_SENT if self.connected else AttemptOutcome.CONNECT_FAILED
        for exchange in self.waiting:
            self._report(exchange, ExchangeResult(outcome))
        self.waiting.clear()
        self.context.connections.idle_endpoint_connections.pop(self, None)
        self._end_connection(reason, **details)
