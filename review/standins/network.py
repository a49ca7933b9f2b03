"""The network between two places: passes on each connection's bytes, each way a fixed time later."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
from functools import partial


async def carry(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delay: float) -> None:
    """Pass on bytes, and the end of the connection, in their order."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while data := await reader.read(1 << 16):
            loop.call_later(delay, writer.write, data)
    loop.call_later(delay, writer.close)


async def serve(
    target: int, delay: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Connect to the target, and carry both ways."""
    try:
        there, back = await asyncio.open_connection("127.0.0.1", target)
    except OSError:
        writer.transport.abort()
        return
    await asyncio.gather(carry(reader, back, delay), carry(there, writer, delay))


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("ways", nargs="+", help="PORT:TARGET")
    parser.add_argument("--delay", type=float, required=True, help="seconds each way")
    arguments = parser.parse_args()
    for way in arguments.ways:
        port, _, target = way.partition(":")
        await asyncio.start_server(partial(serve, int(target), arguments.delay), "127.0.0.1", int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
