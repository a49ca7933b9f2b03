"""The lines of output: the figures of each role between two samples."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container
from typing import Any

import msgspec

from . import counts
from .control import Process
from .counts import HEADER_SIZE, Sample

MAX_TRACES = 3  # tracebacks of defects in a line
MEBIBYTE = 2**20  # bytes
Json = dict[str, Any]


class RoleTotals:
    """Sums over the members of one role, and the mean of a member."""

    def __init__(self) -> None:
        """Start without a member."""
        self.traffic = counts.Traffic()
        self.store_traffic = counts.Traffic()
        self.members = 0
        self.sockets = 0
        self.memory = 0  # bytes
        self.own_cpu = 0.0  # seconds inside the members' actors
        self.cpu = 0.0  # seconds of the whole processes

    def add(self, before: Sample, after: Sample) -> None:
        """Add a member, given its samples before and after."""
        difference = counts.difference_of(before, after)
        self.members += 1
        self.sockets += difference.sockets
        self.own_cpu += difference.cpu_s
        self.traffic.add(difference.links)
        self.store_traffic.add(difference.store)

    def add_process(self, before: Sample, after: Sample) -> None:
        """Add a member that has a process of its own."""
        self.add(before, after)
        self.cpu += after.cpu_s - before.cpu_s
        self.memory += after.memory

    def figures(self, seconds: float) -> Json:
        """Return the mean of a member: bytes, messages and segments a second, fractions of a core, and MB."""
        if not self.members:
            return {"members": 0}
        scale = 1 / (self.members * seconds)
        total = counts.Traffic()
        total.add(self.traffic)
        total.add(self.store_traffic)
        figures: Json = {"members": self.members, "sockets": round(self.sockets / self.members, 2)}
        for direction in ("out", "in"):
            figures |= self._traffic_figures(total, direction, scale)
        return figures | {
            "core": round(self.cpu * scale, 6),
            "own_core": round(self.own_cpu * scale, 6),
            "mb": round(self.memory / self.members / MEBIBYTE, 3),
        }

    def _traffic_figures(self, total: counts.Traffic, direction: str, scale: float) -> Json:
        """Return the figures of one direction. Those named `wire` include headers."""
        payload, segments = getattr(total, f"bytes_{direction}"), getattr(total, f"segments_{direction}")
        return {
            f"bytes_{direction}": round(payload * scale, 1),
            f"wire_{direction}": round((payload + HEADER_SIZE * segments) * scale, 1),
            f"messages_{direction}": round(getattr(total, f"messages_{direction}") * scale, 2),
            f"segments_{direction}": round(segments * scale, 2),
            f"arbiter_bytes_{direction}": round(getattr(self.store_traffic, f"bytes_{direction}") * scale, 1),
        }


class WorkerFigures:
    """The figures of all hollow members, from the samples of their worker processes."""

    def __init__(self) -> None:
        """Start without a worker."""
        self.shared = RoleTotals()
        self.alone = RoleTotals()
        self.totals: dict[str, Counter[str]] = {
            "counts": Counter(),
            "frames": Counter(),
            "reasons": Counter(),
        }
        self.ready_seconds: list[float] = []
        self.defects: list[str] = []
        self.max_timer_delay = 0.0  # seconds

    def add(self, before: Json, after: Json, alone: Container[str], base_memory: int) -> None:
        """Add a worker, given its samples.

        `alone`: names of the members with a process of their own. `base_memory`: bytes of the worker before
        its members were created.
        """
        names = list(after["members"])
        role = self.alone if names[0] in alone else self.shared
        role.cpu += after["cpu_s"] - before["cpu_s"]
        role.memory += after["memory"] - base_memory
        for name in names:
            role.add(_sample(before["members"][name]), _sample(after["members"][name]))
        for kind, total in self.totals.items():
            total.update(after[kind])
            total.subtract(before[kind])
        self.ready_seconds += [seconds for seconds in after["ready_s"].values() if seconds]
        self.defects += after["defects"]
        self.max_timer_delay = max(self.max_timer_delay, after["latest_s"])

    def details(self) -> Json:
        """Return the counts of all hollow members together."""
        details: Json = {
            "counts": _non_zero(self.totals["counts"]),
            "frames_in": _non_zero(self.totals["frames"]),
            "reasons": _non_zero(self.totals["reasons"]),
            "defects": self.defects[:MAX_TRACES],
            "latest_s": round(self.max_timer_delay, 3),
        }
        ready = sorted(self.ready_seconds)
        if ready:
            details["ready_s_median"] = round(ready[len(ready) // 2], 3)
            details["ready_s_most"] = round(ready[-1], 3)
        return details


def role_lines(
    before: Json, after: Json, workers: list[Process], alone: Container[str], base_memory: dict[Process, int]
) -> list[Json]:
    """Return a line for each role, with its figures between two samples of a fleet."""
    seconds = after["at"] - before["at"]
    hollow = WorkerFigures()
    for worker, old, new in zip(workers, before["workers"], after["workers"], strict=True):
        hollow.add(old, new, alone, base_memory[worker])
    lines = [{"role": "hollow"} | hollow.shared.figures(seconds) | hollow.details()]
    if hollow.alone.members:
        lines.append({"role": "alone"} | hollow.alone.figures(seconds))
    lines.append({"role": "real"} | _real_totals(before["real"], after["real"]).figures(seconds))
    lines.append({"role": "arbiter"} | _store_figures(before, after, seconds))
    return lines


def _real_totals(before: dict[str, Sample], after: dict[str, Sample]) -> RoleTotals:
    totals = RoleTotals()
    for member, new in after.items():
        old = before.get(member)
        if old is not None and new.cpu_s >= old.cpu_s:  # excludes a process that was restarted in between
            totals.add_process(old, new)
    return totals


def _store_figures(before: Json, after: Json, seconds: float) -> Json:
    old, new = before["arbiter"], after["arbiter"]
    totals = RoleTotals()
    old_sample, new_sample = _sample(old["sample"]), _sample(new["sample"])
    totals.add_process(old_sample, new_sample)
    calls = Counter(new["calls"])
    calls.subtract(old["calls"])
    watched = {kind: new["watch"].get(kind, 0) - old["watch"].get(kind, 0) for kind in ("lines", "events")}
    return totals.figures(seconds) | {
        "calls_s": round(sum(calls.values()) / seconds, 3),
        "calls": _non_zero(calls),
        "watch_lines_s": round(watched["lines"] / seconds, 3),
        "watch_events_s": round(watched["events"] / seconds, 3),
        "kernel_mb": round(after["kernel"] / MEBIBYTE, 1),
    }


def _non_zero(counter: Counter[str]) -> dict[str, int]:
    return {name: count for name, count in counter.items() if count}


def _sample(data: Json) -> Sample:
    return msgspec.convert(data, Sample)
