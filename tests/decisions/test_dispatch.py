"""The way of one request: attempts, cancellation, one final answer."""

from decision_host import BUY, LOOK

from starlingwheel.decisions.model import AttemptOutcome


def test_a_success_ends_the_request_and_nothing_more_is_sent(host):
    request = host.take()
    host.end(host.of(request)[0])
    host.later(5.0)
    assert host.answers(request) == ["finished"] and len(host.of(request)) == 1


def test_an_error_ends_only_its_own_attempt(host):
    host.serve(110)
    request = host.take()
    host.later(0.5)
    first, copy = host.of(request)
    host.end(first, AttemptOutcome.ERROR)
    assert host.answers(request) == []
    host.end(copy)
    assert host.answers(request) == ["finished"]


def test_a_request_is_given_up_at_its_objective(host):
    look, buy = host.take(), host.take(BUY)
    host.later(1.0)
    assert host.answers(look) == ["deferred"] and host.answers(buy) == ["written off"]
    assert set(host.cancelled) == {*host.of(look), *host.of(buy)}


def test_no_final_answer_after_the_client_has_disconnected(host):
    request = host.take()
    host.runner.client_disconnected(request)
    host.later(5.0)
    assert host.answers(request) == [] and host.cancelled == host.of(request)


def test_full_endpoints_mean_a_prompt_rejection(host):
    for _ in range(60):
        host.take(LOOK)
    last = host.take(LOOK)
    assert host.answers(last) == ["deferred"] and not host.of(last)
    assert all(retry_after > 0 for _, _, retry_after in host.ended)


def test_the_same_seed_makes_the_same_decisions(make_host):
    ways = []
    for _ in range(2):
        host = make_host(seed=7)
        host.serve(30)
        ways.append([attempt.endpoint.endpoint_id for attempt in host.sent])
    assert ways[0] == ways[1] and len(set(ways[0])) > 1


def test_a_started_response_has_no_objective(host):
    request = host.take()
    host.runner.response_started(host.of(request)[0])
    host.later(5.0)
    assert host.answers(request) == [] and not host.cancelled
    host.end(host.of(request)[0])
    assert host.answers(request) == ["finished"]


def test_late_responses_are_not_waited_for_where_they_are_worth_a_part(make_host):
    late = type(LOOK)("late", LOOK.retry_safety, 1.0, 1.0, 6.0, late_priority_weight=0.25)
    host = make_host(request_classes=[late])
    request = host.take(late, patience=6.0)
    host.later(1.0)
    assert host.answers(request) == ["deferred"]
