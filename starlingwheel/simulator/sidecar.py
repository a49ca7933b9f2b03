"""One simulated sidecar: hosts the decisions and maps the simulator's request numbers to request objects."""

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
    """A request and its number, kept until it is answered and all its attempts have ended."""

    __slots__ = ("number", "request", "attempts", "unanswered")

    def __init__(self, number: int, request: Request) -> None:
        """Create the entry of a request that has just arrived."""
        self.number = number
        self.request = request
        self.attempts: list[Attempt] = []
        self.unanswered = True


class SimulatedSidecar:
    """The `DecisionHost` of one sidecar; appends each command to `output` as a line."""

    def __init__(self, line: SimulatorLine, now: float) -> None:
        """Start with the configuration in the line. Raises `MalformedMessageError`."""
        self.output: list[str] = []
        config = line.balancer_config
        self._request_classes = {c.name: c for c in config.request_classes}
        self._tenants = {tenant.name: tenant for tenant in config.tenants}
        self._by_number: dict[int, SimulatedRequest] = {}
        self._by_request: dict[Request, SimulatedRequest] = {}
        self._started = False
        self._alarms: list[int] = []  # pending alarms in microseconds, in descending order
        self.scheduler = DecisionScheduler(config, random.Random(line.random_seed), self, now)

    # Events.

    def handle(self, line: SimulatorLine, endpoint_lists: Mapping[int, list[Endpoint]]) -> None:
        """Pass one event to the decisions. Raises `MalformedMessageError`.

        `endpoint_lists`: the lists by the number that events use to refer to them.
        """
        if line.name == LineName.ENDPOINTS_CHANGED:
            self._endpoints_changed(line, endpoint_lists)
            return
        handler = self._HANDLERS.get(line.name)
        if handler is None:
            raise line.error("unknown event")
        handler(self, line)

    def _endpoints_changed(self, line: SimulatorLine, endpoint_lists: Mapping[int, list[Endpoint]]) -> None:
        event = line.watch_event
        endpoints = [] if event is WatchEvent.FAILED else line.endpoint_list(endpoint_lists)
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
        tracked = SimulatedRequest(line.request_number, request)
        self._by_number[tracked.number] = self._by_request[request] = tracked
        self.scheduler.accept_request(request)

    def _attempt(self, line: SimulatorLine) -> Attempt | None:
        """Return the attempt that a line refers to; None when its request is no longer tracked."""
        tracked = self._by_number.get(line.request_number)
        if tracked is None:
            return None
        index = line.attempt_index
        if not 0 <= index < len(tracked.attempts):
            raise line.unknown_attempt_error()
        return tracked.attempts[index]

    def _attempt_ended(self, line: SimulatorLine) -> None:
        attempt = self._attempt(line)
        outcome = line.outcome
        if attempt is None or not attempt.pending:
            return
        answered = line.answered_client
        tracked = self._by_request[attempt.request]
        tracked.unanswered = tracked.unanswered and not answered
        self.scheduler.attempt_ended(
            AttemptEnded(attempt, outcome, line.duration, answered, line.load_report())
        )
        self._remove_if_finished(tracked)

    def _response_started(self, line: SimulatorLine) -> None:
        attempt = self._attempt(line)
        if attempt is not None:
            self.scheduler.response_started(attempt)

    def _client_disconnected(self, line: SimulatorLine) -> None:
        tracked = self._by_number.get(line.request_number)
        if tracked is not None and tracked.unanswered:
            tracked.unanswered = False
            self.scheduler.client_disconnected(tracked.request)
            self._remove_if_finished(tracked)

    def _alarm(self, line: SimulatorLine) -> None:
        _ = line.alarm_mark  # the field is required, but its value is not used
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

    def _remove_if_finished(self, tracked: SimulatedRequest) -> None:
        if not tracked.unanswered and not any(attempt.pending for attempt in tracked.attempts):
            self._by_number.pop(tracked.number, None)
            self._by_request.pop(tracked.request, None)

    # Commands: the methods of `DecisionHost`.

    def start_attempt(self, attempt: Attempt, timeout: float) -> None:
        """Send the request to the attempt's endpoint. `timeout`: seconds."""
        tracked = self._by_request[attempt.request]
        tracked.attempts.append(attempt)
        self.output.append(wire.encode_start_attempt(tracked.number, attempt.endpoint.endpoint_id, timeout))

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt; its end is still reported."""
        tracked = self._by_request[attempt.request]
        self.output.append(wire.encode_cancel_attempt(tracked.number, tracked.attempts.index(attempt)))

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Answer that the request is rejected and may be retried. `retry_after`: seconds."""
        self._answer(request, wire.encode_reject_request(self._by_request[request].number, retry_after))

    def fail_request(self, request: Request) -> None:
        """Answer that the request failed, possibly after it had an effect."""
        self._answer(request, wire.encode_fail_request(self._by_request[request].number))

    def _answer(self, request: Request, line: str) -> None:
        tracked = self._by_request[request]
        tracked.unanswered = False
        self.output.append(line)
        self._remove_if_finished(tracked)

    def watch_endpoints(self) -> None:
        """Open the watch of the endpoint list."""
        self.output.append(wire.encode_watch_endpoints())

    def start_health_check(self, endpoint: EndpointStats) -> None:
        """Request a load report from an endpoint."""
        self.output.append(wire.encode_health_check(endpoint.endpoint_id))

    def send_gossip(self, body: bytes) -> None:
        """Send a gossip message to all peers."""
        self.output.append(wire.encode_gossip(body))

    def report_defect(self, request: Request | None, error: Exception) -> None:
        """Raise the error, since an exception in the decisions ends the process."""
        raise error

    def set_alarm(self, at: float) -> None:
        """Request a call of `DecisionScheduler.tick` at a time."""
        alarm = wire.to_alarm_time(at)
        # Alarms can't be cancelled and must not accumulate: a new one is set only if it is due before the
        # earliest pending alarm. When that one fires, the scheduler requests the next.
        if not self._alarms or alarm < self._alarms[-1]:
            self._alarms.append(alarm)
            self.output.append(wire.encode_alarm(alarm))
