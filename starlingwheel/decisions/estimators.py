"""What is learned of times and flows: small estimators that forget, each with a bounded state.

They hold no clock and no randomness; times are passed in as seconds.
"""

from __future__ import annotations

SLOPE_PRIOR_WEIGHT = 32  # observations that weigh as much as the prior of a slope
QUEUED_REQUEST_COST = 0.5  # time that a queued request adds to a response, as a part of that time


class Histogram:
    """Counts in a few coarse bins, each `growth` times the last, halved when they grow old."""

    __slots__ = ("base", "growth", "bins", "total", "sum", "most", "halved")

    def __init__(self, base: float, growth: float, bins: int, most: int, now: float = 0.0) -> None:
        self.base, self.growth, self.most = base, growth, most
        self.bins = [0.0] * bins
        self.total = self.sum = 0.0
        self.halved = now

    def add(self, value: float) -> None:
        i, edge = 0, self.base
        while value > edge and i < len(self.bins) - 1:
            i, edge = i + 1, edge * self.growth
        self.bins[i] += 1
        self.total += 1
        self.sum += edge / self.growth**0.5
        if self.total > self.most:
            self.halve()

    def halve(self) -> None:
        self.bins = [n / 2 for n in self.bins]
        self.total, self.sum = self.total / 2, self.sum / 2

    def aged(self, now: float, span: float, keep: float = 0.0) -> Histogram:
        """Halved as often as `span` has passed since it was last read, while more than `keep` are in it."""
        times = int((now - self.halved) / span)
        self.halved += times * span
        while times and self.total > keep:
            times -= 1
            self.halve()
        return self

    def mean(self, prior: float, doubt: float) -> float:
        """Of what was seen and of `doubt` more values at `prior`."""
        return (doubt * prior + self.sum) / (doubt + self.total)

    def percentile(self, share: float) -> float:
        left, edge = share * self.total, self.base
        for n in self.bins:
            if n >= left > 0:
                return edge / self.growth ** (1 - left / n)
            left -= n
            edge *= self.growth
        return edge


class LinearEstimator:
    """A straight line through what was lately seen (least squares), with some doubt about its slope."""

    __slots__ = ("n", "x", "y", "xx", "xy")

    def __init__(self) -> None:
        self.n = self.x = self.y = self.xx = self.xy = 0.0

    def add(self, x: float, y: float) -> None:
        keep = 0.5 if self.n > 8 * SLOPE_PRIOR_WEIGHT else 1.0
        self.n, self.x, self.y = self.n * keep + 1, self.x * keep + x, self.y * keep + y
        self.xx, self.xy = self.xx * keep + x * x, self.xy * keep + x * y

    def growth(self, prior: float) -> float:
        """By how much it grows with each, as a part of what it is at none."""
        x, y = self.x / self.n, self.y / self.n
        slope = (self.xy - self.n * x * y + SLOPE_PRIOR_WEIGHT * prior * y) / (
            self.xx - self.n * x * x + SLOPE_PRIOR_WEIGHT
        )
        return max(slope / max(y - slope * x, y / 8, 1e-9), 1 / 16)


class InFlightEstimator:
    """What was out, times how long, and how many answers came; both fade. Divided, an answer's time."""

    __slots__ = ("out", "answers", "span", "at")

    def __init__(self, now: float) -> None:
        self.out = self.answers = self.span = 0.0
        self.at = now

    def add(self, now: float, half: float, out: float, answers: float = 0.0) -> None:
        gone, self.at = now - self.at, now
        faded = 0.5 ** (gone / half)
        self.out = self.out * faded + out * gone
        self.answers = self.answers * faded + answers
        self.span = self.span * faded + gone
