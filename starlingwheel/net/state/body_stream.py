"""A body that is passed on while it comes: a bounded number of pooled buffers between two actors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .buffers import BUFFER_SIZE, BufferedBody, BufferPool

if TYPE_CHECKING:
    from ..actor import Actor

STREAM_WINDOW = 1 << 17  # bytes that lie between source and sink, at most, but for one read
MAX_STREAMED_BODY = 1 << 25  # of a body that is passed on


class BodyStreamChanged:
    """To either end of a flow: there is something to take, or room, or it has ended."""


BODY_STREAM_CHANGED = BodyStreamChanged()


class BodyStream:
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

    def __init__(self, pool: BufferPool, source: Actor, length: int | None, begun: BufferedBody) -> None:
        self.pool, self.source, self.length = pool, source, length
        self.sink: Actor | None = None
        self.coming = begun
        self.total, self.taken = begun.length, 0
        self.ended = self.broken = self.refused = self.told = False

    # The source.

    @property
    def full(self) -> bool:
        return self.coming.length >= STREAM_WINDOW

    def room(self) -> bool:
        """One read more may be added."""
        return not self.full and self.pool.left * BUFFER_SIZE > len(self.pool.scratch)

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
            self.sink.post(BODY_STREAM_CHANGED)

    # The sink.

    @property
    def whole(self) -> bool:
        """All of it has been taken."""
        return not self.coming.length and (self.ended or self.taken == self.length)

    def take(self) -> BufferedBody:
        """What has come since; to be released once it is written."""
        was_full, self.told = self.full, False
        part, self.coming = self.coming, BufferedBody(self.pool)
        self.taken += part.length
        if was_full:
            self.source.post(BODY_STREAM_CHANGED)
        return part

    def release(self) -> None:
        """Nothing more is wanted."""
        self.coming.release()
        if not (self.refused or self.ended):
            self.refused = True
            self.source.post(BODY_STREAM_CHANGED)
