"""Large bodies, which are relayed while they come, and slow ones."""

import contextlib
import random
import socket
from collections.abc import Callable

import pytest
from conftest import Surroundings, categories

from starlingwheel.net.state.body_stream import (
    BODY_STREAM_CHANGED,
    MAX_STREAMED_BODY,
    STREAM_WINDOW,
    BodyStream,
)
from starlingwheel.net.state.buffers import BUFFER_SIZE, MAX_BUFFERED_BODY, BufferedBody, BufferPool

MB = 1 << 20
HEAD = b"HTTP/1.1 200 OK\r\n"


def content(size: int, seed: int = 1) -> bytes:
    """Random bytes, the same for the same seed."""
    return random.Random(seed).randbytes(size)


def read_all(around: Surroundings, sock: socket.socket, size: int, at_most: int | None = None) -> bytes:
    """So many bytes from a connection, at most some in a turn."""
    got = bytearray()

    def more() -> bool:
        sock.settimeout(0)
        try:
            data = sock.recv(min(size - len(got), at_most or MB))
        except BlockingIOError:
            return False
        got.extend(data)
        return len(got) >= size or not data

    around.until(more, 20.0)
    return bytes(got)


def write_all(around: Surroundings, sock: socket.socket, data: bytes, within: float = 20.0) -> None:
    """Send all of the data while the loop turns."""
    rest = memoryview(data)

    def more() -> bool:
        nonlocal rest
        sock.settimeout(0)
        try:
            rest = rest[sock.send(rest) :]
        except BlockingIOError:
            return False
        return not rest

    around.until(more, within)


def head_and(around: Surroundings, sock: socket.socket) -> tuple[bytes, bytes]:
    """Return the head of a response, and what came behind it."""
    got = b""
    while b"\r\n\r\n" not in got:
        got += around.until(lambda: around.read(sock))
        assert not got.endswith(b"end")
    head, _, rest = got.partition(b"\r\n\r\n")
    return head, rest


def empty(around: Surroundings) -> None:
    """All buffers are back, nothing is in hand."""
    around.until(
        lambda: around.context.buffer_pool.in_use == 0 and not around.context.coordinator.pending_requests
    )
    assert not around.logged("defect") and not around.logged("module.defect")


# Answers.


def test_a_long_response_is_relayed_while_it_comes(around: Surroundings) -> None:
    """Its attempt has ended with its first bytes, and the connection is reused after the last."""
    client, body = around.ask(), content(MAX_BUFFERED_BODY + 1000)
    upstream = around.accept()
    around.received(upstream)
    upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body[:1000])
    head, got = head_and(around, client)
    assert b"200" in head and b"%d" % len(body) in head
    # The request has ended: a long response takes no capacity of its endpoint, and no deadline ends it.
    around.until(lambda: not around.context.coordinator.pending_requests)
    upstream.sendall(body[1000:])
    assert got + read_all(around, client, len(body) - len(got)) == body
    # The connection goes on.
    around.rested()
    client.sendall(around.request())
    around.received(upstream)
    around.reply(upstream)
    assert around.status(client) == 200
    empty(around)


