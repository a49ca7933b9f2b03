"""What the scale run measured of a member."""

from __future__ import annotations

from typing import Any, NamedTuple

from .fit import line, power
from .size import IDLE_FLEET
from .tables import number, table


def burst(lines: list[dict[str, Any]]) -> float:
    """Microseconds of processor time of a message sent and one received, by the scale run's restarts.

    Without such lines: by the line through the fleet at rest, where each wakes its process by itself.
    """
    costs = sorted(
        1e6 * one["core"] / one["messages_out"]
        for one in lines
        if one.get("phase") == "restart" and one.get("role") == "alone" and one.get("messages_out")
    )
    if costs:
        return costs[len(costs) // 2]
    return 1e4 * line((one.members, one.core_percent) for one in IDLE_FLEET)[1]


SCALED = {
    "wire_out": "sent with headers, B/s",
    "core": "% core",
    "sockets": "sockets",
}
PHASES = ("rest", "work", "restart", "lost", "policy")


class Series(NamedTuple):
    """What one row of the table is of."""

    phase: str
    run: str
    figure: str


def scaled(lines: list[dict[str, Any]], role: str = "alone") -> str:
    """What the scale run measured of a member, by phase and figure; the last size predicted from the others.

    The mean of the seeds of a size. `role`: members with a loop of their own, as processes have. `run` in a
    line: before or after what was built, by the name of its file.
    """
    points = _points(lines, role)
    sizes = sorted({size for values in points.values() for size in values})
    rows = []
    for series, by_size in sorted(points.items(), key=lambda item: PHASES.index(item[0].phase)):
        means = {size: sum(values) / len(values) for size, values in sorted(by_size.items())}
        cells = [number(means[size]) if size in means else "" for size in sizes]
        rows.append([*series, *cells, _growth(means), _predicted(means)])
    head = ["phase", "run", "figure", *map(str, sizes), "grows by the power of"]
    return table([*head, "the largest, predicted from the smaller by a line"], rows)


def _points(lines: list[dict[str, Any]], role: str) -> dict[Series, dict[int, list[float]]]:
    """The values of all seeds, by series and size."""
    points: dict[Series, dict[int, list[float]]] = {}
    for line_ in lines:
        if line_.get("role") != role or line_.get("phase") not in PHASES:
            continue
        run = f"{line_.get('run', '')}, " if line_.get("run") else ""
        run += f"cells of {line_['cell_size']}" if line_["cell_size"] else "one cell"
        for figure, title in SCALED.items():
            if figure in line_:
                value = float(line_[figure]) * (100 if figure == "core" else 1)
                by_size = points.setdefault(Series(line_["phase"], run, title), {})
                by_size.setdefault(line_["size"], []).append(value)
    return points


def _growth(means: dict[int, float]) -> str:
    if len(means) > 1 and min(means.values()) > 0:
        return f"{power(means.items()):.2f}"
    return ""


def _predicted(means: dict[int, float]) -> str:
    """The largest size by the line through the others, and how far that is off."""
    if len(means) <= 2:
        return ""
    *smaller, (largest, value) = means.items()
    at_none, slope, _ = line(smaller)
    predicted = at_none + slope * largest
    return f"{number(predicted)} ({predicted / value - 1:+.0%})"
