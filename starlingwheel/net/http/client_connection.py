"""The connection of a client: reads its requests one at a time, passes each on and writes the response."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import h11

from ..actor import Actor, Coroutine
from ..loop import HANGUP, READ, SocketReady
from ..messages import (
    CLOSE,
    STOP,
    ClientDisconnected,
    FinalResponse,
    RequestBodyComplete,
    RequestReceived,
)
from ..state.body_arrival import EMPTY_TIME, BodyArrival, max_send_buffer
from ..state.body_stream import MAX_STREAMED_BODY, BodyStream
from ..state.buffers import (
    BUFFER_SIZE,
    MAX_BUFFERED_BODY,
    MAX_REQUEST_BODY,
    BufferedBody,
    BuffersExhaustedError,
)
from ..state.requests import PendingRequest
from .errors import CloseReason, ConnectionLostError, InvalidRequestError, InvalidRequestReason
from .request_parser import declared_length, parse_request
from .response_writer import ResponseWriter
from .stream import Event, Stream, note_arrival_times

if TYPE_CHECKING:
    from ..context import SidecarContext

IDLE_TIMEOUT = 2.0  # seconds between requests after which the protocol allows the sidecar to close
IDLE_CLOSE_FACTOR = 1.1  # multiple of the idle timeout after which an idle connection is closed
# Multiple of the idle timeout within which a request without a body has to be complete. The time counts from
# the connect for the first request on a connection, and from the first byte for each later one.
REQUEST_TIMEOUT_FACTOR = 1.35
MIN_UPLOAD_RATE = 48_000  # bytes per second: body bytes received extend the time for the request at this rate
LINGERING_CLOSE_TIMEOUT = IDLE_TIMEOUT / 4  # seconds that a client has to close after its last response
# How often a wait for the rest of a body is interrupted to see whether any has arrived, in request timeouts.
ARRIVAL_CHECK_FRACTION = 1 / 4
# Retry-After for a request that was incomplete when the process ended, in shortest latency objectives.
STOP_RETRY_AFTER_FRACTION = 1 / 4
# Bytes read from a client that keeps sending after its last response.
MAX_DISCARDED_INPUT = 4 * MAX_BUFFERED_BODY


class ClientConnection(Actor):
    """One connection of a client, which serves its requests one at a time."""

    def __init__(self, context: SidecarContext, sock: socket.socket) -> None:
        """Serve the accepted socket `sock`; `begin` starts the connection."""
        self.context = context
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        note_arrival_times(sock)
        self.stream = Stream(context.loop, self, sock, h11.SERVER, context.buffer_pool)
        self.writer = ResponseWriter(self.stream)
        self.reason: CloseReason | None = None  # why the connection ends
        self.reason_when_idle: CloseReason | None = None  # why it ends as soon as it is idle
        self.response_count = 0
        self.opened_at = self.idle_since = context.loop.now()
        self.request_started_at: float | None = None  # when the first byte of the current request was read
        self.last_read_at = self.opened_at
        self.incomplete_at = self.opened_at  # when the latest input arrived; the request was incomplete then
        self.body_received = 0  # bytes of the current request's body
        self.paused_time = 0.0  # seconds for which that body was not read because buffers were short
        self.body = BufferedBody(context.buffer_pool)
        self.body_stream: BodyStream | None = None  # replaces `body` for a body that is too long to buffer
        self.arrival: BodyArrival | None = None  # set with `body_stream`
        self.pending: PendingRequest | None = None
        context.connections.clients[self] = None
        context.connections.silent_clients[self] = None
        context.connections.update_peak()
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Serve requests until the connection ends."""
        try:
            while not self.reason:
                yield from self._serve_request()
        except ConnectionLostError as error:
            self.reason = self.reason or error.reason
        except GeneratorExit:
            self.reason = CloseReason.STOPPED
        finally:
            self._close()

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if that has not been handled yet.

        When a turn of the loop is late, requests may be written before the disconnect of their clients is
        handled.
        """
        return (
            self.ended
            or any(isinstance(message, SocketReady) and message.hung_up for message in self.mailbox)
            or self.stream.peer_has_closed()
        )

    def undelivered(self, message: object) -> None:
        """Release the buffers of a response that arrived after the connection had ended."""
        if isinstance(message, FinalResponse) and message.response:
            message.response.body.release()

    def _serve_request(self) -> Coroutine[None]:
        """Read and answer one request, or end the connection."""
        final: FinalResponse | None = None
        accepted = False
        try:
            request = yield from self._read_request()
            if request is None:
                return
            if request.target == b"/ready":
                status = 200 if self.context.ready else 503
            else:
                pending = self._accept_request(request)
                accepted = True
                final = yield from self._wait_for_response(pending, self.body_stream)
                status = final.status
        except InvalidRequestError as error:
            status = error.status
            if error.retry_after:
                final = FinalResponse(status, retry_after=error.retry_after)
            self.context.log("request.unfit", status=status, reason=error.log_text)
        except BuffersExhaustedError:
            status = 503
            self.context.log("request.unfit", status=status, reason=InvalidRequestReason.NO_BUFFERS)
        finally:
            self._release_body(accepted)
            self.context.connections.record_request_complete(self)
        # A client whose request was invalid has to reconnect, so that it can't send invalid requests at full
        # speed.
        yield from self._respond(status, final, close=final is None and status != 200)
        self.response_count += 1

    def _accept_request(self, request: h11.Request) -> PendingRequest:
        """Parse a request, which then owns its body.

        Raises `ConnectionLostError` if the client has disconnected meanwhile.
        """
        body = self.body if self.body_stream is None else self.body_stream
        received_at = self.last_read_at if self.arrival is None else self.arrival.earliest_end
        pending = parse_request(request, body, self, self.context, received_at)
        if self.body_stream is None:
            self.body = BufferedBody(self.context.buffer_pool)
        if self.has_disconnected():
            pending.body.release()
            raise ConnectionLostError(CloseReason.CLIENT_LEFT)
        return pending

    def _release_body(self, accepted: bool) -> None:
        self.body.release()
        if self.body_stream is not None:
            self.body_stream.abort()
            if not accepted:
                self.body_stream.release()
            self.body_stream = self.arrival = None

    # Reading requests.

    def _read_request(self) -> Coroutine[h11.Request | None]:
        """Return the next request, with its body in `body` or `body_stream`.

        Return None if the connection ends instead.
        """
        request, length = None, None
        self._await_request()
        while True:
            try:
                event = self.stream.next_event()
            except ConnectionLostError as error:
                raise InvalidRequestError(400, InvalidRequestReason(error.reason.value)) from error
            if isinstance(event, h11.Request):
                request, length = event, declared_length(event, self._max_body())
                self.stream.read_size = len(self.context.buffer_pool.scratch)
            elif isinstance(event, h11.Data):
                self._count_body(event.data)
                if self.body_received > MAX_BUFFERED_BODY:
                    self._begin_body_stream(event.data, length)
                    return request
                self.body.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                self.reason = CloseReason.CLIENT_CLOSED
                return None
            else:
                self.stream.send_continue()
                if not (yield from self._receive_more()):
                    return None

    def _await_request(self) -> None:
        self.body_received, self.paused_time = 0, 0.0
        self.stream.read_size = BUFFER_SIZE
        pipelined = self.stream.http.trailing_data[0]
        self.request_started_at = self.loop.now() if pipelined else None
        self.stream.wait_for(READ)
        if self.request_started_at is None and self.response_count:
            self.context.connections.idle_clients[self] = None

    def _begin_body_stream(self, data: bytes, length: int | None) -> None:
        """Forward a long body while it arrives instead of buffering all of it."""
        self.body_stream = BodyStream(self.context.buffer_pool, self, length, self.body)
        self.body = BufferedBody(self.context.buffer_pool)
        self.body_stream.add(data)
        self.arrival = BodyArrival(length, self.incomplete_at, max_send_buffer())

    def _receive_more(self) -> Coroutine[bool]:
        """Wait for more of a request and read it; return False if the connection ends instead."""
        while True:
            if self.reason_when_idle and self.request_started_at is None and self.stream.has_no_input():
                self.reason = self.reason_when_idle
                return False
            message = yield min(self._read_deadline(), self.context.answer_by)
            if message is None:
                self._read_timed_out()
                continue
            if message is STOP or message is CLOSE:
                self._close_when_idle(message)
                continue
            count = self._read_input()
            if count is None:
                continue
            if count == 0 and self.request_started_at is not None:
                self.reason = CloseReason.CLIENT_LEFT
                return False
            return True

    def _read_timed_out(self) -> None:
        """End a connection that is idle at its read deadline, or at the end of a shutdown.

        Raises `InvalidRequestError` for a request that is still incomplete.
        """
        if self.request_started_at is not None and self.loop.now() >= self.context.answer_by:
            retry_after = self.context.shortest_objective * STOP_RETRY_AFTER_FRACTION
            retry_after = min(self.context.balancer_config.max_retry_after, retry_after)
            raise InvalidRequestError(503, InvalidRequestReason.STOPPING, retry_after=retry_after)
        if self.request_started_at is not None:
            raise InvalidRequestError(408, InvalidRequestReason.INCOMPLETE)
        self.reason_when_idle = self.reason_when_idle or CloseReason.IDLE

    def _close_when_idle(self, message: object) -> None:
        """Handle `STOP` or `CLOSE`; `CLOSE` also ends a first request that makes no progress."""
        if message is STOP:
            self.reason_when_idle = CloseReason.STOPPING
            return
        if not self.response_count and self.request_started_at is not None and self.stream.has_no_input():
            raise ConnectionLostError(CloseReason.NOT_NEEDED)
        self.reason_when_idle = self.reason_when_idle or CloseReason.NOT_NEEDED

    def _read_input(self) -> int | None:
        """Read from the socket and return the number of bytes.

        Return None if nothing has arrived, and 0 if the client has closed its sending side.
        """
        try:
            count = self.stream.read()
        except ConnectionLostError:
            if self.request_started_at is not None:
                self.reason = CloseReason.CLIENT_LEFT
            raise
        if count:
            self.last_read_at = self.loop.now()
            self.incomplete_at = self.stream.arrived_at or self.incomplete_at
            if not self.response_count:
                self.context.connections.record_request_part(self)
            if self.request_started_at is None:
                self.request_started_at = self.last_read_at
                self.context.connections.idle_clients.pop(self, None)
        return count

    def _read_deadline(self) -> float:
        """Return the time by which the next request has to have begun, or the current one to be complete."""
        if self.request_started_at is None:
            return self.idle_since + IDLE_CLOSE_FACTOR * IDLE_TIMEOUT
        since = self.request_started_at if self.response_count else self.opened_at
        deadline = since + REQUEST_TIMEOUT_FACTOR * IDLE_TIMEOUT
        return deadline + self.paused_time + self.body_received / MIN_UPLOAD_RATE

    def _count_body(self, data: bytes) -> None:
        self.body_received += len(data)
        if self.body_received > self._max_body():
            raise InvalidRequestError(413, InvalidRequestReason.BODY_TOO_LONG)

    def _max_body(self) -> int:
        """Return the maximum size of a request body; a body that is sent over HTTP/2 is always buffered."""
        multiplexed = self.context.balancer_config.streams_per_connection != 1
        return MAX_REQUEST_BODY if multiplexed else MAX_STREAMED_BODY

    # Waiting for the response.

    def _wait_for_response(
        self, pending: PendingRequest, body_stream: BodyStream | None
    ) -> Coroutine[FinalResponse]:
        """Wait for the final response; pipelined input stays in the kernel's buffer meanwhile."""
        self.pending = pending
        self.context.active_traces.add(pending.trace_id)
        self.context.connections.record_request_complete(self)
        try:
            self.context.coordinator.post(RequestReceived(pending))
            final = None
            if body_stream is not None and self.arrival is not None:
                final = yield from self._relay_body(pending, body_stream, self.arrival)
            if final is None:
                final = yield from self._wait_for_final()
            self.pending = None
            return final
        finally:
            self.context.active_traces.discard(pending.trace_id)

    def _wait_for_final(self) -> Coroutine[FinalResponse]:
        self.stream.wait_for(HANGUP)
        while True:
            message = yield None
            if isinstance(message, FinalResponse):
                return message
            if isinstance(message, SocketReady) and message.hung_up:
                raise ConnectionLostError(CloseReason.CLIENT_LEFT)

    def _relay_body(
        self, pending: PendingRequest, body_stream: BodyStream, arrival: BodyArrival
    ) -> Coroutine[FinalResponse | None]:
        """Read the rest of a body while it is forwarded.

        Return the final response if it comes before the end of the body.
        """
        while True:
            event = self._next_body_event(pending, body_stream)
            if isinstance(event, h11.Data):
                continue
            if isinstance(event, h11.EndOfMessage):
                body_stream.end()
                self.context.coordinator.post(RequestBodyComplete(pending))
                return None
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError(CloseReason.CLIENT_LEFT)
            self._update_earliest_arrival(pending, arrival)
            message = yield from self._wait_for_input(pending, body_stream, arrival)
            if isinstance(message, FinalResponse):
                return message
            if isinstance(message, SocketReady):
                self._read_body(message)
            elif message is None and self.loop.now() >= self._read_deadline():
                self._abandon_request(pending)
                raise InvalidRequestError(408, InvalidRequestReason.INCOMPLETE)

    def _next_body_event(self, pending: PendingRequest, body_stream: BodyStream) -> Event:
        """Return the next event after adding its data to the stream. Raises `InvalidRequestError`."""
        try:
            event = self.stream.next_event()
            if isinstance(event, h11.Data):
                self._count_body(event.data)
                body_stream.add(event.data)
        except (ConnectionLostError, InvalidRequestError, BuffersExhaustedError) as error:
            self._abandon_request(pending)
            raise InvalidRequestError(400, _stream_error_reason(error)) from error
        return event

    def _read_body(self, ready: SocketReady) -> None:
        if ready.hung_up:
            # Data that a client wrote before it disconnected is not forwarded.
            raise ConnectionLostError(CloseReason.CLIENT_LEFT)
        if self.stream.read():
            self.last_read_at = self.loop.now()

    def _update_earliest_arrival(self, pending: PendingRequest, arrival: BodyArrival) -> None:
        """Postpone the request's deadline as far as its last byte is known not to have been sent yet."""
        stream = self.stream
        arrival.update(self.loop.now(), self.body_received, stream.unread_bytes(), stream.arrived_at)
        pending.request.earliest_arrival = arrival.earliest_end

    def _wait_for_input(
        self, pending: PendingRequest, body_stream: BodyStream, arrival: BodyArrival
    ) -> Coroutine[Any]:
        """Return the next message, or None after a part of the request's timeout.

        While there is no room, only a hang-up is read from the socket.
        """
        while not body_stream.has_room():
            arrival.pause()
            since = self.loop.now()
            self.stream.wait_for(HANGUP)
            message = yield None if body_stream.is_full else since + self.context.shortest_objective / 64
            self.paused_time += self.loop.now() - since
            if isinstance(message, FinalResponse | SocketReady):
                return message
        self.stream.wait_for(READ)
        delay = EMPTY_TIME if arrival.held_up else ARRIVAL_CHECK_FRACTION * pending.request.time_left
        return (yield min(self._read_deadline(), self.loop.now() + delay))

    def _abandon_request(self, pending: PendingRequest) -> None:
        """Give up a request whose body can't be read to its end."""
        self.pending = None
        self.context.coordinator.post(ClientDisconnected(pending))

    # Responding and closing.

    def _respond(self, status: int, final: FinalResponse | None, close: bool) -> Coroutine[None]:
        """Write a response, and prepare for the next request or end the connection.

        The connection ends if `close` is set, if part of the request is unread, during a stop or a drain, and
        if descriptors are short.
        """
        http, context = self.stream.http, self.context
        unread = http.their_state is not h11.DONE
        ending = context.stopping or context.draining or self.reason_when_idle is not None
        close = close or unread or ending or context.connections.is_full
        yield from self.writer.write(status, final, close)
        if close or http.our_state is not h11.DONE:
            announced = final is not None or status == 200
            self.reason = CloseReason.CLOSE_ANNOUNCED if announced else CloseReason.answered(status)
            context.connections.answered_clients[self] = None
            yield from self.stream.lingering_close(
                self.loop.now() + LINGERING_CLOSE_TIMEOUT, MAX_DISCARDED_INPUT
            )
        else:
            http.start_next_cycle()
            self.idle_since = self.loop.now()

    def _close(self) -> None:
        if self.pending is not None:
            self.context.coordinator.post(ClientDisconnected(self.pending))
        self.body.release()
        self.stream.close()
        self.context.connections.remove_client(self)
        reason = self.reason or CloseReason.DEFECT
        self.context.log("client.end", reason=reason, served=self.response_count)


def _stream_error_reason(error: Exception) -> InvalidRequestReason:
    """Return the reason for the error in a request whose body was already being forwarded."""
    match error:
        case ConnectionLostError():
            return InvalidRequestReason(error.reason.value)
        case BuffersExhaustedError():
            return InvalidRequestReason.NO_BUFFERS_FOR_STREAM
    return InvalidRequestReason.STREAMED_BODY_TOO_LONG
