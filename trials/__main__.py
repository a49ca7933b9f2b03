"""python -m trials NAME --seed N: play a trial; exit code 0: all promises kept, 1: one was broken.

python -m trials scale --help: the scale run.
"""

from __future__ import annotations

import argparse
import asyncio
import inspect
import json
import sys
from pathlib import Path

from . import cost, hard, loss, policy, rest, storm, zones
from .rig import ROOT

TRIALS = {
    "loss": loss.play,
    "losses": storm.losses,
    "storm": storm.storm,
    "cost": cost.play,
    "rest": rest.play,
    "policy": policy.changes,
    **hard.CASES,
    **policy.CASES,
    **zones.TRIALS_OF_ZONES,
}


def main() -> int:
    if sys.argv[1:2] == ["scale"]:
        from .scale.__main__ import main as scale  # has a command line of its own

        return scale(sys.argv[2:])
    parser = argparse.ArgumentParser(prog="python -m trials", description=__doc__)
    parser.add_argument("trial", choices=TRIALS)
    parser.add_argument("--seed", type=int, default=1, help="names the timetable of faults (default: 1)")
    parser.add_argument("--seeds", type=int, default=1, help="so many seeds in a row (default: 1)")
    parser.add_argument("--root", type=Path, default=ROOT, help="another checkout whose program is played")
    parser.add_argument("--alone", action="store_true", help="without a fleet: each sidecar by itself")
    parser.add_argument("--sidecars", type=int, help="processes of the program")
    parser.add_argument("--cell-size", type=int, help="members of a cell, as fleet.cell_size")
    given = parser.parse_args()
    if given.cell_size and "cell_size" not in inspect.signature(TRIALS[given.trial]).parameters:
        parser.error(f"{given.trial} is not played with cells")
    kept = True
    for seed in range(given.seed, given.seed + given.seeds):
        more = {"sidecars": given.sidecars} if given.sidecars else {}
        if given.cell_size:
            more["cell_size"] = given.cell_size
        trial = TRIALS[given.trial](seed, root=given.root, fleet=not given.alone, **more)
        try:
            verdict = asyncio.run(trial)
        except RuntimeError as error:
            print(json.dumps({"trial": given.trial, "seed": seed, "kept": False, "void": str(error)[:300]}))
            kept = False
            continue
        print(json.dumps({"trial": given.trial, "seed": seed, "kept": verdict.kept, **verdict.counts}))
        for one in verdict.broken:
            print("  " + one)
        kept = kept and verdict.kept
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
