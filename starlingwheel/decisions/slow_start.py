"""Slow start: what an endpoint that has just started may get from all sidecars together."""

from __future__ import annotations

import random
from math import ceil

from .clock import Clock
from .config import BalancerConfig
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats
from .latency import LatencyModel
from .load import LoadTracker

BUDGET_FRACTION = 0.6  # of the budget that is used
TURN_WINDOWS = 2.0  # overload windows for which a turn to send stays open
SKIPPED_TURN_FACTOR = 2.0  # times the usual time between turns, after one that was not used
ALWAYS_ALONE = 2  # sidecars fewer than share an endpoint that take turns at it


class SlowStart:
    """Owns this sidecar's part of the budgets of endpoints that are warming up."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        endpoints: EndpointSet,
        latency: LatencyModel,
        load: LoadTracker,
    ) -> None:
        """`rng` spreads the turns of sidecars at an endpoint."""
        self.clock, self.rng = clock, rng
        self.endpoints, self.latency, self.load = endpoints, latency, load

    def reload(self, config: BalancerConfig) -> None:
        """Take over a configuration."""
        self.config = config

    def fraction(self, stats: EndpointStats) -> float:
        """The least part of its capacity that an endpoint has by now, 0 to 1."""
        return stats.slow_start_fraction(self.config, self.clock.now)

    def within_budget(self, stats: EndpointStats) -> bool:
        """An attempt may start there now; always true of one that is warm."""
        fraction = stats.slow_start_fraction(self.config, self.clock.now)
        if fraction >= 1 or stats.rank >= self.endpoints.subset_width > 0:
            return fraction >= 1
        capacity = self._capacity(stats, fraction)
        sharing = stats.sharing_sidecars * self.config.process_count
        rate, window = BUDGET_FRACTION * capacity / sharing, self.config.overload_window
        span = max(window, 1 / rate)
        self._advance_phase(stats, span)
        if not sharing - ALWAYS_ALONE > capacity * window > 0:
            stats.slow_start_cycle = 0.0
            recent = sum(at > self.clock.now - span for at in stats.slow_start_sends)
            return recent + 1 <= rate * span + 1e-9
        return self._is_our_turn(stats, span)

    def _capacity(self, stats: EndpointStats, fraction: float) -> float:
        """Requests a second that all sidecars together may send there."""
        longest = max(self.latency.typical(one) for one in self.config.request_classes)
        each = longest * self.endpoints.relative_cost(stats) / self.load.concurrency
        return self.config.overload_factor * fraction / each

    def _advance_phase(self, stats: EndpointStats, span: float) -> None:
        now = self.clock.now
        phase = stats.slow_start_phase or -SKIPPED_TURN_FACTOR * self.rng.random()
        stats.slow_start_phase = phase + (now - stats.slow_start_updated_at) / span
        stats.slow_start_updated_at = now

    def _is_our_turn(self, stats: EndpointStats, span: float) -> bool:
        """Turns begin at random times, and the longer one stays open the later the next one is.

        Otherwise many sidecars would each send the first of their part at once, at the start or after a
        quiet time.
        """
        window = self.config.overload_window
        overdue = stats.slow_start_phase - TURN_WINDOWS * window / span
        stats.slow_start_phase -= SKIPPED_TURN_FACTOR * max(0, ceil(overdue / SKIPPED_TURN_FACTOR))
        open_for = 1 + stats.slow_start_phase * span / window
        stats.slow_start_cycle = max(1.0, SKIPPED_TURN_FACTOR / (1 + TURN_WINDOWS) * open_for)
        return stats.slow_start_phase >= 0

    def note_attempt(self, stats: EndpointStats) -> None:
        """An attempt has started there."""
        if self.fraction(stats) < 1:
            stats.slow_start_sends.append(self.clock.now)
            stats.slow_start_phase -= stats.slow_start_cycle
