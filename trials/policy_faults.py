"""Faults of real processes, their store and their links during a change of the policy."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from enum import StrEnum

from .rig import Cluster, Sidecar

FAULT_COUNTS = (1, 1, 2, 3)  # numbers of faults of one change
FAULT_TIMES = (-0.6, -0.1, 0.02, 0.1, 0.4, 1.0, 2.0, 2.7, 2.95, 3.1)  # seconds from the proposal
FAULT_DURATIONS = (0.2, 0.8, 1.5, 3.0, 4.0)  # seconds


class FaultKind(StrEnum):
    """Kinds of faults, as listed in a trial's result."""

    NONE = "none"
    PAUSE = "pause"  # of a process
    KILL = "kill"
    KILL_TWO = "kill_two"
    STORE_CUT = "store_cut"  # of a sidecar's connection to the store
    STORE_OUTAGE = "store_outage"
    REPLY_LOST = "reply_lost"  # the store's reply to a transaction that it applied
    WATCH_COMPACTED = "watch_compacted"
    PARTITION = "partition"  # of half of the sidecars from the others and the store
    PARTITION_AND_OUTAGE = "partition_and_outage"
    ENTRY_LOST = "entry_lost"  # a sidecar's entry in the store
    UNFIT_POLICY = "unfit_policy"  # one that a sidecar cannot apply
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
    """One fault; times are in seconds."""

    kind: FaultKind
    at: float  # from the proposal
    duration: float

    def __str__(self) -> str:
        """Return the kind, time and duration, as listed in a trial's result."""
        return f"{self.kind} {self.at} {self.duration}"


class PolicyFaultInjector:
    """Draws faults and injects them."""

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        """`rng`: draws the faults and the sidecars that they affect."""
        self.cluster, self.rng = cluster, rng
        self.unavailable: set[str] = set()  # names of sidecars that are paused or killed at present

    def draw(self) -> list[PolicyFault]:
        """Draw the faults of one change."""
        kinds = [self.rng.choice(WEIGHTED_KINDS) for _ in range(self.rng.choice(FAULT_COUNTS))]
        return [
            PolicyFault(kind, self.rng.choice(FAULT_TIMES), self.rng.choice(FAULT_DURATIONS))
            for kind in kinds
        ]

    async def inject(self, fault: PolicyFault, start: float) -> None:
        """Inject the fault at its time and end it. `start`: time of the proposal, on the loop's clock."""
        await asyncio.sleep(max(0.0, start + fault.at - asyncio.get_running_loop().time()))
        sidecars = self._choose_sidecars(fault.kind)
        match fault.kind:
            case FaultKind.PAUSE | FaultKind.KILL | FaultKind.KILL_TWO:
                self.unavailable |= {sidecar.name for sidecar in sidecars}
                await asyncio.gather(*(self._stop_process(sidecar, fault) for sidecar in sidecars))
                self.unavailable -= {sidecar.name for sidecar in sidecars}
            case FaultKind.STORE_CUT | FaultKind.PARTITION | FaultKind.PARTITION_AND_OUTAGE:
                await self._partition(fault, sidecars)
            case FaultKind.DELAY:
                await self._delay(sidecars[0], fault.duration)
            case FaultKind.RESET:
                sidecars[0].store_relay.reset()
                sidecars[0].peer_relay.reset()
            case _:
                await self._inject_store_fault(fault, sidecars)

    def _choose_sidecars(self, kind: FaultKind) -> list[Sidecar]:
        available = [sidecar for sidecar in self.cluster.sidecars if sidecar.name not in self.unavailable]
        sidecars = self.rng.sample(available, min(len(available), 2 if kind == FaultKind.KILL_TWO else 1))
        if kind in PARTITIONS:
            sidecars = self.rng.sample(self.cluster.sidecars, len(self.cluster.sidecars) // 2)
        return sidecars

    async def _inject_store_fault(self, fault: PolicyFault, sidecars: list[Sidecar]) -> None:
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

    async def _stop_process(self, sidecar: Sidecar, fault: PolicyFault) -> None:
        if fault.kind == FaultKind.PAUSE:
            sidecar.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration)
            sidecar.signal(signal.SIGCONT)
            return
        sidecar.kill()
        await asyncio.sleep(fault.duration)
        sidecar.start()

    async def _partition(self, fault: PolicyFault, sidecars: list[Sidecar]) -> None:
        """Cut sidecars off from the store, and in a partition also from the other sidecars."""
        directions = [direction for sidecar in sidecars for direction in sidecar.store_relay.link()]
        if fault.kind in PARTITIONS:
            others = [sidecar for sidecar in self.cluster.sidecars if sidecar not in sidecars]
            directions += [
                direction
                for sidecar in sidecars
                for other in others
                for direction in self.cluster.link_between(sidecar, other)
            ]
        if fault.kind == FaultKind.PARTITION_AND_OUTAGE:
            await self.cluster.store.take_down()
        for direction in directions:
            direction.blocked = True
        await asyncio.sleep(fault.duration)
        for direction in directions:
            direction.blocked = False
        if fault.kind == FaultKind.PARTITION_AND_OUTAGE:
            await self.cluster.store.start()

    async def _delay(self, sidecar: Sidecar, duration: float) -> None:
        for direction in sidecar.store_relay.link():
            direction.delay, direction.loss = 0.1, 0.2
        await asyncio.sleep(duration)
        for direction in sidecar.store_relay.link():
            direction.delay = direction.loss = 0.0
