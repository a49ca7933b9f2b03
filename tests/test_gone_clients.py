"""No attempt, first, retry or hedge, begins for a burst of clients that have disconnected at the same time.

A burst has more disconnects than one turn of the loop reads, and the loop is late when they happen. Attempts
are counted at the endpoint. The loop runs only while a test waits, so a test delays it by not running it.
"""

from __future__ import annotations

import contextlib
import re
import socket
import time
from collections.abc import Callable, Iterator
from math import inf
from typing import Any

import pytest
from conftest import SETTINGS, SidecarHarness, request_class_settings
from test_endings import DISCONNECT_METHODS, disconnect
from test_streams import HTTP2_SETTINGS, Http2Upstream

from starlingwheel.net.actor import Actor
from starlingwheel.net.http.response_attribution import MIN_REST
from starlingwheel.net.loop import HANGUP, MAX_EVENTS_PER_POLL, WRITE

BURST_SIZE = MAX_EVENTS_PER_POLL + 44  # more disconnects than one turn of the loop reads
LATENCY_OBJECTIVE = 5_000_000  # µs; late requests are rejected, so that their attempts never begin
TIMEOUT_MS = 9_900
FLOW_CONTROL_WINDOW = 65_535  # bytes that an endpoint accepts over HTTP/2 without a window update
ATTEMPT = re.compile(rb"(?:GET|POST) /(?:look|buy|move)/")
DISCONNECT_HANDLED = pytest.mark.parametrize("handled", [True, False], ids=["heard", "not yet heard"])
CANCEL_ALLOWED = pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no cancel"])


@pytest.fixture
def make_burst(make_harness: Callable[..., SidecarHarness]) -> Callable[..., ClientBurst]:
    """Make bursts of clients, each of a new sidecar."""

    def make(cancel: bool = True, settings: dict[str, Any] | None = None, **options: object) -> ClientBurst:
        caps = SETTINGS["caps"] | {"cancel": cancel, "connectTimeout": 5000000}
        settings = {"caps": caps, "categories": request_class_settings(LATENCY_OBJECTIVE)} | (settings or {})
        return ClientBurst(make_harness(limits={"sockets": 4096}, settings=settings, **options))

    return make


