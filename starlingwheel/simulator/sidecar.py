"""One sidecar on the simulator's wire: ids become objects on the way in and ids again on the way out."""

from __future__ import annotations

import math
import random
from typing import Any

from ..decisions.events import AttemptEnded, WatchEvent
from ..decisions.model import Attempt, Endpoint, Request
from ..decisions.scheduler import DecisionScheduler
from ..settings import decode
from .wire import FATES, NEWS, MalformedMessageError, SimulatorLine, flag, micros, pack, seconds, unpack


class SimulatedRequest:
    """A work item under its wire number, kept until it is answered and every hand-off has ended."""

    __slots__ = ("number", "request", "handed", "owed")

    def __init__(self, number: int, request: Request) -> None:
        self.number = number
        self.request = request
        self.handed: list[Attempt] = []
        self.owed = True


class SimulatedSidecar:
    """Hosts one instance; it is the `Door` of its runner. `out` takes the action lines."""

    def __init__(self, line: SimulatorLine, now: float) -> None:
        self.out: list[str] = []
        agreed = line.read("facts", decode)
        self._categories = {c.name: c for c in agreed.request_classes}
        self._customers = {c.name: c for c in agreed.tenants}
        self._jobs: dict[int, SimulatedRequest] = {}
        self._job_of: dict[Request, SimulatedRequest] = {}
        self._begun = False
        self._alarms: list[int] = []  # each sooner than the one before it
        self.runner = DecisionScheduler(agreed, random.Random(line.read("entropy", int)), self, now)

    def event(self, line: SimulatorLine, lists: dict[int, list[Endpoint]]) -> None:
        handler = self._HANDLERS.get(line.name)
        if handler is None:
            raise MalformedMessageError(f"line {line.number}: {line.name}: unknown event")
        handler(self, line, lists)

    def _announce(self, line: SimulatorLine, lists: dict[int, list[Endpoint]]) -> None:
        news = line.read("scope", NEWS.__getitem__)
        listings: list[Endpoint] = (
            [] if news is WatchEvent.FAILED else line.read("bank", lambda n: lists[int(n)])
        )
        self.runner.endpoints_changed(news, listings)
        if not self._begun:
            self._begun = True
            self.runner.start()

    def _query(self, line: SimulatorLine, _: Any) -> None:
        request = Request(
            request_class=line.read("profile", self._categories.__getitem__),
            arrived_at=self.runner.now,
            time_left=line.seconds("patienceLeft"),
            tenant=self._customers.get(line.fields.get("team", "")),
            is_retry=line.read("isRetry", flag, False),
            cost=line.seconds("cost", 0.0),
            key=line.fields.get("affinity", ""),
        )
        pending = SimulatedRequest(line.read("job", int), request)
        self._jobs[pending.number] = self._job_of[request] = pending
        self.runner.accept_request(request)

    def _hand_off(self, line: SimulatorLine) -> Attempt | None:
        """The hand-off a line speaks of; None when its work item is long settled."""
        pending = self._jobs.get(line.read("job", int))
        if pending is None:
            return None
        hop = line.read("hop", int)
        if not 0 <= hop < len(pending.handed):
            raise MalformedMessageError(
                f"line {line.number}: {line.name}: field hop names no hand-off: '{hop}'"
            )
        return pending.handed[hop]

    def _ended(self, line: SimulatorLine, _: Any) -> None:
        attempt = self._hand_off(line)
        fate = line.read("code", FATES.__getitem__)
        if attempt is None or not attempt.pending:
            return
        answered = line.read("doneFlag", flag, False)
        pending = self._job_of[attempt.request]
        pending.owed = pending.owed and not answered
        self.runner.attempt_ended(
            AttemptEnded(attempt, fate, line.seconds("duration"), answered, line.report())
        )
        self._forget_if_closed(pending)

    def _flowing(self, line: SimulatorLine, _: Any) -> None:
        attempt = self._hand_off(line)
        if attempt is not None:
            self.runner.response_started(attempt)

    def _cancelled(self, line: SimulatorLine, _: Any) -> None:
        pending = self._jobs.get(line.read("job", int))
        if pending is not None and pending.owed:
            pending.owed = False
            self.runner.client_disconnected(pending.request)
            self._forget_if_closed(pending)

    def _tick(self, line: SimulatorLine, _: Any) -> None:
        line.text("mark")
        while self._alarms and self._alarms[-1] <= micros(self.runner.now):
            self._alarms.pop()
        self.runner.tick()

    def _checked(self, line: SimulatorLine, _: Any) -> None:
        fate = line.read("code", FATES.__getitem__)
        self.runner.health_check_ended(line.text("upstream"), fate, line.seconds("duration"), line.report())

    def _heard(self, line: SimulatorLine, _: Any) -> None:
        self.runner.gossip_received(line.read("src", int), line.read("body", unpack))

    _HANDLERS = {
        "ANNOUNCE": _announce,
        "QUERY": _query,
        "ENDED": _ended,
        "FLOWING": _flowing,
        "CANCELLED_BY_CLIENT": _cancelled,
        "TICK_DUE": _tick,
        "CHECK_RESULT": _checked,
        "HEARD": _heard,
    }

    def _forget_if_closed(self, pending: SimulatedRequest) -> None:
        if not pending.owed and not any(attempt.pending for attempt in pending.handed):
            self._jobs.pop(pending.number, None)
            self._job_of.pop(pending.request, None)

    def start_attempt(self, attempt: Attempt, limit: float) -> None:
        pending = self._job_of[attempt.request]
        pending.handed.append(attempt)
        self.out.append(
            f"ROUTE job={pending.number} upstream={attempt.endpoint.endpoint_id} cap={max(micros(limit), 1)}"
        )

    def cancel_attempt(self, attempt: Attempt) -> None:
        pending = self._job_of[attempt.request]
        self.out.append(f"ABANDON job={pending.number} hop={pending.handed.index(attempt)}")

    def reject_request(self, request: Request, retry_after: float) -> None:
        self._final(request, "TURN_AWAY", f" coolDown={micros(retry_after)}")

    def fail_request(self, request: Request) -> None:
        self._final(request, "SURRENDER", "")

    def _final(self, request: Request, word: str, rest: str) -> None:
        pending = self._job_of[request]
        pending.owed = False
        self.out.append(f"{word} job={pending.number}{rest}")
        self._forget_if_closed(pending)

    def watch_endpoints(self) -> None:
        self.out.append("OBSERVE want=1")

    def start_health_check(self, upstream: Any) -> None:
        self.out.append(f"HEALTH_CHECK upstream={upstream.endpoint_id}")

    def send_gossip(self, body: bytes) -> None:
        self.out.append(f"NOTIFY recipient=* body={pack(body)}")

    def report_defect(self, request: Request | None, error: Exception) -> None:
        raise error

    def set_alarm(self, at: float) -> None:
        when = math.ceil(at * 1e6)
        # Guards against timers that can't be taken back piling up: one that comes sooner asks for the next.
        if not self._alarms or when < self._alarms[-1]:
            self._alarms.append(when)
            self.out.append(f"SET_ALARM when={when} mark=wake")


