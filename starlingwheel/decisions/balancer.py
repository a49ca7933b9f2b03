"""The balancer of one sidecar: builds the parts that decide, and takes what a host reports to them.

A host holds a `Balancer` through a `DecisionScheduler`, which sets `now` before each event. What one event
costs depends neither on the number of endpoints nor on the number of sidecars.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from .admission import Admission
from .clock import Clock
from .commands import DecisionCoroutine
from .config import BalancerConfig
from .dispatch import RequestDispatcher
from .endpoint_set import EndpointSet
from .endpoint_watch import watch_endpoints
from .events import AttemptEnded, WatchEvent
from .gossip import Gossip
from .hedging import HedgingPolicy
from .latency import LatencyModel
from .lease import EndpointLease
from .load import LoadTracker
from .load_polling import LoadPolling, gossip_is_cheaper
from .model import Attempt, AttemptOutcome, Endpoint, Request
from .outcomes import OutcomeRecorder
from .outlier_detection import OutlierDetector
from .retry_policy import RetryPolicy
from .selection import EndpointSelector
from .slow_start import SlowStart


class Balancer:
    """Owns the parts; each of them owns its state."""

    def __init__(
        self,
        config: BalancerConfig,
        rng: random.Random,
        now: float,
        lease: EndpointLease | None = None,
        retry_policy: type[RetryPolicy] = RetryPolicy,
    ) -> None:
        """`lease`: how long the endpoint list may be acted on; without one its host answers for that."""
        pushed = not config.must_watch_endpoints
        self.rng, self.clock = rng, Clock(now)
        self.lease = lease or EndpointLease(config.drain_grace, pushed=pushed)
        self.endpoints = EndpointSet(self.clock)
        self.gossip = Gossip(self.clock, self.endpoints)
        self.load = LoadTracker(self.clock, self.endpoints, self.gossip)
        self.latency = LatencyModel(self.clock, self.endpoints, self.gossip, self.load)
        self.slow_start = SlowStart(self.clock, rng, self.endpoints, self.latency, self.load)
        self.outliers = OutlierDetector(self.clock, rng, self.endpoints, self.latency, self.gossip)
        self.outcomes = OutcomeRecorder(self.clock, self.load, self.latency, self.gossip, self.outliers)
        self.admission = Admission(rng)
        self.retry_policy = retry_policy(self.clock)
        self.hedging = HedgingPolicy(self.clock, self.latency, self.load, self.retry_policy)
        self._build_dispatch()
        self.reload(config)

    def _build_dispatch(self) -> None:
        self.selector = EndpointSelector(
            self.clock,
            self.rng,
            self.lease,
            self.endpoints,
            self.gossip,
            self.load,
            self.latency,
            self.slow_start,
            self.outliers,
            self.retry_policy,
        )
        self.polling = LoadPolling(
            self.clock,
            self.endpoints,
            self.gossip,
            self.load,
            self.latency,
            self.slow_start,
            self.selector,
        )
        self.dispatcher = RequestDispatcher(
            self.clock,
            self.lease,
            self.endpoints,
            self.gossip,
            self.load,
            self.slow_start,
            self.outliers,
            self.admission,
            self.retry_policy,
            self.hedging,
            self.selector,
            self.polling,
        )

    def reload(self, config: BalancerConfig) -> None:
        """Take over a complete configuration; what was learned stays."""
        self.config = config
        self.lease.set_grace(config.drain_grace)
        self.clock.reload(config)
        self.endpoints.reload(config)
        self.load.reload(config)
        self.gossip.reload(config, enabled=gossip_is_cheaper(config, self.load))
        self.latency.reload(config)
        self.slow_start.reload(config)
        self.outliers.reload(config)
        self.outcomes.reload(config)
        self.admission.reload(config)
        self.retry_policy.reload(config)
        self.selector.reload(config)
        self.polling.reload(config)
        self.dispatcher.reload(config)

    @property
    def now(self) -> float:
        """The time of the event at hand, seconds on the host's clock."""
        return self.clock.now

    @now.setter
    def now(self, now: float) -> None:
        self.clock.now = now

    # Requests.

    def dispatch(self, request: Request) -> DecisionCoroutine:
        """The coroutine that takes a request to its final answer."""
        return self.dispatcher.dispatch(request)

    def note_sent(self, attempt: Attempt) -> None:
        """The last byte of a request has come that was sent on while it came: now it counts as load."""
        self.load.note_started(attempt)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """An attempt has ended."""
        self.outcomes.record_attempt(event)

    def health_check_ended(
        self, endpoint_id: str, outcome: AttemptOutcome, load_report: dict[str, float]
    ) -> None:
        """A health check has ended; one of an endpoint that is not listed any more is ignored."""
        if (stats := self.endpoints.by_id.get(endpoint_id)) is not None:
            self.outcomes.record_health_check(stats, outcome, load_report)

    # The endpoint list, peers and zones.

    def update_endpoints(self, event: WatchEvent, entries: list[Endpoint]) -> None:
        """Take over what discovery says."""
        if event is not WatchEvent.FAILED:
            self.endpoints.apply(event, entries)
            self.load.note_list()

    def background_tasks(self) -> list[DecisionCoroutine]:
        """The coroutines that run beside those of requests."""
        if not self.config.must_watch_endpoints:
            return []
        return [watch_endpoints(self.clock, self.rng, self.config)]

    def receive_gossip(self, peer: int, body: bytes) -> None:
        """Take over a peer's message."""
        self.gossip.receive(peer, body, self.outliers)

    def set_zone_shares(self, shares: Mapping[str, float], returned: Iterable[str]) -> None:
        """The part of the draws that each zone is in, all unless named; `returned`: zones that work again."""
        self.selector.zone_shares = dict(shares)
        for zone in returned:
            self.latency.forget_zone(zone)
            self.outliers.reset_zone(zone)
