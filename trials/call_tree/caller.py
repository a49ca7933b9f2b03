"""The sidecars of the tree: each runs the program's decisions for one service that it calls."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from starlingwheel.decisions.balancer import Balancer
from starlingwheel.decisions.config import BalancerConfig
from starlingwheel.decisions.endpoint_stats import EndpointStats
from starlingwheel.decisions.events import AttemptEnded, WatchEvent
from starlingwheel.decisions.model import Attempt, AttemptOutcome, Endpoint, EndpointState, Request
from starlingwheel.decisions.scheduler import DecisionScheduler

from .retry_budget import BudgetedRetryPolicy, RetryBudget

if TYPE_CHECKING:
    from .server import Server
    from .tree import Tree

MILLISECONDS = 1000
# Seconds by which the time left may seem to increase from one level to the next, since it is sent in whole
# milliseconds.
ROUNDING = 0.001


class Answer(enum.StrEnum):
    """How a call ended for the application that made it. Results have these values."""

    FINISHED = "finished"
    REJECTED = "deferred"
    FAILED = "written off"


@dataclass(frozen=True)
class RootCall:
    """A call at the root. `measured`: the call is counted. `path`: number of the service at each level."""

    measured: bool
    path: tuple[int, ...]


@dataclass(eq=False)
class Call:
    """One attempt at its server. `deadline`: until when its caller waits, as sent to the server."""

    attempt: Attempt | None
    caller: Caller
    server: Server
    deadline: float
    root: RootCall
    abandoned: bool = False  # the call is answered, or its caller no longer waits
    next_caller: Caller | None = None  # the sidecar through which the application calls the next level
    next_request: Request | None = None
    queued: bool = True
    counted_in_flight: bool = False  # the call is included in its server's `in_flight`


@dataclass(eq=False)
class PendingCall:
    """The state of one request of a caller. `attempts`: the number of its attempts so far."""

    on_answer: Callable[[Answer], None]
    started_at: float
    time_left: float
    root: RootCall
    attempts: int = 0
    calls: dict[Attempt, Call] = field(default_factory=dict)
    answered: bool = False


class Caller:
    """The part of a sidecar that calls one service: the `DecisionHost` of the decisions for that service."""

    def __init__(self, tree: Tree, level: int, servers: list[Server], number: int) -> None:
        """Start the decisions. `level`: level of the servers. `number`: number of the sidecar."""
        self.tree, self.level, self.servers = tree, level, {server.name: server for server in servers}
        plan = tree.plan
        config = _balancer_config(tree, number)
        rng = random.Random(f"{plan.seed} {number} {servers[0].name}")
        self.scheduler = DecisionScheduler(config, rng, self, tree.now)
        self.budget = RetryBudget(plan.budget) if plan.budget is not None else None
        if self.budget is not None:
            balancer = Balancer(config, rng, tree.now, retry_policy=BudgetedRetryPolicy)
            balancer.retry_policy.budget = self.budget
            self.scheduler.balancer = balancer
        self.pending: dict[Request, PendingCall] = {}
        endpoints = [Endpoint(s.name, "here", 0, 1.0, None, EndpointState.READY) for s in servers]
        self.scheduler.endpoints_changed(WatchEvent.SNAPSHOT, endpoints)
        self.scheduler.start()

    def call(self, time_left: float, root: RootCall, on_answer: Callable[[Answer], None]) -> Request:
        """Start a call of this service. `on_answer` is called with its result."""
        self.scheduler.set_time(self.tree.now)
        request_class = self.tree.request_class
        request = Request(request_class, self.tree.now, min(time_left, request_class.timeout))
        self.pending[request] = PendingCall(on_answer, self.tree.now, request.time_left, root)
        if self.budget is not None:
            self.budget.record_first_attempt()
        self.scheduler.accept_request(request)
        return request

    def abandon(self, request: Request) -> None:
        """Abandon a request whose application no longer waits for the answer."""
        pending = self.pending.get(request)
        if pending is not None and not pending.answered:
            pending.answered = True
            self.scheduler.set_time(self.tree.now)
            self.scheduler.client_disconnected(request)

    def attempt_finished(
        self, call: Call, outcome: AttemptOutcome, load_report: dict[str, float] | None = None
    ) -> None:
        """Handle the end of an attempt as this caller sees it."""
        attempt = call.attempt
        if attempt is None or not attempt.pending:
            return
        pending = self.pending[attempt.request]
        del pending.calls[attempt]
        finished = outcome is AttemptOutcome.SUCCESS and not pending.answered
        if finished:
            pending.answered = True
            self.tree.count_answer(Answer.FINISHED, self.level, pending)
        self.scheduler.set_time(self.tree.now)
        duration = self.tree.now - attempt.started_at
        self.scheduler.attempt_ended(
            AttemptEnded(attempt, outcome, duration, pending.answered, load_report or {})
        )
        if finished:
            pending.on_answer(Answer.FINISHED)
        self._forget(attempt.request)

    def tick(self) -> None:
        """Run the decisions when their alarm is due."""
        self.scheduler.set_time(self.tree.now)
        self.scheduler.tick()

    def _forget(self, request: Request) -> None:
        pending = self.pending.get(request)
        if pending is not None and pending.answered and not pending.calls:
            del self.pending[request]

    def _end_if_pending(self, call: Call, outcome: AttemptOutcome) -> None:
        if call.attempt is not None and call.attempt.pending:
            self.attempt_finished(call, outcome)
            self.tree.schedule_after(self.tree.network_delay(), call.server.make_abandon_action(call))

    def _answer(self, request: Request, answer: Answer) -> None:
        pending = self.pending[request]
        pending.answered = True
        self.tree.count_answer(answer, self.level, pending)
        # Not called directly, since the decisions are still handling the event that caused this answer.
        self.tree.schedule_after(0.0, lambda: pending.on_answer(answer))
        self.tree.schedule_after(0.0, lambda: self._forget(request))

    # The methods of `DecisionHost`.

    def start_attempt(self, attempt: Attempt, timeout: float) -> None:
        """Send the request to the attempt's server, with a timeout of `timeout` seconds."""
        pending = self.pending[attempt.request]
        kind = "first" if not pending.attempts else "copy" if pending.calls else "retry"
        pending.attempts += 1
        if self.budget is not None and kind != "first":
            self.budget.record_further_attempt()
        tree, server = self.tree, self.servers[attempt.endpoint.endpoint_id]
        tree.count_attempt(self.level, kind, pending.root.measured)
        time_left = self._sent_time_left(timeout)
        call = pending.calls[attempt] = Call(attempt, self, server, tree.now + time_left, pending.root)
        if pending.root.measured:
            tree.time_left[self.level].append(time_left)
            tree.time_left_increases += time_left > pending.time_left + ROUNDING
        tree.schedule_after(tree.network_delay(), lambda: server.receive(call))
        tree.schedule_after(timeout, lambda: self._end_if_pending(call, AttemptOutcome.TIMED_OUT))

    def _sent_time_left(self, timeout: float) -> float:
        """Return the time left in seconds as it is sent to the server.

        The program sends whole milliseconds, at least one. If the plan does not hand the time left down, the
        full timeout is sent instead.
        """
        if not self.tree.plan.hands_down:
            return self.tree.request_class.timeout
        return max(1, int(timeout * MILLISECONDS)) / MILLISECONDS

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        call = self.pending[attempt.request].calls[attempt]
        self.tree.schedule_after(0.0, lambda: self._end_if_pending(call, AttemptOutcome.CANCELLED))

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Answer the request: it was not executed."""
        self._answer(request, Answer.REJECTED)

    def fail_request(self, request: Request) -> None:
        """Answer the request: it failed."""
        self._answer(request, Answer.FAILED)

    def set_alarm(self, at: float) -> None:
        """Schedule a call of `tick` at that time."""
        self.tree.schedule_at(at, self.tick)

    def watch_endpoints(self) -> None:
        """Do nothing, since the endpoints do not change."""

    def start_health_check(self, endpoint: EndpointStats) -> None:
        """Raise `AssertionError`, since the configuration allows no health checks."""
        raise AssertionError("health checks are not allowed in the call tree")

    def send_gossip(self, body: bytes) -> None:
        """Do nothing, since the sidecars have no peers."""

    def report_defect(self, request: Request | None, error: Exception) -> None:
        """Raise the error, since a defect in the decisions ends the run."""
        raise error


def _balancer_config(tree: Tree, number: int) -> BalancerConfig:
    plan = tree.plan
    return BalancerConfig(
        request_classes=[tree.request_class],
        zone="here",
        sidecars=plan.services * plan.instances,
        must_watch_endpoints=False,
        endpoint_list_max_age=8.0,
        slow_start_initial_fraction=1.0,
        slow_start_duration=0.0,
        overload_factor=2.0,
        overload_window=2.0,
        max_attempts=plan.max_attempts,
        cross_zone_price=0.0,
        max_retry_after=1.0,
        hedging_allowed=plan.copies,
        sidecar_index=number,
        load_reported=plan.reports,
        load_reported_in_responses=plan.reports,
    )
