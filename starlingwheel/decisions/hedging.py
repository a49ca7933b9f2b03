"""When a second attempt goes out beside one that has not been answered."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from .clock import Clock
from .latency import LatencyModel
from .load import LoadTracker
from .model import Attempt, Request
from .retry_policy import RetryPolicy

HEDGE_DELAY_PERCENTILE = 0.98  # of the relative response times of this balancer
MIN_SAMPLES = 50  # responses before that percentile is believed
INITIAL_DELAY = 4.0  # latency objectives, until then: no hedge in time
MAX_HEDGES = 1  # hedged attempts of one request


class HedgingPolicy:
    """Decides when a request is hedged."""

    def __init__(
        self, clock: Clock, latency: LatencyModel, load: LoadTracker, retry_policy: RetryPolicy
    ) -> None:
        """The delay follows `latency`; an overload by `load` forbids hedges."""
        self.clock, self.latency, self.load = clock, latency, load
        self.retry_policy = retry_policy

    def delay(self, request: Request) -> float:
        """Seconds after the start of an attempt at which its hedge is due."""
        learned = self.latency.relative.percentile(HEDGE_DELAY_PERCENTILE)
        learned *= self.latency.typical(request.request_class)
        if self.latency.relative.total >= MIN_SAMPLES:
            return learned
        return INITIAL_DELAY * request.request_class.latency_objective

    def due_at(self, request: Request, attempts: Sequence[Attempt], hedges: int, delays: int) -> float:
        """When the next look at hedging is due; infinite where none may follow.

        `hedges`: sent so far. `delays`: how many delays after the last attempt that look is.
        """
        if hedges >= MAX_HEDGES or not self.retry_policy.may_hedge(request, attempts):
            return inf
        return attempts[-1].started_at + delays * self.delay(request)

    def should_hedge(self, request: Request, attempts: Sequence[Attempt]) -> bool:
        """The hedge that is due goes out.

        Does not hedge an expensive request: requests sent after it have already finished on the same
        endpoint.
        """
        last = attempts[-1]
        waits = last.endpoint.latest_finished_start < last.started_at and not self.load.is_overloaded()
        # The deduplication window may have ended during the delay.
        return waits and self.retry_policy.may_send(request, attempts)
