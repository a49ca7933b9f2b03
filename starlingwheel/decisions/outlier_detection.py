"""Outlier detection: endpoints that fail are ejected, and return by a probation."""

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

CHANCE_THRESHOLD = 0.01  # a row of failures less likely than this, at the fleet's rate, ejects
PROBATION_END = 4  # attempts at a time with which the probation ends
PROBATION_FRACTION = 1 / 8  # part of all attempts that may fail at endpoints on probation
SIDECARS_PER_PROBATION = 16  # sidecars for which that part is meant, where all see how attempts end
SILENCE_FACTOR = 3.0  # expected response times without a response after which an endpoint is silent


class OutlierDetector:
    """Owns what ejection, probation and suspicion go by."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        endpoints: EndpointSet,
        latency: LatencyModel,
        gossip: Gossip,
    ) -> None:
        """No outcome is known yet."""
        self.clock, self.rng, self.endpoints = clock, rng, endpoints
        self.latency, self.gossip = latency, gossip
        self.suspects: dict[EndpointStats, None] = {}
        self._probation_budget = 1.0  # attempts at endpoints on probation that may start now
        self._recent, self._recent_at = 0.0, clock.now  # outcomes, decaying
        self._failures, self._outcomes = 0.0, 1.0

    def reload(self, config: BalancerConfig) -> None:
        """Take over a configuration."""
        self.config = config
        shared = max(1.0, config.sidecars / SIDECARS_PER_PROBATION)
        # Where sidecars tell each other, all see how one attempt on probation ends.
        self._probation_rate = PROBATION_FRACTION / shared if self.gossip.enabled else PROBATION_FRACTION

    # Whether an endpoint may be chosen.

    def admits(self, stats: EndpointStats, request: Request) -> bool:
        """The request may be sent to that endpoint now, as far as failures go."""
        if stats.connect_failing and self._has_idle_connection(stats):
            # It accepts no new connections and still serves those that it has.
            return True
        non_idempotent = request.request_class.retry_safety is RetrySafety.NON_IDEMPOTENT
        if self.clock.now < stats.ejected_until:
            return False
        if stats in self.suspects and non_idempotent and self.is_suspected(stats):
            return False
        # An endpoint that accepts requests and does not answer never has an outcome.
        if stats.in_flight and self._oldest_is_silent(stats):
            return False
        if stats.probation_limit < inf:
            # One attempt at a time is free of the budget only once it has gone well.
            spent = stats.probation_limit == 1 and self._probation_budget < 0
            return not spent and len(stats.in_flight) < stats.probation_limit and not non_idempotent
        return True

    def _has_idle_connection(self, stats: EndpointStats) -> bool:
        oldest = self.clock.now - self.config.idle_timeout
        stats.idle_connections = [since for since in stats.idle_connections if since > oldest]
        return bool(stats.idle_connections)

    def _oldest_is_silent(self, stats: EndpointStats) -> bool:
        oldest = next(iter(stats.in_flight))
        return self.silence(oldest) > self.clock.shortest_objective / 4

    def silence(self, attempt: Attempt) -> float:
        """Seconds for which its endpoint has answered nothing, beyond what it should have taken."""
        stats = attempt.endpoint
        expected = self.latency.typical(attempt.request.request_class) * (1 + attempt.load)
        # What a former process at that address left unanswered is not held against this one.
        since = max(attempt.started_at, stats.last_response_at, stats.started_at or -inf)
        return self.clock.now - since - SILENCE_FACTOR * expected

    # The budget of attempts on probation.

    def note_attempt(self, stats: EndpointStats) -> None:
        """An attempt has started there."""
        self.earn_probation()
        self._probation_budget -= stats.probation_limit < inf

    def earn_probation(self) -> None:
        """Each request, also one that finds no endpoint, earns a part of an attempt on probation.

        Otherwise nothing would be sent that earns one while all endpoints are ejected.
        """
        self._probation_budget = min(1.0, self._probation_budget + self._probation_rate)

    # Suspicion: one failure, which only concerns requests that can't be sent again after it.

    def suspect(self, stats: EndpointStats) -> None:
        """An attempt has failed there, here or at a peer."""
        for old in [one for one in self.suspects if not self.is_suspected(one)]:
            del self.suspects[old]
        # A fault that is common to all must not leave non-idempotent requests without an endpoint.
        if 2 * len(self.suspects) < self.endpoints.ready_count():
            stats.suspected_at = self.clock.now
            self.suspects[stats] = None

    def is_suspected(self, stats: EndpointStats) -> bool:
        """An attempt has failed there lately."""
        return self.clock.now < stats.suspected_at + HALF_LIFE * self.clock.shortest_objective

    def announce_failure(self, stats: EndpointStats, connect_failed: bool) -> None:
        """Suspect an endpoint and tell the peers, unless all fail alike or it is known."""
        # Faults that any endpoint has alike must not keep non-idempotent requests from half of them.
        elsewhere = max(0.0, self._failures - stats.consecutive_failures) / self._outcomes
        ready = self.endpoints.ready_count()
        rare = 2 * self._recent * elsewhere**stats.consecutive_failures < ready
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
        """An attempt or a health check has ended. `reported`: the endpoint itself reports many failures."""
        self._count_outcome(failed)
        if not failed:
            self._note_success(stats)
            return
        stats.consecutive_failures += 1
        # A fault that is common to all, or our own, ejects nobody.
        common = CHANCE_THRESHOLD if stats.connect_failing else self._failures / self._outcomes
        probability = common**stats.consecutive_failures
        # Rows of failures are bound to come up where one endpoint gets many attempts.
        probability *= max(1.0, self._recent / (HALF_LIFE * self.endpoints.ready_count() + 1))
        if probability <= CHANCE_THRESHOLD or stats.probation_limit < inf or reported:
            self.eject(stats, unresponsive)

    def _count_outcome(self, failed: bool) -> None:
        self._recent = self._recent * self.clock.decay(self._recent_at) + 1
        self._recent_at = self.clock.now
        self._failures, self._outcomes = self._failures + failed, self._outcomes + 1
        if self._outcomes > max(8 * self.endpoints.ready_count(), self._recent, 8):
            self._failures, self._outcomes = self._failures / 2, self._outcomes / 2

    def _note_success(self, stats: EndpointStats) -> None:
        stats.consecutive_failures = 0
        if stats.probation_limit < inf:
            self._probation_budget += 1
            limit = stats.probation_limit
            stats.probation_limit = limit * 2 if limit < PROBATION_END else inf
        stats.connect_failing = stats.connect_failing and stats.probation_limit < inf

    def eject(self, stats: EndpointStats, unresponsive: bool) -> None:
        """Send nothing there for a while, which doubles with each failed probation."""
        shortest = self.clock.shortest_objective
        on_probation = stats.probation_limit < inf
        stats.ejection_time = min(2 * stats.ejection_time, 2 * shortest) if on_probation else shortest / 2
        # Sidecars that heard of it together must not all try it again in the same moment.
        stats.ejected_until = self.clock.now + stats.ejection_time * (0.5 + self.rng.random())
        stats.probation_limit, stats.unresponsive = 1, unresponsive

    def note_response_elsewhere(self, stats: EndpointStats) -> None:
        """A peer has had a response there: a silent endpoint is back, which need not be found out by each."""
        stats.last_response_at = self.clock.now
        if stats.unresponsive and not stats.connect_failing:
            stats.consecutive_failures, stats.ejected_until = 0, -inf
            stats.probation_limit, stats.unresponsive = inf, False

    def reset_zone(self, zone: str) -> None:
        """Forget what was learned of a zone's endpoints while it failed."""
        for stats in self.endpoints.by_id.values():
            if stats.entry.zone == zone:
                stats.pace, stats.consecutive_failures, stats.ejection_time = None, 0, 0.0
                stats.ejected_until, stats.probation_limit = -inf, inf
