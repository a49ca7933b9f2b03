"""Stories of upstreams that fail."""

from conftest import BUY

from starlingwheel.decisions.model import AttemptOutcome


def fail(host, name, times=2):
    host.serve(40)
    u = host.runner.balancer.endpoints.by_id[name]
    while times and u.ejected_until <= host.runner.now:
        for attempt in [host.of(host.take())[0] for _ in range(4)]:
            bad = attempt.endpoint is u and times
            host.end(attempt, AttemptOutcome.ERROR if bad else AttemptOutcome.SUCCESS)
            times -= bool(bad)
    for attempt in [attempt for attempt in host.sent if attempt.pending]:
        host.end(attempt)
    return u


def test_errors_in_a_row_set_an_upstream_aside(host):
    u = fail(host, "u0")
    before = len(host.sent)
    host.serve(8)
    assert u not in {attempt.endpoint for attempt in host.sent[before:]}


def test_an_upstream_set_aside_comes_back_by_a_trickle_without_exclusive_work(host):
    u = fail(host, "u0")
    host.later(1.5)
    host.serve(40, took=0.01, category=BUY)
    assert u not in {attempt.endpoint for attempt in host.sent[-40:]}
    host.serve(60)
    assert u in {attempt.endpoint for attempt in host.sent[-20:]}


def test_an_upstream_that_answers_nothing_is_left_alone(host):
    host.serve(40)
    u = host.runner.balancer.endpoints.by_id["u0"]
    hung = []
    for _ in range(40):
        attempt = host.of(host.take())[0]
        host.later(0.1)
        if attempt.endpoint is u:
            hung.append(attempt)
        else:
            host.end(attempt)
    assert 0 < len(hung) < 6


def test_a_sidecar_that_saw_only_full_upstreams_tries_again(host):
    for _ in range(8):
        for attempt in host.of(host.take()):
            host.later(0.1)
            host.end(attempt, report={"held": 50.0})
    host.later(0.5)
    assert host.of(host.take()) and host.answers(host.take()) == ["deferred"]


def test_a_fault_common_to_all_sets_nobody_aside(host):
    for i in range(60):
        attempt = host.of(host.take(BUY))[0]
        host.later(0.05)
        host.end(attempt, AttemptOutcome.ERROR if i % 5 else AttemptOutcome.SUCCESS)
    host.serve(40)
    assert len({attempt.endpoint for attempt in host.sent[-40:]}) == 4


def test_an_upstream_that_refuses_connections_still_serves_over_open_ones(make_host):
    host = make_host(upstreams=1, idle_timeout=5.0)
    host.serve(20)
    over_open, refused, again = [host.take(BUY) for _ in range(3)]
    for one in (refused, again):  # at this pace one alone may be chance
        host.end(host.of(one)[0], AttemptOutcome.CONNECT_FAILED)
    host.end(host.of(over_open)[0])
    after = host.take(BUY)
    assert host.answers(refused) == ["deferred"] and host.of(after)
    beyond = host.take(BUY)
    assert host.answers(beyond) == ["deferred"] and not host.of(beyond)


def test_a_slow_upstream_is_given_less(host):
    slow = host.runner.balancer.endpoints.by_id["u0"]
    for _ in range(120):
        attempt = host.of(host.take())[0]
        host.later(0.25 if attempt.endpoint is slow else 0.05)
        host.end(attempt)
    assert sum(attempt.endpoint is slow for attempt in host.sent[-80:]) < 16


def test_faults_that_any_upstream_has_alike_keep_nothing_from_anyone(make_host):
    host = make_host(upstreams=8, gossip_allowed=True)
    balancer = host.runner.balancer
    most = 0
    host.serve(400, took=0.002)
    for i in range(2400):  # at a pace at which two failures in a row are bound to come up by chance
        request = host.take()
        host.later(0.004)
        host.end(
            host.of(request)[0],
            AttemptOutcome.RESET if i % 16 == 0 or i % 80 == 1 else AttemptOutcome.SUCCESS,
        )
        for again in host.of(request)[1:]:
            host.end(again)
        if i > 1400:  # what came as a surprise at first has been forgotten
            known = list(balancer.endpoints.by_id.values())
            most = max(
                most,
                len(
                    [
                        u
                        for u in known
                        if u.probation_limit < float("inf") or balancer.outliers.is_suspected(u)
                    ]
                ),
            )
    assert most <= 2


def test_a_failing_upstream_is_warned_of_at_any_pace(make_host):
    host = make_host(gossip_allowed=True)
    sick = host.runner.balancer.endpoints.by_id["u0"]
    for i in range(800):
        request = host.take()
        host.later(0.002)
        for attempt in host.of(request):
            host.end(
                attempt,
                AttemptOutcome.RESET if attempt.endpoint is sick and i > 400 else AttemptOutcome.SUCCESS,
            )
    assert host.runner.balancer.outliers.is_suspected(sick) or sick.probation_limit < float("inf")


def test_after_an_outage_of_all_upstreams_work_is_answered_again(host):
    def ask(fate):
        request = host.take()
        while pending := [attempt for attempt in host.of(request) if attempt.pending]:
            host.end(pending[0], fate)
        host.later(0.01)
        return host.answers(request) == ["finished"]

    host.serve(40)
    for _ in range(200):
        ask(AttemptOutcome.ERROR)
    host.later(4.0)  # twice the longest pause of one that is set aside
    finished = [ask(AttemptOutcome.SUCCESS) for _ in range(500)]
    assert sum(finished) > 400 and all(finished[-100:])
