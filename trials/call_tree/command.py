"""Calls through a tree of services in emulated time: the load that hedges and retries add up to at the leaf.

Each sidecar runs the program's own `DecisionScheduler` and `Balancer` for each service that it calls, and
may call every service of the next level. For each call at the root, the service at each level is drawn once;
all attempts made for that call use the same services. The servers, the network and the applications are
emulated by simple rules: an application does its own work, calls the next level with the time that it has
left, and answers with an error if that call failed. There are no sockets and no `fleet` part. The same seed
gives the same counts.

The load at a level is the number of attempts that reach it for each call at the root: 1 without hedges and
retries.
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
from .tree import simulate

USAGE_ERROR = 2  # exit code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m trials call-tree", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="(default: 1)")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds (default: 1)")
    parser.add_argument("--scene", action="append", choices=SCENES, help="a scene; repeatable (default: all)")
    parser.add_argument(
        "--budget", action="append", help="hedges and retries for each first attempt, or none; repeatable"
    )
    parser.add_argument("--effect", choices=[e.value for e in RetrySafety], default=Plan.effect)
    for name in ("depth", "services", "instances", "cores", "max-attempts"):
        default = getattr(Plan, name.replace("-", "_"))
        parser.add_argument(f"--{name}", type=int, default=default, help=f"(default: {default})")
    for name in ("rate", "use", "part", "due", "learn", "lasts", "last"):
        default = getattr(Plan, name)
        parser.add_argument(f"--{name}", type=float, default=default, help=f"(default: {default})")
    parser.add_argument("--no-copies", dest="copies", action="store_false", help="hedges are not allowed")
    parser.add_argument(
        "--not-told", dest="tells", action="store_false", help="an abandoned application goes on calling"
    )
    parser.add_argument(
        "--passes-on", action="store_true", help="what-if: a rejected call makes its caller reject"
    )
    parser.add_argument(
        "--no-reports", dest="reports", action="store_false", help="responses have no load report"
    )
    parser.add_argument("--table", action="store_true", help="print a table at the end")
    parser.add_argument(
        "--read", type=Path, help="simulate nothing; print a table of the output of earlier runs"
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    options = vars(_parser().parse_args(arguments))
    earlier_results, as_table = options.pop("read"), options.pop("table")
    if earlier_results is not None:
        return _print_table_of(earlier_results)
    budgets = options.pop("budget") or ["none"]
    try:
        plans = _plans(budgets, **options)
    except ValueError:
        print(f"budget: {budgets} must be numbers or none", file=sys.stderr)
        return USAGE_ERROR
    if errors := sorted({error for plan in plans for error in plan.validation_errors()}):
        print("; ".join(errors), file=sys.stderr)
        return USAGE_ERROR
    results = _simulate_all(plans)
    if as_table and results:
        print(table(results))
    return 0 if len(results) == len(plans) else 1


def _print_table_of(path: Path) -> int:
    if not path.is_file():
        print(f"{path}: no such file", file=sys.stderr)
        return USAGE_ERROR
    print(table([json.loads(text) for text in path.read_text().splitlines() if text.startswith("{")]))
    return 0


def _plans(
    budgets: list[str],
    seed: int,
    seeds: int,
    scene: list[str] | None,
    **options: Any,  # noqa: ANN401  # the other fields of a plan
) -> list[Plan]:
    """Return a plan for each seed, scene and budget. Raises `ValueError` for a budget that is no number."""
    return [
        Plan(seed=run_seed, scene=name, budget=None if budget == "none" else float(budget), **options)
        for run_seed in range(seed, seed + seeds)
        for name in scene or SCENES
        for budget in budgets
    ]


def _simulate_all(plans: list[Plan]) -> list[dict[str, Any]]:
    """Simulate each plan and print its result; return the results of the runs that were completed."""
    results = []
    for plan in plans:
        try:
            results.append(simulate(plan))
            print(json.dumps(results[-1]), flush=True)
        except RuntimeError as error:
            print(json.dumps({"trial": "call-tree", **asdict(plan), "void": str(error)}), flush=True)
    return results
