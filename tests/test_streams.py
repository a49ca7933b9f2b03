"""Connections that carry many requests at once, against an HTTP/2 endpoint played here."""

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

NEW = {"discovery": "push", "caps": SETTINGS["caps"] | {"streamsPerConn": 100}}


class Peer:
    """The upstream's end of one connection."""

    acknowledges = True  # what it has got: there is room for more

    def __init__(self, harness: SidecarHarness, i: int = 0, sock: socket.socket | None = None) -> None:
        """Accept a connection to endpoint `i`, unless `sock` is one."""
        self.harness, self.sock = harness, sock or harness.accept(i)
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        self.http.initiate_connection()
        self.asked, self.bodies, self.resets, self.ended = {}, {}, {}, []
        self.flush()

    def flush(self) -> None:
        """Send what h2 has to send."""
        self.sock.sendall(self.http.data_to_send())

    def read(self) -> None:
        """Read what has come, and note its events."""
        data = self.harness.read(self.sock)
        for event in self.http.receive_data(data) if data and data != b"end" else ():
            match event:
                case h2.events.RequestReceived():
                    self.asked[event.stream_id] = {n.decode(): v.decode() for n, v in event.headers}
                case h2.events.DataReceived():
                    self.bodies[event.stream_id] = self.bodies.get(event.stream_id, b"") + event.data
                    if self.acknowledges:
                        self.http.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                case h2.events.StreamReset():
                    self.resets[event.stream_id] = event.error_code
                case h2.events.StreamEnded():
                    self.ended.append(event.stream_id)
        self.flush()

    def until(self, happened: Callable[[], object]) -> object:
        """Turn the loop, and read, until something has happened."""

        def seen() -> object:
            self.read()
            return happened()

        return self.harness.wait_until(seen)

    def received(self, count: int) -> list[int]:
        """The stream numbers of the requests, once so many are complete."""
        self.until(lambda: len(self.ended) >= count)
        return sorted(self.asked)

    def answer(self, stream: int, body: bytes = b"fine", status: int = 200, **headers: str) -> None:
        """Answer the request on a stream."""
        given = [(":status", str(status)), ("content-length", str(len(body)))]
        self.http.send_headers(stream, given + [(n.replace("_", "-"), v) for n, v in headers.items()])
        self.http.send_data(stream, body, end_stream=True)
        self.flush()


@pytest.fixture
def multiplexed(make_harness: Callable[..., SidecarHarness]) -> Callable[..., SidecarHarness]:
    """Make surroundings of a sidecar that uses HTTP/2."""

    def make(**given: object) -> SidecarHarness:
        harness = make_harness(settings=NEW, **given)
        harness.push_snapshot()
        return harness

    return make


def test_two_requests_share_a_connection_and_are_answered_in_any_order(
    multiplexed: Callable[..., SidecarHarness],
) -> None:
    """The second is answered first."""
    harness = multiplexed()
    first, second = harness.send_request(x_trace_id="a"), harness.send_request(x_trace_id="b")
    peer = Peer(harness)
    one, two = peer.received(2)
    peer.answer(two, b"two")
    assert harness.read_message(second)[1] == b"two"
    peer.answer(one, b"one")
    assert harness.read_message(first)[1] == b"one"
    harness.assert_no_connection()


def test_a_body_is_sent_within_the_flow_control_window(multiplexed: Callable[..., SidecarHarness]) -> None:
    """A body of 64 KiB arrives unchanged."""
    harness, body = multiplexed(), bytes(range(256)) * 256
    client = harness.send_request("move", body)
    peer = Peer(harness)
    (stream,) = peer.received(1)
    assert peer.bodies[stream] == body and peer.asked[stream]["idempotency-key"] == "k1"
    peer.answer(stream, body[:9000])
    assert harness.read_message(client)[1] == body[:9000]


def test_a_request_on_a_refused_stream_is_retried_elsewhere(
    multiplexed: Callable[..., SidecarHarness],
) -> None:
    """REFUSED_STREAM proves that it has not run."""
    harness = multiplexed(upstreams=2)
    client = harness.send_request("buy")
    i, sock = harness.wait_until(harness.accept_any)
    peer = Peer(harness, sock=sock)
    (stream,) = peer.received(1)
    peer.http.reset_stream(stream, h2.errors.ErrorCodes.REFUSED_STREAM)
    peer.flush()
    other = Peer(harness, 1 - i)
    (again,) = other.received(1)
    other.answer(again)
    assert harness.read_status(client) == 200


def test_a_goaway_rejects_later_streams_as_not_run(multiplexed: Callable[..., SidecarHarness]) -> None:
    """The client gets 503, and the next request a new connection."""
    harness = multiplexed()
    client = harness.send_request("buy")
    peer = Peer(harness)
    peer.received(1)
    peer.http.close_connection(last_stream_id=0)
    peer.flush()
    assert harness.read_status(client) == 503
    harness.send_request("buy", x_trace_id="t2")
    assert Peer(harness).received(1)


def test_a_non_idempotent_request_on_a_broken_connection_fails_without_a_retry(
    multiplexed: Callable[..., SidecarHarness],
) -> None:
    """It may have run."""
    harness = multiplexed()
    client = harness.send_request("buy")
    peer = Peer(harness)
    peer.received(1)
    harness.reset(peer.sock)
    assert harness.read_status(client) == 504
    harness.assert_no_connection()


def test_a_client_that_disconnects_ends_its_stream_and_not_the_connection(
    multiplexed: Callable[..., SidecarHarness],
) -> None:
    """The other stream goes on."""
    harness = multiplexed()
    leaves, stays = harness.send_request(x_trace_id="a"), harness.send_request(x_trace_id="b")
    peer = Peer(harness)
    one, two = peer.received(2)
    leaves.close()
    peer.until(lambda: peer.resets)
    assert peer.resets == {one: h2.errors.ErrorCodes.CANCEL} or peer.resets == {
        two: h2.errors.ErrorCodes.CANCEL
    }
    (left,) = {one, two} - set(peer.resets)
    peer.answer(left)
    assert harness.read_status(stays) == 200


def test_a_stream_past_its_deadline_is_reset_and_the_connection_stays(
    multiplexed: Callable[..., SidecarHarness],
) -> None:
    """The next request goes by the same connection."""
    harness = multiplexed()
    client = harness.send_request(x_expires_in_ms="150")
    peer = Peer(harness)
    peer.received(1)
    assert harness.read_status(client) == 503
    peer.until(lambda: peer.resets)
    again = harness.send_request(x_trace_id="t2")
    peer.answer(peer.received(2)[-1])
    assert harness.read_status(again) == 200


def test_an_endpoint_that_does_not_speak_http_2_loses_its_connection(
    multiplexed: Callable[..., SidecarHarness],
) -> None:
    """The request fails, for it may have run."""
    harness = multiplexed()
    client = harness.send_request("buy")
    sock = harness.accept()
    sock.sendall(b"HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\nfine")
    assert harness.read_status(client) == 504
    assert harness.wait_until(lambda: harness.log_lines("upstream.end"))[0]["reason"] == "malformed"


def test_a_pushed_endpoint_list_is_followed_and_reopened(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The call says from which version on."""
    harness = make_harness(settings=NEW)
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
    peer = Peer(harness)
    peer.answer(peer.received(1)[0])
    assert harness.read_status(client) == 200


def test_h2_is_not_loaded_unless_the_settings_ask_for_it() -> None:
    """Importing the sidecar does not import h2."""
    text = "import sys, starlingwheel.net.lifecycle.sidecar; sys.exit('h2' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", text]).returncode == 0
