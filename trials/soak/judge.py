"""The verdict on a soak, by what its clients and servers saw. Times are in seconds on the loop's clock."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from fakes.client_connection import ReceivedResponse
from fakes.delivery import Delivery

from .plan import Kind, RequestPlan, SoakPlan

RESPONSE_SLACK = 0.5  # after its client's time a response may still come
DISCONNECT_SLACK = 0.1  # after its client has left an attempt may still begin
TRIAL_DELAY = 0.15  # by which the trial itself may be late, beside what it notices
TOLD_SLACK = 0.15  # of the time that endpoints are told
TAKEN_MARGIN = 0.05  # a request sent this close to a kill may not have been accepted
KILL_MARGIN = 0.1  # after a kill its connections end
PASSAGE_MARGIN = 0.02  # a head sent this close to the final response may have crossed it
PROMISES_NO_EFFECT = (429, 503)


def body_for(trace: str, length: int) -> bytes:
    """Return the body of the response to one request."""
    piece = f"{trace}:{random.Random(trace).getrandbits(64):016x};".encode()
    return (piece * (length // len(piece) + 1))[:length]


@dataclass(eq=False)
class Run:
    """A request at a server. `place` is the server's process, `cell` the one that it is listed in."""

    begun_at: float
    place: str
    cell: int
    has_run: bool = True
    place_known: bool = True  # the sidecar could know which process was at the address
    told_timeout: float = 0.0  # the time that the endpoint was told
    time_left: float = inf  # the time that its client had left then
    delivery: Delivery | None = None
    server_ended: bool = False  # the server's process ended while it responded


@dataclass(eq=False)
class ClientRecord:
    """What became of one request at its client."""

    plan: RequestPlan
    first_sent_at: float = inf  # the first byte
    sent_at: float = inf  # the last byte
    left_at: float = inf
    responses: list[ReceivedResponse] = field(default_factory=list)  # of the request and its repeats
    was_taken: bool = True  # the sidecar has accepted the connection, and not closed it unread


class Judge:
    """Collects what was seen and says what was broken."""

    def __init__(self, plan: SoakPlan) -> None:
        """Start without any request."""
        self.plan = plan
        self.records: dict[str, ClientRecord] = {}
        self.runs: dict[str, list[Run]] = {}
        self.other_violations: list[str] = []
        self.killed_at: list[float] = []
        self.max_delay = 0.0  # by which the trial was late
        self.counts: Counter[str] = Counter()

    def violations(self) -> list[str]:
        """Return everything that was broken."""
        found = list(self.other_violations)
        for record in self.records.values():
            plan = record.plan
            label = f"{plan.trace} ({plan.kind.value}, {plan.delivery.framing.value}, {plan.length} bytes)"
            found += [f"{label}: {violation}" for violation in self._of_request(record)]
        return found

    def _of_request(self, record: ClientRecord) -> Iterator[str]:
        runs = self.runs.get(record.plan.trace, [])
        yield from self._of_runs(record, runs)
        for response in record.responses:
            yield from self._of_content(record.plan, response)
        if record.responses and record.left_at == inf:
            yield from self._of_time(record, record.responses[0], runs)
            yield from self._of_cuts(record, runs)

    def _of_runs(self, record: ClientRecord, runs: list[Run]) -> Iterator[str]:
        plan = record.plan
        ran = [run for run in runs if run.has_run]
        if plan.category == "pay" and len(ran) > 1:
            yield f"ran {len(ran)} times"
        if plan.category == "change" and ran:
            if ran[-1].begun_at > ran[0].begun_at + self.plan.window + TRIAL_DELAY:
                yield "ran again after its window"
            cells = {run.cell for run in ran if run.place_known}
            if self.plan.scope == "cell" and len(cells) > 1:
                yield f"ran outside its scope: {[run.place for run in ran]}"
        statuses = [response.status for response in record.responses]
        if plan.category == "pay" and ran and any(status in PROMISES_NO_EFFECT for status in statuses):
            yield f"answered {statuses} though it ran"
        latest = record.left_at + DISCONNECT_SLACK + TRIAL_DELAY + self.max_delay
        if plan.repeats_after == inf and any(run.begun_at > latest for run in runs):
            yield "began after its client had left"
        for run in runs:
            if run.told_timeout > run.time_left + TOLD_SLACK + TRIAL_DELAY + self.max_delay:
                yield f"an endpoint was told {run.told_timeout:.2f} s, {run.time_left:.2f} s were left"

    def _of_content(self, plan: RequestPlan, response: ReceivedResponse) -> Iterator[str]:
        if response.status != 200:
            return
        expected = body_for(plan.trace, plan.length)
        if not expected.startswith(response.body):
            yield f"a foreign response: {response.body[:60]!r}"
        elif response.is_complete and len(response.body) != plan.length:
            yield f"{len(response.body)} bytes that seem whole"

    def _of_time(self, record: ClientRecord, response: ReceivedResponse, runs: list[Run]) -> Iterator[str]:
        """Check that the final response came in time."""
        plan = record.plan
        if not record.was_taken:
            self.counts["not taken"] += 1
            return
        self.counts[str(response.status)] += 1
        due = record.sent_at + plan.timeout + RESPONSE_SLACK + TRIAL_DELAY + self.max_delay
        killed_at = self._kill_that_closed(response)
        if killed_at < inf:
            self.counts["open at the kill"] += 1
            if not response.status and record.sent_at < killed_at - TAKEN_MARGIN:
                yield f"unanswered at the kill, {killed_at - record.sent_at:.2f} s after it was sent"
        elif not response.status:
            yield f"no response within {response.ended_at - record.sent_at:.2f} s"
        elif response.first_byte_at > due:
            yield f"response after {response.first_byte_at - record.sent_at:.2f} s"
        elif not response.is_complete and self._may_break_off(plan, runs):
            self.counts["broke off"] += 1
        elif not response.is_complete:
            yield f"incomplete: {response.status}, {len(response.body)} bytes"
        elif plan.read_rate == inf and not plan.is_long and response.ended_at > due:
            yield f"the last byte came after {response.ended_at - record.sent_at:.2f} s"

    @staticmethod
    def _may_break_off(plan: RequestPlan, runs: list[Run]) -> bool:
        """Return whether a server may have broken off the response."""
        return plan.kind in (Kind.HANG, Kind.BREAK) or any(run.server_ended for run in runs)

    def _kill_that_closed(self, response: ReceivedResponse) -> float:
        """Return the time of the kill that ended a response's connection, or infinity."""
        for killed_at in self.killed_at:
            if (
                response.was_closed
                and killed_at <= response.ended_at < killed_at + KILL_MARGIN + self.max_delay
            ):
                return killed_at
        return inf

    def _of_cuts(self, record: ClientRecord, runs: list[Run]) -> Iterator[str]:
        """Check that no connection was closed under a whole response that a client waited for."""
        plan, response = record.plan, record.responses[0]
        is_answered = response.is_complete and response.status == 200
        if plan.status != 200 or is_answered or len(runs) > 1 or self._kill_that_closed(response) < inf:
            return  # the body of an error is not needed, and of two attempts one is cancelled
        end = inf if plan.is_long else record.sent_at + plan.timeout
        for run in runs:
            delivery = run.delivery
            if delivery is None or run.server_ended or not delivery.was_cut_off:
                continue
            cut_at, head_at = delivery.broken_at or inf, delivery.head_at or inf
            was_begun = head_at + PASSAGE_MARGIN < response.ended_at
            if was_begun and cut_at < end:
                yield f"cut off {cut_at - record.sent_at:.2f} s after it was sent: {response.status}"
