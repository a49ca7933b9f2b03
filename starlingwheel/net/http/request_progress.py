"""How far a client has come with its current request, and by when that has to be complete.

Times are seconds on the loop's clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..state.body_stream import MAX_STREAMED_BODY
from ..state.buffers import MAX_REQUEST_BODY
from .errors import InvalidRequestError, InvalidRequestReason

if TYPE_CHECKING:
    from ..context import SidecarContext

IDLE_TIMEOUT = 2.0  # seconds between requests after which the protocol allows the sidecar to close
IDLE_CLOSE_FACTOR = 1.1  # multiple of the idle timeout after which an idle connection is closed
# Multiple of the idle timeout within which a request without a body has to be complete. The time counts from
# the connect for the first request on a connection, and from the first byte for each later one.
REQUEST_TIMEOUT_FACTOR = 1.35
# Multiple of the idle timeout for which a body may stop: its client is owed an error or a close within 3 s.
BODY_STALL_FACTOR = 1.2
MIN_UPLOAD_RATE = 48_000  # bytes per second: body bytes received extend the time for the request at this rate


class RequestProgress:
    """The progress of one client with one request after another."""

    __slots__ = (
        "context",
        "opened_at",
        "idle_since",
        "started_at",
        "last_read_at",
        "awaited_since",
        "incomplete_at",
        "body_received",
        "paused_time",
        "is_first",
    )

    def __init__(self, context: SidecarContext) -> None:
        """Begin with a connection that has just been accepted."""
        self.context = context
        self.opened_at = self.idle_since = context.loop.now()
        self.started_at: float | None = None  # when the first byte of the current request was read
        self.last_read_at = self.opened_at
        self.awaited_since = self.opened_at  # when input last came, or began to be awaited again
        self.incomplete_at = self.opened_at  # when the latest input arrived; the request was incomplete then
        self.body_received = 0  # bytes of the current request's body
        self.paused_time = 0.0  # seconds for which that body was not read because buffers were short
        self.is_first = True  # whether no request on the connection has been answered

    def expect_request(self, pipelined: bool) -> None:
        """Begin with another request; `pipelined`: its first byte has been read already."""
        self.body_received, self.paused_time = 0, 0.0
        self.started_at = self.context.loop.now() if pipelined else None

    def note_answered(self) -> None:
        """Record that the client has got the response to its request."""
        self.is_first, self.idle_since = False, self.context.loop.now()

    def note_read(self, arrived_at: float | None) -> None:
        """Record that bytes were read that had arrived at that time; None: it is not known."""
        self.last_read_at = self.awaited_since = self.context.loop.now()
        self.incomplete_at = arrived_at or self.incomplete_at
        if self.started_at is None:
            self.started_at = self.last_read_at

    def count_body(self, data: bytes | bytearray) -> None:
        """Count a part of the body. Raises `InvalidRequestError` if the body is too long."""
        self.body_received += len(data)
        if self.body_received > self.max_body():
            raise InvalidRequestError(413, InvalidRequestReason.BODY_TOO_LONG)

    def max_body(self) -> int:
        """Return the maximum size of a request body; a body that is sent over HTTP/2 is always buffered."""
        multiplexed = self.context.balancer_config.streams_per_connection != 1
        return MAX_REQUEST_BODY if multiplexed else MAX_STREAMED_BODY

    def deadline(self) -> float:
        """Return the time by which the next request has to have begun, or the current one to be complete."""
        if self.started_at is None:
            return self.idle_since + IDLE_CLOSE_FACTOR * IDLE_TIMEOUT
        since = self.opened_at if self.is_first else self.started_at
        deadline = since + REQUEST_TIMEOUT_FACTOR * IDLE_TIMEOUT
        deadline += self.paused_time + self.body_received / MIN_UPLOAD_RATE
        if self.body_received:
            deadline = min(deadline, self.awaited_since + BODY_STALL_FACTOR * IDLE_TIMEOUT)
        return deadline
