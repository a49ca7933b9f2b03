"""Steps the generators of one sidecar's decisions and owns their timers. It decides nothing.

A host gives it events and a `Door` through which commands leave.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Protocol

from .lease import EndpointLease
from .rules import Balancer, Upstream
from .terms import (
    GONE,
    Asked,
    Cancel,
    Defer,
    Fate,
    HandOff,
    Listing,
    News,
    Outcome,
    Probe,
    Send,
    Started,
    Steps,
    Subscribe,
    Tell,
    Terms,
    Wait,
    WorkItem,
    WriteOff,
)


class Door(Protocol):
    def send(self, ho: HandOff, limit: float) -> None: ...
    def cancel(self, ho: HandOff) -> None: ...
    def defer(self, wi: WorkItem, come_back: float) -> None: ...
    def write_off(self, wi: WorkItem) -> None: ...
    def subscribe(self) -> None: ...
    def probe(self, upstream: Any) -> None: ...
    def tell(self, body: bytes) -> None: ...
    def alarm(self, at: float) -> None: ...
    def defect(self, wi: WorkItem | None, error: Exception) -> None: ...


class Task:
    """One generator, with the work item it answers for (None for a standing chore)."""

    __slots__ = ("steps", "wi", "turn", "answered", "ended")

    def __init__(self, steps: Steps, wi: WorkItem | None) -> None:
        self.steps = steps
        self.wi = wi
        self.turn = 0
        self.answered = False
        self.ended = False


class Runner:
    def __init__(
        self,
        terms: Terms,
        chance: random.Random,
        door: Door,
        now: float,
        lease: EndpointLease | None = None,
    ) -> None:
        self.door = door
        self.now = now
        self.balancer = Balancer(terms, chance, now, lease)
        self._tasks: dict[WorkItem, Task] = {}
        self._alarms: list[tuple[float, int, Task, int]] = []
        self._count = 0
        self._armed: float | None = None
        self._due: deque[tuple[Task, Any]] = deque()
        self._asking: dict[str, deque[tuple[Task, Any]]] = {}
        self._follower: Task | None = None

    def start(self) -> None:
        """Begin the standing chores; the first list must have been given."""
        for steps in self.balancer.chores():
            self._due.append((Task(steps, None), None))
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

    def take(self, wi: WorkItem, before: Sequence[tuple[Listing, float, bool]] = ()) -> None:
        """`before`: the hand-offs that a lost sidecar made for it: where, when, whether it may have run."""
        wi.most_hand_offs = wi.most_hand_offs or self.balancer.terms.most_hand_offs
        if before:
            wi.before = [self._former(wi, *told) for told in before]
        task = self._tasks[wi] = Task(self.balancer.work(wi), wi)
        self._due.append((task, None))
        self._run()

    def _former(self, wi: WorkItem, listing: Listing, sent: float, risky: bool) -> HandOff:
        known = self.balancer.upstreams.get(listing.address) or Upstream(listing, self.now, 1)
        fate = None if risky else Fate.UNSENT
        return HandOff(wi, known, min(sent, self.now), pending=False, fate=fate)

    def whole(self, wi: WorkItem, out: list[HandOff]) -> None:
        """Its `arrived` has been set: it was taken, and handed off, while it was still coming."""
        for ho in out:
            self.balancer.begun(ho)
        if task := self._tasks.get(wi):
            self._due.append((task, None))
            self._run()

    def outcome(self, outcome: Outcome) -> None:
        ho = outcome.ho
        ho.pending = False
        ho.fate = outcome.fate
        self.balancer.settle(outcome)
        task = self._tasks.get(ho.wi)
        if task is None:
            return
        if outcome.answered:
            task.answered = True
        self._due.append((task, outcome))
        self._run()

    def started(self, ho: HandOff) -> None:
        if task := self._tasks.get(ho.wi):
            self._due.append((task, Started(ho)))
            self._run()

    def gone(self, wi: WorkItem) -> None:
        if task := self._tasks.get(wi):
            task.answered = True
            self._due.append((task, GONE))
            self._run()

    def listed(self, news: News, listings: list[Listing]) -> None:
        self.balancer.listed(news, listings)
        if self._follower is not None:
            self._due.append((self._follower, news))
            self._run()

    def probed(self, address: str, fate: Fate, took: float, report: dict[str, float]) -> None:
        self.balancer.probed(address, fate, took, report)
        asking = self._asking.get(address)
        if asking is None:
            return
        task, upstream = asking.popleft()
        if not asking:
            del self._asking[address]
        self._due.append((task, Asked(upstream, fate)))
        self._run()

    def retune(self, terms: Terms) -> None:
        self.balancer.retune(terms)

    def heard(self, peer: int, body: bytes) -> None:
        self.balancer.heard(peer, body)

    def share(self, shares: Mapping[str, float], back: Iterable[str]) -> None:
        """The part of the draws that each zone is in, all unless named; `back`: zones that return."""
        self.balancer.shares = dict(shares)
        for zone in back:
            self.balancer.returned(zone)

    def _run(self) -> None:
        while self._due:
            task, result = self._due.popleft()
            if not task.ended:
                self._step(task, result)

    def _step(self, task: Task, result: Any) -> None:
        task.turn += 1
        while True:
            try:
                command = task.steps.send(result)
            except StopIteration:
                self._close(task)
                return
            except Exception as error:
                # Guards against one work item that can't be decided ending all others: the host answers it.
                task.ended = True
                self._tasks.pop(task.wi, None)
                self.door.defect(task.wi, error)
                return
            if isinstance(command, Wait):
                if command.until is not None:
                    self._count += 1
                    heapq.heappush(self._alarms, (command.until, self._count, task, task.turn))
                    self._arm()
                return
            result = self._carry_out(task, command)

    def _carry_out(self, task: Task, command: Any) -> HandOff | None:
        match command:
            case Send(upstream, limit, load) if task.wi is not None:
                if task.answered:
                    raise RuntimeError("a hand-off for a work item that has its final answer")
                ho = HandOff(task.wi, upstream, self.now, load)
                self.door.send(ho, limit)
                return ho
            case Cancel(ho):
                self.door.cancel(ho)
            case Defer() | WriteOff() if task.wi is not None:
                if task.answered:
                    raise RuntimeError("a second final answer for one work item")
                task.answered = True
                if isinstance(command, Defer):
                    self.door.defer(task.wi, command.come_back)
                else:
                    self.door.write_off(task.wi)
            case Subscribe():
                self._follower = task
                self.door.subscribe()
            case Probe(upstream):
                self._asking.setdefault(upstream.address, deque()).append((task, upstream))
                self.door.probe(upstream)
            case Tell(body):
                self.door.tell(body)
            case _:
                raise RuntimeError(f"a command out of place: {command!r}")
        return None

    def _close(self, task: Task) -> None:
        task.ended = True
        if task.wi is None:
            return
        del self._tasks[task.wi]
        if not task.answered:
            raise RuntimeError("a work item ended without a final answer")

    def _arm(self) -> None:
        if self._alarms and (self._armed is None or self._alarms[0][0] < self._armed):
            self._armed = self._alarms[0][0]
            self.door.alarm(self._armed)
