"""The cost of replication: latency at clients, and CPU time of the owner and the other sidecars."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

from .processes import cpu_time
from .rig import ROOT, Cluster, Sidecar
from .verdict import TrialResult

RATE = 150.0  # requests a second
DURATION = 6.0  # at each rate
SERVICE_TIME = 0.005  # seconds


def sidecar_cpu_time(sidecar: Sidecar) -> float:
    """Return the seconds of CPU time that a sidecar has used so far."""
    assert sidecar.process is not None
    return cpu_time(sidecar.process.pid)


async def run_trial(
    seed: int,
    sidecars: int = 5,
    root: Path = ROOT,
    fleet: bool = True,
    rates: Sequence[float] = (RATE,),
) -> TrialResult:
    """Send the same requests through one sidecar without and with idempotency keys, twice.

    The counts are microseconds per request. `rates`: requests a second, one after another.
    """
    result = TrialResult()
    async with Cluster(seed, sidecars, service_time=SERVICE_TIME, root=root, fleet=fleet) as cluster:
        owner, *others = cluster.sidecars
        cluster.clients.avoided |= {other.name for other in others}
        for rate, keyed in ((rate, keyed) for rate in rates for keyed in (False, True, False, True)):
            before = sidecar_cpu_time(owner), sum(map(sidecar_cpu_time, others))
            first_index = len(cluster.clients.requests)
            await cluster.clients.send(rate, DURATION, {"look": 1.0, "buy": 1.0}, keyed=keyed)
            await asyncio.sleep(0.3)
            requests = cluster.clients.requests[first_index:]
            latencies = sorted(
                request.attempts[0].ended_at - request.attempts[0].started_at
                for request in requests
                if request.succeeded
            )
            label = ("named" if keyed else "unnamed") + (f" at {rate:.0f}" if len(rates) > 1 else "")
            count = result.counts.get(f"{label}, median", 0)
            figures = {
                "median": latencies[len(latencies) // 2], "p99": latencies[len(latencies) * 99 // 100],
                "owner": (sidecar_cpu_time(owner) - before[0]) / len(requests),
                "others": (sum(map(sidecar_cpu_time, others)) - before[1]) / len(requests),
            }  # fmt: skip
            prefix = "again, " if count else ""
            result.counts |= {
                f"{prefix}{label}, {name}": round(value * 1e6) for name, value in figures.items()
            }
    return result
