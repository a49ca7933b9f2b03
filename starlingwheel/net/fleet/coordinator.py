"""The module's actor where work is covered: it also hosts `Covering`, which lets its hand-offs go."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any

from ...decisions.config import BalancerConfig, RetrySafety
from ...decisions.model import Attempt, AttemptOutcome, Endpoint, EndpointState, Request
from ...fleet.config import FleetConfig, ReplicationConfig
from ...fleet.frames import (
    AttemptIntent,
    RecordedRequest,
    RecordedResponse,
    ReplicateFrame,
    RequestClassRecord,
)
from ...fleet.replication.replicator import (
    DEFERRED,
    FINISHED,
    KEY_REUSED,
    UNSENT,
    WRITTEN_OFF,
    BeginResult,
    ReplicatedRequest,
)
from ..context import SidecarContext
from ..coordinator import RequestCoordinator
from ..messages import ClientDisconnected, FinalResponse, RequestReceived
from ..state.body_stream import BodyStream
from ..state.buffers import BufferedBody, BuffersExhaustedError
from ..state.requests import Exchange, PendingRequest, UpstreamResponse
from .host import FleetHost
from .messages import EntryLost, ExchangeReleased

if TYPE_CHECKING:
    from .policy import PolicyController

COME_BACK = 1 / 8  # of a lease: when one is to come again who came while the policy was in doubt
LATEST = 0.98  # part of its patience after which a client that waits for another's answer is told
LONGEST_NAME = 256
ROOM = 1 / 8  # part of the memory limit for what is kept for others
TICKET = b"idempotency-key"
BAD = 400
KINDS = {FINISHED: "finished", DEFERRED: "deferred", WRITTEN_OFF: "written_off"}


class DisconnectedClient:
    """Stands where a client stood whose sidecar is lost: its answer is recorded, not written."""

    pending: PendingRequest | None = None

    def post(self, message: Any) -> None:
        if isinstance(message, FinalResponse) and message.response:
            message.response.body.release()

    def has_left(self) -> bool:
        return False  # what goes on for it does so with nobody waiting


DISCONNECTED_CLIENT = DisconnectedClient()


class ReplicatingCoordinator(FleetHost, RequestCoordinator):
    def __init__(
        self,
        context: SidecarContext,
        member_id: str,
        part: FleetConfig,
        lapsed: Callable[[EntryLost], None],
        policy_controller: PolicyController,
    ) -> None:
        """`lapsed` is told when our own entry has gone from the view."""
        self.deferred = 0  # while it was not known which policy holds
        self.items: dict[Request, ReplicatedRequest] = {}
        room = int(context.config.limits.memory_mb * ROOM * 2**20)
        times = context.shortest_objective, context.longest_timeout
        self.host(
            context.loop,
            member_id,
            part,
            policy_controller,
            lapsed,
            lambda: self.scheduler,
            times,
            room,
            context.log,
        )
        RequestCoordinator.__init__(self, context)
        self.cover_by(part.cover)

    def cover_by(self, part: ReplicationConfig) -> None:
        """What is covered from now on; items that there are stay so."""
        self.categories = frozenset(part.categories)
        self.header = part.name_header.encode()
        self.replicator.count = part.keepers
        # Guards against forgetting what was taken under a longer expiry.
        self.replicator.longest = max(self.replicator.longest, self.context.longest_timeout)

    def retuned(self, terms: BalancerConfig) -> None:
        self.scheduler.reload(terms)  # in this turn: what comes next is taken under it

    def _handle(self, message: Any) -> None:
        if not self.hosted(message, self.scheduler.now):
            match message:
                case RequestReceived(pending) if self._unruled(pending):
                    pass
                case RequestReceived(pending) if (name := self._name(pending)) is not None:
                    self._begin(pending, name)
                case ClientDisconnected(pending) if (item := self.items.get(pending.request)) is not None:
                    self._left(pending, item)
                case None:
                    self.tick()
                    super()._handle(message)
                case _:
                    super()._handle(message)
        self.alarm_at = min(self.alarm_at, self.next_at(self.scheduler.now))

    def _unruled(self, pending: PendingRequest) -> bool:
        """True: answered here, since it is not known which policy holds. Else it is taken under that one."""
        # A clock read in this turn may be from before a pause.
        self.policy_replica.now = self.loop.now()
        why = self.policy_replica.doubt()
        request = pending.request
        category = self.context.request_classes.get(request.request_class.name)
        if not why and category is not request.request_class:
            # It was read under a policy that is over since.
            if category is None or category.retry_safety is not request.request_class.retry_safety:
                why = "switched"
            else:
                request.request_class, request.time_left = category, min(request.time_left, category.timeout)
        if why:
            self.deferred += 1
            self._answer_job(pending, RecordedResponse(DEFERRED, COME_BACK * self.policy_replica.lease))
        return bool(why)

    # Requests with a name.

    def _name(self, pending: PendingRequest) -> bytes | None:
        """What its client calls it; None: it is not covered."""
        if pending.request.request_class.name not in self.categories:
            return None
        given = {header.lower(): value for header, value in reversed(pending.headers)}
        name = given.get(TICKET, given.get(self.header))
        if name is None:
            self.replicator.counts["unnamed"] += 1
        elif isinstance(pending.body, BodyStream):
            # A body that is passed on while it comes is kept nowhere.
            self.replicator.counts["too_long"] += 1
            name = None
        return name

    def _begin(self, pending: PendingRequest, name: bytes) -> None:
        if not 0 < len(name) <= LONGEST_NAME:
            self._answer_job(pending, RecordedResponse(BAD))
            return
        request, now = pending.request, self.scheduler.now
        category = request.request_class
        body = b"".join(pending.body.views())
        key = category.name.encode() + b"\0" + name
        mark = hashlib.blake2b(b"\0".join((pending.method, pending.target, body)), digest_size=8).digest()
        asked = RecordedRequest(
            pending.method,
            pending.target,
            [(bytes(n), bytes(v)) for n, v in pending.headers],
            body,
            pending.trace,
        )
        until = now + request.time_left
        effect = category.retry_safety.value
        told = ReplicateFrame(
            key, self.member_id, 0, False, mark, category.name, effect, now, until, request.is_retry, asked,
            [],
            rules=RequestClassRecord.of(category),
        )  # fmt: skip
        word, item = self.replicator.begin(told, pending, now + LATEST * request.time_left)
        match word:
            case BeginResult.RUN:
                self._run_job(item, pending)
            case BeginResult.ANSWER:
                self._answer_job(pending, item.response)
            case BeginResult.OTHER:
                self.context.log("cover.other", category=category.name)
                self._answer_job(pending, RecordedResponse(KEY_REUSED))
            case BeginResult.WAIT:
                if pending.owed:
                    self.items[request] = item

    def _run_job(self, item: ReplicatedRequest, pending: PendingRequest) -> None:
        self.items[pending.request] = item
        self.pending_requests[pending.request] = pending
        self.scheduler.accept_request(pending.request)

    def _left(self, pending: PendingRequest, item: ReplicatedRequest) -> None:
        over = self.replicator.client_disconnected(item, pending)
        if not over and pending.request in self.pending_requests and pending.owed:
            # Whoever comes again under its name gets its answer: what is out goes on with nobody waiting.
            # Guards against sending on for one that has left: nothing more is begun, nor what is unwritten.
            pending.client = DISCONNECTED_CLIENT
            pending.request.max_attempts = 1
            for exchange in [exchange for exchange in pending.exchanges.values() if not exchange.written]:
                self._cancel_exchange(exchange)
            return
        self.items.pop(pending.request, None)
        if pending.request in self.pending_requests:
            super()._handle(ClientDisconnected(pending))
        else:
            pending.owed = False
            pending.body.release()

    # What the cover wants.

    def released(self, exchange: Exchange) -> None:
        if exchange.connection is not None:
            exchange.connection.post(ExchangeReleased(exchange))

    def dropped(self, exchange: Exchange) -> None:
        self._cancel_exchange(exchange)

    def decide(self, item: ReplicatedRequest) -> None:
        pending = item.dispatched_client
        rules = item.class_record
        category = (
            rules.request_class()
            if rules
            else self.context.request_class_for(item.category, RetrySafety(item.effect))
        )
        if category is None:
            self._settled(item, RecordedResponse(WRITTEN_OFF))
            return
        now = self.scheduler.now
        request = Request(category, now, max(0.0, item.deadline - now), is_retry=item.is_retry)
        asked = item.content
        body = BufferedBody(self.context.buffer_pool)
        try:
            body.add(asked.body)
        except BuffersExhaustedError:
            body.release()
            self._settled(item, RecordedResponse(WRITTEN_OFF))
            return
        client = DISCONNECTED_CLIENT if pending is None else pending.client
        new = PendingRequest(request, client, asked.method, asked.target, asked.headers, body, asked.trace)
        if pending is not None:
            # What its client says of the former one is said of this one.
            item.waiting_clients[new] = item.waiting_clients.pop(pending)
            self.items.pop(pending.request, None)
            pending.owed = False
            pending.body.release()
            if client.pending is pending:
                client.pending = new
        item.dispatched_client = new
        self.items[request] = item
        self.pending_requests[request] = new
        before = [
            (Endpoint(i.upstream, i.zone, i.cell, 1.0, None, EndpointState.GONE), i.at, not i.fate)
            for i in item.intents
            if i.fate != UNSENT
        ]
        self.scheduler.accept_request(request, before)

    def _settled(self, item: ReplicatedRequest, reply: RecordedResponse) -> None:
        """What can't even be decided on."""
        for client in list(item.waiting_clients):
            self._answer_job(client, reply)
        item.waiting_clients.clear()
        self.replicator.answered(item, reply)

    def answer(self, item: ReplicatedRequest, client: PendingRequest, reply: RecordedResponse) -> None:
        self._answer_job(client, reply)

    def _answer_job(self, pending: PendingRequest, reply: RecordedResponse) -> None:
        self.items.pop(pending.request, None)
        deciding = pending.request in self.pending_requests
        if not deciding:
            pending.body.release()
        self._give(pending, self._made(reply), KINDS.get(reply.status, "written_off"))
        if deciding:
            self.scheduler.client_disconnected(pending.request)
            self._forget_if_finished(pending)

    def _made(self, reply: RecordedResponse) -> FinalResponse:
        if reply.status != FINISHED:
            return FinalResponse(reply.status, retry_after=reply.retry_after)
        body = BufferedBody(self.context.buffer_pool)
        try:
            body.add(reply.body)
        except BuffersExhaustedError:
            body.release()
            return FinalResponse(WRITTEN_OFF)
        return FinalResponse(FINISHED, UpstreamResponse(body, reply.kind))

    # What the decisions want.

    def start_attempt(self, attempt: Attempt, limit: float) -> None:
        super().start_attempt(attempt, limit)
        exchange, listing = (
            self.pending_requests[attempt.request].exchanges[attempt],
            attempt.endpoint.entry,
        )
        self.zone_controller.began(exchange, listing.zone, self.scheduler.now)
        item = self.items.get(attempt.request)
        if item is None:
            return
        self.hold(
            exchange, item, AttemptIntent(listing.endpoint_id, listing.zone, listing.cell, self.scheduler.now)
        )

    def _exchange_ended(
        self, exchange: Exchange, fate: AttemptOutcome, report: dict[str, float], answer: Any
    ) -> None:
        self.zone_controller.ended(exchange, fate, self.scheduler.now)
        gate = self.unhold(exchange)
        if gate is not None and (fate.never_ran or not (gate.open and exchange.written)):
            self.replicator.ended(gate.item, gate.number, fate.value)
        super()._exchange_ended(exchange, fate, report, answer)

    def _send_final_response(self, pending: PendingRequest, final: FinalResponse, how: str) -> None:
        item = self.items.pop(pending.request, None)
        if item is None:
            self._give(pending, final, how)
            return
        until = item.waiting_clients.pop(pending, inf)
        reply = RecordedResponse(final.status, final.retry_after)
        if final.response is not None:
            body = final.response.body
            # One that is passed on while it comes can't be given to anybody else.
            whole = b"" if isinstance(body, BodyStream) else b"".join(body.views())
            reply = RecordedResponse(
                WRITTEN_OFF if isinstance(body, BodyStream) else FINISHED, 0.0, final.response.kind, whole
            )
        given = self.replicator.answered(item, reply)
        if given is None:
            pending.owed = False
            if pending.client is not DISCONNECTED_CLIENT:
                self.replicator.wait_on(item, pending, until)
                self.items[pending.request] = item
            return
        if given is not reply and final.response is None:
            final = self._made(given)
            how = KINDS.get(given.status, how)
        self._give(pending, final, how)

    def _give(self, pending: PendingRequest, final: FinalResponse, how: str) -> None:
        super()._send_final_response(pending, final, how)
        # Guards against a second answer being taken for that of the next request on its connection.
        pending.client = DISCONNECTED_CLIENT
