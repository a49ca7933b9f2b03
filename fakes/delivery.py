"""How a fake server writes a response: its framing, the pauses in its body, and how it breaks off."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

PIECE_INTERVAL = 0.02  # seconds between the pieces of a body that is written at a limited rate
WRITE_SIZE = 16_384  # bytes that are written at a time where the rate is not limited
HANG_TIME = 3600.0  # seconds, longer than any trial
NOISE = b"\x16\x03\x01~~ no chunk ~~"


class Framing(enum.Enum):
    """How the end of a body is told."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Ending(enum.Enum):
    """What follows the bytes that are written."""

    COMPLETE = "complete"
    RESET = "reset"
    CLOSE = "early close"  # the connection is closed as usual
    NOISE = "noise"  # bytes that are no part of HTTP; the connection stays open
    HANG = "hang"  # nothing; the connection stays open


@dataclass(eq=False)
class Delivery:
    """The plan of one response, and what became of it. Times are in seconds on the loop's clock."""

    framing: Framing = Framing.LENGTH
    body_delay: float = 0.0  # between the head and the first byte of the body
    rate: float = inf  # bytes of the body a second
    ending: Ending = Ending.COMPLETE
    limit: float = inf  # bytes of the body that are written before an ending other than COMPLETE
    ending_delay: float = 0.0  # between the last byte of the body and an ending other than COMPLETE
    piece_size: int = 0  # bytes that each write has at most, of the head and the framing too; 0: no limit
    piece_pause: float = 0.0  # between such writes

    head_at: float | None = None
    body_at: float | None = None  # when the first byte of the body was written
    sent: int = 0  # bytes of the body, by whole writes
    partly_sent: int = 0  # bytes of the write in progress, its framing included
    completed_at: float | None = None
    broken_at: float | None = None  # when the other side had closed the connection before the end
    ended_at: float | None = None  # when an ending other than COMPLETE began

    @property
    def is_sound(self) -> bool:
        """Whether the server writes, or would have written, the whole response."""
        return self.ending is Ending.COMPLETE

    @property
    def was_cut_off(self) -> bool:
        """Whether the other side closed the connection while the server was writing a whole response."""
        return self.is_sound and self.broken_at is not None

    def pieces(self, body: bytes) -> Iterator[bytes]:
        """Yield the parts of the body in the order in which they are written, one for each interval."""
        end = len(body) if self.ending is Ending.COMPLETE else int(min(len(body), self.limit))
        size = WRITE_SIZE if self.rate == inf else max(1, int(self.rate * PIECE_INTERVAL))
        for start in range(0, end, max(1, size)):
            yield body[start : min(end, start + size)]

    def note(self) -> float:
        """Return the time on the running loop's clock."""
        return asyncio.get_running_loop().time()
