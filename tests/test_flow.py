"""Long bodies, which are relayed while they arrive, and slow ones."""

import contextlib
import random
import socket
import time
from collections.abc import Callable

import pytest
from conftest import SidecarHarness, request_class_settings

from starlingwheel.net.state.body_stream import (
    BODY_STREAM_CHANGED,
    MAX_STREAMED_BODY,
    STREAM_WINDOW,
    BodyStream,
)
from starlingwheel.net.state.buffers import BUFFER_SIZE, MAX_BUFFERED_BODY, BufferedBody, BufferPool

MB = 1 << 20
HEAD = b"HTTP/1.1 200 OK\r\n"


def random_bytes(size: int, seed: int = 1) -> bytes:
    """Return pseudo-random bytes, the same for the same seed."""
    return random.Random(seed).randbytes(size)


def read_all(harness: SidecarHarness, sock: socket.socket, size: int, at_most: int | None = None) -> bytes:
    """Read `size` bytes from a connection, at most `at_most` per turn of the loop."""
    received = bytearray()

    def receive_some() -> bool:
        sock.settimeout(0)
        try:
            data = sock.recv(min(size - len(received), at_most or MB))
        except BlockingIOError:
            return False
        received.extend(data)
        return len(received) >= size or not data

    harness.wait_until(receive_some, 20.0)
    return bytes(received)


def write_all(harness: SidecarHarness, sock: socket.socket, data: bytes, within: float = 20.0) -> None:
    """Send all of the data while the loop runs."""
    unsent = memoryview(data)

    def send_some() -> bool:
        nonlocal unsent
        sock.settimeout(0)
        try:
            unsent = unsent[sock.send(unsent) :]
        except BlockingIOError:
            return False
        return not unsent

    harness.wait_until(send_some, within)


