"""Rule 2: what may be sent again."""

import pytest
from decision_host import BUY, LOOK, MOVE

from starlingwheel.decisions.config import DeduplicationScope
from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import AttemptOutcome


def test_a_non_idempotent_request_that_may_have_run_fails_at_once(host):
    request = host.take(BUY)
    host.end(host.of(request)[0], AttemptOutcome.ERROR)
    assert host.answers(request) == ["written off"] and len(host.of(request)) == 1


@pytest.mark.parametrize("category", [LOOK, BUY, MOVE])
def test_a_request_known_not_to_have_run_goes_to_another_endpoint(host, category):
    request = host.take(category)
    host.end(host.of(request)[0], AttemptOutcome.REJECTED)
    first, second = host.of(request)
    assert first.endpoint is not second.endpoint


def test_a_request_with_a_key_that_may_have_run_stays_in_its_deduplication_scope(make_host):
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


def test_a_request_with_a_key_is_not_sent_again_after_its_deduplication_window(make_host):
    move = type(MOVE)("move", MOVE.retry_safety, 1.0, 8.0, 3.0, deduplication_window=0.3)
    host = make_host(request_classes=[move])
    request = host.take(move)
    host.later(0.4)
    host.end(host.of(request)[0], AttemptOutcome.RESET)
    assert len(host.of(request)) == 1 and host.answers(request) == ["deferred"]
