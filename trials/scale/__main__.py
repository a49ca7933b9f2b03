"""python -m trials.scale --sizes 25,50: a fleet of each size, most of it hollow; figures a member by phase.

Each line of the output is JSON: one role (hollow, alone, real, arbiter) in one phase. Exit code 0: all sizes
were played; 1: a size ended early (a line with `ended` says why) and no larger one was begun; 2: bad input,
nothing was started.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO

from .fleet import FleetStuckError
from .limits import DEFAULT_ALONE_MEMBERS, DEFAULT_REAL_MEMBERS, Plan, make_plan
from .options import LEASE, LINKS_PER_SECOND, RunOptions
from .phases import PHASES
from .run import Run

MAX_REASON_SIZE = 400  # characters
Output = Callable[[dict[str, Any]], None]


def parse_sizes(text: str) -> list[int]:
    """Return a list of whole numbers. Raises `ArgumentTypeError`."""
    try:
        return [int(one) for one in text.split(",")]
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r} is no list of whole numbers") from error


def parse_phases(text: str) -> list[str]:
    """Return a list of names of phases. Raises `ArgumentTypeError`."""
    given = text.split(",")
    if unknown := [one for one in given if one not in PHASES]:
        raise argparse.ArgumentTypeError(f"unknown: {', '.join(unknown)}; known are {', '.join(PHASES)}")
    return given


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m trials.scale",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--sizes", type=parse_sizes, default=[25, 50], help="members, real ones included (25,50)"
    )
    parser.add_argument(
        "--phases", type=parse_phases, default=["rest", "restart", "lost"], help=", ".join(PHASES)
    )
    parser.add_argument("--seed", type=int, default=1, help="draws who is lost and restarted, and the work")
    parser.add_argument("--cell-size", type=int, default=0, help="members of a cell on the mean; 0: one cell")
    parser.add_argument(
        "--real",
        type=int,
        default=DEFAULT_REAL_MEMBERS,
        help=f"real processes among them ({DEFAULT_REAL_MEMBERS})",
    )
    parser.add_argument(
        "--alone",
        type=int,
        default=DEFAULT_ALONE_MEMBERS,
        help=f"hollow ones with a loop of their own ({DEFAULT_ALONE_MEMBERS})",
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="of each phase (10)")
    parser.add_argument(
        "--rate", type=float, default=1.0, help="named work a second, a member, in `work` (1)"
    )
    parser.add_argument("--every", type=float, default=4.0, help="seconds between restarts (4)")
    parser.add_argument("--lease", type=int, default=LEASE, help=f"seconds ({LEASE})")
    parser.add_argument(
        "--pace",
        type=float,
        default=LINKS_PER_SECOND,
        help=f"links a second at the start ({LINKS_PER_SECOND:.0f})",
    )
    parser.add_argument("--output", type=Path, help="a file for the lines, beside standard output")
    return parser.parse_args(arguments)


def make_plans(given: argparse.Namespace) -> tuple[list[Plan], str]:
    """The plans of all sizes, or the first thing that is wrong, in one line."""
    if given.cell_size < 0:
        return [], f"--cell-size {given.cell_size}: at least 0"
    if not (0 < given.seconds <= 600 and 0 < given.rate <= 1000 and 0 < given.every <= 600):
        return [], "--seconds and --every are more than 0, at most 600; --rate is more than 0, at most 1000"
    if not 1 <= given.lease <= 60:
        return [], f"--lease {given.lease}: from 1 to 60 whole seconds"
    if not 0 < given.pace <= 1e6:
        return [], f"--pace {given.pace}: more than 0, at most a million"
    if given.alone < 0:
        return [], f"--alone {given.alone}: at least 0"
    plans = []
    for size in given.sizes:
        plan, why = make_plan(size, given.real, given.alone, given.cell_size, os.cpu_count() or 1)
        if plan is None:
            return [], why
        plans.append(plan)
    return plans, ""


async def play_size(plan: Plan, given: argparse.Namespace, out: Output) -> bool:
    """Play one size; whether it got to its end."""
    options = RunOptions(
        plan,
        seed=given.seed,
        cell_size=given.cell_size,
        seconds=given.seconds,
        requests_per_second=given.rate,
        restart_interval=given.every,
        lease=given.lease,
        links_per_second=given.pace,
        phases=given.phases,
    )
    run = Run(options, out)
    try:
        await run.begin()
        await run.play()
    except (FleetStuckError, RuntimeError, TimeoutError, OSError) as error:
        why = f"{type(error).__name__}: {error}"[:MAX_REASON_SIZE]
        out({"size": plan.size, "seed": given.seed, "cell_size": given.cell_size, "ended": why})
        return False
    finally:
        # A second Ctrl-C must not leave processes.
        await asyncio.shield(run.end())
    return True


class LineWriter:
    """Writes the lines of output, and knows the measured ones."""

    def __init__(self, file: TextIO | None, measured: list[dict[str, Any]]) -> None:
        """`file`: beside standard output; `measured`: the lines that it has already."""
        self.file = file
        self.measured = measured

    def __call__(self, line: dict[str, Any]) -> None:
        """Write a line."""
        if "phase" in line:
            self.measured.append(line)
        for target in (sys.stdout, self.file):
            if target is not None:
                print(json.dumps(line), file=target, flush=True)

    def write_predictions(self, plan: Plan, given: argparse.Namespace) -> None:
        """Write what smaller sizes predict for this one, if two have been measured."""
        if len({line["size"] for line in self.measured}) > 1:
            from .slopes import predict  # needs numpy, which a run of one size does not

            for line in predict(self.measured, plan.size, given.cell_size, given.phases):
                self(line)


def measured_lines(path: Path) -> list[dict[str, Any]]:
    """Return the measured lines of a file. Raises `OSError` and `ValueError`."""
    if not path.exists():
        return []
    lines = map(json.loads, path.read_text().splitlines())
    return [line for line in lines if "phase" in line]


def play_all(plans: list[Plan], given: argparse.Namespace, out: LineWriter) -> bool:
    """Play all sizes, up to the first that ends early: what is stuck at one size is so at a larger one."""
    for plan in plans:
        out.write_predictions(plan, given)
        if not asyncio.run(play_size(plan, given, out)):
            return False
    return True


def main(arguments: list[str] | None = None) -> int:
    """Run the command line, and return the exit code."""
    given = parse_arguments(arguments)
    plans, why = make_plans(given)
    if why:
        print(f"trials.scale: {why}", file=sys.stderr)
        return 2
    with contextlib.ExitStack() as stack:
        file: TextIO | None = None
        measured: list[dict[str, Any]] = []
        if given.output is not None:
            try:
                measured = measured_lines(given.output)
                given.output.parent.mkdir(parents=True, exist_ok=True)
                file = stack.enter_context(given.output.open("a"))
            except (OSError, ValueError) as error:
                print(f"trials.scale: {given.output}: {error}", file=sys.stderr)
                return 2
        try:
            finished = play_all(plans, given, LineWriter(file, measured))
        except KeyboardInterrupt:
            print("trials.scale: stopped", file=sys.stderr)
            return 130
    return 0 if finished else 1


if __name__ == "__main__":
    sys.exit(main())
