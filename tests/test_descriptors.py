"""Floods of connections: endpoint connections and admin calls still get their descriptors.

A real process runs under its own descriptor limit. It is stopped while a flood arrives, so that it finds all
connections at once.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from conftest import SETTINGS, bound_socket, request_class_settings, socket_address

from starlingwheel.net.state.connections import ConnectionTracker

TIMEOUT_UNIT = 1_000_000  # microseconds; long enough for a busy machine
REQUEST_HEAD = (
    b"GET /look/1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nX-Qos: look\r\nX-Expires-In-Ms: 19000\r\n"
)


class BlockingEndpoint:
    """An endpoint that answers once `may_answer` is set, then closes: each request needs a new connection."""

    def __init__(self) -> None:
        """Listen, and accept connections in a thread."""
        self.listener, self.ran, self.may_answer = bound_socket(backlog=512), [], threading.Event()
        self.listener.settimeout(None)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve each connection in a thread."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Read one request, and answer it once `may_answer` is set."""
        with sock, contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head:
                if not (data := sock.recv(4096)):
                    return
                head += data
            self.ran.append(head.lower().split(b"x-trace-id: ")[1].split(b"\r\n")[0])
            self.may_answer.wait()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfine")


class SidecarProcess:
    """A sidecar process with a descriptor limit, its clients and its operators."""

    def __init__(self, folder: Path, sockets: int) -> None:
        """Start the process, and wait until it is ready."""
        self.upstream, self.sockets = BlockingEndpoint(), []
        placeholders = [bound_socket(), bound_socket()]
        self.listen, self.mgmt = (placeholder.getsockname() for placeholder in placeholders)
        settings = SETTINGS | {"categories": request_class_settings(8 * TIMEOUT_UNIT), "replicasOfMe": 1}
        settings["caps"] = SETTINGS["caps"] | {"connectTimeout": TIMEOUT_UNIT, "probing": False}
        servers = [
            {"id": f"s{i}", "addr": socket_address(self.upstream.listener), "state": "active"}
            for i in range(400)
        ]
        config = {
            "listen": socket_address(placeholders[0]), "mgmt": socket_address(placeholders[1]),
            "discovery": "127.0.0.1:1",
            "limits": {"memory_mb": 192, "sockets": sockets}, "settings": settings,
            "known": {"version": 7, "full": True, "servers": servers},
        }  # fmt: skip
        for placeholder in placeholders:
            placeholder.close()
        (folder / "config.json").write_bytes(msgspec.json.encode(config))
        environment = os.environ | {"EDGE_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
        self.log = folder / "log"
        with open(self.log, "wb") as log:
            command = [sys.executable, "-m", "starlingwheel"]
            self.process = subprocess.Popen(command, env=environment, stdout=log)
        while self.read_status(self.call_ready()) != 200:
            time.sleep(0.02)

    def close(self) -> None:
        """Kill the process, and close all sockets."""
        self.process.kill()
        self.process.wait()
        self.upstream.may_answer.set()
        self.upstream.listener.close()
        for sock in self.sockets:
            sock.close()

    def connect(self, address: tuple[str, int], text: bytes = b"") -> socket.socket:
        """Connect to an address, send some bytes and return the socket."""
        sock = socket.socket()
        sock.settimeout(10)
        with contextlib.suppress(OSError):
            sock.connect(address)
            sock.sendall(text)
        self.sockets.append(sock)
        return sock

    def call_ready(self) -> socket.socket:
        """Send a readiness call to the admin listener; return its socket."""
        return self.connect(self.mgmt, b"GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n")

    def send_request(self, trace: bytes) -> socket.socket:
        """Send a client's request; return its socket."""
        return self.connect(self.listen, REQUEST_HEAD % trace + b"\r\n")

    def read_status(self, sock: socket.socket) -> int | None:
        """Return the status of the response, or None if the connection is closed without one."""
        data_read = b""
        with contextlib.suppress(OSError):
            while b"\r\n" not in data_read and (data := sock.recv(4096)):
                data_read += data
        return int(data_read.split()[1]) if data_read else None

    @contextlib.contextmanager
    def stopped(self) -> Iterator[None]:
        """Stop the process by SIGSTOP, and continue it at the end of the block."""
        self.process.send_signal(signal.SIGSTOP)
        yield
        self.process.send_signal(signal.SIGCONT)

    def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition is met."""
        end = time.monotonic() + 20
        while not condition():
            assert time.monotonic() < end, "the condition was not met in time"
            time.sleep(0.01)

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        lines = self.log.read_bytes().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == event]


@pytest.fixture
def make_process(tmp_path: Path) -> Iterator[Callable[[int], SidecarProcess]]:
    """Yield a function that starts a sidecar with a descriptor limit."""
    processes = []

    def make(sockets: int) -> SidecarProcess:
        processes.append(SidecarProcess(tmp_path, sockets))
        return processes[-1]

    yield make
    for process in processes:
        process.close()


@pytest.mark.parametrize("kind", ["silent", "halves"])
@pytest.mark.parametrize("sockets", [96, 128, 256])
def test_a_flood_does_not_take_the_descriptors_of_endpoint_connections_and_admin_calls(
    make_process: Callable[[int], SidecarProcess], sockets: int, kind: str
) -> None:
    """Almost all endpoint connections are in use; during each flood one more and an admin call are needed."""
    sidecar, tracker, spare = make_process(sockets), ConnectionTracker(sockets, admin_enabled=True), 4
    clients = [
        sidecar.send_request(b"early-%d" % i)
        for i in range(min(tracker.endpoint_limit, tracker.client_limit) - spare)
    ]
    sidecar.wait_until(lambda: len(sidecar.upstream.ran) == len(clients))
    for turn in range(spare):
        with sidecar.stopped():
            for _ in range(min(120, 2 * tracker.max_requests)):
                sidecar.connect(sidecar.listen, b"" if kind == "silent" else REQUEST_HEAD % b"half")
            for _ in range(min(30, 3 * tracker.admin_call_limit)):
                sidecar.connect(sidecar.mgmt, b"" if kind == "silent" else b"GET /_re")
            clients.append(sidecar.send_request(b"late-%d" % turn))
            call = sidecar.call_ready()
        assert sidecar.read_status(call) == 200
    sidecar.wait_until(lambda: len(sidecar.upstream.ran) == len(clients))
    sidecar.upstream.may_answer.set()
    assert [sidecar.read_status(client) for client in clients] == [200] * len(clients)
    assert not sidecar.log_lines("accept.failed") and not sidecar.log_lines("request.unfit")
    assert {line["reason"] for line in sidecar.log_lines("upstream.end")} <= {"upstream-closes"}
