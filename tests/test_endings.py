"""Stories of what is still owed in the instant in which something ends; docs/endings.md lists them.

The crossing is forced: the loop turns only while a story waits, and `held` keeps back what a socket says.
"""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import msgspec
import pytest
from conftest import SETTINGS, address, bound, categories

from fakes.loopback import free_address
from starlingwheel.net.discovery import client as discovery
from starlingwheel.net.http import http1
from starlingwheel.net.http.listener import MAX_ACCEPTS_PER_TURN
from starlingwheel.net.http.pool import ConnectionPool
from starlingwheel.net.lifecycle import shutdown as stop
from starlingwheel.net.loop import HANGUP, READ, WRITE, socket_ready
from starlingwheel.net.messages import CLOSE, STOP

NO_CANCEL = {"caps": SETTINGS["caps"] | {"cancel": False}}
PUSHED = {"discovery": "push", "rules": {"drainGrace": 100000}}
LEAVE = ["closes", "resets", "ends its sending"]


def leave(around, client, how="closes"):
    match how:
        case "closes":
            client.close()
        case "resets":
            around.reset(client)
        case _:
            client.shutdown(socket.SHUT_WR)


@contextlib.contextmanager
def held(around, actor, mask):
    """What the socket of an actor says is kept back meanwhile, as by a late turn of the loop."""
    descriptor = actor.stream.sock.fileno()
    around.context.loop.unregister(descriptor)
    yield
    if not actor.ended:
        around.context.loop.register(descriptor, actor, mask)


def in_hand(around):
    """The sidecar's end of the only client that waits."""
    return around.until(
        lambda: next((c for c in around.context.connections.clients if c.pending is not None), None)
    )


def coming_up(around):
    """A connection to an upstream that has been begun; what the socket says of it has not been read."""
    connections = around.context.connections.upstream
    while not connections:
        around.context.loop.run_once(0)
    return next(iter(connections))


def nothing_comes(around, sock, seconds=0.05):
    around.let_pass(seconds)
    assert around.read(sock) in (None, b"end")


# A client that has left while its request waited: nothing is sent for it.


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("category", ["look", "buy", "move"])
def test_what_waited_unread_while_its_client_left_is_not_sent_on(around, category, how):
    kept = around.serve() if around.ask() else None
    client = around.ask(category, b"" if category == "look" else b"one", x_trace_id="t2")
    leave(around, client, how)
    around.until(lambda: around.logged("client.end"))
    nothing_comes(around, kept)
    around.quiet()
    assert around.context.coordinator.counts["left"] == 0 and around.context.buffer_pool.in_use == 0


def test_a_request_behind_another_is_not_sent_on_once_the_client_has_left(around):
    client = around.client()
    client.sendall(around.request() + around.request(x_trace_id="t2"))
    upstream = around.accept()
    around.received(upstream)
    actor, ended = in_hand(around), socket_ready(HANGUP)
    post = actor.post
    actor.post = lambda message: (post(message), post(ended))  # the answer, and behind it the client's end
    around.reply(upstream)
    client.close()
    around.until(lambda: actor.ended)
    nothing_comes(around, upstream)


