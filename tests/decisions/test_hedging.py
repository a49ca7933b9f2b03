"""When a request is hedged."""

from decision_host import BUY, MOVE


def test_no_hedge_before_the_delay_has_been_learned(host):
    request = host.take()
    host.later(0.9)
    assert len(host.of(request)) == 1


def test_a_late_response_brings_one_hedge_elsewhere_and_the_loser_is_cancelled(host):
    host.serve(110)
    request = host.take()
    host.later(0.5)
    first, copy = host.of(request)
    assert first.endpoint is not copy.endpoint
    host.end(copy)
    assert host.cancelled == [first] and host.answers(request) == ["finished"]
    host.later(5.0)
    assert len(host.of(request)) == 2


def test_a_non_idempotent_request_gets_no_hedge(host):
    host.serve(110)
    request = host.take(BUY)
    host.later(0.9)
    assert len(host.of(request)) == 1


def test_no_hedge_once_the_deduplication_window_has_ended_during_the_delay(make_host):
    move = type(MOVE)(
        "move", MOVE.retry_safety, 1.0, 8.0, 9.0, deduplication_window=0.3, late_priority_weight=0.25
    )
    host = make_host(request_classes=[move])
    request = host.take(move, patience=8.0)
    host.later(7.5)
    assert len(host.of(request)) == 1


def test_an_expensive_request_gets_no_hedge(make_host):
    host = make_host(upstreams=2)
    host.serve(110)
    heavy = host.take()
    where = host.of(heavy)[0].endpoint
    while host.runner.now < heavy.arrived_at + 0.9:
        attempt = host.of(host.take())[0]
        host.later(0.05)
        host.end(attempt)
        if attempt.endpoint is where:
            break
    host.later(0.5)
    assert len(host.of(heavy)) == 1
