"""One simulated sidecar: hosts the decisions, and maps the simulator's request numbers to their objects."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from ..decisions.endpoint_stats import EndpointStats
from ..decisions.events import AttemptEnded, WatchEvent
from ..decisions.model import Attempt, Endpoint, Request
from ..decisions.scheduler import DecisionScheduler
from . import wire
from .wire import LineName, SimulatorLine


class SimulatedRequest:
    """A request under its number, held until it is answered and all its attempts have ended."""

    __slots__ = ("number", "request", "attempts", "unanswered")

    def __init__(self, number: int, request: Request) -> None:
        """A request that has just come."""
        self.number = number
        self.request = request
        self.attempts: list[Attempt] = []
        self.unanswered = True


class SimulatedSidecar:
    """The `DecisionHost` of one sidecar. Its commands are collected as lines in `output`."""

    def __init__(self, line: SimulatorLine, now: float) -> None:
        """Start as the line configures it; raises `MalformedMessageError`."""
        self.output: list[str] = []
        config = line.balancer_config
        self._request_classes = {c.name: c for c in config.request_classes}
        self._tenants = {tenant.name: tenant for tenant in config.tenants}
        self._by_number: dict[int, SimulatedRequest] = {}
        self._by_request: dict[Request, SimulatedRequest] = {}
        self._started = False
        self._alarms: list[int] = []  # in microseconds, each sooner than the one before it
        self.scheduler = DecisionScheduler(config, random.Random(line.random_seed), self, now)

    # Events.

    def handle(self, line: SimulatorLine, lists: Mapping[int, list[Endpoint]]) -> None:
        """Pass one event to the decisions; raises `MalformedMessageError`.

        `lists`: the endpoint lists by the number that an event refers to them by.
        """
        if line.name == LineName.ENDPOINTS_CHANGED:
            self._endpoints_changed(line, lists)
            return
        handler = self._HANDLERS.get(line.name)
        if handler is None:
            raise line.error("unknown event")
        handler(self, line)

    def _endpoints_changed(self, line: SimulatorLine, lists: Mapping[int, list[Endpoint]]) -> None:
        event = line.watch_event
        endpoints = [] if event is WatchEvent.FAILED else line.endpoint_list(lists)
        self.scheduler.endpoints_changed(event, endpoints)
        if not self._started:
            self._started = True
            self.scheduler.start()

    def _request_received(self, line: SimulatorLine) -> None:
        request = Request(
            request_class=line.request_class(self._request_classes),
            arrived_at=self.scheduler.now,
            time_left=line.time_left,
            tenant=self._tenants.get(line.tenant),
            is_retry=line.is_retry,
            cost=line.cost,
            key=line.affinity_key,
        )
        pending = SimulatedRequest(line.request_number, request)
        self._by_number[pending.number] = self._by_request[request] = pending
        self.scheduler.accept_request(request)

    def _attempt(self, line: SimulatorLine) -> Attempt | None:
        """Return the attempt that a line is about; None when its request is long over."""
        pending = self._by_number.get(line.request_number)
        if pending is None:
            return None
        index = line.attempt_index
        if not 0 <= index < len(pending.attempts):
            raise line.unknown_attempt()
        return pending.attempts[index]

    def _attempt_ended(self, line: SimulatorLine) -> None:
        attempt = self._attempt(line)
        outcome = line.outcome
        if attempt is None or not attempt.pending:
            return
        answered = line.answered_client
        pending = self._by_request[attempt.request]
        pending.unanswered = pending.unanswered and not answered
        self.scheduler.attempt_ended(
            AttemptEnded(attempt, outcome, line.duration, answered, line.load_report())
        )
        self._forget_if_over(pending)

    def _response_started(self, line: SimulatorLine) -> None:
        attempt = self._attempt(line)
        if attempt is not None:
            self.scheduler.response_started(attempt)

    def _client_disconnected(self, line: SimulatorLine) -> None:
        pending = self._by_number.get(line.request_number)
        if pending is not None and pending.unanswered:
            pending.unanswered = False
            self.scheduler.client_disconnected(pending.request)
            self._forget_if_over(pending)

    def _alarm(self, line: SimulatorLine) -> None:
        _ = line.alarm_mark  # the field has to be there, whatever it says
        while self._alarms and self._alarms[-1] <= wire.to_microseconds(self.scheduler.now):
            self._alarms.pop()
        self.scheduler.tick()

    def _health_check_ended(self, line: SimulatorLine) -> None:
        outcome = line.outcome
        self.scheduler.health_check_ended(line.endpoint_id, outcome, line.duration, line.load_report())

    def _gossip_received(self, line: SimulatorLine) -> None:
        self.scheduler.gossip_received(line.peer, line.gossip)

    _HANDLERS: Mapping[str, Callable[[SimulatedSidecar, SimulatorLine], None]] = {
        LineName.REQUEST_RECEIVED: _request_received,
        LineName.ATTEMPT_ENDED: _attempt_ended,
        LineName.RESPONSE_STARTED: _response_started,
        LineName.CLIENT_DISCONNECTED: _client_disconnected,
        LineName.ALARM: _alarm,
        LineName.HEALTH_CHECK_ENDED: _health_check_ended,
        LineName.GOSSIP_RECEIVED: _gossip_received,
    }

    def _forget_if_over(self, pending: SimulatedRequest) -> None:
        if not pending.unanswered and not any(attempt.pending for attempt in pending.attempts):
            self._by_number.pop(pending.number, None)
            self._by_request.pop(pending.request, None)

    # Commands: the methods of `DecisionHost`.

    def start_attempt(self, attempt: Attempt, timeout: float) -> None:
        """Send the request to the attempt's endpoint, with a timeout of `timeout` seconds."""
        pending = self._by_request[attempt.request]
        pending.attempts.append(attempt)
        self.output.append(wire.encode_start_attempt(pending.number, attempt.endpoint.endpoint_id, timeout))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Give an attempt up; its end is still reported."""
        pending = self._by_request[attempt.request]
        self.output.append(wire.encode_cancel_attempt(pending.number, pending.attempts.index(attempt)))

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Final answer: not executed; it may be sent again after so many seconds."""
        self._answer(request, wire.encode_reject_request(self._by_request[request].number, retry_after))

    def fail_request(self, request: Request) -> None:
        """Final answer: failed, perhaps after it had an effect."""
        self._answer(request, wire.encode_fail_request(self._by_request[request].number))

    def _answer(self, request: Request, line: str) -> None:
        pending = self._by_request[request]
        pending.unanswered = False
        self.output.append(line)
        self._forget_if_over(pending)

    def watch_endpoints(self) -> None:
        """Open the watch of the endpoint list."""
        self.output.append(wire.encode_watch_endpoints())

    def start_health_check(self, endpoint: EndpointStats) -> None:
        """Ask an endpoint for its load."""
        self.output.append(wire.encode_health_check(endpoint.endpoint_id))

    def send_gossip(self, body: bytes) -> None:
        """Send a message to all peers."""
        self.output.append(wire.encode_gossip(body))

    def report_defect(self, request: Request | None, error: Exception) -> None:
        """Raise the error: a fault in the decisions ends the process."""
        raise error

    def set_alarm(self, at: float) -> None:
        """Have `DecisionScheduler.tick` called at that time."""
        alarm = wire.to_alarm_time(at)
        # Alarms can't be cancelled, and must not pile up: one that comes sooner asks for the next.
        if not self._alarms or alarm < self._alarms[-1]:
            self._alarms.append(alarm)
            self.output.append(wire.encode_alarm(alarm))
