"""Passes the outcomes of attempts and health checks to the components that learn from them."""

from __future__ import annotations

from .clock import Clock
from .config import BalancerConfig
from .endpoint_stats import EndpointStats
from .events import AttemptEnded
from .gossip import Gossip
from .latency import LatencyModel
from .load import LoadTracker
from .model import Attempt, AttemptOutcome
from .outlier_detection import OutlierDetector

FAILING_FRACTION = 0.2  # fraction of failing requests in an endpoint's load report that makes it an outlier
RESPONDED = (AttemptOutcome.SUCCESS, AttemptOutcome.ERROR, AttemptOutcome.REJECTED)
CONNECTION_LOST = (AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)
UNFINISHED = (AttemptOutcome.CANCELLED, AttemptOutcome.TIMED_OUT)


class OutcomeRecorder:
    """Passes outcomes to the components in a fixed order; its only state is the configuration."""

    def __init__(
        self,
        clock: Clock,
        load: LoadTracker,
        latency: LatencyModel,
        gossip: Gossip,
        outliers: OutlierDetector,
    ) -> None:
        """Take the components that learn from outcomes."""
        self.clock, self.load, self.latency = clock, load, latency
        self.gossip, self.outliers = gossip, outliers

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config = config

    def record_attempt(self, event: AttemptEnded) -> None:
        """Record the end of an attempt."""
        attempt, outcome = event.attempt, event.outcome
        stats = attempt.endpoint
        self.load.note_ended(attempt)
        if outcome is AttemptOutcome.REJECTED:
            self.load.note_queue_full(stats)
        self._note_connection(stats, outcome)
        self.load.note_report(stats, event.load_report)
        # The load report lets a sidecar with little traffic learn of failures that other sidecars have seen.
        failing = event.load_report.get("failing", 0.0)
        reports_failures = failing > FAILING_FRACTION * event.load_report.get("served", 0.0)
        unresponsive = outcome in UNFINISHED and self.outliers.unresponsive_time(attempt) > 0
        if self.gossip.enabled and outcome not in RESPONDED:
            self.gossip.note_end_without_response(stats, unresponsive or outcome in CONNECTION_LOST)
        if outcome is AttemptOutcome.SUCCESS:
            self._record_success(attempt, event.duration, reports_failures)
        elif outcome is AttemptOutcome.ERROR or outcome in CONNECTION_LOST:
            self._record_failure(stats, outcome, reports_failures)
        elif outcome in UNFINISHED:
            self.latency.learn(attempt, event.duration, unfinished=True)
            if unresponsive:
                self.outliers.note_outcome(stats, failed=True, unresponsive=True)

    def record_head(self, attempt: Attempt) -> None:
        """Record the head of a successful response: its endpoint responds, but has not succeeded yet."""
        attempt.endpoint.last_response_at = self.clock.now

    def _note_connection(self, stats: EndpointStats, outcome: AttemptOutcome) -> None:
        single_stream = self.config.streams_per_connection == 1
        if outcome in RESPONDED:
            # A connection that carries many requests stays available: one timestamp is kept for it.
            stats.idle_connections = [*(stats.idle_connections if single_stream else ()), self.clock.now]
        elif not single_stream and outcome in CONNECTION_LOST:
            stats.idle_connections = []
        success = outcome is AttemptOutcome.SUCCESS
        failed = outcome is AttemptOutcome.CONNECT_FAILED
        stats.connect_failing = failed or (stats.connect_failing and success)

    def _record_success(self, attempt: Attempt, duration: float, reports_failures: bool) -> None:
        stats = attempt.endpoint
        self.latency.learn(attempt, duration)
        stats.last_response_at = self.clock.now
        stats.latest_finished_start = max(stats.latest_finished_start, attempt.started_at)
        self.outliers.note_outcome(stats, failed=reports_failures, reported=reports_failures)

    def _record_failure(self, stats: EndpointStats, outcome: AttemptOutcome, reports_failures: bool) -> None:
        connect_failed = outcome is AttemptOutcome.CONNECT_FAILED
        self.outliers.note_outcome(stats, failed=True, unresponsive=connect_failed, reported=reports_failures)
        self.outliers.announce_failure(stats, connect_failed)

    def record_health_check(
        self, stats: EndpointStats, outcome: AttemptOutcome, report: dict[str, float]
    ) -> None:
        """Record the end of a health check."""
        self.load.note_report(stats, report)
        if outcome is AttemptOutcome.SUCCESS:
            stats.last_response_at = self.clock.now
        elif outcome is AttemptOutcome.REJECTED:
            self.load.note_queue_full(stats)
        else:
            self.outliers.note_outcome(stats, failed=True)
