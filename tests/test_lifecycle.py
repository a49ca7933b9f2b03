"""The endpoint list, peers, start, reload, shutdown, log and loop of a real sidecar."""

import gc
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from conftest import SETTINGS, SidecarHarness, bound_socket, request_class_settings, socket_address

from fakes.loopback import free_address
from starlingwheel.decisions.model import EndpointState
from starlingwheel.net.actor import Actor, Coroutine
from starlingwheel.net.address import split_host_port
from starlingwheel.net.discovery import client as discovery
from starlingwheel.net.lifecycle.config import ConfigError, load_config
from starlingwheel.net.lifecycle.log import MAX_BUFFERED, EventLog
from starlingwheel.net.loop import READ, Loop
from starlingwheel.net.messages import STOP

MakeHarness = Callable[..., SidecarHarness]
Program = Callable[[], tuple[subprocess.Popen[bytes], tuple[str, int]]]  # the process and its address


def serve(harness: SidecarHarness, client: socket.socket, i: int = 0) -> socket.socket:
    """Serve one request of a client at an endpoint; return the endpoint's connection."""
    client.sendall(harness.request_bytes())
    upstream = harness.serve(i=i)
    assert harness.read_status(client) == 200
    return upstream


# The endpoint list.


def test_a_message_in_pieces_is_applied_and_draining_endpoints_get_no_requests(
    make_harness: MakeHarness,
) -> None:
    """The first watch starts from the version of the known list."""
    harness = make_harness(upstreams=2)
    watch, target = harness.accept_watch(b"")
    assert target == b"/v1/endpoints?watch=1&from=7"
    harness.send_watch_line(watch, {"version": 8, "servers": [harness.endpoint_entry(0, state="leaving")]})
    harness.wait_until(lambda: harness.log_lines("list.news"))
    harness.assert_requests_reach(1, 6)
    harness.assert_no_connection(0)


def test_a_watch_message_is_handled_before_a_request_that_arrived_just_before_it(
    make_harness: MakeHarness,
) -> None:
    """An endpoint that begins to drain gets no request, although there is an idle connection to it."""
    harness = make_harness(upstreams=2)
    watch, _ = harness.accept_watch(b"")
    client = harness.connect_client()
    for version in range(8, 24, 2):
        harness.send_watch_line(watch, {"version": version, "servers": [harness.endpoint_entry(0)]})
        harness.wait_until(lambda: harness.context.discovery.version == version)  # noqa: B023
        harness.run_for(0.01)
        client.sendall(harness.request_bytes())
        harness.send_watch_line(
            watch, {"version": version + 1, "servers": [harness.endpoint_entry(0, state="leaving")]}
        )
        harness.serve(i=1, extra="Connection: close\r\n")
        assert harness.read_status(client) == 200
    harness.assert_no_connection(0)


def test_an_attempt_at_an_endpoint_removed_since_can_still_be_cancelled(harness: SidecarHarness) -> None:
    """The connection of the attempt is closed when the client disconnects."""
    watch, _ = harness.accept_watch(b"")
    client = harness.send_request("buy", b"one")
    upstream = harness.accept()
    harness.read_request(upstream)
    harness.send_watch_line(watch, {"version": 8, "servers": [harness.endpoint_entry(0, state="left")]})
    harness.wait_until(lambda: not harness.context.coordinator.pools)
    client.close()
    assert harness.wait_until(lambda: harness.read(upstream)) == b"end"


def test_a_snapshot_removes_endpoints_that_it_does_not_name(make_harness: MakeHarness) -> None:
    """The endpoints are removed from the coordinator and from the decisions."""
    harness = make_harness(upstreams=2)
    harness.accept_watch({"version": 9, "full": True, "servers": [harness.endpoint_entry(1)]})
    harness.wait_until(lambda: list(harness.context.coordinator.pools) == ["s1"])
    assert list(harness.context.coordinator.scheduler.balancer.endpoints.by_id) == ["s1"]


