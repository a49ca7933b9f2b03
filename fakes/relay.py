"""A TCP relay that can block, delay, reset or refuse traffic, separately for each direction."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from .http1 import READ_SIZE, abort
from .loopback import loopback_host

Address = tuple[str, int]  # host and port


@dataclass
class LinkDirection:
    """One direction of a link. Times are seconds."""

    blocked: bool = False  # data is held back, without either side noticing
    delay: float = 0.0
    loss: float = 0.0  # fraction of reads that are late by `retransmission_delay`
    retransmission_delay: float = 0.2


class Relay:
    """Accepts connections and forwards each to a connection to the target."""

    def __init__(
        self,
        target: Callable[[], Address],
        rng: random.Random,
        host: str = "",
        on_connect: Callable[[Address, Address], None] | None = None,
    ) -> None:
        """Create a relay. `target`: returns the address to connect to, called once per connection.

        `host`: the host to listen on. `on_connect`: called for each new connection to the target, with the
        relay's own address on it, by which the target can identify the client, and the client's address.
        """
        self.target, self.rng, self.host, self.on_connect = target, rng, host or loopback_host(), on_connect
        self.port = 0
        # The directions from and to each client host.
        self.links: dict[str, tuple[LinkDirection, LinkDirection]] = {}
        self.refused_hosts: set[str] = set()  # an empty string refuses all hosts
        self.server: asyncio.Server | None = None
        self.connections: dict[tuple[asyncio.StreamWriter, asyncio.StreamWriter], str] = {}
        self.forwarded_reads = 0  # in both directions
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The listening address, host:port."""
        return f"{self.host}:{self.port}"

    def link(self, source: str = "") -> tuple[LinkDirection, LinkDirection]:
        """Return the directions from and to a client host; empty: the default of hosts without their own."""
        return self.links.setdefault(source, (LinkDirection(), LinkDirection()))

    def _link_of(self, source: str) -> tuple[LinkDirection, LinkDirection]:
        return self.links.get(source) or self.link()

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._handle_connection, self.host, 0, backlog=512)
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
        """Reset the open connections of one client host, or of all."""
        for pair, host in list(self.connections.items()):
            if source in (None, host):
                for writer in pair:
                    abort(writer)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        pair: tuple[asyncio.StreamWriter, asyncio.StreamWriter] | None = None
        try:
            if source in self.refused_hosts or "" in self.refused_hosts:
                abort(writer)
                return
            while self._link_of(source)[0].blocked:
                await asyncio.sleep(0.01)
            host, port = self.target()
            try:
                target_reader, target_writer = await asyncio.open_connection(host, port)
            except OSError:
                abort(writer)
                return
            if self.on_connect is not None:
                self.on_connect(
                    target_writer.get_extra_info("sockname")[:2], writer.get_extra_info("peername")[:2]
                )
            pair = (writer, target_writer)
            self.connections[pair] = source
            await asyncio.gather(
                self._forward(reader, target_writer, source, 0),
                self._forward(target_reader, writer, source, 1),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            for open_writer in pair or (writer,):
                abort(open_writer)
            if pair:
                self.connections.pop(pair, None)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, direction: int
    ) -> None:
        try:
            while data := await reader.read(READ_SIZE):
                self.forwarded_reads += 1
                link = self._link_of(source)[direction]
                is_lost = link.loss > 0 and self.rng.random() < link.loss
                wait = link.delay + (link.retransmission_delay if is_lost else 0.0)
                if wait:
                    await asyncio.sleep(wait)
                while self._link_of(source)[direction].blocked:
                    await asyncio.sleep(0.005)
                writer.write(data)
                await writer.drain()
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
        except ConnectionError:
            # A reset is forwarded to the other side, but only once the direction is no longer blocked.
            while self._link_of(source)[direction].blocked:
                await asyncio.sleep(0.005)
            abort(writer)
            raise
