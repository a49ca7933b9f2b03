"""Rule 2, no request takes effect twice: what may be retried, and what may be rejected as safe to retry."""

from __future__ import annotations

from collections.abc import Sequence

from .clock import Clock
from .config import BalancerConfig, DeduplicationScope, RetrySafety
from .model import Attempt, Endpoint, Request

WINDOW_FRACTION = 0.98  # fraction of the deduplication window after which nothing is sent again


def first_risky_attempt(attempts: Sequence[Attempt]) -> Attempt | None:
    """Return the first attempt that may have had an effect."""
    return next((attempt for attempt in attempts if attempt.may_have_run), None)


class RetryPolicy:
    """Decides what may be sent again; its only state is the configuration."""

    def __init__(self, clock: Clock) -> None:
        """Create the policy; `clock` determines when deduplication windows end."""
        self.clock = clock

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config = config

    def may_send(self, request: Request, attempts: Sequence[Attempt]) -> bool:
        """Return whether a further attempt may start now, at an endpoint within `scope`."""
        if len(attempts) >= request.max_attempts:
            return False
        risky = first_risky_attempt(attempts)
        safety = request.request_class.retry_safety
        if risky is None or safety is RetrySafety.IDEMPOTENT:
            return True
        window = request.request_class.deduplication_window * WINDOW_FRACTION
        return safety is RetrySafety.IDEMPOTENT_WITH_KEY and self.clock.now < risky.started_at + window

    def may_hedge(self, request: Request, attempts: Sequence[Attempt]) -> bool:
        """Return whether a second attempt may run concurrently with the last one."""
        non_idempotent = request.request_class.retry_safety is RetrySafety.NON_IDEMPOTENT
        if not self.config.hedging_allowed or non_idempotent:
            return False
        return bool(attempts) and attempts[-1].pending and self.may_send(request, attempts)

    def may_reject(self, request: Request, attempts: Sequence[Attempt]) -> bool:
        """Return whether the request may be rejected, since a retry by the client is harmless.

        A rejected request gets no further byte, so one whose last byte has not arrived here never runs.
        """
        if request.body_incomplete:
            return True
        request_class = request.request_class
        safety = request_class.retry_safety
        if safety is RetrySafety.IDEMPOTENT or first_risky_attempt(attempts) is None:
            return True
        everywhere = request_class.deduplication_scope is DeduplicationScope.ALL
        return safety is RetrySafety.IDEMPOTENT_WITH_KEY and everywhere

    def scope(
        self, request: Request, attempts: Sequence[Attempt]
    ) -> tuple[DeduplicationScope, Endpoint | None]:
        """Return the scope in which a further attempt must stay, and the endpoint that defines it."""
        risky = first_risky_attempt(attempts)
        if risky is None:
            return DeduplicationScope.ALL, None
        with_key = request.request_class.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY
        scope = request.request_class.deduplication_scope if with_key else DeduplicationScope.ALL
        return scope, risky.endpoint.entry
