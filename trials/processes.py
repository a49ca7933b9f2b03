"""The processes that trials start."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from fakes.http1 import ConnectionBrokenError, HttpClient

PR_SET_PDEATHSIG = 1  # an option of prctl
READY_TIMEOUT = 20.0  # seconds, enough on a busy machine
READY_POLL_INTERVAL = 0.02  # seconds
PROGRAM = ("-m", "starlingwheel")


def set_parent_death_signal() -> None:
    """Have the kernel kill this process when its parent ends, so that none outlives a killed trial."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def cpu_time(pid: int) -> float:
    """Return the seconds of CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf("SC_CLK_TCK")


class SidecarProgram:
    """The program of one sidecar: its configuration file, its log and the process that runs it."""

    def __init__(self, name: str, address: str, folder: Path, root: Path) -> None:
        """Create the program without a process. `address`: of its clients; `root`: the checkout to run."""
        self.name, self.address, self.root = name, address, root
        self.config_path, self.log_path = folder / f"{name}.json", folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start_process(
        self,
        configuration: dict[str, Any],
        environment: Mapping[str, str] | None = None,
        program: Sequence[str] = PROGRAM,
        descriptors: Sequence[int] = (),
    ) -> None:
        """Start a process; `environment` is added to that of the trial, and `descriptors` are passed to it.

        TMPDIR is not inherited: all sidecars of the trial would share the operators' overrides stored there.
        """
        self.write_configuration(configuration)
        inherited = {name: value for name, value in os.environ.items() if name != "TMPDIR"}
        inherited["EDGE_CONFIG"] = str(self.config_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", *program],
                cwd=self.root,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=inherited | dict(environment or {}),
                pass_fds=descriptors,
                preexec_fn=set_parent_death_signal,
            )

    def write_configuration(self, configuration: dict[str, Any]) -> None:
        """Write the file that a process reads at its start and at SIGHUP."""
        self.config_path.write_text(json.dumps(configuration))

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.alive:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self, address: str = "", path: str = "/ready") -> None:
        """Wait until the sidecar accepts requests, by its own address or another one of its addresses.

        Raises `RuntimeError` if the process ends or READY_TIMEOUT passes first.
        """
        client = HttpClient(address or self.address)
        until = asyncio.get_running_loop().time() + READY_TIMEOUT
        while asyncio.get_running_loop().time() < until and self.alive:
            with contextlib.suppress(ConnectionBrokenError):
                if (await client.call("GET", path, {}))[0] == 200:
                    client.close()
                    return
            await asyncio.sleep(READY_POLL_INTERVAL)
        raise RuntimeError(f"{self.name} is not ready: {self.log()[-2000:]}")

    def log(self) -> str:
        """Return everything that the processes of this sidecar have logged."""
        return self.log_path.read_text()

    def log_lines(self, *events: str) -> list[dict[str, Any]]:
        """Return the decoded log lines of these events."""
        lines = []
        for line in self.log().splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                lines.append(json.loads(line))
        return [line for line in lines if line.get("event") in events]
