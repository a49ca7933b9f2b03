"""A zone fails and comes back: what is sent there, what is lost, who leaves and how fast they return.

Counted where requests arrive and at the clients. Each case says what happens to which upstreams and links,
and whether leaving helps: where it does not, no sidecar is to leave.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import msgspec

from fakes.upstream import Run, Upstream
from starlingwheel.fleet.records import ZonePlan, ZoneState
from starlingwheel.fleet.zones.planner import ZoneTraffic

from .rig import ROOT, Cluster, Sidecar
from .verdict import TrialResult

BEFORE_DURATION, FAULT_DURATION, AFTER_DURATION = 3.0, 5.0, 12.0  # seconds of each phase
RATE = 220.0  # requests a second
REQUEST_MIX = {"look": 2.0, "move": 1.0, "buy": 1.0}
PLAN_FOLLOWED_AFTER = 0.5  # seconds from a plan until nothing but trials goes to a zone that it leaves
TRIAL_FRACTION = 0.12  # of what the zone got before, that may go there as trials
USUAL_PERIOD = 2.0  # seconds before the fault, for what is usual
MIN_SHARE = 1e-9  # against a division by zero
FLAP_STEP = 0.05  # seconds between two looks at whether a zone that flaps fails
REGIONS = {"north": "up", "east": "up", "south": "down"}
FAILING = "south"
FaultAction = Callable[[Cluster, bool], Awaitable[None]]  # makes a zone fail, or ends that


def _set_mode(*zones: str, mode: str, every: int = 1) -> FaultAction:
    """Every `every`th upstream of those zones is in that mode."""

    async def action(cluster: Cluster, on: bool) -> None:
        for number, upstream in enumerate(u for u in cluster.upstreams if u.zone in zones):
            if number % every == 0:
                upstream.mode = mode if on else "ok"

    return action


def _upstreams(cluster: Cluster, zone: str) -> list[Upstream]:
    return [upstream for upstream in cluster.upstreams if upstream.zone == zone]


async def _refuse(cluster: Cluster, on: bool) -> None:
    for upstream in _upstreams(cluster, FAILING):
        await (upstream.server.stop() if on else upstream.server.start())


async def _slow(cluster: Cluster, on: bool) -> None:
    for upstream in _upstreams(cluster, FAILING):
        upstream.slowdown = 10.0 if on else 1.0


async def _partition(cluster: Cluster, on: bool) -> None:
    """Between it and the sidecars of one other zone."""
    for sidecar in (s for s in cluster.sidecars if s.zone == "north"):
        for upstream, relay in zip(cluster.upstreams, sidecar.relays, strict=True):
            if upstream.zone == FAILING:
                for way in relay.link():
                    way.blocked = on


async def _partition_store(cluster: Cluster, on: bool) -> None:
    """Between its sidecars and the coordination store."""
    for sidecar in (s for s in cluster.sidecars if s.zone == FAILING):
        for way in sidecar.store_relay.link():
            way.blocked = on


async def _flap(cluster: Cluster, on: bool) -> None:
    for upstream in _upstreams(cluster, FAILING):
        upstream.mode = (
            "hang" if on and int(asyncio.get_running_loop().time() - cluster.start) % 4 < 2 else "ok"
        )


async def _restart_cold(cluster: Cluster, on: bool) -> None:
    """It vanishes, and its upstreams come back cold."""
    await _refuse(cluster, on)
    if not on:
        for upstream in _upstreams(cluster, FAILING):
            upstream.process_started_at = asyncio.get_running_loop().time()
            cluster.entry_overrides[upstream.name] = {
                "startedMs": round(cluster.to_wall_clock(upstream.process_started_at) * 1000)
            }


@dataclass(frozen=True)
class Case:
    """What happens, whether leaving helps, and which zones fail."""

    action: FaultAction
    leaving_helps: bool
    failing_zones: tuple[str, ...]


CASES = {
    "hang": Case(_set_mode(FAILING, mode="hang"), True, (FAILING,)),
    "refuse": Case(_refuse, True, (FAILING,)),
    "errors": Case(_set_mode(FAILING, mode="error"), True, (FAILING,)),
    "slow": Case(_slow, True, (FAILING,)),
    "third": Case(_set_mode(FAILING, mode="lose", every=3), True, (FAILING,)),
    "half": Case(_set_mode(FAILING, mode="hang", every=2), True, (FAILING,)),
    "two": Case(_set_mode("north", "east", mode="hang"), True, ("north", "east")),
    "all": Case(_set_mode("north", "east", "south", mode="hang"), False, ("north", "east", "south")),
    "release": Case(
        _set_mode("north", "east", "south", mode="error", every=2), False, ("north", "east", "south")
    ),
    "full": Case(_set_mode(FAILING, mode="refuse", every=2), False, (FAILING,)),
    "cut": Case(_partition, False, ()),
    "arbiter": Case(_partition_store, False, ()),
    "flap": Case(_flap, True, (FAILING,)),
    "cold": Case(_restart_cold, True, (FAILING,)),
}


class FaultPeriod(NamedTuple):
    """When zones failed, on the loop's clock."""

    failed_at: float
    recovered_at: float


