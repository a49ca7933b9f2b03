"""One process of hollow members on one event loop.

The process reads commands from standard input, one JSON object a line.
"""

from __future__ import annotations

import gc
import json
import os
import resource
import sys
import time
import traceback
from collections import Counter
from typing import Any

import msgspec

from starlingwheel.net.actor import Actor, Coroutine
from starlingwheel.net.lifecycle.sidecar import GC_THRESHOLD
from starlingwheel.net.loop import READ
from starlingwheel.net.state.buffers import BufferPool

from .counts import resident_memory
from .member import HollowFleetMember, HollowMember
from .metered import MeteredLoop

MAX_DEFECTS = 20  # defects whose tracebacks are kept
MAX_TRACE_SIZE = 600  # characters of the traceback of a defect
MAX_FAULT_SIZE = 800  # characters of the traceback of a failed command
BUFFER_COUNT = 64  # few, since hollow members have no bodies
READ_SIZE = 1 << 20  # bytes
READY_POLL_INTERVAL = 0.02  # seconds between checks whether members are ready
MICROSECONDS = 1e6  # in a second
STANDARD_INPUT = 0  # descriptor
Json = dict[str, Any]


class MemberCounts:
    """Sums of the members' counts: events, received frames, and reasons why links ended."""

    def __init__(self) -> None:
        """Start at zero."""
        self.counts: Counter[str] = Counter()
        self.frames: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()

    def add_counts(self, other: MemberCounts) -> None:
        """Add other counts."""
        self.counts.update(other.counts)
        self.frames.update(other.frames)
        self.reasons.update(other.reasons)

    def add_member(self, fleet: HollowFleetMember) -> None:
        """Add the counts of a running member."""
        host = fleet.host
        self.counts.update(host.counts)
        self.counts.update({f"cover.{name}": count for name, count in host.replicator.counts.items()})
        self.counts["covered_us"] += round(host.replication_seconds * MICROSECONDS)
        self.frames.update(host.frames)
        self.reasons.update(fleet.reasons)


