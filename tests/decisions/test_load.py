"""Load and concurrency of endpoints."""

from math import inf

import pytest
from decision_host import BUY, POLLING_SETTINGS_OF_A_LARGE_FLEET

from starlingwheel.decisions.model import AttemptOutcome, Request


def crowd(host, alike, service=0.1, answers=200):
    """Answers of upstreams that hold now more, now less, and do `alike` of them at a time."""
    for i in range(answers):
        held = float(i % 8)
        for u in host.runner.balancer.endpoints.by_id.values():
            host.runner.health_check_ended(
                u.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": held, "service": service}
            )
        for attempt in host.of(host.take()):
            host.later(service * (1 + max(0.0, held - alike + 0.5) / alike))
            host.end(attempt)


def test_a_request_whose_body_still_arrives_is_no_load(make_host):
    """Uploads of seconds made upstreams look full, and all else was deferred."""
    host = make_host(upstreams=2)
    balancer = host.runner.balancer
    coming = [Request(BUY, inf, 2.0) for _ in range(12)]
    for request in coming:
        host.runner.accept_request(request)
    assert [len(host.of(request)) for request in coming] == [1] * 12 and balancer.load.in_flight == 0
    host.later(10.0)  # no time limit counts yet
    assert not host.ended and not host.cancelled
    host.serve(4)
    request, attempt = coming[0], host.of(coming[0])[0]
    request.arrived_at = attempt.started_at = host.runner.now
    host.runner.request_body_complete(request, [attempt])
    assert balancer.load.in_flight == 1 and list(attempt.endpoint.in_flight) == [attempt]
    host.end(attempt)
    assert balancer.load.in_flight == 0 and not attempt.endpoint.in_flight
    # One that is given up before it was whole takes nothing away that it did not add.
    host.end(host.of(coming[1])[0], AttemptOutcome.NOT_SENT)
    assert balancer.load.in_flight == sum(len(u.in_flight) for u in balancer.endpoints.by_id.values())
    # Another's time begins with its last byte.
    request, attempt = coming[2], host.of(coming[2])[0]
    request.arrived_at = attempt.started_at = host.runner.now
    host.runner.request_body_complete(request, [attempt])
    host.later(0.5)
    assert not host.cancelled
    host.later(0.5)
    assert host.cancelled == [attempt]


def test_the_concurrency_is_learned_from_responses_and_reports(make_host):
    one, four = make_host(), make_host()
    crowd(one, alike=1)
    crowd(four, alike=4)
    assert one.runner.balancer.load.concurrency < 1.4
    assert 2.5 < four.runner.balancer.load.concurrency < 6


def test_the_concurrency_stays_within_bounds_whatever_is_reported(make_host):
    host = make_host()
    for service, held in ((0.0, 1e9), (-1.0, -5.0), (1e9, 0.0), (0.1, 3.0)) * 50:
        for attempt in host.of(host.take()):
            host.later(0.05)
            host.end(attempt, report={"held": held, "service": service})
    assert 1 <= host.runner.balancer.load.concurrency <= 8


def test_a_short_queue_is_no_reason_to_reject_a_request_with_time_for_it(make_host):
    host = make_host(upstreams=1)
    host.serve(60, took=0.17, category=BUY)
    host.take(BUY), host.take(BUY)
    assert host.of(host.take(BUY))


@pytest.mark.parametrize("cores", [1, 3])
def test_the_concurrency_is_learned_from_busy_reports(make_host, cores):
    host = make_host(**POLLING_SETTINGS_OF_A_LARGE_FLEET)
    for i in range(400):
        held = i % (2 * cores + 1)
        host.runner.health_check_ended(
            "u0", AttemptOutcome.SUCCESS, 0.01, {"held": held, "busy": min(held, cores) / cores}
        )
    assert abs(host.runner.balancer.load.concurrency - cores) < 0.35
