"""One run: a fleet of a size is started, rests, has things happen to it; what each costs a member."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec

from starlingwheel.fleet.records import Sharding

from ..policy import body
from ..rig import CAPS, CATEGORIES, ROOT, ZONES, cells_of
from . import counts
from .control import Process
from .counts import HEADERS, Sample
from .limits import MEMORY, Plan
from .real import Real

PORT = 7950  # of every hollow member, each on an address of its own
NETS = range(64, 250)  # 127.x: the addresses of one run
LEASE = 3  # seconds, as a sidecar has it unless told
SETTLE = 3.0  # seconds of quiet before a phase is measured: a word about work has its effect for two
LOOK = 0.1
PACE = 1000.0
START = 45.0  # seconds within which all are ready, and more for each pair of members
A_PAIR = 0.0005
TOLD = 3  # defects whose traces are told
PART = 11  # one of so many is lost at once


@dataclass
class Given:
    plan: Plan
    seed: int = 1
    cell_size: int = 0
    seconds: float = 10.0  # of a phase
    rate: float = 1.0  # named work items a second, a member, in the phase `work`
    every: float = 4.0  # seconds between restarts
    lease: int = LEASE
    pace: float = PACE  # links that come up a second at the start
    phases: list[str] = field(default_factory=lambda: ["rest", "restart", "lost"])


class Stuck(Exception):
    """The fleet did not get there: the run's result for that size."""