class Worker:
    """The members of this process.

    The public methods are the commands of the run. Each takes the command and returns its answer.
    """

    def __init__(self) -> None:
        """Start without members."""
        self.loop = MeteredLoop(self._record_defect)
        self.pool = BufferPool(BUFFER_COUNT)
        self.members: dict[str, HollowMember] = {}
        self.defects: list[str] = []
        self.ended_members = MemberCounts()

    def _record_defect(self, actor: Actor, error: Exception) -> None:
        if len(self.defects) < MAX_DEFECTS:
            self.defects.append("".join(traceback.format_exception(error))[-MAX_TRACE_SIZE:])

    def _selected_members(self, command: Json) -> list[HollowMember]:
        """Return the members that a command names, or all."""
        names = command.get("members")
        return [member for name, member in self.members.items() if names is None or name in names]

    def _running(self) -> list[tuple[HollowMember, HollowFleetMember]]:
        return [(member, member.fleet) for member in self.members.values() if member.fleet is not None]

    def begin(self, command: Json) -> Json:
        """Create the members, and limit the memory of the process."""
        # If the members leak memory, they must not take it from other processes of the machine.
        hard_limit = resource.getrlimit(resource.RLIMIT_AS)[1]
        resource.setrlimit(resource.RLIMIT_AS, (command["memory_limit"], hard_limit))
        for name, host in command["members"]:
            self.members[name] = HollowMember(self.loop, self.pool, name, host, command["port"], command)
        gc.collect()
        return {"memory": resident_memory(), "pid": os.getpid()}

    def enter(self, command: Json) -> Json:
        """Register members in the store."""
        for member in self._selected_members(command):
            member.register()
        return {}

    def join(self, command: Json) -> Json:
        """Have members watch the store."""
        for member in self._selected_members(command):
            member.watch_store()
        return {}

    def link(self, command: Json) -> Json:
        """Have members accept and dial links."""
        for member in self._selected_members(command):
            member.open_links()
        return {}

    def start(self, command: Json) -> Json:
        """Start members completely, as a process does."""
        for member in self._selected_members(command):
            member.start()
        return {}

    def kill(self, command: Json) -> Json:
        """Kill those members that are running."""
        killed = 0
        for member in self._selected_members(command):
            if member.fleet is not None:
                self.ended_members.add_member(member.fleet)
                member.kill()
                killed += 1
        return {"killed": killed}

    def rest(self, command: Json) -> Json:
        """Exclude all present objects from garbage collection, as a sidecar does after its start."""
        gc.collect()
        gc.freeze()
        return {}

    def work(self, command: Json) -> Json:
        """Have clients send requests to members at a rate."""
        for member in self._selected_members(command):
            member.set_request_rate(command["rate"])
        return {}

    def cut(self, command: Json) -> Json:
        """Partition the network between the given sides."""
        for member in self._selected_members(command):
            member.partition(command["side"])
        return {}

    def state(self, command: Json) -> Json:
        """Return the state of the members, by which the run waits."""
        running = self._running()
        hosts = [fleet.host for _, fleet in running]
        views = [host.replicator.view for host in hosts]
        return {
            "members": len(running),
            "ready": sum(member.ready for member, _ in running),
            "sizes": Counter(str(len(view.members)) for view in views),
            "cells": sorted({view.shard_count for view in views}),
            "views": Counter(str(view.digest) for view in views),
            "links": sum(len(fleet.links.links) for _, fleet in running),
            "changes": sum(host.counts["log.link.up"] + host.counts["log.link.down"] for host in hosts),
            "versions": Counter(str(host.policy_replica.active_policy.version) for host in hosts),
            "doubt": sum(bool(host.policy_replica.unavailable_reason()) for host in hosts),
            "in_hand": sum(len(host.replicator.requests) for host in hosts),
        }

    def sample(self, command: Json) -> Json:
        """Return all current counts."""
        totals = MemberCounts()
        totals.add_counts(self.ended_members)
        for _, fleet in self._running():
            totals.add_member(fleet)
        max_timer_delay, self.loop.max_timer_delay = self.loop.max_timer_delay, 0.0
        meters = {name: member.meter.sample() for name, member in self.members.items()}
        return {
            "at": time.monotonic(),
            "members": {name: msgspec.to_builtins(sample) for name, sample in meters.items()},
            "nobody": msgspec.to_builtins(self.loop.shared_meter.sample()),
            "cpu_s": time.process_time(),
            "memory": resident_memory(),
            "ready_s": {member.name: member.ready_s for member, _ in self._running()},
            "counts": totals.counts,
            "frames": totals.frames,
            "reasons": totals.reasons,
            "latest_s": max_timer_delay,
            "defects": self.defects,
        }


class CommandReader(Actor):
    """Executes the commands of standard input. The end of the input ends the process."""

    daemon = True

    def __init__(self, worker: Worker) -> None:
        """`worker`: whose methods are the commands."""
        self.worker = worker
        os.set_blocking(STANDARD_INPUT, False)
        worker.loop.register(STANDARD_INPUT, self, READ)
        super().__init__(worker.loop)

    def run(self) -> Coroutine[None]:
        """Read lines, and answer each in the same turn."""
        unfinished = b""
        while True:
            yield None
            try:
                data = os.read(STANDARD_INPUT, READ_SIZE)
            except BlockingIOError:
                continue
            if not data:
                self.loop.stop()
                return
            *lines, unfinished = (unfinished + data).split(b"\n")
            for line in lines:
                self._execute(json.loads(line))

    def _execute(self, command: Json) -> None:
        try:
            answer = getattr(self.worker, command["do"])(command)
        except Exception as error:
            answer = {"fault": f"{error!r} {traceback.format_exc()[-MAX_FAULT_SIZE:]}"}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()


class ReadinessWatcher(Actor):
    """Records how long each member took to become ready."""

    daemon = True

    def __init__(self, worker: Worker) -> None:
        """`worker`: whose members it watches."""
        self.worker = worker
        super().__init__(worker.loop)

    def run(self) -> Coroutine[None]:
        """Check all members at regular intervals."""
        while True:
            yield self.loop.now() + READY_POLL_INTERVAL
            for member in self.worker.members.values():
                if member.fleet is not None and not member.ready_s and member.ready:
                    member.ready_s = self.loop.now() - member.started


def main() -> None:
    """Serve until standard input ends."""
    worker = Worker()
    gc.set_threshold(GC_THRESHOLD)
    CommandReader(worker).begin()
    ReadinessWatcher(worker).begin()
    worker.loop.run()


if __name__ == "__main__":
    main()
