"""Observes which policy each sidecar applies, by requests as clients send them.

Each proposed policy has a category that no other policy has, its label. A sidecar serves requests of that
category while it applies the policy, and answers 404 under any other.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from fakes.http1 import ConnectionBrokenError, HttpClient

from .rig import Cluster, Sidecar

TIME_TOLERANCE = 0.25  # seconds for differences of clocks and the time that a request is on its way
POLL_INTERVAL = 0.08  # seconds between two polls of a sidecar
REQUEST_TIMEOUT = 4.0  # seconds
POLLED_LABELS = 3  # the number of latest labels that are polled
BEFORE_ALL, AFTER_ALL = -1e18, 1e18  # times before and after all others


@dataclass
class Answer:
    """One response, and the label of its request. Times are seconds on the loop's clock."""

    label: str
    sent_at: float
    answered_at: float
    sidecar: str
    status: int


@dataclass
class Change:
    """One change of the policy and its outcome."""

    label: str
    switch_at: float = 0.0  # on the loop's clock
    proposal_status: int = 0  # of the response to the proposal; 0: none was received
    outcome: str = ""  # decided or dropped; empty: still open, or never proposed
    ended_after: float = 0.0  # seconds from the proposal to its end
    faults: list[str] = field(default_factory=list)


class PolicyObserver:
    """Polls every sidecar with the labels of the policies that may be in force."""

    def __init__(self, cluster: Cluster) -> None:
        """Start polling."""
        self.cluster = cluster
        self.answers: list[Answer] = []
        self.labels = ["a0", "a1"]
        self.tasks = [asyncio.create_task(self._poll(sidecar)) for sidecar in cluster.sidecars]
        self.requests = 0

    async def _poll(self, sidecar: Sidecar) -> None:
        client = HttpClient(sidecar.address)
        pending: set[asyncio.Task[None]] = set()
        while True:
            for label in self.labels[-POLLED_LABELS:]:
                task = asyncio.create_task(self._send_request(client, sidecar, label))
                pending.add(task)
                task.add_done_callback(pending.discard)
            await asyncio.sleep(POLL_INTERVAL)

    async def _send_request(self, client: HttpClient, sidecar: Sidecar, label: str) -> None:
        loop = asyncio.get_running_loop()
        self.requests += 1
        headers = {"X-Trace-Id": f"q{self.requests}", "X-Qos": label, "X-Expires-In-Ms": "1900"}
        sent_at = loop.time()
        with contextlib.suppress(ConnectionBrokenError, TimeoutError):
            async with asyncio.timeout(REQUEST_TIMEOUT):
                status, _, _ = await client.call("GET", f"/{label}/x", headers)
                self.answers.append(Answer(label, sent_at, loop.time(), sidecar.name, status))

    def add_label(self, label: str) -> None:
        """Poll with that label from now on."""
        if label not in self.labels:
            self.labels.append(label)

    def stop(self) -> None:
        """Stop polling."""
        for task in self.tasks:
            task.cancel()

    def serves(self, sidecar: Sidecar, label: str, since: float) -> bool:
        """Return whether the sidecar has served a request with that label that was sent after `since`."""
        return any(
            answer.status == 200 and answer.label == label
            for answer in self.answers
            if answer.sidecar == sidecar.name and answer.sent_at > since
        )


def find_violations(answers: list[Answer], changes: list[Change], start: float) -> list[str]:
    """Return a message for each request that was served under a policy which was not in force.

    That is a policy that was not decided, or a decided one before or after its time. `start`: the time on the
    loop's clock from which the times in the messages count.
    """
    violations = []
    decided = [
        Change("a0", switch_at=BEFORE_ALL, outcome="decided"),
        *(c for c in changes if c.outcome == "decided"),
    ]
    end_times = {
        change.label: next_change.switch_at for change, next_change in zip(decided, decided[1:], strict=False)
    }
    begin_times = {change.label: change.switch_at for change in decided}
    for answer in answers:
        if answer.status != 200:
            continue
        label = answer.label
        sent, answered = answer.sent_at - start, answer.answered_at - start
        details = f"{label} at {answer.sidecar}, sent at {sent:.3f}, answered at {answered:.3f}"
        if label not in begin_times:
            violations.append(f"served under a policy that was not decided: {details}")
        elif answer.answered_at < begin_times[label] - TIME_TOLERANCE:
            violations.append(
                f"served before its policy was in force ({begin_times[label] - start:.3f}): {details}"
            )
        elif answer.sent_at > end_times.get(label, AFTER_ALL) + TIME_TOLERANCE:
            violations.append(
                f"served after its policy was in force ({end_times[label] - start:.3f}): {details}"
            )
    return violations
