"""When the status of a response that still arrives is passed to its client, and what is left before that."""

import socket
import time
from collections.abc import Callable

import h2.errors
import h11
import pytest
from conftest import SETTINGS, SidecarHarness, bound_socket, request_class_settings
from test_response_heads import UNKNOWN_LENGTH, chunk, send_head
from test_streams import HTTP2_SETTINGS, Http2Upstream

from starlingwheel.decisions import hedging
from starlingwheel.net.http.errors import CloseReason, ConnectionLostError
from starlingwheel.net.http.response_writer import withdraw_if_broken
from starlingwheel.net.http.stream import Stream
from starlingwheel.net.lifecycle import shutdown
from starlingwheel.net.messages import STOP, FinalResponse
from starlingwheel.net.state.body_stream import BodyStream
from starlingwheel.net.state.buffers import MAX_BUFFERED_BODY, BufferedBody, BufferPool
from starlingwheel.net.state.held_responses import HeldResponses
from starlingwheel.net.state.requests import Exchange, UpstreamResponse

OBJECTIVE = 0.25  # seconds; the classes' timeout is twice that, as is the time that clients wait
CLIENT_TIME = 2 * OBJECTIVE
LONG = 100_000  # bytes
CATEGORIES = ["look", "move", "buy"]
FAILED = {"look": 503, "move": 503, "buy": 504}  # the answers that promise no more than is known


@pytest.fixture
def make(make_harness: Callable[..., SidecarHarness]) -> Callable[..., SidecarHarness]:
    """Return a function that makes a harness whose classes have an objective in seconds."""

    def make(
        objective: float = OBJECTIVE, upstreams: int = 1, hedges: bool = False, memory_mb: int = 192
    ) -> SidecarHarness:
        caps = SETTINGS["caps"] | {"probing": False, "mayDuplicate": hedges}
        settings = {"categories": request_class_settings(int(objective * 1e6)), "caps": caps}
        return make_harness(upstreams=upstreams, settings=settings, limits={"memory_mb": memory_mb})

    return make


def begin(
    harness: SidecarHarness, head: str, body: bytes = b"", category: str = "buy", wait: float = CLIENT_TIME
) -> tuple[socket.socket, socket.socket]:
    """Have an endpoint begin its response to a request; return client and endpoint sockets."""
    client = harness.send_request(category, x_expires_in_ms=str(int(1000 * wait)))
    upstream = harness.wait_until(harness.accept_any)[1]
    harness.read_request(upstream)
    send_head(upstream, head)
    upstream.sendall(chunk(body) if body and "chunked" in head else body)
    return client, upstream


@pytest.mark.parametrize("head", [*UNKNOWN_LENGTH, f"Content-Length: {LONG}"])
@pytest.mark.parametrize("body", [b"", b"x" * 3000])
def test_a_response_is_passed_on_when_its_clients_time_ends_and_not_before(
    make: Callable[..., SidecarHarness], head: str, body: bytes
) -> None:
    """Until then its endpoint may still break off; afterwards only a late answer is left."""
    harness = make()
    sent_at = time.monotonic()
    client, _ = begin(harness, head, body)
    harness.run_for(0.9 * CLIENT_TIME - (time.monotonic() - sent_at))
    assert harness.read(client) is None
    received = harness.wait_until(lambda: harness.read(client))
    assert received.startswith(b"HTTP/1.1 200") and received.count(b"x") >= len(body)
    assert time.monotonic() < sent_at + CLIENT_TIME + 0.1
    (line,) = harness.log_lines("response.begun")
    assert (line["why"], line["body_bytes"]) == ("client-time", len(body))


@pytest.mark.parametrize("head", [*UNKNOWN_LENGTH, f"Content-Length: {LONG}"])
def test_a_response_is_passed_on_once_more_than_64_kib_have_come(
    make: Callable[..., SidecarHarness], head: str
) -> None:
    """That much shows that the first bytes are timed, and not the last one."""
    harness = make(objective=1.0)
    client, upstream = begin(harness, head, b"x" * 60_000, wait=2.0)
    harness.run_for(0.1)
    assert harness.read(client) is None
    more = b"x" * (MAX_BUFFERED_BODY - 60_000 + 1)
    upstream.sendall(chunk(more) if "chunked" in head else more)
    assert harness.wait_until(lambda: harness.read(client)).startswith(b"HTTP/1.1 200")
    assert harness.log_lines("response.begun")[0]["why"] == "long"


