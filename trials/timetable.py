"""Timetables of faults, drawn from a seed, and played on a rig."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .rig import Cluster, Sidecar

# Kinds of faults with their weights: losses of processes, faults of links and of the coordination store.
PROCESS_FAULTS = {"loss": 3.0, "stop": 1.0}
LINK_FAULTS = {"cut": 1.0, "one_way": 1.0, "delay": 1.0, "reset": 1.0}
STORE_FAULTS = {
    "arbiter_down": 1.0,
    "arbiter_slow": 1.0,
    "reply_lost": 1.0,
    "watch_cut": 1.0,
    "lease_ended": 1.0,
}
STORE_PATHS = ("/v3/kv/txn", "/v3/lease/grant", "/v3/lease/keepalive")
MIN_DURATION = 0.1  # seconds
LINK_DELAY, LINK_LOSS = 0.05, 0.1  # seconds, and the fraction of writes that get lost
SLOW_STORE_DELAY = 0.3  # seconds


@dataclass(frozen=True)
class Fault:
    """One fault. `sidecars`: the numbers of those it is about; `duration`: seconds."""

    at: float  # seconds from the start of the work
    kind: str
    sidecars: tuple[int, ...]
    duration: float


@dataclass(frozen=True)
class ProcessLoss:
    """A process that was killed, and when, on the loop's clock."""

    name: str
    at: float


@dataclass(frozen=True)
class FaultProfile:
    """Which faults are drawn, and how often. Times are seconds."""

    weights: dict[str, float]  # by kind
    interval: float  # between two faults, on the mean
    max_duration: float


def draw_faults(seed: int, count: int, profile: FaultProfile, sidecars: int) -> list[Fault]:
    """Draw so many faults of a profile, for so many sidecars."""
    rng = random.Random(f"{seed}-timetable")
    faults = []
    for number in range(count):
        kind = rng.choices([*profile.weights], [*profile.weights.values()])[0]
        affected = tuple(rng.sample(range(sidecars), 2))
        at = profile.interval * (number + 0.5 + 0.4 * (rng.random() - 0.5))
        faults.append(Fault(at, kind, affected, rng.uniform(MIN_DURATION, profile.max_duration)))
    return faults


class FaultPlayer:
    """Plays a timetable on a rig; all faults have ended once `play` has."""

    def __init__(self, cluster: Cluster) -> None:
        """Nothing is played yet."""
        self.cluster = cluster
        self.losses: list[ProcessLoss] = []
        self.unavailable: set[str] = set()  # sidecars that are killed or stopped now

    async def play(self, faults: list[Fault]) -> None:
        """Begin each fault at its time, and wait until all have ended."""
        start = asyncio.get_running_loop().time()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, start + fault.at - asyncio.get_running_loop().time()))
            tasks.append(asyncio.create_task(self.play_fault(fault)))
        await asyncio.gather(*tasks)

    async def play_fault(self, fault: Fault) -> None:
        """Play one fault to its end."""
        one, other = (self.cluster.sidecars[i] for i in fault.sidecars)
        actions: dict[str, Callable[[Sidecar, Sidecar, float], Awaitable[None]]] = {
            "loss": self._kill,
            "stop": self._pause,
            "cut": self._partition,
            "one_way": self._partition_one_way,
            "delay": self._delay_links,
            "reset": self._reset_links,
        }
        if fault.kind in actions:
            await actions[fault.kind](one, other, fault.duration)
        else:
            await self._play_store_fault(fault.kind, one, fault.duration)

    async def _kill(self, one: Sidecar, other: Sidecar, duration: float) -> None:
        if one.name in self.unavailable:
            return
        self.unavailable.add(one.name)
        self.losses.append(ProcessLoss(one.name, asyncio.get_running_loop().time()))
        one.kill()
        self.cluster.clients.avoided.add(one.name)
        await asyncio.sleep(duration / 2)
        one.start()
        await one.wait_until_ready()
        self.cluster.clients.avoided.discard(one.name)
        self.unavailable.discard(one.name)

    async def _pause(self, one: Sidecar, other: Sidecar, duration: float) -> None:
        if one.name in self.unavailable:
            return
        self.unavailable.add(one.name)
        one.signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        one.signal(signal.SIGCONT)
        self.unavailable.discard(one.name)

    async def _partition(self, one: Sidecar, other: Sidecar, duration: float) -> None:
        ways = self.cluster.link_between(one, other)
        for way in ways:
            way.blocked = True
        await asyncio.sleep(duration)
        for way in ways:
            way.blocked = False

    async def _partition_one_way(self, one: Sidecar, other: Sidecar, duration: float) -> None:
        way, _ = self.cluster.link_between(one, other)
        way.blocked = True
        await asyncio.sleep(duration)
        way.blocked = False

    async def _delay_links(self, one: Sidecar, other: Sidecar, duration: float) -> None:
        ways = self.cluster.link_between(one, other)
        for way in ways:
            way.delay, way.loss = LINK_DELAY, LINK_LOSS
        await asyncio.sleep(duration)
        for way in ways:
            way.delay = way.loss = 0.0

    async def _reset_links(self, one: Sidecar, other: Sidecar, duration: float) -> None:
        one.peer_relay.reset(other.host)
        other.peer_relay.reset(one.host)

    async def _play_store_fault(self, kind: str, one: Sidecar, duration: float) -> None:
        store = self.cluster.store
        if kind == "arbiter_down":
            await store.take_down()
            await asyncio.sleep(duration)
            await store.start()
        elif kind == "arbiter_slow":
            store.reply_delay = SLOW_STORE_DELAY
            await asyncio.sleep(duration)
            store.reply_delay = 0.0
        elif kind == "reply_lost":
            for path in STORE_PATHS:
                store.lost_replies[path] = 1
        elif kind == "watch_cut":
            store.compact()
            store.abort_watches()
        elif kind == "lease_ended":
            for key in [k for k in store.entries if f"/{one.name}.".encode() in k]:
                store.expire_lease_of(key.decode())
