"""Timetables of faults, drawn from a seed and injected into a cluster."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .rig import Cluster, Sidecar

# The kinds of faults with the weights by which they are drawn.
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
    """One fault. `sidecars`: the numbers of the two sidecars that it may affect; `duration`: seconds."""

    at: float  # seconds from the start of the timetable
    kind: str
    sidecars: tuple[int, ...]
    duration: float


@dataclass(frozen=True)
class ProcessLoss:
    """A killed process, and when it was killed on the loop's clock."""

    name: str
    at: float


@dataclass(frozen=True)
class FaultProfile:
    """The faults that are drawn, and how often. Times are seconds."""

    weights: dict[str, float]  # by kind
    interval: float  # mean, between two faults
    max_duration: float


def draw_faults(seed: int, count: int, profile: FaultProfile, sidecars: int) -> list[Fault]:
    """Draw `count` faults of a profile for a cluster with that many sidecars."""
    rng = random.Random(f"{seed}-timetable")
    faults = []
    for number in range(count):
        kind = rng.choices([*profile.weights], [*profile.weights.values()])[0]
        affected = tuple(rng.sample(range(sidecars), 2))
        at = profile.interval * (number + 0.5 + 0.4 * (rng.random() - 0.5))
        faults.append(Fault(at, kind, affected, rng.uniform(MIN_DURATION, profile.max_duration)))
    return faults


class FaultInjector:
    """Injects the faults of a timetable; all of them have ended when `inject` returns."""

    def __init__(self, cluster: Cluster) -> None:
        """Create an injector for one cluster."""
        self.cluster = cluster
        self.losses: list[ProcessLoss] = []
        self.unavailable: set[str] = set()  # names of sidecars that are killed or paused at present

    async def inject(self, faults: list[Fault]) -> None:
        """Start each fault at its time and wait until all have ended."""
        start = asyncio.get_running_loop().time()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, start + fault.at - asyncio.get_running_loop().time()))
            tasks.append(asyncio.create_task(self.inject_fault(fault)))
        await asyncio.gather(*tasks)

    async def inject_fault(self, fault: Fault) -> None:
        """Inject one fault and wait until it has ended."""
        sidecar, peer = (self.cluster.sidecars[i] for i in fault.sidecars)
        actions: dict[str, Callable[[Sidecar, Sidecar, float], Awaitable[None]]] = {
            "loss": self._kill,
            "stop": self._pause,
            "cut": self._partition,
            "one_way": self._partition_one_way,
            "delay": self._delay_links,
            "reset": self._reset_links,
        }
        if fault.kind in actions:
            await actions[fault.kind](sidecar, peer, fault.duration)
        else:
            await self._inject_store_fault(fault.kind, sidecar, fault.duration)

    async def _kill(self, sidecar: Sidecar, peer: Sidecar, duration: float) -> None:
        if sidecar.name in self.unavailable:
            return
        self.unavailable.add(sidecar.name)
        self.losses.append(ProcessLoss(sidecar.name, asyncio.get_running_loop().time()))
        sidecar.kill()
        self.cluster.clients.avoided.add(sidecar.name)
        await asyncio.sleep(duration / 2)
        sidecar.start()
        await sidecar.wait_until_ready()
        self.cluster.clients.avoided.discard(sidecar.name)
        self.unavailable.discard(sidecar.name)

    async def _pause(self, sidecar: Sidecar, peer: Sidecar, duration: float) -> None:
        if sidecar.name in self.unavailable:
            return
        self.unavailable.add(sidecar.name)
        sidecar.signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        sidecar.signal(signal.SIGCONT)
        self.unavailable.discard(sidecar.name)

    async def _partition(self, sidecar: Sidecar, peer: Sidecar, duration: float) -> None:
        directions = self.cluster.link_between(sidecar, peer)
        for direction in directions:
            direction.blocked = True
        await asyncio.sleep(duration)
        for direction in directions:
            direction.blocked = False

    async def _partition_one_way(self, sidecar: Sidecar, peer: Sidecar, duration: float) -> None:
        direction, _ = self.cluster.link_between(sidecar, peer)
        direction.blocked = True
        await asyncio.sleep(duration)
        direction.blocked = False

    async def _delay_links(self, sidecar: Sidecar, peer: Sidecar, duration: float) -> None:
        directions = self.cluster.link_between(sidecar, peer)
        for direction in directions:
            direction.delay, direction.loss = LINK_DELAY, LINK_LOSS
        await asyncio.sleep(duration)
        for direction in directions:
            direction.delay = direction.loss = 0.0

    async def _reset_links(self, sidecar: Sidecar, peer: Sidecar, duration: float) -> None:
        sidecar.peer_relay.reset(peer.host)
        peer.peer_relay.reset(sidecar.host)

    async def _inject_store_fault(self, kind: str, sidecar: Sidecar, duration: float) -> None:
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
            for key in [k for k in store.entries if f"/{sidecar.name}.".encode() in k]:
                store.expire_lease_of(key.decode())
