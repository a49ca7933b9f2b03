"""Gossip between sidecars."""

import pytest
from decision_host import BUY, GOSSIP_SETTINGS, LOOK, POLLING_SETTINGS_OF_A_LARGE_FLEET

from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.gossip import ENDED_BY_SENDER, UNANSWERED
from starlingwheel.decisions.model import AttemptOutcome, EndpointState


def lose(host, attempt, after=2.5):
    host.later(after)
    host.end(attempt, AttemptOutcome.TIMED_OUT)


def tell_of(host, times):
    """Peers tell of work at each upstream, one after another; each takes as long as it says."""
    balancer = host.runner.balancer
    ends = []
    for round in range(100):
        at = round * 0.05
        for name, time in times.items():
            if round * 0.05 % time < 0.05:
                ends.append((at, name, 1))
                ends.append((at + time * 0.99, name, 0))
    begin = host.runner.now
    for at, name, n in sorted(ends):
        host.later(max(0.0, begin + at - host.runner.now))
        host.hears(1, balancer.endpoints.by_id[name], n)


def test_a_failing_endpoint_is_reported_to_peers_at_any_request_rate(make_host):
    host = make_host(gossip_allowed=True)
    sick = host.runner.balancer.endpoints.by_id["u0"]
    for i in range(800):
        request = host.take()
        host.later(0.002)
        for attempt in host.of(request):
            host.end(
                attempt,
                AttemptOutcome.RESET if attempt.endpoint is sick and i > 400 else AttemptOutcome.SUCCESS,
            )
    assert host.runner.balancer.outliers.is_suspected(sick) or sick.probation_limit < float("inf")


def test_a_peers_failure_keeps_non_idempotent_requests_away_for_a_while(make_host):
    host = make_host(sidecars=3, gossip_allowed=True)
    bad = host.runner.balancer.endpoints.by_id["u0"]
    host.hears(1, bad, 255)
    host.serve(30, took=0.02, category=BUY)
    assert bad not in {attempt.endpoint for attempt in host.sent}
    host.serve(30, took=0.02)
    assert bad in {attempt.endpoint for attempt in host.sent}
    host.later(5.0)
    host.serve(30, category=BUY)
    assert bad in {attempt.endpoint for attempt in host.sent[-30:]}


def test_a_failed_attempt_is_reported_to_peers_once(make_host):
    host = make_host(upstreams=1, sidecars=3, gossip_allowed=True)
    for _ in range(2):
        host.end(host.of(host.take())[0], AttemptOutcome.ERROR)
    assert sum(body[2] == 255 for body in host.told if body) == 1


def test_failures_at_all_endpoints_leave_non_idempotent_requests_somewhere_to_go(make_host):
    host = make_host(sidecars=3, gossip_allowed=True)
    host.take()
    for u in host.runner.balancer.endpoints.by_id.values():
        host.hears(1, u, 255)
    assert host.of(host.take(BUY))


@pytest.mark.parametrize("body", [b"", b"\x01", b"\x01\x02", b"\x01\x02\x03\x04", bytes(255)])
def test_a_truncated_message_or_one_from_an_unknown_peer_is_harmless(make_host, body):
    host = make_host(sidecars=3, gossip_allowed=True)
    for peer in (-1, 1, 2, 99):
        host.runner.gossip_received(peer, body)
    assert host.of(host.take())


def test_a_silent_peers_counts_are_dropped(make_host):
    host = make_host(upstreams=1, sidecars=3, gossip_allowed=True)
    host.hears(1, host.runner.balancer.endpoints.by_id["u0"], 100)
    ahead = host.take()
    full = host.take()
    host.end(host.of(ahead)[0])
    host.later(2.0)
    host.take()
    assert host.answers(full) == ["deferred"] and host.of(host.take())


def test_a_count_stands_as_long_as_its_attempt_can_be_in_flight(make_host):
    slow = type(LOOK)("slow", LOOK.retry_safety, latency_objective=4.0, priority_weight=1.0, timeout=8.0)
    host = make_host(upstreams=1, request_classes=[LOOK, slow], sidecars=3, gossip_allowed=True)
    host.hears(1, host.runner.balancer.endpoints.by_id["u0"], 100)
    host.later(1.9)
    host.runner.gossip_received(2, bytes(3))
    host.take(slow)
    assert host.answers(host.take(slow)) == ["deferred"]


