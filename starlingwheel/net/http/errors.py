"""Why connections end, and the errors of the HTTP modules."""

from __future__ import annotations

import enum


class CloseReason(enum.StrEnum):
    """Why a connection ended; the value is the `reason` of its log line."""

    # Of any connection.
    DEFECT = "defect"  # an error in the code
    STOPPED = "stopped"  # the process ends
    IDLE = "idle"  # no request came for the idle time
    NOT_NEEDED = "not-needed"  # its descriptor is needed, or its endpoint has moved
    CONNECT_REFUSED = "refused"
    RESET = "reset"
    MALFORMED = "malformed"  # what was received is not HTTP
    TRUNCATED = "cut-short"  # closed in the middle of a message
    CLIENT_LEFT = "client-left"  # also a refusal of the gate

    # Of a client's connection.
    CLIENT_CLOSED = "client-closed"  # between requests
    STOPPING = "stopping"  # idle while the process stops
    ADMIN_CLIENT_LEFT = "caller-left"  # before its admin call was complete
    SLOW_READER = "slow-reader"  # the client does not read its response
    UPSTREAM_BROKE = "upstream-broke"  # in the middle of a response that was being forwarded
    CLOSE_ANNOUNCED = "told-to-close"  # the response said `Connection: close`
    ANSWERED_400 = "answered-400"
    ANSWERED_404 = "answered-404"
    ANSWERED_405 = "answered-405"
    ANSWERED_408 = "answered-408"
    ANSWERED_409 = "answered-409"
    ANSWERED_413 = "answered-413"
    ANSWERED_503 = "answered-503"

    # Of a connection to an endpoint.
    CONNECT_TIMED_OUT = "never-came-up"
    CANCELLED = "dropped"
    OVERDUE = "overdue"  # the deadline of the exchange has passed
    RELAY_STALLED = "silent"  # nothing more came of a response that was being forwarded
    UPSTREAM_CLOSED = "upstream-closed"  # without notice
    UPSTREAM_CLOSES = "upstream-closes"  # by `Connection: close`, the protocol version or GOAWAY
    UNSOLICITED_BYTES = "unasked-bytes"
    RESPONSE_BEFORE_REQUEST = "early-answer"
    REJECTED_EARLY = "answered-early"  # a response came before the end of a long request
    RESPONSE_LENGTH_UNKNOWN = "unframed"
    RESPONSE_TOO_LONG = "answer-too-long"
    NO_BUFFERS = "no-buffers"
    NOT_RELEASED = "withheld"  # the last byte of a replicated request was not released

    # Of a connection to an endpoint, with the value of the gate's refusal.
    ENDPOINT_MOVED = "moved"
    LEASE_EXPIRED = "lease-expired"
    REQUEST_ANSWERED = "answered"
    TOO_LATE = "too-late"
    DEDUPLICATION_WINDOW_OVER = "window-over"

    @classmethod
    def answered(cls, status: int) -> CloseReason:
        """Return the reason of a client's connection that an error response with this status ends."""
        return cls(f"answered-{status}")


class InvalidRequestReason(enum.StrEnum):
    """Why a request is answered with an error and not forwarded; the values are logged."""

    MALFORMED = "malformed"
    TRUNCATED = "cut-short"
    TWO_LENGTHS = "two lengths"
    INCOMPLETE = "half a request"
    BODY_TOO_LONG = "body too long"
    STREAMED_BODY_TOO_LONG = "(413, 'body too long')"  # found while it was being forwarded; answered with 400
    NO_BUFFERS = "no-buffers"
    NO_BUFFERS_FOR_STREAM = ""  # likewise
    TOO_MANY_REQUESTS = "too many connections"
    REPEATED_HEADER = "is doubled"  # the log puts the header's name before it
    NO_TRACE_ID = "x-trace-id is missing"
    TRACE_ID_IN_USE = "x-trace-id is in hand"
    NO_TIMEOUT = "x-expires-in-ms is missing or unreadable"
    EXPIRED = "expired when it came"
    UNKNOWN_CLASS = "unknown category"
    PATH_DIFFERS = "path and x-qos differ"
    WRONG_METHOD = "the method does not fit the category"
    NO_IDEMPOTENCY_KEY = "idempotency-key is missing"


class HttpError(Exception):
    """Base class of the errors that the HTTP modules raise."""


class ConnectionLostError(HttpError):
    """The connection can't be used any more."""

    def __init__(self, reason: CloseReason) -> None:
        """`reason`: for the log, and for those who act on it."""
        super().__init__(reason)
        self.reason = reason


class InvalidRequestError(HttpError):
    """A request that is answered with an error and not forwarded."""

    def __init__(self, status: int, reason: InvalidRequestReason, header: str = "") -> None:
        """`status`: of the response; `header`: the name of the header at fault, for the log."""
        super().__init__(status, reason, header)
        self.status, self.reason, self.header = status, reason, header

    @property
    def log_text(self) -> str:
        """What is wrong with the request, for the log."""
        return f"{self.header} {self.reason}" if self.header else self.reason
