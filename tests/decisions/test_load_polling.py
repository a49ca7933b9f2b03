"""Polling endpoints for their load."""

from decision_host import BUY, LOOK, POLLING_SETTINGS, POLLING_SETTINGS_OF_A_LARGE_FLEET, SUBSET_SETTINGS

from starlingwheel.decisions.model import AttemptOutcome


def test_no_poll_where_responses_carry_reports_and_the_concurrency_is_high(make_host):
    host = make_host(**POLLING_SETTINGS, load_reported_in_responses=True)
    attempt = host.of(host.take())[0]
    host.later(0.1)
    host.end(attempt, report={"service": 0.1})  # from which it is learned
    host.take()
    assert host.probes
    host.runner.balancer.load.concurrency, asked = 3.0, len(host.probes)
    assert host.of(host.take()) and len(host.probes) == asked


def test_no_poll_where_responses_report_only_what_is_held(make_host):
    """Nothing tells how many go on at once then; the questions of a large fleet are more than it takes."""
    host = make_host(**POLLING_SETTINGS, load_reported_in_responses=True)
    for _ in range(20):
        attempt = host.of(host.take())[0]
        host.later(0.1)
        host.end(attempt, report={"held": 2.0, "waiting": 0.0, "served": 10.0})
    assert host.of(host.take()) and not host.probes
    host = make_host(**POLLING_SETTINGS)
    host.take()
    assert host.probes


def test_gossip_where_responses_carry_reports_and_the_weight_pays_for_it(make_host):
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
        host.take()
    assert few.told and not many.told and not plain.told


def test_of_the_endpoints_polled_the_least_loaded_gets_the_request(make_host):
    host = make_host(**POLLING_SETTINGS_OF_A_LARGE_FLEET)
    request = host.take(BUY)
    for held in (3.0, 1.0, 2.0):
        assert not host.of(request)
        host.runner.health_check_ended(
            host.probes[-1].endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": held}
        )
    assert [attempt.endpoint for attempt in host.of(request)] == [host.probes[1]]


def test_no_more_are_polled_once_one_is_free(make_host):
    host = make_host(**POLLING_SETTINGS_OF_A_LARGE_FLEET)
    request = host.take(BUY)
    host.runner.health_check_ended(host.probes[0].endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    assert host.of(request)[0].endpoint is host.probes[0] and len(host.probes) == 1


def test_endpoints_that_do_not_answer_a_poll_are_passed_over(make_host):
    host = make_host(**POLLING_SETTINGS_OF_A_LARGE_FLEET)
    request = host.take(BUY)
    host.runner.health_check_ended(host.probes[0].endpoint_id, AttemptOutcome.CONNECT_FAILED, 0.01, {})
    host.later(0.3)
    assert host.of(request) and host.of(request)[0].endpoint not in host.probes


def test_a_client_that_disconnects_during_a_poll_gets_no_answer(make_host):
    host = make_host(**POLLING_SETTINGS_OF_A_LARGE_FLEET)
    request = host.take(BUY)
    host.runner.client_disconnected(request)
    for u in host.probes:
        host.runner.health_check_ended(u.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    host.later(3.0)
    assert not host.sent and not host.ended


def test_a_request_with_little_time_is_answered_though_no_poll_was(make_host):
    host = make_host(**POLLING_SETTINGS_OF_A_LARGE_FLEET)
    request = host.take(BUY, patience=0.1)
    host.later(0.1)
    assert host.answers(request) == ["deferred"] and not host.sent


def test_an_endpoint_that_was_just_free_is_not_polled_again(make_host):
    host = make_host(upstreams=1, **POLLING_SETTINGS_OF_A_LARGE_FLEET)
    first = host.take(BUY)
    host.runner.health_check_ended("u0", AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    host.end(host.of(first)[0])
    assert host.of(host.take(BUY)) and len(host.probes) == 1


def test_a_poll_that_costs_more_than_it_gains_is_not_made(make_host):
    host = make_host(**(POLLING_SETTINGS_OF_A_LARGE_FLEET | {"health_check_price": 0.05}))
    cheap, dear = host.take(LOOK), host.take(BUY)
    assert host.of(cheap) and not host.of(dear) and len(host.probes) == 1


def test_gossip_where_it_costs_less_than_polling(make_host):
    prices = {
        "gossip_allowed": True,
        "health_checks_allowed": True,
        "health_check_price": 0.01,
        "gossip_price": 0.01,
    }
    few, many = make_host(sidecars=4, **prices), make_host(sidecars=400, **prices)
    few.take(), many.take()
    assert few.told and not few.probes and many.probes and not many.told


def test_in_a_crowded_fleet_requests_of_little_weight_poll_too(make_host):
    host = make_host(**(POLLING_SETTINGS_OF_A_LARGE_FLEET | {"health_check_price": 0.03}))
    host.take(LOOK)
    assert not host.probes
    for _ in range(4):
        host.take(BUY)
        for u in host.probes[-3:]:
            host.runner.health_check_ended(u.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 6.0})
    before = len(host.probes)
    host.take(LOOK)
    assert len(host.probes) == before + 1


def test_one_is_polled_and_where_it_is_full_another_is_drawn(make_host):
    host = make_host(upstreams=6, **(POLLING_SETTINGS_OF_A_LARGE_FLEET | SUBSET_SETTINGS))
    request = host.take(BUY)
    host.runner.health_check_ended(host.probes[0].endpoint_id, AttemptOutcome.REJECTED, 0.01, {})
    assert len(host.probes) == 1 and host.of(request)[0].endpoint is not host.probes[0]
