"""All endpoints of one list fail for a time and recover: how soon are requests answered again?"""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path
from typing import NamedTuple

from .rig import ROOT, Cluster
from .verdict import TrialResult

RATE = 100.0  # requests a second
BEFORE_DURATION, FAULT_DURATION, AFTER_DURATION = 3.0, 2.0, 10.0  # seconds of each phase
RECOVERY_TIME = 5.0  # seconds after the recovery by which nearly all requests are answered
MIN_ANSWERED_FRACTION = 0.95  # fraction of requests that counts as nearly all


class Phase(NamedTuple):
    """A phase of the trial, and how endpoints behave in it."""

    name: str
    duration: float  # seconds
    mode: str  # of all endpoints, see `Upstream`


async def run_trial(
    seed: int, sidecars: int = 1, root: Path = ROOT, fleet: bool = False, mode: str = "error"
) -> TrialResult:
    """Send idempotent requests before, during and after the fault; `fleet` is ignored, there is no fleet."""
    result = TrialResult()
    async with Cluster(seed, sidecars, root=root, fleet=False) as cluster:
        requests_by_phase = {}
        for phase in (
            Phase("before", BEFORE_DURATION, "ok"),
            Phase("failing", FAULT_DURATION, mode),
            Phase("after", AFTER_DURATION, "ok"),
        ):
            for upstream in cluster.upstreams:
                upstream.mode = phase.mode
            first_index = len(cluster.clients.requests)
            await cluster.clients.send(RATE, phase.duration, {"look": 1.0}, keyed=False)
            requests_by_phase[phase.name] = cluster.clients.requests[first_index:]
        # After this pause every request has been answered or has timed out.
        await asyncio.sleep(cluster.clients.timeout + 0.5)
        for phase_name, requests in requests_by_phase.items():
            if phase_name == "after":
                requests = [
                    request
                    for request in requests
                    if request.started_at > requests[-1].started_at - (AFTER_DURATION - RECOVERY_TIME)
                ]
            result.counts[phase_name] = len(requests)
            result.counts[f"{phase_name}, answered"] = answered = sum(
                request.succeeded for request in requests
            )
        # `requests` and `answered` are now those of the last phase, after the fault.
        if answered < len(requests) * MIN_ANSWERED_FRACTION:
            result.violations.append(
                f"{RECOVERY_TIME} s after all endpoints recovered {answered} of {len(requests)} are answered"
            )
    return result


CASES = {
    "outage": run_trial,
    "outage-hang": partial(run_trial, mode="hang"),
    "outage-lose": partial(run_trial, mode="lose"),
}
