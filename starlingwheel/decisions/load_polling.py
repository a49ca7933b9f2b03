"""Load polling: health checks of the first few endpoints of a plan, where the gain is worth their price."""

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

MAX_CHECKS = 3  # before one request
MAX_CHECKS_OF_SUBSET = 1
CHECKS_COMPARED = 2  # checks before a request that gossip has to be cheaper than
CHECK_INTERVAL_FRACTION = 1 / 32  # of the shortest objective, after which the next endpoint is checked too
MAX_SHARE_OF_OBJECTIVE = 1 / 4  # that polling may take


def gossip_is_cheaper(config: BalancerConfig, load: LoadTracker) -> bool:
    """Peers tell each other of every attempt; otherwise endpoints are polled, where that is allowed."""
    classes = config.request_classes
    received = 2 * BILLED_MESSAGE_SIZE * (config.sidecars - 1) / MAX_MESSAGE_SIZE * config.gossip_price
    checks = sum(min(CHECKS_COMPARED, load.affordable_health_checks(one)) for one in classes) / len(classes)
    polled = config.health_check_price * checks
    polling = config.health_checks_allowed and not config.load_reported_in_responses
    return (
        config.gossip_allowed
        and config.sidecars > 1
        and received <= (polled if polling else HEALTH_CHECK_GAIN)
    )


@dataclass(slots=True)
class Poll:
    """The checks before one request: whom they went to, and who answered and is ready."""

    request: Request
    objective: float
    priority: float
    max_checks: int
    until: float
    checked: list[EndpointStats] = field(default_factory=list)
    answered: list[EndpointStats] = field(default_factory=list)
    waiting: int = 0


class LoadPolling:
    """Chooses an endpoint by asking for its load. It keeps no state but the configuration."""

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
        """Endpoints to check are drawn by `selector`."""
        self.clock, self.endpoints, self.gossip = clock, endpoints, gossip
        self.load, self.latency, self.slow_start = load, latency, slow_start
        self.selector = selector

    def reload(self, config: BalancerConfig) -> None:
        """Take over a configuration."""
        self.config = config
        self.enabled = config.health_checks_allowed and not self.gossip.enabled

    def checks_for(self, request_class: RequestClass) -> int:
        """How many endpoints are checked, at most, before a request of that class."""
        # Where responses carry reports, checks tell more only of endpoints that do one request at a time.
        learned = self.load.concurrency < 2 and self.load.concurrency_is_learned()
        if not self.enabled or not (learned or not self.config.load_reported_in_responses):
            return 0
        most = MAX_CHECKS_OF_SUBSET if self.endpoints.subset_size else MAX_CHECKS
        return min(most, self.load.affordable_health_checks(request_class, self.load.mean_elsewhere()))

    def select_endpoint(
        self, request: Request, objective: float, priority: float, max_checks: int, until: float
    ) -> Generator[Command, Any, EndpointStats | ClientDisconnected | None]:
        """Check the first few endpoints of the plan, one at a time, until one is free: that one.

        None: no endpoint is; `CLIENT_DISCONNECTED`: the client has left meanwhile.
        """
        until = min(until, self.clock.now + objective * priority * MAX_SHARE_OF_OBJECTIVE)
        poll = Poll(request, objective, priority, max_checks, until)
        # In a crowded fleet none is free: one with less than the others have is enough.
        enough = max(1.0, self.load.mean_elsewhere())
        while self.clock.now < until and not any(self.load.of(one) < enough for one in poll.answered):
            known_free = yield from self._check_next(poll)
            if known_free is not None:
                return known_free
            if not poll.waiting:
                break
            event = yield from self._wait(poll)
            if event is CLIENT_DISCONNECTED:
                return CLIENT_DISCONNECTED
        return self._best(poll)

    def _check_next(self, poll: Poll) -> Generator[Command, Any, EndpointStats | None]:
        """Check one more endpoint, unless one is waited for; one that is known to be free is returned."""
        if poll.waiting or len(poll.checked) >= poll.max_checks:
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
        poll.waiting += 1
        yield StartHealthCheck(stats)
        return None

    def _wait(self, poll: Poll) -> DecisionCoroutine:
        """Wait for an answer, or until the next endpoint is checked beside one that hangs."""
        next_check = self.clock.now + self.clock.shortest_objective * CHECK_INTERVAL_FRACTION
        all_checked = len(poll.checked) == poll.max_checks
        event = yield Wait(poll.until if all_checked else min(poll.until, next_check))
        if event is CLIENT_DISCONNECTED:
            return event
        yield from self.gossip.flush()
        poll.waiting = 0 if event is None else poll.waiting - 1
        answered = isinstance(event, HealthCheckEnded) and event.outcome is AttemptOutcome.SUCCESS
        if answered and self.endpoints.is_ready(event.endpoint):
            poll.answered.append(event.endpoint)
        return event

    def _best(self, poll: Poll) -> EndpointStats | None:
        request, objective, priority = poll.request, poll.objective, poll.priority
        # Many sidecars may have checked it while it had budget left for one request.
        answered = [one for one in poll.answered if self.slow_start.within_budget(one)]
        if not answered:
            return self.selector.select_endpoint(request, [], objective, priority, poll.checked)
        best = min(answered, key=lambda one: self.latency.expected(one, request, self.load.of(one)))
        load = self.load.of(best)
        acceptable = objective * self.selector.latency_fraction * priority
        if load < self.load.queue_limit or self.latency.expected(best, request, load) < acceptable:
            return best
        if self.endpoints.subset_size:
            return self.selector.select_endpoint(request, [], objective, priority, poll.checked)
        return None
