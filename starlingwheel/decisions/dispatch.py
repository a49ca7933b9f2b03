"""The way of one request: an attempt, a hedge after the delay, retries, one final answer.

The first attempt goes to an endpoint of a weighted draw. Where a repeat does no harm, a hedge goes to another
endpoint once a high percentile of this balancer's own response times has passed; the first success wins, and
the other attempt is cancelled.
"""

from __future__ import annotations

import enum
from math import inf

from .admission import Admission
from .clock import Clock
from .commands import (
    CancelAttempt,
    DecisionCoroutine,
    FailRequest,
    RejectRequest,
    StartAttempt,
    Wait,
)
from .config import BalancerConfig
from .endpoint_set import EndpointSet
from .events import CLIENT_DISCONNECTED, AttemptEnded, ClientDisconnected, HealthCheckEnded, ResponseStarted
from .gossip import Gossip
from .hedging import HedgingPolicy
from .lease import EndpointLease
from .load import LoadTracker
from .load_polling import LoadPolling
from .model import Attempt, Request
from .outlier_detection import OutlierDetector
from .retry_policy import RetryPolicy
from .selection import EndpointSelector
from .slow_start import SlowStart


class RequestDispatcher:
    """The parts that a dispatch uses. It keeps no state but the configuration."""

    def __init__(
        self,
        clock: Clock,
        lease: EndpointLease,
        endpoints: EndpointSet,
        gossip: Gossip,
        load: LoadTracker,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        admission: Admission,
        retry_policy: RetryPolicy,
        hedging: HedgingPolicy,
        selector: EndpointSelector,
        polling: LoadPolling,
    ) -> None:
        """The parts, built by `Balancer`."""
        self.clock, self.lease, self.endpoints, self.gossip = clock, lease, endpoints, gossip
        self.load, self.slow_start, self.outliers = load, slow_start, outliers
        self.admission, self.retry_policy, self.hedging = admission, retry_policy, hedging
        self.selector, self.polling = selector, polling

    def reload(self, config: BalancerConfig) -> None:
        """Take over a configuration."""
        self.config = config

    def dispatch(self, request: Request) -> DecisionCoroutine:
        """The coroutine that takes a request from its arrival to its final answer."""
        return Dispatch(self, request).run()

    def note_attempt(self, attempt: Attempt) -> None:
        """Book an attempt that starts now."""
        stats = attempt.endpoint
        if attempt.request.arrived_at < inf:
            self.load.note_started(attempt)
        self.outliers.note_attempt(stats)
        self.slow_start.note_attempt(stats)
        if stats.idle_connections and self.config.streams_per_connection == 1:
            stats.idle_connections.pop()


class NextStep(enum.Enum):
    """What a dispatch does next."""

    ATTEMPT = enum.auto()  # the first one, a hedge or a retry
    WAIT = enum.auto()
    ANSWER = enum.auto()  # give the request up
    END = enum.auto()  # the client has its response, or has disconnected


