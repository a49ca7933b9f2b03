"""How loaded endpoints are, by reports, live weights or gossip.

A load is in requests for each that an endpoint does at a time.
"""

from __future__ import annotations

from .clock import Clock
from .config import BalancerConfig, RequestClass
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats, LoadSample
from .estimators import QUEUED_REQUEST_COST, LinearEstimator
from .gossip import Gossip
from .model import Attempt

QUEUE_LIMIT = 2.5  # requests at an endpoint of mean weight, for each that it does at a time
LIVE_WEIGHT_QUEUE_FACTOR = 2.0  # times that limit where only the endpoint list reports load
LIVE_WEIGHT_DAMPING = 0.1  # part of the load reported by a live weight that is believed
HEALTH_CHECK_GAIN = 0.1  # part of a mean weight that knowing the load of an endpoint may save
MIN_BUSY_REPORTED = 4.0  # busy time in reports after which the concurrency is derived
REPORT_PRIOR = 0.5  # reports of no load that are assumed
LOAD_FIGURES = ("held", "waiting", "busy")  # of a report, the first that is there is the load


class LoadTracker:
    """Owns what is known of endpoints' load and concurrency, and the attempts in flight here."""

    def __init__(self, clock: Clock, endpoints: EndpointSet, gossip: Gossip) -> None:
        """No load is known yet."""
        self.clock, self.endpoints, self.gossip = clock, endpoints, gossip
        self.in_flight = 0
        self.concurrency = 1.0  # requests that an endpoint does at a time
        self.queueing = LinearEstimator()  # response time by load
        self._reported, self._reports, self._reported_at = 0.0, 0.0, clock.now
        self._held, self._busy = 0.0, 0.0

    def reload(self, config: BalancerConfig) -> None:
        """Take over a configuration."""
        self.config = config
        self._mean_weight = config.mean_priority_weight()
        # Where only the list reports load all sidecars see it late and alike: queues are longer.
        self.queue_limit = QUEUE_LIMIT * (LIVE_WEIGHT_QUEUE_FACTOR if config.weights_are_live else 1)

    def of(self, stats: EndpointStats) -> float:
        """Requests expected at an endpoint, this sidecar's own among them."""
        return self._elsewhere(stats) + len(stats.in_flight) / self.concurrency

    def _elsewhere(self, stats: EndpointStats) -> float:
        """Requests of others: by gossip, else what was reported, which decays to the mean."""
        if self.gossip.is_current():
            return self.gossip.counts.get(stats.gossip_tag, 0) / self.concurrency
        mean = self.mean_elsewhere()
        if self.config.weights_are_live:
            # All sidecars read the same list: believed fully, they would all use the same free capacity.
            believed = (stats.requests_held - mean) * LIVE_WEIGHT_DAMPING
            return mean + believed * self.clock.decay(self._reported_at)
        requests, at = stats.load_sample or (mean * self.concurrency, self.clock.now)
        age = (self.clock.now - at) / self.clock.shortest_objective
        return mean + (requests / self.concurrency - mean) * 0.5**age

    def mean_elsewhere(self) -> float:
        """Mean load by reports alone, less with age, so that the mean does not feed on itself."""
        decayed = self.clock.decay(self._reported_at)
        return self._reported * decayed / (REPORT_PRIOR + self._reports * decayed) / self.concurrency

    def is_overloaded(self) -> bool:
        """All endpoints are slow or full: there is no spare capacity for hedged requests."""
        ready = self.endpoints.ready_count()
        elsewhere = self.gossip.total if self.gossip.is_current() else self.mean_elsewhere() * ready
        # Two thirds of the queue limit, on the mean.
        return elsewhere + self.in_flight > self.queue_limit * 2 / 3 * ready

    def affordable_health_checks(self, request_class: RequestClass, crowding: float = 0.0) -> int:
        """How many checks before a request of that class its weight pays for; more in a crowded fleet."""
        gain = HEALTH_CHECK_GAIN / self.concurrency * max(1.0, crowding)
        gain = gain * request_class.priority_weight / self._mean_weight
        return int(gain / max(self.config.health_check_price, 1e-9))

    def concurrency_is_learned(self) -> bool:
        """An observation of how many requests an endpoint serves at a time."""
        return self.queueing.n + self._busy > 0

    # Observations.

    def note_started(self, attempt: Attempt) -> None:
        """An attempt has been sent completely."""
        attempt.endpoint.in_flight[attempt] = None
        self.gossip.note_count(attempt.endpoint)
        self.in_flight += 1

    def note_ended(self, attempt: Attempt) -> None:
        """An attempt has ended, whether or not it was sent completely."""
        stats = attempt.endpoint
        self.in_flight -= stats.in_flight.pop(attempt, 0) is None
        self.gossip.note_count(stats)

    def note_full(self, stats: EndpointStats) -> None:
        """An endpoint has rejected a request: its queue is full."""
        stats.load_sample = LoadSample(self.queue_limit * self.concurrency, self.clock.now)

    def note_list(self) -> None:
        """The endpoint list has reported all loads; those that it does not name have not changed."""
        if self.config.weights_are_live:
            self._reported_at, self._reports = self.clock.now, len(self.endpoints.by_id)
            self._reported = sum(stats.requests_held for stats in self.endpoints.by_id.values())

    def note_report(self, stats: EndpointStats, report: dict[str, float]) -> None:
        """Take over a load report, by the names of `settings.LOAD_REPORT_FIGURES`."""
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
        """Of the requests held, as many as it does at a time make up its busy part; found from below."""
        self._held, self._busy = self._held + min(held, self.concurrency), self._busy + busy
        if self._busy > MIN_BUSY_REPORTED:
            self.concurrency = max(1.0, self._held / self._busy)
            self._held, self._busy = self._held / 2, self._busy / 2

    def _note_load(self, stats: EndpointStats, load: float) -> None:
        decayed = self.clock.decay(self._reported_at)
        self._reported = self._reported * decayed + load
        self._reports, self._reported_at = self._reports * decayed + 1, self.clock.now
        stats.load_sample = LoadSample(load, self.clock.now)

    def note_response_time(self, load: float, relative_time: float) -> None:
        """A response at that load took so long, against an endpoint without load.

        Where reports tell what endpoints hold and not how busy they are, what a queued request adds to the
        response shows how many they serve at a time.
        """
        self.queueing.add(load * self.concurrency, relative_time)
        self.concurrency = max(1.0, QUEUED_REQUEST_COST / self.queueing.growth(QUEUED_REQUEST_COST))
