"""What goes wrong with real processes, their store and their links while the policy is changed."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from enum import StrEnum

from .rig import Cluster, Sidecar

COUNTS = (1, 1, 2, 3)  # of faults at a time
TIMES = (-0.6, -0.1, 0.02, 0.1, 0.4, 1.0, 2.0, 2.7, 2.95, 3.1)  # seconds from the proposal
DURATIONS = (0.2, 0.8, 1.5, 3.0, 4.0)  # seconds


class FaultKind(StrEnum):
    """What goes wrong, as a verdict lists it."""

    NONE = "none"
    PAUSE = "pause"  # of a process
    KILL = "kill"
    KILL_TWO = "kill_two"
    STORE_CUT = "store_cut"  # of a sidecar from the store
    STORE_OUTAGE = "store_outage"
    REPLY_LOST = "reply_lost"  # of the store, to a transaction that it applied
    WATCH_COMPACTED = "watch_compacted"
    PARTITION = "partition"  # half of the sidecars are cut off from the others and the store
    PARTITION_AND_OUTAGE = "partition_and_outage"
    ENTRY_LOST = "entry_lost"  # a sidecar's entry in the store
    UNFIT_POLICY = "unfit_policy"  # one that a sidecar can't follow
    DELAY = "delay"
    RESET = "reset"


WEIGHTED_KINDS = (
    FaultKind.NONE,
    *[FaultKind.PAUSE] * 2,
    *[FaultKind.KILL] * 2,
    FaultKind.KILL_TWO,
    *[FaultKind.STORE_CUT] * 2,
    *[FaultKind.STORE_OUTAGE] * 2,
    FaultKind.REPLY_LOST,
    FaultKind.WATCH_COMPACTED,
    FaultKind.PARTITION,
    FaultKind.PARTITION_AND_OUTAGE,
    FaultKind.ENTRY_LOST,
    FaultKind.UNFIT_POLICY,
    FaultKind.DELAY,
    FaultKind.RESET,
)
PARTITIONS = (FaultKind.PARTITION, FaultKind.PARTITION_AND_OUTAGE)


@dataclass(frozen=True)
class PolicyFault:
    """One fault. Times are seconds."""

    kind: FaultKind
    at: float  # from the proposal
    duration: float

    def __str__(self) -> str:
        """As a verdict lists it."""
        return f"{self.kind} {self.at} {self.duration}"


class FaultInjector:
    """Draws faults, and has them happen."""

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        """`rng`: what is drawn, and which sidecars it happens to."""
        self.cluster, self.rng = cluster, rng
        self.unavailable: set[str] = set()  # sidecars that are stopped or killed

    def draw(self) -> list[PolicyFault]:
        """The faults of one change."""
        kinds = [self.rng.choice(WEIGHTED_KINDS) for _ in range(self.rng.choice(COUNTS))]
        return [PolicyFault(kind, self.rng.choice(TIMES), self.rng.choice(DURATIONS)) for kind in kinds]

    async def play(self, fault: PolicyFault, start: float) -> None:
        """Have it happen, and end it. `start`: of the change, on the loop's clock."""
        await asyncio.sleep(max(0.0, start + fault.at - asyncio.get_running_loop().time()))
        sidecars = self._victims(fault.kind)
        match fault.kind:
            case FaultKind.PAUSE | FaultKind.KILL | FaultKind.KILL_TWO:
                self.unavailable |= {sidecar.name for sidecar in sidecars}
                await asyncio.gather(*(self._lose(sidecar, fault) for sidecar in sidecars))
                self.unavailable -= {sidecar.name for sidecar in sidecars}
            case FaultKind.STORE_CUT | FaultKind.PARTITION | FaultKind.PARTITION_AND_OUTAGE:
                await self._cut(fault, sidecars)
            case FaultKind.DELAY:
                await self._delay(sidecars[0], fault.duration)
            case FaultKind.RESET:
                sidecars[0].store_relay.reset()
                sidecars[0].peer_relay.reset()
            case _:
                await self._fail_store(fault, sidecars)

    def _victims(self, kind: FaultKind) -> list[Sidecar]:
        free = [sidecar for sidecar in self.cluster.sidecars if sidecar.name not in self.unavailable]
        sidecars = self.rng.sample(free, min(len(free), 2 if kind == FaultKind.KILL_TWO else 1))
        if kind in PARTITIONS:
            sidecars = self.rng.sample(self.cluster.sidecars, len(self.cluster.sidecars) // 2)
        return sidecars

    async def _fail_store(self, fault: PolicyFault, sidecars: list[Sidecar]) -> None:
        store = self.cluster.store
        match fault.kind:
            case FaultKind.STORE_OUTAGE:
                await store.take_down()
                await asyncio.sleep(fault.duration)
                await store.start()
            case FaultKind.REPLY_LOST:
                store.lost_replies["/v3/kv/txn"] = self.rng.randint(1, 4)
            case FaultKind.WATCH_COMPACTED:
                store.compact()
                store.abort_watches()
            case FaultKind.ENTRY_LOST:
                prefixes = [f"members/{sidecar.name}.".encode() for sidecar in sidecars]
                for key in [key for prefix in prefixes for key in store.entries if prefix in key]:
                    store.expire_lease_of(key.decode())

    async def _lose(self, sidecar: Sidecar, fault: PolicyFault) -> None:
        if fault.kind == FaultKind.PAUSE:
            sidecar.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration)
            sidecar.signal(signal.SIGCONT)
            return
        sidecar.kill()
        await asyncio.sleep(fault.duration)
        sidecar.start()

    async def _cut(self, fault: PolicyFault, sidecars: list[Sidecar]) -> None:
        """Cut sidecars off from the store; in a partition also from the others."""
        ways = [way for sidecar in sidecars for way in sidecar.store_relay.link()]
        if fault.kind in PARTITIONS:
            others = [sidecar for sidecar in self.cluster.sidecars if sidecar not in sidecars]
            ways += [way for s in sidecars for other in others for way in self.cluster.link_between(s, other)]
        if fault.kind == FaultKind.PARTITION_AND_OUTAGE:
            await self.cluster.store.take_down()
        for way in ways:
            way.blocked = True
        await asyncio.sleep(fault.duration)
        for way in ways:
            way.blocked = False
        if fault.kind == FaultKind.PARTITION_AND_OUTAGE:
            await self.cluster.store.start()

    async def _delay(self, sidecar: Sidecar, duration: float) -> None:
        for way in sidecar.store_relay.link():
            way.delay, way.loss = 0.1, 0.2
        await asyncio.sleep(duration)
        for way in sidecar.store_relay.link():
            way.delay = way.loss = 0.0
