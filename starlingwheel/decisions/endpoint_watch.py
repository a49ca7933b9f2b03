"""Background task that keeps a watch of the endpoint list open, where discovery does not push the list."""

from __future__ import annotations

import random

from .clock import Clock
from .commands import DecisionCoroutine, Wait, WatchEndpoints
from .config import BalancerConfig
from .events import WatchEvent

SIDECARS_PER_INTERVAL = 16  # sidecars whose calls are spread over one shortest backoff
MAX_BACKOFF = 8  # in units of the shortest backoff


def watch_endpoints(clock: Clock, rng: random.Random, config: BalancerConfig) -> DecisionCoroutine:
    """Open the watch, and reopen it with exponential backoff after each failure.

    The delays are randomised, since all sidecars would otherwise call at once at the start and after an
    outage.
    """
    max_age = config.endpoint_list_max_age
    shortest_backoff = max(max_age / 32, clock.shortest_objective / 4)
    spread = min(
        shortest_backoff * max(1.0, config.sidecars / SIDECARS_PER_INTERVAL),
        max(shortest_backoff, max_age / 2),
    )
    backoff = spread
    until = clock.now + rng.random() * spread
    while True:
        while clock.now < until:
            yield Wait(until)
        yield WatchEndpoints()
        while (yield Wait(None)) is not WatchEvent.FAILED:
            backoff = spread
        until = clock.now + backoff * (0.5 + rng.random())
        backoff = min(2 * backoff, max(MAX_BACKOFF * shortest_backoff, spread))