def test_the_first_bytes_of_a_body_are_not_held_back_for_two_seconds(
    make: Callable[..., SidecarHarness],
) -> None:
    """What comes of a long response has to go on, however long its client waits; a head alone may wait."""
    harness = make(objective=2.0)
    client, upstream = begin(harness, "Transfer-Encoding: chunked", wait=3.9)
    harness.run_for(0.3)
    upstream.sendall(chunk(b"first"))
    harness.run_for(1.7)
    assert harness.read(client) is None
    harness.run_for(0.2)
    assert b"first" in (harness.read(client) or b"")
    assert harness.log_lines("response.begun")[0]["why"] == "held"


@pytest.mark.parametrize("category", CATEGORIES)
@pytest.mark.parametrize("head", [*UNKNOWN_LENGTH, f"Content-Length: {LONG}"])
@pytest.mark.parametrize("body", [b"", b"x" * 3000])
def test_a_response_that_breaks_off_while_it_is_held_back_is_answered_by_the_rules_of_its_class(
    make: Callable[..., SidecarHarness], category: str, head: str, body: bytes
) -> None:
    """After the objective no attempt follows: a rejection where that is harmless, else a failure, at once."""
    harness = make()
    client, upstream = begin(harness, head, body, category)
    harness.run_for(1.4 * OBJECTIVE)
    harness.reset(upstream)
    broken_at = time.monotonic()
    assert harness.read_status(client) == FAILED[category]
    assert time.monotonic() < broken_at + 0.1


@pytest.mark.parametrize("category", CATEGORIES)
def test_a_response_that_breaks_off_while_there_is_time_is_followed_by_a_retry(
    make: Callable[..., SidecarHarness], category: str
) -> None:
    """Its client has got nothing of it yet; a request that must not run twice has failed."""
    harness = make(objective=1.0, upstreams=2)
    client, upstream = begin(harness, "Transfer-Encoding: chunked", b"first", category, wait=2.0)
    harness.run_for(0.55)
    harness.reset(upstream)
    if category == "buy":
        assert harness.read_status(client) == 504
        return
    other = harness.wait_until(harness.accept_any)[1]
    harness.read_request(other)
    harness.send_response(other, body=b"second")
    assert harness.read_message(client)[1] == b"second"


@pytest.mark.parametrize("head", [*UNKNOWN_LENGTH, f"Content-Length: {LONG}"])
def test_an_end_that_has_come_by_then_is_seen_before_the_status_is_given_away(
    make: Callable[..., SidecarHarness], head: str
) -> None:
    """The process may be held up over the time at which the response has to be passed on.

    The system tells of a reset once, and then of an end, which would complete a response without a length.
    """
    harness = make()
    client, upstream = begin(harness, head, b"first")
    harness.run_for(0.1)
    time.sleep(CLIENT_TIME - 0.1)
    upstream.sendall(chunk(b"more") if "chunked" in head else b"more")
    harness.reset(upstream)
    assert harness.read_status(client) == 504


@pytest.mark.parametrize("head", [*UNKNOWN_LENGTH, f"Content-Length: {LONG}"])
def test_a_process_that_was_held_up_over_the_clients_time_passes_the_response_on(
    make: Callable[..., SidecarHarness], monkeypatch: pytest.MonkeyPatch, head: str
) -> None:
    """Its endpoint still sends; an alarm of the decisions that is due as well must not give it up before."""
    monkeypatch.setattr(hedging, "INITIAL_DELAY", 0.8)
    harness = make(upstreams=2, hedges=True)
    harness.send_request("look", x_expires_in_ms=str(int(1000 * CLIENT_TIME)))  # its hedge is due meanwhile
    harness.read_request(harness.wait_until(harness.accept_any)[1])
    client, _ = begin(harness, head)
    harness.run_for(0.1)
    time.sleep(CLIENT_TIME)
    assert harness.wait_until(lambda: harness.read(client)).startswith(b"HTTP/1.1 200")


