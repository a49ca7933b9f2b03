"""Admission control: the objective and priority of a request, and the retry delay of a rejected one."""

from __future__ import annotations

import random
from typing import NamedTuple

from .config import BalancerConfig
from .model import Request

GIVE_UP_FRACTION = 0.98  # fraction of the objective after which the sidecar stops waiting for a response
# Exponent of a class's relative weight. A class with less weight may use a smaller part of its objective.
PRIORITY_EXPONENT = 0.25
RETRY_AFTER_FRACTION = 1 / 4  # mean retry delay of a rejected client, as a fraction of the latency objective


class Objective(NamedTuple):
    """Latency objective of one request, in seconds since its arrival, and its priority, 0 to 1."""

    seconds: float
    priority: float


class Admission:
    """Sets objectives, priorities and retry delays; owns the longest remaining time seen for each class."""

    def __init__(self, rng: random.Random) -> None:
        """Create the component; `rng` spreads the retry delays of rejected clients."""
        self.rng = rng

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config = config
        self.max_priority_weight = max(
            request_class.priority_weight for request_class in config.request_classes
        )
        self._longest_time_left: dict[str, float] = {}

    def objective(self, request: Request) -> Objective:
        """Return the latency objective and the priority of a request."""
        request_class = request.request_class
        seconds = request_class.latency_objective + request_class.objective_per_cost * request.cost
        priority = (request_class.priority_weight / self.max_priority_weight) ** PRIORITY_EXPONENT
        longest = self._update_longest_time_left(request)
        if request.is_retry and request.time_left < longest * GIVE_UP_FRACTION:
            # Earlier attempts by the client have used up a part of the objective.
            seconds -= request_class.timeout - request.time_left
        if seconds <= 0:
            return Objective(request.time_left, priority * request_class.late_priority_weight)
        return Objective(seconds, priority)

    def _update_longest_time_left(self, request: Request) -> float:
        """Record the time left of a first attempt; return the longest one of the request's class."""
        name = request.request_class.name
        first_try = request.time_left * (not request.is_retry)
        longest = max(self._longest_time_left.get(name, 0.0), first_try)
        self._longest_time_left[name] = longest
        return longest

    @staticmethod
    def give_up_at(request: Request, objective: Objective) -> float:
        """Return the time at which a request is given up.

        A response after that time is late and takes capacity from requests that can still be in time.
        """
        return min(request.arrived_at + objective.seconds * GIVE_UP_FRACTION, request.deadline)

    def retry_after(self, request: Request) -> float:
        """Return a randomised retry delay in seconds, so that rejected clients do not all return at once."""
        delay = request.request_class.latency_objective * RETRY_AFTER_FRACTION * (0.5 + self.rng.random())
        return min(self.config.max_retry_after, delay)
