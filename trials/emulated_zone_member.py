"""A member of an emulated fleet that leaves zones by the fleet's plan, and also ejects zones by itself."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from starlingwheel.fleet.zones.health import ZoneHealthTracker

from .emulated_zone_cases import ZONES

if TYPE_CHECKING:
    from .emulated_zones import World

REGIONS = {"north": "up", "east": "up", "south": "down"}
LEASE = 2.0  # seconds
OBJECTIVE = 1.0  # seconds: the latency objective
FIRST_EJECTION, MAX_EJECTION = OBJECTIVE / 2, 2 * OBJECTIVE  # seconds
LOCAL_FRACTION = 0.8  # part of a member's attempts that prefer its own zone
FAILURES_BEFORE_EJECTION = 3  # consecutive


class Ejection(NamedTuple):
    """The ejection of a zone by one member. Times are in seconds."""

    until: float
    duration: float  # without jitter


class EmulatedMember:
    """A member with a zone planner, which it is the host of, and a simple selection of zones."""

    def __init__(self, world: World, number: int) -> None:
        """Create the member with this number, which determines its name and its zone."""
        self.world, self.zone = world, ZONES[number % len(ZONES)]
        self.id = f"n{number}.0"
        self.zone_health = ZoneHealthTracker(OBJECTIVE, world.now)
        self.zone_planner = world.planner_type(
            self.id, LEASE, REGIONS, world.configured_capacities, self, self.zone_health
        )
        self.zone_shares: dict[str, float] = {}
        self.consecutive_failures: Counter[str] = Counter()
        self.ejected: dict[str, Ejection] = {}  # by zone
        self.next_write_at = -inf

    def set_zone_shares(self, shares: Mapping[str, float], returning: Iterable[str]) -> None:
        """Replace the zone shares, and end the ejections of returning zones."""
        self.zone_shares = dict(shares)
        for zone in returning:
            self.ejected.pop(zone, None)
            self.consecutive_failures[zone] = 0

    def log_event(self, event: str, **fields: object) -> None:
        """Discard the log event."""

    def select_zone(self, excluded: str = "") -> str:
        """Return a zone for an attempt, or an empty string if no zone is usable."""
        rng = self.world.rng
        unusable = {zone for zone, share in self.zone_shares.items() if rng.random() >= share} | {excluded}
        unusable |= {zone for zone, ejection in self.ejected.items() if self.world.now < ejection.until}
        usable = [zone for zone in ZONES if zone not in unusable]
        if not usable:
            return ""
        if self.zone in usable and rng.random() < LOCAL_FRACTION:
            return self.zone
        return rng.choice(usable)

    def attempt_ended(self, zone: str, answered: bool) -> None:
        """Eject a zone after consecutive failures, each time for longer; an answer ends its ejection."""
        if answered:
            self.consecutive_failures[zone] = 0
            self.ejected.pop(zone, None)
            return
        self.consecutive_failures[zone] += 1
        if self.consecutive_failures[zone] >= FAILURES_BEFORE_EJECTION:
            previous = self.ejected[zone].duration if zone in self.ejected else FIRST_EJECTION / 2
            duration = min(2 * previous, MAX_EJECTION)
            until = self.world.now + duration * self.world.rng.uniform(0.5, 1.5)
            self.ejected[zone] = Ejection(until, duration)
