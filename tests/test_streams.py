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
from conftest import SETTINGS, Surroundings

NEW = {"discovery": "push", "caps": SETTINGS["caps"] | {"streamsPerConn": 100}}


class Peer:
    """The upstream's end of one connection."""

    acknowledges = True  # what it has got: there is room for more

    def __init__(self, around: Surroundings, i: int = 0, sock: socket.socket | None = None) -> None:
        """Accept a connection to endpoint `i`, unless `sock` is one."""
        self.around, self.sock = around, sock or around.accept(i)
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        self.http.initiate_connection()
        self.asked, self.bodies, self.resets, self.ended = {}, {}, {}, []
        self.flush()

    def flush(self) -> None:
        """Send what h2 has to send."""
        self.sock.sendall(self.http.data_to_send())

    def read(self) -> None:
        """Read what has come, and note its events."""
        data = self.around.read(self.sock)
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

        return self.around.until(seen)

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
def multiplexed(make_surroundings: Callable[..., Surroundings]) -> Callable[..., Surroundings]:
    """Make surroundings of a sidecar that uses HTTP/2."""

    def make(**given: object) -> Surroundings:
        around = make_surroundings(settings=NEW, **given)
        around.hear()
        return around

    return make


def test_two_requests_share_a_connection_and_are_answered_in_any_order(
    multiplexed: Callable[..., Surroundings],
) -> None:
    """The second is answered first."""
    around = multiplexed()
    first, second = around.ask(x_trace_id="a"), around.ask(x_trace_id="b")
    peer = Peer(around)
    one, two = peer.received(2)
    peer.answer(two, b"two")
    assert around.answer(second)[1] == b"two"
    peer.answer(one, b"one")
    assert around.answer(first)[1] == b"one"
    around.quiet()


def test_a_body_is_sent_within_the_flow_control_window(multiplexed: Callable[..., Surroundings]) -> None:
    """A body of 64 KiB arrives unchanged."""
    around, body = multiplexed(), bytes(range(256)) * 256
    client = around.ask("move", body)
    peer = Peer(around)
    (stream,) = peer.received(1)
    assert peer.bodies[stream] == body and peer.asked[stream]["idempotency-key"] == "k1"
    peer.answer(stream, body[:9000])
    assert around.answer(client)[1] == body[:9000]


def test_a_request_on_a_refused_stream_is_retried_elsewhere(multiplexed: Callable[..., Surroundings]) -> None:
    """REFUSED_STREAM proves that it has not run."""
    around = multiplexed(upstreams=2)
    client = around.ask("buy")
    i, sock = around.until(around.accept_any)
    peer = Peer(around, sock=sock)
    (stream,) = peer.received(1)
    peer.http.reset_stream(stream, h2.errors.ErrorCodes.REFUSED_STREAM)
    peer.flush()
    other = Peer(around, 1 - i)
    (again,) = other.received(1)
    other.answer(again)
    assert around.status(client) == 200


def test_a_goaway_rejects_later_streams_as_not_run(multiplexed: Callable[..., Surroundings]) -> None:
    """The client gets 503, and the next request a new connection."""
    around = multiplexed()
    client = around.ask("buy")
    peer = Peer(around)
    peer.received(1)
    peer.http.close_connection(last_stream_id=0)
    peer.flush()
    assert around.status(client) == 503
    around.ask("buy", x_trace_id="t2")
    assert Peer(around).received(1)


def test_a_non_idempotent_request_on_a_broken_connection_fails_without_a_retry(
    multiplexed: Callable[..., Surroundings],
) -> None:
    """It may have run."""
    around = multiplexed()
    client = around.ask("buy")
    peer = Peer(around)
    peer.received(1)
    around.reset(peer.sock)
    assert around.status(client) == 504
    around.quiet()


def test_a_client_that_disconnects_ends_its_stream_and_not_the_connection(
    multiplexed: Callable[..., Surroundings],
) -> None:
    """The other stream goes on."""
    around = multiplexed()
    leaves, stays = around.ask(x_trace_id="a"), around.ask(x_trace_id="b")
    peer = Peer(around)
    one, two = peer.received(2)
    leaves.close()
    peer.until(lambda: peer.resets)
    assert peer.resets == {one: h2.errors.ErrorCodes.CANCEL} or peer.resets == {
        two: h2.errors.ErrorCodes.CANCEL
    }
    (left,) = {one, two} - set(peer.resets)
    peer.answer(left)
    assert around.status(stays) == 200


def test_a_stream_past_its_deadline_is_reset_and_the_connection_stays(
    multiplexed: Callable[..., Surroundings],
) -> None:
    """The next request goes by the same connection."""
    around = multiplexed()
    client = around.ask(x_expires_in_ms="150")
    peer = Peer(around)
    peer.received(1)
    assert around.status(client) == 503
    peer.until(lambda: peer.resets)
    again = around.ask(x_trace_id="t2")
    peer.answer(peer.received(2)[-1])
    assert around.status(again) == 200


def test_an_endpoint_that_does_not_speak_http_2_loses_its_connection(
    multiplexed: Callable[..., Surroundings],
) -> None:
    """The request fails, for it may have run."""
    around = multiplexed()
    client = around.ask("buy")
    sock = around.accept()
    sock.sendall(b"HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\nfine")
    assert around.status(client) == 504
    assert around.until(lambda: around.logged("upstream.end"))[0]["reason"] == "malformed"


def test_a_pushed_endpoint_list_is_followed_and_reopened(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """The call says from which version on."""
    around = make_surroundings(settings=NEW)
    sock = around.hear()
    around.say(sock, {"version": 10, "full": False, "servers": [around.entry(0, state="leaving")]})
    around.until(lambda: around.context.discovery.version == 10)
    sock.close()
    sock, target = around.watch()
    assert target.endswith(b"from=10")
    around.say(sock, {"version": 11, "full": False, "servers": [around.entry(0)]})
    around.until(lambda: around.context.discovery.version == 11)
    client = around.ask()
    peer = Peer(around)
    peer.answer(peer.received(1)[0])
    assert around.status(client) == 200


def test_h2_is_not_loaded_unless_the_settings_ask_for_it() -> None:
    """Importing the sidecar does not import h2."""
    text = "import sys, starlingwheel.net.lifecycle.sidecar; sys.exit('h2' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", text]).returncode == 0
