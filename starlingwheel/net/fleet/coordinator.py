"""The request coordinator of a sidecar in a fleet, which also hosts the replicator.

A request of a replicated class that has an idempotency key begins in the replicator. The scheduler accepts it
once it is known to be new, and each of its attempts is held until its intent is recorded.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from ...decisions.config import BalancerConfig, RequestClass, RetrySafety
from ...decisions.model import Attempt, AttemptOutcome, Endpoint, EndpointState, Request
from ...fleet.config import FleetConfig, ReplicationConfig
from ...fleet.frames import (
    AttemptIntent,
    RecordedRequest,
    RecordedResponse,
    ReplicateFrame,
    RequestClassRecord,
)
from ...fleet.replication.request import (
    FAILED,
    FINISHED,
    KEY_REUSED,
    NEVER_RELEASED,
    REJECTED,
    BeginResult,
    ReplicatedRequest,
)
from ..context import SidecarContext
from ..coordinator import RequestCoordinator
from ..messages import ClientDisconnected, FinalResponse, RequestReceived, ShutdownStarted
from ..state.body_stream import BodyStream
from ..state.buffers import BufferedBody
from ..state.requests import Exchange, PendingRequest, UpstreamResponse
from .host import FleetHost
from .messages import EntryLost, ExchangeReleased
from .responses import DISCONNECTED_CLIENT, buffered_body, final_response, recorded_response

if TYPE_CHECKING:
    from .policy import PolicyController

POLICY_RETRY_AFTER = 1 / 8  # of a lease: when to retry a request that arrived while the policy was in doubt
CLIENT_WAIT_FRACTION = 0.98  # of the request's time left: how long its client waits for another member
MAX_KEY_LENGTH = 256  # bytes of an idempotency key
# Of the memory limit: while replicated requests take more, none is recorded for other members.
REPLICA_MEMORY_FRACTION = 1 / 8
BYTES_PER_MB = 2**20
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
BAD_REQUEST = 400
OUTCOMES = {
    FINISHED: "finished",
    REJECTED: "deferred",
    FAILED: "written_off",
}  # by status: the counter of the response


class ReplicatingCoordinator(FleetHost, RequestCoordinator):
    """Coordinates the requests of one sidecar, including the replicated ones."""

    def __init__(
        self,
        context: SidecarContext,
        member_id: str,
        config: FleetConfig,
        on_entry_lost: Callable[[EntryLost], None],
        policy_controller: PolicyController,
    ) -> None:
        """Set up the replicator and the scheduler.

        `on_entry_lost` is called when this member's entry is no longer in the view.
        """
        self.rejected_in_doubt = 0  # requests rejected while it was not known which policy is in force
        self.replicated: dict[Request, ReplicatedRequest] = {}
        self.set_up(
            context.loop,
            member_id,
            config,
            policy_controller,
            on_entry_lost,
            lambda: self.scheduler,
            (context.shortest_objective, context.longest_timeout),
            int(context.config.limits.memory_mb * REPLICA_MEMORY_FRACTION * BYTES_PER_MB),
            context.log,
        )
        RequestCoordinator.__init__(self, context)
        self.replication_config_changed(config.replication)

    def replication_config_changed(self, config: ReplicationConfig) -> None:
        """Apply another replication configuration; requests that are already replicated stay so."""
        self.replicated_classes = frozenset(config.request_classes)
        self.idempotency_key_header = config.idempotency_key_header.encode()
        self.replicator.replica_count = config.replicas
        # Never lowered: requests that were accepted under a longer timeout must not be forgotten early.
        self.replicator.longest_timeout = max(self.replicator.longest_timeout, self.context.longest_timeout)

    def balancer_config_changed(self, config: BalancerConfig) -> None:
        """Apply another configuration of the balancer from the next message on."""
        self.scheduler.reload(config)

    def _handle(self, message: object) -> None:
        if not self.handle_fleet_message(message, self.scheduler.now):
            match message:
                case RequestReceived(pending):
                    self._request_received(pending, message)
                case ClientDisconnected(pending) if (
                    request := self.replicated.get(pending.request)
                ) is not None:
                    self._replicated_client_disconnected(pending, request)
                case ShutdownStarted(answer_by):
                    super()._handle(message)
                    self._limit_waits(answer_by)
                case None:
                    self.tick()
                    super()._handle(message)
                case _:
                    super()._handle(message)
        self.alarm_at = min(self.alarm_at, self.next_at(self.scheduler.now))

    def _request_received(self, pending: PendingRequest, message: RequestReceived) -> None:
        if self._reject_in_doubt(pending):
            return
        key = self._idempotency_key_of(pending)
        if key is None:
            super()._handle(message)
        else:
            self._begin(pending, key)

    def _reject_in_doubt(self, pending: PendingRequest) -> bool:
        """Reject a request while it is not known which policy is in force; return whether it was rejected.

        A request that is not rejected gets its class under the current policy.
        """
        # The clock is read again: the process may have been paused since it was read for this turn.
        self.policy_replica.now = self.loop.now()
        reason = self.policy_replica.unavailable_reason()
        request = pending.request
        request_class = self.context.request_classes.get(request.request_class.name)
        if not reason and request_class is not request.request_class:
            # The request was read under a policy that is no longer in force.
            if request_class is None or request_class.retry_safety is not request.request_class.retry_safety:
                reason = "switched"
            else:
                request.request_class = request_class
                request.time_left = min(request.time_left, request_class.timeout)
        if reason:
            self.rejected_in_doubt += 1
            retry_after = POLICY_RETRY_AFTER * self.policy_replica.lease
            self._respond(pending, RecordedResponse(REJECTED, retry_after))
        return bool(reason)

    # Requests with an idempotency key.

    def _idempotency_key_of(self, pending: PendingRequest) -> bytes | None:
        """Return the idempotency key of a request; None: it is not replicated."""
        if pending.request.request_class.name not in self.replicated_classes:
            return None
        headers = {header.lower(): value for header, value in reversed(pending.headers)}
        key = headers.get(IDEMPOTENCY_KEY_HEADER, headers.get(self.idempotency_key_header))
        if key is None:
            self.replicator.counts["unnamed"] += 1
        elif isinstance(pending.body, BodyStream):
            # A body that is forwarded while it arrives is never buffered as a whole, so it can't be recorded.
            self.replicator.counts["too_long"] += 1
            key = None
        return key

    def _begin(self, pending: PendingRequest, key: bytes) -> None:
        """Have the replicator determine whether a request is new."""
        if not 0 < len(key) <= MAX_KEY_LENGTH:
            self._respond(pending, RecordedResponse(BAD_REQUEST))
            return
        frame = self._replicate_frame(pending, key)
        wait_until = self.scheduler.now + CLIENT_WAIT_FRACTION * pending.request.time_left
        wait_until = min(wait_until, self.scheduler.answer_by)
        result, request = self.replicator.begin(frame, pending, wait_until)
        match result:
            case BeginResult.RUN:
                self._accept(request, pending)
            case BeginResult.RESPOND if request.response is not None:
                self._respond(pending, request.response)
            case BeginResult.KEY_REUSED:
                self.context.log("cover.other", category=pending.request.request_class.name)
                self._respond(pending, RecordedResponse(KEY_REUSED))
            case BeginResult.WAIT:
                if pending.awaits_response:
                    self.replicated[pending.request] = request

    def _replicate_frame(self, pending: PendingRequest, key: bytes) -> ReplicateFrame:
        """Return the frame with the request as replicas record it."""
        request, now = pending.request, self.scheduler.now
        request_class = request.request_class
        assert isinstance(pending.body, BufferedBody), "a replicated request has its whole body"
        body = b"".join(pending.body.views())
        identity = b"\0".join((pending.method, pending.target, body))
        headers = [(bytes(header), bytes(value)) for header, value in pending.headers]
        return ReplicateFrame(
            request_class.name.encode() + b"\0" + key,
            self.member_id,
            0,
            False,
            hashlib.blake2b(identity, digest_size=8).digest(),
            request_class.name,
            request_class.retry_safety.value,
            now,
            now + request.time_left,
            request.is_retry,
            RecordedRequest(pending.method, pending.target, headers, body, pending.trace_id),
            [],
            class_record=RequestClassRecord.of(request_class),
        )

    def _accept(self, request: ReplicatedRequest, pending: PendingRequest) -> None:
        """Dispatch a request that is new."""
        self.replicated[pending.request] = request
        self.pending_requests[pending.request] = pending
        self.scheduler.accept_request(pending.request)

    def _limit_waits(self, answer_by: float) -> None:
        """Let no client wait for another member's response after that time."""
        for request in list(dict.fromkeys(self.replicated.values())):
            for client, until in list(request.waiting_clients.items()):
                if until > answer_by:
                    self.replicator.wait_on(request, client, answer_by)

    def _replicated_client_disconnected(self, pending: PendingRequest, request: ReplicatedRequest) -> None:
        forgotten = self.replicator.client_disconnected(request, pending)
        if not forgotten and pending.request in self.pending_requests and pending.awaits_response:
            # A retry with the same key gets the response, so attempts that are written continue without a
            # client. No further attempts are started for a disconnected client, and those that are not
            # completely written are cancelled.
            pending.client = DISCONNECTED_CLIENT
            pending.request.max_attempts = 1
            for exchange in [exchange for exchange in pending.exchanges.values() if not exchange.written]:
                self._cancel_exchange(exchange)
            return
        self.replicated.pop(pending.request, None)
        if pending.request in self.pending_requests:
            super()._handle(ClientDisconnected(pending))
        else:
            pending.awaits_response = False
            pending.body.release()

    # Calls of the replicator.

    def release_held_attempt(self, token: Exchange) -> None:
        """Let the attempt be written completely."""
        if token.connection is not None:
            token.connection.post(ExchangeReleased(token))

    def cancel_held_attempt(self, token: Exchange) -> None:
        """Ensure that the attempt is never written completely."""
        self._cancel_exchange(token)

    def dispatch(self, replicated: ReplicatedRequest) -> None:
        """Dispatch a request with its history, under the request class that it was accepted under."""
        request_class = self._class_of(replicated)
        if request_class is None:
            self._fail(replicated)
            return
        now = self.scheduler.now
        time_left = max(0.0, replicated.deadline - now)
        request = Request(request_class, now, time_left, is_retry=replicated.is_retry)
        body = buffered_body(replicated.content.body, self.context.buffer_pool)
        if body is None:
            self._fail(replicated)
            return
        self._replace_pending(replicated, request, body)
        attempts = [
            (
                Endpoint(intent.endpoint_id, intent.zone, intent.cell, 1.0, None, EndpointState.GONE),
                intent.started_at,
                not intent.outcome,
            )
            for intent in replicated.intents
            if intent.outcome != NEVER_RELEASED
        ]
        self.scheduler.accept_request(request, attempts)

    def _class_of(self, replicated: ReplicatedRequest) -> RequestClass | None:
        """Return the class that the request was accepted under or, if not recorded, the one of that name."""
        if replicated.class_record:
            return replicated.class_record.request_class()
        retry_safety = RetrySafety(replicated.retry_safety)
        return self.context.request_class_for(replicated.request_class, retry_safety)

    def _replace_pending(self, replicated: ReplicatedRequest, request: Request, body: BufferedBody) -> None:
        """Make a request that is dispatched the one that its client, if any, waits for."""
        former = replicated.dispatched_client
        client = DISCONNECTED_CLIENT if former is None else former.client
        content = replicated.content
        pending = PendingRequest(
            request, client, content.method, content.target, content.headers, body, content.trace_id
        )
        if former is not None:
            # From now on, events of the client concern this request instead of the former one.
            replicated.waiting_clients[pending] = replicated.waiting_clients.pop(former)
            self.replicated.pop(former.request, None)
            former.awaits_response = False
            former.body.release()
            if client.pending is former:
                client.pending = pending
        replicated.dispatched_client = pending
        self.replicated[request] = replicated
        self.pending_requests[request] = pending

    def _fail(self, replicated: ReplicatedRequest) -> None:
        """Fail a request that can't be dispatched."""
        response = RecordedResponse(FAILED)
        for client in list(replicated.waiting_clients):
            self._respond(client, response)
        replicated.waiting_clients.clear()
        self.replicator.finish_request(replicated, response)

    def respond(
        self, replicated: ReplicatedRequest, client: PendingRequest, response: RecordedResponse
    ) -> None:
        """Give the final response to a client that waits here."""
        self._respond(client, response)

    # Responses.

    def _respond(self, pending: PendingRequest, response: RecordedResponse) -> None:
        """Give a response that does not come from the scheduler."""
        self.replicated.pop(pending.request, None)
        dispatched = pending.request in self.pending_requests
        if not dispatched:
            pending.body.release()
        outcome = OUTCOMES.get(response.status, "written_off")
        self._send_once(pending, final_response(response, self.context.buffer_pool), outcome)
        if dispatched:
            self.scheduler.client_disconnected(pending.request)
            self._forget_if_finished(pending)

    # Calls of the scheduler.

    def start_attempt(self, attempt: Attempt, timeout: float) -> None:
        """Start an attempt; one of a replicated request is held until its intent is recorded."""
        super().start_attempt(attempt, timeout)
        exchange = self.pending_requests[attempt.request].exchanges[attempt]
        endpoint, now = attempt.endpoint.entry, self.scheduler.now
        self.zone_controller.attempt_started(exchange, endpoint.zone, now)
        request = self.replicated.get(attempt.request)
        if request is not None:
            intent = AttemptIntent(endpoint.endpoint_id, endpoint.zone, endpoint.cell, now)
            self.hold_attempt(exchange, request, intent)

    def _exchange_ended(
        self,
        exchange: Exchange,
        outcome: AttemptOutcome,
        load_report: dict[str, float],
        response: UpstreamResponse | None,
    ) -> None:
        self.zone_controller.attempt_ended(exchange, outcome, self.scheduler.now)
        held = self.forget_hold(exchange)
        if held is not None and (outcome.never_ran or not (held.is_released and exchange.written)):
            self.replicator.attempt_not_run(held.request, held.number, outcome.value)
        super()._exchange_ended(exchange, outcome, load_report, response)

    def _send_final_response(self, pending: PendingRequest, final: FinalResponse, how: str) -> None:
        request = self.replicated.pop(pending.request, None)
        if request is None:
            self._send_once(pending, final, how)
            return
        until = request.waiting_clients.pop(pending, inf)
        recorded = recorded_response(final)
        response = self.replicator.finish_request(request, recorded)
        if response is None:
            pending.awaits_response = False
            if final.response is not None:
                final.response.body.release()
            if pending.client is not DISCONNECTED_CLIENT:
                self.replicator.wait_on(request, pending, until)
                self.replicated[pending.request] = request
            return
        if response is not recorded and final.response is None:
            final = final_response(response, self.context.buffer_pool)
            how = OUTCOMES.get(response.status, how)
        self._send_once(pending, final, how)

    def _send_once(self, pending: PendingRequest, final: FinalResponse, how: str) -> None:
        super()._send_final_response(pending, final, how)
        # The client would take a second response for the response to its next request on the connection.
        pending.client = DISCONNECTED_CLIENT
