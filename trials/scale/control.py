"""Words between the run and its processes: a JSON object a line, over standard input and output."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import sys
from typing import Any

from ..rig import DIE_WITH_PARENT, ROOT

WITHIN = 120.0  # seconds within which a process answers, however busy the machine is
LONGEST = 1 << 24


def die_with_parent() -> None:
    """Guards against processes that outlive a run that was killed."""
    ctypes.CDLL(None).prctl(DIE_WITH_PARENT, signal.SIGKILL)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is for the run, which ends them by id


class Process:
    """One process of the run."""

    def __init__(self, module: str) -> None:
        self.module = module
        self.process: asyncio.subprocess.Process | None = None
        self.turn = asyncio.Lock()

    async def begin(self, **told: Any) -> dict[str, Any]:
        """Start it; what it says first."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", self.module, cwd=ROOT, preexec_fn=die_with_parent, limit=LONGEST,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, env=os.environ,
        )  # fmt: skip
        return await self.ask("begin", **told)

    async def ask(self, do: str, **told: Any) -> dict[str, Any]:
        process = self.process
        assert process is not None and process.stdin is not None and process.stdout is not None
        async with self.turn, asyncio.timeout(WITHIN):
            process.stdin.write(json.dumps({"do": do} | told).encode() + b"\n")
            await process.stdin.drain()
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.module} has ended")
        answer = json.loads(line)
        if "fault" in answer:
            raise RuntimeError(f"{self.module}: {answer['fault']}")
        return answer

    async def end(self) -> None:
        process = self.process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
