"""The tables in markdown."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import isnan, nan

from .figures import Figures
from .fit import power
from .roles import Row, rows
from .size import Size
from .totals import Total


def number(value: float) -> str:
    """Format a value by its size."""
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
    """Format a table."""
    all_lines: list[Iterable[str]] = [head, ["---"] * len(head), *lines]
    return "\n".join("| " + " | ".join(line) + " |" for line in all_lines)


def times(row: Row) -> str:
    """Format how many times its budget a row is; empty where it has none."""
    if isnan(row.over):
        return ""
    return f"{row.over:,.0f}" if row.over >= 10 else f"{row.over:.2f}"


def side_by_side(size: Size, figures: Figures, cells: int) -> str:
    """All rows with one cell, and with many, beside each other."""
    head = ["role", "what", "formula, one cell", "one cell", f"{cells} cells", "budget"]
    head += ["times the budget, one cell", f"{cells} cells", "figure", f"what carries it, {cells} cells"]
    lines = []
    for one, many in zip(rows(size, figures), rows(size, figures, cells), strict=True):
        budget = f"{number(one.budget)} {one.unit}" if not isnan(one.budget) else "none told"
        lines.append(
            [one.role, one.what, one.formula, f"{number(one.value)} {one.unit}",
             f"{number(many.value)} {many.unit}", budget, times(one), times(many), one.kind, many.carries]
        )  # fmt: skip
    return table(head, lines)


def missing(rows: list[Row]) -> list[Row]:
    """Return the rows over their budget, the most first."""
    return sorted((r for r in rows if r.over > 1), key=lambda r: -r.over)


def order(rows: list[Row]) -> str:
    """The rows over their budget, the most first."""
    return table(
        ["times its budget", "role", "what", "at this size", "figure", "what carries it"],
        ([times(r), r.role, r.what, f"{number(r.value)} {r.unit}", r.kind, r.carries] for r in missing(rows)),
    )


def micro(figures: Figures) -> Iterator[str]:
    """Yield what was measured in one process: a table by size, and the figures that have no size."""
    names = [n for n, points in figures.points.items() if len(points) > 1]
    sizes = sorted({s for name in names for s in figures.points[name]})
    units = {n: "B" if figures.is_bytes.get(n) else "us" for n in names}
    yield table(
        ["figure", "unit", *map(str, sizes), "grows by the power of"],
        (
            [name, units[name], *(number(figures.points[name].get(s, nan)) for s in sizes),
             f"{power(figures.points[name].items()):.2f}"]
            for name in names
        ),
    )  # fmt: skip
    without_size = [(n, points[0]) for n, points in figures.points.items() if list(points) == [0]]
    texts = (f"{name} {value:.0f} {'B' if figures.is_bytes[name] else 'us'}" for name, value in without_size)
    yield "\n" + ", ".join(texts) + "."


def plain(totals: list[Total]) -> str:
    """A table of totals."""
    lines = ([t.what, t.formula, f"{number(t.value)} {t.unit}"] for t in totals)
    return table(["what", "formula", "at this size"], lines)
