"""Real processes of the program among the hollow members: the rig's, without relays on their links."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from ..rig import ROOT, Cluster, Sidecar
from .counts import Sample, process_sample

UPSTREAMS = 3
POLL_INTERVAL = 0.1  # seconds between looks at whether all are ready
MIN_SOCKETS = 1024  # that a sidecar may have, where the fleet does not need more


class RealSidecars(Cluster):
    """The rig of a fleet whose other members and store are other processes of the run."""

    def __init__(
        self,
        seed: int,
        count: int,
        part: dict[str, Any],
        size: int,
        address: tuple[str, int],
        root: Path = ROOT,
    ) -> None:
        """`part`: the configuration's `fleet` part; `size`: members in all; `address`: of the store."""
        super().__init__(seed, count, UPSTREAMS, service_time=0.005, root=root, lease=part["lease_s"])
        self.part, self.size, self.address = part, size, address
        self.store = ExternalStore(*address)  # type: ignore[assignment]

    def extra_configuration(self, sidecar: Sidecar) -> dict[str, Any]:
        """Return the configuration's fleet part and limits."""
        listen = f"{sidecar.host}:{sidecar.fleet_port}"
        limits = {"memory_mb": sidecar.memory_mb, "sockets": max(MIN_SOCKETS, 3 * self.size)}
        return {"fleet": self.part | {"listen": listen}, "limits": limits}

    async def wait_for_view(self, members: int) -> None:
        """Return at once: the run itself waits, since it knows how many members there are."""

    def samples(self) -> dict[str, Sample]:
        """Return a sample of each process that runs."""
        samples = {}
        for sidecar in self.sidecars:
            if sidecar.alive and sidecar.process is not None:
                not_ports = {sidecar.port, sidecar.admin_port}
                samples[sidecar.name] = process_sample(
                    sidecar.process.pid, sidecar.host, not_ports, self.address
                )
        return samples

    async def all_ready(self, within: float) -> bool:
        """Whether all are in the view and settled within so many seconds."""
        until = asyncio.get_running_loop().time() + within
        while asyncio.get_running_loop().time() < until:
            reports = [(await sidecar.admin_call("GET", "/_fleet"))[1] for sidecar in self.sidecars]
            sizes = {report["cells"]["fleet_members"] for report in reports}
            if all(report["in_view"] and report["settled"] for report in reports) and sizes == {self.size}:
                return True
            await asyncio.sleep(POLL_INTERVAL)
        return False


class ExternalStore:
    """Takes the place of the rig's fake etcd, which is a process of the run."""

    def __init__(self, host: str, port: int) -> None:
        """`host`, `port`: where the process listens."""
        self.server = SimpleNamespace(host=host, port=port)

    async def begin(self) -> None:
        """Do nothing: the run starts the process."""

    async def stop(self) -> None:
        """Do nothing: the run ends the process."""