class Dispatch:
    """One request on its way."""

    __slots__ = (
        "parts",
        "clock",
        "request",
        "objective",
        "attempts",
        "checks",
        "hedges",
        "delays",
        "give_up_at",
    )

    def __init__(self, parts: RequestDispatcher, request: Request) -> None:
        """`request.earlier_attempts`: made elsewhere, by a sidecar that is lost."""
        self.parts, self.clock, self.request = parts, parts.clock, request
        self.objective = parts.admission.objective(request)
        self.attempts: list[Attempt] = [*request.earlier_attempts]
        request.preferred_cell = parts.endpoints.preferred_cell(request.key)
        self.hedges, self.delays = 0, 1
        self.checks = parts.polling.checks_for(request.request_class)
        self.give_up_at = inf

    def run(self) -> DecisionCoroutine:
        """Attempts, hedges and retries, and the final answer."""
        next_step = self._first_step()
        while next_step is not NextStep.ANSWER:
            self.give_up_at = self.parts.admission.give_up_at(self.request, self.objective)
            if next_step is NextStep.ATTEMPT:
                result = yield from self._attempt()
                if result is CLIENT_DISCONNECTED:
                    return
                if result is None and not self._is_pending():
                    break
            hedge_at = self.parts.hedging.due_at(self.request, self.attempts, self.hedges, self.delays)
            event = yield Wait(min(hedge_at, self.give_up_at))
            if event is None or isinstance(event, HealthCheckEnded):
                next_step = self._time_passed(hedge_at)
                continue
            next_step = yield from self._handle(event)
            if next_step is NextStep.END:
                return
        yield from self._answer()

    def _first_step(self) -> NextStep:
        """An attempt, unless those that a lost sidecar has made forbid another one."""
        return NextStep.ATTEMPT if not self.attempts or self._may_retry() else NextStep.ANSWER

    def _time_passed(self, hedge_at: float) -> NextStep:
        """A hedge may be due, or the request has to be given up."""
        now = self.clock.now
        if now >= self.give_up_at:
            return NextStep.ANSWER
        return NextStep.ATTEMPT if now >= hedge_at and self._hedge() else NextStep.WAIT

    def _handle(self, event: AttemptEnded | ResponseStarted | ClientDisconnected) -> DecisionCoroutine:
        """What an event of the request leads to: a `NextStep`."""
        if isinstance(event, ClientDisconnected):
            yield from self._cancel()
            return NextStep.END
        if isinstance(event, ResponseStarted):
            yield from self._follow_stream(event.attempt)
            return NextStep.END
        yield from self.parts.gossip.flush()
        if event.request_answered:
            yield from self._cancel()
            return NextStep.END
        if self._is_pending():
            return NextStep.WAIT
        may_retry = self.clock.now < self.give_up_at and self._may_retry()
        return NextStep.ATTEMPT if may_retry else NextStep.ANSWER

    def _attempt(self) -> DecisionCoroutine:
        """Start an attempt: it, or None where there is no endpoint or no time, or `CLIENT_DISCONNECTED`."""
        stats = yield from self._select()
        if stats is None or isinstance(stats, ClientDisconnected):
            return stats
        now = self.clock.now
        if now >= self.give_up_at or not self.parts.lease.allows(now):
            return None
        attempt = yield StartAttempt(stats, self.give_up_at - now, self.parts.load.of(stats))
        self.parts.note_attempt(attempt)
        self.attempts.append(attempt)
        yield from self.parts.gossip.flush()
        return attempt

    def _select(self) -> DecisionCoroutine:
        objective = self.objective
        if self.checks and not self.attempts:
            return (
                yield from self.parts.polling.select_endpoint(
                    self.request, objective.seconds, objective.priority, self.checks, self.give_up_at
                )
            )
        return self.parts.selector.select_endpoint(
            self.request, self.attempts, objective.seconds, objective.priority
        )

    def _hedge(self) -> bool:
        """The hedge's delay has passed: whether it goes out now."""
        hedge = self.parts.hedging.should_hedge(self.request, self.attempts)
        self.hedges, self.delays = self.hedges + hedge, self.delays + 1
        return hedge

    def _may_retry(self) -> bool:
        return self.parts.retry_policy.may_send(self.request, self.attempts)

    def _is_pending(self) -> bool:
        return any(attempt.pending for attempt in self.attempts)

    def _follow_stream(self, attempt: Attempt) -> DecisionCoroutine:
        """The response of one attempt has begun: the others are cancelled, and it is waited for."""
        yield from self._cancel(but=attempt)
        while attempt.pending:
            yield Wait(None)

    def _cancel(self, but: Attempt | None = None) -> DecisionCoroutine:
        for attempt in self.attempts:
            if attempt is not but and attempt.pending and self.parts.config.cancel_allowed:
                yield CancelAttempt(attempt)

    def _answer(self) -> DecisionCoroutine:
        """Give the request up: rejected where a retry is harmless, otherwise failed."""
        yield from self._cancel()
        if self.parts.retry_policy.may_reject(self.request, self.attempts):
            yield RejectRequest(self.parts.admission.retry_after(self.request))
        else:
            yield FailRequest()
