"""What-if, not in the program: a budget for retries and hedged requests."""

from __future__ import annotations

from collections.abc import Sequence

from starlingwheel.decisions.model import Attempt, Request
from starlingwheel.decisions.retry_policy import RetryPolicy


class Budget:
    """So many second sends of a sidecar for each first send, and a few saved up."""

    SAVED = 10.0  # first sends that it may save for

    def __init__(self, ratio: float) -> None:
        """`ratio`: second sends for each first one."""
        self.ratio, self.remaining = ratio, self.SAVED * ratio

    def first(self) -> None:
        """A first send was made."""
        self.remaining = min(self.SAVED, self.remaining + self.ratio)

    def second(self) -> None:
        """A second send was made."""
        self.remaining -= 1


class BudgetedRetryPolicy(RetryPolicy):
    """The program's retry policy, and further attempts only within a budget: not in the program."""

    budget: Budget

    def may_send(self, request: Request, attempts: Sequence[Attempt]) -> bool:
        """Return whether another attempt may be made."""
        return self.budget.remaining >= 1 and super().may_send(request, attempts)
