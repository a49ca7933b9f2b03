"""The page: all tables together, put between its marks."""

from __future__ import annotations

from collections.abc import Iterator
from math import exp
from typing import Any

from .figures import Figures
from .roles import rows
from .scale_run import scaled
from .size import DAY, Size
from .tables import micro, number, order, plain, side_by_side, table
from .totals import arbiter_rows, discovery_rows, losses, operator_rows, view_stays

MARKS = {
    name: (f"<!-- {name}: tables by `python -m trials capacity --write` -->", f"<!-- {name}: end -->")
    for name in ("capacity", "call-tree")
}


def report(size: Size, figures: Figures, cells: int, scale: list[dict[str, Any]]) -> Iterator[str]:
    """Yield all tables, with their headings. `scale`: the lines of scale runs."""
    yield f"### A sidecar's part at {size.sidecars} members\n"
    yield side_by_side(size, figures, cells)
    yield "\nOver the budget with one cell, the most first:\n"
    yield order(rows(size, figures))
    yield f"\nWith {cells} cells:\n"
    yield order(rows(size, figures, cells))
    if scale:
        yield "\n### Measured by the scale run, a member, by the number of members\n"
        yield scaled(scale)
    yield "\n### What the code takes, in this process\n"
    yield from micro(figures)
    yield "\n### The arbiter's machines, all together\n"
    yield plain(arbiter_rows(size, figures))
    yield "\n### Discovery\n"
    yield plain(discovery_rows(size))
    yield "\n### Operators\n"
    yield plain(operator_rows(size, figures))
    yield "\n### Losses, and the return\n"
    yield table(
        ["event", "what", "formula, one cell", "one cell", f"{cells} cells"],
        (
            [
                one.group,
                one.what,
                one.formula,
                f"{number(one.value)} {one.unit}",
                f"{number(many.value)} {many.unit}",
            ]
            for one, many in zip(losses(size, figures), losses(size, figures, cells), strict=True)
        ),
    )
    another = 1 - exp(-size.changes / DAY * size.force)
    yield (
        "\nOn paper, for changes and restarts that come by chance: the view does not change for"
        f" {size.force:.0f} s with {view_stays(size, size.force):.1%}; a change meets another one open with"
        f" {another:.1%}."
    )


def written(page: str, begin: str, end: str, text: str) -> str:
    """Return a page with the text between two marks replaced; raises `ValueError` where there are none."""
    before, found, rest = page.partition(begin)
    _, closed, after = rest.partition(end)
    if not found or not closed:
        raise ValueError(f"no {begin} and {end} in the page")
    return f"{before}{begin}\n\n{text}\n\n{end}{after}"
