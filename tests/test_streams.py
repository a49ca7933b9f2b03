"""HTTP/2 connections to an endpoint, which carry many requests at once; the test plays the endpoint."""

import socket
import subprocess
import sys
from collections.abc import Callable

import h2.config
import h2.connection
import h2.errors
import h2.events
import pytest
from conftest import SETTINGS, SidecarHarness

HTTP2_SETTINGS = {"discovery": "push", "caps": SETTINGS["caps"] | {"streamsPerConn": 100}}


class Http2Upstream:
    """An endpoint's side of one HTTP/2 connection."""

    acknowledges = True  # reopens the flow-control window for the data it has received

    def __init__(self, harness: SidecarHarness, i: int = 0, sock: socket.socket | None = None) -> None:
        """Serve the accepted connection `sock`, or accept one to endpoint `i`."""
        self.harness, self.sock = harness, sock or harness.accept(i)
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        self.http.initiate_connection()
        self.requests, self.bodies, self.resets, self.complete_streams = {}, {}, {}, []
        self.flush()

    def flush(self) -> None:
        """Send the bytes that h2 has ready."""
        self.sock.sendall(self.http.data_to_send())

    def read(self) -> None:
        """Read available input and record its events."""
        data = self.harness.read(self.sock)
        for event in self.http.receive_data(data) if data and data != b"end" else ():
            match event:
                case h2.events.RequestReceived():
                    self.requests[event.stream_id] = {n.decode(): v.decode() for n, v in event.headers}
                case h2.events.DataReceived():
                    self.bodies[event.stream_id] = self.bodies.get(event.stream_id, b"") + event.data
                    if self.acknowledges:
                        self.http.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                case h2.events.StreamReset():
                    self.resets[event.stream_id] = event.error_code
                case h2.events.StreamEnded():
                    self.complete_streams.append(event.stream_id)
        self.flush()

    def wait_until(self, happened: Callable[[], object]) -> object:
        """Run the loop and read input until the condition holds; return its value."""

        def seen() -> object:
            self.read()
            return happened()

        return self.harness.wait_until(seen)

    def wait_for_requests(self, count: int) -> list[int]:
        """Return the stream ids of the requests once `count` of them are complete."""
        self.wait_until(lambda: len(self.complete_streams) >= count)
        return sorted(self.requests)

    def respond(self, stream: int, body: bytes = b"fine", status: int = 200, **headers: str) -> None:
        """Send a response on a stream."""
        pairs = [(":status", str(status)), ("content-length", str(len(body)))]
        self.http.send_headers(stream, pairs + [(n.replace("_", "-"), v) for n, v in headers.items()])
        self.http.send_data(stream, body, end_stream=True)
        self.flush()


@pytest.fixture
def make_http2_harness(make_harness: Callable[..., SidecarHarness]) -> Callable[..., SidecarHarness]:
    """Make harnesses of sidecars that use HTTP/2."""

    def make(**options: object) -> SidecarHarness:
        harness = make_harness(settings=HTTP2_SETTINGS, **options)
        harness.push_snapshot()
        return harness

    return make


def test_two_requests_share_a_connection_and_are_answered_in_any_order(
    make_http2_harness: Callable[..., SidecarHarness],
) -> None:
    """The response to the second request comes first."""
    harness = make_http2_harness()
    first, second = harness.send_request(x_trace_id="a"), harness.send_request(x_trace_id="b")
    upstream = Http2Upstream(harness)
    first_stream, second_stream = upstream.wait_for_requests(2)
    upstream.respond(second_stream, b"two")
    assert harness.read_message(second)[1] == b"two"
    upstream.respond(first_stream, b"one")
    assert harness.read_message(first)[1] == b"one"
    harness.assert_no_connection()


def test_a_body_is_sent_within_the_flow_control_window(
    make_http2_harness: Callable[..., SidecarHarness],
) -> None:
    """A request body of 64 KiB arrives unchanged."""
    harness, body = make_http2_harness(), bytes(range(256)) * 256
    client = harness.send_request("move", body)
    upstream = Http2Upstream(harness)
    (stream,) = upstream.wait_for_requests(1)
    assert upstream.bodies[stream] == body and upstream.requests[stream]["idempotency-key"] == "k1"
    upstream.respond(stream, body[:9000])
    assert harness.read_message(client)[1] == body[:9000]


