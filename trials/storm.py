"""Many losses one after another under requests of all kinds, alone and mixed with other faults."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from fakes.clients import ClientRequest

from .rig import ROOT, Cluster
from .timetable import (
    LINK_FAULTS,
    PROCESS_FAULTS,
    STORE_FAULTS,
    FaultInjector,
    FaultProfile,
    ProcessLoss,
    draw_faults,
)
from .verdict import TrialResult

REQUEST_MIX = {"look": 1.0, "buy": 1.0, "move": 1.0}
ONE_AT_A_TIME = FaultProfile(PROCESS_FAULTS, interval=0.9, max_duration=0.6)
SEVERAL_AT_ONCE = FaultProfile(PROCESS_FAULTS | LINK_FAULTS | STORE_FAULTS, interval=0.4, max_duration=1.5)
MIN_TIME_LEFT = 0.4  # seconds; requests with less time left at a loss are not counted


async def losses(
    seed: int,
    sidecars: int = 8,
    root: Path = ROOT,
    fleet: bool = True,
    rate: float = 120.0,
    count: int = 30,
    cell_size: int = 0,
) -> TrialResult:
    """Kill and pause processes one at a time; each process is normally back before the next fault."""
    return await _inject_faults(seed, sidecars, root, fleet, rate, count, ONE_AT_A_TIME, cell_size)


async def storm(
    seed: int,
    sidecars: int = 8,
    root: Path = ROOT,
    fleet: bool = True,
    rate: float = 120.0,
    count: int = 40,
    cell_size: int = 0,
) -> TrialResult:
    """Inject faults of all kinds, several at once."""
    return await _inject_faults(seed, sidecars, root, fleet, rate, count, SEVERAL_AT_ONCE, cell_size)


async def _inject_faults(
    seed: int,
    sidecars: int,
    root: Path,
    fleet: bool,
    rate: float,
    count: int,
    profile: FaultProfile,
    cell_size: int,
) -> TrialResult:
    async with Cluster(seed, sidecars, root=root, fleet=fleet, cell_size=cell_size) as cluster:
        (cluster.folder / "start").write_text(f"{time.time()}\n")
        injector = FaultInjector(cluster)
        sending = asyncio.create_task(
            cluster.clients.send(rate, count * profile.interval, REQUEST_MIX, duplicate_rate=0.05)
        )
        faults = draw_faults(seed, count, profile, sidecars)
        (cluster.folder / "faults").write_text("\n".join(map(str, faults)))
        await injector.inject(faults)
        result = await cluster.finish_and_check(sending)
        _count_losses(result, cluster, injector.losses)
        defects = cluster.defects()
        result.counts["defects"] = len(defects)
        if defects:
            result.violations.append(f"an error in the program was logged: {defects[0]}")
        return result


def _count_losses(result: TrialResult, cluster: Cluster, losses: list[ProcessLoss]) -> None:
    """Count the outcomes of requests that were open at a process when it was killed."""
    affected: list[ClientRequest] = []
    takeover_times = []
    for loss in losses:
        for request in cluster.clients.requests:
            was_interrupted = any(
                attempt.sidecar == loss.name and attempt.started_at < loss.at <= (attempt.ended_at or 1e18)
                for attempt in request.attempts
            )
            if not was_interrupted or request.deadline < loss.at + MIN_TIME_LEFT or request.duplicate_sidecar:
                continue
            affected.append(request)
            run_delays = [
                run.started_at - loss.at
                for run in cluster.runs_of(request.request_id)
                if run.started_at > loss.at and run.sidecar != loss.name
            ]
            if request.request_class != "buy" and run_delays:
                takeover_times.append(min(run_delays))
    retryable = [request for request in affected if request.request_class != "buy"]
    result.counts |= {
        "losses": len(losses),
        "in hand at a loss": len(affected),
        "free or ticketed of these": len(retryable),
        "of those finished": sum(request.succeeded for request in retryable),
    }
    if takeover_times:
        takeover_times.sort()
        result.counts["taken over after ms, median"] = round(takeover_times[len(takeover_times) // 2] * 1000)
        result.counts["taken over after ms, worst"] = round(takeover_times[-1] * 1000)
