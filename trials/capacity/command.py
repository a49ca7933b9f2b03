"""Capacity planning: what a fleet of a given size costs, role by role, as in docs/CAPACITY.md.

`python -m trials capacity --measure` times the program's own code in this process, at several sizes, and
prints a line of JSON for each figure. `python -m trials capacity` reads those lines and prints the tables in
Markdown. Each figure states its source: measured, extrapolated (a fit beyond the largest measured size), read
(computed from the code's constants and message sizes, never run at that size), published, or paper.

The constants are imported from the program, so a change there changes the results.
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from .. import call_tree
from .figures import Figures, read_lines
from .measure import SIZES, measure
from .page import PAGE_MARKS, replace_between, report
from .scale_run import message_cost
from .size import MESSAGE_COST_FIGURE, FleetLoad

ROOT = Path(__file__).parent.parent.parent
MEASURED_FIGURES = ROOT / "journal" / "capacity" / "micro.jsonl"
CALL_TREE_RESULTS = ROOT / "journal" / "capacity" / "call-tree.jsonl"
SCALE_RUN_FOLDER = ROOT / "journal" / "scale"
USAGE_ERROR = 2  # exit code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m trials capacity", description=__doc__)
    parser.add_argument(
        "--measure", action="store_true", help="time the program's code and print lines of JSON"
    )
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="fleet sizes for --measure")
    parser.add_argument(
        "--figures", type=Path, default=MEASURED_FIGURES, help="output of an earlier --measure"
    )
    parser.add_argument("--sidecars", type=int, default=FleetLoad.sidecars)
    parser.add_argument(
        "--cells", type=int, default=64, help="number of shards that is compared with one shard (default: 64)"
    )
    parser.add_argument("--write", type=Path, help="write the tables into this page, between its marks")
    parser.add_argument(
        "--scale", type=Path, default=SCALE_RUN_FOLDER, help="a folder with output of `trials.scale`"
    )
    parser.add_argument(
        "--tree", type=Path, default=CALL_TREE_RESULTS, help="output of `call-tree`, for the page"
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    options = _parser().parse_args(arguments)
    sizes = [int(size) for size in options.sizes.split(",") if size.isdigit()]
    if not sizes or min(sizes) < 2 or max(sizes) > 10_000 or options.sidecars < 2 or options.cells < 1:
        print(
            "sizes must be whole numbers from 2 to 10000, sidecars at least 2, cells at least 1",
            file=sys.stderr,
        )
        return USAGE_ERROR
    if options.measure:
        for figure in measure(sizes):
            print(json.dumps(figure), flush=True)
        return 0
    lines = read_lines(options.figures)
    if not lines:
        print(f"{options.figures}: contains no figures; --measure prints them", file=sys.stderr)
        return USAGE_ERROR
    scale_lines = _read_scale_runs(options.scale)
    figures = Figures(
        [*lines, {"figure": MESSAGE_COST_FIGURE, "size": 0, "us": round(message_cost(scale_lines), 1)}]
    )
    text = "\n".join(report(FleetLoad(sidecars=options.sidecars), figures, options.cells, scale_lines))
    if options.write is None:
        print(text)
        return 0
    return _write_page(options.write, text, read_lines(options.tree))


def _read_scale_runs(folder: Path) -> list[dict[str, Any]]:
    return [
        line | {"run": "before" if "before" in path.name else "after"}
        for path in sorted(folder.glob("*.jsonl"))
        for line in read_lines(path)
    ]


def _write_page(path: Path, text: str, tree_lines: list[dict[str, Any]]) -> int:
    try:
        page = replace_between(path.read_text(), *PAGE_MARKS["capacity"], text)
        tree = call_tree.table(tree_lines)
        path.write_text(replace_between(page, *PAGE_MARKS["call-tree"], tree))
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return USAGE_ERROR
    return 0
