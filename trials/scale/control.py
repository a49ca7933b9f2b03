"""Commands from the run to its processes, as JSON objects, one a line, over standard input and output."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import sys
from typing import Any

from ..processes import PR_SET_PDEATHSIG
from ..rig import ROOT

REPLY_TIMEOUT = 120.0  # seconds; long enough for a busy machine
MAX_LINE_SIZE = 1 << 24  # bytes


def prepare_child() -> None:
    """Have the kernel kill this process when the run ends, even if the run is killed, and ignore Ctrl-C."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the run handles Ctrl-C and ends its processes


class Process:
    """One child process of the run."""

    def __init__(self, module: str) -> None:
        """Set up a process without starting it. `module`: the module that the process runs."""
        self.module = module
        self.process: asyncio.subprocess.Process | None = None
        self.call_lock = asyncio.Lock()

    async def begin(self, **arguments: object) -> dict[str, Any]:
        """Start the process, and return its answer to the command `begin`."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            self.module,
            cwd=ROOT,
            preexec_fn=prepare_child,
            limit=MAX_LINE_SIZE,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            env=os.environ,
        )
        return await self.send_command("begin", **arguments)

    async def send_command(self, command: str, **arguments: object) -> dict[str, Any]:
        """Send a command and return its answer. Raises `RuntimeError` if it fails, and `TimeoutError`."""
        process = self.process
        assert process is not None and process.stdin is not None and process.stdout is not None
        async with self.call_lock, asyncio.timeout(REPLY_TIMEOUT):
            process.stdin.write(json.dumps({"do": command} | arguments).encode() + b"\n")
            await process.stdin.drain()
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.module} has ended")
        answer = json.loads(line)
        if "fault" in answer:
            raise RuntimeError(f"{self.module}: {answer['fault']}")
        return answer

    async def end(self) -> None:
        """Kill the process, and wait for its end."""
        process = self.process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
