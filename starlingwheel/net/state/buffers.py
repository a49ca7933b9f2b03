"""A pool of buffers of one size, and message bodies stored in chains of them."""

from __future__ import annotations

BUFFER_SIZE = 8192  # bytes
MAX_BUFFERED_BODY = 65536  # bytes of a body up to which it is kept until it is complete
MAX_REQUEST_BODY = MAX_BUFFERED_BODY  # bytes, of a request that can't be passed on while it arrives
MAX_BODY_SHARE = 1 / 16  # of all buffers that one body may take


class BuffersExhaustedError(Exception):
    """All buffers are in use."""


class BufferPool:
    """Hands out buffers, at most so many at a time, and keeps those that come back."""

    def __init__(self, max_buffers: int) -> None:
        """`max_buffers`: at a time."""
        self.allocated = 0  # buffers that exist
        self.free: list[bytearray] = []
        # Sockets are read into a buffer apart, empty again before the next turn: a full pool stops no read.
        self.scratch = bytearray(MAX_REQUEST_BODY)
        self.set_limit(max_buffers)

    def set_limit(self, max_buffers: int) -> None:
        """Allow so many buffers from now on."""
        self.max_buffers = max_buffers
        body_buffers = int(max_buffers * MAX_BODY_SHARE)
        self.max_body_size = max(MAX_BUFFERED_BODY, body_buffers * BUFFER_SIZE)  # bytes

    def acquire(self) -> bytearray:
        """Return a buffer. Raises `BuffersExhaustedError`."""
        if self.free:
            return self.free.pop()
        if self.allocated >= self.max_buffers:
            raise BuffersExhaustedError
        self.allocated += 1
        return bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        """Take a buffer back."""
        if self.allocated > self.max_buffers:
            self.allocated -= 1
            return
        self.free.append(buffer)

    @property
    def in_use(self) -> int:
        """Buffers that are handed out."""
        return self.allocated - len(self.free)

    @property
    def available(self) -> int:
        """Buffers that may still be handed out."""
        return self.max_buffers - self.in_use


class BufferedBody:
    """The body of one message. Its last holder gives the buffers back by `release`."""

    __slots__ = ("pool", "buffers", "length")

    def __init__(self, pool: BufferPool) -> None:
        """An empty body, whose buffers come from `pool`."""
        self.pool = pool
        self.buffers: list[bytearray] = []
        self.length = 0  # bytes

    def add(self, data: bytes | bytearray) -> None:
        """Append a copy of the bytes. Raises `BuffersExhaustedError`, with a part of them appended."""
        rest = memoryview(data)
        while rest:
            start = self.length % BUFFER_SIZE
            if start == 0:
                self.buffers.append(self.pool.acquire())
            part = rest[: BUFFER_SIZE - start]
            self.buffers[-1][start : start + len(part)] = part
            self.length += len(part)
            rest = rest[len(part) :]

    def views(self) -> list[memoryview]:
        """Return the body as views of its buffers, valid until `release`."""
        rest = self.length
        views = []
        for buffer in self.buffers:
            views.append(memoryview(buffer)[: min(rest, BUFFER_SIZE)])
            rest -= BUFFER_SIZE
        return views

    def release(self) -> None:
        """Give the buffers back to the pool."""
        for buffer in self.buffers:
            self.pool.release(buffer)
        self.buffers = []
        self.length = 0
