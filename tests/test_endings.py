"""What is to be done still in the instant in which something ends; docs/endings.md lists the cases.

The order of events is forced: the loop turns only while a test waits, and `events_delayed` delays a socket's.
"""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from conftest import SETTINGS, Surroundings, address, bound, categories

from fakes.loopback import free_address
from starlingwheel.net.actor import Actor
from starlingwheel.net.discovery import client as discovery
from starlingwheel.net.http import http1
from starlingwheel.net.http.client_connection import ClientConnection
from starlingwheel.net.http.http1 import Http1Connection
from starlingwheel.net.http.http2 import Http2Connection
from starlingwheel.net.http.listener import MAX_ACCEPTS_PER_TURN
from starlingwheel.net.http.pool import ConnectionPool
from starlingwheel.net.lifecycle import shutdown as stop
from starlingwheel.net.loop import HANGUP, READ, WRITE, socket_ready
from starlingwheel.net.messages import CLOSE, STOP

NO_CANCEL = {"caps": SETTINGS["caps"] | {"cancel": False}}
PUSHED = {"discovery": "push", "rules": {"drainGrace": 100000}}
Start = tuple[subprocess.Popen[bytes], Callable[[], int], Callable[[int], None]]
AnsweredOnce = tuple[Surroundings, socket.socket, socket.socket]
LEAVE = ["closes", "resets", "ends its sending"]


def disconnect(around: Surroundings, client: socket.socket, how: str = "closes") -> None:
    """End a client's connection in one of the ways of `LEAVE`."""
    match how:
        case "closes":
            client.close()
        case "resets":
            around.reset(client)
        case _:
            client.shutdown(socket.SHUT_WR)


@contextlib.contextmanager
def events_delayed(around: Surroundings, actor: Actor, mask: int) -> Iterator[None]:
    """Delay the socket events of an actor meanwhile, as by a late turn of the loop."""
    descriptor = actor.stream.sock.fileno()
    around.context.loop.unregister(descriptor)
    yield
    if not actor.ended:
        around.context.loop.register(descriptor, actor, mask)


def waiting_client(around: Surroundings) -> ClientConnection:
    """The sidecar's end of the only client that waits."""
    return around.until(
        lambda: next((c for c in around.context.connections.clients if c.pending is not None), None)
    )


def connecting(around: Surroundings) -> Http1Connection | Http2Connection:
    """A connection to an endpoint that was begun, and none of whose socket events was read."""
    connections = around.context.connections.to_endpoints
    while not connections:
        around.context.loop.run_once(0)
    return next(iter(connections))


def assert_nothing_arrives(around: Surroundings, sock: socket.socket, seconds: float = 0.05) -> None:
    """No byte arrives for some seconds; the connection may close."""
    around.let_pass(seconds)
    assert around.read(sock) in (None, b"end")


# A client that has left while its request waited: nothing is sent for it.


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("category", ["look", "buy", "move"])
def test_a_request_unread_when_its_client_left_is_not_forwarded(
    around: Surroundings, category: str, how: str
) -> None:
    """The request and the close are read in the same turn."""
    kept = around.serve() if around.ask() else None
    client = around.ask(category, b"" if category == "look" else b"one", x_trace_id="t2")
    disconnect(around, client, how)
    around.until(lambda: around.logged("client.end"))
    assert_nothing_arrives(around, kept)
    around.quiet()
    assert around.context.coordinator.counts["left"] == 0 and around.context.buffer_pool.in_use == 0


def test_a_pipelined_request_is_not_forwarded_once_its_client_has_left(around: Surroundings) -> None:
    """The response to the first and the close are handled in the same turn."""
    client = around.client()
    client.sendall(around.request() + around.request(x_trace_id="t2"))
    upstream = around.accept()
    around.received(upstream)
    actor, ended = waiting_client(around), socket_ready(HANGUP)
    post = actor.post
    actor.post = lambda message: (post(message), post(ended))  # the answer, and behind it the client's end
    around.reply(upstream)
    client.close()
    around.until(lambda: actor.ended)
    assert_nothing_arrives(around, upstream)


