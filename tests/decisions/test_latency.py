"""Tests of learned response times."""

from decision_host import FakeHost, MakeHost

from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import AttemptOutcome


def test_a_slow_endpoint_gets_fewer_requests(host: FakeHost) -> None:
    """Without learned response times the endpoint would get a quarter of the requests."""
    slow = host.scheduler.balancer.endpoints.by_id["u0"]
    for _ in range(120):
        attempt = host.attempts_of(host.submit())[0]
        host.advance(0.25 if attempt.endpoint is slow else 0.05)
        host.end_attempt(attempt)
    assert sum(attempt.endpoint is slow for attempt in host.attempts[-80:]) < 16


def test_a_slow_path_to_one_zone_does_not_affect_another_zone(make_host: MakeHost) -> None:
    """Response times of remote zones are learned separately."""
    host = make_host(12)
    for i, name in enumerate(host.endpoint_ids):
        host.list_endpoints(WatchEvent.DELTA, name, zone=("here", "there", "yonder")[i % 3])
    slow, fast = (host.scheduler.balancer.endpoints.by_id[name] for name in host.endpoint_ids[1:3])
    durations = {"here": 0.1, "yonder": 0.12, "there": 0.4}
    for _ in range(60):
        # More requests than the local endpoints can serve.
        started = [attempt for _ in range(8) for attempt in host.attempts_of(host.submit())]
        for zone, before in (("here", 0.0), ("yonder", 0.1), ("there", 0.12)):
            host.advance(durations[zone] - before)
            for attempt in [
                attempt for attempt in started if attempt.endpoint.entry.zone == zone and attempt.pending
            ]:
                host.end_attempt(attempt)
    assert host.scheduler.balancer.latency.zone_factor(
        slow
    ) > 1.5 * host.scheduler.balancer.latency.zone_factor(fast)


def test_responses_that_take_no_time_cause_no_division_by_zero(make_host: MakeHost) -> None:
    """Times of zero occur where the clock does not advance between two events."""
    host = make_host()
    for _ in range(20):
        for attempt in host.attempts_of(host.submit()):
            host.end_attempt(attempt, load_report={"held": 0.0, "service": 0.1})
    assert host.scheduler.balancer.load.concurrency >= 1


def test_an_unfinished_attempt_shows_that_its_endpoint_is_slow(make_host: MakeHost) -> None:
    """Learning from finished attempts alone would never see the slow ones."""
    host = make_host(endpoints=1)
    host.serve(8)
    endpoint, before = (
        host.attempts[0].endpoint,
        host.scheduler.balancer.latency.slowness(host.attempts[0].endpoint),
    )
    host.submit()
    host.advance(0.9)
    host.end_attempt(host.attempts[-1], AttemptOutcome.CANCELLED)
    assert host.scheduler.balancer.latency.slowness(endpoint) > 1.5 * before
