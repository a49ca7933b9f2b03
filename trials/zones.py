"""A zone fails and recovers: which requests reach it, whether sidecars leave it and how fast they return.

Counts are made at the upstreams and clients. Each case says what happens to which upstreams and links, and
whether it helps to leave the zone. If leaving does not help, no sidecar may leave the zone.
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
PLAN_APPLY_TIME = 0.5  # seconds from a plan that leaves a zone until only probing requests may reach the zone
PROBING_FRACTION = 0.12  # of the traffic before the fault: what may still be sent as probing requests
BASELINE_PERIOD = 2.0  # seconds before the fault, over which the usual traffic is counted
MIN_SHARE = 1e-9  # avoids a division by zero
FLAP_INTERVAL = 0.05  # seconds between two updates of a flapping zone
REGIONS = {"north": "up", "east": "up", "south": "down"}
FAILING_ZONE = "south"
FaultAction = Callable[[Cluster, bool], Awaitable[None]]  # starts a fault of a zone (True) or ends it (False)


def _set_mode(*zones: str, mode: str, every: int = 1) -> FaultAction:
    """Return an action that sets the mode of every `every`th upstream of those zones."""

    async def action(cluster: Cluster, on: bool) -> None:
        for number, upstream in enumerate(u for u in cluster.upstreams if u.zone in zones):
            if number % every == 0:
                upstream.mode = mode if on else "ok"

    return action


def _upstreams(cluster: Cluster, zone: str) -> list[Upstream]:
    return [upstream for upstream in cluster.upstreams if upstream.zone == zone]


async def _refuse(cluster: Cluster, on: bool) -> None:
    for upstream in _upstreams(cluster, FAILING_ZONE):
        await (upstream.server.stop() if on else upstream.server.start())


async def _slow(cluster: Cluster, on: bool) -> None:
    for upstream in _upstreams(cluster, FAILING_ZONE):
        upstream.slowdown = 10.0 if on else 1.0


async def _partition(cluster: Cluster, on: bool) -> None:
    """Partition the zone from the sidecars of one other zone."""
    for sidecar in (s for s in cluster.sidecars if s.zone == "north"):
        for upstream, relay in zip(cluster.upstreams, sidecar.relays, strict=True):
            if upstream.zone == FAILING_ZONE:
                for direction in relay.link():
                    direction.blocked = on


async def _partition_store(cluster: Cluster, on: bool) -> None:
    """Partition the zone's sidecars from the coordination store."""
    for sidecar in (s for s in cluster.sidecars if s.zone == FAILING_ZONE):
        for direction in sidecar.store_relay.link():
            direction.blocked = on


async def _flap(cluster: Cluster, on: bool) -> None:
    for upstream in _upstreams(cluster, FAILING_ZONE):
        upstream.mode = (
            "hang" if on and int(asyncio.get_running_loop().time() - cluster.start) % 4 < 2 else "ok"
        )


async def _restart_cold(cluster: Cluster, on: bool) -> None:
    """Take the zone down, and bring its upstreams back with cold caches."""
    await _refuse(cluster, on)
    if not on:
        for upstream in _upstreams(cluster, FAILING_ZONE):
            upstream.process_started_at = asyncio.get_running_loop().time()
            cluster.entry_overrides[upstream.name] = {
                "startedMs": round(cluster.to_wall_clock(upstream.process_started_at) * 1000)
            }


@dataclass(frozen=True)
class Case:
    """A fault, whether it helps to leave the zone, and which zones fail."""

    action: FaultAction
    leaving_helps: bool
    failing_zones: tuple[str, ...]


