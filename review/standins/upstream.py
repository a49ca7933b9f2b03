"""A sound upstream: it runs each request whose last byte has come, and writes one line for each run.

A keyed request that it has run in the last `--window` seconds is answered as before and does not run again.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import hashlib
import json
import time
from pathlib import Path

from http1 import EndOfStreamError, Message, encode, read_body, read_head


class Upstream:
    """The state of one upstream: what it has run, by idempotency key."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Take the command line's arguments."""
        self.arguments = arguments
        self.runs = Path(arguments.runs).open("a", buffering=1)  # noqa: SIM115
        self.by_key: dict[str, tuple[float, asyncio.Future[bytes]]] = {}

    def note(self, event: str, message: Message) -> None:
        """Write one line about a request."""
        digest = hashlib.sha256(message.body).hexdigest()[:16]
        entry = {
            "at": round(time.time(), 4),
            "upstream": self.arguments.name,
            "event": event,
            "trace": message.headers.get("x-trace-id", ""),
            "key": message.headers.get("idempotency-key", ""),
            "work_name": message.headers.get("x-work-name", ""),
            "expires_in_ms": message.headers.get("x-expires-in-ms", ""),
            "bytes": len(message.body),
            "digest": digest,
        }
        self.runs.write(json.dumps(entry) + "\n")

    async def run(self, message: Message) -> bytes:
        """Run a request, or wait for the run that it repeats; return the body of the answer."""
        key = message.headers.get("idempotency-key", "")
        now = time.time()
        if key in self.by_key and now < self.by_key[key][0] + self.arguments.window:
            self.note("repeat", message)
            return await self.by_key[key][1]
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        if key:
            self.by_key[key] = now, answer
        self.note("run", message)
        await asyncio.sleep(self.arguments.work)
        digest = hashlib.sha256(message.body).hexdigest()[:16]
        trace = message.headers.get("x-trace-id", "")
        answer.set_result(f"{trace} {len(message.body)} {digest}".encode())
        return answer.result()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        with contextlib.suppress(EndOfStreamError, OSError):
            while True:
                message = await read_head(reader)
                await read_body(reader, message)
                if message.start.split()[1].startswith(("/health", "/status/load")):
                    status, body = "200 OK", b""
                elif not message.headers.get("x-trace-id"):
                    status, body = "404 Not Found", b""
                else:
                    status, body = "200 OK", await self.run(message)
                writer.write(encode(f"HTTP/1.1 {status}", {"Content-Type": "text/plain"}, body))
                await writer.drain()
        writer.close()


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--runs", required=True, help="the file for one line a run")
    parser.add_argument("--work", type=float, default=0.05, help="seconds for each request")
    parser.add_argument("--window", type=float, default=3.0, help="seconds for which repeats are dropped")
    parser.add_argument("--backlog", type=int, default=128)
    arguments = parser.parse_args()
    upstream = Upstream(arguments)
    server = await asyncio.start_server(
        upstream.serve, "127.0.0.1", arguments.port, limit=1 << 20, backlog=arguments.backlog
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
