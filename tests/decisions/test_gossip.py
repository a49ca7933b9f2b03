"""Tests of gossip between sidecars."""

import pytest
from decision_host import (
    BUY,
    GOSSIP_SETTINGS,
    LARGE_FLEET_POLLING_SETTINGS,
    LOOK,
    AnswerKind,
    FakeHost,
    MakeHost,
)

from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.gossip import ENDED_BY_SENDER, UNANSWERED
from starlingwheel.decisions.model import Attempt, AttemptOutcome, EndpointState


def time_out(host: FakeHost, attempt: Attempt, after: float = 2.5) -> None:
    """End an attempt that gets no response."""
    host.advance(after)
    host.end_attempt(attempt, AttemptOutcome.TIMED_OUT)


def receive_counts(host: FakeHost, latencies: dict[str, float]) -> None:
    """Deliver a peer's counts, for requests one after another at each endpoint with the given latency."""
    balancer = host.scheduler.balancer
    ends = []
    for step in range(100):
        at = step * 0.05
        for name, latency in latencies.items():
            if at % latency < 0.05:
                ends.append((at, name, 1))
                ends.append((at + latency * 0.99, name, 0))
    begin = host.scheduler.now
    for at, name, count in sorted(ends):
        host.advance(max(0.0, begin + at - host.scheduler.now))
        host.receive_gossip(1, balancer.endpoints.by_id[name], count)


def test_a_failing_endpoint_is_suspected_or_ejected_at_a_high_request_rate(make_host: MakeHost) -> None:
    """A single failure among many requests may be chance, but several in a row at one endpoint are not."""
    host = make_host(gossip_allowed=True)
    sick = host.scheduler.balancer.endpoints.by_id["u0"]
    for i in range(800):
        request = host.submit()
        host.advance(0.002)
        for attempt in host.attempts_of(request):
            host.end_attempt(
                attempt,
                AttemptOutcome.RESET if attempt.endpoint is sick and i > 400 else AttemptOutcome.SUCCESS,
            )
    assert host.scheduler.balancer.outliers.is_suspected(sick) or sick.probation_limit < float("inf")


def test_a_failure_reported_by_a_peer_keeps_non_idempotent_requests_away_for_a_while(
    make_host: MakeHost,
) -> None:
    """Non-idempotent requests cannot be retried after a failure; idempotent ones still go to the endpoint."""
    host = make_host(sidecars=3, gossip_allowed=True)
    bad = host.scheduler.balancer.endpoints.by_id["u0"]
    host.receive_gossip(1, bad, 255)
    host.serve(30, duration=0.02, request_class=BUY)
    assert bad not in {attempt.endpoint for attempt in host.attempts}
    host.serve(30, duration=0.02)
    assert bad in {attempt.endpoint for attempt in host.attempts}
    host.advance(5.0)
    host.serve(30, request_class=BUY)
    assert bad in {attempt.endpoint for attempt in host.attempts[-30:]}


def test_a_failed_attempt_is_reported_to_peers_once(make_host: MakeHost) -> None:
    """A second failure soon after the first one tells the peers nothing new."""
    host = make_host(endpoints=1, sidecars=3, gossip_allowed=True)
    for _ in range(2):
        host.end_attempt(host.attempts_of(host.submit())[0], AttemptOutcome.ERROR)
    assert sum(body[2] == 255 for body in host.gossip_sent if body) == 1


def test_non_idempotent_requests_are_sent_even_if_all_endpoints_have_failed(make_host: MakeHost) -> None:
    """At most about half of the endpoints may be suspected at a time."""
    host = make_host(sidecars=3, gossip_allowed=True)
    host.submit()
    for endpoint in host.scheduler.balancer.endpoints.by_id.values():
        host.receive_gossip(1, endpoint, 255)
    assert host.attempts_of(host.submit(BUY))


@pytest.mark.parametrize("body", [b"", b"\x01", b"\x01\x02", b"\x01\x02\x03\x04", bytes(255)])
def test_a_truncated_message_or_one_from_an_unknown_peer_does_no_harm(
    make_host: MakeHost, body: bytes
) -> None:
    """Such messages arrive when the number of sidecars changes or a datagram is damaged."""
    host = make_host(sidecars=3, gossip_allowed=True)
    for peer in (-1, 1, 2, 99):
        host.scheduler.gossip_received(peer, body)
    assert host.attempts_of(host.submit())


