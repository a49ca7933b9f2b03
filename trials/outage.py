"""All endpoints of one list fail for a time and recover: how long until requests are answered."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path

from .rig import ROOT, Rig
from .verdict import Verdict

RATE = 100.0  # requests a second
CALM, FAILS, AFTER = 3.0, 2.0, 10.0  # seconds of each part
BACK = 5.0  # seconds after which nearly all are to be answered
ANSWERED = 0.95  # of the requests: nearly all


async def play(
    seed: int, sidecars: int = 1, root: Path = ROOT, fleet: bool = False, mode: str = "error"
) -> Verdict:
    """Idempotent requests before, during and after the fault. `fleet` is not used: there is none."""
    verdict = Verdict()
    async with Rig(seed, sidecars, root=root, fleet=False) as rig:
        parts = []
        for what, seconds, now in (("before", CALM, "ok"), ("failing", FAILS, mode), ("after", AFTER, "ok")):
            for upstream in rig.upstreams:
                upstream.mode = now
            first = len(rig.clients.requests)
            await rig.clients.send(RATE, seconds, {"look": 1.0}, keyed=False)
            parts.append((what, rig.clients.requests[first:]))
        await asyncio.sleep(rig.clients.timeout + 0.5)  # all are answered, or given up
        for what, works in parts:
            if what == "after":
                works = [w for w in works if w.started_at > works[-1].started_at - (AFTER - BACK)]
            verdict.counts[what] = len(works)
            verdict.counts[f"{what}, answered"] = well = sum(w.succeeded for w in works)
        if well < len(works) * ANSWERED:
            verdict.broken.append(f"{BACK} s after all are well again {well} of {len(works)} are answered")
    return verdict


CASES = {"outage": play, "outage-hang": partial(play, mode="hang"), "outage-lose": partial(play, mode="lose")}
