"""The program's event loop with a meter for each member: CPU time of its turns and socket traffic."""

from __future__ import annotations

import time
from collections.abc import Callable

from starlingwheel.net.actor import Actor
from starlingwheel.net.fleet.etcd import EtcdSession
from starlingwheel.net.fleet.links import LinkManager
from starlingwheel.net.loop import Loop

from .counts import Sample, Traffic, socket_traffic

NANOSECONDS = 1e9  # in a second


class Meter:
    """Counts of one member.

    `turn_ns`: CPU time of its actors' turns, including their system calls. The loop's own time (polling
    sockets, queues, timers) is not included, since all members on the loop share it.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.turn_ns = 0
        self.sockets: dict[int, bool] = {}  # descriptors, and whether each is connected to the store
        self.ended_links = Traffic()
        self.ended_store_calls = Traffic()

    def sample(self) -> Sample:
        """Return the current counts."""
        sample = Sample(sockets=len(self.sockets), cpu_s=self.turn_ns / NANOSECONDS)
        sample.links.add(self.ended_links)
        sample.store.add(self.ended_store_calls)
        for descriptor, to_store in self.sockets.items():
            if (traffic := socket_traffic(descriptor)) is not None:
                (sample.store if to_store else sample.links).add(traffic)
        return sample


class MeteredLoop(Loop):
    """An event loop that counts turns and sockets in the meters of their actors."""

    def __init__(self, on_defect: Callable[[Actor, Exception], None]) -> None:
        """`on_defect`: as for `Loop`."""
        super().__init__(on_defect)
        self.shared_meter = Meter()  # of actors that belong to no member
        self.nested_ns = 0  # time of turns that ran inside the current one

    def meter_of(self, actor: Actor) -> Meter:
        """Return the meter of an actor. A link has the meter of its manager."""
        meter = actor.__dict__.get("meter")
        if meter is None:
            manager = getattr(actor, "manager", None)
            owner = manager if isinstance(manager, LinkManager) else actor
            meter = actor.meter = owner.__dict__.get("meter") or self.shared_meter
        return meter

    def register(self, fd: int, actor: Actor, mask: int) -> None:
        """Watch a socket, and count its traffic."""
        super().register(fd, actor, mask)
        self.meter_of(actor).sockets[fd] = isinstance(actor, EtcdSession)

    def unregister(self, fd: int) -> None:
        """Stop watching a socket, and add its final counts."""
        if (actor := self.actors_by_descriptor.get(fd)) is not None:
            meter = self.meter_of(actor)
            to_store = meter.sockets.pop(fd, False)
            if (last := socket_traffic(fd)) is not None:
                (meter.ended_store_calls if to_store else meter.ended_links).add(last)
        super().unregister(fd)

    def _resume(self, actor: Actor, message: object) -> None:
        before, self.nested_ns = self.nested_ns, 0
        started_at = time.thread_time_ns()
        try:
            super()._resume(actor, message)
        finally:
            took = time.thread_time_ns() - started_at
            # An actor may begin another one in its turn. The time of that turn counts for the other actor.
            self.meter_of(actor).turn_ns += took - self.nested_ns
            self.nested_ns = before + took
