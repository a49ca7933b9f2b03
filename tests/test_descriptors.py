"""Floods that use up descriptors: connections to endpoints and admin calls go on getting theirs.

A real process under its own limit. It is stopped while a flood gathers, so that it finds all of it at once.
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

WAITS = 1_000_000  # microseconds for which a due time lasts: long enough for a busy machine
ASKED = b"GET /look/1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nX-Qos: look\r\nX-Expires-In-Ms: 19000\r\n"


class Upstream:
    """Answers each request once it may, and closes: the next one needs another connection."""

    def __init__(self) -> None:
        """Listen, and accept in a thread."""
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
        """Read one request, and answer it once that is allowed."""
        with sock, contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head:
                if not (data := sock.recv(4096)):
                    return
                head += data
            self.ran.append(head.lower().split(b"x-trace-id: ")[1].split(b"\r\n")[0])
            self.may_answer.wait()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfine")


class Process:
    """A sidecar with so many descriptors, its clients and its operators."""

    def __init__(self, folder: Path, sockets: int) -> None:
        """Start the process, and wait until it is ready."""
        self.upstream, self.open = Upstream(), []
        places = [bound_socket(), bound_socket()]
        self.listen, self.mgmt = (place.getsockname() for place in places)
        settings = SETTINGS | {"categories": request_class_settings(8 * WAITS), "replicasOfMe": 1}
        settings["caps"] = SETTINGS["caps"] | {"connectTimeout": WAITS, "probing": False}
        servers = [
            {"id": f"s{i}", "addr": socket_address(self.upstream.listener), "state": "active"}
            for i in range(400)
        ]
        config = {
            "listen": socket_address(places[0]), "mgmt": socket_address(places[1]),
            "discovery": "127.0.0.1:1",
            "limits": {"memory_mb": 192, "sockets": sockets}, "settings": settings,
            "known": {"version": 7, "full": True, "servers": servers},
        }  # fmt: skip
        for place in places:
            place.close()
        (folder / "config.json").write_bytes(msgspec.json.encode(config))
        environment = os.environ | {"EDGE_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
        self.log = folder / "log"
        with open(self.log, "wb") as log:
            command = [sys.executable, "-m", "starlingwheel"]
            self.process = subprocess.Popen(command, env=environment, stdout=log)
        while self.status(self.call()) != 200:
            time.sleep(0.02)

    def close(self) -> None:
        """Kill the process, and close all sockets."""
        self.process.kill()
        self.process.wait()
        self.upstream.may_answer.set()
        self.upstream.listener.close()
        for sock in self.open:
            sock.close()

    def connect(self, place: tuple[str, int], text: bytes = b"") -> socket.socket:
        """Connect, send some bytes and return the socket."""
        sock = socket.socket()
        sock.settimeout(10)
        with contextlib.suppress(OSError):
            sock.connect(place)
            sock.sendall(text)
        self.open.append(sock)
        return sock

    def call(self) -> socket.socket:
        """Ask the admin listener whether the sidecar is ready."""
        return self.connect(self.mgmt, b"GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n")

    def ask(self, trace: bytes) -> socket.socket:
        """Send a client's request."""
        return self.connect(self.listen, ASKED % trace + b"\r\n")

    def status(self, sock: socket.socket) -> int | None:
        """Of the answer; None: it was closed without one."""
        got = b""
        with contextlib.suppress(OSError):
            while b"\r\n" not in got and (data := sock.recv(4096)):
                got += data
        return int(got.split()[1]) if got else None

    @contextlib.contextmanager
    def stopped(self) -> Iterator[None]:
        """Stop the process meanwhile, by SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)
        yield
        self.process.send_signal(signal.SIGCONT)

    def until(self, happened: Callable[[], object]) -> None:
        """Wait until something has happened."""
        end = time.monotonic() + 20
        while not happened():
            assert time.monotonic() < end, "it has not happened"
            time.sleep(0.01)

    def logged(self, event: str) -> list[dict[str, Any]]:
        """The log lines of an event."""
        lines = self.log.read_bytes().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == event]


@pytest.fixture
def make_process(tmp_path: Path) -> Iterator[Callable[[int], Process]]:
    """Make a sidecar with a limit of descriptors."""
    made = []

    def make(sockets: int) -> Process:
        made.append(Process(tmp_path, sockets))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.mark.parametrize("kind", ["silent", "halves"])
@pytest.mark.parametrize("sockets", [96, 128, 256])
def test_a_flood_keeps_neither_upstreams_nor_operators_from_their_descriptors(
    make_process: Callable[[int], Process], sockets: int, kind: str
) -> None:
    """All connections to endpoints but a few are in use; with each flood one more of these is needed."""
    sidecar, tracker, few = make_process(sockets), ConnectionTracker(sockets, admin_enabled=True), 4
    asked = [
        sidecar.ask(b"early-%d" % i) for i in range(min(tracker.endpoint_limit, tracker.client_limit) - few)
    ]
    sidecar.until(lambda: len(sidecar.upstream.ran) == len(asked))
    for turn in range(few):
        with sidecar.stopped():
            for _ in range(min(120, 2 * tracker.max_requests)):
                sidecar.connect(sidecar.listen, b"" if kind == "silent" else ASKED % b"half")
            for _ in range(min(30, 3 * tracker.admin_call_limit)):
                sidecar.connect(sidecar.mgmt, b"" if kind == "silent" else b"GET /_re")
            asked.append(sidecar.ask(b"late-%d" % turn))
            call = sidecar.call()
        assert sidecar.status(call) == 200
    sidecar.until(lambda: len(sidecar.upstream.ran) == len(asked))
    sidecar.upstream.may_answer.set()
    assert [sidecar.status(client) for client in asked] == [200] * len(asked)
    assert not sidecar.logged("accept.failed") and not sidecar.logged("request.unfit")
    assert {line["reason"] for line in sidecar.logged("upstream.end")} <= {"upstream-closes"}
