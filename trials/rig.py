"""The rig: real processes of the program, fakes around them, and faults in between."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from fakes.clients import ClientRequest, Clients
from fakes.endpoint_list import EndpointListServer
from fakes.etcd import FakeEtcd
from fakes.http1 import ConnectionBrokenError, HttpClient
from fakes.loopback import free_ports, loopback_host
from fakes.relay import LinkDirection, Relay
from fakes.upstream import Run, Upstream

from .processes import set_parent_death_signal
from .verdict import TrialResult, check_requests

LOGS = os.environ.get("TRIAL_LOGS", "")  # a folder in which the processes' logs stay, for a look
ROOT = Path(__file__).parent.parent
# The files of many processes may be too much for a slow disk.
MEMORY_FOLDER = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
READY_TIMEOUT = 20.0  # seconds, however busy the machine is
ZONES = ("north", "east", "south")
TIMES = {"dueTime": 1_000_000, "expiry": 2_000_000}
CATEGORIES = [
    {"name": "look", "effect": "free", "payoff": 1.0} | TIMES,
    {"name": "buy", "effect": "single_shot", "payoff": 8.0} | TIMES,
    {"name": "move", "effect": "guarded", "window": 2_000_000, "payoff": 4.0} | TIMES,
]
CAPS = {
    "mostHandOffs": 3, "cancel": True, "peers": False, "probing": False, "mayDuplicate": True,
    "connectTimeout": 200_000, "keepalive": 5_000_000, "retryAfter": True, "maxRetryAfter": 1_000_000,
}  # fmt: skip


PROGRAM = ["-m", "starlingwheel"]
PROGRAM_WITH_CLOCK_AHEAD = (
    "import sys, time; real = time.time; time.time = lambda: real() + {};"
    "from starlingwheel.net.lifecycle.sidecar import main; sys.exit(main())"
)  # the program under a clock that is ahead


def shard_count_for(members: int, cell_size: int) -> int:
    """Return the number of cells for so many members, at most `cell_size` in each on the mean; 0: one."""
    count = 1
    while cell_size and members > count * cell_size:
        count *= 2
    return count


class Sidecar:
    """One real process, started again under the same name and addresses."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        """Not started yet."""
        self.cluster, self.number, self.name = cluster, number, f"n{number}"
        self.host = loopback_host(1 + number)
        self.zone = ZONES[number % len(ZONES)]
        self.port, self.admin_port, self.fleet_port = free_ports(self.host, 3)
        self.process: subprocess.Popen[bytes] | None = None
        self.memory_mb = 192.0
        self.clock_offset = 0.0  # seconds that its clock is ahead
        self.relays: list[Relay] = []
        self.peer_relay = Relay(lambda: (self.host, self.fleet_port), cluster.rng)
        self.store_relay = Relay(lambda: (cluster.store.server.host, cluster.store.server.port), cluster.rng)
        self.endpoint_list = EndpointListServer(self._entries)
        self.paths = {kind: cluster.folder / f"{self.name}.{kind}" for kind in ("json", "log")}

    @property
    def address(self) -> str:
        """Where it listens for clients, host:port."""
        return f"{self.host}:{self.port}"

    def _entries(self) -> list[dict[str, Any]]:
        told = self.cluster.entry_overrides
        return [
            {"id": u.name, "addr": relay.address, "zone": u.zone, "state": "active"} | told.get(u.name, {})
            for u, relay in zip(self.cluster.upstreams, self.relays, strict=True)
        ]

    async def prepare(self) -> None:
        """Open its relays and its endpoint list."""
        await self.endpoint_list.server.start()
        await self.peer_relay.start()
        await self.store_relay.start()
        for upstream in self.cluster.upstreams:

            def note(far: tuple[str, int], near: tuple[str, int], u: Upstream = upstream) -> None:
                u.sidecars[far] = self.name

            relay = Relay(
                lambda u=upstream: (u.server.host, u.server.port), self.cluster.rng, on_connect=note
            )
            await relay.start()
            self.relays.append(relay)

    def configuration(self) -> dict[str, Any]:
        """Return the content of its configuration file."""
        settings = {
            "categories": self.cluster.categories, "caps": CAPS, "rules": {"mustAskIn": 8_000_000},
            "discovery": "ask", "locality": self.zone, "replicasOfMe": len(self.cluster.sidecars),
            "slotNo": self.number,
        }  # fmt: skip
        return {
            "name": self.name,
            "listen": self.address,
            "discovery": self.endpoint_list.server.address,
            "mgmt": f"{self.host}:{self.admin_port}",
            "limits": {"memory_mb": self.memory_mb},
            "seed": f"{self.cluster.seed}-{self.name}",
            "known": {"version": 0, "full": True, "servers": self._entries()},
            "settings": settings,
        } | self.cluster.extra_configuration(self)

    def start(self) -> None:
        """Start a process, under the name and addresses of the one before."""
        self.paths["json"].write_text(json.dumps(self.configuration()))
        # Without a folder for operators' overrides: all sidecars would share it.
        environment = {name: value for name, value in os.environ.items() if name != "TMPDIR"}
        program = ["-c", PROGRAM_WITH_CLOCK_AHEAD.format(self.clock_offset)] if self.clock_offset else PROGRAM
        with self.paths["log"].open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", *program],
                cwd=self.cluster.root, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment | {"EDGE_CONFIG": str(self.paths["json"])},
                preexec_fn=set_parent_death_signal,
            )  # fmt: skip

    async def wait_until_ready(self) -> None:
        """Wait until it accepts requests; raises `RuntimeError` where it does not."""
        caller, until = HttpClient(self.address), asyncio.get_running_loop().time() + READY_TIMEOUT
        while asyncio.get_running_loop().time() < until:
            with contextlib.suppress(ConnectionBrokenError):
                if (await caller.call("GET", "/ready", {}))[0] == 200:
                    caller.close()
                    return
            if not self.alive:
                break
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} is not ready: {self.paths['log'].read_text()[-2000:]}")

    async def admin_call(self, method: str, path: str, body: object = None) -> tuple[int, Any]:
        """Make an admin call; return the status and the decoded body of its response."""
        caller = HttpClient(f"{self.host}:{self.admin_port}")
        data = b"" if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(3.0):
                status, _, text = await caller.call(method, path, {}, data)
        finally:
            caller.close()
        return status, json.loads(text) if text else None

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.alive:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def alive(self) -> bool:
        """The process runs."""
        return self.process is not None and self.process.poll() is None

    async def has_sharded_view(self, members: int, shard_count: int) -> bool:
        """It has a view of so many members in so many cells, and links to all of its own cell."""
        with contextlib.suppress(ConnectionBrokenError, TimeoutError):
            _, report = await self.admin_call("GET", "/_fleet")
            cells_report = report["cells"]
            linked = set(cells_report["members"]) <= {*report["links"], report["member"]}
            return (cells_report["fleet_members"], cells_report["count"]) == (members, shard_count) and linked
        return False

    def has_view_of(self, members: int) -> bool:
        """It has a view of so many members, and links to all of them."""
        lines = self.log_lines("view", "link.up", "link.down")
        views = [line for line in lines if line["event"] == "view"]
        up = sum({"link.up": 1, "link.down": -1}.get(line["event"], 0) for line in lines)
        return bool(views) and views[-1]["members"] == members and up >= members - 1

    def log_lines(self, *events: str) -> list[dict[str, Any]]:
        """Return the log lines of these events."""
        lines = []
        for line in self.paths["log"].read_text().splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                lines.append(json.loads(line))
        return [line for line in lines if line.get("event") in events]


class Cluster:
    """The processes, fakes and links of one trial: `async with Rig(...) as rig`."""

    def __init__(
        self,
        seed: int,
        sidecars: int = 5,
        upstreams: int = 12,
        service_time: float = 0.08,
        root: Path = ROOT,
        fleet: bool = True,
        lease: int = 2,
        categories: list[dict[str, Any]] = CATEGORIES,
        clock_offsets: dict[int, float] | None = None,
        memory_limits: dict[int, float] | None = None,
        cell_size: int = 0,
        presharded: bool = True,
    ) -> None:
        """`fleet`: with arbiter, links and cover; `lease`: of a member, seconds; `cell_size`: as configured.

        `cut`: begin with as many cells as that makes in the end, not with one.

        `ahead`: by sidecar, how much its clock is; `memory`: by sidecar, its limit where it is smaller, MB.
        """
        self.categories = categories
        self.seed, self.root, self.fleet, self.lease = seed, root, fleet, lease
        self.cell_size, self.presharded = cell_size, presharded
        self.store = FakeEtcd()
        self.rng = random.Random(seed)
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="trial-", dir=MEMORY_FOLDER)
        self.folder = Path(self.temporary_folder.name)
        self.runs: list[Run] = []
        self.start = 0.0  # when all were up
        self.entry_overrides: dict[str, dict[str, Any]] = {}  # what the list says otherwise of an upstream
        self.upstreams = [
            Upstream(f"u{i}", ZONES[i % len(ZONES)], random.Random(f"{seed}-u{i}"), service_time, self.runs)
            for i in range(upstreams)
        ]
        self.sidecars = [Sidecar(self, i) for i in range(sidecars)]
        for number, seconds in (clock_offsets or {}).items():
            self.sidecars[number].clock_offset = seconds
        for number, megabytes in (memory_limits or {}).items():
            self.sidecars[number].memory_mb = megabytes
        self.clients = Clients({s.name: s.address for s in self.sidecars}, random.Random(f"{seed}-clients"))

    def extra_configuration(self, sidecar: Sidecar) -> dict[str, Any]:
        """Return the further parts of a sidecar's configuration."""
        if not self.fleet:
            return {}
        part = {
            "name": "trial",
            "listen": f"{sidecar.host}:{sidecar.fleet_port}",
            "advertise": sidecar.peer_relay.address,
            "arbiter": [sidecar.store_relay.address],
            "lease_s": self.lease,
            "keep": str(self.folder),
            "cover": {"categories": [c["name"] for c in CATEGORIES]},
        }
        if self.cell_size:
            part["cell_size"] = self.cell_size
        return {"fleet": part}

    @property
    def shard_count(self) -> int:
        """The number of cells when all members are in."""
        return shard_count_for(len(self.sidecars), self.cell_size)

    def link_between(self, one: Sidecar, other: Sidecar) -> tuple[LinkDirection, LinkDirection]:
        """Return both ways of the link between two sidecars: from the first to the second, and back.

        Either may be the one that connects; the faults are the same.
        """
        ways = LinkDirection(), LinkDirection()
        other.peer_relay.links[one.host] = ways
        one.peer_relay.links[other.host] = ways[::-1]
        return ways

    def open_requests(self, sidecar: Sidecar) -> list[ClientRequest]:
        """Return the requests whose clients wait for an answer of that sidecar."""
        tries = [(w, w.attempts[-1]) for w in self.clients.requests if w.attempts]
        return [w for w, last in tries if last.outcome == "open" and last.sidecar == sidecar.name]

    def kill_sidecar(self, sidecar: Sidecar) -> list[ClientRequest]:
        """Kill a sidecar for good, and send new clients elsewhere; return its open requests."""
        affected = self.open_requests(sidecar)
        sidecar.kill()
        self.clients.avoided.add(sidecar.name)
        return affected

    async def finish_and_check(self, sending: asyncio.Task[None]) -> TrialResult:
        """Wait until all requests have ended, then judge."""
        await sending
        await self.clients.finish(self.clients.timeout + 1)
        return check_requests(self.clients.requests, self.runs, self.start)

    async def __aenter__(self) -> Cluster:
        """Start all; raises `RuntimeError` where a process is not ready in time."""
        try:
            await self._begin()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all."""
        await self._end()

    async def _begin(self) -> None:
        for upstream in self.upstreams:
            await upstream.server.start()
        if self.fleet:
            await self.store.start()
        if self.shard_count > 1 and self.presharded:
            self.store.put("/trial/cells", json.dumps({"count": self.shard_count}))
        for sidecar in self.sidecars:
            await sidecar.prepare()
        for sidecar in self.sidecars:
            sidecar.start()
        await asyncio.gather(*(sidecar.wait_until_ready() for sidecar in self.sidecars))
        if self.fleet:
            await self.wait_for_view(len(self.sidecars))
        self.start = asyncio.get_running_loop().time()

    def log_tails(self) -> str:
        """Return the ends of the processes' logs."""
        return "\n".join(f"{s.name}: {s.paths['log'].read_text()[-1500:]}" for s in self.sidecars)

    async def wait_for_view(self, members: int) -> None:
        """Wait until each that is alive has a view of so many members and a link to each of its cell."""
        until = asyncio.get_running_loop().time() + READY_TIMEOUT
        alive = [s for s in self.sidecars if s.alive]
        while asyncio.get_running_loop().time() < until:
            if self.cell_size:
                seen = [
                    await s.has_sharded_view(members, self.shard_count if self.presharded else 1)
                    for s in alive
                ]
            else:
                seen = [s.has_view_of(members) for s in alive]
            if all(seen):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"no view of {members}: " + self.log_tails())

    async def _end(self) -> None:
        await self.clients.finish(0)
        for sidecar in self.sidecars:
            sidecar.signal(signal.SIGCONT)
            sidecar.kill()
        for sidecar in self.sidecars:
            for relay in (*sidecar.relays, sidecar.peer_relay, sidecar.store_relay):
                await relay.stop()
            await sidecar.endpoint_list.server.stop()
        for upstream in self.upstreams:
            await upstream.server.stop()
        await self.store.stop()
        if LOGS:
            shutil.copytree(self.folder, Path(LOGS) / f"seed-{self.seed}", dirs_exist_ok=True)
        self.temporary_folder.cleanup()

    def defects(self) -> list[dict[str, Any]]:
        """Return the log lines that tell of faults in the code."""
        return [line for s in self.sidecars for line in s.log_lines("defect", "module.defect")]

    def to_wall_clock(self, at: float) -> float:
        """Convert a time of the loop's clock to wall clock time."""
        return at + time.time() - asyncio.get_running_loop().time()

    def runs_of(self, name: str) -> list[Run]:
        """Return the runs of a request."""
        return [run for run in self.runs if run.request_id == name]