class SimulatorProcess:
    """All instances of this process, fed line by line; `lines` of a reply come back at the end of a batch."""

    def __init__(self) -> None:
        self.hosts: dict[str, SimulatedSidecar | None] = {}
        self.lists: dict[int, list[Endpoint]] = {}
        self.now = 0.0
        self.number = 0

    def read(self, text: str) -> SimulatorLine:
        self.number += 1
        return SimulatorLine(self.number, text)

    def batch(self, first: str, more: Any) -> list[str]:
        """Take one batch, from its opening line and the iterator of those that follow."""
        opening = self.read(first)
        if opening.name != "SYNC":
            raise MalformedMessageError(f"line {self.number}: {opening.name}: a batch opens with SYNC")
        self.now = opening.read("simTime", seconds)
        turn = opening.read("turn", int)
        touched: dict[str, SimulatedSidecar] = {}
        current: str | None = None
        for text in more:
            line = self.read(text.rstrip("\r\n"))
            if line.name == "GO":
                break
            if line.name == "SHEET":
                self._sheet(line, more)
            elif line.name == "CONTEXT":
                current = line.text("sidecar")
            elif current is None:
                raise MalformedMessageError(f"line {line.number}: {line.name}: an event before any CONTEXT")
            else:
                self._event(current, line, touched)
        else:
            raise MalformedMessageError(f"line {self.number}: the input ends within a batch")
        reply = []
        for name, host in touched.items():
            if host.out:
                reply.append(f"ON_BEHALF sidecar={name}")
                reply += host.out
                host.out = []
        reply.append(f"END turn={turn}")
        return reply

    def _sheet(self, line: SimulatorLine, more: Any) -> None:
        bank, count = line.read("bank", int), line.read("entries", int)
        listings = []
        for _ in range(count):
            entry = self.read(next(more, "").rstrip("\r\n"))
            if entry.name != "UPSTREAM":
                raise MalformedMessageError(
                    f"line {self.number}: SHEET: UPSTREAM expected, not {entry.name!r}"
                )
            listings.append(entry.listing())
        self.lists[bank] = listings

    def _event(self, name: str, line: SimulatorLine, touched: dict[str, SimulatedSidecar]) -> None:
        if line.name == "DETACH":
            self.hosts[name] = None
            touched.pop(name, None)
            return
        if line.name == "CONFIGURE":
            host = self.hosts[name] = SimulatedSidecar(line, self.now)
            touched.pop(name, None)
        else:
            known = self.hosts.get(name)
            if known is None:
                raise MalformedMessageError(
                    f"line {line.number}: {line.name}: for an instance that has not started: {name!r}"
                )
            host = known
        if name not in touched:
            touched[name] = host
            host.runner.set_time(self.now)
        if line.name != "CONFIGURE":
            host.event(line, self.lists)
