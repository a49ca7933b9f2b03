"""Slow start: a budget, shared by all sidecars, of requests to an endpoint that has just started."""

from __future__ import annotations

import random
from math import ceil

from .clock import Clock
from .config import BalancerConfig
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats
from .latency import LatencyModel
from .load import LoadTracker

BUDGET_FRACTION = 0.6  # fraction of the budget that is used
TURN_WINDOWS = 2.0  # number of overload windows for which a turn to send stays open
SKIPPED_TURN_FACTOR = 2.0  # multiple of the normal time between turns, after a turn that was not used
TURN_MARGIN = 2  # subtracted from the sidecars that share an endpoint when deciding whether they take turns


class SlowStart:
    """Enforces this sidecar's share of the budgets of endpoints that are warming up."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        endpoints: EndpointSet,
        latency: LatencyModel,
        load: LoadTracker,
    ) -> None:
        """Take the components; `rng` spreads the turns of the sidecars at an endpoint."""
        self.clock, self.rng = clock, rng
        self.endpoints, self.latency, self.load = endpoints, latency, load

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config = config

    def fraction(self, stats: EndpointStats) -> float:
        """Return the guaranteed fraction of its capacity that an endpoint has reached by now, 0 to 1."""
        return stats.slow_start_fraction(self.config, self.clock.now)

    def within_budget(self, stats: EndpointStats) -> bool:
        """Return whether an attempt may start at an endpoint now; always true for a warm one."""
        fraction = stats.slow_start_fraction(self.config, self.clock.now)
        if fraction >= 1 or stats.rank >= self.endpoints.subset_width > 0:
            return fraction >= 1
        capacity = self._capacity(stats, fraction)
        sharing = stats.sharing_sidecars * self.config.process_count
        rate, window = BUDGET_FRACTION * capacity / sharing, self.config.overload_window
        span = max(window, 1 / rate)
        self._advance_phase(stats, span)
        if not sharing - TURN_MARGIN > capacity * window > 0:
            stats.slow_start_cycle = 0.0
            recent = sum(at > self.clock.now - span for at in stats.slow_start_sends)
            return recent + 1 <= rate * span + 1e-9
        return self._is_our_turn(stats, span)

    def _capacity(self, stats: EndpointStats, fraction: float) -> float:
        """Return the requests per second that all sidecars together may send to an endpoint."""
        longest = max(self.latency.typical(request_class) for request_class in self.config.request_classes)
        seconds_per_request = longest * self.endpoints.relative_cost(stats) / self.load.concurrency
        return self.config.overload_factor * fraction / seconds_per_request

    def _advance_phase(self, stats: EndpointStats, span: float) -> None:
        now = self.clock.now
        phase = stats.slow_start_phase or -SKIPPED_TURN_FACTOR * self.rng.random()
        stats.slow_start_phase = phase + (now - stats.slow_start_updated_at) / span
        stats.slow_start_updated_at = now

    def _is_our_turn(self, stats: EndpointStats, span: float) -> bool:
        """Return whether it is this sidecar's turn to send to the endpoint.

        Turns begin at random times, and the longer a turn stays open, the later the next one begins.
        Otherwise many sidecars would each send their first request at once, at the start or after an idle
        period.
        """
        window = self.config.overload_window
        overdue = stats.slow_start_phase - TURN_WINDOWS * window / span
        stats.slow_start_phase -= SKIPPED_TURN_FACTOR * max(0, ceil(overdue / SKIPPED_TURN_FACTOR))
        open_for = 1 + stats.slow_start_phase * span / window
        stats.slow_start_cycle = max(1.0, SKIPPED_TURN_FACTOR / (1 + TURN_WINDOWS) * open_for)
        return stats.slow_start_phase >= 0

    def note_attempt(self, stats: EndpointStats) -> None:
        """Record that an attempt has started at an endpoint."""
        if self.fraction(stats) < 1:
            stats.slow_start_sends.append(self.clock.now)
            stats.slow_start_phase -= stats.slow_start_cycle
