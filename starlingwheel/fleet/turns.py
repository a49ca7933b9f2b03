"""When a member may write what any member may write: one after another, so that not all do it at once."""

from __future__ import annotations

from collections.abc import Hashable


class WriteTurns:
    """The write times of one member. Times are seconds."""

    def __init__(self, delay: float, max_turns: int, max_remembered: int) -> None:
        """`delay`: seconds that each turn is later than the one before, up to `max_turns` of them.

        `max_remembered`: writes whose due times are remembered, at most.
        """
        self.delay, self.max_turns, self.max_remembered = delay, max_turns, max_remembered
        self.due_since: dict[Hashable, float] = {}

    def copy(self) -> WriteTurns:
        """A copy with due times of its own."""
        other = WriteTurns(self.delay, self.max_turns, self.max_remembered)
        other.due_since = dict(self.due_since)
        return other

    def write_at(self, write: Hashable, turn: int, now: float) -> float:
        """When this member, whose `turn` it is after so many others, may write what is due now."""
        since = self.due_since.setdefault(write, now)
        if len(self.due_since) > self.max_remembered:
            del self.due_since[next(iter(self.due_since))]
        return since + min(turn, self.max_turns) * self.delay
