"""The host of a hollow member, which answers each request with one attempt after a fixed time."""

from __future__ import annotations

import hashlib
import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from starlingwheel.decisions.config import BalancerConfig
from starlingwheel.fleet.config import FleetConfig, ReplicationConfig
from starlingwheel.fleet.frames import (
    AttemptIntent,
    RecordedRequest,
    RecordedResponse,
    ReplicateFrame,
    RequestClassRecord,
)
from starlingwheel.fleet.replication.request import (
    FAILED,
    FINISHED,
    NEVER_RELEASED,
    REJECTED,
    BeginResult,
    ReplicatedRequest,
)
from starlingwheel.net.actor import Actor, Coroutine
from starlingwheel.net.fleet.host import FleetHost
from starlingwheel.net.fleet.messages import EntryLost
from starlingwheel.net.fleet.policy import PolicyController

from .metered import MeteredLoop

SERVICE_TIME = 0.005  # seconds that an attempt takes
REPLICA_MEMORY = 24 << 20  # bytes of other members' requests: an eighth of a sidecar's usual limit


@dataclass(slots=True, eq=False)
class HollowAttempt:
    """One attempt of a request. It is not sent to an endpoint."""

    request: ReplicatedRequest
    started_at: float


@dataclass(slots=True, eq=False)
class RequestArrived:
    """Message to the host: a client sends a request with that idempotency key."""

    name: bytes


@dataclass(slots=True, eq=False)
class AttemptDropped:
    """Message to the host: the attempt must not be made."""

    attempt: HollowAttempt


class HollowHost(FleetHost, Actor):
    """Hosts the replication and the policy of one hollow member."""

    daemon = True
    messages_per_turn = 64

    def __init__(
        self,
        loop: MeteredLoop,
        member_id: str,
        fleet_config: FleetConfig,
        on_entry_lost: Callable[[EntryLost], None],
        policy_controller: PolicyController,
        config: BalancerConfig,
        log: Callable[..., None],
    ) -> None:
        """Set up the host. `fleet_config`: the `fleet` section of the configuration."""
        self.counts: Counter[str] = Counter()
        self.frames: Counter[str] = Counter()
        replicated_class = fleet_config.replication.request_classes[-1]
        self.request_class = next(c for c in config.request_classes if c.name == replicated_class)
        shortest = min(c.latency_objective for c in config.request_classes)
        longest = max(c.timeout for c in config.request_classes)
        self.in_service: list[tuple[float, int, HollowAttempt]] = []  # a heap, by end time
        self.attempt_number = 0
        self.alarm_at = inf
        self.replication_seconds = 0.0  # from the start of an attempt to its release, summed up
        self.set_up(
            loop,
            member_id,
            fleet_config,
            policy_controller,
            on_entry_lost,
            lambda: self,
            (shortest, longest),
            REPLICA_MEMORY,
            log,
        )
        Actor.__init__(self, loop)

    def run(self) -> Coroutine[None]:
        """Handle messages, and finish attempts when they are due."""
        while True:
            next_attempt_end = self.in_service[0][0] if self.in_service else inf
            message = yield min(next_attempt_end, self.alarm_at)
            now = self.loop.now()
            if message is None:
                self._handle_time(now)
            elif self.handle_fleet_message(message, now):
                if (frame := getattr(message, "frame", None)) is not None:
                    self.frames[type(frame).__name__] += 1
            elif isinstance(message, RequestArrived):
                self._begin_request(message.name, now)
            elif isinstance(message, AttemptDropped):
                self._drop(message.attempt)
            self.alarm_at = min(self.alarm_at, self.next_at(now))

    def _handle_time(self, now: float) -> None:
        if self.alarm_at <= now:
            self.alarm_at = inf
        self.replicator.now = self.policy_replica.now = now
        self.tick()
        self._finish_attempts(now)

    def _begin_request(self, name: bytes, now: float) -> None:
        if self.policy_replica.unavailable_reason():
            self.counts["in_doubt"] += 1
            return
        request_class = self.request_class
        deadline = now + request_class.timeout
        frame = ReplicateFrame(
            request_class.name.encode() + b"\0" + name,
            self.member_id,
            0,
            False,
            hashlib.blake2b(name, digest_size=8).digest(),
            request_class.name,
            request_class.retry_safety.value,
            now,
            deadline,
            False,
            RecordedRequest(b"POST", b"/" + name, [], b"", name),
            [],
            class_record=RequestClassRecord.of(request_class),
        )
        result, request = self.replicator.begin(frame, object(), deadline)
        self.counts[result.value] += 1
        if result is BeginResult.RUN:
            self._start_attempt(request, now)

    def _start_attempt(self, request: ReplicatedRequest, now: float) -> None:
        self.hold_attempt(HollowAttempt(request, now), request, AttemptIntent("u0", "", 0, now))

    def _finish_attempts(self, now: float) -> None:
        while self.in_service and self.in_service[0][0] <= now:
            attempt = heapq.heappop(self.in_service)[2]
            if self.forget_hold(attempt) is not None:
                self._record_answer(attempt.request, RecordedResponse(FINISHED))

    def _drop(self, attempt: HollowAttempt) -> None:
        hold = self.forget_hold(attempt)
        if hold is not None:
            self.replicator.attempt_not_run(hold.request, hold.number, NEVER_RELEASED)
            self._record_answer(attempt.request, RecordedResponse(REJECTED))

    def _record_answer(self, request: ReplicatedRequest, response: RecordedResponse) -> None:
        recorded = self.replicator.finish_request(request, response)
        self.counts["later" if recorded is None else f"answered_{recorded.status}"] += 1

    # The abstract methods of `FleetHost`

    def dispatch(self, request: ReplicatedRequest) -> None:
        """Attempt a request, or fail it if it may have run and is not idempotent."""
        if not request.is_idempotent and request.may_have_run:
            self._record_answer(request, RecordedResponse(FAILED))
        else:
            self._start_attempt(request, self.loop.now())

    def respond(self, request: ReplicatedRequest, client: object, response: RecordedResponse) -> None:
        """Count the response that a client would get."""
        self.counts[f"told_{response.status}"] += 1

    def release_held_attempt(self, exchange: HollowAttempt) -> None:
        """Start an attempt whose intent has been replicated."""
        now = self.loop.now()
        self.replication_seconds += now - exchange.started_at
        self.counts["released"] += 1
        self.attempt_number += 1
        heapq.heappush(self.in_service, (now + SERVICE_TIME, self.attempt_number, exchange))

    def cancel_held_attempt(self, exchange: HollowAttempt) -> None:
        """Drop an attempt in a later turn of the actor."""
        self.post(AttemptDropped(exchange))

    def replication_config_changed(self, config: ReplicationConfig) -> None:
        """Apply the number of replicas of a new policy."""
        self.replicator.replica_count = config.replicas

    def balancer_config_changed(self, config: BalancerConfig) -> None:
        """Count an applied configuration."""
        self.counts["retuned"] += 1

    def set_zone_shares(self, shares: object, returning: object) -> None:
        """Ignore a zone plan, since no requests are sent to endpoints."""
