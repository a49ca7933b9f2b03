"""A fleet of one size: its processes, its start, and its state."""

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

PORT = 7950  # of every hollow member; each has an address of its own
NETWORKS = range(64, 250)  # second byte of the loopback addresses of one run
HOSTS_PER_NETWORK = 250  # in the last byte of an address
POLL_INTERVAL = 0.1  # seconds
READY_TIMEOUT = 45.0  # seconds within which all members must be ready
READY_TIMEOUT_PER_PAIR = 0.0005  # additional seconds for each pair of members
Json = dict[str, Any]


class FleetStuckError(Exception):
    """The fleet did not reach a state in time, which ends the run for that size."""


class ScaleFleet:
    """Hollow members in worker processes, real members, and the fake etcd."""

    def __init__(self, options: RunOptions) -> None:
        """Prepare the processes without starting them."""
        self.options = options
        self.layout = options.layout
        self.store = Process("trials.scale.etcd_process")
        count = len(self.layout.shared_process_sizes) + self.layout.alone
        self.workers = [Process("trials.scale.worker") for _ in range(count)]
        self.worker_by_member: dict[str, Process] = {}  # by the name of a hollow member
        self.alone: set[str] = set()  # hollow members with a process of their own
        self.base_memory: dict[Process, int] = {}  # bytes of a process before its members were created
        self.real: RealSidecars | None = None
        self.address_lock: socket.socket | None = None
        self.start_figures: Json = {}
        self.shard_count = 1
        self.last_state: dict[str, int] = {}  # state of the hollow members, for the message of a failure

    @property
    def shared_names(self) -> list[str]:
        """The hollow members that share a process, in order."""
        return sorted(set(self.worker_by_member) - self.alone)

    # Start and end

    async def start(self) -> None:
        """Start all processes, and wait until all members are linked. Raises `FleetStuckError`."""
        network, self.address_lock = reserve_network()
        address = await self.store.begin()
        fleet_config = await self._make_fleet_config(address)
        await self._begin_workers(network, fleet_config)
        started_at = time.monotonic()
        await self.command_all("enter")
        await self.wait_for(lambda: self.registered(self.layout.hollow), "not all have entered")
        registered_at = self._report("all hollow members are registered", started_at)
        store_address = (address["host"], address["port"])
        self.real = RealSidecars(
            self.options.seed, self.layout.real, fleet_config, self.layout.size, store_address
        )
        await self.real.__aenter__()
        await self.wait_for(lambda: self.registered(self.layout.size), "not all real ones have entered")
        real_registered_at = self._report("real members are registered", started_at)
        await self.command_all("join")
        await self.wait_for(self._have_full_view, "not all hollow members have a view of the whole fleet")
        full_view_at = self._report("all hollow members have a view of the whole fleet", started_at)
        await self._open_links()
        await self.wait_for(lambda: self.ready(self.layout.size), "hollow members are not ready")
        if not await self.real.all_ready(self.ready_timeout):
            raise FleetStuckError("real members are not ready")
        linked_at = self._report("all members are linked", started_at)
        await self.command_all("rest")
        self.start_figures = {
            "enter_s": round(registered_at - started_at, 3),
            "real_s": round(real_registered_at - registered_at, 3),
            "view_s": round(full_view_at - real_registered_at, 3),
            "cells": self.shard_count,
            "link_s": round(linked_at - full_view_at, 3),
        }

    async def end(self) -> None:
        """End all processes."""
        if self.real is not None:
            await self.real.__aexit__()
        for process in (*self.workers, self.store):
            await process.end()
        if self.address_lock is not None:
            self.address_lock.close()

    async def _make_fleet_config(self, address: Json) -> Json:
        """Return the `fleet` section of the configuration, and write the number of shards to the store."""
        options = self.options
        fleet_config: Json = {
            "name": "scale",
            "arbiter": ["{host}:{port}".format(**address)],
            "lease_s": options.lease,
            "cover": {"categories": [category["name"] for category in CATEGORIES]},
        }
        if options.cell_size:
            fleet_config["cell_size"] = options.cell_size
            # The number of shards to which a fleet of this size grows. Without this record the number would
            # double step by step.
            sharding = Sharding(shard_count_for(self.layout.size, options.cell_size))
            value = msgspec.json.encode(sharding).decode()
            await self.store.send_command("put", key="/scale/cells", value=value)
        return fleet_config

    async def _begin_workers(self, network: int, fleet_config: Json) -> None:
        number = 0
        memory_limit = int(counts.machine_memory()[0] * MEMORY_FRACTION / self.layout.processes)
        member_counts = [*self.layout.shared_process_sizes, *[1] * self.layout.alone]
        for index, (worker, count) in enumerate(zip(self.workers, member_counts, strict=True)):
            members = []
            for _ in range(count):
                number += 1
                name = f"h{number:04}"
                host = f"127.{network}.{number // HOSTS_PER_NETWORK}.{number % HOSTS_PER_NETWORK + 2}"
                members.append((name, host))
                self.worker_by_member[name] = worker
                if index >= len(self.layout.shared_process_sizes):
                    self.alone.add(name)
            answer = await worker.begin(
                members=members,
                port=PORT,
                settings=self._settings(number),
                fleet=fleet_config,
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
            "replicasOfMe": self.layout.size,
            "slotNo": number,
        }

    async def _open_links(self) -> None:
        """Open the links of one member after another, highest id first, at the rate of the options.

        Each member dials those with higher ids, which already listen. If all members began at once, the load
        would exceed one machine and say nothing about the idle fleet, since a new link has ten heartbeats a
        second for two seconds.
        """
        cell_size = self.options.cell_size
        links_per_member = self.layout.size if not cell_size else 2 * cell_size
        next_at = time.monotonic()
        for number, name in enumerate(sorted(self.worker_by_member, reverse=True)):
            await self.command_members([name], "link")
            next_at += min(number + self.layout.real, links_per_member) / self.options.links_per_second
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    def _report(self, state: str, started_at: float) -> float:
        """Print the progress to standard error, and return the time."""
        now = time.monotonic()
        print(f"  {self.layout.size}: {state} after {now - started_at:.1f} s", file=sys.stderr, flush=True)
        return now

    # Commands to the workers

    async def command_all(self, command: str, **arguments: object) -> list[Json]:
        """Send a command to all workers, and return their answers."""
        return list(
            await asyncio.gather(*(worker.send_command(command, **arguments) for worker in self.workers))
        )

    async def command_members(self, names: list[str], command: str) -> None:
        """Send a command for these hollow members to their workers."""
        by_worker: dict[Process, list[str]] = {}
        for name in names:
            by_worker.setdefault(self.worker_by_member[name], []).append(name)
        await asyncio.gather(
            *(worker.send_command(command, members=members) for worker, members in by_worker.items())
        )

    # The fleet's state

    @property
    def ready_timeout(self) -> float:
        """Seconds within which the fleet must reach a state."""
        return READY_TIMEOUT + READY_TIMEOUT_PER_PAIR * self.layout.size**2

    async def wait_for(self, condition: Callable[[], Awaitable[bool]], failure: str) -> float:
        """Wait for a condition and return the seconds that it took. Raises `FleetStuckError`."""
        started_at = time.monotonic()
        while not await condition():
            if time.monotonic() > started_at + self.ready_timeout:
                raise FleetStuckError(f"{failure} after {self.ready_timeout:.0f} s: {self.last_state}")
            await asyncio.sleep(POLL_INTERVAL)
        return time.monotonic() - started_at

    async def registered(self, members: int) -> bool:
        """Return whether exactly `members` members are registered in the store."""
        return (await self.store.send_command("members"))["members"] == members

    async def _have_full_view(self) -> bool:
        """Return whether the view of each hollow member has all members, in enough shards."""
        states = await self.command_all("state")
        shard_counts = {count for state in states for count in state["cells"]}
        self.shard_count = max(shard_counts, default=1)
        views = {view for state in states for view in state["views"]}
        self.last_state = {"views": len(views), "cells": self.shard_count}
        # Waits for the final number of shards, so that no link is opened that a later view would close.
        cell_size = self.options.cell_size
        sharded = not cell_size or min(shard_counts) * cell_size >= self.layout.size
        return sharded and {size for state in states for size in state["sizes"]} == {str(self.layout.size)}

    async def ready(self, members: int, hollow: int | None = None) -> bool:
        """Return whether all hollow members are ready with one view, and `members` are registered.

        `hollow`: how many hollow members must be running; None: all.
        """
        states = await self.command_all("state")
        views: Counter[str] = Counter()
        for state in states:
            views.update(state["views"])
        running = sum(state["members"] for state in states)
        ready = sum(state["ready"] for state in states)
        links = sum(state["links"] for state in states)
        self.last_state = {"members": running, "ready": ready, "views": len(views), "links": links}
        if running != (self.layout.hollow if hollow is None else hollow):
            return False
        return await self.registered(members) and len(views) == 1 and ready == running

    async def link_changes(self) -> int:
        """Return how often links of hollow members have come up or ended so far."""
        return sum(state["changes"] for state in await self.command_all("state"))

    async def sample(self) -> Json:
        """Return the current counts of all processes."""
        workers = await self.command_all("sample")
        store = await self.store.send_command("sample")
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
    """Reserve a loopback network; return its second byte, and the socket that keeps other runs off it."""
    for network in random.SystemRandom().sample(list(NETWORKS), len(NETWORKS)):
        sock = socket.socket()
        try:
            sock.bind((f"127.{network}.0.1", PORT))
            sock.listen(1)
            return network, sock
        except OSError:
            sock.close()
    raise RuntimeError("no loopback addresses are free")
