"""What members at rest send and receive, by the kernel's counts of each socket, without relays."""

from __future__ import annotations

import asyncio
import re
import subprocess
import time
from pathlib import Path
from typing import Any

from .processes import cpu_time
from .rig import ROOT, Cluster, Sidecar
from .verdict import TrialResult

SETTLED = 12.0  # seconds after which the start is over
SECONDS = 20.0
HEADERS = 66  # bytes a segment: Ethernet, IP, TCP with time stamps
COUNTS = ("bytes_sent", "bytes_received", "segs_out", "segs_in")


class Direct(Cluster):
    """A rig whose sidecars reach each other and the coordination store without relays."""

    def extra_configuration(self, sidecar: Sidecar) -> dict[str, Any]:
        """Return the further parts of a sidecar's configuration."""
        parts = super().extra_configuration(sidecar)
        parts["fleet"] |= {"advertise": "", "arbiter": [self.store.server.address]}
        return parts


def sockets(processes: list[int], ports: set[str]) -> dict[int, list[int]]:
    """Return for each process the number of its sockets of the fleet, and the sums of `COUNTS` of them."""
    listed = subprocess.run(
        ["ss", "-tinpH", "state", "established"], capture_output=True, text=True, check=True
    )
    sums = {process: [0] * (1 + len(COUNTS)) for process in processes}
    lines = listed.stdout.splitlines()
    for line, counted in zip(lines, lines[1:], strict=False):
        found = re.search(r"pid=(\d+),", line)
        if not found or (mine := sums.get(int(found[1]))) is None:
            continue
        if not {address.rpartition(":")[2] for address in line.split()[2:4]} & ports:
            continue
        mine[0] += 1
        for place, name in enumerate(COUNTS, 1):
            count = re.search(rf"\b{name}:(\d+)", counted)
            mine[place] += int(count[1]) if count else 0
    return sums


async def run_trial(
    seed: int, sidecars: int = 25, root: Path = ROOT, fleet: bool = True, cell_size: int = 0
) -> TrialResult:
    """Measure for a while without requests; figures are means of a member."""
    async with Direct(seed, sidecars, upstreams=1, root=root, lease=3, cell_size=cell_size) as cluster:
        await asyncio.sleep(SETTLED)
        processes = [s.process.pid for s in cluster.sidecars if s.process is not None]
        ports = {str(s.fleet_port) for s in cluster.sidecars} | {str(cluster.store.server.port)}
        marks = []
        for pause in (SECONDS, 0.0):
            # In a thread: the coordination store runs on this loop.
            counted = await asyncio.to_thread(sockets, processes, ports)
            marks.append((time.monotonic(), counted, {p: cpu_time(p) for p in processes}))
            await asyncio.sleep(pause)
    (at, before, used), (until, after, used_then) = marks
    took = until - at
    bytes_, segments = (
        [sum(after[p][i] - before[p][i] for i in places) / took for p in processes]
        for places in ((1, 2), (3, 4))
    )
    with_headers = [b + HEADERS * s for b, s in zip(bytes_, segments, strict=True)]
    count = len(processes)
    return TrialResult(
        {
            "members": count,
            "payload a second": round(sum(bytes_) / count),
            "segments a second": round(sum(segments) / count, 1),
            "bytes a second with headers": round(sum(with_headers) / count),
            "the most of these": round(max(with_headers)),
            "of a core, %": round(100 * sum(used_then[p] - used[p] for p in processes) / took / count, 2),
            "sockets": round(sum(after[p][0] for p in processes) / count, 1),
        }
    )
