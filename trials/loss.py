"""The loss of a sidecar: one of several is killed with open requests, whose clients retry at another."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .rig import ROOT, Cluster
from .verdict import TrialResult

MAX_LOOKS, LOOK_INTERVAL = 20, 0.01  # for open requests; seconds


async def run_trial(
    seed: int,
    sidecars: int = 5,
    root: Path = ROOT,
    fleet: bool = True,
    rate: float = 200.0,
    seconds: float = 2.0,
    cell_size: int = 0,
) -> TrialResult:
    """Non-idempotent requests to all; one sidecar is killed in the middle."""
    async with Cluster(seed, sidecars, root=root, fleet=fleet, cell_size=cell_size) as cluster:
        sending = asyncio.create_task(cluster.clients.send(rate, seconds, {"buy": 1.0}))
        await asyncio.sleep(seconds / 2)
        # The one with the most open requests: without any the trial would show nothing.
        for _ in range(MAX_LOOKS):
            lost = max(cluster.sidecars, key=lambda s: len(cluster.open_requests(s)))
            if len(cluster.open_requests(lost)) > 1:
                break
            await asyncio.sleep(LOOK_INTERVAL)
        in_hand = cluster.kill_sidecar(lost)
        result = await cluster.finish_and_check(sending)
        result.counts["in hand at the loss"] = len(in_hand)
        result.counts["of these finished"] = sum(w.succeeded for w in in_hand)
        result.counts["of these written off"] = sum("504" in w.statuses for w in in_hand)
        result.counts["of these ran twice"] = sum(len(cluster.runs_of(w.request_id)) > 1 for w in in_hand)
        return result