class ClientBurst:
    """Many clients of one sidecar, and the attempts that endpoints receive for them."""

    def __init__(self, harness: SidecarHarness) -> None:
        """Make endpoints accept all connections and be chosen however many requests they have."""
        self.harness, self.context, self.upstreams = harness, harness.context, []
        for listener in harness.listeners:
            listener.listen(2 * BURST_SIZE)
        balancer = self.context.coordinator.scheduler.balancer
        balancer.selector.latency_fraction = balancer.load.queue_limit = (
            1e9  # no limit, so that the endpoints take the whole burst
        )

    def send_requests(
        self, count: int = BURST_SIZE, category: str = "look", **headers: str
    ) -> list[socket.socket]:
        """Send `count` requests, each from its own client."""
        body = b"" if category == "look" else b"one"
        headers["x_expires_in_ms"] = str(TIMEOUT_MS)
        return [
            self.harness.send_request(category, body, x_trace_id=f"c{i}", **headers) for i in range(count)
        ]

    def fill_idle_connections(self) -> None:
        """Open enough idle connections for each later attempt to be written at once."""
        clients = self.send_requests()
        self.wait_for_attempts(BURST_SIZE)
        for sock in self.upstreams:
            self.harness.send_response(sock)
        self.harness.wait_until(lambda: len(self.context.connections.idle_endpoint_connections) == BURST_SIZE)
        self.disconnect_all(clients, loop_delay=0)
        self.harness.wait_until(lambda: not self.context.connections.clients)
        self.harness.run_for(MIN_REST)

    @contextlib.contextmanager
    def disconnects_delayed(self) -> Iterator[None]:
        """Delay the socket events of clients that wait for a response until the end of the block."""
        loop, actors = (
            self.context.loop,
            [c for c in self.context.connections.clients if c.pending is not None],
        )
        descriptors = [actor.stream.sock.fileno() for actor in actors]
        for descriptor in descriptors:
            loop.unregister(descriptor)
        yield
        for descriptor, actor in zip(descriptors, actors, strict=True):
            if not actor.ended:
                loop.register(descriptor, actor, HANGUP)

    def disconnect_all(
        self, clients: list[socket.socket], how: str = "closes", loop_delay: float = 0.15
    ) -> None:
        """Disconnect all clients, and delay the loop by `loop_delay` seconds."""
        for client in clients:
            disconnect(self.harness, client, how)
        time.sleep(loop_delay)

    def count_new_attempts(self) -> int:
        """Return the number of attempts that have begun since the last call."""
        while found := self.harness.accept_any():
            self.upstreams.append(found[1])
        begun = 0
        for sock in self.upstreams:
            while sock.fileno() >= 0 and (data := self.harness.read(sock)) and data != b"end":
                begun += len(ATTEMPT.findall(data))
        return begun

    def wait_for_attempts(self, count: int) -> None:
        """Run the loop until exactly `count` attempts have begun, before any of them is late."""
        begun = 0

        def have_begun() -> bool:
            nonlocal begun
            begun += self.count_new_attempts()
            return begun >= count

        self.harness.wait_until(have_begun, timeout=LATENCY_OBJECTIVE / 1e6)
        assert begun == count

    def count_later_attempts(self) -> int:
        """Return the number of attempts that begin within some turns of the loop."""
        begun = 0
        for _ in range(10):
            self.harness.run_for(0.02)
            begun += self.count_new_attempts()
        return begun

    def count_attempts_until_closed(self) -> int:
        """Wait until no client is connected; return the number of attempts until then and shortly after."""
        self.harness.wait_until(lambda: not self.context.connections.clients)
        return self.count_later_attempts()


@contextlib.contextmanager
def connect_events_delayed(
    harness: SidecarHarness, limit: float = inf
) -> Iterator[list[tuple[int, Actor, int]]]:
    """Delay the events of the first `limit` new connections to endpoints until the end of the block."""
    loop, kept = harness.context.loop, []
    register = loop.register

    def delay_register(descriptor: int, actor: Actor, mask: int) -> None:
        if mask == WRITE and hasattr(actor, "pool") and len(kept) < limit:
            kept.append((descriptor, actor, mask))
        else:
            register(descriptor, actor, mask)

    loop.register = delay_register
    yield kept
    loop.register = register
    for descriptor, actor, mask in kept:
        if not actor.ended:
            register(descriptor, actor, mask)


@CANCEL_ALLOWED
@pytest.mark.parametrize("how", DISCONNECT_METHODS)
@pytest.mark.parametrize("category", ["look", "buy", "move"])
def test_requests_unread_when_their_clients_left_are_not_sent(
    make_burst: Callable[..., ClientBurst], cancel: bool, how: str, category: str
) -> None:
    """Idle connections could carry all of the requests, but no attempt begins."""
    burst = make_burst(cancel)
    burst.fill_idle_connections()
    clients = burst.send_requests(category=category, idempotency_key="k" if category == "move" else None)
    burst.disconnect_all(clients, how)
    assert burst.count_attempts_until_closed() == 0


@CANCEL_ALLOWED
@DISCONNECT_HANDLED
@pytest.mark.parametrize("how", DISCONNECT_METHODS)
def test_connections_that_come_up_after_a_burst_has_left_are_not_written_to(
    make_burst: Callable[..., ClientBurst], cancel: bool, handled: bool, how: str
) -> None:
    """Holds whether the disconnects have been handled or not."""
    burst = make_burst(cancel)
    with connect_events_delayed(burst.harness) as kept:
        clients = burst.send_requests()
        burst.harness.wait_until(lambda: len(kept) == BURST_SIZE)
        if handled:
            burst.disconnect_all(clients, how)
            burst.harness.wait_until(lambda: not burst.context.connections.clients)
    if not handled:
        with burst.disconnects_delayed():
            burst.disconnect_all(clients, how)
            assert burst.count_later_attempts() == 0
    assert burst.count_attempts_until_closed() == 0


