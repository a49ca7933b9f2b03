"""Which part of the program takes a sidecar's processor time for a call: the trial `added` under a profiler.

A profiler slows what it watches, small functions most: the shares say where time goes, not how much it is.
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

PLACES = (
    # A part of a path or of a builtin's name, and the part of the program; the first that fits counts.
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
START_MARKS = ("importlib", "<frozen", "marshal", "{built-in method builtins.exec}", "posix.stat")


def whose(place: tuple[str, int, str]) -> str:
    """Return the part of the program that a function of the profile belongs to."""
    text = f"{place[0]} {place[2]}"
    if any(mark in text for mark in START_MARKS):
        return "start"
    return next((name for part, name in PLACES if part in text), "builtins and library")


async def run_trial(seed: int, rate: float, seconds: float) -> dict[str, Any]:
    """Return shares of processor time, per cent, without that of waiting and of the start."""
    with tempfile.TemporaryDirectory(prefix="parts-", dir=MEMORY_FOLDER) as folder:
        out = Path(folder) / "profile"
        command = ("-m", "cProfile", "-o", str(out), "-m", "starlingwheel")
        result = await added.run_trial(seed, rates=(rate,), seconds=seconds, command=command)
        stats = pstats.Stats(str(out)).stats  # type: ignore[attr-defined]
    spent: Counter[str] = Counter()
    calls: Counter[str] = Counter()
    for place, (_, count, own, _, _) in stats.items():
        spent[whose(place)] += own
        calls[whose(place)] += count
    for name in ("waiting for sockets", "start"):
        spent.pop(name, None)
    total = sum(spent.values())
    return {
        "trial": "parts",
        "seed": seed,
        "rate": rate,
        "shares": {name: round(100 * own / total, 1) for name, own in spent.most_common()},
        "calls": {name: calls[name] for name in spent},
        **result.counts,
    }


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m trials parts", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="(default: 1)")
    parser.add_argument("--rate", type=float, default=344.0, help="calls a second (default: 344)")
    parser.add_argument("--seconds", type=float, default=8.0, help="(default: 8)")
    options = parser.parse_args(arguments)
    if not (1 <= options.rate <= 5000 and added.FIRST < options.seconds <= 60):
        print(f"a rate from 1 to 5000, seconds from {added.FIRST} to 60", file=sys.stderr)
        return 2
    print(json.dumps(asyncio.run(run_trial(options.seed, options.rate, options.seconds))))
    return 0
