"""Responses whose status is held back and that take up buffers meanwhile.

When buffers get short, the response is passed on that has been held back longest: its client takes the bytes,
and from then on the endpoint's are read only while there is room.
"""

from __future__ import annotations

from ..messages import COMMIT_REQUIRED
from .buffers import BUFFERS_PER_BODY, BufferPool
from .requests import Exchange


class HeldResponses:
    """The exchanges of responses that may be passed on, the longest held first; a dict as an ordered set."""

    def __init__(self, pool: BufferPool) -> None:
        """Watch the buffers of `pool`."""
        self.pool = pool
        self.exchanges: dict[Exchange, None] = {}
        self.releasing: set[Exchange] = set()  # those that are about to be passed on

    def note(self, exchange: Exchange) -> None:
        """Record that a response has stored bytes; have the longest held one passed on if buffers are short.

        Those that are about to be passed on will release theirs.
        """
        self.exchanges.setdefault(exchange)
        if self.pool.shortage > len(self.releasing) * BUFFERS_PER_BODY:
            self._pass_on_longest_held()

    def remove(self, exchange: Exchange) -> None:
        """Record that a response is held back no longer; does nothing if it was not."""
        self.exchanges.pop(exchange, None)
        self.releasing.discard(exchange)

    def _pass_on_longest_held(self) -> None:
        exchange = next((exchange for exchange in self.exchanges if exchange not in self.releasing), None)
        if exchange is None:
            return
        self.releasing.add(exchange)
        exchange.must_commit = True
        if exchange.connection is not None:
            exchange.connection.post(COMMIT_REQUIRED)