def test_a_request_on_a_refused_stream_is_retried_elsewhere(
    make_http2_harness: Callable[..., SidecarHarness],
) -> None:
    """REFUSED_STREAM proves that the request has not run."""
    harness = make_http2_harness(upstreams=2)
    client = harness.send_request("buy")
    i, sock = harness.wait_until(harness.accept_any)
    upstream = Http2Upstream(harness, sock=sock)
    (stream,) = upstream.wait_for_requests(1)
    upstream.http.reset_stream(stream, h2.errors.ErrorCodes.REFUSED_STREAM)
    upstream.flush()
    other = Http2Upstream(harness, 1 - i)
    (again,) = other.wait_for_requests(1)
    other.respond(again)
    assert harness.read_status(client) == 200


def test_a_goaway_rejects_later_streams_as_not_run(make_http2_harness: Callable[..., SidecarHarness]) -> None:
    """The client gets 503, and the next request uses a new connection."""
    harness = make_http2_harness()
    client = harness.send_request("buy")
    upstream = Http2Upstream(harness)
    upstream.wait_for_requests(1)
    upstream.http.close_connection(last_stream_id=0)
    upstream.flush()
    assert harness.read_status(client) == 503
    harness.send_request("buy", x_trace_id="t2")
    assert Http2Upstream(harness).wait_for_requests(1)


def test_a_non_idempotent_request_on_a_broken_connection_fails_without_a_retry(
    make_http2_harness: Callable[..., SidecarHarness],
) -> None:
    """The request may have run, so the client gets 504."""
    harness = make_http2_harness()
    client = harness.send_request("buy")
    upstream = Http2Upstream(harness)
    upstream.wait_for_requests(1)
    harness.reset(upstream.sock)
    assert harness.read_status(client) == 504
    harness.assert_no_connection()


def test_a_client_that_disconnects_ends_its_stream_and_not_the_connection(
    make_http2_harness: Callable[..., SidecarHarness],
) -> None:
    """The request on the other stream is answered."""
    harness = make_http2_harness()
    leaving, staying = harness.send_request(x_trace_id="a"), harness.send_request(x_trace_id="b")
    upstream = Http2Upstream(harness)
    first_stream, second_stream = upstream.wait_for_requests(2)
    leaving.close()
    upstream.wait_until(lambda: upstream.resets)
    assert upstream.resets == {first_stream: h2.errors.ErrorCodes.CANCEL} or upstream.resets == {
        second_stream: h2.errors.ErrorCodes.CANCEL
    }
    (remaining,) = {first_stream, second_stream} - set(upstream.resets)
    upstream.respond(remaining)
    assert harness.read_status(staying) == 200


def test_a_stream_past_its_deadline_is_reset_and_the_connection_stays(
    make_http2_harness: Callable[..., SidecarHarness],
) -> None:
    """The next request uses the same connection."""
    harness = make_http2_harness()
    client = harness.send_request(x_expires_in_ms="150")
    upstream = Http2Upstream(harness)
    upstream.wait_for_requests(1)
    assert harness.read_status(client) == 503
    upstream.wait_until(lambda: upstream.resets)
    again = harness.send_request(x_trace_id="t2")
    upstream.respond(upstream.wait_for_requests(2)[-1])
    assert harness.read_status(again) == 200


def test_an_endpoint_that_does_not_speak_http_2_loses_its_connection(
    make_http2_harness: Callable[..., SidecarHarness],
) -> None:
    """The non-idempotent request fails, as it may have run."""
    harness = make_http2_harness()
    client = harness.send_request("buy")
    sock = harness.accept()
    sock.sendall(b"HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\nfine")
    assert harness.read_status(client) == 504
    assert harness.wait_until(lambda: harness.log_lines("upstream.end"))[0]["reason"] == "malformed"


def test_a_pushed_endpoint_list_is_followed_and_reopened(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """After the end of the watch, the next call asks for the changes after the last version."""
    harness = make_harness(settings=HTTP2_SETTINGS)
    sock = harness.push_snapshot()
    harness.send_watch_line(
        sock, {"version": 10, "full": False, "servers": [harness.endpoint_entry(0, state="leaving")]}
    )
    harness.wait_until(lambda: harness.context.discovery.version == 10)
    sock.close()
    sock, target = harness.accept_watch()
    assert target.endswith(b"from=10")
    harness.send_watch_line(sock, {"version": 11, "full": False, "servers": [harness.endpoint_entry(0)]})
    harness.wait_until(lambda: harness.context.discovery.version == 11)
    client = harness.send_request()
    upstream = Http2Upstream(harness)
    upstream.respond(upstream.wait_for_requests(1)[0])
    assert harness.read_status(client) == 200


def test_h2_is_not_loaded_unless_the_settings_ask_for_it() -> None:
    """Importing the sidecar does not import h2."""
    text = "import sys, starlingwheel.net.lifecycle.sidecar; sys.exit('h2' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", text]).returncode == 0
