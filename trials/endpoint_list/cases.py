"""The cases: each plays faults over a trial with clients, and returns its verdict."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from fakes.discovery import Fault

from ..rig import ROOT
from ..verdict import TrialResult
from .faults import Faults
from .trial import Trial, traffic


async def played(
    play_faults: Callable[[Trial], Awaitable[None]], seconds: float, seed: int, root: Path
) -> TrialResult:
    """Play faults over three sidecars and four servers, with clients all the while."""
    async with Trial(seed, sidecars=3, servers=4, root=root) as trial:
        async with traffic(trial, rate=30, seconds=seconds):
            await play_faults(trial)
        return await trial.result()


async def answer_nobody(trial: Trial, seconds: float) -> None:
    """Have discovery accept calls and answer none in time, which is not the same as being down."""
    trial.discovery.down = True
    await asyncio.sleep(seconds)
    trial.discovery.down = False


async def broken_message(fault: Fault, seed: int = 1, root: Path = ROOT) -> TrialResult:
    """A notice of a drain is written and arrives incomplete; discovery answers slowly from then on."""

    async def play_faults(trial: Trial) -> None:
        await asyncio.sleep(0.7)
        trial.discovery.push_fault = fault
        trial.discovery.max_wait = 10.0
        trial.drain("s0")
        trial.discovery.calls_per_second = 1 / 1.2
        await asyncio.sleep(trial.discovery.push_delay + 0.01)
        trial.discovery.push_fault = Fault.NONE
        await answer_nobody(trial, 2.5)

    return await played(play_faults, 5.0, seed, root)


async def silent_watch(seed: int = 1, root: Path = ROOT) -> TrialResult:
    """All watches fall silent, servers drain, and a crowded discovery answers nobody for some seconds."""

    async def play_faults(trial: Trial) -> None:
        await asyncio.sleep(0.5)
        trial.discovery.stall_watches()
        trial.discovery.down = True
        await asyncio.sleep(1.0)
        trial.drain("s0")
        await answer_nobody(trial, 7.5)

    return await played(play_faults, 10.0, seed, root)


async def ended_instead(seed: int = 1, root: Path = ROOT) -> TrialResult:
    """Watches end instead of telling of a drain, and a crowded discovery answers nobody for some seconds."""

    async def play_faults(trial: Trial) -> None:
        await asyncio.sleep(0.5)
        trial.discovery.push_fault = Fault.CLOSED_BEFORE
        trial.drain("s0")
        await answer_nobody(trial, 7.5)

    return await played(play_faults, 9.0, seed, root)


async def restarted(seed: int = 1, root: Path = ROOT) -> TrialResult:
    """Sidecars restart with a list from before a drain, and a crowded discovery answers nobody."""

    async def play_faults(trial: Trial) -> None:
        await asyncio.sleep(0.3)
        for sidecar in trial.sidecars:
            sidecar.kill()
        trial.discovery.down = True
        trial.drain("s0")
        for sidecar in trial.sidecars:
            sidecar.start()
        await answer_nobody(trial, 7.5)

    return await played(play_faults, 9.0, seed, root)


async def soak(
    seed: int, sidecars: int = 24, seconds: float = 30.0, root: Path = ROOT, fleet: bool = True
) -> TrialResult:
    """Random faults that overlap, over a few dozen real processes, judged by the invariants."""
    del fleet
    async with Trial(seed, sidecars=sidecars, servers=8, root=root) as trial:
        async with traffic(trial, rate=4, seconds=seconds, leave=0.05):
            await Faults(trial, seconds).play()
        return await trial.result()


CASES = {
    "cut-message": lambda seed, root=ROOT, fleet=True: broken_message(Fault.ENDED, seed, root),
    "reset-message": lambda seed, root=ROOT, fleet=True: broken_message(Fault.RESET, seed, root),
    "stalled-message": lambda seed, root=ROOT, fleet=True: broken_message(Fault.STALLED, seed, root),
    "silent-watch": lambda seed, root=ROOT, fleet=True: silent_watch(seed, root),
    "ended-instead": lambda seed, root=ROOT, fleet=True: ended_instead(seed, root),
    "restarted": lambda seed, root=ROOT, fleet=True: restarted(seed, root),
    "list-soak": soak,
}
