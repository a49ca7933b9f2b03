"""The loss of a sidecar: one of several is killed with open requests, whose clients retry at another."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .rig import ROOT, Rig
from .verdict import Verdict

MAX_LOOKS, LOOK_INTERVAL = 20, 0.01  # for open requests; seconds


async def play(
    seed: int,
    sidecars: int = 5,
    root: Path = ROOT,
    fleet: bool = True,
    rate: float = 200.0,
    seconds: float = 2.0,
    cell_size: int = 0,
) -> Verdict:
    """Non-idempotent requests to all; one sidecar is killed in the middle."""
    async with Rig(seed, sidecars, root=root, fleet=fleet, cell_size=cell_size) as rig:
        sending = asyncio.create_task(rig.clients.send(rate, seconds, {"buy": 1.0}))
        await asyncio.sleep(seconds / 2)
        # The one with the most open requests: without any the trial would show nothing.
        for _ in range(MAX_LOOKS):
            lost = max(rig.sidecars, key=lambda s: len(rig.open_requests(s)))
            if len(rig.open_requests(lost)) > 1:
                break
            await asyncio.sleep(LOOK_INTERVAL)
        in_hand = rig.lose(lost)
        verdict = await rig.judged(sending)
        verdict.counts["in hand at the loss"] = len(in_hand)
        verdict.counts["of these finished"] = sum(w.succeeded for w in in_hand)
        verdict.counts["of these written off"] = sum("504" in w.statuses for w in in_hand)
        verdict.counts["of these ran twice"] = sum(len(rig.of(w.request_id)) > 1 for w in in_hand)
        return verdict