@pytest.mark.parametrize("settings", [{}, NO_CANCEL], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("heard", [True, False], ids=["heard", "not yet heard"])
def test_a_hand_off_whose_connection_comes_up_after_its_client_left_is_not_written(
    make_surroundings, settings, heard
):
    around = make_surroundings(settings=settings)
    client = around.ask("buy", b"one")
    connection = coming_up(around)
    actor = in_hand(around)
    with held(around, actor, HANGUP) if not heard else contextlib.nullcontext():
        with held(around, connection, WRITE):
            client.close()
            if heard:
                around.until(lambda: around.logged("client.end"))
        nothing_comes(around, around.accept())
    assert (
        around.until(lambda: not around.context.coordinator.pending_requests)
        and around.context.buffer_pool.in_use == 0
    )


def test_a_client_that_leaves_before_a_retry_ends_it(make_surroundings):
    around = make_surroundings(upstreams=2)
    client = around.ask("buy", b"one")
    i, upstream = around.until(around.accept_any)
    around.received(upstream)
    with held(around, in_hand(around), HANGUP):
        around.reply(upstream, status=503, extra="X-Never-Ran: 1\r\n")
        client.close()
        nothing_comes(around, around.accept(1 - i))


def test_a_client_that_leaves_while_upstreams_are_asked_is_not_sent_on(make_surroundings):
    caps = SETTINGS["caps"] | {"peers": False}
    around = make_surroundings(settings={"caps": caps, "categories": categories(4000000)})
    client = around.ask("buy", b"one")
    upstream = around.accept()
    request, _ = around.received(upstream)
    assert request.target == b"/health"
    with held(around, in_hand(around), HANGUP):
        client.close()
        around.reply(upstream)
        nothing_comes(around, upstream)


def test_the_last_byte_that_was_held_back_is_not_written_once_the_client_has_left(around, monkeypatch):
    monkeypatch.setattr("starlingwheel.net.http.request_writer.LAST_BYTE_DELAY_FRACTION", 0.2)
    around.context.resets_expected_until = float("inf")
    client = around.ask("buy", b"one")
    upstream = around.accept()
    got = around.until(lambda: around.read(upstream))
    assert got.endswith(b"on")
    with held(around, in_hand(around), HANGUP):
        client.close()
        nothing_comes(around, upstream, 0.3)


def test_a_client_is_heard_to_leave_while_its_body_waits_for_room(around):
    """It has written all of its body before: nothing of it is to be handed off whole."""
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
    around.until(lambda: flow.full)
    client.close()
    assert around.until(lambda: around.logged("client.end"))[0]["reason"] == "client-left"
    assert not flow.ended
    got = 0
    while data := around.until(lambda: around.read(upstream)):
        if data == b"end":
            break
        got += len(data)
    assert got < size


def test_over_http_2_a_stream_is_not_begun_for_a_client_that_has_left(make_surroundings):
    from test_streams import NEW, Peer

    around = make_surroundings(settings=NEW | {"rules": {}})
    around.hear()
    client = around.ask()
    connection = coming_up(around)
    with held(around, in_hand(around), HANGUP):
        client.close()
        peer = Peer(around)
        around.until(lambda: connection.connected)
        for _ in range(5):
            peer.read()
            around.let_pass(0.01)
        assert not peer.asked


@pytest.fixture
def answered(make_surroundings, monkeypatch):
    """A client, and a connection to an upstream that has just answered; it has to rest for a minute."""
    around = make_surroundings(settings={"caps": SETTINGS["caps"] | {"keepalive": 600_000_000}})
    monkeypatch.setattr(http1, "QUIESCENCE_FRACTION", 60.0)
    client = around.client()
    client.sendall(around.request())
    first = around.serve(body=b"one")
    assert around.answer(client)[1] == b"one"
    around.until(around.context.connections.longest_idle)
    return around, client, first


def test_a_second_answer_that_comes_late_is_not_taken_for_that_of_the_next_request(answered):
    around, client, first = answered
    client.sendall(around.request(x_trace_id="t2"))
    second = around.accept()
    around.received(second)
    around.reply(first, body=b"one")
    around.until(lambda: around.logged("upstream.end"))
    assert around.logged("upstream.end")[0]["reason"] == "unasked-bytes"
    around.reply(second, body=b"two")
    assert around.answer(client)[1] == b"two"


def test_a_request_does_not_wait_for_a_connection_that_has_just_answered(answered):
    around, client, first = answered
    for more in (2, 3):
        client.sendall(around.request(x_trace_id=f"t{more}"))
        around.serve()
        assert around.status(client) == 200
        around.until(lambda: len(around.context.connections.idle) == more)  # noqa: B023
    nothing_comes(around, first)


def test_of_idle_connections_one_that_has_rested_is_used_and_of_these_the_last(answered):
    around, client, first = answered
    client.sendall(around.request(x_trace_id="t2"))
    second = around.serve()
    assert around.status(client) == 200
    client.sendall(around.request(x_trace_id="t3"))
    third = around.serve()
    assert around.status(client) == 200
    around.until(lambda: len(around.context.connections.idle) == 3)
    for connection, before in zip(around.context.connections.idle, (121.0, 120.5, 0.0), strict=True):
        connection.idle_since -= before
    client.sendall(around.request(x_trace_id="t4"))
    around.received(second)
    around.reply(second)
    assert around.status(client) == 200
    nothing_comes(around, first, 0.01)
    nothing_comes(around, third, 0.01)


@pytest.mark.parametrize("vain", [0, 1])
def test_where_a_new_connection_comes_up_late_the_request_goes_by_one_that_has_rested_meanwhile(
    make_surroundings, monkeypatch, vain
):
    """`vain`: looks at which the rested one is in use by others."""
    caps = SETTINGS["caps"] | {"connectTimeout": 5_000_000}
    around = make_surroundings(settings={"caps": caps, "categories": categories(4000000)})
    client = around.client()
    client.sendall(around.request())
    first = around.serve()
    assert around.status(client) == 200
    around.until(around.context.connections.longest_idle)
    client.sendall(around.request(x_trace_id="t2"))
    late = around.until(
        lambda: next((c for c in around.context.connections.upstream if not c.exchange_count), None)
    )
    looks, rested = iter([True] * vain), ConnectionPool.take_quiescent
    monkeypatch.setattr(ConnectionPool, "take_quiescent", lambda u: None if next(looks, False) else rested(u))
    with held(around, late, WRITE):
        around.received(first)
        assert not around.logged("upstream.end") and late.exchange is None
    around.reply(first)
    assert around.status(client) == 200
    around.until(lambda: len(around.context.connections.idle) == 2)
    # What has come up in vain has nothing to rest from.
    assert late.is_quiescent()
    client.sendall(around.request(x_trace_id="t3"))
    around.serve()
    assert around.status(client) == 200


def test_where_there_is_no_room_for_another_the_connection_is_used_at_once(answered):
    around, client, first = answered
    around.context.connections.share = 1
    client.sendall(around.request(x_trace_id="t2"))
    around.received(first)
    around.reply(first, body=b"two")
    assert around.answer(client)[1] == b"two"


def test_while_second_answers_come_a_connection_without_room_for_another_rests_first(answered):
    around, client, upstream = answered
    around.context.connections.share, around.context.unsolicited_until = 1, float("inf")
    client.sendall(around.request(x_trace_id="t2"))
    pending = around.until(
        lambda: next((j for j in around.context.coordinator.pending_requests.values() if j.exchanges), None)
    )
    exchange = next(iter(pending.exchanges.values()))
    around.until(lambda: exchange.connection is not None and not exchange.connection.mailbox)
    nothing_comes(around, upstream)
    around.reply(upstream, body=b"one")
    assert around.status(client) == 503
    assert around.logged("upstream.end")[0]["reason"] == "unasked-bytes"
    nothing_comes(around, upstream)


@pytest.mark.parametrize("wary", [False, True])
def test_after_a_question_a_work_item_goes_the_same_way_at_once_unless_second_answers_come(
    make_surroundings, monkeypatch, wary
):
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
    nothing_comes(around, asked)


@pytest.mark.parametrize("comes", ["at rest", "behind its answer", "as it is to be used"])
def test_a_second_answer_makes_wary(around, comes):
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
        with held(around, connection, READ) if comes == "as it is to be used" else contextlib.nullcontext():
            around.reply(first)
            other = around.ask(x_trace_id="t2")
            around.serve()
            assert around.status(other) == 200
    around.until(lambda: around.logged("upstream.end"))
    assert around.logged("upstream.end")[0]["reason"] == "unasked-bytes"
    assert around.context.unsolicited_until > around.context.loop.now() + around.context.longest_timeout


def test_the_end_of_an_idle_connection_is_no_second_answer(around):
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
def test_what_is_told_while_a_connection_comes_up_sends_the_work_item_elsewhere(
    make_surroundings, changed, read
):
    """`read`: the module has been given the word; else it lies in its mailbox."""
    around = make_surroundings(upstreams=2)
    watch, _ = around.watch(b"")
    client = around.ask("buy", b"one")
    connection = coming_up(around)
    i = int(connection.pool.entry.id[1:])
    with held(around, connection, WRITE):
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
    nothing_comes(around, first)


def test_a_connection_that_comes_up_past_the_time_of_its_work_item_is_not_written_to(make_surroundings):
    around = make_surroundings(settings=NO_CANCEL | {"categories": categories(200000)})
    client = around.ask("buy", b"one", x_expires_in_ms="390")
    with held(around, coming_up(around), WRITE):
        time.sleep(0.25)  # a late turn: the connection has come up, and the due time is over
    nothing_comes(around, around.accept())
    assert around.status(client) == 503


def test_a_hand_off_that_is_unwritten_when_its_work_item_has_its_answer_stays_so(make_surroundings):
    """Where cancelling is not allowed no word comes to its connection."""
    around = make_surroundings(settings=NO_CANCEL)
    client = around.ask()
    with held(around, coming_up(around), WRITE):
        around.context.coordinator.fail_request(next(iter(around.context.coordinator.pending_requests)))
        assert around.status(client) == 504
    nothing_comes(around, around.accept())
    assert around.until(lambda: not around.context.coordinator.pending_requests)


# The list.


@pytest.mark.parametrize("indent", [1, 4])
def test_a_list_may_come_indented(make_surroundings, indent):
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


def test_a_watch_that_fell_silent_is_opened_anew_at_once_however_many_sidecars_there_are(
    make_surroundings, monkeypatch
):
    monkeypatch.setattr(discovery, "EMPTY_LINE", 0.1)
    around = make_surroundings(settings={"replicasOfMe": 400, "rules": {"mustAskIn": 10000000}}, seed="4")
    around.watch(b"")
    around.until(lambda: around.context.discovery.current is None)
    assert around.logged("list.end")[0]["reason"] == "silent"
    within = discovery.ANEW * discovery.EMPTY_LINE
    assert around.context.discovery.move_at <= around.context.loop.now() + within
    around.watch(b"")


def test_an_agent_that_has_no_news_confirms_what_was_known(make_surroundings):
    around = make_surroundings(settings=PUSHED)
    around.watch({"version": 7, "full": False, "servers": []})
    around.until(lambda: around.context.ready)
    client = around.ask()
    around.serve()
    assert around.status(client) == 200


@pytest.mark.parametrize("full", [True, False])
def test_a_pushed_list_is_waited_for_before_anything_is_handed_off(make_surroundings, full):
    """What its agent has counts as told from the first moment of a process; what was known may be old."""
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


def test_an_agent_that_says_nothing_does_not_keep_a_start_waiting_for_ever(make_surroundings, monkeypatch):
    monkeypatch.setattr(discovery, "UNHEARD", 0.02)
    around = make_surroundings(settings=PUSHED)
    around.until(lambda: around.context.ready)
    client = around.ask()
    around.serve()
    assert around.status(client) == 200


def test_a_pushed_list_that_ended_is_called_again_well_within_the_grace(make_surroundings):
    around = make_surroundings(settings=PUSHED)
    watch = around.hear()
    grace = around.context.balancer_config.drain_grace
    assert grace == 0.1
    around.discovery.close()
    watch.close()
    for calls in range(1, 10):
        around.until(lambda: len(around.logged("list.end")) >= calls)  # noqa: B023
        around.until(lambda: around.context.discovery.current is None)
        assert around.context.discovery.move_at <= around.context.loop.now() + grace / 2


def test_a_call_that_an_agent_leaves_unanswered_is_made_anew_soon(make_surroundings, monkeypatch):
    monkeypatch.setattr(discovery, "EMPTY_LINE", 0.2)
    around = make_surroundings(settings=PUSHED)
    around.accept(listener=around.discovery)
    around.until(lambda: around.context.discovery.current is None)
    assert around.context.discovery.patience == 2 * discovery.AGENT
    around.hear()
    assert around.context.discovery.patience == discovery.AGENT


@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("answered", [0, 1])
def test_of_two_calls_the_first_that_is_answered_stays(around, monkeypatch, answered, moved):
    """On real sockets; when a second call begins, and how often, is played in test_told.py."""
    monkeypatch.setattr(discovery, "EMPTY_LINE", 0.1)
    around.watch(b"")
    around.context.discovery.first = around.context.discovery.patience = 1000.0  # the story may take its time
    around.context.discovery.hangs = 0.1
    if moved:
        around.discovery = around.keep(bound())
        around.reconfigure(discovery=address(around.discovery))
    calls = [around.accept(listener=around.discovery), around.accept(listener=around.discovery)]
    around.context.discovery.due = float("inf")
    word = {"version": 9, "full": True, "servers": [around.entry(0, state="leaving")]}
    request, _ = around.received(calls[answered])
    assert request.target.endswith(b"from=0" if moved else b"from=7")
    calls[answered].sendall(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n")
    around.say(calls[answered], word)
    around.until(lambda: around.context.discovery.version == 9)
    around.received(calls[1 - answered])
    assert around.until(lambda: around.read(calls[1 - answered])) == b"end"
    assert around.context.discovery.current.address == address(around.discovery)
    assert around.context.discovery.beside is None and len(around.logged("list.beside")) == 1
    around.say(calls[answered], word | {"version": 10})
    around.until(lambda: around.context.discovery.version == 10)


# Stop, start and room.


def test_all_that_wait_at_the_listener_are_let_in_before_it_closes(around):
    waiting = [around.ask(lead="GET /ready HTTP/1.1") for _ in range(MAX_ACCEPTS_PER_TURN + 40)]
    around.context.listener.post(STOP)
    around.until(lambda: around.logged("listener.closed"))
    assert [around.status(client) for client in waiting] == [200] * len(waiting)


def test_a_second_word_to_stop_cuts_nothing_short(around, monkeypatch):
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


def test_a_request_of_which_the_rest_waits_unread_is_not_cut_off_to_make_room(around):
    client = around.client()
    text = around.request()
    client.sendall(text[:40])
    actor = around.until(lambda: next(iter(around.context.connections.halves), None))
    client.sendall(text[40:])
    actor.post(CLOSE)
    around.serve()
    assert around.status(client) == 200


def test_an_errand_that_crosses_the_end_of_its_connection_is_not_held_against_the_upstream(around):
    client = around.client()
    client.sendall(around.request())
    upstream = around.serve()
    assert around.status(client) == 200
    around.rested()
    connection = next(iter(around.context.connections.idle))
    mailed = []
    post = connection.post
    connection.post = lambda message: (mailed.append(message), post(CLOSE), post(message))
    client.sendall(around.request(x_trace_id="t2"))
    around.until(lambda: mailed)
    around.until(lambda: around.logged("upstream.end"))
    [stats] = around.context.coordinator.scheduler.balancer.endpoints.by_id.values()
    assert not stats.connect_failing
    assert around.status(client) == 503
    nothing_comes(around, upstream)


@pytest.fixture
def starting(tmp_path):
    """A program that has come as far as reading its configuration, which the story has still to write."""
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    told = {"listen": free_address(), "discovery": "127.0.0.1:1", "settings": SETTINGS}
    process = subprocess.Popen(
        [sys.executable, "-m", "starlingwheel"],
        env=os.environ | {"EDGE_CONFIG": str(pipe)}, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip

    def reader():
        """The pipe, once it is being read."""
        while process.poll() is None:
            with contextlib.suppress(OSError):
                return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            time.sleep(0.01)
        raise AssertionError(f"it has ended: {process.returncode}")

    def write(descriptor):
        """What is read now; whoever reads it again finds a file in its place."""
        (tmp_path / "again").write_bytes(msgspec.json.encode(told))
        os.replace(tmp_path / "again", pipe)
        os.write(descriptor, msgspec.json.encode(told))
        os.close(descriptor)

    yield process, reader, write
    process.kill()
    process.communicate()


def test_a_new_configuration_told_during_the_start_is_read_and_ends_nothing(starting):
    process, reader, write = starting
    descriptor = reader()
    process.send_signal(signal.SIGHUP)
    write(descriptor)
    while b'"config.read"' not in (line := process.stdout.readline()):
        assert line
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=10)
    assert process.returncode == 0


def test_a_word_to_stop_during_the_start_ends_it_as_any_other_time(starting):
    process, reader, write = starting
    descriptor = reader()
    process.send_signal(signal.SIGTERM)
    write(descriptor)
    out, errors = process.communicate(timeout=10)
    assert process.returncode == 0 and errors == b"" and b'"event":"end"' in out


@pytest.mark.parametrize("file", ["balancer.toml", "fleet.toml"])
def test_before_the_interpreter_is_up_a_new_configuration_ends_nothing(tmp_path, file):
    run = tomllib.loads((Path(__file__).parent.parent / "deploy" / file).read_text())["run"]
    stand_in = tmp_path / ".venv" / "bin" / "python"
    stand_in.parent.mkdir(parents=True)
    stand_in.write_text("#!/bin/sh\nexec grep SigIgn /proc/self/status\n")
    stand_in.chmod(0o755)
    out = subprocess.run(["/bin/sh", "-c", run], cwd=tmp_path, capture_output=True, text=True).stdout
    assert int(out.split()[1], 16) >> (signal.SIGHUP - 1) & 1
