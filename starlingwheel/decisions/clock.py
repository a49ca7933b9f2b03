"""The time of the current event and the time scales derived from the latency objectives, in seconds."""

from __future__ import annotations

from .config import BalancerConfig

HALF_LIFE = 4.0  # half-life of an observation's weight, in units of the shortest latency objective


class Clock:
    """Time source shared by all components of a balancer; the host sets `now` before each event."""

    __slots__ = ("now", "shortest_objective", "longest_objective", "halving_interval")

    def __init__(self, now: float) -> None:
        """Start at `now`; `reload` sets the time scales."""
        self.now = now
        self.shortest_objective = self.longest_objective = self.halving_interval = 0.0

    def reload(self, config: BalancerConfig) -> None:
        """Adopt the latency objectives of a new configuration."""
        objectives = [request_class.latency_objective for request_class in config.request_classes]
        self.shortest_objective, self.longest_objective = min(objectives), max(objectives)
        self.halving_interval = 2 * HALF_LIFE * self.shortest_objective

    def decay(self, since: float) -> float:
        """Return the remaining weight, 0 to 1, of an observation made at `since`."""
        return 0.5 ** ((self.now - since) / HALF_LIFE / self.shortest_objective)
