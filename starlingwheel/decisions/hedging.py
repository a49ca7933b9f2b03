"""Hedging: when a second attempt is sent while the first one has not been answered."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from .clock import Clock
from .latency import LatencyModel
from .load import LoadTracker
from .model import Attempt, Request
from .retry_policy import RetryPolicy

HEDGE_DELAY_PERCENTILE = 0.98  # of the relative response times seen by this balancer
MIN_SAMPLES = 50  # responses from which on the percentile gives the delay
# Delay in latency objectives while there are fewer responses: too late for a hedge to be sent.
INITIAL_DELAY = 4.0
MAX_HEDGES = 1  # hedges of one request


class HedgingPolicy:
    """Decides when a request is hedged."""

    def __init__(
        self, clock: Clock, latency: LatencyModel, load: LoadTracker, retry_policy: RetryPolicy
    ) -> None:
        """Take the components: `latency` gives the delay, `load` suppresses hedges under overload."""
        self.clock, self.latency, self.load = clock, latency, load
        self.retry_policy = retry_policy

    def response_time(self, request: Request) -> float:
        """Return the time in seconds within which nearly all responses come, as far as it is known."""
        return self.latency.percentile(request.request_class, HEDGE_DELAY_PERCENTILE)

    def delay(self, request: Request) -> float:
        """Return the delay in seconds after the start of an attempt at which its hedge is due."""
        learned = self.response_time(request)
        if self.latency.relative_times.total >= MIN_SAMPLES:
            return learned
        return INITIAL_DELAY * request.request_class.latency_objective

    def due_at(
        self, request: Request, attempts: Sequence[Attempt], hedges_sent: int, hedge_delays: int
    ) -> float:
        """Return the time at which hedging is next considered; infinite if no hedge may follow.

        `hedges_sent`: hedges of the request so far. `hedge_delays`: number of hedging delays from the start
        of the last attempt to that time.
        """
        if hedges_sent >= MAX_HEDGES or not self.retry_policy.may_hedge(request, attempts):
            return inf
        return attempts[-1].started_at + hedge_delays * self.delay(request)

    def should_hedge(self, request: Request, attempts: Sequence[Attempt]) -> bool:
        """Return whether a hedge that is due is sent.

        An expensive request is not hedged. A request counts as expensive if a later one has already finished
        on the same endpoint.
        """
        last = attempts[-1]
        worthwhile = last.endpoint.latest_finished_start < last.started_at and not self.load.is_overloaded()
        # The deduplication window may have ended during the delay.
        return worthwhile and self.retry_policy.may_send(request, attempts)
