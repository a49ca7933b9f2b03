"""The log: one JSON line per event on standard output.

If the reader is slow or has closed the pipe, lines are lost; its log never blocks or ends the sidecar.
"""

from __future__ import annotations

import os
import select
import traceback
from collections import deque
from collections.abc import Callable

import orjson

MAX_WRITE_SIZE = select.PIPE_BUF  # bytes that a writable pipe accepts without blocking
MAX_BUFFERED = 1 << 20  # bytes of lines waiting to be written


class EventLog:
    """Buffers lines and writes them when the descriptor is writable."""

    def __init__(self, now: Callable[[], float], fd: int = 1) -> None:
        """Create a log that writes to the descriptor `fd`; `now` returns the time of a line, in seconds."""
        self.now, self.fd = now, fd
        self.lines: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.lost_lines = 0  # lines lost since the last `log.lost` event
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, event: str, **fields: object) -> None:
        """Buffer one line; a line that does not fit into the buffer is lost and counted."""
        line = orjson.dumps({"at": round(self.now(), 6), "event": event, **fields}, default=str) + b"\n"
        if self.buffered_bytes + len(line) > MAX_BUFFERED:
            self.lost_lines += 1
            return
        self.buffered_bytes += len(line)
        self.lines.append(line)

    def exception(self, event: str, error: Exception, **fields: object) -> None:
        """Log an unexpected exception, with its traceback."""
        self(event, error=repr(error), trace="".join(traceback.format_exception(error)), **fields)

    def flush(self) -> None:
        """Write as many lines as the descriptor accepts without blocking."""
        while self.lines and any(mask & select.POLLOUT for _, mask in self.poll.poll(0)):
            try:
                os.write(self.fd, self._next_chunk())
            except OSError:
                # The reader has closed the pipe: the sidecar continues without a log.
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