def test_counts_of_a_silent_peer_are_dropped(make_host: MakeHost) -> None:
    """Otherwise the attempts of a killed sidecar would make an endpoint look full for ever."""
    host = make_host(endpoints=1, sidecars=3, gossip_allowed=True)
    host.receive_gossip(1, host.scheduler.balancer.endpoints.by_id["u0"], 100)
    ahead = host.submit()
    full = host.submit()
    host.end_attempt(host.attempts_of(ahead)[0])
    host.advance(2.0)
    host.submit()
    assert host.answers_to(full) == [AnswerKind.REJECTED] and host.attempts_of(host.submit())


def test_a_count_is_kept_as_long_as_its_attempt_can_be_in_flight(make_host: MakeHost) -> None:
    """An attempt can be in flight for the longest latency objective of the classes, not just the shortest."""
    slow = type(LOOK)("slow", LOOK.retry_safety, latency_objective=4.0, priority_weight=1.0, timeout=8.0)
    host = make_host(endpoints=1, request_classes=[LOOK, slow], sidecars=3, gossip_allowed=True)
    host.receive_gossip(1, host.scheduler.balancer.endpoints.by_id["u0"], 100)
    host.advance(1.9)
    host.scheduler.gossip_received(2, bytes(3))
    host.submit(slow)
    assert host.answers_to(host.submit(slow)) == [AnswerKind.REJECTED]


