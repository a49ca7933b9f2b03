"""Fits of the measured figures as constant, linear or square functions of the fleet's size.

`python -m trials.scale.slopes FILE...` fits each figure over the measured sizes, and prints the coefficients
and the residual. It tests the chosen form by predicting the largest size from the smaller ones.
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

# Number of links from which on each has the longest heartbeat interval, so that costs grow differently.
KNEE = int(IDLE_HEARTBEATS_PER_SECOND * MAX_IDLE_HEARTBEAT_INTERVAL)
FORMS = {"constant": 1, "linear": 2, "square": 3}
MIN_SIZES = {"constant": 1, "linear": 2, "square": 4}  # measured sizes that each form needs
MIN_GAIN = 1 / 2  # of the residual, that a further term must explain; terms that explain less fit noise
MIN_SIZES_PER_ROW = 3  # of the table
NEGLIGIBLE = 0.02  # residual that needs no further term, as a fraction of the largest value
FIGURES = (
    "sockets", "wire_out", "wire_in", "messages_out", "segments_out", "core", "own_core", "mb", "calls_s",
    "watch_lines_s", "watch_events_s",
)  # fmt: skip


@dataclass(frozen=True)
class Fit:
    """A fitted function of the size n.

    `coefficients`: the constant, and those of n and of n squared. Those that the form does not have are 0.
    """

    form: str
    coefficients: tuple[float, float, float]
    residual: float  # root mean square, in the unit of the figure
    sizes: tuple[int, ...]

    def at(self, size: float) -> float:
        """Return the figure at a size."""
        constant, linear, square = self.coefficients
        return constant + linear * size + square * size**2


@dataclass(frozen=True)
class CheckedFit:
    """A fit over all sizes, and the largest size predicted from the others; None if those are too few."""

    fit: Fit
    largest: int
    measured: float
    predicted: float | None

    @property
    def error(self) -> float | None:
        """The error of the prediction as a fraction of the measured value."""
        if self.predicted is None or not self.measured:
            return None
        return (self.predicted - self.measured) / self.measured


def fit_form(points: Mapping[int, float], form: str) -> Fit:
    """Fit a form to the points by least squares. Raises `ValueError` if there are fewer sizes than terms."""
    count = FORMS[form]
    if len(points) < count:
        raise ValueError(f"{len(points)} sizes for {count} terms")
    sizes = np.array(sorted(points), dtype=float)
    values = np.array([points[int(n)] for n in sizes])
    # Scaled, since the squares of large sizes next to a constant would lose precision.
    scale = sizes.max()
    columns = np.vander(sizes / scale, count, increasing=True)
    solution = np.linalg.lstsq(columns, values, rcond=None)[0]
    residual = float(np.sqrt(np.mean((columns @ solution - values) ** 2)))
    terms = [float(p) / scale**i for i, p in enumerate(solution)] + [0.0] * (3 - count)
    return Fit(form, (terms[0], terms[1], terms[2]), residual, tuple(int(n) for n in sizes))


def choose_fit(points: Mapping[int, float]) -> Fit:
    """Return the fit of the simplest form whose residual a further term does not reduce enough.

    The square form needs one size more than it has terms. A linear form through two sizes has no residual, so
    only the prediction of a third size can test it.
    """
    largest = max(abs(value) for value in points.values()) or 1.0
    forms = [form for form, least in MIN_SIZES.items() if len(points) >= least]
    best = fit_form(points, forms[0])
    for form in forms[1:]:
        if best.residual <= NEGLIGIBLE * largest:
            break
        candidate = fit_form(points, form)
        if candidate.residual < (1 - MIN_GAIN) * best.residual:
            best = candidate
    return best


def check_fit(points: Mapping[int, float]) -> CheckedFit:
    """Return the fit over all sizes, and predict the largest size from the others."""
    largest = max(points)
    smaller = {size: value for size, value in points.items() if size != largest}
    predicted = choose_fit(smaller).at(largest) if len(smaller) > 1 else None
    return CheckedFit(choose_fit(points), largest, points[largest], predicted)


def read_lines(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the measured lines of the files."""
    lines = [json.loads(line) for path in paths for line in path.read_text().splitlines() if line.strip()]
    return [line for line in lines if "phase" in line]