def read_head(harness: SidecarHarness, sock: socket.socket) -> tuple[bytes, bytes]:
    """Return the head of a response and the body bytes that arrived with it."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += harness.wait_until(lambda: harness.read(sock))
        assert not received.endswith(b"end")
    head, _, body_start = received.partition(b"\r\n\r\n")
    return head, body_start


def assert_nothing_left(harness: SidecarHarness) -> None:
    """Assert that all buffers are released and no request is pending."""
    harness.wait_until(
        lambda: harness.context.buffer_pool.in_use == 0 and not harness.context.coordinator.pending_requests
    )
    assert not harness.log_lines("defect") and not harness.log_lines("module.defect")


# Responses.


def test_a_long_response_is_relayed_while_it_arrives(harness: SidecarHarness) -> None:
    """The attempt ends with the first bytes of the body, and the connection is reused after the last."""
    client, body = harness.send_request(), random_bytes(MAX_BUFFERED_BODY + 1000)
    upstream = harness.accept()
    harness.read_request(upstream)
    upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body[:1000])
    head, received = read_head(harness, client)
    assert b"200" in head and b"%d" % len(body) in head
    # The request has ended, so that the response takes no capacity of its endpoint and has no deadline.
    harness.wait_until(lambda: not harness.context.coordinator.pending_requests)
    upstream.sendall(body[1000:])
    assert received + read_all(harness, client, len(body) - len(received)) == body
    # The connection is reused.
    harness.wait_for_idle_connections()
    client.sendall(harness.request_bytes())
    harness.read_request(upstream)
    harness.send_response(upstream)
    assert harness.read_status(client) == 200
    assert_nothing_left(harness)


def test_a_relayed_response_may_outlast_the_latency_objective(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The latency objective limits only when a relayed response begins."""
    harness = make_harness(settings={"categories": request_class_settings(150000)})
    client, body = harness.send_request(), random_bytes(3 * MAX_BUFFERED_BODY)
    upstream = harness.accept()
    harness.read_request(upstream)
    upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
    received = b""
    for start in range(0, len(body), MAX_BUFFERED_BODY // 2):
        upstream.sendall(body[start : start + MAX_BUFFERED_BODY // 2])
        harness.run_for(0.1)
    head, received = read_head(harness, client)
    assert received + read_all(harness, client, len(body) - len(received)) == body


def test_a_response_of_unknown_length_that_began_in_time_is_relayed(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The response is relayed although it is short and ends late."""
    harness = make_harness(settings={"categories": request_class_settings(300000)})
    client, body = harness.send_request(), random_bytes(60000)
    upstream = harness.accept()
    harness.read_request(upstream)
    upstream.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    for start in range(0, len(body), 10000):
        upstream.sendall(b"%x\r\n%s\r\n" % (10000, body[start : start + 10000]))
        harness.run_for(0.08)
    upstream.sendall(b"0\r\n\r\n")
    head, received = harness.read_message(client)
    assert head.status_code == 200 and received == body
    assert_nothing_left(harness)


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_a_long_response_in_each_framing_is_forwarded_unchanged(
    harness: SidecarHarness, framing: str
) -> None:
    """The body has a length, is chunked, or ends with the connection."""
    client, body = harness.send_request(), random_bytes(5 * MAX_BUFFERED_BODY)
    upstream = harness.accept()
    harness.read_request(upstream)
    if framing == "length":
        upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
        write_all(harness, upstream, body)
    elif framing == "chunked":
        pieces = [body[i : i + 5000] for i in range(0, len(body), 5000)]
        text = b"".join(b"%x;a=b\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-T: y\r\n\r\n"
        write_all(harness, upstream, HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + text)
    else:
        write_all(harness, upstream, HEAD + b"Connection: close\r\n\r\n" + body)
        upstream.close()
    head, received = harness.read_message(client)
    assert head.status_code == 200 and received == body
    assert_nothing_left(harness)


def test_a_short_response_that_ends_with_its_connection_is_complete(harness: SidecarHarness) -> None:
    """The response has `Connection: close`."""
    client = harness.send_request()
    upstream = harness.accept()
    harness.read_request(upstream)
    upstream.sendall(HEAD + b"Connection: close\r\n\r\nfine")
    upstream.close()
    assert harness.read_message(client)[1] == b"fine"


def test_many_long_responses_to_slow_clients_take_few_buffers(harness: SidecarHarness) -> None:
    """The bodies are forwarded unchanged, within a limit of buffers for each."""
    bodies = [random_bytes(2 * MB, seed) for seed in range(12)]
    clients, upstreams = [], []
    first = MAX_BUFFERED_BODY + 1  # bytes from which on a body is forwarded
    for number in range(len(bodies)):
        client = harness.connect_client()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.sendall(harness.request_bytes(x_trace_id=f"t{number}"))
        upstream = harness.accept()
        harness.read_request(upstream)
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(bodies[number])
        upstream.sendall(head + bodies[number][:first])
        harness.wait_until(lambda: not harness.context.coordinator.pending_requests)
        clients.append(client)
        upstreams.append(upstream)
    unsent, received = [memoryview(b)[first:] for b in bodies], [bytearray() for _ in bodies]
    peak_buffers = 0

    def transfer_some() -> bool:
        nonlocal peak_buffers
        for i, (client, upstream) in enumerate(zip(clients, upstreams, strict=True)):
            client.settimeout(0)
            upstream.settimeout(0)
            with contextlib.suppress(BlockingIOError):
                unsent[i] = unsent[i][upstream.send(unsent[i][:MB]) :] if unsent[i] else unsent[i]
            with contextlib.suppress(BlockingIOError):
                received[i] += client.recv(30000)
        peak_buffers = max(peak_buffers, harness.context.buffer_pool.in_use)
        return all(response.endswith(b[-100:]) for response, b in zip(received, bodies, strict=True))

    harness.wait_until(transfer_some, 60.0)
    for body, response in zip(bodies, received, strict=True):
        assert bytes(response).partition(b"\r\n\r\n")[2] == body
    # Buffered between source and sink is at most a window and what is being written, not a whole response.
    assert peak_buffers * BUFFER_SIZE <= len(bodies) * 3 * (STREAM_WINDOW + MAX_BUFFERED_BODY)
    assert_nothing_left(harness)


def test_a_response_of_32_mib_is_forwarded_and_one_byte_more_is_too_long(harness: SidecarHarness) -> None:
    """32 MiB is the maximum size of a relayed body."""
    client, body = harness.send_request(), random_bytes(MB) * 32
    upstream = harness.accept()
    harness.read_request(upstream)
    upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
    unsent, received = memoryview(body), bytearray()

    def transfer_some() -> bool:
        nonlocal unsent
        upstream.settimeout(0)
        client.settimeout(0)
        for _ in range(4):
            with contextlib.suppress(BlockingIOError):
                unsent = unsent[upstream.send(unsent[:MB]) :] if unsent else unsent
            with contextlib.suppress(BlockingIOError):
                received.extend(client.recv(MB))
        return len(received) > len(body)

    harness.wait_until(transfer_some, 60.0)
    assert received.endswith(body[-1000:]) and len(
        received.partition(b"\r\n\r\n")[2]
    ) == MAX_STREAMED_BODY == len(body)
    assert_nothing_left(harness)
    harness.wait_for_idle_connections()
    other = harness.send_request(x_trace_id="t2")
    harness.read_request(upstream)
    upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\nx" % (MAX_STREAMED_BODY + 1))
    harness.wait_until(lambda: harness.read(upstream) == b"end")
    assert harness.log_lines("upstream.end")[-1]["reason"] == "answer-too-long"
    other.close()


@pytest.mark.parametrize("framing", [b"Content-Length: 200000", b"Transfer-Encoding: chunked"])
def test_a_response_that_breaks_off_resets_the_client(harness: SidecarHarness, framing: bytes) -> None:
    """Holds for a body with a length and for a chunked one."""
    client = harness.send_request()
    upstream = harness.accept()
    harness.read_request(upstream)
    piece = b"x" * 70000
    chunk = b"%x\r\n%s\r\n" % (len(piece), piece) if b"chunked" in framing else piece
    upstream.sendall(HEAD + framing + b"\r\n\r\n" + chunk)
    read_head(harness, client)
    upstream.close()
    with pytest.raises(ConnectionResetError):
        harness.wait_until(lambda: harness.log_lines("client.end"))
        client.settimeout(1)
        while client.recv(MB):
            pass
    assert harness.log_lines("client.end")[0]["reason"] == "upstream-broke"
    assert_nothing_left(harness)


def test_a_client_that_leaves_a_long_response_ends_the_connection_to_the_endpoint(
    harness: SidecarHarness,
) -> None:
    """All buffers are released."""
    client = harness.send_request()
    upstream = harness.accept()
    harness.read_request(upstream)
    upstream.sendall(HEAD + b"Content-Length: 9000000\r\n\r\n" + b"x" * 70000)
    read_head(harness, client)
    client.close()
    harness.wait_until(lambda: harness.read(upstream) == b"end")
    assert_nothing_left(harness)


def test_of_two_long_responses_the_first_is_relayed_and_the_other_cancelled(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The request and its hedge are both in flight, and the hedge responds first."""
    harness = make_harness(upstreams=2)
    client = harness.send_request()
    harness.context.coordinator.scheduler.balancer.hedging.delay = lambda request: 0.01
    i, silent = harness.wait_until(harness.accept_any)
    harness.read_request(silent)
    responding = harness.accept(1 - i)
    harness.read_request(responding)
    body = random_bytes(2 * MAX_BUFFERED_BODY)
    responding.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    assert harness.read_message(client)[1] == body
    assert harness.wait_until(lambda: harness.read(silent)) == b"end"
    assert_nothing_left(harness)


# Requests.


def begin_upload(harness: SidecarHarness, body: bytes, length: bool = True, **headers: str) -> socket.socket:
    """Send the head of a request for this body, with a length or chunked, but not the body."""
    client = harness.connect_client()
    if length:
        client.sendall(harness.request_bytes("buy", content_length=str(len(body)), **headers))
    else:
        client.sendall(harness.request_bytes("buy", transfer_encoding="chunked", **headers))
    return client


@pytest.mark.parametrize("length", [True, False])
def test_a_long_request_body_is_relayed_while_it_arrives(
    make_harness: Callable[..., SidecarHarness], length: bool
) -> None:
    """The body takes few buffers, and the timeout counts from its last byte."""
    harness = make_harness(limits={"memory_mb": 24})
    body = random_bytes(3 * MB)
    client = begin_upload(harness, body, length)
    text = (
        body
        if length
        else b"".join(
            b"%x\r\n%s\r\n" % (len(p), p) for p in (body[i : i + 60000] for i in range(0, len(body), 60000))
        )
    )
    text = text if length else text + b"0\r\n\r\n"
    write_all(harness, client, text[:MB])
    # The endpoint receives the request before its last byte has arrived.
    upstream = harness.accept()
    assert harness.wait_until(lambda: harness.read(upstream)).startswith(b"POST /buy/1?q=2")
    [request] = [pending.request for pending in harness.context.coordinator.pending_requests.values()]
    assert request.arrived_at > harness.context.loop.now() + 1e6 and request.max_attempts == 1
    received, unsent = bytearray(), memoryview(text)[MB:]

    def transfer_some() -> bool:
        nonlocal unsent
        client.settimeout(0)
        with contextlib.suppress(BlockingIOError):
            unsent = unsent[client.send(unsent[:100000]) :] if unsent else unsent
        received.extend(harness.read(upstream) or b"")
        assert harness.context.buffer_pool.in_use * BUFFER_SIZE < 24 * MB / 3
        return len(received) >= len(body) - 65536 * 2 and not unsent

    harness.wait_until(transfer_some, 30.0)
    harness.run_for(0.1)
    received.extend(harness.read(upstream) or b"")
    harness.wait_until(lambda: request.arrived_at < harness.context.loop.now() + 1)
    harness.send_response(upstream)
    assert harness.read_status(client) == 200
    assert_nothing_left(harness)


def begin_long_request(
    make_harness: Callable[..., SidecarHarness], upstreams: int = 2, **options: object
) -> tuple[SidecarHarness, socket.socket, int, socket.socket]:
    """Send 700,000 bytes of a request of 3 MiB.

    Return the harness, the client, and the index and the connection of the endpoint that receives it.
    """
    harness = make_harness(upstreams=upstreams, limits={"memory_mb": 24}, **options)
    client = begin_upload(harness, b"x" * 3 * MB)
    client.sendall(b"x" * 700000)
    i, upstream = harness.wait_until(harness.accept_any)
    harness.wait_until(lambda: harness.read(upstream))
    return harness, client, i, upstream


def test_a_long_request_reset_before_its_last_byte_has_not_run(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The client gets 503, and the request is not sent again."""
    harness, client, i, upstream = begin_long_request(make_harness)
    harness.reset(upstream)
    assert harness.read_status(client) == 503
    harness.assert_no_connection(1 - i)  # the data that was forwarded can't be sent again
    assert_nothing_left(harness)


def test_a_long_non_idempotent_request_reset_after_its_last_byte_may_have_run(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The client gets 504, and the request is not sent again."""
    harness, client, i, upstream = begin_long_request(make_harness)
    unsent = 3 * MB - 700000

    def transfer_some() -> bool:
        nonlocal unsent
        client.settimeout(0)
        with contextlib.suppress(BlockingIOError):
            unsent -= client.send(b"x" * min(unsent, 100000)) if unsent else 0
        harness.read(upstream)
        return not unsent and all(
            e.written for pending in pending_requests.values() for e in pending.exchanges.values()
        )

    pending_requests = harness.context.coordinator.pending_requests
    harness.wait_until(transfer_some, 20.0)
    harness.reset(upstream)
    assert harness.read_status(client) == 504
    harness.assert_no_connection(1 - i)
    assert_nothing_left(harness)


def test_a_long_request_rejected_before_its_end_is_rejected_to_the_client(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The client gets 503, and the rest of the body is not sent."""
    harness, client, i, upstream = begin_long_request(make_harness)
    harness.send_response(upstream, status=503, extra="X-Never-Ran: 1\r\n")
    assert harness.read_status(client) == 503
    assert harness.log_lines("upstream.end")[0]["reason"] == "answered-early"
    assert_nothing_left(harness)


def test_a_client_that_leaves_during_a_long_request_leaves_no_state(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The connection to the endpoint is closed, and all buffers are released."""
    harness, client, i, upstream = begin_long_request(make_harness)
    client.close()
    harness.wait_until(lambda: harness.read(upstream) == b"end")
    assert_nothing_left(harness)


def test_a_long_request_that_could_not_be_sent_goes_to_another_endpoint(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The whole body can still be sent, because no attempt has read any of it yet."""
    harness = make_harness(upstreams=2, limits={"memory_mb": 24})
    harness.listeners[0].close()
    body = random_bytes(2 * MB)
    for number in range(6):
        client = begin_upload(harness, body, x_trace_id=f"t{number}")
        write_all(harness, client, body[:MB])
        upstream = harness.accept(1)
        received = read_all(harness, upstream, MB // 2)
        assert received.startswith(b"POST /buy")
        client.close()
        assert_nothing_left(harness)


@pytest.mark.parametrize("invalid_header", [{"x_qos": "other"}, {"x_expires_in_ms": "soon"}])
def test_an_invalid_long_request_leaves_no_state(
    harness: SidecarHarness, invalid_header: dict[str, str]
) -> None:
    """All buffers are released."""
    client = begin_upload(harness, b"x" * 2 * MB, **invalid_header)
    client.sendall(b"x" * 200000)
    assert harness.read_status(client) in (400, 404)
    client.close()
    assert_nothing_left(harness)


def test_the_time_of_a_request_counts_from_its_last_byte(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """The body arrives for longer than the latency objective, which then counts in full."""
    harness = make_harness(settings={"categories": request_class_settings(200000)})
    body = random_bytes(30000)
    client = begin_upload(harness, body, x_expires_in_ms="390")
    for start in range(0, len(body), 5000):
        harness.run_for(0.08)
        client.sendall(body[start : start + 5000])
    upstream = harness.accept()
    assert harness.read_request(upstream)[1] == body
    harness.run_for(0.1)
    harness.send_response(upstream)
    assert harness.read_status(client) == 200


@pytest.mark.parametrize("sent", [30_000, 150_000])
def test_a_body_that_stops_after_much_of_it_gets_408_within_three_seconds(
    harness: SidecarHarness, sent: int
) -> None:
    """However much has come: the time for it was 2.7 s and a second for each 48 kB."""
    client = begin_upload(harness, random_bytes(200_000))
    client.sendall(bytes(sent))
    stopped_at = time.monotonic()
    assert harness.read_status(client) == 408
    assert 2.0 < time.monotonic() - stopped_at < 3.0


def test_a_slow_steady_body_is_accepted_and_a_stalled_one_gets_408(harness: SidecarHarness) -> None:
    """The steady body arrives at 32 kB/s."""
    body = random_bytes(100000)
    steady, stalled = begin_upload(harness, body), begin_upload(harness, body, x_trace_id="t2")
    stalled.sendall(body[:5000])
    for start in range(0, len(body), 5000):
        harness.run_for(5000 / 32000)
        steady.sendall(body[start : start + 5000])
    # The stalled request has exceeded the request timeout and the time for 5 kB at the minimum rate.
    assert harness.log_lines("request.unfit") and harness.read_status(stalled) == 408
    upstream = harness.accept()
    assert harness.read_request(upstream)[1] == body
    harness.send_response(upstream)
    assert harness.read_status(steady) == 200


def test_an_absolute_target_is_forwarded_as_a_path(harness: SidecarHarness) -> None:
    """RFC 9112, 3.2.2 allows targets in absolute form."""
    client = harness.send_request(request_line="GET http://backend.local/look/1?q=2 HTTP/1.1")
    upstream = harness.accept()
    request, _ = harness.read_request(upstream)
    assert request.target == b"/look/1?q=2"
    harness.send_response(upstream)
    assert harness.read_status(client) == 200


# Body streams.


class RecordingEnd:
    """One end of a body stream, which records its messages."""

    def __init__(self) -> None:
        """Prepare an empty mailbox."""
        self.messages = []

    def post(self, message: object) -> None:
        """Record a message."""
        self.messages.append(message)


def test_a_body_stream_notifies_its_ends_once_and_releases_its_buffers() -> None:
    """An end that has been notified of a change is not notified again until it has handled that."""
    pool, source, sink = BufferPool(64), RecordingEnd(), RecordingEnd()
    stream = BodyStream(pool, source, None, BufferedBody(pool))
    stream.sink = sink
    for _ in range(17):
        stream.add(b"x" * BUFFER_SIZE)
    assert sink.messages == [BODY_STREAM_CHANGED] and stream.is_full and not stream.has_room()
    part = stream.take()
    assert part.length == 17 * BUFFER_SIZE and source.messages == [BODY_STREAM_CHANGED] and stream.has_room()
    stream.add(b"x")
    stream.release()
    part.release()
    assert stream.cancelled and len(source.messages) == 2 and pool.in_use == 0
    stream.add(b"more")
    assert pool.in_use == 0