@CANCEL_ALLOWED
@pytest.mark.parametrize("kept", [True, False], ids=["kept connections", "new connections"])
def test_rejected_requests_are_not_retried_for_a_burst_that_has_left(
    make_burst: Callable[..., ClientBurst], cancel: bool, kept: bool
) -> None:
    """The loop reads the rejections and the disconnects in the same turn.

    On a busy machine the first requests are due for a hedge before the last ones have begun. While the
    attempts begin, hedges are held back as under overload.
    """
    burst, overloaded = make_burst(cancel, upstreams=2), True
    if kept:
        burst.fill_idle_connections()
    burst.context.coordinator.scheduler.balancer.load.is_overloaded = lambda: overloaded
    clients = burst.send_requests()
    burst.wait_for_attempts(BURST_SIZE)
    overloaded = False
    with burst.disconnects_delayed():
        for sock in burst.upstreams:
            burst.harness.send_response(sock, status=503, extra="X-Never-Ran: 1\r\n")
        burst.disconnect_all(clients)
        assert burst.count_later_attempts() == 0
    assert burst.count_attempts_until_closed() == 0


@CANCEL_ALLOWED
@DISCONNECT_HANDLED
def test_no_hedge_is_sent_for_a_burst_that_has_left(
    make_burst: Callable[..., ClientBurst], cancel: bool, handled: bool
) -> None:
    """The hedges are due when the clients disconnect."""
    burst, overloaded = make_burst(cancel, upstreams=2), True
    balancer = burst.context.coordinator.scheduler.balancer
    balancer.hedging.delay, balancer.load.is_overloaded = lambda request: 0.1, lambda: overloaded
    clients = burst.send_requests()
    burst.wait_for_attempts(BURST_SIZE)
    overloaded = False
    with contextlib.nullcontext() if handled else burst.disconnects_delayed():
        burst.disconnect_all(clients)  # by then a hedge is due for each request
        assert burst.count_later_attempts() == 0
    assert burst.count_attempts_until_closed() == 0


@CANCEL_ALLOWED
def test_clients_that_disconnect_after_pipelined_input_are_detected(
    make_burst: Callable[..., ClientBurst], cancel: bool
) -> None:
    """Unread input hides the disconnect from a check that looks at the next byte only."""
    burst = make_burst(cancel)
    with connect_events_delayed(burst.harness) as kept:
        clients = burst.send_requests()
        burst.harness.wait_until(lambda: len(kept) == BURST_SIZE)
    with burst.disconnects_delayed():
        for client in clients:
            client.sendall(burst.harness.request_bytes(x_trace_id="behind"))
            client.shutdown(socket.SHUT_WR)
        assert burst.count_later_attempts() == 0
    assert burst.count_attempts_until_closed() == 0


# HTTP/2: many attempts on one connection.


@pytest.fixture
def make_http2_burst(make_burst: Callable[..., ClientBurst]) -> Callable[..., ClientBurst]:
    """Make bursts of clients, each of a sidecar that uses HTTP/2."""

    def make(cancel: bool) -> ClientBurst:
        caps = HTTP2_SETTINGS["caps"] | {"cancel": cancel, "connectTimeout": 5000000}
        burst = make_burst(settings=HTTP2_SETTINGS | {"caps": caps})
        burst.harness.push_snapshot()
        return burst

    return make


