"""Cases of the trial: each injects faults under client traffic and returns the result."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from fakes.discovery import Fault

from ..rig import ROOT
from ..verdict import TrialResult
from .faults import RandomFaults
from .trial import Trial, traffic


async def run_with_traffic(
    inject_faults: Callable[[Trial], Awaitable[None]], seconds: float, seed: int, root: Path
) -> TrialResult:
    """Inject faults into three sidecars and four servers under client traffic."""
    async with Trial(seed, sidecars=3, servers=4, root=root) as trial:
        async with traffic(trial, rate=30, seconds=seconds):
            await inject_faults(trial)
        return await trial.finish_and_check()


async def stop_answering(trial: Trial, seconds: float) -> None:
    """Have discovery accept calls and answer none in time, unlike an outage, which refuses connections."""
    trial.discovery.down = True
    await asyncio.sleep(seconds)
    trial.discovery.down = False


async def broken_message(fault: Fault, seed: int = 1, root: Path = ROOT) -> TrialResult:
    """Break off the message that announces a drain; discovery answers slowly from then on."""

    async def inject_faults(trial: Trial) -> None:
        await asyncio.sleep(0.7)
        trial.discovery.push_fault = fault
        trial.discovery.max_wait = 10.0
        trial.drain("s0")
        trial.discovery.calls_per_second = 1 / 1.2
        await asyncio.sleep(trial.discovery.push_delay + 0.01)
        trial.discovery.push_fault = Fault.NONE
        await stop_answering(trial, 2.5)

    return await run_with_traffic(inject_faults, 5.0, seed, root)


async def silent_watch(seed: int = 1, root: Path = ROOT) -> TrialResult:
    """Stall all watches, drain a server, and have an overloaded discovery answer no call for some seconds."""

    async def inject_faults(trial: Trial) -> None:
        await asyncio.sleep(0.5)
        trial.discovery.stall_watches()
        trial.discovery.down = True
        await asyncio.sleep(1.0)
        trial.drain("s0")
        await stop_answering(trial, 7.5)

    return await run_with_traffic(inject_faults, 10.0, seed, root)


async def ended_instead(seed: int = 1, root: Path = ROOT) -> TrialResult:
    """Close the watches instead of announcing a drain, and answer no call for some seconds."""

    async def inject_faults(trial: Trial) -> None:
        await asyncio.sleep(0.5)
        trial.discovery.push_fault = Fault.CLOSED_BEFORE
        trial.drain("s0")
        await stop_answering(trial, 7.5)

    return await run_with_traffic(inject_faults, 9.0, seed, root)


async def restarted(seed: int = 1, root: Path = ROOT) -> TrialResult:
    """Restart sidecars with a list from before a drain, while discovery answers no call."""

    async def inject_faults(trial: Trial) -> None:
        await asyncio.sleep(0.3)
        for sidecar in trial.sidecars:
            sidecar.kill()
        trial.discovery.down = True
        trial.drain("s0")
        for sidecar in trial.sidecars:
            sidecar.start()
        await stop_answering(trial, 7.5)

    return await run_with_traffic(inject_faults, 9.0, seed, root)


async def soak(
    seed: int, sidecars: int = 24, seconds: float = 30.0, root: Path = ROOT, fleet: bool = True
) -> TrialResult:
    """Inject overlapping random faults into a few dozen real processes; `fleet` is ignored."""
    del fleet
    async with Trial(seed, sidecars=sidecars, servers=8, root=root) as trial:
        async with traffic(trial, rate=4, seconds=seconds, disconnect_rate=0.05):
            await RandomFaults(trial, seconds).inject()
        return await trial.finish_and_check()


CASES = {
    "cut-message": lambda seed, root=ROOT, fleet=True: broken_message(Fault.ENDED, seed, root),
    "reset-message": lambda seed, root=ROOT, fleet=True: broken_message(Fault.RESET, seed, root),
    "stalled-message": lambda seed, root=ROOT, fleet=True: broken_message(Fault.STALLED, seed, root),
    "silent-watch": lambda seed, root=ROOT, fleet=True: silent_watch(seed, root),
    "ended-instead": lambda seed, root=ROOT, fleet=True: ended_instead(seed, root),
    "restarted": lambda seed, root=ROOT, fleet=True: restarted(seed, root),
    "list-soak": soak,
}
