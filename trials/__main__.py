"""python -m trials NAME --seed N: play a trial; exit code 0: all promises kept, 1: one was broken."""

from __future__ import annotations

import argparse
import asyncio
import inspect
import json
import sys
from pathlib import Path

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
    "loss": loss.play,
    "losses": storm.losses,
    "storm": storm.storm,
    "cost": cost.play,
    "added": added.play,
    **outage.CASES,
    **endpoint_list.CASES,
    "rest": rest.play,
    "policy": policy.changes,
    **hard.CASES,
    **policy.CASES,
    **zones.TRIALS_OF_ZONES,
}
# Trials with a command line of their own.
OWN = {"call-tree": call_tree.main, "capacity": capacity.main, "parts": parts.main, "scale": scale}


def main() -> int:
    if sys.argv[1:] and sys.argv[1] in OWN:
        return OWN[sys.argv[1]](sys.argv[2:])
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
    given = parser.parse_args()
    if given.cell_size and "cell_size" not in inspect.signature(TRIALS[given.trial]).parameters:
        parser.error(f"{given.trial} is not played with cells")
    kept = True
    for seed in range(given.seed, given.seed + given.seeds):
        more = {"sidecars": given.sidecars} if given.sidecars else {}
        more |= {"rates": [float(rate) for rate in given.rates.split(",")]} if given.rates else {}
        more |= {"service": given.service} if given.service is not None else {}
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
