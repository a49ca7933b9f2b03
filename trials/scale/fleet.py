"""A fleet of a size: its processes, how it is started, and what state it is in."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from starlingwheel.fleet.records import Sharding

from ..rig import CAPS, CATEGORIES, ZONES, shard_count_for
from . import counts
from .control import Process
from .limits import MEMORY_FRACTION
from .options import RunOptions
from .real import RealSidecars

PORT = 7950  # of every hollow member, each on an address of its own
NETWORKS = range(64, 250)  # 127.x: the addresses of one run
HOSTS_PER_NETWORK = 250  # in the last byte of an address
POLL_INTERVAL = 0.1  # seconds
READY_TIMEOUT = 45.0  # seconds within which all are ready
READY_TIMEOUT_PER_PAIR = 0.0005  # seconds more for each pair of members
Json = dict[str, Any]


class FleetStuckError(Exception):
    """The fleet did not get into a state in time: the run's result for that size."""


class ScaleFleet:
    """Hollow members in worker processes, real members, and the fake etcd."""

    def __init__(self, options: RunOptions) -> None:
        """`start` starts the processes."""
        self.options = options
        self.plan = options.plan
        self.store = Process("trials.scale.etcd_process")
        count = len(self.plan.shared) + self.plan.alone
        self.workers = [Process("trials.scale.worker") for _ in range(count)]
        self.worker_of: dict[str, Process] = {}  # by the name of a hollow member
        self.alone: set[str] = set()  # hollow members with a process of their own
        self.base_memory: dict[Process, int] = {}  # bytes of a process before its members were there
        self.real: RealSidecars | None = None
        self.address_lock: socket.socket | None = None
        self.start_figures: Json = {}
        self.shard_count = 1
        self.last_state: dict[str, int] = {}  # of the hollow members, for the report of a failure

    @property
    def shared_names(self) -> list[str]:
        """The hollow members that share a process, in order."""
        return sorted(set(self.worker_of) - self.alone)

    # Start and end

    async def start(self) -> None:
        """Start all processes, and wait until all members are linked. Raises `FleetStuckError`."""
        network, self.address_lock = reserve_network()
        address = await self.store.begin()
        part = await self._fleet_part(address)
        await self._begin_workers(network, part)
        began = time.monotonic()
        await self.ask_all("enter")
        await self.wait_for(lambda: self.registered(self.plan.hollow), "not all have entered")
        entered = self._report("all have entered", began)
        store_address = (address["host"], address["port"])
        self.real = RealSidecars(self.options.seed, self.plan.real, part, self.plan.size, store_address)
        await self.real.__aenter__()
        await self.wait_for(lambda: self.registered(self.plan.size), "not all real ones have entered")
        joined = self._report("real ones have entered", began)
        await self.ask_all("join")
        await self.wait_for(self._in_one_view, "not all have the same view")
        linking = self._report("all are in one view", began)
        await self._link()
        await self.wait_for(lambda: self.ready(self.plan.size), "hollow members are not ready")
        if not await self.real.all_ready(self.ready_timeout):
            raise FleetStuckError("real members are not ready")
        linked = self._report("all are linked", began)
        await self.ask_all("rest")
        self.start_figures = {
            "enter_s": round(entered - began, 3),
            "real_s": round(joined - entered, 3),
            "view_s": round(linking - joined, 3),
            "cells": self.shard_count,
            "link_s": round(linked - linking, 3),
        }

    async def end(self) -> None:
        """End all processes."""
        if self.real is not None:
            await self.real.__aexit__()
        for process in (*self.workers, self.store):
            await process.end()
        if self.address_lock is not None:
            self.address_lock.close()

    async def _fleet_part(self, address: Json) -> Json:
        """Return the fleet's part of the configuration, and write the shards to the store."""
        options = self.options
        part: Json = {
            "name": "scale",
            "arbiter": ["{host}:{port}".format(**address)],
            "lease_s": options.lease,
            "cover": {"categories": [category["name"] for category in CATEGORIES]},
        }
        if options.cell_size:
            part["cell_size"] = options.cell_size
            # As the store has it of a fleet that has grown to this size: it would double step by step.
            sharding = Sharding(shard_count_for(self.plan.size, options.cell_size))
            value = msgspec.json.encode(sharding).decode()
            await self.store.ask("put", key="/scale/cells", value=value)
        return part

    async def _begin_workers(self, network: int, part: Json) -> None:
        number = 0
        memory_limit = int(counts.machine_memory()[0] * MEMORY_FRACTION / self.plan.processes)
        member_counts = [*self.plan.shared, *[1] * self.plan.alone]
        for index, (worker, count) in enumerate(zip(self.workers, member_counts, strict=True)):
            members = []
            for _ in range(count):
                number += 1
                name = f"h{number:04}"
                host = f"127.{network}.{number // HOSTS_PER_NETWORK}.{number % HOSTS_PER_NETWORK + 2}"
                members.append((name, host))
                self.worker_of[name] = worker
                if index >= len(self.plan.shared):
                    self.alone.add(name)
            answer = await worker.begin(
                members=members,
                port=PORT,
                settings=self._settings(number),
                fleet=part,
                seed=self.options.seed,
                memory_limit=memory_limit,
            )
            self.base_memory[worker] = answer["memory"]

    def _settings(self, number: int) -> Json:
        return {
            "categories": CATEGORIES,
            "caps": CAPS,
            "rules": {"mustAskIn": 8_000_000},
            "discovery": "ask",
            "locality": ZONES[number % len(ZONES)],
            "replicasOfMe": self.plan.size,
            "slotNo": number,
        }

    async def _link(self) -> None:
        """Begin the links of one member after another, at a pace, and of the highest id first.

        Each dials those of higher ids, which listen by then. All at once would be a storm that is no part of
        the fleet at rest: a new link has ten heartbeats a second for two seconds, and so many are more than
        one machine carries.
        """
        cell_size = self.options.cell_size
        links_per_member = self.plan.size if not cell_size else 2 * cell_size
        due = time.monotonic()
        for number, name in enumerate(sorted(self.worker_of, reverse=True)):
            await self.ask_members([name], "link")
            due += min(number + self.plan.real, links_per_member) / self.options.links_per_second
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    def _report(self, what: str, began: float) -> float:
        """Print the progress, and return the time."""
        now = time.monotonic()
        print(f"  {self.plan.size}: {what} after {now - began:.1f} s", file=sys.stderr, flush=True)
        return now

    # Calls of the workers

    async def ask_all(self, do: str, **arguments: object) -> list[Json]:
        """Call all workers, and return their answers."""
        return list(await asyncio.gather(*(worker.ask(do, **arguments) for worker in self.workers)))

    async def ask_members(self, names: list[str], do: str) -> None:
        """Call the workers of these hollow members for them."""
        by_worker: dict[Process, list[str]] = {}
        for name in names:
            by_worker.setdefault(self.worker_of[name], []).append(name)
        await asyncio.gather(*(worker.ask(do, members=members) for worker, members in by_worker.items()))

    # The fleet's state

    @property
    def ready_timeout(self) -> float:
        """Seconds within which the fleet gets into a state."""
        return READY_TIMEOUT + READY_TIMEOUT_PER_PAIR * self.plan.size**2

    async def wait_for(self, condition: Callable[[], Awaitable[bool]], failure: str) -> float:
        """Wait for a condition; return the seconds that it took. Raises `FleetStuckError`."""
        began = time.monotonic()
        while not await condition():
            if time.monotonic() > began + self.ready_timeout:
                raise FleetStuckError(f"{failure} after {self.ready_timeout:.0f} s: {self.last_state}")
            await asyncio.sleep(POLL_INTERVAL)
        return time.monotonic() - began

    async def registered(self, members: int) -> bool:
        """Whether so many members are registered in the store."""
        return (await self.store.ask("members"))["members"] == members

    async def _in_one_view(self) -> bool:
        states = await self.ask_all("state")
        shard_counts = {count for state in states for count in state["cells"]}
        self.shard_count = max(shard_counts, default=1)
        views = {view for state in states for view in state["views"]}
        self.last_state = {"views": len(views), "cells": self.shard_count}
        # Links begin in the shards as they will be: none is opened for nothing.
        cell_size = self.options.cell_size
        sharded = not cell_size or min(shard_counts) * cell_size >= self.plan.size
        return sharded and {size for state in states for size in state["sizes"]} == {str(self.plan.size)}

    async def ready(self, members: int, hollow: int | None = None) -> bool:
        """Whether all hollow members that run are ready, under one view of so many members.

        `hollow`: how many run; None: all.
        """
        states = await self.ask_all("state")
        views: Counter[str] = Counter()
        for state in states:
            views.update(state["views"])
        running = sum(state["members"] for state in states)
        ready = sum(state["ready"] for state in states)
        links = sum(state["links"] for state in states)
        self.last_state = {"members": running, "ready": ready, "views": len(views), "links": links}
        if running != (self.plan.hollow if hollow is None else hollow):
            return False
        return await self.registered(members) and len(views) == 1 and ready == running

    async def link_changes(self) -> int:
        """Return how many links of hollow members have come up or ended so far."""
        return sum(state["changes"] for state in await self.ask_all("state"))

    async def sample(self) -> Json:
        """Return the counts of all processes as of now."""
        workers = await self.ask_all("sample")
        store = await self.store.ask("sample")
        real = self.real.samples() if self.real is not None else {}
        return {
            "at": time.monotonic(),
            "workers": workers,
            "arbiter": store,
            "real": real,
            "load": os.getloadavg()[0],
            "kernel": counts.kernel_memory(),
        }


def reserve_network() -> tuple[int, socket.socket]:
    """Return a part of the loopback's addresses that no other run has, and the socket that reserves it."""
    for network in random.SystemRandom().sample(list(NETWORKS), len(NETWORKS)):
        sock = socket.socket()
        try:
            sock.bind((f"127.{network}.0.1", PORT))
            sock.listen(1)
            return network, sock
        except OSError:
            sock.close()
    raise RuntimeError("no loopback addresses are free")
