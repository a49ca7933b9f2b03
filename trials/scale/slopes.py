"""Slopes: constant, linear and square parts of a figure by size, from measured lines.

`python -m trials.scale.slopes FILE...` fits each figure from the sizes measured, tells what remains, and
checks the form that it would choose by predicting the largest size from the smaller ones alone.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from starlingwheel.net.fleet.links.timing import IDLE_HEARTBEATS_PER_SECOND, MAX_IDLE_HEARTBEAT_INTERVAL

# Links beyond which each has one heartbeat in the longest interval: another form holds from there on.
KNEE = int(IDLE_HEARTBEATS_PER_SECOND * MAX_IDLE_HEARTBEAT_INTERVAL)
FORMS = {"constant": 1, "linear": 2, "square": 3}
MIN_SIZES = {"constant": 1, "linear": 2, "square": 4}  # for each form
MIN_GAIN = 1 / 2  # of what remains, that a further part has to explain: less would fit the noise
MIN_SIZES_PER_ROW = 3  # of the table
NEGLIGIBLE = 0.02  # of the largest value, that may remain
FIGURES = (
    "sockets", "wire_out", "wire_in", "messages_out", "segments_out", "core", "own_core", "mb", "calls_s",
    "watch_lines_s", "watch_events_s",
)  # fmt: skip


@dataclass(frozen=True)
class Fit:
    """`coefficients`: constant, a member, a pair of members (n squared); 0: the form leaves it out."""

    form: str
    coefficients: tuple[float, float, float]
    residual: float  # root of the mean square of what remains, in the figure's own unit
    sizes: tuple[int, ...]

    def at(self, size: float) -> float:
        """Return the figure at a size."""
        constant, linear, square = self.coefficients
        return constant + linear * size + square * size**2


@dataclass(frozen=True)
class CheckedFit:
    """A fit of all sizes, and the prediction of the largest one from the others; None: too few sizes."""

    fit: Fit
    largest: int
    measured: float
    predicted: float | None

    @property
    def error(self) -> float | None:
        """Of the prediction, as a part of what was measured."""
        if self.predicted is None or not self.measured:
            return None
        return (self.predicted - self.measured) / self.measured


def fit_form(points: Mapping[int, float], form: str) -> Fit:
    """Return the least squares of that form. Raises `ValueError` for fewer sizes than parts."""
    count = FORMS[form]
    if len(points) < count:
        raise ValueError(f"{len(points)} sizes for {count} parts")
    sizes = np.array(sorted(points), dtype=float)
    values = np.array([points[int(n)] for n in sizes])
    # Scaled, since the square of hundreds next to a constant loses precision.
    scale = sizes.max()
    columns = np.vander(sizes / scale, count, increasing=True)
    solved = np.linalg.lstsq(columns, values, rcond=None)[0]
    residual = float(np.sqrt(np.mean((columns @ solved - values) ** 2)))
    parts = [float(p) / scale**i for i, p in enumerate(solved)] + [0.0] * (3 - count)
    return Fit(form, (parts[0], parts[1], parts[2]), residual, tuple(int(n) for n in sizes))


def choose_fit(points: Mapping[int, float]) -> Fit:
    """The simplest form beyond which no part is worth it. A square needs a size more than it has parts.

    Two sizes leave nothing of a linear form: only the prediction of a third one tells whether it holds.
    """
    largest = max(abs(value) for value in points.values()) or 1.0
    forms = [form for form, least in MIN_SIZES.items() if len(points) >= least]
    best = fit_form(points, forms[0])
    for form in forms[1:]:
        if best.residual <= NEGLIGIBLE * largest:
            break
        further = fit_form(points, form)
        if further.residual < (1 - MIN_GAIN) * best.residual:
            best = further
    return best


def check_fit(points: Mapping[int, float]) -> CheckedFit:
    """Return the fit of all sizes, with the prediction of the largest one."""
    largest = max(points)
    smaller = {size: value for size, value in points.items() if size != largest}
    predicted = choose_fit(smaller).at(largest) if len(smaller) > 1 else None
    return CheckedFit(choose_fit(points), largest, points[largest], predicted)


def read_lines(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the measured lines of files."""
    lines = [json.loads(line) for path in paths for line in path.read_text().splitlines() if line.strip()]
    return [line for line in lines if "phase" in line]


