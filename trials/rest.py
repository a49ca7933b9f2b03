"""Traffic of idle fleet members, by the kernel's counters of each socket, without relays."""

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

SETTLE_TIME = 12.0  # seconds until the members have settled after the start
DURATION = 20.0  # seconds
HEADER_BYTES = 66  # per segment: Ethernet, IP, and TCP with timestamps
COUNTERS = ("bytes_sent", "bytes_received", "segs_out", "segs_in")


class DirectCluster(Cluster):
    """A cluster whose sidecars reach each other and the coordination store without relays."""

    def extra_configuration(self, sidecar: Sidecar) -> dict[str, Any]:
        """Return the fleet part of a sidecar's configuration, with the addresses of members and store."""
        configuration = super().extra_configuration(sidecar)
        configuration["fleet"] |= {"advertise": "", "arbiter": [self.store.server.address]}
        return configuration


def sample_sockets(processes: list[int], ports: set[str]) -> dict[int, list[int]]:
    """Return for each process the number of its sockets of the fleet and the sums of their `COUNTERS`.

    `ports`: those of the members and of the store; a socket is of the fleet if one end has such a port.
    """
    listing = subprocess.run(
        ["ss", "-tinpH", "state", "established"], capture_output=True, text=True, check=True
    )
    sums = {process: [0] * (1 + len(COUNTERS)) for process in processes}
    lines = listing.stdout.splitlines()
    for line, counter_line in zip(lines, lines[1:], strict=False):
        match = re.search(r"pid=(\d+),", line)
        if not match or (sums_of_process := sums.get(int(match[1]))) is None:
            continue
        if not {address.rpartition(":")[2] for address in line.split()[2:4]} & ports:
            continue
        sums_of_process[0] += 1
        for index, name in enumerate(COUNTERS, 1):
            count = re.search(rf"\b{name}:(\d+)", counter_line)
            sums_of_process[index] += int(count[1]) if count else 0
    return sums


async def run_trial(
    seed: int, sidecars: int = 25, root: Path = ROOT, fleet: bool = True, cell_size: int = 0
) -> TrialResult:
    """Measure for DURATION without requests. Figures are means per member, except `the most of these`."""
    async with DirectCluster(seed, sidecars, upstreams=1, root=root, lease=3, cell_size=cell_size) as cluster:
        await asyncio.sleep(SETTLE_TIME)
        processes = [sidecar.process.pid for sidecar in cluster.sidecars if sidecar.process is not None]
        ports = {str(sidecar.fleet_port) for sidecar in cluster.sidecars} | {str(cluster.store.server.port)}
        measurements = []
        for pause in (DURATION, 0.0):
            # `ss` runs in a thread, because the fake coordination store runs on this event loop.
            samples = await asyncio.to_thread(sample_sockets, processes, ports)
            measurements.append(
                (time.monotonic(), samples, {process: cpu_time(process) for process in processes})
            )
            await asyncio.sleep(pause)
    (begin, before, cpu_before), (end, after, cpu_after) = measurements
    duration = end - begin
    byte_rates, segment_rates = (
        [sum(after[process][i] - before[process][i] for i in indices) / duration for process in processes]
        for indices in ((1, 2), (3, 4))
    )
    with_headers = [
        byte_rate + HEADER_BYTES * segment_rate
        for byte_rate, segment_rate in zip(byte_rates, segment_rates, strict=True)
    ]
    count = len(processes)
    return TrialResult(
        {
            "members": count,
            "payload a second": round(sum(byte_rates) / count),
            "segments a second": round(sum(segment_rates) / count, 1),
            "bytes a second with headers": round(sum(with_headers) / count),
            "the most of these": round(max(with_headers)),
            "of a core, %": round(
                100
                * sum(cpu_after[process] - cpu_before[process] for process in processes)
                / duration
                / count,
                2,
            ),
            "sockets": round(sum(after[process][0] for process in processes) / count, 1),
        }
    )
