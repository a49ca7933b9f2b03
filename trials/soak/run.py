"""One run of the soak: load, signals, changes of servers and discovery, then SIGTERM and the kill."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any

from ..backends import Backends, Json
from ..processes import SidecarProgram
from ..rig import CAPS, ROOT
from ..scale.counts import resident_memory
from ..single import SingleSidecar
from ..verdict import TrialResult
from .clients import SoakClients
from .judge import DRAIN_GRACE, MISSED_NOTICE_TIME, NOTICE_TIME, Judge, Kill
from .plan import LOAD_TIME, PAUSE_TIMES, SoakPlan
from .servers import ServerIdentity, SoakServers

SERVERS = 6
SAMPLE_INTERVAL = 0.02  # seconds between looks at the memory and at the trial's own delay
MAX_NEW_CONNECTION_TIME = 0.3  # seconds after SIGTERM for which clients open connections
REPLACE_AT = 2.0  # seconds; when another process takes the place of the first one
BACKLOG_TIME = 0.2  # seconds within which a connection is accepted
MAX_STOP_PAUSE = 0.4  # seconds between the first and the last SIGTERM
SLOW_READ_PAUSE = 0.08  # seconds between the reads of the server that reads slowly
BYTES_PER_MB = 2**20
FINISH_TIMEOUT = 14.0  # seconds for clients to read what is left


@dataclass(frozen=True)
class SoakNode:
    """One sidecar and its clients."""

    sidecar: SingleSidecar
    clients: SoakClients


class SoakRun:
    """Some sidecars, their servers and their clients."""

    def __init__(self, plan: SoakPlan, root: Path) -> None:
        """Create the run; `root` is the checkout whose program is run."""
        self.plan, self.judge, self.root = plan, Judge(plan), root
        self.servers = SoakServers(self.judge)
        self.backends = Backends(
            self.servers.handler_for,
            SERVERS,
            entry_fields=lambda name: {"cell": self.servers.identities[name].cell},
        )
        self.nodes: list[SoakNode] = []
        self.peak_memory = 0
        self.terminated: set[str] = set()  # processes that were told to stop
        self.is_over = False  # no further requests are sent

    async def play(self) -> TrialResult:
        """Play the run and return the verdict."""
        async with contextlib.AsyncExitStack() as stack:
            await self.backends.start()
            stack.push_async_callback(self.backends.stop)
            for number in range(self.plan.sidecars):
                self.nodes.append(await self._start_node(stack, number))
            list(self.backends.servers.values())[0].read_pause = SLOW_READ_PAUSE
            await self._play_faults()
        violations = self.judge.violations()
        counts: dict[str, Any] = {**self.plan.describe(), "requests": len(self.judge.records)}
        counts |= dict(sorted(self.judge.counts.items()))
        counts |= {"peak_mb": round(self.peak_memory / BYTES_PER_MB, 1)}
        counts |= {"trial_late_ms": round(self.judge.max_delay * 1000)}
        return TrialResult(counts, violations)

    async def _start_node(self, stack: contextlib.AsyncExitStack, number: int) -> SoakNode:
        plan, is_first = self.plan, number == 0
        sidecar = SingleSidecar(
            self.servers.handler_for,
            SERVERS,
            plan.categories(),
            self.root,
            passed_socket=plan.is_replaced and is_first,
            limits=plan.limits,
            name=f"n{number}",
            shared=self.backends,
        )
        await stack.enter_async_context(sidecar)
        may_be_shut_out = is_first and (plan.has_crowd or plan.has_noise)
        return SoakNode(sidecar, SoakClients(sidecar, self.judge, plan.rng, may_be_shut_out))

    async def _play_faults(self) -> None:
        self.started_at = asyncio.get_running_loop().time()
        watching = asyncio.create_task(self._watch())
        faults = [asyncio.create_task(fault) for fault in self._faults()]
        sending = asyncio.create_task(self._send())
        await self._sleep_until(LOAD_TIME)
        await asyncio.gather(*(self._stop(node) for node in self.nodes))
        self.is_over = True
        await sending
        left = sum(await asyncio.gather(*(node.clients.finish(FINISH_TIMEOUT) for node in self.nodes)))
        for task in [*faults, watching]:
            task.cancel()
        for result in await asyncio.gather(*faults, return_exceptions=True):
            if isinstance(result, Exception):
                raise RuntimeError(f"a fault could not be played: {result!r}")
        self._check_processes(left)

    @property
    def programs(self) -> list[SidecarProgram]:
        """The processes of all sidecars."""
        return [program for node in self.nodes for program in node.sidecar.programs]

    # Load.

    async def _send(self) -> None:
        rng = self.plan.rng
        while not self.is_over:
            rng.choice(self.nodes).clients.start(self.plan.next_request())
            await asyncio.sleep(rng.expovariate(self.plan.rate))

    async def _watch(self) -> None:
        """Record the memory of the processes, and by how much the trial itself is late."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + SAMPLE_INTERVAL
            await asyncio.sleep(SAMPLE_INTERVAL)
            self.judge.max_delay = max(self.judge.max_delay, loop.time() - due)
            for program in self.programs:
                if program.process is not None and program.alive:
                    with contextlib.suppress(OSError, IndexError):
                        self.peak_memory = max(self.peak_memory, resident_memory(program.process.pid))

    # Faults.

    def _faults(self) -> list[Any]:
        plan, first = self.plan, self.nodes[0]
        faults: list[Any] = [self._reload(at) for at in plan.reloads_at]
        faults += [self._change_server(at) for at in plan.server_changes_at]
        faults += [self._drain_server(at) for at in plan.drains_at]
        faults += [self._hold_up(at) for at in plan.pauses_at]
        if plan.is_replaced:
            faults.append(self._replace(first.sidecar))
        if plan.outage is not None:
            faults.append(self._interrupt_discovery(*plan.outage))
        end = self.started_at + LOAD_TIME
        if plan.has_crowd:
            first.clients.start_crowd(end)
        if plan.has_noise:
            first.clients.start_noise(end)
        return faults

    async def _sleep_until(self, seconds: float) -> None:
        """Sleep until so many seconds after the start."""
        await asyncio.sleep(max(0.0, self.started_at + seconds - asyncio.get_running_loop().time()))

    async def _reload(self, at: float) -> None:
        """Have a process read a changed configuration; discovery may move with it, for all sidecars."""
        await self._sleep_until(at)
        nodes = [self.plan.rng.choice(self.nodes)]
        if self.plan.moves_discovery:
            nodes = self.nodes
            await self.backends.move_discovery()
        attempts = self.plan.rng.choice([1, 2, 3])
        for node in nodes:
            sidecar = node.sidecar
            sidecar.settings = {"caps": CAPS | {"mostHandOffs": attempts}}
            sidecar.process.write_configuration(sidecar.configuration())
            sidecar.process.signal(signal.SIGHUP)

    async def _hold_up(self, at: float) -> None:
        """Have a process get no processor time for a moment."""
        await self._sleep_until(at)
        process = self.plan.rng.choice(self.nodes).sidecar.process
        process.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self.plan.rng.uniform(*PAUSE_TIMES))
        finally:
            process.signal(signal.SIGCONT)

    async def _interrupt_discovery(self, begin: float, end: float) -> None:
        """Have discovery refuse connections and end the watches for a while."""
        await self._sleep_until(begin)
        stopped = self.backends.discovery
        await stopped.server.stop()
        await self._sleep_until(end)
        if stopped is self.backends.discovery:
            await stopped.server.start()

    async def _replace(self, sidecar: SingleSidecar) -> None:
        """Replace the process; the first one is killed at the earliest time that the protocol names."""
        await self._sleep_until(REPLACE_AT)
        former = sidecar.process
        await sidecar.replace_process()
        self.terminated.add(former.name)
        await asyncio.sleep(self.plan.kill_after)
        self._kill(sidecar, former)

    def _choose_server(self) -> ServerIdentity:
        identities = self.servers.identities.values()
        return self.plan.rng.choice([i for i in identities if i.allowed_until == inf])

    def _known_at(self) -> float:
        """Return when a change that is made now counts as told."""
        now = asyncio.get_running_loop().time()
        if self.plan.outage is not None:
            now = max(now, self.started_at + self.plan.outage[1])
        return now + (MISSED_NOTICE_TIME if self.plan.discovery_fails else NOTICE_TIME)

    async def _drain_server(self, at: float) -> None:
        """Have a server drain for the rest of the run; it answers what still comes."""
        await self._sleep_until(at)
        identity = self._choose_server()
        self.backends.list_endpoints(self._entry(identity) | {"state": "leaving"})
        identity.allowed_until = self._known_at() + DRAIN_GRACE

    async def _change_server(self, at: float) -> None:
        """Have a process under another id and in another cell come up at the address of one that ends."""
        await self._sleep_until(at)
        identity = self._choose_server()
        server = self.backends.servers[identity.name]
        for runs in self.judge.runs.values():
            for run in runs:
                is_open = run.delivery is None or run.delivery.completed_at is None
                if run.place == identity.endpoint_id and is_open:
                    run.server_ended_at = min(run.server_ended_at, asyncio.get_running_loop().time())
        await server.stop()
        former_id = identity.endpoint_id
        identity.restart(cell=1 - identity.cell)
        await server.start()
        if self.plan.rng.random() < 0.5:
            # For a while both are listed at the address.
            self._list_servers(keep=former_id)
            await asyncio.sleep(0.5)
        self._list_servers()

    def _entry(self, identity: ServerIdentity) -> Json:
        entry = self.backends.entry(identity.name, id=identity.endpoint_id, cell=identity.cell)
        if identity.starts > 1:
            entry["started_ms"] = identity.started_ms
        if identity.allowed_until < inf:
            entry["state"] = "leaving"
        return entry

    def _list_servers(self, keep: str = "") -> None:
        former = {name: entry for name, entry in self.backends.entries.items() if name == keep}
        self.backends.entries.clear()
        for identity in self.servers.identities.values():
            self.backends.entries[identity.endpoint_id] = self._entry(identity)
        self.backends.list_endpoints(*former.values())
        known_at = self._known_at()
        for identity in self.servers.identities.values():
            identity.known_at = min(identity.known_at, known_at)

    # The end.

    async def _stop(self, node: SoakNode) -> None:
        """Stop the latest process; clients use their open connections until it is killed."""
        loop, sidecar = asyncio.get_running_loop(), node.sidecar
        process = sidecar.process
        await asyncio.sleep(self.plan.rng.uniform(0, MAX_STOP_PAUSE))
        if not process.alive:
            return
        if sidecar.is_replaceable:
            # The platform keeps a passed socket open for the next process; here there is none to come.
            node.clients.accepts_new = False
            sidecar.close_listener()
            await asyncio.sleep(BACKLOG_TIME)
        process.signal(signal.SIGTERM)
        self.terminated.add(process.name)
        told_at = loop.time()
        await asyncio.sleep(MAX_NEW_CONNECTION_TIME)
        node.clients.accepts_new = False
        sidecar.close_listener()
        await asyncio.sleep(told_at + self.plan.kill_after - loop.time())
        self._kill(sidecar, process)

    def _kill(self, sidecar: SingleSidecar, program: SidecarProgram) -> None:
        if program.alive:
            self.judge.kills.append(Kill(sidecar.name, asyncio.get_running_loop().time()))
            self.judge.counts["processes killed"] += 1
            program.kill()

    def _check_processes(self, clients_left: int) -> None:
        found = self.judge.other_violations
        for program in self.programs:
            code = program.process.returncode if program.process is not None else None
            if program.name not in self.terminated or code not in (0, -signal.SIGKILL):
                found.append(f"{program.name} ended with {code}: {program.log()[-500:]}")
        defects = [line for node in self.nodes for line in node.sidecar.defects()]
        found += [f"an error in the program: {line}" for line in defects]
        if self.peak_memory > self.plan.limits["memory_mb"] * BYTES_PER_MB:
            found.append(f"{self.peak_memory / BYTES_PER_MB:.1f} MB of memory")
        if clients_left:
            found.append(f"{clients_left} clients did not end")


async def run_trial(seed: int, root: Path = ROOT, **_: object) -> TrialResult:
    """Run the soak once."""
    return await SoakRun(SoakPlan(seed), root).play()
