"""Tests of hedging."""

from decision_host import BUY, MOVE, AnswerKind, FakeHost, MakeHost


def test_no_hedge_before_the_delay_has_been_learned(host: FakeHost) -> None:
    """Without enough samples the percentile says nothing about lateness."""
    request = host.submit()
    host.advance(0.9)
    assert len(host.attempts_of(request)) == 1


def test_a_late_response_causes_one_hedge_at_another_endpoint_and_the_slower_attempt_is_cancelled(
    host: FakeHost,
) -> None:
    """A second hedge would add load without much gain."""
    host.serve(110)
    request = host.submit()
    host.advance(0.5)
    first, hedge = host.attempts_of(request)
    assert first.endpoint is not hedge.endpoint
    host.end_attempt(hedge)
    assert host.cancelled == [first] and host.answers_to(request) == [AnswerKind.SUCCEEDED]
    host.advance(5.0)
    assert len(host.attempts_of(request)) == 2


def test_a_non_idempotent_request_gets_no_hedge(host: FakeHost) -> None:
    """Both attempts could take effect."""
    host.serve(110)
    request = host.submit(BUY)
    host.advance(0.9)
    assert len(host.attempts_of(request)) == 1


def test_no_hedge_once_the_deduplication_window_has_ended_during_the_delay(make_host: MakeHost) -> None:
    """After the window the endpoint does not recognise the idempotency key."""
    move = type(MOVE)(
        "move", MOVE.retry_safety, 1.0, 8.0, 9.0, deduplication_window=0.3, late_priority_weight=0.25
    )
    host = make_host(request_classes=[move])
    request = host.submit(move, time_left=8.0)
    host.advance(7.5)
    assert len(host.attempts_of(request)) == 1


def test_an_expensive_request_gets_no_hedge(make_host: MakeHost) -> None:
    """Later requests have finished at the same endpoint, so the request itself is what takes long."""
    host = make_host(endpoints=2)
    host.serve(110)
    heavy = host.submit()
    endpoint = host.attempts_of(heavy)[0].endpoint
    while host.scheduler.now < heavy.arrived_at + 0.9:
        attempt = host.attempts_of(host.submit())[0]
        host.advance(0.05)
        host.end_attempt(attempt)
        if attempt.endpoint is endpoint:
            break
    host.advance(0.5)
    assert len(host.attempts_of(heavy)) == 1
