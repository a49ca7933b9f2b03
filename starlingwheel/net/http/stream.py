"""HTTP/1.1 by h11 on a non-blocking socket."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import sys
import termios
import time
from collections.abc import Generator, Iterable
from typing import Any

import h11

from ..actor import Actor
from ..address import split_host_port
from ..loop import HANGUP, READ, Loop, SocketReady
from ..messages import CLOSE
from ..state.buffers import BUFFER_SIZE, BufferPool
from .errors import CloseReason, ConnectionLostError

MAX_HEAD_LENGTH = 16384  # bytes
MAX_VIEWS_PER_WRITE = 64
MAX_EVENTS_PER_TURN = 256  # of one connection
ABORT_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 seconds: close with a reset
SO_TIMESTAMPNS = 35  # asm-generic/socket.h; the socket module does not define it
TIMESTAMP = struct.Struct("qq")  # seconds and nanoseconds of the wall clock
TIMESTAMP_SPACE = socket.CMSG_SPACE(TIMESTAMP.size)

Event = Any  # h11 has no common type of its events and its two sentinels
BytesLike = Any  # h11 takes any object with a buffer, though its types say bytes


def note_arrival_times(sock: socket.socket) -> None:
    """Have the kernel note when input arrives, if it can; see `Stream.arrived_at`."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def has_conflicting_lengths(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a message has both Content-Length and Transfer-Encoding, as in request smuggling."""
    names = {name for name, _ in headers}
    return b"transfer-encoding" in names and b"content-length" in names


