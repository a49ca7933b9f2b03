"""Calls down a tree of services in emulated time: what second sends and retries come to at the leaf.

Each caller has the program's own `Runner` and `Balancer` for each service that it calls, which are all of the
next level; the servers of those are its callers. Which service of each level a call at the root needs is
drawn once, for all that is made for it. This module plays servers, ways and applications, by the plainest
rules: an application does its own work, calls the next level with the time that it has left, and answers with
an error where that call gave nothing. No sockets, no `fleet` part; the same seed gives the same counts.

The load at a level is the sends that reach it for each call at the root: 1 where nobody sends twice.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import sys
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from starlingwheel.decisions.balancer import Balancer
from starlingwheel.decisions.config import BalancerConfig, RequestClass, RetrySafety
from starlingwheel.decisions.events import AttemptEnded, WatchEvent
from starlingwheel.decisions.model import Attempt, AttemptOutcome, Endpoint, EndpointState, Request
from starlingwheel.decisions.retry_policy import RetryPolicy
from starlingwheel.decisions.scheduler import DecisionScheduler

WAY = (0.0001, 0.0004)  # seconds of one way between a caller and a server: the least, and the most
SPREAD = 0.6  # of the logarithm of a server's own work
SCENES = ("calm", "slow", "errors", "hangs")
SLOW = 10.0  # times as long as usual that the slow leaf server takes
EXPIRY = 2.0  # due times


@dataclass(frozen=True)
class Plan:
    """`rate`: calls a second of each sidecar. `use`: part of the servers' room that first sends take.

    `budget`: second sends that a sidecar may make for each first send; None: as the program is, no bound.
    `tells`: an application that has been left leaves its own call too. `hands_down`: it tells the time left.
    `passes_on`: what-if: an application whose own call was deferred turns its caller's away, as never run.
    `reports`: each answer says how many its server holds, and how busy it is.
    """

    seed: int = 1
    scene: str = "calm"
    depth: int = 7
    services: int = 2
    instances: int = 5  # of a service: 1,600 sidecars in 310 services
    rate: float = 344.0
    use: float = 0.4
    cores: int = 2
    room: int = 256  # calls that wait at a server, before it turns the next away
    due: float = 1.0
    effect: str = "rerunnable"
    max_attempts: int = 3
    copies: bool = True
    budget: float | None = None
    passes_on: bool = False
    tells: bool = True
    hands_down: bool = True
    reports: bool = True
    part: float = 1.0  # of the calls at the leaf that fails
    learn: float = 2.0  # seconds of calm before the scene
    lasts: float = 2.0  # seconds of the fault
    last: float = 3.0  # seconds that are counted, from its begin
    most: int = 6_000_000  # events after which a run is void: it has grown past what is worth playing

    def faults(self) -> list[str]:
        """All that is wrong with it, each in a line."""
        wrong = [f"scene: {self.scene!r} is none of {', '.join(SCENES)}"] if self.scene not in SCENES else []
        for name, least, most in (
            ("depth", 1, 12), ("services", 1, 64), ("instances", 1, 256), ("rate", 0.1, 1e5),
            ("use", 0.001, 0.95), ("part", 0.0, 1.0), ("lasts", 0.0, 600.0), ("cores", 1, 256),
            ("max_attempts", 1, 16), ("due", 0.01, 60.0), ("learn", 0.0, 600.0), ("last", 0.1, 600.0),
        ):  # fmt: skip
            value = getattr(self, name)
            if not least <= value <= most:
                wrong.append(f"{name}: {value} is not from {least} to {most}")
        if self.budget is not None and not 0 <= self.budget <= 10:
            wrong.append(f"budget: {self.budget} is not from 0 to 10")
        if self.effect not in [effect.value for effect in RetrySafety]:
            wrong.append(f"effect: {self.effect!r} is unknown")
        calls = self.rate * self.services * self.instances * self.depth * (self.learn + self.last)
        if not wrong and 8 * calls > self.most:
            wrong.append(
                f"{calls:.0f} calls are more than {self.most} events allow; ask for fewer or less long"
            )
        return wrong


class Budget:
    """What-if, not in the program: so many second sends a sidecar for each first send, and a few saved up."""

    SAVED = 10.0

    def __init__(self, ratio: float) -> None:
        self.ratio, self.left = ratio, self.SAVED * ratio

    def first(self) -> None:
        self.left = min(self.SAVED, self.left + self.ratio)

    def second(self) -> None:
        self.left -= 1


class BudgetedRetryPolicy(RetryPolicy):
    """The program's retry policy, and further attempts only within a budget: not in the program."""

    budget: Budget

    def may_send(self, request: Request, attempts: Sequence[Attempt]) -> bool:
        return self.budget.left >= 1 and super().may_send(request, attempts)


