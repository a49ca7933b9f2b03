"""A few clients send long bodies in chunks of one byte, while the usual clients go on."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import subprocess
import sys
import time
from pathlib import Path

import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent
SERVERS = 8
RATE = 40.0  # usual requests a second
SECONDS = 30.0  # of load
BAD_FROM, BAD_FOR = 5.0, 15.0  # seconds
BAD_CLIENTS = 8
BAD_BODY = 60_000_000  # bytes, chunked
EXPIRY = 2.0  # seconds, of both classes
TRY_SHARE = (0.5, 0.8)
SLACK = 0.5 + 0.05  # seconds after its time in which an answer is not lost
METHODS = {"lookup": "GET", "enrol": "POST"}
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def bad_client(address: str, number: int, until: float) -> int:
    """Send a body of 60 MB in chunks of one byte at full speed, again as soon as it is turned away."""
    host, _, port = address.rpartition(":")
    chunks = b"1\r\nx\r\n" * 10_000
    turns = 0
    while time.monotonic() < until:
        turns += 1
        head = (
            "POST /enrol/1 HTTP/1.1\r\nHost: backend.local\r\nX-Qos: enrol\r\nX-Expires-In-Ms: 1500\r\n"
            f"X-Trace-Id: bad-{os.getpid()}-{number}-{turns}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.05)
            continue
        answer = asyncio.create_task(reader.read(4096))
        try:
            writer.write(head.encode())
            sent = 0
            while sent < BAD_BODY and not answer.done() and time.monotonic() < until:
                writer.write(chunks)
                sent += 10_000
                drained = asyncio.create_task(writer.drain())
                await asyncio.wait([drained, answer], return_when=asyncio.FIRST_COMPLETED)
                if not drained.done():
                    drained.cancel()
            await asyncio.wait([answer], timeout=max(0.0, until - time.monotonic()))
        except OSError:
            pass
        finally:
            answer.cancel()
            writer.transport.abort()
    return turns


async def bad_clients(address: str) -> None:
    """Play all bad clients, in a process of their own."""
    until = time.monotonic() + BAD_FOR
    turns = await asyncio.gather(*(bad_client(address, number, until) for number in range(BAD_CLIENTS)))
    print(sum(turns))


class Case:
    """One play."""

    def __init__(self) -> None:
        """Prepare."""
        self.record = s.Record(HERE / "record.txt")
        self.rng = random.Random(4)
        self.results: list[tuple[str, float, float, int]] = []  # id, time left, time taken, status (0: none)
        self.idle: list[Connection] = []
        self.numbers = itertools.count()

    async def answer(self, line: str, headers: s.Headers, body: bytes) -> s.Answer:
        """Serve a request as an upstream does."""
        trace = headers.get("x-trace-id", "")
        self.record("run", id=trace)
        await asyncio.sleep(self.rng.uniform(0.087, 0.16))
        return 200, {}, f"made for {trace}".encode()

    async def client(self, name: str, time_left: float) -> None:
        """Send one request and wait for its answer until it is lost."""
        method = METHODS[name]
        trace = f"t{next(self.numbers):06d}"
        body = b"" if method == "GET" else b"x" * 100
        more = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{method} /{name}/1 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace}\r\n"
            f"X-Qos: {name}\r\nX-Expires-In-Ms: {int(time_left * 1000)}\r\n{more}\r\n"
        )
        sent = time.monotonic()
        status = 0
        try:
            async with asyncio.timeout(time_left + SLACK + 5.0):
                while status == 0:
                    connection, reused = await self.connect()
                    sent = time.monotonic()
                    status = await self.exchange(connection, head.encode() + body, trace, reused)
        except (TimeoutError, OSError, EOFError) as error:
            self.record("no answer", id=trace, error=repr(error))
        took = time.monotonic() - sent
        self.results.append((trace, time_left, took, status))
        self.record("answered", id=trace, time_left=time_left, took=round(took, 3), status=status)

    async def connect(self) -> tuple[Connection, bool]:
        """Return an idle connection or a new one, and whether it has been used before."""
        while self.idle:
            connection = self.idle.pop()
            if not connection[0].at_eof():
                return connection, True
            connection[1].close()
        host, _, port = self.listen.rpartition(":")
        return await asyncio.open_connection(host, int(port)), False

    async def exchange(self, connection: Connection, request: bytes, trace: str, reused: bool) -> int:
        """Return the status of the answer, -1 for a foreign answer.

        Return 0 if a used connection was closed just then: the request is sent once more on a new one.
        """
        reader, writer = connection
        writer.write(request)
        try:
            line, headers = await s.read_head(reader)
        except asyncio.IncompleteReadError as error:
            if reused and not error.partial:
                self.idle.clear()
                return 0
            raise
        answer = await s.read_body(reader, headers)
        if headers.get("connection") == "close":
            writer.close()
        else:
            self.idle.append(connection)
        foreign = " 200 " in line + " " and answer != f"made for {trace}".encode()
        return -1 if foreign else int(line.split()[1])

    async def load(self) -> None:
        """Send the usual requests at an even rate."""
        tasks = set()
        start = due = time.monotonic()
        while due < start + SECONDS:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            name = self.rng.choice(list(METHODS))
            task = asyncio.create_task(self.client(name, round(EXPIRY * self.rng.uniform(*TRY_SHARE), 3)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += 1 / RATE
        await asyncio.gather(*tasks)

    async def play(self, folder: Path) -> int:
        """Play the case and return the exit code."""
        discovery = s.Discovery("127.21.0.1", self.record)
        for number in range(SERVERS):
            upstream = s.Upstream(f"127.20.0.{number + 1}", self.answer)
            await upstream.start()
            discovery.entries[f"s-{number}"] = s.server_entry(f"s-{number}", upstream.address)
        await discovery.start()
        self.listen = f"127.22.0.1:{s.free_port('127.22.0.1')}"
        config = {
            "name": "n0",
            "listen": self.listen,
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole_list(),
            "settings": s.settings(
                [
                    s.request_class("lookup", "free", 1.0, EXPIRY, 1.0),
                    s.request_class("enrol", "single_shot", 0.8, EXPIRY, 8.0),
                ]
            ),
        }
        sidecar = s.Sidecar(config, folder, {})
        others: subprocess.Popen[bytes] | None = None
        try:
            sidecar.start()
            await sidecar.ready()
            load = asyncio.create_task(self.load())
            await asyncio.sleep(BAD_FROM)
            if TROUBLE:
                self.record("bad clients begin", clients=BAD_CLIENTS)
                others = subprocess.Popen(
                    [sys.executable, "-B", __file__, self.listen], stdout=subprocess.PIPE
                )
            await load
            if sidecar.process is not None and sidecar.process.poll() is not None:
                self.record("the sidecar has ended", code=sidecar.process.returncode)
                return 1
        finally:
            if others is not None:
                others.kill()
                others.wait()
            sidecar.end()
            await discovery.stop()
        return self.judge()

    def judge(self) -> int:
        """Return 1 if a request of the usual clients was lost."""
        lost = [r for r in self.results if r[3] <= 0 or r[2] > r[1] + SLACK]
        slowest = max(r[2] for r in self.results)
        served = sum(r[3] == 200 for r in self.results)
        self.record(
            "verdict", requests=len(self.results), served=served, slowest=round(slowest, 3), lost=len(lost)
        )
        print(f"requests {len(self.results)}, served {served}, slowest {slowest:.3f} s, lost {len(lost)}")
        return 1 if lost else 0


def main() -> int:
    """Play the case in a temporary folder, or the bad clients alone."""
    if len(sys.argv) > 1:
        asyncio.run(bad_clients(sys.argv[1]))
        return 0
    with s.temporary_folder() as folder:
        try:
            return asyncio.run(Case().play(Path(folder)))
        except s.CannotRunError as error:
            print(error)
            return 2


if __name__ == "__main__":
    sys.exit(main())
