"""A clock in emulated time, and a queue of scheduled actions that run in order."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Action = Callable[[], None]


class EventQueue:
    """The emulated clock and its actions; actions of the same time run in the order they were scheduled."""

    def __init__(self) -> None:
        """Start the clock at 0 seconds."""
        self.now = 0.0  # seconds
        self._scheduled_count = 0
        self._queue: list[tuple[float, int, Action]] = []

    def schedule(self, when: float, action: Action) -> None:
        """Schedule an action for the time `when`, in seconds."""
        self._scheduled_count += 1
        heapq.heappush(self._queue, (when, self._scheduled_count, action))

    def schedule_every(self, interval: float, action: Action) -> None:
        """Schedule an action repeatedly, each time `interval` seconds after the last."""

        def repeat() -> None:
            action()
            self.schedule(self.now + interval, repeat)

        self.schedule(self.now + interval, repeat)

    def run_until(self, when: float) -> None:
        """Run all actions that are due up to the time `when`, in seconds."""
        while self._queue and self._queue[0][0] <= when:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = when
