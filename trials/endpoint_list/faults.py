"""Overlapping random faults of discovery, servers and processes."""

from __future__ import annotations

import asyncio
import signal
from math import inf

from fakes.discovery import Fault

from .trial import DEADLINE, Trial

SHUTDOWN_TIME = 0.7  # seconds after the longest deadline by which a shutdown has ended
CONCURRENT_FAULTS = 4
MIN_TIME_LEFT = 4.0  # seconds before the end from which on no fault begins


class RandomFaults:
    """Overlapping random faults, drawn from the seed of the trial.

    The names of the methods are printed in the counts of the result.
    """

    def __init__(self, trial: Trial, seconds: float) -> None:
        """Prepare faults that begin until MIN_TIME_LEFT before `seconds` from now."""
        self.trial, self.rng = trial, trial.rng
        self.end = asyncio.get_running_loop().time() + seconds
        # The servers that `replace_server` may drain.
        self.replaceable = list(trial.servers)[: len(trial.servers) // 4]
        self.kinds = (
            self.crowd,
            self.outage,
            self.silence,
            self.reset,
            self.break_messages,
            self.replace_server,
            self.replace_server,
            self.hang_server,
            self.kill,
            self.stop,
            self.pause,
        )

    async def inject(self) -> None:
        """Inject CONCURRENT_FAULTS at a time, each after a random pause."""
        await asyncio.gather(*(self._inject_one_after_another() for _ in range(CONCURRENT_FAULTS)))

    async def _inject_one_after_another(self) -> None:
        loop = asyncio.get_running_loop()
        while (time_left := self.end - loop.time()) > MIN_TIME_LEFT:
            await asyncio.sleep(self.rng.random() * 1.5)
            fault = self.rng.choice(self.kinds)
            self.trial.counts[f"fault {fault.__name__}"] += 1
            await fault(min(time_left, 0.5 + self.rng.random() * 7.0))

    async def crowd(self, seconds: float) -> None:
        """Overload discovery: it answers few calls a second and lets the others wait."""
        discovery = self.trial.discovery
        discovery.calls_per_second = len(discovery.frontends) / (1.0 + 4.0 * self.rng.random())
        discovery.max_wait = self.rng.choice((1.0, 2.0, 3.0))
        await asyncio.sleep(seconds)
        discovery.calls_per_second = inf

    async def outage(self, seconds: float) -> None:
        """Stop discovery for `seconds`."""
        self.trial.discovery.take_down()
        await asyncio.sleep(seconds)
        self.trial.discovery.bring_up()

    async def silence(self, seconds: float) -> None:
        """Stall all watches."""
        self.trial.discovery.stall_watches()
        await asyncio.sleep(seconds / 4)

    async def reset(self, seconds: float) -> None:
        """Reset all watches."""
        self.trial.discovery.reset_watches()
        await asyncio.sleep(seconds / 4)

    async def break_messages(self, seconds: float) -> None:
        """Break messages to watches in a random way."""
        self.trial.discovery.push_fault = self.rng.choice(list(Fault))
        await asyncio.sleep(seconds)
        self.trial.discovery.push_fault = Fault.NONE

    async def replace_server(self, seconds: float) -> None:
        """Drain a server, remove it and add it again; the server answers requests all the time."""
        if not self.replaceable:
            return
        name = self.replaceable.pop()
        self.trial.drain(name)
        await asyncio.sleep(seconds)
        self.trial.drain(name, state="left")
        await asyncio.sleep(0.5)
        self.trial.discovery.change(self.trial.entry(name))
        self.replaceable.append(name)

    async def hang_server(self, seconds: float) -> None:
        """Have a server accept requests without answering them, for half of `seconds`."""
        name = self.rng.choice([*self.trial.servers])
        self.trial.hanging.add(name)
        await asyncio.sleep(seconds / 2)
        self.trial.hanging.discard(name)

    async def kill(self, seconds: float) -> None:
        """Kill a sidecar and restart it."""
        sidecar = self.rng.choice(self.trial.sidecars)
        sidecar.kill()
        await asyncio.sleep(0.2)
        sidecar.start()

    async def stop(self, seconds: float) -> None:
        """Shut a sidecar down by SIGTERM, kill its process if it has not ended in time, and restart it."""
        sidecar = self.rng.choice(self.trial.sidecars)
        process = sidecar.process
        sidecar.signal(signal.SIGTERM)
        end = asyncio.get_running_loop().time() + DEADLINE + SHUTDOWN_TIME
        while sidecar.alive and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        if sidecar.process is process:
            sidecar.kill()
            sidecar.start()

    async def pause(self, seconds: float) -> None:
        """Pause a sidecar for 0.12 s, a little less than the 0.15 s that the checks allow for."""
        sidecar = self.rng.choice(self.trial.sidecars)
        sidecar.signal(signal.SIGSTOP)
        await asyncio.sleep(0.12)
        sidecar.signal(signal.SIGCONT)
