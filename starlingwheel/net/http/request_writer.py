"""Writing the requests of one HTTP/1.1 connection to an endpoint.

Before the last byte of a request is written its endpoint can't have run it; after that it may have.
`Exchange.written` says which.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from ..loop import INPUT, READ, WRITE, SocketReady
from ..messages import CancelExchange
from ..state.body_stream import BodyStream
from ..state.requests import Exchange
from .errors import CloseReason, ConnectionLostError
from .timing import caution_deadline
from .upstream_request import build_request
from .upstream_response import next_socket_event

if TYPE_CHECKING:
    from ..actor import Coroutine
    from ..context import SidecarContext
    from .stream import Stream

LAST_BYTE_DELAY_FRACTION = 1 / 64  # of the shortest latency objective


class RequestWriter:
    """Writes request after request to one connection."""

    def __init__(self, context: SidecarContext, stream: Stream) -> None:
        """Write to `stream`, whose actor receives the messages."""
        self.context, self.stream, self.loop = context, stream, context.loop
        self.written_at = 0.0  # when the last byte of the last request was written; 0: never

    def send(self, exchange: Exchange) -> Coroutine[None]:
        """Write the whole request of an exchange; raises `ConnectionLostError`."""
        self._put(exchange)
        if exchange.body_stream is not None:
            yield from self._relay_body(exchange, exchange.body_stream)
        elif exchange.non_idempotent and self.loop.now() < self.context.resets_expected_until:
            yield from self._delay_last_byte(exchange)
        yield from self.write(exchange)
        exchange.written, self.written_at = True, self.loop.now()
        if exchange.body_stream is not None:
            exchange.restart_clock(self.written_at)

    def write(self, exchange: Exchange) -> Coroutine[None]:
        """Write all that has been put to the stream; raises `ConnectionLostError`."""
        done = self.stream.write()
        self.context.gate.note_written(exchange)
        while not done:
            self.stream.wait_for(READ | WRITE)
            ready = yield from next_socket_event(exchange, exchange.deadline, CloseReason.OVERDUE)
            self.check_no_early_response(ready)
            self.check_still_needed(exchange)
            done = self.stream.write()

    def note_reset(self, exchange: Exchange) -> None:
        """The connection broke: expect more resets if it did before or just after the last byte."""
        now = self.loop.now()
        delay = LAST_BYTE_DELAY_FRACTION * self.context.shortest_objective
        if not exchange.written or now < self.written_at + delay:
            self.context.resets_expected_until = caution_deadline(self.context, now)

    def check_no_early_response(self, ready: SocketReady) -> None:
        """Raise `ConnectionLostError` if input has come: no response belongs to a request not yet written."""
        if ready.mask & INPUT:
            reason = CloseReason.RESET if ready.hung_up else CloseReason.RESPONSE_BEFORE_REQUEST
            raise ConnectionLostError(reason)

    def check_still_needed(self, exchange: Exchange) -> None:
        """Raise `ConnectionLostError` if nothing more is to be sent for the exchange."""
        if refusal := self.context.gate.unwanted(exchange):
            raise ConnectionLostError(CloseReason(refusal.value))

    def _put(self, exchange: Exchange) -> None:
        head = build_request(exchange, self.context, self.loop.now())
        self.stream.enqueue(h11.Request(method=head.method, target=head.target, headers=head.headers))
        pending = exchange.pending
        if pending is not None:
            if isinstance(pending.body, BodyStream):
                return
            self.stream.enqueue_body(pending.body.views())
        self.stream.enqueue(h11.EndOfMessage())

    def _relay_body(self, exchange: Exchange, body: BodyStream) -> Coroutine[None]:
        """Write a body while it comes; the end of the message is put, but not written."""
        body.sink = self.stream.actor
        yield from self.write(exchange)
        while not body.is_consumed:
            if body.aborted:
                raise ConnectionLostError(CloseReason.CLIENT_LEFT)
            part = body.take()
            if part.length:
                # What has been taken can't be sent again: this attempt is the only one.
                if exchange.pending is not None:
                    exchange.pending.request.max_attempts = 1
                if body.is_consumed:
                    self.check_still_needed(exchange)
                # With the last byte it may run: whether that arrived is not known if the connection breaks.
                exchange.written = body.taken == body.length
                try:
                    yield from self._write_part(exchange, part.views())
                finally:
                    part.release()
            else:
                yield from self._wait_for_body(exchange)
        if not exchange.written:
            self.check_still_needed(exchange)
        exchange.written = True
        self.stream.enqueue(h11.EndOfMessage())

    def _write_part(self, exchange: Exchange, views: list[memoryview]) -> Coroutine[None]:
        self.stream.enqueue_body(views)
        while not self.stream.write():
            self.stream.wait_for(READ | WRITE)
            ready = yield from next_socket_event(exchange, exchange.deadline, CloseReason.OVERDUE)
            self._check_not_rejected(exchange, ready)

    def _wait_for_body(self, exchange: Exchange) -> Coroutine[None]:
        self.stream.wait_for(READ)
        message = yield exchange.deadline
        if message is None and self.loop.now() >= exchange.deadline:
            raise ConnectionLostError(CloseReason.OVERDUE)
        if isinstance(message, SocketReady):
            self._check_not_rejected(exchange, message)
        if isinstance(message, CancelExchange) and message.exchange is exchange:
            raise ConnectionLostError(CloseReason.CANCELLED)

    def _check_not_rejected(self, exchange: Exchange, ready: SocketReady) -> None:
        """Raise `ConnectionLostError` if a response has come already: the rest is then of no use."""
        if ready.mask & INPUT and not exchange.written:
            raise ConnectionLostError(CloseReason.RESET if ready.hung_up else CloseReason.REJECTED_EARLY)

    def _delay_last_byte(self, exchange: Exchange) -> Coroutine[None]:
        """Write all but the last byte, and wait a moment for the connection to break.

        A non-idempotent request is then not lost to a connection that its endpoint has closed or reset
        already: while a byte is missing none can have begun it.
        """
        last = self.stream.take_last_byte()
        yield from self.write(exchange)
        self.stream.wait_for(READ)
        until = self.loop.now() + LAST_BYTE_DELAY_FRACTION * self.context.shortest_objective
        while self.loop.now() < until:
            message = yield min(until, exchange.deadline)
            if isinstance(message, SocketReady):
                self.check_no_early_response(message)
            elif isinstance(message, CancelExchange) and message.exchange is exchange:
                raise ConnectionLostError(CloseReason.CANCELLED)
        if self.loop.now() >= exchange.deadline:
            raise ConnectionLostError(CloseReason.OVERDUE)
        if not self.stream.has_no_input():
            raise ConnectionLostError(CloseReason.RESET)
        self.check_still_needed(exchange)
        self.stream.unwritten.append(last)
