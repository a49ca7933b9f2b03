"""All endpoints of one list fail for a time and recover: how long until requests are answered."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path
from typing import NamedTuple

from .rig import ROOT, Cluster
from .verdict import TrialResult

RATE = 100.0  # requests a second
BEFORE_DURATION, FAULT_DURATION, AFTER_DURATION = 3.0, 2.0, 10.0  # seconds of each phase
RECOVERY_TIME = 5.0  # seconds after which nearly all are to be answered
MIN_ANSWERED_FRACTION = 0.95  # of the requests: nearly all


class Phase(NamedTuple):
    """A part of the trial, and what endpoints do in it."""

    name: str
    duration: float  # seconds
    mode: str  # of all endpoints


async def run_trial(
    seed: int, sidecars: int = 1, root: Path = ROOT, fleet: bool = False, mode: str = "error"
) -> TrialResult:
    """Idempotent requests before, during and after the fault. `fleet` is not used: there is none."""
    result = TrialResult()
    async with Cluster(seed, sidecars, root=root, fleet=False) as cluster:
        done = {}
        for phase in (
            Phase("before", BEFORE_DURATION, "ok"),
            Phase("failing", FAULT_DURATION, mode),
            Phase("after", AFTER_DURATION, "ok"),
        ):
            for upstream in cluster.upstreams:
                upstream.mode = phase.mode
            first = len(cluster.clients.requests)
            await cluster.clients.send(RATE, phase.duration, {"look": 1.0}, keyed=False)
            done[phase.name] = cluster.clients.requests[first:]
        await asyncio.sleep(cluster.clients.timeout + 0.5)  # all are answered, or given up
        for phase_name, works in done.items():
            if phase_name == "after":
                works = [
                    w for w in works if w.started_at > works[-1].started_at - (AFTER_DURATION - RECOVERY_TIME)
                ]
            result.counts[phase_name] = len(works)
            result.counts[f"{phase_name}, answered"] = answered = sum(w.succeeded for w in works)
        if answered < len(works) * MIN_ANSWERED_FRACTION:
            result.violations.append(
                f"{RECOVERY_TIME} s after all are well again {answered} of {len(works)} are answered"
            )
    return result


CASES = {
    "outage": run_trial,
    "outage-hang": partial(run_trial, mode="hang"),
    "outage-lose": partial(run_trial, mode="lose"),
}
