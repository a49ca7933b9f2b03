"""Tests of ejection, probation and the return of endpoints."""

import pytest
from decision_host import (
    BUY,
    GOSSIP_SETTINGS,
    KEYS,
    SUBSET_SETTINGS,
    AnswerKind,
    FakeHost,
    MakeHost,
    cell_of,
    host_with_cells,
)

from starlingwheel.decisions.endpoint_stats import EndpointStats
from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.gossip import UNANSWERED
from starlingwheel.decisions.model import AttemptOutcome


def fail(host: FakeHost, endpoint_id: str, times: int = 2) -> EndpointStats:
    """Fail `times` requests at one endpoint, or fewer if it is ejected before; return the endpoint.

    All other requests succeed.
    """
    host.serve(40)
    endpoint = host.scheduler.balancer.endpoints.by_id[endpoint_id]
    while times and endpoint.ejected_until <= host.scheduler.now:
        for attempt in [host.attempts_of(host.submit())[0] for _ in range(4)]:
            bad = attempt.endpoint is endpoint and times
            host.end_attempt(attempt, AttemptOutcome.ERROR if bad else AttemptOutcome.SUCCESS)
            times -= bool(bad)
    for attempt in [attempt for attempt in host.attempts if attempt.pending]:
        host.end_attempt(attempt)
    return endpoint


def test_consecutive_errors_eject_an_endpoint(host: FakeHost) -> None:
    """No further request goes there while it is ejected."""
    endpoint = fail(host, "u0")
    before = len(host.attempts)
    host.serve(8)
    assert endpoint not in {attempt.endpoint for attempt in host.attempts[before:]}


def test_an_ejected_endpoint_returns_through_a_probation_without_non_idempotent_requests(
    host: FakeHost,
) -> None:
    """Non-idempotent requests could not be retried if the endpoint still fails."""
    endpoint = fail(host, "u0")
    host.advance(1.5)
    host.serve(40, duration=0.01, request_class=BUY)
    assert endpoint not in {attempt.endpoint for attempt in host.attempts[-40:]}
    host.serve(60)
    assert endpoint in {attempt.endpoint for attempt in host.attempts[-20:]}


def test_an_unresponsive_endpoint_gets_no_further_requests(host: FakeHost) -> None:
    """Attempts without a response have no outcome that could be counted as a failure."""
    host.serve(40)
    endpoint = host.scheduler.balancer.endpoints.by_id["u0"]
    hung = []
    for _ in range(40):
        attempt = host.attempts_of(host.submit())[0]
        host.advance(0.1)
        if attempt.endpoint is endpoint:
            hung.append(attempt)
        else:
            host.end_attempt(attempt)
    assert 0 < len(hung) < 6


def test_a_sidecar_that_has_seen_only_full_endpoints_tries_again(host: FakeHost) -> None:
    """A sidecar that rejected everything would get no new load report."""
    for _ in range(8):
        for attempt in host.attempts_of(host.submit()):
            host.advance(0.1)
            host.end_attempt(attempt, load_report={"held": 50.0})
    host.advance(0.5)
    assert host.attempts_of(host.submit()) and host.answers_to(host.submit()) == [AnswerKind.REJECTED]


def test_a_fault_common_to_all_endpoints_ejects_none(host: FakeHost) -> None:
    """Ejecting all endpoints would turn many errors into a complete outage."""
    for i in range(60):
        attempt = host.attempts_of(host.submit(BUY))[0]
        host.advance(0.05)
        host.end_attempt(attempt, AttemptOutcome.ERROR if i % 5 else AttemptOutcome.SUCCESS)
    host.serve(40)
    assert len({attempt.endpoint for attempt in host.attempts[-40:]}) == 4


def test_an_endpoint_that_refuses_connections_still_serves_over_open_ones(make_host: MakeHost) -> None:
    """The endpoint gets a request while an idle connection to it is left, and none beyond that."""
    host = make_host(endpoints=1, idle_timeout=5.0)
    host.serve(20)
    served, refused, refused_again = [host.submit(BUY) for _ in range(3)]
    for request in (refused, refused_again):  # at this failure rate a single one may be chance
        host.end_attempt(host.attempts_of(request)[0], AttemptOutcome.CONNECT_FAILED)
    host.end_attempt(host.attempts_of(served)[0])
    after = host.submit(BUY)
    assert host.answers_to(refused) == [AnswerKind.REJECTED] and host.attempts_of(after)
    without_connection = host.submit(BUY)
    assert host.answers_to(without_connection) == [AnswerKind.REJECTED] and not host.attempts_of(
        without_connection
    )


def test_faults_that_all_endpoints_share_keep_no_request_away_from_them(make_host: MakeHost) -> None:
    """Suspicion and ejection for chance failures would leave too few endpoints."""
    host = make_host(endpoints=8, gossip_allowed=True)
    balancer = host.scheduler.balancer
    max_avoided = 0
    host.serve(400, duration=0.002)
    for i in range(2400):  # so many that two consecutive failures occur by chance
        request = host.submit()
        host.advance(0.004)
        host.end_attempt(
            host.attempts_of(request)[0],
            AttemptOutcome.RESET if i % 16 == 0 or i % 80 == 1 else AttemptOutcome.SUCCESS,
        )
        for retry in host.attempts_of(request)[1:]:
            host.end_attempt(retry)
        if i > 1400:  # the failure rate has been learned by then
            known = list(balancer.endpoints.by_id.values())
            max_avoided = max(
                max_avoided,
                len(
                    [
                        endpoint
                        for endpoint in known
                        if endpoint.probation_limit < float("inf") or balancer.outliers.is_suspected(endpoint)
                    ]
                ),
            )
    assert max_avoided <= 2


