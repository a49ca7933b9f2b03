"""The lease of the endpoint list, and the gate that checks it right before the first byte of an attempt."""

from math import inf

import pytest
from conftest import BUY, LOOK, FakeHost, SidecarHarness
from decision_host import AnswerKind

from starlingwheel.decisions import lease as lease_module
from starlingwheel.decisions.lease import EndpointLease, LeaseState
from starlingwheel.decisions.model import Attempt, AttemptOutcome
from starlingwheel.net.gate import Refusal
from starlingwheel.net.state.requests import Exchange

GRACE = 0.5
NOTICE_DELAY = lease_module.MISSED_NOTICE_DELAY


def make_lease(pushed: bool = False, grace: float = GRACE) -> EndpointLease:
    """Return a lease that was renewed at 10 s."""
    lease = EndpointLease(grace, pushed)
    lease.start(0.0)
    lease.renew(10.0, 10.0)
    return lease


def test_without_a_source_the_lease_never_expires() -> None:
    """Before any watch has begun, the known list may be used without limit."""
    assert EndpointLease(GRACE, pushed=False).state(1e9) is LeaseState.FRESH


def test_each_line_of_a_watch_renews_the_lease() -> None:
    """Some time after the last line, the lease is in doubt."""
    lease = make_lease()
    for at in (12.0, 14.0, 16.0):
        assert lease.state(at) is LeaseState.FRESH
        lease.renew(at, at)
    assert lease.state(16.0 + lease_module.IN_DOUBT_AFTER) is LeaseState.IN_DOUBT


def test_a_silent_watch_expires_the_lease_within_the_grace_after_a_missed_notice() -> None:
    """The lease expires whether or not the silence of the watch has been detected."""
    lease = make_lease()
    # The silence has not been detected yet.
    assert lease.allows(10.0 + NOTICE_DELAY) and not lease.allows(10.0 + NOTICE_DELAY + GRACE)
    lease.note_watch_silent(13.0)
    assert lease.state(13.0) is LeaseState.IN_DOUBT
    assert lease.ends_at <= 10.0 + NOTICE_DELAY + GRACE


@pytest.mark.parametrize("reset, notice", [(False, 1.68), (True, 4.0)])
def test_the_end_of_a_watch_counts_as_a_missed_notice(reset: bool, notice: float) -> None:
    """A reset leaves more time than an end, because it tells nothing about the source."""
    lease = make_lease()
    lease.note_watch_ended(11.0, reset)
    assert lease.state(11.0) is LeaseState.IN_DOUBT
    assert not lease.allows(11.0 + notice + GRACE)
    assert lease.allows(11.0 + notice / 2)


@pytest.mark.parametrize("end", ["prove", "end_watch", "miss_source", "nothing"])
def test_a_message_that_has_begun_counts_as_a_notice(end: str) -> None:
    """Until the message is complete it limits the lease to the grace, whatever happens meanwhile."""
    lease = make_lease()
    lease.note_message_started(12.0)
    if end == "prove":
        lease.renew(12.1, 11.0)  # a message that began before it, on another watch
    elif end == "end_watch":
        lease.note_watch_ended(12.1, reset=True)
    elif end == "miss_source":
        lease.note_source_unreachable(12.1)
    assert lease.allows(12.0) and not lease.allows(12.0 + GRACE)
    lease.renew(14.0, 13.9)
    assert lease.state(14.0) is LeaseState.FRESH


def test_a_message_in_two_pieces_renews_the_lease_once_it_is_complete() -> None:
    """The lease is renewed as of the beginning of the message."""
    lease = make_lease()
    lease.note_message_started(12.0)
    lease.renew(12.2, 12.0)
    assert lease.state(12.6) is LeaseState.FRESH


def test_a_source_that_cannot_be_reached_notifies_nobody() -> None:
    """Each failed call shows that no one can have been notified meanwhile, so the lease lasts longer."""
    lease = make_lease()
    lease.note_watch_ended(11.0, reset=False)
    for at in range(11, 60, 4):
        assert lease.allows(float(at))
        lease.note_source_unreachable(float(at))
    assert not lease.allows(59.0 + NOTICE_DELAY + GRACE)


def test_where_lists_are_pushed_a_missed_notice_counts_at_once() -> None:
    """The time in which a polled list notifies does not apply to a pushed list."""
    lease = make_lease(pushed=True)
    lease.note_watch_ended(11.0, reset=False)
    assert lease.allows(11.0 + GRACE / 2) and not lease.allows(11.0 + GRACE)
    lease.note_source_unreachable(11.4)
    assert lease.allows(11.4 + GRACE / 2) and not lease.allows(11.4 + GRACE)


def test_a_former_source_stops_renewing_the_lease() -> None:
    """After a reload that names another source, the former one proves the list only for a while."""
    lease = make_lease()
    lease.begin_source_change(12.0)
    for at in (14.0, 16.0, 18.0):
        lease.renew(at, at)
    assert lease.state(14.0) is LeaseState.IN_DOUBT
    assert not lease.allows(12.0 + NOTICE_DELAY + GRACE)
    lease.complete_source_change()
    assert lease.state(18.0) is LeaseState.FRESH


@pytest.mark.parametrize("grace", [0.0, 0.05, 0.1, 0.15, 0.25, 0.5, 2.5])
def test_part_of_the_grace_is_reserved_for_delays(grace: float) -> None:
    """The reserve covers the rest of a message and a late turn of the loop."""
    lease = EndpointLease(grace, pushed=False)
    assert 0 < lease.allowance < (grace or 0.2)


# The decisions.


