"""Tests of polling endpoints for their load."""

from decision_host import (
    BUY,
    LARGE_FLEET_POLLING_SETTINGS,
    LOOK,
    POLLING_SETTINGS,
    SUBSET_SETTINGS,
    AnswerKind,
    MakeHost,
)

from starlingwheel.decisions.model import AttemptOutcome


def test_no_poll_where_responses_carry_reports_and_the_concurrency_is_high(make_host: MakeHost) -> None:
    """A health check adds little to what the reports give in that case."""
    host = make_host(**POLLING_SETTINGS, load_reported_in_responses=True)
    attempt = host.attempts_of(host.submit())[0]
    host.advance(0.1)
    host.end_attempt(attempt, load_report={"service": 0.1})  # the concurrency is learned from it
    host.submit()
    assert host.health_checks
    host.scheduler.balancer.load.concurrency, polls = 3.0, len(host.health_checks)
    assert host.attempts_of(host.submit()) and len(host.health_checks) == polls


def test_no_poll_where_responses_report_only_what_is_held(make_host: MakeHost) -> None:
    """The concurrency stays unknown then, and the polls of a large fleet would cost more than they gain."""
    host = make_host(**POLLING_SETTINGS, load_reported_in_responses=True)
    for _ in range(20):
        attempt = host.attempts_of(host.submit())[0]
        host.advance(0.1)
        host.end_attempt(attempt, load_report={"held": 2.0, "waiting": 0.0, "served": 10.0})
    assert host.attempts_of(host.submit()) and not host.health_checks
    host = make_host(**POLLING_SETTINGS)
    host.submit()
    assert host.health_checks


def test_gossip_is_used_where_responses_carry_reports_and_its_price_is_below_the_gain(
    make_host: MakeHost,
) -> None:
    """The price of gossip grows with the number of sidecars; without reports, polling is cheaper."""
    prices = {
        "health_checks_allowed": True,
        "health_check_price": 0.001,
        "gossip_price": 0.01,
        "gossip_allowed": True,
    }
    few = make_host(sidecars=20, load_reported_in_responses=True, **prices)
    many = make_host(sidecars=100, load_reported_in_responses=True, **prices)
    plain = make_host(sidecars=20, **prices)
    for host in (few, many, plain):
        host.submit()
    assert few.gossip_sent and not many.gossip_sent and not plain.gossip_sent


def test_the_least_loaded_of_the_polled_endpoints_gets_the_request(make_host: MakeHost) -> None:
    """When none of the three polled endpoints is free, their reported loads decide."""
    host = make_host(**LARGE_FLEET_POLLING_SETTINGS)
    request = host.submit(BUY)
    for held in (3.0, 1.0, 2.0):
        assert not host.attempts_of(request)
        host.scheduler.health_check_ended(
            host.health_checks[-1].endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": held}
        )
    assert [attempt.endpoint for attempt in host.attempts_of(request)] == [host.health_checks[1]]


def test_polling_stops_at_the_first_free_endpoint(make_host: MakeHost) -> None:
    """Further health checks would cost time and load without any gain."""
    host = make_host(**LARGE_FLEET_POLLING_SETTINGS)
    request = host.submit(BUY)
    host.scheduler.health_check_ended(
        host.health_checks[0].endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0}
    )
    assert host.attempts_of(request)[0].endpoint is host.health_checks[0] and len(host.health_checks) == 1


def test_endpoints_that_do_not_answer_a_poll_are_not_chosen(make_host: MakeHost) -> None:
    """The request goes to another endpoint when the time for polling is over."""
    host = make_host(**LARGE_FLEET_POLLING_SETTINGS)
    request = host.submit(BUY)
    host.scheduler.health_check_ended(
        host.health_checks[0].endpoint_id, AttemptOutcome.CONNECT_FAILED, 0.01, {}
    )
    host.advance(0.3)
    assert host.attempts_of(request) and host.attempts_of(request)[0].endpoint not in host.health_checks


def test_a_client_that_disconnects_during_a_poll_gets_no_answer(make_host: MakeHost) -> None:
    """Late answers to health checks must not start an attempt."""
    host = make_host(**LARGE_FLEET_POLLING_SETTINGS)
    request = host.submit(BUY)
    host.scheduler.client_disconnected(request)
    for endpoint in host.health_checks:
        host.scheduler.health_check_ended(endpoint.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    host.advance(3.0)
    assert not host.attempts and not host.final_answers


def test_a_request_with_little_time_is_rejected_when_no_poll_is_answered(make_host: MakeHost) -> None:
    """Unanswered health checks must not hold the request beyond its time left."""
    host = make_host(**LARGE_FLEET_POLLING_SETTINGS)
    request = host.submit(BUY, time_left=0.1)
    host.advance(0.1)
    assert host.answers_to(request) == [AnswerKind.REJECTED] and not host.attempts


def test_an_endpoint_that_was_recently_free_is_not_polled_again(make_host: MakeHost) -> None:
    """The last report of the endpoint is recent enough."""
    host = make_host(endpoints=1, **LARGE_FLEET_POLLING_SETTINGS)
    first = host.submit(BUY)
    host.scheduler.health_check_ended("u0", AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    host.end_attempt(host.attempts_of(first)[0])
    assert host.attempts_of(host.submit(BUY)) and len(host.health_checks) == 1


def test_a_poll_that_costs_more_than_it_gains_is_not_made(make_host: MakeHost) -> None:
    """The gain is proportional to the weight of the class."""
    host = make_host(**(LARGE_FLEET_POLLING_SETTINGS | {"health_check_price": 0.05}))
    light, heavy = host.submit(LOOK), host.submit(BUY)
    assert host.attempts_of(light) and not host.attempts_of(heavy) and len(host.health_checks) == 1


def test_gossip_is_used_where_it_costs_less_than_polling(make_host: MakeHost) -> None:
    """The price of gossip grows with the number of sidecars."""
    prices = {
        "gossip_allowed": True,
        "health_checks_allowed": True,
        "health_check_price": 0.01,
        "gossip_price": 0.01,
    }
    few, many = make_host(sidecars=4, **prices), make_host(sidecars=400, **prices)
    few.submit(), many.submit()
    assert few.gossip_sent and not few.health_checks and many.health_checks and not many.gossip_sent


def test_in_a_congested_fleet_requests_of_low_weight_poll_too(make_host: MakeHost) -> None:
    """The gain of a health check grows with the mean load."""
    host = make_host(**(LARGE_FLEET_POLLING_SETTINGS | {"health_check_price": 0.03}))
    host.submit(LOOK)
    assert not host.health_checks
    for _ in range(4):
        host.submit(BUY)
        for endpoint in host.health_checks[-3:]:
            host.scheduler.health_check_ended(
                endpoint.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 6.0}
            )
    before = len(host.health_checks)
    host.submit(LOOK)
    assert len(host.health_checks) == before + 1


def test_in_a_subset_one_endpoint_is_polled_and_another_is_drawn_if_it_is_full(make_host: MakeHost) -> None:
    """The subset is small, so only one of its endpoints is polled before a request."""
    host = make_host(endpoints=6, **(LARGE_FLEET_POLLING_SETTINGS | SUBSET_SETTINGS))
    request = host.submit(BUY)
    host.scheduler.health_check_ended(host.health_checks[0].endpoint_id, AttemptOutcome.REJECTED, 0.01, {})
    assert len(host.health_checks) == 1 and host.attempts_of(request)[0].endpoint is not host.health_checks[0]
