"""Timing of the program's own code in this process, and the sizes of its messages.

Each figure is a dict of `figure`, `size`, and `us` (microseconds of CPU time) or `bytes`, which
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

from .bench import (
    Bench,
    make_balancer,
    make_endpoint,
    make_members,
    sample_frames,
    watch_line,
    zone_report,
)

SIZES = (25, 50, 200, 400, 800, 1600)
MAX_SHARD_SIZE = 32  # members, in the figures that are timed with shards
KEY_SIZE = 32  # bytes of a request's idempotency key
MIN_TIMED_SECONDS = 0.15  # seconds of CPU time that each figure is timed for
REPEATS = 3  # timings of each figure; the fastest is reported


def timed(action: Callable[[], object], min_seconds: float = MIN_TIMED_SECONDS) -> float:
    """Return the microseconds of CPU time of one call, the fastest of `REPEATS` timings."""
    best = float("inf")
    for _ in range(REPEATS):
        calls, started_at = 0, time.process_time()
        while time.process_time() < started_at + min_seconds / REPEATS:
            action()
            calls += 1
        best = min(best, (time.process_time() - started_at) / calls)
    return best * 1e6


def measure(sizes: Iterable[int] = SIZES, min_seconds: float = MIN_TIMED_SECONDS) -> Iterator[dict[str, Any]]:
    """Yield each figure at each size. `min_seconds`: how long each figure is timed."""
    yield from _message_sizes()
    for count in sizes:
        rng = random.Random(count)
        tracemalloc.start()
        bench = Bench(count)
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield {"figure": "memory of view and records", "size": count, "bytes": memory}
        full_range = bench.encode_full_range()
        for figure, action in _actions(bench, rng, full_range):
            yield {"figure": figure, "size": count, "us": round(timed(action, min_seconds), 2)}
        yield {"figure": "whole range", "size": count, "bytes": len(full_range), "entries": 3 * count + 1}
        for figure, line in _watch_lines(bench):
            yield {"figure": figure, "size": count, "bytes": len(line)}


def _message_sizes() -> Iterator[dict[str, Any]]:
    """Yield the sizes of a frame of each kind and of a member's part of the responses to operators."""
    for name, frame in sample_frames().items():
        yield {"figure": f"frame {name}", "size": 0, "bytes": len(links.encode_frame(frame))}
    me = make_members(1)[0]
    for name, part in (
        ("evidence", {me.name: msgspec.to_builtins(zone_report(0).zones)}),
        ("vote and word", [{me.name: "yes"}, me.name, {me.name: {"version": 41, "age_s": 0.123}}]),
        ("member", [msgspec.structs.asdict(me), me.id]),
    ):
        yield {"figure": f"{name}, as told to operators", "size": 0, "bytes": len(msgspec.json.encode(part))}


def _shard_count(members: int) -> int:
    shard_count = 1
    while members > shard_count * MAX_SHARD_SIZE:
        shard_count *= 2
    return shard_count


def _actions(bench: Bench, rng: random.Random, full_range: bytes) -> list[tuple[str, Callable[[], object]]]:
    """Return the timed operations of a fleet, by the name of their figure."""
    members, count = bench.members, bench.count
    ids, shard_count = {m.id for m in members}, _shard_count(count)
    view, sharded_view = MembershipView(members), MembershipView(members, shard_count)
    balancer = make_balancer(count)

    def change_endpoint() -> None:
        state = rng.choice((EndpointState.READY, EndpointState.DRAINING))
        balancer.update_endpoints(WatchEvent.DELTA, [make_endpoint(rng.randrange(count), state)])
        balancer.endpoints.refresh()

    return [
        ("home", lambda: view.coordinator(rng.randbytes(KEY_SIZE))),
        (
            f"home, in cells of {MAX_SHARD_SIZE} at most",
            lambda: sharded_view.coordinator(rng.randbytes(KEY_SIZE)),
        ),
        ("keepers", lambda: view.replicas(rng.randbytes(KEY_SIZE), members[0].id, 1, ids)),
        ("view", lambda: MembershipView(members)),
        (f"view, in cells of {MAX_SHARD_SIZE} at most", lambda: MembershipView(members, shard_count)),
        ("list change, decided", change_endpoint),
        ("vote event", bench.receive_vote),
        ("evidence event", bench.receive_zone_report),
        ("member event", bench.receive_member_entry),
        ("evidence weighed", bench.evaluate_zone_reports),
        ("whole range read", lambda: bench.read_full_range(full_range)),
    ]


def _watch_lines(bench: Bench) -> Iterator[tuple[str, bytes]]:
    """Yield lines of the store's watch, each with the name of its figure."""
    report = next(iter(bench.state_watcher.records.zone_reports.values()))
    member = bench.member_id
    for figure, key, value in (
        ("evidence line", f"zones/said/{member}", msgspec.json.encode(report)),
        ("evidence line, 11 zones", f"zones/said/{member}", msgspec.json.encode(zone_report(0, 11))),
        ("vote line", f"policy/votes/123456/{member}", b'""'),
        ("member line", f"members/{member}", msgspec.json.encode(bench.members[0])),
    ):
        yield figure, watch_line(key, value, 123456789)
