"""Timetables of faults, drawn from a seed, and played on a rig."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .rig import Rig, Sidecar

# Kinds of faults with their weights: losses of processes, faults of links and of the coordination store.
LOSSES = {"loss": 3.0, "stop": 1.0}
LINKS = {"cut": 1.0, "one_way": 1.0, "delay": 1.0, "reset": 1.0}
ARBITER = {"arbiter_down": 1.0, "arbiter_slow": 1.0, "reply_lost": 1.0, "watch_cut": 1.0, "lease_ended": 1.0}
PATHS = ("/v3/kv/txn", "/v3/lease/grant", "/v3/lease/keepalive")


@dataclass(frozen=True)
class Fault:
    """One fault. `sidecars`: the numbers of those it is about; `lasts`: seconds."""

    at: float  # seconds from the start of the work
    kind: str
    sidecars: tuple[int, ...]
    lasts: float


@dataclass(frozen=True)
class Lost:
    """A process that was killed, and when, on the loop's clock."""

    name: str
    at: float


def drawn(
    seed: int, count: int, every: float, kinds: dict[str, float], sidecars: int, longest: float = 1.0
) -> list[Fault]:
    """Draw `count` faults, one `every` so many seconds, by their weights."""
    rng = random.Random(f"{seed}-timetable")
    faults = []
    for number in range(count):
        kind = rng.choices([*kinds], [*kinds.values()])[0]
        who = tuple(rng.sample(range(sidecars), 2))
        at = every * (number + 0.5 + 0.4 * (rng.random() - 0.5))
        faults.append(Fault(at, kind, who, rng.uniform(0.1, longest)))
    return faults


class Player:
    """Plays a timetable on a rig; all faults have ended once `play` has."""

    def __init__(self, rig: Rig) -> None:
        """Nothing is played yet."""
        self.rig = rig
        self.lost: list[Lost] = []
        self.busy: set[str] = set()  # sidecars that are killed or stopped now

    async def play(self, faults: list[Fault]) -> None:
        """Begin each fault at its time, and wait until all have ended."""
        start = asyncio.get_running_loop().time()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, start + fault.at - asyncio.get_running_loop().time()))
            tasks.append(asyncio.create_task(self.fault(fault)))
        await asyncio.gather(*tasks)

    async def fault(self, fault: Fault) -> None:
        """Play one fault to its end."""
        one, other = (self.rig.sidecars[i] for i in fault.sidecars)
        actions: dict[str, Callable[[Sidecar, Sidecar, float], Awaitable[None]]] = {
            "loss": self._loss, "stop": self._stop, "cut": self._cut, "one_way": self._one_way,
            "delay": self._delay, "reset": self._reset,
        }  # fmt: skip
        if fault.kind in actions:
            await actions[fault.kind](one, other, fault.lasts)
        else:
            await self._arbiter(fault.kind, one, fault.lasts)

    async def _loss(self, one: Sidecar, other: Sidecar, lasts: float) -> None:
        if one.name in self.busy:
            return
        self.busy.add(one.name)
        self.lost.append(Lost(one.name, asyncio.get_running_loop().time()))
        one.kill()
        self.rig.clients.avoided.add(one.name)
        await asyncio.sleep(lasts / 2)
        one.start()
        await one.ready()
        self.rig.clients.avoided.discard(one.name)
        self.busy.discard(one.name)

    async def _stop(self, one: Sidecar, other: Sidecar, lasts: float) -> None:
        if one.name in self.busy:
            return
        self.busy.add(one.name)
        one.signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        one.signal(signal.SIGCONT)
        self.busy.discard(one.name)

    async def _cut(self, one: Sidecar, other: Sidecar, lasts: float) -> None:
        ways = self.rig.between(one, other)
        for way in ways:
            way.blocked = True
        await asyncio.sleep(lasts)
        for way in ways:
            way.blocked = False

    async def _one_way(self, one: Sidecar, other: Sidecar, lasts: float) -> None:
        way, _ = self.rig.between(one, other)
        way.blocked = True
        await asyncio.sleep(lasts)
        way.blocked = False

    async def _delay(self, one: Sidecar, other: Sidecar, lasts: float) -> None:
        ways = self.rig.between(one, other)
        for way in ways:
            way.delay, way.loss = 0.05, 0.1
        await asyncio.sleep(lasts)
        for way in ways:
            way.delay = way.loss = 0.0

    async def _reset(self, one: Sidecar, other: Sidecar, lasts: float) -> None:
        one.front.reset(other.host)
        other.front.reset(one.host)

    async def _arbiter(self, kind: str, one: Sidecar, lasts: float) -> None:
        arbiter = self.rig.arbiter
        if kind == "arbiter_down":
            await arbiter.down()
            await asyncio.sleep(lasts)
            await arbiter.begin()
        elif kind == "arbiter_slow":
            arbiter.reply_delay = 0.3
            await asyncio.sleep(lasts)
            arbiter.reply_delay = 0.0
        elif kind == "reply_lost":
            for path in PATHS:
                arbiter.lost_replies[path] = 1
        elif kind == "watch_cut":
            arbiter.compact()
            arbiter.abort_watches()
        elif kind == "lease_ended":
            for key in [k for k in arbiter.entries if f"/{one.name}.".encode() in k]:
                arbiter.expire_lease_of(key.decode())
