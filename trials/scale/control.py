"""Commands from the run to its processes: a JSON object a line, over standard input and output."""

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

ANSWER_TIMEOUT = 120.0  # seconds, however busy the machine is
MAX_LINE_SIZE = 1 << 24  # bytes


def die_with_parent() -> None:
    """Have this process killed when the run ends, also when the run is killed itself."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is for the run, which ends its processes by id


class Process:
    """One process of the run."""

    def __init__(self, module: str) -> None:
        """`module`: which module it runs."""
        self.module = module
        self.process: asyncio.subprocess.Process | None = None
        self.call_lock = asyncio.Lock()

    async def begin(self, **arguments: object) -> dict[str, Any]:
        """Start it, and return the answer to its first command."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            self.module,
            cwd=ROOT,
            preexec_fn=die_with_parent,
            limit=MAX_LINE_SIZE,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            env=os.environ,
        )
        return await self.ask("begin", **arguments)

    async def ask(self, do: str, **arguments: object) -> dict[str, Any]:
        """Send a command and return its answer. Raises `RuntimeError` if it failed, `TimeoutError`."""
        process = self.process
        assert process is not None and process.stdin is not None and process.stdout is not None
        async with self.call_lock, asyncio.timeout(ANSWER_TIMEOUT):
            process.stdin.write(json.dumps({"do": do} | arguments).encode() + b"\n")
            await process.stdin.drain()
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.module} has ended")
        answer = json.loads(line)
        if "fault" in answer:
            raise RuntimeError(f"{self.module}: {answer['fault']}")
        return answer

    async def end(self) -> None:
        """Kill it, and wait for its end."""
        process = self.process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
