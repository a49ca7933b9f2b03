"""State kept for one endpoint. A comment names the module that owns each group of fields."""

from __future__ import annotations

import zlib
from math import inf
from typing import NamedTuple

from .config import BalancerConfig
from .estimators import Histogram, InFlightEstimator
from .model import Attempt, Endpoint


class LoadSample(NamedTuple):
    """The number of requests at an endpoint, as reported at one time."""

    requests: float
    at: float


class EndpointStats:
    """A listed endpoint and what was learned of it; times are in seconds on the host's clock."""

    def __init__(self, entry: Endpoint, now: float, sharing_sidecars: float) -> None:
        """Start with nothing learned; `sharing_sidecars`: how many sidecars may send to the endpoint."""
        # endpoint_set
        self.endpoint_id = entry.endpoint_id
        self.started_at: float | None = None
        self.capacity_weight = 0.0
        self.rank = 0
        self.sharing_sidecars = sharing_sidecars
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
        self.reset_learned_state(now)
        self.update(entry, now)

    def slow_start_fraction(self, config: BalancerConfig, now: float) -> float:
        """Return the guaranteed fraction of its capacity that the endpoint has reached by `now`, 0 to 1."""
        if self.started_at is None or now >= self.started_at + config.slow_start_duration:
            return 1.0
        age = max(0.0, now - self.started_at) / config.slow_start_duration
        initial = config.slow_start_initial_fraction
        return initial + (1 - initial) * age

    def reset_learned_state(self, now: float) -> None:
        """Discard what was learned, since the endpoint is a new process now."""
        # latency: response times relative to the typical ones of their class
        self.relative_times: Histogram | None = None
        # gossip
        self.gossip_in_flight = InFlightEstimator(now)
        # slow_start: the phase is the time since this sidecar's turn to send began, negative before the turn,
        # in units of the time between the sidecar's requests; each attempt subtracts the cycle from the phase
        self.slow_start_sends: list[float] = []
        self.slow_start_updated_at: float = now
        self.slow_start_phase = self.slow_start_cycle = 0.0
        # outlier_detection
        self.consecutive_failures, self.ejection_time, self.ejected_until = 0, 0.0, -inf
        self.probation_limit: float = inf  # concurrent attempts; infinite: not on probation
        self.connect_failing, self.unresponsive, self.suspected_at = False, False, -inf
        # outcomes: the time at which each idle connection was last used
        self.idle_connections: list[float] = []

    def update(self, entry: Endpoint, now: float, weights_are_live: bool = False) -> None:
        """Apply a new entry of the endpoint list."""
        self.entry = entry
        # A live weight is the capacity weight divided by one plus the requests held, so the largest value
        # seen is the best estimate of the capacity weight.
        if weights_are_live:
            self.capacity_weight = max(self.capacity_weight, entry.capacity_weight)
        else:
            self.capacity_weight = entry.capacity_weight
        self.requests_held = self.capacity_weight / max(entry.capacity_weight, 1e-9) - 1
        if entry.started_at != self.started_at:
            self.started_at = entry.started_at
            self.reset_learned_state(now)
