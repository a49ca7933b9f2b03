"""The module's actor, the runner's second `Door`: mail into events for the decisions, commands into mail.

It adds no decision of its own.
"""

from __future__ import annotations

from math import inf
from typing import Any

from ..decisions.events import AttemptEnded, WatchEvent
from ..decisions.model import Attempt, AttemptOutcome, Request
from ..decisions.scheduler import DecisionScheduler
from .actor import Actor, Coroutine
from .context import SidecarContext
from .http.pool import ConnectionPool
from .messages import (
    WATCH_ENDPOINTS,
    CancelExchange,
    ClientDisconnected,
    ConfigReloaded,
    EndpointMoved,
    EndpointsChanged,
    ExchangeEnded,
    FinalResponse,
    GossipReceived,
    RequestBodyComplete,
    RequestReceived,
    StartExchange,
)
from .state.requests import Exchange, PendingRequest

DEFERRED = 503
WRITTEN_OFF = 504


def _request_of(message: object) -> PendingRequest | None:
    """The request that a message is about; None: it is about none."""
    match message:
        case RequestReceived(pending) | RequestBodyComplete(pending) | ClientDisconnected(pending):
            return pending
        case ExchangeEnded(exchange):
            return exchange.pending
    return None


class RequestCoordinator(Actor):
    daemon = True
    # Guards against the mail of many peers piling up before one that is given as much a turn as each of them.
    messages_per_turn = 64

    def __init__(self, context: SidecarContext) -> None:
        self.context = context
        self.scheduler = DecisionScheduler(
            context.balancer_config, context.rng, self, context.loop.now(), context.lease
        )
        self.pools: dict[str, ConnectionPool] = {}
        self.pending_requests: dict[Request, PendingRequest] = {}
        self.alarm_at = self.restart_at = inf
        self.has_started = self.has_endpoints = False
        self.counts = {"finished": 0, "deferred": 0, "written_off": 0, "left": 0}
        self.slowest_turn = 0.0
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        while True:
            message = yield min(self.alarm_at, self.restart_at)
            now = self.loop.now()
            self.scheduler.set_time(now)
            try:
                self._handle(message)
            except Exception as error:
                self.context.log.defect("module.defect", error)
                if (pending := _request_of(message)) is not None:
                    self._abandon_request(pending)
            self.slowest_turn = max(self.slowest_turn, self.loop.now() - now)

    def _handle(self, message: Any) -> None:
        match message:
            case None:
                self._timer_due()
            case RequestReceived(pending):
                self.pending_requests[pending.request] = pending
                self.scheduler.accept_request(pending.request)
            case RequestBodyComplete(pending):
                # Its time counts from now on.
                pending.request.arrived_at = self.scheduler.now
                self.scheduler.request_body_complete(pending.request, list(pending.exchanges))
            case ExchangeEnded(exchange, fate, report, answer):
                self._exchange_ended(exchange, fate, report, answer)
            case ClientDisconnected(pending):
                if pending.owed:
                    pending.owed = False
                    self.counts["left"] += 1
                    self.scheduler.client_disconnected(pending.request)
                    self._forget_if_finished(pending)
            case EndpointsChanged(news, entries):
                self._endpoints_changed(news, entries)
            case ConfigReloaded(terms):
                self.scheduler.reload(terms)
            case GossipReceived(peer, body):
                self.scheduler.gossip_received(peer, body)

    def _timer_due(self) -> None:
        if self.restart_at <= self.scheduler.now:
            self.restart_at = inf
            self.scheduler.start()
        if self.alarm_at <= self.scheduler.now:
            self.alarm_at = inf
            self.scheduler.tick()

    def _exchange_ended(
        self, exchange: Exchange, fate: AttemptOutcome, report: dict[str, float], answer: Any
    ) -> None:
        took = self.loop.now() - exchange.started_at
        if exchange.attempt is None:
            self.scheduler.health_check_ended(exchange.endpoint.endpoint_id, fate, took, report)
            return
        pending = exchange.pending
        del pending.exchanges[exchange.attempt]
        if not fate.never_ran:
            pending.may_have_run = True
            pending.risky_since = min(pending.risky_since, exchange.started_at)
        if answer is not None:
            if pending.owed:
                self._send_final_response(pending, FinalResponse(200, answer), "finished")
            else:
                answer.body.release()
        try:
            self.scheduler.attempt_ended(AttemptEnded(exchange.attempt, fate, took, not pending.owed, report))
        finally:
            self._forget_if_finished(pending)

    def _endpoints_changed(self, news: WatchEvent, entries: list[Any]) -> None:
        if news is WatchEvent.SNAPSHOT:
            named = {entry.id for entry in entries}
            for gone in [known for known in self.pools if known not in named]:
                self.pools.pop(gone).post(EndpointMoved(None))
        for entry in entries:
            if entry.state == "left":
                if known := self.pools.pop(entry.id, None):
                    known.post(EndpointMoved(None))
            elif known := self.pools.get(entry.id):
                known.post(EndpointMoved(entry))
            else:
                self.pools[entry.id] = ConnectionPool(self.context, entry)
                self.pools[entry.id].begin()
        self.has_endpoints = self.has_endpoints or bool(self.pools)
        self.scheduler.endpoints_changed(news, [entry.listing() for entry in entries])
        if not self.has_started:
            # Guards against a list that nobody watches: the standing chores begin with the first word of it.
            self.has_started = True
            self.scheduler.start()

    # The door.

    def start_attempt(self, attempt: Attempt, limit: float) -> None:
        pending = self.pending_requests[attempt.request]
        carrier = (
            self.pools.get(attempt.endpoint.endpoint_id) if self.context.gate.may_repeat(pending) else None
        )
        until = attempt.started_at + limit
        if pending.coming:
            # Guards against taking the time that its client needs to send it for its upstream's.
            attempt.started_at = inf
        exchange = pending.exchanges[attempt] = Exchange(
            attempt.endpoint, carrier, attempt.started_at, until, attempt, pending
        )
        self._start_exchange(exchange)

    def _start_exchange(self, exchange: Exchange) -> None:
        if exchange.pool:
            exchange.pool.post(StartExchange(exchange))
        else:
            self.post(ExchangeEnded(exchange, AttemptOutcome.NOT_SENT))

    def cancel_attempt(self, attempt: Attempt) -> None:
        self._cancel_exchange(self.pending_requests[attempt.request].exchanges.get(attempt))

    def _cancel_exchange(self, exchange: Exchange | None) -> None:
        if exchange and exchange.pool:
            exchange.pool.post(CancelExchange(exchange))

    def reject_request(self, request: Request, retry_after: float) -> None:
        pending = self.pending_requests[request]
        if not self.context.gate.may_reject(pending):
            self.fail_request(request)
            return
        self.context.gate.note_rejected()
        self._send_final_response(pending, FinalResponse(DEFERRED, retry_after=retry_after), "deferred")
        self._forget_if_finished(pending)

    def fail_request(self, request: Request) -> None:
        pending = self.pending_requests[request]
        self._send_final_response(pending, FinalResponse(WRITTEN_OFF), "written_off")
        self._forget_if_finished(pending)

    def watch_endpoints(self) -> None:
        self.context.discovery.post(WATCH_ENDPOINTS)

    def start_health_check(self, upstream: Any) -> None:
        now = self.loop.now()
        carrier = self.pools.get(upstream.endpoint_id)
        self._start_exchange(Exchange(upstream, carrier, now, now + self.context.shortest_objective / 2))

    def send_gossip(self, body: bytes) -> None:
        # Guards against peers hearing two counts of one sidecar: of two processes the last one tells.
        if self.context.gossip_socket is not None and not (
            self.context.stopping and self.context.passed_socket
        ):
            self.context.gossip_socket.tell(body)

    def set_alarm(self, at: float) -> None:
        self.alarm_at = min(self.alarm_at, at)

    def report_defect(self, request: Request | None, error: Exception) -> None:
        self.context.log.defect("module.defect", error)
        if request is None:
            # Guards against a defect in a standing chore leaving the list unwatched for good.
            self.restart_at = self.scheduler.now + self.context.shortest_objective
        elif pending := self.pending_requests.get(request):
            self._abandon_request(pending)

    # The work in hand.

    def _send_final_response(self, pending: PendingRequest, final: FinalResponse, how: str) -> None:
        pending.owed = False
        self.counts[how] += 1
        pending.client.post(final)

    def _abandon_request(self, pending: PendingRequest) -> None:
        """Guards against a defect keeping a client waiting: what can't be decided is written off."""
        if pending.owed:
            self.context.log(
                "work.given_up",
                trace=pending.trace.decode("latin-1"),
                category=pending.request.request_class.name,
            )
            self._send_final_response(pending, FinalResponse(WRITTEN_OFF), "written_off")
        for exchange in pending.exchanges.values():
            self._cancel_exchange(exchange)
        self._forget_if_finished(pending)

    def _forget_if_finished(self, pending: PendingRequest) -> None:
        if not pending.owed and not pending.exchanges and self.pending_requests.pop(pending.request, None):
            pending.body.release()
