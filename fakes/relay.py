"""A relay on one link: forwards bytes, or holds, delays, resets or refuses them, per direction."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from .http1 import CHUNK, abort
from .loopback import own_host


@dataclass
class Way:
    """One direction of a link. Times are seconds."""

    cut: bool = False  # nothing gets through and no side notices: what comes waits
    delay: float = 0.0
    loss: float = 0.0  # share of pieces that come a retransmission later
    again: float = 0.2  # the delay of a retransmission


class Relay:
    """Listens for one side and connects to the other; `fore` is the way of who connects, `back` the other.

    `said` is called with each new connection to the far side: its own address there, by which the far side
    knows whose it is.
    """

    def __init__(
        self,
        target: Callable[[], tuple[str, int]],
        rng: random.Random,
        host: str = "",
        said: Callable[[tuple[str, int], tuple[str, int]], None] | None = None,
    ) -> None:
        """`target`: returns where to connect to, asked for each connection. `host`: where to listen."""
        self.target, self.rng, self.host, self.said = target, rng, host or own_host(), said
        self.port = 0
        self.ways: dict[str, tuple[Way, Way]] = {}  # by the host that connects
        self.refusing: set[str] = set()
        self.server: asyncio.Server | None = None
        self.open: dict[tuple[asyncio.StreamWriter, asyncio.StreamWriter], str] = {}
        self.pieces = 0  # reads forwarded so far, both ways
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens, host:port."""
        return f"{self.host}:{self.port}"

    def link(self, source: str = "") -> tuple[Way, Way]:
        """The ways of who connects from that host; empty: of all that have none of their own."""
        return self.ways.setdefault(source, (Way(), Way()))

    def _ways(self, source: str) -> tuple[Way, Way]:
        return self.ways.get(source) or self.link()

    async def begin(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._connection, self.host, 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is None:
            return
        self.server.close()
        self.reset()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def reset(self, source: str | None = None) -> None:
        """Reset the connections that are open, of one host or of all."""
        for pair, host in list(self.open.items()):
            if source in (None, host):
                for writer in pair:
                    abort(writer)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        pair: tuple[asyncio.StreamWriter, asyncio.StreamWriter] | None = None
        try:
            if source in self.refusing or "" in self.refusing:
                abort(writer)
                return
            while self._ways(source)[0].cut:
                await asyncio.sleep(0.01)
            host, port = self.target()
            try:
                far_reader, far_writer = await asyncio.open_connection(host, port)
            except OSError:
                abort(writer)
                return
            if self.said is not None:
                self.said(far_writer.get_extra_info("sockname")[:2], writer.get_extra_info("peername")[:2])
            pair = (writer, far_writer)
            self.open[pair] = source
            await asyncio.gather(
                self._pass(reader, far_writer, source, 0), self._pass(far_reader, writer, source, 1)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            for one in pair or (writer,):
                abort(one)
            if pair:
                self.open.pop(pair, None)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, way: int
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                self.pieces += 1
                now = self._ways(source)[way]
                wait = now.delay + (now.again if now.loss and self.rng.random() < now.loss else 0.0)
                if wait:
                    await asyncio.sleep(wait)
                while self._ways(source)[way].cut:
                    await asyncio.sleep(0.005)
                writer.write(data)
                await writer.drain()
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
        except ConnectionError:
            # A reset on one side becomes one on the other, but not while the way is cut.
            while self._ways(source)[way].cut:
                await asyncio.sleep(0.005)
            abort(writer)
            raise
