"""Which policy each sidecar follows, seen from outside.

Each proposed policy has a category of its own, its label, which no other one has. A sidecar that serves the
category follows that policy; one that follows another answers 404.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from fakes.http1 import ConnectionBrokenError, HttpClient

from .rig import Cluster, Sidecar

SLACK = 0.25  # seconds that clocks may differ, and a request may be on its way
ASK_INTERVAL = 0.08  # seconds between the requests to each sidecar
REQUEST_TIMEOUT = 4.0  # seconds
LABELS_ASKED = 3  # the latest ones
BEFORE_ALL, AFTER_ALL = -1e18, 1e18  # times


@dataclass
class Answer:
    """One answer, and the label that was asked for. Times are seconds on the loop's clock."""

    label: str
    asked_at: float
    answered_at: float
    sidecar: str
    status: int


@dataclass
class Change:
    """One change of the policy, and what became of it."""

    label: str
    switch_at: float = 0.0  # on the loop's clock
    proposal_status: int = 0  # of the answer to the proposal; 0: none came
    outcome: str = ""  # decided, dropped; empty: still open or never proposed
    ended_after: float = 0.0  # seconds from the proposal to its end
    faults: list[str] = field(default_factory=list)


class PolicyObserver:
    """Asks every sidecar all the time, under the labels that may hold."""

    def __init__(self, cluster: Cluster) -> None:
        """Begins at once."""
        self.cluster = cluster
        self.answers: list[Answer] = []
        self.labels = ["a0", "a1"]
        self.tasks = [asyncio.create_task(self._ask_all_the_time(sidecar)) for sidecar in cluster.sidecars]
        self.requests = 0

    async def _ask_all_the_time(self, sidecar: Sidecar) -> None:
        caller = HttpClient(sidecar.address)
        pending: set[asyncio.Task[None]] = set()
        while True:
            for label in self.labels[-LABELS_ASKED:]:
                task = asyncio.create_task(self._ask(caller, sidecar, label))
                pending.add(task)
                task.add_done_callback(pending.discard)
            await asyncio.sleep(ASK_INTERVAL)

    async def _ask(self, caller: HttpClient, sidecar: Sidecar, label: str) -> None:
        loop = asyncio.get_running_loop()
        self.requests += 1
        headers = {"X-Trace-Id": f"q{self.requests}", "X-Qos": label, "X-Expires-In-Ms": "1900"}
        asked_at = loop.time()
        with contextlib.suppress(ConnectionBrokenError, TimeoutError):
            async with asyncio.timeout(REQUEST_TIMEOUT):
                status, _, _ = await caller.call("GET", f"/{label}/x", headers)
                self.answers.append(Answer(label, asked_at, loop.time(), sidecar.name, status))

    def follow(self, label: str) -> None:
        """Ask under that label from now on."""
        if label not in self.labels:
            self.labels.append(label)

    def stop(self) -> None:
        """Ask no more."""
        for task in self.tasks:
            task.cancel()

    def serves(self, sidecar: Sidecar, label: str, since: float) -> bool:
        """Whether the sidecar has served the label in answer to a request sent after `since`."""
        return any(
            answer.status == 200 and answer.label == label
            for answer in self.answers
            if answer.sidecar == sidecar.name and answer.asked_at > since
        )


def find_violations(answers: list[Answer], changes: list[Change], start: float) -> list[str]:
    """No request is served under a policy past the switch time of the next, or under one that was dropped."""
    broken = []
    decided = [
        Change("a0", switch_at=BEFORE_ALL, outcome="decided"),
        *(c for c in changes if c.outcome == "decided"),
    ]
    ends = {
        change.label: following.switch_at for change, following in zip(decided, decided[1:], strict=False)
    }
    begins = {change.label: change.switch_at for change in decided}
    for answer in answers:
        if answer.status != 200:
            continue
        label = answer.label
        asked, answered = answer.asked_at - start, answer.answered_at - start
        where = f"{label} at {answer.sidecar}, asked {asked:.3f}, said {answered:.3f}"
        if label not in begins:
            broken.append(f"one that was not decided: {where}")
        elif answer.answered_at < begins[label] - SLACK:
            broken.append(f"before it held ({begins[label] - start:.3f}): {where}")
        elif answer.asked_at > ends.get(label, AFTER_ALL) + SLACK:
            broken.append(f"after it held ({ends[label] - start:.3f}): {where}")
    return broken
