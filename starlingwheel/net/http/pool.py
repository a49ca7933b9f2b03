"""The connection pool of one endpoint: an actor that assigns each exchange to a connection."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from ...decisions.model import AttemptOutcome
from ..actor import Actor, Coroutine
from ..discovery.messages import DRAINING_STATE, LEFT_STATE, DiscoveredEndpoint
from ..messages import (
    CLOSE,
    CancelExchange,
    ConnectionClosed,
    ConnectionIdle,
    EndpointMoved,
    ExchangeEnded,
    StartExchange,
)
from ..state.requests import Exchange
from .errors import CloseReason
from .response_attribution import RequiredRest

if TYPE_CHECKING:
    from ..context import SidecarContext
    from .endpoint_connection import EndpointConnection
    from .http1 import Http1Connection
    from .http2 import Http2Connection


class ConnectionPool(Actor):
    """Assigns each exchange to an idle connection that can attribute its response, or to a new one."""

    daemon = True

    def __init__(self, context: SidecarContext, endpoint: DiscoveredEndpoint) -> None:
        """Create the pool of an endpoint, as the endpoint list describes it."""
        self.context, self.endpoint = context, endpoint
        self.idle: list[Http1Connection] = []
        self.multiplexed: list[Http2Connection] = []  # used where the settings allow many exchanges at once
        # The start and the trace id of the last exchange begun at this endpoint; 0: there was none.
        self.last_started_at, self.last_trace_id = 0.0, b""
        self.required_rest = RequiredRest()  # of new connections; those to an earlier address have their own
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Handle messages until the process ends."""
        while True:
            match (yield None):
                case StartExchange(exchange):
                    try:
                        self._start(exchange)
                    except Exception:
                        # An attempt that never ends would make its endpoint look unresponsive for ever.
                        self._report_not_sent(exchange)
                        raise
                case CancelExchange(exchange) as cancel:
                    if exchange.connection:
                        exchange.connection.post(cancel)
                case ConnectionIdle(connection):
                    self.idle.append(connection)
                    self.context.connections.idle_endpoint_connections[connection] = None
                case ConnectionClosed(connection):
                    self.remove_idle(connection)
                case EndpointMoved(endpoint):
                    self._update_endpoint(endpoint)

    def note_started(self, exchange: Exchange, now: float) -> None:
        """Record that the first byte of an exchange is about to be written."""
        self.last_started_at = now
        self.last_trace_id = exchange.pending.trace_id if exchange.pending is not None else b""

    def take_reusable(self, exchange: Exchange) -> Http1Connection | None:
        """Remove and return an idle connection on which the exchange's response can be attributed, or None.

        It is the one used last, of those that have rested, or else of those where the content is to prove it.
        """
        rested = self._first_usable(c for c in reversed(self.idle.copy()) if c.has_rested())
        if rested is not None:
            return rested
        return self._first_usable(c for c in reversed(self.idle.copy()) if c.is_provable_by_content(exchange))

    def remove_idle(self, connection: EndpointConnection) -> None:
        """Remove an idle or shared connection, so that it is assigned no further exchange."""
        self.context.connections.idle_endpoint_connections.pop(connection, None)
        groups: tuple[list[Any], list[Any]] = (self.idle, self.multiplexed)
        for connections in groups:
            if connection in connections:
                connections.remove(connection)

    def log_closed(self, reason: CloseReason, exchange_count: int, details: dict[str, Any]) -> None:
        """Count and log the end of a connection; `details` are further fields, on what was in progress."""
        self.context.connections.endpoint_ends[reason.value] += 1
        self.context.log(
            "upstream.end", reason=reason, upstream=self.endpoint.id, carried=exchange_count, **details
        )

    def _start(self, exchange: Exchange) -> None:
        for multiplexed in self.multiplexed:
            if multiplexed.has_capacity():
                self._assign(exchange, multiplexed)
                return
        has_room = self.context.connections.has_room_for_endpoint()
        # Where there is no room for a new connection, one that has not rested is used.
        if idle := self.take_reusable(exchange) or (None if has_room else self._take_longest_idle()):
            self._assign(exchange, idle)
            return
        if not has_room and not self._make_room():
            self._report_not_sent(exchange)
            return
        connection = exchange.connection = self.context.connection_type(self.context, self, exchange)
        if self.context.balancer_config.streams_per_connection > 1:
            self.multiplexed.append(connection)
        connection.begin()

    def _assign(self, exchange: Exchange, connection: EndpointConnection) -> None:
        exchange.connection = connection
        connection.post(StartExchange(exchange))

    def _report_not_sent(self, exchange: Exchange) -> None:
        self.context.coordinator.post(ExchangeEnded(exchange, AttemptOutcome.NOT_SENT))

    def _make_room(self) -> bool:
        """Close the connection that has been idle for longest, in any pool; return False if there is none."""
        connection = self.context.connections.longest_idle()
        if connection is None:
            self.context.end_stalled_response()  # for the next exchange
            return False
        connection.pool.remove_idle(connection)
        connection.post(CLOSE)
        return True

    def _take_longest_idle(self) -> Http1Connection | None:
        return self._first_usable(self.idle.copy())

    def _first_usable(self, idle: Iterable[Http1Connection]) -> Http1Connection | None:
        for connection in idle:
            self.remove_idle(connection)
            if connection.is_usable():
                return connection
            connection.post(CLOSE)
        return None

    def _update_endpoint(self, endpoint: DiscoveredEndpoint | None) -> None:
        """Close idle connections if the endpoint drains or is gone, or has another process or address."""
        before = self.endpoint
        if (
            endpoint is None
            or endpoint.state == DRAINING_STATE
            or (endpoint.addr, endpoint.started_ms) != (before.addr, before.started_ms)
        ):
            for connection in [*self.idle, *self.multiplexed]:
                self.remove_idle(connection)
                connection.post(CLOSE)
            self._log_endpoint_change(endpoint)
            self.required_rest = RequiredRest()
        self.endpoint = endpoint or before

    def _log_endpoint_change(self, endpoint: DiscoveredEndpoint | None) -> None:
        """Log the last exchange that was begun; it shows whether any was begun after discovery's notice."""
        self.context.log(
            "upstream.moved",
            upstream=self.endpoint.id,
            state=endpoint.state if endpoint is not None else LEFT_STATE,
            last_begun_at=self.last_started_at,
            last_trace=self.last_trace_id.decode("latin-1"),
        )