def test_the_address_of_a_known_endpoint_may_change(harness: SidecarHarness) -> None:
    """Connections to the former address are closed."""
    watch, _ = harness.accept_watch(b"")
    client = harness.connect_client()
    former = serve(harness, client)
    harness.listeners.append(harness.close_at_end(bound_socket()))
    moved = harness.endpoint_entry(0, addr=socket_address(harness.listeners[1]))
    harness.send_watch_line(watch, {"version": 8, "servers": [moved]})
    assert harness.wait_until(lambda: harness.read(former)) == b"end"
    assert harness.log_lines("upstream.end")[0]["reason"] == "not-needed"
    serve(harness, client, i=1)


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ([b"{", b""], "unreadable"),  # an indented object: its first line and a heartbeat
        ([b"{", {"version": 9, "servers": []}], "unreadable"),
        ([b"{]"], "unreadable"),
        ([b'{"version": }'], "unreadable"),
        ([{"version": 9, "servers": [{"id": 3}]}], "unreadable"),
        ([b"\xff"], "unreadable"),
    ],
)
def test_after_an_unreadable_line_the_last_list_is_kept_and_a_snapshot_is_requested(
    harness: SidecarHarness, lines: list[dict[str, Any] | bytes], reason: str
) -> None:
    """The watch ends, and the next one starts from version 0."""
    harness.accept_watch(*lines)
    _, target = harness.accept_watch(b"")
    assert target.endswith(b"from=0")
    assert reason in harness.log_lines("list.end")[0]["reason"]
    serve(harness, harness.connect_client())


def test_a_failed_call_and_an_ended_watch_are_followed_by_new_calls(harness: SidecarHarness) -> None:
    """The list stays in use meanwhile."""
    sock, _ = harness.accept_watch(status=503)
    assert harness.wait_until(lambda: harness.log_lines("list.end"))[-1]["reason"] == "answered-503"
    sock, _ = harness.accept_watch(b"")
    sock.close()
    harness.accept_watch(b"")
    assert harness.log_lines("list.end")[-1]["reason"] in ("cut-short", "reset")
    serve(harness, harness.connect_client())