class Run:
    def __init__(self, given: Given, out: Callable[[dict[str, Any]], None]) -> None:
        self.given, self.out = given, out
        self.plan = given.plan
        self.rng = random.Random(f"scale {given.seed} {given.plan.size}")
        self.arbiter = Process("trials.scale.arbiter")
        self.workers = [Process("trials.scale.worker") for _ in [*self.plan.shared, *[0] * self.plan.alone]]
        self.names: dict[str, Process] = {}
        self.alone: set[str] = set()
        self.base: dict[Process, int] = {}  # memory of a process before its members were there
        self.real: Real | None = None
        self.lock: socket.socket | None = None
        self.commit = checkout()
        self.started: dict[str, Any] = {}
        self.cells = 1
        self.last: dict[str, int] = {}  # what was seen of the hollow ones last

    # Start and end.

    async def begin(self) -> None:
        given, plan = self.given, self.plan
        net, self.lock = addresses()
        address = await self.arbiter.begin()
        part: dict[str, Any] = {
            "name": "scale", "arbiter": ["{host}:{port}".format(**address)], "lease_s": given.lease,
            "cover": {"categories": [c["name"] for c in CATEGORIES]},
        }  # fmt: skip
        if given.cell_size:
            part["cell_size"] = given.cell_size
            # As the arbiter has it of a fleet that has grown to this size: it would double step by step.
            cut = Sharding(cells_of(plan.size, given.cell_size))
            await self.arbiter.ask("put", key="/scale/cells", value=msgspec.json.encode(cut).decode())
        number = 0
        most = int(counts.machine_memory()[0] * MEMORY / plan.processes)
        for worker, count in zip(self.workers, [*plan.shared, *[1] * plan.alone], strict=True):
            members = []
            for _ in range(count):
                number += 1
                name = f"h{number:04}"
                members.append((name, f"127.{net}.{number // 250}.{number % 250 + 2}"))
                self.names[name] = worker
                if worker in self.workers[len(plan.shared) :]:
                    self.alone.add(name)
            settings = {
                "categories": CATEGORIES, "caps": CAPS, "rules": {"mustAskIn": 8_000_000},
                "discovery": "ask", "locality": ZONES[number % len(ZONES)], "replicasOfMe": plan.size,
                "slotNo": number,
            }  # fmt: skip
            told = await worker.begin(
                members=members, port=PORT, settings=settings, fleet=part, seed=given.seed, most=most
            )
            self.base[worker] = told["memory"]
        began = time.monotonic()
        await self._all("enter")
        await self._until(lambda: self._entered(plan.hollow), "not all have entered")
        entered = self._tell("all have entered", began)
        self.real = Real(given.seed, plan.real, part, plan.size, (address["host"], address["port"]))
        await self.real.__aenter__()
        await self._until(lambda: self._entered(plan.size), "not all real ones have entered")
        joined = self._tell("real ones have entered", began)
        await self._all("join")
        await self._until(self._seen, "not all have the same view")
        linking = self._tell("all are in one view", began)
        await self._link()
        await self._until(lambda: self._ready(plan.size), "hollow members are not ready")
        if not await self.real.all_ready(self._patience):
            raise Stuck("real members are not ready")
        linked = self._tell("all are linked", began)
        await self._all("rest")
        self.started = {
            "enter_s": round(entered - began, 3),
            "real_s": round(joined - entered, 3),
            "view_s": round(linking - joined, 3),
            "cells": self.cells,
            "link_s": round(linked - linking, 3),
        }

    async def _link(self) -> None:
        """Links begin one member after another, at a pace, and the highest id first.

        Each calls those of higher ids, which listen by then. Guards against a storm that is none of the
        fleet's rest: a link that comes up is beaten ten times a second for two seconds, and so many at once
        are more than one machine carries for all.
        """
        names = sorted(self.names, reverse=True)
        per_member = self.plan.size if not self.given.cell_size else 2 * self.given.cell_size
        due = time.monotonic()
        for number, name in enumerate(names):
            await self._of([name], "link")
            due += min(number + self.plan.real, per_member) / self.given.pace
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    def _tell(self, what: str, began: float) -> float:
        """How it goes, for whoever waits for a large one."""
        now = time.monotonic()
        print(f"  {self.plan.size}: {what} after {now - began:.1f} s", file=sys.stderr, flush=True)
        return now

    async def end(self) -> None:
        if self.real is not None:
            await self.real.__aexit__()
        for process in (*self.workers, self.arbiter):
            await process.end()
        if self.lock is not None:
            self.lock.close()

    async def _all(self, do: str, **told: Any) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(worker.ask(do, **told) for worker in self.workers)))

    @property
    def _patience(self) -> float:
        return START + A_PAIR * self.plan.size**2

    async def _until(self, what: Callable[[], Awaitable[bool]], why: str) -> float:
        began = time.monotonic()
        while not await what():
            if time.monotonic() > began + self._patience:
                raise Stuck(f"{why} after {self._patience:.0f} s: {self.last}")
            await asyncio.sleep(LOOK)
        return time.monotonic() - began

    async def _entered(self, members: int) -> bool:
        return (await self.arbiter.ask("members"))["members"] == members

    async def _seen(self) -> bool:
        told = await self._all("state")
        cells = {count for one in told for count in one["cells"]}
        self.cells = max(cells, default=1)
        self.last = {"views": len({view for one in told for view in one["views"]}), "cells": self.cells}
        # Links begin in the cells as they will be: none is opened for nothing.
        cut = not self.given.cell_size or min(cells) * self.given.cell_size >= self.plan.size
        return cut and {size for one in told for size in one["sizes"]} == {str(self.plan.size)}

    async def _ready(self, members: int, hollow: int | None = None) -> bool:
        """All hollow ones that are there are ready, under one view."""
        told = await self._all("state")
        views: Counter[str] = Counter()
        for one in told:
            views.update(one["views"])
        there = sum(one["members"] for one in told)
        self.last = {
            "members": there,
            "ready": sum(one["ready"] for one in told),
            "views": len(views),
            "links": sum(one["links"] for one in told),
        }
        if there != (self.plan.hollow if hollow is None else hollow):
            return False
        in_view = (await self.arbiter.ask("members"))["members"] == members
        return in_view and len(views) == 1 and sum(one["ready"] for one in told) == there

    # Measuring.

    async def sample(self) -> dict[str, Any]:
        workers = await self._all("sample")
        arbiter = await self.arbiter.ask("sample")
        real = self.real.samples() if self.real is not None else {}
        return {
            "at": time.monotonic(), "workers": workers, "arbiter": arbiter, "real": real,
            "load": os.getloadavg()[0], "kernel": counts.kernel_memory(),
        }  # fmt: skip

    @asynccontextmanager
    async def phase(self, name: str) -> AsyncIterator[dict[str, Any]]:
        """What is told of it goes out with the figures between its begin and its end."""
        told: dict[str, Any] = {}
        before = await self.sample()
        stuck: Stuck | None = None
        try:
            yield told
        except Stuck as error:
            stuck = error
            told["stuck"] = str(error)
        after = await self.sample()
        for line in self._figures(name, before, after):
            self.out(line | told)
        if stuck is not None:
            raise stuck

    def _figures(self, name: str, before: dict[str, Any], after: dict[str, Any]) -> list[dict[str, Any]]:
        seconds = after["at"] - before["at"]
        given = self.given
        head = {
            "size": self.plan.size, "seed": given.seed, "cell_size": given.cell_size, "phase": name,
            "seconds": round(seconds, 3), "load": after["load"], "commit": self.commit,
        }  # fmt: skip
        lines = []
        shared, alone = Group(), Group()
        counted, frames, reasons = Counter[str](), Counter[str](), Counter[str]()
        ready: list[float] = []
        defects: list[str] = []
        for worker, old, new in zip(self.workers, before["workers"], after["workers"], strict=True):
            names = list(new["members"])
            group = alone if names[0] in self.alone else shared
            group.cpu += new["cpu_s"] - old["cpu_s"]
            group.memory += new["memory"] - self.base[worker]
            group.whole += new["memory"]
            for member in names:
                group.add(_sample(old["members"][member]), _sample(new["members"][member]))
            for total, kind in ((counted, "counts"), (frames, "frames"), (reasons, "reasons")):
                total.update(new[kind])
                total.subtract(old[kind])
            ready += [s for s in new["ready_s"].values() if s]
            defects += new["defects"]
        details = {
            "counts": {k: v for k, v in counted.items() if v},
            "frames_in": {k: v for k, v in frames.items() if v},
            "reasons": {k: v for k, v in reasons.items() if v},
            "defects": defects[:TOLD],
            "latest_s": round(max(one["latest_s"] for one in after["workers"]), 3),
        }
        ready.sort()
        if ready:
            details |= {
                "ready_s_median": round(ready[len(ready) // 2], 3),
                "ready_s_most": round(ready[-1], 3),
            }
        lines.append(head | {"role": "hollow"} | shared.figures(seconds) | details)
        if alone.members:
            lines.append(head | {"role": "alone"} | alone.figures(seconds))
        real = Group()
        for member, new_sample in after["real"].items():
            old_sample = before["real"].get(member)
            if old_sample is not None and new_sample.cpu_s >= old_sample.cpu_s:
                real.add(old_sample, new_sample)
                real.cpu += new_sample.cpu_s - old_sample.cpu_s
                real.memory += new_sample.memory
                real.whole += new_sample.memory
        lines.append(head | {"role": "real"} | real.figures(seconds))
        arbiter = Group()
        old_arbiter, new_arbiter = before["arbiter"], after["arbiter"]
        one, other = _sample(old_arbiter["sample"]), _sample(new_arbiter["sample"])
        arbiter.add(one, other)
        arbiter.cpu, arbiter.memory = other.cpu_s - one.cpu_s, other.memory
        calls = Counter(new_arbiter["calls"])
        calls.subtract(old_arbiter["calls"])
        watch = {
            k: new_arbiter["watch"].get(k, 0) - old_arbiter["watch"].get(k, 0) for k in ("lines", "events")
        }
        told = {
            "calls_s": round(sum(calls.values()) / seconds, 3),
            "calls": {k: v for k, v in calls.items() if v},
            "watch_lines_s": round(watch["lines"] / seconds, 3),
            "watch_events_s": round(watch["events"] / seconds, 3),
            "kernel_mb": round(after["kernel"] / 2**20, 1),
        }
        lines.append(head | {"role": "arbiter"} | arbiter.figures(seconds) | told)
        return lines

    # Phases.

    async def rest(self) -> None:
        async with self.phase("rest") as told:
            told |= self.started
            await asyncio.sleep(self.given.seconds)

    async def work(self) -> None:
        rate = self.given.rate
        await self._all("work", rate=rate)
        await asyncio.sleep(SETTLE)
        async with self.phase("work") as told:
            told["rate"] = rate
            await asyncio.sleep(self.given.seconds)
        await self._all("work", rate=0.0)

    async def restart(self) -> None:
        """One hollow member ends without a word and is started again, over and over."""
        async with self.phase("restart") as told:
            until = time.monotonic() + max(self.given.seconds, self.given.every)
            restarts = 0
            while time.monotonic() < until:
                await self._restarted([self.rng.choice(sorted(set(self.names) - self.alone))])
                restarts += 1
                await asyncio.sleep(self.given.every)
            told |= {"restarts": restarts, "every_s": self.given.every}

    async def _restarted(self, names: list[str]) -> None:
        await self._of(names, "kill")
        await self._of(names, "start")

    async def _of(self, names: list[str], do: str) -> None:
        by: dict[Process, list[str]] = {}
        for name in names:
            by.setdefault(self.names[name], []).append(name)
        await asyncio.gather(*(worker.ask(do, members=members) for worker, members in by.items()))

    async def lost(self) -> None:
        """An eleventh of all ends in one moment; once that is seen by all, they come back."""
        count = max(1, self.plan.size // PART)
        names = self.rng.sample(sorted(set(self.names) - self.alone), count)
        left = self.plan.hollow - count
        async with self.phase("lost") as told:
            await self._of(names, "kill")
            took = await self._until(
                lambda: self._ready(self.plan.size - count, left), "the loss is not seen by all"
            )
            told |= {"lost": count, "seen_by_all_s": round(took, 3)}
            await asyncio.sleep(max(0.0, self.given.seconds - took))
        async with self.phase("back") as told:
            await self._of(names, "start")
            took = await self._until(lambda: self._ready(self.plan.size), "not all are back")
            told |= {"came": count, "all_ready_s": round(took, 3)}

    async def policy(self) -> None:
        """A change is proposed at a real member, and takes hold everywhere or nowhere."""
        assert self.real is not None
        async with self.phase("policy") as told:
            status, answer = await self.real.sidecars[0].told(
                "PUT", "/_policy/propose", {"policy": body(f"s{self.given.seed}")}
            )
            began = time.monotonic()
            version = str(answer.get("version"))
            how, until = "not in force", began + 5 * self.given.lease
            while status == 200 and time.monotonic() < until:
                states = await self._all("state")
                if all(set(state["versions"]) == {version} for state in states):
                    how = "in force"
                    break
                await asyncio.sleep(LOOK)
            told |= {"status": status, "how": how, "took_s": round(time.monotonic() - began, 3)}
            if status == 200:
                past = (await self.real.sidecars[0].told("GET", "/_policy"))[1]["past"]
                told["past"] = [{k: one[k] for k in ("how", "why", "version")} for one in past[-1:]]
            else:
                told["past"] = answer
            await asyncio.sleep(max(0.0, began + self.given.seconds - time.monotonic()))

    async def cut(self) -> None:
        """Two thirds from one third: links between end and are refused in the hollow processes, by greeting.

        The arbiter is in reach of all, and so the view stays.
        """
        names = sorted(set(self.names) - self.alone)
        side = dict.fromkeys(self.rng.sample(names, self.plan.size // 3), 1)
        async with self.phase("cut") as told:
            told["third"] = len(side)
            await self._all("cut", side=side)
            await asyncio.sleep(self.given.seconds)
        async with self.phase("heal") as told:
            await self._all("cut", side={})
            took = await self._until(lambda: self._ready(self.plan.size), "not all are linked again")
            told["all_ready_s"] = round(took, 3)

    async def arbiter_gone(self) -> None:
        """It refuses and resets for that long; its leases run on and end when it is back."""
        async with self.phase("arbiter-gone"):
            await self.arbiter.ask("down")
            await asyncio.sleep(self.given.seconds)
        async with self.phase("arbiter-back") as told:
            await self.arbiter.ask("up")
            took = await self._until(lambda: self._ready(self.plan.size), "not all are in the view again")
            told["all_ready_s"] = round(took, 3)

    async def play(self) -> None:
        for name in self.given.phases:
            await self._calm()
            await PHASES[name](self)

    async def _calm(self) -> None:
        """No link has come up or ended for a while: what did is beaten more often, and is no rest."""
        changes, since, until = -1, 0.0, time.monotonic() + self._patience
        while time.monotonic() < until:
            now = sum(one["changes"] for one in await self._all("state"))
            if now != changes:
                changes, since = now, time.monotonic()
            if time.monotonic() >= since + SETTLE:
                return
            await asyncio.sleep(LOOK)
        raise Stuck(f"links come and go for {self._patience:.0f} s: {self.last}")


PHASES: dict[str, Callable[[Run], Awaitable[None]]] = {
    "rest": Run.rest, "work": Run.work, "restart": Run.restart, "lost": Run.lost, "policy": Run.policy,
    "cut": Run.cut, "arbiter": Run.arbiter_gone,
}  # fmt: skip


class Group:
    """Members of one kind: sums, and what each one has on the mean."""

    def __init__(self) -> None:
        self.traffic = counts.Traffic()
        self.to_arbiter = counts.Traffic()
        self.members = self.sockets = self.memory = self.whole = 0
        self.own = self.cpu = 0.0

    def add(self, before: Sample, after: Sample) -> None:
        told = counts.since(before, after)
        self.members += 1
        self.sockets += told.sockets
        self.own += told.cpu_s
        self.traffic.add(told.links)
        self.to_arbiter.add(told.arbiter)

    def figures(self, seconds: float) -> dict[str, Any]:
        """A member's: bytes, messages and segments a second, parts of a core, MB. Wire: with headers."""
        if not self.members:
            return {"members": 0}
        each = 1 / (self.members * seconds)
        both = counts.Traffic()
        both.add(self.traffic)
        both.add(self.to_arbiter)
        told: dict[str, Any] = {"members": self.members, "sockets": round(self.sockets / self.members, 2)}
        for way, segments in (("out", "segments_out"), ("in", "segments_in")):
            payload = getattr(both, f"bytes_{way}")
            count = getattr(both, segments)
            told |= {
                f"bytes_{way}": round(payload * each, 1),
                f"wire_{way}": round((payload + HEADERS * count) * each, 1),
                f"messages_{way}": round(getattr(both, f"messages_{way}") * each, 2),
                f"segments_{way}": round(count * each, 2),
                f"arbiter_bytes_{way}": round(getattr(self.to_arbiter, f"bytes_{way}") * each, 1),
            }
        return told | {
            "core": round(self.cpu * each, 6),
            "own_core": round(self.own * each, 6),
            "mb": round(self.memory / self.members / 2**20, 3),
        }


def _sample(given: dict[str, Any]) -> Sample:
    return msgspec.convert(given, Sample)


def checkout() -> str:
    """Which program was run; with a plus where files differ from that."""
    told = subprocess.run(
        ["git", "describe", "--always", "--dirty=+", "--exclude=*"], cwd=ROOT, capture_output=True, text=True
    )
    return told.stdout.strip()


def addresses() -> tuple[int, socket.socket]:
    """A part of the loopback's addresses that no other run has; held for as long as the socket is open."""
    for net in random.SystemRandom().sample(list(NETS), len(NETS)):
        sock = socket.socket()
        try:
            sock.bind((f"127.{net}.0.1", PORT))
            sock.listen(1)
            return net, sock
        except OSError:
            sock.close()
    raise RuntimeError("no loopback addresses are free")