def test_of_two_begun_responses_the_one_that_has_a_part_of_its_body_is_passed_on(
    make: Callable[..., SidecarHarness], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Both have to be at the end of the client's time, and a head alone promises less."""
    monkeypatch.setattr(hedging, "INITIAL_DELAY", 0.3)
    harness = make(objective=0.4, upstreams=2, hedges=True)
    client, _ = begin(harness, "Transfer-Encoding: chunked", category="look", wait=0.8)
    other = harness.wait_until(harness.accept_any)[1]
    harness.read_request(other)
    send_head(other, "Transfer-Encoding: chunked")
    other.sendall(chunk(b"hedge"))
    received = harness.wait_until(lambda: harness.read(client), timeout=2)
    assert b"hedge" in received + (harness.read(client) or b"")
    other.sendall(b"0\r\n\r\n")
    assert harness.wait_until(lambda: harness.read(client)).endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("category", CATEGORIES)
def test_a_stop_that_leaves_less_time_has_the_request_of_a_held_response_answered_by_then(
    make: Callable[..., SidecarHarness], monkeypatch: pytest.MonkeyPatch, category: str
) -> None:
    """The process may be killed right after that, and what it had passed on would be cut off."""
    monkeypatch.setattr(shutdown, "MAX_STOP_TIMEOUT", 0.2)
    harness = make(objective=2.0)
    client, _ = begin(harness, "Connection: close", category=category, wait=3.9)
    harness.run_for(0.1)
    harness.context.shutdown.post(STOP)
    stopped_at = time.monotonic()
    assert harness.read_status(client) == FAILED[category]
    assert 0.5 < time.monotonic() - stopped_at < 0.75


def test_a_response_that_breaks_off_before_a_byte_of_it_is_written_is_withdrawn() -> None:
    """It may break off between the commitment and the turn of its client's connection."""

    class Endpoint:
        def post(self, message: object) -> None:
            pass

    pool = BufferPool(16)
    received = BufferedBody(pool)
    received.add(b"first")
    body = BodyStream(pool, Endpoint(), None, received)
    final = FinalResponse(200, UpstreamResponse(body, b""))
    assert withdraw_if_broken(final) is final
    body.abort()
    withdrawn = withdraw_if_broken(final)
    assert (withdrawn.status, withdrawn.response, pool.in_use) == (504, None, 0)


@pytest.mark.parametrize("head", [*UNKNOWN_LENGTH, f"Content-Length: {LONG}"])
def test_a_response_that_is_held_back_keeps_no_other_request_from_being_admitted(
    make: Callable[..., SidecarHarness], head: str
) -> None:
    """It may take its client's whole time, and its endpoint has begun to respond."""
    harness = make()
    begin(harness, head)
    stats = harness.context.coordinator.scheduler.balancer.endpoints.by_id["s0"]
    harness.wait_until(lambda: not stats.in_flight)
    assert not harness.log_lines("response.begun")


@pytest.mark.parametrize("category", CATEGORIES)
@pytest.mark.parametrize("ending", ["RST_STREAM", "GOAWAY", "reset"])
@pytest.mark.parametrize("body", [b"", b"x" * 3000])
def test_over_http_2_a_response_that_breaks_off_while_it_is_held_back_is_answered(
    make_harness: Callable[..., SidecarHarness], category: str, ending: str, body: bytes
) -> None:
    """Whichever way the endpoint ends the stream, the request has run and its client has got nothing."""
    caps = HTTP2_SETTINGS["caps"] | {"probing": False, "mayDuplicate": False, "mostHandOffs": 1}
    categories = request_class_settings(int(OBJECTIVE * 1e6))
    harness = make_harness(settings=HTTP2_SETTINGS | {"caps": caps, "categories": categories})
    harness.push_snapshot()
    client = harness.send_request(category, x_expires_in_ms=str(int(1000 * CLIENT_TIME)))
    upstream = Http2Upstream(harness)
    (stream,) = upstream.wait_for_requests(1)
    upstream.http.send_headers(stream, [(":status", "200")])
    if body:
        upstream.http.send_data(stream, body)
    upstream.flush()
    harness.run_for(1.4 * OBJECTIVE)
    assert harness.read(client) is None
    if ending == "RST_STREAM":
        upstream.http.reset_stream(stream, h2.errors.ErrorCodes.INTERNAL_ERROR)
    elif ending == "GOAWAY":
        upstream.http.close_connection(h2.errors.ErrorCodes.INTERNAL_ERROR)
    upstream.flush()
    if ending != "RST_STREAM":
        harness.reset(upstream.sock)
    assert harness.read_status(client) == FAILED[category]


def test_the_response_that_has_been_held_back_longest_is_passed_on_when_buffers_get_short(
    make: Callable[..., SidecarHarness],
) -> None:
    """Its client takes its bytes; the others are held back as before, and none is broken off."""
    harness = make(objective=2.0, memory_mb=3)
    pool = harness.context.buffer_pool
    body = b"x" * 50_000
    clients = []
    while not harness.log_lines("response.begun"):
        assert len(clients) < pool.max_buffers
        clients.append(begin(harness, "Transfer-Encoding: chunked", body, wait=3.9))
        harness.run_for(0.02)
    assert harness.log_lines("response.begun")[0]["why"] == "no-buffers"
    assert len(clients) > 2
    received, first = b"", clients[0][0]
    while received.count(b"x") < len(body):
        received += harness.wait_until(lambda: harness.read(first))
    assert [harness.read(client) for client, _ in clients[1:]] == [None] * (len(clients) - 1)
    for client, upstream in clients:
        upstream.sendall(b"0\r\n\r\n")
        if client is not first:
            assert harness.read_message(client)[1] == body
    assert pool.in_use == 0


def test_a_response_that_has_been_passed_on_is_not_broken_off_for_want_of_buffers(
    make: Callable[..., SidecarHarness],
) -> None:
    """Its endpoint's input stays in the kernel while there is no room for a read."""
    harness = make(objective=2.0, memory_mb=1)
    client, upstream = begin(harness, "Connection: close", b"x" * 70_000, wait=3.9)
    assert harness.wait_until(lambda: harness.read(client)).startswith(b"HTTP/1.1 200")
    pool = harness.context.buffer_pool
    taken = [pool.acquire() for _ in range(pool.available)]
    upstream.sendall(b"y" * 200_000)
    harness.run_for(0.2)
    assert not harness.log_lines("upstream.end") and pool.available > -10
    for buffer in taken:
        pool.release(buffer)
    upstream.close()
    received = b""
    while not received.endswith(b"0\r\n\r\n"):
        received += harness.wait_until(lambda: harness.read(client))
    assert received.count(b"y") == 200_000


def test_the_reset_that_tells_a_response_incomplete_leaves_the_one_before_it_to_its_client(
    make: Callable[..., SidecarHarness],
) -> None:
    """Both are on one connection, and the client reads late."""
    harness = make()
    client = harness.connect_client()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    requests = [harness.request_bytes("look", x_expires_in_ms=str(int(1000 * CLIENT_TIME))) for _ in range(2)]
    client.sendall(b"".join(requests))
    body = b"1" * 60_000
    harness.serve(body=body, extra="Connection: close\r\n")
    upstream = harness.accept()
    harness.read_request(upstream)
    send_head(upstream, "Transfer-Encoding: chunked")
    harness.wait_until(lambda: harness.log_lines("response.begun"))
    harness.run_for(0.05)
    harness.reset(upstream)
    harness.run_for(0.1)
    received = b""
    while (data := harness.wait_until(lambda: harness.read(client))) != b"end":
        received += data
    assert received.count(b"1") >= len(body)
    assert not received.endswith(b"0\r\n\r\n")


def test_ended_connections_are_counted_by_reason(make: Callable[..., SidecarHarness]) -> None:
    """What was closed for lack of proof, or broke off for a client, shows without searching the log."""
    harness = make()
    client, upstream = begin(harness, "Transfer-Encoding: chunked", b"first")
    upstream.sendall(b"noise")
    assert harness.read_status(client) == 504
    client.close()
    harness.wait_until(lambda: harness.log_lines("client.end"))
    connections = harness.context.connections
    assert (connections.client_ends, connections.endpoint_ends) == ({"client-closed": 1}, {"malformed": 1})


def test_no_more_responses_are_passed_on_than_the_shortage_of_buffers_requires() -> None:
    """Those that were told to release their buffers only do so in a later turn."""
    pool = BufferPool(160)
    taken = [pool.acquire() for _ in range(121)]
    held = HeldResponses(pool)
    exchanges = [Exchange(None, None, 0.0, 1.0) for _ in range(5)]
    for exchange in exchanges * 3:
        held.note(exchange)
    assert [exchange.must_commit for exchange in exchanges] == [True, False, False, False, False]
    taken += [pool.acquire() for _ in range(8)]
    for exchange in exchanges:
        held.note(exchange)
    assert [exchange.must_commit for exchange in exchanges] == [True, True, False, False, False]
    for exchange in exchanges[:2]:
        held.remove(exchange)
    for buffer in taken[:10]:
        pool.release(buffer)
    held.note(exchanges[2])
    assert not exchanges[2].must_commit


def test_a_reset_that_a_look_at_the_input_has_found_is_no_end(harness: SidecarHarness) -> None:
    """The system tells of it once; the read after that would find the end of the connection."""

    class Reader:
        def post(self, message: object) -> None:
            pass

    listener = harness.close_at_end(bound_socket())
    sock = harness.close_at_end(socket.create_connection(listener.getsockname()))
    peer = listener.accept()[0]
    stream = Stream(harness.context.loop, Reader(), sock, h11.CLIENT, harness.context.buffer_pool)
    harness.reset(peer)
    time.sleep(0.01)
    assert not stream.has_no_input()
    for _ in range(2):
        with pytest.raises(ConnectionLostError) as lost:
            stream.read()
        assert lost.value.reason is CloseReason.RESET
