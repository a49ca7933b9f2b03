"""A member of a fleet in emulated time that leaves zones by the common plan, and ejects them by itself."""

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
LOCAL_FRACTION = 0.8  # of a member's attempts that go to its own zone
FAILURES_BEFORE_EJECTION = 3  # in a row


class Ejection(NamedTuple):
    """Why a member does not select a zone. Times are seconds."""

    until: float
    duration: float  # without its jitter


class EmulatedMember:
    """One member: what it sees and plans, and a plain selection of zones. It is the planner's host."""

    def __init__(self, world: World, number: int) -> None:
        """`number`: gives its name, and its zone by turns."""
        self.world, self.zone = world, ZONES[number % len(ZONES)]
        self.id = f"n{number}.0"
        self.zone_health = ZoneHealthTracker(OBJECTIVE, world.now)
        self.zone_planner = world.planner_type(
            self.id, LEASE, REGIONS, world.configured_capacities, self, self.zone_health
        )
        self.zone_shares: dict[str, float] = {}
        self.failures_in_a_row: Counter[str] = Counter()
        self.ejected: dict[str, Ejection] = {}  # by zone
        self.next_write_at = -inf

    def set_zone_shares(self, shares: Mapping[str, float], returning: Iterable[str]) -> None:
        """Take over the shares, and lift ejections of zones that come back."""
        self.zone_shares = dict(shares)
        for zone in returning:
            self.ejected.pop(zone, None)
            self.failures_in_a_row[zone] = 0

    def log_event(self, event: str, **fields: object) -> None:
        """Nothing is logged."""

    def select_zone(self, excluded: str = "") -> str:
        """A zone for an attempt; empty: there is none."""
        rng = self.world.rng
        unusable = {zone for zone, share in self.zone_shares.items() if rng.random() >= share} | {excluded}
        unusable |= {zone for zone, one in self.ejected.items() if self.world.now < one.until}
        usable = [zone for zone in ZONES if zone not in unusable]
        if not usable:
            return ""
        if self.zone in usable and rng.random() < LOCAL_FRACTION:
            return self.zone
        return rng.choice(usable)

    def attempt_ended(self, zone: str, answered: bool) -> None:
        """Eject a zone after failures in a row, each time for longer."""
        if answered:
            self.failures_in_a_row[zone] = 0
            self.ejected.pop(zone, None)
            return
        self.failures_in_a_row[zone] += 1
        if self.failures_in_a_row[zone] >= FAILURES_BEFORE_EJECTION:
            before = self.ejected[zone].duration if zone in self.ejected else FIRST_EJECTION / 2
            duration = min(2 * before, MAX_EJECTION)
            until = self.world.now + duration * self.world.rng.uniform(0.5, 1.5)
            self.ejected[zone] = Ejection(until, duration)