CASES = {
    "hang": Case(_set_mode(FAILING_ZONE, mode="hang"), True, (FAILING_ZONE,)),
    "refuse": Case(_refuse, True, (FAILING_ZONE,)),
    "errors": Case(_set_mode(FAILING_ZONE, mode="error"), True, (FAILING_ZONE,)),
    "slow": Case(_slow, True, (FAILING_ZONE,)),
    "third": Case(_set_mode(FAILING_ZONE, mode="lose", every=3), True, (FAILING_ZONE,)),
    "half": Case(_set_mode(FAILING_ZONE, mode="hang", every=2), True, (FAILING_ZONE,)),
    "two": Case(_set_mode("north", "east", mode="hang"), True, ("north", "east")),
    "all": Case(_set_mode("north", "east", "south", mode="hang"), False, ("north", "east", "south")),
    "release": Case(
        _set_mode("north", "east", "south", mode="error", every=2), False, ("north", "east", "south")
    ),
    "full": Case(_set_mode(FAILING_ZONE, mode="refuse", every=2), False, (FAILING_ZONE,)),
    "cut": Case(_partition, False, ()),
    "arbiter": Case(_partition_store, False, ()),
    "flap": Case(_flap, True, (FAILING_ZONE,)),
    "cold": Case(_restart_cold, True, (FAILING_ZONE,)),
}


class FaultPeriod(NamedTuple):
    """The period in which zones failed, on the loop's clock."""

    failed_at: float
    recovered_at: float


class WrittenPlan(NamedTuple):
    """A plan that was written to the coordination store."""

    at: float  # when it was written, on the loop's clock
    zones: dict[str, ZoneState]

    @property
    def left_zones(self) -> set[str]:
        """The zones that the plan leaves."""
        return {name for name, zone in self.zones.items() if zone.state == ZoneTraffic.LEFT}


class ZoneCluster(Cluster):
    """A cluster with a zone plan, unless `has_plan` is False."""

    has_plan = True

    def extra_configuration(self, sidecar: Sidecar) -> dict[str, object]:
        """Return the fleet part of a sidecar's configuration, with the regions of the zones."""
        configuration = super().extra_configuration(sidecar)
        if self.fleet and self.has_plan:
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
    """Run one case.

    `fleet`: with a zone plan; otherwise each sidecar decides on its own. `after`: seconds after the fault.
    """
    zone_case = CASES[case]
    cluster = ZoneCluster(seed, sidecars, root=root, lease=1)
    cluster.has_plan = fleet
    async with cluster:
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(
            cluster.clients.send(RATE, BEFORE_DURATION + FAULT_DURATION + after, REQUEST_MIX, keyed=False)
        )
        await asyncio.sleep(BEFORE_DURATION)
        failed_at = loop.time()
        await zone_case.action(cluster, True)
        if case == "flap":
            while loop.time() < failed_at + FAULT_DURATION:
                await zone_case.action(cluster, True)
                await asyncio.sleep(FLAP_INTERVAL)
        await asyncio.sleep(max(0.0, failed_at + FAULT_DURATION - loop.time()))
        period = FaultPeriod(failed_at, loop.time())
        await zone_case.action(cluster, False)
        await sending
        await cluster.clients.finish(cluster.clients.timeout + 1)
        result = TrialResult()
        _count(result, cluster, zone_case.failing_zones, period, after)
        if fleet:
            _check_plans(result, cluster, zone_case, period)
        if defects := cluster.defects():
            result.violations.append(f"an error in the program was logged: {defects[0]}")
        return result


def _runs_in(cluster: Cluster, zones: tuple[str, ...], begin: float, end: float) -> list[Run]:
    names = {u.name for u in cluster.upstreams if u.zone in zones}
    return [run for run in cluster.runs if run.upstream in names and begin <= run.started_at < end]


def _count(
    result: TrialResult, cluster: Cluster, zones: tuple[str, ...], period: FaultPeriod, after: float
) -> None:
    requests = cluster.clients.requests
    failed_at, recovered_at = period.failed_at, period.recovered_at
    requests_during = [request for request in requests if failed_at <= request.started_at < recovered_at]
    first_outcomes = Counter(request.attempts[0].outcome for request in requests_during if request.attempts)
    baseline = _share(cluster, zones, failed_at - BASELINE_PERIOD, failed_at)
    second_starts = [recovered_at + second for second in range(int(after))]
    shares = [
        round(_share(cluster, zones, at, at + 1.0) / max(baseline, MIN_SHARE), 2) for at in second_starts
    ]
    failing_second_starts = [failed_at + second for second in range(int(recovered_at - failed_at))]
    result.counts |= {
        "work": len(requests),
        "finished": sum(request.succeeded for request in requests),
        "while it failed": len(requests_during),
        "finished of these": sum(request.succeeded for request in requests_during),
        "first answers": dict(sorted(first_outcomes.items())),
        "sent there meanwhile": len(_runs_in(cluster, zones, failed_at, recovered_at)),
        "by second": [len(_runs_in(cluster, zones, at, at + 1)) for at in failing_second_starts],
        "usual share": round(baseline, 2),
        "of that after its return": shares,
    }


