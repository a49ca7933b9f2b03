"""Admin calls: detaching endpoints, draining the sidecar, and replacing the process."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from conftest import SETTINGS, SidecarHarness, bound_socket, socket_address

from fakes.loopback import free_address
from starlingwheel.decisions.model import Endpoint, EndpointState
from starlingwheel.net.address import split_host_port
from starlingwheel.net.discovery.messages import DiscoveredEndpoint
from starlingwheel.net.lifecycle.config import ConfigError
from starlingwheel.net.state.connections import ConnectionTracker
from starlingwheel.net.state.known_ids import MAX_UNUSED_IDS
from starlingwheel.net.state.overrides import (
    OVERRIDES_FILE,
    EndpointOverrides,
    OverridesLockedError,
)
from starlingwheel.net.state.siblings import SiblingProcesses

MakeAdminHarness = Callable[..., SidecarHarness]


@pytest.fixture
def make_admin_harness(make_harness: Callable[..., SidecarHarness], tmp_path: Path) -> MakeAdminHarness:
    """Return a function that starts sidecars with an admin address and a common folder for overrides."""

    def make(**options: object) -> SidecarHarness:
        return make_harness(mgmt="127.0.0.1:0", environment={"TMPDIR": str(tmp_path)}, **options)

    return make


def id_body(name: str) -> bytes:
    """Return the body of a call that names an endpoint."""
    return json.dumps({"id": name}).encode()


def entry_in_decisions(harness: SidecarHarness, name: str) -> Endpoint:
    """Return an endpoint as the decisions know it."""
    return harness.context.coordinator.scheduler.balancer.endpoints.by_id[name].entry


def detach(harness: SidecarHarness, name: str = "s0") -> int | None:
    """Detach an endpoint; return the status of the call."""
    return harness.call_admin("PUT /_upstreams/detach", id_body(name))


def attach(harness: SidecarHarness, name: str = "s0") -> int | None:
    """Attach an endpoint again; return the status of the call."""
    return harness.call_admin("PUT /_upstreams/attach", id_body(name))


# The calls.


def test_ready_tells_whether_clients_are_accepted(make_admin_harness: MakeAdminHarness) -> None:
    """The status is 503 until an endpoint list is known."""
    harness = make_admin_harness(known=None)
    assert harness.call_admin("GET /_ready") == 503
    harness.accept_watch({"version": 9, "full": True, "servers": [harness.endpoint_entry(0)]})
    harness.wait_until(lambda: harness.log_lines("list.news"))
    assert harness.call_admin("GET /_ready") == 200


@pytest.mark.parametrize(
    ("request_line", "body", "extra", "status"),
    [
        ("PUT /_upstreams/detach", b"", "", 400),
        ("PUT /_upstreams/detach", b"[]", "", 400),
        ("PUT /_upstreams/detach", b"{", "", 400),
        ("PUT /_upstreams/detach", b"{}", "", 400),
        ("PUT /_upstreams/detach", b'{"id":""}', "", 400),
        ("PUT /_upstreams/detach", b'{"id":7}', "", 400),
        ("PUT /_upstreams/detach", b'{"id":"\xff"}', "", 400),
        ("PUT /_upstreams/detach", id_body("nobody"), "", 404),
        ("PUT /_upstreams/attach", id_body("nobody"), "", 404),
        ("PUT /_upstreams/detach", id_body("s0") + b" " * 5000, "", 413),
        ("PUT /_upstreams/detach", id_body("s0"), "Transfer-Encoding: chunked\r\n", 400),
        ("PUT /_upstreams", id_body("s0"), "", 404),
        ("POST /_upstreams/detach", id_body("s0"), "", 405),
        ("GET /_lameduck/on", b"", "", 405),
        ("PUT /_ready", b"", "", 405),
        ("nothing", b"", "", 400),
    ],
)
def test_an_invalid_call_is_rejected_and_changes_nothing(
    make_admin_harness: MakeAdminHarness, request_line: str, body: bytes, extra: str, status: int
) -> None:
    """The call is logged with its status."""
    harness = make_admin_harness()
    assert harness.call_admin(request_line, body, extra) == status
    assert not harness.context.overrides.stored.drained and not harness.context.draining
    assert entry_in_decisions(harness, "s0").state is EndpointState.READY
    assert [line["status"] for line in harness.log_lines("operator.call")] == [status]


def test_of_two_calls_on_one_connection_neither_is_carried_out(make_admin_harness: MakeAdminHarness) -> None:
    """The second call follows the body of the first one; the status is 400."""
    harness = make_admin_harness()
    body = id_body("s0")
    extra = f"Content-Length: {len(body)}\r\n\r\n{body.decode()}PUT /_lameduck/on HTTP/1.1\r\nHost: a\r\n"
    assert harness.call_admin("PUT /_upstreams/detach", extra=extra) == 400
    assert not harness.context.overrides.stored.drained and not harness.context.draining


def test_callers_that_send_nothing_do_not_keep_out_others(make_admin_harness: MakeAdminHarness) -> None:
    """No more calls are open than the descriptors reserved for them allow."""
    harness = make_admin_harness(limits={"sockets": 256})
    address = harness.context.admin_listener.sock.getsockname()
    silent = [harness.close_at_end(socket.create_connection(address)) for _ in range(20)]
    for caller in silent[::2]:
        caller.sendall(b"PUT /_upstreams/detach HTTP/1.1\r\nHost:")
    harness.run_for(0.05)
    assert len(harness.context.admin_listener.calls) <= harness.context.connections.admin_call_limit
    assert detach(harness) == 200
    # Calls beyond the limit are closed, the oldest first; the others time out.
    assert harness.wait_until(lambda: harness.read(silent[0])) == b"end"


def test_a_call_is_closed_only_to_make_room_for_another(make_admin_harness: MakeAdminHarness) -> None:
    """Up to the limit all calls stay open."""
    harness = make_admin_harness(limits={"sockets": 256})
    address = harness.context.admin_listener.sock.getsockname()
    silent = [
        harness.close_at_end(socket.create_connection(address))
        for _ in range(harness.context.connections.admin_call_limit)
    ]
    harness.run_for(0.1)
    assert [harness.read(caller) for caller in silent] == [None] * len(silent)


def test_an_admin_address_in_use_ends_the_start_with_one_line(
    make_harness: Callable[..., SidecarHarness], harness: SidecarHarness
) -> None:
    """The error message is a single line."""
    with pytest.raises(ConfigError) as refused:
        make_harness(mgmt=socket_address(harness.listeners[0]))
    assert "\n" not in str(refused.value)


def test_without_an_admin_address_nothing_listens(harness: SidecarHarness) -> None:
    """No descriptors are reserved for calls either."""
    assert harness.context.admin_listener is None and harness.context.connections.admin_call_limit == 0
    assert ConnectionTracker(1024).endpoint_limit > ConnectionTracker(1024, admin_enabled=True).endpoint_limit


# Detaching an endpoint.


def test_a_detached_endpoint_gets_no_requests_whatever_the_list_says(
    make_admin_harness: MakeAdminHarness,
) -> None:
    """The endpoint stays detached after its restart, its removal and a new snapshot."""
    harness = make_admin_harness(upstreams=2)
    watch, _ = harness.accept_watch(b"")
    assert detach(harness) == 200 and detach(harness) == 200
    for message in (  # a restart, a removal, and a snapshot that lists it again
        {"version": 8, "servers": [harness.endpoint_entry(0, started_ms=5)]},
        {"version": 9, "servers": [harness.endpoint_entry(0, state="left")]},
        {"version": 10, "full": True, "servers": [harness.endpoint_entry(0), harness.endpoint_entry(1)]},
    ):
        harness.send_watch_line(watch, message)
        harness.wait_until(lambda: harness.context.discovery.version == message["version"])  # noqa: B023
        harness.assert_requests_reach(1, 4)
    harness.assert_no_connection(0)


def test_one_attach_undoes_all_detaches_and_slow_start_begins(make_admin_harness: MakeAdminHarness) -> None:
    """The time of the call counts as the start time of the endpoint."""
    harness = make_admin_harness(settings={"rules": {"mustAskIn": 800000, "cold": 8000000, "coldShare": 0.3}})
    harness.accept_watch(b"")
    before = entry_in_decisions(harness, "s0")
    assert attach(harness) == 200  # it was not detached
    assert entry_in_decisions(harness, "s0") == before
    assert detach(harness) == 200 and detach(harness) == 200
    harness.wait_until(lambda: entry_in_decisions(harness, "s0").state is EndpointState.DRAINING)
    assert attach(harness) == 200
    harness.wait_until(lambda: entry_in_decisions(harness, "s0").state is EndpointState.READY)
    # Discovery lists no start time.
    assert entry_in_decisions(harness, "s0").started_at > harness.context.loop.now() - 5
    assert (
        harness.context.coordinator.scheduler.balancer.slow_start.fraction(
            harness.context.coordinator.scheduler.balancer.endpoints.by_id["s0"]
        )
        < 0.5
    )


def test_the_start_time_that_the_list_gives_replaces_that_of_the_attach(
    make_admin_harness: MakeAdminHarness,
) -> None:
    """Discovery lists the new start time some time after the call."""
    harness = make_admin_harness()
    watch, _ = harness.accept_watch(b"")
    assert detach(harness) == 200 and attach(harness) == 200
    started = (time.time() - 1) * 1000
    harness.send_watch_line(watch, {"version": 8, "servers": [harness.endpoint_entry(0, started_ms=started)]})
    harness.wait_until(lambda: entry_in_decisions(harness, "s0").started_at == started / 1000)


def test_idle_connections_to_a_detached_endpoint_are_closed(make_admin_harness: MakeAdminHarness) -> None:
    """The connections are closed at once instead of after the idle timeout."""
    harness = make_admin_harness()
    client = harness.send_request()
    upstream = harness.serve()
    assert harness.read_status(client) == 200
    assert detach(harness) == 200
    assert harness.wait_until(lambda: harness.read(upstream)) == b"end"


def test_overrides_hold_in_all_processes_of_a_sidecar_and_in_the_next_one(
    make_admin_harness: MakeAdminHarness,
) -> None:
    """Two processes run side by side, and a third one starts later."""
    first, second = make_admin_harness(), make_admin_harness()
    assert detach(first) == 200
    second.wait_until(lambda: entry_in_decisions(second, "s0").state is EndpointState.DRAINING)
    assert second.call_admin("PUT /_lameduck/on") == 200
    first.wait_until(lambda: first.context.draining)
    assert attach(second) == 200
    first.wait_until(lambda: entry_in_decisions(first, "s0").state is EndpointState.READY)
    assert detach(second) == 200
    third = make_admin_harness(known={"version": 7, "full": True, "servers": []})
    assert third.context.overrides.stored.drained and third.context.draining
    assert third.call_admin("PUT /_lameduck/off") == 200
    # Discovery has not listed the endpoint to this process.
    assert attach(third) == 200 and detach(third, "s9") == 404


@pytest.mark.parametrize("text", [b"", b"{", b'{"out":7}', b"\xff\x00"])
def test_an_unreadable_overrides_file_stops_neither_start_nor_call(
    make_admin_harness: MakeAdminHarness, tmp_path: Path, text: bytes
) -> None:
    """The file is logged as unreadable, and replaced by the next call."""
    (tmp_path / OVERRIDES_FILE).write_bytes(text)
    harness = make_admin_harness()
    assert harness.log_lines("operators.unreadable")
    assert detach(harness) == 200 and "s0" in json.loads((tmp_path / OVERRIDES_FILE).read_bytes())["out"]


def test_a_call_succeeds_only_once_its_change_is_stored(
    make_admin_harness: MakeAdminHarness, tmp_path: Path
) -> None:
    """If the file can't be written the call gets 503, and nothing changes."""
    harness = make_admin_harness()
    harness.wait_until(lambda: not harness.context.overrides.has_unstored_ids)
    harness.context.overrides.file.path = tmp_path / "gone" / OVERRIDES_FILE
    assert detach(harness) == 503
    assert entry_in_decisions(harness, "s0").state is EndpointState.READY