@pytest.mark.parametrize("settings", [{}, NO_CANCEL], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("heard", [True, False], ids=["heard", "not yet heard"])
def test_an_attempt_whose_connection_comes_up_after_its_client_left_is_not_written(
    make_surroundings: Callable[..., Surroundings], settings: dict[str, Any], heard: bool
) -> None:
    """Whether the close has been handled or not, and whether attempts may be cancelled or not."""
    around = make_surroundings(settings=settings)
    client = around.ask("buy", b"one")
    connection = connecting(around)
    actor = waiting_client(around)
    with events_delayed(around, actor, HANGUP) if not heard else contextlib.nullcontext():
        with events_delayed(around, connection, WRITE):
            client.close()
            if heard:
                around.until(lambda: around.logged("client.end"))
        assert_nothing_arrives(around, around.accept())
    assert (
        around.until(lambda: not around.context.coordinator.pending_requests)
        and around.context.buffer_pool.in_use == 0
    )


def test_a_client_that_leaves_before_a_retry_ends_it(make_surroundings: Callable[..., Surroundings]) -> None:
    """The retry's connection comes up, and nothing is written."""
    around = make_surroundings(upstreams=2)
    client = around.ask("buy", b"one")
    i, upstream = around.until(around.accept_any)
    around.received(upstream)
    with events_delayed(around, waiting_client(around), HANGUP):
        around.reply(upstream, status=503, extra="X-Never-Ran: 1\r\n")
        client.close()
        assert_nothing_arrives(around, around.accept(1 - i))


def test_a_request_whose_client_left_during_a_health_check_is_not_forwarded(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """The health check of the endpoint ends after the close."""
    caps = SETTINGS["caps"] | {"peers": False}
    around = make_surroundings(settings={"caps": caps, "categories": categories(4000000)})
    client = around.ask("buy", b"one")
    upstream = around.accept()
    request, _ = around.received(upstream)
    assert request.target == b"/health"
    with events_delayed(around, waiting_client(around), HANGUP):
        client.close()
        around.reply(upstream)
        assert_nothing_arrives(around, upstream)


def test_a_delayed_last_byte_is_not_written_once_the_client_has_left(
    around: Surroundings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """So the request does not run."""
    monkeypatch.setattr("starlingwheel.net.http.request_writer.LAST_BYTE_DELAY_FRACTION", 0.2)
    around.context.resets_expected_until = float("inf")
    client = around.ask("buy", b"one")
    upstream = around.accept()
    got = around.until(lambda: around.read(upstream))
    assert got.endswith(b"on")
    with events_delayed(around, waiting_client(around), HANGUP):
        client.close()
        assert_nothing_arrives(around, upstream, 0.3)


def test_a_client_is_heard_to_leave_while_its_body_waits_for_room(around: Surroundings) -> None:
    """It has sent all of its body before, which must not be forwarded in full."""
    size = 300_000
    client = around.client()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size * 2)
    client.settimeout(0)
    rest = memoryview(around.request("buy", content_length=str(size)) + b"x" * size)
    upstream = None
    for listener in around.listeners:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    while rest:
        with contextlib.suppress(BlockingIOError):
            rest = rest[client.send(rest) :]
        around.context.loop.run_once(0)
    upstream = around.accept()
    flow = around.until(
        lambda: next((j.body for j in around.context.coordinator.pending_requests.values()), None)
    )
    around.until(lambda: flow.is_full)
    client.close()
    assert around.until(lambda: around.logged("client.end"))[0]["reason"] == "client-left"
    assert not flow.ended
    got = 0
    while data := around.until(lambda: around.read(upstream)):
        if data == b"end":
            break
        got += len(data)
    assert got < size


def test_over_http_2_a_stream_is_not_begun_for_a_client_that_has_left(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """The connection comes up before the close is handled."""
    from test_streams import NEW, Peer

    around = make_surroundings(settings=NEW | {"rules": {}})
    around.hear()
    client = around.ask()
    connection = connecting(around)
    with events_delayed(around, waiting_client(around), HANGUP):
        client.close()
        peer = Peer(around)
        around.until(lambda: connection.connected)
        for _ in range(5):
            peer.read()
            around.let_pass(0.01)
        assert not peer.asked


@pytest.fixture
def just_answered(
    make_surroundings: Callable[..., Surroundings], monkeypatch: pytest.MonkeyPatch
) -> AnsweredOnce:
    """A client, and a connection to an endpoint that has just answered: for a minute it is not quiescent."""
    around = make_surroundings(settings={"caps": SETTINGS["caps"] | {"keepalive": 600_000_000}})
    monkeypatch.setattr(http1, "QUIESCENCE_FRACTION", 60.0)
    client = around.client()
    client.sendall(around.request())
    first = around.serve(body=b"one")
    assert around.answer(client)[1] == b"one"
    around.until(around.context.connections.longest_idle)
    return around, client, first


def test_a_late_second_response_is_not_taken_for_that_of_the_next_request(
    just_answered: AnsweredOnce,
) -> None:
    """The next request goes by another connection."""
    around, client, first = just_answered
    client.sendall(around.request(x_trace_id="t2"))
    second = around.accept()
    around.received(second)
    around.reply(first, body=b"one")
    around.until(lambda: around.logged("upstream.end"))
    assert around.logged("upstream.end")[0]["reason"] == "unasked-bytes"
    around.reply(second, body=b"two")
    assert around.answer(client)[1] == b"two"


def test_a_request_does_not_wait_for_a_connection_that_has_just_answered(just_answered: AnsweredOnce) -> None:
    """New connections are opened until one is quiescent."""
    around, client, first = just_answered
    for more in (2, 3):
        client.sendall(around.request(x_trace_id=f"t{more}"))
        around.serve()
        assert around.status(client) == 200
        around.until(lambda: len(around.context.connections.idle_to_endpoints) == more)  # noqa: B023
    assert_nothing_arrives(around, first)


def test_of_the_quiescent_connections_the_one_used_last_is_reused(just_answered: AnsweredOnce) -> None:
    """The others stay idle."""
    around, client, first = just_answered
    client.sendall(around.request(x_trace_id="t2"))
    second = around.serve()
    assert around.status(client) == 200
    client.sendall(around.request(x_trace_id="t3"))
    third = around.serve()
    assert around.status(client) == 200
    around.until(lambda: len(around.context.connections.idle_to_endpoints) == 3)
    for connection, before in zip(
        around.context.connections.idle_to_endpoints, (121.0, 120.5, 0.0), strict=True
    ):
        connection.idle_since -= before
    client.sendall(around.request(x_trace_id="t4"))
    around.received(second)
    around.reply(second)
    assert around.status(client) == 200
    assert_nothing_arrives(around, first, 0.01)
    assert_nothing_arrives(around, third, 0.01)


@pytest.mark.parametrize("vain", [0, 1])
def test_a_request_takes_a_connection_that_becomes_quiescent_while_a_new_one_comes_up(
    make_surroundings: Callable[..., Surroundings], monkeypatch: pytest.MonkeyPatch, vain: int
) -> None:
    """`vain`: looks at which the quiescent connection is in use by others."""
    caps = SETTINGS["caps"] | {"connectTimeout": 5_000_000}
    around = make_surroundings(settings={"caps": caps, "categories": categories(4000000)})
    client = around.client()
    client.sendall(around.request())
    first = around.serve()
    assert around.status(client) == 200
    around.until(around.context.connections.longest_idle)
    client.sendall(around.request(x_trace_id="t2"))
    late = around.until(
        lambda: next((c for c in around.context.connections.to_endpoints if not c.exchange_count), None)
    )
    looks, rested = iter([True] * vain), ConnectionPool.take_quiescent
    monkeypatch.setattr(ConnectionPool, "take_quiescent", lambda u: None if next(looks, False) else rested(u))
    with events_delayed(around, late, WRITE):
        around.received(first)
        assert not around.logged("upstream.end") and late.exchange is None
    around.reply(first)
    assert around.status(client) == 200
    around.until(lambda: len(around.context.connections.idle_to_endpoints) == 2)
    # What has come up in vain has nothing to rest from.
    assert late.is_quiescent()
    client.sendall(around.request(x_trace_id="t3"))
    around.serve()
    assert around.status(client) == 200


def test_without_room_for_a_new_connection_one_that_is_not_quiescent_is_reused(
    just_answered: AnsweredOnce,
) -> None:
    """There is room for one connection."""
    around, client, first = just_answered
    around.context.connections.endpoint_limit = 1
    client.sendall(around.request(x_trace_id="t2"))
    around.received(first)
    around.reply(first, body=b"two")
    assert around.answer(client)[1] == b"two"


def test_while_unsolicited_responses_occur_a_reused_connection_becomes_quiescent_first(
    just_answered: AnsweredOnce,
) -> None:
    """There is room for one connection, and a second response comes on it meanwhile."""
    around, client, upstream = just_answered
    around.context.connections.endpoint_limit, around.context.unsolicited_until = 1, float("inf")
    client.sendall(around.request(x_trace_id="t2"))
    pending = around.until(
        lambda: next((j for j in around.context.coordinator.pending_requests.values() if j.exchanges), None)
    )
    exchange = next(iter(pending.exchanges.values()))
    around.until(lambda: exchange.connection is not None and not exchange.connection.mailbox)
    assert_nothing_arrives(around, upstream)
    around.reply(upstream, body=b"one")
    assert around.status(client) == 503
    assert around.logged("upstream.end")[0]["reason"] == "unasked-bytes"
    assert_nothing_arrives(around, upstream)


@pytest.mark.parametrize("wary", [False, True])
def test_a_request_after_a_health_check_reuses_its_connection_unless_unsolicited_responses_occur(
    make_surroundings: Callable[..., Surroundings], monkeypatch: pytest.MonkeyPatch, wary: bool
) -> None:
    """`wary`: they do."""
    monkeypatch.setattr(http1, "QUIESCENCE_FRACTION", 60.0)
    caps = SETTINGS["caps"] | {"peers": False}
    around = make_surroundings(settings={"caps": caps, "categories": categories(4000000)})
    if wary:
        around.context.unsolicited_until = float("inf")
    client = around.ask("buy", b"one")
    asked = around.accept()
    assert around.received(asked)[0].target == b"/health"
    around.reply(asked)
    carries = around.accept() if wary else asked
    assert around.received(carries)[1] == b"one"
    around.reply(carries)
    assert around.status(client) == 200
    assert_nothing_arrives(around, asked)


@pytest.mark.parametrize("comes", ["at rest", "behind its answer", "as it is to be used"])
def test_after_a_second_response_unsolicited_ones_are_expected_for_a_while(
    around: Surroundings, comes: str
) -> None:
    """Whenever it comes, unsolicited responses are expected for a while."""
    client = around.ask()
    first = around.accept()
    around.received(first)
    around.reply(first)
    if comes == "behind its answer":
        around.reply(first)
    assert around.status(client) == 200
    if comes != "behind its answer":
        around.rested()
        connection = around.context.connections.longest_idle()
        with (
            events_delayed(around, connection, READ)
            if comes == "as it is to be used"
            else contextlib.nullcontext()
        ):
            around.reply(first)
            other = around.ask(x_trace_id="t2")
            around.serve()
            assert around.status(other) == 200
    around.until(lambda: around.logged("upstream.end"))
    assert around.logged("upstream.end")[0]["reason"] == "unasked-bytes"
    assert around.context.unsolicited_until > around.context.loop.now() + around.context.longest_timeout


def test_the_close_of_an_idle_connection_is_no_unsolicited_response(around: Surroundings) -> None:
    """It makes nobody cautious."""
    client = around.ask()
    first = around.serve()
    assert around.status(client) == 200
    around.until(around.context.connections.longest_idle)
    first.close()
    assert around.until(lambda: around.logged("upstream.end"))[0]["reason"] == "upstream-closed"
    assert around.context.unsolicited_until < around.context.loop.now()


# A hand-off that waited: for an upstream that goes, or past its time.


@pytest.mark.parametrize(
    "changed",
    [{"state": "leaving"}, {"state": "left"}, {"started_ms": 5}, {"addr": "127.0.0.1:1"}],
    ids=["drains", "gone", "started anew", "moved"],
)
@pytest.mark.parametrize("read", [True, False], ids=["read", "unread"])
def test_a_change_of_the_endpoint_while_its_connection_comes_up_sends_the_request_elsewhere(
    make_surroundings: Callable[..., Surroundings], changed: dict[str, Any], read: bool
) -> None:
    """`read`: the coordinator has handled the change; else it is in the mailbox."""
    around = make_surroundings(upstreams=2)
    watch, _ = around.watch(b"")
    client = around.ask("buy", b"one")
    connection = connecting(around)
    i = int(connection.pool.endpoint.id[1:])
    with events_delayed(around, connection, WRITE):
        around.say(watch, {"version": 8, "servers": [around.entry(i, **changed)]})
        if read:
            around.until(lambda: around.logged("list.news"))
            around.let_pass(0.02)
        else:
            post, around.context.coordinator.post = around.context.coordinator.post, lambda message: None
            around.until(lambda: around.logged("list.news"))
            around.context.coordinator.post = post
    first = around.accept(i)
    around.serve(1 - i)
    assert around.status(client) == 200
    assert_nothing_arrives(around, first)


def test_a_connection_that_comes_up_after_the_deadline_of_its_request_is_not_written_to(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """In a turn so late that both are true at once."""
    around = make_surroundings(settings=NO_CANCEL | {"categories": categories(200000)})
    client = around.ask("buy", b"one", x_expires_in_ms="390")
    with events_delayed(around, connecting(around), WRITE):
        time.sleep(0.25)  # a late turn: the connection has come up, and the due time is over
    assert_nothing_arrives(around, around.accept())
    assert around.status(client) == 503


def test_an_attempt_unwritten_when_its_request_is_answered_is_not_written(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """Where cancelling is not allowed no message comes to its connection."""
    around = make_surroundings(settings=NO_CANCEL)
    client = around.ask()
    with events_delayed(around, connecting(around), WRITE):
        around.context.coordinator.fail_request(next(iter(around.context.coordinator.pending_requests)))
        assert around.status(client) == 504
    assert_nothing_arrives(around, around.accept())
    assert around.until(lambda: not around.context.coordinator.pending_requests)


# The list.


@pytest.mark.parametrize("indent", [1, 4])
def test_a_list_may_come_indented(make_surroundings: Callable[..., Surroundings], indent: int) -> None:
    """Messages of a watch that span several lines are read."""
    around = make_surroundings(upstreams=2)
    odd = {"id": 's2}]"{', "addr": "127.0.0.1:1", "state": "leaving"}
    news = {"version": 9, "full": True, "servers": [around.entry(1), odd]}
    watch, _ = around.watch(msgspec.json.format(msgspec.json.encode(news), indent=indent), b"")
    around.until(lambda: list(around.context.coordinator.pools) == ["s1", 's2}]"{'])
    around.say(watch, b"")
    change = {"version": 10, "servers": [around.entry(1, state="leaving")]}
    around.say(watch, msgspec.json.format(msgspec.json.encode(change), indent=indent))
    around.until(lambda: around.context.discovery.version == 10)
    around.say(watch, {"version": 11, "servers": [around.entry(0)]})
    around.until(lambda: around.context.discovery.version == 11)
    assert not around.logged("list.end")
    around.all_go_to(0, 3)


def test_a_silent_watch_is_reopened_at_once_however_many_sidecars_there_are(
    make_surroundings: Callable[..., Surroundings], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The pause before it does not grow with their number."""
    monkeypatch.setattr(discovery, "KEEPALIVE_INTERVAL", 0.1)
    around = make_surroundings(settings={"replicasOfMe": 400, "rules": {"mustAskIn": 10000000}}, seed="4")
    around.watch(b"")
    around.until(lambda: around.context.discovery.current_watch is None)
    assert around.logged("list.end")[0]["reason"] == "silent"
    within = discovery.REOPEN_WITHIN * discovery.KEEPALIVE_INTERVAL
    assert around.context.discovery.next_call_at <= around.context.loop.now() + within
    around.watch(b"")


def test_an_empty_watch_event_confirms_the_known_endpoints(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """The sidecar is then ready."""
    around = make_surroundings(settings=PUSHED)
    around.watch({"version": 7, "full": False, "servers": []})
    around.until(lambda: around.context.ready)
    client = around.ask()
    around.serve()
    assert around.status(client) == 200


@pytest.mark.parametrize("full", [True, False])
def test_a_pushed_endpoint_list_is_awaited_before_any_request_is_forwarded(
    make_surroundings: Callable[..., Surroundings], full: bool
) -> None:
    """The known endpoints may be old, and a drain that the agent knows of counts from the start on."""
    around = make_surroundings(upstreams=2, settings=PUSHED)
    assert around.status(around.ask(lead="GET /ready HTTP/1.1")) == 503
    assert around.status(around.ask("buy", b"one")) == 503
    around.quiet(0)
    around.quiet(1)
    leaving = around.entry(0, state="leaving")
    word = {"version": 9, "servers": [leaving]}
    if full:
        word = {"version": 9, "full": True, "servers": [leaving, around.entry(1)]}
    _, target = around.watch(word)
    assert target.endswith(b"from=7")
    around.until(lambda: around.context.ready)
    around.all_go_to(1, 4)
    around.quiet(0)


def test_a_silent_discovery_agent_does_not_delay_the_start_for_ever(
    make_surroundings: Callable[..., Surroundings], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The known endpoints are used after a while."""
    monkeypatch.setattr(discovery, "USE_KNOWN_LIST_AFTER", 0.02)
    around = make_surroundings(settings=PUSHED)
    around.until(lambda: around.context.ready)
    client = around.ask()
    around.serve()
    assert around.status(client) == 200


def test_a_pushed_list_that_ended_is_reopened_well_within_the_drain_grace(
    make_surroundings: Callable[..., Surroundings],
) -> None:
    """However often that fails."""
    around = make_surroundings(settings=PUSHED)
    watch = around.hear()
    grace = around.context.balancer_config.drain_grace
    assert grace == 0.1
    around.discovery.close()
    watch.close()
    for calls in range(1, 10):
        around.until(lambda: len(around.logged("list.end")) >= calls)  # noqa: B023
        around.until(lambda: around.context.discovery.current_watch is None)
        assert around.context.discovery.next_call_at <= around.context.loop.now() + grace / 2


def test_an_unanswered_call_to_an_agent_is_repeated_soon(
    make_surroundings: Callable[..., Surroundings], monkeypatch: pytest.MonkeyPatch
) -> None:
    """With more patience, until one is answered."""
    monkeypatch.setattr(discovery, "KEEPALIVE_INTERVAL", 0.2)
    around = make_surroundings(settings=PUSHED)
    around.accept(listener=around.discovery)
    around.until(lambda: around.context.discovery.current_watch is None)
    assert around.context.discovery.timeout_multiple == 2 * discovery.AGENT_ANSWER_TIMEOUT
    around.hear()
    assert around.context.discovery.timeout_multiple == discovery.AGENT_ANSWER_TIMEOUT


@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("answered", [0, 1])
def test_of_two_calls_to_discovery_the_first_to_be_answered_stays(
    around: Surroundings, monkeypatch: pytest.MonkeyPatch, answered: int, moved: bool
) -> None:
    """On real sockets; test_discovery_client.py tests when a second call begins, and how often."""
    monkeypatch.setattr(discovery, "KEEPALIVE_INTERVAL", 0.1)
    around.watch(b"")
    around.context.discovery.initial_timeout_multiple = around.context.discovery.timeout_multiple = (
        1000.0  # the story may take its time
    )
    around.context.discovery.hang_threshold = 0.1
    if moved:
        around.discovery = around.keep(bound())
        around.reconfigure(discovery=address(around.discovery))
    calls = [around.accept(listener=around.discovery), around.accept(listener=around.discovery)]
    around.context.discovery.latest_call_at = float("inf")
    word = {"version": 9, "full": True, "servers": [around.entry(0, state="leaving")]}
    request, _ = around.received(calls[answered])
    assert request.target.endswith(b"from=0" if moved else b"from=7")
    calls[answered].sendall(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n")
    around.say(calls[answered], word)
    around.until(lambda: around.context.discovery.version == 9)
    around.received(calls[1 - answered])
    assert around.until(lambda: around.read(calls[1 - answered])) == b"end"
    assert around.context.discovery.current_watch.address == address(around.discovery)
    assert around.context.discovery.second_watch is None and len(around.logged("list.beside")) == 1
    around.say(calls[answered], word | {"version": 10})
    around.until(lambda: around.context.discovery.version == 10)


# Stop, start and room.


def test_all_clients_in_the_backlog_are_accepted_before_the_listener_closes(around: Surroundings) -> None:
    """More than one turn accepts."""
    waiting = [around.ask(lead="GET /ready HTTP/1.1") for _ in range(MAX_ACCEPTS_PER_TURN + 40)]
    around.context.listener.post(STOP)
    around.until(lambda: around.logged("listener.closed"))
    assert [around.status(client) for client in waiting] == [200] * len(waiting)


def test_a_second_stop_signal_does_not_shorten_the_shutdown(
    around: Surroundings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither does a third: the listener stays open until the time for that is over."""
    monkeypatch.setattr(stop, "LINGER", 60.0)
    around.context.shutdown.post(STOP)
    around.until(lambda: around.context.stopping)
    for _ in range(3):
        around.context.shutdown.post(STOP)
        around.let_pass(0.01)
    assert not around.logged("listener.closed")
    late = around.ask()
    around.serve()
    assert around.status(late) == 200


def test_a_request_whose_rest_is_unread_is_not_closed_to_make_room(around: Surroundings) -> None:
    """It is complete once it has been read."""
    client = around.client()
    text = around.request()
    client.sendall(text[:40])
    actor = around.until(lambda: next(iter(around.context.connections.partial_requests), None))
    client.sendall(text[40:])
    actor.post(CLOSE)
    around.serve()
    assert around.status(client) == 200


def test_an_attempt_that_crosses_the_end_of_its_connection_is_no_fault_of_the_endpoint(
    around: Surroundings,
) -> None:
    """The request is rejected as not sent."""
    client = around.client()
    client.sendall(around.request())
    upstream = around.serve()
    assert around.status(client) == 200
    around.rested()
    connection = next(iter(around.context.connections.idle_to_endpoints))
    mailed = []
    post = connection.post
    connection.post = lambda message: (mailed.append(message), post(CLOSE), post(message))
    client.sendall(around.request(x_trace_id="t2"))
    around.until(lambda: mailed)
    around.until(lambda: around.logged("upstream.end"))
    [stats] = around.context.coordinator.scheduler.balancer.endpoints.by_id.values()
    assert not stats.connect_failing
    assert around.status(client) == 503
    assert_nothing_arrives(around, upstream)


@pytest.fixture
def starting(tmp_path: Path) -> Iterator[Start]:
    """A process that waits for its configuration, which the test has still to write."""
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    told = {"listen": free_address(), "discovery": "127.0.0.1:1", "settings": SETTINGS}
    process = subprocess.Popen(
        [sys.executable, "-m", "starlingwheel"],
        env=os.environ | {"EDGE_CONFIG": str(pipe)}, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip

    def reader() -> int:
        """The pipe, once it is being read."""
        while process.poll() is None:
            with contextlib.suppress(OSError):
                return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            time.sleep(0.01)
        raise AssertionError(f"it has ended: {process.returncode}")

    def write(descriptor: int) -> None:
        """What is read now; whoever reads it again finds a file in its place."""
        (tmp_path / "again").write_bytes(msgspec.json.encode(told))
        os.replace(tmp_path / "again", pipe)
        os.write(descriptor, msgspec.json.encode(told))
        os.close(descriptor)

    yield process, reader, write
    process.kill()
    process.communicate()


def test_sighup_during_the_start_reloads_the_configuration(starting: Start) -> None:
    """The process goes on."""
    process, reader, write = starting
    descriptor = reader()
    process.send_signal(signal.SIGHUP)
    write(descriptor)
    while b'"config.read"' not in (line := process.stdout.readline()):
        assert line
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=10)
    assert process.returncode == 0


def test_sigterm_during_the_start_stops_the_process_in_order(starting: Start) -> None:
    """Exit status 0, nothing on standard error."""
    process, reader, write = starting
    descriptor = reader()
    process.send_signal(signal.SIGTERM)
    write(descriptor)
    out, errors = process.communicate(timeout=10)
    assert process.returncode == 0 and errors == b"" and b'"event":"end"' in out


@pytest.mark.parametrize("file", ["balancer.toml", "fleet.toml"])
def test_sighup_before_the_interpreter_is_up_is_ignored(tmp_path: Path, file: str) -> None:
    """By the shell command of the deploy file."""
    run = tomllib.loads((Path(__file__).parent.parent / "deploy" / file).read_text())["run"]
    stand_in = tmp_path / ".venv" / "bin" / "python"
    stand_in.parent.mkdir(parents=True)
    stand_in.write_text("#!/bin/sh\nexec grep SigIgn /proc/self/status\n")
    stand_in.chmod(0o755)
    out = subprocess.run(["/bin/sh", "-c", run], cwd=tmp_path, capture_output=True, text=True).stdout
    assert int(out.split()[1], 16) >> (signal.SIGHUP - 1) & 1
