"""The tree and its clock: builds it, plays a run in emulated time, and counts."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from starlingwheel.decisions.config import RequestClass, RetrySafety

from .caller import Answer, Caller, PendingCall, Root
from .plan import EXPIRY, Plan
from .server import Server

NETWORK_DELAY = (0.0001, 0.0004)  # seconds one way between a caller and a server: minimum, maximum
SERVICE_TIME_SIGMA = 0.6  # of the logarithm of a server's own work
SLOWDOWN = 10.0  # times as long as usual that the slow leaf server takes


class Tree:
    """All servers and sidecars, the clock, and what is counted."""

    def __init__(self, plan: Plan) -> None:
        """Build the tree, from the leaf to the root."""
        self.plan, self.now, self.event_count = plan, 0.0, 0
        self.rng = random.Random(f"{plan.seed} tree")
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        retry_safety = RetrySafety(plan.effect)
        timeout = EXPIRY * plan.due
        window = timeout if retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY else 0.0
        self.request_class = RequestClass(
            "call", retry_safety, plan.due, 1.0, timeout, deduplication_window=window
        )
        self.mean_service_time = plan.use * plan.cores / plan.rate  # seconds
        # Counts by level.
        self.sends = [Counter[str]() for _ in range(plan.depth)]
        self.runs, self.late_runs = [0] * plan.depth, [0] * plan.depth
        self.time_left: list[list[float]] = [[] for _ in range(plan.depth)]  # seconds, of each send
        self.time_left_grown = 0  # sends with more time left than their caller had
        # Counts at the root and at the leaf; seconds and tenths since the counting began.
        self.answers: Counter[Answer] = Counter()
        self.leaf_sends_by_second, self.leaf_sends_by_tenth = Counter[int](), Counter[int]()
        self.finished_by_second: Counter[int] = Counter()
        self.root_calls = self.sidecars = 0
        self.root_calls_by_second: Counter[int] = Counter()
        self.servers: list[list[Server]] = []
        services = self._build_levels()
        self.edge = [self._callers(0, services) for _ in range(plan.services * plan.instances)]

    def _build_levels(self) -> list[list[Server]]:
        """Build all servers; return those of the first level, by service."""
        plan = self.plan
        next_level: list[list[Server]] = []
        for level in reversed(range(plan.depth)):
            services = []
            for service in range(plan.services):
                names = [f"{level}.{service}.{i}" for i in range(plan.instances)]
                services.append(
                    [Server(self, level, name, self._callers(level + 1, next_level)) for name in names]
                )
            self.servers.insert(0, [server for servers in services for server in servers])
            next_level = services
        return next_level

    def _callers(self, level: int, services: list[list[Server]]) -> list[Caller]:
        """The sidecar of an application that calls these services, with decisions for each."""
        self.sidecars += 1
        return [Caller(self, level, servers, self.sidecars) for servers in services]

    # The clock.

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, action))

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action from now."""
        self.at(self.now + seconds, action)

    def network_delay(self) -> float:
        """Draw the seconds of one way between a caller and a server."""
        return self.rng.uniform(*NETWORK_DELAY)

    def service_time(self) -> float:
        """Draw the seconds of a server's own work."""
        mean_of_logarithm = -(SERVICE_TIME_SIGMA**2) / 2
        return self.rng.lognormvariate(mean_of_logarithm, SERVICE_TIME_SIGMA) * self.mean_service_time

    # What is counted.

    def count_send(self, level: int, kind: str, measured: bool) -> None:
        """Count an attempt. `kind`: first, copy or retry."""
        if measured:
            self.sends[level][kind] += 1
            if level == self.plan.depth - 1:
                self.leaf_sends_by_second[int(self.now - self.plan.learn)] += 1
                self.leaf_sends_by_tenth[int((self.now - self.plan.learn) * 10)] += 1

    def count_answer(self, answer: Answer, level: int, pending: PendingCall) -> None:
        """Count an answer at the root."""
        if level == 0 and pending.root.measured:
            self.answers[answer] += 1
            second = int(pending.started_at - self.plan.learn)
            self.finished_by_second[second] += answer is Answer.FINISHED

    # The run.

    def play(self) -> dict[str, Any]:
        """Play until all is answered; return what was counted.

        Raises `RuntimeError` where there are more events than the plan allows.
        """
        for callers in self.edge:
            self._schedule_arrival(callers)
        self.at(self.plan.learn, self._begin_fault)
        self.at(self.plan.learn + self.plan.lasts, self._end_fault)
        played = 0
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
            played += 1
            if played > self.plan.most:
                raise RuntimeError(f"more than {self.plan.most} events at {self.now:.2f} s")
        return self._result(played)

    def _arrive(self, callers: list[Caller]) -> None:
        plan = self.plan
        measured = self.now >= plan.learn
        self.root_calls += measured
        self.root_calls_by_second[int(self.now - plan.learn)] += measured
        root = Root(measured, tuple(self.rng.randrange(plan.services) for _ in range(plan.depth)))
        callers[root.path[0]].call(EXPIRY * plan.due, root, lambda answer: None)
        self._schedule_arrival(callers)

    def _schedule_arrival(self, callers: list[Caller]) -> None:
        after = self.rng.expovariate(self.plan.rate)
        if self.now + after < self.plan.learn + self.plan.last:
            self.after(after, lambda: self._arrive(callers))

    def _begin_fault(self) -> None:
        """At one server of the leaf, or at all of one service there."""
        plan, leaf = self.plan, self.servers[-1]
        if plan.scene == "slow":
            leaf[0].slowdown = SLOWDOWN
        for server in leaf[: plan.instances]:
            server.error_rate = plan.part * (plan.scene == "errors")
            server.hang_rate = plan.part * (plan.scene == "hangs")
            if server.hang_rate == 1:
                server.queue.clear()

    def _end_fault(self) -> None:
        for server in self.servers[-1]:
            server.slowdown, server.error_rate, server.hang_rate = 1.0, 0.0, 0.0

    # The result: its keys are those of the lines in the journal.

    def _result(self, played: int) -> dict[str, Any]:
        levels = [self._level_result(level) for level in range(self.plan.depth)]
        root_calls_of_a_tenth = self.root_calls / self.plan.last / 10
        most_in_a_tenth = max(self.leaf_sends_by_tenth.values(), default=0)
        return {
            "trial": "call-tree",
            **{k: v for k, v in asdict(self.plan).items() if k != "most"},
            "calls at the root": self.root_calls,
            "answers": {answer.value: count for answer, count in self.answers.items()},
            "load at the leaf": levels[-1]["sends a root call"],
            "by second": self._by_second(self.leaf_sends_by_second),
            "most in a tenth": round(most_in_a_tenth / max(1.0, root_calls_of_a_tenth), 2),
            "answered by second": self._by_second(self.finished_by_second),
            "told longer than it had": self.time_left_grown,
            "levels": levels,
            "events": played,
        }

    def _level_result(self, level: int) -> dict[str, Any]:
        sends, root_calls = self.sends[level], max(1, self.root_calls)
        time_left = sorted(self.time_left[level]) or [0.0]
        return {
            "level": level + 1,
            "sends a root call": round(sum(sends.values()) / root_calls, 3),
            **{kind: round(sends[kind] / max(1, sends["first"]), 4) for kind in ("copy", "retry")},
            "runs": round(self.runs[level] / root_calls, 3),
            "too late": round(self.late_runs[level] / max(1, self.runs[level]), 4),
            "left ms": [round(time_left[int(len(time_left) * part)] * 1000) for part in (0.01, 0.5)],
        }

    def _by_second(self, counts: Counter[int]) -> list[float]:
        """Counts for each call at the root, by the second."""
        return [
            round(counts[second] / max(1, self.root_calls_by_second[second]), 3)
            for second in range(int(self.plan.last))
        ]


def play(plan: Plan) -> dict[str, Any]:
    """Build a tree and play it; raises `RuntimeError` as `Tree.play` does."""
    return Tree(plan).play()
