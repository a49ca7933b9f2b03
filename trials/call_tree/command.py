"""Calls down a tree of services in emulated time: what second sends and retries come to at the leaf.

Each caller has the program's own `Runner` and `Balancer` for each service that it calls, which are all of the
next level; the servers of those are its callers. Which service of each level a call at the root needs is
drawn once, for all that is made for it. This module plays servers, ways and applications, by the plainest
rules: an application does its own work, calls the next level with the time that it has left, and answers with
an error where that call gave nothing. No sockets, no `fleet` part; the same seed gives the same counts.

The load at a level is the sends that reach it for each call at the root: 1 where nobody sends twice.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from starlingwheel.decisions.config import RetrySafety

from .plan import SCENES, Plan
from .tables import table
from .tree import play

WRONG_USE = 2  # exit code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m trials call-tree", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="(default: 1)")
    parser.add_argument("--seeds", type=int, default=1, help="so many seeds in a row (default: 1)")
    parser.add_argument("--scene", action="append", choices=SCENES, help="again for more; all unless told")
    parser.add_argument("--budget", action="append", help="second sends for each first one, or none; again")
    parser.add_argument("--effect", choices=[e.value for e in RetrySafety], default=Plan.effect)
    for name in ("depth", "services", "instances", "cores", "max-attempts"):
        default = getattr(Plan, name.replace("-", "_"))
        parser.add_argument(f"--{name}", type=int, default=default, help=f"(default: {default})")
    for name in ("rate", "use", "part", "due", "learn", "lasts", "last"):
        default = getattr(Plan, name)
        parser.add_argument(f"--{name}", type=float, default=default, help=f"(default: {default})")
    parser.add_argument("--no-copies", dest="copies", action="store_false", help="copies are not allowed")
    parser.add_argument("--not-told", dest="tells", action="store_false", help="who is left goes on calling")
    parser.add_argument("--passes-on", action="store_true", help="what-if: a deferral below is one above")
    parser.add_argument("--no-reports", dest="reports", action="store_false", help="answers tell no load")
    parser.add_argument("--table", action="store_true", help="a table at the end")
    parser.add_argument("--read", type=Path, help="play nothing: a table of the lines of former runs")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    options = vars(_parser().parse_args(arguments))
    former_runs, as_table = options.pop("read"), options.pop("table")
    if former_runs is not None:
        return _print_table_of(former_runs)
    budgets = options.pop("budget") or ["none"]
    try:
        plans = _plans(budgets, **options)
    except ValueError:
        print(f"budget: {budgets} are no numbers", file=sys.stderr)
        return WRONG_USE
    if faults := sorted({fault for plan in plans for fault in plan.faults()}):
        print("; ".join(faults), file=sys.stderr)
        return WRONG_USE
    results = _play_all(plans)
    if as_table and results:
        print(table(results))
    return 0 if len(results) == len(plans) else 1


def _print_table_of(path: Path) -> int:
    if not path.is_file():
        print(f"{path}: there is no such file", file=sys.stderr)
        return WRONG_USE
    print(table([json.loads(text) for text in path.read_text().splitlines() if text.startswith("{")]))
    return 0


def _plans(
    budgets: list[str],
    seed: int,
    seeds: int,
    scene: list[str] | None,
    **options: Any,  # noqa: ANN401  # the other fields of a plan
) -> list[Plan]:
    """All plans that are asked for; raises ValueError for a budget that is no number."""
    return [
        Plan(seed=one, scene=name, budget=None if budget == "none" else float(budget), **options)
        for one in range(seed, seed + seeds)
        for name in scene or SCENES
        for budget in budgets
    ]


def _play_all(plans: list[Plan]) -> list[dict[str, Any]]:
    """Play and print each; return the results of those that came to their end."""
    results = []
    for plan in plans:
        try:
            results.append(play(plan))
            print(json.dumps(results[-1]), flush=True)
        except RuntimeError as error:
            print(json.dumps({"trial": "call-tree", **asdict(plan), "void": str(error)}), flush=True)
    return results
