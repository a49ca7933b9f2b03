"""Responses of which the head has come, and the rest has not: what the sidecar does by the head alone."""

import math
import socket
import time
from collections.abc import Callable

import pytest
from conftest import SETTINGS, SidecarHarness, request_class_settings
from test_response_attribution import answer_first_request, note_varied_responses

from starlingwheel.net.http import response_attribution, upstream_response
from starlingwheel.net.http.response_attribution import COMPARED_PREFIX
from starlingwheel.net.state import connections as connections_module

OBJECTIVE = 0.2  # seconds; the classes' timeout is twice that, as is the time that clients wait
LATE = 0.3  # seconds after which a body comes, after the objective and before the deadline
LONG = 100_000  # bytes of a body that is relayed
CATEGORIES = ["look", "move", "buy"]
UNKNOWN_LENGTH = ["Transfer-Encoding: chunked", "Connection: close"]


@pytest.fixture
def make_quick_harness(make_harness: Callable[..., SidecarHarness]) -> Callable[..., SidecarHarness]:
    """Return a function that makes a harness with short objectives, without hedges and health checks."""

    def make(upstreams: int = 1, objective: float = OBJECTIVE, **caps: object) -> SidecarHarness:
        caps = SETTINGS["caps"] | {"probing": False, "mayDuplicate": False} | caps
        categories = request_class_settings(int(objective * 1e6))
        return make_harness(upstreams=upstreams, settings={"categories": categories, "caps": caps})

    return make


@pytest.fixture
def harness(make_quick_harness: Callable[..., SidecarHarness]) -> SidecarHarness:
    """Return a harness with one endpoint."""
    return make_quick_harness()


def send_head(upstream: socket.socket, *lines: str, status: int = 200) -> None:
    """Write the head of a response."""
    upstream.sendall("\r\n".join([f"HTTP/1.1 {status} x", *lines, "", ""]).encode())


def begin(
    harness: SidecarHarness, category: str, *lines: str, status: int = 200
) -> tuple[socket.socket, socket.socket]:
    """Send a request whose endpoint sends the head of its response; return client and endpoint sockets."""
    client = harness.send_request(category, x_expires_in_ms=str(int(2000 * OBJECTIVE)))
    upstream = harness.accept()
    harness.read_request(upstream)
    send_head(upstream, *lines, status=status)
    return client, upstream


def rest_of(harness: SidecarHarness, sock: socket.socket) -> bytes:
    """Return what comes on a connection until its end."""
    received = b""
    while (data := harness.wait_until(lambda: harness.read(sock))) != b"end":
        received += data
    return received


@pytest.mark.parametrize("category", CATEGORIES)
def test_a_short_response_that_hangs_after_its_head_is_answered_at_the_deadline(
    harness: SidecarHarness, category: str
) -> None:
    """It is awaited past the objective, and the client is not kept waiting past its own time."""
    sent_at = time.monotonic()
    client, upstream = begin(harness, category, "Content-Length: 9")
    assert harness.read_status(client) == (504 if category == "buy" else 503)
    assert 2 * OBJECTIVE - 0.05 < time.monotonic() - sent_at < 2 * OBJECTIVE + 0.2
    assert rest_of(harness, upstream) == b""
    assert harness.log_lines("upstream.end")[0]["status"] == 200


@pytest.mark.parametrize("head", [*UNKNOWN_LENGTH, f"Content-Length: {LONG}"])
def test_the_head_of_a_response_that_may_be_long_reaches_its_client_in_time(
    harness: SidecarHarness, head: str
) -> None:
    """The first bytes of a long response are timed, and its body may come long after that time."""
    client, upstream = begin(harness, "buy", head)
    harness.run_for(2.5 * OBJECTIVE)
    first = harness.wait_until(lambda: harness.read(client))
    assert first.startswith(b"HTTP/1.1 200") and first.endswith(b"\r\n\r\n")
    stats = harness.context.coordinator.scheduler.balancer.endpoints.by_id["s0"]
    assert stats.latest_finished_start == -math.inf, "a response without any of its body is no success yet"
    assert not stats.in_flight, "a response that is being passed on keeps no request from being admitted"
    body = b"x" * LONG
    framed = b"%x\r\n%s\r\n0\r\n\r\n" % (LONG, body) if "chunked" in head else body
    upstream.settimeout(5)
    upstream.sendall(framed[:1000])
    harness.wait_until(lambda: stats.latest_finished_start > -math.inf)
    sent = 1000
    while sent < len(framed):
        sent += upstream.send(framed[sent : sent + 20_000])
        harness.run_for(0.01)
    if "close" in head:
        upstream.close()
    received = b""
    while received.count(b"x") < LONG:
        received += harness.wait_until(lambda: harness.read(client))


