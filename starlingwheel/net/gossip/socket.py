"""Gossip datagrams: one actor owns the socket, and one actor per peer filters the datagrams of that peer."""

from __future__ import annotations

import socket

from ..actor import Actor, Coroutine
from ..address import split_host_port
from ..context import SidecarContext
from ..loop import READ
from ..messages import GossipReceived

MAX_DATAGRAM_SIZE = 256  # bytes
MAX_DATAGRAMS_PER_TURN = 64  # further ones wait in the kernel's buffer, or are dropped there


class GossipPeer(Actor):
    """One other sidecar: forwards its datagrams to the coordinator if their size is valid."""

    daemon = True

    def __init__(self, context: SidecarContext, index: int) -> None:
        """Create the actor; `index` is the peer's index among the sidecars."""
        self.context, self.index = context, index
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Receive datagrams from the socket's actor."""
        while True:
            body = yield None
            if 0 < len(body) <= MAX_DATAGRAM_SIZE:
                self.context.coordinator.post(GossipReceived(self.index, body))


class GossipSocket(Actor):
    """Receives the peers' datagrams and sends this sidecar's own."""

    daemon = True

    def __init__(self, context: SidecarContext, sock: socket.socket) -> None:
        """Create the actor and its peers' actors; `sock` is bound already."""
        self.context, self.sock = context, sock
        self.peers: dict[tuple[str, int], GossipPeer] = {}
        for index, address in enumerate(context.config.peers):
            if index != context.balancer_config.sidecar_index:
                self.peers[split_host_port(address)] = GossipPeer(context, index)
        self.broadcast_address = (
            split_host_port(context.config.peers_all) if context.config.peers_all else None
        )
        sock.setblocking(False)
        context.loop.register(sock.fileno(), self, READ)
        super().__init__(context.loop)

    def begin(self) -> None:
        """Start the peers' actors and this one."""
        for peer in self.peers.values():
            peer.begin()
        super().begin()

    def run(self) -> Coroutine[None]:
        """Read datagrams whenever the socket is readable."""
        while True:
            yield None
            # In a flood, datagrams that the decisions can't keep up with are left to the kernel to drop.
            for _ in range(max(0, MAX_DATAGRAMS_PER_TURN - len(self.context.coordinator.mailbox))):
                try:
                    body, sender = self.sock.recvfrom(MAX_DATAGRAM_SIZE + 1)
                except OSError:
                    break
                # Datagrams of unknown senders, and this sidecar's own, are ignored.
                if peer := self.peers.get(sender):
                    peer.post(body)

    def send(self, body: bytes) -> None:
        """Send a datagram to all peers; a failure is logged, and the datagram is lost."""
        if self.broadcast_address is None or len(body) > MAX_DATAGRAM_SIZE:
            return
        try:
            self.sock.sendto(body, self.broadcast_address)
        except OSError as error:
            self.context.log("tell.failed", error=str(error))
