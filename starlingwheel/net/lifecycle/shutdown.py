"""Graceful shutdown: every request in flight gets its response, then the process ends by itself.

A drain that operators ask for sends clients away in the same way, while the process stays.
"""

from __future__ import annotations

from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..messages import STOP

LINGER = 0.6  # seconds for which clients are still served after a stop: they hear of it late
STOP_POLLS_PER_OBJECTIVE = 64  # looks for clients that have become idle, in one latency objective
DRAIN_POLLS_PER_OBJECTIVE = 16


class ShutdownController(Actor):
    """Ends the sidecar once it is sent `STOP`."""

    def __init__(self, context: SidecarContext) -> None:
        """Not started yet."""
        self.context = context
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Wait for the first message, then stop listening, wait for the clients and stop the loop."""
        context = self.context
        yield None
        context.stopping = True  # from now on each response says that its connection closes
        context.log(
            "stop",
            clients=len(context.connections.clients),
            in_hand=len(context.coordinator.pending_requests),
        )
        # Where another process listens on the same socket, new connections go there.
        if not context.passed_socket:
            yield from self._linger()
        context.listener.post(STOP)
        if context.passed_socket:
            yield from self._linger()
        while context.connections.clients or not context.listener.ended:
            end_idle_clients(context)
            yield self.loop.now() + context.shortest_objective / STOP_POLLS_PER_OBJECTIVE
        if context.fleet is not None:
            yield from context.fleet.leave()
        self.loop.stop()

    def _linger(self) -> Coroutine[None]:
        """Wait the whole time, also if further signals arrive meanwhile."""
        until = self.loop.now() + LINGER
        while self.loop.now() < until:
            yield until


class ClientDrainer(Actor):
    """Closes the connections of clients while operators want the sidecar drained."""

    daemon = True

    def __init__(self, context: SidecarContext) -> None:
        """Not started yet."""
        self.context = context
        self.on = False  # a drain is under way
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Wait for `DRAIN`, then follow `context.draining`, for ever."""
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
            # Clients still come for a moment after the first "not ready"; each response ends its connection.
            until = self.loop.now() + LINGER
            while context.draining and self.loop.now() < until:
                yield until
            while context.draining:
                end_idle_clients(context)
                yield self.loop.now() + context.shortest_objective / DRAIN_POLLS_PER_OBJECTIVE


def end_idle_clients(context: SidecarContext) -> None:
    """Ask every client connection to end as soon as its client has its response."""
    for client in list(context.connections.clients):
        client.post(STOP)
