"""Tests of rule 2, no request takes effect twice: what may be sent again."""

import pytest
from decision_host import BUY, LOOK, MOVE, AnswerKind, FakeHost, MakeHost

from starlingwheel.decisions.config import DeduplicationScope, RequestClass
from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import AttemptOutcome


def test_a_non_idempotent_request_that_may_have_run_fails_at_once(host: FakeHost) -> None:
    """A retry could take effect twice."""
    request = host.submit(BUY)
    host.end_attempt(host.attempts_of(request)[0], AttemptOutcome.ERROR)
    assert host.answers_to(request) == [AnswerKind.FAILED] and len(host.attempts_of(request)) == 1


@pytest.mark.parametrize("request_class", [LOOK, BUY, MOVE])
def test_a_request_known_not_to_have_run_goes_to_another_endpoint(
    host: FakeHost, request_class: RequestClass
) -> None:
    """A retry of such a request is safe for every class."""
    request = host.submit(request_class)
    host.end_attempt(host.attempts_of(request)[0], AttemptOutcome.REJECTED)
    first, second = host.attempts_of(request)
    assert first.endpoint is not second.endpoint


def test_a_request_with_a_key_that_may_have_run_stays_in_its_deduplication_scope(make_host: MakeHost) -> None:
    """Only the same cell recognises the idempotency key here."""
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
    host.list_endpoints(WatchEvent.DELTA, "u2", "u3", cell=1)
    request = host.submit(move)
    first = host.attempts_of(request)[0]
    host.end_attempt(first, AttemptOutcome.ERROR)
    second = host.attempts_of(request)[1]
    assert second.endpoint.entry.cell == first.endpoint.entry.cell
    host.end_attempt(second, AttemptOutcome.ERROR)
    assert host.answers_to(request) == [AnswerKind.FAILED] and len(host.attempts_of(request)) == 2


def test_a_request_with_a_key_is_not_sent_again_after_its_deduplication_window(make_host: MakeHost) -> None:
    """By then the endpoints have forgotten the idempotency key."""
    move = type(MOVE)("move", MOVE.retry_safety, 1.0, 8.0, 3.0, deduplication_window=0.3)
    host = make_host(request_classes=[move])
    request = host.submit(move)
    host.advance(0.4)
    host.end_attempt(host.attempts_of(request)[0], AttemptOutcome.RESET)
    assert len(host.attempts_of(request)) == 1 and host.answers_to(request) == [AnswerKind.REJECTED]
