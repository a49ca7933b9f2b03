"""Objectives, priorities and rejections."""

from decision_host import BUY, LOOK


def test_a_late_retry_of_a_client_has_no_priority(host):
    host.take(patience=2.5)
    busy = [host.take(BUY) for _ in range(4)]
    late = host.take(patience=1.5, is_retry=True)
    assert all(host.of(request) for request in busy) and host.answers(late) == ["deferred"]


def test_with_full_queues_the_least_priority_weight_is_rejected_first(host):
    host.serve(40, took=0.2)
    served = {BUY: 0, LOOK: 0}
    for _ in range(12):
        for category in served:
            served[category] += bool(host.of(host.take(category)))
    assert served[BUY] > served[LOOK]
