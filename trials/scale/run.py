"""One run: a fleet of a size is started, and measured through the phases."""

from __future__ import annotations

import asyncio
import random
import subprocess
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from ..rig import ROOT
from .figures import role_lines
from .fleet import POLL_INTERVAL, FleetStuckError, ScaleFleet
from .options import RunOptions
from .phases import PHASES, SETTLE_TIME, Phases

Json = dict[str, Any]


class Run:
    """One fleet and its phases. `output` is given each line."""

    def __init__(self, options: RunOptions, output: Callable[[Json], None]) -> None:
        """`begin` starts the fleet."""
        self.options = options
        self.output = output
        self.fleet = ScaleFleet(options)
        self.rng = random.Random(f"scale {options.seed} {options.plan.size}")
        self.commit = checked_out_commit()

    async def begin(self) -> None:
        """Start the fleet. Raises `FleetStuckError`."""
        await self.fleet.start()

    async def end(self) -> None:
        """End all processes."""
        await self.fleet.end()

    async def play(self) -> None:
        """Play all phases, each after a while of quiet. Raises `FleetStuckError`."""
        phases = Phases(self.fleet, self.rng, self._measure)
        for name in self.options.phases:
            await self._wait_until_quiet()
            await PHASES[name](phases)

    @asynccontextmanager
    async def _measure(self, name: str) -> AsyncIterator[Json]:
        """Give out the figures between begin and end, with what is put into the dict meanwhile."""
        added: Json = {}
        before = await self.fleet.sample()
        stuck: FleetStuckError | None = None
        try:
            yield added
        except FleetStuckError as error:
            stuck = error
            added["stuck"] = str(error)
        after = await self.fleet.sample()
        head = self._head(name, before, after)
        fleet = self.fleet
        for line in role_lines(before, after, fleet.workers, fleet.alone, fleet.base_memory):
            self.output(head | line | added)
        if stuck is not None:
            raise stuck

    def _head(self, phase: str, before: Json, after: Json) -> Json:
        """Return what all lines of a phase begin with."""
        return {
            "size": self.options.plan.size,
            "seed": self.options.seed,
            "cell_size": self.options.cell_size,
            "phase": phase,
            "seconds": round(after["at"] - before["at"], 3),
            "load": after["load"],
            "commit": self.commit,
        }

    async def _wait_until_quiet(self) -> None:
        """Wait until no link has come up or ended for a while: a new one has more heartbeats."""
        changes, since, deadline = -1, 0.0, time.monotonic() + self.fleet.ready_timeout
        while time.monotonic() < deadline:
            now = await self.fleet.link_changes()
            if now != changes:
                changes, since = now, time.monotonic()
            if time.monotonic() >= since + SETTLE_TIME:
                return
            await asyncio.sleep(POLL_INTERVAL)
        timeout = self.fleet.ready_timeout
        raise FleetStuckError(f"links come and go for {timeout:.0f} s: {self.fleet.last_state}")


def checked_out_commit() -> str:
    """Return which program is run; with a plus where files differ from that commit."""
    command = ["git", "describe", "--always", "--dirty=+", "--exclude=*"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout.strip()