def test_after_an_outage_of_all_endpoints_requests_succeed_again(host: FakeHost) -> None:
    """The budget of probation must not be used up for good during the outage."""

    def succeeds(outcome: AttemptOutcome) -> bool:
        request = host.submit()
        while pending := [attempt for attempt in host.attempts_of(request) if attempt.pending]:
            host.end_attempt(pending[0], outcome)
        host.advance(0.01)
        return host.answers_to(request) == [AnswerKind.SUCCEEDED]

    host.serve(40)
    for _ in range(200):
        succeeds(AttemptOutcome.ERROR)
    host.advance(4.0)  # twice the longest ejection time
    finished = [succeeds(AttemptOutcome.SUCCESS) for _ in range(500)]
    assert sum(finished) > 400 and all(finished[-100:])


def test_requests_leave_a_preferred_cell_that_fails(make_host: MakeHost) -> None:
    """The preference for a cell must not override the ejection of its endpoints."""
    host = host_with_cells(make_host)
    home = cell_of(host, "race/7")
    for key in ["race/7", *KEYS[:20]] * 8:
        for attempt in host.attempts_of(host.submit(key=key)):
            host.advance(0.01)
            host.end_attempt(
                attempt,
                AttemptOutcome.ERROR if attempt.endpoint.entry.cell == home else AttemptOutcome.SUCCESS,
            )
    assert {cell_of(host, "race/7") for _ in range(4)} - {home}


@pytest.mark.parametrize(("sidecars", "part"), [(1, 1 / 4), (64, 1 / 12)])
def test_few_attempts_are_on_probation_while_half_of_the_endpoints_are_gone(
    make_host: MakeHost, sidecars: int, part: float
) -> None:
    """With gossip, many sidecars share the budget of attempts that may fail."""
    host = make_host(endpoints=40, sidecars=sidecars, gossip_allowed=True)
    host.serve(60, duration=0.01)
    gone = set(list(host.scheduler.balancer.endpoints.by_id.values())[:20])
    refused = 0
    for i in range(400):
        request = host.submit()
        host.advance(0.04)
        while attempt := next((attempt for attempt in host.attempts_of(request) if attempt.pending), None):
            refused += attempt.endpoint in gone and i >= 100
            host.end_attempt(
                attempt, AttemptOutcome.CONNECT_FAILED if attempt.endpoint in gone else AttemptOutcome.SUCCESS
            )
    assert refused < 300 * part


def test_recovered_endpoints_are_used_again_at_once(make_host: MakeHost) -> None:
    """A budget spent during the outage must not delay their return."""
    host = make_host(endpoints=20)
    host.serve(60, duration=0.01)
    for _ in range(40):
        request = host.submit()
        while attempt := next((attempt for attempt in host.attempts_of(request) if attempt.pending), None):
            host.end_attempt(attempt, AttemptOutcome.CONNECT_FAILED)
    host.advance(3.0)
    host.serve(100, duration=0.01)
    assert len({attempt.endpoint for attempt in host.attempts[-40:]}) > 12


def test_attempts_unanswered_by_an_earlier_process_do_not_count_against_the_new_one(
    make_host: MakeHost,
) -> None:
    """A restarted endpoint would otherwise start as unresponsive."""
    host = make_host(endpoints=1, **GOSSIP_SETTINGS)
    host.serve(40, duration=0.01)
    old = host.attempts_of(host.submit(BUY))[0]
    host.advance(0.8)
    endpoint = old.endpoint
    assert not host.attempts_of(host.submit(BUY))  # the endpoint is unresponsive
    host.list_endpoints(WatchEvent.DELTA, "u0", started=host.scheduler.now)
    host.advance(0.02)
    host.end_attempt(old, AttemptOutcome.TIMED_OUT)
    assert host.attempts_of(host.submit(BUY)) and endpoint.consecutive_failures == 0
    assert endpoint.gossip_tag.to_bytes(2, "big") + bytes([UNANSWERED]) not in b"".join(host.gossip_sent)


def test_an_endpoint_that_reports_many_failures_is_ejected_at_the_first_error(make_host: MakeHost) -> None:
    """A sidecar with little traffic would need long to see two errors in a row."""
    host = make_host(endpoints=2, **SUBSET_SETTINGS)
    attempt = host.attempts_of(host.submit())[0]
    host.end_attempt(attempt, AttemptOutcome.ERROR, {"failing": 4.0, "served": 9.0})
    assert not host.scheduler.balancer.outliers.admits(attempt.endpoint, attempt.request)
    other = make_host(endpoints=2, **SUBSET_SETTINGS)
    attempt = other.attempts_of(other.submit())[0]
    other.end_attempt(attempt, AttemptOutcome.ERROR, {"failing": 0.1, "served": 9.0})
    assert other.scheduler.balancer.outliers.admits(attempt.endpoint, attempt.request)
