"""A pool of buffers of one size, and message bodies stored in chains of them."""

from __future__ import annotations

BUFFER_SIZE = 8192  # bytes
MAX_BUFFERED_BODY = 65536  # bytes up to which a body is buffered until it is complete
MAX_REQUEST_BODY = MAX_BUFFERED_BODY  # bytes of a request body that can't be forwarded while it arrives
MAX_BODY_SHARE = 1 / 16  # part of all buffers that one body may take
SHORT_SHARE = 1 / 4  # part of all buffers; while fewer are left, buffers are short
BUFFERS_PER_BODY = MAX_BUFFERED_BODY // BUFFER_SIZE  # that a body takes at most while it is held back


class BuffersExhaustedError(Exception):
    """All buffers are in use."""


class BufferPool:
    """Hands out a limited number of buffers, and keeps the released ones for reuse."""

    def __init__(self, max_buffers: int) -> None:
        """Create an empty pool that hands out at most `max_buffers` buffers at a time."""
        self.allocated = 0  # buffers that exist, in use or free
        self.free: list[bytearray] = []
        # Sockets are read into this separate buffer, which is emptied within the turn, so that an exhausted
        # pool does not prevent reads.
        self.scratch = bytearray(MAX_REQUEST_BODY)
        self.set_limit(max_buffers)

    def set_limit(self, max_buffers: int) -> None:
        """Change the limit to `max_buffers` buffers."""
        self.max_buffers = max_buffers
        body_buffers = int(max_buffers * MAX_BODY_SHARE)
        self.max_body_size = max(MAX_BUFFERED_BODY, body_buffers * BUFFER_SIZE)  # bytes

    def acquire(self, beyond_limit: bool = False) -> bytearray:
        """Return a buffer; raises `BuffersExhaustedError` if all are in use, unless `beyond_limit` is set."""
        if self.free:
            return self.free.pop()
        if self.allocated >= self.max_buffers and not beyond_limit:
            raise BuffersExhaustedError
        self.allocated += 1
        return bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool, or drop it if there are more than the limit allows."""
        if self.allocated > self.max_buffers:
            self.allocated -= 1
            return
        self.free.append(buffer)

    @property
    def in_use(self) -> int:
        """The number of buffers that are handed out."""
        return self.allocated - len(self.free)

    @property
    def available(self) -> int:
        """The number of buffers that may still be handed out."""
        return self.max_buffers - self.in_use

    def has_room_for_read(self) -> bool:
        """Return whether what one read may bring can be stored."""
        return self.available * BUFFER_SIZE > len(self.scratch)

    @property
    def shortage(self) -> float:
        """The number of buffers that are to be released until enough are left; 0 or less: none."""
        return SHORT_SHARE * self.max_buffers - self.available


class BufferedBody:
    """The body of one message; whoever uses it last returns its buffers by `release`."""

    __slots__ = ("pool", "buffers", "length")

    def __init__(self, pool: BufferPool) -> None:
        """Create an empty body whose buffers come from `pool`."""
        self.pool = pool
        self.buffers: list[bytearray] = []
        self.length = 0  # bytes

    def add(self, data: bytes | bytearray, beyond_limit: bool = False) -> None:
        """Append a copy of the bytes.

        Raises `BuffersExhaustedError` after appending only a part of them, unless `beyond_limit` is set.
        """
        remaining = memoryview(data)
        while remaining:
            start = self.length % BUFFER_SIZE
            if start == 0:
                self.buffers.append(self.pool.acquire(beyond_limit))
            part = remaining[: BUFFER_SIZE - start]
            self.buffers[-1][start : start + len(part)] = part
            self.length += len(part)
            remaining = remaining[len(part) :]

    def views(self) -> list[memoryview]:
        """Return the body as views of its buffers, valid until `release`."""
        remaining = self.length
        views = []
        for buffer in self.buffers:
            views.append(memoryview(buffer)[: min(remaining, BUFFER_SIZE)])
            remaining -= BUFFER_SIZE
        return views

    def release(self) -> None:
        """Return the buffers to the pool."""
        for buffer in self.buffers:
            self.pool.release(buffer)
        self.buffers = []
        self.length = 0
