"""Dispatch of one request: an attempt, a hedge after a delay, retries, one final answer.

The first attempt goes to an endpoint chosen by a weighted draw or, where endpoints are polled, by the load
that they report. For a request that may be executed twice, a hedge goes to another endpoint once a high
percentile of this balancer's own response times has passed; the first success wins, and the other attempt is
cancelled.
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
    """Holds the components that a dispatch uses; its only state is the configuration."""

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
        """Take the components, which `Balancer` builds."""
        self.clock, self.lease, self.endpoints, self.gossip = clock, lease, endpoints, gossip
        self.load, self.slow_start, self.outliers = load, slow_start, outliers
        self.admission, self.retry_policy, self.hedging = admission, retry_policy, hedging
        self.selector, self.polling = selector, polling

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config = config

    def dispatch(self, request: Request) -> DecisionCoroutine:
        """Return the coroutine that processes a request from its arrival to its final answer."""
        return Dispatch(self, request).run()

    def note_attempt(self, attempt: Attempt) -> None:
        """Record an attempt that starts now in the components that count attempts."""
        stats = attempt.endpoint
        if not attempt.request.body_incomplete:
            self.load.note_started(attempt)
        self.outliers.note_attempt(stats)
        self.slow_start.note_attempt(stats)
        if stats.idle_connections and self.config.streams_per_connection == 1:
            stats.idle_connections.pop()


class NextStep(enum.Enum):
    """The next step of a dispatch."""

    ATTEMPT = enum.auto()  # start an attempt: the first one, a hedge or a retry
    WAIT = enum.auto()
    ANSWER = enum.auto()  # give up the request with a final answer
    END = enum.auto()  # the client has its response, or has disconnected


class Dispatch:
    """The processing of one request, up to its final answer."""

    __slots__ = (
        "dispatcher",
        "clock",
        "request",
        "objective",
        "attempts",
        "max_checks",
        "hedges_sent",
        "hedge_delays",
        "start_until",
        "give_up_at",
    )

    def __init__(self, dispatcher: RequestDispatcher, request: Request) -> None:
        """Prepare a dispatch; `request.earlier_attempts` were made by a sidecar that was lost."""
        self.dispatcher, self.clock, self.request = dispatcher, dispatcher.clock, request
        self.objective = dispatcher.admission.objective(request)
        self.attempts: list[Attempt] = [*request.earlier_attempts]
        request.preferred_cell = dispatcher.endpoints.preferred_cell(request.key)
        self.hedges_sent, self.hedge_delays = 0, 1
        self.max_checks = dispatcher.polling.checks_for(request.request_class)
        self.start_until = self.give_up_at = inf

    def run(self) -> DecisionCoroutine:
        """Run attempts, hedges and retries, then give the final answer."""
        next_step = self._first_step()
        while next_step is not NextStep.ANSWER:
            self._update_give_up_time()
            if next_step is NextStep.ATTEMPT:
                result = yield from self._attempt()
                if result is CLIENT_DISCONNECTED:
                    return
                if result is None and not self._is_pending():
                    break
            hedge_at = self._hedge_at()
            event = yield Wait(min(hedge_at, self._next_check_at()))
            self._update_give_up_time()
            if event is None or isinstance(event, HealthCheckEnded):
                next_step = self._handle_timeout(hedge_at)
                continue
            next_step = yield from self._handle(event)
            if next_step is NextStep.END:
                return
        yield from self._answer()

    def _next_check_at(self) -> float:
        """Return the time at which the request is given up, or at which no further attempt may start."""
        return self.start_until if self.clock.now < self.start_until else self.give_up_at

    def _release_load(self) -> None:
        """Stop counting attempts as load whose responses have begun and are awaited past the objective.

        Endpoints that send the rest late, or never, would otherwise keep requests from being admitted.
        """
        for attempt in self.attempts:
            if attempt.pending:
                self.dispatcher.load.note_ended(attempt)

    def _hedge_at(self) -> float:
        """Return the time at which hedging is next considered, or infinity."""
        hedge_at = self.dispatcher.hedging.due_at(
            self.request, self.attempts, self.hedges_sent, self.hedge_delays
        )
        return hedge_at if hedge_at < self.start_until else inf

    def _update_give_up_time(self) -> None:
        """Determine again until when attempts start, and when the request is given up.

        Both move while a long body arrives. A response that has begun is awaited until the deadline: an
        endpoint that is sending it must not be cut off for the objective. One that may be long is passed on
        by then; a host that was held up does that late, and the request must not be given up before.
        """
        latest_start = self._latest_start()
        give_up_at = self.dispatcher.admission.give_up_at(self.request, self.objective)
        self.start_until = min(give_up_at, latest_start)
        responding = [attempt for attempt in self.attempts if attempt.pending and attempt.head_received]
        self.give_up_at = self.start_until
        if responding:
            is_passed_on = any(attempt.may_be_long for attempt in responding)
            until = self.request.answer_by if is_passed_on else self.request.deadline
            self.give_up_at = min(until, latest_start)

    def _latest_start(self) -> float:
        """Return until when an endpoint may still get the end of the request, if the process is stopping.

        Shortly before the process ends, a request that can't be answered any more is rejected while it is
        known not to have run.
        """
        request = self.request
        if request.answer_by == inf or (self._is_pending() and not request.body_incomplete):
            return inf
        return request.answer_by - min(self.dispatcher.hedging.response_time(request), self.objective.seconds)

    def _first_step(self) -> NextStep:
        """Return ATTEMPT, unless the attempts of a lost sidecar rule out a further attempt."""
        return NextStep.ATTEMPT if not self.attempts or self._may_retry() else NextStep.ANSWER

    def _handle_timeout(self, hedge_at: float) -> NextStep:
        """Return the step after a wait in which no attempt had an event: hedge, give up or wait on."""
        now = self.clock.now
        if now >= self.give_up_at:
            return NextStep.ANSWER
        if now >= self.start_until:
            self._release_load()
        return NextStep.ATTEMPT if now >= hedge_at and self._hedge() else NextStep.WAIT

    def _handle(self, event: AttemptEnded | ResponseStarted | ClientDisconnected) -> DecisionCoroutine:
        """Handle an event of the request; return the `NextStep`."""
        if isinstance(event, ClientDisconnected):
            yield from self._cancel()
            return NextStep.END
        if isinstance(event, ResponseStarted):
            yield from self._follow_stream(event.attempt)
            return NextStep.END
        yield from self.dispatcher.gossip.flush()
        if event.request_answered:
            yield from self._cancel()
            return NextStep.END
        if self._is_pending():
            return NextStep.WAIT
        may_retry = self.clock.now < self.start_until and self._may_retry()
        return NextStep.ATTEMPT if may_retry else NextStep.ANSWER

    def _attempt(self) -> DecisionCoroutine:
        """Start an attempt and return it.

        Return None if there is no endpoint or no time left, `CLIENT_DISCONNECTED` if the client has left.
        """
        stats = yield from self._select()
        if stats is None or isinstance(stats, ClientDisconnected):
            return stats
        self._update_give_up_time()
        now = self.clock.now
        if now >= self.start_until or not self.dispatcher.lease.allows(now):
            return None
        attempt = yield StartAttempt(stats, self.start_until - now, self.dispatcher.load.of(stats))
        self.dispatcher.note_attempt(attempt)
        self.attempts.append(attempt)
        yield from self.dispatcher.gossip.flush()
        return attempt

    def _select(self) -> DecisionCoroutine:
        objective = self.objective
        if self.max_checks and not self.attempts:
            return (
                yield from self.dispatcher.polling.select_endpoint(
                    self.request, objective.seconds, objective.priority, self.max_checks, self.start_until
                )
            )
        return self.dispatcher.selector.select_endpoint(
            self.request, self.attempts, objective.seconds, objective.priority
        )

    def _hedge(self) -> bool:
        """Decide, after the hedging delay has passed, whether a hedge is sent now."""
        hedge = self.dispatcher.hedging.should_hedge(self.request, self.attempts)
        self.hedges_sent, self.hedge_delays = self.hedges_sent + hedge, self.hedge_delays + 1
        return hedge

    def _may_retry(self) -> bool:
        return self.dispatcher.retry_policy.may_send(self.request, self.attempts)

    def _is_pending(self) -> bool:
        return any(attempt.pending for attempt in self.attempts)

    def _follow_stream(self, attempt: Attempt) -> DecisionCoroutine:
        """Wait for the attempt whose response has started, after cancelling all others."""
        yield from self._cancel(kept=attempt)
        while attempt.pending:
            yield Wait(None)

    def _cancel(self, kept: Attempt | None = None) -> DecisionCoroutine:
        for attempt in self.attempts:
            if attempt is not kept and attempt.pending and self.dispatcher.config.cancel_allowed:
                yield CancelAttempt(attempt)

    def _answer(self) -> DecisionCoroutine:
        """Give up the request: reject it if a retry is harmless, otherwise fail it."""
        yield from self._cancel()
        if self.dispatcher.retry_policy.may_reject(self.request, self.attempts):
            yield RejectRequest(self.dispatcher.admission.retry_after(self.request))
        else:
            yield FailRequest()
