"""One process of hollow members, on one loop. `python -m trials.scale.worker`, told by standard input."""

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

from .counts import resident
from .member import LOOKED, Member
from .metered import MeteredLoop

DEFECTS = 20  # whose traces are kept
POOL = 64  # buffers; a hollow member has no bodies


class Worker:
    def __init__(self) -> None:
        self.loop = MeteredLoop(self._defect)
        self.pool = BufferPool(POOL)
        self.members: dict[str, Member] = {}
        self.defects: list[str] = []
        # Of members that have ended.
        self.counts, self.frames, self.reasons = Counter[str](), Counter[str](), Counter[str]()

    def _defect(self, actor: Actor, error: Exception) -> None:
        if len(self.defects) < DEFECTS:
            self.defects.append("".join(traceback.format_exception(error))[-600:])

    def _named(self, given: dict[str, Any]) -> list[Member]:
        names = given.get("members")
        return [m for n, m in self.members.items() if names is None or n in names]

    # What the run asks.

    def begin(self, given: dict[str, Any]) -> dict[str, Any]:
        # Guards against a fleet that grows without end taking the machine's memory from all others.
        resource.setrlimit(resource.RLIMIT_AS, (given["most"], resource.getrlimit(resource.RLIMIT_AS)[1]))
        for name, host in given["members"]:
            self.members[name] = Member(self.loop, self.pool, name, host, given["port"], given)
        gc.collect()
        return {"memory": resident(), "pid": os.getpid()}

    def enter(self, given: dict[str, Any]) -> dict[str, Any]:
        for member in self._named(given):
            member.enter()
        return {}

    def join(self, given: dict[str, Any]) -> dict[str, Any]:
        for member in self._named(given):
            member.join()
        return {}

    def link(self, given: dict[str, Any]) -> dict[str, Any]:
        for member in self._named(given):
            member.link()
        return {}

    def start(self, given: dict[str, Any]) -> dict[str, Any]:
        for member in self._named(given):
            member.start()
        return {}

    def kill(self, given: dict[str, Any]) -> dict[str, Any]:
        killed = [m for m in self._named(given) if m.fleet is not None]
        for member in killed:
            self._count(member, self.counts, self.frames, self.reasons)
            member.kill()
        return {"killed": len(killed)}

    def rest(self, given: dict[str, Any]) -> dict[str, Any]:
        """All is up: what there is stays, as a sidecar has it after its start."""
        gc.collect()
        gc.freeze()
        return {}

    def work(self, given: dict[str, Any]) -> dict[str, Any]:
        for member in self._named(given):
            member.set_work(given["rate"])
        return {}

    def cut(self, given: dict[str, Any]) -> dict[str, Any]:
        for member in self._named(given):
            member.cut(given["side"])
        return {}

    def state(self, given: dict[str, Any]) -> dict[str, Any]:
        there = [m for m in self.members.values() if m.fleet is not None]
        modules = [m.fleet.module for m in there if m.fleet is not None]
        return {
            "members": len(there),
            "ready": sum(m.ready for m in there),
            "sizes": Counter(str(len(module.replicator.view.members)) for module in modules),
            "cells": sorted({getattr(module.replicator.view, "cells", 1) for module in modules}),
            "views": Counter(str(module.replicator.view.digest) for module in modules),
            "links": sum(len(m.fleet.links.links) for m in there if m.fleet is not None),
            "changes": sum(m.counts["log.link.up"] + m.counts["log.link.down"] for m in modules),
            "versions": Counter(str(module.policy_replica.in_force.version) for module in modules),
            "doubt": sum(bool(module.policy_replica.doubt()) for module in modules),
            "in_hand": sum(len(module.replicator.items) for module in modules),
        }

    def sample(self, given: dict[str, Any]) -> dict[str, Any]:
        counts, frames, reasons = self.counts.copy(), self.frames.copy(), self.reasons.copy()
        for member in self.members.values():
            self._count(member, counts, frames, reasons)
        latest, self.loop.max_timer_delay = self.loop.max_timer_delay, 0.0
        return {
            "at": time.monotonic(),
            "members": {n: msgspec.to_builtins(m.meter.sample()) for n, m in self.members.items()},
            "nobody": msgspec.to_builtins(self.loop.nobody.sample()),
            "cpu_s": time.process_time(),
            "memory": resident(),
            "ready_s": {n: m.ready_s for n, m in self.members.items() if m.fleet is not None},
            "counts": counts,
            "frames": frames,
            "reasons": reasons,
            "latest_s": latest,
            "defects": self.defects,
        }

    def _count(
        self, member: Member, counts: Counter[str], frames: Counter[str], reasons: Counter[str]
    ) -> None:
        if (fleet := member.fleet) is not None:
            counts.update(fleet.module.counts)
            counts.update({f"cover.{k}": v for k, v in fleet.module.replicator.counts.items()})
            counts["covered_us"] += round(fleet.module.covered_s * 1e6)
            frames.update(fleet.module.frames)
            reasons.update(fleet.reasons)


class Control(Actor):
    """Standard input: a word a line, answered in the same turn. Its end is the process's."""

    daemon = True

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        os.set_blocking(0, False)
        worker.loop.register(0, self, READ)
        super().__init__(worker.loop)

    def run(self) -> Coroutine[None]:
        held = b""
        while True:
            yield None
            try:
                data = os.read(0, 1 << 20)
            except BlockingIOError:
                continue
            if not data:
                self.loop.stop()
                return
            *lines, held = (held + data).split(b"\n")
            for line in lines:
                self._answer(json.loads(line))

    def _answer(self, given: dict[str, Any]) -> None:
        try:
            told = getattr(self.worker, given["do"])(given)
        except Exception as error:
            told = {"fault": f"{error!r} {traceback.format_exc()[-800:]}"}
        sys.stdout.write(json.dumps(told) + "\n")
        sys.stdout.flush()


class Looker(Actor):
    """When each member became ready."""

    daemon = True

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        super().__init__(worker.loop)

    def run(self) -> Coroutine[None]:
        while True:
            yield self.loop.now() + LOOKED
            for member in self.worker.members.values():
                if member.fleet is not None and not member.ready_s and member.ready:
                    member.ready_s = self.loop.now() - member.started


def main() -> None:
    worker = Worker()
    gc.set_threshold(GC_THRESHOLD)
    Control(worker).begin()
    Looker(worker).begin()
    worker.loop.run()


if __name__ == "__main__":
    main()
