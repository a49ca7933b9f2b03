"""The capacity of each zone: configured, observed when the zone rejects attempts, or estimated."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import inf

from ..records import ZonePlan, ZoneState
from .evidence import ZoneEvidence, ZoneLoad
from .health import ELSEWHERE_FRACTION, FAILING_FRACTION

CAPACITY_HEADROOM = 1.5  # estimated capacity, as a multiple of the highest rate at which a zone was healthy
RATE_DECAY = 0.99  # factor applied to the highest healthy rate with each window


class ZoneCapacities:
    """The capacities of all zones, in attempts a second."""

    def __init__(self, configured: Mapping[str, float], window: float) -> None:
        """Start with the `configured` capacities. `window`: of the health tracker, seconds."""
        self.configured, self.window = dict(configured), window
        self.healthy_rates: dict[str, float] = {}  # the highest fleet-wide rate at which a zone was healthy
        self.measure_at = -inf

    def measure(self, now: float, evidence: ZoneEvidence) -> None:
        """Record the current rates of healthy zones, at most once a window."""
        if now < self.measure_at:
            return
        self.measure_at = now + self.window
        for name, load in evidence.loads().items():
            if load.failing_fraction < FAILING_FRACTION * ELSEWHERE_FRACTION:
                decayed = self.healthy_rates.get(name, 0.0) * RATE_DECAY
                self.healthy_rates[name] = max(decayed, load.rate)

    def observed_capacities(
        self, plan: ZonePlan, zones: Mapping[str, ZoneState], evidence: ZoneEvidence
    ) -> dict[str, float]:
        """Return the capacities of the plan, complemented by the rates of zones that reject attempts.

        `zones`: the zones of the next plan; if there are none, no rate is added.
        """
        capacities = dict(plan.capacities)
        for name, load in evidence.loads().items():
            if evidence.is_rejecting(name) and name not in capacities and zones:
                capacities[name] = load.rate
        return capacities

    def spare_capacity(self, excluded: Iterable[str], plan: ZonePlan, loads: Mapping[str, ZoneLoad]) -> float:
        """Return the rate that healthy zones outside the plan can take in addition to their own traffic."""
        excluded, spare = set(excluded), 0.0
        for name, load in loads.items():
            if name in excluded or name in plan.zones or load.failing_fraction >= FAILING_FRACTION:
                continue
            capacity = (
                self.configured.get(name)
                or plan.capacities.get(name)
                or CAPACITY_HEADROOM * self.healthy_rates.get(name, load.rate)
            )
            spare += max(0.0, capacity - load.rate)
        return spare
