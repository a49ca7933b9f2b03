"""Real processes of the program among the hollow members: a `Cluster` without relays on its links."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from ..rig import ROOT, Cluster, Sidecar
from .counts import Sample, process_sample

UPSTREAMS = 3
POLL_INTERVAL = 0.1  # seconds between checks whether all are ready
MIN_SOCKETS = 1024  # least socket limit of a sidecar; larger fleets need more


class RealSidecars(Cluster):
    """A cluster whose fleet has further members, and whose store is another process of the run."""

    def __init__(
        self,
        seed: int,
        count: int,
        fleet_config: dict[str, Any],
        size: int,
        address: tuple[str, int],
        root: Path = ROOT,
    ) -> None:
        """`fleet_config`: the `fleet` section; `size`: of the fleet; `address`: of the store."""
        super().__init__(seed, count, UPSTREAMS, service_time=0.005, root=root, lease=fleet_config["lease_s"])
        self.fleet_config, self.size, self.address = fleet_config, size, address
        self.store = ExternalStore(*address)  # type: ignore[assignment]

    def extra_configuration(self, sidecar: Sidecar) -> dict[str, Any]:
        """Return the `fleet` section and the limits of the configuration."""
        listen = f"{sidecar.host}:{sidecar.fleet_port}"
        limits = {"memory_mb": sidecar.memory_mb, "sockets": max(MIN_SOCKETS, 3 * self.size)}
        return {"fleet": self.fleet_config | {"listen": listen}, "limits": limits}

    async def wait_for_view(self, members: int) -> None:
        """Return at once, since the run itself waits for the view of the whole fleet."""

    def samples(self) -> dict[str, Sample]:
        """Return a sample of each running process."""
        samples = {}
        for sidecar in self.sidecars:
            if sidecar.alive and sidecar.process is not None:
                excluded_ports = {sidecar.port, sidecar.admin_port}
                samples[sidecar.name] = process_sample(
                    sidecar.process.pid, sidecar.host, excluded_ports, self.address
                )
        return samples

    async def all_ready(self, timeout: float) -> bool:
        """Return whether all are in the view and settled within `timeout` seconds."""
        deadline = asyncio.get_running_loop().time() + timeout
        while asyncio.get_running_loop().time() < deadline:
            reports = [(await sidecar.admin_call("GET", "/_fleet"))[1] for sidecar in self.sidecars]
            sizes = {report["cells"]["fleet_members"] for report in reports}
            if all(report["in_view"] and report["settled"] for report in reports) and sizes == {self.size}:
                return True
            await asyncio.sleep(POLL_INTERVAL)
        return False


class ExternalStore:
    """Replaces the cluster's fake etcd by the address of the one that the run has started."""

    def __init__(self, host: str, port: int) -> None:
        """`host`, `port`: where the process listens."""
        self.server = SimpleNamespace(host=host, port=port)

    async def start(self) -> None:
        """Do nothing, since the run starts the process."""

    async def stop(self) -> None:
        """Do nothing, since the run ends the process."""
