"""The ids of requests that may have run, and the log that the processes of a sidecar share."""

import errno
import itertools
import os
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import SETTINGS, SidecarHarness, request_class_settings

from starlingwheel.net.lifecycle import stats
from starlingwheel.net.state import executed_ids
from starlingwheel.net.state.executed_ids import IDS_FILE, MAX_IDS, MAX_LOG_SIZE, ExecutedIds

UNSAFE = ["buy", "move"]


def test_an_id_is_claimed_once_and_again_after_its_release() -> None:
    """Without a log, too."""
    ids = ExecutedIds(None)
    assert ids.claim(b"a") and not ids.claim(b"a") and ids.claim(b"b")
    ids.release(b"a")
    assert ids.claim(b"a") and not ids.claim(b"b")
    ids.release(b"never claimed")


def test_the_ids_that_are_remembered_are_limited_to_the_latest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Memory does not grow with the number of requests."""
    monkeypatch.setattr(executed_ids, "MAX_IDS", 100)
    ids = ExecutedIds(None)
    assert all(ids.claim(b"%d" % i) for i in range(150))
    assert len(ids) == 100 and not ids.claim(b"50") and ids.claim(b"49")


@pytest.mark.parametrize("order", list(itertools.product([0, 1], repeat=4)))
def test_of_the_processes_that_share_a_log_one_claims_an_id(tmp_path: Path, order: tuple[int, ...]) -> None:
    """In each order of their calls, also for a process that starts later."""
    ids = [ExecutedIds(str(tmp_path)), ExecutedIds(str(tmp_path))]
    claimed = [ids[process].claim(b"a") for process in order]
    assert claimed == [True, False, False, False]
    assert not ExecutedIds(str(tmp_path)).claim(b"a")
    ids[order[0]].release(b"a")
    assert ids[1 - order[0]].claim(b"a") and not ids[order[0]].claim(b"a")


def test_a_log_that_is_written_anew_keeps_what_is_remembered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It would grow without end, and another process may have read the former one."""
    monkeypatch.setattr(executed_ids, "MAX_IDS", 10)
    monkeypatch.setattr(executed_ids, "MAX_LOG_SIZE", 400)
    first, second = ExecutedIds(str(tmp_path)), ExecutedIds(str(tmp_path))
    assert all(first.claim(b"%d" % i) for i in range(60))
    assert second.claim(b"x")
    first.compact()
    assert (tmp_path / IDS_FILE).stat().st_size == 80
    assert not second.claim(b"59") and not first.claim(b"x") and not second.claim(b"x")
    assert MAX_LOG_SIZE > MAX_IDS * 8


def test_a_record_that_is_written_while_the_log_is_written_anew_is_not_missed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new process starts in the moment between the look at the others and the first byte."""
    monkeypatch.setattr(executed_ids, "MAX_LOG_SIZE", 400)
    first = ExecutedIds(str(tmp_path))
    assert all(first.claim(b"%d" % i) for i in range(60))
    second = ExecutedIds(str(tmp_path))
    truncate = os.ftruncate

    def truncate_and_claim(descriptor: int, length: int) -> None:
        truncate(descriptor, length)
        assert second.claim(b"x")

    monkeypatch.setattr(os, "ftruncate", truncate_and_claim)
    first.compact()
    assert not first.claim(b"x") and not second.claim(b"59") and not first.claim(b"59")


def test_a_log_that_can_not_be_written_does_not_end_the_service(
    harness: SidecarHarness, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The ids are then kept by this process alone."""
    context = harness.context
    context.request_ids.share(str(tmp_path))
    assert context.request_ids.claim(b"a")

    def fail(ids: ExecutedIds, record: int) -> int:
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(ExecutedIds, "_append", fail)
    assert (
        context.request_ids.claim(b"b")
        and not context.request_ids.claim(b"a")
        and not context.request_ids.claim(b"b")
    )
    assert harness.log_lines("ids.failed")
    context.request_ids.share(str(tmp_path / "missing"))
    assert len(harness.log_lines("ids.failed")) == 2


