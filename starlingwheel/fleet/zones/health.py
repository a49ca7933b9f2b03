"""Zone health as one member observes it from its own attempts. No I/O; the caller sets `now`.

Counts the outcomes of each zone over a short window, and derives from them whether the zone fails while other
zones are healthy. `ZonePlanner` reports this to the fleet and acts on the reports of all members.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

from ..records import ZoneHealth, ZonePlan

WINDOW_OBJECTIVES = 2.0  # length of the window, as a multiple of the shortest latency objective
SILENT_MULTIPLE = 4.0  # multiple of the mean response time after which a pending attempt counts as silent
SILENT_MIN_WINDOWS = 1 / 16  # windows: an attempt that is pending for less does not count as silent
MIN_OUTCOMES = 4.0  # failures or responses below which no conclusion is drawn
MIN_CONSECUTIVE_FAILURES = 2  # fewer count only if no other outcome was observed
REPORTED_WINDOWS = 2.0  # windows without a response during which a zone is still reported as failing
FAILING_FRACTION = 1 / 4  # fraction of failed attempts from which on a zone counts as failing
# Of a zone's failing fraction: the zone counts as failing only if no larger fraction fails in other zones.
ELSEWHERE_FRACTION = 1 / 2
USUAL_RATE_WINDOWS = 8.0  # windows: time constant of the moving average of the usual rate
MEAN_ANSWER_SAMPLES = 64  # responses over which the mean response time is averaged
RECENT_TRIALS = 5  # latest trials of a zone, whose results are reported one by one
PAUSE_WINDOWS = 1 / 4  # windows: a longer gap between two reports means that this process was paused


class ZoneAttemptResult(Enum):
    """The result of an attempt as evidence about its zone."""

    ANSWERED = "answered"
    FAILED = "failed"
    REJECTED = "rejected"  # the endpoint did not process the request
    INCONCLUSIVE = "inconclusive"


CONCLUSIVE = (ZoneAttemptResult.ANSWERED, ZoneAttemptResult.FAILED)


@dataclass(slots=True)
class OutcomeCounts:
    """The number of attempts by outcome."""

    begun: int = 0
    answered: int = 0
    answered_late: int = 0  # answered after having been counted as silent
    rejected: int = 0
    failed: int = 0
    silent: int = 0


@dataclass(slots=True)
class FailureCounts:
    """Attempts with a conclusive outcome, and those of them that failed."""

    attempts: float
    failures: float

    @property
    def fraction(self) -> float:
        """The fraction that failed; 0 without attempts."""
        return self.failures / self.attempts if self.attempts else 0.0


@dataclass(slots=True)
class OutcomeWindow:
    """The outcomes of one zone in the two halves of a window. Times are seconds."""

    current: OutcomeCounts = field(default_factory=OutcomeCounts)
    previous: OutcomeCounts = field(default_factory=OutcomeCounts)
    consecutive_failures: int = 0
    failing_since: float = inf  # time of the first of these failures
    rejected_at: float = -inf  # time of the latest rejection
    answered_at: float = -inf  # time of the latest answer
    healthy_since: float = -inf  # time of the first answer after the latest consecutive failures
    failing_until: float = -inf  # the zone is reported as failing until then

    def add_failure(self, now: float) -> None:
        """Count one more consecutive failure."""
        self.consecutive_failures += 1
        self.failing_since = min(self.failing_since, now)

    def add_answer(self, now: float) -> None:
        """Record an answer, which ends the consecutive failures."""
        if self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES:
            self.healthy_since = now
        self.consecutive_failures = 0
        self.failing_since = inf
        self.answered_at = now

    def rotate(self) -> None:
        """Begin the next half window."""
        self.previous, self.current = self.current, OutcomeCounts()

    @property
    def begun(self) -> int:
        """Attempts begun in the window."""
        return self.current.begun + self.previous.begun

    @property
    def rejected(self) -> int:
        """Attempts rejected in the window."""
        return self.current.rejected + self.previous.rejected

    def failure_counts(self) -> FailureCounts:
        """Return the conclusive outcomes in the window.

        A late answer means that the zone is slow, not down: it offsets two silent attempts.
        """
        now, before = self.current, self.previous
        late = now.answered_late + before.answered_late
        failures = now.failed + before.failed + max(0.0, now.silent + before.silent - 2 * late)
        return FailureCounts(failures + now.answered + before.answered + late, failures)


@dataclass(slots=True)
class ZoneTrials:
    """The results of attempts to a zone with a reduced share, since one step of the plan."""

    epoch: int  # the epoch of the plan at that step
    successes: int = 0
    failures: int = 0
    recent: deque[tuple[float, bool]] = field(default_factory=lambda: deque(maxlen=RECENT_TRIALS))

    def add(self, now: float, success: bool) -> None:
        """Record the result of one trial."""
        self.successes += success
        self.failures += not success
        self.recent.append((round(now, 3), success))


class PendingAttempt(NamedTuple):
    """An attempt that has not ended yet."""

    zone: str
    started_at: float  # seconds


class ZoneHealthTracker:
    """Tracks the health of each zone from one member's own attempts."""

    def __init__(self, window: float, now: float) -> None:
        """`window`: the length of the window in seconds."""
        self.window, self.now = window, now
        self.rotate_at, self.reported_at = now + window / 2, now
        self.zones: dict[str, OutcomeWindow] = {}
        self.pending: dict[Hashable, PendingAttempt] = {}  # oldest first
        self.silent: set[Hashable] = set()  # pending attempts that have waited too long
        self.mean_answer_time, self.answers = 0.0, 0.0  # mean in seconds, over all zones
        self.usual_rates: dict[str, float] = {}  # attempts a second
        self.trials: dict[str, ZoneTrials] = {}

    def _window(self, zone: str) -> OutcomeWindow:
        return self.zones.setdefault(zone, OutcomeWindow())

    def attempt_started(self, attempt: Hashable, zone: str) -> None:
        """Record that an attempt was sent to that zone."""
        self.pending[attempt] = PendingAttempt(zone, self.now)
        self._window(zone).current.begun += 1

    def attempt_ended(self, attempt: Hashable, result: ZoneAttemptResult) -> None:
        """Record the result of an attempt. An unknown attempt is ignored."""
        pending = self.pending.pop(attempt, None)
        if pending is None:
            return
        zone, started_at = pending
        was_silent = attempt in self.silent
        self.silent.discard(attempt)
        window = self._window(zone)
        if result is ZoneAttemptResult.ANSWERED:
            self._record_answer(window, self.now - started_at, was_silent)
        elif result is ZoneAttemptResult.REJECTED:
            window.current.rejected += 1
            window.rejected_at = self.now
        elif result is ZoneAttemptResult.FAILED and not was_silent:
            window.current.failed += 1
            window.add_failure(self.now)
        if zone in self.trials and result in CONCLUSIVE:
            self.trials[zone].add(self.now, result is ZoneAttemptResult.ANSWERED)

    def _record_answer(self, window: OutcomeWindow, duration: float, was_silent: bool) -> None:
        # One mean over all zones, so that a slow zone stands out against the others.
        self.mean_answer_time += (duration - self.mean_answer_time) / min(
            self.answers + 1, MEAN_ANSWER_SAMPLES
        )
        self.answers += 1
        if was_silent:
            window.current.answered_late += 1
        else:
            window.current.answered += 1
        window.add_answer(self.now)

    def follow_plan(self, plan: ZonePlan) -> None:
        """Begin to count trials anew for each zone whose step in the plan has changed."""
        for zone, state in plan.zones.items():
            known = self.trials.get(zone)
            if (known.epoch if known is not None else 0) != state.epoch:
                self.trials[zone] = ZoneTrials(state.epoch)
        for zone in [zone for zone in self.trials if zone not in plan.zones]:
            del self.trials[zone]

    def report(self) -> dict[str, ZoneHealth]:
        """Return the health report of each zone. To be called at least every eighth of a window."""
        self._discount_pause()
        self._find_silent_attempts()
        self._rotate_windows()
        counts = {zone: window.failure_counts() for zone, window in self.zones.items()}
        return {zone: self._zone_health(zone, window, counts) for zone, window in self.zones.items()}

    def _discount_pause(self) -> None:
        """Shift the start of pending attempts, so that a pause of this process does not make them silent."""
        gap, self.reported_at = self.now - self.reported_at, self.now
        if gap > self.window * PAUSE_WINDOWS:
            self.pending = {
                attempt: PendingAttempt(zone, min(started_at + gap, self.now))
                for attempt, (zone, started_at) in self.pending.items()
            }

    def _find_silent_attempts(self) -> None:
        """Count attempts that have waited long as failures.

        Otherwise a zone that does not answer at all would be noticed only after the request timeout.
        """
        if self.answers < MIN_OUTCOMES:
            return
        silent_after = max(SILENT_MULTIPLE * self.mean_answer_time, self.window * SILENT_MIN_WINDOWS)
        for attempt, (zone, started_at) in self.pending.items():
            if started_at > self.now - silent_after:
                break
            if attempt not in self.silent:
                self.silent.add(attempt)
                window = self._window(zone)
                window.current.silent += 1
                window.add_failure(started_at + silent_after)

    def _rotate_windows(self) -> None:
        while self.now >= self.rotate_at:
            self._rotate()
            self.rotate_at += self.window / 2
            if self.rotate_at < self.now - self.window:
                self.rotate_at = self.now + self.window / 2  # after a pause, earlier outcomes do not count

    def _rotate(self) -> None:
        for zone, window in self.zones.items():
            rate = window.current.begun / (self.window / 2)
            usual = self.usual_rates.get(zone)
            # A failing zone, or one with a reduced share, does not receive its usual rate.
            if zone not in self.trials and window.failure_counts().fraction < FAILING_FRACTION:
                self.usual_rates[zone] = (
                    rate if usual is None else usual + (rate - usual) / (2 * USUAL_RATE_WINDOWS)
                )
            window.rotate()

    def _zone_health(
        self, zone: str, window: OutcomeWindow, counts: Mapping[str, FailureCounts]
    ) -> ZoneHealth:
        zone_counts = counts[zone]
        fraction = zone_counts.fraction
        failing = self._is_failing(zone, window, counts)
        rejecting = window.rejected_at > self.now - self.window and window.rejected >= MIN_OUTCOMES
        health = ZoneHealth(
            usual_rate=round(self.usual_rates.get(zone, 0.0), 2),
            rate=round(window.begun / self.window, 2),
            failing=failing,
            failing_fraction=round(max(fraction, FAILING_FRACTION) if failing else fraction, 2),
            rejecting=rejecting,
            conclusive_attempts=round(zone_counts.attempts),
            failures=round(zone_counts.failures),
            consecutive_failures=window.consecutive_failures,
        )
        trials = self.trials.get(zone)
        if trials is not None:
            health.epoch = trials.epoch
            health.trial_successes = trials.successes
            health.trial_failures = trials.failures
            health.recent_trials = list(trials.recent)
        return health

    def _is_failing(self, zone: str, window: OutcomeWindow, counts: Mapping[str, FailureCounts]) -> bool:
        """Return whether to report the zone as failing.

        Without new attempts the zone stays reported as failing for `REPORTED_WINDOWS`.
        """
        fraction = counts[zone].fraction
        fails = self._has_failures(window, counts[zone]) and self._is_zone_specific(zone, window)
        if fails and self._fraction_elsewhere(zone, counts) <= ELSEWHERE_FRACTION * fraction:
            window.failing_until = self.now + REPORTED_WINDOWS * self.window
        elif not window.consecutive_failures and fraction < FAILING_FRACTION:
            window.failing_until = -inf
        # A member that no longer sends attempts to the zone continues to report what it has observed.
        return self.now < window.failing_until

    @staticmethod
    def _has_failures(window: OutcomeWindow, counts: FailureCounts) -> bool:
        # The threshold is low, because a member sends few attempts to zones other than its own; the plan
        # requires the reports of more than half of the weight.
        all_failed = window.consecutive_failures and window.consecutive_failures >= counts.attempts
        many_failed = counts.failures >= MIN_CONSECUTIVE_FAILURES and counts.fraction >= FAILING_FRACTION
        return bool(all_failed or many_failed)

    def _is_zone_specific(self, zone: str, window: OutcomeWindow) -> bool:
        """Return whether the failures are specific to this zone, not those of a fault that all zones share.

        They are if another zone was healthy before this zone's failures began, and has answered since.
        """
        if not window.consecutive_failures:
            return True
        healthy = [
            other
            for name, other in self.zones.items()
            if name != zone and other.healthy_since <= window.failing_since
        ]
        return max((other.answered_at for other in healthy), default=-inf) > window.failing_since

    @staticmethod
    def _fraction_elsewhere(zone: str, counts: Mapping[str, FailureCounts]) -> float:
        """Return the failed fraction of attempts to all other zones; 1 without such attempts."""
        others = [other for name, other in counts.items() if name != zone]
        attempts = sum(other.attempts for other in others)
        return sum(other.failures for other in others) / attempts if attempts else 1.0
