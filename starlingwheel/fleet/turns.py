"""Staggered write times: members take turns, so that they do not all write the same change at once."""

from __future__ import annotations

from collections.abc import Hashable


class WriteTurns:
    """The times at which one member may write changes that any member may write. Times are seconds."""

    def __init__(self, delay: float, max_turns: int, max_remembered: int) -> None:
        """Start with no pending writes.

        `delay`: seconds between consecutive turns; turns beyond `max_turns` wait as long as that turn.
        `max_remembered`: limit of the writes whose due times are remembered.
        """
        self.delay, self.max_turns, self.max_remembered = delay, max_turns, max_remembered
        self.due_since: dict[Hashable, float] = {}

    def copy(self) -> WriteTurns:
        """Return a copy with due times of its own."""
        other = WriteTurns(self.delay, self.max_turns, self.max_remembered)
        other.due_since = dict(self.due_since)
        return other

    def write_at(self, write: Hashable, turn: int, now: float) -> float:
        """Return when this member may write a change that is due now.

        `write`: identifies the change. `turn`: how many members write before this one.
        """
        since = self.due_since.setdefault(write, now)
        if len(self.due_since) > self.max_remembered:
            del self.due_since[next(iter(self.due_since))]
        return since + min(turn, self.max_turns) * self.delay
