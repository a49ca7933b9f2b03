"""Measured figures, by name and size."""

from __future__ import annotations

import json
from collections.abc import Iterable
from math import nan
from pathlib import Path
from typing import Any


class Figures:
    """Measured figures by name, interpolated between sizes, and extrapolated from the two nearest sizes."""

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        """`lines`: as `measure` yields them."""
        self.points: dict[str, dict[int, float]] = {}
        self.is_bytes: dict[str, bool] = {}
        for line in lines:
            self.is_bytes[line["figure"]] = "bytes" in line
            value = line.get("us", line.get("bytes"))
            if value is not None:
                self.points.setdefault(line["figure"], {})[line["size"]] = float(value)

    def at(self, name: str, size: float = 0) -> float:
        """Return a figure at a size, by linear interpolation or extrapolation; NaN if it was not measured."""
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

    def source(self, name: str, size: float) -> str:
        """Return where the figure at that size comes from: "measured", "extrapolated" or "not measured".

        Values interpolated between measured sizes count as measured.
        """
        points = self.points.get(name, {})
        if not points:
            return "not measured"
        return "extrapolated" if size > max(points) and len(points) > 1 else "measured"


def read_lines(path: Path) -> list[dict[str, Any]]:
    """Return the JSON objects of a file, one a line; none if the file does not exist."""
    if not path.exists():
        return []
    return [json.loads(text) for text in path.read_text().splitlines() if text.startswith("{")]
