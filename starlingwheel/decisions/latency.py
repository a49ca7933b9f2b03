"""Model of response times: the typical one of each request class, and the factors that lengthen it."""

from __future__ import annotations

from .clock import Clock
from .config import BalancerConfig, RequestClass
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats
from .estimators import QUEUED_REQUEST_COST, Histogram
from .gossip import Gossip
from .load import LoadTracker
from .model import Attempt, Request

# Numbers of samples that are kept however old they are.
MIN_SAMPLES_PER_CLASS = 32
MIN_SAMPLES_PER_ENDPOINT = 6
PRIOR_KEY_FACTOR = 0.6  # assumed fraction of the response time that remains where a key is known
# Numbers of samples that the priors count as.
PRIOR_CLASS_SAMPLES = 4
PRIOR_ENDPOINT_SAMPLES = 2
PRIOR_ZONE_SAMPLES = 8


class LatencyModel:
    """Owns the learned response times."""

    def __init__(self, clock: Clock, endpoints: EndpointSet, gossip: Gossip, load: LoadTracker) -> None:
        """Start with nothing learned."""
        self.clock, self.endpoints, self.gossip, self.load = clock, endpoints, gossip, load
        # Response times relative to the typical one of their class.
        self.relative_times = Histogram(0.25, 1.4, 16, 2000)
        self.times_by_class: dict[str, Histogram] = {}
        self._by_zone: dict[str, Histogram] = {}
        self._with_key = Histogram(0.1, 1.4, 14, 400, clock.now)
        self._without_key = Histogram(0.1, 1.4, 14, 400, clock.now)

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration; a class that keeps its name keeps what was learned."""
        self.config = config
        names = {request_class.name for request_class in config.request_classes}
        self.times_by_class = {name: times for name, times in self.times_by_class.items() if name in names}

    def typical(self, request_class: RequestClass) -> float:
        """Return the typical response time of a class, in seconds."""
        times = self.times_by_class.get(request_class.name)
        if times is None:
            times = Histogram(request_class.latency_objective / 64, 1.5, 14, 400)
            self.times_by_class[request_class.name] = times
        times = times.age(self.clock.now, self.clock.halving_interval, MIN_SAMPLES_PER_CLASS)
        return times.mean(prior=request_class.latency_objective / 8, prior_weight=PRIOR_CLASS_SAMPLES)

    def percentile(self, request_class: RequestClass, share: float) -> float:
        """Return the time in seconds within which a fraction `share` of responses to a class come.

        Without any response it is the typical time.
        """
        relative = self.relative_times.percentile(share) if self.relative_times.total else 1.0
        return relative * self.typical(request_class)

    def expected(self, stats: EndpointStats, request: Request, load: float) -> float:
        """Return the expected response time of a request at an endpoint with that load, in seconds."""
        typical = self.typical(request.request_class)
        return typical * self.endpoint_factor(stats, request) * self.load_factor(stats, load)

    def endpoint_factor(self, stats: EndpointStats, request: Request) -> float:
        """Return the response time of a request at an unloaded endpoint, relative to the typical one."""
        slowness = self.slowness(stats)
        return slowness * self.endpoints.relative_cost(stats) * self._key_factor(stats, request)

    def load_factor(self, stats: EndpointStats, load: float) -> float:
        """Return the response time under that load, relative to a warm, unloaded, local endpoint."""
        warm_fraction = stats.slow_start_fraction(self.config, self.clock.now)
        return self.zone_factor(stats) * (1 + QUEUED_REQUEST_COST * load) / warm_fraction

    def slowness(self, stats: EndpointStats) -> float:
        """Return the response times of an endpoint relative to those of comparable endpoints."""
        reported = self.gossip.relative_latency(stats)
        if stats.relative_times is None:
            return reported
        kept = 0 if self.gossip.enabled else MIN_SAMPLES_PER_ENDPOINT
        times = stats.relative_times.age(self.clock.now, self.clock.halving_interval, kept)
        return times.mean(prior=reported, prior_weight=PRIOR_ENDPOINT_SAMPLES)

    def zone_factor(self, stats: EndpointStats) -> float:
        """Return the response times of the endpoint's zone relative to local ones."""
        zone = stats.entry.zone
        if not self.endpoints.local or zone == self.config.zone:
            return 1.0
        if (times := self._by_zone.get(zone)) is None:
            times = self._by_zone[zone] = Histogram(0.25, 1.4, 12, 400, self.clock.now)
        return times.age(self.clock.now, self.clock.halving_interval).mean(
            prior=1.0, prior_weight=PRIOR_ZONE_SAMPLES
        )

    def _key_factor(self, stats: EndpointStats, request: Request) -> float:
        """Return the fraction of the response time that remains where the request's key is known.

        The fraction is learned by comparing the preferred cell with the other cells.
        """
        if stats.entry.cell != request.preferred_cell:
            return 1.0
        now, halving_interval, prior_weight = (
            self.clock.now,
            self.clock.halving_interval,
            MIN_SAMPLES_PER_CLASS / 2,
        )
        known = self._with_key.age(now, halving_interval, MIN_SAMPLES_PER_CLASS)
        unknown = self._without_key.age(now, halving_interval, MIN_SAMPLES_PER_CLASS)
        return min(
            1.0,
            known.mean(prior=PRIOR_KEY_FACTOR, prior_weight=prior_weight)
            / unknown.mean(prior=1.0, prior_weight=prior_weight),
        )

    def forget_zone(self, zone: str) -> None:
        """Discard the learned response times of a zone."""
        self._by_zone.pop(zone, None)

    def learn(self, attempt: Attempt, duration: float, unfinished: bool = False) -> None:
        """Learn from the duration of an attempt; `unfinished`: the duration is only a lower bound."""
        stats, request = attempt.endpoint, attempt.request
        typical, zone_factor = self.typical(request.request_class), self.zone_factor(stats)
        load_factor = self.load_factor(stats, attempt.load)
        key_factor = self._key_factor(stats, request)
        unloaded_time = duration / (load_factor * self.endpoints.relative_cost(stats) * key_factor)
        if stats.service_time:
            self.load.note_response_time(attempt.load, unloaded_time * load_factor / zone_factor / typical)
        # Only the quick responses of a slow endpoint, or of a path that loses responses, are ever seen. An
        # unfinished attempt therefore counts too if it shows that the endpoint is slower than estimated. With
        # gossip it does not count.
        if unfinished and (self.gossip.enabled or unloaded_time / typical <= self.slowness(stats)):
            return
        if self.endpoints.local and stats.entry.zone != self.config.zone:
            # The call of `zone_factor` above has created the histogram.
            times = self._by_zone[stats.entry.zone]
            times.add(unloaded_time * zone_factor / (typical * self.slowness(stats)))
        if unfinished:
            if stats.relative_times is not None:
                stats.relative_times.add(unloaded_time / typical)
            return
        self._learn_response(attempt, duration, unloaded_time, typical, key_factor)

    def _learn_response(
        self, attempt: Attempt, duration: float, unloaded_time: float, typical: float, key_factor: float
    ) -> None:
        stats, request = attempt.endpoint, attempt.request
        if request.preferred_cell is not None:
            known = stats.entry.cell == request.preferred_cell
            times = self._with_key if known else self._without_key
            times.add(unloaded_time * key_factor / (typical * self.slowness(stats)))
        if stats.relative_times is None:
            stats.relative_times = Histogram(0.25, 2.0, 7, 24, self.clock.now)
        stats.relative_times.add(unloaded_time / typical)
        self.times_by_class[request.request_class.name].add(unloaded_time)
        self.relative_times.add(duration / self.typical(request.request_class))