def test_under_an_expired_lease_requests_are_rejected_and_nothing_is_sent() -> None:
    """No attempt and no health check begins."""
    host = FakeHost(health_checks_allowed=True, load_reported=True)
    lease = host.scheduler.balancer.lease
    lease.start(0.0)
    host.scheduler.set_time(100.0)
    for category in (LOOK, BUY):
        assert host.answers_to(host.submit(category)) == [AnswerKind.REJECTED]
    assert not host.attempts and not host.health_checks


def test_under_an_expired_lease_attempts_in_flight_are_neither_hedged_nor_retried() -> None:
    """Attempts in flight are waited for, and their outcomes still count."""
    host = FakeHost()
    host.serve(60)
    lease = host.scheduler.balancer.lease
    lease.renew(host.scheduler.now, host.scheduler.now)
    idempotent, non_idempotent = host.submit(LOOK), host.submit(BUY)
    attempts = len(host.attempts)
    lease.expires_at = host.scheduler.now
    host.advance(0.5)
    assert len(host.attempts) == attempts
    host.end_attempt(host.attempts_of(idempotent)[0], AttemptOutcome.CONNECT_FAILED)
    assert host.answers_to(idempotent) == [AnswerKind.REJECTED] and len(host.attempts) == attempts
    host.end_attempt(host.attempts_of(non_idempotent)[0])
    assert host.answers_to(non_idempotent) == [AnswerKind.SUCCEEDED]


# The gate.


def test_the_gate_refuses_an_attempt_if_the_lease_expires_before_the_first_byte(
    harness: SidecarHarness,
) -> None:
    """The connection stays open, and carries a request once the lease has been renewed."""
    watch, _ = harness.accept_watch({"version": 8, "servers": []})
    harness.wait_until(lambda: harness.context.discovery.version == 8)
    client = harness.send_request("buy")
    harness.wait_until(lambda: harness.context.connections.endpoint_connections)
    # The lease expires while the connection is being established.
    harness.context.lease.expires_at = harness.context.loop.now()
    assert harness.read_status(client) == 503
    sock = harness.accept()
    assert harness.read(sock) is None
    refused = harness.context.gate.refused
    assert sum(refused.values()) == 1 and next(iter(refused)).value == "lease-expired"
    harness.send_watch_line(watch, {"version": 9, "servers": []})
    harness.wait_until(lambda: harness.context.lease.allows(harness.context.loop.now()))
    assert [line["state"] for line in harness.log_lines("lease")] == ["expired", "fresh"]
    # The connection is still open and carries the next request.
    client = harness.send_request("buy")
    harness.read_request(sock)
    harness.send_response(sock)
    assert harness.read_status(client) == 200


def test_a_message_that_breaks_off_behind_a_complete_one_counts_as_begun(harness: SidecarHarness) -> None:
    """A complete message and the beginning of the next one arrive in the same bytes."""
    watch, _ = harness.accept_watch({"version": 8, "servers": []})
    harness.wait_until(lambda: harness.context.discovery.version == 8)
    lease = harness.context.lease

    def chunk(text: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(text), text)

    watch.sendall(chunk(b'{"version": 9, '))
    harness.wait_until(lambda: lease.incomplete_since < inf)
    # The rest of that message, followed in the same bytes by the beginning of one that is not completed.
    watch.sendall(chunk(b'"servers": []}\n') + chunk(b'{"version": 10, '))
    harness.wait_until(lambda: harness.context.discovery.version == 9)
    assert lease.incomplete_since < inf
    harness.send_watch_line(watch, b'"servers": []}')
    harness.wait_until(lambda: harness.context.discovery.version == 10)
    assert lease.incomplete_since == inf


def test_the_gate_stops_a_retry_of_a_non_idempotent_request_that_may_have_run(
    harness: SidecarHarness,
) -> None:
    """The gate refuses the retry even if the decisions start it."""
    client = harness.send_request("buy")
    sock = harness.accept()
    harness.read_request(sock)
    (pending,) = harness.context.coordinator.pending_requests.values()
    (attempt,) = pending.exchanges
    retry = Attempt(attempt.request, attempt.endpoint, harness.context.loop.now())
    harness.context.coordinator.start_attempt(retry, 1.0)
    harness.assert_no_connection()
    assert harness.context.gate.violations == 1
    harness.send_response(sock)
    assert harness.read_status(client) == 200
    assert [line["what"] for line in harness.log_lines("gate.violation")]


@pytest.mark.parametrize("left, refused", [(0.3, False), (0.1, True), (-1.0, True)])
def test_a_retry_does_not_begin_after_its_deduplication_window(
    harness: SidecarHarness, left: float, refused: bool
) -> None:
    """A retry that was decided on within the window is refused if it would begin after it."""
    client = harness.send_request("move")
    sock = harness.accept()
    harness.read_request(sock)
    (pending,) = harness.context.coordinator.pending_requests.values()
    (first,) = pending.exchanges.values()
    at = harness.context.loop.now()
    harness.context.gate.now = lambda: at  # independent of how long the test takes
    harness.context.lease.expires_at = inf
    repeat = Exchange(first.endpoint, first.pool, at, inf, first.attempt, pending)
    first.started_at = at - pending.request.request_class.deduplication_window + left
    assert (harness.context.gate.refusal(first.pool.endpoint, repeat) is Refusal.WINDOW_OVER) == refused
    # The same applies once the first attempt has ended with an outcome that may have run.
    sent_at = first.started_at
    harness.send_response(sock, status=500)
    harness.wait_until(lambda: pending.may_have_run)
    assert pending.first_may_have_run_at == sent_at
    assert (harness.context.gate.refusal(first.pool.endpoint, repeat) is Refusal.WINDOW_OVER) == refused
    client.close()
