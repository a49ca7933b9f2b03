"""Many clients that leave in one moment: no attempt for them, first, retried or hedged, begins afterwards.

Attempts are counted where they arrive. The loop turns only while a test waits, so a late loop is one that a
test does not turn: all that happens meanwhile is read in the turns after.
"""

from __future__ import annotations

import contextlib
import re
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from conftest import SETTINGS, SidecarHarness, request_class_settings
from test_endings import LEAVE, disconnect
from test_streams import NEW, Peer

from starlingwheel.net.actor import Actor
from starlingwheel.net.http.http1 import QUIESCENCE_FRACTION
from starlingwheel.net.loop import HANGUP, MAX_EVENTS_PER_POLL, WRITE

MANY = MAX_EVENTS_PER_POLL + 44  # more than one turn reads the ends of
LATENCY_OBJECTIVE = 5_000_000  # µs; late requests are rejected, so that their attempts never begin
TIMEOUT_MS = 9_900
WINDOW = 65_535  # bytes that an upstream takes over HTTP/2 before it says that it takes more
ATTEMPT = re.compile(rb"(?:GET|POST) /(?:look|buy|move)/")
HEARD = pytest.mark.parametrize("heard", [True, False], ids=["heard", "not yet heard"])
CANCEL = pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no cancel"])


@pytest.fixture
def crowd(make_harness: Callable[..., SidecarHarness]) -> Callable[..., Crowd]:
    """Make a crowd of clients of a new sidecar."""

    def make(cancel: bool = True, settings: dict[str, Any] | None = None, **given: object) -> Crowd:
        caps = SETTINGS["caps"] | {"cancel": cancel, "connectTimeout": 5000000}
        settings = {"caps": caps, "categories": request_class_settings(LATENCY_OBJECTIVE)} | (settings or {})
        return Crowd(make_harness(limits={"sockets": 4096}, settings=settings, **given))

    return make


class Crowd:
    """Many clients of one sidecar, and what endpoints get for them."""

    def __init__(self, harness: SidecarHarness) -> None:
        """Let endpoints accept that many, and be chosen however many requests they have."""
        self.harness, self.context, self.upstreams = harness, harness.context, []
        for listener in harness.listeners:
            listener.listen(2 * MANY)
        balancer = self.context.coordinator.scheduler.balancer
        balancer.selector.latency_fraction = balancer.load.queue_limit = (
            1e9  # as many upstreams would take as many
        )

    def ask(self, count: int = MANY, category: str = "look", **headers: str) -> list[socket.socket]:
        """Send so many requests, each from a client of its own."""
        body = b"" if category == "look" else b"one"
        headers["x_expires_in_ms"] = str(TIMEOUT_MS)
        return [
            self.harness.send_request(category, body, x_trace_id=f"c{i}", **headers) for i in range(count)
        ]

    def keep_connections(self) -> None:
        """Leave so many connections idle that each attempt to come could be written at once."""
        clients = self.ask()
        self.until_begun(MANY)
        for sock in self.upstreams:
            self.harness.send_response(sock)
        self.harness.wait_until(lambda: len(self.context.connections.idle_endpoint_connections) == MANY)
        self.leave(clients, late=0)
        self.harness.wait_until(lambda: not self.context.connections.clients)
        self.harness.run_for(QUIESCENCE_FRACTION * self.context.shortest_objective)

    @contextlib.contextmanager
    def unheard(self) -> Iterator[None]:
        """The end of no client is read meanwhile."""
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

    def leave(self, clients: list[socket.socket], how: str = "closes", late: float = 0.15) -> None:
        """All at once, while the loop is late."""
        for client in clients:
            disconnect(self.harness, client, how)
        time.sleep(late)

    def attempts(self) -> int:
        """The number of attempts that have begun since the last call."""
        while found := self.harness.accept_any():
            self.upstreams.append(found[1])
        begun = 0
        for sock in self.upstreams:
            while sock.fileno() >= 0 and (data := self.harness.read(sock)) and data != b"end":
                begun += len(ATTEMPT.findall(data))
        return begun

    def until_begun(self, count: int) -> None:
        """Turn the loop until so many attempts have begun, and no more; while none of them is late."""
        begun = 0

        def enough() -> bool:
            nonlocal begun
            begun += self.attempts()
            return begun >= count

        self.harness.wait_until(enough, timeout=LATENCY_OBJECTIVE / 1e6)
        assert begun == count

    def begun_meanwhile(self) -> int:
        """The number of attempts that begin within some turns."""
        begun = 0
        for _ in range(10):
            self.harness.run_for(0.02)
            begun += self.attempts()
        return begun

    def all_settled(self) -> int:
        """No client is left; the attempts that began until then and just after."""
        self.harness.wait_until(lambda: not self.context.connections.clients)
        return self.begun_meanwhile()


