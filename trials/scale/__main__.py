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
from pathlib import Path
from typing import Any, TextIO

from .limits import ALONE, REAL, Plan, planned
from .run import LEASE, PACE, PHASES, Given, Run, Stuck


def sizes(text: str) -> list[int]:
    try:
        return [int(one) for one in text.split(",")]
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r} is no list of whole numbers") from error


def phases(text: str) -> list[str]:
    given = text.split(",")
    if unknown := [one for one in given if one not in PHASES]:
        raise argparse.ArgumentTypeError(f"unknown: {', '.join(unknown)}; known are {', '.join(PHASES)}")
    return given


def parsed(arguments: list[str] | None = None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m trials.scale",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--sizes", type=sizes, default=[25, 50], help="members, real ones included (25,50)")
    parser.add_argument("--phases", type=phases, default=["rest", "restart", "lost"], help=", ".join(PHASES))
    parser.add_argument("--seed", type=int, default=1, help="draws who is lost and restarted, and the work")
    parser.add_argument("--cell-size", type=int, default=0, help="members of a cell on the mean; 0: one cell")
    parser.add_argument("--real", type=int, default=REAL, help=f"real processes among them ({REAL})")
    parser.add_argument(
        "--alone", type=int, default=ALONE, help=f"hollow ones with a loop of their own ({ALONE})"
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="of each phase (10)")
    parser.add_argument(
        "--rate", type=float, default=1.0, help="named work a second, a member, in `work` (1)"
    )
    parser.add_argument("--every", type=float, default=4.0, help="seconds between restarts (4)")
    parser.add_argument("--lease", type=int, default=LEASE, help=f"seconds ({LEASE})")
    parser.add_argument("--pace", type=float, default=PACE, help=f"links a second at the start ({PACE:.0f})")
    parser.add_argument("--output", type=Path, help="a file for the lines, beside standard output")
    return parser.parse_args(arguments)


def fault(given: argparse.Namespace) -> tuple[list[Plan], str]:
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
        plan, why = planned(size, given.real, given.alone, given.cell_size, os.cpu_count() or 1)
        if plan is None:
            return [], why
        plans.append(plan)
    return plans, ""


async def played(plan: Plan, given: argparse.Namespace, out: Any) -> bool:
    told = Given(
        plan, given.seed, given.cell_size, given.seconds, given.rate, given.every, given.lease, given.pace,
        given.phases,
    )  # fmt: skip
    run = Run(told, out)
    try:
        await run.begin()
        await run.play()
    except (Stuck, RuntimeError, TimeoutError, OSError) as error:
        why = f"{type(error).__name__}: {error}"[:400]
        out({"size": plan.size, "seed": given.seed, "cell_size": given.cell_size, "ended": why})
        return False
    finally:
        # Guards against a second Ctrl-C leaving processes.
        await asyncio.shield(run.end())
    return True


def main(arguments: list[str] | None = None) -> int:
    given = parsed(arguments)
    plans, why = fault(given)
    if why:
        print(f"trials.scale: {why}", file=sys.stderr)
        return 2
    with contextlib.ExitStack() as stack:
        file: TextIO | None = None
        lines: list[dict[str, Any]] = []  # also what the file has already: larger sizes are predicted from it
        if given.output is not None:
            try:
                if given.output.exists():
                    told = map(json.loads, given.output.read_text().splitlines())
                    lines = [line for line in told if "phase" in line]
                given.output.parent.mkdir(parents=True, exist_ok=True)
                file = stack.enter_context(given.output.open("a"))
            except (OSError, ValueError) as error:
                print(f"trials.scale: {given.output}: {error}", file=sys.stderr)
                return 2

        def out(line: dict[str, Any]) -> None:
            if "phase" in line:
                lines.append(line)
            for target in (sys.stdout, file):
                if target is not None:
                    print(json.dumps(line), file=target, flush=True)

        try:
            well = True
            for plan in plans:
                if len({line["size"] for line in lines}) > 1:
                    from .slopes import predicted  # costs a run of one size no import

                    for line in predicted(lines, plan.size, given.cell_size, given.phases):
                        out(line)
                well = asyncio.run(played(plan, given, out))
                if not well:
                    break  # what does not come to rest at one size does not at a larger one
        except KeyboardInterrupt:
            print("trials.scale: stopped", file=sys.stderr)
            return 130
    return 0 if well else 1


if __name__ == "__main__":
    sys.exit(main())
