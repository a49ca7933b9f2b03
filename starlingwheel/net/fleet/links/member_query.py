"""Queries a member without a link for its policy status."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

from ....fleet.frames import DecisionFrame, PolicyQueryFrame, PolicyStatusFrame
from ...actor import Actor, Coroutine
from ...http.errors import ConnectionLostError
from ...http.stream import connect
from ...loop import READ, WRITE
from ..messages import FrameReceived
from .errors import LinkRejectedError
from .frame_reader import FrameReader, encode_frame
from .timing import HANDSHAKE_TIMEOUT, READ_SIZE

if TYPE_CHECKING:
    from .manager import LinkManager


class MemberQuery(Actor):
    """Queries the policy status of one member over a separate connection."""

    def __init__(self, manager: LinkManager, address: str, known_version: int) -> None:
        """`known_version`: the version of the latest policy decision known here."""
        self.manager = manager
        self.address = address
        self.query = PolicyQueryFrame(manager.hello.fleet, manager.hello.version, known_version)
        super().__init__(manager.loop)

    def run(self) -> Coroutine[None]:
        """Connect, send the query, and report the answers until the connection ends or the deadline."""
        try:
            sock = connect(self.address, self.manager.source)
        except ConnectionLostError:
            return
        deadline = self.loop.now() + HANDSHAKE_TIMEOUT
        try:
            self.loop.register(sock.fileno(), self, WRITE)
            if (yield deadline) is None:
                return
            sock.send(encode_frame(self.query))  # shorter than any send buffer
            self.loop.modify(sock.fileno(), READ)
            yield from self._receive_answers(sock, deadline)
        except (OSError, LinkRejectedError):
            pass  # no answer: another member is queried later
        finally:
            self.loop.unregister(sock.fileno())
            sock.close()

    def _receive_answers(self, sock: socket.socket, deadline: float) -> Coroutine[None]:
        reader = FrameReader()
        while (yield deadline) is not None:
            with contextlib.suppress(BlockingIOError):
                data = sock.recv(READ_SIZE)
                if not data:
                    return
                for frame in reader.read(data):
                    if isinstance(frame, PolicyStatusFrame | DecisionFrame):
                        self.manager.notify(FrameReceived("", frame))
