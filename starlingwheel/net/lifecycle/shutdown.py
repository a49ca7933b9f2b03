"""Graceful shutdown: every request in flight gets its response, then the process exits.

A drain by operators disconnects clients in the same way, while the process keeps running.
"""

from __future__ import annotations

from ...decisions.lease import PROCESS_DELAY_MARGIN
from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..messages import STOP, ShutdownStarted

LINGER = 0.6  # seconds for which clients are still served after a stop, because they notice the stop late
# After a stop, the process may be killed once the longest timeout and then `KILL_DELAY` have passed.
KILL_DELAY = 0.7  # seconds
MAX_STOP_TIMEOUT = 3.0  # seconds of the longest timeout that count
# How many times per shortest latency objective idle clients are disconnected, in a stop and in a drain.
STOP_POLLS_PER_OBJECTIVE = 64
DRAIN_POLLS_PER_OBJECTIVE = 16


class ShutdownController(Actor):
    """Ends the sidecar once it receives `STOP`."""

    def __init__(self, context: SidecarContext) -> None:
        """Create the actor; `begin` starts it."""
        self.context = context
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Wait for the first message, then stop listening, wait for clients to leave and stop the loop."""
        context = self.context
        yield None
        context.stopping = True  # from now on each response announces that its connection closes
        context.answer_by = answer_deadline(context)
        context.coordinator.post(ShutdownStarted(context.answer_by))
        context.log(
            "stop",
            clients=len(context.connections.clients),
            in_hand=len(context.coordinator.pending_requests),
            answer_within_s=round(context.answer_by - self.loop.now(), 3),
        )
        # With a passed socket another process listens on it too and accepts the new connections.
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
        """Wait for `LINGER`, ignoring further messages."""
        until = self.loop.now() + LINGER
        while self.loop.now() < until:
            yield until


def answer_deadline(context: SidecarContext) -> float:
    """Return until when final responses are given after a stop: before the process may be killed.

    Whoever kills the process may count with any configuration whose requests are still accepted.
    """
    requested_at = context.stop_requested_at
    if requested_at is None:
        requested_at = context.loop.now()
    timeout = min(context.shortest_maximum_timeout(), MAX_STOP_TIMEOUT)
    return requested_at + timeout + KILL_DELAY - PROCESS_DELAY_MARGIN


class ClientDrainer(Actor):
    """Closes client connections while operators drain the sidecar."""

    daemon = True

    def __init__(self, context: SidecarContext) -> None:
        """Create the actor; `begin` starts it."""
        self.context = context
        self.is_draining = False  # whether this actor is carrying out a drain
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Wait for `DRAIN`, then drain for as long as `context.draining` is set, forever."""
        context = self.context
        while True:
            if context.draining == self.is_draining:
                yield None
                continue
            self.is_draining = context.draining
            context.log(
                "lameduck",
                on=self.is_draining,
                clients=len(context.connections.clients),
                in_hand=len(context.coordinator.pending_requests),
            )
            # Clients still arrive for a moment after the first failed readiness check; each response closes
            # its connection.
            until = self.loop.now() + LINGER
            while context.draining and self.loop.now() < until:
                yield until
            while context.draining:
                end_idle_clients(context)
                yield self.loop.now() + context.shortest_objective / DRAIN_POLLS_PER_OBJECTIVE


def end_idle_clients(context: SidecarContext) -> None:
    """Tell every client connection to end as soon as its client has its response."""
    for client in list(context.connections.clients):
        client.post(STOP)
