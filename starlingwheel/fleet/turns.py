"""When a member may write what any member may write: one after another, so that not all do it at once."""

from __future__ import annotations

from collections.abc import Hashable


class WriteTurns:
    """The write times of one member. Times are seconds."""

    def __init__(self, delay: float, max_turns: int, remembered: int) -> None:
        """`delay`: seconds that each turn is later than the one before, up to `max_turns` of them.

        `remembered`: writes whose due times are remembered.
        """
        self.delay, self.max_turns, self.remembered = delay, max_turns, remembered
        self.due_since: dict[Hashable, float] = {}

    def copy(self) -> WriteTurns:
        """A copy with due times of its own."""
        other = WriteTurns(self.delay, self.max_turns, self.remembered)
        other.due_since = dict(self.due_since)
        return other

    def write_at(self, what: Hashable, turn: int, now: float) -> float:
        """When this member, whose `turn` it is after so many others, may write what is due now."""
        since = self.due_since.setdefault(what, now)
        if len(self.due_since) > self.remembered:
            del self.due_since[next(iter(self.due_since))]
        return since + min(turn, self.max_turns) * self.delay
