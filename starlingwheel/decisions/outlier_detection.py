"""Outlier detection: failing endpoints are ejected, and return through a probation."""

from __future__ import annotations

import random
from math import inf

from .clock import HALF_LIFE, Clock
from .config import BalancerConfig, RetrySafety
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats
from .gossip import Gossip
from .latency import LatencyModel
from .model import Attempt, Request

# An endpoint is ejected after a run of failures whose probability, at the failure rate of all endpoints, is
# at most this value.
CHANCE_THRESHOLD = 0.01
PROBATION_END = 4  # limit of concurrent attempts at which a success ends the probation
PROBATION_FRACTION = 1 / 8  # fraction of all attempts that may fail at endpoints on probation
# With gossip, up to this number of sidecars use the whole fraction each; of n times as many, each uses 1/n.
SIDECARS_PER_PROBATION = 16
UNRESPONSIVE_FACTOR = 3.0  # multiple of the expected response time after which an endpoint is unresponsive


class OutlierDetector:
    """Owns the state of ejection, probation and suspicion."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        endpoints: EndpointSet,
        latency: LatencyModel,
        gossip: Gossip,
    ) -> None:
        """Start without any outcomes."""
        self.clock, self.rng, self.endpoints = clock, rng, endpoints
        self.latency, self.gossip = latency, gossip
        self.suspects: dict[EndpointStats, None] = {}
        self._probation_budget = 1.0  # attempts that may start now at endpoints on probation
        self._recent_outcomes, self._recent_outcomes_at = 0.0, clock.now  # decaying count
        self._failures, self._outcomes = 0.0, 1.0

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config = config
        shared = max(1.0, config.sidecars / SIDECARS_PER_PROBATION)
        # Where sidecars exchange gossip, all of them learn the outcome of one attempt on probation.
        self._probation_rate = PROBATION_FRACTION / shared if self.gossip.enabled else PROBATION_FRACTION

    # Eligibility of endpoints.

    def admits(self, stats: EndpointStats, request: Request) -> bool:
        """Return whether the endpoint's failures allow a request to be sent to it now."""
        if stats.connect_failing and self._has_idle_connection(stats):
            # The endpoint accepts no new connections but still serves those that are open.
            return True
        non_idempotent = request.request_class.retry_safety is RetrySafety.NON_IDEMPOTENT
        if self.clock.now < stats.ejected_until:
            return False
        if stats in self.suspects and non_idempotent and self.is_suspected(stats):
            return False
        # An endpoint that accepts requests and does not answer never produces an outcome to count.
        if stats.in_flight and self._is_unresponsive(stats):
            return False
        if stats.probation_limit < inf:
            # The budget applies until the first attempt on probation has succeeded.
            budget_spent = stats.probation_limit == 1 and self._probation_budget < 0
            return not budget_spent and len(stats.in_flight) < stats.probation_limit and not non_idempotent
        return True

    def _has_idle_connection(self, stats: EndpointStats) -> bool:
        oldest = self.clock.now - self.config.idle_timeout
        stats.idle_connections = [since for since in stats.idle_connections if since > oldest]
        return bool(stats.idle_connections)

    def _is_unresponsive(self, stats: EndpointStats) -> bool:
        oldest = next(iter(stats.in_flight))
        return self.unresponsive_time(oldest) > self.clock.shortest_objective / 4

    def unresponsive_time(self, attempt: Attempt) -> float:
        """Return for how many seconds a response of the endpoint has been overdue; negative if it is not.

        Any response of the endpoint after the start of the attempt counts.
        """
        stats = attempt.endpoint
        expected = self.latency.typical(attempt.request.request_class) * (1 + attempt.load)
        # Attempts that an earlier process left unanswered do not count against the present one.
        since = max(attempt.started_at, stats.last_response_at, stats.started_at or -inf)
        return self.clock.now - since - UNRESPONSIVE_FACTOR * expected

    # Budget of attempts on probation.

    def note_attempt(self, stats: EndpointStats) -> None:
        """Record that an attempt has started at an endpoint."""
        self.earn_probation_budget()
        self._probation_budget -= stats.probation_limit < inf

    def earn_probation_budget(self) -> None:
        """Add a request's share to the budget of attempts on probation.

        A request that finds no endpoint adds its share too, since otherwise nothing would refill the budget
        while all endpoints are ejected.
        """
        self._probation_budget = min(1.0, self._probation_budget + self._probation_rate)

    # Suspicion: a single failure, which only matters for requests that cannot be retried after it.

    def suspect(self, stats: EndpointStats) -> None:
        """Suspect an endpoint at which an attempt of this sidecar or of a peer has failed."""
        for expired in [suspect for suspect in self.suspects if not self.is_suspected(suspect)]:
            del self.suspects[expired]
        # A fault common to all endpoints must not leave non-idempotent requests without an endpoint.
        if 2 * len(self.suspects) < self.endpoints.ready_count():
            stats.suspected_at = self.clock.now
            self.suspects[stats] = None

    def is_suspected(self, stats: EndpointStats) -> bool:
        """Return whether an attempt has failed at the endpoint recently."""
        return self.clock.now < stats.suspected_at + HALF_LIFE * self.clock.shortest_objective

    def announce_failure(self, stats: EndpointStats, connect_failed: bool) -> None:
        """Suspect an endpoint and tell the peers, unless failures are common or this one is known already."""
        # Faults that all endpoints share must not keep non-idempotent requests away from half of them.
        failure_rate = max(0.0, self._failures - stats.consecutive_failures) / self._outcomes
        ready = self.endpoints.ready_count()
        rare = 2 * self._recent_outcomes * failure_rate**stats.consecutive_failures < ready
        known = connect_failed or self.clock.now < stats.suspected_at + self.clock.shortest_objective
        if self.config.gossip_allowed and rare and not known:
            self.gossip.note_failure(stats)
            self.suspect(stats)

    # Ejection.

    def note_outcome(
        self,
        stats: EndpointStats,
        failed: bool,
        unresponsive: bool = False,
        reported: bool = False,
    ) -> None:
        """Record the outcome of an attempt or a health check.

        `reported`: the endpoint itself reports many failures.
        """
        self._count_outcome(failed)
        if not failed:
            self._note_success(stats)
            return
        stats.consecutive_failures += 1
        # A fault that is common to all endpoints, or is this sidecar's own, ejects none of them.
        failure_rate = CHANCE_THRESHOLD if stats.connect_failing else self._failures / self._outcomes
        probability = failure_rate**stats.consecutive_failures
        # Where one endpoint gets many attempts, runs of failures occur by chance.
        probability *= max(1.0, self._recent_outcomes / (HALF_LIFE * self.endpoints.ready_count() + 1))
        if probability <= CHANCE_THRESHOLD or stats.probation_limit < inf or reported:
            self.eject(stats, unresponsive)

    def _count_outcome(self, failed: bool) -> None:
        self._recent_outcomes = self._recent_outcomes * self.clock.decay(self._recent_outcomes_at) + 1
        self._recent_outcomes_at = self.clock.now
        self._failures, self._outcomes = self._failures + failed, self._outcomes + 1
        if self._outcomes > max(8 * self.endpoints.ready_count(), self._recent_outcomes, 8):
            self._failures, self._outcomes = self._failures / 2, self._outcomes / 2

    def _note_success(self, stats: EndpointStats) -> None:
        stats.consecutive_failures = 0
        if stats.probation_limit < inf:
            self._probation_budget += 1
            limit = stats.probation_limit
            stats.probation_limit = limit * 2 if limit < PROBATION_END else inf
        stats.connect_failing = stats.connect_failing and stats.probation_limit < inf

    def eject(self, stats: EndpointStats, unresponsive: bool) -> None:
        """Send nothing to an endpoint for a time that doubles with each failed probation."""
        shortest = self.clock.shortest_objective
        on_probation = stats.probation_limit < inf
        stats.ejection_time = min(2 * stats.ejection_time, 2 * shortest) if on_probation else shortest / 2
        # The time is randomised, so that sidecars that learned of the failure together do not all retry at
        # once.
        stats.ejected_until = self.clock.now + stats.ejection_time * (0.5 + self.rng.random())
        stats.probation_limit, stats.unresponsive = 1, unresponsive

    def note_response_elsewhere(self, stats: EndpointStats) -> None:
        """Record that a peer has received a response from an endpoint.

        The response ends the ejection of an unresponsive endpoint, so that not every sidecar has to probe it.
        """
        stats.last_response_at = self.clock.now
        if stats.unresponsive and not stats.connect_failing:
            stats.consecutive_failures, stats.ejected_until = 0, -inf
            stats.probation_limit, stats.unresponsive = inf, False

    def reset_zone(self, zone: str) -> None:
        """Discard what was learned of a zone's endpoints while the zone failed."""
        for stats in self.endpoints.by_id.values():
            if stats.entry.zone == zone:
                stats.relative_times, stats.consecutive_failures, stats.ejection_time = None, 0, 0.0
                stats.ejected_until, stats.probation_limit = -inf, inf
