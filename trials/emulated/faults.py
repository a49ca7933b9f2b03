"""What goes wrong in an emulated fleet: seeded crashes, pauses, partitions, resets and outages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from .member import EmulatedMember

if TYPE_CHECKING:
    from .world import World

MIN_DURATION = 0.05  # seconds
MIN_MEMBERS = 2  # that are left alive
MAX_DURATION_FIELD = "max_duration"  # of `FaultRates`: the only one that is no rate


@dataclass
class FaultRates:
    """How often a second each fault occurs in the fleet; and how long one lasts at most, seconds."""

    crash: float = 0.5
    pause: float = 0.5
    partition: float = 0.5
    one_way_partition: float = 0.3
    reset: float = 0.5
    store_outage: float = 0.1
    max_duration: float = 1.5


HARSH_FAULTS = FaultRates(
    crash=2.0, pause=1.5, partition=1.0, one_way_partition=1.0, reset=2.0, store_outage=0.1, max_duration=3.0
)


class FaultInjector:
    """Schedules faults and makes them happen. Each takes its duration in seconds."""

    def __init__(self, world: World) -> None:
        """`world`: where they happen."""
        self.world = world

    def schedule(self, rates: FaultRates, start: float, seconds: float) -> None:
        """Schedule faults at drawn moments of that time."""
        rng = self.world.rng
        for fault in fields(rates):
            if fault.name == MAX_DURATION_FIELD:
                continue
            expected = getattr(rates, fault.name) * seconds
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                at = start + rng.uniform(0, seconds)
                duration = rng.uniform(MIN_DURATION, rates.max_duration)
                self._schedule_one(at, getattr(self, fault.name), duration)

    def _schedule_one(self, at: float, fault: Callable[[float], None], duration: float) -> None:
        self.world.events.at(at, lambda: fault(duration))

    def _pair(self) -> list[EmulatedMember]:
        alive = self.world.live_members()
        return self.world.rng.sample(alive, 2) if len(alive) > MIN_MEMBERS else []

    def crash(self, duration: float) -> None:
        """A process ends and is started again."""
        alive = self.world.live_members()
        if len(alive) > MIN_MEMBERS:
            self.world.crash(self.world.rng.choice(alive), restart_after=duration)

    def pause(self, duration: float) -> None:
        """A process is stopped and resumed."""
        if alive := self.world.live_members():
            member = self.world.rng.choice(alive)
            member.paused_until = self.world.now + duration
            self.world.events.at(member.paused_until, member.resume)

    def partition(self, duration: float) -> None:
        """Nothing passes between two members."""
        if pair := self._pair():
            for one, other in (pair, pair[::-1]):
                self.world.network.partitioned_until[one.name, other.name] = self.world.now + duration

    def one_way_partition(self, duration: float) -> None:
        """Nothing passes from one member to another."""
        if pair := self._pair():
            self.world.network.partitioned_until[pair[0].name, pair[1].name] = self.world.now + duration

    def reset(self, duration: float) -> None:
        """A link ends."""
        members = [member for member in self.world.live_members() if member.links and not member.is_paused]
        if members:
            member = self.world.rng.choice(members)
            self.world.network.close(self.world.rng.choice(list(member.links.values())), member)

    def store_outage(self, duration: float) -> None:
        """The coordination store is unreachable."""
        self.world.store.down_until = self.world.now + duration
