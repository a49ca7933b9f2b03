"""The time of the event at hand and the time scales that follow from the latency objectives. Seconds."""

from __future__ import annotations

from .config import BalancerConfig

HALF_LIFE = 4.0  # shortest latency objectives after which an observation counts half


class Clock:
    """Shared by all parts of a balancer; the host sets `now` before each event."""

    __slots__ = ("now", "shortest_objective", "longest_objective", "renewal")

    def __init__(self, now: float) -> None:
        """`now`: the time of the start; the time scales follow with `reload`."""
        self.now = now
        self.shortest_objective = self.longest_objective = self.renewal = 0.0

    def reload(self, config: BalancerConfig) -> None:
        """Take over the latency objectives of a configuration."""
        objectives = [request_class.latency_objective for request_class in config.request_classes]
        self.shortest_objective, self.longest_objective = min(objectives), max(objectives)
        self.renewal = 2 * HALF_LIFE * self.shortest_objective

    def decay(self, since: float) -> float:
        """What an observation made at `since` still counts, 0 to 1."""
        return 0.5 ** ((self.now - since) / HALF_LIFE / self.shortest_objective)
