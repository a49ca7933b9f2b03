"""Many losses, one after another, under requests of all kinds; and the same with other faults as well."""

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
    FaultPlayer,
    FaultProfile,
    ProcessLoss,
    draw_faults,
)
from .verdict import TrialResult

REQUEST_MIX = {"look": 1.0, "buy": 1.0, "move": 1.0}
ONE_AT_A_TIME = FaultProfile(PROCESS_FAULTS, interval=0.9, max_duration=0.6)
SEVERAL_AT_ONCE = FaultProfile(PROCESS_FAULTS | LINK_FAULTS | STORE_FAULTS, interval=0.4, max_duration=1.5)
MIN_TIME_LEFT = 0.4  # seconds that a request has left at a loss, for the promise that it is finished


async def losses(
    seed: int,
    sidecars: int = 8,
    root: Path = ROOT,
    fleet: bool = True,
    rate: float = 120.0,
    count: int = 30,
    cell_size: int = 0,
) -> TrialResult:
    """Kill and stop processes, one at a time; each is back before the next."""
    return await _play(seed, sidecars, root, fleet, rate, count, ONE_AT_A_TIME, cell_size)


async def storm(
    seed: int,
    sidecars: int = 8,
    root: Path = ROOT,
    fleet: bool = True,
    rate: float = 120.0,
    count: int = 40,
    cell_size: int = 0,
) -> TrialResult:
    """All kinds of faults, several at once."""
    return await _play(seed, sidecars, root, fleet, rate, count, SEVERAL_AT_ONCE, cell_size)


async def _play(
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
        player = FaultPlayer(cluster)
        sending = asyncio.create_task(
            cluster.clients.send(rate, count * profile.interval, REQUEST_MIX, duplicate_rate=0.05)
        )
        faults = draw_faults(seed, count, profile, sidecars)
        (cluster.folder / "faults").write_text("\n".join(map(str, faults)))
        await player.play(faults)
        result = await cluster.finish_and_check(sending)
        _count_losses(result, cluster, player.losses)
        defects = cluster.defects()
        result.counts["defects"] = len(defects)
        if defects:
            result.violations.append(f"a defect: {defects[0]}")
        return result


def _count_losses(result: TrialResult, cluster: Cluster, losses: list[ProcessLoss]) -> None:
    """Count what became of the requests that were open where a process was killed."""
    affected: list[ClientRequest] = []
    takeover_times = []
    for loss in losses:
        for work in cluster.clients.requests:
            cut_off = any(
                t.sidecar == loss.name and t.started_at < loss.at <= (t.ended_at or 1e18)
                for t in work.attempts
            )
            if not cut_off or work.deadline < loss.at + MIN_TIME_LEFT or work.duplicate_sidecar:
                continue
            affected.append(work)
            later = [
                r.started_at - loss.at
                for r in cluster.runs_of(work.request_id)
                if r.started_at > loss.at and r.sidecar != loss.name
            ]
            if work.request_class != "buy" and later:
                takeover_times.append(min(later))
    retryable = [w for w in affected if w.request_class != "buy"]
    result.counts |= {
        "losses": len(losses),
        "in hand at a loss": len(affected),
        "free or ticketed of these": len(retryable),
        "of those finished": sum(w.succeeded for w in retryable),
    }
    if takeover_times:
        takeover_times.sort()
        result.counts["taken over after ms, median"] = round(takeover_times[len(takeover_times) // 2] * 1000)
        result.counts["taken over after ms, worst"] = round(takeover_times[-1] * 1000)
