"""The actor that hosts the decisions: passes messages to them as events, and carries out their commands.

It makes no decision itself.
"""

from __future__ import annotations

from math import inf

from ..decisions.config import RetrySafety
from ..decisions.endpoint_stats import EndpointStats
from ..decisions.events import AttemptEnded, WatchEvent
from ..decisions.model import Attempt, AttemptOutcome, Request
from ..decisions.scheduler import DecisionScheduler
from .actor import Actor, Coroutine
from .context import SidecarContext
from .discovery.messages import LEFT_STATE, DiscoveredEndpoint
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
    ResponseHeadReceived,
    ResponseStarted,
    ShutdownStarted,
    StartExchange,
)
from .state.requests import Exchange, PendingRequest, UpstreamResponse

CONFLICT = 409
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
HEALTH_CHECK_TIMEOUT_FRACTION = 1 / 2  # of the shortest latency objective


def _request_of(message: object) -> PendingRequest | None:
    """Return the request that a message is about, or None if it is not about one."""
    match message:
        case RequestReceived(pending) | RequestBodyComplete(pending) | ClientDisconnected(pending):
            return pending
        case ExchangeEnded(exchange) | ResponseHeadReceived(exchange) | ResponseStarted(exchange):
            return exchange.pending
    return None


class RequestCoordinator(Actor):
    """Hosts the `DecisionScheduler` of one sidecar (`decisions.scheduler.DecisionHost`)."""

    daemon = True
    # Each peer's actor may post one message per turn, so the messages of many peers would accumulate here if
    # the coordinator also handled only one.
    messages_per_turn = 64

    def __init__(self, context: SidecarContext) -> None:
        """Create the coordinator, without any endpoint; `begin` starts it."""
        self.context = context
        self.scheduler = DecisionScheduler(
            context.balancer_config, context.rng, self, context.loop.now(), context.lease
        )
        self.pools: dict[str, ConnectionPool] = {}  # by endpoint id
        self.pending_requests: dict[Request, PendingRequest] = {}
        self.alarm_at = inf  # when the decisions are to run next
        self.restart_at = inf  # when the background tasks of the decisions are restarted after an error
        self.tasks_started = False  # whether the background tasks of the decisions have been started
        self.has_endpoints = False  # whether an endpoint list has been received
        self.counts = {"finished": 0, "deferred": 0, "written_off": 0, "left": 0}  # by their names in the log
        self.slowest_turn = 0.0  # seconds that the slowest message took since the last report
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Handle messages and alarms forever. An error ends the request concerned, not the actor."""
        while True:
            message = yield min(self.alarm_at, self.restart_at)
            now = self.loop.now()
            self.scheduler.set_time(now)
            try:
                self._handle(message)
            except Exception as error:
                self.context.log.exception("module.defect", error)
                if (pending := _request_of(message)) is not None:
                    self._abandon_request(pending)
            self.slowest_turn = max(self.slowest_turn, self.loop.now() - now)

    def _handle(self, message: object) -> None:
        match message:
            case None:
                self._timer_due()
            case RequestReceived(pending):
                self._accept_request(pending)
            case RequestBodyComplete(pending):
                # The timeout of the request counts from the arrival of its last byte.
                pending.request.arrived_at = self.scheduler.now
                self.scheduler.request_body_complete(pending.request, list(pending.exchanges))
            case ResponseHeadReceived() | ResponseStarted() | ExchangeEnded():
                self._handle_response(message)
            case ClientDisconnected(pending):
                self._client_disconnected(pending)
            case EndpointsChanged(event, endpoints):
                self._endpoints_changed(event, endpoints)
            case ConfigReloaded(balancer_config):
                self.scheduler.reload(balancer_config)
            case GossipReceived(peer, body):
                self.scheduler.gossip_received(peer, body)
            case ShutdownStarted(answer_by):
                self.scheduler.begin_shutdown(answer_by)

    def _handle_response(self, message: ResponseHeadReceived | ResponseStarted | ExchangeEnded) -> None:
        match message:
            case ResponseHeadReceived(exchange, may_be_long):
                if exchange.attempt is not None:
                    self.scheduler.head_received(exchange.attempt, may_be_long)
            case ResponseStarted(exchange, response):
                self._response_started(exchange, response)
            case ExchangeEnded(exchange, outcome, load_report, response):
                self._exchange_ended(exchange, outcome, load_report, response)

    def _timer_due(self) -> None:
        if self.restart_at <= self.scheduler.now:
            self.restart_at = inf
            self.scheduler.start()
        if self.alarm_at <= self.scheduler.now:
            self.alarm_at = inf
            self.scheduler.tick()

    def _accept_request(self, pending: PendingRequest) -> None:
        """Dispatch a request, unless it must not run twice and its id may have run already."""
        if pending.request.request_class.retry_safety is not RetrySafety.IDEMPOTENT:
            if not self.context.request_ids.claim(pending.trace_id):
                self._reject_repeated_id(pending)
                return
            pending.id_claimed = True
        self.pending_requests[pending.request] = pending
        self.scheduler.accept_request(pending.request)

    def _reject_repeated_id(self, pending: PendingRequest) -> None:
        """Answer 409, which does not promise that the request has had no effect."""
        trace = pending.trace_id.decode("latin-1")
        self.context.log("request.unfit", status=CONFLICT, reason="x-trace-id may have run", trace=trace)
        self._send_final_response(pending, FinalResponse(CONFLICT), "written_off")
        pending.body.release()

    def _release_id(self, pending: PendingRequest) -> None:
        """Let the id of a request be used again."""
        if pending.id_claimed:
            pending.id_claimed = False
            self.context.request_ids.release(pending.trace_id)

    def _client_disconnected(self, pending: PendingRequest) -> None:
        if not pending.awaits_response:
            return
        pending.awaits_response = False
        self.counts["left"] += 1
        self.scheduler.client_disconnected(pending.request)
        self._forget_if_finished(pending)

    def _response_started(self, exchange: Exchange, response: UpstreamResponse) -> None:
        """Give a response that is still arriving as the final one; its exchange goes on."""
        attempt, pending = exchange.attempt, exchange.pending
        if attempt is None or pending is None or not pending.awaits_response:
            response.body.release()
            return
        self._send_final_response(pending, FinalResponse(200, response), "finished")
        self.scheduler.response_started(attempt, is_load=False)

    def _exchange_ended(
        self,
        exchange: Exchange,
        outcome: AttemptOutcome,
        load_report: dict[str, float],
        response: UpstreamResponse | None,
    ) -> None:
        ended_at = self.loop.now()
        if outcome is AttemptOutcome.SUCCESS and response is None and exchange.body_began_at is not None:
            ended_at = exchange.body_began_at  # the first bytes of a long response are timed
        duration = ended_at - exchange.started_at
        attempt, pending = exchange.attempt, exchange.pending
        if attempt is None or pending is None:
            self.scheduler.health_check_ended(exchange.endpoint.endpoint_id, outcome, duration, load_report)
            return
        del pending.exchanges[attempt]
        if not outcome.never_ran:
            pending.was_sent = pending.was_sent or exchange.written
            pending.may_have_run = True
            pending.first_may_have_run_at = min(pending.first_may_have_run_at, exchange.started_at)
        if response is not None:
            if pending.awaits_response:
                self._send_final_response(pending, FinalResponse(200, response), "finished")
            else:
                response.body.release()
        try:
            self.scheduler.attempt_ended(
                AttemptEnded(attempt, outcome, duration, not pending.awaits_response, load_report)
            )
        finally:
            self._forget_if_finished(pending)

    def _endpoints_changed(self, event: WatchEvent, endpoints: list[DiscoveredEndpoint]) -> None:
        if event is WatchEvent.SNAPSHOT:
            listed = {endpoint.id for endpoint in endpoints}
            for endpoint_id in [known for known in self.pools if known not in listed]:
                self.pools.pop(endpoint_id).post(EndpointMoved(None))
        for endpoint in endpoints:
            self._update_pool(endpoint)
        self.has_endpoints = self.has_endpoints or bool(self.pools)
        self.scheduler.endpoints_changed(event, [endpoint.to_endpoint() for endpoint in endpoints])
        if not self.tasks_started:
            # Before the first list there is nothing to watch, poll or check.
            self.tasks_started = True
            self.scheduler.start()

    def _update_pool(self, endpoint: DiscoveredEndpoint) -> None:
        pool = self.pools.get(endpoint.id)
        if endpoint.state == LEFT_STATE:
            if pool is not None:
                del self.pools[endpoint.id]
                pool.post(EndpointMoved(None))
        elif pool is not None:
            pool.post(EndpointMoved(endpoint))
        else:
            self.pools[endpoint.id] = ConnectionPool(self.context, endpoint)
            self.pools[endpoint.id].begin()

    # Commands of the decisions (`DecisionHost`).

    def start_attempt(self, attempt: Attempt, timeout: float) -> None:
        """Start an attempt, which times out after `timeout` seconds."""
        pending = self.pending_requests[attempt.request]
        pool = None
        if self.context.gate.may_start_attempt(pending):
            pool = self.pools.get(attempt.endpoint.endpoint_id)
        timeout_at = attempt.started_at + timeout
        if pending.body_incomplete:
            # The time that the client takes to send the rest is not counted against the endpoint.
            attempt.started_at = timeout_at = inf
        exchange = Exchange(attempt.endpoint, pool, attempt.started_at, timeout_at, attempt, pending)
        pending.exchanges[attempt] = exchange
        self._start_exchange(exchange)

    def _start_exchange(self, exchange: Exchange) -> None:
        if exchange.pool:
            exchange.pool.post(StartExchange(exchange))
        else:
            self.post(ExchangeEnded(exchange, AttemptOutcome.NOT_SENT))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt; does nothing if it has ended."""
        self._cancel_exchange(self.pending_requests[attempt.request].exchanges.get(attempt))

    def _cancel_exchange(self, exchange: Exchange | None) -> None:
        if exchange and exchange.pool:
            exchange.pool.post(CancelExchange(exchange))

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Reject a request that is safe to retry; the client may do so after `retry_after` seconds."""
        pending = self.pending_requests[request]
        if not self.context.gate.may_reject(pending):
            self.fail_request(request)
            return
        self.context.gate.record_rejection()
        self._release_id(pending)
        response = FinalResponse(SERVICE_UNAVAILABLE, retry_after=retry_after)
        self._send_final_response(pending, response, "deferred")
        self._forget_if_finished(pending)

    def fail_request(self, request: Request) -> None:
        """Answer 504 to a request that may have run, so that it can't be rejected as safe to retry."""
        pending = self.pending_requests[request]
        self._send_final_response(pending, FinalResponse(GATEWAY_TIMEOUT), "written_off")
        self._forget_if_finished(pending)

    def watch_endpoints(self) -> None:
        """Tell the discovery client to watch the endpoint list."""
        self.context.discovery.post(WATCH_ENDPOINTS)

    def start_health_check(self, endpoint: EndpointStats) -> None:
        """Start a health check of an endpoint."""
        now = self.loop.now()
        pool = self.pools.get(endpoint.endpoint_id)
        deadline = now + self.context.shortest_objective * HEALTH_CHECK_TIMEOUT_FRACTION
        self._start_exchange(Exchange(endpoint, pool, now, deadline))

    def send_gossip(self, body: bytes) -> None:
        """Send gossip to all peers."""
        context = self.context
        # Of two processes of one sidecar only the later one sends; otherwise peers would count the sidecar's
        # load twice.
        if context.gossip_socket is not None and not (context.stopping and context.passed_socket):
            context.gossip_socket.send(body)

    def set_alarm(self, at: float) -> None:
        """Call `DecisionScheduler.tick` at the time `at` at the latest."""
        self.alarm_at = min(self.alarm_at, at)

    def report_defect(self, request: Request | None, error: Exception) -> None:
        """Log an error in the decisions and end its request; None: the error was in a background task."""
        self.context.log.exception("module.defect", error)
        if request is None:
            # Without a restart of the background tasks the endpoint list would never be watched again.
            self.restart_at = self.scheduler.now + self.context.shortest_objective
        elif pending := self.pending_requests.get(request):
            self._abandon_request(pending)

    # Requests in flight.

    def _send_final_response(self, pending: PendingRequest, response: FinalResponse, counted_as: str) -> None:
        pending.awaits_response = False
        self.counts[counted_as] += 1
        pending.client.post(response)

    def _abandon_request(self, pending: PendingRequest) -> None:
        """Answer 504 to a request whose handling has failed with an error, and cancel its exchanges."""
        if pending.awaits_response:
            self.context.log(
                "work.given_up",
                trace=pending.trace_id.decode("latin-1"),
                category=pending.request.request_class.name,
            )
            self._send_final_response(pending, FinalResponse(GATEWAY_TIMEOUT), "written_off")
        for exchange in pending.exchanges.values():
            self._cancel_exchange(exchange)
        self._forget_if_finished(pending)

    def _forget_if_finished(self, pending: PendingRequest) -> None:
        if pending.awaits_response or pending.exchanges:
            return
        if self.pending_requests.pop(pending.request, None) is not None:
            pending.body.release()
            if not pending.was_sent:
                self._release_id(pending)
