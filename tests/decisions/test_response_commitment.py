"""When a response that is still arriving has to be passed on."""

from math import inf

import pytest
from decision_host import LOOK

from starlingwheel.decisions.model import Request
from starlingwheel.decisions.response_commitment import (
    MAX_HOLD_TIME,
    MAX_PASS_ON_TIME,
    CommitReason,
    commit_reason,
    commit_time,
)


@pytest.mark.parametrize("time_left", [0.02, 0.3, 0.67, 2.0])
def test_a_part_of_a_body_is_passed_on_before_a_head_alone_and_both_before_the_deadline(
    time_left: float,
) -> None:
    """At the deadline the request would be given up."""
    request = Request(LOOK, 10.0, time_left)
    with_body, head_alone = commit_time(request, 10.0), commit_time(request, None)
    assert with_body < head_alone < request.deadline
    assert head_alone >= request.deadline - MAX_PASS_ON_TIME
    assert with_body > 10.0 + 0.9 * min(time_left, MAX_HOLD_TIME)
    assert commit_reason(None, head_alone) is CommitReason.DEADLINE


def test_the_first_bytes_of_a_body_are_held_back_for_a_bounded_time() -> None:
    """However long the client waits; a head alone is not bounded by that."""
    request = Request(LOOK, 10.0, 8.0)
    assert commit_time(request, 11.0) == 11.0 + MAX_HOLD_TIME
    assert commit_time(request, None) > 17.9
    assert commit_reason(11.0, 11.0 + MAX_HOLD_TIME) is CommitReason.HELD
    assert commit_reason(None, 17.9) is CommitReason.DEADLINE


def test_the_time_follows_that_of_a_request_that_still_arrives_and_not_the_end_of_a_stopped_process() -> None:
    """What a process passes on shortly before it may be killed is cut off by that."""
    request = Request(LOOK, inf, 1.0, earliest_arrival=20.0)
    assert 20.9 < commit_time(request, None) < 21.0
    request.earliest_arrival = 21.0
    assert 21.9 < commit_time(request, None) < 22.0
    request.answer_by = 20.5
    assert request.deadline == 20.5 and 21.9 < commit_time(request, None) < 22.0
