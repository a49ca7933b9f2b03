"""A socket that carries frames."""

from __future__ import annotations

import contextlib
import socket

from ....fleet.frames import Frame
from ...actor import Actor, Coroutine
from ...loop import READ, WRITE, Loop, SocketReady
from .errors import LinkEndReason, LinkRejectedError
from .frame_reader import FrameReader
from .timing import MAX_UNSENT_BYTES, READ_SIZE


class FrameConnection:
    """A non-blocking socket of an actor, with the bytes that are not yet decoded or not yet sent."""

    def __init__(self, loop: Loop, actor: Actor, sock: socket.socket) -> None:
        """`actor` receives `SocketReady` messages once `watch` has been called."""
        self.loop = loop
        self.actor: Actor | None = actor
        self.sock = sock
        self.reader = FrameReader()
        self.unsent = bytearray()
        self.watched_mask = 0
        self.last_received = 0.0  # time of the last byte
        self.last_sent = 0.0  # time of the last frame

    def watch(self, mask: int) -> None:
        """Have the loop report these events of the socket to the actor."""
        assert self.actor is not None, "the connection is closed"
        if not self.watched_mask:
            self.loop.register(self.sock.fileno(), self.actor, mask)
        elif mask != self.watched_mask:
            self.loop.modify(self.sock.fileno(), mask)
        self.watched_mask = mask

    def check_connected(self) -> None:
        """Raise `LinkRejectedError` if the connection attempt has failed."""
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise LinkRejectedError(LinkEndReason.CONNECT_REFUSED)

    def receive(self) -> list[Frame]:
        """Return the frames that have arrived.

        Raises `LinkRejectedError` at the end of the stream and for an invalid frame, `OSError` if the
        connection is broken.
        """
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return []
        if not data:
            raise LinkRejectedError(LinkEndReason.CONNECTION_CLOSED)
        self.last_received = self.loop.now()
        return self.reader.read(data)

    def send(self, data: bytes) -> None:
        """Send bytes, and buffer those that the socket does not accept now.

        Raises `LinkRejectedError` if more than `MAX_UNSENT_BYTES` are buffered.
        """
        self.last_sent = self.loop.now()
        self.unsent += data
        if len(self.unsent) > MAX_UNSENT_BYTES:
            raise LinkRejectedError(LinkEndReason.PEER_TOO_SLOW)
        self.flush()

    def flush(self) -> None:
        """Send as many of the unsent bytes as the socket accepts now."""
        while self.unsent:
            try:
                count = self.sock.send(self.unsent[:READ_SIZE])
            except BlockingIOError:
                break
            del self.unsent[:count]
        self.watch(READ | (WRITE if self.unsent else 0))

    def flush_until(self, deadline: float) -> Coroutine[None]:
        """Send all unsent bytes, or give up at the deadline."""
        while self.unsent and self.loop.now() < deadline:
            if isinstance((yield deadline), SocketReady):
                self.flush()

    def shut_down(self, deadline: float) -> Coroutine[None]:
        """Send all unsent bytes and wait until the other side has closed the connection, or for the deadline.

        Received bytes are discarded. An immediate close could reset the connection, and the other side would
        take a reset as a sign that this process has ended.
        """
        with contextlib.suppress(OSError):
            while self.unsent and self.loop.now() < deadline:
                yield deadline
                self.flush()
            self.sock.shutdown(socket.SHUT_WR)
            while isinstance((yield deadline), SocketReady) or self.loop.now() < deadline:
                with contextlib.suppress(BlockingIOError):
                    if not self.sock.recv(READ_SIZE):
                        return

    def close(self) -> None:
        """Close the socket."""
        self.loop.unregister(self.sock.fileno())
        self.sock.close()
        self.actor = None  # breaks the reference cycle, so that both are freed without a garbage collection
