"""Endpoint selection: a weighted draw among nearby endpoints that are expected to answer in time."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from math import inf, log
from typing import NamedTuple

from .clock import Clock
from .config import BalancerConfig, DeduplicationScope
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats
from .gossip import Gossip
from .latency import LatencyModel
from .lease import EndpointLease
from .load import LoadTracker
from .model import Attempt, Endpoint, Request
from .outlier_detection import PROBATION_FRACTION, OutlierDetector
from .retry_policy import RetryPolicy
from .slow_start import SlowStart

# Fraction of the objective that the expected response time may take, at full priority.
ACCEPTABLE_LATENCY_FRACTION = 0.42
LIVE_WEIGHT_LATENCY_FACTOR = 2.0  # multiple of the fraction above if only the endpoint list reports load
MAX_CANDIDATES = 12  # size of the sample taken in the local zone, and of that in the other zones
IDLE_TIMEOUT_FRACTION = 0.75  # fraction of the idle timeout in which an idle connection counts as open


class Candidate(NamedTuple):
    """An eligible endpoint, its weight in the draw and the expected response time in seconds."""

    endpoint: EndpointStats
    weight: float
    expected: float


@dataclass(slots=True)
class Search:
    """The criteria of one selection. Times are in seconds."""

    request: Request
    excluded: set[EndpointStats]
    scope: DeduplicationScope
    scope_endpoint: Endpoint | None
    require_fit: bool
    max_expected: float
    typical: float
    cross_zone_threshold: float = 0.0  # expected time up to which other zones are not considered
    open_connection_threshold: float = 0.0  # expected time up to which an open connection is preferred
    excluded_zones: Collection[str] = ()


class EndpointSelector:
    """Selects endpoints; owns the zone shares, and takes all other state from the other components."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        lease: EndpointLease,
        endpoints: EndpointSet,
        gossip: Gossip,
        load: LoadTracker,
        latency: LatencyModel,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        retry_policy: RetryPolicy,
    ) -> None:
        """Take the components; `rng` makes the draws."""
        self.clock, self.rng, self.lease = clock, rng, lease
        self.endpoints, self.gossip, self.load, self.latency = endpoints, gossip, load, latency
        self.slow_start, self.outliers, self.retry_policy = slow_start, outliers, retry_policy
        self.zone_shares: dict[str, float] = {}  # fraction of draws that a zone takes part in; 1 if missing

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config = config
        self._mean_weight = config.mean_priority_weight()
        live_factor = LIVE_WEIGHT_LATENCY_FACTOR if config.weights_are_live else 1
        self.latency_fraction = ACCEPTABLE_LATENCY_FRACTION * live_factor

    def select_endpoint(
        self,
        request: Request,
        attempts: Sequence[Attempt],
        objective: float,
        priority: float,
        excluded: Sequence[EndpointStats] = (),
        require_fit: bool = True,
    ) -> EndpointStats | None:
        """Return the endpoint for the next attempt; None if none is available or the lease has expired.

        `objective`: in seconds since the arrival, `priority`: 0 to 1, both from the request's `Objective`.
        `require_fit`: do not choose an endpoint that is too slow or too full.
        """
        if not self.lease.allows(self.clock.now):
            return None
        if priority == 0 and self.load.is_overloaded():
            return None  # a request without priority takes no capacity from others
        search = self._search(request, attempts, objective, priority, excluded, require_fit)
        candidates = self._candidates(search)
        if not candidates:
            self.outliers.earn_probation_budget()
            return None
        candidates = self._prefer_cell(candidates, search)
        candidates = self._prefer_open_connections(candidates, search)
        chosen = self.rng.choices(
            [candidate.endpoint for candidate in candidates], [candidate.weight for candidate in candidates]
        )
        return chosen[0]

    def _search(
        self,
        request: Request,
        attempts: Sequence[Attempt],
        objective: float,
        priority: float,
        excluded: Sequence[EndpointStats],
        require_fit: bool,
    ) -> Search:
        scope, scope_endpoint = self.retry_policy.scope(request, attempts)
        remaining = objective - (self.clock.now - request.arrived_at)
        search = Search(
            request=request,
            excluded={*excluded, *(attempt.endpoint for attempt in attempts)},
            scope=scope,
            scope_endpoint=scope_endpoint,
            require_fit=require_fit,
            max_expected=remaining * self.latency_fraction * priority,
            typical=self.latency.typical(request.request_class),
        )
        relative_weight = request.request_class.priority_weight / self._mean_weight
        search.cross_zone_threshold = self._price_threshold(
            objective, self.config.cross_zone_price, relative_weight
        )
        search.open_connection_threshold = self._price_threshold(
            objective, self.config.connection_setup_price, relative_weight
        )
        self.endpoints.refresh()
        if self.endpoints.local and self.endpoints.remote:
            # Other zones are considered only if their responses are expected earlier than local ones.
            nearest = min(map(self.latency.zone_factor, self.endpoints.remote_zones))
            search.cross_zone_threshold = max(search.cross_zone_threshold, search.typical * nearest)
        self.gossip.forget_old_counts()
        search.excluded_zones = {
            zone for zone, share in self.zone_shares.items() if self.rng.random() >= share
        }
        return search

    @staticmethod
    def _price_threshold(objective: float, price: float, relative_weight: float) -> float:
        """Return the expected response time in seconds up to which paying the price is not worthwhile."""
        return objective / -log(min(max(price / relative_weight, 1e-9), 0.5))

    def _candidates(self, search: Search) -> list[Candidate]:
        """Return the local candidates, and the remote ones unless some local candidate is fast enough."""
        candidates: list[Candidate] = []
        cell = search.request.preferred_cell
        for group in (self.endpoints.local, self.endpoints.remote):
            candidates += self._candidates_of(group, search)
            if group is not self.endpoints.local:
                continue
            near = [
                candidate for candidate in candidates if candidate.expected <= search.cross_zone_threshold
            ]
            if near and (cell is None or any(candidate.endpoint.entry.cell == cell for candidate in near)):
                return near
        return candidates

    def _candidates_of(self, group: list[EndpointStats], search: Search) -> list[Candidate]:
        """Return the candidates among the local or the remote endpoints.

        Their weights are scaled up to stand for the endpoints that a sample or a subset leaves out.
        """
        allowed = self._allowed_endpoints(group, search)
        subset_size = self.endpoints.subset_size
        sampled = self._sample(allowed, search)
        candidates: list[Candidate] = []
        considered = 0
        for stats in sampled:
            if subset_size and (considered == subset_size or stats.rank >= self.endpoints.subset_width):
                break
            if stats in search.excluded or not self.outliers.admits(stats, search.request):
                continue
            if not self.slow_start.within_budget(stats):
                continue
            considered += 1
            if (candidate := self._evaluate(stats, search)) is not None:
                candidates.append(candidate)
        if not candidates:
            return candidates
        scale = len(allowed) / (len(candidates) if subset_size else len(sampled))
        if scale == 1:
            return candidates
        return [
            Candidate(candidate.endpoint, candidate.weight * scale, candidate.expected)
            for candidate in candidates
        ]

    def _allowed_endpoints(self, group: list[EndpointStats], search: Search) -> list[EndpointStats]:
        """Return the endpoints of a group that zone shares and the deduplication scope allow."""
        if search.excluded_zones:
            group = [stats for stats in group if stats.entry.zone not in search.excluded_zones]
        if search.scope is DeduplicationScope.ALL:
            return group
        scope = search.scope.value
        wanted = getattr(search.scope_endpoint, scope)
        return [stats for stats in group if getattr(stats.entry, scope) == wanted]

    def _sample(self, allowed: list[EndpointStats], search: Search) -> list[EndpointStats]:
        """Return a sample of the allowed endpoints, which includes all those of the preferred cell."""
        if self.endpoints.subset_size or len(allowed) <= MAX_CANDIDATES:
            return allowed
        sample = self.rng.sample(allowed, MAX_CANDIDATES)
        cell = search.request.preferred_cell
        if cell is None:
            return sample
        return list(dict.fromkeys([stats for stats in allowed if stats.entry.cell == cell] + sample))

    def _evaluate(self, stats: EndpointStats, search: Search) -> Candidate | None:
        """Return an endpoint as a candidate with its weight; None if it is too slow or too full."""
        load = self.load.of(stats)
        # A sidecar that rejects all requests gets no new information. The limits therefore do not apply while
        # none of its own attempts is in flight, unless the endpoint list itself reports load.
        informed = self.load.in_flight or self.config.weights_are_live
        strict = load >= 1 and informed and search.require_fit
        relative_cost = self.endpoints.relative_cost(stats)
        fits = load < self.load.queue_limit * max(1.0, 1 / relative_cost) ** 0.5
        factor = self.latency.endpoint_factor(stats, search.request)
        expected = search.typical * factor * self.latency.load_factor(stats, load)
        fits = fits and expected <= search.max_expected
        if strict and not fits:
            return None
        # An endpoint that is slow, or that loses only the responses to this sidecar, still gets a small part
        # of the attempts while other endpoints fit.
        trial_factor = 1 if fits else PROBATION_FRACTION
        warm_fraction = stats.slow_start_fraction(self.config, self.clock.now)
        weight = warm_fraction / ((1 + load * self.load.concurrency) * factor) * trial_factor
        return Candidate(stats, weight, expected)

    def _prefer_cell(self, candidates: list[Candidate], search: Search) -> list[Candidate]:
        """Return the candidates in the key's cell, unless a popular key fills it and others are faster."""
        cell = search.request.preferred_cell
        in_cell = [candidate for candidate in candidates if candidate.endpoint.entry.cell == cell]
        if not in_cell:
            return candidates
        others = [candidate for candidate in candidates if candidate.endpoint.entry.cell != cell]
        near = [
            candidate
            for candidate in others
            if candidate.endpoint.entry.zone == self.config.zone
            and candidate.expected <= search.cross_zone_threshold
        ]
        others = near or others
        mean_of_others = sum(candidate.expected for candidate in others) / len(others) if others else inf
        return [candidate for candidate in in_cell if candidate.expected <= mean_of_others] or others

    def _prefer_open_connections(self, candidates: list[Candidate], search: Search) -> list[Candidate]:
        if not self.config.connection_setup_price or self.endpoints.subset_size:
            return candidates
        preferred = [
            candidate
            for candidate in candidates
            if self._has_open_connection(candidate.endpoint)
            and candidate.expected <= search.open_connection_threshold
        ]
        return preferred or candidates

    def _has_open_connection(self, stats: EndpointStats) -> bool:
        oldest = self.clock.now - IDLE_TIMEOUT_FRACTION * self.config.idle_timeout
        return bool(stats.idle_connections) and stats.idle_connections[-1] > oldest
