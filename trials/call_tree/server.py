"""The endpoints of the tree: cores, a queue, and an application that calls the next level."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from starlingwheel.decisions.model import AttemptOutcome

from .caller import Answer, Call, Caller

if TYPE_CHECKING:
    from .tree import Tree


class Server:
    """One endpoint: its cores, its queue, and the sidecars through which its application calls."""

    def __init__(self, tree: Tree, level: int, name: str, next_callers: list[Caller]) -> None:
        """Start idle. `next_callers`: one for each service of the next level; none at the leaf."""
        self.tree, self.level, self.name, self.next_callers = tree, level, name, next_callers
        self.queue: deque[Call] = deque()
        self.busy_cores = self.in_flight = 0
        self.slowdown = 1.0
        self.error_rate = self.hang_rate = 0.0  # fractions of the calls

    def receive(self, call: Call) -> None:
        """Queue a call, reject it if the queue is full, or leave it unanswered."""
        if call.abandoned:
            return  # the caller gave up while the call was on its way
        self.in_flight, call.counted_in_flight = self.in_flight + 1, True
        if len(self.queue) >= self.tree.plan.room:
            self._answer(call, AttemptOutcome.REJECTED)
        elif not self._draw(self.hang_rate):
            self.queue.append(call)
            self._run_next()

    def make_abandon_action(self, call: Call) -> Callable[[], None]:
        """Return the action for when the server notices that the caller no longer waits."""

        def abandon() -> None:
            if call.abandoned:
                return
            self.in_flight -= call.counted_in_flight
            call.abandoned = True
            if call.queued and call in self.queue:
                self.queue.remove(call)
            next_caller, next_request = call.next_caller, call.next_request
            if next_request is not None and next_caller is not None and self.tree.plan.tells:
                next_caller.abandon(next_request)

        return abandon

    def _draw(self, rate: float) -> bool:
        return rate > 0 and self.tree.rng.random() < rate

    def _run_next(self) -> None:
        while self.queue and self.busy_cores < self.tree.plan.cores:
            call = self.queue.popleft()
            call.queued = False
            self.busy_cores += 1
            service_time = self.tree.service_time() * self.slowdown
            if call.root.measured:
                self.tree.runs[self.level] += 1
                self.tree.late_runs[self.level] += self.tree.now + service_time > call.deadline
            self.tree.schedule_after(service_time, lambda c=call: self._end_run(c))

    def _end_run(self, call: Call) -> None:
        self.busy_cores -= 1
        if not call.abandoned:
            self._continue(call)
        self._run_next()

    def _continue(self, call: Call) -> None:
        """Answer, or call the next level, after the application has done its own work."""
        if self._draw(self.error_rate):
            self._answer(call, AttemptOutcome.ERROR)
            return
        if not self.next_callers:
            self._answer(call, AttemptOutcome.SUCCESS)
            return
        time_left = call.deadline - self.tree.now
        if time_left <= 0:
            self._answer(call, AttemptOutcome.ERROR)
            return
        call.next_caller = self.next_callers[call.root.path[self.level + 1]]
        call.next_request = call.next_caller.call(
            time_left, call.root, lambda answer: self._next_level_answered(call, answer)
        )

    def _next_level_answered(self, call: Call, answer: Answer) -> None:
        passes_rejection_on = answer is Answer.REJECTED and self.tree.plan.passes_on
        failure = AttemptOutcome.REJECTED if passes_rejection_on else AttemptOutcome.ERROR
        self._answer(call, AttemptOutcome.SUCCESS if answer is Answer.FINISHED else failure)

    def _answer(self, call: Call, outcome: AttemptOutcome) -> None:
        load_report = None
        self.in_flight -= not call.abandoned
        call.abandoned = True
        if self.tree.plan.reports:
            busy = self.busy_cores / self.tree.plan.cores
            load_report = {"held": float(self.in_flight), "busy": busy}
        self.tree.schedule_after(
            self.tree.network_delay(), lambda: call.caller.attempt_finished(call, outcome, load_report)
        )
