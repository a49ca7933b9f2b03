"""Reads the response of one HTTP/1.1 exchange: a short body is buffered, a long one is relayed.

From the head of a successful response on the exchange has the time of its client, and not that of the
latency objective. A response of more than `MAX_BUFFERED_BODY`, or of unknown length, is passed on once that
is required (`decisions.response_commitment`); from then on only the endpoint or the client ends it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING, Protocol

import h11

from ...decisions.model import AttemptOutcome
from ...decisions.response_commitment import CommitReason
from ..loop import READ, SocketReady
from ..messages import CancelExchange, EndStalledResponse
from ..state.body_stream import MAX_STREAMED_BODY, BodyStream
from ..state.buffers import MAX_BUFFERED_BODY, BufferedBody, BuffersExhaustedError
from ..state.requests import Exchange, UpstreamResponse
from .chunk_framing import is_readable_so_far
from .errors import CloseReason, ConnectionLostError
from .exchange_events import next_socket_event
from .load_report import extract_load_report
from .response_head import may_pass_on, response_length, response_outcome

if TYPE_CHECKING:
    from ..actor import Coroutine
    from ..context import SidecarContext
    from .response_attribution import ResponseAttribution
    from .stream import Stream

RELAY_STALL_TIMEOUT = 5.0  # seconds without a byte after which a relayed response counts as lost
VERSION_PREFIX = b"HTTP/1."


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The result of an exchange."""

    outcome: AttemptOutcome
    load_report: dict[str, float] = field(default_factory=dict)
    response: UpstreamResponse | None = None


class ResponseObserver(Protocol):
    """What a reader tells its connection before the response is complete."""

    def head_received(self, may_be_long: bool) -> None:
        """Handle the head of a successful response, the rest of which is still to come."""

    def relay_started(self, response: UpstreamResponse) -> None:
        """Handle the start of a response that is passed to the client while it arrives."""

    def result_known(self, result: ExchangeResult) -> None:
        """Handle the result of the exchange, which the rest of the response can't change."""