def test_an_overrides_file_locked_by_another_process_can_be_retried(tmp_path: Path) -> None:
    """A locked file raises an error and changes nothing; a retry after its release succeeds."""
    overrides = EndpointOverrides(str(tmp_path), lambda: 0.0, lambda *_, **__: None)
    overrides.apply_watch_message(True, [DiscoveredEndpoint("s0")])
    with overrides.file.lock(), pytest.raises(OverridesLockedError):
        overrides.drain_endpoint("s0")
    assert not overrides.stored.drained
    assert overrides.drain_endpoint("s0")


def test_old_ids_are_forgotten_but_not_those_in_use(tmp_path: Path) -> None:
    """The number of remembered ids is limited, however many were ever listed."""
    overrides = EndpointOverrides(str(tmp_path), lambda: 0.0, lambda *_, **__: None)
    overrides.apply_watch_message(True, [DiscoveredEndpoint("first"), DiscoveredEndpoint("second")])
    overrides.drain_endpoint("second")
    for i in range(6 * MAX_UNUSED_IDS):
        overrides.apply_watch_message(
            False, [DiscoveredEndpoint(f"s{i}"), DiscoveredEndpoint(f"s{i}", state="left")]
        )
    assert len(overrides.known_ids) <= MAX_UNUSED_IDS + 2
    assert overrides.drain_endpoint("first") and overrides.restore_endpoint("second") is not None
    assert overrides.drain_endpoint("s0") is None


