"""One run of the soak: load, signals and changes of servers, then SIGTERM and the kill."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from pathlib import Path
from typing import Any

from ..rig import CAPS, ROOT
from ..scale.counts import resident_memory
from ..single import SingleSidecar
from ..verdict import TrialResult
from .clients import SoakClients
from .judge import Judge
from .plan import LOAD_TIME, MEMORY_LIMIT_MB, SoakPlan
from .servers import SoakServers

SERVERS = 6
SAMPLE_INTERVAL = 0.02  # seconds between looks at the memory and at the trial's own delay
MAX_NEW_CONNECTION_TIME = 0.3  # seconds after SIGTERM for which clients open connections
REPLACE_AT = 2.0  # seconds; when another process takes the place of the first one
BACKLOG_TIME = 0.2  # seconds within which a connection is accepted
NOTICE_TIME = 0.15  # seconds from a change of the list until the sidecar has read it for certain
SLOW_READ_PAUSE = 0.08  # seconds between the reads of the server that reads slowly
BYTES_PER_MB = 2**20
FINISH_TIMEOUT = 14.0  # seconds for clients to read what is left


class SoakRun:
    """One sidecar, its servers and its clients."""

    def __init__(self, plan: SoakPlan, root: Path) -> None:
        """Create the run; `root` is the checkout whose program is run."""
        self.plan, self.judge = plan, Judge(plan)
        self.servers = SoakServers(self.judge)
        self.sidecar = SingleSidecar(
            self.servers.handler_for,
            SERVERS,
            plan.categories(),
            root,
            passed_socket=plan.is_replaced,
            limits={"memory_mb": MEMORY_LIMIT_MB, "sockets": 384},
            entry_fields=lambda name: {"cell": self.servers.identities[name].cell},
        )
        self.peak_memory = 0
        self.terminated: set[str] = set()  # processes that were told to stop

    async def play(self) -> TrialResult:
        """Play the run and return the verdict."""
        loop = asyncio.get_running_loop()
        async with self.sidecar:
            list(self.sidecar.servers.values())[0].read_pause = SLOW_READ_PAUSE
            self.started_at = loop.time()
            self.clients = SoakClients(
                self.sidecar.address, self.judge, self.plan.rng, self.plan.has_crowd or self.plan.has_noise
            )
            watching = asyncio.create_task(self._watch())
            faults = [asyncio.create_task(fault) for fault in self._faults()]
            await self._send_until(self.started_at + LOAD_TIME)
            await self._stop()
            left = await self.clients.finish(FINISH_TIMEOUT)
            for task in [*faults, watching]:
                task.cancel()
            for result in await asyncio.gather(*faults, return_exceptions=True):
                if isinstance(result, Exception):
                    raise RuntimeError(f"a fault could not be played: {result!r}")
            self._check_processes(left)
        violations = self.judge.violations()
        counts: dict[str, Any] = {**self.plan.describe(), "requests": len(self.judge.records)}
        counts |= dict(sorted(self.judge.counts.items()))
        counts |= {"peak_mb": round(self.peak_memory / BYTES_PER_MB, 1)}
        counts |= {"trial_late_ms": round(self.judge.max_delay * 1000)}
        return TrialResult(counts, violations)

    # Load.

    async def _send_until(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until and self.sidecar.process.alive:
            self.clients.start(self.plan.next_request())
            await asyncio.sleep(self.plan.rng.expovariate(self.plan.rate))

    async def _watch(self) -> None:
        """Record the memory of the processes, and by how much the trial itself is late."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + SAMPLE_INTERVAL
            await asyncio.sleep(SAMPLE_INTERVAL)
            self.judge.max_delay = max(self.judge.max_delay, loop.time() - due)
            for program in self.sidecar.programs:
                if program.process is not None and program.alive:
                    with contextlib.suppress(OSError, IndexError):
                        self.peak_memory = max(self.peak_memory, resident_memory(program.process.pid))

    # Faults.

    def _faults(self) -> list[Any]:
        faults: list[Any] = [self._reload(at) for at in self.plan.reloads_at]
        faults += [self._change_server(at) for at in self.plan.server_changes_at]
        if self.plan.is_replaced:
            faults.append(self._replace())
        end = self.started_at + LOAD_TIME
        if self.plan.has_crowd:
            self.clients.start_crowd(end)
        if self.plan.has_noise:
            self.clients.start_noise(end)
        return faults

    async def _sleep_until(self, seconds: float) -> None:
        """Sleep until so many seconds after the start."""
        await asyncio.sleep(max(0.0, self.started_at + seconds - asyncio.get_running_loop().time()))

    async def _reload(self, at: float) -> None:
        """Have the process read a changed configuration."""
        await self._sleep_until(at)
        attempts = self.plan.rng.choice([1, 2, 3])
        self.sidecar.settings = {"caps": CAPS | {"mostHandOffs": attempts}}
        self.sidecar.process.write_configuration(self.sidecar.configuration())
        self.sidecar.process.signal(signal.SIGHUP)

    async def _replace(self) -> None:
        """Replace the process; the first one is killed at the earliest time that the protocol names."""
        await self._sleep_until(REPLACE_AT)
        former = self.sidecar.process
        await self.sidecar.replace_process()
        self.terminated.add(former.name)
        await asyncio.sleep(self.plan.kill_after)
        self._kill(former)

    async def _change_server(self, at: float) -> None:
        """Have a process under another id and in another cell come up at the address of one that ends."""
        await self._sleep_until(at)
        name = self.plan.rng.choice(list(self.servers.identities))
        identity = self.servers.identities[name]
        server = self.sidecar.servers[name]
        for runs in self.judge.runs.values():
            for run in runs:
                is_open = run.delivery is None or run.delivery.completed_at is None
                run.server_ended = run.server_ended or (run.place == identity.endpoint_id and is_open)
        await server.stop()
        former_id = identity.endpoint_id
        identity.restart(cell=1 - identity.cell)
        await server.start()
        if self.plan.rng.random() < 0.5:
            # For a while both are listed at the address.
            self._list_servers(keep=former_id)
            await asyncio.sleep(0.5)
        self._list_servers()

    def _list_servers(self, keep: str = "") -> None:
        former = {name: entry for name, entry in self.sidecar.entries.items() if name == keep}
        self.sidecar.entries.clear()
        for name, identity in self.servers.identities.items():
            entry = self.sidecar.entry(name, id=identity.endpoint_id, cell=identity.cell)
            if identity.starts > 1:
                entry["started_ms"] = int(self.wall_clock_ms())
            self.sidecar.entries[identity.endpoint_id] = entry
        self.sidecar.list_endpoints(*former.values())
        known_at = asyncio.get_running_loop().time() + NOTICE_TIME
        for identity in self.servers.identities.values():
            identity.known_at = min(identity.known_at, known_at)

    @staticmethod
    def wall_clock_ms() -> float:
        """Return the time that discovery lists as the start of a process."""
        return time.time() * 1000

    # The end.

    async def _stop(self) -> None:
        """Stop the latest process; clients use their open connections until it is killed."""
        loop, process = asyncio.get_running_loop(), self.sidecar.process
        if not process.alive:
            return
        if self.plan.is_replaced:
            # The platform keeps a passed socket open for the next process; here there is none to come.
            self.clients.accepts_new = False
            self.sidecar.close_listener()
            await self._send_until(loop.time() + BACKLOG_TIME)
        process.signal(signal.SIGTERM)
        self.terminated.add(process.name)
        told_at = loop.time()
        await self._send_until(told_at + MAX_NEW_CONNECTION_TIME)
        self.clients.accepts_new = False
        self.sidecar.close_listener()
        await self._send_until(told_at + self.plan.kill_after)
        self._kill(process)

    def _kill(self, program: Any) -> None:  # noqa: ANN401
        if program.alive:
            self.judge.killed_at.append(asyncio.get_running_loop().time())
            self.judge.counts["processes killed"] += 1
            program.kill()

    def _check_processes(self, clients_left: int) -> None:
        found = self.judge.other_violations
        for program in self.sidecar.programs:
            code = program.process.returncode if program.process is not None else None
            if program.name not in self.terminated or code not in (0, -signal.SIGKILL):
                found.append(f"{program.name} ended with {code}: {program.log()[-500:]}")
        found += [f"an error in the program: {line}" for line in self.sidecar.defects()]
        if self.peak_memory > MEMORY_LIMIT_MB * BYTES_PER_MB:
            found.append(f"{self.peak_memory / BYTES_PER_MB:.1f} MB of memory")
        if clients_left:
            found.append(f"{clients_left} clients did not end")


async def run_trial(seed: int, root: Path = ROOT, **_: object) -> TrialResult:
    """Run the soak once."""
    return await SoakRun(SoakPlan(seed), root).play()
