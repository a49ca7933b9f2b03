"""What a balancer knows of one endpoint. Each group of fields belongs to the part that its comment names."""

from __future__ import annotations

import zlib
from math import inf
from typing import NamedTuple

from .config import BalancerConfig
from .estimators import Histogram, InFlightEstimator
from .model import Attempt, Endpoint


class LoadSample(NamedTuple):
    """Requests at an endpoint, as reported at one time."""

    requests: float
    at: float


class EndpointStats:
    """One endpoint of the list and what was learned of it; times are seconds on the host's clock."""

    def __init__(self, entry: Endpoint, now: float, sharing_sidecars: float) -> None:
        """`sharing_sidecars`: how many sidecars may send to it."""
        # endpoint_set
        self.endpoint_id = entry.endpoint_id
        self.started_at: float | None = None
        self.capacity_weight = 0.0
        self.rank = 0
        self.sharing_sidecars = sharing_sidecars  # sidecars that may send to it
        # gossip
        self.gossip_tag = zlib.crc32(entry.endpoint_id.encode()) & 0xFFFF
        # load
        self.in_flight: dict[Attempt, None] = {}
        self.load_sample: LoadSample | None = None
        self.service_time = 0.0
        # outlier_detection
        self.last_response_at = now
        # hedging
        self.latest_finished_start = -inf
        self.forget(now)
        self.update(entry, now)

    def slow_start_fraction(self, config: BalancerConfig, now: float) -> float:
        """The least part of its capacity that the endpoint has by now, 0 to 1."""
        if self.started_at is None or now >= self.started_at + config.slow_start_duration:
            return 1.0
        age = max(0.0, now - self.started_at) / config.slow_start_duration
        initial = config.slow_start_initial_fraction
        return initial + (1 - initial) * age

    def forget(self, now: float) -> None:
        """Forget what was learned of the process, which is another one now."""
        # latency
        self.pace: Histogram | None = None
        # gossip
        self.gossip_in_flight = InFlightEstimator(now)
        # slow_start
        self.slow_start_sends: list[float] = []
        self.slow_start_updated_at: float = now
        self.slow_start_phase = self.slow_start_cycle = 0.0
        # outlier_detection
        self.consecutive_failures, self.ejection_time, self.ejected_until = 0, 0.0, -inf
        self.probation_limit: float = inf  # attempts at a time; infinite: not on probation
        self.connect_failing, self.unresponsive, self.suspected_at = False, False, -inf
        # connections: when each idle one was used last
        self.idle_connections: list[float] = []

    def update(self, entry: Endpoint, now: float, weights_are_live: bool = False) -> None:
        """Take over a new entry of the endpoint list."""
        self.entry = entry
        # A live weight is the true one over one plus the requests held: the largest seen is nearest to it.
        if weights_are_live:
            self.capacity_weight = max(self.capacity_weight, entry.capacity_weight)
        else:
            self.capacity_weight = entry.capacity_weight
        self.requests_held = self.capacity_weight / max(entry.capacity_weight, 1e-9) - 1
        if entry.started_at != self.started_at:
            self.started_at = entry.started_at
            self.forget(now)
