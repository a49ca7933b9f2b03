"""Shares of a sidecar's CPU time by part of the program, from the trial `added` under a profiler.

A profiler slows down what it measures, small functions most: the shares say where time goes, not how much.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pstats
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from . import added
from .rig import MEMORY_FOLDER

PARTS_BY_PLACE = (
    # A substring of a path or of a builtin's name, and the part of the program; the first match counts.
    ("method 'poll' of 'select", "waiting for sockets"),
    ("/h11/", "h11"),
    ("socket", "sockets: connect, accept, read, write, close"),
    ("net/http/pool", "wire: connections to upstreams"),
    ("net/http/client", "wire: clients"),
    ("net/http/", "wire: the rest"),
    ("net/loop", "loop and actors"),
    ("net/actor", "loop and actors"),
    ("decisions/", "decisions"),
    ("net/coordinator", "module"),
    ("net/state", "memory: buffers, ledger"),
    ("net/lifecycle/log", "log"),
    ("net/fleet", "cover"),
    ("fleet/", "cover"),
    ("net/", "the rest of net"),
)
START_PATTERNS = ("importlib", "<frozen", "marshal", "{built-in method builtins.exec}", "posix.stat")


def part_of(place: tuple[str, int, str]) -> str:
    """Return the part of the program to which a function of the profile belongs."""
    text = f"{place[0]} {place[2]}"
    if any(pattern in text for pattern in START_PATTERNS):
        return "start"
    return next((name for pattern, name in PARTS_BY_PLACE if pattern in text), "builtins and library")


async def run_trial(seed: int, rate: float, seconds: float) -> dict[str, Any]:
    """Return shares of CPU time in percent, without the time spent waiting and starting."""
    with tempfile.TemporaryDirectory(prefix="parts-", dir=MEMORY_FOLDER) as folder:
        out = Path(folder) / "profile"
        command = ("-m", "cProfile", "-o", str(out), "-m", "starlingwheel")
        result = await added.run_trial(seed, rates=(rate,), seconds=seconds, command=command)
        stats = pstats.Stats(str(out)).stats  # type: ignore[attr-defined]
    cpu_times: Counter[str] = Counter()
    calls: Counter[str] = Counter()
    for place, (_, count, own_time, _, _) in stats.items():
        cpu_times[part_of(place)] += own_time
        calls[part_of(place)] += count
    for name in ("waiting for sockets", "start"):
        cpu_times.pop(name, None)
    total = sum(cpu_times.values())
    return {
        "trial": "parts",
        "seed": seed,
        "rate": rate,
        "shares": {name: round(100 * own_time / total, 1) for name, own_time in cpu_times.most_common()},
        "calls": {name: calls[name] for name in cpu_times},
        **result.counts,
    }


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m trials parts", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="(default: 1)")
    parser.add_argument("--rate", type=float, default=344.0, help="calls a second (default: 344)")
    parser.add_argument("--seconds", type=float, default=8.0, help="(default: 8)")
    options = parser.parse_args(arguments)
    if not (1 <= options.rate <= 5000 and added.WARM_UP < options.seconds <= 60):
        print(
            f"--rate must be from 1 to 5000, --seconds above {added.WARM_UP} and at most 60", file=sys.stderr
        )
        return 2
    print(json.dumps(asyncio.run(run_trial(options.seed, options.rate, options.seconds))))
    return 0