def test_health_checks_of_endpoints_no_longer_listed_do_no_harm(make_host: MakeHost) -> None:
    """The list may change between a health check and its answer, which may arrive twice."""
    host = make_host(**LARGE_FLEET_POLLING_SETTINGS)
    request = host.submit(BUY)
    polled = list(host.health_checks)
    host.list_endpoints(WatchEvent.DELTA, *host.endpoint_ids, state=EndpointState.GONE)
    for endpoint in [*polled, polled[0]]:
        host.scheduler.health_check_ended(endpoint.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    host.advance(1.0)
    assert host.answers_to(request) == [AnswerKind.REJECTED] and not host.attempts


def test_an_endpoint_that_left_an_attempt_of_a_peer_unanswered_is_ejected(make_host: MakeHost) -> None:
    """Each sidecar would otherwise lose an attempt of its own there."""
    host = make_host(**GOSSIP_SETTINGS)
    host.advance(2.0)
    endpoint = host.scheduler.balancer.endpoints.by_id["u0"]
    host.receive_gossip(1, endpoint, UNANSWERED)
    host.serve(12, duration=0.01)
    assert endpoint not in {attempt.endpoint for attempt in host.attempts}


def test_an_endpoint_that_answers_other_peers_is_not_ejected_for_an_unanswered_attempt(
    make_host: MakeHost,
) -> None:
    """A slow or full endpoint leaves single attempts unanswered."""
    host = make_host(**GOSSIP_SETTINGS)
    host.advance(2.0)
    endpoint = host.scheduler.balancer.endpoints.by_id["u0"]
    host.receive_gossip(2, endpoint, 2)
    host.receive_gossip(2, endpoint, 1)  # one of them has been answered
    host.receive_gossip(1, endpoint, UNANSWERED)
    assert endpoint.probation_limit == float("inf")


def test_an_unanswered_attempt_is_reported_to_peers(make_host: MakeHost) -> None:
    """The report carries the endpoint's tag and the code for an unanswered attempt."""
    host = make_host(**GOSSIP_SETTINGS)
    attempt = host.attempts_of(host.submit())[0]
    time_out(host, attempt)
    host.submit()
    sent = b"".join(host.gossip_sent)
    assert attempt.endpoint.gossip_tag.to_bytes(2, "big") + bytes([UNANSWERED]) in [
        sent[i : i + 3] for i in range(0, len(sent), 3)
    ]


def test_an_unresponsive_endpoint_returns_with_the_first_response_to_a_peer(make_host: MakeHost) -> None:
    """Otherwise each sidecar would have to detect the recovery of the endpoint by itself."""
    host = make_host(**GOSSIP_SETTINGS)
    host.advance(2.0)
    endpoint = host.scheduler.balancer.endpoints.by_id["u0"]
    host.receive_gossip(1, endpoint, 1)
    host.receive_gossip(2, endpoint, UNANSWERED)
    assert endpoint.probation_limit == 1
    host.receive_gossip(1, endpoint, 0)
    host.serve(40, duration=0.01, request_class=BUY)
    assert endpoint in {attempt.endpoint for attempt in host.attempts}


def test_an_endpoint_ejected_for_errors_does_not_return_with_a_response_to_a_peer(
    make_host: MakeHost,
) -> None:
    """A response may be an error, so it does not show that the endpoint works."""
    host = make_host(**GOSSIP_SETTINGS)
    endpoint = host.scheduler.balancer.endpoints.by_id["u0"]
    host.serve(40, duration=0.01)
    while endpoint.probation_limit == float("inf"):
        for attempt in [host.attempts_of(host.submit())[0] for _ in range(4)]:
            host.end_attempt(
                attempt, AttemptOutcome.ERROR if attempt.endpoint is endpoint else AttemptOutcome.SUCCESS
            )
    host.receive_gossip(1, endpoint, 1)
    host.receive_gossip(1, endpoint, 0)
    assert endpoint.probation_limit == 1


def test_a_count_that_falls_without_a_response_does_not_end_an_ejection(make_host: MakeHost) -> None:
    """A sender that ends its attempt itself lowers its count too."""
    host = make_host(**GOSSIP_SETTINGS)
    host.advance(2.0)
    endpoint = host.scheduler.balancer.endpoints.by_id["u0"]
    tag = endpoint.gossip_tag.to_bytes(2, "big")
    host.receive_gossip(1, endpoint, 1)
    host.scheduler.gossip_received(1, tag + bytes([ENDED_BY_SENDER]) + tag + bytes([0]))
    host.receive_gossip(2, endpoint, UNANSWERED)
    assert endpoint.probation_limit == 1


def test_an_attempt_cancelled_at_a_healthy_endpoint_is_reported_as_ended_by_the_sender(
    make_host: MakeHost,
) -> None:
    """Peers would otherwise take the lower count for a response."""
    host = make_host(**GOSSIP_SETTINGS, endpoints=2)
    host.serve(110, duration=0.05)
    request = host.submit()
    host.advance(0.1)
    first, hedge = host.attempts_of(request)
    host.end_attempt(hedge)
    host.submit()
    assert (
        first.endpoint.gossip_tag.to_bytes(2, "big") + bytes([ENDED_BY_SENDER])
        in host.gossip_sent[-1] + host.gossip_sent[-2]
    )


def test_gossip_about_an_endpoint_not_yet_listed_does_not_eject_it(make_host: MakeHost) -> None:
    """Gossip may arrive before the endpoint list that names the endpoint."""
    host = make_host(endpoints=2, **GOSSIP_SETTINGS)
    later = make_host(endpoints=0, **GOSSIP_SETTINGS)
    endpoint = host.scheduler.balancer.endpoints.by_id["u1"]
    later.receive_gossip(1, endpoint, UNANSWERED)
    later.receive_gossip(1, endpoint, 255)
    later.receive_gossip(2, endpoint, 1)
    later.list_endpoints(WatchEvent.SNAPSHOT, "u1")
    assert later.attempts_of(later.submit(BUY))


def test_counts_from_peers_show_a_slow_endpoint(make_host: MakeHost) -> None:
    """The endpoint then gets few requests, although this sidecar has not measured its latency."""
    host = make_host(endpoints=6, **GOSSIP_SETTINGS)
    receive_counts(host, {"u0": 0.5} | {f"u{i}": 0.1 for i in range(1, 6)})
    slow = host.scheduler.balancer.endpoints.by_id["u0"]
    assert host.scheduler.balancer.gossip.relative_latency(slow) > 2
    sent = len(host.attempts)
    for _ in range(60):
        host.end_attempt(host.attempts_of(host.submit())[0])
    assert sum(attempt.endpoint is slow for attempt in host.attempts[sent:]) < 6
