"""Fits of a figure as a function of the size."""

from __future__ import annotations

from collections.abc import Iterable
from math import log


def fit_line(points: Iterable[tuple[float, float]]) -> tuple[float, float, float]:
    """Fit a line by least squares; return its intercept, its slope and the largest residual."""
    points = list(points)
    n = len(points)
    x, y = sum(p[0] for p in points) / n, sum(p[1] for p in points) / n
    slope = sum((px - x) * (py - y) for px, py in points) / sum((px - x) ** 2 for px, _ in points)
    intercept = y - slope * x
    return intercept, slope, max(abs(intercept + slope * px - py) for px, py in points)


def growth_exponent(points: Iterable[tuple[float, float]]) -> float:
    """Return the exponent of growth: 0 is constant, 1 is linear in the size, 2 is quadratic."""
    return fit_line((log(x), log(y)) for x, y in points)[1]
