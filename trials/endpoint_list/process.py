"""One sidecar of a trial: its configuration, its process, and the front of discovery that it calls."""

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


GRACE = 0.5  # seconds after the notice of a drain


class Process:
    """One sidecar: its configuration, its process, and the front of discovery that it calls."""

    def __init__(self, trial: Trial, number: int, frontend: Frontend) -> None:
        """Not started yet."""
        self.trial, self.number, self.frontend = trial, number, frontend
        host = loopback_host(1 + number % 250)
        self.address = f"{host}:{free_ports(host, 1)[0]}"
        self.caller = HttpClient(self.address)
        self.process: subprocess.Popen[bytes] | None = None
        self.started = 0  # processes so far
        self.known = [dict(entry) for entry in trial.discovery.entries.values()]
        self.path = trial.folder / f"n{number}"

    def start(self) -> None:
        """Start a process, under the name and address of the one before."""
        self.started += 1
        self.frontend.record_process_start()
        self.caller.close()  # its connections are those of the process before
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
            "rules": {"mustAskIn": 10_000_000, "drainGrace": int(GRACE * 1e6)},
            "replicasOfMe": len(self.trial.discovery.frontends),
        }  # fmt: skip
        return {
            "name": f"n{self.number}", "listen": self.address, "discovery": self.frontend.address,
            "seed": f"{self.trial.seed}-{self.number}-{self.started}", "settings": settings,
            "known": {"version": 1, "full": True, "servers": self.known},
        }  # fmt: skip

    @property
    def alive(self) -> bool:
        """The process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.alive:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self) -> None:
        """Wait until it accepts requests; raises `RuntimeError` where it does not."""
        until = asyncio.get_running_loop().time() + READY_TIMEOUT
        while asyncio.get_running_loop().time() < until and self.alive:
            with contextlib.suppress(ConnectionBrokenError):
                if (await self.caller.call("GET", "/ready", {}))[0] == 200:
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"n{self.number} is not ready: {self.log()[-2000:]}")

    def log(self) -> str:
        """What its processes have logged."""
        return self.path.with_suffix(".log").read_text()

    def log_lines(self, *events: str) -> list[dict[str, Any]]:
        """The log lines of these events."""
        lines = (json.loads(line) for line in self.log().splitlines() if line.startswith("{"))
        return [line for line in lines if line["event"] in events]
