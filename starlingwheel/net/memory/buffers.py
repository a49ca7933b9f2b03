"""Buffers of one size from one pool, and bodies that lie in a chain of them."""

from __future__ import annotations

SIZE = 8192
KEPT = 65536  # bytes of a body up to which it is kept until it is whole
LONGEST_BODY = KEPT  # of a request that can't be passed on while it comes
LARGE = 1 / 16  # part of all buffers that one body may take


class Exhausted(Exception):
    """All buffers are in use."""


class Pool:
    def __init__(self, most: int) -> None:
        self.made = 0
        self.free: list[bytearray] = []
        # Reading has a buffer of its own, empty again before the next turn: a full pool stops no read.
        self.scratch = bytearray(LONGEST_BODY)
        self.limit(most)

    def limit(self, most: int) -> None:
        """So many buffers may be made from now on."""
        self.most = most
        self.large = max(KEPT, int(most * LARGE) * SIZE)

    def take(self) -> bytearray:
        if self.free:
            return self.free.pop()
        if self.made >= self.most:
            raise Exhausted
        self.made += 1
        return bytearray(SIZE)

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


class Body:
    """The body of one message. Whoever has it last gives its buffers back by `release`."""

    __slots__ = ("pool", "buffers", "length")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.buffers: list[bytearray] = []
        self.length = 0

    def add(self, data: bytes | bytearray) -> None:
        given = memoryview(data)
        while given:
            start = self.length % SIZE
            if start == 0:
                self.buffers.append(self.pool.take())
            part = given[: SIZE - start]
            self.buffers[-1][start : start + len(part)] = part
            self.length += len(part)
            given = given[len(part) :]

    def views(self) -> list[memoryview]:
        left = self.length
        views = []
        for buffer in self.buffers:
            views.append(memoryview(buffer)[: min(left, SIZE)])
            left -= SIZE
        return views

    def release(self) -> None:
        for buffer in self.buffers:
            self.pool.give(buffer)
        self.buffers = []
        self.length = 0
