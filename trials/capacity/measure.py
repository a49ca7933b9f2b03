"""Times the program's own code in this process, and counts the bytes of its messages.

Each figure is a dict of `figure`, `size`, and `us` (microseconds of processor time) or `bytes`, which
`--measure` prints as a line of JSON.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import EndpointState
from starlingwheel.fleet.membership import MembershipView
from starlingwheel.net.fleet import links

from .bench import Bench, endpoint, event, frames, members, new_balancer, zone_report

SIZES = (25, 50, 200, 400, 800, 1600)
CELL = 32  # members of a cell, at most, for what is timed with cells
KEY_SIZE = 32  # bytes of the name of a request
LEAST_TIMED = 0.15  # seconds of processor time that each figure is timed for
REPEATS = 3  # times that it is timed; the best counts


def timed(action: Callable[[], object], least: float = LEAST_TIMED) -> float:
    """Return microseconds of processor time of one call, the best of some repeats."""
    best = float("inf")
    for _ in range(REPEATS):
        times, begun = 0, time.process_time()
        while time.process_time() < begun + least / REPEATS:
            action()
            times += 1
        best = min(best, (time.process_time() - begun) / times)
    return best * 1e6


def measure(sizes: Iterable[int] = SIZES, least: float = LEAST_TIMED) -> Iterator[dict[str, Any]]:
    """Yield each figure at each size. `least`: seconds that each is timed for."""
    yield from _message_sizes()
    for count in sizes:
        rng = random.Random(count)
        tracemalloc.start()
        bench = Bench(count)
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield {"figure": "memory of view and records", "size": count, "bytes": memory}
        full_range = bench.full_range()
        for figure, action in _actions(bench, rng, full_range):
            yield {"figure": figure, "size": count, "us": round(timed(action, least), 2)}
        yield {"figure": "whole range", "size": count, "bytes": len(full_range), "entries": 3 * count + 1}
        for figure, line in _watch_lines(bench):
            yield {"figure": figure, "size": count, "bytes": len(line)}


def _message_sizes() -> Iterator[dict[str, Any]]:
    """Yield the bytes of a frame of each kind, and of a member's part of the answers to operators."""
    for name, frame in frames().items():
        yield {"figure": f"frame {name}", "size": 0, "bytes": len(links.encode_frame(frame))}
    me = members(1)[0]
    for name, part in (
        ("evidence", {me.name: msgspec.to_builtins(zone_report(0).zones)}),
        ("vote and word", [{me.name: "yes"}, me.name, {me.name: {"version": 41, "age_s": 0.123}}]),
        ("member", [msgspec.structs.asdict(me), me.id]),
    ):
        yield {"figure": f"{name}, as told to operators", "size": 0, "bytes": len(msgspec.json.encode(part))}


def _cell_count(members: int) -> int:
    cells = 1
    while members > cells * CELL:
        cells *= 2
    return cells


def _actions(bench: Bench, rng: random.Random, full_range: bytes) -> list[tuple[str, Callable[[], object]]]:
    """What is timed in a fleet, by the name of its figure."""
    everybody, count = bench.members, bench.count
    ids, cells = {m.id for m in everybody}, _cell_count(count)
    view, view_in_cells = MembershipView(everybody), MembershipView(everybody, cells)
    balancer = new_balancer(count)

    def change_endpoint() -> None:
        state = rng.choice((EndpointState.READY, EndpointState.DRAINING))
        balancer.update_endpoints(WatchEvent.DELTA, [endpoint(rng.randrange(count), state)])
        balancer.endpoints.refresh()

    return [
        ("home", lambda: view.coordinator(rng.randbytes(KEY_SIZE))),
        (f"home, in cells of {CELL} at most", lambda: view_in_cells.coordinator(rng.randbytes(KEY_SIZE))),
        ("keepers", lambda: view.replicas(rng.randbytes(KEY_SIZE), everybody[0].id, 1, ids)),
        ("view", lambda: MembershipView(everybody)),
        (f"view, in cells of {CELL} at most", lambda: MembershipView(everybody, cells)),
        ("list change, decided", change_endpoint),
        ("vote event", bench.vote),
        ("evidence event", bench.evidence),
        ("member event", bench.entry),
        ("evidence weighed", bench.weigh),
        ("whole range read", lambda: bench.read_full_range(full_range)),
    ]


def _watch_lines(bench: Bench) -> Iterator[tuple[str, bytes]]:
    """Yield lines of the store's watch, by the name of their figure."""
    report = next(iter(bench.state_watcher.records.zone_reports.values()))
    member = bench.member_id
    for figure, key, value in (
        ("evidence line", f"zones/said/{member}", msgspec.json.encode(report)),
        ("evidence line, 11 zones", f"zones/said/{member}", msgspec.json.encode(zone_report(0, 11))),
        ("vote line", f"policy/votes/123456/{member}", b'""'),
        ("member line", f"members/{member}", msgspec.json.encode(bench.members[0])),
    ):
        yield figure, event(key, value, 123456789)
