"""Loss of a sidecar: one of several is killed with open requests, whose clients retry at another one."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .rig import ROOT, Cluster
from .verdict import TrialResult

MAX_POLLS, POLL_INTERVAL = 20, 0.01  # polls for open requests; seconds between two


async def run_trial(
    seed: int,
    sidecars: int = 5,
    root: Path = ROOT,
    fleet: bool = True,
    rate: float = 200.0,
    seconds: float = 2.0,
    cell_size: int = 0,
) -> TrialResult:
    """Send non-idempotent requests to all sidecars and kill one half-way."""
    async with Cluster(seed, sidecars, root=root, fleet=fleet, cell_size=cell_size) as cluster:
        sending = asyncio.create_task(cluster.clients.send(rate, seconds, {"buy": 1.0}))
        await asyncio.sleep(seconds / 2)
        # The sidecar with the most open requests is killed: without any the trial would test nothing.
        for _ in range(MAX_POLLS):
            killed = max(cluster.sidecars, key=lambda sidecar: len(cluster.open_requests(sidecar)))
            if len(cluster.open_requests(killed)) > 1:
                break
            await asyncio.sleep(POLL_INTERVAL)
        affected = cluster.kill_sidecar(killed)
        result = await cluster.finish_and_check(sending)
        result.counts["in hand at the loss"] = len(affected)
        result.counts["of these finished"] = sum(request.succeeded for request in affected)
        result.counts["of these written off"] = sum("504" in request.statuses for request in affected)
        result.counts["of these ran twice"] = sum(
            len(cluster.runs_of(request.request_id)) > 1 for request in affected
        )
        return result