def test_a_relayed_response_may_outlast_the_latency_objective(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """It began in time."""
    around = make_surroundings(settings={"categories": categories(150000)})
    client, body = around.ask(), content(3 * MAX_BUFFERED_BODY)
    upstream = around.accept()
    around.received(upstream)
    upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
    got = b""
    for start in range(0, len(body), MAX_BUFFERED_BODY // 2):
        upstream.sendall(body[start : start + MAX_BUFFERED_BODY // 2])
        around.let_pass(0.1)
    head, got = head_and(around, client)
    assert got + read_all(around, client, len(body) - len(got)) == body


def test_a_response_of_unknown_length_that_began_in_time_is_relayed(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """Though it is short, and ends late."""
    around = make_surroundings(settings={"categories": categories(300000)})
    client, body = around.ask(), content(60000)
    upstream = around.accept()
    around.received(upstream)
    upstream.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    for start in range(0, len(body), 10000):
        upstream.sendall(b"%x\r\n%s\r\n" % (10000, body[start : start + 10000]))
        around.let_pass(0.08)
    upstream.sendall(b"0\r\n\r\n")
    head, got = around.answer(client)
    assert head.status_code == 200 and got == body
    empty(around)


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_a_long_response_in_each_framing_is_forwarded_unchanged(around: Surroundings, framing: str) -> None:
    """With a length, in chunks, or up to the close."""
    client, body = around.ask(), content(5 * MAX_BUFFERED_BODY)
    upstream = around.accept()
    around.received(upstream)
    if framing == "length":
        upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
        write_all(around, upstream, body)
    elif framing == "chunked":
        pieces = [body[i : i + 5000] for i in range(0, len(body), 5000)]
        text = b"".join(b"%x;a=b\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-T: y\r\n\r\n"
        write_all(around, upstream, HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + text)
    else:
        write_all(around, upstream, HEAD + b"Connection: close\r\n\r\n" + body)
        upstream.close()
    head, got = around.answer(client)
    assert head.status_code == 200 and got == body
    empty(around)


def test_a_short_response_that_ends_with_its_connection_is_complete(around: Surroundings) -> None:
    """If it has `Connection: close`."""
    client = around.ask()
    upstream = around.accept()
    around.received(upstream)
    upstream.sendall(HEAD + b"Connection: close\r\n\r\nfine")
    upstream.close()
    assert around.answer(client)[1] == b"fine"


def test_many_long_responses_to_slow_clients_take_few_buffers(around: Surroundings) -> None:
    """And are forwarded unchanged."""
    bodies = [content(2 * MB, seed) for seed in range(12)]
    clients, upstreams = [], []
    for number in range(len(bodies)):
        client = around.client()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.sendall(around.request(x_trace_id=f"t{number}"))
        upstream = around.accept()
        around.received(upstream)
        upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(bodies[number]) + bodies[number][:100])
        around.until(lambda: not around.context.coordinator.pending_requests)
        clients.append(client)
        upstreams.append(upstream)
    left, got = [memoryview(b)[100:] for b in bodies], [bytearray() for _ in bodies]
    most = 0

    def some() -> bool:
        nonlocal most
        for i, (client, upstream) in enumerate(zip(clients, upstreams, strict=True)):
            client.settimeout(0)
            upstream.settimeout(0)
            with contextlib.suppress(BlockingIOError):
                left[i] = left[i][upstream.send(left[i][:MB]) :] if left[i] else left[i]
            with contextlib.suppress(BlockingIOError):
                got[i] += client.recv(30000)
        most = max(most, around.context.buffer_pool.in_use)
        return all(one.endswith(b[-100:]) for one, b in zip(got, bodies, strict=True))

    around.until(some, 60.0)
    for body, one in zip(bodies, got, strict=True):
        assert bytes(one).partition(b"\r\n\r\n")[2] == body
    # Between a source and its sink lies a window and what is being written; never a whole answer.
    assert most * BUFFER_SIZE <= len(bodies) * 3 * (STREAM_WINDOW + MAX_BUFFERED_BODY)
    empty(around)


def test_a_response_of_32_mib_is_forwarded_and_one_byte_more_is_too_long(around: Surroundings) -> None:
    """The limit of a relayed body."""
    client, body = around.ask(), content(MB) * 32
    upstream = around.accept()
    around.received(upstream)
    upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
    left, got = memoryview(body), bytearray()

    def some() -> bool:
        nonlocal left
        upstream.settimeout(0)
        client.settimeout(0)
        for _ in range(4):
            with contextlib.suppress(BlockingIOError):
                left = left[upstream.send(left[:MB]) :] if left else left
            with contextlib.suppress(BlockingIOError):
                got.extend(client.recv(MB))
        return len(got) > len(body)

    around.until(some, 60.0)
    assert got.endswith(body[-1000:]) and len(got.partition(b"\r\n\r\n")[2]) == MAX_STREAMED_BODY == len(body)
    empty(around)
    around.rested()
    other = around.ask(x_trace_id="t2")
    around.received(upstream)
    upstream.sendall(HEAD + b"Content-Length: %d\r\n\r\nx" % (MAX_STREAMED_BODY + 1))
    around.until(lambda: around.read(upstream) == b"end")
    assert around.logged("upstream.end")[-1]["reason"] == "answer-too-long"
    other.close()


@pytest.mark.parametrize("framing", [b"Content-Length: 200000", b"Transfer-Encoding: chunked"])
def test_a_response_that_breaks_off_resets_the_client(around: Surroundings, framing: bytes) -> None:
    """However it is framed."""
    client = around.ask()
    upstream = around.accept()
    around.received(upstream)
    piece = b"x" * 70000
    chunk = b"%x\r\n%s\r\n" % (len(piece), piece) if b"chunked" in framing else piece
    upstream.sendall(HEAD + framing + b"\r\n\r\n" + chunk)
    head_and(around, client)
    upstream.close()
    with pytest.raises(ConnectionResetError):
        around.until(lambda: around.logged("client.end"))
        client.settimeout(1)
        while client.recv(MB):
            pass
    assert around.logged("client.end")[0]["reason"] == "upstream-broke"
    empty(around)


def test_a_client_that_leaves_a_long_response_ends_the_connection_to_the_endpoint(
    around: Surroundings,
) -> None:
    """All buffers are given back."""
    client = around.ask()
    upstream = around.accept()
    around.received(upstream)
    upstream.sendall(HEAD + b"Content-Length: 9000000\r\n\r\n" + b"x" * 70000)
    head_and(around, client)
    client.close()
    around.until(lambda: around.read(upstream) == b"end")
    empty(around)


def test_of_two_long_responses_the_first_is_relayed_and_the_other_cancelled(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """Of a request and its hedge."""
    around = make_surroundings(upstreams=2)
    client = around.ask()
    around.context.coordinator.scheduler.balancer.hedging.delay = lambda request: 0.01
    i, one = around.until(around.accept_any)
    around.received(one)
    other = around.accept(1 - i)
    around.received(other)
    body = content(2 * MAX_BUFFERED_BODY)
    other.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    assert around.answer(client)[1] == body
    assert around.until(lambda: around.read(one)) == b"end"
    empty(around)


# Requests.


def upload(around: Surroundings, body: bytes, length: bool = True, **headers: str) -> socket.socket:
    """Begin a request with such a body, with or without a length; the body is not sent."""
    client = around.client()
    if length:
        client.sendall(around.request("buy", content_length=str(len(body)), **headers))
    else:
        client.sendall(around.request("buy", transfer_encoding="chunked", **headers))
    return client


@pytest.mark.parametrize("length", [True, False])
def test_a_long_request_body_is_relayed_while_it_comes(
    make_surroundings: Callable[..., Surroundings], length: bool
) -> None:
    """In few buffers; its time counts from its last byte."""
    around = make_surroundings(limits={"memory_mb": 24})
    body = content(3 * MB)
    client = upload(around, body, length)
    text = (
        body
        if length
        else b"".join(
            b"%x\r\n%s\r\n" % (len(p), p) for p in (body[i : i + 60000] for i in range(0, len(body), 60000))
        )
    )
    text = text if length else text + b"0\r\n\r\n"
    write_all(around, client, text[:MB])
    # The upstream has it already, before its last byte has come.
    upstream = around.accept()
    assert around.until(lambda: around.read(upstream)).startswith(b"POST /buy/1?q=2")
    [request] = [pending.request for pending in around.context.coordinator.pending_requests.values()]
    assert request.arrived_at > around.context.loop.now() + 1e6 and request.max_attempts == 1
    got, left = bytearray(), memoryview(text)[MB:]

    def some() -> bool:
        nonlocal left
        client.settimeout(0)
        with contextlib.suppress(BlockingIOError):
            left = left[client.send(left[:100000]) :] if left else left
        got.extend(around.read(upstream) or b"")
        assert around.context.buffer_pool.in_use * BUFFER_SIZE < 24 * MB / 3
        return len(got) >= len(body) - 65536 * 2 and not left

    around.until(some, 30.0)
    around.let_pass(0.1)
    got.extend(around.read(upstream) or b"")
    around.until(lambda: request.arrived_at < around.context.loop.now() + 1)
    around.reply(upstream)
    assert around.status(client) == 200
    empty(around)


def long_request(
    make_surroundings: Callable[..., Surroundings], upstreams: int = 2, **given: object
) -> tuple[Surroundings, socket.socket, int, socket.socket]:
    """A request of 3 MiB, 700,000 bytes of which are sent, and the endpoint that gets it."""
    around = make_surroundings(upstreams=upstreams, limits={"memory_mb": 24}, **given)
    client = upload(around, b"x" * 3 * MB)
    client.sendall(b"x" * 700000)
    i, upstream = around.until(around.accept_any)
    around.until(lambda: around.read(upstream))
    return around, client, i, upstream


def test_a_long_request_reset_before_its_last_byte_has_not_run(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """The client gets 503; it is not sent again."""
    around, client, i, upstream = long_request(make_surroundings)
    around.reset(upstream)
    assert around.status(client) == 503
    around.quiet(1 - i)  # what has been passed on can't be sent again
    empty(around)


def test_a_long_non_idempotent_request_reset_after_its_last_byte_may_have_run(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """The client gets 504."""
    around, client, i, upstream = long_request(make_surroundings)
    left = 3 * MB - 700000

    def some() -> bool:
        nonlocal left
        client.settimeout(0)
        with contextlib.suppress(BlockingIOError):
            left -= client.send(b"x" * min(left, 100000)) if left else 0
        around.read(upstream)
        return not left and all(
            e.written for pending in pending_requests.values() for e in pending.exchanges.values()
        )

    pending_requests = around.context.coordinator.pending_requests
    around.until(some, 20.0)
    around.reset(upstream)
    assert around.status(client) == 504
    around.quiet(1 - i)
    empty(around)


def test_a_long_request_rejected_before_its_end_is_rejected_to_the_client(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """The rest of its body is not sent."""
    around, client, i, upstream = long_request(make_surroundings)
    around.reply(upstream, status=503, extra="X-Never-Ran: 1\r\n")
    assert around.status(client) == 503
    assert around.logged("upstream.end")[0]["reason"] == "answered-early"
    empty(around)


def test_a_client_that_leaves_during_a_long_request_leaves_no_state(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """The connection to the endpoint is closed."""
    around, client, i, upstream = long_request(make_surroundings)
    client.close()
    around.until(lambda: around.read(upstream) == b"end")
    empty(around)


def test_a_long_request_that_could_not_be_sent_goes_to_another_endpoint(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """While nothing of its body has been taken."""
    around = make_surroundings(upstreams=2, limits={"memory_mb": 24})
    around.listeners[0].close()
    body = content(2 * MB)
    for number in range(6):
        client = upload(around, body, x_trace_id=f"t{number}")
        write_all(around, client, body[:MB])
        upstream = around.accept(1)
        got = read_all(around, upstream, MB // 2)
        assert got.startswith(b"POST /buy")
        client.close()
        empty(around)


@pytest.mark.parametrize("wrong", [{"x_qos": "other"}, {"x_expires_in_ms": "soon"}])
def test_an_invalid_long_request_leaves_no_state(around: Surroundings, wrong: dict[str, str]) -> None:
    """Its buffers are given back."""
    client = upload(around, b"x" * 2 * MB, **wrong)
    client.sendall(b"x" * 200000)
    assert around.status(client) in (400, 404)
    client.close()
    empty(around)


def test_the_time_of_a_request_counts_from_its_last_byte(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """Its body comes in pieces for longer than its latency objective, all of which is left then."""
    around = make_surroundings(settings={"categories": categories(200000)})
    body = content(30000)
    client = upload(around, body, x_expires_in_ms="390")
    for start in range(0, len(body), 5000):
        around.let_pass(0.08)
        client.sendall(body[start : start + 5000])
    upstream = around.accept()
    assert around.received(upstream)[1] == body
    around.let_pass(0.1)
    around.reply(upstream)
    assert around.status(client) == 200


def test_a_slow_steady_body_is_accepted_and_a_stalled_one_gets_408(around: Surroundings) -> None:
    """At 32 kB/s for a short time."""
    body = content(100000)
    steady, stalled = upload(around, body), upload(around, body, x_trace_id="t2")
    stalled.sendall(body[:5000])
    for start in range(0, len(body), 5000):
        around.let_pass(5000 / 32000)
        steady.sendall(body[start : start + 5000])
    # The head's time and 5 kB at the slowest pace are long over for the one that has stalled.
    assert around.logged("request.unfit") and around.status(stalled) == 408
    upstream = around.accept()
    assert around.received(upstream)[1] == body
    around.reply(upstream)
    assert around.status(steady) == 200


def test_an_absolute_target_is_forwarded_as_a_path(around: Surroundings) -> None:
    """RFC 9112, 3.2.2."""
    client = around.ask(lead="GET http://backend.local/look/1?q=2 HTTP/1.1")
    upstream = around.accept()
    request, _ = around.received(upstream)
    assert request.target == b"/look/1?q=2"
    around.reply(upstream)
    assert around.status(client) == 200


# The flow itself.


class End:
    """One end of a body stream."""

    def __init__(self) -> None:
        """Prepare an empty mailbox."""
        self.mail = []

    def post(self, message: object) -> None:
        """Note a message."""
        self.mail.append(message)


def test_a_body_stream_notifies_its_ends_once_and_releases_its_buffers() -> None:
    """The source and the sink are notified of a change only until they have handled it."""
    pool, source, sink = BufferPool(64), End(), End()
    flow = BodyStream(pool, source, None, BufferedBody(pool))
    flow.sink = sink
    for _ in range(17):
        flow.add(b"x" * BUFFER_SIZE)
    assert sink.mail == [BODY_STREAM_CHANGED] and flow.is_full and not flow.has_room()
    part = flow.take()
    assert part.length == 17 * BUFFER_SIZE and source.mail == [BODY_STREAM_CHANGED] and flow.has_room()
    flow.add(b"x")
    flow.release()
    part.release()
    assert flow.cancelled and len(source.mail) == 2 and pool.in_use == 0
    flow.add(b"more")
    assert pool.in_use == 0
