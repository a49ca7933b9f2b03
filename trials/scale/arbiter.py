"""The arbiter's stand-in as a process of its own, told by standard input: its cost is not the run's."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from typing import Any

import msgspec

from fakes.etcd import Arbiter

from .counts import Sample, Traffic, resident, traffic

EACH = 0.2  # seconds between looks at all sockets: of one that has ended the last look counts


class Counted:
    """What its sockets carry, also those that have ended."""

    def __init__(self, arbiter: Arbiter) -> None:
        self.arbiter = arbiter
        self.ended = Traffic()
        self.last: dict[Any, Traffic] = {}
        arbiter.server.ends = self._ends

    def _look(self, writer: Any) -> None:
        sock = writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0 and (now := traffic(sock.fileno())) is not None:
            self.last[writer] = now

    def _ends(self, writer: Any) -> None:
        self._look(writer)
        if (last := self.last.pop(writer, None)) is not None:
            self.ended.add(last)

    def look(self) -> None:
        for writer in list(self.arbiter.server.open):
            self._look(writer)

    async def keep_looking(self) -> None:
        while True:
            await asyncio.sleep(EACH)
            self.look()

    def sample(self) -> Sample:
        self.look()
        sample = Sample(cpu_s=time.process_time(), memory=resident(), sockets=len(self.last))
        sample.arbiter.add(self.ended)
        for last in self.last.values():
            sample.arbiter.add(last)
        return sample


async def serve() -> None:
    arbiter = Arbiter()
    counted = Counted(arbiter)
    loop = asyncio.get_running_loop()
    looking = loop.create_task(counted.keep_looking())
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        given = json.loads(line)
        told: dict[str, Any] = {}
        match given["do"]:
            case "begin" | "up":
                await arbiter.begin()
                told = {"host": arbiter.server.host, "port": arbiter.server.port}
            case "down":
                await arbiter.down()
            case "sample":
                calls = Counter(path for _, path in arbiter.calls)
                told = {
                    "sample": msgspec.to_builtins(counted.sample()),
                    "calls": calls,
                    "watch": dict(arbiter.watch_counts),
                    "revision": arbiter.store.revision,
                    "entries": len(arbiter.entries),
                }
            case "put":
                arbiter.put(given["key"], given["value"])
            case "members":
                keys = [key for key in arbiter.entries if b"/members/" in key]
                told = {"members": len(keys)}
        print(json.dumps(told), flush=True)
    looking.cancel()
    await arbiter.stop()


if __name__ == "__main__":
    asyncio.run(serve())
