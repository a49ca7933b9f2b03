"""Stories of connections that carry many work items at once, against an HTTP/2 upstream played here."""

import subprocess
import sys

import h2.config
import h2.connection
import h2.errors
import h2.events
import pytest
from conftest import SETTINGS

NEW = {"discovery": "push", "caps": SETTINGS["caps"] | {"streamsPerConn": 100}}


class Peer:
    """The upstream's end of one connection."""

    acknowledges = True  # what it has got: there is room for more

    def __init__(self, around, i=0, sock=None):
        self.around, self.sock = around, sock or around.accept(i)
        self.http = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        self.http.initiate_connection()
        self.asked, self.bodies, self.resets, self.ended = {}, {}, {}, []
        self.flush()

    def flush(self):
        self.sock.sendall(self.http.data_to_send())

    def read(self):
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

    def until(self, happened):
        def seen():
            self.read()
            return happened()

        return self.around.until(seen)

    def taken(self, count):
        self.until(lambda: len(self.ended) >= count)
        return sorted(self.asked)

    def answer(self, stream, body=b"fine", status=200, **headers):
        given = [(":status", str(status)), ("content-length", str(len(body)))]
        self.http.send_headers(stream, given + [(n.replace("_", "-"), v) for n, v in headers.items()])
        self.http.send_data(stream, body, end_stream=True)
        self.flush()


@pytest.fixture
def shared(make_surroundings):
    def make(**given):
        around = make_surroundings(settings=NEW, **given)
        around.hear()
        return around

    return make


def test_two_work_items_are_on_one_connection_and_answered_in_any_order(shared):
    around = shared()
    first, second = around.ask(x_trace_id="a"), around.ask(x_trace_id="b")
    peer = Peer(around)
    one, two = peer.taken(2)
    peer.answer(two, b"two")
    assert around.answer(second)[1] == b"two"
    peer.answer(one, b"one")
    assert around.answer(first)[1] == b"one"
    around.quiet()


def test_a_body_goes_on_whole_within_what_the_upstream_has_room_for(shared):
    around, body = shared(), bytes(range(256)) * 256
    client = around.ask("move", body)
    peer = Peer(around)
    (stream,) = peer.taken(1)
    assert peer.bodies[stream] == body and peer.asked[stream]["idempotency-key"] == "k1"
    peer.answer(stream, body[:9000])
    assert around.answer(client)[1] == body[:9000]


def test_a_refused_stream_never_ran_and_its_neighbours_go_on(shared):
    around = shared(upstreams=2)
    client = around.ask("buy")
    i, sock = around.until(around.accept_any)
    peer = Peer(around, sock=sock)
    (stream,) = peer.taken(1)
    peer.http.reset_stream(stream, h2.errors.ErrorCodes.REFUSED_STREAM)
    peer.flush()
    other = Peer(around, 1 - i)
    (again,) = other.taken(1)
    other.answer(again)
    assert around.status(client) == 200


def test_a_goaway_tells_what_never_ran(shared):
    around = shared()
    client = around.ask("buy")
    peer = Peer(around)
    peer.taken(1)
    peer.http.close_connection(last_stream_id=0)
    peer.flush()
    assert around.status(client) == 503
    around.ask("buy", x_trace_id="t2")
    assert Peer(around).taken(1)


def test_exclusive_work_on_a_connection_that_breaks_is_written_off_and_not_sent_again(shared):
    around = shared()
    client = around.ask("buy")
    peer = Peer(around)
    peer.taken(1)
    around.reset(peer.sock)
    assert around.status(client) == 504
    around.quiet()


def test_a_client_that_leaves_ends_its_stream_and_not_the_connection(shared):
    around = shared()
    leaves, stays = around.ask(x_trace_id="a"), around.ask(x_trace_id="b")
    peer = Peer(around)
    one, two = peer.taken(2)
    leaves.close()
    peer.until(lambda: peer.resets)
    assert peer.resets == {one: h2.errors.ErrorCodes.CANCEL} or peer.resets == {
        two: h2.errors.ErrorCodes.CANCEL
    }
    (left,) = {one, two} - set(peer.resets)
    peer.answer(left)
    assert around.status(stays) == 200


def test_nothing_in_time_is_overdue_and_the_connection_stays(shared):
    around = shared()
    client = around.ask(x_expires_in_ms="150")
    peer = Peer(around)
    peer.taken(1)
    assert around.status(client) == 503
    peer.until(lambda: peer.resets)
    again = around.ask(x_trace_id="t2")
    peer.answer(peer.taken(2)[-1])
    assert around.status(again) == 200


def test_an_upstream_that_says_what_is_no_http_2_costs_only_its_connection(shared):
    around = shared()
    client = around.ask("buy")
    sock = around.accept()
    sock.sendall(b"HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\nfine")
    assert around.status(client) == 504
    assert around.until(lambda: around.logged("upstream.end"))[0]["reason"] == "malformed"


def test_a_list_that_comes_unasked_is_followed_and_called_again(make_surroundings):
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
    peer.answer(peer.taken(1)[0])
    assert around.status(client) == 200


def test_without_it_in_the_settings_nothing_of_http_2_is_loaded():
    text = "import sys, starlingwheel.net.lifecycle.sidecar; sys.exit('h2' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", text]).returncode == 0
