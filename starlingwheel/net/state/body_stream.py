"""A body that is passed on while it arrives: a bounded number of pooled buffers between two actors."""

from __future__ import annotations

from typing import Protocol

from .buffers import BUFFER_SIZE, BufferedBody, BufferPool

STREAM_WINDOW = 1 << 17  # bytes between source and sink, at most, and one read more
MAX_STREAMED_BODY = 1 << 25  # bytes of a body that is passed on


class BodyStreamChanged:
    """To either end of a stream: there is something to take, or room for more, or it has ended."""


BODY_STREAM_CHANGED = BodyStreamChanged()


class StreamEnd(Protocol):
    """An actor at one end of a stream."""

    def post(self, message: object) -> None:
        """Queue a message."""


class BodyStream:
    """The source adds to it and ends it, or aborts it; the sink takes from it and releases it at the end.

    Each end looks at it again when it gets `BODY_STREAM_CHANGED`.
    """

    __slots__ = (
        "pool",
        "source",
        "sink",
        "length",
        "total",
        "taken",
        "buffered",
        "ended",
        "aborted",
        "cancelled",
        "sink_notified",
    )

    def __init__(
        self, pool: BufferPool, source: StreamEnd, length: int | None, received: BufferedBody
    ) -> None:
        """`length`: of the body, if it is known; `received`: what of it has arrived already."""
        self.pool = pool
        self.source = source
        self.length = length
        self.sink: StreamEnd | None = None
        self.buffered = received  # arrived and not taken yet
        self.total = received.length  # bytes that have arrived
        self.taken = 0  # bytes that the sink has taken
        self.ended = False  # the source has added the last byte
        self.aborted = False  # the source has aborted it
        self.cancelled = False  # the sink wants nothing more
        self.sink_notified = False  # the sink has a `BodyStreamChanged` that it has not acted on

    # For the source.

    @property
    def is_full(self) -> bool:
        """The sink has to take something before more is added."""
        return self.buffered.length >= STREAM_WINDOW

    def has_room(self) -> bool:
        """One read more may be added."""
        return not self.is_full and self.pool.available * BUFFER_SIZE > len(self.pool.scratch)

    def add(self, data: bytes | bytearray) -> None:
        """Append bytes. Raises `BuffersExhaustedError`."""
        self.total += len(data)
        if not self.cancelled:
            self.buffered.add(data)
        self._notify_sink()

    def end(self) -> None:
        """The body is complete."""
        self.ended = True
        self._notify_sink()

    def abort(self) -> None:
        """The rest of the body won't arrive; ignored after `end`."""
        self.aborted = not self.ended
        self._notify_sink()

    def _notify_sink(self) -> None:
        if self.sink is not None and not self.sink_notified:
            self.sink_notified = True
            self.sink.post(BODY_STREAM_CHANGED)

    # For the sink.

    @property
    def is_consumed(self) -> bool:
        """All of the body has been taken."""
        return not self.buffered.length and (self.ended or self.taken == self.length)

    def take(self) -> BufferedBody:
        """Return what has arrived since the last call; the sink releases it once it is written."""
        was_full = self.is_full
        self.sink_notified = False
        part, self.buffered = self.buffered, BufferedBody(self.pool)
        self.taken += part.length
        if was_full:
            self.source.post(BODY_STREAM_CHANGED)
        return part

    def release(self) -> None:
        """Nothing more of the body is wanted."""
        self.buffered.release()
        if not (self.cancelled or self.ended):
            self.cancelled = True
            self.source.post(BODY_STREAM_CHANGED)
