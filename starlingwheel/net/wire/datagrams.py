"""Datagrams between sidecars: one actor for the socket, one for each peer."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from ..actor import Actor, Coroutine
from ..loop import READ
from ..mail import GossipReceived
from .address import split

if TYPE_CHECKING:
    from ..lifecycle.start import Node

LONGEST = 256
AT_ONCE = 64  # datagrams read in one turn; the others wait in the kernel's buffer, or are dropped there


class GossipPeer(Actor):
    """One other sidecar: passes on what it says, as long as that can be what a sidecar says."""

    lasting = True

    def __init__(self, node: Node, number: int) -> None:
        self.node, self.number = node, number
        super().__init__(node.loop)

    def run(self) -> Coroutine[None]:
        while True:
            body = yield None
            if 0 < len(body) <= LONGEST:
                self.node.module.post(GossipReceived(self.number, body))


class GossipSocket(Actor):
    lasting = True

    def __init__(self, node: Node, sock: socket.socket) -> None:
        self.node, self.sock = node, sock
        self.peers: dict[tuple[str, int], GossipPeer] = {}
        for number, address in enumerate(node.config.peers):
            if number != node.terms.sidecar_index:
                self.peers[split(address)] = GossipPeer(node, number)
        self.all = split(node.config.peers_all) if node.config.peers_all else None
        sock.setblocking(False)
        node.loop.watch(sock.fileno(), self, READ)
        super().__init__(node.loop)

    def begin(self) -> None:
        for peer in self.peers.values():
            peer.begin()
        super().begin()

    def run(self) -> Coroutine[None]:
        while True:
            yield None
            # Guards against a flood: what the decisions can't keep up with is left to the kernel to drop.
            for _ in range(max(0, AT_ONCE - len(self.node.module.mailbox))):
                try:
                    body, sender = self.sock.recvfrom(LONGEST + 1)
                except OSError:
                    break
                # Guards against strangers, and against hearing oneself.
                if peer := self.peers.get(sender):
                    peer.post(body)

    def tell(self, body: bytes) -> None:
        if self.all is None or len(body) > LONGEST:
            return
        try:
            self.sock.sendto(body, self.all)
        except OSError as error:
            self.node.log("tell.failed", error=str(error))
