"""What a fleet of some size costs, role by role: the arithmetic behind docs/CAPACITY.md.

`python -m trials capacity --measure` times the program's own code in this process, at several sizes, and
prints a line of JSON for each figure. `python -m trials capacity` reads those lines and prints the tables in
markdown. Each figure says what it is: measured, extrapolated (a fit past its last size), read (worked out
from the code's constants and the sizes of its messages, never run at that size), published, or paper.

The constants come from the code itself: what is changed there is changed here.
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
from .page import MARKS, report, written
from .scale_run import burst
from .size import BURST, Size

ROOT = Path(__file__).parent.parent.parent
MICRO = ROOT / "journal" / "capacity" / "micro.jsonl"
TREE = ROOT / "journal" / "capacity" / "call-tree.jsonl"
SCALE = ROOT / "journal" / "scale"
WRONG_USE = 2  # exit code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m trials capacity", description=__doc__)
    parser.add_argument("--measure", action="store_true", help="time the program's code; lines of JSON")
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="for --measure")
    parser.add_argument("--figures", type=Path, default=MICRO, help="lines of a former --measure")
    parser.add_argument("--sidecars", type=int, default=Size.sidecars)
    parser.add_argument("--cells", type=int, default=64, help="how many, beside one (default: 64)")
    parser.add_argument("--write", type=Path, help="put the tables into a page, between its marks")
    parser.add_argument("--scale", type=Path, default=SCALE, help="a folder of lines of `trials.scale`")
    parser.add_argument("--tree", type=Path, default=TREE, help="lines of `call-tree`, for the page")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    options = _parser().parse_args(arguments)
    sizes = [int(one) for one in options.sizes.split(",") if one.isdigit()]
    if not sizes or min(sizes) < 2 or max(sizes) > 10_000 or options.sidecars < 2 or options.cells < 1:
        print("sizes are whole numbers from 2 to 10000; sidecars from 2, cells from 1", file=sys.stderr)
        return WRONG_USE
    if options.measure:
        for figure in measure(sizes):
            print(json.dumps(figure), flush=True)
        return 0
    lines = read_lines(options.figures)
    if not lines:
        print(f"{options.figures}: no figures there; --measure prints them", file=sys.stderr)
        return WRONG_USE
    scale = _read_scale_runs(options.scale)
    figures = Figures([*lines, {"figure": BURST, "size": 0, "us": round(burst(scale), 1)}])
    text = "\n".join(report(Size(sidecars=options.sidecars), figures, options.cells, scale))
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
        page = written(path.read_text(), *MARKS["capacity"], text)
        tree = call_tree.table(tree_lines)
        path.write_text(written(page, *MARKS["call-tree"], tree))
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return WRONG_USE
    return 0
