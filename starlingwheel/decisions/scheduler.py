"""Steps the generators of one sidecar's decisions and owns their timers. It decides nothing.

A host gives it events and a `Door` through which commands leave.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Protocol

from .balancer import Balancer
from .commands import (
    CancelAttempt,
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
    def send(self, attempt: Attempt, limit: float) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def defer(self, request: Request, retry_after: float) -> None: ...
    def write_off(self, request: Request) -> None: ...
    def subscribe(self) -> None: ...
    def probe(self, upstream: Any) -> None: ...
    def tell(self, body: bytes) -> None: ...
    def alarm(self, at: float) -> None: ...
    def defect(self, request: Request | None, error: Exception) -> None: ...


class ScheduledCoroutine:
    """One generator, with the work item it answers for (None for a standing chore)."""

    __slots__ = ("coroutine", "request", "turn", "answered", "ended")

    def __init__(self, steps: DecisionCoroutine, request: Request | None) -> None:
        self.coroutine = steps
        self.request = request
        self.turn = 0
        self.answered = False
        self.ended = False


class DecisionScheduler:
    def __init__(
        self,
        terms: BalancerConfig,
        chance: random.Random,
        door: DecisionHost,
        now: float,
        lease: EndpointLease | None = None,
    ) -> None:
        self.door = door
        self.now = now
        self.balancer = Balancer(terms, chance, now, lease)
        self._tasks: dict[Request, ScheduledCoroutine] = {}
        self._alarms: list[tuple[float, int, ScheduledCoroutine, int]] = []
        self._count = 0
        self._armed: float | None = None
        self._due: deque[tuple[ScheduledCoroutine, Any]] = deque()
        self._asking: dict[str, deque[tuple[ScheduledCoroutine, Any]]] = {}
        self._follower: ScheduledCoroutine | None = None

    def start(self) -> None:
        """Begin the standing chores; the first list must have been given."""
        for steps in self.balancer.background_tasks():
            self._due.append((ScheduledCoroutine(steps, None), None))
        self._run()

    def at(self, now: float) -> None:
        self.now = self.balancer.now = now

    def tick(self) -> None:
        self._armed = None
        while self._alarms and self._alarms[0][0] <= self.now:
            _, _, task, turn = heapq.heappop(self._alarms)
            if task.turn == turn and not task.ended:
                self._due.append((task, None))
                self._run()
        self._arm()

    def take(self, request: Request, before: Sequence[tuple[Endpoint, float, bool]] = ()) -> None:
        """`before`: the hand-offs that a lost sidecar made for it: where, when, whether it may have run."""
        request.max_attempts = request.max_attempts or self.balancer.config.max_attempts
        if before:
            request.earlier_attempts = [self._former(request, *told) for told in before]
        task = self._tasks[request] = ScheduledCoroutine(self.balancer.dispatch(request), request)
        self._due.append((task, None))
        self._run()

    def _former(self, request: Request, listing: Endpoint, sent: float, risky: bool) -> Attempt:
        known = self.balancer.endpoints.by_id.get(listing.endpoint_id) or EndpointStats(listing, self.now, 1)
        fate = None if risky else AttemptOutcome.NOT_SENT
        return Attempt(request, known, min(sent, self.now), pending=False, outcome=fate)

    def whole(self, request: Request, out: list[Attempt]) -> None:
        """Its `arrived` has been set: it was taken, and handed off, while it was still coming."""
        for attempt in out:
            self.balancer.note_sent(attempt)
        if task := self._tasks.get(request):
            self._due.append((task, None))
            self._run()

    def outcome(self, outcome: AttemptEnded) -> None:
        attempt = outcome.attempt
        attempt.pending = False
        attempt.outcome = outcome.outcome
        self.balancer.attempt_ended(outcome)
        task = self._tasks.get(attempt.request)
        if task is None:
            return
        if outcome.request_answered:
            task.answered = True
        self._due.append((task, outcome))
        self._run()

    def started(self, attempt: Attempt) -> None:
        if task := self._tasks.get(attempt.request):
            self._due.append((task, ResponseStarted(attempt)))
            self._run()

    def gone(self, request: Request) -> None:
        if task := self._tasks.get(request):
            task.answered = True
            self._due.append((task, CLIENT_DISCONNECTED))
            self._run()

    def listed(self, news: WatchEvent, listings: list[Endpoint]) -> None:
        self.balancer.update_endpoints(news, listings)
        if self._follower is not None:
            self._due.append((self._follower, news))
            self._run()

    def probed(self, address: str, fate: AttemptOutcome, took: float, report: dict[str, float]) -> None:
        self.balancer.health_check_ended(address, fate, report)
        asking = self._asking.get(address)
        if asking is None:
            return
        task, upstream = asking.popleft()
        if not asking:
            del self._asking[address]
        self._due.append((task, HealthCheckEnded(upstream, fate)))
        self._run()

    def retune(self, terms: BalancerConfig) -> None:
        self.balancer.reload(terms)

    def heard(self, peer: int, body: bytes) -> None:
        self.balancer.receive_gossip(peer, body)

    def share(self, shares: Mapping[str, float], back: Iterable[str]) -> None:
        """The part of the draws that each zone is in, all unless named; `back`: zones that return."""
        self.balancer.set_zone_shares(shares, back)

    def _run(self) -> None:
        while self._due:
            task, result = self._due.popleft()
            if not task.ended:
                self._step(task, result)

    def _step(self, task: ScheduledCoroutine, result: Any) -> None:
        task.turn += 1
        while True:
            try:
                command = task.coroutine.send(result)
            except StopIteration:
                self._close(task)
                return
            except Exception as error:
                # Guards against one work item that can't be decided ending all others: the host answers it.
                task.ended = True
                self._tasks.pop(task.request, None)
                self.door.defect(task.request, error)
                return
            if isinstance(command, Wait):
                if command.until is not None:
                    self._count += 1
                    heapq.heappush(self._alarms, (command.until, self._count, task, task.turn))
                    self._arm()
                return
            result = self._carry_out(task, command)

    def _carry_out(self, task: ScheduledCoroutine, command: Any) -> Attempt | None:
        match command:
            case StartAttempt(upstream, limit, load) if task.request is not None:
                if task.answered:
                    raise RuntimeError("a hand-off for a work item that has its final answer")
                attempt = Attempt(task.request, upstream, self.now, load)
                self.door.send(attempt, limit)
                return attempt
            case CancelAttempt(attempt):
                self.door.cancel(attempt)
            case RejectRequest() | FailRequest() if task.request is not None:
                if task.answered:
                    raise RuntimeError("a second final answer for one work item")
                task.answered = True
                if isinstance(command, RejectRequest):
                    self.door.defer(task.request, command.retry_after)
                else:
                    self.door.write_off(task.request)
            case WatchEndpoints():
                self._follower = task
                self.door.subscribe()
            case StartHealthCheck(upstream):
                self._asking.setdefault(upstream.endpoint_id, deque()).append((task, upstream))
                self.door.probe(upstream)
            case SendGossip(body):
                self.door.tell(body)
            case _:
                raise RuntimeError(f"a command out of place: {command!r}")
        return None

    def _close(self, task: ScheduledCoroutine) -> None:
        task.ended = True
        if task.request is None:
            return
        del self._tasks[task.request]
        if not task.answered:
            raise RuntimeError("a work item ended without a final answer")

    def _arm(self) -> None:
        if self._alarms and (self._armed is None or self._alarms[0][0] < self._armed):
            self._armed = self._alarms[0][0]
            self.door.alarm(self._armed)