def _share(cluster: Cluster, zones: tuple[str, ...], begin: float, end: float) -> float:
    """Return the fraction of all runs from `begin` to `end` that were in these zones."""
    return len(_runs_in(cluster, zones, begin, end)) / max(1, len(_all_runs(cluster, begin, end)))


def _all_runs(cluster: Cluster, begin: float, end: float) -> list[Run]:
    return [run for run in cluster.runs if begin <= run.started_at < end]


def written_plans(cluster: Cluster) -> list[WrittenPlan]:
    """Return all plans that were written to the coordination store."""
    return [
        WrittenPlan(at, msgspec.json.decode(value, type=ZonePlan).zones)
        for at, key, value in cluster.store.write_history
        if key == "/trial/zones/plan"
    ]


def _check_plans(result: TrialResult, cluster: Cluster, case: Case, period: FaultPeriod) -> None:
    plans = written_plans(cluster)
    failed_at, recovered_at = period.failed_at, period.recovered_at
    first_plan = next((plan for plan in plans if plan.left_zones and plan.at >= failed_at), None)
    first_complete = next((plan for plan in plans if plan.at > recovered_at and not plan.zones), None)
    result.counts["left after ms"] = round((first_plan.at - failed_at) * 1000) if first_plan else None
    result.counts["whole after s"] = round(first_complete.at - recovered_at, 1) if first_complete else None
    result.counts["plans"] = len(plans)
    for plan in plans:
        if not case.leaving_helps and plan.left_zones:
            result.violations.append(f"zones were left although that does not help: {plan.left_zones}")
        elif plan.left_zones - set(case.failing_zones):
            result.violations.append(f"a working zone was left: {plan.left_zones}")
    if first_plan is not None and first_plan.at < recovered_at:
        _check_probing(result, cluster, case.failing_zones, first_plan, period)


def _check_probing(
    result: TrialResult, cluster: Cluster, zones: tuple[str, ...], plan: WrittenPlan, period: FaultPeriod
) -> None:
    """Check that only probing requests are sent to zones that a plan leaves."""
    baseline = (
        len(_runs_in(cluster, zones, period.failed_at - BASELINE_PERIOD, period.failed_at)) / BASELINE_PERIOD
    )
    applied_at = plan.at + PLAN_APPLY_TIME
    allowed = PROBING_FRACTION * baseline * (period.recovered_at - plan.at - PLAN_APPLY_TIME) + 4
    runs_after_plan = _runs_in(cluster, zones, applied_at, period.recovered_at)
    result.counts["after it was followed"] = len(runs_after_plan)
    first_zone = next(iter(plan.zones.values()))
    is_left_but_for_probing = first_zone.share <= PROBING_FRACTION / 2
    was_applied = period.recovered_at - plan.at > PLAN_APPLY_TIME
    if is_left_but_for_probing and len(runs_after_plan) > allowed and was_applied:
        result.violations.append(
            f"{len(runs_after_plan)} requests were sent there after the plan applied, {allowed:.0f} may be"
        )


def make_trial(name: str) -> Callable[..., Awaitable[TrialResult]]:
    """Return the trial of the case with that name, for the command line."""

    async def run_case(seed: int, sidecars: int = 9, root: Path = ROOT, fleet: bool = True) -> TrialResult:
        return await run_trial(seed, sidecars, root, fleet, name)

    return run_case


ZONE_TRIALS = {f"zone-{name}": make_trial(name) for name in CASES}
