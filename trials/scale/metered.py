"""The program's loop, with a meter for each member: whose turn took how long, whose socket carried what."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from starlingwheel.net.actor import Actor
from starlingwheel.net.fleet.etcd import EtcdSession
from starlingwheel.net.fleet.links import LinkManager
from starlingwheel.net.loop import Loop

from .counts import Sample, Traffic, traffic


class Meter:
    """Of one member. `own_ns`: processor time inside its actors' turns, system calls of theirs included.

    What is missing there is the loop's: waiting for sockets, queues, timers. It is shared by all on it.
    """

    def __init__(self) -> None:
        self.own_ns = 0
        self.fds: dict[int, bool] = {}  # sockets that are open, and whether each is one to the arbiter
        self.links, self.arbiter = Traffic(), Traffic()  # of sockets that have ended

    def sample(self) -> Sample:
        sample = Sample(sockets=len(self.fds), cpu_s=self.own_ns / 1e9)
        sample.links.add(self.links)
        sample.arbiter.add(self.arbiter)
        for fd, to_arbiter in self.fds.items():
            if (now := traffic(fd)) is not None:
                (sample.arbiter if to_arbiter else sample.links).add(now)
        return sample


class MeteredLoop(Loop):
    def __init__(self, defect: Callable[[Actor, Exception], None]) -> None:
        super().__init__(defect)
        self.nobody = Meter()  # of what belongs to no member
        self.inside_ns = 0

    def _meter(self, actor: Any) -> Meter:
        meter = actor.__dict__.get("meter")
        if meter is None:
            # A link belongs to whom its links do.
            manager = getattr(actor, "manager", None)
            owner = manager if isinstance(manager, LinkManager) else actor
            meter = actor.meter = owner.__dict__.get("meter") or self.nobody
        return meter

    def register(self, fd: int, actor: Actor, mask: int) -> None:
        super().register(fd, actor, mask)
        self._meter(actor).fds[fd] = isinstance(actor, EtcdSession)

    def unregister(self, fd: int) -> None:
        if (actor := self.actors_by_descriptor.get(fd)) is not None:
            meter = self._meter(actor)
            to_arbiter = meter.fds.pop(fd, False)
            if (last := traffic(fd)) is not None:
                (meter.arbiter if to_arbiter else meter.links).add(last)
        super().unregister(fd)

    def _resume(self, actor: Actor, message: object) -> None:
        before, self.inside_ns = self.inside_ns, 0
        began = time.thread_time_ns()
        try:
            super()._resume(actor, message)
        finally:
            took = time.thread_time_ns() - began
            # One actor may begin another in its turn: that one's part is its own.
            self._meter(actor).own_ns += took - self.inside_ns
            self.inside_ns = before + took
