"""Reads the rest of a long request body from its client while the body is forwarded."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import h11

from ..loop import HANGUP, READ, SocketReady
from ..messages import FinalResponse, RequestBodyComplete
from ..state.body_arrival import EMPTY_TIME, BodyArrival
from ..state.body_stream import BodyStream
from .errors import CloseReason, ConnectionLostError, InvalidRequestError, InvalidRequestReason
from .request_progress import RequestProgress
from .stream import Event, Stream

if TYPE_CHECKING:
    from ..actor import Coroutine
    from ..context import SidecarContext
    from ..state.requests import PendingRequest

# How often a wait for the rest of a body is interrupted to see whether any has arrived, in request timeouts.
ARRIVAL_CHECK_FRACTION = 1 / 4


class UploadRelay:
    """Reads one body, of which a part has been read already, into its stream."""

    def __init__(
        self,
        context: SidecarContext,
        stream: Stream,
        progress: RequestProgress,
        pending: PendingRequest,
        body: BodyStream,
        arrival: BodyArrival,
    ) -> None:
        """Read from the client's `stream`; `arrival` bounds when the client can have sent the last byte."""
        self.context, self.stream, self.loop = context, stream, context.loop
        self.progress, self.pending, self.body, self.arrival = progress, pending, body, arrival

    def run(self) -> Coroutine[FinalResponse | None]:
        """Read the body to its end; return the final response if it comes before.

        Raises `InvalidRequestError` if the body can't be read, `ConnectionLostError` if the client has left.
        """
        while True:
            if self.stream.is_turn_over() and (final := (yield from self._end_turn())):
                return final
            event = self._next_event()
            if isinstance(event, h11.Data):
                continue
            if isinstance(event, h11.EndOfMessage):
                self.body.end()
                self.context.coordinator.post(RequestBodyComplete(self.pending))
                return None
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError(CloseReason.CLIENT_LEFT)
            self._update_earliest_arrival()
            message = yield from self._wait_for_input()
            if isinstance(message, FinalResponse):
                return message
            self._handle(message)

    def _end_turn(self) -> Coroutine[FinalResponse | None]:
        """Let other actors run before the rest is handled; return the final response if it comes.

        Raises `ConnectionLostError` if the client has left.
        """
        message = yield self.loop.now()
        if isinstance(message, SocketReady) and message.hung_up:
            raise ConnectionLostError(CloseReason.CLIENT_LEFT)
        return message if isinstance(message, FinalResponse) else None

    def _handle(self, message: object) -> None:
        """Read what has arrived; raises `InvalidRequestError` if that takes too long."""
        if isinstance(message, SocketReady):
            self._read(message)
        elif message is None and self.loop.now() >= self.progress.deadline():
            raise InvalidRequestError(408, InvalidRequestReason.INCOMPLETE)

    def _next_event(self) -> Event:
        """Return the next event after adding its data to the stream. Raises `InvalidRequestError`."""
        try:
            event = self.stream.next_event()
            if isinstance(event, h11.Data):
                self.progress.count_body(event.data)
                self.body.add(event.data)
        except (ConnectionLostError, InvalidRequestError) as error:
            raise InvalidRequestError(400, _error_reason(error)) from error
        return event

    def _read(self, ready: SocketReady) -> None:
        if ready.hung_up:
            # Data that a client wrote before it disconnected is not forwarded.
            raise ConnectionLostError(CloseReason.CLIENT_LEFT)
        if self.body.has_room() and self.stream.read():
            self.progress.last_read_at = self.progress.awaited_since = self.loop.now()

    def _update_earliest_arrival(self) -> None:
        """Postpone the request's deadline as far as its last byte is known not to have been sent yet."""
        unread, arrived_at = self.stream.unread_bytes(), self.stream.arrived_at
        self.arrival.update(self.loop.now(), self.progress.body_received, unread, arrived_at)
        self.pending.request.earliest_arrival = self.arrival.earliest_end

    def _wait_for_input(self) -> Coroutine[Any]:
        """Return the next message, or None after a part of the request's timeout.

        While there is no room, only a hang-up is read from the socket.
        """
        while not self.body.has_room():
            self.arrival.pause()
            since = self.loop.now()
            self.stream.wait_for(HANGUP)
            message = yield None if self.body.is_full else since + self.context.shortest_objective / 64
            self.progress.paused_time += self.loop.now() - since
            self.progress.awaited_since = self.loop.now()
            if isinstance(message, FinalResponse | SocketReady):
                return message
        self.stream.wait_for(READ)
        delay = ARRIVAL_CHECK_FRACTION * self.pending.request.time_left
        if self.arrival.held_up:
            delay = EMPTY_TIME
        return (yield min(self.progress.deadline(), self.loop.now() + delay))


def _error_reason(error: Exception) -> InvalidRequestReason:
    """Return the reason for the error in a request whose body was already being forwarded."""
    if isinstance(error, ConnectionLostError):
        return InvalidRequestReason(error.reason.value)
    return InvalidRequestReason.STREAMED_BODY_TOO_LONG
