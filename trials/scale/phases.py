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

SETTLE_TIME = 3.0  # seconds without link changes before a phase; a request keeps a link active for two
LOST_DIVISOR = 11  # one in eleven members is lost at once
POLICY_TIMEOUT_LEASES = 5  # leases within which a policy must be in force
Json = dict[str, Any]
Measure = Callable[[str], AbstractAsyncContextManager[Json]]


class Phases:
    """The phases of one fleet. Each is a coroutine without arguments and listed in `PHASES`."""

    def __init__(self, fleet: ScaleFleet, rng: random.Random, measure: Measure) -> None:
        """`measure(name)`: a context that outputs the figures of its duration and the details in its dict."""
        self.fleet = fleet
        self.options = fleet.options
        self.layout = fleet.layout
        self.rng = rng
        self.measure = measure

    async def rest(self) -> None:
        """Measure the idle fleet."""
        async with self.measure("rest") as details:
            details |= self.fleet.start_figures
            await asyncio.sleep(self.options.seconds)

    async def work(self) -> None:
        """Measure while clients send requests to each hollow member."""
        rate = self.options.requests_per_second
        await self.fleet.command_all("work", rate=rate)
        await asyncio.sleep(SETTLE_TIME)
        async with self.measure("work") as details:
            details["rate"] = rate
            await asyncio.sleep(self.options.seconds)
        await self.fleet.command_all("work", rate=0.0)

    async def restart(self) -> None:
        """Kill and restart one hollow member at a time, at regular intervals."""
        async with self.measure("restart") as details:
            until = time.monotonic() + max(self.options.seconds, self.options.restart_interval)
            restarts = 0
            while time.monotonic() < until:
                names = [self.rng.choice(self.fleet.shared_names)]
                await self.fleet.command_members(names, "kill")
                await self.fleet.command_members(names, "start")
                restarts += 1
                await asyncio.sleep(self.options.restart_interval)
            details |= {"restarts": restarts, "every_s": self.options.restart_interval}

    async def lost(self) -> None:
        """Kill an eleventh of the fleet at once, hollow members only; restart them once all have noticed."""
        count = max(1, self.layout.size // LOST_DIVISOR)
        names = self.rng.sample(self.fleet.shared_names, count)
        remaining = self.layout.hollow - count
        async with self.measure("lost") as details:
            await self.fleet.command_members(names, "kill")
            took = await self.fleet.wait_for(
                lambda: self.fleet.ready(self.layout.size - count, remaining), "the loss is not seen by all"
            )
            details |= {"lost": count, "seen_by_all_s": round(took, 3)}
            await asyncio.sleep(max(0.0, self.options.seconds - took))
        async with self.measure("back") as details:
            await self.fleet.command_members(names, "start")
            took = await self.fleet.wait_for(lambda: self.fleet.ready(self.layout.size), "not all are back")
            details |= {"came": count, "all_ready_s": round(took, 3)}

    async def policy(self) -> None:
        """Propose a policy at a real member, and wait until it is in force on all hollow members."""
        assert self.fleet.real is not None
        sidecar = self.fleet.real.sidecars[0]
        async with self.measure("policy") as details:
            proposal = {"policy": policy_body(f"s{self.options.seed}")}
            status, answer = await sidecar.admin_call("PUT", "/_policy/propose", proposal)
            proposed_at = time.monotonic()
            in_force = status == 200 and await self._policy_in_force(str(answer.get("version")), proposed_at)
            how = "in force" if in_force else "not in force"
            details |= {"status": status, "how": how, "took_s": round(time.monotonic() - proposed_at, 3)}
            if status == 200:
                past = (await sidecar.admin_call("GET", "/_policy"))[1]["past"]
                details["past"] = [
                    {key: change[key] for key in ("how", "why", "version")} for change in past[-1:]
                ]
            else:
                details["past"] = answer
            await asyncio.sleep(max(0.0, proposed_at + self.options.seconds - time.monotonic()))

    async def _policy_in_force(self, version: str, proposed_at: float) -> bool:
        """Return whether that version is active on all hollow members within POLICY_TIMEOUT_LEASES."""
        deadline = proposed_at + POLICY_TIMEOUT_LEASES * self.options.lease
        while time.monotonic() < deadline:
            states = await self.fleet.command_all("state")
            if all(set(state["versions"]) == {version} for state in states):
                return True
            await asyncio.sleep(POLL_INTERVAL)
        return False

    async def cut(self) -> None:
        """Partition the network between a third of the members, all of them hollow, and the others.

        The hollow members themselves end the links between the sides and reject new ones. The store stays
        reachable, so that the view does not change.
        """
        sides = dict.fromkeys(self.rng.sample(self.fleet.shared_names, self.layout.size // 3), 1)
        async with self.measure("cut") as details:
            details["third"] = len(sides)
            await self.fleet.command_all("cut", side=sides)
            await asyncio.sleep(self.options.seconds)
        async with self.measure("heal") as details:
            await self.fleet.command_all("cut", side={})
            details["all_ready_s"] = await self._ready_again("not all are linked again")

    async def store_unavailable(self) -> None:
        """Take the store down and up again. Its leases run on meanwhile and expire once it is back."""
        async with self.measure("arbiter-gone"):
            await self.fleet.store.send_command("down")
            await asyncio.sleep(self.options.seconds)
        async with self.measure("arbiter-back") as details:
            await self.fleet.store.send_command("up")
            details["all_ready_s"] = await self._ready_again("not all are in the view again")

    async def _ready_again(self, failure: str) -> float:
        took = await self.fleet.wait_for(lambda: self.fleet.ready(self.layout.size), failure)
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
