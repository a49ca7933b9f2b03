"""A watch begins again with the whole list of a large fleet, of which a part has been replaced."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
import time
from pathlib import Path

import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FLEET = 3200
REPLACED = FLEET * 6 // 10
REPLACED_IN = 7.0  # seconds
OUTAGE = 8.0  # seconds
RATE = 60.0  # requests a second
HERE = Path(__file__).resolve().parent
DUE, EXPIRY = 0.6, 1.2  # seconds, of both classes
TRY_SHARE = (0.53, 0.63)  # of the expiry: how long a client waits for its first try
SECOND_TRIES = 1 / 3  # of all requests; what is left of the expiry is less
SECOND_TRY_LEFT = (0.2, 0.5)  # seconds
METHODS = {"lookup": "GET", "enrol": "POST"}
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
SLACK = 0.5 + 0.05  # seconds after its time in which an answer is not lost


class Case:
    """One play."""

    def __init__(self) -> None:
        """Prepare."""
        self.record = s.Record(HERE / "record.txt")
        self.rng = random.Random(4)
        self.results: list[tuple[str, float, float, int]] = []  # id, sent, time taken, status (0: none)
        self.idle: list[Connection] = []
        self.numbers = itertools.count()

    async def answer(self, line: str, headers: s.Headers, body: bytes) -> s.Answer:
        """Serve a request as an upstream does."""
        trace = headers.get("x-trace-id", "")
        self.record("run", id=trace)
        await asyncio.sleep(self.rng.uniform(0.02, 0.04))
        return 200, {}, f"made for {trace}".encode()

    async def start_upstreams(self) -> list[str]:
        """Start one listener for each address, and return the addresses."""
        addresses = []
        port = s.free_port("127.20.0.1")
        for number in range(FLEET):
            upstream = s.Upstream(f"127.20.{number // 200}.{number % 200 + 1}", self.answer)
            upstream.port = port
            await upstream.start()
            addresses.append(upstream.address)
        return addresses

    async def client(self, name: str, time_left: float, second: bool) -> None:
        """Send one request and wait for its answer until it is lost."""
        method = METHODS[name]
        trace = f"t{next(self.numbers):06d}"
        body = b"" if method == "GET" else b"x" * 100
        sent = time.monotonic()
        status = 0
        try:
            async with asyncio.timeout(time_left + SLACK + 5.0):
                while status == 0:
                    connection, reused = await self.connect()
                    more = f"Content-Length: {len(body)}\r\n" if body else ""
                    more += "X-Second-Try: 1\r\n" if second else ""
                    head = (
                        f"{method} /{name}/1 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace}\r\n"
                        f"X-Qos: {name}\r\nX-Expires-In-Ms: {int(time_left * 1000)}\r\n{more}\r\n"
                    )
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

    async def load(self, until: float) -> None:
        """Send requests at an even rate."""
        tasks = set()
        due = time.monotonic()
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            name = self.rng.choice(list(METHODS))
            second = self.rng.random() < SECOND_TRIES
            left = self.rng.uniform(*SECOND_TRY_LEFT) if second else EXPIRY * self.rng.uniform(*TRY_SHARE)
            task = asyncio.create_task(self.client(name, round(left, 3), second))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += 1 / RATE
        await asyncio.gather(*tasks)

    async def replace(self, discovery: s.Discovery, first: int, steps: int = 70) -> None:
        """Replace servers by new ones at the same addresses, in small steps."""
        old = list(discovery.entries.values())
        chosen = [old[number] for number in sorted(self.rng.sample(range(len(old)), REPLACED))]
        start = time.monotonic()
        for step in range(steps):
            await asyncio.sleep(max(0.0, start + step * REPLACED_IN / steps - time.monotonic()))
            part = chosen[step::steps]
            changes = [{**entry, "state": "left"} for entry in part]
            changes += [
                s.server_entry(f"s-{first + step + steps * index:08x}", entry["addr"])
                for index, entry in enumerate(part)
            ]
            discovery.change(changes)
        self.record("replaced", servers=len(chosen), version=discovery.version)

    async def play(self, folder: Path) -> int:
        """Play the case and return the exit code."""
        addresses = await self.start_upstreams()
        discovery = s.Discovery("127.21.0.1", self.record)
        for number, address in enumerate(addresses):
            discovery.entries[f"s-{number:08x}"] = s.server_entry(f"s-{number:08x}", address)
        await discovery.start()
        listen = f"127.22.0.1:{s.free_port('127.22.0.1')}"
        self.listen = listen
        config = {
            "name": "n0",
            "listen": listen,
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole_list(),
            "settings": s.settings(
                [
                    s.request_class("lookup", "free", DUE, EXPIRY, 1.0),
                    s.request_class("enrol", "single_shot", DUE, EXPIRY, 3.0),
                ],
                rules={"drainGrace": 100000, "cold": 8600000, "coldShare": 0.32, "fallMultiple": 2.5},
                caps={"mostHandOffs": 5},
            ),
        }
        sidecar = s.Sidecar(config, folder, {})
        try:
            sidecar.start()
            await sidecar.ready()
            self.record("ready")
            start = time.monotonic()
            load = asyncio.create_task(self.load(start + 32.0))
            await asyncio.sleep(3.0)
            if TROUBLE:
                self.record("discovery goes down")
                await discovery.stop()
            release = asyncio.create_task(self.replace(discovery, 1 << 20))
            await asyncio.sleep(OUTAGE)
            await release
            if TROUBLE:
                self.record("discovery is back")
                await discovery.start()
            await load
            if sidecar.process is not None and sidecar.process.poll() is not None:
                self.record("the sidecar has ended", code=sidecar.process.returncode)
                return 1
        finally:
            sidecar.end()
            await discovery.stop()
        return self.judge()

    def judge(self) -> int:
        """Return 1 if a request was lost."""
        lost = [r for r in self.results if r[3] <= 0 or r[2] > r[1] + SLACK]
        slowest = max(r[2] for r in self.results)
        served = sum(r[3] == 200 for r in self.results)
        self.record(
            "verdict", requests=len(self.results), served=served, slowest=round(slowest, 3), lost=len(lost)
        )
        print(f"requests {len(self.results)}, served {served}, slowest {slowest:.3f} s, lost {len(lost)}")
        return 1 if lost else 0


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