@contextlib.contextmanager
def connections_come_up_late(harness: SidecarHarness) -> Iterator[list[tuple[int, Actor, int]]]:
    """Delay the socket events of new connections to endpoints until the end of the block."""
    loop, kept = harness.context.loop, []
    watch = loop.register

    def watched(descriptor: int, actor: Actor, mask: int) -> None:
        if mask == WRITE and hasattr(actor, "pool"):
            kept.append((descriptor, actor, mask))
        else:
            watch(descriptor, actor, mask)

    loop.register = watched
    yield kept
    loop.register = watch
    for descriptor, actor, mask in kept:
        if not actor.ended:
            watch(descriptor, actor, mask)


@CANCEL
@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("category", ["look", "buy", "move"])
def test_requests_unread_when_their_clients_left_are_not_sent(
    crowd: Callable[..., Crowd], cancel: bool, how: str, category: str
) -> None:
    """No attempt begins for any of them."""
    many = crowd(cancel)
    many.keep_connections()
    clients = many.ask(category=category, idempotency_key="k" if category == "move" else None)
    many.leave(clients, how)
    assert many.all_settled() == 0


@CANCEL
@HEARD
@pytest.mark.parametrize("how", LEAVE)
def test_connections_that_come_up_after_a_burst_has_left_are_not_written_to(
    crowd: Callable[..., Crowd], cancel: bool, heard: bool, how: str
) -> None:
    """Whether the disconnects have been handled or not."""
    many = crowd(cancel)
    with connections_come_up_late(many.harness) as kept:
        clients = many.ask()
        many.harness.wait_until(lambda: len(kept) == MANY)
        if heard:
            many.leave(clients, how)
            many.harness.wait_until(lambda: not many.context.connections.clients)
    if not heard:
        with many.unheard():
            many.leave(clients, how)
            assert many.begun_meanwhile() == 0
    assert many.all_settled() == 0


@CANCEL
@pytest.mark.parametrize("kept", [True, False], ids=["kept connections", "new connections"])
def test_rejected_requests_are_not_retried_for_a_burst_that_has_left(
    crowd: Callable[..., Crowd], cancel: bool, kept: bool
) -> None:
    """The rejections and the disconnects are read in the same turn."""
    many = crowd(cancel, upstreams=2)
    if kept:
        many.keep_connections()
    clients = many.ask()
    many.until_begun(MANY)
    with many.unheard():
        for sock in many.upstreams:
            many.harness.send_response(sock, status=503, extra="X-Never-Ran: 1\r\n")
        many.leave(clients)
        assert many.begun_meanwhile() == 0
    assert many.all_settled() == 0


@CANCEL
@HEARD
def test_no_hedge_is_sent_for_a_burst_that_has_left(
    crowd: Callable[..., Crowd], cancel: bool, heard: bool
) -> None:
    """Hedges are due when the clients leave."""
    many, crowded = crowd(cancel, upstreams=2), True
    balancer = many.context.coordinator.scheduler.balancer
    balancer.hedging.delay, balancer.load.is_overloaded = lambda request: 0.1, lambda: crowded
    clients = many.ask()
    many.until_begun(MANY)
    crowded = False
    with contextlib.nullcontext() if heard else many.unheard():
        many.leave(clients)  # by then a second attempt is due for each
        assert many.begun_meanwhile() == 0
    assert many.all_settled() == 0