def test_the_log_stays_short_where_operators_can_not_call(
    make_harness: Callable[..., SidecarHarness], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was written anew by the actor of admin calls only, and counts as memory."""
    monkeypatch.setattr(executed_ids, "MAX_IDS", 10)
    monkeypatch.setattr(executed_ids, "MAX_LOG_SIZE", 400)
    monkeypatch.setattr(stats, "STATS_INTERVAL", 0.05)
    harness = make_harness()
    harness.context.request_ids.share(str(tmp_path))
    assert all(harness.context.request_ids.claim(b"%d" % i) for i in range(100))
    harness.wait_until(lambda: (tmp_path / IDS_FILE).stat().st_size <= 400)


@pytest.fixture
def quiet_harness(make_harness: Callable[..., SidecarHarness]) -> SidecarHarness:
    """Return a harness without health checks and hedges."""
    caps = SETTINGS["caps"] | {"probing": False, "mayDuplicate": False, "mostHandOffs": 1}
    return make_harness(settings={"caps": caps, "categories": request_class_settings(500_000)})


def run_and_leave(harness: SidecarHarness, category: str) -> socket.socket:
    """Have an endpoint get a request whose client then leaves; return the endpoint's connection."""
    client = harness.send_request(category, x_trace_id="t1")
    upstream = harness.accept()
    harness.read_request(upstream)
    client.close()
    harness.wait_until(lambda: not harness.context.coordinator.pending_requests)
    return upstream


@pytest.mark.parametrize("category", UNSAFE)
def test_the_id_of_a_request_that_was_sent_is_not_accepted_again(
    quiet_harness: SidecarHarness, category: str
) -> None:
    """Whether its client has left or has been answered; 409 promises nothing."""
    run_and_leave(quiet_harness, category)
    client = quiet_harness.send_request(category, x_trace_id="t1")
    assert quiet_harness.read_status(client) == 409
    quiet_harness.assert_no_connection()


@pytest.mark.parametrize("category", UNSAFE)
def test_the_id_of_a_request_that_was_rejected_is_accepted_again(
    quiet_harness: SidecarHarness, category: str
) -> None:
    """429 and 503 promise that it may be sent again."""
    client = quiet_harness.send_request(category, x_trace_id="t1")
    quiet_harness.serve(status=503, extra="X-Never-Ran: 1\r\nConnection: close\r\n")
    assert quiet_harness.read_status(client) == 503
    client = quiet_harness.send_request(category, x_trace_id="t1")
    quiet_harness.serve()
    assert quiet_harness.read_status(client) == 200


@pytest.mark.parametrize("category", UNSAFE)
def test_the_id_of_a_request_that_no_endpoint_got_is_accepted_again(
    quiet_harness: SidecarHarness, category: str
) -> None:
    """Its client left while the connection to the endpoint was coming up."""
    client = quiet_harness.connect_client()
    client.sendall(quiet_harness.request_bytes(category, x_trace_id="t1"))
    while not quiet_harness.context.connections.endpoint_connections:
        quiet_harness.context.loop.run_once(0)
    client.close()
    quiet_harness.wait_until(lambda: not quiet_harness.context.coordinator.pending_requests)
    client = quiet_harness.send_request(category, x_trace_id="t1")
    answered = quiet_harness.wait_until(quiet_harness.accept_any)[1]
    while (request := quiet_harness.read_request(answered)) is None:
        answered = quiet_harness.wait_until(quiet_harness.accept_any)[1]
    assert request
    quiet_harness.send_response(answered)
    assert quiet_harness.read_status(client) == 200


def test_the_id_of_an_idempotent_request_may_run_again(quiet_harness: SidecarHarness) -> None:
    """A repeat has no further effect."""
    run_and_leave(quiet_harness, "look")
    client = quiet_harness.send_request(x_trace_id="t1")
    quiet_harness.serve()
    assert quiet_harness.read_status(client) == 200