@dataclass(frozen=True)
class Root:
    """A call at the root: whether it counts, and which service at each level it is for."""

    measured: bool
    path: tuple[int, ...]


@dataclass(eq=False)
class Call:
    """One hand-off at its server. `until`: by when its caller waits, as the server was told."""

    attempt: Attempt | None
    caller: Caller
    server: Server
    until: float
    root: Root
    left: bool = False
    below: Caller | None = None
    child: Request | None = None
    waits: bool = True
    held: bool = False


@dataclass(eq=False)
class Asked:
    """What one work item of a caller is for. `sends`: how many it was handed off."""

    done: Callable[[str], None]
    at: float
    told: float
    root: Root
    sends: int = 0
    calls: dict[Attempt, Call] = field(default_factory=dict)
    answered: bool = False


class Caller:
    """One sidecar: the program's decisions for the service it calls; this is their door."""

    def __init__(self, tree: Tree, level: int, servers: list[Server], number: int) -> None:
        self.tree, self.level, self.servers = tree, level, {server.name: server for server in servers}
        plan = tree.plan
        terms = BalancerConfig(
            request_classes=[tree.category],
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
        rng = random.Random(f"{plan.seed} {number} {servers[0].name}")
        self.runner = DecisionScheduler(terms, rng, self, tree.now)
        self.budget = Budget(plan.budget) if plan.budget is not None else None
        if self.budget is not None:
            balancer = Balancer(terms, rng, tree.now, retry_policy=BudgetedRetryPolicy)
            balancer.retry_policy.budget = self.budget
            self.runner.balancer = balancer
        self.asked: dict[Request, Asked] = {}
        listings = [Endpoint(s.name, "here", 0, 1.0, None, EndpointState.READY) for s in servers]
        self.runner.endpoints_changed(WatchEvent.SNAPSHOT, listings)
        self.runner.start()

    def ask(self, patience: float, root: Root, done: Callable[[str], None]) -> Request:
        """Call the next level; `done` is told how that ended: finished, deferred or written off."""
        self.runner.set_time(self.tree.now)
        request = Request(self.tree.category, self.tree.now, min(patience, self.tree.category.timeout))
        self.asked[request] = Asked(done, self.tree.now, request.time_left, root)
        if self.budget is not None:
            self.budget.first()
        self.runner.accept_request(request)
        return request

    def leave(self, request: Request) -> None:
        """Whoever asked has gone."""
        asked = self.asked.get(request)
        if asked is not None and not asked.answered:
            asked.answered = True
            self.runner.set_time(self.tree.now)
            self.runner.client_disconnected(request)

    def ended(self, call: Call, fate: AttemptOutcome, report: dict[str, float] | None = None) -> None:
        """A hand-off has ended, as this caller sees it."""
        attempt = call.attempt
        if attempt is None or not attempt.pending:
            return
        asked = self.asked[attempt.request]
        del asked.calls[attempt]
        first = fate is AttemptOutcome.SUCCESS and not asked.answered
        if first:
            asked.answered = True
            self.tree.answered("finished", self.level, asked)
        self.runner.set_time(self.tree.now)
        self.runner.attempt_ended(
            AttemptEnded(attempt, fate, self.tree.now - attempt.started_at, asked.answered, report or {})
        )
        if first:
            asked.done("finished")
        self._forget(attempt.request)

    def _forget(self, request: Request) -> None:
        asked = self.asked.get(request)
        if asked is not None and asked.answered and not asked.calls:
            del self.asked[request]

    def tick(self) -> None:
        self.runner.set_time(self.tree.now)
        self.runner.tick()

    # The door.

    def start_attempt(self, attempt: Attempt, limit: float) -> None:
        asked = self.asked[attempt.request]
        kind = "first" if not asked.sends else "copy" if asked.calls else "retry"
        asked.sends += 1
        if self.budget is not None and kind != "first":
            self.budget.second()
        tree, server = self.tree, self.servers[attempt.endpoint.endpoint_id]
        tree.count(self.level, kind, asked.root.measured)
        # As the program tells it: whole milliseconds, one at least.
        told = max(1, int(limit * 1000)) / 1000 if tree.plan.hands_down else tree.category.timeout
        call = asked.calls[attempt] = Call(attempt, self, server, tree.now + told, asked.root)
        if asked.root.measured:
            tree.left[self.level].append(told)
            tree.longer += told > asked.told + 0.001
        tree.after(tree.way(), lambda: server.take(call))
        tree.after(limit, lambda: self._over(call, AttemptOutcome.TIMED_OUT))

    def _over(self, call: Call, fate: AttemptOutcome) -> None:
        if call.attempt is not None and call.attempt.pending:
            self.ended(call, fate)
            self.tree.after(self.tree.way(), call.server.leaver(call))

    def cancel_attempt(self, attempt: Attempt) -> None:
        call = self.asked[attempt.request].calls[attempt]
        self.tree.after(0.0, lambda: self._over(call, AttemptOutcome.CANCELLED))

    def _refused(self, request: Request, how: str) -> None:
        asked = self.asked[request]
        asked.answered = True
        self.tree.answered(how, self.level, asked)
        # Not in this turn: the decisions are in the middle of theirs.
        self.tree.after(0.0, lambda: asked.done(how))
        self.tree.after(0.0, lambda: self._forget(request))

    def reject_request(self, request: Request, retry_after: float) -> None:
        self._refused(request, "deferred")

    def fail_request(self, request: Request) -> None:
        self._refused(request, "written off")

    def set_alarm(self, at: float) -> None:
        self.tree.at(at, self.tick)

    def watch_endpoints(self) -> None: ...

    def start_health_check(self, upstream: Any) -> None:
        raise AssertionError("nobody may ask here")

    def send_gossip(self, body: bytes) -> None: ...

    def report_defect(self, request: Request | None, error: Exception) -> None:
        raise error


class Server:
    """One upstream: so many cores, a line before them, and beside it the sidecar of what it calls."""

    def __init__(self, tree: Tree, level: int, name: str, below: list[Caller]) -> None:
        self.tree, self.level, self.name, self.below = tree, level, name, below
        self.line: deque[Call] = deque()
        self.busy = self.held = 0
        self.slow, self.fails, self.hangs = 1.0, 0.0, 0.0

    def take(self, call: Call) -> None:
        if call.left:
            return  # its caller has gone while it was on its way
        self.held, call.held = self.held + 1, True
        if len(self.line) >= self.tree.plan.room:
            self._answer(call, AttemptOutcome.REJECTED)
        elif not self._falls(self.hangs):
            self.line.append(call)
            self._next()

    def _falls(self, part: float) -> bool:
        return part > 0 and self.tree.rng.random() < part

    def _next(self) -> None:
        while self.line and self.busy < self.tree.plan.cores:
            call = self.line.popleft()
            call.waits = False
            self.busy += 1
            took = self.tree.work() * self.slow
            if call.root.measured:
                self.tree.ran[self.level] += 1
                self.tree.late[self.level] += self.tree.now + took > call.until
            self.tree.after(took, lambda c=call: self._worked(c))

    def _worked(self, call: Call) -> None:
        self.busy -= 1
        if not call.left:
            if self._falls(self.fails):
                self._answer(call, AttemptOutcome.ERROR)
            elif not self.below:
                self._answer(call, AttemptOutcome.SUCCESS)
            elif (left := call.until - self.tree.now) <= 0:
                self._answer(call, AttemptOutcome.ERROR)
            else:
                call.below = self.below[call.root.path[self.level + 1]]
                call.child = call.below.ask(left, call.root, lambda how, c=call: self._back(c, how))
        self._next()

    def _back(self, call: Call, how: str) -> None:
        passed_on = how == "deferred" and self.tree.plan.passes_on
        failed = AttemptOutcome.REJECTED if passed_on else AttemptOutcome.ERROR
        self._answer(call, AttemptOutcome.SUCCESS if how == "finished" else failed)

    def _answer(self, call: Call, fate: AttemptOutcome) -> None:
        report = None
        self.held -= not call.left
        call.left = True
        if self.tree.plan.reports:
            report = {"held": float(self.held), "busy": self.busy / self.tree.plan.cores}
        self.tree.after(self.tree.way(), lambda: call.caller.ended(call, fate, report))

    def leaver(self, call: Call) -> Callable[[], None]:
        def leave() -> None:
            if call.left:
                return
            self.held -= call.held
            call.left = True
            if call.waits and call in self.line:
                self.line.remove(call)
            if call.child is not None and call.below is not None and self.tree.plan.tells:
                call.below.leave(call.child)

        return leave


class Tree:
    """All of it, and the clock."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.now, self.number = plan, 0.0, 0
        self.rng = random.Random(f"{plan.seed} tree")
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        effect = RetrySafety(plan.effect)
        memory = EXPIRY * plan.due if effect is RetrySafety.IDEMPOTENT_WITH_KEY else 0.0
        self.category = RequestClass(
            "call", effect, plan.due, 1.0, EXPIRY * plan.due, deduplication_window=memory
        )
        self.usual = plan.use * plan.cores / plan.rate  # seconds of a server's own work, on the mean
        self.sent = [Counter[str]() for _ in range(plan.depth)]
        self.ran, self.late = [0] * plan.depth, [0] * plan.depth
        self.left: list[list[float]] = [[] for _ in range(plan.depth)]
        self.longer = 0  # calls that were told to have longer than their own caller's had
        self.answers: Counter[str] = Counter()
        self.by_second, self.by_tenth = Counter[int](), Counter[int]()
        self.well_by_second: Counter[int] = Counter()
        self.roots = self.sidecars = 0
        self.begun_by_second: Counter[int] = Counter()
        self.servers: list[list[Server]] = []
        below: list[list[Server]] = []
        for level in reversed(range(plan.depth)):
            groups = []
            for service in range(plan.services):
                names = [f"{level}.{service}.{i}" for i in range(plan.instances)]
                groups.append([Server(self, level, name, self._callers(level + 1, below)) for name in names])
            self.servers.insert(0, [server for group in groups for server in group])
            below = groups
        self.edge = [self._callers(0, below) for _ in range(plan.services * plan.instances)]

    def _callers(self, level: int, services: list[list[Server]]) -> list[Caller]:
        """The sidecar of one that calls these, with decisions for each."""
        self.sidecars += 1
        return [Caller(self, level, servers, self.sidecars) for servers in services]

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, what))

    def after(self, seconds: float, what: Callable[[], None]) -> None:
        self.at(self.now + seconds, what)

    def way(self) -> float:
        return self.rng.uniform(*WAY)

    def work(self) -> float:
        return self.rng.lognormvariate(-(SPREAD**2) / 2, SPREAD) * self.usual

    def count(self, level: int, kind: str, measured: bool) -> None:
        if measured:
            self.sent[level][kind] += 1
            if level == self.plan.depth - 1:
                self.by_second[int(self.now - self.plan.learn)] += 1
                self.by_tenth[int((self.now - self.plan.learn) * 10)] += 1

    def answered(self, how: str, level: int, asked: Asked) -> None:
        if level == 0 and asked.root.measured:
            self.answers[how] += 1
            self.well_by_second[int(asked.at - self.plan.learn)] += how == "finished"

    def _arrive(self, callers: list[Caller]) -> None:
        plan = self.plan
        measured = self.now >= plan.learn
        self.roots += measured
        self.begun_by_second[int(self.now - plan.learn)] += measured
        root = Root(measured, tuple(self.rng.randrange(plan.services) for _ in range(plan.depth)))
        callers[root.path[0]].ask(EXPIRY * plan.due, root, lambda how: None)
        self._again(callers)

    def _again(self, callers: list[Caller]) -> None:
        after = self.rng.expovariate(self.plan.rate)
        if self.now + after < self.plan.learn + self.plan.last:
            self.after(after, lambda: self._arrive(callers))

    def _strike(self) -> None:
        """The fault begins: at one server of the leaf, or at all of one service there."""
        plan, leaf = self.plan, self.servers[-1]
        if plan.scene == "slow":
            leaf[0].slow = SLOW
        for server in leaf[: plan.instances]:
            server.fails, server.hangs = (
                plan.part * (plan.scene == "errors"),
                plan.part * (plan.scene == "hangs"),
            )
            if server.hangs == 1:
                server.line.clear()

    def _heal(self) -> None:
        for server in self.servers[-1]:
            server.slow, server.fails, server.hangs = 1.0, 0.0, 0.0

    def play(self) -> dict[str, Any]:
        """Until all is answered; what was counted. Raises `RuntimeError` where it grows past `most`."""
        for callers in self.edge:
            self._again(callers)
        self.at(self.plan.learn, self._strike)
        self.at(self.plan.learn + self.plan.lasts, self._heal)
        played = 0
        while self.events:
            self.now, _, what = heapq.heappop(self.events)
            what()
            played += 1
            if played > self.plan.most:
                raise RuntimeError(f"more than {self.plan.most} events at {self.now:.2f} s")
        return self._told(played)

    def _told(self, played: int) -> dict[str, Any]:
        roots = max(1, self.roots)
        levels = []
        for level, sent in enumerate(self.sent):
            left = sorted(self.left[level]) or [0.0]
            levels.append(
                {
                    "level": level + 1,
                    "sends a root call": round(sum(sent.values()) / roots, 3),
                    **{kind: round(sent[kind] / max(1, sent["first"]), 4) for kind in ("copy", "retry")},
                    "runs": round(self.ran[level] / roots, 3),
                    "too late": round(self.late[level] / max(1, self.ran[level]), 4),
                    "left ms": [round(left[int(len(left) * part)] * 1000) for part in (0.01, 0.5)],
                }
            )
        load, well = (
            [round(counts[s] / max(1, self.begun_by_second[s]), 3) for s in range(int(self.plan.last))]
            for counts in (self.by_second, self.well_by_second)
        )
        each_tenth = self.roots / self.plan.last / 10
        return {
            "trial": "call-tree",
            **{k: v for k, v in asdict(self.plan).items() if k != "most"},
            "calls at the root": self.roots,
            "answers": dict(self.answers),
            "load at the leaf": levels[-1]["sends a root call"],
            "by second": load,
            "most in a tenth": round(max(self.by_tenth.values(), default=0) / max(1.0, each_tenth), 2),
            "answered by second": well,
            "told longer than it had": self.longer,
            "levels": levels,
            "events": played,
        }


def play(plan: Plan) -> dict[str, Any]:
    return Tree(plan).play()


def _range(values: list[float], form: str) -> str:
    low, high = format(min(values), form), format(max(values), form)
    return low if low == high else f"{low} to {high}"


def table(told: list[dict[str, Any]]) -> str:
    """Results beside each other, in markdown: a row for each kind of run, ranges over its seeds."""
    head = [
        "scene",
        "what if",
        "seeds",
        "load at the leaf",
        "most in 0.1 s",
        "by second",
        "most at any level",
    ]
    head += ["answered while it lasts", "in the last second", "most copies, retries at a level"]
    kinds: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for one in told:
        if "void" in one:
            continue
        scene = one["scene"] + (f" {one['part']:.0%}" if one["part"] < 1 else "")
        scene += f", {one['services']} service{'s' * (one['services'] > 1)} a level, {one['depth']} deep"
        if (one["instances"], one["rate"]) != (Plan.instances, Plan.rate):
            scene += f", {one['instances']} servers a service, {one['rate']:.0f} calls a second each"
        what_if = [f"a budget of {one['budget']:.0%}"] if one["budget"] is not None else []
        if "regains" in one:  # a line from before work that finds nobody earned its part of a trial
            what_if += ["with the mend, as a what-if"] if one["regains"] else ["before the mend"]
        what_if += ["a deferral below is one above"] if one.get("passes_on") else []
        what_if += ["no load reports"] if not one["reports"] else []
        what_if += [f"{one['effect']} work"] if one["effect"] != Plan.effect else []
        kinds.setdefault((scene, ", ".join(what_if)), []).append(one)
    rows = [head, ["---"] * len(head)]
    for (scene, what_if), runs in kinds.items():
        lasts = max(1, round(runs[0]["lasts"]))
        seconds = zip(*(one["by second"] for one in runs), strict=True)
        during = [one["answered by second"][:lasts] for one in runs]
        rows.append(
            [
                scene, what_if or "as it is", str(len(runs)),
                _range([one["load at the leaf"] for one in runs], ".2f"),
                _range([one["most in a tenth"] for one in runs], ".1f"),
                ", ".join(f"{sum(each) / len(each):.2f}" for each in seconds),
                _range([max(level["sends a root call"] for level in one["levels"]) for one in runs], ".2f"),
                _range([sum(well) / len(well) for well in during], ".0%"),
                _range([one["answered by second"][-1] for one in runs], ".0%"),
                ", ".join(
                    f"{max(level[kind] for one in runs for level in one['levels']):.0%}"
                    for kind in ("copy", "retry")
                ),
            ]
        )  # fmt: skip
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def main(given: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m trials call-tree", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="(default: 1)")
    parser.add_argument("--seeds", type=int, default=1, help="so many seeds in a row (default: 1)")
    parser.add_argument("--scene", action="append", choices=SCENES, help="again for more; all unless told")
    parser.add_argument("--budget", action="append", help="second sends for each first one, or none; again")
    parser.add_argument("--effect", choices=[e.value for e in RetrySafety], default=Plan.effect)
    for name in ("depth", "services", "instances", "cores", "max-attempts"):
        default = getattr(Plan, name.replace("-", "_"))
        parser.add_argument(f"--{name}", type=int, default=default, help=f"(default: {default})")
    for name in ("rate", "use", "part", "due", "learn", "lasts", "last"):
        default = getattr(Plan, name)
        parser.add_argument(f"--{name}", type=float, default=default, help=f"(default: {default})")
    parser.add_argument("--no-copies", dest="copies", action="store_false", help="copies are not allowed")
    parser.add_argument("--not-told", dest="tells", action="store_false", help="who is left goes on calling")
    parser.add_argument("--passes-on", action="store_true", help="what-if: a deferral below is one above")
    parser.add_argument("--no-reports", dest="reports", action="store_false", help="answers tell no load")
    parser.add_argument("--table", action="store_true", help="a table at the end")
    parser.add_argument("--read", type=Path, help="play nothing: a table of the lines of former runs")
    told = vars(parser.parse_args(given))
    if (read := told.pop("read")) is not None:
        if not read.is_file():
            print(f"{read}: there is no such file", file=sys.stderr)
            return 2
        print(table([json.loads(text) for text in read.read_text().splitlines() if text.startswith("{")]))
        return 0
    first, seeds, as_table = told.pop("seed"), told.pop("seeds"), told.pop("table")
    scenes, budgets = told.pop("scene") or SCENES, told.pop("budget") or ["none"]
    done: list[dict[str, Any]] = []
    try:
        plans = [
            Plan(seed=seed, scene=scene, budget=None if budget == "none" else float(budget), **told)
            for seed in range(first, first + seeds)
            for scene in scenes
            for budget in budgets
        ]
    except ValueError:
        print(f"budget: {budgets} are no numbers", file=sys.stderr)
        return 2
    if faults := sorted({fault for plan in plans for fault in plan.faults()}):
        print("; ".join(faults), file=sys.stderr)
        return 2
    whole = True
    for plan in plans:
        try:
            done.append(play(plan))
            print(json.dumps(done[-1]), flush=True)
        except RuntimeError as error:
            whole = False
            print(json.dumps({"trial": "call-tree", **asdict(plan), "void": str(error)}), flush=True)
    if as_table and done:
        print(table(done))
    return 0 if whole else 1


if __name__ == "__main__":
    sys.exit(main())
