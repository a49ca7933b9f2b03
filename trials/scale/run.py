"""One run: starts a fleet of one size, and measures it in each phase."""

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
    """One fleet and its phases. `output` is called with each line."""

    def __init__(self, options: RunOptions, output: Callable[[Json], None]) -> None:
        """Prepare the fleet, which `begin` starts."""
        self.options = options
        self.output = output
        self.fleet = ScaleFleet(options)
        self.rng = random.Random(f"scale {options.seed} {options.layout.size}")
        self.commit = checked_out_commit()

    async def begin(self) -> None:
        """Start the fleet. Raises `FleetStuckError`."""
        await self.fleet.start()

    async def end(self) -> None:
        """End all processes."""
        await self.fleet.end()

    async def run_phases(self) -> None:
        """Run all phases, each after a time without link changes. Raises `FleetStuckError`."""
        phases = Phases(self.fleet, self.rng, self._measure)
        for name in self.options.phases:
            await self._wait_for_stable_links()
            await PHASES[name](phases)

    @asynccontextmanager
    async def _measure(self, name: str) -> AsyncIterator[Json]:
        """Output the figures of the context's duration, with what was put into the dict that it yields."""
        details: Json = {}
        before = await self.fleet.sample()
        stuck: FleetStuckError | None = None
        try:
            yield details
        except FleetStuckError as error:
            stuck = error
            details["stuck"] = str(error)
        after = await self.fleet.sample()
        head = self._line_head(name, before, after)
        fleet = self.fleet
        for line in role_lines(before, after, fleet.workers, fleet.alone, fleet.base_memory):
            self.output(head | line | details)
        if stuck is not None:
            raise stuck

    def _line_head(self, phase: str, before: Json, after: Json) -> Json:
        """Return the keys that all lines of a phase begin with."""
        return {
            "size": self.options.layout.size,
            "seed": self.options.seed,
            "cell_size": self.options.cell_size,
            "phase": phase,
            "seconds": round(after["at"] - before["at"], 3),
            "load": after["load"],
            "commit": self.commit,
        }

    async def _wait_for_stable_links(self) -> None:
        """Wait until no link has changed for a while, since new links have more heartbeats."""
        changes, stable_since, deadline = -1, 0.0, time.monotonic() + self.fleet.ready_timeout
        while time.monotonic() < deadline:
            latest = await self.fleet.link_changes()
            if latest != changes:
                changes, stable_since = latest, time.monotonic()
            if time.monotonic() >= stable_since + SETTLE_TIME:
                return
            await asyncio.sleep(POLL_INTERVAL)
        timeout = self.fleet.ready_timeout
        raise FleetStuckError(f"links come and go for {timeout:.0f} s: {self.fleet.last_state}")


def checked_out_commit() -> str:
    """Return the commit of the program, with a plus if files differ from it."""
    command = ["git", "describe", "--always", "--dirty=+", "--exclude=*"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout.strip()
