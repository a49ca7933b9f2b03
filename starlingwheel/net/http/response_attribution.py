"""Decides whether a response on a reused HTTP/1.1 connection belongs to the request that was just written.

HTTP/1.1 responses don't name their request. An endpoint that sends a response twice, the second time late,
can therefore have its second copy taken for the response to the next request, and every later response on
the connection for the response to the request after its own.

A response is accepted if

- it is the first one on its connection,
- or the connection had rested: no input had arrived for long enough after the response before it, so that no
  copy of an earlier one can still have been on its way when the request was written,
- or its status or body differs from those of each response since the connection has last rested.

While the head of a response, or the first bytes of its body, could be those of a copy, no byte of its body is
passed on.

Whether a connection has rested depends on one assumption: a copy is sent no later than `MAX_COPY_DELAY` after
the response, and takes at most `MAX_PASSAGE_VARIATION` longer on its way than the response did. A copy that
was seen to come later than that makes the rest of its endpoint's connections longer (`RequiredRest`).

Times are seconds on the loop's clock, which does not step.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from ..state.response_variety import ResponseContent
from .errors import CloseReason, ConnectionLostError

if TYPE_CHECKING:
    from ..context import SidecarContext
    from ..state.requests import Exchange

MAX_UNRESTED_RESPONSES = 8  # responses without a rest between them, after which a connection is to rest
HEALTH_CHECK = ""  # the class that health checks count as
COMPARED_PREFIX = 512  # bytes of a body that are compared with those of the response before
MAX_COPY_DELAY = 0.02  # seconds; second responses come "some milliseconds" late
# Seconds by which two passages from one endpoint differ at most; passages of 9 ms that vary by 60 in 100
# differ by 11 ms.
MAX_PASSAGE_VARIATION = 0.015
MIN_REST = MAX_COPY_DELAY + MAX_PASSAGE_VARIATION  # seconds
MAX_REST = 4 * MIN_REST  # seconds; what comes even later is noise that no rest keeps away
SEEN_DELAY_FACTOR = 2  # multiple of the longest delay of a copy that was seen, for those that come even later


class RequiredRest:
    """How long a connection to one endpoint has to rest before it may be reused without other proof."""

    __slots__ = ("longest_delay", "forget_at")

    def __init__(self) -> None:
        """Create the rest of an endpoint that has sent no copies."""
        self.longest_delay = 0.0  # of bytes that nobody had asked for, after the response before them
        self.forget_at = -inf

    def note_unsolicited(self, delay: float, now: float, forget_at: float) -> None:
        """Record bytes that came `delay` seconds after a response; they are remembered until `forget_at`."""
        longest = self.longest_delay if now < self.forget_at else 0.0
        self.longest_delay = max(longest, delay)
        self.forget_at = forget_at

    def copies_expected(self, now: float) -> bool:
        """Return whether the endpoint has lately sent bytes that nobody had asked for."""
        return now < self.forget_at

    def seconds(self, now: float) -> float:
        """Return the time that has to pass after a response."""
        if not self.copies_expected(now):
            return MIN_REST
        return min(MAX_REST, max(MIN_REST, SEEN_DELAY_FACTOR * self.longest_delay))


class ResponseAttribution:
    """The check of one connection, for one exchange after another."""

    __slots__ = (
        "context",
        "required_rest",
        "earlier",
        "earlier_classes",
        "last_accepted_at",
        "class_name",
        "rested",
        "prefix",
        "length",
    )

    def __init__(self, context: SidecarContext, required_rest: RequiredRest) -> None:
        """Create the check of a new connection; `required_rest` belongs to its endpoint."""
        self.context, self.required_rest = context, required_rest
        self.earlier: list[ResponseContent] = []  # the responses since the connection has last rested
        self.earlier_classes: set[str] = set()  # the classes of these responses
        self.last_accepted_at = -inf  # when the last response was accepted
        self.class_name = ""
        self.rested = True
        self.prefix, self.length = b"", 0

    def begin(self, exchange: Exchange, no_input_at: float) -> None:
        """Prepare for the response to a request whose first byte is about to be written.

        At the time `no_input_at` or later it was seen that no input had arrived since the response before.
        """
        self.class_name = class_name_of(exchange)
        self.rested = self.has_rested(no_input_at)
        if self.rested:
            self.earlier.clear()
            self.earlier_classes.clear()
        self.prefix, self.length = b"", 0

    def has_rested(self, now: float) -> bool:
        """Return whether no copy of a response on the connection can arrive any more."""
        return now >= self.last_accepted_at + self.required_rest.seconds(now)

    def is_provable_by_content(self, class_name: str) -> bool:
        """Return whether the next response is likely to differ from each one since the last rest."""
        if len(self.earlier) >= MAX_UNRESTED_RESPONSES:
            return False
        variety = self.context.response_variety
        only_health_checks = self.earlier_classes == {HEALTH_CHECK} and class_name != HEALTH_CHECK
        return variety.is_varied(class_name) or (
            only_health_checks and variety.differs(class_name, self.earlier)
        )

    def add_body(self, data: bytes | bytearray) -> None:
        """Record a part of the body."""
        self.length += len(data)
        if len(self.prefix) < COMPARED_PREFIX:
            self.prefix += bytes(data[: COMPARED_PREFIX - len(self.prefix)])

    def check(self, status: int, length: int | None) -> None:
        """Check a response by its status and the body so far; `length` is that of its body, if known.

        Raises `ConnectionLostError` if it may be a copy of an earlier response.
        """
        if self._may_be_copy(status, length):
            self.context.response_variety.add_equal(self.class_name)
            raise ConnectionLostError(CloseReason.RESPONSE_NOT_ATTRIBUTED)

    def is_certain(self, status: int, length: int | None) -> bool:
        """Return whether a response that is not complete belongs to the request for certain.

        False if what is still to come will tell. Raises `ConnectionLostError` if it can't.
        """
        if len(self.prefix) >= COMPARED_PREFIX:
            self.check(status, length)
        return self.is_no_copy(status, length)

    def is_no_copy(self, status: int, length: int | None) -> bool:
        """Return whether what has come of a response already tells it from a copy of an earlier one."""
        return not self._may_be_copy(status, length)

    def _may_be_copy(self, status: int, length: int | None) -> bool:
        return not self.rested and any(self._may_equal(earlier, status, length) for earlier in self.earlier)

    def accept(self, status: int) -> None:
        """Record a response that has passed the check and is complete."""
        content = ResponseContent(status, self.length, self.prefix)
        self.context.response_variety.add(self.class_name, content)
        self.earlier.append(content)
        self.earlier_classes.add(self.class_name)
        self.last_accepted_at = self.context.loop.now()

    def _may_equal(self, earlier: ResponseContent, status: int, length: int | None) -> bool:
        """Return whether status, body so far and length (None: not known yet) are those of an earlier one."""
        if status != earlier.status or length not in (None, earlier.length):
            return False
        return earlier.prefix.startswith(self.prefix)


def class_name_of(exchange: Exchange) -> str:
    """Return the name of the exchange's request class, or `HEALTH_CHECK`."""
    return exchange.pending.request.request_class.name if exchange.pending is not None else HEALTH_CHECK
