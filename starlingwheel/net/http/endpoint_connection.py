"""The base of connections to endpoints, over HTTP/1.1 and HTTP/2: opening and closing the socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from ..actor import Actor
from ..loop import WRITE
from ..messages import ConnectionClosed
from .errors import CloseReason
from .stream import Stream, connect

if TYPE_CHECKING:
    from ..context import SidecarContext
    from .pool import ConnectionPool


class EndpointConnection(Actor):
    """Base class of connections to endpoints."""

    stream: Stream  # set once `has_stream`

    def __init__(self, context: SidecarContext, pool: ConnectionPool) -> None:
        """Prepare a connection of `pool`; `begin` starts it."""
        self.context, self.pool = context, pool
        self.endpoint = pool.endpoint  # as it was when this connection was opened
        self.has_stream = False
        self.exchange_count = 0
        self.idle_since = 0.0  # 0: the connection has never been idle
        context.connections.endpoint_connections[self] = None
        context.connections.update_peak()
        super().__init__(context.loop)

    def _begin_connecting(self) -> None:
        """Begin to connect, and register for the socket becoming writable. Raises `ConnectionLostError`."""
        sock = connect(self.endpoint.addr)
        self.stream = Stream(self.loop, self, sock, h11.CLIENT, self.context.buffer_pool)
        self.has_stream = True
        self.stream.wait_for(WRITE)

    def _end_connection(self, reason: CloseReason, **details: object) -> None:
        """Close the socket and notify the pool; `details` are further fields of the log line."""
        if self.has_stream:
            self.stream.close()
        self.context.connections.endpoint_connections.pop(self, None)
        self.pool.post(ConnectionClosed(self))
        self.pool.log_closed(reason, self.exchange_count, details)
