"""Ejection, probation and the return of endpoints."""

import pytest
from decision_host import BUY, GOSSIP_SETTINGS, KEYS, SUBSET_SETTINGS, cell_of, host_with_cells

from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.gossip import UNANSWERED
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


def test_errors_in_a_row_eject_an_endpoint(host):
    u = fail(host, "u0")
    before = len(host.sent)
    host.serve(8)
    assert u not in {attempt.endpoint for attempt in host.sent[before:]}


def test_an_ejected_endpoint_returns_by_a_probation_without_non_idempotent_requests(host):
    u = fail(host, "u0")
    host.later(1.5)
    host.serve(40, took=0.01, category=BUY)
    assert u not in {attempt.endpoint for attempt in host.sent[-40:]}
    host.serve(60)
    assert u in {attempt.endpoint for attempt in host.sent[-20:]}


def test_a_silent_endpoint_gets_nothing(host):
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


def test_a_sidecar_that_saw_only_full_endpoints_tries_again(host):
    for _ in range(8):
        for attempt in host.of(host.take()):
            host.later(0.1)
            host.end(attempt, report={"held": 50.0})
    host.later(0.5)
    assert host.of(host.take()) and host.answers(host.take()) == ["deferred"]


def test_a_fault_common_to_all_ejects_nobody(host):
    for i in range(60):
        attempt = host.of(host.take(BUY))[0]
        host.later(0.05)
        host.end(attempt, AttemptOutcome.ERROR if i % 5 else AttemptOutcome.SUCCESS)
    host.serve(40)
    assert len({attempt.endpoint for attempt in host.sent[-40:]}) == 4


def test_an_endpoint_that_refuses_connections_still_serves_over_open_ones(make_host):
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


def test_faults_that_all_endpoints_have_alike_keep_no_request_from_them(make_host):
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


def test_after_an_outage_of_all_endpoints_requests_succeed_again(host):
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


def test_a_preferred_cell_that_fails_is_left_for_the_others(make_host):
    host = host_with_cells(make_host)
    home = cell_of(host, "race/7")
    for key in ["race/7", *KEYS[:20]] * 8:
        for attempt in host.of(host.take(key=key)):
            host.later(0.01)
            host.end(
                attempt,
                AttemptOutcome.ERROR if attempt.endpoint.entry.cell == home else AttemptOutcome.SUCCESS,
            )
    assert {cell_of(host, "race/7") for _ in range(4)} - {home}


@pytest.mark.parametrize(("sidecars", "part"), [(1, 1 / 4), (64, 1 / 12)])
def test_where_half_of_the_endpoints_are_gone_few_attempts_are_on_probation(make_host, sidecars, part):
    host = make_host(upstreams=40, sidecars=sidecars, gossip_allowed=True)
    host.serve(60, took=0.01)
    gone = set(list(host.runner.balancer.endpoints.by_id.values())[:20])
    refused = 0
    for i in range(400):
        request = host.take()
        host.later(0.04)
        while attempt := next((attempt for attempt in host.of(request) if attempt.pending), None):
            refused += attempt.endpoint in gone and i >= 100
            host.end(
                attempt, AttemptOutcome.CONNECT_FAILED if attempt.endpoint in gone else AttemptOutcome.SUCCESS
            )
    assert refused < 300 * part


def test_endpoints_that_are_back_are_used_again_at_once(make_host):
    host = make_host(upstreams=20)
    host.serve(60, took=0.01)
    for _ in range(40):
        request = host.take()
        while attempt := next((attempt for attempt in host.of(request) if attempt.pending), None):
            host.end(attempt, AttemptOutcome.CONNECT_FAILED)
    host.later(3.0)
    host.serve(100, took=0.01)
    assert len({attempt.endpoint for attempt in host.sent[-40:]}) > 12


def test_attempts_unanswered_by_a_former_process_are_not_held_against_the_new_one(make_host):
    host = make_host(upstreams=1, **GOSSIP_SETTINGS)
    host.serve(40, took=0.01)
    old = host.of(host.take(BUY))[0]
    host.later(0.8)
    u = old.endpoint
    assert not host.of(host.take(BUY))  # silent
    host.listed(WatchEvent.DELTA, "u0", started=host.runner.now)
    host.later(0.02)
    host.end(old, AttemptOutcome.TIMED_OUT)
    assert host.of(host.take(BUY)) and u.consecutive_failures == 0
    assert u.gossip_tag.to_bytes(2, "big") + bytes([UNANSWERED]) not in b"".join(host.told)


def test_an_endpoint_that_reports_errors_is_ejected_at_the_first(make_host):
    host = make_host(upstreams=2, **SUBSET_SETTINGS)
    attempt = host.of(host.take())[0]
    host.end(attempt, AttemptOutcome.ERROR, {"failing": 4.0, "served": 9.0})
    assert not host.runner.balancer.outliers.admits(attempt.endpoint, attempt.request)
    other = make_host(upstreams=2, **SUBSET_SETTINGS)
    attempt = other.of(other.take())[0]
    other.end(attempt, AttemptOutcome.ERROR, {"failing": 0.1, "served": 9.0})
    assert other.runner.balancer.outliers.admits(attempt.endpoint, attempt.request)