class WrittenPlan(NamedTuple):
    """A plan that the coordination store has had."""

    at: float  # when it was written, on the loop's clock
    zones: dict[str, ZoneState]

    @property
    def left_zones(self) -> set[str]:
        """The zones that it leaves."""
        return {name for name, zone in self.zones.items() if zone.state == ZoneTraffic.LEFT}


class ZoneRig(Cluster):
    """With a plan for zones, unless `planned` is False."""

    planned = True

    def extra_configuration(self, sidecar: Sidecar) -> dict[str, object]:
        """What the configuration of that sidecar has beside the common keys."""
        configuration = super().extra_configuration(sidecar)
        if self.fleet and self.planned:
            configuration["fleet"]["zones"] = {"regions": REGIONS}
        return configuration


async def run_trial(
    seed: int,
    sidecars: int = 9,
    root: Path = ROOT,
    fleet: bool = True,
    case: str = "hang",
    after: float = AFTER_DURATION,
) -> TrialResult:
    """Play one case; `fleet` False: without a plan, each sidecar alone. `after`: seconds played after it."""
    played = CASES[case]
    cluster = ZoneRig(seed, sidecars, root=root, lease=1)
    cluster.planned = fleet
    async with cluster:
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(
            cluster.clients.send(RATE, BEFORE_DURATION + FAULT_DURATION + after, REQUEST_MIX, keyed=False)
        )
        await asyncio.sleep(BEFORE_DURATION)
        failed_at = loop.time()
        await played.action(cluster, True)
        if case == "flap":
            while loop.time() < failed_at + FAULT_DURATION:
                await played.action(cluster, True)
                await asyncio.sleep(FLAP_STEP)
        await asyncio.sleep(max(0.0, failed_at + FAULT_DURATION - loop.time()))
        period = FaultPeriod(failed_at, loop.time())
        await played.action(cluster, False)
        await sending
        await cluster.clients.finish(cluster.clients.timeout + 1)
        result = TrialResult()
        _count(result, cluster, played.failing_zones, period, after)
        if fleet:
            _judge(result, cluster, played, period)
        if defects := cluster.defects():
            result.violations.append(f"a defect: {defects[0]}")
        return result


def _sent(cluster: Cluster, zones: tuple[str, ...], begin: float, end: float) -> list[Run]:
    names = {u.name for u in cluster.upstreams if u.zone in zones}
    return [run for run in cluster.runs if run.upstream in names and begin <= run.started_at < end]


