"""What replication costs: the time that a client waits, and processor time of the owner and the others."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

from .processes import cpu_time
from .rig import ROOT, Cluster, Sidecar
from .verdict import TrialResult

RATE = 150.0  # requests a second
SECONDS = 6.0  # at each rate
SERVICE = 0.005  # seconds


def used(sidecar: Sidecar) -> float:
    """Seconds of processor time of a sidecar so far."""
    assert sidecar.process is not None
    return cpu_time(sidecar.process.pid)


async def run_trial(
    seed: int,
    sidecars: int = 5,
    root: Path = ROOT,
    fleet: bool = True,
    rates: Sequence[float] = (RATE,),
) -> TrialResult:
    """The same requests through one sidecar, without names and then with; microseconds a request.

    `rates`: requests a second, one after another.
    """
    result = TrialResult()
    async with Cluster(seed, sidecars, service_time=SERVICE, root=root, fleet=fleet) as cluster:
        owner, *others = cluster.sidecars
        cluster.clients.avoided |= {s.name for s in others}
        for rate, named in ((rate, named) for rate in rates for named in (False, True, False, True)):
            before = used(owner), sum(map(used, others))
            first = len(cluster.clients.requests)
            await cluster.clients.send(rate, SECONDS, {"look": 1.0, "buy": 1.0}, keyed=named)
            await asyncio.sleep(0.3)
            works = cluster.clients.requests[first:]
            waits = sorted(w.attempts[0].ended_at - w.attempts[0].started_at for w in works if w.succeeded)
            what = ("named" if named else "unnamed") + (f" at {rate:.0f}" if len(rates) > 1 else "")
            count = result.counts.get(f"{what}, median", 0)
            figures = {
                "median": waits[len(waits) // 2], "p99": waits[len(waits) * 99 // 100],
                "owner": (used(owner) - before[0]) / len(works),
                "others": (sum(map(used, others)) - before[1]) / len(works),
            }  # fmt: skip
            turn = "again, " if count else ""
            result.counts |= {f"{turn}{what}, {name}": round(v * 1e6) for name, v in figures.items()}
    return result
