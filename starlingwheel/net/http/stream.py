"""HTTP/1.1 by h11 on a socket that does not block."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Generator, Iterable
from typing import Any

import h11

from ..address import split
from ..loop import HANGUP, READ, Loop, SocketReady
from ..messages import CLOSE
from ..state.buffers import BUFFER_SIZE, BufferPool

LONGEST_HEAD = 16384


class ConnectionLostError(Exception):
    """The connection can't be used any more; the text is its reason code."""


def two_lengths(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """What could be read in two ways: guards against a second request that hides in the body of the first."""
    names = {name for name, _ in headers}
    return b"transfer-encoding" in names and b"content-length" in names


class Stream:
    """One connection of an actor: its socket, what h11 makes of it, and what is still to be written."""

    def __init__(self, loop: Loop, actor: Any, sock: socket.socket, role: type, pool: BufferPool) -> None:
        self.loop, self.actor, self.sock, self.pool = loop, actor, sock, pool
        self.http = h11.Connection(role, max_incomplete_event_size=LONGEST_HEAD)
        # Clients are read in small pieces: h11 measures only heads that are not whole yet.
        self.at_once = BUFFER_SIZE if role is h11.SERVER else len(pool.scratch)
        self.unwritten: list[Any] = []
        self.mask = 0
        self.over = False  # the other side has ended
        sock.setblocking(False)

    def want(self, mask: int) -> None:
        if not self.mask:
            self.loop.register(self.sock.fileno(), self.actor, mask)
        elif mask != self.mask:
            self.loop.modify(self.sock.fileno(), mask)
        self.mask = mask

    def pause(self) -> None:
        """Hear nothing of it for a while, not even its end: guards against a turn for each word of that."""
        if self.mask:
            self.loop.unregister(self.sock.fileno())
            self.mask = 0

    def came_up(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise ConnectionLostError("refused")

    def read(self) -> int | None:
        """Give h11 what has come; None: nothing yet, 0: the other side has ended."""
        try:
            count = self.sock.recv_into(self.pool.scratch, self.at_once)
            self.over = not count
            self.http.receive_data(memoryview(self.pool.scratch)[:count] if count else b"")
            return count
        except BlockingIOError:
            return None
        except OSError as error:
            raise ConnectionLostError("reset") from error

    def event(self) -> Any:
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionLostError("cut-short" if self.over else "malformed") from error

    def put(self, *events: Any) -> None:
        for event in events:
            self.unwritten += self.http.send_with_data_passthrough(event) or []

    def invite(self) -> None:
        """Say that the body may come, to one that waits for that."""
        if self.http.they_are_waiting_for_100_continue:
            self.put(h11.InformationalResponse(status_code=100, headers=[]))
            self.write()

    def keep_last(self) -> bytes:
        """Take the last byte back from what is to be written."""
        while not self.unwritten[-1]:
            self.unwritten.pop()
        last = memoryview(self.unwritten[-1])
        self.unwritten[-1] = last[:-1]
        return bytes(last[-1:])

    def write(self) -> bool:
        """Write on; True when nothing is left."""
        while self.unwritten:
            try:
                count = self.sock.sendmsg(self.unwritten[:64])
            except BlockingIOError:
                return False
            except OSError as error:
                raise ConnectionLostError("reset") from error
            while self.unwritten and count >= len(self.unwritten[0]):
                count -= len(self.unwritten.pop(0))
            if count:
                self.unwritten[0] = memoryview(self.unwritten[0])[count:]
        return True

    def silent(self) -> bool:
        """Nothing has come on it since it was last read, not even its end."""
        return self._next() is None

    def ended(self) -> bool:
        """The other side has ended, also behind what it has sent before and nobody has read yet."""
        waits = self._next()
        return waits == b"" or (waits is not None and self.loop.peer_has_closed(self.sock.fileno()))

    def _next(self) -> bytes | None:
        """The next byte, left where it is; none: the other side has ended, None: it is silent."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def finish(self, until: float, most: int) -> Generator[float | None, Any, None]:
        """Say that nothing follows, then read away what still comes until the other side ends.

        Guards against unread input resetting an answer that is still on its way. Of one that sends on and on
        no more than `most` bytes are read: it can read its answer while its own sending waits.
        """
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            self.want(READ)
            while (message := (yield until)) is not None and message is not CLOSE:
                if most <= 0:
                    if isinstance(message, SocketReady) and message.hung_up:
                        return
                    continue
                with contextlib.suppress(BlockingIOError):
                    count = self.sock.recv_into(self.pool.scratch)
                    if count == 0:
                        return
                    most -= count
                if most <= 0:
                    self.want(HANGUP)

    def abort(self) -> None:
        """End it so that the other side can tell that it is not whole, however it is framed."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def close(self) -> None:
        self.pause()
        self.unwritten = []
        self.sock.close()
        self.actor = None  # guards against the two holding each other until a collection


def connect(address: str, source: str = "") -> socket.socket:
    """A socket on its way to `address`; when it can be written, `Stream.came_up` says if it got there.

    `source`: the host that it goes out from, where that matters. Raises `Lost`.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:  # no descriptor is left
        raise ConnectionLostError("refused") from error
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if source:
            sock.bind((source, 0))
        with contextlib.suppress(BlockingIOError):
            sock.connect(split(address))
    except (OSError, ValueError, OverflowError) as error:
        sock.close()
        raise ConnectionLostError("refused") from error
    return sock