def test_a_silent_watch_is_replaced(harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch on which no byte arrives for some time is replaced."""
    monkeypatch.setattr(discovery, "KEEPALIVE_INTERVAL", 0.05)
    harness.accept_watch(b"", b"")
    harness.accept_watch(b"")
    assert harness.log_lines("list.end")[0]["reason"] == "silent"


def test_a_watch_that_stalls_within_a_line_is_replaced_and_the_line_dropped(
    harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next watch starts from the last complete message."""
    monkeypatch.setattr(discovery, "KEEPALIVE_INTERVAL", 0.05)
    watch, _ = harness.accept_watch(b"")
    half = msgspec.json.encode({"version": 8, "servers": [harness.endpoint_entry(0, state="leaving")]})[:-9]
    watch.sendall(b"%x\r\n%s\r\n" % (len(half), half))
    _, target = harness.accept_watch(b"")
    assert target.endswith(b"from=7") and harness.log_lines("list.end")[0]["reason"] == "silent"
    serve(harness, harness.connect_client())


def test_after_a_delta_of_an_older_version_a_snapshot_is_requested(
    make_harness: MakeHarness,
) -> None:
    """The delta is not applied."""
    harness = make_harness(upstreams=2)
    watch, _ = harness.accept_watch({"version": 9, "servers": [harness.endpoint_entry(0, state="leaving")]})
    harness.wait_until(lambda: harness.context.discovery.version == 9)
    harness.send_watch_line(watch, {"version": 8, "servers": [harness.endpoint_entry(0)]})
    _, target = harness.accept_watch({"version": 3, "full": True, "servers": [harness.endpoint_entry(1)]})
    assert target.endswith(b"from=0") and harness.log_lines("list.end")[0]["reason"] == "went-back"
    harness.wait_until(lambda: harness.context.discovery.version == 3)
    assert list(harness.context.coordinator.pools) == ["s1"]


def test_with_an_outdated_known_list_requests_are_rejected_promptly_until_the_watch_answers(
    make_harness: MakeHarness,
) -> None:
    """No process listens at the addresses in the known list."""
    harness = make_harness(upstreams=3)
    for listener in harness.listeners[:2]:
        listener.close()
    harness.listeners[2].close()
    harness.listeners.append(harness.close_at_end(bound_socket()))
    for _ in range(4):
        assert harness.read_status(harness.send_request("buy", b"one", connection="close")) == 503
    harness.accept_watch({"version": 9, "full": True, "servers": [harness.endpoint_entry(3)]})
    harness.wait_until(lambda: list(harness.context.coordinator.pools) == ["s3"])
    serve(harness, harness.connect_client(), i=3)


def test_thousands_of_removed_endpoints_leave_no_state_behind(harness: SidecarHarness) -> None:
    """Pools, connections and timers are gone, as is the state of the decisions and of gossip."""
    watch, _ = harness.accept_watch(b"")
    context, balancer = harness.context, harness.context.coordinator.scheduler.balancer
    for version in range(8, 108):
        new = [harness.endpoint_entry(0, id=f"{version}-{i}") for i in range(20)]
        gone = [{"id": f"{version - 1}-{i}", "state": "left"} for i in range(20)] + [
            {"id": "s0", "state": "left"}
        ]
        harness.send_watch_line(watch, {"version": version, "servers": gone + new})
        harness.wait_until(lambda: context.discovery.version == version)  # noqa: B023
        harness.wait_until(lambda: not context.coordinator.mailbox)
        for stats in list(balancer.endpoints.by_id.values())[:5]:
            context.coordinator.scheduler.gossip_received(1, stats.gossip_tag.to_bytes(2, "big") + b"\x03")
        client = harness.send_request("buy", b"one", x_trace_id=f"t{version}", connection="close")
        harness.serve(status=500 if version % 2 else 200)  # all endpoints have the same address
        assert harness.read_status(client) in (200, 504)
        client.close()
    harness.wait_until(lambda: not context.coordinator.pending_requests and not context.connections.clients)
    assert (
        len(context.coordinator.pools)
        == len(balancer.endpoints.by_id)
        == len(balancer.endpoints.by_tag)
        == 20
    )
    assert len(balancer.outliers.suspects) <= 10 and len(balancer.gossip._by_peer) <= 5 * 100
    context.coordinator.scheduler.set_time(context.coordinator.scheduler.now + 60)
    balancer.gossip.forget_old_counts()
    balancer.endpoints.stale = True
    balancer.endpoints.refresh()
    assert not balancer.gossip._by_peer and not balancer.gossip.counts
    # A connection to the last endpoint may still be open.
    assert len(context.connections.endpoint_connections) <= 1 and not context.active_traces
    gc.collect()
    assert len([actor for _, _, held in context.loop.timers if (actor := held())]) < 10


# Reload.


def test_a_new_discovery_is_called_at_once_and_the_old_watch_is_used_until_its_first_message(
    make_harness: MakeHarness,
) -> None:
    """The new watch starts from version 0, so that it gets a snapshot."""
    harness = make_harness(upstreams=2)
    old, _ = harness.accept_watch(b"")
    before, harness.discovery = harness.discovery, harness.close_at_end(bound_socket())
    harness.reconfigure(discovery=socket_address(harness.discovery))
    new, target = harness.accept_watch()
    assert target == b"/v1/endpoints?watch=1&from=0"
    harness.send_watch_line(old, {"version": 8, "servers": [harness.endpoint_entry(0, state="leaving")]})
    drained = harness.context.coordinator.scheduler.balancer.endpoints.by_id["s0"]
    harness.wait_until(lambda: drained.entry.state is EndpointState.DRAINING)
    harness.send_watch_line(new, {"version": 1, "full": True, "servers": [harness.endpoint_entry(1)]})
    assert harness.wait_until(lambda: harness.read(old)) == b"end"
    harness.wait_until(lambda: list(harness.context.coordinator.pools) == ["s1"])
    harness.send_watch_line(new, {"version": 2, "servers": [harness.endpoint_entry(0)]})
    harness.wait_until(lambda: len(harness.context.coordinator.pools) == 2)
    before.close()


def test_a_new_discovery_that_is_not_up_yet_is_called_again(
    harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The calls continue after the old watch has ended too."""
    monkeypatch.setattr(discovery, "KEEPALIVE_INTERVAL", 0.2)
    old, _ = harness.accept_watch(b"")
    # Bound to its address, but not listening yet.
    harness.discovery = harness.close_at_end(bound_socket(listening=False))
    harness.reconfigure(discovery=socket_address(harness.discovery))
    harness.wait_until(
        lambda: [line for line in harness.log_lines("list.end") if line["reason"] == "refused"]
    )
    old.close()
    harness.discovery.listen()
    harness.accept_watch({"version": 1, "full": True, "servers": [harness.endpoint_entry(0)]})
    harness.wait_until(lambda: harness.context.discovery.version == 1)


def test_an_unusable_configuration_leaves_the_former_one_in_force(harness: SidecarHarness) -> None:
    """A reload of the original file afterwards changes nothing, and the watch continues."""
    watch, _ = harness.accept_watch(b"")
    harness.reconfigure(text=b"{")
    harness.reconfigure()
    assert len(harness.log_lines("config.unusable")) == 1
    assert harness.log_lines("config.read")[0]["taken_over"] == []
    harness.send_watch_line(watch, {"version": 8, "servers": []})
    harness.wait_until(lambda: harness.context.discovery.version == 8)


def test_fields_that_need_a_restart_are_logged_and_the_last_of_several_changes_holds(
    harness: SidecarHarness,
) -> None:
    """After two changes of the address of discovery the watch moves to the last one."""
    harness.accept_watch(b"")
    first, last = harness.close_at_end(bound_socket()), harness.close_at_end(bound_socket())
    harness.reconfigure(discovery=socket_address(first))
    harness.reconfigure(discovery=socket_address(last), name="other")
    assert harness.log_lines("config.read")[-1]["need_restart"] == ["name"]
    harness.discovery = last
    harness.accept_watch({"version": 3, "full": True, "servers": [harness.endpoint_entry(0)]})
    harness.wait_until(lambda: harness.context.discovery.version == 3)
    assert (
        harness.context.discovery.current_watch.address == socket_address(last)
        and harness.context.discovery.new_watch is None
    )


# Peers.


def test_gossip_of_a_peer_is_received_and_that_of_an_unknown_sender_is_not(
    harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Datagrams that are empty or too long are ignored too."""
    received: list[tuple[int, bytes]] = []
    monkeypatch.setattr(
        harness.context.coordinator.scheduler,
        "gossip_received",
        lambda peer, body: received.append((peer, body)),
    )
    assert list(harness.context.gossip_socket.peers) == [harness.peer.getsockname()]  # not itself
    gossip_address = harness.context.gossip_socket.sock.getsockname()
    unknown = harness.close_at_end(bound_socket(socket.SOCK_DGRAM))
    for sender, body in [
        (unknown, b"no"),
        (harness.peer, b"x" * 257),
        (harness.peer, b""),
        (harness.peer, b"yes"),
    ]:
        sender.sendto(body, gossip_address)
    harness.wait_until(lambda: received)
    assert received == [(1, b"yes")]


def test_a_flood_of_datagrams_does_not_pile_up(harness: SidecarHarness) -> None:
    """Datagrams that can't be handled in time are left to the kernel to drop."""
    gossip_address = harness.context.gossip_socket.sock.getsockname()
    longest = 0
    for _ in range(50):
        for _ in range(200):
            harness.peer.sendto(b"abc", gossip_address)
        harness.context.loop.run_once(0.01)
        longest = max(longest, len(harness.context.coordinator.mailbox))
    assert longest <= 128
    serve(harness, harness.connect_client())


def test_requests_in_flight_are_gossiped_to_all_peers(harness: SidecarHarness) -> None:
    """The datagram has the tag of the endpoint and the count of requests in flight."""
    harness.send_request()
    upstream = harness.accept()
    harness.read_request(upstream)
    body = harness.wait_until(lambda: harness.read(harness.peer))
    endpoint = harness.context.coordinator.scheduler.balancer.endpoints.by_id["s0"]
    assert body == endpoint.gossip_tag.to_bytes(2, "big") + b"\x01"


# Start.


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (b"{", "config.json"),
        (b'{"listen": "127.0.0.1:0", "settings": {}}', "discovery"),
        (b'{"listen": "nowhere", "discovery": "127.0.0.1:1", "settings": {}}', "nowhere"),
        (b'{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {}}', "categories"),
        (
            b'{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {"rules": {"cold": "x"}}}',
            "cold",
        ),
    ],
)
def test_the_error_of_an_unusable_configuration_names_the_key(
    tmp_path: Path, text: bytes, named: str
) -> None:
    """The error is one line, and names the file if that can't be read."""
    path = tmp_path / "config.json"
    path.write_bytes(text)
    with pytest.raises(ConfigError) as refused:
        load_config({"EDGE_CONFIG": str(path)})
    assert named in str(refused.value) and "\n" not in str(refused.value)


