"""The reasons for which connections end, and the exceptions of the HTTP modules."""

from __future__ import annotations

import enum


class CloseReason(enum.StrEnum):
    """Why a connection ended; the value is the `reason` in its log line."""

    # Any connection.
    DEFECT = "defect"  # an unexpected exception in the code
    STOPPED = "stopped"  # the process is ending
    IDLE = "idle"  # no request came within the idle timeout
    NOT_NEEDED = "not-needed"  # its descriptor is needed elsewhere, or its endpoint has moved
    CONNECT_REFUSED = "refused"
    RESET = "reset"
    MALFORMED = "malformed"  # what was received is not HTTP
    TRUNCATED = "cut-short"  # the peer closed in the middle of a message
    CLIENT_LEFT = "client-left"  # the client disconnected; also a refusal of the gate

    # Connections of clients.
    CLIENT_CLOSED = "client-closed"  # the client closed between requests
    STOPPING = "stopping"  # the connection was idle when the process began to stop
    ADMIN_CLIENT_LEFT = "caller-left"  # the client of an admin call disconnected before the call was complete
    SLOW_READER = "slow-reader"  # the client does not read its response
    UPSTREAM_BROKE = "upstream-broke"  # the endpoint broke off a response that was being forwarded
    CLOSE_ANNOUNCED = "told-to-close"  # the last response had `Connection: close`
    ANSWERED_400 = "answered-400"
    ANSWERED_404 = "answered-404"
    ANSWERED_405 = "answered-405"
    ANSWERED_408 = "answered-408"
    ANSWERED_409 = "answered-409"
    ANSWERED_413 = "answered-413"
    ANSWERED_503 = "answered-503"

    # Connections to endpoints.
    CONNECT_TIMED_OUT = "never-came-up"
    CANCELLED = "dropped"
    OVERDUE = "overdue"  # the deadline of the exchange has passed
    RELAY_STALLED = "silent"  # a response that was being forwarded made no progress
    UPSTREAM_CLOSED = "upstream-closed"  # the endpoint closed without notice
    UPSTREAM_CLOSES = "upstream-closes"  # announced by `Connection: close`, the protocol version or GOAWAY
    UNSOLICITED_BYTES = "unasked-bytes"
    RESPONSE_NOT_ATTRIBUTED = "repeated-answer"  # it may be a copy of the response to an earlier request
    RESPONSE_BEFORE_REQUEST = "early-answer"
    REJECTED_EARLY = "answered-early"  # a response came before the end of a long request
    RESPONSE_LENGTH_UNKNOWN = "unframed"
    RESPONSE_TOO_LONG = "answer-too-long"
    NO_BUFFERS = "no-buffers"
    NOT_RELEASED = "withheld"  # the last byte of a replicated request was not released

    # Connections to endpoints, ended by a refusal of the gate; the values are those of the refusals.
    ENDPOINT_MOVED = "moved"
    LEASE_EXPIRED = "lease-expired"
    REQUEST_ANSWERED = "answered"
    TOO_LATE = "too-late"
    DEDUPLICATION_WINDOW_OVER = "window-over"
    BODY_TAKEN = "body-taken"

    @classmethod
    def answered(cls, status: int) -> CloseReason:
        """Return the reason for a client's connection that ends with an error response of this status."""
        return cls(f"answered-{status}")


class InvalidRequestReason(enum.StrEnum):
    """Why a request is answered with an error and not forwarded; the values are logged."""

    MALFORMED = "malformed"
    TRUNCATED = "cut-short"
    TWO_LENGTHS = "two lengths"
    INCOMPLETE = "half a request"
    BODY_TOO_LONG = "body too long"
    # Found while the body was being forwarded; answered with 400.
    STREAMED_BODY_TOO_LONG = "(413, 'body too long')"
    NO_BUFFERS = "no-buffers"
    TOO_MANY_REQUESTS = "too many connections"
    REPEATED_HEADER = "is doubled"  # the header's name precedes it in the log
    NO_TRACE_ID = "x-trace-id is missing"
    TRACE_ID_IN_USE = "x-trace-id is in hand"
    NO_TIMEOUT = "x-expires-in-ms is missing or unreadable"
    EXPIRED = "expired when it came"
    UNKNOWN_CLASS = "unknown category"
    PATH_DIFFERS = "path and x-qos differ"
    WRONG_METHOD = "the method does not fit the category"
    NO_IDEMPOTENCY_KEY = "idempotency-key is missing"
    STOPPING = "stopping"  # it was incomplete when the process had to give its last responses


class HttpError(Exception):
    """Base class of the exceptions that the HTTP modules raise."""


class ConnectionLostError(HttpError):
    """The connection can no longer be used."""

    def __init__(self, reason: CloseReason) -> None:
        """Record the reason, which is logged and which callers act on."""
        super().__init__(reason)
        self.reason = reason


class InvalidRequestError(HttpError):
    """A request that is answered with an error and not forwarded."""

    def __init__(
        self, status: int, reason: InvalidRequestReason, header: str = "", retry_after: float = 0.0
    ) -> None:
        """Respond with `status`; `header` names the header at fault, for the log.

        `retry_after` is in seconds; 0 means no Retry-After header.
        """
        super().__init__(status, reason, header)
        self.status, self.reason, self.header, self.retry_after = status, reason, header, retry_after

    @property
    def log_text(self) -> str:
        """The description of the error in the log."""
        return f"{self.header} {self.reason}" if self.header else self.reason
