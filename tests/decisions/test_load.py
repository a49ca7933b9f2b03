"""Tests of the load and the concurrency of endpoints."""

from math import inf

import pytest
from decision_host import BUY, LARGE_FLEET_POLLING_SETTINGS, FakeHost, MakeHost

from starlingwheel.decisions.model import AttemptOutcome, Request


def load_endpoints(host: FakeHost, concurrency: int, service: float = 0.1, requests: int = 200) -> None:
    """Play endpoints that hold 0 to 7 requests and serve `concurrency` of them at a time."""
    for i in range(requests):
        held = float(i % 8)
        for endpoint in host.scheduler.balancer.endpoints.by_id.values():
            host.scheduler.health_check_ended(
                endpoint.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": held, "service": service}
            )
        for attempt in host.attempts_of(host.submit()):
            host.advance(service * (1 + max(0.0, held - concurrency + 0.5) / concurrency))
            host.end_attempt(attempt)


def test_a_request_whose_body_is_still_arriving_does_not_count_as_load(make_host: MakeHost) -> None:
    """Uploads that took seconds made endpoints look full, so that all other requests were rejected."""
    host = make_host(endpoints=2)
    balancer = host.scheduler.balancer
    uploads = [Request(BUY, inf, 2.0) for _ in range(12)]
    for request in uploads:
        host.scheduler.accept_request(request)
    assert [len(host.attempts_of(request)) for request in uploads] == [
        1
    ] * 12 and balancer.load.in_flight == 0
    host.advance(10.0)  # no time limit applies yet
    assert not host.final_answers and not host.cancelled
    host.serve(4)
    request, attempt = uploads[0], host.attempts_of(uploads[0])[0]
    request.arrived_at = attempt.started_at = host.scheduler.now
    host.scheduler.request_body_complete(request, [attempt])
    assert balancer.load.in_flight == 1 and list(attempt.endpoint.in_flight) == [attempt]
    host.end_attempt(attempt)
    assert balancer.load.in_flight == 0 and not attempt.endpoint.in_flight
    # A request given up before its body is complete was not counted, so nothing is subtracted for it.
    host.end_attempt(host.attempts_of(uploads[1])[0], AttemptOutcome.NOT_SENT)
    assert balancer.load.in_flight == sum(
        len(endpoint.in_flight) for endpoint in balancer.endpoints.by_id.values()
    )
    # The objective of a third request starts with its last byte.
    request, attempt = uploads[2], host.attempts_of(uploads[2])[0]
    request.arrived_at = attempt.started_at = host.scheduler.now
    host.scheduler.request_body_complete(request, [attempt])
    host.advance(0.5)
    assert not host.cancelled
    host.advance(0.5)
    assert host.cancelled == [attempt]


def test_the_concurrency_is_learned_from_responses_and_reports(make_host: MakeHost) -> None:
    """Reports give the requests held but not the busy fraction, so queueing delays show it."""
    serial, parallel = make_host(), make_host()
    load_endpoints(serial, concurrency=1)
    load_endpoints(parallel, concurrency=4)
    assert serial.scheduler.balancer.load.concurrency < 1.4
    assert 2.5 < parallel.scheduler.balancer.load.concurrency < 6


def test_the_concurrency_stays_within_bounds_for_implausible_reports(make_host: MakeHost) -> None:
    """Zero, negative or huge figures in reports must not reach the decisions."""
    host = make_host()
    for service, held in ((0.0, 1e9), (-1.0, -5.0), (1e9, 0.0), (0.1, 3.0)) * 50:
        for attempt in host.attempts_of(host.submit()):
            host.advance(0.05)
            host.end_attempt(attempt, load_report={"held": held, "service": service})
    assert 1 <= host.scheduler.balancer.load.concurrency <= 8


def test_a_request_with_enough_time_for_a_short_queue_is_not_rejected(make_host: MakeHost) -> None:
    """A third request at an endpoint can still be answered within its objective."""
    host = make_host(endpoints=1)
    host.serve(60, duration=0.17, request_class=BUY)
    host.submit(BUY), host.submit(BUY)
    assert host.attempts_of(host.submit(BUY))


@pytest.mark.parametrize("cores", [1, 3])
def test_the_concurrency_is_learned_from_busy_reports(make_host: MakeHost, cores: int) -> None:
    """The busy fraction and the number of requests held give the concurrency directly."""
    host = make_host(**LARGE_FLEET_POLLING_SETTINGS)
    for i in range(400):
        held = i % (2 * cores + 1)
        host.scheduler.health_check_ended(
            "u0", AttemptOutcome.SUCCESS, 0.01, {"held": held, "busy": min(held, cores) / cores}
        )
    assert abs(host.scheduler.balancer.load.concurrency - cores) < 0.35
