"""Deadlines: by when a request is answered, what that is worth, and when a rejected client may return."""

from __future__ import annotations

import random
from typing import NamedTuple

from .config import BalancerConfig
from .model import Request

GIVE_UP_FRACTION = 0.98  # of the objective, after which a response is not waited for
PRIORITY_EXPONENT = (
    0.25  # of the relative weight: how much less of the objective a class of less weight may use
)
RETRY_AFTER_FRACTION = 1 / 4  # of the latency objective


class Objective(NamedTuple):
    """Seconds since its arrival by which a request is to be answered, and its priority, 0 to 1."""

    seconds: float
    priority: float


class Admission:
    """Owns the longest time left that each class was seen to arrive with."""

    def __init__(self, rng: random.Random) -> None:
        """`rng`: spreads the times after which clients return."""
        self.rng = rng

    def reload(self, config: BalancerConfig) -> None:
        """Take over a configuration."""
        self.config = config
        self._best_weight = max(one.priority_weight for one in config.request_classes)
        self._longest_time_left: dict[str, float] = {}

    def objective(self, request: Request) -> Objective:
        """By when a request is to be answered, and at what priority."""
        request_class = request.request_class
        seconds = request_class.latency_objective + request_class.objective_per_cost * request.cost
        priority = (request_class.priority_weight / self._best_weight) ** PRIORITY_EXPONENT
        longest = self._note_time_left(request)
        if request.is_retry and request.time_left < longest * GIVE_UP_FRACTION:
            # Earlier tries of the client have used up a part of the objective.
            seconds -= request_class.timeout - request.time_left
        if seconds <= 0:
            return Objective(request.time_left, priority * request_class.late_priority_weight)
        return Objective(seconds, priority)

    def _note_time_left(self, request: Request) -> float:
        name = request.request_class.name
        first_try = request.time_left * (not request.is_retry)
        longest = max(self._longest_time_left.get(name, 0.0), first_try)
        self._longest_time_left[name] = longest
        return longest

    @staticmethod
    def give_up_at(request: Request, objective: Objective) -> float:
        """When a response is not waited for any longer: a late one takes capacity of those in time."""
        return request.arrived_at + min(objective.seconds * GIVE_UP_FRACTION, request.time_left)

    def retry_after(self, request: Request) -> float:
        """When a rejected client may return, seconds; spread, so that clients do not return together."""
        delay = request.request_class.latency_objective * RETRY_AFTER_FRACTION * (0.5 + self.rng.random())
        return min(self.config.max_retry_after, delay)
