"""A cluster of real sidecar processes with fake upstreams, clients, endpoint lists and coordination store."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
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

from .processes import PROGRAM, READY_TIMEOUT, SidecarProgram
from .verdict import TrialResult, check_requests

LOG_FOLDER = os.environ.get("TRIAL_LOGS", "")  # where the logs of the processes are copied to; empty: nowhere
ROOT = Path(__file__).parent.parent
# The files of many processes may be more than a slow disk can write in time.
MEMORY_FOLDER = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
ZONES = ("north", "east", "south")
CATEGORY_TIMES = {"dueTime": 1_000_000, "expiry": 2_000_000}
CATEGORIES = [
    {"name": "look", "effect": "free", "payoff": 1.0} | CATEGORY_TIMES,
    {"name": "buy", "effect": "single_shot", "payoff": 8.0} | CATEGORY_TIMES,
    {"name": "move", "effect": "guarded", "dedupScope": "all", "window": 2_000_000, "payoff": 4.0}
    | CATEGORY_TIMES,
]
CAPS = {
    "mostHandOffs": 3, "cancel": True, "peers": False, "probing": False, "mayDuplicate": True,
    "connectTimeout": 200_000, "keepalive": 5_000_000, "retryAfter": True, "maxRetryAfter": 1_000_000,
}  # fmt: skip


PROGRAM_WITH_CLOCK_AHEAD = (
    "import sys, time; real = time.time; time.time = lambda: real() + {};"
    "from starlingwheel.net.lifecycle.sidecar import main; sys.exit(main())"
)  # runs the program with a wall clock that is ahead by the formatted number of seconds


def shard_count_for(members: int, cell_size: int) -> int:
    """Return the number of shards with at most `cell_size` members each on average; 1 if `cell_size` is 0."""
    count = 1
    while cell_size and members > count * cell_size:
        count *= 2
    return count


class Sidecar(SidecarProgram):
    """A sidecar process that can be restarted under the same name and addresses."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        """Create the sidecar without starting a process; its number determines its name, host and zone."""
        self.cluster, self.number = cluster, number
        self.host = loopback_host(1 + number)
        self.zone = ZONES[number % len(ZONES)]
        self.port, self.admin_port, self.fleet_port = free_ports(self.host, 3)
        super().__init__(f"n{number}", f"{self.host}:{self.port}", cluster.folder, cluster.root)
        self.memory_mb = 192.0
        self.clock_offset = 0.0  # seconds by which its wall clock is ahead
        self.relays: list[Relay] = []
        self.peer_relay = Relay(lambda: (self.host, self.fleet_port), cluster.rng)
        self.store_relay = Relay(lambda: (cluster.store.server.host, cluster.store.server.port), cluster.rng)
        self.endpoint_list = EndpointListServer(self._entries)

    def _entries(self) -> list[dict[str, Any]]:
        """Return the endpoint list, in which each upstream has the address of its relay."""
        overrides = self.cluster.entry_overrides
        return [
            {"id": upstream.name, "addr": relay.address, "zone": upstream.zone, "state": "active"}
            | overrides.get(upstream.name, {})
            for upstream, relay in zip(self.cluster.upstreams, self.relays, strict=True)
        ]

    async def prepare(self) -> None:
        """Start the relays and the endpoint list server of this sidecar."""
        await self.endpoint_list.server.start()
        await self.peer_relay.start()
        await self.store_relay.start()
        for upstream in self.cluster.upstreams:

            def record_source(
                source: tuple[str, int], client_address: tuple[str, int], upstream: Upstream = upstream
            ) -> None:
                upstream.sidecars[source] = self.name

            relay = Relay(
                lambda upstream=upstream: (upstream.server.host, upstream.server.port),
                self.cluster.rng,
                on_connect=record_source,
            )
            await relay.start()
            self.relays.append(relay)

    def configuration(self) -> dict[str, Any]:
        """Return the content of the sidecar's configuration file."""
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
        """Start a process under the name and addresses of the previous one."""
        ahead = ("-c", PROGRAM_WITH_CLOCK_AHEAD.format(self.clock_offset))
        self.start_process(self.configuration(), program=ahead if self.clock_offset else PROGRAM)

    async def admin_call(self, method: str, path: str, body: object = None) -> tuple[int, Any]:
        """Make an admin call and return the status and the decoded body of its response."""
        client = HttpClient(f"{self.host}:{self.admin_port}")
        data = b"" if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(3.0):
                status, _, text = await client.call(method, path, {}, data)
        finally:
            client.close()
        return status, json.loads(text) if text else None

    async def has_sharded_view(self, members: int, shard_count: int) -> bool:
        """Return whether the sidecar has a view of that size and shard count, and links to its shard."""
        with contextlib.suppress(ConnectionBrokenError, TimeoutError):
            _, report = await self.admin_call("GET", "/_fleet")
            cells_report = report["cells"]
            linked = set(cells_report["members"]) <= {*report["links"], report["member"]}
            return (cells_report["fleet_members"], cells_report["count"]) == (members, shard_count) and linked
        return False

    def has_view_of(self, members: int) -> bool:
        """Return whether the sidecar has a view of that many members and links to all the others."""
        records = self.log_lines("view", "link.up", "link.down")
        views = [line for line in records if line["event"] == "view"]
        link_count = sum({"link.up": 1, "link.down": -1}.get(line["event"], 0) for line in records)
        return bool(views) and views[-1]["members"] == members and link_count >= members - 1


