"""HTTP/1.1 for the stand-ins: h11 on asyncio's streams, with the ways to fail that a server has."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import h11

from .loopback import own_host

CHUNK = 65536


@dataclass
class Request:
    """One request, whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    origin: tuple[str, int]  # the address that it came from


@dataclass
class Response:
    """An answer; one with `parts` is sent in chunks for as long as they come."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    parts: AsyncIterator[bytes] | None = None


RESET = Response(status=0)  # the connection is reset instead of an answer
Handler = Callable[[Request], Awaitable[Response]]


def abort(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    with contextlib.suppress(OSError, AttributeError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@contextlib.asynccontextmanager
async def left(reader: asyncio.StreamReader) -> AsyncIterator[None]:
    """Cancels what is inside when the other side ends, which nothing that is written may tell for long."""
    inside = asyncio.current_task()
    assert inside is not None

    def ended(read: asyncio.Task[bytes]) -> None:
        if not read.cancelled() and (read.exception() is not None or not read.result()):
            inside.cancel()

    reading = asyncio.create_task(reader.read(CHUNK))
    reading.add_done_callback(ended)
    try:
        yield
    finally:
        reading.remove_done_callback(ended)
        reading.cancel()


class Server:
    """Listens on loopback; `handler` answers each request. `stop` and `begin` may be called in turns."""

    def __init__(self, handler: Handler, host: str = "") -> None:
        """`host`: where; empty: one of this process alone."""
        self.handler, self.host, self.port = handler, host or own_host(), 0
        self.server: asyncio.Server | None = None
        self.open: dict[asyncio.StreamWriter, asyncio.Task[Any]] = {}
        self.ends: Callable[[asyncio.StreamWriter], None] = lambda writer: None  # told before one closes

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def begin(self) -> None:
        if self.server is not None:
            return
        for tries in range(50):
            try:
                self.server = await asyncio.start_server(self._connection, self.host, self.port, backlog=512)
                break
            except OSError:
                # Another process may have gone out from the port that we had.
                if tries == 49:
                    raise
                await asyncio.sleep(0.1)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Refuses connections from now on, and resets those that are open."""
        if self.server is None:
            return
        server, self.server = self.server, None
        server.close()
        for writer, task in list(self.open.items()):
            self.ends(writer)
            del self.open[writer]
            abort(writer)
            task.cancel()
        await asyncio.sleep(0)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open[writer] = asyncio.current_task()  # type: ignore[assignment]
        try:
            await self._serve(reader, writer)
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            if self.open.pop(writer, None) is not None:
                self.ends(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER)
        origin = writer.get_extra_info("peername")
        while True:
            request, body = None, b""
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(CHUNK))
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    return
            headers = {name.decode(): value.decode("latin-1") for name, value in request.headers}
            asked = Request(request.method.decode(), request.target.decode(), headers, body, origin)
            answer = await self.handler(asked)
            if answer is RESET:
                abort(writer)
                return
            framing = (
                ("Transfer-Encoding", "chunked")
                if answer.parts
                else ("Content-Length", str(len(answer.body)))
            )
            head = h11.Response(
                status_code=answer.status, reason=b"x", headers=[*answer.headers.items(), framing]
            )
            out = http.send(head)
            if answer.parts is not None:
                writer.write(out)
                async with left(reader):
                    async for part in answer.parts:
                        writer.write(http.send(h11.Data(data=part)))
                        await writer.drain()
                out = b""
            elif answer.body:
                out += http.send(h11.Data(data=answer.body))
            writer.write(out + http.send(h11.EndOfMessage()))
            await writer.drain()
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()


class Broken(Exception):
    """A connection ended without a whole answer; the text says when."""


class Caller:
    """Calls one address over connections that are kept."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter, h11.Connection]] = []

    async def call(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Status, headers and body. Raises `Broken`; a cancelled call closes its connection."""
        used = None
        while self.idle and used is None:
            used = self.idle.pop()
            if used[0].at_eof():
                used[1].close()
                used = None
        if used is None:
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
            except OSError as error:
                raise Broken("refused") from error
            used = reader, writer, h11.Connection(h11.CLIENT)
        reader, writer, http = used
        done = False
        try:
            given = [("Host", "a"), *headers.items()]
            if body or method != "GET":
                given.append(("Content-Length", str(len(body))))
            out = http.send(h11.Request(method=method, target=target, headers=given))
            if body:
                out += http.send(h11.Data(data=body))
            writer.write(out + http.send(h11.EndOfMessage()))
            answer, got = None, b""
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    data = await reader.read(CHUNK)
                    if not data and answer is None:
                        raise Broken("closed")
                    http.receive_data(data)
                elif isinstance(event, h11.Response):
                    answer = event
                elif isinstance(event, h11.Data):
                    got += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise Broken("closed")
            if http.our_state is h11.DONE and http.their_state is h11.DONE:
                http.start_next_cycle()
                self.idle.append(used)
                done = True
            return answer.status_code, {n.decode(): v.decode("latin-1") for n, v in answer.headers}, got
        except (OSError, h11.ProtocolError) as error:
            raise Broken("reset") from error
        finally:
            if not done:
                writer.close()

    def close(self) -> None:
        for _, writer, _ in self.idle:
            writer.close()
        self.idle = []
