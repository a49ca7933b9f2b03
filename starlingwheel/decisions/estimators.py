"""Estimators of times and rates with bounded state, in which old observations lose weight.

They use no clock and no random numbers; times are passed in, in seconds.
"""

from __future__ import annotations

SLOPE_PRIOR_WEIGHT = 32  # number of observations that the prior of a slope counts as
QUEUED_REQUEST_COST = 0.5  # time that a queued request adds to a response, as a fraction of the unloaded time


class Histogram:
    """Counts in a few coarse bins, whose edges grow by the factor `growth`; old counts are halved."""

    __slots__ = ("base", "growth", "bins", "total", "sum", "max_total", "halved_at")

    def __init__(self, base: float, growth: float, bins: int, max_total: int, now: float = 0.0) -> None:
        """Start empty; `base`: upper edge of the first bin; counts are halved above `max_total`."""
        self.base, self.growth, self.max_total = base, growth, max_total
        self.bins = [0.0] * bins
        self.total = self.sum = 0.0
        self.halved_at = now

    def add(self, value: float) -> None:
        """Count a value."""
        index, edge = 0, self.base
        while value > edge and index < len(self.bins) - 1:
            index, edge = index + 1, edge * self.growth
        self.bins[index] += 1
        self.total += 1
        self.sum += edge / self.growth**0.5
        if self.total > self.max_total:
            self.halve()

    def halve(self) -> None:
        """Halve all counts, so that earlier values weigh less than later ones."""
        self.bins = [n / 2 for n in self.bins]
        self.total, self.sum = self.total / 2, self.sum / 2

    def age(self, now: float, interval: float, min_total: float = 0.0) -> Histogram:
        """Halve the counts once per `interval` since the last call, while the total exceeds `min_total`.

        Return the histogram itself.
        """
        halvings = int((now - self.halved_at) / interval)
        self.halved_at += halvings * interval
        while halvings and self.total > min_total:
            halvings -= 1
            self.halve()
        return self

    def mean(self, prior: float, prior_weight: float) -> float:
        """Return the mean of the counted values and of `prior_weight` more values equal to `prior`."""
        return (prior_weight * prior + self.sum) / (prior_weight + self.total)

    def percentile(self, share: float) -> float:
        """Return the value that a fraction `share` of all values does not exceed, interpolated in its bin."""
        remaining, edge = share * self.total, self.base
        for count in self.bins:
            if count >= remaining > 0:
                return edge / self.growth ** (1 - remaining / count)
            remaining -= count
            edge *= self.growth
        return edge


class LinearEstimator:
    """Least-squares line through recent observations, with a prior for its slope."""

    __slots__ = ("n", "x", "y", "xx", "xy")

    def __init__(self) -> None:
        """Start without observations."""
        self.n = self.x = self.y = self.xx = self.xy = 0.0

    def add(self, x: float, y: float) -> None:
        """Add an observation; old ones are halved in weight as the total grows."""
        keep = 0.5 if self.n > 8 * SLOPE_PRIOR_WEIGHT else 1.0
        self.n, self.x, self.y = self.n * keep + 1, self.x * keep + x, self.y * keep + y
        self.xx, self.xy = self.xx * keep + x * x, self.xy * keep + x * y

    def relative_slope(self, prior: float) -> float:
        """Return the slope relative to the value at x = 0; `prior` is a relative slope too."""
        x, y = self.x / self.n, self.y / self.n
        slope = (self.xy - self.n * x * y + SLOPE_PRIOR_WEIGHT * prior * y) / (
            self.xx - self.n * x * x + SLOPE_PRIOR_WEIGHT
        )
        return max(slope / max(y - slope * x, y / 8, 1e-9), 1 / 16)


class InFlightEstimator:
    """Decaying sums of in-flight requests over time and of responses.

    Their quotient is the mean response time.
    """

    __slots__ = ("in_flight_time", "responses", "elapsed", "updated_at")

    def __init__(self, now: float) -> None:
        """Start empty at `now`."""
        self.in_flight_time = 0.0  # requests times seconds
        self.responses = 0.0
        self.elapsed = 0.0  # seconds
        self.updated_at = now

    def add(self, now: float, half_life: float, in_flight: float, responses: float = 0.0) -> None:
        """Add the requests in flight since the last call, and the responses received in that time."""
        interval, self.updated_at = now - self.updated_at, now
        decay = 0.5 ** (interval / half_life)
        self.in_flight_time = self.in_flight_time * decay + in_flight * interval
        self.responses = self.responses * decay + responses
        self.elapsed = self.elapsed * decay + interval
