"""The gate: the one place that decides whether an attempt may begin now, and that counts what it refused.

Decisions are made ahead of the first byte: a connection has to come up, a queue to empty, a replica to
answer. So each attempt, first, repeated or hedged, each health check and each request on a kept
connection asks here at the last moment, over HTTP/1.1 and HTTP/2 alike. Times are seconds on the loop's
clock.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable
from math import inf

from ..decisions.config import RetrySafety
from ..decisions.lease import PROCESS_DELAY_MARGIN, EndpointLease, LeaseState
from .discovery.messages import DRAINING_STATE, DiscoveredEndpoint
from .state.overrides import EndpointOverrides
from .state.requests import Exchange, PendingRequest


class Refusal(enum.Enum):
    """Why an attempt may not begin. The values are logged."""

    MOVED = "moved"  # the endpoint drains, is gone, or another process is there in its place
    LEASE_EXPIRED = "lease-expired"  # the endpoint list may not be acted on any more
    ANSWERED = "answered"  # the request has its final response
    TOO_LATE = "too-late"  # its time is over
    CLIENT_LEFT = "client-left"
    WINDOW_OVER = "window-over"  # repeats of what may have run are not deduplicated any more


class AttemptGate:
    """Asked before the first byte of whatever is sent to an endpoint."""

    def __init__(
        self,
        lease: EndpointLease,
        overrides: EndpointOverrides,
        now: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        """`now`: the loop's clock; `log`: called with an event's name and its fields."""
        self.lease = lease
        self.overrides = overrides
        self.now = now
        self.log = log
        self.refused: Counter[Refusal] = Counter()
        self.late_writes = 0  # first bytes written longer after the check than the lease allows for
        self.stale_rejections = 0  # requests rejected while the lease had expired
        self.violations = 0  # attempts and responses that the decisions asked for and that no rule allows
        self.last_state = LeaseState.FRESH

    def refusal(self, endpoint: DiscoveredEndpoint, exchange: Exchange) -> Refusal | None:
        """Return why nothing may be sent to this endpoint for this exchange now; None: it may."""
        reason = self._endpoint_refusal(endpoint)
        reason = reason or self._repeat_refusal(exchange) or self.exchange_refusal(exchange)
        if reason is not None:
            self.refused[reason] += 1
        else:
            exchange.admitted_at = self.now()
        return reason

    def _endpoint_refusal(self, endpoint: DiscoveredEndpoint) -> Refusal | None:
        """Refuse what was chosen before the endpoint drained, left or moved, and a list that is too old."""
        current = self.overrides.current(endpoint.id)
        if current is None or current.state == DRAINING_STATE:
            return Refusal.MOVED
        if (current.addr, current.started_ms) != (endpoint.addr, endpoint.started_ms):
            return Refusal.MOVED
        return Refusal.LEASE_EXPIRED if self.update_lease_state() is LeaseState.EXPIRED else None

    def _repeat_refusal(self, exchange: Exchange) -> Refusal | None:
        """Refuse a repeat that was chosen within its deduplication window and would begin after it.

        That happens where a connection comes up late, or the process was held up.
        """
        pending = exchange.pending
        if pending is None:
            return None
        request_class = pending.request.request_class
        if request_class.retry_safety is not RetrySafety.IDEMPOTENT_WITH_KEY:
            return None
        others = (
            other.started_at
            for other in pending.exchanges.values()
            if other is not exchange and other.written
        )
        first = min(pending.first_may_have_run_at, *others, inf)
        window = request_class.deduplication_window
        over = self.now() >= first + max(window - PROCESS_DELAY_MARGIN, window / 2)
        return Refusal.WINDOW_OVER if over else None

    def exchange_refusal(self, exchange: Exchange) -> Refusal | None:
        """Return why nothing more is to be sent for an exchange; None: it is wanted.

        In a late turn of the loop a connection may be ready before the client's end, the final response or a
        timeout has been handled. This also holds for exchanges that may not be cancelled.
        """
        if exchange.pending is None:
            return None
        if not exchange.pending.awaits_response:
            return Refusal.ANSWERED
        if self.now() >= exchange.deadline:
            return Refusal.TOO_LATE
        return Refusal.CLIENT_LEFT if exchange.pending.client.has_disconnected() else None

    def record_first_write(self, exchange: Exchange) -> None:
        """Count first bytes that were written too long after `refusal` let them."""
        if exchange.admitted_at and self.now() - exchange.admitted_at > PROCESS_DELAY_MARGIN:
            self.late_writes += 1
        exchange.admitted_at = 0.0

    def record_rejection(self) -> None:
        """Count a rejected request, if the lease is the reason."""
        self.stale_rejections += self.update_lease_state() is LeaseState.EXPIRED

    def update_lease_state(self) -> LeaseState:
        """Return the lease's state; a change of it is logged."""
        now = self.now()
        state = self.lease.state(now)
        if state is not self.last_state:
            self.last_state = state
            self.log("lease", state=state.value, ends_in_s=round(self.lease.ends_at - now, 3))
        return state

    # Checks of the decisions at run time: an error there must not break a rule.

    def may_start_attempt(self, pending: PendingRequest) -> bool:
        """Another attempt may begin: a non-idempotent request has none that may have run, or may yet."""
        return self._none_may_have_run(pending, "a second attempt for what may have run")

    def may_reject(self, pending: PendingRequest) -> bool:
        """The request may be rejected as harmless."""
        return self._none_may_have_run(pending, "refused as harmless, though it may have run")

    def _none_may_have_run(self, pending: PendingRequest, violation: str) -> bool:
        """Hold for a non-idempotent request only if no attempt may have run; else log a violation."""
        if pending.request.request_class.retry_safety is not RetrySafety.NON_IDEMPOTENT:
            return True
        if not (pending.may_have_run or pending.exchanges):
            return True
        self.violations += 1
        trace = pending.trace_id.decode("latin-1")
        self.log("gate.violation", what=violation, trace=trace, category=pending.request.request_class.name)
        return False