@CANCEL
def test_a_burst_that_sent_more_behind_its_requests_is_seen_to_have_left(
    crowd: Callable[..., Crowd], cancel: bool
) -> None:
    """What lies unread hides the end from one who looks at the next byte only."""
    many = crowd(cancel)
    with connections_come_up_late(many.harness) as kept:
        clients = many.ask()
        many.harness.wait_until(lambda: len(kept) == MANY)
    with many.unheard():
        for client in clients:
            client.sendall(many.harness.request_bytes(x_trace_id="behind"))
            client.shutdown(socket.SHUT_WR)
        assert many.begun_meanwhile() == 0
    assert many.all_settled() == 0


# HTTP/2: many attempts on one connection.


@pytest.fixture
def multiplexed(crowd: Callable[..., Crowd]) -> Callable[..., Crowd]:
    """Make a crowd of clients of a sidecar that uses HTTP/2."""

    def make(cancel: bool) -> Crowd:
        caps = NEW["caps"] | {"cancel": cancel, "connectTimeout": 5000000}
        many = crowd(settings=NEW | {"caps": caps})
        many.harness.push_snapshot()
        return many

    return make


@CANCEL
@HEARD
def test_over_http_2_nothing_is_sent_for_a_burst_that_left_before_the_connection_was_up(
    multiplexed: Callable[..., Crowd], cancel: bool, heard: bool
) -> None:
    """Ninety requests wait for one connection."""
    many = multiplexed(cancel)
    with connections_come_up_late(many.harness) as kept:
        clients = many.ask(90)
        pending_requests = many.context.coordinator.pending_requests
        many.harness.wait_until(
            lambda: sum(len(pending.exchanges) for pending in pending_requests.values()) == 90
        )
        if heard:
            many.leave(clients)
            many.harness.wait_until(lambda: not many.context.connections.clients)
    assert len(kept) == 1
    with many.unheard():
        if not heard:
            many.leave(clients)
        peer = Peer(many.harness)
        for _ in range(10):
            peer.read()
            many.harness.run_for(0.01)
    assert not peer.asked


@CANCEL
@HEARD
@pytest.mark.parametrize("how", LEAVE)
def test_over_http_2_the_rest_of_a_body_is_not_sent_for_a_client_that_has_left(
    multiplexed: Callable[..., Crowd], cancel: bool, heard: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The flow-control window opens after the client has left."""
    monkeypatch.setattr(Peer, "acknowledges", False)
    many = multiplexed(cancel)
    harness = many.harness
    client = harness.send_request("buy", bytes(WINDOW + 1))
    peer = Peer(harness)
    peer.until(lambda: sum(map(len, peer.bodies.values())) == WINDOW)
    (stream,) = peer.asked
    with contextlib.nullcontext() if heard else many.unheard():
        many.leave([client], how)
        if heard:
            harness.wait_until(lambda: not many.context.connections.clients)
        peer.http.increment_flow_control_window(WINDOW)
        peer.http.increment_flow_control_window(WINDOW, stream)
        peer.flush()
        peer.until(lambda: stream in peer.resets)
    assert not peer.ended and len(peer.bodies[stream]) == WINDOW
    harness.wait_until(lambda: not many.context.coordinator.pending_requests)
    assert many.context.buffer_pool.in_use == 0


@CANCEL
def test_over_http_2_no_stream_is_begun_where_nothing_can_be_written(
    multiplexed: Callable[..., Crowd], cancel: bool
) -> None:
    """The client leaves while the connection can't be written, and only the other request is sent."""
    many = multiplexed(cancel)
    harness = many.harness
    first = harness.send_request()
    peer = Peer(harness)
    peer.answer(*peer.received(1))
    assert harness.read_status(first) == 200
    (connection,) = many.context.connections.endpoint_connections
    connection.stream.write = lambda: not connection.stream.unwritten  # the kernel takes nothing
    stays, leaves = harness.send_request(x_trace_id="stays"), harness.send_request(x_trace_id="leaves")
    harness.wait_until(
        lambda: sum(len(pending.exchanges) for pending in many.context.coordinator.pending_requests.values())
        == 2
    )
    harness.run_for(0.05)
    with many.unheard():
        many.leave([leaves])
        del connection.stream.write
        peer.until(lambda: len(peer.ended) > 1)
        harness.run_for(0.05)
    peer.read()
    assert [asked["x-trace-id"] for asked in peer.asked.values()] == ["t1", "stays"]
    peer.answer(peer.ended[-1])
    assert harness.read_status(stays) == 200