# Draining.


def test_draining_disconnects_clients_and_can_be_undone(make_admin_harness: MakeAdminHarness) -> None:
    """Each response closes its connection, idle connections are closed, and readiness checks get 503."""
    harness = make_admin_harness()
    idle, kept = harness.connect_client(), harness.connect_client()
    kept.sendall(harness.request_bytes())
    upstream = harness.serve()
    assert harness.read_status(kept) == 200
    assert harness.call_admin("PUT /_lameduck/on") == 200
    assert harness.read_status(harness.send_request(request_line="GET /ready HTTP/1.1")) == 503
    assert harness.call_admin("GET /_ready") == 200
    # Requests that still arrive, on new and on idle connections, are served with `Connection: close`.
    for client in (harness.connect_client(), kept):
        harness.wait_for_idle_connections()
        client.sendall(harness.request_bytes())
        harness.read_request(upstream)
        harness.send_response(upstream)
        head, _ = harness.read_message(client)
        assert head.status_code == 200 and (b"connection", b"close") in head.headers
    assert harness.wait_until(lambda: harness.read(idle)) == b"end"
    assert harness.call_admin("PUT /_lameduck/on") == 200 and harness.call_admin("PUT /_lameduck/off") == 200
    assert harness.call_admin("PUT /_lameduck/off") == 200
    assert harness.read_status(harness.send_request(request_line="GET /ready HTTP/1.1")) == 200
    client = harness.connect_client()
    harness.wait_for_idle_connections()
    client.sendall(harness.request_bytes())
    harness.read_request(upstream)
    harness.send_response(upstream)
    head, _ = harness.read_message(client)
    assert (b"connection", b"close") not in head.headers
    assert [line["on"] for line in harness.log_lines("lameduck")] == [True, False]