class Stream:
    """One connection of an actor: its socket, its h11 state, and the data still to be written."""

    def __init__(self, loop: Loop, actor: Actor, sock: socket.socket, role: type, pool: BufferPool) -> None:
        """Deliver the events of `sock` to `actor`; `role` is `h11.CLIENT` or `h11.SERVER`."""
        self.loop, self.actor, self.sock, self.pool = loop, actor, sock, pool
        self.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_LENGTH)
        # Bytes per read. Input of clients is read in small pieces, as h11 limits only incomplete heads.
        self.read_size = BUFFER_SIZE if role is h11.SERVER else len(pool.scratch)
        self.unwritten: list[bytes | memoryview] = []
        self.mask = 0  # the registered events; 0: the socket is not registered
        self.events_in_turn = 0  # since the last read
        self.end_read = False  # the end of the peer's input has been read
        # A look at the input has found an error, such as a reset. The system tells of it once; a read that
        # follows would find the end of the connection, as if the peer had closed it.
        self.has_failed = False
        # When the bytes of the last read had arrived, by the kernel; None where it does not tell.
        self.arrived_at: float | None = None
        sock.setblocking(False)

    def wait_for(self, mask: int) -> None:
        """Register for the events of `mask` instead of those before."""
        if not self.mask:
            self.loop.register(self.sock.fileno(), self.actor, mask)
        elif mask != self.mask:
            self.loop.modify(self.sock.fileno(), mask)
        self.mask = mask

    def pause(self) -> None:
        """Unregister from all events, including hang-up, which epoll would otherwise report in every turn."""
        if self.mask:
            self.loop.unregister(self.sock.fileno())
            self.mask = 0

    def check_connected(self) -> None:
        """Raise `ConnectionLostError` if connecting failed; called once the socket is writable."""
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise ConnectionLostError(CloseReason.CONNECT_REFUSED)

    def read(self) -> int | None:
        """Read input into h11 and return the number of bytes.

        Return None if nothing has arrived, and 0 if the peer has closed its sending side. Raises
        `ConnectionLostError`.
        """
        if self.has_failed:
            raise ConnectionLostError(CloseReason.RESET)
        try:
            views = [memoryview(self.pool.scratch)[: self.read_size]]
            count, ancillary, _, _ = self.sock.recvmsg_into(views, TIMESTAMP_SPACE)
            self.end_read, self.events_in_turn = not count, 0
            self.arrived_at = self._arrival_time(ancillary)
            received: BytesLike = memoryview(self.pool.scratch)[:count] if count else b""
            self.http.receive_data(received)
            return count
        except BlockingIOError:
            return None
        except OSError as error:
            raise ConnectionLostError(CloseReason.RESET) from error

    def _arrival_time(self, ancillary: list[tuple[int, int, bytes]]) -> float | None:
        """Return the time of arrival that the kernel noted, on the loop's clock.

        Only sockets with `note_arrival_times` have one. It is that of the latest segment that was read.
        """
        for level, kind, data in ancillary:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
                seconds, nanoseconds = TIMESTAMP.unpack(data)
                age = time.time() - seconds - nanoseconds / 1e9
                return self.loop.now() - max(0.0, age)
        return None

    def is_turn_over(self) -> bool:
        """Count an event; return whether the actor is to leave the rest of its input to a later turn.

        A read may hold thousands of events, such as chunks of one byte, and other actors wait meanwhile.
        """
        self.events_in_turn += 1
        if self.events_in_turn <= MAX_EVENTS_PER_TURN:
            return False
        self.events_in_turn = 0
        self.loop.turns_cut_short += 1
        return True

    def next_event(self) -> Event:
        """Return h11's next event. Raises `ConnectionLostError` for input that is not HTTP."""
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as error:
            reason = CloseReason.TRUNCATED if self.end_read else CloseReason.MALFORMED
            raise ConnectionLostError(reason) from error

    def enqueue(self, *events: Event) -> None:
        """Encode h11 events and queue the bytes for `write`."""
        for event in events:
            self.unwritten += self.http.send_with_data_passthrough(event) or []

    def enqueue_body(self, views: Iterable[BytesLike]) -> None:
        """Encode parts of a message's body and queue them for `write`."""
        for view in views:
            self.unwritten += self.http.send_with_data_passthrough(h11.Data(data=view)) or []

    def send_continue(self) -> None:
        """Send `100 Continue` if the client waits for it."""
        if self.http.they_are_waiting_for_100_continue:
            self.enqueue(h11.InformationalResponse(status_code=100, headers=[]))
            self.write()

    def take_last_byte(self) -> bytes:
        """Remove the last byte from the data to be written, and return it."""
        while not self.unwritten[-1]:
            self.unwritten.pop()
        last = memoryview(self.unwritten[-1])
        self.unwritten[-1] = last[:-1]
        return bytes(last[-1:])

    def write(self) -> bool:
        """Write as much as the socket takes; return True when nothing is left.

        Raises `ConnectionLostError`.
        """
        while self.unwritten:
            try:
                count = self.sock.sendmsg(self.unwritten[:MAX_VIEWS_PER_WRITE])
            except BlockingIOError:
                return False
            except OSError as error:
                raise ConnectionLostError(CloseReason.RESET) from error
            while self.unwritten and count >= len(self.unwritten[0]):
                count -= len(self.unwritten.pop(0))
            if count:
                self.unwritten[0] = memoryview(self.unwritten[0])[count:]
        return True

    def acknowledge(self) -> None:
        """Have the kernel acknowledge at once what has been read.

        Otherwise it does so up to 0.2 s later or with the next bytes written, and a peer that has not set
        TCP_NODELAY holds back its next write until then.
        """
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)

    def unread_bytes(self) -> int:
        """Return how many bytes wait to be read."""
        count = fcntl.ioctl(self.sock.fileno(), termios.FIONREAD, bytes(4))
        return int.from_bytes(count, sys.byteorder)

    def unsent_bytes(self) -> int:
        """Return how many written bytes the peer's system has not acknowledged; 0 if that can't be told."""
        with contextlib.suppress(OSError):
            count = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(4))
            return int.from_bytes(count, sys.byteorder)
        return 0

    def has_no_input(self) -> bool:
        """Return whether no input is unread, including the end of the connection."""
        return self._peek() is None

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed, even if data that it sent before is still unread."""
        unread = self._peek()
        return unread == b"" or (unread is not None and self.loop.peer_has_closed(self.sock.fileno()))

    def _peek(self) -> bytes | None:
        """Return the next byte without consuming it, b"" if the peer has closed, or None without input."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            self.has_failed = True
            return b""

    def lingering_close(self, until: float, max_discarded: int) -> Generator[float | None, Any, None]:
        """Close the sending side, then discard input until the peer closes or the time `until` has come.

        Closing a socket with unread input would reset the connection and lose a response in transit. At most
        `max_discarded` bytes are read from a client that keeps sending: it can read its response while its
        own sending is blocked.
        """
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            self.wait_for(READ)
            while (message := (yield until)) is not None and message is not CLOSE:
                if max_discarded <= 0:
                    if isinstance(message, SocketReady) and message.hung_up:
                        return
                    continue
                with contextlib.suppress(BlockingIOError):
                    count = self.sock.recv_into(self.pool.scratch)
                    if count == 0:
                        return
                    max_discarded -= count
                if max_discarded <= 0:
                    self.wait_for(HANGUP)

    def reset_on_close(self) -> None:
        """Make `close` reset the connection, so that the peer can tell that a message is incomplete."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_LINGER)

    def close(self) -> None:
        """Unregister and close the socket."""
        self.pause()
        self.unwritten = []
        self.sock.close()
        del self.actor  # breaks a reference cycle, which would keep both until a garbage collection


def connect(address: str, source: str = "") -> socket.socket:
    """Return a socket that is connecting to `address`.

    Once the socket is writable, `Stream.check_connected` tells whether the connection is established.
    `source` is the local address to connect from, if it matters. Raises `ConnectionLostError`.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:  # no file descriptor is left
        raise ConnectionLostError(CloseReason.CONNECT_REFUSED) from error
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if source:
            sock.bind((source, 0))
        with contextlib.suppress(BlockingIOError):
            sock.connect(split_host_port(address))
    except (OSError, ValueError, OverflowError) as error:
        sock.close()
        raise ConnectionLostError(CloseReason.CONNECT_REFUSED) from error
    return sock
