"""One sidecar of an endpoint list trial."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
from typing import TYPE_CHECKING, Any

from fakes.discovery import Frontend
from fakes.http1 import ConnectionBrokenError, HttpClient
from fakes.loopback import free_ports, loopback_host

from ..processes import set_parent_death_signal
from ..rig import CAPS, CATEGORIES, READY_TIMEOUT

if TYPE_CHECKING:
    from .trial import Trial


DRAIN_GRACE = 0.5  # seconds after the notice of a drain during which attempts may still begin


class SidecarProcess:
    """One sidecar: its configuration, its process, and the frontend of discovery that it calls."""

    def __init__(self, trial: Trial, number: int, frontend: Frontend) -> None:
        """Create the sidecar without starting a process."""
        self.trial, self.number, self.frontend = trial, number, frontend
        host = loopback_host(1 + number % 250)
        self.address = f"{host}:{free_ports(host, 1)[0]}"
        self.client = HttpClient(self.address)
        self.process: subprocess.Popen[bytes] | None = None
        self.start_count = 0  # number of processes started so far
        self.initial_entries = [dict(entry) for entry in trial.discovery.entries.values()]
        self.path = trial.folder / f"n{number}"

    def start(self) -> None:
        """Start a process under the name and address of the previous one."""
        self.start_count += 1
        self.frontend.record_process_start()
        self.client.close()  # its connections belong to the previous process
        self.path.with_suffix(".json").write_text(json.dumps(self._configuration()))
        environment = {name: value for name, value in os.environ.items() if name != "TMPDIR"}
        with self.path.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "starlingwheel"],
                cwd=self.trial.root, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment | {"EDGE_CONFIG": str(self.path.with_suffix(".json"))},
                preexec_fn=set_parent_death_signal,
            )  # fmt: skip

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

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.alive:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self) -> None:
        """Wait until the sidecar accepts requests.

        Raises `RuntimeError` if the process ends or READY_TIMEOUT passes first.
        """
        until = asyncio.get_running_loop().time() + READY_TIMEOUT
        while asyncio.get_running_loop().time() < until and self.alive:
            with contextlib.suppress(ConnectionBrokenError):
                if (await self.client.call("GET", "/ready", {}))[0] == 200:
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"n{self.number} is not ready: {self.log()[-2000:]}")

    def log(self) -> str:
        """Return everything that the processes of this sidecar have logged."""
        return self.path.with_suffix(".log").read_text()

    def log_lines(self, *events: str) -> list[dict[str, Any]]:
        """Return the decoded log lines of these events."""
        lines = (json.loads(line) for line in self.log().splitlines() if line.startswith("{"))
        return [line for line in lines if line["event"] in events]
