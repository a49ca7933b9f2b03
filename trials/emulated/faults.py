"""Seeded faults in an emulated fleet: crashes, pauses, partitions, resets and store outages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from .member import EmulatedMember

if TYPE_CHECKING:
    from .world import World

MIN_DURATION = 0.05  # seconds
MIN_MEMBERS = 2  # crashes and partitions happen only while more members than these are alive
MAX_DURATION_FIELD = "max_duration"  # the only field of `FaultRates` that is not a rate


@dataclass
class FaultRates:
    """Rate of each fault in the whole fleet, per second, and the maximum duration of a fault in seconds."""

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
    """Schedules and injects faults. The method of each fault takes its duration in seconds."""

    def __init__(self, world: World) -> None:
        """Inject faults into `world`."""
        self.world = world

    def schedule(self, rates: FaultRates, start: float, seconds: float) -> None:
        """Schedule faults at random times in the `seconds` after `start`."""
        rng = self.world.rng
        for fault in fields(rates):
            if fault.name == MAX_DURATION_FIELD:
                continue
            expected = getattr(rates, fault.name) * seconds
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                at = start + rng.uniform(0, seconds)
                duration = rng.uniform(MIN_DURATION, rates.max_duration)
                self._schedule_fault(at, getattr(self, fault.name), duration)

    def _schedule_fault(self, at: float, fault: Callable[[float], None], duration: float) -> None:
        self.world.events.schedule(at, lambda: fault(duration))

    def _pick_pair(self) -> list[EmulatedMember]:
        alive = self.world.live_members()
        return self.world.rng.sample(alive, 2) if len(alive) > MIN_MEMBERS else []

    def crash(self, duration: float) -> None:
        """End a random process, and start it again after `duration`."""
        alive = self.world.live_members()
        if len(alive) > MIN_MEMBERS:
            self.world.crash(self.world.rng.choice(alive), restart_after=duration)

    def pause(self, duration: float) -> None:
        """Stop a random process, and resume it after `duration`."""
        if alive := self.world.live_members():
            member = self.world.rng.choice(alive)
            member.paused_until = self.world.now + duration
            self.world.events.schedule(member.paused_until, member.resume)

    def partition(self, duration: float) -> None:
        """Partition two random members from each other."""
        if pair := self._pick_pair():
            for one, other in (pair, pair[::-1]):
                self.world.network.partitioned_until[one.name, other.name] = self.world.now + duration

    def one_way_partition(self, duration: float) -> None:
        """Drop everything that one random member sends to another, but not the reverse."""
        if pair := self._pick_pair():
            self.world.network.partitioned_until[pair[0].name, pair[1].name] = self.world.now + duration

    def reset(self, duration: float) -> None:
        """Close a random link of a random member."""
        members = [member for member in self.world.live_members() if member.links and not member.is_paused]
        if members:
            member = self.world.rng.choice(members)
            self.world.network.close(self.world.rng.choice(list(member.links.values())), member)

    def store_outage(self, duration: float) -> None:
        """Make the coordination store unreachable for all members."""
        self.world.store.down_until = self.world.now + duration