@pytest.mark.parametrize("head", [*UNKNOWN_LENGTH, f"Content-Length: {LONG}"])
@pytest.mark.parametrize("category", CATEGORIES)
def test_a_client_can_tell_at_once_that_a_response_broke_off_after_its_head(
    harness: SidecarHarness, category: str, head: str
) -> None:
    """A response that has begun and can't be finished is not lost if the client can tell."""
    client, upstream = begin(harness, category, head)
    assert harness.wait_until(lambda: harness.read(client)).startswith(b"HTTP/1.1 200")
    broken_at = time.monotonic()
    harness.reset(upstream)
    harness.wait_until(lambda: not harness.context.connections.clients)
    with pytest.raises(ConnectionResetError):
        client.recv(10)
    assert time.monotonic() < broken_at + 0.2
    assert harness.context.gate.violations == 0


def test_a_response_that_hangs_after_its_head_ends_and_its_endpoint_has_not_succeeded(
    harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An endpoint that sends heads alone would look like the quickest of all."""
    monkeypatch.setattr(upstream_response, "RELAY_STALL_TIMEOUT", 0.3)
    stats = harness.context.coordinator.scheduler.balancer.endpoints.by_id["s0"]
    client, _ = begin(harness, "buy", "Transfer-Encoding: chunked")
    assert harness.wait_until(lambda: harness.read(client)).startswith(b"HTTP/1.1 200")
    harness.wait_until(lambda: harness.log_lines("upstream.end"))
    line = harness.log_lines("upstream.end")[0]
    assert (line["reason"], line["status"], line["body_bytes"]) == ("silent", 200, 0)
    harness.wait_until(lambda: stats.consecutive_failures == 1)


@pytest.mark.parametrize("late_body", ["Content-Length: 9", f"Content-Length: {LONG}", *UNKNOWN_LENGTH])
@pytest.mark.parametrize("category", CATEGORIES)
def test_a_rejection_whose_body_is_late_is_followed_by_a_retry_at_once(
    make_quick_harness: Callable[..., SidecarHarness], category: str, late_body: str
) -> None:
    """It says that the request has not run, and nothing of its body is wanted."""
    harness = make_quick_harness(upstreams=2)
    client = harness.send_request(category, x_expires_in_ms=str(int(2000 * OBJECTIVE)))
    i, upstream = harness.wait_until(harness.accept_any)
    harness.read_request(upstream)
    rejected_at = time.monotonic()
    send_head(upstream, "X-Never-Ran: 1", late_body, status=503)
    harness.serve(1 - i)
    assert harness.read_status(client) == 200
    assert time.monotonic() < rejected_at + OBJECTIVE / 2


def test_an_error_whose_body_is_late_is_answered_at_once(harness: SidecarHarness) -> None:
    """The status decides; waiting for the body only delays the client."""
    sent_at = time.monotonic()
    client, upstream = begin(harness, "buy", "Content-Length: 9", status=500)
    assert harness.read_status(client) == 504
    assert time.monotonic() < sent_at + OBJECTIVE / 2
    upstream.sendall(b"123456789")
    harness.wait_until(harness.context.connections.longest_idle)


def test_a_health_check_whose_body_is_late_ends_at_its_own_deadline(
    make_quick_harness: Callable[..., SidecarHarness],
) -> None:
    """It has no client whose time it could take."""
    harness = make_quick_harness(probing=True, peers=False)
    harness.send_request()
    upstream = harness.accept()
    assert harness.read_request(upstream)[0].target == b"/health"
    send_head(upstream, "Content-Length: 9")
    begun_at = time.monotonic()
    assert rest_of(harness, upstream) == b""
    assert time.monotonic() < begun_at + OBJECTIVE


@pytest.fixture
def restless_harness(
    make_quick_harness: Callable[..., SidecarHarness], monkeypatch: pytest.MonkeyPatch
) -> SidecarHarness:
    """Return a harness whose connections never rest: only content tells a response from a copy."""
    monkeypatch.setattr(response_attribution, "MIN_REST", 60.0)
    monkeypatch.setattr(response_attribution, "MAX_REST", 60.0)
    harness = make_quick_harness(objective=1.0)
    for category in CATEGORIES:
        note_varied_responses(harness, category)
    return harness


def chunk(data: bytes) -> bytes:
    """Return one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize("length", [3, COMPARED_PREFIX + 1, LONG])
@pytest.mark.parametrize("is_copy", [True, False])
def test_no_byte_of_a_body_is_passed_on_while_it_may_be_that_of_a_copy(
    restless_harness: SidecarHarness, length: int, is_copy: bool
) -> None:
    """The head may be passed on in time; a sound response goes on, and a copy leaves an incomplete one."""
    harness = restless_harness
    body = b"1" * length

    def answer(content: bytes) -> bytes:
        return b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(content) + b"0\r\n\r\n"

    client, upstream, first = answer_first_request(harness, "look", answer(body))
    assert first == body
    client.sendall(harness.request_bytes("look", x_trace_id="t2"))
    harness.read_request(upstream)
    second = answer(body if is_copy else b"1" * (length - 1) + b"2" if length < 9 else b"2" * length)
    head_end = second.index(b"\r\n\r\n") + 4
    upstream.sendall(second[:head_end])
    assert harness.wait_until(lambda: harness.read(client)).endswith(b"\r\n\r\n")
    received = b""
    for start in range(head_end, len(second), 5000):
        upstream.sendall(second[start : start + 5000])
        harness.run_for(0.002)
        if (data := harness.read(client)) not in (None, b"end"):
            received += data
        if is_copy and harness.log_lines("upstream.end"):
            break
    if is_copy:
        assert received == b"" and rest_of(harness, client) == b""
        assert harness.log_lines("upstream.end")[0]["reason"] == "repeated-answer"
    else:
        while not received.endswith(b"0\r\n\r\n"):
            received += harness.wait_until(lambda: harness.read(client))


@pytest.mark.parametrize("spare", [12, 5])
def test_a_response_that_may_be_a_copy_is_not_passed_on_because_buffers_are_short(
    restless_harness: SidecarHarness, spare: int
) -> None:
    """Its body could not follow, so that would free nothing and give its status away."""
    harness = restless_harness
    body = b"1" * 60_000
    head = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
    client, upstream, _ = answer_first_request(harness, "look", head + chunk(body) + b"0\r\n\r\n")
    pool = harness.context.buffer_pool
    taken = [pool.acquire() for _ in range(pool.available - spare)]
    client.sendall(harness.request_bytes("look", x_trace_id="t2"))
    harness.read_request(upstream)
    upstream.sendall(head + chunk(body[:300]))
    harness.run_for(0.2)
    assert pool.shortage > 0 and not harness.log_lines("response.begun")
    upstream.sendall(chunk(b"2" * 300))
    harness.wait_until(lambda: harness.log_lines("response.begun"))
    for buffer in taken:
        pool.release(buffer)


@pytest.mark.parametrize("sockets", [96, 192])
def test_stalled_responses_make_room_for_others(
    make_harness: Callable[..., SidecarHarness], monkeypatch: pytest.MonkeyPatch, sockets: int
) -> None:
    """Each takes a descriptor of a client and one of an endpoint, and its client's own time is over.

    With the lower limit the descriptors for endpoints run short first, else those for clients.
    """
    monkeypatch.setattr(connections_module, "STALLED_AFTER", OBJECTIVE)
    caps = SETTINGS["caps"] | {"probing": False, "mayDuplicate": False}
    settings = {"caps": caps, "categories": request_class_settings(int(OBJECTIVE * 1e6))}
    harness = make_harness(upstreams=8, limits={"sockets": sockets}, settings=settings)
    connections = harness.context.connections
    capacity = min(connections.client_limit, connections.endpoint_limit)
    while len(connections.clients) < capacity:
        for _ in range(4):
            harness.send_request("buy", x_expires_in_ms=str(int(2000 * OBJECTIVE)))
        for _ in range(4):
            upstream = harness.wait_until(harness.accept_any)[1]
            harness.read_request(upstream)
            send_head(upstream, "Transfer-Encoding: chunked")
        harness.run_for(OBJECTIVE * 0.6)
    harness.wait_until(lambda: len(connections.waiting_responses) == capacity)
    harness.run_for(2 * OBJECTIVE)
    for _ in range(4):
        harness.send_request("look")
    harness.wait_until(lambda: len(connections.waiting_responses) <= capacity - 4)
    harness.wait_until(lambda: harness.log_lines("upstream.end"))
    assert {line["reason"] for line in harness.log_lines("upstream.end")} == {"silent"}


def test_a_response_that_comes_slowly_is_not_broken_off_to_make_room(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """It waits for its next byte at nearly any time, also after its client's time."""
    settings = {"categories": request_class_settings(int(OBJECTIVE * 1e6))}
    harness = make_harness(limits={"sockets": 96}, settings=settings)
    client, upstream = begin(harness, "buy", "Connection: close")
    for _ in range(harness.context.connections.client_limit + 4):
        upstream.sendall(b"x")
        harness.connect_client()
        harness.run_for(0.03)
    upstream.close()
    assert rest_of(harness, client).endswith(b"0\r\n\r\n")
