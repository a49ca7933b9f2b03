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
    CUT_SHORT = "cut-short"  # closed in the middle of a message
    CLIENT_LEFT = "client-left"  # also a refusal of the gate

    # Of a client's connection.
    CLIENT_CLOSED = "client-closed"  # between requests
    STOPPING = "stopping"  # idle while the process stops
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
    SILENT = "silent"  # nothing more came of a response that was being forwarded
    UPSTREAM_CLOSED = "upstream-closed"  # without notice
    UPSTREAM_CLOSES = "upstream-closes"  # by `Connection: close`, the protocol version or GOAWAY
    UNSOLICITED_BYTES = "unasked-bytes"
    RESPONSE_BEFORE_REQUEST = "early-answer"
    REJECTED_EARLY = "answered-early"  # a response came before the end of a long request
    RESPONSE_LENGTH_UNKNOWN = "unframed"
    RESPONSE_TOO_LONG = "answer-too-long"
    NO_BUFFERS = "no-buffers"
    WITHHELD = "withheld"  # the last byte of a replicated request was not released

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


class HttpError(Exception):
    """Base class of the errors that the HTTP modules raise."""


class ConnectionLostError(HttpError):
    """The connection can't be used any more."""

    def __init__(self, reason: CloseReason | str) -> None:
        """`reason`: a `str` for a reason that only a protocol above HTTP has."""
        super().__init__(reason)
        self.reason = reason


class InvalidRequestError(HttpError):
    """A request that is answered with an error and not forwarded."""

    def __init__(self, status: int, reason: str) -> None:
        """`status`: of the response; `reason`: for the log."""
        super().__init__(status, reason)
        self.status, self.reason = status, reason