def test_gossip_about_an_endpoint_no_longer_listed_is_harmless(make_host):
    host = make_host(**POLLING_SETTINGS_OF_A_LARGE_FLEET)
    request = host.take(BUY)
    asked = list(host.probes)
    host.listed(WatchEvent.DELTA, *host.names, condition=EndpointState.GONE)
    for u in [*asked, asked[0]]:
        host.runner.health_check_ended(u.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    host.later(1.0)
    assert host.answers(request) == ["deferred"] and not host.sent


def test_an_endpoint_that_left_a_peers_attempt_unanswered_gets_nothing(make_host):
    host = make_host(**GOSSIP_SETTINGS)
    host.later(2.0)
    u = host.runner.balancer.endpoints.by_id["u0"]
    host.hears(1, u, UNANSWERED)
    host.serve(12, took=0.01)
    assert u not in {attempt.endpoint for attempt in host.sent}


def test_a_peers_unanswered_attempt_tells_nothing_of_an_endpoint_that_answers_others(make_host):
    host = make_host(**GOSSIP_SETTINGS)
    host.later(2.0)
    u = host.runner.balancer.endpoints.by_id["u0"]
    host.hears(2, u, 2)
    host.hears(2, u, 1)  # one of them has been answered
    host.hears(1, u, UNANSWERED)
    assert u.probation_limit == float("inf")


def test_an_unanswered_attempt_is_reported_to_peers(make_host):
    host = make_host(**GOSSIP_SETTINGS)
    attempt = host.of(host.take())[0]
    lose(host, attempt)
    host.take()
    said = b"".join(host.told)
    assert attempt.endpoint.gossip_tag.to_bytes(2, "big") + bytes([UNANSWERED]) in [
        said[i : i + 3] for i in range(0, len(said), 3)
    ]


def test_a_silent_endpoint_is_back_with_the_first_response_to_a_peer(make_host):
    host = make_host(**GOSSIP_SETTINGS)
    host.later(2.0)
    u = host.runner.balancer.endpoints.by_id["u0"]
    host.hears(1, u, 1)
    host.hears(2, u, UNANSWERED)
    assert u.probation_limit == 1
    host.hears(1, u, 0)
    host.serve(40, took=0.01, category=BUY)
    assert u in {attempt.endpoint for attempt in host.sent}


def test_an_endpoint_ejected_for_errors_is_not_back_for_a_response_to_a_peer(make_host):
    host = make_host(**GOSSIP_SETTINGS)
    u = host.runner.balancer.endpoints.by_id["u0"]
    host.serve(40, took=0.01)
    while u.probation_limit == float("inf"):
        for attempt in [host.of(host.take())[0] for _ in range(4)]:
            host.end(attempt, AttemptOutcome.ERROR if attempt.endpoint is u else AttemptOutcome.SUCCESS)
    host.hears(1, u, 1)
    host.hears(1, u, 0)
    assert u.probation_limit == 1


def test_a_count_that_falls_without_a_response_is_not_taken_for_one(make_host):
    host = make_host(**GOSSIP_SETTINGS)
    host.later(2.0)
    u = host.runner.balancer.endpoints.by_id["u0"]
    tag = u.gossip_tag.to_bytes(2, "big")
    host.hears(1, u, 1)
    host.runner.gossip_received(1, tag + bytes([ENDED_BY_SENDER]) + tag + bytes([0]))
    host.hears(2, u, UNANSWERED)
    assert u.probation_limit == 1


def test_attempts_cancelled_at_a_healthy_endpoint_are_reported_as_such(make_host):
    host = make_host(**GOSSIP_SETTINGS, upstreams=2)
    host.serve(110, took=0.05)
    request = host.take()
    host.later(0.1)
    first, copy = host.of(request)
    host.end(copy)
    host.take()
    assert (
        first.endpoint.gossip_tag.to_bytes(2, "big") + bytes([ENDED_BY_SENDER])
        in host.told[-1] + host.told[-2]
    )


def test_gossip_about_an_endpoint_not_yet_listed_does_not_eject_it(make_host):
    host = make_host(upstreams=2, **GOSSIP_SETTINGS)
    later = make_host(upstreams=0, **GOSSIP_SETTINGS)
    u = host.runner.balancer.endpoints.by_id["u1"]
    later.hears(1, u, UNANSWERED)
    later.hears(1, u, 255)
    later.hears(2, u, 1)
    later.listed(WatchEvent.SNAPSHOT, "u1")
    assert later.of(later.take(BUY))


def test_a_slow_endpoint_is_known_by_peers_counts(make_host):
    host = make_host(upstreams=6, **GOSSIP_SETTINGS)
    tell_of(host, {"u0": 0.5} | {f"u{i}": 0.1 for i in range(1, 6)})
    slow = host.runner.balancer.endpoints.by_id["u0"]
    assert host.runner.balancer.gossip.pace(slow) > 2
    sent = len(host.sent)
    for _ in range(60):
        host.end(host.of(host.take())[0])
    assert sum(attempt.endpoint is slow for attempt in host.sent[sent:]) < 6
