"""The gate: the one place that decides whether an attempt may begin now, and that counts what it refused.

Decisions are made ahead of the first byte: a connection comes up, a queue empties, a keeper answers. So each
attempt, first, repeated or hedged, each probe and each request on a kept connection asks here in the last
instant, over HTTP/1.1 and HTTP/2 alike. Times are seconds on the loop's clock.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable
from math import inf
from typing import Any

from ..decisions.config import RetrySafety
from ..decisions.lease import HELD_UP, EndpointLease, LeaseState
from .state.overrides import DRAINING_STATE, EndpointOverrides
from .state.requests import Exchange, PendingRequest


class Refusal(enum.Enum):
    """Why an attempt may not begin."""

    MOVED = "moved"  # the endpoint drains, is gone, or another process is there in its place
    LEASE_EXPIRED = "lease-expired"  # the list may not be acted on any more
    ANSWERED = "answered"  # the request has its final answer
    TOO_LATE = "too-late"  # its time is over
    CLIENT_LEFT = "client-left"
    WINDOW_OVER = "window-over"  # repeats of what may have run are not dropped any more


class AttemptGate:
    """Asked before the first byte of whatever is sent to an endpoint."""

    def __init__(
        self, lease: EndpointLease, out: EndpointOverrides, now: Callable[[], float], log: Callable[..., None]
    ) -> None:
        self.lease, self.out, self.now, self.log = lease, out, now, log
        self.refused: Counter[Refusal] = Counter()
        self.late = 0  # first bytes that were written longer after the look than the lease allows for
        self.stale_rejections = 0  # requests rejected while the lease had expired
        self.violations = 0  # attempts and answers that the decisions asked for and that no rule allows
        self.last_state = LeaseState.FRESH

    def refusal(self, entry: Any, exchange: Exchange) -> Refusal | None:
        """Why nothing may be sent to this endpoint for this errand now; None: it may."""
        why = self._endpoint_refusal(entry) or self._repeat_refusal(exchange) or self.unwanted(exchange)
        if why is not None:
            self.refused[why] += 1
        else:
            exchange.admitted_at = self.now()
        return why

    def _endpoint_refusal(self, entry: Any) -> Refusal | None:
        """Guards against an attempt long after its endpoint was told to drain, by what was read of the list
        since it was chosen, and against a list that is too old to tell."""
        current = self.out.current(entry.id)
        if current is None or current.state == DRAINING_STATE:
            return Refusal.MOVED
        if (current.addr, current.started_ms) != (entry.addr, entry.started_ms):
            return Refusal.MOVED
        return Refusal.LEASE_EXPIRED if self.note_state() is LeaseState.EXPIRED else None

    def _repeat_refusal(self, exchange: Exchange) -> Refusal | None:
        """Guards against a repeat that was chosen within its window and begins after it: a connection came up
        late, or the process was held up."""
        pending = exchange.pending
        if (
            pending is None
            or pending.request.request_class.retry_safety is not RetrySafety.IDEMPOTENT_WITH_KEY
        ):
            return None
        others = (
            other.started_at
            for other in pending.exchanges.values()
            if other is not exchange and other.written
        )
        first = min(pending.risky_since, *others, inf)
        memory = pending.request.request_class.deduplication_window
        over = self.now() >= first + max(memory - HELD_UP, memory / 2)
        return Refusal.WINDOW_OVER if over else None

    def unwanted(self, exchange: Exchange) -> Refusal | None:
        """Why nothing more is to be sent for an errand, though no word of it has come; None: it is wanted.

        Guards against a late turn, in which a connection is up or has room before the end of a client, the
        final answer or a time-out has been dealt with; and against sending what may not be cancelled.
        """
        if exchange.pending is None:
            return None
        if not exchange.pending.owed:
            return Refusal.ANSWERED
        if self.now() >= exchange.deadline:
            return Refusal.TOO_LATE
        return Refusal.CLIENT_LEFT if exchange.pending.client.has_left() else None

    def note_written(self, exchange: Exchange) -> None:
        """The first bytes have been written: counts those that were held up for too long on the way."""
        if exchange.admitted_at and self.now() - exchange.admitted_at > HELD_UP:
            self.late += 1
        exchange.admitted_at = 0.0

    def note_rejected(self) -> None:
        """A request is rejected: counts those that the lease is the reason for."""
        self.stale_rejections += self.note_state() is LeaseState.EXPIRED

    def note_state(self) -> LeaseState:
        """The lease's state now; logged where it has changed."""
        now = self.now()
        state = self.lease.state(now)
        if state is not self.last_state:
            self.last_state = state
            self.log("lease", state=state.value, ends_in_s=round(self.lease.ends_at - now, 3))
        return state

    # What is asked of the decisions once more: a fault there must not break a rule.

    def may_repeat(self, pending: PendingRequest) -> bool:
        """Another attempt may begin: what can't be repeated has no attempt that may have run, or may yet."""
        return self._none_may_have_run(pending, "a second attempt for what may have run")

    def may_reject(self, pending: PendingRequest) -> bool:
        """The request may be refused as harmless."""
        return self._none_may_have_run(pending, "refused as harmless, though it may have run")

    def _none_may_have_run(self, pending: PendingRequest, otherwise: str) -> bool:
        """Of what can't be repeated; where one may, that is a violation, `otherwise` says of what."""
        if pending.request.request_class.retry_safety is not RetrySafety.NON_IDEMPOTENT or not (
            pending.may_have_run or pending.exchanges
        ):
            return True
        self.violations += 1
        trace = pending.trace.decode("latin-1")
        self.log("gate.violation", what=otherwise, trace=trace, category=pending.request.request_class.name)
        return False
