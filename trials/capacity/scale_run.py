"""The costs of a member that scale runs measured."""

from __future__ import annotations

from typing import Any, NamedTuple

from .fit import fit_line, growth_exponent
from .size import IDLE_FLEET
from .tables import number, table


def message_cost(lines: list[dict[str, Any]]) -> float:
    """Return the microseconds of CPU time of sending one message and receiving one.

    The result is the median of the scale runs' restart phases. Without such lines it is the slope of the line
    through the measured idle fleets, where each message wakes its process on its own.
    """
    costs = sorted(
        1e6 * line["core"] / line["messages_out"]
        for line in lines
        if line.get("phase") == "restart" and line.get("role") == "alone" and line.get("messages_out")
    )
    if costs:
        return costs[len(costs) // 2]
    return 1e4 * fit_line((fleet.members, fleet.core_percent) for fleet in IDLE_FLEET)[1]


TABLE_FIGURES = {
    "wire_out": "sent with headers, B/s",
    "core": "% core",
    "sockets": "sockets",
}
PHASES = ("rest", "work", "restart", "lost", "policy")


class Series(NamedTuple):
    """What one row of the table shows: a figure of one phase, in one group of runs."""

    phase: str
    run: str
    figure: str


def scale_run_table(lines: list[dict[str, Any]], role: str = "alone") -> str:
    """Format the measured costs of a member, and predict those of the largest size from the smaller ones.

    Each value is the mean over the seeds of a size. `role`: by default, members with an event loop of their
    own, like that of a real process. `run` in a line: measured before or after a change, by the name of the
    line's file.
    """
    points = _points(lines, role)
    sizes = sorted({size for values in points.values() for size in values})
    rows = []
    for series, by_size in sorted(points.items(), key=lambda item: PHASES.index(item[0].phase)):
        means = {size: sum(values) / len(values) for size, values in sorted(by_size.items())}
        columns = [number(means[size]) if size in means else "" for size in sizes]
        rows.append([*series, *columns, _growth(means), _predicted(means)])
    head = ["phase", "run", "figure", *map(str, sizes), "grows by the power of"]
    return table([*head, "the largest, predicted from the smaller by a line"], rows)


def _points(lines: list[dict[str, Any]], role: str) -> dict[Series, dict[int, list[float]]]:
    """Return the values of all seeds, by series and size."""
    points: dict[Series, dict[int, list[float]]] = {}
    for line in lines:
        if line.get("role") != role or line.get("phase") not in PHASES:
            continue
        run = f"{line.get('run', '')}, " if line.get("run") else ""
        run += f"cells of {line['cell_size']}" if line["cell_size"] else "one cell"
        for figure, title in TABLE_FIGURES.items():
            if figure in line:
                value = float(line[figure]) * (100 if figure == "core" else 1)
                by_size = points.setdefault(Series(line["phase"], run, title), {})
                by_size.setdefault(line["size"], []).append(value)
    return points


def _growth(means: dict[int, float]) -> str:
    if len(means) > 1 and min(means.values()) > 0:
        return f"{growth_exponent(means.items()):.2f}"
    return ""


def _predicted(means: dict[int, float]) -> str:
    """Format the value that the line through the smaller sizes predicts for the largest, and its error."""
    if len(means) <= 2:
        return ""
    *smaller, (largest, value) = means.items()
    intercept, slope, _ = fit_line(smaller)
    predicted = intercept + slope * largest
    return f"{number(predicted)} ({predicted / value - 1:+.0%})"
