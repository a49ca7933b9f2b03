"""The listener: accepts clients' connections, and closes those of no use where descriptors run short."""

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
FIRST_REQUEST_GRACE = 0.05  # seconds within which a client that has connected usually sends something
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ClientListener(Actor):
    """Accepts connections until the process stops."""

    def __init__(self, context: SidecarContext, sock: socket.socket) -> None:
        """`sock`: listens already."""
        self.context, self.sock = context, sock
        self.more_waiting = False  # some may still wait, though as many as one turn allows were accepted
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Accept connections; when told to stop, those that wait already too."""
        self.sock.setblocking(False)
        self.loop.register(self.sock.fileno(), self, READ)
        message = yield None
        while not isinstance(message, Stop):
            if self._accept_waiting():
                message = yield None
            else:
                # Does not spin while descriptors are used up: a connection that ends makes room.
                self.loop.unregister(self.sock.fileno())
                message = yield self._retry_at()
                self.loop.register(self.sock.fileno(), self, READ)
        # Closing the socket resets connections that wait in it, so they are accepted before. What waits at a
        # socket that another process of this sidecar has too is left to that process.
        while not self.context.passed_socket and (not self._accept_waiting() or self.more_waiting):
            yield self.loop.now() if self.more_waiting else self._retry_at()
        self.loop.unregister(self.sock.fileno())
        self.sock.close()
        self.context.log("listener.closed")

    def _retry_at(self) -> float:
        return self.loop.now() + self.context.shortest_objective / 64

    def _accept_waiting(self) -> bool:
        """Accept what waits, up to the limit of one turn (`more_waiting`); False: there is no room."""
        self.more_waiting = False
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.context.connections.is_exhausted:
                # Otherwise connections of no use would keep others waiting until their time is up.
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
                break  # the descriptor of the one that was closed for it is free by the next turn
        self.more_waiting = True
        return True

    def _serve(self, sock: socket.socket) -> bool:
        """Start a connection; True: another one, of no use, is closed, so that no client is shut out."""
        expendable = self._expendable()
        ClientConnection(self.context, sock).begin()
        if expendable:
            expendable.post(CLOSE)
        return expendable is not None

    def _make_room(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN // 4):
            expendable = self._expendable()
            if expendable is None:
                return
            expendable.post(CLOSE)

    def _expendable(self) -> ClientConnection | None:
        return self.context.connections.client_to_close(self.loop.now() - FIRST_REQUEST_GRACE)
