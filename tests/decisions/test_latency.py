"""Learned response times."""

from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import AttemptOutcome


def test_a_slow_endpoint_gets_less(host):
    slow = host.runner.balancer.endpoints.by_id["u0"]
    for _ in range(120):
        attempt = host.of(host.take())[0]
        host.later(0.25 if attempt.endpoint is slow else 0.05)
        host.end(attempt)
    assert sum(attempt.endpoint is slow for attempt in host.sent[-80:]) < 16


def test_a_slow_path_to_one_zone_is_not_held_against_the_other(make_host):
    host = make_host(12)
    for i, name in enumerate(host.names):
        host.listed(WatchEvent.DELTA, name, zone=("here", "there", "yonder")[i % 3])
    u, v = (host.runner.balancer.endpoints.by_id[name] for name in host.names[1:3])
    took = {"here": 0.1, "yonder": 0.12, "there": 0.4}
    for _ in range(60):
        out = [attempt for _ in range(8) for attempt in host.of(host.take())]  # more than are near by
        for zone, before in (("here", 0.0), ("yonder", 0.1), ("there", 0.12)):
            host.later(took[zone] - before)
            for attempt in [
                attempt for attempt in out if attempt.endpoint.entry.zone == zone and attempt.pending
            ]:
                host.end(attempt)
    assert host.runner.balancer.latency.zone_factor(u) > 1.5 * host.runner.balancer.latency.zone_factor(v)


def test_responses_that_take_no_time_cause_no_division_by_zero(make_host):
    host = make_host()
    for _ in range(20):
        for attempt in host.of(host.take()):
            host.end(attempt, report={"held": 0.0, "service": 0.1})
    assert host.runner.balancer.load.concurrency >= 1


def test_an_unfinished_attempt_tells_that_its_endpoint_is_slow(make_host):
    host = make_host(upstreams=1)
    host.serve(8)
    u, before = host.sent[0].endpoint, host.runner.balancer.latency.slowness(host.sent[0].endpoint)
    host.take()
    host.later(0.9)
    host.end(host.sent[-1], AttemptOutcome.CANCELLED)
    assert host.runner.balancer.latency.slowness(u) > 1.5 * before
