"""Stories of the four rules and of the design's ordinary path."""

from math import inf

import pytest
from conftest import BUY, LOOK, MOVE

from starlingwheel.decisions.config import DeduplicationScope
from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import AttemptOutcome, EndpointState, Request


def test_an_answer_ends_the_work_item_and_nothing_more_is_sent(host):
    request = host.take()
    host.end(host.of(request)[0])
    host.later(5.0)
    assert host.answers(request) == ["finished"] and len(host.of(request)) == 1


def test_no_copy_before_the_delay_has_been_learned(host):
    request = host.take()
    host.later(0.9)
    assert len(host.of(request)) == 1


def test_a_late_answer_brings_one_copy_elsewhere_and_the_loser_is_cancelled(host):
    host.serve(110)
    request = host.take()
    host.later(0.5)
    first, copy = host.of(request)
    assert first.endpoint is not copy.endpoint
    host.end(copy)
    assert host.cancelled == [first] and host.answers(request) == ["finished"]
    host.later(5.0)
    assert len(host.of(request)) == 2


def test_an_error_ends_only_its_own_send(host):
    host.serve(110)
    request = host.take()
    host.later(0.5)
    first, copy = host.of(request)
    host.end(first, AttemptOutcome.ERROR)
    assert host.answers(request) == []
    host.end(copy)
    assert host.answers(request) == ["finished"]


def test_exclusive_work_that_may_have_run_is_written_off_at_once(host):
    request = host.take(BUY)
    host.end(host.of(request)[0], AttemptOutcome.ERROR)
    assert host.answers(request) == ["written off"] and len(host.of(request)) == 1


def test_exclusive_work_gets_no_copy(host):
    host.serve(110)
    request = host.take(BUY)
    host.later(0.9)
    assert len(host.of(request)) == 1


@pytest.mark.parametrize("category", [LOOK, BUY, MOVE])
def test_work_known_not_to_have_run_goes_to_another_upstream(host, category):
    request = host.take(category)
    host.end(host.of(request)[0], AttemptOutcome.REJECTED)
    first, second = host.of(request)
    assert first.endpoint is not second.endpoint


def test_ticketed_work_that_may_have_run_stays_in_its_cell(make_host):
    move = type(MOVE)(
        "move",
        MOVE.retry_safety,
        1.0,
        8.0,
        3.0,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=2.0,
    )
    host = make_host(request_classes=[move])
    host.listed(WatchEvent.DELTA, "u2", "u3", cell=1)
    request = host.take(move)
    first = host.of(request)[0]
    host.end(first, AttemptOutcome.ERROR)
    second = host.of(request)[1]
    assert second.endpoint.entry.cell == first.endpoint.entry.cell
    host.end(second, AttemptOutcome.ERROR)
    assert host.answers(request) == ["written off"] and len(host.of(request)) == 2


def test_ticketed_work_is_not_sent_again_once_repeats_are_forgotten(make_host):
    move = type(MOVE)("move", MOVE.retry_safety, 1.0, 8.0, 3.0, deduplication_window=0.3)
    host = make_host(request_classes=[move])
    request = host.take(move)
    host.later(0.4)
    host.end(host.of(request)[0], AttemptOutcome.RESET)
    assert len(host.of(request)) == 1 and host.answers(request) == ["deferred"]


def test_no_copy_once_repeats_are_forgotten_while_it_waited(make_host):
    move = type(MOVE)(
        "move", MOVE.retry_safety, 1.0, 8.0, 9.0, deduplication_window=0.3, late_priority_weight=0.25
    )
    host = make_host(request_classes=[move])
    request = host.take(move, patience=8.0)
    host.later(7.5)
    assert len(host.of(request)) == 1


def test_work_is_given_up_with_the_due_time_and_not_sat_on(host):
    look, buy = host.take(), host.take(BUY)
    host.later(1.0)
    assert host.answers(look) == ["deferred"] and host.answers(buy) == ["written off"]
    assert set(host.cancelled) == {*host.of(look), *host.of(buy)}


def test_no_final_answer_after_the_client_has_left(host):
    request = host.take()
    host.runner.client_disconnected(request)
    host.later(5.0)
    assert host.answers(request) == [] and host.cancelled == host.of(request)


def test_nothing_goes_to_an_upstream_that_drains_or_is_gone(host):
    host.listed(WatchEvent.DELTA, "u0", condition=EndpointState.DRAINING)
    host.listed(WatchEvent.DELTA, "u1", condition=EndpointState.GONE)
    host.listed(WatchEvent.SNAPSHOT, "u0", condition=EndpointState.DRAINING)
    host.listed(WatchEvent.DELTA, "u2", "u3")
    host.serve(20)
    assert {attempt.endpoint.endpoint_id for attempt in host.sent} == {"u2", "u3"}


def test_the_list_is_asked_for_again_after_a_failure(host):
    host.later(1.0)
    assert host.subscribed == 1
    host.runner.endpoints_changed(WatchEvent.FAILED, [])
    host.later(2.0)
    assert host.subscribed == 2


def test_a_restarted_upstream_is_never_pushed_past_its_cold_part(make_host):
    host = make_host(upstreams=1)
    host.later(100.0)
    host.listed(WatchEvent.DELTA, "u0", started=100.0)
    for _ in range(40):
        for attempt in host.of(host.take()):
            host.end(attempt)
        host.later(0.05)
    could_do = 0.25 * 2.0 / 0.1  # cold share of the span, in work items of 0.1 s
    assert 0 < len(host.sent) <= 2.0 * could_do


def test_full_upstreams_mean_a_prompt_deferral(host):
    for _ in range(60):
        host.take(LOOK)
    last = host.take(LOOK)
    assert host.answers(last) == ["deferred"] and not host.of(last)
    assert all(retry_after > 0 for _, _, retry_after in host.ended)


def test_the_same_seed_takes_the_same_way(make_host):
    ways = []
    for _ in range(2):
        host = make_host(seed=7)
        host.serve(30)
        ways.append([attempt.endpoint.endpoint_id for attempt in host.sent])
    assert ways[0] == ways[1] and len(set(ways[0])) > 1


def test_what_later_work_has_passed_is_heavy_and_gets_no_copy(make_host):
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


def test_a_clients_late_try_is_worth_nothing_and_gives_way(host):
    host.take(patience=2.5)
    busy = [host.take(BUY) for _ in range(4)]
    late = host.take(patience=1.5, is_retry=True)
    assert all(host.of(request) for request in busy) and host.answers(late) == ["deferred"]


def test_a_started_stream_is_the_clients_and_has_no_due_time(host):
    request = host.take()
    host.runner.response_started(host.of(request)[0])
    host.later(5.0)
    assert host.answers(request) == [] and not host.cancelled
    host.end(host.of(request)[0])
    assert host.answers(request) == ["finished"]


def test_with_full_lines_the_least_payoff_is_deferred_first(host):
    host.serve(40, took=0.2)
    served = {BUY: 0, LOOK: 0}
    for _ in range(12):
        for category in served:
            served[category] += bool(host.of(host.take(category)))
    assert served[BUY] > served[LOOK]


def test_work_that_is_still_coming_takes_no_place_at_its_upstream(make_host):
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
