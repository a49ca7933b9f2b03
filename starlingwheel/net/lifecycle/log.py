"""The log: one JSON line per event on standard output.

A reader that is slow, or has gone, costs lines; it never blocks or ends the sidecar.
"""

from __future__ import annotations

import os
import select
import traceback
from collections import deque
from collections.abc import Callable

import orjson

MAX_WRITE_SIZE = select.PIPE_BUF  # bytes: a pipe that is writable takes so much without blocking
MAX_BUFFERED = 1 << 20  # bytes


class EventLog:
    """Buffers lines and writes them when the reader takes them."""

    def __init__(self, now: Callable[[], float], fd: int = 1) -> None:
        """`now`: the clock of the lines, in seconds. `fd`: the descriptor to write to."""
        self.now, self.fd = now, fd
        self.lines: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.lost_lines = 0  # since the log last told of lost lines
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, event: str, **fields: object) -> None:
        """Buffer one line; a line for which there is no room is lost and counted."""
        line = orjson.dumps({"at": round(self.now(), 6), "event": event, **fields}, default=str) + b"\n"
        if self.buffered_bytes + len(line) > MAX_BUFFERED:
            self.lost_lines += 1
            return
        self.buffered_bytes += len(line)
        self.lines.append(line)

    def defect(self, event: str, error: Exception, **fields: object) -> None:
        """Log a fault in the code, with its trace."""
        self(event, error=repr(error), trace="".join(traceback.format_exception(error)), **fields)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.lines and any(mask & select.POLLOUT for _, mask in self.poll.poll(0)):
            try:
                os.write(self.fd, self._next_chunk())
            except OSError:
                # The reader has gone: the sidecar goes on without a log.
                self.lines.clear()
                self.buffered_bytes = 0
            if self.lost_lines and not self.lines:
                lost, self.lost_lines = self.lost_lines, 0
                self("log.lost", lines=lost)

    def _next_chunk(self) -> bytes:
        """Take whole lines up to `MAX_WRITE_SIZE` bytes, or the first part of a longer line."""
        chunk = self.lines.popleft()
        while self.lines and len(chunk) + len(self.lines[0]) <= MAX_WRITE_SIZE:
            chunk += self.lines.popleft()
        self.buffered_bytes -= len(chunk)
        if rest := chunk[MAX_WRITE_SIZE:]:
            chunk = chunk[:MAX_WRITE_SIZE]
            self.lines.appendleft(rest)
            self.buffered_bytes += len(rest)
        return chunk
