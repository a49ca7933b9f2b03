"""python -m trials NAME --seed N: play a trial; exit code 0: all promises kept, 1: one was broken."""

from __future__ import annotations

import argparse
import asyncio
import inspect
import json
import sys
from pathlib import Path
from typing import Any

from . import (
    added,
    call_tree,
    capacity,
    cost,
    endpoint_list,
    hard,
    loss,
    outage,
    parts,
    policy,
    rest,
    storm,
    zones,
)
from .rig import ROOT
from .scale.__main__ import main as scale

TRIALS = {
    "loss": loss.run_trial,
    "losses": storm.losses,
    "storm": storm.storm,
    "cost": cost.run_trial,
    "added": added.run_trial,
    **outage.CASES,
    **endpoint_list.CASES,
    "rest": rest.run_trial,
    "policy": policy.run_changes,
    **hard.CASES,
    **policy.CASES,
    **zones.TRIALS_OF_ZONES,
}
# Trials with a command line of their own.
OWN = {"call-tree": call_tree.main, "capacity": capacity.main, "parts": parts.main, "scale": scale}


def _parser() -> argparse.ArgumentParser:
    own = f"With a command line of their own: {', '.join(OWN)}."
    parser = argparse.ArgumentParser(prog="python -m trials", description=__doc__, epilog=own)
    parser.add_argument("trial", choices=TRIALS)
    parser.add_argument("--seed", type=int, default=1, help="names the timetable of faults (default: 1)")
    parser.add_argument("--seeds", type=int, default=1, help="so many seeds in a row (default: 1)")
    parser.add_argument("--root", type=Path, default=ROOT, help="another checkout whose program is played")
    parser.add_argument("--alone", action="store_true", help="without a fleet: each sidecar by itself")
    parser.add_argument("--sidecars", type=int, help="processes of the program")
    parser.add_argument("--rates", help="of `added` and `cost`: calls a second, separated by commas")
    parser.add_argument("--service", type=float, help="of `added`: an upstream's time, seconds (default: 0)")
    parser.add_argument("--cell-size", type=int, help="members of a cell, as fleet.cell_size")
    return parser


def _keywords(options: argparse.Namespace) -> dict[str, Any]:
    """The options that are passed on to the trial where they are given."""
    keywords: dict[str, Any] = {"root": options.root, "fleet": not options.alone}
    if options.sidecars:
        keywords["sidecars"] = options.sidecars
    if options.rates:
        keywords["rates"] = [float(rate) for rate in options.rates.split(",")]
    if options.service is not None:
        keywords["service"] = options.service
    if options.cell_size:
        keywords["cell_size"] = options.cell_size
    return keywords


def _play(trial: str, seed: int, keywords: dict[str, Any]) -> bool:
    """Play one seed and print its verdict; return whether all promises were kept."""
    try:
        result = asyncio.run(TRIALS[trial](seed, **keywords))
    except RuntimeError as error:
        print(json.dumps({"trial": trial, "seed": seed, "kept": False, "void": str(error)[:300]}))
        return False
    print(json.dumps({"trial": trial, "seed": seed, "kept": result.passed, **result.counts}))
    for broken in result.violations:
        print("  " + broken)
    return result.passed


def main() -> int:
    """Run the command; return its exit code."""
    if sys.argv[1:] and sys.argv[1] in OWN:
        return OWN[sys.argv[1]](sys.argv[2:])
    parser = _parser()
    options = parser.parse_args()
    if options.cell_size and "cell_size" not in inspect.signature(TRIALS[options.trial]).parameters:
        parser.error(f"{options.trial} is not played with cells")
    keywords = _keywords(options)
    kept = [
        _play(options.trial, seed, keywords) for seed in range(options.seed, options.seed + options.seeds)
    ]
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
