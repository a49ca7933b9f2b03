"""A zone fails and comes back: what is sent there, what is lost, who leaves and how fast they return.

Counted where requests arrive and at the clients. Each case says what happens to which upstreams and links,
and whether leaving helps: where it does not, no sidecar is to leave.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from fakes.upstream import Run, Upstream

from .rig import ROOT, Rig, Sidecar
from .verdict import Verdict

FAILS_AFTER, FAILS_FOR, PLAYED_AFTER = 3.0, 5.0, 12.0  # seconds: before, while, and after it fails
RATE = 220.0  # requests a second
MIX = {"look": 2.0, "move": 1.0, "buy": 1.0}
FOLLOWED_AFTER = 0.5  # seconds from a plan until nothing but trials goes to a zone that it leaves
TRIAL_FRACTION = 0.12  # of what the zone got before, that may go there as trials
MIN_SHARE = 1e-9  # against a division by zero
FLAP_STEP = 0.05  # seconds between two looks at whether a zone that flaps fails
REGIONS = {"north": "up", "east": "up", "south": "down"}
FAILING = "south"
Act = Callable[[Rig, bool], Awaitable[None]]  # makes it fail, or ends that


def _mode(*zones: str, mode: str, part: int = 1) -> Act:
    """Every `part`th upstream of those zones is in that mode."""

    async def act(rig: Rig, on: bool) -> None:
        for number, upstream in enumerate(u for u in rig.upstreams if u.zone in zones):
            if number % part == 0:
                upstream.mode = mode if on else "ok"

    return act


def _upstreams(rig: Rig, zone: str) -> list[Upstream]:
    return [upstream for upstream in rig.upstreams if upstream.zone == zone]


async def _refuse(rig: Rig, on: bool) -> None:
    for upstream in _upstreams(rig, FAILING):
        await (upstream.server.stop() if on else upstream.server.begin())


async def _slow(rig: Rig, on: bool) -> None:
    for upstream in _upstreams(rig, FAILING):
        upstream.slowdown = 10.0 if on else 1.0


async def _cut(rig: Rig, on: bool) -> None:
    """Between it and the sidecars of one other zone."""
    for sidecar in (s for s in rig.sidecars if s.zone == "north"):
        for upstream, relay in zip(rig.upstreams, sidecar.relays, strict=True):
            if upstream.zone == FAILING:
                for way in relay.link():
                    way.blocked = on


async def _cut_store(rig: Rig, on: bool) -> None:
    """Between its sidecars and the coordination store."""
    for sidecar in (s for s in rig.sidecars if s.zone == FAILING):
        for way in sidecar.to_arbiter.link():
            way.blocked = on


async def _flap(rig: Rig, on: bool) -> None:
    for upstream in _upstreams(rig, FAILING):
        upstream.mode = "hang" if on and int(asyncio.get_running_loop().time() - rig.start) % 4 < 2 else "ok"


async def _cold(rig: Rig, on: bool) -> None:
    """It vanishes, and its upstreams come back cold."""
    await _refuse(rig, on)
    if not on:
        for upstream in _upstreams(rig, FAILING):
            upstream.process_started_at = asyncio.get_running_loop().time()
            rig.listed[upstream.name] = {"startedMs": round(rig.wall(upstream.process_started_at) * 1000)}


@dataclass(frozen=True)
class Case:
    """What happens, whether leaving helps, and which zones fail."""

    act: Act
    helps: bool
    zones: tuple[str, ...]


CASES = {
    "hang": Case(_mode(FAILING, mode="hang"), True, (FAILING,)),
    "refuse": Case(_refuse, True, (FAILING,)),
    "errors": Case(_mode(FAILING, mode="error"), True, (FAILING,)),
    "slow": Case(_slow, True, (FAILING,)),
    "third": Case(_mode(FAILING, mode="lose", part=3), True, (FAILING,)),
    "half": Case(_mode(FAILING, mode="hang", part=2), True, (FAILING,)),
    "two": Case(_mode("north", "east", mode="hang"), True, ("north", "east")),
    "all": Case(_mode("north", "east", "south", mode="hang"), False, ("north", "east", "south")),
    "release": Case(_mode("north", "east", "south", mode="error", part=2), False, ("north", "east", "south")),
    "full": Case(_mode(FAILING, mode="refuse", part=2), False, (FAILING,)),
    "cut": Case(_cut, False, ()),
    "arbiter": Case(_cut_store, False, ()),
    "flap": Case(_flap, True, (FAILING,)),
    "cold": Case(_cold, True, (FAILING,)),
}


class ZoneRig(Rig):
    """With a plan for zones, unless `planned` is False."""

    planned = True

    def extra_config(self, sidecar: Sidecar) -> dict[str, object]:
        """What the configuration of that sidecar has beside the common keys."""
        configuration = super().extra_config(sidecar)
        if self.fleet and self.planned:
            configuration["fleet"]["zones"] = {"regions": REGIONS}
        return configuration


async def play(
    seed: int,
    sidecars: int = 9,
    root: Path = ROOT,
    fleet: bool = True,
    case: str = "hang",
    after: float = PLAYED_AFTER,
) -> Verdict:
    """Play one case; `fleet` False: without a plan, each sidecar alone. `after`: seconds played after it."""
    played = CASES[case]
    rig = ZoneRig(seed, sidecars, root=root, lease=1)
    rig.planned = fleet
    async with rig:
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(
            rig.clients.send(RATE, FAILS_AFTER + FAILS_FOR + after, MIX, keyed=False)
        )
        await asyncio.sleep(FAILS_AFTER)
        failed = loop.time()
        await played.act(rig, True)
        if case == "flap":
            while loop.time() < failed + FAILS_FOR:
                await played.act(rig, True)
                await asyncio.sleep(FLAP_STEP)
        await asyncio.sleep(max(0.0, failed + FAILS_FOR - loop.time()))
        back = loop.time()
        await played.act(rig, False)
        await sending
        await rig.clients.finish(rig.clients.timeout + 1)
        verdict = Verdict()
        _count(verdict, rig, played.zones, failed, back, after)
        if fleet:
            _judge(verdict, rig, played, failed, back)
        if defects := rig.defects():
            verdict.broken.append(f"a defect: {defects[0]}")
        return verdict


def _sent(rig: Rig, zones: tuple[str, ...], begin: float, end: float) -> list[Run]:
    names = {u.name for u in rig.upstreams if u.zone in zones}
    return [run for run in rig.runs if run.upstream in names and begin <= run.started_at < end]


def _count(
    verdict: Verdict, rig: Rig, zones: tuple[str, ...], failed: float, back: float, after: float
) -> None:
    requests = rig.clients.requests
    meanwhile = [request for request in requests if failed <= request.started_at < back]
    first_ends = Counter(request.attempts[0].outcome for request in meanwhile if request.attempts)
    usual = _share(rig, zones, failed - 2.0, failed)
    seconds = [back + second for second in range(int(after))]
    shares = [round(_share(rig, zones, at, at + 1.0) / max(usual, MIN_SHARE), 2) for at in seconds]
    verdict.counts |= {
        "work": len(requests),
        "finished": sum(request.succeeded for request in requests),
        "while it failed": len(meanwhile),
        "finished of these": sum(request.succeeded for request in meanwhile),
        "first answers": dict(sorted(first_ends.items())),
        "sent there meanwhile": len(_sent(rig, zones, failed, back)),
        "by second": [len(_sent(rig, zones, failed + i, failed + i + 1)) for i in range(int(back - failed))],
        "usual share": round(usual, 2),
        "of that after its return": shares,
    }


def _share(rig: Rig, zones: tuple[str, ...], begin: float, end: float) -> float:
    """The fraction of all attempts that was sent to these zones."""
    return len(_sent(rig, zones, begin, end)) / max(1, len(_sent_all(rig, begin, end)))


def _sent_all(rig: Rig, begin: float, end: float) -> list[Run]:
    return [run for run in rig.runs if begin <= run.started_at < end]


def plans(rig: Rig) -> list[tuple[float, dict[str, dict[str, object]]]]:
    """The zones of each plan, and when it was written, as the coordination store has it."""
    return [
        (at, json.loads(value)["zones"])
        for at, key, value in rig.arbiter.written
        if key == "/trial/zones/plan"
    ]


def _judge(verdict: Verdict, rig: Rig, case: Case, failed: float, back: float) -> None:
    written = plans(rig)
    left_zones = [
        (at, {name for name, zone in plan.items() if zone["state"] == "left"}) for at, plan in written
    ]
    left_at = next((at for at, names in left_zones if names and at >= failed), None)
    complete_at = next((at for at, plan in written if at > back and not plan), None)
    verdict.counts["left after ms"] = round((left_at - failed) * 1000) if left_at else None
    verdict.counts["whole after s"] = round(complete_at - back, 1) if complete_at else None
    verdict.counts["plans"] = len(written)
    for _, names in left_zones:
        if not case.helps and names:
            verdict.broken.append(f"left where it does not help: {names}")
        elif names - set(case.zones):
            verdict.broken.append(f"left one that works: {names}")
    if left_at is not None and left_at < back:
        plan = next(plan for at, plan in written if at == left_at)
        _judge_trials(verdict, rig, case.zones, plan, (failed, left_at, back))


def _judge_trials(
    verdict: Verdict,
    rig: Rig,
    zones: tuple[str, ...],
    plan: dict[str, dict[str, object]],
    times: tuple[float, float, float],
) -> None:
    """Nothing but trials is sent to zones that a plan leaves. `times`: failed, left, back."""
    failed, left_at, back = times
    usual = len(_sent(rig, zones, failed - 2.0, failed)) / 2.0
    allowed = TRIAL_FRACTION * usual * (back - left_at - FOLLOWED_AFTER) + 4
    sent = _sent(rig, zones, left_at + FOLLOWED_AFTER, back)
    verdict.counts["after it was followed"] = len(sent)
    first = next(iter(plan.values()), {})
    is_left_for_trials = float(first.get("share", 0)) <= TRIAL_FRACTION / 2
    if is_left_for_trials and len(sent) > allowed and back - left_at > FOLLOWED_AFTER:
        verdict.broken.append(f"{len(sent)} sent there after the plan was to be followed, {allowed:.0f} may")


def trial(name: str) -> Callable[..., Awaitable[Verdict]]:
    """The trial of that case, as the command line plays it."""

    async def played(seed: int, sidecars: int = 9, root: Path = ROOT, fleet: bool = True) -> Verdict:
        return await play(seed, sidecars, root, fleet, name)

    return played


TRIALS_OF_ZONES = {f"zone-{name}": trial(name) for name in CASES}
