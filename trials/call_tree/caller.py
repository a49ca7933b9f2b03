"""The sidecars of the tree: each hosts the decisions of the program for one service that it calls."""

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

from .retry_budget import Budget, BudgetedRetryPolicy

if TYPE_CHECKING:
    from .server import Server
    from .tree import Tree

MILLISECONDS = 1000
ROUNDING = 0.001  # seconds by which a time left may grow: it is sent in whole milliseconds


class Answer(enum.StrEnum):
    """How a call ended for the application that made it, as results have it."""

    FINISHED = "finished"
    REJECTED = "deferred"
    FAILED = "written off"


@dataclass(frozen=True)
class Root:
    """A call at the root: whether it counts, and which service at each level it is for."""

    measured: bool
    path: tuple[int, ...]


@dataclass(eq=False)
class Call:
    """One attempt at its server. `until`: by when its caller waits, as the server was told."""

    attempt: Attempt | None
    caller: Caller
    server: Server
    until: float
    root: Root
    abandoned: bool = False  # answered, or its caller waits no more
    next_caller: Caller | None = None  # the sidecar by which its application calls the next level
    next_request: Request | None = None
    queued: bool = True
    counted: bool = False  # among the requests that its server holds


@dataclass(eq=False)
class PendingCall:
    """What one request of a caller is for. `sends`: its attempts so far."""

    done: Callable[[Answer], None]
    started_at: float
    time_left: float
    root: Root
    sends: int = 0
    calls: dict[Attempt, Call] = field(default_factory=dict)
    answered: bool = False


class Caller:
    """One sidecar: the `DecisionHost` for the service that it calls."""

    def __init__(self, tree: Tree, level: int, servers: list[Server], number: int) -> None:
        """`level`: of the servers. `number`: of the sidecar."""
        self.tree, self.level, self.servers = tree, level, {server.name: server for server in servers}
        plan = tree.plan
        config = _balancer_config(tree, number)
        rng = random.Random(f"{plan.seed} {number} {servers[0].name}")
        self.scheduler = DecisionScheduler(config, rng, self, tree.now)
        self.budget = Budget(plan.budget) if plan.budget is not None else None
        if self.budget is not None:
            balancer = Balancer(config, rng, tree.now, retry_policy=BudgetedRetryPolicy)
            balancer.retry_policy.budget = self.budget
            self.scheduler.balancer = balancer
        self.pending: dict[Request, PendingCall] = {}
        endpoints = [Endpoint(s.name, "here", 0, 1.0, None, EndpointState.READY) for s in servers]
        self.scheduler.endpoints_changed(WatchEvent.SNAPSHOT, endpoints)
        self.scheduler.start()

    def call(self, time_left: float, root: Root, done: Callable[[Answer], None]) -> Request:
        """Call the next level; `done` is called with how that ended."""
        self.scheduler.set_time(self.tree.now)
        request_class = self.tree.request_class
        request = Request(request_class, self.tree.now, min(time_left, request_class.timeout))
        self.pending[request] = PendingCall(done, self.tree.now, request.time_left, root)
        if self.budget is not None:
            self.budget.first()
        self.scheduler.accept_request(request)
        return request

    def abandon(self, request: Request) -> None:
        """The application that called waits no more."""
        pending = self.pending.get(request)
        if pending is not None and not pending.answered:
            pending.answered = True
            self.scheduler.set_time(self.tree.now)
            self.scheduler.client_disconnected(request)

    def ended(self, call: Call, outcome: AttemptOutcome, load_report: dict[str, float] | None = None) -> None:
        """An attempt has ended, as this caller sees it."""
        attempt = call.attempt
        if attempt is None or not attempt.pending:
            return
        pending = self.pending[attempt.request]
        del pending.calls[attempt]
        first = outcome is AttemptOutcome.SUCCESS and not pending.answered
        if first:
            pending.answered = True
            self.tree.count_answer(Answer.FINISHED, self.level, pending)
        self.scheduler.set_time(self.tree.now)
        duration = self.tree.now - attempt.started_at
        self.scheduler.attempt_ended(
            AttemptEnded(attempt, outcome, duration, pending.answered, load_report or {})
        )
        if first:
            pending.done(Answer.FINISHED)
        self._forget(attempt.request)

    def tick(self) -> None:
        """An alarm of the decisions is due."""
        self.scheduler.set_time(self.tree.now)
        self.scheduler.tick()

    def _forget(self, request: Request) -> None:
        pending = self.pending.get(request)
        if pending is not None and pending.answered and not pending.calls:
            del self.pending[request]

    def _end_if_pending(self, call: Call, outcome: AttemptOutcome) -> None:
        if call.attempt is not None and call.attempt.pending:
            self.ended(call, outcome)
            self.tree.after(self.tree.network_delay(), call.server.abandoner(call))

    def _answer(self, request: Request, answer: Answer) -> None:
        pending = self.pending[request]
        pending.answered = True
        self.tree.count_answer(answer, self.level, pending)
        # Not in this turn: the decisions are in the middle of theirs.
        self.tree.after(0.0, lambda: pending.done(answer))
        self.tree.after(0.0, lambda: self._forget(request))

    # Commands: the methods of `DecisionHost`.

    def start_attempt(self, attempt: Attempt, timeout: float) -> None:
        """Send the request to the attempt's server, with a timeout of `timeout` seconds."""
        pending = self.pending[attempt.request]
        kind = "first" if not pending.sends else "copy" if pending.calls else "retry"
        pending.sends += 1
        if self.budget is not None and kind != "first":
            self.budget.second()
        tree, server = self.tree, self.servers[attempt.endpoint.endpoint_id]
        tree.count_send(self.level, kind, pending.root.measured)
        time_left = self._sent_time_left(timeout)
        call = pending.calls[attempt] = Call(attempt, self, server, tree.now + time_left, pending.root)
        if pending.root.measured:
            tree.time_left[self.level].append(time_left)
            tree.time_left_grown += time_left > pending.time_left + ROUNDING
        tree.after(tree.network_delay(), lambda: server.take(call))
        tree.after(timeout, lambda: self._end_if_pending(call, AttemptOutcome.TIMED_OUT))

    def _sent_time_left(self, limit: float) -> float:
        """The time left as the program sends it to a server: whole milliseconds, one at least."""
        if not self.tree.plan.hands_down:
            return self.tree.request_class.timeout
        return max(1, int(limit * MILLISECONDS)) / MILLISECONDS

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        call = self.pending[attempt.request].calls[attempt]
        self.tree.after(0.0, lambda: self._end_if_pending(call, AttemptOutcome.CANCELLED))

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Final answer: not executed."""
        self._answer(request, Answer.REJECTED)

    def fail_request(self, request: Request) -> None:
        """Final answer: failed."""
        self._answer(request, Answer.FAILED)

    def set_alarm(self, at: float) -> None:
        """Call `tick` at that time."""
        self.tree.at(at, self.tick)

    def watch_endpoints(self) -> None:
        """Nothing to do: the endpoints do not change."""

    def start_health_check(self, endpoint: EndpointStats) -> None:
        """Health checks are not allowed here."""
        raise AssertionError("nobody may ask here")

    def send_gossip(self, body: bytes) -> None:
        """Nothing to do: the sidecars have no peers."""

    def report_defect(self, request: Request | None, error: Exception) -> None:
        """Raise the error: a fault in the decisions ends the run."""
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