@CANCEL_ALLOWED
@DISCONNECT_HANDLED
def test_over_http_2_nothing_is_sent_for_a_burst_that_left_before_the_connection_was_up(
    make_http2_burst: Callable[..., ClientBurst], cancel: bool, handled: bool
) -> None:
    """Ninety requests wait for one connection to be established."""
    burst = make_http2_burst(cancel)
    with connect_events_delayed(burst.harness) as kept:
        clients = burst.send_requests(90)
        pending_requests = burst.context.coordinator.pending_requests
        burst.harness.wait_until(
            lambda: sum(len(pending.exchanges) for pending in pending_requests.values()) == 90
        )
        if handled:
            burst.disconnect_all(clients)
            burst.harness.wait_until(lambda: not burst.context.connections.clients)
    assert len(kept) == 1
    with burst.disconnects_delayed():
        if not handled:
            burst.disconnect_all(clients)
        upstream = Http2Upstream(burst.harness)
        for _ in range(10):
            upstream.read()
            burst.harness.run_for(0.01)
    assert not upstream.requests


@CANCEL_ALLOWED
@DISCONNECT_HANDLED
@pytest.mark.parametrize("how", DISCONNECT_METHODS)
def test_over_http_2_the_rest_of_a_body_is_not_sent_for_a_client_that_has_left(
    make_http2_burst: Callable[..., ClientBurst],
    cancel: bool,
    handled: bool,
    how: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The flow-control window reopens after the client has disconnected."""
    monkeypatch.setattr(Http2Upstream, "acknowledges", False)
    burst = make_http2_burst(cancel)
    harness = burst.harness
    client = harness.send_request("buy", bytes(FLOW_CONTROL_WINDOW + 1))
    upstream = Http2Upstream(harness)
    upstream.wait_until(lambda: sum(map(len, upstream.bodies.values())) == FLOW_CONTROL_WINDOW)
    (stream,) = upstream.requests
    with contextlib.nullcontext() if handled else burst.disconnects_delayed():
        burst.disconnect_all([client], how)
        if handled:
            harness.wait_until(lambda: not burst.context.connections.clients)
        upstream.http.increment_flow_control_window(FLOW_CONTROL_WINDOW)
        upstream.http.increment_flow_control_window(FLOW_CONTROL_WINDOW, stream)
        upstream.flush()
        upstream.wait_until(lambda: stream in upstream.resets)
    assert not upstream.complete_streams and len(upstream.bodies[stream]) == FLOW_CONTROL_WINDOW
    harness.wait_until(lambda: not burst.context.coordinator.pending_requests)
    assert burst.context.buffer_pool.in_use == 0


@CANCEL_ALLOWED
def test_over_http_2_no_stream_is_begun_where_nothing_can_be_written(
    make_http2_burst: Callable[..., ClientBurst], cancel: bool
) -> None:
    """One client disconnects while the connection is not writable; only the other request is sent."""
    burst = make_http2_burst(cancel)
    harness = burst.harness
    first = harness.send_request()
    upstream = Http2Upstream(harness)
    upstream.respond(*upstream.wait_for_requests(1))
    assert harness.read_status(first) == 200
    (connection,) = burst.context.connections.endpoint_connections
    connection.stream.write = lambda: not connection.stream.unwritten  # the socket is not writable
    staying, leaving = harness.send_request(x_trace_id="stays"), harness.send_request(x_trace_id="leaves")
    harness.wait_until(
        lambda: sum(len(pending.exchanges) for pending in burst.context.coordinator.pending_requests.values())
        == 2
    )
    harness.run_for(0.05)
    with burst.disconnects_delayed():
        burst.disconnect_all([leaving])
        del connection.stream.write
        upstream.wait_until(lambda: len(upstream.complete_streams) > 1)
        harness.run_for(0.05)
    upstream.read()
    assert [request["x-trace-id"] for request in upstream.requests.values()] == ["t1", "stays"]
    upstream.respond(upstream.complete_streams[-1])
    assert harness.read_status(staying) == 200
