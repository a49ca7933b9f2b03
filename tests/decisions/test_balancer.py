"""Tests of reloading the configuration of the balancer."""

import msgspec
import pytest
from decision_host import BUY, LOOK, AnswerKind, FakeHost

from starlingwheel.decisions.config import RequestClass, RetrySafety
from starlingwheel.decisions.model import AttemptOutcome


def test_requests_in_flight_keep_the_attempt_limit_that_they_were_accepted_with(host: FakeHost) -> None:
    """A request accepted before the reload may make two more attempts; one accepted after it makes one."""
    config = host.scheduler.balancer.config
    before = host.submit(LOOK)
    host.scheduler.reload(msgspec.structs.replace(config, max_attempts=1))
    after = host.submit(LOOK)
    for request in (before, after):
        host.end_attempt(host.attempts_of(request)[-1], AttemptOutcome.REJECTED)
    assert len(host.attempts_of(before)) == 2 and len(host.attempts_of(after)) == 1
    assert host.answers_to(after) == [AnswerKind.REJECTED]


def test_a_reload_keeps_learned_times_and_a_new_class_starts_without_any(host: FakeHost) -> None:
    """Also, a removed class is forgotten, and a client that still uses it is served."""
    host.serve(40, duration=0.2)
    balancer = host.scheduler.balancer
    learned = balancer.latency.typical(LOOK)
    # A class that keeps its name, with another retry safety and timeout, and a new class.
    look = RequestClass(
        "look", RetrySafety.IDEMPOTENT_WITH_KEY, latency_objective=1.0, priority_weight=1.0, timeout=2.0
    )
    gaze = RequestClass(
        "gaze", RetrySafety.IDEMPOTENT, latency_objective=0.5, priority_weight=2.0, timeout=1.0
    )
    host.scheduler.reload(msgspec.structs.replace(balancer.config, request_classes=[look, gaze]))
    assert balancer.latency.typical(look) == pytest.approx(learned)
    assert balancer.latency.typical(gaze) == gaze.latency_objective / 8
    assert balancer.clock.shortest_objective == 0.5 and balancer.admission.max_priority_weight == 2.0
    assert set(balancer.latency.times_by_class) == {"look", "gaze"}
    host.serve(5, request_class=gaze)
    host.serve(1, request_class=BUY)  # a class that the reload has removed, as a client may still use it
    assert all(answer.kind is AnswerKind.SUCCEEDED for answer in host.final_answers)
