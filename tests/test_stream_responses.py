"""Responses over HTTP/2 that are long, late, or never end; the test plays the endpoint."""

import contextlib
import socket
import time
from collections.abc import Callable

import h2.errors
import h2.exceptions
import pytest
from conftest import SidecarHarness, request_class_settings
from test_streams import HTTP2_SETTINGS, Http2Upstream

from starlingwheel.net.http import http2_stream
from starlingwheel.net.state.body_stream import STREAM_WINDOW

OBJECTIVE = 0.2  # seconds; the classes' timeout is twice that, as is the time that clients wait
LONG = 300_000  # bytes of a body that is relayed
EXPIRES = str(int(2000 * OBJECTIVE))  # milliseconds

Exchange = tuple[SidecarHarness, socket.socket, Http2Upstream, int]


@pytest.fixture
def begin(make_harness: Callable[..., SidecarHarness]) -> Callable[..., Exchange]:
    """Return a function that has an endpoint send the head of a response."""

    def begin(category: str, length: int | None, status: int = 200, **headers: str) -> Exchange:
        caps = HTTP2_SETTINGS["caps"] | {"probing": False, "mayDuplicate": False, "mostHandOffs": 1}
        categories = request_class_settings(int(OBJECTIVE * 1e6))
        harness = make_harness(settings=HTTP2_SETTINGS | {"caps": caps, "categories": categories})
        harness.push_snapshot()
        client = harness.send_request(category, x_expires_in_ms=EXPIRES)
        upstream = Http2Upstream(harness)
        (stream,) = upstream.wait_for_requests(1)
        pairs = [(":status", str(status)), *((n.replace("_", "-"), v) for n, v in headers.items())]
        upstream.http.send_headers(
            stream, pairs + ([] if length is None else [("content-length", str(length))])
        )
        upstream.flush()
        return harness, client, upstream, stream

    return begin


def send_available(upstream: Http2Upstream, stream: int, body: memoryview) -> memoryview:
    """Send as much of a body as the windows allow, and return the rest."""
    upstream.read()
    while body:
        size = min(upstream.http.local_flow_control_window(stream), upstream.http.max_outbound_frame_size)
        if size <= 0:
            break
        upstream.http.send_data(stream, bytes(body[:size]), end_stream=size >= len(body))
        body = body[size:]
    upstream.flush()
    return body


@pytest.mark.parametrize("length", [LONG, None])
@pytest.mark.parametrize("category", ["look", "move", "buy"])
def test_over_http_2_a_long_response_whose_body_comes_after_the_objective_arrives_whole(
    begin: Callable[..., Exchange], category: str, length: int | None
) -> None:
    """Its head reaches the client in time; it was reset at the objective."""
    harness, client, upstream, stream = begin(category, length)
    harness.run_for(2.5 * OBJECTIVE)
    assert harness.wait_until(lambda: harness.read(client)).startswith(b"HTTP/1.1 200")
    rest, received = memoryview(b"x" * LONG), 0
    until = time.monotonic() + 5
    while received < LONG and time.monotonic() < until:
        rest = send_available(upstream, stream, rest)
        harness.run_for(0.001)
        data = harness.read(client)
        received += data.count(b"x") if data else 0
    assert received == LONG and not upstream.resets


def test_over_http_2_a_slow_client_holds_up_its_own_response_only(begin: Callable[..., Exchange]) -> None:
    """No more than the window is buffered for it, and other responses on the connection go on."""
    harness, client, upstream, stream = begin("buy", None)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
    rest = memoryview(b"x" * (8 * LONG))
    for _ in range(100):
        rest = send_available(upstream, stream, rest)
        harness.run_for(0.002)
    assert rest, "the endpoint could send all of it"
    assert harness.context.buffer_pool.in_use * 8192 < 4 * STREAM_WINDOW
    second = harness.send_request("look", x_trace_id="t2", x_expires_in_ms=EXPIRES)
    other = upstream.wait_for_requests(2)[1]
    upstream.respond(other, b"two")
    assert harness.read_message(second)[1] == b"two"
    received, until = 0, time.monotonic() + 8
    while received < 8 * LONG and time.monotonic() < until:
        rest = send_available(upstream, stream, rest)
        harness.context.loop.run_once(0)
        data = harness.read(client)
        received += data.count(b"x") if data else 0
    assert received == 8 * LONG


def test_over_http_2_the_stream_of_a_client_that_has_left_is_reset(begin: Callable[..., Exchange]) -> None:
    """The endpoint would send on for nobody."""
    harness, client, upstream, stream = begin("buy", None)
    assert harness.wait_until(lambda: harness.read(client)).startswith(b"HTTP/1.1 200")
    client.close()
    upstream.wait_until(lambda: upstream.resets)
    assert upstream.resets[stream] == h2.errors.ErrorCodes.CANCEL
    harness.wait_until(lambda: not harness.context.coordinator.pending_requests)


def test_over_http_2_a_short_response_has_the_time_of_its_client(begin: Callable[..., Exchange]) -> None:
    """After the objective, too."""
    harness, client, upstream, stream = begin("buy", 4)
    harness.run_for(1.5 * OBJECTIVE)
    upstream.http.send_data(stream, b"late", end_stream=True)
    upstream.flush()
    assert harness.read_message(client)[1] == b"late"


def test_over_http_2_a_short_response_that_hangs_is_answered_at_the_deadline(
    begin: Callable[..., Exchange],
) -> None:
    """The client is not kept waiting past its own time."""
    sent_at = time.monotonic()
    harness, client, upstream, stream = begin("buy", 4)
    assert harness.read_status(client) == 504
    assert 2 * OBJECTIVE - 0.1 < time.monotonic() - sent_at < 2 * OBJECTIVE + 0.3
    upstream.wait_until(lambda: upstream.resets)


def test_over_http_2_a_response_that_hangs_after_its_head_ends(
    begin: Callable[..., Exchange], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client can tell that it is not whole, and its endpoint has not succeeded."""
    monkeypatch.setattr(http2_stream, "RELAY_STALL_TIMEOUT", 0.3)
    harness, client, upstream, _ = begin("buy", None)
    stats = harness.context.coordinator.scheduler.balancer.endpoints.by_id["s0"]
    assert harness.wait_until(lambda: harness.read(client)).startswith(b"HTTP/1.1 200")
    upstream.wait_until(lambda: upstream.resets)
    harness.wait_until(lambda: not harness.context.connections.clients)
    with pytest.raises(ConnectionResetError), contextlib.suppress(BlockingIOError):
        client.recv(10)
    assert stats.consecutive_failures == 1


@pytest.mark.parametrize(("status", "headers", "answer"), [(500, {}, 504), (503, {"x_never_ran": "1"}, 503)])
def test_over_http_2_an_error_whose_body_is_late_is_answered_at_once(
    begin: Callable[..., Exchange], status: int, headers: dict[str, str], answer: int
) -> None:
    """The status decides."""
    sent_at = time.monotonic()
    harness, client, _, _ = begin("buy", 4, status, **headers)
    assert harness.read_status(client) == answer
    assert time.monotonic() < sent_at + OBJECTIVE * 0.75
