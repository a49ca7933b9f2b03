"""Response times: usual ones by request class, and what makes one longer at an endpoint."""

from __future__ import annotations

from .clock import Clock
from .config import BalancerConfig, RequestClass
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats
from .estimators import QUEUED_REQUEST_COST, Histogram
from .gossip import Gossip
from .load import LoadTracker
from .model import Attempt, Request

MIN_SAMPLES_PER_CLASS = 32  # samples that are kept however old they are
MIN_SAMPLES_PER_ENDPOINT = 6
KEY_AFFINITY_GAIN = 0.6  # part of the work that is left where a key is known, until it is learned
PRIOR_CLASS_SAMPLES = 4
PRIOR_ENDPOINT_SAMPLES = 2
PRIOR_ZONE_SAMPLES = 8


class LatencyModel:
    """Owns the learned response times."""

    def __init__(self, clock: Clock, endpoints: EndpointSet, gossip: Gossip, load: LoadTracker) -> None:
        """Nothing has been learned yet."""
        self.clock, self.endpoints, self.gossip, self.load = clock, endpoints, gossip, load
        self.relative = Histogram(0.25, 1.4, 16, 2000)  # response times against the usual ones of their class
        self._by_class: dict[str, Histogram] = {}
        self._by_zone: dict[str, Histogram] = {}
        self._with_key = Histogram(0.1, 1.4, 14, 400, clock.now)
        self._without_key = Histogram(0.1, 1.4, 14, 400, clock.now)

    def reload(self, config: BalancerConfig) -> None:
        """Take over a configuration; classes that keep their name keep what was learned."""
        self.config = config
        names = {request_class.name for request_class in config.request_classes}
        self._by_class = {name: times for name, times in self._by_class.items() if name in names}

    def typical(self, request_class: RequestClass) -> float:
        """The usual response time of a class, seconds."""
        times = self._by_class.get(request_class.name)
        if times is None:
            times = Histogram(request_class.latency_objective / 64, 1.5, 14, 400)
            self._by_class[request_class.name] = times
        times = times.aged(self.clock.now, self.clock.renewal, MIN_SAMPLES_PER_CLASS)
        return times.mean(prior=request_class.latency_objective / 8, doubt=PRIOR_CLASS_SAMPLES)

    def expected(self, stats: EndpointStats, request: Request, load: float) -> float:
        """The expected response time of a request at an endpoint with that load, seconds."""
        usual = self.typical(request.request_class)
        return usual * self.endpoint_factor(stats, request) * self.load_factor(stats, load)

    def endpoint_factor(self, stats: EndpointStats, request: Request) -> float:
        """How many times the usual time this request takes at this endpoint, without load."""
        slowness = self.slowness(stats)
        return slowness * self.endpoints.relative_cost(stats) * self._key_factor(stats, request)

    def load_factor(self, stats: EndpointStats, load: float) -> float:
        """How many times as long a response takes as from a warm local endpoint without load."""
        warm = stats.slow_start_fraction(self.config, self.clock.now)
        return self.zone_factor(stats) * (1 + QUEUED_REQUEST_COST * load) / warm

    def slowness(self, stats: EndpointStats) -> float:
        """Response times of an endpoint against those of its like."""
        reported = self.gossip.pace(stats)
        if stats.pace is None:
            return reported
        kept = 0 if self.gossip.enabled else MIN_SAMPLES_PER_ENDPOINT
        times = stats.pace.aged(self.clock.now, self.clock.renewal, kept)
        return times.mean(prior=reported, doubt=PRIOR_ENDPOINT_SAMPLES)

    def zone_factor(self, stats: EndpointStats) -> float:
        """How many times as long responses from the endpoint's zone take as local ones."""
        zone = stats.entry.zone
        if not self.endpoints.local or zone == self.config.zone:
            return 1.0
        if (times := self._by_zone.get(zone)) is None:
            times = self._by_zone[zone] = Histogram(0.25, 1.4, 12, 400, self.clock.now)
        return times.aged(self.clock.now, self.clock.renewal).mean(prior=1.0, doubt=PRIOR_ZONE_SAMPLES)

    def _key_factor(self, stats: EndpointStats, request: Request) -> float:
        """The part of the time that is left where the request's key is known; learned against elsewhere."""
        if stats.entry.cell != request.preferred_cell:
            return 1.0
        now, renewal, doubt = self.clock.now, self.clock.renewal, MIN_SAMPLES_PER_CLASS / 2
        known = self._with_key.aged(now, renewal, MIN_SAMPLES_PER_CLASS)
        unknown = self._without_key.aged(now, renewal, MIN_SAMPLES_PER_CLASS)
        return min(
            1.0, known.mean(prior=KEY_AFFINITY_GAIN, doubt=doubt) / unknown.mean(prior=1.0, doubt=doubt)
        )

    def forget_zone(self, zone: str) -> None:
        """Forget how long responses from a zone take."""
        self._by_zone.pop(zone, None)

    def learn(self, attempt: Attempt, duration: float, unfinished: bool = False) -> None:
        """Take over the duration of an attempt; `unfinished`: it would have taken longer."""
        stats, request = attempt.endpoint, attempt.request
        usual, zone_factor = self.typical(request.request_class), self.zone_factor(stats)
        load_factor = self.load_factor(stats, attempt.load)
        key_factor = self._key_factor(stats, request)
        own_time = duration / (load_factor * self.endpoints.relative_cost(stats) * key_factor)
        if stats.service_time:
            self.load.note_response_time(attempt.load, own_time * load_factor / zone_factor / usual)
        # Of a slow endpoint, or a path that loses responses, only the quick responses are ever seen.
        if unfinished and (self.gossip.enabled or own_time / usual <= self.slowness(stats)):
            return
        if self.endpoints.local and stats.entry.zone != self.config.zone:
            # `zone_factor` has made the histogram.
            times = self._by_zone[stats.entry.zone]
            times.add(own_time * zone_factor / (usual * self.slowness(stats)))
        if unfinished:
            if stats.pace is not None:
                stats.pace.add(own_time / usual)
            return
        self._learn_response(attempt, duration, own_time, usual, key_factor)

    def _learn_response(
        self, attempt: Attempt, duration: float, own_time: float, usual: float, key_factor: float
    ) -> None:
        stats, request = attempt.endpoint, attempt.request
        if request.preferred_cell is not None:
            known = stats.entry.cell == request.preferred_cell
            times = self._with_key if known else self._without_key
            times.add(own_time * key_factor / (usual * self.slowness(stats)))
        if stats.pace is None:
            stats.pace = Histogram(0.25, 2.0, 7, 24, self.clock.now)
        stats.pace.add(own_time / usual)
        self._by_class[request.request_class.name].add(own_time)
        self.relative.add(duration / self.typical(request.request_class))
