"""Rule 4 in a whole fleet: what all sidecars send one endpoint that is warming up, counted where it arrives.

Each sidecar keeps its share of the slow-start budget by itself. An endpoint that is warming up is overloaded
when it gets more than N + 2 * sqrt(N) + 2 requests of mean service time within the overload window of the
settings, N being what the settings allow it then. Time is stepped.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from decision_host import FakeHost, MakeHost

from starlingwheel.decisions.config import RequestClass, RetrySafety
from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import Attempt, AttemptOutcome

RESTART = 50.0  # seconds: when the endpoint is restarted
CONNECT_TIME = 0.25  # seconds within which a connection comes up
LOAD = 1.0  # requests of all clients, relative to what overloads the endpoint when it is warm
SHORT_RAMP = {
    "slow_start_initial_fraction": 0.25,
    "slow_start_duration": 8.0,
    "overload_factor": 2.0,
    "overload_window": 2.0,
}
LONG_RAMP = {
    "slow_start_initial_fraction": 0.13,
    "slow_start_duration": 24.0,
    "overload_factor": 4.0,
    "overload_window": 1.0,
}


class Fleet:
    """Sidecars with one endpoint, and the requests that arrive there from those that have been notified."""

    def __init__(
        self,
        make_host: MakeHost,
        sidecars: int,
        service_time: float,
        rng: random.Random,
        ramp: dict[str, float],
        slow_connects: bool = False,
    ) -> None:
        """`service_time`: seconds; `slow_connects`: connections come up late, all at once."""
        self.make_host, self.service_time, self.rng = make_host, service_time, rng
        # The objective is a multiple of the service time, as in any deployment.
        self.request_class = RequestClass(
            "look",
            RetrySafety.IDEMPOTENT,
            latency_objective=8 * service_time,
            priority_weight=1.0,
            timeout=24 * service_time,
        )
        self.connect_time = min(CONNECT_TIME, 2 * service_time) if slow_connects else 0.0
        self.config: dict[str, Any] = ramp | {
            "request_classes": [self.request_class],
            "sidecars": sidecars,
            "must_watch_endpoints": False,
        }
        self.end = RESTART + ramp["slow_start_duration"]
        self.now = RESTART
        self.scheduled: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.arrivals: list[float] = []
        self.notified: dict[FakeHost, bool] = {}
        self.endpoint_free_at = RESTART
        self.hosts = [self.new_process() for _ in range(sidecars)]

    def new_process(self, experienced: bool = True) -> FakeHost:
        """A process of a sidecar, which has learned the latency or has just begun."""
        host: FakeHost = self.make_host(endpoints=1, seed=self.rng.getrandbits(32), **self.config)
        if experienced:
            host.serve(40, duration=self.service_time, request_class=self.request_class)
        host.attempts.clear()
        host.advance(self.now - host.scheduler.now)
        return host

    def notify(self, host: FakeHost) -> None:
        """Of the restart of the endpoint."""
        self.advance(host)
        host.list_endpoints(WatchEvent.DELTA, "u0", started=RESTART)
        self.notified[host] = True

    def advance(self, host: FakeHost) -> None:
        """Bring a process to the present time; what it cancelled ends."""
        host.advance(self.now - host.scheduler.now)
        for attempt in [attempt for attempt in host.cancelled if attempt.pending]:
            host.end_attempt(attempt, AttemptOutcome.CANCELLED)

    def schedule(self, at: float, event: Callable[..., None], *arguments: object) -> None:
        """Call `event` at a time."""
        heapq.heappush(self.scheduled, (at, next(self.order), event, arguments))

    def submit(self, host: FakeHost) -> None:
        """A client's request at this process; its attempts arrive now or when their connection is up."""
        self.advance(host)
        if host not in self.notified:
            return
        host.submit(self.request_class, time_left=24 * self.service_time)
        while host.attempts:
            attempt = host.attempts.pop()
            # The worst that late connections can do: what was sent over a while arrives in one burst.
            at = (self.now // self.connect_time + 1) * self.connect_time if self.connect_time else self.now
            self.schedule(at, self.arrive, host, attempt)

    def arrive(self, host: FakeHost, attempt: Attempt) -> None:
        """The endpoint serves one at a time, in order of arrival, as slowly as the settings allow."""
        self.arrivals.append(self.now)
        begin = max(self.endpoint_free_at, self.now)
        self.endpoint_free_at = begin + self.service_time / self.slow_start_fraction(self.now)
        self.schedule(self.endpoint_free_at, self.respond, host, attempt)

    def respond(self, host: FakeHost, attempt: Attempt) -> None:
        """The response to an attempt arrives, unless it was cancelled."""
        self.advance(host)
        if attempt.pending:
            host.end_attempt(attempt)

    def run(self) -> None:
        """All that is scheduled, until the endpoint is warm."""
        while self.scheduled and self.scheduled[0][0] < self.end:
            self.now, _, event, arguments = heapq.heappop(self.scheduled)
            event(*arguments)

    def allowed(self, at: float) -> float:
        """N: the requests that the settings allow in a window that ends then."""
        factor, window = self.config["overload_factor"], self.config["overload_window"]
        return factor * self.slow_start_fraction(at) * window / self.service_time

    def slow_start_fraction(self, at: float) -> float:
        """The capacity of the endpoint then, relative to a warm one."""
        initial = self.config["slow_start_initial_fraction"]
        return initial + (1 - initial) * (at - RESTART) / self.config["slow_start_duration"]

    def peak_load(self) -> float:
        """The most requests in a window, relative to what overloads the endpoint."""
        window = self.config["overload_window"]
        recent: deque[float] = deque()
        peak = 0.0
        for at in self.arrivals:
            recent.append(at)
            while recent[0] <= at - window:
                recent.popleft()
            n = self.allowed(at)
            peak = max(peak, len(recent) / (n + 2 * n**0.5 + 2))
        return peak


Traffic = Callable[[Fleet, float], None]
Event = Callable[[Fleet], None]


# The traffic of the clients; `rate`: requests a second of the whole fleet.


def even(fleet: Fleet, rate: float) -> None:
    """The same at each process."""
    for host in fleet.hosts:
        steady(fleet, host, rate / len(fleet.hosts))


def uneven(fleet: Fleet, rate: float) -> None:
    """Half of all at one process, little at most of the others."""
    shares = [0.5**i for i in range(1, len(fleet.hosts) + 1)]
    for host, share in zip(fleet.hosts, shares, strict=True):
        steady(fleet, host, rate * max(share, 0.2 / len(fleet.hosts)))


def steady(fleet: Fleet, host: FakeHost, rate: float) -> None:
    """Requests at one process until the endpoint is warm."""
    at = fleet.now
    while (at := at + fleet.rng.expovariate(rate)) < fleet.end:
        fleet.schedule(at, fleet.submit, host)


def bursts(fleet: Fleet, rate: float) -> None:
    """A quiet time, then clients of all processes send at once and some go on, several times."""
    length = fleet.end - RESTART
    for part in (0.05, 0.2, 0.35, 0.5, 0.65, 0.85):
        for host in fleet.hosts:
            at = RESTART + part * length
            for _ in range(max(3, int(rate / len(fleet.hosts)))):
                fleet.schedule(at + fleet.rng.random() / 100, fleet.submit, host)
                at += fleet.rng.random() * length / 100


# When the processes are notified of the restart.


def at_once(fleet: Fleet) -> None:
    """All at the same time."""
    for host in fleet.hosts:
        fleet.notify(host)


def one_by_one(fleet: Fleet) -> None:
    """Each at a time of its own, up to 4 s late; until then it does not count and sends nothing here."""
    for host in fleet.hosts:
        fleet.schedule(RESTART + 4 * fleet.rng.random(), fleet.notify, host)


# What happens to the processes.


def unchanged(fleet: Fleet) -> None:
    """Nothing."""


def third_down(fleet: Fleet) -> None:
    """A third are gone; their share is unused."""
    fleet.hosts = fleet.hosts[: -(len(fleet.hosts) // 3) or None]


def restarted(fleet: Fleet) -> None:
    """One after another, within 2 s: the new process does not know what the one before has sent."""

    def restart(host: FakeHost) -> None:
        fleet.notified.pop(host, None)
        other = fleet.new_process(experienced=False)
        fleet.notify(other)
        steady(fleet, other, 20 / fleet.service_time / len(fleet.hosts))

    for i, host in enumerate(fleet.hosts):
        fleet.schedule(RESTART + 3 + 2 * i / len(fleet.hosts), restart, host)


def doubled(fleet: Fleet) -> None:
    """All are replaced at the same time: for a while two processes of each sidecar have clients."""

    def replace(host: FakeHost) -> None:
        fleet.advance(host)
        two = msgspec.structs.replace(host.scheduler.balancer.config, process_count=2)
        other = fleet.new_process()
        for process in (host, other):
            process.scheduler.reload(two)
        fleet.notify(other)
        steady(fleet, other, 20 / fleet.service_time / len(fleet.hosts))

    for host in fleet.hosts:
        fleet.schedule(RESTART + 3 + fleet.rng.random() / 10, replace, host)


def peak_load(
    make_host: MakeHost,
    sidecars: int,
    service_time: float,
    traffic: Traffic,
    notification: Event = at_once,
    processes: Event = unchanged,
    seeds: int = 1,
    **more: Any,  # noqa: ANN401
) -> float:
    """The highest peak load of some runs; `more`: arguments of `Fleet`."""
    peak = 0.0
    for seed in range(seeds):
        rng = random.Random(f"{seed} {sidecars} {service_time}")
        fleet = Fleet(make_host, sidecars, service_time, rng, **more)
        notification(fleet)
        processes(fleet)
        traffic(fleet, LOAD * fleet.allowed(fleet.end) / fleet.config["overload_window"])
        fleet.run()
        peak = max(peak, fleet.peak_load())
    return peak


@pytest.mark.parametrize(
    "notification, slow_connects", [(at_once, False), (at_once, True), (one_by_one, False)]
)
@pytest.mark.parametrize("traffic", [even, uneven, bursts])
@pytest.mark.parametrize(
    "ramp, service_time", [(SHORT_RAMP, 0.15), (SHORT_RAMP, 0.02), (LONG_RAMP, 0.3), (LONG_RAMP, 0.1)]
)
@pytest.mark.parametrize("sidecars", [1, 5, 20, 30])
def test_an_endpoint_that_is_warming_up_is_not_overloaded_by_the_fleet(
    make_host: MakeHost,
    sidecars: int,
    ramp: dict[str, float],
    service_time: float,
    traffic: Traffic,
    notification: Event,
    slow_connects: bool,
) -> None:
    """Whatever the traffic, and whenever each sidecar is notified."""
    peak = peak_load(
        make_host, sidecars, service_time, traffic, notification, ramp=ramp, slow_connects=slow_connects
    )
    assert 0 < peak <= 1


@pytest.mark.parametrize("processes", [third_down, restarted, doubled])
@pytest.mark.parametrize("traffic", [even, bursts])
@pytest.mark.parametrize("ramp, service_time", [(SHORT_RAMP, 0.02), (LONG_RAMP, 0.15)])
@pytest.mark.parametrize("sidecars", [1, 5, 20, 30])
def test_it_is_not_overloaded_while_processes_come_and_go(
    make_host: MakeHost,
    sidecars: int,
    ramp: dict[str, float],
    service_time: float,
    traffic: Traffic,
    processes: Event,
) -> None:
    """Down, restarted or replaced."""
    assert 0 < peak_load(make_host, sidecars, service_time, traffic, processes=processes, ramp=ramp) <= 1


def test_hundreds_of_sidecars_that_send_at_once_after_a_quiet_time_do_not_overload_it(
    make_host: MakeHost,
) -> None:
    """None of them knows what the others send."""
    assert 0 < peak_load(make_host, 200, 0.15, bursts, ramp=LONG_RAMP, seeds=1) <= 1


def test_requests_that_wait_for_a_load_poll_do_not_all_go_to_the_endpoint_that_answered(
    make_host: MakeHost,
) -> None:
    """It is polled for all while the budget allows some; the budget is checked again after the poll."""
    ramp = SHORT_RAMP | {
        "slow_start_initial_fraction": 0.1,
        "slow_start_duration": 80.0,
        "overload_factor": 1.0,
    }
    host = make_host(endpoints=1, health_checks_allowed=True, health_check_price=0.001, **ramp)
    host.advance(RESTART)
    host.list_endpoints(WatchEvent.DELTA, "u0", started=RESTART)
    host.advance(3.0)
    waiting = [host.submit() for _ in range(12)]
    assert len(host.health_checks) == len(waiting) and not host.attempts
    for polled in host.health_checks:
        host.scheduler.health_check_ended(polled.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    allowed = 1.0 * (0.1 + 0.9 * 3.0 / 80.0) * 2.0 / 0.125
    assert 0 < len(host.attempts) <= allowed
