"""What goes wrong with real processes, their store and their links while the policy is changed."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass

from .rig import Rig, Sidecar

KINDS = (
    "none", "stop", "stop", "kill", "kill", "kill_two", "cut", "cut", "down", "down", "lost", "watch", "half",
    "half_down", "ended", "no", "delay", "reset",
)  # fmt: skip
COUNTS = (1, 1, 2, 3)  # of faults at a time
TIMES = (-0.6, -0.1, 0.02, 0.1, 0.4, 1.0, 2.0, 2.7, 2.95, 3.1)  # seconds from the proposal
DURATIONS = (0.2, 0.8, 1.5, 3.0, 4.0)  # seconds


@dataclass(frozen=True)
class PolicyFault:
    """One fault. Times are seconds."""

    kind: str
    at: float  # from the proposal
    lasts: float

    def __str__(self) -> str:
        """As a verdict lists it."""
        return f"{self.kind} {self.at} {self.lasts}"


class FaultInjector:
    """Draws faults, and has them happen."""

    def __init__(self, rig: Rig, rng: random.Random) -> None:
        """`rng`: what is drawn, and which sidecars it happens to."""
        self.rig, self.rng = rig, rng
        self.lost: set[str] = set()  # sidecars that are stopped or killed

    def draw(self) -> list[PolicyFault]:
        """The faults of one change."""
        kinds = [self.rng.choice(KINDS) for _ in range(self.rng.choice(COUNTS))]
        return [PolicyFault(kind, self.rng.choice(TIMES), self.rng.choice(DURATIONS)) for kind in kinds]

    async def play(self, fault: PolicyFault, start: float) -> None:
        """Have it happen, and end it. `start`: of the change, on the loop's clock."""
        await asyncio.sleep(max(0.0, start + fault.at - asyncio.get_running_loop().time()))
        some = self._victims(fault.kind)
        match fault.kind:
            case "stop" | "kill" | "kill_two":
                self.lost |= {sidecar.name for sidecar in some}
                await asyncio.gather(*(self._lose(sidecar, fault) for sidecar in some))
                self.lost -= {sidecar.name for sidecar in some}
            case "cut" | "half" | "half_down":
                await self._cut(fault, some)
            case "delay":
                await self._delay(some[0], fault.lasts)
            case "reset":
                some[0].to_arbiter.reset()
                some[0].front.reset()
            case _:
                await self._fail_store(fault, some)

    def _victims(self, kind: str) -> list[Sidecar]:
        free = [sidecar for sidecar in self.rig.sidecars if sidecar.name not in self.lost]
        some = self.rng.sample(free, min(len(free), 2 if kind == "kill_two" else 1))
        if kind in ("half", "half_down"):
            some = self.rng.sample(self.rig.sidecars, len(self.rig.sidecars) // 2)
        return some

    async def _fail_store(self, fault: PolicyFault, some: list[Sidecar]) -> None:
        store = self.rig.arbiter
        match fault.kind:
            case "down":
                await store.down()
                await asyncio.sleep(fault.lasts)
                await store.begin()
            case "lost":
                store.lost_replies["/v3/kv/txn"] = self.rng.randint(1, 4)
            case "watch":
                store.compact()
                store.abort_watches()
            case "ended":
                prefixes = [f"members/{sidecar.name}.".encode() for sidecar in some]
                for key in [key for prefix in prefixes for key in store.entries if prefix in key]:
                    store.expire_lease_of(key.decode())

    async def _lose(self, sidecar: Sidecar, fault: PolicyFault) -> None:
        if fault.kind == "stop":
            sidecar.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.lasts)
            sidecar.signal(signal.SIGCONT)
            return
        sidecar.kill()
        await asyncio.sleep(fault.lasts)
        sidecar.start()

    async def _cut(self, fault: PolicyFault, some: list[Sidecar]) -> None:
        """From the store; `half`: also from the others, which keep it; `half_down`: and it is down."""
        ways = [way for sidecar in some for way in sidecar.to_arbiter.link()]
        if fault.kind != "cut":
            others = [sidecar for sidecar in self.rig.sidecars if sidecar not in some]
            ways += [way for s in some for other in others for way in self.rig.between(s, other)]
        if fault.kind == "half_down":
            await self.rig.arbiter.down()
        for way in ways:
            way.blocked = True
        await asyncio.sleep(fault.lasts)
        for way in ways:
            way.blocked = False
        if fault.kind == "half_down":
            await self.rig.arbiter.begin()

    async def _delay(self, sidecar: Sidecar, lasts: float) -> None:
        for way in sidecar.to_arbiter.link():
            way.delay, way.loss = 0.1, 0.2
        await asyncio.sleep(lasts)
        for way in sidecar.to_arbiter.link():
            way.delay = way.loss = 0.0