def test_a_sidecar_without_an_endpoint_list_is_not_ready(make_harness: MakeHarness) -> None:
    """Such a sidecar answers 503 to requests until the first message of the watch."""
    harness = make_harness(known=None)
    assert harness.read_status(harness.send_request(request_line="GET /ready HTTP/1.1")) == 503
    assert harness.read_status(harness.send_request("buy", b"one")) == 503
    harness.accept_watch({"version": 9, "full": True, "servers": [harness.endpoint_entry(0)]})
    harness.wait_until(lambda: harness.log_lines("list.news"))
    assert harness.read_status(harness.send_request(request_line="GET /ready HTTP/1.1")) == 200


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    """Yield a function that starts the program as a process, without an endpoint list."""
    listen = free_address()
    config = {"listen": listen, "discovery": "127.0.0.1:1", "settings": SETTINGS}
    path = tmp_path / "config.json"
    path.write_bytes(msgspec.json.encode(config))
    command = [sys.executable, "-m", "starlingwheel"]
    environment = os.environ | {"EDGE_CONFIG": str(path)}
    started: list[subprocess.Popen[bytes]] = []

    def start() -> tuple[subprocess.Popen[bytes], tuple[str, int]]:
        process = subprocess.Popen(command, env=environment, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        started.append(process)
        assert b'"start"' in process.stdout.readline()
        return process, split_host_port(listen)

    yield start
    for process in started:
        process.kill()
        process.communicate()


def test_the_program_starts_and_ends_at_a_signal(program: Program) -> None:
    """The exit code is 0, and nothing is written to standard error."""
    process, _ = program()
    process.send_signal(signal.SIGTERM)
    out, errors = process.communicate(timeout=10)
    assert process.returncode == 0 and errors == b"" and b'"event":"end"' in out


def test_a_reload_does_not_end_the_program(program: Program) -> None:
    """The program answers clients afterwards."""
    process, listen = program()
    process.send_signal(signal.SIGHUP)
    while b'"config.read"' not in (line := process.stdout.readline()):
        assert line
    with socket.create_connection(listen) as client:
        client.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert client.recv(64).startswith(b"HTTP/1.1 503")
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=10)
    assert process.returncode == 0


