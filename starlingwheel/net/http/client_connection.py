"""The connection of a client: reads its requests one at a time, passes each on and writes the response."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import h11

from ..actor import Actor, Coroutine
from ..loop import HANGUP, READ, SocketReady
from ..messages import (
    CLOSE,
    STOP,
    ClientDisconnected,
    FinalResponse,
    RequestReceived,
)
from ..state.body_arrival import BodyArrival, max_send_buffer
from ..state.body_stream import BodyStream
from ..state.buffers import (
    BUFFER_SIZE,
    MAX_BUFFERED_BODY,
    BufferedBody,
    BuffersExhaustedError,
)
from ..state.requests import PendingRequest
from .errors import CloseReason, ConnectionLostError, InvalidRequestError, InvalidRequestReason
from .request_parser import declared_length, parse_request
from .request_progress import IDLE_TIMEOUT, RequestProgress
from .response_writer import ResponseWriter, withdraw_if_broken
from .stream import Stream, note_arrival_times
from .upload_relay import UploadRelay

if TYPE_CHECKING:
    from ..context import SidecarContext

LINGERING_CLOSE_TIMEOUT = IDLE_TIMEOUT / 4  # seconds that a client has to close after its last response
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
        self.progress = RequestProgress(context)
        self.opened_at = self.progress.opened_at
        self.body = BufferedBody(context.buffer_pool)
        self.body_stream: BodyStream | None = None  # replaces `body` for a body that is too long to buffer
        self.arrival: BodyArrival | None = None  # set with `body_stream`
        self.pending: PendingRequest | None = None
        self.open_trace = b""  # the id of the request that has not got its whole response yet
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
                self.open_trace = pending.trace_id
                final = yield from self._wait_for_response(pending, self.body_stream)
                final = withdraw_if_broken(final)
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

    def _accept_request(self, request: h11.Request) -> PendingRequest:
        """Parse a request, which then owns its body.

        Raises `ConnectionLostError` if the client has disconnected meanwhile.
        """
        body = self.body if self.body_stream is None else self.body_stream
        received_at = self.progress.last_read_at if self.arrival is None else self.arrival.earliest_end
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
            if self.stream.is_turn_over():
                yield from self._end_turn()
            try:
                event = self.stream.next_event()
            except ConnectionLostError as error:
                raise InvalidRequestError(400, InvalidRequestReason(error.reason.value)) from error
            if isinstance(event, h11.Request):
                request, length = event, declared_length(event, self.progress.max_body())
                self.stream.read_size = len(self.context.buffer_pool.scratch)
            elif isinstance(event, h11.Data):
                self.progress.count_body(event.data)
                if self.progress.body_received > MAX_BUFFERED_BODY:
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

    def _end_turn(self) -> Coroutine[None]:
        """Let other actors run before the rest of the input is handled."""
        message = yield self.loop.now()
        if message is STOP:
            self.reason_when_idle = CloseReason.STOPPING
        elif message is CLOSE:
            # The request makes progress, so it is not closed before its response.
            self.reason_when_idle = self.reason_when_idle or CloseReason.NOT_NEEDED

    def _await_request(self) -> None:
        self.stream.read_size = BUFFER_SIZE
        self.progress.expect_request(pipelined=bool(self.stream.http.trailing_data[0]))
        self.stream.wait_for(READ)
        if self.progress.started_at is None and self.response_count:
            self.context.connections.idle_clients[self] = None

    def _begin_body_stream(self, data: bytes, length: int | None) -> None:
        """Forward a long body while it arrives instead of buffering all of it."""
        self.body_stream = BodyStream(self.context.buffer_pool, self, length, self.body)
        self.body = BufferedBody(self.context.buffer_pool)
        self.body_stream.add(data)
        self.arrival = BodyArrival(length, self.progress.incomplete_at, max_send_buffer())

    def _receive_more(self) -> Coroutine[bool]:
        """Wait for more of a request and read it; return False if the connection ends instead."""
        while True:
            if self.reason_when_idle and self.progress.started_at is None and self.stream.has_no_input():
                self.reason = self.reason_when_idle
                return False
            message = yield min(self.progress.deadline(), self.context.answer_by)
            if message is None:
                self._read_timed_out()
                continue
            if message is STOP or message is CLOSE:
                self._close_when_idle(message)
                continue
            count = self._read_input()
            if count is None:
                continue
            if count == 0 and self.progress.started_at is not None:
                self.reason = CloseReason.CLIENT_LEFT
                return False
            return True

    def _read_timed_out(self) -> None:
        """End a connection that is idle at its read deadline, or at the end of a shutdown.

        Raises `InvalidRequestError` for a request that is still incomplete.
        """
        if self.progress.started_at is not None and self.loop.now() >= self.context.answer_by:
            retry_after = self.context.shortest_objective * STOP_RETRY_AFTER_FRACTION
            retry_after = min(self.context.balancer_config.max_retry_after, retry_after)
            raise InvalidRequestError(503, InvalidRequestReason.STOPPING, retry_after=retry_after)
        if self.progress.started_at is not None:
            raise InvalidRequestError(408, InvalidRequestReason.INCOMPLETE)
        self.reason_when_idle = self.reason_when_idle or CloseReason.IDLE

    def _close_when_idle(self, message: object) -> None:
        """Handle `STOP` or `CLOSE`; `CLOSE` also ends a first request that makes no progress."""
        if message is STOP:
            self.reason_when_idle = CloseReason.STOPPING
            return
        if not self.response_count and self.progress.started_at is not None and self.stream.has_no_input():
            raise ConnectionLostError(CloseReason.NOT_NEEDED)
        self.reason_when_idle = self.reason_when_idle or CloseReason.NOT_NEEDED

    def _read_input(self) -> int | None:
        """Read from the socket and return the number of bytes.

        Return None if nothing has arrived, and 0 if the client has closed its sending side.
        """
        try:
            count = self.stream.read()
        except ConnectionLostError:
            if self.progress.started_at is not None:
                self.reason = CloseReason.CLIENT_LEFT
            raise
        if count:
            if not self.response_count:
                self.context.connections.record_request_part(self)
            if self.progress.started_at is None:
                self.context.connections.idle_clients.pop(self, None)
            self.progress.note_read(self.stream.arrived_at)
        return count

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

    def _relay_body(
        self, pending: PendingRequest, body_stream: BodyStream, arrival: BodyArrival
    ) -> Coroutine[FinalResponse | None]:
        """Read the rest of a body; return the final response if it comes before the end of the body."""
        relay = UploadRelay(self.context, self.stream, self.progress, pending, body_stream, arrival)
        try:
            return (yield from relay.run())
        except InvalidRequestError:
            self._abandon_request(pending)
            raise

    def _wait_for_final(self) -> Coroutine[FinalResponse]:
        self.stream.wait_for(HANGUP)
        while True:
            message = yield None
            if isinstance(message, FinalResponse):
                return message
            if isinstance(message, SocketReady) and message.hung_up:
                raise ConnectionLostError(CloseReason.CLIENT_LEFT)

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
        self.open_trace = b""
        self.response_count += 1
        if close or http.our_state is not h11.DONE:
            announced = final is not None or status == 200
            self.reason = CloseReason.CLOSE_ANNOUNCED if announced else CloseReason.answered(status)
            context.connections.answered_clients[self] = None
            yield from self.stream.lingering_close(
                self.loop.now() + LINGERING_CLOSE_TIMEOUT, MAX_DISCARDED_INPUT
            )
        else:
            http.start_next_cycle()
            self.progress.note_answered()

    def _close(self) -> None:
        if self.pending is not None:
            self.context.coordinator.post(ClientDisconnected(self.pending))
        self.body.release()
        self.stream.close()
        self.context.connections.remove_client(self)
        reason = self.reason or CloseReason.DEFECT
        self.context.connections.client_ends[reason.value] += 1
        details = {"trace": self.open_trace.decode("latin-1")} if self.open_trace else {}
        self.context.log("client.end", reason=reason, served=self.response_count, **details)
