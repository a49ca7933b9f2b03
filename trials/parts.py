"""Which part of a sidecar's processor time for a call is whose: the trial of added time under a profiler.

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
from .rig import MEMORY

PLACES = (
    # Part of a path, or of a builtin's name, and whose it is; the first that fits counts.
    ("method 'poll' of 'select", "waiting for sockets"),
    ("/h11/", "h11"),
    ("socket", "sockets: connect, accept, read, write, close"),
    ("net/wire/upstream", "wire: connections to upstreams"),
    ("net/wire/client", "wire: clients"),
    ("net/wire/", "wire: the rest"),
    ("net/loop", "loop and actors"),
    ("net/actor", "loop and actors"),
    ("decisions/", "decisions"),
    ("net/module", "module"),
    ("net/memory", "memory: buffers, ledger"),
    ("net/lifecycle/log", "log"),
    ("net/fleet", "cover"),
    ("fleet/", "cover"),
    ("net/", "the rest of net"),
)
START = ("importlib", "<frozen", "marshal", "{built-in method builtins.exec}", "posix.stat")


def whose(place: tuple[str, int, str]) -> str:
    text = f"{place[0]} {place[2]}"
    if any(word in text for word in START):
        return "start"
    return next((name for part, name in PLACES if part in text), "builtins and library")


async def play(seed: int, rate: float, seconds: float) -> dict[str, Any]:
    """Shares of processor time, per cent, without that of waiting and of the start."""
    with tempfile.TemporaryDirectory(prefix="parts-", dir=MEMORY) as folder:
        out = Path(folder) / "profile"
        command = ("-m", "cProfile", "-o", str(out), "-m", "starlingwheel")
        verdict = await added.play(seed, rates=(rate,), seconds=seconds, command=command)
        stats = pstats.Stats(str(out)).stats  # type: ignore[attr-defined]
    spent: Counter[str] = Counter()
    calls: Counter[str] = Counter()
    for place, (_, count, own, _, _) in stats.items():
        spent[whose(place)] += own
        calls[whose(place)] += count
    for name in ("waiting for sockets", "start"):
        spent.pop(name, None)
    whole = sum(spent.values())
    return {
        "trial": "parts",
        "seed": seed,
        "rate": rate,
        "shares": {name: round(100 * own / whole, 1) for name, own in spent.most_common()},
        "calls": {name: calls[name] for name in spent},
        **verdict.counts,
    }


def main(given: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m trials parts", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="(default: 1)")
    parser.add_argument("--rate", type=float, default=344.0, help="calls a second (default: 344)")
    parser.add_argument("--seconds", type=float, default=8.0, help="(default: 8)")
    told = parser.parse_args(given)
    if not (1 <= told.rate <= 5000 and added.FIRST < told.seconds <= 60):
        print(f"a rate from 1 to 5000, seconds from {added.FIRST} to 60", file=sys.stderr)
        return 2
    print(json.dumps(asyncio.run(play(told.seed, told.rate, told.seconds))))
    return 0
