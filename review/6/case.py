"""A planned restart while clients send long bodies: SIGTERM, and SIGKILL after the pages' time."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from math import inf
from pathlib import Path

import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent
SERVERS = 8  # with one core each
WORK = (0.087, 0.16)  # seconds of work of a request
BODY_RATE = 64_000  # bytes a second
PIECE = 0.05  # seconds between two pieces of a body
STOP_AT = 1.0  # seconds before the first client
KILL_AFTER = 3.0 + 0.7  # seconds from SIGTERM to SIGKILL: the longest deadline and 0.7 s
TAKEN_MARGIN = 0.02  # seconds before SIGKILL after which a last byte does not count
UPLOADS = 120
FIRST_BEGIN, LAST_BEGIN = -3.0, 0.2  # seconds after SIGTERM: clients connect between these times
FIRST_END, LAST_END = 1.7, KILL_AFTER  # seconds after SIGTERM: last bytes, at an even distance
SLACK = 0.5 + 0.05  # seconds after its time in which an answer is not lost


class Upload:
    """One request with a long body, and what came of it."""

    def __init__(self, number: int, stop_at: float, rng: random.Random) -> None:
        """Plan a request; SIGTERM comes at `stop_at`."""
        self.trace = f"u{number:04d}"
        ends_at = stop_at + FIRST_END + number * (LAST_END - FIRST_END) / UPLOADS
        begins_at = stop_at + rng.uniform(FIRST_BEGIN, LAST_BEGIN)
        self.pieces = int((ends_at - begins_at) / PIECE)
        self.begins_at = ends_at - self.pieces * PIECE
        self.time_left = round(2.0 * rng.uniform(0.5, 0.8), 3)
        self.taken_at = inf  # when the last byte was written
        self.ended_at = inf  # when the answer was complete, or the connection ended
        self.status = 0


class Case:
    """One play."""

    def __init__(self) -> None:
        """Prepare."""
        self.record = s.Record(HERE / "record.txt")
        self.rng = random.Random(4)
        self.killed_at = inf

    def new_upstream(self, host: str) -> s.Upstream:
        """Return an upstream with one core, which runs one request after another."""
        core = asyncio.Lock()

        async def answer(line: str, headers: s.Headers, body: bytes) -> s.Answer:
            trace = headers.get("x-trace-id", "")
            self.record("reached an upstream", id=trace, bytes=len(body))
            async with core:
                await asyncio.sleep(self.rng.uniform(*WORK))
            self.record("run", id=trace)
            return 200, {}, f"made for {trace}".encode()

        return s.Upstream(host, answer)

    async def client(self, upload: Upload) -> None:
        """Send one request at the rate of a slow client, and wait for its answer."""
        await asyncio.sleep(upload.begins_at - time.monotonic())
        host, _, port = self.listen.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.record("not accepted", id=upload.trace)
            return
        answer = asyncio.create_task(self.read_answer(reader, upload))
        piece = b"x" * int(BODY_RATE * PIECE)
        head = (
            "POST /enrol/1 HTTP/1.1\r\nHost: backend.local\r\nX-Qos: enrol\r\n"
            f"X-Trace-Id: {upload.trace}\r\nX-Expires-In-Ms: {int(upload.time_left * 1000)}\r\n"
            f"Content-Length: {len(piece) * upload.pieces}\r\n\r\n"
        )
        try:
            writer.write(head.encode())
            for number in range(1, upload.pieces + 1):
                due = upload.begins_at + number * PIECE
                await asyncio.wait([answer], timeout=max(0.0, due - time.monotonic()))
                if answer.done():
                    break  # an early answer, or the end of the connection: the rest is not sent
                writer.write(piece)
                await writer.drain()
            else:
                upload.taken_at = time.monotonic()
                self.record("sent whole", id=upload.trace, time_left=upload.time_left)
            await answer
        except OSError as error:
            self.record("connection broken", id=upload.trace, error=repr(error))
        finally:
            answer.cancel()
            writer.close()

    async def read_answer(self, reader: asyncio.StreamReader, upload: Upload) -> None:
        """Read the answer, until it is lost."""
        try:
            line, headers = await s.read_head(reader)
            body = await s.read_body(reader, headers)
            upload.status = int(line.split()[1])
            if upload.status == 200 and body != f"made for {upload.trace}".encode():
                upload.status = -1
        except (OSError, EOFError) as error:
            self.record("no answer", id=upload.trace, error=repr(error))
        upload.ended_at = time.monotonic()
        self.record("answered", id=upload.trace, status=upload.status)

    async def restart(self, sidecar: s.Sidecar, at: float) -> None:
        """End the sidecar as a planned restart does."""
        await asyncio.sleep(at - time.monotonic())
        self.record("SIGTERM")
        sidecar.signal(signal.SIGTERM)
        while time.monotonic() < at + KILL_AFTER:
            if sidecar.process is not None and sidecar.process.poll() is not None:
                self.killed_at = time.monotonic()
                self.record("ended by itself", code=sidecar.process.returncode)
                return
            await asyncio.sleep(0.005)
        self.killed_at = time.monotonic()
        sidecar.signal(signal.SIGKILL)
        self.record("SIGKILL")

    async def play(self, folder: Path) -> int:
        """Play the case and return the exit code."""
        upstreams = [self.new_upstream(f"127.20.0.{number + 1}") for number in range(SERVERS)]
        discovery = s.Discovery("127.21.0.1", self.record)
        for number, upstream in enumerate(upstreams):
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
                    s.request_class("lookup", "free", 1.0, 2.0, 1.0),
                    s.request_class("enrol", "single_shot", 0.8, 2.0, 8.0),
                    s.request_class("section-change", "guarded", 0.75, 3.0, 2.0),
                ]
            ),
        }
        sidecar = s.Sidecar(config, folder, {})
        try:
            sidecar.start()
            await sidecar.ready()
            stop_at = time.monotonic() + STOP_AT - FIRST_BEGIN
            uploads = [Upload(number, stop_at, self.rng) for number in range(UPLOADS)]
            tasks = [asyncio.create_task(self.client(upload)) for upload in uploads]
            if TROUBLE:
                await self.restart(sidecar, stop_at)
            await asyncio.wait(tasks, timeout=stop_at + KILL_AFTER + 4.0 - time.monotonic())
            for task in tasks:
                task.cancel()
            if not TROUBLE and sidecar.process is not None and sidecar.process.poll() is not None:
                self.record("the sidecar has ended", code=sidecar.process.returncode)
                return 1
        finally:
            sidecar.end()
            await discovery.stop()
        return self.judge(uploads)

    def judge(self, uploads: list[Upload]) -> int:
        """Return 1 if a request was lost: taken, and without a final answer."""
        taken = [u for u in uploads if u.taken_at < self.killed_at - TAKEN_MARGIN]
        lost = [u for u in taken if u.status <= 0 or u.ended_at > u.taken_at + u.time_left + SLACK]
        for upload in lost:
            self.record("lost", id=upload.trace, before_kill=round(self.killed_at - upload.taken_at, 3))
        served = sum(u.status == 200 for u in uploads)
        self.record("verdict", uploads=len(uploads), taken=len(taken), served=served, lost=len(lost))
        print(f"uploads {len(uploads)}, taken {len(taken)}, served {served}, lost {len(lost)}")
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
