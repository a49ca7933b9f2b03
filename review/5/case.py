"""Connections to upstreams come up a second late, and clients send keyed requests with chunked bodies."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import socket
import sys
import time
from pathlib import Path

import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent
SERVERS = 8
RATE = 10.0  # requests a second
LEARN = 15.0  # seconds of load before connections come up late
SECONDS = 50.0  # of load
FULL, OPEN = 0.5, 1.0  # seconds for which an upstream takes no new connection, and then takes all
DUE, EXPIRY, WINDOW = 4.5, 6.0, 4.0  # seconds
CONNECT_TIMEOUT = 1.5  # seconds
WORK = (0.2, 0.6)  # seconds
BODY = 70_000  # bytes
BACKLOG = 8


class Upstream:
    """An upstream that runs whole requests, and at times takes connections late."""

    def __init__(self, case: Case, number: int) -> None:
        """Listen, with a short queue."""
        self.case, self.name = case, f"s-{number}"
        self.socket = socket.socket()
        self.socket.bind((f"127.20.0.{number + 1}", 0))
        self.socket.listen(BACKLOG)
        self.socket.setblocking(False)
        host, port = self.socket.getsockname()
        self.address = f"{host}:{port}"

    def begin(self) -> None:
        """Accept connections from now on."""
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.accept)

    def pause(self) -> None:
        """Leave connections in the system's queue."""
        asyncio.get_running_loop().remove_reader(self.socket.fileno())

    def accept(self) -> None:
        """Accept a connection."""
        with contextlib.suppress(BlockingIOError):
            sock, _ = self.socket.accept()
            sock.setblocking(False)
            task = asyncio.create_task(self.serve(sock))
            self.case.tasks.add(task)
            task.add_done_callback(self.case.tasks.discard)

    async def hold_up(self) -> None:
        """Fill the queue, so that the system drops new connections, and then make room; again and again."""
        await asyncio.sleep(self.case.rng.uniform(0, FULL + OPEN))
        while True:
            self.pause()
            fillers = []
            for _ in range(BACKLOG + 3):
                sock = socket.socket()
                sock.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    sock.connect(self.socket.getsockname())
                fillers.append(sock)
            await asyncio.sleep(FULL)
            for sock in fillers:
                sock.close()
            self.begin()
            await asyncio.sleep(OPEN)

    async def serve(self, sock: socket.socket) -> None:
        """Serve one request and close the connection."""
        reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 20)
        case = self.case
        with contextlib.suppress(OSError, EOFError, ValueError):
            line, headers = await s.read_head(reader)
            body = await s.read_body(reader, headers)
            trace = headers["x-trace-id"]
            status, answer = 200, f"made for {trace}".encode()
            as_sent = body == case.bodies.get(trace)
            case.record("reached", id=trace, upstream=self.name, bytes=len(body), as_sent=as_sent)
            if as_sent:
                await asyncio.sleep(case.rng.uniform(*WORK))
            else:
                # "A request with an id that no client sent in this form is answered 400".
                case.altered += 1
                status = 400
            head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(answer)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + answer)
            await writer.drain()
        writer.close()


class Case:
    """One play."""

    def __init__(self) -> None:
        """Prepare."""
        self.record = s.Record(HERE / "record.txt")
        self.rng = random.Random(4)
        self.tasks: set[asyncio.Task[None]] = set()
        self.bodies: dict[str, bytes] = {}
        self.altered = 0
        self.statuses: dict[str, int] = {}
        self.numbers = itertools.count()

    async def client(self) -> None:
        """Send one request and read its answer."""
        trace = f"t{next(self.numbers):06d}"
        body = trace.encode() * (BODY // len(trace))
        self.bodies[trace] = body
        head = (
            "POST /order/1 HTTP/1.1\r\nHost: backend.local\r\nX-Qos: order\r\n"
            f"X-Trace-Id: {trace}\r\nIdempotency-Key: k-{trace}\r\nX-Expires-In-Ms: {int(EXPIRY * 1000)}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        status = "none"
        host, _, port = self.listen.rpartition(":")
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(EXPIRY + 1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                chunk = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
                writer.write(head.encode() + chunk)
                line, headers = await s.read_head(reader)
                answer = await s.read_body(reader, headers)
                writer.close()
                status = line.split()[1]
                if status == "200" and answer != f"made for {trace}".encode():
                    status = "foreign"
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record("answered", id=trace, status=status)

    async def play(self, folder: Path) -> int:
        """Play the case and return the exit code."""
        discovery = s.Discovery("127.21.0.1", self.record)
        upstreams = [Upstream(self, number) for number in range(SERVERS)]
        for upstream in upstreams:
            discovery.entries[upstream.name] = s.server_entry(upstream.name, upstream.address)
        for upstream in upstreams:
            upstream.begin()
        background: list[asyncio.Task[None]] = []
        await discovery.start()
        self.listen = f"127.22.0.1:{s.free_port('127.22.0.1')}"
        keyed = {**s.request_class("order", "guarded", DUE, EXPIRY, 1.0), "window": int(WINDOW * 1e6)}
        config = {
            "name": "n0",
            "listen": self.listen,
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole_list(),
            "settings": s.settings([keyed], caps={"connectTimeout": int(CONNECT_TIMEOUT * 1e6)}),
        }
        sidecar = s.Sidecar(config, folder, {})
        try:
            sidecar.start()
            await sidecar.ready()
            start = due = time.monotonic()
            clients = set()
            while due < start + SECONDS:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                clients.add(asyncio.create_task(self.client()))
                due += 1 / RATE
                if TROUBLE and not background and due > start + LEARN:
                    self.record("connections come up late from now on")
                    background += [asyncio.create_task(upstream.hold_up()) for upstream in upstreams]
            await asyncio.gather(*clients)
        finally:
            sidecar.end()
            for task in background:
                task.cancel()
            await discovery.stop()
        return self.judge()

    def judge(self) -> int:
        """Return 1 if an upstream got another body than the client sent."""
        self.record("verdict", statuses=self.statuses, altered=self.altered)
        print(f"answers {self.statuses}, requests that no client sent {self.altered}")
        return 1 if self.altered else 0


def main() -> int:
    """Play the case in a temporary folder."""
    with s.temporary_folder() as folder:
        try:
            return asyncio.run(Case().play(Path(folder)))
        except s.CannotRunError as error:
            print(error)
            return 2


if __name__ == "__main__":
    sys.exit(main())
