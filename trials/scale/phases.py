"""The phases of a run: what happens to the fleet while its cost is measured."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any

from ..policy import policy_body
from .fleet import POLL_INTERVAL, ScaleFleet

SETTLE_TIME = 3.0  # seconds of quiet before a phase is measured: a request keeps a link active for two
LOST_FRACTION = 11  # one of so many members is lost at once
POLICY_TIMEOUT_LEASES = 5  # leases within which a policy is in force
Json = dict[str, Any]
Measure = Callable[[str], AbstractAsyncContextManager[Json]]


class Phases:
    """The phases of one fleet. Each is a coroutine without arguments, named in `PHASES`."""

    def __init__(self, fleet: ScaleFleet, rng: random.Random, measure: Measure) -> None:
        """`measure(name)`: a context that gives out the figures of what happens inside, and what is added."""
        self.fleet = fleet
        self.options = fleet.options
        self.plan = fleet.plan
        self.rng = rng
        self.measure = measure

    async def rest(self) -> None:
        """Nothing happens."""
        async with self.measure("rest") as added:
            added |= self.fleet.start_figures
            await asyncio.sleep(self.options.seconds)

    async def work(self) -> None:
        """Each hollow member has clients."""
        rate = self.options.requests_per_second
        await self.fleet.ask_all("work", rate=rate)
        await asyncio.sleep(SETTLE_TIME)
        async with self.measure("work") as added:
            added["rate"] = rate
            await asyncio.sleep(self.options.seconds)
        await self.fleet.ask_all("work", rate=0.0)

    async def restart(self) -> None:
        """One hollow member is killed and started again, over and over."""
        async with self.measure("restart") as added:
            until = time.monotonic() + max(self.options.seconds, self.options.restart_interval)
            restarts = 0
            while time.monotonic() < until:
                names = [self.rng.choice(self.fleet.shared_names)]
                await self.fleet.ask_members(names, "kill")
                await self.fleet.ask_members(names, "start")
                restarts += 1
                await asyncio.sleep(self.options.restart_interval)
            added |= {"restarts": restarts, "every_s": self.options.restart_interval}

    async def lost(self) -> None:
        """An eleventh of all members is killed at once; once all others see that, they start again."""
        count = max(1, self.plan.size // LOST_FRACTION)
        names = self.rng.sample(self.fleet.shared_names, count)
        remaining = self.plan.hollow - count
        async with self.measure("lost") as added:
            await self.fleet.ask_members(names, "kill")
            took = await self.fleet.wait_for(
                lambda: self.fleet.ready(self.plan.size - count, remaining), "the loss is not seen by all"
            )
            added |= {"lost": count, "seen_by_all_s": round(took, 3)}
            await asyncio.sleep(max(0.0, self.options.seconds - took))
        async with self.measure("back") as added:
            await self.fleet.ask_members(names, "start")
            took = await self.fleet.wait_for(lambda: self.fleet.ready(self.plan.size), "not all are back")
            added |= {"came": count, "all_ready_s": round(took, 3)}

    async def policy(self) -> None:
        """A policy is proposed at a real member, and comes into force everywhere or nowhere."""
        assert self.fleet.real is not None
        sidecar = self.fleet.real.sidecars[0]
        async with self.measure("policy") as added:
            proposal = {"policy": policy_body(f"s{self.options.seed}")}
            status, answer = await sidecar.admin_call("PUT", "/_policy/propose", proposal)
            began = time.monotonic()
            in_force = status == 200 and await self._policy_in_force(str(answer.get("version")), began)
            how = "in force" if in_force else "not in force"
            added |= {"status": status, "how": how, "took_s": round(time.monotonic() - began, 3)}
            if status == 200:
                past = (await sidecar.admin_call("GET", "/_policy"))[1]["past"]
                added["past"] = [{key: one[key] for key in ("how", "why", "version")} for one in past[-1:]]
            else:
                added["past"] = answer
            await asyncio.sleep(max(0.0, began + self.options.seconds - time.monotonic()))

    async def _policy_in_force(self, version: str, began: float) -> bool:
        """Wait until all hollow members follow that version; False after some leases."""
        deadline = began + POLICY_TIMEOUT_LEASES * self.options.lease
        while time.monotonic() < deadline:
            states = await self.fleet.ask_all("state")
            if all(set(state["versions"]) == {version} for state in states):
                return True
            await asyncio.sleep(POLL_INTERVAL)
        return False

    async def cut(self) -> None:
        """The network parts two thirds of the hollow members from one third; the store stays in reach.

        Links between the sides end and are rejected by the hollow members themselves, so the view stays.
        """
        side = dict.fromkeys(self.rng.sample(self.fleet.shared_names, self.plan.size // 3), 1)
        async with self.measure("cut") as added:
            added["third"] = len(side)
            await self.fleet.ask_all("cut", side=side)
            await asyncio.sleep(self.options.seconds)
        async with self.measure("heal") as added:
            await self.fleet.ask_all("cut", side={})
            added["all_ready_s"] = await self._ready_again("not all are linked again")

    async def store_unavailable(self) -> None:
        """The store refuses and resets; its leases run on and end when it is back."""
        async with self.measure("arbiter-gone"):
            await self.fleet.store.ask("down")
            await asyncio.sleep(self.options.seconds)
        async with self.measure("arbiter-back") as added:
            await self.fleet.store.ask("up")
            added["all_ready_s"] = await self._ready_again("not all are in the view again")

    async def _ready_again(self, failure: str) -> float:
        took = await self.fleet.wait_for(lambda: self.fleet.ready(self.plan.size), failure)
        return round(took, 3)


PHASES: dict[str, Callable[[Phases], Awaitable[None]]] = {
    "rest": Phases.rest,
    "work": Phases.work,
    "restart": Phases.restart,
    "lost": Phases.lost,
    "policy": Phases.policy,
    "cut": Phases.cut,
    "arbiter": Phases.store_unavailable,
}
