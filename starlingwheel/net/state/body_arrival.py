"""A lower bound of the time at which a client has sent the last byte of a body that is still being read.

A client's time counts from its last byte, which may wait unread in the kernels of both machines while the
sidecar does not read. The bound advances only to times at which the last byte cannot have been sent:

- while the client is not held up, that of the latest input, by this machine's kernel, and any time at which
  no input waits;
- while it is held up, as this machine's kernel takes no more, those at which more bytes were missing than the
  client's kernel can hold.

A client that was held up is not any more once no input has come for a moment.

Times are seconds on the loop's clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from functools import cache
from math import inf
from pathlib import Path

# Seconds for which input has to wait unread until the client may be held up.
BACKLOG_TIME = 0.05
# Seconds without input after which a client that had been held up has nothing more in its kernel's buffer.
EMPTY_TIME = 0.01
MARK_DISTANCE = 1 << 18  # bytes between the amounts that are remembered
SEND_BUFFER_SETTINGS = (Path("/proc/sys/net/ipv4/tcp_wmem"), Path("/proc/sys/net/core/wmem_max"))


@cache
def max_send_buffer() -> float:
    """Return how many bytes a client's kernel may hold unsent, if it is set up as this machine's.

    Infinite if that is not known. An application's own choice of a size is doubled by the kernel (socket(7)).
    """
    try:
        automatic, chosen = (int(path.read_text().split()[-1]) for path in SEND_BUFFER_SETTINGS)
    except (OSError, ValueError, IndexError):
        return inf
    return max(automatic, 2 * chosen)


@dataclass(frozen=True, slots=True)
class ArrivalMark:
    """By this time so many bytes had arrived, read or unread."""

    time: float
    arrived: int  # bytes


class BodyArrival:
    """The bound for one body."""

    __slots__ = (
        "length",
        "send_buffer",
        "earliest_end",
        "held_up",
        "backlog_since",
        "empty_since",
        "marks",
    )

    def __init__(self, length: int | None, begun_at: float, send_buffer: float) -> None:
        """Create the bound for a body of `length` bytes (None: unknown) that was incomplete at `begun_at`.

        `send_buffer` is the number of bytes that the client's kernel may hold.
        """
        self.length, self.send_buffer = length, send_buffer
        self.earliest_end = begun_at  # the last byte was sent at this time or later
        self.held_up = False  # the client's kernel may hold bytes that it could not send
        self.backlog_since: float | None = None  # input has waited in this machine's kernel since
        self.empty_since: float | None = None
        self.marks: deque[ArrivalMark] = deque()

    def pause(self) -> None:
        """Record that input is left unread from now on."""
        self.held_up, self.empty_since = True, None

    def update(self, now: float, received: int, unread: int, arrived_at: float | None) -> None:
        """Record that `received` bytes of the body have been read, and `unread` bytes wait in the kernel.

        `arrived_at` is when the latest of those that have been read had arrived; None: that is not known.
        """
        if unread:
            self._note_backlog(now)
        else:
            self._note_empty(now)
        if not self.held_up:
            latest = arrived_at if unread else now
            self.earliest_end = max(self.earliest_end, latest or -inf)
        arrived = received + unread
        if not self.marks or arrived >= self.marks[-1].arrived + MARK_DISTANCE:
            self.marks.append(ArrivalMark(now, arrived))
        known_length = max(received, self.length or 0)
        while self.marks and self.marks[0].arrived + self.send_buffer < known_length:
            self.earliest_end = max(self.earliest_end, self.marks.popleft().time)

    def _note_backlog(self, now: float) -> None:
        self.empty_since = None
        if self.backlog_since is None:
            self.backlog_since = now
        self.held_up = self.held_up or now >= self.backlog_since + BACKLOG_TIME

    def _note_empty(self, now: float) -> None:
        self.backlog_since = None
        if self.empty_since is None:
            self.empty_since = now
        self.held_up = self.held_up and now < self.empty_since + EMPTY_TIME
