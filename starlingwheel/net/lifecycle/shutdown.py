"""Stop: all that was taken is answered, then the process ends by itself. And a pulse for the log."""

from __future__ import annotations

from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..messages import STOP

LINGER = 0.6  # seconds after the word to stop for which clients go on being served: they go on coming
STATS_INTERVAL = 5.0
PAGE = 4096


class ShutdownController(Actor):
    def __init__(self, context: SidecarContext) -> None:
        self.context = context
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        context = self.context
        yield None
        context.stopping = True  # from now on each answer says that its connection closes
        context.log(
            "stop",
            clients=len(context.connections.clients),
            in_hand=len(context.coordinator.pending_requests),
        )
        # Where another process has the socket too new connections are its; else they go on coming.
        if not context.passed_socket:
            yield from self._linger()
        context.listener.post(STOP)
        if context.passed_socket:
            yield from self._linger()
        while context.connections.clients or not context.listener.ended:
            end_idle_clients(context)
            yield self.loop.now() + context.shortest_objective / 64
        if context.fleet is not None:
            yield from context.fleet.leave()
        self.loop.stop()

    def _linger(self) -> Coroutine[None]:
        """Guards against a second word to stop cutting short the time for which clients go on coming."""
        until = self.loop.now() + LINGER
        while self.loop.now() < until:
            yield until


class ClientDrainer(Actor):
    """Sends clients away while operators say so, and the process stays."""

    daemon = True

    def __init__(self, context: SidecarContext) -> None:
        self.context = context
        self.on = False
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        context = self.context
        while True:
            if context.draining == self.on:
                yield None
                continue
            self.on = context.draining
            context.log(
                "lameduck",
                on=self.on,
                clients=len(context.connections.clients),
                in_hand=len(context.coordinator.pending_requests),
            )
            # Clients go on coming for a moment after the first no; each answer ends its connection.
            until = self.loop.now() + LINGER
            while context.draining and self.loop.now() < until:
                yield until
            while context.draining:
                end_idle_clients(context)
                yield self.loop.now() + context.shortest_objective / 16


def end_idle_clients(context: SidecarContext) -> None:
    for client in list(context.connections.clients):
        client.post(STOP)
