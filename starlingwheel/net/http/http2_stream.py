"""One exchange on an HTTP/2 connection: the state of its stream, and its response."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from h2.connection import H2Connection

from ...decisions.model import AttemptOutcome
from ..state.body_stream import MAX_STREAMED_BODY, BodyStream, StreamEnd
from ..state.buffers import MAX_BUFFERED_BODY, BufferedBody, BuffersExhaustedError
from ..state.requests import Exchange, UpstreamResponse
from .response_head import may_pass_on, response_outcome
from .upstream_response import RELAY_STALL_TIMEOUT

INVALID_STATUS = 1  # stands for a status that is not a number: an error, and the request may have run


@dataclass(slots=True, eq=False)
class StreamExchange:
    """One exchange and the state of its stream. Times are in seconds on the loop's clock."""

    exchange: Exchange
    stream_id: int
    body: BufferedBody  # of the response, until it is relayed
    unsent: list[bytes] = field(default_factory=list)  # parts of the request's body
    status: int = 0  # of the response; 0: the response has not begun
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    relay: BodyStream | None = None  # set once the response is passed on while it arrives
    last_data_at: float = inf  # when the relay began, or the last data of it came
    unacknowledged: int = 0  # bytes of relayed data that the endpoint's window has not got back
    is_reported: bool = False  # whether the result has been reported

    def set_head(self, headers: list[tuple[bytes, bytes]]) -> None:
        """Take the head of the response."""
        status = dict(headers)[b":status"]
        self.status = int(status) if status.isdigit() else INVALID_STATUS
        self.headers = [(name, value) for name, value in headers if not name.startswith(b":")]

    @property
    def outcome(self) -> AttemptOutcome:
        """The outcome by the head of the response."""
        return response_outcome(self.status, dict(self.headers))

    @property
    def awaits_rest(self) -> bool:
        """Whether the head of a response to a request has come that is not relayed yet."""
        return bool(self.status) and self.exchange.pending is not None and self.relay is None

    @property
    def content_type(self) -> bytes:
        """The content type of the response."""
        return dict(self.headers).get(b"content-type", b"")

    @property
    def length(self) -> int | None:
        """The length of the body that the response declares, or None."""
        value = dict(self.headers).get(b"content-length", b"")
        return int(value) if value.isdigit() else None

    @property
    def may_pass_on(self) -> bool:
        """Whether the response may be passed on while it arrives."""
        return bool(self.status) and may_pass_on(self.exchange, self.status, self.length)

    @property
    def is_held(self) -> bool:
        """Whether the status of the response is held back, though it may be passed on."""
        return self.awaits_rest and self.may_pass_on

    @property
    def commit_at(self) -> float:
        """The time at which the response is passed on though it is not complete."""
        return self.exchange.commit_at if self.is_held else inf

    @property
    def next_deadline(self) -> float:
        """The time at which something is due if no data comes: the relay, or the end of the exchange."""
        if self.relay is None:
            return min(self.exchange.deadline, self.commit_at)
        return inf if self.relay.is_full else self.last_data_at + RELAY_STALL_TIMEOUT

    def begin_relay(self, source: StreamEnd, now: float) -> UpstreamResponse:
        """Return the response, whose body is passed on from now on while it arrives."""
        received, self.body = self.body, BufferedBody(self.body.pool)
        self.relay = BodyStream(received.pool, source, self.length, received)
        self.last_data_at = now
        return UpstreamResponse(self.relay, self.content_type)

    def take_window(self, now: float) -> int:
        """Return the bytes by which the endpoint's window is to be opened, once the relay has room."""
        if self.relay is None or self.relay.is_full or not self.unacknowledged:
            return 0
        window, self.unacknowledged = self.unacknowledged, 0
        self.last_data_at = now
        return window

    @property
    def is_unwanted(self) -> bool:
        """Whether the response is relayed and its client has left."""
        return self.relay is not None and self.relay.cancelled

    def send_body(self, http: H2Connection) -> None:
        """Send as much of the request's body as the flow-control window allows."""
        while self.unsent:
            limit = min(http.local_flow_control_window(self.stream_id), http.max_outbound_frame_size)
            if limit <= 0:
                return
            piece, rest = self.unsent[0][:limit], self.unsent[0][limit:]
            self.unsent[:1] = [rest] if rest else []
            http.send_data(self.stream_id, piece, end_stream=not self.unsent)

    def needs_relay(self, data: bytes) -> bool:
        """Return whether the body is too long to be buffered, now that `data` has come."""
        is_long = self.body.length + len(data) > MAX_BUFFERED_BODY
        return self.is_held and is_long

    def add(self, data: bytes, now: float, max_body_size: int) -> None:
        """Add data of the body. Raises `BuffersExhaustedError`, also for a body that is too long."""
        if self.exchange.body_began_at is None and data:
            self.exchange.body_began_at = now
        if self.relay is None:
            if self.body.length + len(data) > max_body_size:
                raise BuffersExhaustedError
            self.body.add(data)
            return
        if self.relay.total + len(data) > MAX_STREAMED_BODY:
            raise BuffersExhaustedError
        self.relay.add(data)
        self.last_data_at = now

    def end_relay(self, is_complete: bool) -> None:
        """End the body of a relayed response, or break it off."""
        if self.relay is not None and is_complete:
            self.relay.end()
        elif self.relay is not None:
            self.relay.abort()
