"""Reads the response of one HTTP/1.1 exchange: a short body is buffered, a long one is relayed."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING, overload

import h11

from ...decisions.model import AttemptOutcome
from ..loop import READ, SocketReady
from ..messages import CancelExchange
from ..state.body_stream import MAX_STREAMED_BODY, BodyStream
from ..state.buffers import MAX_BUFFERED_BODY, BufferedBody, BuffersExhaustedError
from ..state.requests import Exchange, UpstreamResponse
from .errors import CloseReason, ConnectionLostError
from .load_report import extract_load_report

if TYPE_CHECKING:
    from ..actor import Coroutine
    from ..context import SidecarContext
    from .response_attribution import ResponseAttribution
    from .stream import Stream

RELAY_DELAY_FRACTION = 1 / 2  # of the latency objective, after which a response of unknown length is relayed
RELAY_STALL_TIMEOUT = 5.0  # seconds without a byte after which a relayed response counts as lost
VERSION_PREFIX = b"HTTP/1."


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The result of an exchange."""

    outcome: AttemptOutcome
    load_report: dict[str, float] = field(default_factory=dict)
    response: UpstreamResponse | None = None


def response_length(response: h11.Response) -> int | None:
    """Return the length of the body that a response declares, or None if it declares none.

    Raises `ConnectionLostError` for a body whose end can't be determined, or that is too long to be
    forwarded. A response whose body ends with the connection has to announce the end of the connection:
    otherwise its head may have been corrupted.
    """
    lengths = [value for name, value in response.headers if name == b"content-length"]
    chunked = any(name == b"transfer-encoding" for name, _ in response.headers)
    options = [value.lower() for name, value in response.headers if name == b"connection"]
    closes = b"close" in options or response.http_version == b"1.0"
    if len(lengths) + chunked != 1 and not (closes and not lengths and not chunked):
        raise ConnectionLostError(CloseReason.RESPONSE_LENGTH_UNKNOWN)
    if lengths and int(lengths[0]) > MAX_STREAMED_BODY:
        raise ConnectionLostError(CloseReason.RESPONSE_TOO_LONG)
    return int(lengths[0]) if lengths else None


def response_outcome(status: int, headers: Mapping[bytes, bytes]) -> AttemptOutcome:
    """Return the outcome of the attempt that got this response."""
    if status == 200:
        return AttemptOutcome.SUCCESS
    if status in (503, 504) and headers.get(b"x-never-ran") == b"1":
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR


@overload
def next_socket_event(
    exchange: Exchange | None, deadline: float, on_timeout: CloseReason
) -> Coroutine[SocketReady]: ...


@overload
def next_socket_event(
    exchange: Exchange | None, deadline: float, on_timeout: CloseReason, pause_at: float
) -> Coroutine[SocketReady | None]: ...


def next_socket_event(
    exchange: Exchange | None, deadline: float, on_timeout: CloseReason, pause_at: float = inf
) -> Coroutine[SocketReady | None]:
    """Return the next event of the socket, or None at `pause_at`.

    Raises `ConnectionLostError` when the exchange is cancelled, and with the reason `on_timeout` at the
    deadline.
    """
    while True:
        message = yield min(deadline, pause_at)
        if message is None and pause_at < deadline:
            return None
        if message is None:
            raise ConnectionLostError(on_timeout)
        if isinstance(message, SocketReady):
            return message
        if isinstance(message, CancelExchange) and message.exchange is exchange:
            raise ConnectionLostError(CloseReason.CANCELLED)


def next_exchange_event(exchange: Exchange) -> Coroutine[SocketReady]:
    """Return the next event of the socket before the exchange's deadline, which may move meanwhile.

    Raises `ConnectionLostError` as `next_socket_event` does.
    """
    while True:
        deadline = exchange.deadline
        try:
            return (yield from next_socket_event(exchange, deadline, CloseReason.OVERDUE))
        except ConnectionLostError as error:
            if error.reason is not CloseReason.OVERDUE or exchange.deadline <= deadline:
                raise


