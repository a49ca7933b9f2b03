"""Fake host of the decision components, which records their commands, and settings shared by tests."""

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from starlingwheel.decisions.config import BalancerConfig, RequestClass, RetrySafety, Tenant
from starlingwheel.decisions.endpoint_stats import EndpointStats
from starlingwheel.decisions.events import AttemptEnded, WatchEvent
from starlingwheel.decisions.model import Attempt, AttemptOutcome, Endpoint, EndpointState, Request
from starlingwheel.decisions.scheduler import DecisionScheduler

# A read-only, a non-idempotent, and an idempotent-with-key class.
LOOK = RequestClass("look", RetrySafety.IDEMPOTENT, latency_objective=1.0, priority_weight=1.0, timeout=3.0)
BUY = RequestClass("buy", RetrySafety.NON_IDEMPOTENT, latency_objective=1.0, priority_weight=8.0, timeout=3.0)
MOVE = RequestClass(
    "move",
    RetrySafety.IDEMPOTENT_WITH_KEY,
    latency_objective=1.0,
    priority_weight=8.0,
    timeout=3.0,
    deduplication_window=2.0,
)


class AnswerKind(enum.Enum):
    """The kind of final answer that a client got."""

    SUCCEEDED = enum.auto()
    REJECTED = enum.auto()
    FAILED = enum.auto()


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The final answer to one request."""

    kind: AnswerKind
    request: Request
    retry_after: float = 0.0  # in seconds, of a rejection


class FakeHost:
    """Records the commands of the decision components; the test supplies the outcomes and the time."""

    def __init__(self, endpoints: int = 4, seed: int = 1, **changed: object) -> None:
        """Start with ready endpoints `u0`, `u1`, ...; `changed`: fields of `BalancerConfig`."""
        config: dict[str, Any] = {
            "request_classes": [LOOK, BUY, MOVE],
            "zone": "here",
            "sidecars": 1,
            "must_watch_endpoints": True,
            "endpoint_list_max_age": 8.0,
            "slow_start_initial_fraction": 0.25,
            "slow_start_duration": 8.0,
            "overload_factor": 2.0,
            "overload_window": 2.0,
            "max_attempts": 3,
            "cross_zone_price": 0.0,
            "max_retry_after": 2.0,
            "tenants": [Tenant("inn", 0.5), Tenant("pub", 0.5)],
        }
        self.attempts: list[Attempt] = []
        self.cancelled: list[Attempt] = []
        self.final_answers: list[FinalAnswer] = []
        self.gossip_sent: list[bytes] = []
        self.health_checks: list[EndpointStats] = []
        self.watches_requested = 0
        self.alarms: list[float] = []
        self.scheduler = DecisionScheduler(
            BalancerConfig(**(config | changed)), random.Random(seed), self, 0.0
        )
        self.endpoint_ids = [f"u{i}" for i in range(endpoints)]
        self.list_endpoints(WatchEvent.SNAPSHOT, *self.endpoint_ids)
        self.scheduler.start()

    def list_endpoints(
        self,
        event: WatchEvent,
        *endpoint_ids: str,
        state: EndpointState = EndpointState.READY,
        started: float | None = None,
        zone: str = "here",
        cell: int = 0,
    ) -> None:
        """Send a discovery message that lists these endpoints, all with the same properties."""
        entries = [Endpoint(name, zone, cell, 1.0, started, state) for name in endpoint_ids]
        self.scheduler.endpoints_changed(event, entries)

    def submit(self, request_class: RequestClass = LOOK, time_left: float = 2.0, **fields: object) -> Request:
        """Submit a request of a client and return it; `fields`: of `Request`."""
        request = Request(request_class, self.scheduler.now, time_left, **fields)
        self.scheduler.accept_request(request)
        return request

    def advance(self, seconds: float) -> None:
        """Advance the time and handle the alarms that become due."""
        until = self.scheduler.now + seconds
        while due := [at for at in self.alarms if at <= until]:
            self.alarms.remove(min(due))
            self.scheduler.set_time(max(self.scheduler.now, min(due)))
            self.scheduler.tick()
        self.scheduler.set_time(until)

    def end_attempt(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome = AttemptOutcome.SUCCESS,
        load_report: dict[str, float] | None = None,
    ) -> None:
        """End an attempt now, and then those that its end has cancelled."""
        succeeded = outcome is AttemptOutcome.SUCCESS
        answered = succeeded or any(answer.request is attempt.request for answer in self.final_answers)
        if succeeded:
            self.final_answers.append(FinalAnswer(AnswerKind.SUCCEEDED, attempt.request))
        latency = self.scheduler.now - attempt.started_at
        self.scheduler.attempt_ended(AttemptEnded(attempt, outcome, latency, answered, load_report or {}))
        for other in [other for other in self.cancelled if other.pending]:
            self.end_attempt(other, AttemptOutcome.CANCELLED)

    def receive_gossip(self, peer: int, endpoint: EndpointStats, count: int) -> None:
        """Deliver a gossip message of one record."""
        tag = endpoint.gossip_tag.to_bytes(2, "big")
        self.scheduler.gossip_received(peer, tag + bytes([count]))

    def attempts_of(self, request: Request) -> list[Attempt]:
        """Return the attempts of a request so far, including hedges and retries."""
        return [attempt for attempt in self.attempts if attempt.request is request]

    def answers_to(self, request: Request) -> list[AnswerKind]:
        """Return the final answers to a request; more than one would be a fault."""
        return [answer.kind for answer in self.final_answers if answer.request is request]

    def serve(self, count: int, duration: float = 0.1, request_class: RequestClass = LOOK) -> None:
        """Submit `count` requests one after another, each answered after `duration` seconds."""
        for _ in range(count):
            attempt = self.attempts_of(self.submit(request_class))[0]
            self.advance(duration)
            self.end_attempt(attempt)

    # Methods of `DecisionHost`.

    def start_attempt(self, attempt: Attempt, timeout: float) -> None:
        """Record an attempt."""
        self.attempts.append(attempt)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Record a cancellation."""
        self.cancelled.append(attempt)

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Record a rejection."""
        self.final_answers.append(FinalAnswer(AnswerKind.REJECTED, request, retry_after))

    def fail_request(self, request: Request) -> None:
        """Record a failure."""
        self.final_answers.append(FinalAnswer(AnswerKind.FAILED, request))

    def watch_endpoints(self) -> None:
        """Count the request for a watch."""
        self.watches_requested += 1

    def start_health_check(self, endpoint: EndpointStats) -> None:
        """Record a health check."""
        self.health_checks.append(endpoint)

    def send_gossip(self, body: bytes) -> None:
        """Record a message to the peers."""
        self.gossip_sent.append(body)

    def report_defect(self, request: Request | None, error: Exception) -> None:
        """Fail the test."""
        raise error

    def set_alarm(self, at: float) -> None:
        """Record the time of an alarm."""
        self.alarms.append(at)


GOSSIP_SETTINGS = {"sidecars": 3, "gossip_allowed": True}
POLLING_SETTINGS = {"health_checks_allowed": True, "health_check_price": 0.001}
LARGE_FLEET_POLLING_SETTINGS = {
    "sidecars": 400,
    "health_checks_allowed": True,
    "health_check_price": 0.01,
}
SUBSET_SETTINGS = {
    "sidecars": 200,
    "must_watch_endpoints": False,
    "streams_per_connection": 100,
    "open_connection_price": 0.03,
}
# Affinity keys.
KEYS = [f"race/{i}" for i in range(400)]


MakeHost = Callable[..., FakeHost]


def host_with_cells(make_host: MakeHost, cells: int = 4, cell_size: int = 3, **changed: object) -> FakeHost:
    """Return a host with `cells` cells of `cell_size` endpoints in its own zone."""
    host = make_host(cells * cell_size, key_affinity=True, **changed)
    for i, name in enumerate(host.endpoint_ids):
        host.list_endpoints(WatchEvent.DELTA, name, cell=i // cell_size)
    return host


def cell_of(host: FakeHost, key: str) -> int:
    """Return the cell that a request with the key goes to, and answer it at once so that no load remains."""
    attempt = host.attempts_of(host.submit(key=key))[0]
    host.advance(0.05)
    host.end_attempt(attempt)
    return attempt.endpoint.entry.cell