def test_after_a_kill_the_program_starts_again_at_its_address(program: Program) -> None:
    """A client's open connection to the former process does not prevent the start."""
    process, listen = program()
    with socket.create_connection(listen):
        process.kill()
        process.wait(10)
        program()
        with socket.create_connection(listen) as again:
            again.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert again.recv(64).startswith(b"HTTP/1.1 503")  # there is no endpoint list yet


def test_an_unusable_start_ends_with_one_line() -> None:
    """The line names the file, and the exit code is 2."""
    command = [sys.executable, "-m", "starlingwheel"]
    done = subprocess.run(command, env={**os.environ, "EDGE_CONFIG": "/nowhere"}, capture_output=True)
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1 and b"/nowhere" in done.stderr


# Shutdown.


def test_a_shutdown_answers_all_accepted_requests_and_then_ends(make_harness: MakeHarness) -> None:
    """Requests that arrive shortly after the stop are answered too; idle clients are disconnected."""
    harness = make_harness(settings={"categories": request_class_settings(4000000)})
    loop = harness.context.loop
    loop.running = True
    idle, busy = harness.connect_client(), harness.send_request("buy", b"one")
    upstream = harness.accept()
    harness.read_request(upstream)
    harness.context.shutdown.post(STOP)
    harness.wait_until(lambda: harness.context.stopping)
    assert harness.read_status(harness.send_request(request_line="GET /ready HTTP/1.1")) == 503
    late = harness.send_request(x_trace_id="t2")  # clients still send requests for a while
    other = harness.accept()
    harness.read_request(other)
    harness.send_response(other)
    answer, _ = harness.read_message(late)
    assert answer.status_code == 200 and dict(answer.headers)[b"connection"] == b"close"
    late.close()
    assert harness.wait_until(lambda: harness.read(idle)) == b"end"
    harness.wait_until(lambda: harness.log_lines("listener.closed"))
    assert loop.running
    harness.send_response(upstream)
    assert harness.read_status(busy) == 200
    busy.close()
    harness.wait_until(lambda: not loop.running)