def _count(
    result: TrialResult, cluster: Cluster, zones: tuple[str, ...], period: FaultPeriod, after: float
) -> None:
    requests = cluster.clients.requests
    failed_at, recovered_at = period.failed_at, period.recovered_at
    meanwhile = [request for request in requests if failed_at <= request.started_at < recovered_at]
    first_ends = Counter(request.attempts[0].outcome for request in meanwhile if request.attempts)
    usual = _share(cluster, zones, failed_at - USUAL_PERIOD, failed_at)
    seconds = [recovered_at + second for second in range(int(after))]
    shares = [round(_share(cluster, zones, at, at + 1.0) / max(usual, MIN_SHARE), 2) for at in seconds]
    seconds_failing = [failed_at + second for second in range(int(recovered_at - failed_at))]
    result.counts |= {
        "work": len(requests),
        "finished": sum(request.succeeded for request in requests),
        "while it failed": len(meanwhile),
        "finished of these": sum(request.succeeded for request in meanwhile),
        "first answers": dict(sorted(first_ends.items())),
        "sent there meanwhile": len(_sent(cluster, zones, failed_at, recovered_at)),
        "by second": [len(_sent(cluster, zones, at, at + 1)) for at in seconds_failing],
        "usual share": round(usual, 2),
        "of that after its return": shares,
    }


def _share(cluster: Cluster, zones: tuple[str, ...], begin: float, end: float) -> float:
    """The fraction of all attempts that was sent to these zones."""
    return len(_sent(cluster, zones, begin, end)) / max(1, len(_sent_all(cluster, begin, end)))


def _sent_all(cluster: Cluster, begin: float, end: float) -> list[Run]:
    return [run for run in cluster.runs if begin <= run.started_at < end]


def written_plans(cluster: Cluster) -> list[WrittenPlan]:
    """Each plan that the coordination store has had."""
    return [
        WrittenPlan(at, msgspec.json.decode(value, type=ZonePlan).zones)
        for at, key, value in cluster.store.write_history
        if key == "/trial/zones/plan"
    ]


def _judge(result: TrialResult, cluster: Cluster, case: Case, period: FaultPeriod) -> None:
    plans = written_plans(cluster)
    failed_at, recovered_at = period.failed_at, period.recovered_at
    left = next((plan for plan in plans if plan.left_zones and plan.at >= failed_at), None)
    complete = next((plan for plan in plans if plan.at > recovered_at and not plan.zones), None)
    result.counts["left after ms"] = round((left.at - failed_at) * 1000) if left else None
    result.counts["whole after s"] = round(complete.at - recovered_at, 1) if complete else None
    result.counts["plans"] = len(plans)
    for plan in plans:
        if not case.leaving_helps and plan.left_zones:
            result.violations.append(f"left where it does not help: {plan.left_zones}")
        elif plan.left_zones - set(case.failing_zones):
            result.violations.append(f"left one that works: {plan.left_zones}")
    if left is not None and left.at < recovered_at:
        _judge_trials(result, cluster, case.failing_zones, left, period)


def _judge_trials(
    result: TrialResult, cluster: Cluster, zones: tuple[str, ...], plan: WrittenPlan, period: FaultPeriod
) -> None:
    """Nothing but trials is sent to zones that a plan leaves."""
    usual = len(_sent(cluster, zones, period.failed_at - USUAL_PERIOD, period.failed_at)) / USUAL_PERIOD
    followed_at = plan.at + PLAN_FOLLOWED_AFTER
    allowed = TRIAL_FRACTION * usual * (period.recovered_at - plan.at - PLAN_FOLLOWED_AFTER) + 4
    sent = _sent(cluster, zones, followed_at, period.recovered_at)
    result.counts["after it was followed"] = len(sent)
    first = next(iter(plan.zones.values()))
    is_left_for_trials = first.share <= TRIAL_FRACTION / 2
    has_followed = period.recovered_at - plan.at > PLAN_FOLLOWED_AFTER
    if is_left_for_trials and len(sent) > allowed and has_followed:
        result.violations.append(
            f"{len(sent)} sent there after the plan was to be followed, {allowed:.0f} may"
        )


def trial(name: str) -> Callable[..., Awaitable[TrialResult]]:
    """The trial of that case, as the command line plays it."""

    async def played(seed: int, sidecars: int = 9, root: Path = ROOT, fleet: bool = True) -> TrialResult:
        return await run_trial(seed, sidecars, root, fleet, name)

    return played


TRIALS_OF_ZONES = {f"zone-{name}": trial(name) for name in CASES}
