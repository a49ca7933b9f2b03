"""A seeded simulation of clients, endpoints, discovery and peers that drives the simulator adapter.

The adapter is started by the command in deploy/balancer.toml and used through its standard streams, so
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
BATCH_INTERVAL = 1_000  # the events of one millisecond form one batch
START = 5_000_000
ZONES = ("north", "south")
FAULTS = (
    "drain", "restart", "slow", "hang", "refuse", "error", "recover", "recover", "resend", "break", "kill",
)  # fmt: skip


@dataclass(frozen=True)
class Scenario:
    """The settings of the sidecars, and the size, load and faults of a simulation."""

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
    """A simulated endpoint: its entry in the endpoint list, its mode and its load."""

    address: str
    zone: str
    cell: int
    capacity: float
    started_at: int = 0
    condition: int = 2
    mode: str = "healthy"
    active_attempts: int = 0
    served: int = 0
    failed: int = 0


@dataclass
class Attempt:
    """An attempt that the adapter started with ROUTE, and its state."""

    request_number: int
    index: int
    endpoint: Endpoint
    started_at: int
    ended: bool = False
    streaming: bool = False


@dataclass
class Request:
    """A request sent as QUERY; `finished` once it is answered or its client has disconnected."""

    number: int
    sidecar: int
    request_class: str
    timeout: int
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False


class Simulation:
    """Runs a scenario; `digest` covers every reply, byte for byte."""

    def __init__(self, scenario: Scenario) -> None:
        """Create a simulation that has not started."""
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
        self.next_number = 1
        self.watching: set[int] = set()
        self.alive = set(range(scenario.sidecars))
        self.version = 1
        self.sequence = 0
        self.streamed = {c["name"] for c in scenario.settings["categories"] if c.get("streamed")}
        self.class_names = [c["name"] for c in scenario.settings["categories"]]
        self.expiry = {c["name"]: c["expiry"] for c in scenario.settings["categories"]}

    def _endpoint(self, number: int) -> Endpoint:
        capacity = (1.0, 1.5, 0.5, 2.0)[number % 4]
        return Endpoint(
            f"10.0.{number // 200}.{number % 200 + 1}:80", ZONES[number % 2], number % 5, capacity
        )

    # The event queue.

    def schedule(self, when: int, action: Callable[[], None]) -> None:
        """Schedule an action, for the next batch at the earliest."""
        self.sequence += 1
        heapq.heappush(self.pending, (max(when, self.now + BATCH_INTERVAL), self.sequence, action))

    def run(self) -> None:
        """Run the scenario against a new process of the adapter."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
        command = command.replace(".venv/bin/python", sys.executable)
        with subprocess.Popen(
            ["sh", "-c", command], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        ) as process:
            self.process = process
            self._schedule_events()
            while self.pending and self.pending[0][0] <= START + self.scenario.duration:
                self._step()
            process.stdin.close()
            remaining_output = process.stdout.read()
        assert process.returncode == 0 and remaining_output == "", (
            process.returncode,
            remaining_output[-2000:],
        )

    def _schedule_events(self) -> None:
        for sidecar in range(self.scenario.sidecars):
            self._configure(sidecar)
        self._send_batch()
        end = START + self.scenario.duration
        interval = 1_000_000 // self.scenario.requests_per_second
        arrival = START
        while arrival < end:
            arrival += int(self.random.expovariate(1.0) * interval) + 1
            self.schedule(arrival, self._send_request)
        for when in range(START + 300_000, end, 200_000):
            self.schedule(when, self._inject_fault)

    def _step(self) -> None:
        self.now = -(-self.pending[0][0] // BATCH_INTERVAL) * BATCH_INTERVAL
        while self.pending and self.pending[0][0] <= self.now:
            heapq.heappop(self.pending)[2]()
        if self.events:
            self._send_batch()

    def _send_batch(self) -> None:
        """Send the collected events as one batch and handle the commands in the reply."""
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
            assert line, "the adapter has exited"
            self.digest.update(line.encode())
            name, _, arguments = line.rstrip("\n").partition(" ")
            fields = dict(part.split("=", 1) for part in arguments.split(" ") if part)
            if name == "END":
                return
            if name == "ON_BEHALF":
                sidecar = int(fields["sidecar"].removeprefix("sidecar/"))
                continue
            self.counts[name] += 1
            getattr(self, f"_on_{name.lower()}")(sidecar, fields)

    def add_event(self, sidecar: int, line: str) -> None:
        """Add a line to the next batch, unless the sidecar is down."""
        if sidecar in self.alive:
            self.events.setdefault(sidecar, []).append(line)

    # Discovery.

    def _entry(self, endpoint: Endpoint) -> str:
        nominal = endpoint.capacity
        if self.scenario.settings.get("weightKind") == "live":
            nominal = endpoint.capacity / (1 + endpoint.active_attempts)
        since = f" upSince={endpoint.started_at}" if endpoint.started_at else ""
        return (
            f"UPSTREAM model=std1 nominal={nominal:.4g} area={endpoint.zone} upstream={endpoint.address}"
            f"{since} bay={endpoint.cell} condition={endpoint.condition}"
        )

    def _announce(self, sidecar: int, endpoints: list[Endpoint], scope: int) -> None:
        entries = [self._entry(endpoint) for endpoint in endpoints]
        self.add_event(sidecar, "\n".join([f"SHEET bank={sidecar} entries={len(entries)}", *entries]))
        self.add_event(sidecar, f"ANNOUNCE bank={sidecar} scope={scope} version={self.version}")

    def _publish(self, endpoints: list[Endpoint]) -> None:
        self.version += 1
        is_pushed = self.scenario.settings["discovery"] == "push"
        for sidecar in sorted(self.alive if is_pushed else self.watching & self.alive):
            delay = self.random.randrange(5_000, 60_000)
            self.schedule(self.now + delay, lambda s=sidecar: self._announce(s, endpoints, 0))

    def _on_observe(self, sidecar: int, fields: dict[str, str]) -> None:
        if self.random.random() < 0.25:
            self.schedule(
                self.now + 30_000, lambda: self.add_event(sidecar, f"ANNOUNCE scope=3 version={self.version}")
            )
            return
        self.watching.add(sidecar)
        self.schedule(self.now + 15_000, lambda: self._announce(sidecar, self._listed(), 2))

    def _listed(self) -> list[Endpoint]:
        return [endpoint for endpoint in self.endpoints if endpoint.condition]

    def _configure(self, sidecar: int) -> None:
        own = {"slotNo": sidecar, "locality": ZONES[sidecar % 2], "replicasOfMe": self.scenario.sidecars}
        facts = json.dumps(self.scenario.settings | own)
        self.add_event(sidecar, f"CONFIGURE entropy={self.scenario.seed * 100 + sidecar} facts={facts}")
        self._announce(sidecar, self._listed(), 1)

    # Faults and changes of the endpoint list.

    def _inject_fault(self) -> None:
        kind = self.random.choice(FAULTS)
        endpoint = self.random.choice(self.endpoints)
        if kind == "drain" and len(self._listed()) > len(self.endpoints) // 2:
            endpoint.condition = 1
            endpoint.mode = "draining"
            self._publish([endpoint])
            self.schedule(self.now + 800_000, lambda: self._remove_endpoint(endpoint))
        elif kind == "restart":
            endpoint.started_at, endpoint.condition, endpoint.mode = self.now, 2, "healthy"
            self._publish([endpoint])
        elif kind in ("slow", "hang", "refuse", "error"):
            if endpoint.mode == "healthy":
                endpoint.mode = kind
        elif kind == "recover":
            self._recover_endpoint()
        elif kind == "resend":
            self._publish(self.random.sample(self.endpoints, 3))
        elif kind == "break" and self.watching:
            sidecar = self.random.choice(sorted(self.watching))
            self.watching.discard(sidecar)
            self.add_event(sidecar, f"ANNOUNCE scope=3 version={self.version}")
        elif kind == "kill" and self.random.random() < 0.3:
            self._restart_sidecar(self.random.randrange(self.scenario.sidecars))

    def _recover_endpoint(self) -> None:
        for endpoint in self.endpoints:
            if endpoint.mode in ("slow", "hang", "refuse", "error"):
                endpoint.mode = "healthy"
                break

    def _remove_endpoint(self, endpoint: Endpoint) -> None:
        if endpoint.condition == 1:
            endpoint.condition = 0
            self._publish([endpoint])

    def _restart_sidecar(self, sidecar: int) -> None:
        for request in self.requests.values():
            if request.sidecar == sidecar:
                request.finished = True
                for attempt in request.attempts:
                    self._finish_attempt(attempt)
        self.watching.discard(sidecar)
        self.add_event(sidecar, "DETACH")
        self._configure(sidecar)

    # Requests.

    def _send_request(self) -> None:
        sidecar = self.random.randrange(self.scenario.sidecars)
        request_class = self.random.choice(self.class_names)
        timeout = int(self.expiry[request_class] * self.random.choice((1.0, 1.0, 0.5, 0.2)))
        request = Request(self.next_number, sidecar, request_class, timeout)
        self.next_number += 1
        self.requests[request.number] = request
        parts = [f"QUERY job={request.number} profile={request_class} patienceLeft={timeout}"]
        if self.scenario.settings.get("tenants"):
            parts.append(f"team={self.random.choice(('inn', 'pub'))}")
        if self.random.random() < 0.7:
            parts.append(f"affinity=key/{int(self.random.paretovariate(1.1)) % 50}")
        parts.append(f"cost={self.random.randrange(2_000, 30_000)}")
        if self.random.random() < 0.15:
            parts.append("isRetry=1")
        self.add_event(sidecar, " ".join(parts))
        if self.random.random() < 0.05:
            self.schedule(
                self.now + self.random.randrange(1_000, timeout), lambda: self._disconnect_client(request)
            )
        self.schedule(self.now + timeout, lambda: self._disconnect_client(request))

    def _disconnect_client(self, request: Request) -> None:
        if not request.finished and not any(attempt.streaming for attempt in request.attempts):
            request.finished = True
            self.add_event(request.sidecar, f"CANCELLED_BY_CLIENT job={request.number}")

    def _on_route(self, sidecar: int, fields: dict[str, str]) -> None:
        request = self.requests[int(fields["job"])]
        endpoint = self.by_address[fields["upstream"]]
        attempt = Attempt(request.number, len(request.attempts), endpoint, self.now)
        request.attempts.append(attempt)
        endpoint.active_attempts += 1
        code, duration = self._draw_outcome(endpoint)
        timeout = int(fields["cap"])
        if duration > timeout:
            code, duration = "DEADLINE_EXCEEDED", timeout
        if code == "OK" and request.request_class in self.streamed:
            self.schedule(self.now + duration // 2, lambda: self._start_response(request, attempt))
        self.schedule(self.now + duration, lambda: self._end_attempt(request, attempt, code))

    def _draw_outcome(self, endpoint: Endpoint) -> tuple[str, int]:
        """Draw the outcome and the duration of an attempt that starts now."""
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
        if endpoint.active_attempts > 30 * endpoint.capacity:
            return "RESOURCE_EXHAUSTED", 1_000
        base_duration = self.scenario.service_time * (8 if endpoint.mode == "slow" else 1)
        duration = int(
            base_duration
            * (0.3 + self.random.expovariate(1.0))
            * (1 + 0.3 * endpoint.active_attempts / endpoint.capacity)
        )
        if self.random.random() < self.scenario.fault_rate:
            return self.random.choice(("INTERNAL", "ABORTED", "UNAVAILABLE", "TOO_LATE")), duration // 2 + 1
        return "OK", duration

    def _start_response(self, request: Request, attempt: Attempt) -> None:
        if not attempt.ended and not request.finished and not any(a.streaming for a in request.attempts):
            attempt.streaming = True
            self.add_event(
                request.sidecar,
                f"FLOWING job={request.number} hop={attempt.index} upstream={attempt.endpoint.address}"
                f" duration={self.now - attempt.started_at}",
            )

    def _end_attempt(self, request: Request, attempt: Attempt, code: str) -> None:
        if attempt.ended:
            return
        self._finish_attempt(attempt)
        endpoint = attempt.endpoint
        endpoint.served += code == "OK"
        endpoint.failed += code == "INTERNAL"
        request.finished = request.finished or code == "OK" or attempt.streaming
        report = ""
        if self.scenario.settings["loadReport"]["how"] == "inline" and code in ("OK", "INTERNAL"):
            report = f" feedback={self._load_report(endpoint)}"
        self.counts[f"ENDED {code}"] += 1
        self.add_event(
            request.sidecar,
            f"ENDED job={request.number} duration={self.now - attempt.started_at} hop={attempt.index}"
            f" code={code} upstream={endpoint.address} doneFlag={int(request.finished)}{report}",
        )

    def _finish_attempt(self, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.ended = True
            attempt.endpoint.active_attempts -= 1

    def _load_report(self, endpoint: Endpoint) -> str:
        figures = {
            "busy_reqs": endpoint.active_attempts,
            "pending": max(0, endpoint.active_attempts - 4),
            "cpu_share": round(min(1.0, endpoint.active_attempts / (4 * endpoint.capacity)), 3),
            "svc_ms": self.scenario.service_time / 1000,
            "served_ps": endpoint.served % 40,
            "failed_ps": endpoint.failed % 7,
        }
        columns = self.scenario.settings["loadReport"]["columns"]
        return ",".join(f"{name}:{figures[name]}" for name in columns) + ",novel:3"

    def _on_abandon(self, sidecar: int, fields: dict[str, str]) -> None:
        request = self.requests[int(fields["job"])]
        attempt = request.attempts[int(fields["hop"])]
        if not attempt.streaming:
            self.schedule(self.now + 1_000, lambda: self._end_attempt(request, attempt, "CANCELLED"))

    def _on_turn_away(self, sidecar: int, fields: dict[str, str]) -> None:
        self.requests[int(fields["job"])].finished = True

    _on_surrender = _on_turn_away

    # Alarms, health checks and gossip.

    def _on_set_alarm(self, sidecar: int, fields: dict[str, str]) -> None:
        self.schedule(int(fields["when"]), lambda: self.add_event(sidecar, f"TICK_DUE mark={fields['mark']}"))

    def _on_health_check(self, sidecar: int, fields: dict[str, str]) -> None:
        endpoint = self.by_address[fields["upstream"]]
        code = {"refuse": "UNAVAILABLE", "hang": "DEADLINE_EXCEEDED", "draining": "RESOURCE_EXHAUSTED"}.get(
            endpoint.mode, "OK"
        )
        duration = 50_000 if code == "DEADLINE_EXCEEDED" else 1_400
        report = f" feedback={self._load_report(endpoint)}" if code == "OK" else ""
        line = f"CHECK_RESULT duration={duration} code={code} upstream={endpoint.address}{report}"
        self.schedule(self.now + duration, lambda: self.add_event(sidecar, line))

    def _on_notify(self, sidecar: int, fields: dict[str, str]) -> None:
        for other in sorted(self.alive - {sidecar}):
            if self.random.random() < 0.95:
                line = f"HEARD src={sidecar} body={fields['body']}"
                self.schedule(self.now + 2_000, lambda s=other, t=line: self.add_event(s, t))


def request_classes(scope: str = "all") -> list[dict[str, Any]]:
    """Return the settings of the request classes. `scope`: of deduplication by idempotency key."""
    return [
        {"name": "look", "effect": "free", "dueTime": 300_000, "expiry": 900_000, "payoff": 1.0},
        {"name": "buy", "effect": "single_shot", "dueTime": 250_000, "expiry": 800_000, "payoff": 8.0},
        {
            "name": "move", "effect": "guarded", "dueTime": 250_000, "expiry": 1_000_000, "payoff": 2.0,
            "dedupScope": scope, "window": 500_000, "overduePayoff": 0.3, "aimStretch": 2.0,
        },
        {"name": "stream", "effect": "free", "dueTime": 400_000, "expiry": 900_000, "streamed": True},
    ]  # fmt: skip


def settings(scope: str = "all", **changed: Any) -> dict[str, Any]:  # noqa: ANN401  # any JSON value
    """Return the settings of a scenario; dicts in `changed` are merged into the defaults."""
    merged: dict[str, Any] = {
        "categories": request_classes(scope),
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
        merged[key] = merged[key] | value if isinstance(merged.get(key), dict) else value
    return merged


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
