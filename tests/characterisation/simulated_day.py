"""A seeded day in front of the simulator adapter: clients, endpoints, discovery and peers, all simulated.

The adapter is started by the command of deploy/balancer.toml and spoken to on its standard streams, so
nothing here depends on the names of its modules. All times are integer microseconds.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import random
import subprocess
import sys
import tomllib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
RESOLUTION = 1_000  # all events of one millisecond are one batch
START = 5_000_000
ZONES = ("north", "south")
DISTURBANCES = (
    "drain", "restart", "slow", "hang", "refuse", "error", "recover", "recover", "resend", "break", "kill",
)  # fmt: skip


@dataclass(frozen=True)
class Scenario:
    """One day: the settings of its sidecars, its size and its faults."""

    name: str
    seed: int
    sidecars: int
    endpoints: int
    duration: int
    requests_per_second: int
    settings: dict[str, Any]
    service_time: int = 20_000
    fault_rate: float = 0.02


@dataclass
class Endpoint:
    """A simulated server: its entry in the list and how it answers."""

    address: str
    zone: str
    cell: int
    size: float
    started: int = 0
    condition: int = 2
    mode: str = "healthy"
    held: int = 0
    served: int = 0
    failed: int = 0


@dataclass
class Attempt:
    """One ROUTE of the adapter and what became of it."""

    job: int
    hop: int
    endpoint: Endpoint
    started_at: int
    ended: bool = False
    streaming: bool = False


@dataclass
class Request:
    """One QUERY and its attempts; `settled` once the client has its final answer or has left."""

    job: int
    sidecar: int
    profile: str
    patience: int
    attempts: list[Attempt] = field(default_factory=list)
    settled: bool = False


class Day:
    """Plays a scenario; `digest` is of every reply, byte for byte."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.now = START
        self.turn = 0
        self.digest = hashlib.sha256()
        self.counts: Counter[str] = Counter()
        self.pending: list[tuple[int, int, Callable[[], None]]] = []
        self.events: dict[int, list[str]] = {}
        self.endpoints = [self._endpoint(i) for i in range(scenario.endpoints)]
        self.by_address = {endpoint.address: endpoint for endpoint in self.endpoints}
        self.requests: dict[int, Request] = {}
        self.next_job = 1
        self.subscribed: set[int] = set()
        self.alive = set(range(scenario.sidecars))
        self.version = 1
        self.sequence = 0
        self.streamed = {c["name"] for c in scenario.settings["categories"] if c.get("streamed")}
        self.profiles = [c["name"] for c in scenario.settings["categories"]]
        self.expiry = {c["name"]: c["expiry"] for c in scenario.settings["categories"]}

    def _endpoint(self, number: int) -> Endpoint:
        size = (1.0, 1.5, 0.5, 2.0)[number % 4]
        return Endpoint(f"10.0.{number // 200}.{number % 200 + 1}:80", ZONES[number % 2], number % 5, size)

    # The timetable.

    def at(self, when: int, action: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.pending, (max(when, self.now + RESOLUTION), self.sequence, action))

    def play(self) -> None:
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
        command = command.replace(".venv/bin/python", sys.executable)
        with subprocess.Popen(
            ["sh", "-c", command], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        ) as process:
            self.process = process
            self._prepare()
            while self.pending and self.pending[0][0] <= START + self.scenario.duration:
                self._step()
            process.stdin.close()
            rest = process.stdout.read()
        assert process.returncode == 0 and rest == "", (process.returncode, rest[-2000:])

    def _prepare(self) -> None:
        for sidecar in range(self.scenario.sidecars):
            self._configure(sidecar)
        self._exchange()
        end = START + self.scenario.duration
        interval = 1_000_000 // self.scenario.requests_per_second
        arrival = START
        while arrival < end:
            arrival += int(self.random.expovariate(1.0) * interval) + 1
            self.at(arrival, self._arrive)
        for when in range(START + 300_000, end, 200_000):
            self.at(when, self._disturb)

    def _step(self) -> None:
        self.now = -(-self.pending[0][0] // RESOLUTION) * RESOLUTION
        while self.pending and self.pending[0][0] <= self.now:
            heapq.heappop(self.pending)[2]()
        if self.events:
            self._exchange()

    def _exchange(self) -> None:
        """Send what has gathered as one batch and carry out the reply."""
        self.turn += 1
        lines = [f"SYNC simTime={self.now} turn={self.turn}"]
        for sidecar in sorted(self.events):
            lines += [f"CONTEXT sidecar=sidecar/{sidecar}", *self.events[sidecar]]
        self.events = {}
        self.process.stdin.write("\n".join([*lines, "GO"]) + "\n")
        self.process.stdin.flush()
        sidecar = -1
        while True:
            line = self.process.stdout.readline()
            assert line, "the adapter has ended"
            self.digest.update(line.encode())
            name, _, rest = line.rstrip("\n").partition(" ")
            fields = dict(part.split("=", 1) for part in rest.split(" ") if part)
            if name == "END":
                return
            if name == "ON_BEHALF":
                sidecar = int(fields["sidecar"].removeprefix("sidecar/"))
                continue
            self.counts[name] += 1
            getattr(self, f"_on_{name.lower()}")(sidecar, fields)

    def tell(self, sidecar: int, line: str) -> None:
        if sidecar in self.alive:
            self.events.setdefault(sidecar, []).append(line)

    # Discovery.

    def _entry(self, endpoint: Endpoint) -> str:
        nominal = endpoint.size
        if self.scenario.settings.get("weightKind") == "live":
            nominal = endpoint.size / (1 + endpoint.held)
        since = f" upSince={endpoint.started}" if endpoint.started else ""
        return (
            f"UPSTREAM model=std1 nominal={nominal:.4g} area={endpoint.zone} upstream={endpoint.address}"
            f"{since} bay={endpoint.cell} condition={endpoint.condition}"
        )

    def _announce(self, sidecar: int, endpoints: list[Endpoint], scope: int) -> None:
        entries = [self._entry(endpoint) for endpoint in endpoints]
        self.tell(sidecar, "\n".join([f"SHEET bank={sidecar} entries={len(entries)}", *entries]))
        self.tell(sidecar, f"ANNOUNCE bank={sidecar} scope={scope} version={self.version}")

    def _publish(self, endpoints: list[Endpoint]) -> None:
        self.version += 1
        everybody = self.scenario.settings["discovery"] == "push"
        for sidecar in sorted(self.alive if everybody else self.subscribed & self.alive):
            lag = self.random.randrange(5_000, 60_000)
            self.at(self.now + lag, lambda s=sidecar: self._announce(s, endpoints, 0))

    def _on_observe(self, sidecar: int, fields: dict[str, str]) -> None:
        if self.random.random() < 0.25:
            self.at(self.now + 30_000, lambda: self.tell(sidecar, f"ANNOUNCE scope=3 version={self.version}"))
            return
        self.subscribed.add(sidecar)
        self.at(self.now + 15_000, lambda: self._announce(sidecar, self._listed(), 2))

    def _listed(self) -> list[Endpoint]:
        return [endpoint for endpoint in self.endpoints if endpoint.condition]

    def _configure(self, sidecar: int) -> None:
        own = {"slotNo": sidecar, "locality": ZONES[sidecar % 2], "replicasOfMe": self.scenario.sidecars}
        facts = json.dumps(self.scenario.settings | own)
        self.tell(sidecar, f"CONFIGURE entropy={self.scenario.seed * 100 + sidecar} facts={facts}")
        self._announce(sidecar, self._listed(), 1)

    # Faults and changes of the list.

    def _disturb(self) -> None:
        kind = self.random.choice(
            (
                "drain",
                "restart",
                "slow",
                "hang",
                "refuse",
                "error",
                "recover",
                "recover",
                "resend",
                "break",
                "kill",
            )
        )
        endpoint = self.random.choice(self.endpoints)
        if kind == "drain" and len(self._listed()) > len(self.endpoints) // 2:
            endpoint.condition = 1
            endpoint.mode = "draining"
            self._publish([endpoint])
            self.at(self.now + 800_000, lambda: self._remove(endpoint))
        elif kind == "restart":
            endpoint.started, endpoint.condition, endpoint.mode = self.now, 2, "healthy"
            self._publish([endpoint])
        elif kind in ("slow", "hang", "refuse", "error"):
            if endpoint.mode == "healthy":
                endpoint.mode = kind
        elif kind == "recover":
            for one in self.endpoints:
                if one.mode in ("slow", "hang", "refuse", "error"):
                    one.mode = "healthy"
                    break
        elif kind == "resend":
            self._publish(self.random.sample(self.endpoints, 3))
        elif kind == "break" and self.subscribed:
            sidecar = self.random.choice(sorted(self.subscribed))
            self.subscribed.discard(sidecar)
            self.tell(sidecar, f"ANNOUNCE scope=3 version={self.version}")
        elif kind == "kill" and self.random.random() < 0.3:
            self._restart_sidecar(self.random.randrange(self.scenario.sidecars))

    def _remove(self, endpoint: Endpoint) -> None:
        if endpoint.condition == 1:
            endpoint.condition = 0
            self._publish([endpoint])

    def _restart_sidecar(self, sidecar: int) -> None:
        for request in self.requests.values():
            if request.sidecar == sidecar:
                request.settled = True
                for attempt in request.attempts:
                    self._release(attempt)
        self.subscribed.discard(sidecar)
        self.tell(sidecar, "DETACH")
        self._configure(sidecar)

    # Requests.

    def _arrive(self) -> None:
        sidecar = self.random.randrange(self.scenario.sidecars)
        profile = self.random.choice(self.profiles)
        patience = int(self.expiry[profile] * self.random.choice((1.0, 1.0, 0.5, 0.2)))
        request = Request(self.next_job, sidecar, profile, patience)
        self.next_job += 1
        self.requests[request.job] = request
        parts = [f"QUERY job={request.job} profile={profile} patienceLeft={patience}"]
        if self.scenario.settings.get("tenants"):
            parts.append(f"team={self.random.choice(('inn', 'pub'))}")
        if self.random.random() < 0.7:
            parts.append(f"affinity=key/{int(self.random.paretovariate(1.1)) % 50}")
        parts.append(f"cost={self.random.randrange(2_000, 30_000)}")
        if self.random.random() < 0.15:
            parts.append("isRetry=1")
        self.tell(sidecar, " ".join(parts))
        if self.random.random() < 0.05:
            self.at(self.now + self.random.randrange(1_000, patience), lambda: self._leave(request))
        self.at(self.now + patience, lambda: self._leave(request))

    def _leave(self, request: Request) -> None:
        if not request.settled and not any(attempt.streaming for attempt in request.attempts):
            request.settled = True
            self.tell(request.sidecar, f"CANCELLED_BY_CLIENT job={request.job}")

    def _on_route(self, sidecar: int, fields: dict[str, str]) -> None:
        request = self.requests[int(fields["job"])]
        endpoint = self.by_address[fields["upstream"]]
        attempt = Attempt(request.job, len(request.attempts), endpoint, self.now)
        request.attempts.append(attempt)
        endpoint.held += 1
        code, took = self._fate(endpoint)
        limit = int(fields["cap"])
        if took > limit:
            code, took = "DEADLINE_EXCEEDED", limit
        if code == "OK" and request.profile in self.streamed:
            self.at(self.now + took // 2, lambda: self._flow(request, attempt))
        self.at(self.now + took, lambda: self._end(request, attempt, code))

    def _fate(self, endpoint: Endpoint) -> tuple[str, int]:
        """The outcome of an attempt that starts now, and after how long."""
        if endpoint.condition == 0:
            return "UNAVAILABLE", 2_000
        if endpoint.mode == "draining":
            return "RESOURCE_EXHAUSTED", 1_000
        if endpoint.mode == "refuse":
            return "UNAVAILABLE", 3_000
        if endpoint.mode == "hang":
            return "DEADLINE_EXCEEDED", 1 << 60
        if endpoint.mode == "error" and self.random.random() < 0.8:
            return "INTERNAL", 4_000
        if endpoint.held > 30 * endpoint.size:
            return "RESOURCE_EXHAUSTED", 1_000
        base = self.scenario.service_time * (8 if endpoint.mode == "slow" else 1)
        took = int(base * (0.3 + self.random.expovariate(1.0)) * (1 + 0.3 * endpoint.held / endpoint.size))
        if self.random.random() < self.scenario.fault_rate:
            return self.random.choice(("INTERNAL", "ABORTED", "UNAVAILABLE", "TOO_LATE")), took // 2 + 1
        return "OK", took

    def _flow(self, request: Request, attempt: Attempt) -> None:
        if not attempt.ended and not request.settled and not any(a.streaming for a in request.attempts):
            attempt.streaming = True
            self.tell(
                request.sidecar,
                f"FLOWING job={request.job} hop={attempt.hop} upstream={attempt.endpoint.address}"
                f" duration={self.now - attempt.started_at}",
            )

    def _end(self, request: Request, attempt: Attempt, code: str) -> None:
        if attempt.ended:
            return
        self._release(attempt)
        endpoint = attempt.endpoint
        endpoint.served += code == "OK"
        endpoint.failed += code == "INTERNAL"
        request.settled = request.settled or code == "OK" or attempt.streaming
        report = ""
        if self.scenario.settings["loadReport"]["how"] == "inline" and code in ("OK", "INTERNAL"):
            report = f" feedback={self._report(endpoint)}"
        self.counts[f"ENDED {code}"] += 1
        self.tell(
            request.sidecar,
            f"ENDED job={request.job} duration={self.now - attempt.started_at} hop={attempt.hop} code={code}"
            f" upstream={endpoint.address} doneFlag={int(request.settled)}{report}",
        )

    def _release(self, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.ended = True
            attempt.endpoint.held -= 1

    def _report(self, endpoint: Endpoint) -> str:
        known = {
            "busy_reqs": endpoint.held,
            "pending": max(0, endpoint.held - 4),
            "cpu_share": round(min(1.0, endpoint.held / (4 * endpoint.size)), 3),
            "svc_ms": self.scenario.service_time / 1000,
            "served_ps": endpoint.served % 40,
            "failed_ps": endpoint.failed % 7,
        }
        columns = self.scenario.settings["loadReport"]["columns"]
        return ",".join(f"{name}:{known[name]}" for name in columns) + ",novel:3"

    def _on_abandon(self, sidecar: int, fields: dict[str, str]) -> None:
        request = self.requests[int(fields["job"])]
        attempt = request.attempts[int(fields["hop"])]
        if not attempt.streaming:
            self.at(self.now + 1_000, lambda: self._end(request, attempt, "CANCELLED"))

    def _on_turn_away(self, sidecar: int, fields: dict[str, str]) -> None:
        self.requests[int(fields["job"])].settled = True

    _on_surrender = _on_turn_away

    # Timers, health checks and messages between sidecars.

    def _on_set_alarm(self, sidecar: int, fields: dict[str, str]) -> None:
        self.at(int(fields["when"]), lambda: self.tell(sidecar, f"TICK_DUE mark={fields['mark']}"))

    def _on_health_check(self, sidecar: int, fields: dict[str, str]) -> None:
        endpoint = self.by_address[fields["upstream"]]
        code = {"refuse": "UNAVAILABLE", "hang": "DEADLINE_EXCEEDED", "draining": "RESOURCE_EXHAUSTED"}.get(
            endpoint.mode, "OK"
        )
        took = 50_000 if code == "DEADLINE_EXCEEDED" else 1_400
        report = f" feedback={self._report(endpoint)}" if code == "OK" else ""
        line = f"CHECK_RESULT duration={took} code={code} upstream={endpoint.address}{report}"
        self.at(self.now + took, lambda: self.tell(sidecar, line))

    def _on_notify(self, sidecar: int, fields: dict[str, str]) -> None:
        for other in sorted(self.alive - {sidecar}):
            if self.random.random() < 0.95:
                line = f"HEARD src={sidecar} body={fields['body']}"
                self.at(self.now + 2_000, lambda s=other, t=line: self.tell(s, t))


def categories(scope: str = "all") -> list[dict[str, Any]]:
    return [
        {"name": "look", "effect": "free", "dueTime": 300_000, "expiry": 900_000, "payoff": 1.0},
        {"name": "buy", "effect": "single_shot", "dueTime": 250_000, "expiry": 800_000, "payoff": 8.0},
        {
            "name": "move", "effect": "guarded", "dueTime": 250_000, "expiry": 1_000_000, "payoff": 2.0,
            "dedupScope": scope, "window": 500_000, "overduePayoff": 0.3, "aimStretch": 2.0,
        },
        {"name": "stream", "effect": "free", "dueTime": 400_000, "expiry": 900_000, "streamed": True},
    ]  # fmt: skip


def settings(scope: str = "all", **changed: Any) -> dict[str, Any]:
    given: dict[str, Any] = {
        "categories": categories(scope),
        "caps": {
            "cancel": True, "connectTimeout": 60_000, "keepalive": 3_000_000, "maxRetryAfter": 600_000,
            "mayDuplicate": True, "mostHandOffs": 3, "peers": False, "probing": False, "retryAfter": True,
            "streamsPerConn": 1,
        },
        "charges": {"crossZone": 0.02, "peer": 0.0, "probe": 0.0, "handshake": 0.0, "connection": 0.0},
        "discovery": "ask",
        "loadReport": {"columns": [], "how": "off"},
        "rules": {
            "cold": 2_000_000, "coldShare": 0.25, "drainGrace": 300_000, "fallMultiple": 2.0,
            "mustAskIn": 1_500_000, "overloadFor": 500_000,
        },
        "tenants": [{"name": "inn", "share": 0.6}, {"name": "pub", "share": 0.4}],
        "weightKind": "nominal",
    }  # fmt: skip
    for key, value in changed.items():
        given[key] = given[key] | value if isinstance(given.get(key), dict) else value
    return given


SCENARIOS = [
    Scenario(
        "asked_with_gossip", seed=11, sidecars=4, endpoints=24, duration=15_000_000, requests_per_second=140,
        settings=settings(caps={"peers": True}, charges={"peer": 0.01, "handshake": 0.05}),
    ),
    Scenario(
        "probed_with_zone_deduplication", seed=12, sidecars=3, endpoints=30, duration=15_000_000,
        requests_per_second=110, fault_rate=0.05,
        settings=settings(
            "zone", caps={"probing": True}, charges={"probe": 0.01},
            loadReport={"columns": ["busy_reqs", "svc_ms"], "how": "on_probe"}, weightKind="rough",
        ),
    ),
    Scenario(
        "pushed_with_live_weights", seed=13, sidecars=4, endpoints=60, duration=12_000_000,
        requests_per_second=140,
        settings=settings(
            caps={"streamsPerConn": 16}, charges={"connection": 0.2}, discovery="push", weightKind="live",
        ),
    ),
    Scenario(
        "pushed_with_reports_in_answers", seed=14, sidecars=3, endpoints=20, duration=12_000_000,
        requests_per_second=130,
        settings=settings(
            "cell", discovery="push", specifics={"warmKeys": True},
            caps={"probing": True, "streamsPerConn": 8}, charges={"probe": 0.002},
            loadReport={"columns": ["busy_reqs", "cpu_share", "served_ps", "failed_ps"], "how": "inline"},
        ),
    ),
    Scenario(
        "overloaded_without_hedging", seed=15, sidecars=2, endpoints=4, duration=8_000_000,
        requests_per_second=300, service_time=60_000,
        settings=settings(caps={"mayDuplicate": False, "cancel": False}),
    ),
    Scenario(
        "many_sidecars_few_requests_each", seed=16, sidecars=12, endpoints=40, duration=10_000_000,
        requests_per_second=160,
        settings=settings("zone", caps={"peers": True}, charges={"peer": 0.0001, "crossZone": 0.2}),
    ),
    Scenario(
        "many_sidecars_before_restarting_endpoints", seed=17, sidecars=24, endpoints=16, duration=10_000_000,
        requests_per_second=260, service_time=40_000,
        settings=settings(
            caps={"streamsPerConn": 8}, charges={"connection": 0.2}, discovery="push",
            rules={"cold": 4_000_000, "coldShare": 0.1, "fallMultiple": 1.2, "overloadFor": 300_000},
        ),
    ),
    Scenario(
        "priced_connections_that_idle_out", seed=18, sidecars=10, endpoints=8, duration=10_000_000,
        requests_per_second=120,
        settings=settings(
            caps={"keepalive": 300_000}, charges={"handshake": 0.3},
            rules={"cold": 4_000_000, "coldShare": 0.1, "fallMultiple": 1.2, "overloadFor": 300_000},
        ),
    ),
]  # fmt: skip
