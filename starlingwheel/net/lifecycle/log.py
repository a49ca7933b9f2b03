"""The log: one JSON line an event on standard output. A slow reader costs lines, never the loop."""

from __future__ import annotations

import os
import select
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

AT_ONCE = select.PIPE_BUF  # a pipe that is writable takes so much without blocking
MOST = 1 << 20


class EventLog:
    def __init__(self, now: Callable[[], float], fd: int = 1) -> None:
        self.now, self.fd = now, fd
        self.lines: deque[bytes] = deque()
        self.held = self.lost = 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, event: str, **fields: Any) -> None:
        line = orjson.dumps({"at": round(self.now(), 6), "event": event, **fields}, default=str) + b"\n"
        if self.held + len(line) > MOST:
            self.lost += 1
            return
        self.held += len(line)
        self.lines.append(line)

    def defect(self, event: str, error: Exception, **fields: Any) -> None:
        """A fault in the code, with its trace."""
        self(event, error=repr(error), trace="".join(traceback.format_exception(error)), **fields)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.lines and any(mask & select.POLLOUT for _, mask in self.poll.poll(0)):
            part = self.lines.popleft()
            while self.lines and len(part) + len(self.lines[0]) <= AT_ONCE:
                part += self.lines.popleft()
            self.held -= len(part)
            if rest := part[AT_ONCE:]:
                part = part[:AT_ONCE]
                self.lines.appendleft(rest)
                self.held += len(rest)
            try:
                os.write(self.fd, part)
            except OSError:
                # Guards against a reader that has gone ending the sidecar.
                self.lines.clear()
                self.held = 0
            if self.lost and not self.lines:
                lost, self.lost = self.lost, 0
                self("log.lost", lines=lost)
