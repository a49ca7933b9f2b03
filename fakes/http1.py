"""HTTP/1.1 server and client for the fakes, built on h11 and asyncio streams, with injectable faults."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

import h11

from .delivery import HANG_TIME, NOISE, PIECE_INTERVAL, Delivery, Ending, Framing
from .loopback import loopback_host

READ_SIZE = 65536  # bytes per read
CLOSED_CHECK_INTERVAL = 0.005  # seconds
MAX_BIND_ATTEMPTS = 50
BIND_RETRY_INTERVAL = 0.1  # seconds


@dataclass
class Request:
    """One complete request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    client_address: tuple[str, int]  # host and port
    head_at: float = 0.0  # when its head was read, in seconds on the loop's clock


@dataclass
class Response:
    """A response. With `parts`, the body is sent in chunks until the iterator ends.

    With `delivery`, the body is written as it says.
    """

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    parts: AsyncIterator[bytes] | None = None
    delivery: Delivery | None = None


@dataclass(frozen=True)
class Connection:
    """An open connection and its HTTP state."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    http: h11.Connection

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return False if the connection can't be reused."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True


RESET = Response(status=0)  # reset the connection instead of responding
Handler = Callable[[Request], Awaitable[Response]]


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    with contextlib.suppress(OSError, AttributeError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@contextlib.asynccontextmanager
async def cancel_when_closed(reader: asyncio.StreamReader) -> AsyncIterator[None]:
    """Cancel the current task when the client closes the connection; writes may succeed long after that."""
    task = asyncio.current_task()
    assert task is not None

    async def cancel_at_end() -> None:
        # Reading would take bytes of the next request.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(CLOSED_CHECK_INTERVAL)
        task.cancel()

    watching = asyncio.create_task(cancel_at_end())
    try:
        yield
    finally:
        watching.cancel()


class Server:
    """A server on loopback; `handler` answers each request. It can be stopped and started again."""

    def __init__(self, handler: Handler, host: str = "") -> None:
        """Create the server. `host`: by default a loopback host that no other process uses."""
        self.handler, self.host, self.port = handler, host or loopback_host(), 0
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.StreamWriter, asyncio.Task[Any]] = {}
        self.read_pause = 0.0  # seconds between two reads of a request, each of at most READ_SIZE
        # Called before a connection is closed.
        self.on_close: Callable[[asyncio.StreamWriter], None] = lambda writer: None

    @property
    def address(self) -> str:
        """The listening address, host:port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Start listening, on the same port as before if the server was stopped."""
        if self.server is not None:
            return
        for attempt in range(MAX_BIND_ATTEMPTS):
            try:
                self.server = await asyncio.start_server(
                    self._handle_connection, self.host, self.port, backlog=512
                )
                break
            except OSError:
                # While the server was down, the system may have assigned the port to an outgoing connection.
                if attempt == MAX_BIND_ATTEMPTS - 1:
                    raise
                await asyncio.sleep(BIND_RETRY_INTERVAL)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse new connections; the open ones stay until `stop`."""
        if self.server is not None:
            self.server.close()

    async def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self.server is None:
            return
        server, self.server = self.server, None
        server.close()
        for writer, task in list(self.connections.items()):
            self.on_close(writer)
            del self.connections[writer]
            abort(writer)
            task.cancel()
        await asyncio.sleep(0)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections[writer] = asyncio.current_task()  # type: ignore[assignment]
        try:
            await self._serve(reader, writer)
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            if self.connections.pop(writer, None) is not None:
                self.on_close(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer, h11.Connection(h11.SERVER))
        while True:
            request = await self._read_request(connection)
            if request is None:
                return
            response = await self.handler(request)
            if response is RESET:
                abort(writer)
                return
            if response.delivery is not None:
                await self._deliver(connection, response, response.delivery)
            else:
                await self._write_response(connection, response)
            if not connection.start_next_cycle():
                return

    async def _read_request(self, connection: Connection) -> Request | None:
        """Return the next request, or None at the end of the connection."""
        head, body, head_at = None, b"", 0.0
        while True:
            event = connection.http.next_event()
            if event is h11.NEED_DATA:
                if head is not None and self.read_pause:
                    await asyncio.sleep(self.read_pause)
                connection.http.receive_data(await connection.reader.read(READ_SIZE))
            elif isinstance(event, h11.Request):
                head, head_at = event, asyncio.get_running_loop().time()
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                client_address = connection.writer.get_extra_info("peername")
                return Request(
                    head.method.decode(),
                    head.target.decode(),
                    _decode_headers(head),
                    body,
                    client_address,
                    head_at,
                )
            else:
                return None

    async def _write_response(self, connection: Connection, response: Response) -> None:
        http, writer = connection.http, connection.writer
        framing = (
            ("Transfer-Encoding", "chunked")
            if response.parts
            else ("Content-Length", str(len(response.body)))
        )
        headers = [*response.headers.items(), framing]
        out = http.send(h11.Response(status_code=response.status, reason=b"x", headers=headers)) or b""
        if response.parts is not None:
            writer.write(out)
            async with cancel_when_closed(connection.reader):
                async for part in response.parts:
                    writer.write(http.send(h11.Data(data=part)) or b"")
                    await writer.drain()
            out = b""
        elif response.body:
            out += http.send(h11.Data(data=response.body)) or b""
        writer.write(out + (http.send(h11.EndOfMessage()) or b""))
        await writer.drain()

    async def _deliver(self, connection: Connection, response: Response, delivery: Delivery) -> None:
        """Write a response as its delivery says, and record there what became of it."""
        writer, http = connection.writer, connection.http
        try:
            async with cancel_when_closed(connection.reader):
                await self._write_delivery(connection, response, delivery)
                if not delivery.is_sound:
                    await asyncio.sleep(delivery.ending_delay)
                    delivery.ended_at = delivery.note()
                if delivery.ending is Ending.NOISE:
                    writer.write(NOISE)
                if delivery.ending in (Ending.HANG, Ending.NOISE):
                    await asyncio.sleep(HANG_TIME)
        except (asyncio.CancelledError, OSError):
            delivery.broken_at = delivery.note()
            raise
        if delivery.ending is Ending.RESET:
            abort(writer)
        elif delivery.is_sound and delivery.framing is not Framing.CLOSE:
            await self._write_pieces(writer, http.send(h11.EndOfMessage()) or b"", delivery)
        if delivery.is_sound:
            delivery.completed_at = delivery.note()

    async def _write_delivery(self, connection: Connection, response: Response, delivery: Delivery) -> None:
        """Write the head, and the body up to its limit."""
        writer, http = connection.writer, connection.http
        # What is counted as sent has been taken by the kernel.
        writer.transport.set_write_buffer_limits(high=0)
        await self._write_pieces(writer, self._delivery_head(http, response, delivery), delivery)
        delivery.head_at, delivery.partly_sent = delivery.note(), 0
        await asyncio.sleep(delivery.body_delay)
        for piece in delivery.pieces(response.body):
            framed = piece if delivery.framing is Framing.CLOSE else http.send(h11.Data(data=piece))
            delivery.body_at = delivery.body_at or delivery.note()
            await self._write_pieces(writer, framed or b"", delivery)
            delivery.sent, delivery.partly_sent = delivery.sent + len(piece), 0
            if delivery.rate != inf:
                await asyncio.sleep(PIECE_INTERVAL)

    @staticmethod
    async def _write_pieces(writer: asyncio.StreamWriter, data: bytes, delivery: Delivery) -> None:
        """Write bytes, in pieces if the delivery says so."""
        size = delivery.piece_size or len(data)
        for start in range(0, len(data), max(1, size)):
            writer.write(data[start : start + size])
            delivery.partly_sent += min(size, len(data) - start)
            await writer.drain()
            if delivery.piece_pause:
                await asyncio.sleep(delivery.piece_pause)

    @staticmethod
    def _delivery_head(http: h11.Connection, response: Response, delivery: Delivery) -> bytes:
        """Return the head; h11 would frame a response without a length in chunks, so that one bypasses it."""
        headers = list(response.headers.items())
        if delivery.framing is Framing.CLOSE:
            lines = [f"HTTP/1.1 {response.status} x", *(f"{name}: {value}" for name, value in headers)]
            return "\r\n".join([*lines, "Connection: close", "", ""]).encode()
        framing = ("Content-Length", str(len(response.body)))
        if delivery.framing is Framing.CHUNKED:
            framing = ("Transfer-Encoding", "chunked")
        head = h11.Response(status_code=response.status, reason=b"x", headers=[*headers, framing])
        return http.send(head) or b""


