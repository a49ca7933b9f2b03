"""Sound upstreams that share what they know of keys, such as those of one pod.

Each runs a request whose last byte has come, and writes one line for each run. A keyed request that one of
them has run in the last `--window` seconds is answered as before and does not run again. The option
`--twice-share` makes some answers come twice, the second time some milliseconds late, where nothing else
waits on the connection.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import hashlib
import json
import random
import time
from functools import partial
from pathlib import Path

from http1 import EndOfStreamError, Message, encode, read_body, read_head


class Pod:
    """The upstreams of this process, and what they have run, by idempotency key."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Take the command line's arguments."""
        self.arguments = arguments
        self.runs = Path(arguments.runs).open("a", buffering=1)  # noqa: SIM115
        self.rng = random.Random(arguments.seed)
        self.held = dict.fromkeys((name.partition(":")[0] for name in arguments.upstreams), 0)
        self.cores = {name: asyncio.Semaphore(arguments.cores) for name in self.held}
        self.by_key: dict[str, tuple[float, asyncio.Future[bytes]]] = {}

    def note(self, upstream: str, event: str, message: Message) -> None:
        """Write one line about a request."""
        digest = hashlib.sha256(message.body).hexdigest()[:16]
        entry = {
            "at": round(time.time(), 4),
            "upstream": upstream,
            "event": event,
            "trace": message.headers.get("x-trace-id", ""),
            "key": message.headers.get("idempotency-key", ""),
            "work_name": message.headers.get("x-work-name", ""),
            "expires_in_ms": message.headers.get("x-expires-in-ms", ""),
            "bytes": len(message.body),
            "digest": digest,
        }
        self.runs.write(json.dumps(entry) + "\n")

    async def run(self, upstream: str, message: Message) -> bytes:
        """Run a request, or wait for the run that it repeats; return the body of the answer."""
        key = message.headers.get("idempotency-key", "")
        now = time.time()
        if key in self.by_key and now < self.by_key[key][0] + self.arguments.window:
            self.note(upstream, "repeat", message)
            return await self.by_key[key][1]
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        if key:
            self.by_key[key] = now, answer
        self.note(upstream, "run", message)
        heavy = self.rng.random() < self.arguments.heavy_share
        self.held[upstream] += 1
        async with self.cores[upstream]:
            await asyncio.sleep(self.arguments.work * (self.arguments.heavy_factor if heavy else 1.0))
        self.held[upstream] -= 1
        digest = hashlib.sha256(message.body).hexdigest()[:16]
        trace = message.headers.get("x-trace-id", "")
        answer.set_result(f"{trace} {len(message.body)} {digest}".encode())
        return answer.result()

    async def serve(self, upstream: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        with contextlib.suppress(EndOfStreamError, OSError, asyncio.IncompleteReadError):
            first = asyncio.ensure_future(reader.readexactly(1))
            while True:
                message = await read_head(reader, await first)
                await read_body(reader, message)
                is_request = False
                if message.start.split()[1].startswith(("/health", "/status/load")):
                    held = self.held[upstream]
                    queue = max(0, held - self.arguments.cores)
                    status, body = "200 OK", f"TEXT inflight={held}, queue={queue}".encode()
                elif not message.headers.get("x-trace-id"):
                    status, body = "404 Not Found", b""
                else:
                    status, body, is_request = "200 OK", await self.run(upstream, message), True
                answer = encode(f"HTTP/1.1 {status}", {"Content-Type": "text/plain"}, body)
                writer.write(answer)
                await writer.drain()
                first = asyncio.ensure_future(reader.readexactly(1))
                if is_request and self.rng.random() < self.arguments.twice_share:
                    await asyncio.wait({first}, timeout=self.arguments.twice_after)
                    if not first.done():
                        self.note(upstream, "answered twice", message)
                        writer.write(answer)
                        await writer.drain()
        writer.close()


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("upstreams", nargs="+", help="NAME:PORT")
    parser.add_argument("--runs", required=True, help="the file for one line a run")
    parser.add_argument("--work", type=float, default=0.05, help="seconds for each request")
    parser.add_argument("--heavy-share", type=float, default=0.0, help="share of requests that are heavy")
    parser.add_argument("--heavy-factor", type=float, default=1.0, help="work of a heavy one over the usual")
    parser.add_argument("--cores", type=int, default=1000, help="requests that run at a time")
    parser.add_argument("--twice-share", type=float, default=0.0, help="share of answers that come twice")
    parser.add_argument("--twice-after", type=float, default=0.005, help="seconds to the second answer")
    parser.add_argument("--window", type=float, default=3.0, help="seconds for which repeats are dropped")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    pod = Pod(arguments)
    for upstream in arguments.upstreams:
        name, _, port = upstream.partition(":")
        await asyncio.start_server(partial(pod.serve, name), "127.0.0.1", int(port), limit=1 << 20)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
