"""Load polling: health checks of a few endpoints before a request, where the gain is worth the price."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from .clock import Clock
from .commands import Command, DecisionCoroutine, StartHealthCheck, Wait
from .config import BalancerConfig, RequestClass
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats
from .events import CLIENT_DISCONNECTED, ClientDisconnected, HealthCheckEnded
from .gossip import BILLED_MESSAGE_SIZE, MAX_MESSAGE_SIZE, Gossip
from .latency import LatencyModel
from .load import HEALTH_CHECK_GAIN, LoadTracker
from .model import AttemptOutcome, Request
from .selection import EndpointSelector
from .slow_start import SlowStart

MAX_CHECKS = 3  # health checks before one request
MAX_CHECKS_IN_SUBSET = 1  # health checks before one request where endpoints are taken from a subset
CHECKS_REPLACED_BY_GOSSIP = 2  # health checks per request that gossip has to be cheaper than
# Time without an answer after which another endpoint is checked, as a fraction of the shortest objective.
CHECK_INTERVAL_FRACTION = 1 / 32
MAX_OBJECTIVE_FRACTION = 1 / 4  # fraction of the objective that polling may take


def gossip_is_cheaper(config: BalancerConfig, load: LoadTracker) -> bool:
    """Return whether sidecars exchange in-flight counts, because gossip costs less than health checks.

    Where endpoints are not polled, gossip has to cost less than the gain of knowing their load.
    """
    classes = config.request_classes
    gossip_cost = 2 * BILLED_MESSAGE_SIZE * (config.sidecars - 1) / MAX_MESSAGE_SIZE * config.gossip_price
    checks_per_request = sum(
        min(CHECKS_REPLACED_BY_GOSSIP, load.affordable_health_checks(request_class))
        for request_class in classes
    ) / len(classes)
    polling_cost = config.health_check_price * checks_per_request
    polls = config.health_checks_allowed and not config.load_reported_in_responses
    return (
        config.gossip_allowed
        and config.sidecars > 1
        and gossip_cost <= (polling_cost if polls else HEALTH_CHECK_GAIN)
    )


@dataclass(slots=True)
class Poll:
    """The health checks before one request: the endpoints checked, and those that answered and are ready."""

    request: Request
    objective: float
    priority: float
    max_checks: int
    until: float
    checked: list[EndpointStats] = field(default_factory=list)
    answered: list[EndpointStats] = field(default_factory=list)
    pending: int = 0


class LoadPolling:
    """Chooses an endpoint by asking for its load; its only state is the configuration."""

    def __init__(
        self,
        clock: Clock,
        endpoints: EndpointSet,
        gossip: Gossip,
        load: LoadTracker,
        latency: LatencyModel,
        slow_start: SlowStart,
        selector: EndpointSelector,
    ) -> None:
        """Take the components; `selector` draws the endpoints to check."""
        self.clock, self.endpoints, self.gossip = clock, endpoints, gossip
        self.load, self.latency, self.slow_start = load, latency, slow_start
        self.selector = selector

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config = config
        self.enabled = config.health_checks_allowed and not self.gossip.enabled

    def checks_for(self, request_class: RequestClass) -> int:
        """Return the maximum number of endpoints to check before a request of that class."""
        # Where responses carry reports, checks add information only about endpoints that serve one request
        # at a time.
        serves_singly = self.load.concurrency < 2 and self.load.concurrency_is_learned()
        if not self.enabled or not (serves_singly or not self.config.load_reported_in_responses):
            return 0
        limit = MAX_CHECKS_IN_SUBSET if self.endpoints.subset_size else MAX_CHECKS
        return min(limit, self.load.affordable_health_checks(request_class, self.load.mean_reported_load()))

    def select_endpoint(
        self, request: Request, objective: float, priority: float, max_checks: int, until: float
    ) -> Generator[Command, Any, EndpointStats | ClientDisconnected | None]:
        """Check a few drawn endpoints, one at a time, and return the first free one, else the best.

        Return None if no endpoint is acceptable, `CLIENT_DISCONNECTED` if the client has left meanwhile.
        """
        until = min(until, self.clock.now + objective * priority * MAX_OBJECTIVE_FRACTION)
        poll = Poll(request, objective, priority, max_checks, until)
        # In a congested fleet no endpoint is free. An endpoint below the mean load then counts as free.
        free_threshold = max(1.0, self.load.mean_reported_load())
        while self.clock.now < until and not any(
            self.load.of(stats) < free_threshold for stats in poll.answered
        ):
            known_free = yield from self._check_next(poll)
            if known_free is not None:
                return known_free
            if not poll.pending:
                break
            event = yield from self._wait(poll)
            if event is CLIENT_DISCONNECTED:
                return CLIENT_DISCONNECTED
        return self._best(poll)

    def _check_next(self, poll: Poll) -> Generator[Command, Any, EndpointStats | None]:
        """Check one more endpoint, unless an answer is pending.

        Return the endpoint without a check if it is known to be free.
        """
        if poll.pending or len(poll.checked) >= poll.max_checks:
            return None
        stats = self.selector.select_endpoint(
            poll.request, [], poll.objective, poll.priority, poll.checked, require_fit=False
        )
        if stats is None:
            return None
        recent = self.clock.now - self.clock.shortest_objective / 2
        if stats.load_sample is not None and stats.load_sample.at > recent and self.load.of(stats) < 1:
            return stats
        poll.checked.append(stats)
        poll.pending += 1
        yield StartHealthCheck(stats)
        return None

    def _wait(self, poll: Poll) -> DecisionCoroutine:
        """Wait for an answer, or until the next check is due because the last one is not answered."""
        next_check = self.clock.now + self.clock.shortest_objective * CHECK_INTERVAL_FRACTION
        all_checked = len(poll.checked) == poll.max_checks
        event = yield Wait(poll.until if all_checked else min(poll.until, next_check))
        if event is CLIENT_DISCONNECTED:
            return event
        yield from self.gossip.flush()
        poll.pending = 0 if event is None else poll.pending - 1
        answered = isinstance(event, HealthCheckEnded) and event.outcome is AttemptOutcome.SUCCESS
        if answered and self.endpoints.is_ready(event.endpoint):
            poll.answered.append(event.endpoint)
        return event

    def _best(self, poll: Poll) -> EndpointStats | None:
        request, objective, priority = poll.request, poll.objective, poll.priority
        # Many sidecars may have checked an endpoint whose slow-start budget is enough for one request.
        answered = [stats for stats in poll.answered if self.slow_start.within_budget(stats)]
        if not answered:
            return self.selector.select_endpoint(request, [], objective, priority, poll.checked)
        best = min(answered, key=lambda stats: self.latency.expected(stats, request, self.load.of(stats)))
        load = self.load.of(best)
        acceptable = objective * self.selector.latency_fraction * priority
        if load < self.load.queue_limit or self.latency.expected(best, request, load) < acceptable:
            return best
        if self.endpoints.subset_size:
            return self.selector.select_endpoint(request, [], objective, priority, poll.checked)
        return None
