"""Runs the decision coroutines of one sidecar and owns their timers; it makes no decisions itself.

A host reports events to the `DecisionScheduler` and carries out commands as a `DecisionHost`. Times are in
seconds on the host's clock.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from math import inf
from typing import Any, Protocol

from .balancer import Balancer
from .commands import (
    CancelAttempt,
    Command,
    DecisionCoroutine,
    FailRequest,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartHealthCheck,
    Wait,
    WatchEndpoints,
)
from .config import BalancerConfig
from .endpoint_stats import EndpointStats
from .events import CLIENT_DISCONNECTED, AttemptEnded, HealthCheckEnded, ResponseStarted, WatchEvent
from .lease import EndpointLease
from .model import Attempt, AttemptOutcome, Endpoint, Request


class DecisionHost(Protocol):
    """Carries out the commands of the decision coroutines."""

    def start_attempt(self, attempt: Attempt, timeout: float) -> None:
        """Send the request to the attempt's endpoint, with a timeout in seconds."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt, whose end is still reported."""

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Give the final answer: rejected; a retry is harmless, and useful after `retry_after` seconds."""

    def fail_request(self, request: Request) -> None:
        """Give the final answer: failed, possibly after taking effect."""

    def watch_endpoints(self) -> None:
        """Open the watch of the endpoint list."""

    def start_health_check(self, endpoint: EndpointStats) -> None:
        """Ask an endpoint for its load."""

    def send_gossip(self, body: bytes) -> None:
        """Send a gossip message to all peers."""

    def set_alarm(self, at: float) -> None:
        """Call `DecisionScheduler.tick` at the time `at`."""

    def report_defect(self, request: Request | None, error: Exception) -> None:
        """Report an exception that has ended the coroutine of a request, or a background task (None)."""


class ScheduledCoroutine:
    """A decision coroutine and its request (None: a background task)."""

    __slots__ = ("coroutine", "request", "resumptions", "answered", "ended")

    def __init__(self, coroutine: DecisionCoroutine, request: Request | None) -> None:
        """Wrap a coroutine that has not started."""
        self.coroutine = coroutine
        self.request = request
        self.resumptions = 0  # number of resumptions; an alarm set before the last one is void
        self.answered = False
        self.ended = False


class DecisionScheduler:
    """Resumes coroutines with events and passes their commands to the host."""

    def __init__(
        self,
        config: BalancerConfig,
        rng: random.Random,
        host: DecisionHost,
        now: float,
        lease: EndpointLease | None = None,
    ) -> None:
        """Create the scheduler and its balancer; see `Balancer` for `lease`."""
        self.host = host
        self.now = now
        self.balancer = Balancer(config, rng, now, lease)
        self.answer_by = inf  # no final answer can be given after this time, as the process has been stopped
        self._by_request: dict[Request, ScheduledCoroutine] = {}
        # A heap of: time, order of setting, coroutine, its number of resumptions at the time of setting.
        self._alarms: list[tuple[float, int, ScheduledCoroutine, int]] = []
        self._alarm_count = 0
        self._alarm_set_for: float | None = None
        self._runnable: deque[tuple[ScheduledCoroutine, Any]] = deque()
        self._health_checks: dict[str, deque[tuple[ScheduledCoroutine, EndpointStats]]] = {}
        self._watcher: ScheduledCoroutine | None = None

    def start(self) -> None:
        """Start the background tasks; the first endpoint list must have been applied before."""
        for coroutine in self.balancer.background_tasks():
            self._runnable.append((ScheduledCoroutine(coroutine, None), None))
        self._run()

    def set_time(self, now: float) -> None:
        """Set the time of the events that follow."""
        self.now = self.balancer.now = now

    def tick(self) -> None:
        """Resume the coroutines whose alarms are due."""
        self._alarm_set_for = None
        while self._alarms and self._alarms[0][0] <= self.now:
            _, _, scheduled, resumptions = heapq.heappop(self._alarms)
            if scheduled.resumptions == resumptions and not scheduled.ended:
                self._resume(scheduled, None)
        self._update_alarm()

    # Events of requests.

    def accept_request(
        self, request: Request, earlier_attempts: Sequence[tuple[Endpoint, float, bool]] = ()
    ) -> None:
        """Start processing a request that has arrived.

        `earlier_attempts`: attempts of a lost sidecar: endpoint, start time, whether it may have run.
        """
        request.max_attempts = request.max_attempts or self.balancer.config.max_attempts
        request.answer_by = self.answer_by
        if earlier_attempts:
            request.earlier_attempts = [
                self._earlier_attempt(request, *earlier) for earlier in earlier_attempts
            ]
        scheduled = ScheduledCoroutine(self.balancer.dispatch(request), request)
        self._by_request[request] = scheduled
        self._resume(scheduled, None)

    def _earlier_attempt(
        self, request: Request, entry: Endpoint, started_at: float, may_have_run: bool
    ) -> Attempt:
        stats = self.balancer.endpoints.by_id.get(entry.endpoint_id) or EndpointStats(entry, self.now, 1)
        outcome = None if may_have_run else AttemptOutcome.NOT_SENT
        return Attempt(request, stats, min(started_at, self.now), pending=False, outcome=outcome)

    def request_body_complete(self, request: Request, attempts: list[Attempt]) -> None:
        """Handle the last byte of an accepted request, whose `arrived_at` has been set."""
        for attempt in attempts:
            self.balancer.note_sent(attempt)
        self._resume_request(request, None)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Handle the end of an attempt."""
        attempt = event.attempt
        attempt.pending = False
        attempt.outcome = event.outcome
        self.balancer.attempt_ended(event)
        scheduled = self._by_request.get(attempt.request)
        if scheduled is None:
            return
        if event.request_answered:
            scheduled.answered = True
        self._resume(scheduled, event)

    def head_received(self, attempt: Attempt, may_be_long: bool = False) -> None:
        """Handle the head of a successful response, of which the client has got nothing yet.

        One that may be long is passed on by the host by the end of its client's time, unless it ends before.
        """
        if attempt.pending:
            attempt.head_received, attempt.may_be_long = True, may_be_long
            self.balancer.head_received(attempt)
            if may_be_long:
                self.balancer.release_load(attempt)
            self._resume_request(attempt.request, None)

    def response_started(self, attempt: Attempt, is_load: bool = True) -> None:
        """Handle the start of a streamed response; `is_load`: it counts as load until its end."""
        if not is_load:
            self.balancer.release_load(attempt)
        self._resume_request(attempt.request, ResponseStarted(attempt))

    def client_disconnected(self, request: Request) -> None:
        """Handle the disconnect of a request's client."""
        if scheduled := self._by_request.get(request):
            scheduled.answered = True
            self._resume(scheduled, CLIENT_DISCONNECTED)

    # Other events.

    def endpoints_changed(self, event: WatchEvent, entries: list[Endpoint]) -> None:
        """Handle a message of the endpoint watch, or the failure of the watch."""
        self.balancer.update_endpoints(event, entries)
        if self._watcher is not None:
            self._resume(self._watcher, event)

    def health_check_ended(
        self, endpoint_id: str, outcome: AttemptOutcome, duration: float, load_report: dict[str, float]
    ) -> None:
        """Handle the end of a health check, after `duration` seconds."""
        self.balancer.health_check_ended(endpoint_id, outcome, load_report)
        waiting = self._health_checks.get(endpoint_id)
        if waiting is None:
            return
        scheduled, stats = waiting.popleft()
        if not waiting:
            del self._health_checks[endpoint_id]
        self._resume(scheduled, HealthCheckEnded(stats, outcome))

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration; requests in progress keep the limits that they were accepted with."""
        self.balancer.reload(config)

    def gossip_received(self, peer: int, body: bytes) -> None:
        """Handle a gossip message of a peer."""
        self.balancer.receive_gossip(peer, body)

    def set_zone_shares(self, shares: Mapping[str, float], returned: Iterable[str]) -> None:
        """Set the fraction of endpoint draws that each zone takes part in; see `Balancer.set_zone_shares`."""
        self.balancer.set_zone_shares(shares, returned)

    def begin_shutdown(self, answer_by: float) -> None:
        """Have every request, of those in progress and those still to come, answered by that time."""
        self.answer_by = answer_by
        for request in list(self._by_request):
            request.answer_by = answer_by
            self._resume_request(request, None)

    # Running.

    def _resume_request(self, request: Request, event: object) -> None:
        if scheduled := self._by_request.get(request):
            self._resume(scheduled, event)

    def _resume(self, scheduled: ScheduledCoroutine, event: object) -> None:
        self._runnable.append((scheduled, event))
        self._run()

    def _run(self) -> None:
        while self._runnable:
            scheduled, event = self._runnable.popleft()
            if not scheduled.ended:
                self._step(scheduled, event)

    def _step(self, scheduled: ScheduledCoroutine, result: object) -> None:
        scheduled.resumptions += 1
        while True:
            try:
                command = scheduled.coroutine.send(result)
            except StopIteration:
                self._close(scheduled)
                return
            except Exception as error:
                # An exception in one coroutine must not end the others: the host reports it and answers the
                # request.
                scheduled.ended = True
                if scheduled.request is not None:
                    self._by_request.pop(scheduled.request, None)
                self.host.report_defect(scheduled.request, error)
                return
            if isinstance(command, Wait):
                self._sleep(scheduled, command.until)
                return
            result = self._execute(scheduled, command)

    def _sleep(self, scheduled: ScheduledCoroutine, until: float | None) -> None:
        if until is not None:
            self._alarm_count += 1
            heapq.heappush(self._alarms, (until, self._alarm_count, scheduled, scheduled.resumptions))
            self._update_alarm()

    def _execute(self, scheduled: ScheduledCoroutine, command: Command) -> Attempt | None:
        request = scheduled.request
        match command:
            case StartAttempt() if request is not None:
                return self._start_attempt(scheduled, request, command)
            case CancelAttempt(attempt):
                self.host.cancel_attempt(attempt)
            case RejectRequest(retry_after) if request is not None:
                self._mark_answered(scheduled)
                self.host.reject_request(request, retry_after)
            case FailRequest() if request is not None:
                self._mark_answered(scheduled)
                self.host.fail_request(request)
            case WatchEndpoints():
                self._watcher = scheduled
                self.host.watch_endpoints()
            case StartHealthCheck(stats):
                self._health_checks.setdefault(stats.endpoint_id, deque()).append((scheduled, stats))
                self.host.start_health_check(stats)
            case SendGossip(body):
                self.host.send_gossip(body)
            case _:
                raise RuntimeError(f"command not allowed in this coroutine: {command!r}")
        return None

    def _start_attempt(
        self, scheduled: ScheduledCoroutine, request: Request, command: StartAttempt
    ) -> Attempt:
        if scheduled.answered:
            raise RuntimeError(
                f"attempt at {command.endpoint.endpoint_id!r} started for a request that already has its "
                "final answer"
            )
        attempt = Attempt(request, command.endpoint, self.now, command.load)
        self.host.start_attempt(attempt, command.timeout)
        return attempt

    def _mark_answered(self, scheduled: ScheduledCoroutine) -> None:
        if scheduled.answered:
            raise RuntimeError("second final answer for one request")
        scheduled.answered = True

    def _close(self, scheduled: ScheduledCoroutine) -> None:
        scheduled.ended = True
        if scheduled.request is None:
            return
        del self._by_request[scheduled.request]
        if not scheduled.answered:
            raise RuntimeError(
                f"coroutine of a request of class {scheduled.request.request_class.name!r} ended without a "
                "final answer"
            )

    def _update_alarm(self) -> None:
        if self._alarms and (self._alarm_set_for is None or self._alarms[0][0] < self._alarm_set_for):
            self._alarm_set_for = self._alarms[0][0]
            self.host.set_alarm(self._alarm_set_for)
