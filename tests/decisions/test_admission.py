"""Tests of objectives, priorities and rejections."""

from decision_host import BUY, LOOK, AnswerKind, FakeHost


def test_a_client_retry_past_its_objective_is_rejected_under_load(host: FakeHost) -> None:
    """A late retry must not take capacity from requests that can still be answered in time."""
    host.submit(time_left=2.5)
    busy = [host.submit(BUY) for _ in range(4)]
    late = host.submit(time_left=1.5, is_retry=True)
    assert all(host.attempts_of(request) for request in busy) and host.answers_to(late) == [
        AnswerKind.REJECTED
    ]


def test_full_queues_reject_requests_of_low_priority_weight_first(host: FakeHost) -> None:
    """Under overload, requests of high weight must not be lost to those of low weight."""
    host.serve(40, duration=0.2)
    served = {BUY: 0, LOOK: 0}
    for _ in range(12):
        for request_class in served:
            served[request_class] += bool(host.attempts_of(host.submit(request_class)))
    assert served[BUY] > served[LOOK]
