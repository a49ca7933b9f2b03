"""The tree and its clock: sets up the servers and sidecars, simulates a run, and counts."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from starlingwheel.decisions.config import RequestClass, RetrySafety

from .caller import Answer, Caller, PendingCall, RootCall
from .plan import TIMEOUT_OBJECTIVES, Plan
from .server import Server

NETWORK_DELAY = (0.0001, 0.0004)  # seconds one way between a caller and a server: minimum and maximum
SERVICE_TIME_SIGMA = 0.6  # standard deviation of the logarithm of a server's own service time
SLOWDOWN = 10.0  # service time of the slow leaf server as a multiple of its usual one


class Tree:
    """All servers and sidecars, the clock, and the counters."""

    def __init__(self, plan: Plan) -> None:
        """Build the tree, from the leaf to the root."""
        self.plan, self.now, self.scheduled_events = plan, 0.0, 0
        self.rng = random.Random(f"{plan.seed} tree")
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        retry_safety = RetrySafety(plan.effect)
        timeout = TIMEOUT_OBJECTIVES * plan.due
        window = timeout if retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY else 0.0
        self.request_class = RequestClass(
            "call", retry_safety, plan.due, 1.0, timeout, deduplication_window=window
        )
        self.mean_service_time = plan.use * plan.cores / plan.rate  # seconds
        # Counters by level.
        self.attempts = [Counter[str]() for _ in range(plan.depth)]
        self.runs, self.late_runs = [0] * plan.depth, [0] * plan.depth
        self.time_left: list[list[float]] = [[] for _ in range(plan.depth)]  # seconds, of each attempt
        self.time_left_increases = 0  # attempts with more time left than their caller had
        # Counters at the root and at the leaf, by second and by tenth of a second since the counting began.
        self.answers: Counter[Answer] = Counter()
        self.leaf_attempts_by_second, self.leaf_attempts_by_tenth = Counter[int](), Counter[int]()
        self.finished_by_second: Counter[int] = Counter()
        self.root_calls = self.sidecars = 0
        self.root_calls_by_second: Counter[int] = Counter()
        self.servers: list[list[Server]] = []
        services = self._build_levels()
        self.root_callers = [self._callers(0, services) for _ in range(plan.services * plan.instances)]

    def _build_levels(self) -> list[list[Server]]:
        """Build all servers; return those of the first level by service."""
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
        """Return the callers of one sidecar whose application calls these services, one for each service."""
        self.sidecars += 1
        return [Caller(self, level, servers, self.sidecars) for servers in services]

    # Clock

    def schedule_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time on the emulated clock, in seconds."""
        self.scheduled_events += 1
        heapq.heappush(self.events, (when, self.scheduled_events, action))

    def schedule_after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action some seconds from now."""
        self.schedule_at(self.now + seconds, action)

    def network_delay(self) -> float:
        """Draw the one-way delay between a caller and a server in seconds."""
        return self.rng.uniform(*NETWORK_DELAY)

    def service_time(self) -> float:
        """Draw the service time of a server's own work in seconds."""
        mean_of_logarithm = -(SERVICE_TIME_SIGMA**2) / 2
        return self.rng.lognormvariate(mean_of_logarithm, SERVICE_TIME_SIGMA) * self.mean_service_time

    # Counting

    def count_attempt(self, level: int, kind: str, measured: bool) -> None:
        """Count an attempt. `kind`: first, copy or retry."""
        if measured:
            self.attempts[level][kind] += 1
            if level == self.plan.depth - 1:
                self.leaf_attempts_by_second[int(self.now - self.plan.learn)] += 1
                self.leaf_attempts_by_tenth[int((self.now - self.plan.learn) * 10)] += 1

    def count_answer(self, answer: Answer, level: int, pending: PendingCall) -> None:
        """Count an answer if it is that of a measured call at the root."""
        if level == 0 and pending.root.measured:
            self.answers[answer] += 1
            second = int(pending.started_at - self.plan.learn)
            self.finished_by_second[second] += answer is Answer.FINISHED

    # Run

    def simulate(self) -> dict[str, Any]:
        """Simulate until all calls are answered; return the result.

        Raises `RuntimeError` if there are more events than the plan allows.
        """
        for callers in self.root_callers:
            self._schedule_arrival(callers)
        self.schedule_at(self.plan.learn, self._begin_fault)
        self.schedule_at(self.plan.learn + self.plan.lasts, self._end_fault)
        event_count = 0
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
            event_count += 1
            if event_count > self.plan.most:
                raise RuntimeError(f"more than {self.plan.most} events at {self.now:.2f} s")
        return self._result(event_count)

    def _arrive(self, callers: list[Caller]) -> None:
        plan = self.plan
        measured = self.now >= plan.learn
        self.root_calls += measured
        self.root_calls_by_second[int(self.now - plan.learn)] += measured
        root = RootCall(measured, tuple(self.rng.randrange(plan.services) for _ in range(plan.depth)))
        callers[root.path[0]].call(TIMEOUT_OBJECTIVES * plan.due, root, lambda answer: None)
        self._schedule_arrival(callers)

    def _schedule_arrival(self, callers: list[Caller]) -> None:
        after = self.rng.expovariate(self.plan.rate)
        if self.now + after < self.plan.learn + self.plan.last:
            self.schedule_after(after, lambda: self._arrive(callers))

    def _begin_fault(self) -> None:
        """Begin the scene's fault at one leaf server, or at all leaf servers of one service."""
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

    # The result, whose keys are those of the JSON lines of earlier runs

    def _result(self, event_count: int) -> dict[str, Any]:
        levels = [self._level_result(level) for level in range(self.plan.depth)]
        root_calls_of_a_tenth = self.root_calls / self.plan.last / 10
        most_in_a_tenth = max(self.leaf_attempts_by_tenth.values(), default=0)
        return {
            "trial": "call-tree",
            **{k: v for k, v in asdict(self.plan).items() if k != "most"},
            "calls at the root": self.root_calls,
            "answers": {answer.value: count for answer, count in self.answers.items()},
            "load at the leaf": levels[-1]["sends a root call"],
            "by second": self._by_second(self.leaf_attempts_by_second),
            "most in a tenth": round(most_in_a_tenth / max(1.0, root_calls_of_a_tenth), 2),
            "answered by second": self._by_second(self.finished_by_second),
            "told longer than it had": self.time_left_increases,
            "levels": levels,
            "events": event_count,
        }

    def _level_result(self, level: int) -> dict[str, Any]:
        sends, root_calls = self.attempts[level], max(1, self.root_calls)
        time_left = sorted(self.time_left[level]) or [0.0]
        return {
            "level": level + 1,
            "sends a root call": round(sum(sends.values()) / root_calls, 3),
            **{kind: round(sends[kind] / max(1, sends["first"]), 4) for kind in ("copy", "retry")},
            "runs": round(self.runs[level] / root_calls, 3),
            "too late": round(self.late_runs[level] / max(1, self.runs[level]), 4),
            "left ms": [round(time_left[int(len(time_left) * fraction)] * 1000) for fraction in (0.01, 0.5)],
        }

    def _by_second(self, counts: Counter[int]) -> list[float]:
        """Return the counts for each call at the root, by second."""
        return [
            round(counts[second] / max(1, self.root_calls_by_second[second]), 3)
            for second in range(int(self.plan.last))
        ]


def simulate(plan: Plan) -> dict[str, Any]:
    """Build a tree and simulate it. Raises `RuntimeError` like `Tree.simulate`."""
    return Tree(plan).simulate()
