"""The fake etcd in a process of its own, so that its cost is not counted as the run's.

The process reads commands from standard input, one JSON object a line.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from typing import Any

import msgspec

from fakes.etcd import FakeEtcd

from .counts import Sample, Traffic, resident_memory, socket_traffic

# Seconds between counts of all sockets. For a socket that has closed since, the last count is used.
COUNT_INTERVAL = 0.2
Json = dict[str, Any]


class TrafficCounter:
    """The traffic of the fake etcd's sockets, including closed ones."""

    def __init__(self, etcd: FakeEtcd) -> None:
        """Start counting."""
        self.etcd = etcd
        self.ended = Traffic()
        self.last: dict[asyncio.StreamWriter, Traffic] = {}
        etcd.server.on_close = self._connection_closed

    def _count(self, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0 and (now := socket_traffic(sock.fileno())) is not None:
            self.last[writer] = now

    def _connection_closed(self, writer: asyncio.StreamWriter) -> None:
        self._count(writer)
        if (last := self.last.pop(writer, None)) is not None:
            self.ended.add(last)

    def count_all(self) -> None:
        """Count the open sockets."""
        for writer in list(self.etcd.server.connections):
            self._count(writer)

    async def run(self) -> None:
        """Count the open sockets at regular intervals, without end."""
        while True:
            await asyncio.sleep(COUNT_INTERVAL)
            self.count_all()

    def sample(self) -> Sample:
        """Return the current counts of this process."""
        self.count_all()
        sample = Sample(cpu_s=time.process_time(), memory=resident_memory(), sockets=len(self.last))
        sample.store.add(self.ended)
        for last in self.last.values():
            sample.store.add(last)
        return sample


async def execute(command: Json, etcd: FakeEtcd, counter: TrafficCounter) -> Json:
    """Execute one command, and return its answer."""
    match command["do"]:
        case "begin" | "up":
            await etcd.start()
            return {"host": etcd.server.host, "port": etcd.server.port}
        case "down":
            await etcd.take_down()
        case "sample":
            return {
                "sample": msgspec.to_builtins(counter.sample()),
                "calls": Counter(path for _, path in etcd.calls),
                "watch": dict(etcd.watch_counts),
                "revision": etcd.store.revision,
                "entries": len(etcd.entries),
            }
        case "put":
            etcd.put(command["key"], command["value"])
        case "members":
            return {"members": sum(b"/members/" in key for key in etcd.entries)}
    return {}


async def serve() -> None:
    """Execute the commands of standard input until its end."""
    etcd = FakeEtcd()
    counter = TrafficCounter(etcd)
    loop = asyncio.get_running_loop()
    counter_task = loop.create_task(counter.run())
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await execute(json.loads(line), etcd, counter)
        print(json.dumps(answer), flush=True)
    counter_task.cancel()
    await etcd.stop()


if __name__ == "__main__":
    asyncio.run(serve())
