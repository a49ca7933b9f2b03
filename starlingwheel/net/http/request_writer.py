"""Writes requests to an HTTP/1.1 connection to an endpoint.

An endpoint can't have run a request before its last byte is written, and may have run it afterwards.
`Exchange.written` records which of the two holds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from ..loop import INPUT, READ, WRITE, SocketReady
from ..messages import CancelExchange
from ..state.body_stream import BodyStream
from ..state.requests import Exchange
from .errors import CloseReason, ConnectionLostError
from .exchange_events import next_exchange_event
from .timing import fault_recurrence_deadline
from .upstream_request import build_request

if TYPE_CHECKING:
    from ..actor import Coroutine
    from ..context import SidecarContext
    from .stream import Stream

LAST_BYTE_DELAY_FRACTION = 1 / 64  # of the shortest latency objective


class RequestWriter:
    """Writes the requests of one connection."""

    def __init__(self, context: SidecarContext, stream: Stream) -> None:
        """Write to `stream`, whose actor receives the messages."""
        self.context, self.stream, self.loop = context, stream, context.loop
        self.written_at = 0.0  # when the last byte of the latest request was written; 0: never

    def send(self, exchange: Exchange) -> Coroutine[None]:
        """Write the whole request of an exchange. Raises `ConnectionLostError`."""
        self._enqueue_request(exchange)
        if exchange.body_stream is not None:
            yield from self._relay_body(exchange, exchange.body_stream)
        elif exchange.non_idempotent and self.loop.now() < self.context.resets_expected_until:
            yield from self._delay_last_byte(exchange)
        yield from self.write(exchange)
        exchange.written, self.written_at = True, self.loop.now()
        if exchange.body_stream is not None:
            exchange.restart_clock(self.written_at)

    def write(self, exchange: Exchange) -> Coroutine[None]:
        """Write everything that is enqueued in the stream. Raises `ConnectionLostError`."""
        done = self.stream.write()
        self.context.gate.record_first_write(exchange)
        while not done:
            self.stream.wait_for(READ | WRITE)
            ready = yield from next_exchange_event(exchange)
            self.check_no_early_response(ready)
            self.check_still_needed(exchange)
            done = self.stream.write()

    def note_reset(self, exchange: Exchange) -> None:
        """Expect more resets if the connection was reset before or just after the last byte of a request."""
        now = self.loop.now()
        delay = LAST_BYTE_DELAY_FRACTION * self.context.shortest_objective
        if not exchange.written or now < self.written_at + delay:
            self.context.resets_expected_until = fault_recurrence_deadline(self.context, now)

    def check_no_early_response(self, ready: SocketReady) -> None:
        """Raise `ConnectionLostError` if input has arrived before the request was written."""
        if ready.mask & INPUT:
            reason = CloseReason.RESET if ready.hung_up else CloseReason.RESPONSE_BEFORE_REQUEST
            raise ConnectionLostError(reason)

    def check_still_needed(self, exchange: Exchange) -> None:
        """Raise `ConnectionLostError` if the gate says that nothing more is to be sent for the exchange."""
        if refusal := self.context.gate.exchange_refusal(exchange):
            raise ConnectionLostError(CloseReason(refusal.value))

    def _enqueue_request(self, exchange: Exchange) -> None:
        head = build_request(exchange, self.context, self.loop.now())
        self.stream.enqueue(h11.Request(method=head.method, target=head.target, headers=head.headers))
        pending = exchange.pending
        if pending is not None:
            if isinstance(pending.body, BodyStream):
                return
            self.stream.enqueue_body(pending.body.views())
        self.stream.enqueue(h11.EndOfMessage())

    def _relay_body(self, exchange: Exchange, body: BodyStream) -> Coroutine[None]:
        """Write a body while it arrives; the end of the message is enqueued but not written.

        Raises `ConnectionLostError` once another attempt has taken bytes of the body.
        """
        self._claim(exchange, body)
        yield from self.write(exchange)
        while not self._has_sent(exchange, body):
            if body.aborted:
                raise ConnectionLostError(CloseReason.CLIENT_LEFT)
            part = body.take()
            if part.length:
                # Data taken from the body stream can't be sent again, so this attempt is the only one.
                if exchange.pending is not None:
                    exchange.pending.request.max_attempts = 1
                if body.is_consumed:
                    self.check_still_needed(exchange)
                # The request may run from its last byte on; a broken connection hides whether that arrived.
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

    def _claim(self, exchange: Exchange, body: BodyStream) -> None:
        if not body.claim(exchange, self.stream.actor):
            raise ConnectionLostError(CloseReason.BODY_TAKEN)

    def _has_sent(self, exchange: Exchange, body: BodyStream) -> bool:
        """Return whether the exchange has taken the whole body. Raises `ConnectionLostError`."""
        self._claim(exchange, body)
        return body.is_consumed

    def _write_part(self, exchange: Exchange, views: list[memoryview]) -> Coroutine[None]:
        self.stream.enqueue_body(views)
        while not self.stream.write():
            self.stream.wait_for(READ | WRITE)
            ready = yield from next_exchange_event(exchange)
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
        """Raise `ConnectionLostError` if a response has arrived: the rest of the request is useless."""
        if ready.mask & INPUT and not exchange.written:
            raise ConnectionLostError(CloseReason.RESET if ready.hung_up else CloseReason.REJECTED_EARLY)

    def _delay_last_byte(self, exchange: Exchange) -> Coroutine[None]:
        """Write all but the last byte, and wait briefly for the connection to break.

        The endpoint may have closed or reset the connection already. While the last byte is missing it can't
        have begun the request, so that a non-idempotent request can still be sent again.
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
