"""The tables in Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import isnan, nan

from .figures import Figures
from .fit import growth_exponent
from .roles import Row, sidecar_rows
from .size import FleetLoad
from .totals import Total


def number(value: float) -> str:
    """Format a value, with fewer digits the larger it is."""
    if isnan(value):
        return "not measured"
    if abs(value) >= 1e8:
        return f"{value / 1e6:,.0f} million"
    if abs(value) >= 1e6:
        return f"{value / 1e6:,.1f} million"
    if abs(value) >= 100 or value == int(value):
        return f"{value:,.0f}"
    return f"{value:.2f}" if abs(value) < 10 else f"{value:.1f}"


def table(head: list[str], lines: Iterable[Iterable[str]]) -> str:
    """Format a Markdown table."""
    all_lines: list[Iterable[str]] = [head, ["---"] * len(head), *lines]
    return "\n".join("| " + " | ".join(line) + " |" for line in all_lines)


def budget_multiple(row: Row) -> str:
    """Format the value of a row as a multiple of its budget; empty if it has no budget."""
    if isnan(row.budget_ratio):
        return ""
    return f"{row.budget_ratio:,.0f}" if row.budget_ratio >= 10 else f"{row.budget_ratio:.2f}"


def side_by_side(load: FleetLoad, figures: Figures, shard_count: int) -> str:
    """Format all costs of a sidecar with one shard next to those with `shard_count` shards."""
    head = ["role", "what", "formula, one cell", "one cell", f"{shard_count} cells", "budget"]
    head += [
        "times the budget, one cell", f"{shard_count} cells", "figure",
        f"what carries it, {shard_count} cells",
    ]  # fmt: skip
    lines = []
    for row, sharded in zip(
        sidecar_rows(load, figures), sidecar_rows(load, figures, shard_count), strict=True
    ):
        budget = f"{number(row.budget)} {row.unit}" if not isnan(row.budget) else "none told"
        lines.append(
            [row.role, row.title, row.formula, f"{number(row.value)} {row.unit}",
             f"{number(sharded.value)} {sharded.unit}", budget, budget_multiple(row),
             budget_multiple(sharded), row.source, sharded.bounded_by]
        )  # fmt: skip
    return table(head, lines)


def over_budget(rows: list[Row]) -> list[Row]:
    """Return the rows that exceed their budget, the largest multiple first."""
    return sorted((r for r in rows if r.budget_ratio > 1), key=lambda r: -r.budget_ratio)


def over_budget_table(rows: list[Row]) -> str:
    """Format the rows that exceed their budget, the largest multiple first."""
    return table(
        ["times its budget", "role", "what", "at this size", "figure", "what carries it"],
        (
            [
                budget_multiple(row),
                row.role,
                row.title,
                f"{number(row.value)} {row.unit}",
                row.source,
                row.bounded_by,
            ]
            for row in over_budget(rows)
        ),
    )


def measurement_tables(figures: Figures) -> Iterator[str]:
    """Yield the figures measured in one process: a table by fleet size, and those that have no size."""
    names = [n for n, points in figures.points.items() if len(points) > 1]
    sizes = sorted({s for name in names for s in figures.points[name]})
    units = {n: "B" if figures.is_bytes.get(n) else "us" for n in names}
    yield table(
        ["figure", "unit", *map(str, sizes), "grows by the power of"],
        (
            [name, units[name], *(number(figures.points[name].get(s, nan)) for s in sizes),
             f"{growth_exponent(figures.points[name].items()):.2f}"]
            for name in names
        ),
    )  # fmt: skip
    without_size = [(n, points[0]) for n, points in figures.points.items() if list(points) == [0]]
    texts = (f"{name} {value:.0f} {'B' if figures.is_bytes[name] else 'us'}" for name, value in without_size)
    yield "\n" + ", ".join(texts) + "."


def totals_table(totals: list[Total]) -> str:
    """Format a table of totals."""
    lines = ([t.title, t.formula, f"{number(t.value)} {t.unit}"] for t in totals)
    return table(["what", "formula", "at this size"], lines)
