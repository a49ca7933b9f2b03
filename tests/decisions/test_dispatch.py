"""Tests of the dispatch of one request: attempts, cancellation, one final answer."""

import pytest
from decision_host import BUY, LOOK, AnswerKind, FakeHost, MakeHost

from starlingwheel.decisions.model import AttemptOutcome


def test_a_success_ends_the_request_and_nothing_more_is_sent(host: FakeHost) -> None:
    """A hedge or retry after the final answer would waste work or take effect twice."""
    request = host.submit()
    host.end_attempt(host.attempts_of(request)[0])
    host.advance(5.0)
    assert host.answers_to(request) == [AnswerKind.SUCCEEDED] and len(host.attempts_of(request)) == 1


def test_an_error_ends_only_its_own_attempt(host: FakeHost) -> None:
    """A hedge that is in flight can still succeed after the first attempt has failed."""
    host.serve(110)
    request = host.submit()
    host.advance(0.5)
    first, hedge = host.attempts_of(request)
    host.end_attempt(first, AttemptOutcome.ERROR)
    assert host.answers_to(request) == []
    host.end_attempt(hedge)
    assert host.answers_to(request) == [AnswerKind.SUCCEEDED]


def test_a_request_is_given_up_at_its_objective(host: FakeHost) -> None:
    """The request is rejected if a retry is harmless, failed otherwise, and its attempts are cancelled."""
    look, buy = host.submit(), host.submit(BUY)
    host.advance(1.0)
    assert host.answers_to(look) == [AnswerKind.REJECTED] and host.answers_to(buy) == [AnswerKind.FAILED]
    assert set(host.cancelled) == {*host.attempts_of(look), *host.attempts_of(buy)}


def test_no_final_answer_after_the_client_has_disconnected(host: FakeHost) -> None:
    """The attempt of the request is cancelled, and an answer would reach no client."""
    request = host.submit()
    host.scheduler.client_disconnected(request)
    host.advance(5.0)
    assert host.answers_to(request) == [] and host.cancelled == host.attempts_of(request)


def test_a_request_is_rejected_at_once_when_all_endpoints_are_full(host: FakeHost) -> None:
    """Waiting for a full endpoint would only delay the client's retry."""
    for _ in range(60):
        host.submit(LOOK)
    last = host.submit(LOOK)
    assert host.answers_to(last) == [AnswerKind.REJECTED] and not host.attempts_of(last)
    assert all(answer.retry_after > 0 for answer in host.final_answers)


def test_the_same_seed_makes_the_same_decisions(make_host: MakeHost) -> None:
    """Decisions depend on the events and the random generator alone."""
    choices = []
    for _ in range(2):
        host = make_host(seed=7)
        host.serve(30)
        choices.append([attempt.endpoint.endpoint_id for attempt in host.attempts])
    assert choices[0] == choices[1] and len(set(choices[0])) > 1


def test_a_started_response_is_not_given_up_at_the_objective(host: FakeHost) -> None:
    """A streamed response may take longer than the objective."""
    request = host.submit()
    host.scheduler.response_started(host.attempts_of(request)[0])
    host.advance(5.0)
    assert host.answers_to(request) == [] and not host.cancelled
    host.end_attempt(host.attempts_of(request)[0])
    assert host.answers_to(request) == [AnswerKind.SUCCEEDED]


def test_a_request_with_a_late_priority_weight_is_still_given_up_at_its_objective(
    make_host: MakeHost,
) -> None:
    """A late response is worth only a fraction, so it does not hold capacity."""
    late = type(LOOK)("late", LOOK.retry_safety, 1.0, 1.0, 6.0, late_priority_weight=0.25)
    host = make_host(request_classes=[late])
    request = host.submit(late, time_left=6.0)
    host.advance(1.0)
    assert host.answers_to(request) == [AnswerKind.REJECTED]


def test_a_response_that_has_begun_is_awaited_until_the_deadline(host: FakeHost) -> None:
    """Its endpoint is sending it: at the objective it would be cut off."""
    request = host.submit(BUY)
    host.scheduler.head_received(host.attempts_of(request)[0])
    host.advance(1.9)
    assert host.answers_to(request) == [] and not host.cancelled
    host.advance(0.2)
    assert host.answers_to(request) == [AnswerKind.FAILED]


def test_a_response_that_may_be_long_is_left_to_the_host_until_the_process_is_stopped(host: FakeHost) -> None:
    """It is passed on by the deadline, a little later if the host was held up; giving up would cut it off."""
    request = host.submit(BUY)
    host.scheduler.head_received(host.attempts_of(request)[0], may_be_long=True)
    assert not host.attempts_of(request)[0].endpoint.in_flight
    host.advance(2.2)
    assert host.answers_to(request) == [] and not host.cancelled
    host.scheduler.begin_shutdown(host.scheduler.now + 0.5)
    host.advance(0.6)
    assert host.answers_to(request) == [AnswerKind.FAILED]


def test_no_attempt_starts_after_the_objective_though_a_response_has_begun(host: FakeHost) -> None:
    """Its own response would be late, and takes capacity from requests that can still be in time."""
    host.serve(110)
    request = host.submit()
    first = host.attempts_of(request)[0]
    host.scheduler.head_received(first)
    host.advance(0.97)
    sent = len(host.attempts_of(request))
    host.advance(0.5)
    host.end_attempt(first, AttemptOutcome.RESET)
    assert len(host.attempts_of(request)) == sent
    for hedge in host.attempts_of(request)[1:]:
        host.end_attempt(hedge, AttemptOutcome.TIMED_OUT)
    assert host.answers_to(request) == [AnswerKind.REJECTED]


def test_a_request_is_given_up_at_its_objective_once_the_begun_response_has_failed(host: FakeHost) -> None:
    """The attempts that are left have the objective, as if none had begun."""
    host.serve(110)
    request = host.submit()
    host.advance(0.5)
    first, _ = host.attempts_of(request)
    host.scheduler.head_received(first)
    host.end_attempt(first, AttemptOutcome.RESET)
    host.advance(0.5)
    assert host.answers_to(request) == [AnswerKind.REJECTED]


def test_a_response_that_is_awaited_past_the_objective_is_no_load(host: FakeHost) -> None:
    """Endpoints that send heads and nothing more would otherwise keep all requests from being admitted."""
    request = host.submit(BUY)
    (attempt,) = host.attempts_of(request)
    host.scheduler.head_received(attempt)
    host.advance(0.5)
    assert attempt.endpoint.in_flight
    host.advance(0.6)
    assert not attempt.endpoint.in_flight and host.answers_to(request) == []
    host.end_attempt(attempt)
    assert host.scheduler.balancer.load.in_flight == 0


@pytest.mark.parametrize("is_load", [True, False])
def test_a_response_that_is_passed_on_may_count_as_load(host: FakeHost, is_load: bool) -> None:
    """The host says so."""
    (attempt,) = host.attempts_of(host.submit())
    host.scheduler.response_started(attempt, is_load=is_load)
    assert bool(attempt.endpoint.in_flight) == is_load
