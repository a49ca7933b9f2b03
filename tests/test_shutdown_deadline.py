"""Every request gets its final response before a stopped process may be killed.

A planned restart sends SIGTERM, and SIGKILL once the longest timeout and `KILL_DELAY` have passed. A request
whose last byte comes late has its own deadline after that.
"""

import contextlib
import os
import signal
import socket
import time
from collections.abc import Callable

import pytest
from conftest import SETTINGS, SidecarHarness, request_class_settings

from starlingwheel.net.lifecycle.shutdown import KILL_DELAY, MAX_STOP_TIMEOUT
from starlingwheel.net.messages import STOP
from starlingwheel.net.state.buffers import MAX_BUFFERED_BODY

pytestmark = pytest.mark.usefixtures("rare_garbage_collections")

MakeHarness = Callable[..., SidecarHarness]

OBJECTIVE = 0.25  # seconds; the classes' timeout is twice that
PIECE = 4096  # bytes; the client sends one at a time
PIECE_INTERVAL = 0.01  # seconds
BUFFERED, STREAMED = MAX_BUFFERED_BODY // 2, MAX_BUFFERED_BODY * 5 // 4  # bytes
LONG = 40 * MAX_BUFFERED_BODY  # bytes; more than a client sends before the kill


@pytest.fixture
def make_quick_harness(make_harness: MakeHarness) -> Callable[[float], SidecarHarness]:
    """Return a function that makes a harness, without health checks and hedges, by its latency objective."""
    caps = SETTINGS["caps"] | {"probing": False, "mayDuplicate": False}

    def make(objective: float) -> SidecarHarness:
        categories = request_class_settings(int(objective * 1e6))
        return make_harness(settings={"categories": categories, "caps": caps})

    return make


@pytest.fixture
def harness(make_quick_harness: Callable[[float], SidecarHarness]) -> SidecarHarness:
    """Return a harness whose classes have a short timeout."""
    return make_quick_harness(OBJECTIVE)


def stop(harness: SidecarHarness, objective: float = OBJECTIVE) -> float:
    """Stop the sidecar; return the time at which it may be killed."""
    harness.context.shutdown.post(STOP)
    return time.monotonic() + 2 * objective + KILL_DELAY


def begin_upload(harness: SidecarHarness, category: str, length: int, is_chunked: bool) -> socket.socket:
    """Send the head and the first piece of a request with a body of that length."""
    framing = {"transfer_encoding": "chunked"} if is_chunked else {"content_length": str(length)}
    client = harness.connect_client()
    client.sendall(harness.request_bytes(category, **framing))
    return client


def upload_until_answered(
    harness: SidecarHarness, client: socket.socket, is_chunked: bool, until: float
) -> bytes:
    """Send a piece of a body now and then, until the response begins or the time has come."""
    client.settimeout(0)
    piece = bytes(PIECE)
    if is_chunked:
        piece = b"%x\r\n%s\r\n" % (PIECE, piece)
    while time.monotonic() < until:
        client.sendall(piece)
        harness.run_for(PIECE_INTERVAL)
        with contextlib.suppress(BlockingIOError):
            return client.recv(1 << 16)
    return b""


@pytest.mark.parametrize("is_chunked", [False, True], ids=["with a length", "chunked"])
@pytest.mark.parametrize("category", ["look", "move", "buy"])
def test_a_body_that_is_still_arriving_is_rejected_before_the_process_may_be_killed(
    harness: SidecarHarness, category: str, is_chunked: bool
) -> None:
    """It was never answered: its time began with its last byte, which came after the kill."""
    client = begin_upload(harness, category, LONG, is_chunked)
    killed_at = stop(harness)
    response = upload_until_answered(harness, client, is_chunked, killed_at)
    assert response.startswith(b"HTTP/1.1 503") and b"Retry-After" in response
    assert harness.context.gate.violations == 0
    upstream, received = harness.accept(), b""
    while (data := harness.wait_until(lambda: harness.read(upstream))) != b"end":
        received += data
    assert received.count(b"\0") < LONG and not received.endswith(b"\r\n0\r\n\r\n")