class Cluster:
    """The sidecars, fakes and links of one trial, used by `async with Cluster(...) as cluster`."""

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
        """Create the cluster; nothing is started yet.

        `sidecars`, `upstreams`: how many. `service_time`: mean of the upstreams, seconds. `root`: the
        checkout whose program is run. `fleet`: with a coordination store, links and replication. `lease`: of
        a member, seconds. `cell_size`: the setting `fleet.cell_size`. `presharded`: start with the final
        number of shards instead of one. By sidecar number, `clock_offsets`: seconds by which its clock is
        ahead; `memory_limits`: MB, where its limit is smaller than the others'.
        """
        self.categories = categories
        self.seed, self.root, self.fleet, self.lease = seed, root, fleet, lease
        self.cell_size, self.presharded = cell_size, presharded
        self.store = FakeEtcd()
        self.rng = random.Random(seed)
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="trial-", dir=MEMORY_FOLDER)
        self.folder = Path(self.temporary_folder.name)
        self.runs: list[Run] = []
        self.start = 0.0  # when all sidecars were ready, on the loop's clock
        self.entry_overrides: dict[
            str, dict[str, Any]
        ] = {}  # fields of list entries that differ, by upstream
        self.upstreams = [
            Upstream(
                f"u{number}",
                ZONES[number % len(ZONES)],
                random.Random(f"{seed}-u{number}"),
                service_time,
                self.runs,
            )
            for number in range(upstreams)
        ]
        self.sidecars = [Sidecar(self, i) for i in range(sidecars)]
        for number, seconds in (clock_offsets or {}).items():
            self.sidecars[number].clock_offset = seconds
        for number, megabytes in (memory_limits or {}).items():
            self.sidecars[number].memory_mb = megabytes
        self.clients = Clients({s.name: s.address for s in self.sidecars}, random.Random(f"{seed}-clients"))

    def extra_configuration(self, sidecar: Sidecar) -> dict[str, Any]:
        """Return the parts of a sidecar's configuration that depend on the kind of cluster."""
        if not self.fleet:
            return {}
        fleet_settings = {
            "name": "trial",
            "listen": f"{sidecar.host}:{sidecar.fleet_port}",
            "advertise": sidecar.peer_relay.address,
            "arbiter": [sidecar.store_relay.address],
            "lease_s": self.lease,
            "keep": str(self.folder),
            "cover": {"categories": [c["name"] for c in CATEGORIES]},
        }
        if self.cell_size:
            fleet_settings["cell_size"] = self.cell_size
        return {"fleet": fleet_settings}

    @property
    def shard_count(self) -> int:
        """The number of shards once all sidecars are members."""
        return shard_count_for(len(self.sidecars), self.cell_size)

    def link_between(self, first: Sidecar, second: Sidecar) -> tuple[LinkDirection, LinkDirection]:
        """Return both directions of the link between two sidecars: first to second, then back.

        Faults set on the directions apply whichever of the two sidecars opens the connection.
        """
        directions = LinkDirection(), LinkDirection()
        second.peer_relay.links[first.host] = directions
        first.peer_relay.links[second.host] = directions[::-1]
        return directions

    def open_requests(self, sidecar: Sidecar) -> list[ClientRequest]:
        """Return the requests whose clients are waiting for a response of that sidecar."""
        last_attempts = [
            (request, request.attempts[-1]) for request in self.clients.requests if request.attempts
        ]
        return [
            request
            for request, attempt in last_attempts
            if attempt.outcome == "open" and attempt.sidecar == sidecar.name
        ]

    def kill_sidecar(self, sidecar: Sidecar) -> list[ClientRequest]:
        """Kill a sidecar without a restart, keep new requests away from it, and return its open requests."""
        affected = self.open_requests(sidecar)
        sidecar.kill()
        self.clients.avoided.add(sidecar.name)
        return affected

    async def finish_and_check(self, sending: asyncio.Task[None]) -> TrialResult:
        """Wait until all requests have ended, and check their runs and responses."""
        await sending
        await self.clients.finish(self.clients.timeout + 1)
        return check_requests(self.clients.requests, self.runs, self.start)

    async def __aenter__(self) -> Cluster:
        """Start everything; raises `RuntimeError` if a process is not ready in time."""
        try:
            await self._start_all()
        except BaseException:
            await self._stop_all()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything."""
        await self._stop_all()

    async def _start_all(self) -> None:
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
        """Return the last 1500 characters of each sidecar's log."""
        return "\n".join(f"{s.name}: {s.log()[-1500:]}" for s in self.sidecars)

    async def wait_for_view(self, members: int) -> None:
        """Wait until each running sidecar has a view of that many members and links to its whole shard.

        Raises `RuntimeError` after READY_TIMEOUT.
        """
        until = asyncio.get_running_loop().time() + READY_TIMEOUT
        alive = [sidecar for sidecar in self.sidecars if sidecar.alive]
        while asyncio.get_running_loop().time() < until:
            if self.cell_size:
                have_view = [
                    await sidecar.has_sharded_view(members, self.shard_count if self.presharded else 1)
                    for sidecar in alive
                ]
            else:
                have_view = [sidecar.has_view_of(members) for sidecar in alive]
            if all(have_view):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"no view of {members}: " + self.log_tails())

    async def _stop_all(self) -> None:
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
        if LOG_FOLDER:
            shutil.copytree(self.folder, Path(LOG_FOLDER) / f"seed-{self.seed}", dirs_exist_ok=True)
        self.temporary_folder.cleanup()

    def defects(self) -> list[dict[str, Any]]:
        """Return the log lines of all sidecars that report errors in the program itself."""
        return [line for s in self.sidecars for line in s.log_lines("defect", "module.defect")]

    def to_wall_clock(self, at: float) -> float:
        """Convert a time on the loop's clock to wall clock time."""
        return at + time.time() - asyncio.get_running_loop().time()

    def runs_of(self, name: str) -> list[Run]:
        """Return the runs of a request at the upstreams."""
        return [run for run in self.runs if run.request_id == name]
