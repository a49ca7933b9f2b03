"""Stop: all that was taken is answered, then the process ends by itself. And a pulse for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actor import Actor, Coroutine
from ..mail import STOP

if TYPE_CHECKING:
    from .start import Node

LINGER = 0.6  # seconds after the word to stop for which clients go on being served: they go on coming
STATS_INTERVAL = 5.0
PAGE = 4096


class ShutdownController(Actor):
    def __init__(self, node: Node) -> None:
        self.node = node
        super().__init__(node.loop)

    def run(self) -> Coroutine[None]:
        node = self.node
        yield None
        node.stopping = True  # from now on each answer says that its connection closes
        node.log("stop", clients=len(node.ledger.clients), in_hand=len(node.module.pending_requests))
        # Where another process has the socket too new connections are its; else they go on coming.
        if not node.passed:
            yield from self._linger()
        node.listener.post(STOP)
        if node.passed:
            yield from self._linger()
        while node.ledger.clients or not node.listener.ended:
            end_idle_clients(node)
            yield self.loop.now() + node.shortest / 64
        if node.fleet is not None:
            yield from node.fleet.leave()
        self.loop.stop()

    def _linger(self) -> Coroutine[None]:
        """Guards against a second word to stop cutting short the time for which clients go on coming."""
        until = self.loop.now() + LINGER
        while self.loop.now() < until:
            yield until


class ClientDrainer(Actor):
    """Sends clients away while operators say so, and the process stays."""

    lasting = True

    def __init__(self, node: Node) -> None:
        self.node = node
        self.on = False
        super().__init__(node.loop)

    def run(self) -> Coroutine[None]:
        node = self.node
        while True:
            if node.lameduck == self.on:
                yield None
                continue
            self.on = node.lameduck
            node.log(
                "lameduck",
                on=self.on,
                clients=len(node.ledger.clients),
                in_hand=len(node.module.pending_requests),
            )
            # Clients go on coming for a moment after the first no; each answer ends its connection.
            until = self.loop.now() + LINGER
            while node.lameduck and self.loop.now() < until:
                yield until
            while node.lameduck:
                end_idle_clients(node)
                yield self.loop.now() + node.shortest / 16


def end_idle_clients(node: Node) -> None:
    for client in list(node.ledger.clients):
        client.post(STOP)


class StatsReporter(Actor):
    """Says now and then how the sidecar is."""

    lasting = True

    def __init__(self, node: Node) -> None:
        self.node = node
        super().__init__(node.loop)

    def run(self) -> Coroutine[None]:
        node = self.node
        while True:
            yield self.loop.now() + STATS_INTERVAL
            with open("/proc/self/statm", "rb") as file:
                resident = int(file.read().split()[1]) * PAGE
            node.log(
                "pulse",
                **node.module.counts,
                in_hand=len(node.module.pending_requests),
                upstreams=len(node.module.upstreams),
                out=len(node.out.kept.out),
                lameduck=node.lameduck,
                connections=len(node.ledger.clients) + len(node.ledger.upstream),
                most_connections=node.ledger.worst,
                buffers=node.pool.made,
                memory_mb=round(resident / 2**20, 1),
                late_ms=round(self.loop.latest * 1000, 1),
                slowest_ms=round(node.module.slowest * 1000, 1),
                lease=node.lease.state(self.loop.now()).value,
                refused={why.value: count for why, count in node.gate.refused.items()},
                rejected_stale=node.gate.stale_rejections,
                gate_violations=node.gate.violations,
                written_late=node.gate.late,
            )
            self.loop.latest = node.module.slowest = 0.0
