"""A real sidecar among a scripted client, upstreams, discovery and administrator; what it writes is kept.

Everything goes one step after another, so that the order of what is written is the same in every run. What
differs from run to run (ports, times left, dates) is masked.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import h11

ROOT = Path(__file__).parents[2]
PATIENCE = 20.0  # seconds that one step may take on a busy machine
CATEGORIES = [
    {"name": "look", "effect": "free", "dueTime": 2_000_000, "expiry": 8_000_000},
    {"name": "buy", "effect": "single_shot", "dueTime": 2_000_000, "expiry": 8_000_000},
    {"name": "move", "effect": "guarded", "window": 8_000_000, "dueTime": 2_000_000, "expiry": 8_000_000},
]
SETTINGS = {
    "categories": CATEGORIES,
    "caps": {
        "mostHandOffs": 3, "cancel": True, "mayDuplicate": True, "connectTimeout": 400_000,
        "keepalive": 8_000_000, "retryAfter": True, "maxRetryAfter": 1_000_000,
    },
    "rules": {"mustAskIn": 8_000_000, "drainGrace": 500_000},
    "discovery": "ask", "replicasOfMe": 1, "slotNo": 0,
}  # fmt: skip
MASKS = [
    (re.compile(rb"127\.\d+\.\d+\.\d+:\d+"), b"ADDRESS"),
    (re.compile(rb"(?i)(x-expires-in-ms|retry-after|date): *[^\r]+"), rb"\1: MASKED"),
    (re.compile(rb'"started_ms":\d+(\.\d+)?'), b'"started_ms":MASKED'),
]


# A loopback host of this process's own: no other test takes a port between a look and its use.
HOST = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 256}.7"


def listener() -> socket.socket:
    sock = socket.create_server((HOST, 0))
    sock.settimeout(PATIENCE)
    return sock


def address(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


class Play:
    """The process and its surroundings; `transcript` takes what the process writes, masked."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.transcript: list[str] = []
        self.upstreams = [listener(), listener()]
        self.discovery = listener()
        self.ports = [self._free_port(), self._free_port()]
        self.open: list[socket.socket] = [*self.upstreams, self.discovery]
        self.idle: list[socket.socket] = []  # connections to the first endpoint that may be reused
        self.file = folder / "config.json"
        self.configuration = {
            "name": "one",
            "listen": f"{HOST}:{self.ports[0]}",
            "mgmt": f"{HOST}:{self.ports[1]}",
            "discovery": address(self.discovery),
            "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"version": 3, "full": True, "servers": [self.entry(0)]},
            "settings": SETTINGS,
        }
        self.write_configuration()
        self.process = subprocess.Popen(
            [sys.executable, "-B", "-m", "starlingwheel"],
            cwd=ROOT,
            env=os.environ | {"EDGE_CONFIG": str(self.file), "TMPDIR": str(folder)},
            stdout=subprocess.PIPE,
        )

    @staticmethod
    def _free_port() -> int:
        with socket.create_server((HOST, 0)) as sock:
            return sock.getsockname()[1]

    def write_configuration(self, **changed: object) -> None:
        self.file.write_text(json.dumps(self.configuration | changed))

    def entry(self, number: int, **changed: object) -> dict[str, object]:
        return {"id": f"s{number}", "addr": address(self.upstreams[number]), "state": "active"} | changed

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        for sock in self.open:
            sock.close()

    def note(self, where: str, data: bytes) -> None:
        for pattern, mask in MASKS:
            data = pattern.sub(mask, data)
        self.transcript.append(f"{where} {data!r}")

    # What it writes, read as a message at a time.

    def connect(self, port: int) -> socket.socket:
        end = time.monotonic() + PATIENCE
        while True:
            try:
                sock = socket.create_connection((HOST, port), timeout=PATIENCE)
            except ConnectionRefusedError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.01)
                continue
            self.open.append(sock)
            return sock

    def accept(self, sock: socket.socket) -> socket.socket:
        connection, _ = sock.accept()
        connection.settimeout(PATIENCE)
        self.open.append(connection)
        return connection

    def next_request(self) -> socket.socket:
        """The connection that the next request to the first endpoint comes on.

        It is a new one, unless more than 1/48 of the latency objective has passed since the last response.
        """
        while True:
            ready, _, _ = select.select([self.upstreams[0], *self.idle], [], [], PATIENCE)
            if not ready:
                raise TimeoutError("no request has come")
            if self.upstreams[0] in ready:
                return self.accept(self.upstreams[0])
            self.idle.remove(ready[0])
            if ready[0].recv(1, socket.MSG_PEEK):
                return ready[0]

    def message(self, sock: socket.socket, where: str, role: type) -> None:
        """Note the bytes of the next whole message on a connection."""
        http = h11.Connection(role)
        if role is h11.CLIENT:
            http.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        raw = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = sock.recv(65536)
                raw += data
                http.receive_data(data)
                if data:
                    continue
                event = http.next_event()
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                self.note(where, raw)
                return

    def end_of(self, sock: socket.socket, where: str) -> None:
        with contextlib.suppress(ConnectionResetError):
            self.note(f"{where} until its end", sock.recv(65536))

    # Steps of the play.

    def call(self, line: str, body: bytes = b"") -> None:
        """An administrator's call and its answer."""
        sock = self.connect(self.ports[1])
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        sock.sendall(f"{line} HTTP/1.1\r\nHost: a\r\n{length}\r\n".encode() + body)
        self.message(sock, f"answer to {line}", h11.CLIENT)

    def send(self, name: str, trace: str, body: bytes = b"", sock: socket.socket | None = None, **more: str):
        """A client's request; its connection."""
        sock = sock or self.connect(self.ports[0])
        method = "GET" if name == "look" else "POST"
        headers = {"Host": "a", "X-Trace-Id": trace, "X-QoS": name, "X-Expires-In-Ms": "7000"}
        headers |= {key.replace("_", "-"): value for key, value in more.items()}
        if name == "move":
            headers["Idempotency-Key"] = f"key-{trace}"
        if body:
            headers["Content-Length"] = str(len(body))
        lines = [f"{method} /{name}/1?q=2 HTTP/1.1", *(f"{key}: {value}" for key, value in headers.items())]
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        return sock

    def reply(
        self, sock: socket.socket, status: str = "200 OK", body: bytes = b"fine", extra: str = ""
    ) -> None:
        sock.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body)

    def say(self, sock: socket.socket, version: int, *entries: dict[str, object], full: bool = False) -> None:
        """One line of the watch."""
        text = json.dumps({"version": version, "full": full, "servers": list(entries)}).encode() + b"\n"
        sock.sendall(b"%x\r\n%s\r\n" % (len(text), text))

    def watch(self) -> socket.socket:
        sock = self.accept(self.discovery)
        self.message(sock, "discovery", h11.SERVER)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return sock

    def logged(self, event: str) -> None:
        """Wait until the process has logged an event."""
        for line in self.process.stdout:
            if json.loads(line)["event"] == event:
                return
        raise AssertionError(f"ended without {event}")

    def play(self) -> list[str]:
        watch = self._begin()
        self._ordinary_requests()
        self._attempts_that_fail()
        self._rejected_requests()
        self._administration(watch)
        self._reload_and_stop()
        return self.transcript

    def _begin(self) -> socket.socket:
        watch = self.watch()
        self.say(watch, 4, self.entry(0), full=True)
        self.logged("list.news")
        self.call("GET /_ready")
        return watch

    def _ordinary_requests(self) -> None:
        client = self.send("look", "t1", X_Customer="inn", Accept="*/*")
        upstream = self.next_request()
        self.message(upstream, "request", h11.SERVER)
        self.reply(upstream, extra="Content-Type: text/plain\r\nX-Other: 1\r\n")
        self.idle.append(upstream)
        self.message(client, "response", h11.CLIENT)
        for name, trace, body in (("move", "t2", b"m" * 10), ("buy", "t3", b"b" * 70_000)):
            self.send(name, trace, body, client)
            connection = self.next_request()
            self.message(connection, "request", h11.SERVER)
            self.reply(connection, body=name.encode() * 3, extra="Connection: close\r\n")
            self.message(client, "response", h11.CLIENT)

    def _attempts_that_fail(self) -> None:
        client = self.send("buy", "t4", b"x")
        upstream = self.next_request()
        self.message(upstream, "request", h11.SERVER)
        self.reply(upstream, "500 Error", extra="Connection: close\r\n")
        self.message(client, "response to an error", h11.CLIENT)
        client = self.send("buy", "t5", b"x")
        upstream = self.next_request()
        self.message(upstream, "request", h11.SERVER)
        upstream.close()
        self.message(client, "response to a broken attempt", h11.CLIENT)

    def _rejected_requests(self) -> None:
        for name, more in (
            ("look", {"X_Trace_Id": ""}),
            ("other", {}),
            ("look", {"X_Expires_In_Ms": "soon"}),
            ("look", {"X_Expires_In_Ms": "0"}),
        ):
            client = self.send(name, "t6", **more)
            self.message(client, f"response to {name} {sorted(more)}", h11.CLIENT)
            self.end_of(client, "rejected client")
        client = self.connect(self.ports[0])
        client.sendall(b"mumble\r\n\r\n")
        self.end_of(client, "malformed client")

    def _administration(self, watch: socket.socket) -> None:
        self.say(watch, 5, self.entry(1))
        self.logged("list.news")
        self.call("PUT /_upstreams/detach", b'{"id": "s0"}')
        self.call("PUT /_upstreams/detach", b'{"id": "s9"}')
        self.call("PUT /_upstreams/detach", b"{")
        self.call("POST /_ready")
        self.call("GET /unknown")
        client = self.send("look", "t7")
        upstream = self.accept(self.upstreams[1])
        self.message(upstream, "request to the other endpoint", h11.SERVER)
        self.reply(upstream, extra="Connection: close\r\n")
        self.message(client, "response", h11.CLIENT)
        self.call("PUT /_upstreams/attach", b'{"id": "s0"}')
        self.call("PUT /_lameduck/on")
        self.call("PUT /_lameduck/off")
        stored = json.loads((self.folder / "starlingwheel-operators.json").read_bytes())
        stored["back"] = {name: before for name, (before, _) in stored["back"].items()}
        self.note("operators' file", json.dumps(stored).encode())

    def _reload_and_stop(self) -> None:
        self.discovery = listener()
        self.open.append(self.discovery)
        self.write_configuration(discovery=address(self.discovery))
        self.process.send_signal(signal.SIGHUP)
        watch = self.watch()
        self.say(watch, 6, self.entry(0), self.entry(1), full=True)
        self.logged("config.read")
        self.process.send_signal(signal.SIGTERM)
        self.logged("end")
        self.note("exit status", str(self.process.wait(PATIENCE)).encode())


def transcript() -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        play = Play(Path(folder))
        try:
            return play.play()
        finally:
            play.close()
