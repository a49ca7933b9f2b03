"""The balancer of one sidecar: builds the decision components and routes the host's events to them.

A host uses a `Balancer` through a `DecisionScheduler`, which sets `now` before each event. The cost of a
request does not grow with the number of sidecars. It grows with the number of endpoints only for the first
request after a change of the endpoint list, and where zone shares, a deduplication scope or a preferred cell
select among all endpoints.
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
    """Owns the decision components; each of them owns its state."""

    def __init__(
        self,
        config: BalancerConfig,
        rng: random.Random,
        now: float,
        lease: EndpointLease | None = None,
        retry_policy: type[RetryPolicy] = RetryPolicy,
    ) -> None:
        """Build the components and apply the configuration.

        `lease`: how long the endpoint list may be used. Without a lease the list does not expire, and the
        host is responsible for not using an outdated list.
        """
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
        """Adopt a complete configuration; learned state is kept."""
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
        """The time of the current event, in seconds on the host's clock."""
        return self.clock.now

    @now.setter
    def now(self, now: float) -> None:
        self.clock.now = now

    # Requests.

    def dispatch(self, request: Request) -> DecisionCoroutine:
        """Return the coroutine that processes a request up to its final answer."""
        return self.dispatcher.dispatch(request)

    def note_sent(self, attempt: Attempt) -> None:
        """Count an attempt as load, now that the last byte of its request has arrived.

        The request was forwarded while its body was still arriving.
        """
        self.load.note_started(attempt)

    def head_received(self, attempt: Attempt) -> None:
        """Record that an endpoint has begun to respond."""
        self.outcomes.record_head(attempt)

    def release_load(self, attempt: Attempt) -> None:
        """Stop counting an attempt as load: its endpoint has begun a response that may take any time."""
        self.load.note_ended(attempt)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Record the end of an attempt."""
        self.outcomes.record_attempt(event)

    def health_check_ended(
        self, endpoint_id: str, outcome: AttemptOutcome, load_report: dict[str, float]
    ) -> None:
        """Record the end of a health check; one of an endpoint that is no longer listed is ignored."""
        if (stats := self.endpoints.by_id.get(endpoint_id)) is not None:
            self.outcomes.record_health_check(stats, outcome, load_report)

    # The endpoint list, peers and zones.

    def update_endpoints(self, event: WatchEvent, entries: list[Endpoint]) -> None:
        """Apply a discovery update to the endpoint list; a failure of the watch changes nothing."""
        if event is not WatchEvent.FAILED:
            self.endpoints.apply(event, entries)
            self.load.note_endpoint_list()

    def background_tasks(self) -> list[DecisionCoroutine]:
        """Return the coroutines that run independently of requests."""
        if not self.config.must_watch_endpoints:
            return []
        return [watch_endpoints(self.clock, self.rng, self.config)]

    def receive_gossip(self, peer: int, body: bytes) -> None:
        """Apply a gossip message of a peer."""
        self.gossip.receive(peer, body, self.outliers)

    def set_zone_shares(self, shares: Mapping[str, float], returned: Iterable[str]) -> None:
        """Set the fraction of endpoint draws that each zone takes part in.

        Zones without an entry take part in all draws. `returned`: zones that have recovered; what was learned
        of them while they failed is forgotten.
        """
        self.selector.zone_shares = dict(shares)
        for zone in returned:
            self.latency.forget_zone(zone)
            self.outliers.reset_zone(zone)
