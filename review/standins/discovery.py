"""Discovery: serves the list in a file, and tells watches of its changes."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
from pathlib import Path

from http1 import EndOfStreamError, encode, read_head

POLL_INTERVAL = 0.05  # seconds between looks at the file
KEEP_ALIVE = 2.0  # seconds between empty lines of a watch


class Discovery:
    """Serves one file, which holds the list in discovery's form."""

    def __init__(self, path: Path) -> None:
        """Take the path of the file."""
        self.path = path

    def current(self) -> bytes:
        """Return the list as one line."""
        return json.dumps(json.loads(self.path.read_text())).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(EndOfStreamError, OSError):
            while True:
                message = await read_head(reader)
                if "watch=1" in message.start:
                    await self._watch(writer)
                    return
                writer.write(encode("HTTP/1.1 200 OK", {}, self.current()))
                await writer.drain()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told, quiet = b"", 0.0
        while not writer.is_closing():
            if (line := self.current()) == told and (quiet := quiet + POLL_INTERVAL) < KEEP_ALIVE:
                await asyncio.sleep(POLL_INTERVAL)
                continue
            part = b"\n" if line == told else line
            told, quiet = line, 0.0
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--list", required=True)
    arguments = parser.parse_args()
    server = await asyncio.start_server(Discovery(Path(arguments.list)).serve, "127.0.0.1", arguments.port)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