# The log and the loop.


def test_a_slow_log_reader_loses_lines_but_does_not_block_the_loop() -> None:
    """Once the reader continues, the log reports how many lines were lost."""
    reader, writer = os.pipe()
    log = EventLog(time.time, writer)
    for n in range(2 * MAX_BUFFERED // 100):
        log("line", n=n, more="x" * 100)
        log.flush()
    assert log.lost_lines and log.buffered_bytes <= MAX_BUFFERED
    while log.buffered_bytes:
        os.read(reader, 65536)
        log.flush()
    log.flush()
    os.close(writer)
    remaining = os.read(reader, 65536)
    assert b"log.lost" in remaining
    os.close(reader)


def test_a_closed_log_does_not_end_the_sidecar() -> None:
    """Lines are dropped once the reader has closed the pipe."""
    reader, writer = os.pipe()
    os.close(reader)
    log = EventLog(time.time, writer)
    log("line")
    log.flush()
    os.close(writer)


def test_messages_are_handled_before_timers() -> None:
    """In a turn in which both are due, the actor gets the message and no timeout."""
    ours, theirs = socket.socketpair()
    seen: list[object] = []

    class Waiting(Actor):
        def run(self) -> Coroutine[None]:
            self.loop.register(ours.fileno(), self, READ)
            seen.append((yield self.loop.now() + 0.01))

    loop = Loop(lambda actor, error: pytest.fail(repr(error)))
    Waiting(loop).begin()
    theirs.send(b"x")
    time.sleep(0.02)  # a late turn: the socket is readable, and the timer is due
    loop.run_once()
    assert len(seen) == 1 and seen[0] is not None
    ours.close()
    theirs.close()


def test_an_actor_that_waits_for_a_past_time_does_not_stop_the_others() -> None:
    """Such an actor runs once per turn."""

    class PastDeadline(Actor):
        def run(self) -> Coroutine[None]:
            while True:
                yield self.loop.now() - 1

    class Waiting(Actor):
        def run(self) -> Coroutine[None]:
            received.append((yield self.loop.now()))

    received: list[object] = []
    loop = Loop(lambda actor, error: pytest.fail(repr(error)))
    actors = [PastDeadline(loop), Waiting(loop)]
    for actor in actors:
        actor.begin()
    for _ in range(3):
        loop.run_once()
    assert received == [None]
    loop.close()


def test_a_daemon_actor_restarts_after_an_error() -> None:
    """Messages after the one that caused the error are handled."""

    class Failing(Actor):
        daemon = True

        def run(self) -> Coroutine[None]:
            while True:
                results.append(1 / (yield None))

    results: list[float] = []
    defects: list[Exception] = []
    loop = Loop(lambda actor, error: defects.append(error))
    actor = Failing(loop)
    actor.begin()
    for n in (0, 2):
        actor.post(n)
    while actor.mailbox:
        loop.run_once()
    assert results == [0.5] and len(defects) == 1
