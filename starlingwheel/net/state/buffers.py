"""Buffers of one size from one pool, and bodies that lie in a chain of them."""

from __future__ import annotations

BUFFER_SIZE = 8192
MAX_BUFFERED_BODY = 65536  # bytes of a body up to which it is kept until it is whole
MAX_REQUEST_BODY = MAX_BUFFERED_BODY  # of a request that can't be passed on while it comes
MAX_BODY_SHARE = 1 / 16  # part of all buffers that one body may take


class BuffersExhaustedError(Exception):
    """All buffers are in use."""


class BufferPool:
    def __init__(self, most: int) -> None:
        self.made = 0
        self.free: list[bytearray] = []
        # Reading has a buffer of its own, empty again before the next turn: a full pool stops no read.
        self.scratch = bytearray(MAX_REQUEST_BODY)
        self.limit(most)

    def limit(self, most: int) -> None:
        """So many buffers may be made from now on."""
        self.most = most
        self.large = max(MAX_BUFFERED_BODY, int(most * MAX_BODY_SHARE) * BUFFER_SIZE)

    def take(self) -> bytearray:
        if self.free:
            return self.free.pop()
        if self.made >= self.most:
            raise BuffersExhaustedError
        self.made += 1
        return bytearray(BUFFER_SIZE)

    def give(self, buffer: bytearray) -> None:
        if self.made > self.most:
            self.made -= 1
            return
        self.free.append(buffer)

    @property
    def in_use(self) -> int:
        return self.made - len(self.free)

    @property
    def left(self) -> int:
        return self.most - self.in_use


class BufferedBody:
    """The body of one message. Whoever has it last gives its buffers back by `release`."""

    __slots__ = ("pool", "buffers", "length")

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.buffers: list[bytearray] = []
        self.length = 0

    def add(self, data: bytes | bytearray) -> None:
        given = memoryview(data)
        while given:
            start = self.length % BUFFER_SIZE
            if start == 0:
                self.buffers.append(self.pool.take())
            part = given[: BUFFER_SIZE - start]
            self.buffers[-1][start : start + len(part)] = part
            self.length += len(part)
            given = given[len(part) :]

    def views(self) -> list[memoryview]:
        left = self.length
        views = []
        for buffer in self.buffers:
            views.append(memoryview(buffer)[: min(left, BUFFER_SIZE)])
            left -= BUFFER_SIZE
        return views

    def release(self) -> None:
        for buffer in self.buffers:
            self.pool.give(buffer)
        self.buffers = []
        self.length = 0
