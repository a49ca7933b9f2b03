"""Load of the endpoints, from load reports, live weights or gossip.

A load is the number of requests at an endpoint divided by the number that it serves concurrently.
"""

from __future__ import annotations

from .clock import Clock
from .config import BalancerConfig, RequestClass
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats, LoadSample
from .estimators import QUEUED_REQUEST_COST, LinearEstimator
from .gossip import Gossip
from .model import Attempt

QUEUE_LIMIT = 2.5  # load below which an endpoint of mean weight is used
LIVE_WEIGHT_QUEUE_FACTOR = 2.0  # multiple of `QUEUE_LIMIT` if only the endpoint list reports load
LIVE_WEIGHT_DAMPING = 0.1  # fraction of a live weight's deviation from the mean load that is used
HEALTH_CHECK_GAIN = 0.1  # gain of knowing an endpoint's load, as a fraction of the mean priority weight
MIN_BUSY_REPORTED = 4.0  # sum of reported busy fractions above which the concurrency is derived
REPORT_PRIOR = 0.5  # number of assumed reports of no load
LOAD_FIGURES = ("held", "waiting", "busy")  # the first of these in a report is taken as the load


class LoadTracker:
    """Owns the estimates of endpoints' load and concurrency, and this sidecar's attempts in flight."""

    def __init__(self, clock: Clock, endpoints: EndpointSet, gossip: Gossip) -> None:
        """Start without any reported load."""
        self.clock, self.endpoints, self.gossip = clock, endpoints, gossip
        self.in_flight = 0
        self.concurrency = 1.0  # requests that an endpoint serves at a time
        # The relative response time as a function of the number of requests at an endpoint.
        self.queueing = LinearEstimator()
        self._reported_load, self._report_count, self._reported_at = 0.0, 0.0, clock.now
        self._held_sum, self._busy_sum = 0.0, 0.0

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config = config
        self._mean_weight = config.mean_priority_weight()
        # If only the list reports load, all sidecars see the same late values, and queues get longer.
        self.queue_limit = QUEUE_LIMIT * (LIVE_WEIGHT_QUEUE_FACTOR if config.weights_are_live else 1)

    def of(self, stats: EndpointStats) -> float:
        """Return the expected load of an endpoint, including this sidecar's own requests."""
        return self._load_of_others(stats) + len(stats.in_flight) / self.concurrency

    def _load_of_others(self, stats: EndpointStats) -> float:
        """Return the load from other sidecars: by gossip, else as reported, decaying to the mean."""
        if self.gossip.is_current():
            return self.gossip.counts.get(stats.gossip_tag, 0) / self.concurrency
        mean = self.mean_reported_load()
        if self.config.weights_are_live:
            # All sidecars read the same list. Without damping they would all use the same free capacity.
            deviation = (stats.requests_held - mean) * LIVE_WEIGHT_DAMPING
            return mean + deviation * self.clock.decay(self._reported_at)
        requests, at = stats.load_sample or (mean * self.concurrency, self.clock.now)
        age = (self.clock.now - at) / self.clock.shortest_objective
        return mean + (requests / self.concurrency - mean) * 0.5**age

    def mean_reported_load(self) -> float:
        """Return the mean load by reports alone, which decays with their age.

        The decay keeps the mean from reinforcing itself.
        """
        decayed = self.clock.decay(self._reported_at)
        return (
            self._reported_load * decayed / (REPORT_PRIOR + self._report_count * decayed) / self.concurrency
        )

    def is_overloaded(self) -> bool:
        """Return whether the mean load leaves no spare capacity for hedges and requests without priority."""
        ready = self.endpoints.ready_count()
        others = self.gossip.total if self.gossip.is_current() else self.mean_reported_load() * ready
        # The threshold is a mean load of two thirds of the queue limit.
        return others + self.in_flight > self.queue_limit * 2 / 3 * ready

    def affordable_health_checks(self, request_class: RequestClass, congestion: float = 0.0) -> int:
        """Return how many health checks are worth their price before a request of that class.

        The number grows with the weight of the class and with `congestion`, the mean load of the fleet.
        """
        gain = HEALTH_CHECK_GAIN / self.concurrency * max(1.0, congestion)
        gain = gain * request_class.priority_weight / self._mean_weight
        return int(gain / max(self.config.health_check_price, 1e-9))

    def concurrency_is_learned(self) -> bool:
        """Return whether there is any observation of how many requests an endpoint serves at a time."""
        return self.queueing.n + self._busy_sum > 0

    # Observations.

    def note_started(self, attempt: Attempt) -> None:
        """Count an attempt that has been sent completely."""
        attempt.endpoint.in_flight[attempt] = None
        self.gossip.note_count(attempt.endpoint)
        self.in_flight += 1

    def note_ended(self, attempt: Attempt) -> None:
        """Stop counting an attempt that has ended, whether or not it was sent completely."""
        stats = attempt.endpoint
        self.in_flight -= stats.in_flight.pop(attempt, 0) is None
        self.gossip.note_count(stats)

    def note_queue_full(self, stats: EndpointStats) -> None:
        """Record that an endpoint has rejected a request, so its queue is full."""
        stats.load_sample = LoadSample(self.queue_limit * self.concurrency, self.clock.now)

    def note_endpoint_list(self) -> None:
        """Record the loads that the endpoint list reports by live weights.

        The load of an endpoint that an update does not name has not changed.
        """
        if self.config.weights_are_live:
            self._reported_at, self._report_count = self.clock.now, len(self.endpoints.by_id)
            self._reported_load = sum(stats.requests_held for stats in self.endpoints.by_id.values())

    def note_report(self, stats: EndpointStats, report: dict[str, float]) -> None:
        """Record a load report, whose keys are those of `settings.LOAD_REPORT_FIGURES`."""
        held, busy = report.get("held"), report.get("busy")
        if held is not None and busy is not None:
            self._note_busy(held, busy)
        stats.service_time = report.get("service", stats.service_time)
        if self.config.weights_are_live:
            return
        for figure in LOAD_FIGURES:
            if figure in report:
                self._note_load(stats, max(0.0, report[figure]))
                return

    def _note_busy(self, held: float, busy: float) -> None:
        """Estimate the concurrency from a report of requests held and of the busy fraction.

        The requests being served, at most `concurrency` of those held, make up the busy fraction. The
        estimate approaches the true value from below.
        """
        self._held_sum, self._busy_sum = self._held_sum + min(held, self.concurrency), self._busy_sum + busy
        if self._busy_sum > MIN_BUSY_REPORTED:
            self.concurrency = max(1.0, self._held_sum / self._busy_sum)
            self._held_sum, self._busy_sum = self._held_sum / 2, self._busy_sum / 2

    def _note_load(self, stats: EndpointStats, load: float) -> None:
        decayed = self.clock.decay(self._reported_at)
        self._reported_load = self._reported_load * decayed + load
        self._report_count, self._reported_at = self._report_count * decayed + 1, self.clock.now
        stats.load_sample = LoadSample(load, self.clock.now)

    def note_response_time(self, load: float, relative_time: float) -> None:
        """Learn from a response time at that load, relative to an endpoint without load.

        Where reports give the requests held but not the busy fraction, the time that each queued request adds
        to a response shows how many requests an endpoint serves at a time.
        """
        self.queueing.add(load * self.concurrency, relative_time)
        self.concurrency = max(1.0, QUEUED_REQUEST_COST / self.queueing.relative_slope(QUEUED_REQUEST_COST))