def mean_by_size(
    lines: Iterable[Mapping[str, Any]], role: str, phase: str, figure: str, cell_size: int
) -> dict[int, float]:
    """Return the mean of all seeds by size."""
    found: dict[int, list[float]] = defaultdict(list)
    for line in lines:
        if (line["role"], line["phase"], line["cell_size"]) == (role, phase, cell_size) and figure in line:
            found[line["size"]].append(line[figure])
    return {size: sum(values) / len(values) for size, values in sorted(found.items())}


def ranges(
    by_size: Mapping[int, float], role: str, phase: str, knee: int
) -> Iterable[tuple[str, dict[int, float]]]:
    """What is fitted by itself: at rest other forms hold below and above the knee."""
    if phase == "rest" and role != "arbiter":
        below = {n: v for n, v in by_size.items() if n <= knee}
        above = {n: v for n, v in by_size.items() if n > knee}
        for some in (below, above):
            if len(some) > 1:
                yield f"{min(some)} to {max(some)}", some
    elif len(by_size) > 1:
        yield f"{min(by_size)} to {max(by_size)}", dict(by_size)


def predict(
    lines: list[dict[str, Any]], size: int, cell_size: int, phases: Iterable[str]
) -> list[dict[str, Any]]:
    """Return what smaller sizes predict for that one: a line for each phase and role."""
    predictions = []
    for phase in phases:
        for role in ("hollow", "alone", "real", "arbiter"):
            figures = {}
            for figure in FIGURES:
                by_size = mean_by_size(lines, role, phase, figure, cell_size)
                below = {n: v for n, v in by_size.items() if n < size}
                if phase == "rest" and role != "arbiter" and size > KNEE:
                    below = {n: v for n, v in below.items() if n > KNEE}
                if len(below) > 1:
                    figures[figure] = float(f"{choose_fit(below).at(size):.4g}")
            if figures:
                predictions.append(
                    {"predicts": phase, "size": size, "cell_size": cell_size, "role": role} | figures
                )
    return predictions


def table(lines: list[dict[str, Any]], size: int, knee: int = KNEE) -> str:
    """Markdown. `size`: what the fit says of that one; beyond the largest measured it is extrapolated."""
    rows = [
        f"| cells of | phase | role | figure | measured at | constant | a member | a pair | remains "
        f"| largest: measured, predicted, error | at {size:,} |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    kinds = sorted({(line["cell_size"], line["phase"], line["role"]) for line in lines})
    for cell_size, phase, role in kinds:
        for figure in FIGURES:
            by_size = mean_by_size(lines, role, phase, figure, cell_size)
            for span, some in ranges(by_size, role, phase, knee):
                if any(some.values()) and len(some) >= MIN_SIZES_PER_ROW:
                    rows.append(
                        _row(str(cell_size or "all"), phase, role, figure, span, check_fit(some), size)
                    )
    return "\n".join(rows)


def _row(cells: str, phase: str, role: str, figure: str, span: str, check: CheckedFit, size: int) -> str:
    fit = check.fit
    constant, linear, square = (f"{part:.4g}" if part else "-" for part in fit.coefficients)
    comparison = f"{check.largest}: {check.measured:.4g}, no prediction: too few sizes"
    if check.predicted is not None:
        error = "-" if check.error is None else f"{check.error:+.1%}"
        comparison = f"{check.largest}: {check.measured:.4g}, {check.predicted:.4g}, {error}"
    word = "extrapolated " if size > check.largest else ""
    return (
        f"| {cells} | {phase} | {role} | {figure} | {span} | {constant} | {linear} | {square} "
        f"| {fit.residual:.3g} | {comparison} | {word}{fit.at(size):.4g} |"
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the command line, and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m trials.scale.slopes", description=__doc__)
    parser.add_argument("files", nargs="+", type=Path, help="lines of trials.scale")
    parser.add_argument("--size", type=int, default=1600, help="what the fits say of it (1600)")
    parser.add_argument(
        "--knee", type=int, default=KNEE, help=f"size from which on another form holds at rest ({KNEE})"
    )
    parser.add_argument("--phase", help="only this one")
    parser.add_argument("--role", help="only this one")
    given = parser.parse_args(arguments)
    try:
        lines = read_lines(given.files)
    except (OSError, ValueError) as error:
        print(f"trials.scale.slopes: {error}", file=sys.stderr)
        return 2
    lines = [one for one in lines if given.phase in (None, one["phase"])]
    lines = [one for one in lines if given.role in (None, one["role"])]
    if not lines:
        print("trials.scale.slopes: no line has a figure", file=sys.stderr)
        return 2
    print(table(lines, given.size, given.knee))
    return 0


if __name__ == "__main__":
    sys.exit(main())
