"""A budget for retries and hedges: a what-if that the program does not have."""

from __future__ import annotations

from collections.abc import Sequence

from starlingwheel.decisions.model import Attempt, Request
from starlingwheel.decisions.retry_policy import RetryPolicy


class RetryBudget:
    """Limits a sidecar's hedges and retries to a ratio of its first attempts, with some saved up."""

    # Most hedges and retries that are saved up. At the start the budget of this many first attempts is saved.
    MAX_SAVED_ATTEMPTS = 10.0

    def __init__(self, ratio: float) -> None:
        """Start with some budget saved. `ratio`: hedges and retries for each first attempt."""
        self.ratio, self.remaining = ratio, self.MAX_SAVED_ATTEMPTS * ratio

    def record_first_attempt(self) -> None:
        """Add to the budget for a first attempt."""
        self.remaining = min(self.MAX_SAVED_ATTEMPTS, self.remaining + self.ratio)

    def record_further_attempt(self) -> None:
        """Take a hedge or a retry from the budget."""
        self.remaining -= 1


class BudgetedRetryPolicy(RetryPolicy):
    """The program's retry policy with hedges and retries limited by a budget."""

    budget: RetryBudget

    def may_send(self, request: Request, attempts: Sequence[Attempt]) -> bool:
        """Return whether another attempt may be made."""
        return self.budget.remaining >= 1 and super().may_send(request, attempts)
