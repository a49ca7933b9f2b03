"""One sidecar of an endpoint list trial."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fakes.discovery import Frontend
from fakes.http1 import HttpClient
from fakes.loopback import free_ports, loopback_host

from ..processes import SidecarProgram
from ..rig import CAPS, CATEGORIES

if TYPE_CHECKING:
    from .trial import Trial


DRAIN_GRACE = 0.5  # seconds after the notice of a drain during which attempts may still begin


class SidecarProcess(SidecarProgram):
    """One sidecar: its configuration, its process, and the frontend of discovery that it calls."""

    def __init__(self, trial: Trial, number: int, frontend: Frontend) -> None:
        """Create the sidecar without starting a process."""
        self.trial, self.number, self.frontend = trial, number, frontend
        host = loopback_host(1 + number % 250)
        super().__init__(f"n{number}", f"{host}:{free_ports(host, 1)[0]}", trial.folder, trial.root)
        self.client = HttpClient(self.address)
        self.start_count = 0  # number of processes started so far
        self.initial_entries = [dict(entry) for entry in trial.discovery.entries.values()]

    def start(self) -> None:
        """Start a process under the name and address of the previous one."""
        self.start_count += 1
        self.frontend.record_process_start()
        self.client.close()  # its connections belong to the previous process
        self.start_process(self._configuration())

    def _configuration(self) -> dict[str, Any]:
        settings = {
            "categories": CATEGORIES, "caps": CAPS, "discovery": "ask", "slotNo": self.number,
            "rules": {"mustAskIn": 10_000_000, "drainGrace": int(DRAIN_GRACE * 1e6)},
            "replicasOfMe": len(self.trial.discovery.frontends),
        }  # fmt: skip
        return {
            "name": f"n{self.number}", "listen": self.address, "discovery": self.frontend.address,
            "seed": f"{self.trial.seed}-{self.number}-{self.start_count}", "settings": settings,
            "known": {"version": 1, "full": True, "servers": self.initial_entries},
        }  # fmt: skip
