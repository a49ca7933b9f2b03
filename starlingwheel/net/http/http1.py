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
    ResponseHeadReceived,
    ResponseStarted,
    StartExchange,
)
from ..state.requests import Exchange, UpstreamResponse
from .endpoint_connection import EndpointConnection
from .errors import CloseReason, ConnectionLostError
from .exchange_events import next_socket_event
from .load_report import extract_load_report
from .request_writer import RequestWriter
from .response_attribution import MAX_COPY_DELAY, ResponseAttribution, class_name_of
from .timing import connect_deadline, fault_recurrence_deadline, idle_deadline
from .upstream_response import ExchangeResult, ResponseReader

if TYPE_CHECKING:
    from ..context import SidecarContext
    from .pool import ConnectionPool

# Of the shortest latency objective: how soon after a response its connection is reused at the earliest, where
# the content of the next response is to show that it is no copy, and how often an exchange looks for one.
REUSE_DELAY_FRACTION = 1 / 48
# Reasons that are no fault of the endpoint. An attempt that ends for one of them before its request has been
# written in full counts as not sent.
NOT_SENT_REASONS = {
    CloseReason.NO_BUFFERS,
    CloseReason.NOT_RELEASED,
    *(CloseReason(refusal.value) for refusal in Refusal),
}


class Http1Connection(EndpointConnection):
    """One HTTP/1.1 connection to an endpoint, from its first exchange to its end."""

    writer_type = RequestWriter
    writer: RequestWriter  # set once `has_stream`

    def __init__(self, context: SidecarContext, pool: ConnectionPool, exchange: Exchange) -> None:
        """Prepare a connection of `pool` for its first exchange; `begin` starts it."""
        self.exchange: Exchange | None = exchange  # the exchange in progress, until its result is reported
        self.reader: ResponseReader | None = None
        self.reason: CloseReason | None = None  # why the connection ends
        self.last_was_health_check = False
        self.required_rest = pool.required_rest
        self.attribution = ResponseAttribution(context, self.required_rest)
        super().__init__(context, pool)

    def is_usable(self) -> bool:
        """Return whether a request may be written: the endpoint has not closed, and is not about to."""
        fresh = self.loop.now() < idle_deadline(self.context, self.idle_since)
        return fresh and not self.ended and self.stream.has_no_input()

    def has_rested(self) -> bool:
        """Return whether no copy of an earlier response is to be expected any more."""
        return self.attribution.has_rested(self.loop.now())

    def is_provable_by_content(self, exchange: Exchange) -> bool:
        """Return whether the content of the response is likely to show that it is no copy of an earlier one.

        After a health check that holds at once, while no copies come: a request often follows, and
        a new connection for each would be expensive for endpoints.
        """
        now = self.loop.now()
        trusted = self.last_was_health_check and now >= self.context.unsolicited_responses_until
        if not trusted and now < self.idle_since + self._reuse_delay(now):
            return False
        return self.attribution.is_provable_by_content(class_name_of(exchange))

    def _reuse_delay(self, now: float) -> float:
        """Return how soon after a response the connection is reused if it has not rested.

        An attempt whose response turns out to be a copy is lost, so most copies are to come before.
        """
        if self.required_rest.copies_expected(now):
            return MAX_COPY_DELAY
        return REUSE_DELAY_FRACTION * self.context.shortest_objective

    def run(self) -> Coroutine[None]:
        """Connect, then run exchanges until the connection ends."""
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
                # After an unexpected exception, the result of an earlier exchange must not be reported again.
                result = self._fail(CloseReason.DEFECT)
            self._report(result)
            self._close()

    def undelivered(self, message: object) -> None:
        """Report an exchange as not sent that was assigned while the connection ended.

        The end of the connection says nothing about the endpoint.
        """
        if isinstance(message, StartExchange):
            self.context.coordinator.post(ExchangeEnded(message.exchange, AttemptOutcome.NOT_SENT))

    # Opening the connection.

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
                pause_at = self.loop.now() + REUSE_DELAY_FRACTION * self.context.shortest_objective
            ready = yield from next_socket_event(exchange, until, CloseReason.CONNECT_TIMED_OUT, pause_at)
            if ready is None and exchange is not None and (other := self.pool.take_reusable(exchange)):
                # Another connection can be reused by now, so the exchange need not wait for this one.
                self.exchange, exchange.connection = None, other
                other.post(StartExchange(exchange))
        self.stream.check_connected()

    # Running an exchange.

    def _run_exchange(self, exchange: Exchange) -> Coroutine[ExchangeResult]:
        if self.exchange_count:
            yield from self._await_rest(exchange)
        no_input_at = self.loop.now()
        if self.idle_since:
            # Input that followed the last response must not be taken for the next response.
            self._check_no_input()
        if refusal := self.context.gate.refusal(self.endpoint, exchange):
            if refusal is Refusal.MOVED:
                raise ConnectionLostError(CloseReason.ENDPOINT_MOVED)
            return ExchangeResult(AttemptOutcome.NOT_SENT)
        self.pool.note_started(exchange, self.loop.now())
        self.attribution.begin(exchange, no_input_at)
        yield from self.writer.send(exchange)
        self.stream.wait_for(READ)
        reader = self.reader = ResponseReader(self.context, self.stream, exchange, self, self.attribution)
        head = yield from reader.read()
        return self._finish_exchange(exchange, reader, head)

    def _finish_exchange(
        self, exchange: Exchange, reader: ResponseReader, head: h11.Response
    ) -> ExchangeResult:
        """Return the result; make the connection ready for its next exchange, or set why it ends."""
        report = extract_load_report(head.headers, exchange, reader.body)
        http = self.stream.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            self.stream.acknowledge()  # so that a copy that the endpoint holds back comes now
            if http.trailing_data[0]:
                self.reason = self._note_unsolicited_bytes()
        else:
            self.reason = CloseReason.UPSTREAM_CLOSES
        outcome = reader.outcome
        self.last_was_health_check = exchange.pending is None
        self.exchange_count += 1
        if reader.relay is None and outcome is AttemptOutcome.SUCCESS and exchange.pending is not None:
            return ExchangeResult(outcome, report, reader.take_body())
        reader.body.release()
        return ExchangeResult(outcome, report)

    # Called by the reader (`ResponseObserver`).

    def head_received(self, may_be_long: bool) -> None:
        """Tell the coordinator that the endpoint has begun a successful response."""
        if self.exchange is not None:
            self.context.coordinator.post(ResponseHeadReceived(self.exchange, may_be_long))

    def relay_started(self, response: UpstreamResponse) -> None:
        """Have the coordinator pass a response to the client while it arrives."""
        if self.exchange is not None:
            self.context.coordinator.post(ResponseStarted(self.exchange, response))

    def result_known(self, result: ExchangeResult) -> None:
        """Report the result, while the rest of the response is still to be read."""
        self._report(result)

    def _report(self, result: ExchangeResult) -> None:
        """Report the result of the exchange, unless it has been reported."""
        if self.exchange is not None:
            self.context.coordinator.post(
                ExchangeEnded(self.exchange, result.outcome, result.load_report, result.response)
            )
            self.exchange = None

    def _await_rest(self, exchange: Exchange) -> Coroutine[None]:
        """Wait, so that a late second response to the last request is not taken for the response to this one.

        The wait lasts only while such responses are expected. A connection that has not rested is used then
        only where there is no room for another.
        """
        rested_at = self.idle_since + self.required_rest.seconds(self.loop.now())
        until = min(rested_at, self.context.unsolicited_responses_until)
        while self.loop.now() < until:
            message = yield until
            if isinstance(message, SocketReady):
                self._check_no_input()
            if isinstance(message, CancelExchange) and message.exchange is exchange:
                raise ConnectionLostError(CloseReason.CANCELLED)

    def _check_no_input(self) -> None:
        """Raise `ConnectionLostError` if any input has arrived, including the end of the connection."""
        if not self.stream.has_no_input():
            closed = self.stream.peer_has_closed()
            raise ConnectionLostError(
                CloseReason.UPSTREAM_CLOSED if closed else self._note_unsolicited_bytes()
            )

    def _note_unsolicited_bytes(self) -> CloseReason:
        """Record that unsolicited bytes arrived, which may happen again here or at another endpoint."""
        now = self.loop.now()
        until = self.context.unsolicited_responses_until = fault_recurrence_deadline(self.context, now)
        if self.attribution.earlier:
            self.required_rest.note_unsolicited(now - self.attribution.last_accepted_at, now, until)
        return CloseReason.UNSOLICITED_BYTES

    # Waiting for the next exchange, and closing.

    def _wait_for_exchange(self) -> Coroutine[Exchange]:
        """Return the next exchange. Raises `ConnectionLostError` when the idle timeout is over."""
        self.idle_since = self.loop.now()
        until = idle_deadline(self.context, self.idle_since)
        while True:
            message = yield until
            if isinstance(message, StartExchange):
                self.exchange = message.exchange
                return message.exchange
            if message is CLOSE or isinstance(message, SocketReady):
                self._check_no_input()
            if message is CLOSE:
                raise ConnectionLostError(CloseReason.NOT_NEEDED)
            if message is None:
                raise ConnectionLostError(CloseReason.IDLE)

    def _fail(self, reason: CloseReason) -> ExchangeResult:
        """Set why the connection ends, and return the result of the exchange."""
        self.reason = reason
        if self.exchange is not None and reason in (CloseReason.RESET, CloseReason.TRUNCATED):
            self.writer.note_reset(self.exchange)
        if reason is CloseReason.RESPONSE_NOT_ATTRIBUTED:
            self._note_unsolicited_bytes()
        return ExchangeResult(self._failed_outcome(reason))

    def _failed_outcome(self, reason: CloseReason) -> AttemptOutcome:
        if reason is CloseReason.CANCELLED:
            return AttemptOutcome.CANCELLED
        written = self.exchange is not None and self.exchange.written
        if self.exchange is not None and not written and self.idle_since:
            # A connection that broke before it was reused says nothing about the endpoint.
            return AttemptOutcome.NOT_SENT
        if reason is CloseReason.OVERDUE and written:
            return AttemptOutcome.TIMED_OUT
        if reason in NOT_SENT_REASONS and not written:
            return AttemptOutcome.NOT_SENT
        if reason is CloseReason.REJECTED_EARLY:
            return AttemptOutcome.REJECTED
        return AttemptOutcome.RESET if written else AttemptOutcome.CONNECT_FAILED

    def _close(self) -> None:
        details: dict[str, object] = {}
        if self.reader is not None:
            details = self.reader.progress()
            self.reader.body.release()
            self.reader = None  # breaks a reference cycle with this connection
        self._end_connection(self.reason or CloseReason.DEFECT, **details)
