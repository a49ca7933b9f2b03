"""Checks whether the process of a member still runs after its link was reset or closed."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING

from ....fleet.membership import Member
from ...actor import Actor, Coroutine
from ...http.errors import ConnectionLostError
from ...http.stream import connect
from ...loop import READ, WRITE
from ..messages import EvictMember
from .timing import HANDSHAKE_TIMEOUT

if TYPE_CHECKING:
    from .manager import LinkManager


class LivenessCheck(Actor):
    """Connects once to a member's address, and requests its eviction if no process listens there.

    A listening member sends a hello. A refused connection, or one that ends before the first byte, shows that
    the process has ended, so that the fleet need not wait until its lease expires. Silence is inconclusive. A
    member that is evicted by mistake registers again.
    """

    def __init__(self, manager: LinkManager, member: Member) -> None:
        """`member`: its entry in the membership view when the link ended."""
        self.manager = manager
        self.member = member
        super().__init__(manager.loop)

    def run(self) -> Coroutine[None]:
        """Connect and wait for the first byte."""
        try:
            sock = connect(self.member.address)
        except ConnectionLostError as lost:
            if isinstance(lost.__cause__, ConnectionRefusedError):
                self._evict()  # if the member is on this machine, `connect` itself fails
            return
        try:
            self.loop.register(sock.fileno(), self, WRITE)
            deadline = self.loop.now() + HANDSHAKE_TIMEOUT
            if (yield deadline) is not None:
                self.loop.modify(sock.fileno(), READ)
                if (yield deadline) is not None and self._has_ended(sock):
                    self._evict()
        finally:
            self.loop.unregister(sock.fileno())
            sock.close()

    def _evict(self) -> None:
        if self.member.id in self.manager.view:
            self.manager.log("member.gone", member=self.member.id)
            self.manager.notify(EvictMember(self.member))

    def _has_ended(self, sock: socket.socket) -> bool:
        try:
            return not sock.recv(1)
        except BlockingIOError:
            return False
        except OSError as error:
            return error.errno in (errno.ECONNREFUSED, errno.ECONNRESET)