@pytest.mark.parametrize("data", ["half a head", "half a body"])
def test_a_short_request_that_is_incomplete_is_rejected_before_the_process_may_be_killed(
    harness: SidecarHarness, data: str
) -> None:
    """A client may take longer than that for its head, or for a body that is not forwarded yet."""
    killed_at = stop(harness)
    harness.run_for(KILL_DELAY / 2)
    client = harness.connect_client()
    request = harness.request_bytes("buy", bytes(MAX_BUFFERED_BODY))
    client.sendall(request[:50] if data == "half a head" else request[: len(request) // 2])
    response, _ = harness.read_message(client)
    assert time.monotonic() < killed_at
    assert response.status_code == 503 and b"retry-after" in dict(response.headers)
    harness.assert_no_connection()


@pytest.mark.parametrize(("category", "status"), [("look", 503), ("buy", 504)])
@pytest.mark.parametrize("length", [BUFFERED, STREAMED])
def test_a_request_that_is_complete_late_is_answered_before_the_process_may_be_killed(
    make_quick_harness: Callable[[float], SidecarHarness], category: str, status: int, length: int
) -> None:
    """The endpoint does not respond, and the request would be given up only after the kill."""
    objective = 0.8
    harness = make_quick_harness(objective)
    client = begin_upload(harness, category, length, is_chunked=False)
    client.sendall(bytes(length - 1))
    killed_at = stop(harness, objective)
    harness.run_for(killed_at - objective * 0.7 - time.monotonic())
    client.sendall(b"\0")
    upstream = harness.accept()
    assert harness.read_request(upstream)[1] == bytes(length)
    assert harness.read_status(client) == status
    assert time.monotonic() < killed_at


@pytest.mark.parametrize("length", [BUFFERED, STREAMED])
def test_a_request_that_an_endpoint_can_not_answer_in_time_is_not_sent(
    harness: SidecarHarness, length: int
) -> None:
    """It would run, and its client would get no response that says so."""
    harness.context.coordinator.scheduler.balancer.hedging.response_time = lambda request: OBJECTIVE
    client = begin_upload(harness, "buy", length, is_chunked=False)
    client.sendall(bytes(length - 1))
    killed_at = stop(harness)
    harness.run_for(killed_at - OBJECTIVE - time.monotonic())
    client.sendall(b"\0")
    assert harness.read_status(client) == 503
    assert time.monotonic() < killed_at
    if length > MAX_BUFFERED_BODY:
        upstream, received = harness.accept(), b""
        while (data := harness.wait_until(lambda: harness.read(upstream))) != b"end":
            received += data
        assert received.count(b"\0") < length
    harness.assert_no_connection()


def test_the_time_counts_from_the_signal_even_if_a_late_turn_handles_it(harness: SidecarHarness) -> None:
    """A turn of the loop may take long, and the process is killed no later for it."""
    loop, delay = harness.context.loop, 0.5
    signalled_at = []

    def be_signalled_and_late() -> None:
        loop.after_turn = harness.context.log.flush
        signalled_at.append(loop.now())
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(delay)

    loop.after_turn = be_signalled_and_late
    harness.wait_until(lambda: harness.context.stopping)
    assert loop.now() > signalled_at[0] + delay
    assert harness.context.answer_by < signalled_at[0] + 2 * OBJECTIVE + KILL_DELAY


@pytest.mark.parametrize(("former", "new"), [(0.2, 0.6), (0.6, 0.2), (2.0, 2.0)])
def test_of_two_configurations_the_one_with_the_shorter_timeout_limits_the_time(
    make_harness: MakeHarness, former: float, new: float
) -> None:
    """Whoever restarts the process may count with either; and with no more than `MAX_STOP_TIMEOUT`."""
    harness = make_harness(settings={"categories": request_class_settings(int(former * 1e6))})
    categories = request_class_settings(int(new * 1e6))
    harness.reconfigure(settings=harness.config["settings"] | {"categories": categories})
    harness.context.shutdown.post(STOP)
    harness.wait_until(lambda: harness.context.stopping)
    time_left = harness.context.answer_by - harness.context.loop.now()
    assert 0 < time_left < min(2 * min(former, new), MAX_STOP_TIMEOUT) + KILL_DELAY
