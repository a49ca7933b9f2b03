"""The last check before an attempt is sent: whether it may still begin. Refused attempts are counted.

Time passes between a decision and the first byte: a connection has to be established, a queue to drain, a
replica to answer. Every attempt, whether first, retry or hedge, every health check and every request on a
reused connection is therefore checked here right before its first byte, over HTTP/1.1 and HTTP/2 alike.
Times are seconds on the loop's clock.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable
from math import inf

from ..decisions.config import RetrySafety
from ..decisions.lease import PROCESS_DELAY_MARGIN, EndpointLease, LeaseState
from .discovery.messages import DRAINING_STATE, LEFT_STATE, DiscoveredEndpoint
from .state.overrides import EndpointOverrides
from .state.requests import Exchange, PendingRequest


class Refusal(enum.Enum):
    """The reason why an attempt may not begin. The values are logged."""

    MOVED = "moved"  # the endpoint is draining, removed, or replaced by another process
    LEASE_EXPIRED = "lease-expired"  # the lease of the endpoint list has expired
    ANSWERED = "answered"  # the request already has its final response
    TOO_LATE = "too-late"  # the deadline has passed
    CLIENT_LEFT = "client-left"
    WINDOW_OVER = "window-over"  # a retry of a request that may have run may not be deduplicated any more
    BODY_TAKEN = "body-taken"  # another attempt has taken bytes of a body that can be read only once


class AttemptGate:
    """Decides right before the first byte to an endpoint whether an exchange may begin."""

    def __init__(
        self,
        lease: EndpointLease,
        overrides: EndpointOverrides,
        now: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        """Create the gate; `now` is the loop's clock, `log` is called with an event's name and its fields."""
        self.lease = lease
        self.overrides = overrides
        self.now = now
        self.log = log
        self.refused: Counter[Refusal] = Counter()
        self.late_writes = 0  # first bytes written more than `PROCESS_DELAY_MARGIN` after the check
        self.stale_rejections = 0  # requests rejected while the lease had expired
        self.violations = 0  # commands of the decisions that break the rules for non-idempotent requests
        self.last_lease_state = LeaseState.FRESH

    def refusal(self, endpoint: DiscoveredEndpoint, exchange: Exchange) -> Refusal | None:
        """Return why the exchange may not be sent to this endpoint now, or None if it may."""
        reason = self._endpoint_refusal(endpoint)
        reason = reason or self._repeat_refusal(exchange) or self.exchange_refusal(exchange)
        reason = reason or self._body_refusal(exchange)
        if reason is not None:
            self.refused[reason] += 1
        else:
            exchange.admitted_at = self.now()
        return reason

    def _endpoint_refusal(self, endpoint: DiscoveredEndpoint) -> Refusal | None:
        """Refuse an endpoint that has drained, left or moved since it was selected.

        Under an expired lease any endpoint is refused.
        """
        current = self.overrides.current(endpoint.id)
        if current is None or current.state in (DRAINING_STATE, LEFT_STATE):
            return Refusal.MOVED
        if (current.addr, current.started_ms) != (endpoint.addr, endpoint.started_ms):
            return Refusal.MOVED
        return Refusal.LEASE_EXPIRED if self.update_lease_state() is LeaseState.EXPIRED else None

    def _repeat_refusal(self, exchange: Exchange) -> Refusal | None:
        """Refuse a retry that was decided on within its deduplication window and would begin after it.

        Such a retry occurs if a connection is established late, or if the process was suspended.
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
        is_over = self.now() >= first + max(window - PROCESS_DELAY_MARGIN, window / 2)
        return Refusal.WINDOW_OVER if is_over else None

    @staticmethod
    def _body_refusal(exchange: Exchange) -> Refusal | None:
        """Refuse an attempt that can't send the body from its first byte on.

        A connection may come up so late that a hedge has taken the body meanwhile.
        """
        body = exchange.body_stream
        return None if body is None or body.is_whole_for(exchange) else Refusal.BODY_TAKEN

    def exchange_refusal(self, exchange: Exchange) -> Refusal | None:
        """Return why nothing more may be sent for an exchange on account of its request, or None.

        In a late turn of the loop a connection may become ready before the client's disconnect, the final
        response or a timeout has been handled. The check also covers exchanges that the settings do not allow
        to be cancelled.
        """
        if exchange.pending is None:
            return None
        if not exchange.pending.awaits_response:
            return Refusal.ANSWERED
        if self.now() >= exchange.deadline:
            return Refusal.TOO_LATE
        return Refusal.CLIENT_LEFT if exchange.pending.client.has_disconnected() else None

    def record_first_write(self, exchange: Exchange) -> None:
        """Count a first byte that was written too long after `refusal` admitted its exchange."""
        if exchange.admitted_at and self.now() - exchange.admitted_at > PROCESS_DELAY_MARGIN:
            self.late_writes += 1
        exchange.admitted_at = 0.0

    def record_rejection(self) -> None:
        """Count a rejected request if the lease has expired."""
        self.stale_rejections += self.update_lease_state() is LeaseState.EXPIRED

    def update_lease_state(self) -> LeaseState:
        """Return the state of the lease, and log it if it has changed."""
        now = self.now()
        state = self.lease.state(now)
        if state is not self.last_lease_state:
            self.last_lease_state = state
            self.log("lease", state=state.value, ends_in_s=round(self.lease.ends_at - now, 3))
        return state

    # Run-time checks of the decisions: an error in them must not break the rules for non-idempotent requests.

    def may_start_attempt(self, pending: PendingRequest) -> bool:
        """Return whether another attempt may begin.

        A non-idempotent request must have no attempt that may have run or may still run.
        """
        return self._none_may_have_run(pending, "second attempt for a request that may have run")

    def may_reject(self, pending: PendingRequest) -> bool:
        """Return whether the request may be rejected as safe to retry.

        Of a request whose body is incomplete nothing more is sent once it has been rejected.
        """
        if pending.body_incomplete and not any(exchange.written for exchange in pending.exchanges.values()):
            return True
        return self._none_may_have_run(pending, "rejected as safe to retry, though it may have run")

    def _none_may_have_run(self, pending: PendingRequest, violation: str) -> bool:
        """Return whether no attempt of a non-idempotent request may have run; log a violation otherwise."""
        if pending.request.request_class.retry_safety is not RetrySafety.NON_IDEMPOTENT:
            return True
        if not (pending.may_have_run or pending.exchanges):
            return True
        self.violations += 1
        trace = pending.trace_id.decode("latin-1")
        self.log("gate.violation", what=violation, trace=trace, category=pending.request.request_class.name)
        return False