def mean_by_size(
    lines: Iterable[Mapping[str, Any]], role: str, phase: str, figure: str, cell_size: int
) -> dict[int, float]:
    """Return the mean of a figure over all seeds, by size."""
    values_by_size: dict[int, list[float]] = defaultdict(list)
    for line in lines:
        if (line["role"], line["phase"], line["cell_size"]) == (role, phase, cell_size) and figure in line:
            values_by_size[line["size"]].append(line[figure])
    return {size: sum(values) / len(values) for size, values in sorted(values_by_size.items())}


def fit_ranges(
    by_size: Mapping[int, float], role: str, phase: str, knee: int
) -> Iterable[tuple[str, dict[int, float]]]:
    """Yield the ranges of sizes that are fitted separately. At rest these are below and above the knee."""
    if phase == "rest" and role != "arbiter":
        below = {n: v for n, v in by_size.items() if n <= knee}
        above = {n: v for n, v in by_size.items() if n > knee}
        for points in (below, above):
            if len(points) > 1:
                yield f"{min(points)} to {max(points)}", points
    elif len(by_size) > 1:
        yield f"{min(by_size)} to {max(by_size)}", dict(by_size)


def predict(
    lines: list[dict[str, Any]], size: int, cell_size: int, phases: Iterable[str]
) -> list[dict[str, Any]]:
    """Return the figures that smaller sizes predict for a size, a line for each phase and role."""
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
    """Format the fits as a Markdown table, with their values at `size`.

    The value is marked as extrapolated if `size` is larger than the largest measured size.
    """
    rows = [
        f"| cells of | phase | role | figure | measured at | constant | a member | a pair | remains "
        f"| largest: measured, predicted, error | at {size:,} |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    groups = sorted({(line["cell_size"], line["phase"], line["role"]) for line in lines})
    for cell_size, phase, role in groups:
        for figure in FIGURES:
            by_size = mean_by_size(lines, role, phase, figure, cell_size)
            for span, points in fit_ranges(by_size, role, phase, knee):
                if any(points.values()) and len(points) >= MIN_SIZES_PER_ROW:
                    rows.append(
                        _row(str(cell_size or "all"), phase, role, figure, span, check_fit(points), size)
                    )
    return "\n".join(rows)


def _row(cells: str, phase: str, role: str, figure: str, span: str, checked: CheckedFit, size: int) -> str:
    fit = checked.fit
    constant, linear, square = (
        f"{coefficient:.4g}" if coefficient else "-" for coefficient in fit.coefficients
    )
    comparison = f"{checked.largest}: {checked.measured:.4g}, no prediction: too few sizes"
    if checked.predicted is not None:
        error = "-" if checked.error is None else f"{checked.error:+.1%}"
        comparison = f"{checked.largest}: {checked.measured:.4g}, {checked.predicted:.4g}, {error}"
    prefix = "extrapolated " if size > checked.largest else ""
    return (
        f"| {cells} | {phase} | {role} | {figure} | {span} | {constant} | {linear} | {square} "
        f"| {fit.residual:.3g} | {comparison} | {prefix}{fit.at(size):.4g} |"
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the command line, and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m trials.scale.slopes", description=__doc__)
    parser.add_argument("files", nargs="+", type=Path, help="output of trials.scale")
    parser.add_argument("--size", type=int, default=1600, help="size for which the fits are evaluated (1600)")
    parser.add_argument(
        "--knee", type=int, default=KNEE, help=f"size at which the form changes at rest ({KNEE})"
    )
    parser.add_argument("--phase", help="only this phase")
    parser.add_argument("--role", help="only this role")
    args = parser.parse_args(arguments)
    try:
        lines = read_lines(args.files)
    except (OSError, ValueError) as error:
        print(f"trials.scale.slopes: {error}", file=sys.stderr)
        return 2
    lines = [line for line in lines if args.phase in (None, line["phase"])]
    lines = [line for line in lines if args.role in (None, line["role"])]
    if not lines:
        print("trials.scale.slopes: no measured line matches", file=sys.stderr)
        return 2
    print(table(lines, args.size, args.knee))
    return 0


if __name__ == "__main__":
    sys.exit(main())
