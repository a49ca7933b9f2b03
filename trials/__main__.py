"""python -m trials NAME --seed N: run a trial.

Exit code 0: all guarantees held; 1: one was violated, or a run could not be completed.
"""

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
    soak,
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
    "soak": soak.run_trial,
    "policy": policy.run_changes,
    **hard.CASES,
    **policy.CASES,
    **zones.ZONE_TRIALS,
}
# Trials with a command line of their own.
TRIALS_WITH_OWN_OPTIONS = {
    "call-tree": call_tree.main,
    "capacity": capacity.main,
    "parts": parts.main,
    "scale": scale,
}


def _parser() -> argparse.ArgumentParser:
    epilog_text = f"Trials with a command line of their own: {', '.join(TRIALS_WITH_OWN_OPTIONS)}."
    parser = argparse.ArgumentParser(prog="python -m trials", description=__doc__, epilog=epilog_text)
    parser.add_argument("trial", choices=TRIALS)
    parser.add_argument("--seed", type=int, default=1, help="seed of the timetable of faults (default: 1)")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds to run (default: 1)"
    )
    parser.add_argument("--root", type=Path, default=ROOT, help="another checkout whose program is run")
    parser.add_argument("--alone", action="store_true", help="without a fleet: each sidecar on its own")
    parser.add_argument("--sidecars", type=int, help="number of sidecar processes")
    parser.add_argument("--rates", help="for `added` and `cost`: calls a second, separated by commas")
    parser.add_argument(
        "--service", type=float, help="for `added`: mean service time of an upstream, seconds (default: 0)"
    )
    parser.add_argument("--cell-size", type=int, help="mean number of members of a shard, as fleet.cell_size")
    return parser


def _keywords(options: argparse.Namespace) -> dict[str, Any]:
    """Return the options to pass to the trial, without those for which its defaults apply."""
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


def _run_seed(trial: str, seed: int, keywords: dict[str, Any]) -> bool:
    """Run one seed, print its result and return whether all guarantees held."""
    try:
        result = asyncio.run(TRIALS[trial](seed, **keywords))
    except RuntimeError as error:
        print(json.dumps({"trial": trial, "seed": seed, "kept": False, "void": str(error)[:300]}))
        return False
    print(json.dumps({"trial": trial, "seed": seed, "kept": result.passed, **result.counts}))
    for violation in result.violations:
        print("  " + violation)
    return result.passed


def main() -> int:
    """Run the command and return its exit code."""
    if sys.argv[1:] and sys.argv[1] in TRIALS_WITH_OWN_OPTIONS:
        return TRIALS_WITH_OWN_OPTIONS[sys.argv[1]](sys.argv[2:])
    parser = _parser()
    options = parser.parse_args()
    if options.cell_size and "cell_size" not in inspect.signature(TRIALS[options.trial]).parameters:
        parser.error(f"{options.trial} does not support --cell-size")
    keywords = _keywords(options)
    passed = [
        _run_seed(options.trial, seed, keywords) for seed in range(options.seed, options.seed + options.seeds)
    ]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
