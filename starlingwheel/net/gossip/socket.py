"""Datagrams between sidecars: one actor for the socket, one for each peer."""

from __future__ import annotations

import socket

from ..actor import Actor, Coroutine
from ..address import split
from ..context import SidecarContext
from ..loop import READ
from ..messages import GossipReceived

LONGEST = 256
AT_ONCE = 64  # datagrams read in one turn; the others wait in the kernel's buffer, or are dropped there


class GossipPeer(Actor):
    """One other sidecar: passes on what it says, as long as that can be what a sidecar says."""

    daemon = True

    def __init__(self, context: SidecarContext, number: int) -> None:
        self.context, self.number = context, number
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        while True:
            body = yield None
            if 0 < len(body) <= LONGEST:
                self.context.coordinator.post(GossipReceived(self.number, body))


class GossipSocket(Actor):
    daemon = True

    def __init__(self, context: SidecarContext, sock: socket.socket) -> None:
        self.context, self.sock = context, sock
        self.peers: dict[tuple[str, int], GossipPeer] = {}
        for number, address in enumerate(context.config.peers):
            if number != context.balancer_config.sidecar_index:
                self.peers[split(address)] = GossipPeer(context, number)
        self.all = split(context.config.peers_all) if context.config.peers_all else None
        sock.setblocking(False)
        context.loop.register(sock.fileno(), self, READ)
        super().__init__(context.loop)

    def begin(self) -> None:
        for peer in self.peers.values():
            peer.begin()
        super().begin()

    def run(self) -> Coroutine[None]:
        while True:
            yield None
            # Guards against a flood: what the decisions can't keep up with is left to the kernel to drop.
            for _ in range(max(0, AT_ONCE - len(self.context.coordinator.mailbox))):
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
            self.context.log("tell.failed", error=str(error))
