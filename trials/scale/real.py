"""Real processes of the program among the hollow members: the rig's, without relays on their links."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from ..rig import ROOT, Rig, Sidecar
from .counts import Sample, process

UPSTREAMS = 3
LOOK = 0.1  # seconds between looks at whether all are ready
SOCKETS = 1024  # that a sidecar may have, where the fleet does not need more


class Real(Rig):
    """As `Rig`, in a fleet whose other members and arbiter are elsewhere."""

    def __init__(
        self,
        seed: int,
        count: int,
        part: dict[str, Any],
        size: int,
        address: tuple[str, int],
        root: Path = ROOT,
    ) -> None:
        """`part`: the fleet's; `size`: members in all; `address`: the arbiter's."""
        super().__init__(seed, count, UPSTREAMS, service=0.005, root=root, lease=part["lease_s"])
        self.part, self.size, self.address = part, size, address
        self.arbiter = Elsewhere(*address)  # type: ignore[assignment]

    def further(self, sidecar: Sidecar) -> dict[str, Any]:
        listen = f"{sidecar.host}:{sidecar.fleet_port}"
        limits = {"memory_mb": sidecar.memory_mb, "sockets": max(SOCKETS, 3 * self.size)}
        return {"fleet": self.part | {"listen": listen}, "limits": limits}

    async def met(self, members: int) -> None:
        """The run sees to that: it knows how many there are."""

    def samples(self) -> dict[str, Sample]:
        told = {}
        for sidecar in self.sidecars:
            if sidecar.alive and sidecar.process is not None:
                not_ports = {sidecar.port, sidecar.mgmt}
                told[sidecar.name] = process(sidecar.process.pid, sidecar.host, not_ports, self.address)
        return told

    async def all_ready(self, within: float) -> bool:
        """Each has a link to every member that it wants one with, and knows what all own."""
        until = asyncio.get_running_loop().time() + within
        while asyncio.get_running_loop().time() < until:
            told = [(await s.told("GET", "/_fleet"))[1] for s in self.sidecars]
            seen = [t.get("cells", {}).get("fleet_members", len(t["view"])) for t in told]
            if all(t["in_view"] and t["settled"] for t in told) and set(seen) == {self.size}:
                return True
            await asyncio.sleep(LOOK)
        return False


class Elsewhere:
    """Stands where the rig has its arbiter: that one is a process of the run's."""

    def __init__(self, host: str, port: int) -> None:
        self.server = SimpleNamespace(host=host, port=port)

    async def begin(self) -> None:
        pass

    async def stop(self) -> None:
        pass
