"""The module's actor, the runner's second `Door`: mail into events for the decisions, commands into mail.

It adds no decision of its own.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Any

from ..decisions.events import AttemptEnded, WatchEvent
from ..decisions.model import Attempt, AttemptOutcome, Request
from ..decisions.scheduler import DecisionScheduler
from .actor import Actor, Coroutine
from .mail import (
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
from .memory.work import Exchange, PendingRequest
from .wire.upstream import ConnectionPool

if TYPE_CHECKING:
    from .lifecycle.start import Node

DEFERRED = 503
WRITTEN_OFF = 504


class RequestCoordinator(Actor):
    lasting = True
    # Guards against the mail of many peers piling up before one that is given as much a turn as each of them.
    at_once = 64

    def __init__(self, node: Node) -> None:
        self.node = node
        self.runner = DecisionScheduler(node.terms, node.chance, self, node.loop.now(), node.lease)
        self.upstreams: dict[str, ConnectionPool] = {}
        self.pending_requests: dict[Request, PendingRequest] = {}
        self.alarm_at = self.restart_at = inf
        self.begun = self.listed = False
        self.counts = {"finished": 0, "deferred": 0, "written_off": 0, "left": 0}
        self.slowest = 0.0
        super().__init__(node.loop)

    def run(self) -> Coroutine[None]:
        while True:
            mail = yield min(self.alarm_at, self.restart_at)
            now = self.loop.now()
            self.runner.set_time(now)
            try:
                self._handle(mail)
            except Exception as error:
                self.node.log.defect("module.defect", error)
                if pending := getattr(mail, "job", None) or getattr(
                    getattr(mail, "errand", None), "job", None
                ):
                    self._give_up(pending)
            self.slowest = max(self.slowest, self.loop.now() - now)

    def _handle(self, mail: Any) -> None:
        match mail:
            case None:
                self._due()
            case RequestReceived(pending):
                self.pending_requests[pending.request] = pending
                self.runner.accept_request(pending.request)
            case RequestBodyComplete(pending):
                # Its time counts from now on.
                pending.request.arrived_at = self.runner.now
                self.runner.request_body_complete(pending.request, list(pending.exchanges))
            case ExchangeEnded(exchange, fate, report, answer):
                self._ended(exchange, fate, report, answer)
            case ClientDisconnected(pending):
                if pending.owed:
                    pending.owed = False
                    self.counts["left"] += 1
                    self.runner.client_disconnected(pending.request)
                    self._forget_if_closed(pending)
            case EndpointsChanged(news, entries):
                self._listed(news, entries)
            case ConfigReloaded(terms):
                self.runner.reload(terms)
            case GossipReceived(peer, body):
                self.runner.gossip_received(peer, body)

    def _due(self) -> None:
        if self.restart_at <= self.runner.now:
            self.restart_at = inf
            self.runner.start()
        if self.alarm_at <= self.runner.now:
            self.alarm_at = inf
            self.runner.tick()

    def _ended(self, exchange: Exchange, fate: AttemptOutcome, report: dict[str, float], answer: Any) -> None:
        took = self.loop.now() - exchange.started_at
        if exchange.attempt is None:
            self.runner.health_check_ended(exchange.endpoint.endpoint_id, fate, took, report)
            return
        pending = exchange.pending
        del pending.exchanges[exchange.attempt]
        if not fate.never_ran:
            pending.may_have_run = True
            pending.risky_since = min(pending.risky_since, exchange.started_at)
        if answer is not None:
            if pending.owed:
                self._final(pending, FinalResponse(200, answer), "finished")
            else:
                answer.body.release()
        try:
            self.runner.attempt_ended(AttemptEnded(exchange.attempt, fate, took, not pending.owed, report))
        finally:
            self._forget_if_closed(pending)

    def _listed(self, news: WatchEvent, entries: list[Any]) -> None:
        if news is WatchEvent.SNAPSHOT:
            named = {entry.id for entry in entries}
            for gone in [known for known in self.upstreams if known not in named]:
                self.upstreams.pop(gone).post(EndpointMoved(None))
        for entry in entries:
            if entry.state == "left":
                if known := self.upstreams.pop(entry.id, None):
                    known.post(EndpointMoved(None))
            elif known := self.upstreams.get(entry.id):
                known.post(EndpointMoved(entry))
            else:
                self.upstreams[entry.id] = ConnectionPool(self.node, entry)
                self.upstreams[entry.id].begin()
        self.listed = self.listed or bool(self.upstreams)
        self.runner.endpoints_changed(news, [entry.listing() for entry in entries])
        if not self.begun:
            # Guards against a list that nobody watches: the standing chores begin with the first word of it.
            self.begun = True
            self.runner.start()

    # The door.

    def start_attempt(self, attempt: Attempt, limit: float) -> None:
        pending = self.pending_requests[attempt.request]
        carrier = (
            self.upstreams.get(attempt.endpoint.endpoint_id) if self.node.gate.may_repeat(pending) else None
        )
        until = attempt.started_at + limit
        if pending.coming:
            # Guards against taking the time that its client needs to send it for its upstream's.
            attempt.started_at = inf
        exchange = pending.exchanges[attempt] = Exchange(
            attempt.endpoint, carrier, attempt.started_at, until, attempt, pending
        )
        self._carry(exchange)

    def _carry(self, exchange: Exchange) -> None:
        if exchange.pool:
            exchange.pool.post(StartExchange(exchange))
        else:
            self.post(ExchangeEnded(exchange, AttemptOutcome.NOT_SENT))

    def cancel_attempt(self, attempt: Attempt) -> None:
        self._drop(self.pending_requests[attempt.request].exchanges.get(attempt))

    def _drop(self, exchange: Exchange | None) -> None:
        if exchange and exchange.pool:
            exchange.pool.post(CancelExchange(exchange))

    def reject_request(self, request: Request, retry_after: float) -> None:
        pending = self.pending_requests[request]
        if not self.node.gate.may_reject(pending):
            self.fail_request(request)
            return
        self.node.gate.note_rejected()
        self._final(pending, FinalResponse(DEFERRED, retry_after=retry_after), "deferred")
        self._forget_if_closed(pending)

    def fail_request(self, request: Request) -> None:
        pending = self.pending_requests[request]
        self._final(pending, FinalResponse(WRITTEN_OFF), "written_off")
        self._forget_if_closed(pending)

    def watch_endpoints(self) -> None:
        self.node.list.post(WATCH_ENDPOINTS)

    def start_health_check(self, upstream: Any) -> None:
        now = self.loop.now()
        carrier = self.upstreams.get(upstream.endpoint_id)
        self._carry(Exchange(upstream, carrier, now, now + self.node.shortest / 2))

    def send_gossip(self, body: bytes) -> None:
        # Guards against peers hearing two counts of one sidecar: of two processes the last one tells.
        if self.node.datagrams is not None and not (self.node.stopping and self.node.passed):
            self.node.datagrams.tell(body)

    def set_alarm(self, at: float) -> None:
        self.alarm_at = min(self.alarm_at, at)

    def report_defect(self, request: Request | None, error: Exception) -> None:
        self.node.log.defect("module.defect", error)
        if request is None:
            # Guards against a defect in a standing chore leaving the list unwatched for good.
            self.restart_at = self.runner.now + self.node.shortest
        elif pending := self.pending_requests.get(request):
            self._give_up(pending)

    # The work in hand.

    def _final(self, pending: PendingRequest, final: FinalResponse, how: str) -> None:
        pending.owed = False
        self.counts[how] += 1
        pending.client.post(final)

    def _give_up(self, pending: PendingRequest) -> None:
        """Guards against a defect keeping a client waiting: what can't be decided is written off."""
        if pending.owed:
            self.node.log(
                "work.given_up",
                trace=pending.trace.decode("latin-1"),
                category=pending.request.request_class.name,
            )
            self._final(pending, FinalResponse(WRITTEN_OFF), "written_off")
        for exchange in pending.exchanges.values():
            self._drop(exchange)
        self._forget_if_closed(pending)

    def _forget_if_closed(self, pending: PendingRequest) -> None:
        if not pending.owed and not pending.exchanges and self.pending_requests.pop(pending.request, None):
            pending.body.release()
