"""Figures that were measured, by name and size."""

from __future__ import annotations

import json
from collections.abc import Iterable
from math import nan
from pathlib import Path
from typing import Any


class Figures:
    """What was measured, by name; a figure past its last size is extrapolated by the line of its last two."""

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        """`lines`: as `measure` yields them."""
        self.points: dict[str, dict[int, float]] = {}
        self.is_bytes: dict[str, bool] = {}
        for one in lines:
            self.is_bytes[one["figure"]] = "bytes" in one
            value = one.get("us", one.get("bytes"))
            if value is not None:
                self.points.setdefault(one["figure"], {})[one["size"]] = float(value)

    def at(self, name: str, size: float = 0) -> float:
        """Return a figure at a size, between and past its sizes by a line; NaN where it was not measured."""
        points = self.points.get(name)
        if not points:
            return nan
        if len(points) == 1:
            return next(iter(points.values()))
        if size in points:
            return points[int(size)]
        known = sorted(points.items())
        above = next((i for i, (x, _) in enumerate(known) if x > size), len(known) - 1)
        (x0, y0), (x1, y1) = known[max(0, above - 1)], known[max(1, above)]
        return y0 + (y1 - y0) * (size - x0) / (x1 - x0)

    def kind(self, name: str, size: float) -> str:
        """Return how the figure at that size is come by."""
        points = self.points.get(name, {})
        if not points:
            return "not measured"
        return "extrapolated" if size > max(points) and len(points) > 1 else "measured"


def read_lines(path: Path) -> list[dict[str, Any]]:
    """Read the lines of JSON of a file; none where there is no file."""
    if not path.exists():
        return []
    return [json.loads(text) for text in path.read_text().splitlines() if text.startswith("{")]