class ResponseReader:
    """Reads one response; owns the body until it is passed to the client."""

    __slots__ = (
        "context",
        "stream",
        "exchange",
        "on_relay",
        "attribution",
        "head",
        "headers",
        "length",
        "body",
        "relay",
        "is_complete",
    )

    def __init__(
        self,
        context: SidecarContext,
        stream: Stream,
        exchange: Exchange,
        on_relay: Callable[[ExchangeResult], None],
        attribution: ResponseAttribution,
    ) -> None:
        """Read from `stream`; `on_relay` is called with the final result when relaying the body begins.

        `attribution` has to have begun with the exchange.
        """
        self.context, self.stream, self.exchange, self.on_relay = context, stream, exchange, on_relay
        self.attribution = attribution
        self.head: h11.Response | None = None
        self.headers: dict[bytes, bytes] = {}
        self.length: int | None = None
        self.body = BufferedBody(context.buffer_pool)
        self.is_complete = False
        self.relay: BodyStream | None = None  # replaces `body` once the body is passed on while it arrives

    def read(self) -> Coroutine[h11.Response]:
        """Read the response and return its head; the body is then in `body` or has been relayed.

        Raises `ConnectionLostError`.
        """
        head: h11.Response  # h11 produces no other event before it
        try:
            while True:
                event = self.stream.next_event()
                if isinstance(event, h11.Response):
                    head = self.head = event
                    self.headers = dict(event.headers)
                    self.length = response_length(event)
                elif isinstance(event, h11.Data):
                    self._add(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._check_complete(head)
                    if self.relay is not None:
                        self.relay.end()
                    self.is_complete = True
                    return head
                elif isinstance(event, h11.ConnectionClosed):
                    raise ConnectionLostError(CloseReason.UPSTREAM_CLOSED)
                elif event is h11.NEED_DATA:
                    yield from self._receive()
        finally:
            if self.relay is not None:
                self.relay.abort()

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
        return UpstreamResponse(body, self.headers.get(b"content-type", b""))

    def _check_complete(self, head: h11.Response) -> None:
        """Raise `ConnectionLostError` for a response that may be a copy of the one before.

        A relayed response was checked before its relay began.
        """
        if self.relay is None:
            self.attribution.check(head.status_code, self.attribution.length)
        self.attribution.accept(head.status_code)

    def _add(self, data: bytes | bytearray) -> None:
        self.attribution.add_body(data)
        expected = max(self.length or 0, self.body.length + len(data))
        if self.relay is None and expected > MAX_BUFFERED_BODY:
            self._begin_relay()
        if self.relay is not None and self.relay.total + len(data) > MAX_STREAMED_BODY:
            raise ConnectionLostError(CloseReason.RESPONSE_TOO_LONG)
        try:
            (self.body if self.relay is None else self.relay).add(data)
        except BuffersExhaustedError:
            raise ConnectionLostError(CloseReason.NO_BUFFERS) from None

    def _begin_relay(self) -> None:
        """Pass the body to the client while it arrives.

        With its first bytes this is the final response, which from now on only the endpoint or the client can
        end.
        """
        exchange, head = self.exchange, self.head
        if head is None or exchange.pending is None:
            raise ConnectionLostError(CloseReason.RESPONSE_TOO_LONG)
        outcome = response_outcome(head.status_code, self.headers)
        if outcome is not AttemptOutcome.SUCCESS:
            raise ConnectionLostError(CloseReason.RESPONSE_TOO_LONG)
        self.attribution.check(head.status_code, self.length)
        report = extract_load_report(head.headers, exchange, self.body)
        received, self.body = self.body, BufferedBody(self.context.buffer_pool)
        self.relay = BodyStream(self.context.buffer_pool, self.stream.actor, self.length, received)
        response = UpstreamResponse(self.relay, self.headers.get(b"content-type", b""))
        self.on_relay(ExchangeResult(outcome, report, response))

    def _receive(self) -> Coroutine[None]:
        """Wait for more of the response and read it; begin to relay a response that takes long."""
        if self.head is None:
            self._check_prefix()
        if self.relay is not None:
            yield from self._receive_for_relay(self.relay)
            return
        relay_at = self._relay_deadline() if self.length is None else inf
        deadline = self.exchange.deadline
        ready = yield from next_socket_event(self.exchange, deadline, CloseReason.OVERDUE, relay_at)
        if ready is None:
            self._begin_relay()
        else:
            self.stream.read()

    def _check_prefix(self) -> None:
        """Raise `ConnectionLostError` for input that is not HTTP.

        h11 would wait indefinitely for the end of the line.
        """
        received = self.stream.http.trailing_data[0]
        if not received.startswith(VERSION_PREFIX[: len(received)]):
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
        message = yield deadline
        if message is None and self.stream.loop.now() >= deadline:
            raise ConnectionLostError(CloseReason.RELAY_STALLED)
        if isinstance(message, SocketReady):
            self.stream.read()

    def _relay_deadline(self) -> float:
        """Return the time at which relaying a response of unknown length begins, as the response may be long.

        A response whose first bytes arrive in time is then not given up as late.
        """
        pending, head = self.exchange.pending, self.head
        if head is None or pending is None or head.status_code != 200 or not self.body.length:
            return inf
        request = pending.request
        return request.arrived_at + RELAY_DELAY_FRACTION * request.request_class.latency_objective
