"""A body that is passed on while it comes: a bounded number of pooled buffers between two actors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .buffers import SIZE, Body, Pool

if TYPE_CHECKING:
    from ..actor import Actor

WINDOW = 1 << 17  # bytes that lie between source and sink, at most, but for one read
LONGEST = 1 << 25  # of a body that is passed on


class Flowing:
    """To either end of a flow: there is something to take, or room, or it has ended."""


FLOWING = Flowing()


class Flow:
    """The source adds and ends it, or breaks off; the sink takes, and releases it when it is done with it.

    Each end looks at it again when it gets `FLOWING`.
    """

    __slots__ = (
        "pool",
        "source",
        "sink",
        "length",
        "total",
        "taken",
        "coming",
        "ended",
        "broken",
        "refused",
        "told",
    )

    def __init__(self, pool: Pool, source: Actor, length: int | None, begun: Body) -> None:
        self.pool, self.source, self.length = pool, source, length
        self.sink: Actor | None = None
        self.coming = begun
        self.total, self.taken = begun.length, 0
        self.ended = self.broken = self.refused = self.told = False

    # The source.

    @property
    def full(self) -> bool:
        return self.coming.length >= WINDOW

    def room(self) -> bool:
        """One read more may be added."""
        return not self.full and self.pool.left * SIZE > len(self.pool.scratch)

    def add(self, data: bytes | bytearray) -> None:
        self.total += len(data)
        if not self.refused:
            self.coming.add(data)
        self._wake()

    def end(self) -> None:
        self.ended = True
        self._wake()

    def break_off(self) -> None:
        self.broken = not self.ended
        self._wake()

    def _wake(self) -> None:
        if self.sink is not None and not self.told:
            self.told = True
            self.sink.post(FLOWING)

    # The sink.

    @property
    def whole(self) -> bool:
        """All of it has been taken."""
        return not self.coming.length and (self.ended or self.taken == self.length)

    def take(self) -> Body:
        """What has come since; to be released once it is written."""
        was_full, self.told = self.full, False
        part, self.coming = self.coming, Body(self.pool)
        self.taken += part.length
        if was_full:
            self.source.post(FLOWING)
        return part

    def release(self) -> None:
        """Nothing more is wanted."""
        self.coming.release()
        if not (self.refused or self.ended):
            self.refused = True
            self.source.post(FLOWING)
