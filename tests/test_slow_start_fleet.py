"""A whole fleet does not overload an endpoint that is warming up (rule 4); requests are counted on arrival.

Each sidecar keeps to its share of the slow-start budget on its own. An endpoint that is warming up is
overloaded if it receives more than N + 2 * sqrt(N) + 2 requests of mean service time within the overload
window of the settings, where N is the number that the settings allow at that time. Time is simulated.
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

RESTART = 50.0  # seconds; the time at which the endpoint is restarted
CONNECT_TIME = 0.25  # seconds within which a connection is established
LOAD = 1.0  # request rate of all clients, relative to the rate that overloads a warm endpoint
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
    """Sidecars with one endpoint, which get requests for it once they are notified of its restart."""

    def __init__(
        self,
        make_host: MakeHost,
        sidecars: int,
        service_time: float,
        rng: random.Random,
        ramp: dict[str, float],
        slow_connects: bool = False,
    ) -> None:
        """Create the processes; `service_time` is in seconds.

        With `slow_connects`, connections are established late and all at the same time.
        """
        self.make_host, self.service_time, self.rng = make_host, service_time, rng
        # The latency objective is a multiple of the service time, as in any deployment.
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
        """Return a process of a sidecar, which has learned the latency if it is `experienced`."""
        host: FakeHost = self.make_host(endpoints=1, seed=self.rng.getrandbits(32), **self.config)
        if experienced:
            host.serve(40, duration=self.service_time, request_class=self.request_class)
        host.attempts.clear()
        host.advance(self.now - host.scheduler.now)
        return host

    def notify(self, host: FakeHost) -> None:
        """Notify a process of the restart of the endpoint."""
        self.advance(host)
        host.list_endpoints(WatchEvent.DELTA, "u0", started=RESTART)
        self.notified[host] = True

    def advance(self, host: FakeHost) -> None:
        """Advance the clock of a process to the current time, and end the attempts that it has cancelled."""
        host.advance(self.now - host.scheduler.now)
        for attempt in [attempt for attempt in host.cancelled if attempt.pending]:
            host.end_attempt(attempt, AttemptOutcome.CANCELLED)

    def schedule(self, at: float, event: Callable[..., None], *arguments: object) -> None:
        """Call `event` at the time `at`."""
        heapq.heappush(self.scheduled, (at, next(self.order), event, arguments))

    def submit(self, host: FakeHost) -> None:
        """Submit a client's request; its attempts arrive now, or when their connection is established."""
        self.advance(host)
        if host not in self.notified:
            return
        host.submit(self.request_class, time_left=24 * self.service_time)
        while host.attempts:
            attempt = host.attempts.pop()
            # The worst case of slow connects: requests sent over some time arrive in one burst.
            at = (self.now // self.connect_time + 1) * self.connect_time if self.connect_time else self.now
            self.schedule(at, self.arrive, host, attempt)

    def arrive(self, host: FakeHost, attempt: Attempt) -> None:
        """Serve an attempt at the endpoint, in order of arrival and as slowly as the settings allow."""
        self.arrivals.append(self.now)
        begin = max(self.endpoint_free_at, self.now)
        self.endpoint_free_at = begin + self.service_time / self.slow_start_fraction(self.now)
        self.schedule(self.endpoint_free_at, self.respond, host, attempt)

    def respond(self, host: FakeHost, attempt: Attempt) -> None:
        """Deliver the response to an attempt, unless that was cancelled."""
        self.advance(host)
        if attempt.pending:
            host.end_attempt(attempt)

    def run(self) -> None:
        """Run the scheduled events until the endpoint is warm."""
        while self.scheduled and self.scheduled[0][0] < self.end:
            self.now, _, event, arguments = heapq.heappop(self.scheduled)
            event(*arguments)

    def allowed(self, at: float) -> float:
        """Return N, the number of requests that the settings allow in a window that ends at `at`."""
        factor, window = self.config["overload_factor"], self.config["overload_window"]
        return factor * self.slow_start_fraction(at) * window / self.service_time

    def slow_start_fraction(self, at: float) -> float:
        """Return the capacity of the endpoint at `at`, relative to a warm one."""
        initial = self.config["slow_start_initial_fraction"]
        return initial + (1 - initial) * (at - RESTART) / self.config["slow_start_duration"]

    def peak_load(self) -> float:
        """Return the most requests in any window, relative to the number that overloads the endpoint."""
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


# The traffic of the clients; `rate` is in requests per second of the whole fleet.


def even(fleet: Fleet, rate: float) -> None:
    """Send the same rate to each process."""
    for host in fleet.hosts:
        steady(fleet, host, rate / len(fleet.hosts))


def uneven(fleet: Fleet, rate: float) -> None:
    """Send half of the requests to one process, and few to most of the others."""
    shares = [0.5**i for i in range(1, len(fleet.hosts) + 1)]
    for host, share in zip(fleet.hosts, shares, strict=True):
        steady(fleet, host, rate * max(share, 0.2 / len(fleet.hosts)))


def steady(fleet: Fleet, host: FakeHost, rate: float) -> None:
    """Send requests to one process until the endpoint is warm."""
    at = fleet.now
    while (at := at + fleet.rng.expovariate(rate)) < fleet.end:
        fleet.schedule(at, fleet.submit, host)


def bursts(fleet: Fleet, rate: float) -> None:
    """Send bursts to all processes after quiet times, each of which tapers off."""
    length = fleet.end - RESTART
    for part in (0.05, 0.2, 0.35, 0.5, 0.65, 0.85):
        for host in fleet.hosts:
            at = RESTART + part * length
            for _ in range(max(3, int(rate / len(fleet.hosts)))):
                fleet.schedule(at + fleet.rng.random() / 100, fleet.submit, host)
                at += fleet.rng.random() * length / 100


# The times at which the processes are notified of the restart.


def at_once(fleet: Fleet) -> None:
    """Notify all processes at the same time."""
    for host in fleet.hosts:
        fleet.notify(host)


def one_by_one(fleet: Fleet) -> None:
    """Notify each process at a different time, up to 4 s late; until then it sends the endpoint nothing."""
    for host in fleet.hosts:
        fleet.schedule(RESTART + 4 * fleet.rng.random(), fleet.notify, host)


# Changes of the processes.


def unchanged(fleet: Fleet) -> None:
    """Change nothing."""


def third_down(fleet: Fleet) -> None:
    """Remove a third of the processes, whose share is then unused."""
    fleet.hosts = fleet.hosts[: -(len(fleet.hosts) // 3) or None]


def restarted(fleet: Fleet) -> None:
    """Restart the processes one after another within 2 s.

    A new process does not know what the one before it has sent.
    """

    def restart(host: FakeHost) -> None:
        fleet.notified.pop(host, None)
        replacement = fleet.new_process(experienced=False)
        fleet.notify(replacement)
        steady(fleet, replacement, 20 / fleet.service_time / len(fleet.hosts))

    for i, host in enumerate(fleet.hosts):
        fleet.schedule(RESTART + 3 + 2 * i / len(fleet.hosts), restart, host)


def doubled(fleet: Fleet) -> None:
    """Replace all processes at the same time, so that for a while two of each sidecar have clients."""

    def replace(host: FakeHost) -> None:
        fleet.advance(host)
        shared_config = msgspec.structs.replace(host.scheduler.balancer.config, process_count=2)
        second = fleet.new_process()
        for process in (host, second):
            process.scheduler.reload(shared_config)
        fleet.notify(second)
        steady(fleet, second, 20 / fleet.service_time / len(fleet.hosts))

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
    **options: Any,  # noqa: ANN401
) -> float:
    """Return the highest peak load of some runs; `options` are arguments of `Fleet`."""
    peak = 0.0
    for seed in range(seeds):
        rng = random.Random(f"{seed} {sidecars} {service_time}")
        fleet = Fleet(make_host, sidecars, service_time, rng, **options)
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
    """Holds for each kind of traffic, and whenever the sidecars are notified."""
    peak = peak_load(
        make_host, sidecars, service_time, traffic, notification, ramp=ramp, slow_connects=slow_connects
    )
    assert 0 < peak <= 1


@pytest.mark.parametrize("processes", [third_down, restarted, doubled])
@pytest.mark.parametrize("traffic", [even, bursts])
@pytest.mark.parametrize("ramp, service_time", [(SHORT_RAMP, 0.02), (LONG_RAMP, 0.15)])
@pytest.mark.parametrize("sidecars", [1, 5, 20, 30])
def test_an_endpoint_that_is_warming_up_is_not_overloaded_while_processes_change(
    make_host: MakeHost,
    sidecars: int,
    ramp: dict[str, float],
    service_time: float,
    traffic: Traffic,
    processes: Event,
) -> None:
    """A third of the processes are down, or all are restarted or replaced."""
    assert 0 < peak_load(make_host, sidecars, service_time, traffic, processes=processes, ramp=ramp) <= 1


def test_hundreds_of_sidecars_that_send_at_once_do_not_overload_an_endpoint_that_is_warming_up(
    make_host: MakeHost,
) -> None:
    """The sidecars send after a quiet time, and none of them knows what the others send."""
    assert 0 < peak_load(make_host, 200, 0.15, bursts, ramp=LONG_RAMP, seeds=1) <= 1


def test_requests_that_wait_for_a_load_poll_do_not_all_go_to_the_endpoint_that_answered(
    make_host: MakeHost,
) -> None:
    """The endpoint is polled for each request; the budget, which allows only some, is checked again then."""
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
