"""A connection to an endpoint over HTTP/1.1: one exchange at a time."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import h11

from ...decisions.model import AttemptOutcome
from ..actor import Coroutine
from ..gate import Refusal
from ..loop import READ, SocketReady
from ..messages import (
    CLOSE,
    CancelExchange,
    ConnectionIdle,
    ExchangeEnded,
    StartExchange,
)
from ..state.requests import Exchange
from .endpoint_connection import EndpointConnection
from .errors import CloseReason, ConnectionLostError
from .load_report import load_report_of
from .request_writer import RequestWriter
from .timing import caution_deadline, connect_deadline, idle_deadline
from .upstream_response import ExchangeResult, ResponseReader, next_socket_event, outcome_of

if TYPE_CHECKING:
    from ..context import SidecarContext
    from .pool import ConnectionPool

QUIESCENCE_FRACTION = 1 / 48  # of the shortest latency objective: how late an unsolicited response may come
# With these an exchange whose request was not written whole is not held against its endpoint.
NOT_SENT_REASONS = {
    CloseReason.NO_BUFFERS,
    CloseReason.NOT_RELEASED,
    *(CloseReason(refusal.value) for refusal in Refusal),
}


class Http1Connection(EndpointConnection):
    """One connection to an endpoint, from its first exchange to its end."""

    writer_type = RequestWriter
    writer: RequestWriter  # set once `has_stream`

    def __init__(self, context: SidecarContext, pool: ConnectionPool, exchange: Exchange) -> None:
        """Prepare a connection of `pool` for a first exchange; `begin` starts it."""
        self.exchange: Exchange | None = exchange  # the one in progress whose result is not reported yet
        self.reader: ResponseReader | None = None
        self.reason: CloseReason | None = None  # why it ends
        self.last_was_health_check = False
        super().__init__(context, pool)

    def is_usable(self) -> bool:
        """Whether a request may be written to it: the endpoint has not closed it, and will not soon."""
        fresh = self.loop.now() < idle_deadline(self.context, self.idle_since)
        return fresh and not self.ended and self.stream.has_no_input()

    def is_quiescent(self) -> bool:
        """Whether no unsolicited response to an earlier request is to be expected any more.

        After a health check that is waited for only while such responses occur: the endpoint is often sent
        a request at once, and a new connection for each is expensive for endpoints.
        """
        now = self.loop.now()
        trusted = self.last_was_health_check and now >= self.context.unsolicited_until
        quiescent_at = self.idle_since + QUIESCENCE_FRACTION * self.context.shortest_objective
        return not self.exchange_count or trusted or now >= quiescent_at

    def run(self) -> Coroutine[None]:
        """Connect, then run exchange after exchange."""
        try:
            yield from self._connect()
            exchange = self.exchange
            if exchange is None:
                self.pool.post(ConnectionIdle(self))
                exchange = yield from self._wait_for_exchange()
            while True:
                result = yield from self._run_exchange(exchange)
                if self.reason:
                    break
                self._report(result)
                self.pool.post(ConnectionIdle(self))
                exchange = yield from self._wait_for_exchange()
        except ConnectionLostError as error:
            result = self._fail(error.reason)
        except GeneratorExit:
            result = self._fail(CloseReason.STOPPED)
        finally:
            if not self.reason:
                # After an error in the code, the result of an earlier exchange must not be reported again.
                result = self._fail(CloseReason.DEFECT)
            self._report(result)
            self._close()

    def undelivered(self, message: object) -> None:
        """Report an exchange that crossed the end of the connection: that says nothing of the endpoint."""
        if isinstance(message, StartExchange):
            self.context.coordinator.post(ExchangeEnded(message.exchange, AttemptOutcome.NOT_SENT))

    # Connecting.

    def _connect(self) -> Coroutine[None]:
        self._begin_connecting()
        self.writer = self.writer_type(self.context, self.stream)
        deadline = connect_deadline(self.context, self.loop.now())
        ready = None
        while ready is None:
            exchange = self.exchange
            until, pause_at = deadline, inf
            if exchange is not None:
                until = min(deadline, exchange.deadline)
                pause_at = self.loop.now() + QUIESCENCE_FRACTION * self.context.shortest_objective
            ready = yield from next_socket_event(exchange, until, CloseReason.CONNECT_TIMED_OUT, pause_at)
            if ready is None and exchange is not None and (quiescent := self.pool.take_quiescent()):
                # The exchange need not wait for this one where another has become free meanwhile.
                self.exchange, exchange.connection = None, quiescent
                quiescent.post(StartExchange(exchange))
        self.stream.check_connected()

    # One exchange.

    def _run_exchange(self, exchange: Exchange) -> Coroutine[ExchangeResult]:
        if self.exchange_count:
            yield from self._await_quiescence(exchange)
        if self.idle_since:
            # What came after the last response must not be taken for the next one.
            self._check_silent()
        if refusal := self.context.gate.refusal(self.endpoint, exchange):
            if refusal is Refusal.MOVED:
                raise ConnectionLostError(CloseReason.ENDPOINT_MOVED)
            return ExchangeResult(AttemptOutcome.NOT_SENT)
        self.pool.note_started(exchange, self.loop.now())
        yield from self.writer.send(exchange)
        self.stream.wait_for(READ)
        reader = self.reader = ResponseReader(self.context, self.stream, exchange, self._report)
        head = yield from reader.read()
        return self._finish_exchange(exchange, reader, head)

    def _finish_exchange(
        self, exchange: Exchange, reader: ResponseReader, head: h11.Response
    ) -> ExchangeResult:
        """Make the connection ready for its next exchange, or set the reason why it ends."""
        report = load_report_of(head.headers, exchange, reader.body)
        http = self.stream.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            if http.trailing_data[0]:
                self.reason = self._unsolicited()
        else:
            self.reason = CloseReason.UPSTREAM_CLOSES
        outcome = outcome_of(head.status_code, reader.headers)
        self.last_was_health_check = exchange.pending is None
        self.exchange_count += 1
        relayed = self.exchange is None
        if not relayed and outcome is AttemptOutcome.SUCCESS and exchange.pending is not None:
            return ExchangeResult(outcome, report, reader.take_body())
        reader.body.release()
        return ExchangeResult(outcome, report)

    def _report(self, result: ExchangeResult) -> None:
        """Report the result of the exchange, once."""
        if self.exchange is not None:
            self.context.coordinator.post(
                ExchangeEnded(self.exchange, result.outcome, result.load_report, result.response)
            )
            self.exchange = None

    def _await_quiescence(self, exchange: Exchange) -> Coroutine[None]:
        """Wait, so that a late second response to the last request is not taken for this one's.

        Only while such responses occur: a connection that is not quiescent is used where there is no room
        for another.
        """
        quiescent_at = self.idle_since + QUIESCENCE_FRACTION * self.context.shortest_objective
        until = min(quiescent_at, self.context.unsolicited_until)
        while self.loop.now() < until:
            message = yield until
            if isinstance(message, SocketReady):
                self._check_silent()
            if isinstance(message, CancelExchange) and message.exchange is exchange:
                raise ConnectionLostError(CloseReason.CANCELLED)

    def _check_silent(self) -> None:
        """Raise `ConnectionLostError` if anything has come that nobody waits for, even the end."""
        if not self.stream.has_no_input():
            closed = self.stream.peer_has_closed()
            raise ConnectionLostError(CloseReason.UPSTREAM_CLOSED if closed else self._unsolicited())

    def _unsolicited(self) -> CloseReason:
        """Unsolicited bytes came: it may happen again, here or at another endpoint."""
        self.context.unsolicited_until = caution_deadline(self.context, self.loop.now())
        return CloseReason.UNSOLICITED_BYTES

    # Between exchanges, and the end.

    def _wait_for_exchange(self) -> Coroutine[Exchange]:
        """Return the next exchange; raises `ConnectionLostError` at the end of the idle time."""
        self.idle_since = self.loop.now()
        until = idle_deadline(self.context, self.idle_since)
        while True:
            message = yield until
            if isinstance(message, StartExchange):
                self.exchange = message.exchange
                return message.exchange
            if message is CLOSE or isinstance(message, SocketReady):
                self._check_silent()
            if message is CLOSE:
                raise ConnectionLostError(CloseReason.NOT_NEEDED)
            if message is None:
                raise ConnectionLostError(CloseReason.IDLE)

    def _fail(self, reason: CloseReason) -> ExchangeResult:
        """Set why the connection ends, and return how that ends the exchange."""
        self.reason = reason
        if self.exchange is not None and reason in (CloseReason.RESET, CloseReason.TRUNCATED):
            self.writer.note_reset(self.exchange)
        return ExchangeResult(self._failed_outcome(reason))

    def _failed_outcome(self, reason: CloseReason) -> AttemptOutcome:
        if reason is CloseReason.CANCELLED:
            return AttemptOutcome.CANCELLED
        written = self.exchange is not None and self.exchange.written
        if self.exchange is not None and not written and self.idle_since:
            # The connection was old, which says nothing of the endpoint.
            return AttemptOutcome.NOT_SENT
        if reason is CloseReason.OVERDUE and written:
            return AttemptOutcome.TIMED_OUT
        if reason in NOT_SENT_REASONS and not written:
            return AttemptOutcome.NOT_SENT
        if reason is CloseReason.REJECTED_EARLY:
            return AttemptOutcome.REJECTED
        return AttemptOutcome.RESET if written else AttemptOutcome.CONNECT_FAILED

    def _close(self) -> None:
        if self.reader is not None:
            self.reader.body.release()
            self.reader = None  # it refers to this connection
        self._end_connection(self.reason or CloseReason.DEFECT)
