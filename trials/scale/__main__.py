"""Start a fleet of each size, most of its members hollow, and print the costs of a member in each phase.

Example: `python -m trials.scale --sizes 25,50`. Each line of the output is JSON and describes one role in one
phase: hollow (members that share a process), alone (hollow members with a process of their own), real
(processes of the program) or arbiter (the fake etcd). Exit code 0: all sizes were measured; 1: a size ended
early (a line with `ended` says why) and no larger one was begun; 2: bad input, nothing was started.
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
from .limits import DEFAULT_ALONE_MEMBERS, DEFAULT_REAL_MEMBERS, FleetLayout, make_layout
from .options import LEASE, LINKS_PER_SECOND, RunOptions
from .phases import PHASES
from .run import Run

MAX_REASON_SIZE = 400  # characters of an error message in a line
Output = Callable[[dict[str, Any]], None]


def parse_sizes(text: str) -> list[int]:
    """Parse a comma-separated list of fleet sizes. Raises `ArgumentTypeError`."""
    try:
        return [int(size) for size in text.split(",")]
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r} is not a list of whole numbers") from error


def parse_phases(text: str) -> list[str]:
    """Parse a comma-separated list of phases. Raises `ArgumentTypeError`."""
    names = text.split(",")
    if unknown := [name for name in names if name not in PHASES]:
        raise argparse.ArgumentTypeError(f"unknown: {', '.join(unknown)}; known are {', '.join(PHASES)}")
    return names


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m trials.scale",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--sizes",
        type=parse_sizes,
        default=[25, 50],
        help="members of each fleet, including real ones (25,50)",
    )
    parser.add_argument(
        "--phases", type=parse_phases, default=["rest", "restart", "lost"], help=", ".join(PHASES)
    )
    parser.add_argument(
        "--seed", type=int, default=1, help="of the draws of lost and restarted members and of requests"
    )
    parser.add_argument(
        "--cell-size", type=int, default=0, help="mean number of members in a shard; 0: one shard"
    )
    parser.add_argument(
        "--real",
        type=int,
        default=DEFAULT_REAL_MEMBERS,
        help=f"number of real processes ({DEFAULT_REAL_MEMBERS})",
    )
    parser.add_argument(
        "--alone",
        type=int,
        default=DEFAULT_ALONE_MEMBERS,
        help=f"hollow members with a process of their own ({DEFAULT_ALONE_MEMBERS})",
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="duration of each phase (10)")
    parser.add_argument(
        "--rate", type=float, default=1.0, help="requests a second to each member in phase `work` (1)"
    )
    parser.add_argument("--every", type=float, default=4.0, help="seconds between restarts (4)")
    parser.add_argument("--lease", type=int, default=LEASE, help=f"lease of a member in seconds ({LEASE})")
    parser.add_argument(
        "--pace",
        type=float,
        default=LINKS_PER_SECOND,
        help=f"links opened a second at the start ({LINKS_PER_SECOND:.0f})",
    )
    parser.add_argument("--output", type=Path, help="file to which the lines are written too")
    return parser.parse_args(arguments)


def make_layouts(args: argparse.Namespace) -> tuple[list[FleetLayout], str]:
    """Return the layouts of all sizes, or no layouts and the first error in one line."""
    if args.cell_size < 0:
        return [], f"--cell-size {args.cell_size}: must be at least 0"
    if not (0 < args.seconds <= 600 and 0 < args.rate <= 1000 and 0 < args.every <= 600):
        return [], "--seconds and --every must be above 0, at most 600; --rate must be above 0, at most 1000"
    if not 1 <= args.lease <= 60:
        return [], f"--lease {args.lease}: must be from 1 to 60 whole seconds"
    if not 0 < args.pace <= 1e6:
        return [], f"--pace {args.pace}: must be above 0, at most a million"
    if args.alone < 0:
        return [], f"--alone {args.alone}: must be at least 0"
    layouts = []
    for size in args.sizes:
        layout, error = make_layout(size, args.real, args.alone, args.cell_size, os.cpu_count() or 1)
        if layout is None:
            return [], error
        layouts.append(layout)
    return layouts, ""


async def run_size(layout: FleetLayout, args: argparse.Namespace, output: Output) -> bool:
    """Run the phases with a fleet of one size. Return whether all of them were completed."""
    options = RunOptions(
        layout,
        seed=args.seed,
        cell_size=args.cell_size,
        seconds=args.seconds,
        requests_per_second=args.rate,
        restart_interval=args.every,
        lease=args.lease,
        links_per_second=args.pace,
        phases=args.phases,
    )
    run = Run(options, output)
    try:
        await run.begin()
        await run.run_phases()
    except (FleetStuckError, RuntimeError, TimeoutError, OSError) as error:
        reason = f"{type(error).__name__}: {error}"[:MAX_REASON_SIZE]
        output({"size": layout.size, "seed": args.seed, "cell_size": args.cell_size, "ended": reason})
        return False
    finally:
        # Shielded, so that a second Ctrl-C leaves no processes behind.
        await asyncio.shield(run.end())
    return True


class LineWriter:
    """Writes the lines of output, and remembers the measured ones for predictions."""

    def __init__(self, file: TextIO | None, measured: list[dict[str, Any]]) -> None:
        """`file`: written in addition to standard output. `measured`: lines of earlier runs."""
        self.file = file
        self.measured = measured

    def __call__(self, line: dict[str, Any]) -> None:
        """Write one line as JSON."""
        if "phase" in line:
            self.measured.append(line)
        for target in (sys.stdout, self.file):
            if target is not None:
                print(json.dumps(line), file=target, flush=True)

    def write_predictions(self, layout: FleetLayout, args: argparse.Namespace) -> None:
        """Write what smaller sizes predict for this size, if at least two sizes have been measured."""
        if len({line["size"] for line in self.measured}) > 1:
            from .slopes import predict  # imported here, since a run of one size does not need numpy

            for line in predict(self.measured, layout.size, args.cell_size, args.phases):
                self(line)


def read_measured_lines(path: Path) -> list[dict[str, Any]]:
    """Return the measured lines of a file, if it exists. Raises `OSError` and `ValueError`."""
    if not path.exists():
        return []
    lines = map(json.loads, path.read_text().splitlines())
    return [line for line in lines if "phase" in line]


def run_all(layouts: list[FleetLayout], args: argparse.Namespace, writer: LineWriter) -> bool:
    """Run all sizes up to the first that ends early, since larger ones would end early too."""
    for layout in layouts:
        writer.write_predictions(layout, args)
        if not asyncio.run(run_size(layout, args, writer)):
            return False
    return True


def main(arguments: list[str] | None = None) -> int:
    """Run the command line, and return the exit code."""
    args = parse_arguments(arguments)
    layouts, error = make_layouts(args)
    if error:
        print(f"trials.scale: {error}", file=sys.stderr)
        return 2
    with contextlib.ExitStack() as stack:
        file: TextIO | None = None
        measured: list[dict[str, Any]] = []
        if args.output is not None:
            try:
                measured = read_measured_lines(args.output)
                args.output.parent.mkdir(parents=True, exist_ok=True)
                file = stack.enter_context(args.output.open("a"))
            except (OSError, ValueError) as file_error:
                print(f"trials.scale: {args.output}: {file_error}", file=sys.stderr)
                return 2
        try:
            finished = run_all(layouts, args, LineWriter(file, measured))
        except KeyboardInterrupt:
            print("trials.scale: interrupted", file=sys.stderr)
            return 130
    return 0 if finished else 1


if __name__ == "__main__":
    sys.exit(main())
