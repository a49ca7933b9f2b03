"""The page: all tables together, written between its marks."""

from __future__ import annotations

from collections.abc import Iterator
from math import exp
from typing import Any

from .figures import Figures
from .roles import sidecar_rows
from .scale_run import scale_run_table
from .size import DAY, FleetLoad
from .tables import measurement_tables, number, over_budget_table, side_by_side, table, totals_table
from .totals import arbiter_rows, discovery_rows, losses, operator_rows, unchanged_view_probability

PAGE_MARKS = {
    name: (f"<!-- {name}: tables by `python -m trials capacity --write` -->", f"<!-- {name}: end -->")
    for name in ("capacity", "call-tree")
}


def report(
    load: FleetLoad, figures: Figures, shard_count: int, scale_lines: list[dict[str, Any]]
) -> Iterator[str]:
    """Yield all tables with their headings. `scale_lines`: the output of scale runs."""
    yield f"### A sidecar's part at {load.sidecars} members\n"
    yield side_by_side(load, figures, shard_count)
    yield "\nOver the budget with one cell, the most first:\n"
    yield over_budget_table(sidecar_rows(load, figures))
    yield f"\nWith {shard_count} cells:\n"
    yield over_budget_table(sidecar_rows(load, figures, shard_count))
    if scale_lines:
        yield "\n### Measured by the scale run, a member, by the number of members\n"
        yield scale_run_table(scale_lines)
    yield "\n### What the code takes, in this process\n"
    yield from measurement_tables(figures)
    yield "\n### The arbiter's machines, all together\n"
    yield totals_table(arbiter_rows(load, figures))
    yield "\n### Discovery\n"
    yield totals_table(discovery_rows(load))
    yield "\n### Operators\n"
    yield totals_table(operator_rows(load, figures))
    yield "\n### Losses, and the return\n"
    yield table(
        ["event", "what", "formula, one cell", "one cell", f"{shard_count} cells"],
        (
            [
                unsharded.group,
                unsharded.title,
                unsharded.formula,
                f"{number(unsharded.value)} {unsharded.unit}",
                f"{number(sharded.value)} {sharded.unit}",
            ]
            for unsharded, sharded in zip(
                losses(load, figures), losses(load, figures, shard_count), strict=True
            )
        ),
    )
    overlap_probability = 1 - exp(-load.changes_per_day / DAY * load.policy_deadline)
    yield (
        "\nOn paper, for changes and restarts that come by chance: the view does not change for"
        f" {load.policy_deadline:.0f} s with {unchanged_view_probability(load, load.policy_deadline):.1%};"
        " a change meets another one open with"
        f" {overlap_probability:.1%}."
    )


def replace_between(page: str, begin: str, end: str, text: str) -> str:
    """Return the page with the text between two marks replaced. Raises `ValueError` if a mark is missing."""
    before, found, after_begin = page.partition(begin)
    _, closed, after = after_begin.partition(end)
    if not found or not closed:
        raise ValueError(f"no {begin} and {end} in the page")
    return f"{before}{begin}\n\n{text}\n\n{end}{after}"
