"""Objectives, priorities and rejections."""

from decision_host import BUY, LOOK, AnswerKind, FakeHost


def test_a_late_retry_of_a_client_has_no_priority(host: FakeHost) -> None:
    host.submit(time_left=2.5)
    busy = [host.submit(BUY) for _ in range(4)]
    late = host.submit(time_left=1.5, is_retry=True)
    assert all(host.attempts_of(request) for request in busy) and host.answers_to(late) == [
        AnswerKind.REJECTED
    ]


def test_with_full_queues_the_least_priority_weight_is_rejected_first(host: FakeHost) -> None:
    host.serve(40, duration=0.2)
    served = {BUY: 0, LOOK: 0}
    for _ in range(12):
        for category in served:
            served[category] += bool(host.attempts_of(host.submit(category)))
    assert served[BUY] > served[LOOK]
