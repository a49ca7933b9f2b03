"""Responses whose status is held back and that take up buffers meanwhile.

When buffers get short, the response is passed on that has been held back longest: its client takes the bytes,
and from then on the endpoint's are read only while there is room.
"""

from __future__ import annotations

from ..messages import COMMIT_REQUIRED
from .buffers import BufferPool
from .requests import Exchange


class HeldResponses:
    """The exchanges of responses that may be passed on, the longest held first; a dict as an ordered set."""

    def __init__(self, pool: BufferPool) -> None:
        """Watch the buffers of `pool`."""
        self.pool = pool
        self.exchanges: dict[Exchange, None] = {}

    def note(self, exchange: Exchange) -> None:
        """Record that a response has stored bytes; have another one passed on if buffers are short."""
        self.exchanges.setdefault(exchange)
        if self.pool.is_short:
            self._pass_on_longest_held()

    def remove(self, exchange: Exchange) -> None:
        """Record that a response is held back no longer; does nothing if it was not."""
        self.exchanges.pop(exchange, None)

    def _pass_on_longest_held(self) -> None:
        exchange = next(iter(self.exchanges))
        del self.exchanges[exchange]
        exchange.must_commit = True
        if exchange.connection is not None:
            exchange.connection.post(COMMIT_REQUIRED)