def test_a_stop_while_draining_ends_the_process(make_admin_harness: MakeAdminHarness) -> None:
    """Draining and shutdown both disconnect clients, and do not hinder each other."""
    harness = make_admin_harness()
    harness.context.loop.running = True
    assert harness.call_admin("PUT /_lameduck/on") == 200
    os.kill(os.getpid(), signal.SIGTERM)
    harness.wait_until(lambda: not harness.context.loop.running)


# Replacing the process.


def test_a_sibling_process_is_detected_while_it_runs(tmp_path: Path) -> None:
    """A sibling is detected by its lock, which the kernel releases when the process ends."""
    text = f"""if True:
        from starlingwheel.net.state.siblings import SiblingProcesses
        siblings = SiblingProcesses({str(tmp_path)!r})
        print(siblings.has_others(), flush=True)
        input()
    """
    siblings = SiblingProcesses(str(tmp_path))
    assert not siblings.has_others()
    command = [sys.executable, "-c", text]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert process.stdout.readline() == b"True\n" and siblings.has_others()
    process.kill()
    process.communicate()
    assert not siblings.has_others()
    siblings.close()


def test_sibling_processes_share_the_limits_of_one(make_admin_harness: MakeAdminHarness) -> None:
    """Buffers and connections to endpoints are divided; the descriptors for clients are not."""
    harness = make_admin_harness()
    context, balancer = harness.context, harness.context.coordinator.scheduler.balancer
    clients = context.connections.client_limit
    alone = context.buffer_pool.max_buffers, context.connections.endpoint_limit

    class AnotherProcess:
        def has_others(self) -> bool:
            return True

    context.siblings = AnotherProcess()
    harness.wait_until(lambda: balancer.config.process_count == 2)
    shared = context.buffer_pool.max_buffers, context.connections.endpoint_limit
    assert context.connections.client_limit == clients  # clients move to the new process all at once
    assert all(half < full * 0.6 for half, full in zip(shared, alone, strict=True))
    context.siblings = None
    harness.wait_until(lambda: balancer.config.process_count == 1)
    assert (context.buffer_pool.max_buffers, context.connections.endpoint_limit) == alone


@pytest.mark.parametrize("value", ["x", "9999", "0"])
def test_an_invalid_passed_socket_ends_the_start_with_one_line(tmp_path: Path, value: str) -> None:
    """The line names the variable, and the exit code is 2."""
    config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    path = tmp_path / "config.json"
    path.write_bytes(msgspec.json.encode(config))
    environment = os.environ | {"EDGE_CONFIG": str(path), "EDGE_PASSED_SOCKET": value}
    command = [sys.executable, "-m", "starlingwheel"]
    done = subprocess.run(command, env=environment, capture_output=True, stdin=subprocess.DEVNULL)
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1 and b"EDGE_PASSED_SOCKET" in done.stderr


