"""The listener: accepts connections of clients, and closes expendable ones when descriptors run short."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING

from ..actor import Actor, Coroutine
from ..loop import READ
from ..messages import CLOSE, Stop
from .client_connection import ClientConnection

if TYPE_CHECKING:
    from ..context import SidecarContext

MAX_ACCEPTS_PER_TURN = 64
FIRST_REQUEST_GRACE = 0.05  # seconds within which a client usually sends something after connecting
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ClientListener(Actor):
    """Accepts connections until the process stops."""

    def __init__(self, context: SidecarContext, sock: socket.socket) -> None:
        """Accept connections on `sock`, which is listening already."""
        self.context, self.sock = context, sock
        self.more_waiting = False  # the limit per turn was reached, so more may be waiting
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Accept connections until told to stop, then those that are already in the backlog."""
        self.sock.setblocking(False)
        self.loop.register(self.sock.fileno(), self, READ)
        message = yield None
        while not isinstance(message, Stop):
            if self._accept_waiting():
                message = yield self.context.connections.room_due_at(FIRST_REQUEST_GRACE)
                if message is None:
                    self._make_room()
            else:
                # While descriptors are used up, waiting avoids a busy loop until a connection has ended.
                self.loop.unregister(self.sock.fileno())
                message = yield self._retry_at()
                self.loop.register(self.sock.fileno(), self, READ)
        # Closing the socket resets the connections in its backlog, so they are accepted first. The backlog
        # of a socket that is shared with another process of this sidecar is left to that process.
        while not self.context.passed_socket and (not self._accept_waiting() or self.more_waiting):
            yield self.loop.now() if self.more_waiting else self._retry_at()
        self.loop.unregister(self.sock.fileno())
        self.sock.close()
        self.context.log("listener.closed")

    def _retry_at(self) -> float:
        return self.loop.now() + self.context.shortest_objective / 64

    def _accept_waiting(self) -> bool:
        """Accept waiting connections, up to the limit of one turn; return False if there is no room.

        Sets `more_waiting` if the limit was reached.
        """
        self.more_waiting = False
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.context.connections.is_exhausted:
                # Otherwise new clients would have to wait until idle connections time out.
                self._make_room()
                return False
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in NO_DESCRIPTORS:
                    self.context.log("accept.failed", error=str(error))
                    return False
                continue
            if self._serve(sock) and self.context.connections.is_exhausted:
                break  # the connection closed to make room frees its descriptor by the next turn
        self.more_waiting = True
        return True

    def _serve(self, sock: socket.socket) -> bool:
        """Start a connection; return whether an expendable one is closed so that no client is shut out."""
        closing = self._client_to_close()
        ClientConnection(self.context, sock).begin()
        if closing:
            closing.post(CLOSE)
        return closing is not None

    def _make_room(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN // 4):
            closing = self._client_to_close()
            if closing is None:
                return
            closing.post(CLOSE)

    def _client_to_close(self) -> ClientConnection | None:
        """Return a client to close for another one; None if there is room, or will be."""
        if self.context.connections.is_short_of_clients() and self.context.end_stalled_response():
            return None
        return self.context.connections.client_to_close(self.loop.now() - FIRST_REQUEST_GRACE)