class ResponseReader:
    """Reads one response; owns the body until it is passed to the client."""

    __slots__ = (
        "context",
        "stream",
        "exchange",
        "observer",
        "attribution",
        "head",
        "headers",
        "length",
        "outcome",
        "body",
        "relay",
        "is_complete",
        "is_result_known",
        "has_read_before_commit",
    )

    def __init__(
        self,
        context: SidecarContext,
        stream: Stream,
        exchange: Exchange,
        observer: ResponseObserver,
        attribution: ResponseAttribution,
    ) -> None:
        """Read from `stream`; `attribution` has to have begun with the exchange."""
        self.context, self.stream, self.exchange, self.observer = context, stream, exchange, observer
        self.attribution = attribution
        self.head: h11.Response | None = None
        self.headers: dict[bytes, bytes] = {}
        self.length: int | None = None
        self.outcome = AttemptOutcome.ERROR  # by the head
        # What has come of the body and is not in `relay`; while it may be that of a copy, nothing is.
        self.body = BufferedBody(context.buffer_pool)
        self.relay: BodyStream | None = None  # set once the response is passed on while it arrives
        self.is_complete = False
        self.is_result_known = False  # whether the result has been reported
        self.has_read_before_commit = False  # whether it looked for input once the commitment was due

    def read(self) -> Coroutine[h11.Response]:
        """Read the response and return its head; the body is then in `body` or has been relayed.

        Raises `ConnectionLostError`.
        """
        head: h11.Response  # h11 produces no other event before it
        try:
            while True:
                if self.stream.is_turn_over():
                    yield from self._end_turn()
                event = self.stream.next_event()
                if isinstance(event, h11.Response):
                    head = event
                    self._note_head(head)
                elif isinstance(event, h11.Data):
                    self._add(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._complete(head)
                    return head
                elif isinstance(event, h11.ConnectionClosed):
                    raise ConnectionLostError(CloseReason.UPSTREAM_CLOSED)
                elif event is h11.NEED_DATA:
                    yield from self._receive()
        finally:
            self.context.held_responses.remove(self.exchange)
            if self.relay is not None:
                self.relay.abort()
                self.context.connections.note_response_progress(self.exchange)

    def progress(self) -> dict[str, object]:
        """Return the fields that tell, in the log, how far a response has come that is not complete."""
        pending = self.exchange.pending
        if self.is_complete or pending is None:
            return {}
        status = 0 if self.head is None else self.head.status_code
        trace = pending.trace_id.decode("latin-1")
        return {"trace": trace, "status": status, "body_bytes": self.attribution.length}

    def take_body(self) -> UpstreamResponse:
        """Return the buffered body as the response of the exchange, which then owns it."""
        body, self.body = self.body, BufferedBody(self.context.buffer_pool)
        return UpstreamResponse(body, self._content_type)

    @property
    def _content_type(self) -> bytes:
        return self.headers.get(b"content-type", b"")

    # What has been read.

    def _note_head(self, head: h11.Response) -> None:
        self.head, self.headers = head, dict(head.headers)
        self.length = response_length(head)
        self.outcome = response_outcome(head.status_code, self.headers)

    def _add(self, data: bytes | bytearray) -> None:
        self.attribution.add_body(data)
        if self.exchange.body_began_at is None:
            self.exchange.body_began_at = self.context.loop.now()
        expected = max(self.length or 0, self.attribution.length)
        if self.relay is None and expected > MAX_BUFFERED_BODY:
            self._check_long_body()
        if self.attribution.length > MAX_STREAMED_BODY:
            raise ConnectionLostError(CloseReason.RESPONSE_TOO_LONG)
        try:
            self._store(data)
        except BuffersExhaustedError:
            raise ConnectionLostError(CloseReason.NO_BUFFERS) from None

    def _check_long_body(self) -> None:
        """Begin to relay a body once too much of it has come, unless it may be that of a copy.

        Raises `ConnectionLostError` for one that is not passed on.
        """
        if not self._may_pass_on():
            raise ConnectionLostError(CloseReason.RESPONSE_TOO_LONG)
        if self.attribution.length > MAX_BUFFERED_BODY and self._is_attributed():
            self._begin_relay(CommitReason.LONG)

    def _store(self, data: bytes | bytearray) -> None:
        """Add data to the relay once it is certain that it belongs to this request."""
        if self.relay is not None and self._is_attributed():
            self._pass_on_body(self.relay)
            self.relay.add(data)
            self._report_result()
        elif self.relay is not None:
            self.body.add(data, beyond_limit=True)
        elif not self.is_result_known:
            self.body.add(data)
            if self._may_pass_on() and self._is_no_copy():
                self.context.held_responses.note(self.exchange)

    def _pass_on_body(self, relay: BodyStream) -> None:
        """Move to the relay what was kept back of the body."""
        if self.body.length:
            received, self.body = self.body, BufferedBody(self.context.buffer_pool)
            relay.adopt(received)

    def _is_attributed(self) -> bool:
        """Return whether the response belongs to the request for certain.

        False if that is not known yet; raises `ConnectionLostError` if nothing will tell it from a copy.
        """
        return self.head is not None and self.attribution.is_certain(self.head.status_code, self.length)

    def _is_no_copy(self) -> bool:
        return self.head is not None and self.attribution.is_no_copy(self.head.status_code, self.length)

    def _complete(self, head: h11.Response) -> None:
        """Handle the end of the response. Raises `ConnectionLostError` if it may be a copy."""
        self.attribution.check(head.status_code, self.attribution.length)
        if self.relay is not None:
            self._pass_on_body(self.relay)
            self.relay.end()
        self.attribution.accept(head.status_code)
        self.is_complete = True

    # Passing the response on, or its result.

    def _may_pass_on(self) -> bool:
        """Return whether the response may be passed on while it arrives."""
        return self.head is not None and may_pass_on(self.exchange, self.head.status_code, self.length)

    def _begin_relay(self, reason: CommitReason) -> None:
        """Pass the response to the client while it arrives.

        It is the final one, which from now on only the endpoint or the client can end. The head tells nothing
        that belongs to another client; the body is passed on once it is certain whose it is.
        """
        self.context.held_responses.remove(self.exchange)
        received = BufferedBody(self.context.buffer_pool)
        if self._is_attributed():
            received, self.body = self.body, received
        self.relay = BodyStream(self.context.buffer_pool, self.stream.actor, self.length, received)
        self.context.note_commitment(self.exchange, reason, self.attribution.length)
        self.observer.relay_started(UpstreamResponse(self.relay, self._content_type))
        if received.length:
            self._report_result()

    def _report_result(self) -> None:
        """Report the result, unless that has been done."""
        if not self.is_result_known and self.head is not None:
            self.is_result_known = True
            report = extract_load_report(self.head.headers, self.exchange, self.body)
            self.observer.result_known(ExchangeResult(self.outcome, report))

    def _act_on_head(self) -> None:
        """Report what the head tells, as the rest of the response is still to come."""
        if self.exchange.pending is None:
            return
        if self.outcome is not AttemptOutcome.SUCCESS:
            # The client gets nothing of this response, so the next step need not wait for its end.
            if self._is_attributed():
                self._report_result()
        elif not self.exchange.head_received:
            self.exchange.head_received = True
            self.observer.head_received(self._may_pass_on())

    # Waiting for more.

    def _end_turn(self) -> Coroutine[None]:
        """Let other actors run before the rest of the input is handled."""
        message = yield self.stream.loop.now()
        is_cancelled = isinstance(message, CancelExchange) and message.exchange is self.exchange
        if is_cancelled and self.relay is None:
            raise ConnectionLostError(CloseReason.CANCELLED)

    def _receive(self) -> Coroutine[None]:
        """Wait for more of the response and read it; begin to relay a response that has to be passed on."""
        self._check_readable()
        if self.head is not None:
            self._act_on_head()
        if self.relay is not None:
            yield from self._receive_for_relay(self.relay)
            return
        commit_at = self.exchange.commit_at if self._may_pass_on() else inf
        if commit_at < inf and not self.context.buffer_pool.has_room_for_read() and self._is_no_copy():
            self._begin_relay(CommitReason.NO_BUFFERS)
            return
        if self.context.loop.now() >= commit_at:
            self._read_or_commit()
            return
        deadline = self.exchange.deadline
        if (yield from next_socket_event(self.exchange, deadline, CloseReason.OVERDUE, commit_at)):
            self.stream.read()

    def _read_or_commit(self) -> None:
        """Read what has come meanwhile, which may be the end of the response; begin to relay it then."""
        if not self.has_read_before_commit:
            self.has_read_before_commit = True
            if self.stream.read() is not None:
                return
        self._begin_relay(self.exchange.commit_reason(self.context.loop.now()))

    def _check_readable(self) -> None:
        """Raise `ConnectionLostError` for input that is not HTTP, or no chunk of the body.

        h11 would wait indefinitely for the end of the line.
        """
        if self.head is None:
            received = self.stream.http.trailing_data[0]
            is_readable = received.startswith(VERSION_PREFIX[: len(received)])
        else:
            is_readable = is_readable_so_far(self.stream.http)
        if not is_readable:
            raise ConnectionLostError(CloseReason.MALFORMED)

    def _receive_for_relay(self, relay: BodyStream) -> Coroutine[None]:
        while not relay.has_room() and not relay.cancelled:
            # The client is slow or buffers are short, so further input stays in the kernel.
            self.stream.pause()
            yield inf if relay.is_full else self.stream.loop.now() + self.context.shortest_objective / 64
        if relay.cancelled:
            raise ConnectionLostError(CloseReason.CANCELLED)
        self.stream.wait_for(READ)
        deadline = self.stream.loop.now() + RELAY_STALL_TIMEOUT
        self.context.connections.note_waiting_response(self.exchange, self.stream.loop.now())
        message = yield deadline
        self.context.connections.note_response_progress(self.exchange)
        if isinstance(message, EndStalledResponse) and message.exchange is self.exchange:
            raise ConnectionLostError(CloseReason.RELAY_STALLED)
        if message is None and self.stream.loop.now() >= deadline:
            raise ConnectionLostError(CloseReason.RELAY_STALLED)
        if isinstance(message, SocketReady) and relay.has_room():
            self.stream.read()
