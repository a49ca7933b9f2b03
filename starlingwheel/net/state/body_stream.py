"""A body that is forwarded while it arrives: a bounded number of pooled buffers between two actors."""

from __future__ import annotations

from typing import Protocol

from .buffers import BufferedBody, BufferPool

STREAM_WINDOW = 1 << 17  # bytes between source and sink, plus at most one read
MAX_STREAMED_BODY = 1 << 25  # bytes of a body that is forwarded while it arrives


class BodyStreamChanged:
    """To either end of a stream: bytes can be taken or added again, or the stream has ended."""


BODY_STREAM_CHANGED = BodyStreamChanged()


class StreamEnd(Protocol):
    """The interface of an actor at one end of a stream."""

    def post(self, message: object) -> None:
        """Queue a message."""


class BodyStream:
    """A bounded queue of body bytes between a source and a sink.

    The source adds bytes and then ends or aborts the stream; the sink takes bytes and releases the stream at
    the end. Each side checks the state again when it receives `BODY_STREAM_CHANGED`.

    Bytes that have been taken are not kept, so a stream can be read once. Where several readers may want it,
    such as the attempts of one request, each has to `claim` it before it takes bytes or relies on the end.
    """

    __slots__ = (
        "pool",
        "source",
        "sink",
        "reader",
        "length",
        "total",
        "taken",
        "buffered",
        "ended",
        "aborted",
        "cancelled",
        "released",
        "sink_notified",
    )

    def __init__(
        self, pool: BufferPool, source: StreamEnd, length: int | None, received: BufferedBody
    ) -> None:
        """Create a stream; `length` is that of the body, if known, `received` the part that has arrived."""
        self.pool = pool
        self.source = source
        self.length = length
        self.sink: StreamEnd | None = None
        self.reader: object = None  # the last one to claim the stream
        self.buffered = received  # bytes that have arrived and have not been taken
        self.total = received.length  # bytes that have arrived
        self.taken = 0  # bytes that the sink has taken
        self.ended = False  # the source has added the last byte
        self.aborted = False  # the source has aborted the stream
        self.cancelled = False  # the sink wants no more bytes
        self.released = False  # the sink has released the buffers
        self.sink_notified = False  # the sink has a `BodyStreamChanged` that it has not handled

    # Used by the source.

    @property
    def is_full(self) -> bool:
        """Whether the sink has to take bytes before more may be added."""
        return self.buffered.length >= STREAM_WINDOW

    def has_room(self) -> bool:
        """Return whether another read may be added."""
        return not self.is_full and self.pool.has_room_for_read()

    def add(self, data: bytes | bytearray) -> None:
        """Append bytes that have been read.

        A body that is being forwarded is not broken off for want of buffers. Whoever adds to it looks for
        room before each read, so that at most one read goes beyond the limit of the pool.
        """
        self.total += len(data)
        if not self.cancelled:
            self.buffered.add(data, beyond_limit=True)
        self._notify_sink()

    def adopt(self, received: BufferedBody) -> None:
        """Take over the first bytes of the body, with their buffers."""
        self.total = received.length
        if self.cancelled:
            received.release()
        else:
            self.buffered = received
        self._notify_sink()

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self._notify_sink()

    def abort(self) -> None:
        """Mark the body as broken off; does nothing after `end`."""
        self.aborted = not self.ended
        self._notify_sink()

    def _notify_sink(self) -> None:
        if self.sink is not None and not self.sink_notified:
            self.sink_notified = True
            self.sink.post(BODY_STREAM_CHANGED)

    # Used by the sink.

    @property
    def is_consumed(self) -> bool:
        """Whether the whole body has been taken."""
        return self.taken == self.length or (self.ended and self.taken == self.total)

    def is_whole_for(self, reader: object) -> bool:
        """Return whether the reader can still get the body from its first byte on."""
        return not self.released and (not self.taken or self.reader is reader)

    def claim(self, reader: object, sink: StreamEnd) -> bool:
        """Reserve the body for a reader; return False if another one has taken bytes of it.

        `sink` is notified from now on.
        """
        if not self.is_whole_for(reader):
            return False
        self.reader, self.sink = reader, sink
        return True

    def take(self) -> BufferedBody:
        """Return the bytes that have arrived since the last call; the sink releases them once written."""
        was_full = self.is_full
        self.sink_notified = False
        part, self.buffered = self.buffered, BufferedBody(self.pool)
        self.taken += part.length
        if was_full:
            self.source.post(BODY_STREAM_CHANGED)
        return part

    def release(self) -> None:
        """Release the buffers, and tell the source that no more bytes are wanted."""
        self.released = True
        self.reader = None  # breaks a reference cycle
        self.buffered.release()
        if not (self.cancelled or self.ended):
            self.cancelled = True
            self.source.post(BODY_STREAM_CHANGED)
