"""Random faults of discovery, servers and processes that overlap."""

from __future__ import annotations

import asyncio
import signal
from math import inf

from fakes.discovery import Fault

from .trial import DEADLINE, Trial

STOP_TIME = 0.7  # seconds beyond the longest deadline in which a shutdown has ended
CONCURRENT_FAULTS = 4
MIN_TIME_LEFT = 4.0  # seconds before the end, after which no fault begins


class Faults:
    """Random faults of discovery, servers and processes that overlap; a seed names the timetable."""

    def __init__(self, trial: Trial, seconds: float) -> None:
        """Faults begin until shortly before `seconds` from now."""
        self.trial, self.rng = trial, trial.rng
        self.until = asyncio.get_running_loop().time() + seconds
        self.standby = list(trial.servers)[: len(trial.servers) // 4]  # servers that come and go
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

    async def play(self) -> None:
        """Play several at a time, each after a random pause."""
        await asyncio.gather(*(self._one_after_another() for _ in range(CONCURRENT_FAULTS)))

    async def _one_after_another(self) -> None:
        loop = asyncio.get_running_loop()
        while (time_left := self.until - loop.time()) > MIN_TIME_LEFT:
            await asyncio.sleep(self.rng.random() * 1.5)
            fault = self.rng.choice(self.kinds)
            self.trial.counts[f"fault {fault.__name__}"] += 1
            await fault(min(time_left, 0.5 + self.rng.random() * 7.0))

    async def crowd(self, seconds: float) -> None:
        """Discovery answers few calls a second, and makes the others wait."""
        discovery = self.trial.discovery
        discovery.calls_per_second = len(discovery.frontends) / (1.0 + 4.0 * self.rng.random())
        discovery.max_wait = self.rng.choice((1.0, 2.0, 3.0))
        await asyncio.sleep(seconds)
        discovery.calls_per_second = inf

    async def outage(self, seconds: float) -> None:
        """Discovery is down."""
        self.trial.discovery.take_down()
        await asyncio.sleep(seconds)
        self.trial.discovery.bring_up()

    async def silence(self, seconds: float) -> None:
        """All watches fall silent."""
        self.trial.discovery.stall_watches()
        await asyncio.sleep(seconds / 4)

    async def reset(self, seconds: float) -> None:
        """All watches are reset."""
        self.trial.discovery.reset_watches()
        await asyncio.sleep(seconds / 4)

    async def break_messages(self, seconds: float) -> None:
        """Messages to watches do not arrive complete."""
        self.trial.discovery.push_fault = self.rng.choice(list(Fault))
        await asyncio.sleep(seconds)
        self.trial.discovery.push_fault = Fault.NONE

    async def replace_server(self, seconds: float) -> None:
        """A server drains, goes and comes back, and answers requests all the while."""
        if not self.standby:
            return
        name = self.standby.pop()
        self.trial.drain(name)
        await asyncio.sleep(seconds)
        self.trial.drain(name, state="left")
        await asyncio.sleep(0.5)
        self.trial.discovery.change(self.trial.entry(name))
        self.standby.append(name)

    async def hang_server(self, seconds: float) -> None:
        """A server takes requests and answers none."""
        name = self.rng.choice([*self.trial.servers])
        self.trial.hanging.add(name)
        await asyncio.sleep(seconds / 2)
        self.trial.hanging.discard(name)

    async def kill(self, seconds: float) -> None:
        """A sidecar is killed and started again."""
        sidecar = self.rng.choice(self.trial.sidecars)
        sidecar.kill()
        await asyncio.sleep(0.2)
        sidecar.start()

    async def stop(self, seconds: float) -> None:
        """A sidecar is shut down, and started again once it has ended."""
        sidecar = self.rng.choice(self.trial.sidecars)
        process = sidecar.process
        sidecar.signal(signal.SIGTERM)
        until = asyncio.get_running_loop().time() + DEADLINE + STOP_TIME
        while sidecar.alive and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.05)
        if sidecar.process is process:
            sidecar.kill()
            sidecar.start()

    async def pause(self, seconds: float) -> None:
        """A sidecar is held up for a little less than the 0.15 s that the rules allow for."""
        sidecar = self.rng.choice(self.trial.sidecars)
        sidecar.signal(signal.SIGSTOP)
        await asyncio.sleep(0.12)
        sidecar.signal(signal.SIGCONT)
