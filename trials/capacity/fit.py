"""Fits of figures over sizes."""

from __future__ import annotations

from collections.abc import Iterable
from math import log


def line(points: Iterable[tuple[float, float]]) -> tuple[float, float, float]:
    """A straight line by least squares: what it is at none, what each adds, the largest residual."""
    points = list(points)
    n = len(points)
    x, y = sum(p[0] for p in points) / n, sum(p[1] for p in points) / n
    slope = sum((px - x) * (py - y) for px, py in points) / sum((px - x) ** 2 for px, _ in points)
    at_none = y - slope * x
    return at_none, slope, max(abs(at_none + slope * px - py) for px, py in points)


def power(points: Iterable[tuple[float, float]]) -> float:
    """The exponent of growth: 0 is flat, 1 is by the size, 2 is by its square."""
    return line((log(x), log(y)) for x, y in points)[1]