class ConnectionBrokenError(Exception):
    """A connection ended without a complete response; the message says how."""


class HttpClient:
    """An HTTP client of one address that reuses idle connections."""

    def __init__(self, address: str) -> None:
        """Create a client without connections. `address`: host:port."""
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.idle: list[Connection] = []

    async def call(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request; return the status, headers and body of the response.

        Raises `ConnectionBrokenError`. A cancelled call closes its connection.
        """
        connection = self._pop_idle() or await self._connect()
        reusable = False
        try:
            self._send(connection, method, target, headers, body)
            response, response_body = await self._read_response(connection)
            if connection.start_next_cycle():
                self.idle.append(connection)
                reusable = True
            return response.status_code, _decode_headers(response), response_body
        except (OSError, h11.ProtocolError) as error:
            raise ConnectionBrokenError("reset") from error
        finally:
            if not reusable:
                connection.writer.close()

    def _pop_idle(self) -> Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        return None

    async def _connect(self) -> Connection:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        except OSError as error:
            raise ConnectionBrokenError("refused") from error
        return Connection(reader, writer, h11.Connection(h11.CLIENT))

    def _send(
        self, connection: Connection, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        http = connection.http
        fields = [("Host", "a"), *headers.items()]
        if body or method != "GET":
            fields.append(("Content-Length", str(len(body))))
        out = http.send(h11.Request(method=method, target=target, headers=fields)) or b""
        if body:
            out += http.send(h11.Data(data=body)) or b""
        connection.writer.write(out + (http.send(h11.EndOfMessage()) or b""))

    async def _read_response(self, connection: Connection) -> tuple[h11.Response, bytes]:
        response, body = None, b""
        while True:
            event = connection.http.next_event()
            if event is h11.NEED_DATA:
                data = await connection.reader.read(READ_SIZE)
                if not data and response is None:
                    raise ConnectionBrokenError("closed")
                connection.http.receive_data(data)
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and response is not None:
                return response, body
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionBrokenError("closed")

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.writer.close()
        self.idle = []


def _decode_headers(message: h11.Request | h11.Response) -> dict[str, str]:
    return {name.decode(): value.decode("latin-1") for name, value in message.headers}
