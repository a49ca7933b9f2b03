"""Emulated time: a queue of what is to happen, run in order."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Action = Callable[[], None]


class EventQueue:
    """Owns the emulated clock. Actions of one moment run in the order in which they were added."""

    def __init__(self) -> None:
        """Start at time 0."""
        self.now = 0.0  # seconds
        self._count = 0
        self._queue: list[tuple[float, int, Action]] = []

    def at(self, when: float, action: Action) -> None:
        """Have an action run at that time, seconds."""
        self._count += 1
        heapq.heappush(self._queue, (when, self._count, action))

    def every(self, interval: float, action: Action) -> None:
        """Have an action run again and again, each time so many seconds after the last."""

        def repeat() -> None:
            action()
            self.at(self.now + interval, repeat)

        self.at(self.now + interval, repeat)

    def run_until(self, when: float) -> None:
        """Run all actions up to that time, seconds."""
        while self._queue and self._queue[0][0] <= when:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = when