class CountingEndpoint:
    """An endpoint that runs in threads and counts how often it ran each trace id."""

    def __init__(self) -> None:
        """Listen, and accept connections in a thread."""
        self.listener = bound_socket(backlog=128)
        self.ran: dict[bytes, int] = {}
        self.listener.settimeout(None)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Answer the requests of one connection."""
        with sock, sock.makefile("rb") as lines:
            while line := lines.readline():
                if line.lower().startswith(b"x-trace-id:"):
                    trace = line.split(b":")[1].strip()
                if line == b"\r\n":
                    self.ran[trace] = self.ran.get(trace, 0) + 1
                    time.sleep(0.002)
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + trace.ljust(16))


@pytest.mark.xdist_group("trials-1")
def test_under_load_a_process_is_replaced_and_no_request_is_lost_or_run_twice(tmp_path: Path) -> None:
    """Clients on kept connections continue to send while a second process replaces the first one."""
    endpoint, passed, rng = CountingEndpoint(), bound_socket(backlog=256), random.Random(5)
    endpoint_address = socket_address(endpoint.listener)
    servers = [{"id": f"s{i}", "addr": endpoint_address, "state": "active"} for i in range(8)]
    settings = SETTINGS | {"caps": SETTINGS["caps"] | {"mayDuplicate": False, "mostHandOffs": 1}}
    processes: list[subprocess.Popen[bytes]] = []
    ended = threading.Event()
    lost: list[str] = []
    answered: list[str] = []
    rejected: list[str] = []

    def start(number: int) -> subprocess.Popen[bytes]:
        mgmt = free_address()
        path = tmp_path / f"config{number}.json"
        config = {"listen": socket_address(passed), "discovery": "127.0.0.1:1", "settings": settings}
        config |= {"known": {"version": 7, "full": True, "servers": servers}, "mgmt": mgmt}
        path.write_bytes(msgspec.json.encode(config))
        admin_address = split_host_port(mgmt)
        environment = os.environ | {
            "EDGE_CONFIG": str(path),
            "EDGE_PASSED_SOCKET": str(passed.fileno()),
            "TMPDIR": str(tmp_path),
        }
        command = [sys.executable, "-m", "starlingwheel"]
        log = open(tmp_path / f"log{number}", "wb")  # noqa: SIM115
        with log:
            processes.append(
                subprocess.Popen(command, env=environment, pass_fds=[passed.fileno()], stdout=log)
            )
        while True:
            try:
                with socket.create_connection(admin_address) as caller:
                    caller.sendall(b"GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    if caller.recv(64).startswith(b"HTTP/1.1 200"):
                        return processes[-1]
            except OSError:
                pass
            time.sleep(0.02)

    def client(name: str, pauses: random.Random) -> None:
        sock, count = None, 0
        while not ended.is_set():
            trace, count = f"{name}-{count}", count + 1
            request = f"GET /look/1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: {trace}\r\nX-Qos: look\r\n"
            sock = sock or socket.create_connection(passed.getsockname())
            sock.sendall(f"{request}X-Expires-In-Ms: 1900\r\n\r\n".encode())
            response = b""
            while b"\r\n\r\n" not in response or (b" 200 " in response and trace.encode() not in response):
                if not (data := sock.recv(4096)):
                    lost.append(trace)
                    break
                response += data
            else:
                (answered if trace.encode() in response else rejected).append(trace)
            if b"connection: close" in response.lower() or trace in lost:
                sock.close()
                sock = None
            time.sleep(pauses.random() / 100)

    try:
        first = start(0)
        clients = [
            threading.Thread(target=client, args=(f"c{i}", random.Random(rng.random()))) for i in range(8)
        ]
        for thread in clients:
            thread.start()
        while len(answered) < 100:
            time.sleep(0.01)
        second = start(1)
        first.send_signal(signal.SIGTERM)
        assert first.wait(10) == 0
        answered_before = len(answered)
        while len(answered) < answered_before + 100:
            time.sleep(0.01)
        ended.set()
        for thread in clients:
            thread.join()
        assert second.poll() is None
        assert not lost and max(endpoint.ran.values()) == 1  # some may be rejected on a busy machine
        assert {trace.encode() for trace in answered} == set(endpoint.ran)
        counts = [json.loads(line) for line in (tmp_path / "log1").read_bytes().splitlines()]
        assert [line["count"] for line in counts if line["event"] == "processes"][:1] == [2]
    finally:
        ended.set()
        for process in processes:
            process.kill()
            process.wait()
        endpoint.listener.close()
        passed.close()
