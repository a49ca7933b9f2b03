"""A zone fails and comes back: what is sent there, what is lost, who leaves and how fast they return.

Counted where work arrives and at the clients. Each case says what happens to which upstreams and links, and
whether leaving helps: where it does not, nobody is to leave.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from fakes.upstream import Run

from .rig import ROOT, Rig, Sidecar
from .verdict import Verdict

FAILS, LASTS, AFTER = 3.0, 5.0, 12.0  # seconds: before it fails, while it does, and after it is back
RATE = 220.0
MIX = {"look": 2.0, "move": 1.0, "buy": 1.0}
FOLLOWED = 0.5  # seconds after the plan's decision after which nothing but trials goes there
TRIALS = 0.12  # part of what it got before that may go there as trials
REGIONS = {"north": "up", "east": "up", "south": "down"}
GONE = "south"
Act = Callable[[Rig, bool], Awaitable[None]]


def _mode(*zones: str, mode: str, part: int = 1) -> Act:
    """Every `part`th upstream of those zones is in that mode."""

    async def act(rig: Rig, on: bool) -> None:
        for number, upstream in enumerate(u for u in rig.upstreams if u.zone in zones):
            if number % part == 0:
                upstream.mode = mode if on else "ok"

    return act


async def _refuse(rig: Rig, on: bool) -> None:
    for upstream in (u for u in rig.upstreams if u.zone == GONE):
        await (upstream.server.stop() if on else upstream.server.begin())


async def _slow(rig: Rig, on: bool) -> None:
    for upstream in (u for u in rig.upstreams if u.zone == GONE):
        upstream.slower = 10.0 if on else 1.0


async def _cut(rig: Rig, on: bool) -> None:
    """Between the sidecars of one other zone and it."""
    for sidecar in (s for s in rig.sidecars if s.zone == "north"):
        for upstream, relay in zip(rig.upstreams, sidecar.relays, strict=True):
            if upstream.zone == GONE:
                for way in relay.link():
                    way.cut = on


async def _arbiter(rig: Rig, on: bool) -> None:
    """Its sidecars from the arbiter."""
    for sidecar in (s for s in rig.sidecars if s.zone == GONE):
        for way in sidecar.to_arbiter.link():
            way.cut = on


async def _flap(rig: Rig, on: bool) -> None:
    for upstream in (u for u in rig.upstreams if u.zone == GONE):
        upstream.mode = "hang" if on and int(asyncio.get_running_loop().time() - rig.start) % 4 < 2 else "ok"


async def _cold(rig: Rig, on: bool) -> None:
    """It vanishes, and its upstreams come back cold."""
    await _refuse(rig, on)
    if not on:
        for upstream in (u for u in rig.upstreams if u.zone == GONE):
            upstream.cold_since = asyncio.get_running_loop().time()
            rig.listed[upstream.name] = {"startedMs": round(rig.wall(upstream.cold_since) * 1000)}


CASES: dict[str, tuple[Act, bool, tuple[str, ...]]] = {
    # what happens, whether leaving helps, which zones fail
    "hang": (_mode(GONE, mode="hang"), True, (GONE,)),
    "refuse": (_refuse, True, (GONE,)),
    "errors": (_mode(GONE, mode="error"), True, (GONE,)),
    "slow": (_slow, True, (GONE,)),
    "third": (_mode(GONE, mode="lose", part=3), True, (GONE,)),
    "half": (_mode(GONE, mode="hang", part=2), True, (GONE,)),
    "two": (_mode("north", "east", mode="hang"), True, ("north", "east")),
    "all": (_mode("north", "east", "south", mode="hang"), False, ("north", "east", "south")),
    "release": (_mode("north", "east", "south", mode="error", part=2), False, ("north", "east", "south")),
    "full": (_mode(GONE, mode="refuse", part=2), False, (GONE,)),
    "cut": (_cut, False, ()),
    "arbiter": (_arbiter, False, ()),
    "flap": (_flap, True, (GONE,)),
    "cold": (_cold, True, (GONE,)),
}


class ZoneRig(Rig):
    """With a plan for zones, unless told otherwise."""

    planned = True

    def further(self, sidecar: Sidecar) -> dict[str, object]:
        told = super().further(sidecar)
        if self.fleet and self.planned:
            told["fleet"]["zones"] = {"regions": REGIONS}
        return told


async def play(
    seed: int,
    sidecars: int = 9,
    root: Path = ROOT,
    fleet: bool = True,
    case: str = "hang",
    after: float = AFTER,
) -> Verdict:
    """`fleet` False: the same without a plan, each alone."""
    act, helps, zones = CASES[case]
    rig = ZoneRig(seed, sidecars, root=root, lease=1)
    rig.planned = fleet
    async with rig:
        loop = asyncio.get_running_loop()
        start = loop.time()
        sending = asyncio.create_task(rig.clients.send(RATE, FAILS + LASTS + after, MIX, named=False))
        await asyncio.sleep(FAILS)
        failed = loop.time()
        await act(rig, True)
        if case == "flap":
            while loop.time() < failed + LASTS:
                await act(rig, True)
                await asyncio.sleep(0.05)
        await asyncio.sleep(max(0.0, failed + LASTS - loop.time()))
        back = loop.time()
        await act(rig, False)
        await sending
        await rig.clients.rest(rig.clients.waits + 1)
        verdict = Verdict()
        _tell(verdict, rig, zones, start, failed, back, after)
        if fleet:
            _judge(verdict, rig, helps, zones, failed, back)
        if defects := rig.defects():
            verdict.broken.append(f"a defect: {defects[0]}")
        return verdict


def _sent(rig: Rig, zones: tuple[str, ...], begin: float, end: float) -> list[Run]:
    names = {u.name for u in rig.upstreams if u.zone in zones}
    return [run for run in rig.runs if run.upstream in names and begin <= run.at < end]


def _tell(
    verdict: Verdict,
    rig: Rig,
    zones: tuple[str, ...],
    start: float,
    failed: float,
    back: float,
    after: float,
) -> None:
    works = rig.clients.done
    meanwhile = [w for w in works if failed <= w.at < back]
    firsts = Counter(w.tries[0].end for w in meanwhile if w.tries)
    usual = len(_sent(rig, zones, failed - 2.0, failed)) / max(1, len(_sent_all(rig, failed - 2.0, failed)))
    shares = []
    for second in range(int(after)):
        at = back + second
        all_ = len(_sent_all(rig, at, at + 1.0))
        shares.append(round(len(_sent(rig, zones, at, at + 1.0)) / max(1, all_) / max(usual, 1e-9), 2))
    verdict.counts |= {
        "work": len(works), "finished": sum(w.finished for w in works), "while it failed": len(meanwhile),
        "finished of these": sum(w.finished for w in meanwhile),
        "first answers": dict(sorted(firsts.items())),
        "sent there meanwhile": len(_sent(rig, zones, failed, back)),
        "by second": [len(_sent(rig, zones, failed + i, failed + i + 1)) for i in range(int(back - failed))],
        "usual share": round(usual, 2), "of that after its return": shares,
    }  # fmt: skip


def _sent_all(rig: Rig, begin: float, end: float) -> list[Run]:
    return [run for run in rig.runs if begin <= run.at < end]


def plans(rig: Rig) -> list[tuple[float, dict[str, dict[str, object]]]]:
    """Each plan, and when it was decided, as the arbiter has it."""
    return [
        (at, json.loads(value)["zones"])
        for at, key, value in rig.arbiter.written
        if key == "/trial/zones/plan"
    ]


def _judge(
    verdict: Verdict, rig: Rig, helps: bool, zones: tuple[str, ...], failed: float, back: float
) -> None:
    told = plans(rig)
    leaves = [(at, {z for z, one in plan.items() if one["state"] == "left"}) for at, plan in told]
    left = next((at for at, names in leaves if names and at >= failed), None)
    whole = next((at for at, plan in told if at > back and not plan), None)
    verdict.counts["left after ms"] = round((left - failed) * 1000) if left else None
    verdict.counts["whole after s"] = round(whole - back, 1) if whole else None
    verdict.counts["plans"] = len(told)
    for _, names in leaves:
        if not helps and names:
            verdict.broken.append(f"left where it does not help: {names}")
        elif names - set(zones):
            verdict.broken.append(f"left one that works: {names}")
    if left is not None and left < back:
        usual = len(_sent(rig, zones, failed - 2.0, failed)) / 2.0
        first = next((one for at, plan in told if at == left for one in plan.values()), {})
        allowed = TRIALS * usual * (back - left - FOLLOWED) + 4
        late = _sent(rig, zones, left + FOLLOWED, back)
        verdict.counts["after it was followed"] = len(late)
        if float(first.get("share", 0)) <= TRIALS / 2 and len(late) > allowed and back - left > FOLLOWED:
            verdict.broken.append(
                f"{len(late)} sent there after the plan was to be followed, {allowed:.0f} may"
            )


def case(name: str) -> Callable[..., Awaitable[Verdict]]:
    async def played(seed: int, sidecars: int = 9, root: Path = ROOT, fleet: bool = True) -> Verdict:
        return await play(seed, sidecars, root, fleet, name)

    return played


TRIALS_OF_ZONES = {f"zone-{name}": case(name) for name in CASES}
