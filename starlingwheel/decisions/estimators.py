"""Small estimators of times and flows that forget, each with a bounded state.

They hold no clock and no randomness; times are passed in as seconds.
"""

from __future__ import annotations

SLOPE_PRIOR_WEIGHT = 32  # observations that weigh as much as the prior of a slope
QUEUED_REQUEST_COST = 0.5  # time that a queued request adds to a response, as a part of that time


class Histogram:
    """Counts in a few coarse bins, each `growth` times the last, halved when they grow old."""

    __slots__ = ("base", "growth", "bins", "total", "sum", "most", "halved")

    def __init__(self, base: float, growth: float, bins: int, most: int, now: float = 0.0) -> None:
        """`base`: upper edge of the first bin; `most`: values after which all counts are halved."""
        self.base, self.growth, self.most = base, growth, most
        self.bins = [0.0] * bins
        self.total = self.sum = 0.0
        self.halved = now

    def add(self, value: float) -> None:
        """Count a value."""
        i, edge = 0, self.base
        while value > edge and i < len(self.bins) - 1:
            i, edge = i + 1, edge * self.growth
        self.bins[i] += 1
        self.total += 1
        self.sum += edge / self.growth**0.5
        if self.total > self.most:
            self.halve()

    def halve(self) -> None:
        """Halve all counts, so that what was counted before weighs less."""
        self.bins = [n / 2 for n in self.bins]
        self.total, self.sum = self.total / 2, self.sum / 2

    def aged(self, now: float, span: float, keep: float = 0.0) -> Histogram:
        """Halve the counts once for each `span` since the last call, while more than `keep` are left."""
        times = int((now - self.halved) / span)
        self.halved += times * span
        while times and self.total > keep:
            times -= 1
            self.halve()
        return self

    def mean(self, prior: float, doubt: float) -> float:
        """Return the mean of the values and of `doubt` more at `prior`."""
        return (doubt * prior + self.sum) / (doubt + self.total)

    def percentile(self, share: float) -> float:
        """Return the value that this part of all values does not exceed, interpolated in its bin."""
        left, edge = share * self.total, self.base
        for n in self.bins:
            if n >= left > 0:
                return edge / self.growth ** (1 - left / n)
            left -= n
            edge *= self.growth
        return edge


class LinearEstimator:
    """A straight line by least squares through recent observations, with a prior for its slope."""

    __slots__ = ("n", "x", "y", "xx", "xy")

    def __init__(self) -> None:
        """No observation yet."""
        self.n = self.x = self.y = self.xx = self.xy = 0.0

    def add(self, x: float, y: float) -> None:
        """Take an observation."""
        keep = 0.5 if self.n > 8 * SLOPE_PRIOR_WEIGHT else 1.0
        self.n, self.x, self.y = self.n * keep + 1, self.x * keep + x, self.y * keep + y
        self.xx, self.xy = self.xx * keep + x * x, self.xy * keep + x * y

    def growth(self, prior: float) -> float:
        """Return the slope as a part of the value at x = 0; `prior`: of the same kind."""
        x, y = self.x / self.n, self.y / self.n
        slope = (self.xy - self.n * x * y + SLOPE_PRIOR_WEIGHT * prior * y) / (
            self.xx - self.n * x * x + SLOPE_PRIOR_WEIGHT
        )
        return max(slope / max(y - slope * x, y / 8, 1e-9), 1 / 16)


class InFlightEstimator:
    """Requests in flight, integrated over time, and responses; both decay. Their quotient is a time."""

    __slots__ = ("in_flight_time", "responses", "elapsed", "updated_at")

    def __init__(self, now: float) -> None:
        """`now`: the start, seconds."""
        self.in_flight_time = 0.0  # requests times seconds
        self.responses = 0.0
        self.elapsed = 0.0  # seconds
        self.updated_at = now

    def add(self, now: float, half_life: float, in_flight: float, responses: float = 0.0) -> None:
        """Take the requests in flight since the last call, and the responses that came in that time."""
        interval, self.updated_at = now - self.updated_at, now
        decay = 0.5 ** (interval / half_life)
        self.in_flight_time = self.in_flight_time * decay + in_flight * interval
        self.responses = self.responses * decay + responses
        self.elapsed = self.elapsed * decay + interval
