"""The aggregated zone reports of all members. Read-only: decides nothing and does no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..membership import Member
from ..records import ZoneHealth, ZoneReport, ZoneState
from .health import FAILING_FRACTION, MIN_CONSECUTIVE_FAILURES, MIN_OUTCOMES, RECENT_TRIALS, FailureCounts

SIDE_FRACTION = 0.1  # of a zone's weight: if the members inside or outside have less, they are ignored
LOST_FRACTION = 0.8  # of a zone's weight: a zone counts as lost if this much sees only failures
MIN_RATE = 1e-9  # attempts a second, prevents a division by zero


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """The load of one zone, summed over all members."""

    rate: float  # attempts a second
    failing_fraction: float


class SideWeights(NamedTuple):
    """The weights of the members inside or outside a zone, in attempts a second."""

    reaching: float  # of members that send attempts to the zone and have observed it recently
    failing: float  # of those members that report the zone as failing


class TrialCounts(NamedTuple):
    """How the trial attempts to a zone ended, at all members."""

    successes: int
    failures: int

    @property
    def total(self) -> int:
        """The number of trials that have ended."""
        return self.successes + self.failures


@dataclass(frozen=True, slots=True)
class ZoneEvidence:
    """The reports of the members in the view, as of `now`. Times are seconds."""

    reports: Mapping[str, ZoneReport]  # by member
    members: Mapping[str, Member]
    now: float
    window: float  # the health tracker's window
    max_report_age: float  # older reports do not count

    def health_reports(self, zone: str) -> list[ZoneHealth]:
        """Return the zone's health as reported by each member that knows the zone."""
        return [report.zones[zone] for report in self.reports.values() if zone in report.zones]

    def any_failing(self) -> bool:
        """Return whether any member reports any zone as failing."""
        return any(health.failing for report in self.reports.values() for health in report.zones.values())

    def weight(self, member: str, zone: str) -> float:
        """Return the attempts a second that the member usually sends to the zone."""
        health = self.reports[member].zones.get(zone) if member in self.reports else None
        return health.usual_rate if health is not None else 0.0

    def usual_rate(self, zone: str) -> float:
        """Return the attempts a second that all members together usually send to the zone."""
        return sum(self.weight(member, zone) for member in self.reports)

    def loads(self) -> dict[str, ZoneLoad]:
        """Return each zone's current rate of attempts and the fraction of them that fails."""
        reported: dict[str, list[tuple[float, float]]] = {}
        for report in self.reports.values():
            for zone, health in report.zones.items():
                reported.setdefault(zone, []).append((health.rate, health.failing_fraction))
        loads = {}
        for zone, pairs in reported.items():
            rate = sum(rate for rate, _ in pairs)
            failing = sum(rate * fraction for rate, fraction in pairs)
            loads[zone] = ZoneLoad(rate, failing / max(MIN_RATE, rate))
        return loads

    def is_failing(self, zone: str) -> bool:
        """Return whether more than half of the weight on each side of the zone reports it as failing.

        The sides are the members inside and outside the zone; one without enough weight is ignored. Both have
        to agree: if only the members outside see failures, the network between the zones is at fault.
        """
        sides = [self._side_weights(zone, inside) for inside in (False, True)]
        total = sum(side.reaching for side in sides)
        if sum(health.failures for health in self.health_reports(zone)) < MIN_OUTCOMES:
            return False
        agreements = [
            2 * side.failing > side.reaching or self._is_failing_in_total(zone, bool(inside))
            for inside, side in enumerate(sides)
            if side.reaching > SIDE_FRACTION * total
        ]
        return bool(agreements) and all(agreements)

    def _side_weights(self, zone: str, inside: bool) -> SideWeights:
        """Return the weights of the members inside or outside the zone."""
        side = [member.id for member in self.members.values() if (member.zone == zone) == inside]
        reaching = [
            member for member in side if self.weight(member, zone) > 0 and self._has_observed(member, zone)
        ]
        failing = [member for member in reaching if self.reports[member].zones[zone].failing]
        return SideWeights(
            reaching=sum(self.weight(member, zone) for member in reaching),
            failing=sum(self.weight(member, zone) for member in failing),
        )

    def _has_observed(self, member: str, zone: str) -> bool:
        """Return whether the member has observed the zone recently."""
        report = self.reports[member]
        health = report.zones[zone]
        return health.failing or (
            health.conclusive_attempts > 0 and report.at > self.now - self.max_report_age
        )

    def _is_failing_in_total(self, zone: str, inside: bool) -> bool:
        """Return whether the zone fails for most of the zones in which the members of one side run.

        The counts of the members in each of these zones are summed, because a single member may observe too
        few attempts.
        """
        counts_by_zone: dict[str, FailureCounts] = {}  # by the zone in which the members run
        for member, report in self.reports.items():
            member_zone = self.members[member].zone
            is_recent = report.at > self.now - self.window
            if (member_zone == zone) == inside and zone in report.zones and is_recent:
                counts = counts_by_zone.setdefault(member_zone, FailureCounts(0, 0))
                counts.attempts += report.zones[zone].conclusive_attempts
                counts.failures += report.zones[zone].failures
        agreements = [
            counts.failures >= FAILING_FRACTION * counts.attempts
            for counts in counts_by_zone.values()
            if counts.attempts >= 2 * MIN_OUTCOMES
        ]
        return 2 * sum(agreements) > max(1, len(counts_by_zone))

    def is_lost(self, zone: str) -> bool:
        """Return whether nearly all members that observe the zone see nothing but failures."""
        weights = [
            (self.weight(member, zone), report.zones[zone].consecutive_failures >= MIN_CONSECUTIVE_FAILURES)
            for member, report in self.reports.items()
            if zone in report.zones and self._has_observed(member, zone)
        ]
        counts = self.health_reports(zone)
        failures = sum(health.failures for health in counts)
        # If each member has already ejected most of the zone, consecutive failures also occur by chance.
        mostly_failures = failures >= LOST_FRACTION * sum(health.conclusive_attempts for health in counts)
        lost = sum(weight for weight, is_lost in weights if is_lost)
        return mostly_failures and lost >= LOST_FRACTION * sum(weight for weight, _ in weights) > 0

    def is_rejecting(self, zone: str) -> bool:
        """Return whether more than half of the reporting members see the zone reject attempts."""
        return 2 * sum(health.rejecting for health in self.health_reports(zone)) > len(self.reports)

    def trials(self, zone: str, state: ZoneState) -> TrialCounts:
        """Return the trials of all members since the plan's step to `state`."""
        current = [health for health in self.health_reports(zone) if health.epoch == state.epoch]
        return TrialCounts(
            successes=sum(health.trial_successes for health in current),
            failures=sum(health.trial_failures for health in current),
        )

    def recent_trials_succeeded(self, zone: str, state: ZoneState) -> bool:
        """Return whether the last trials of all members succeeded.

        Earlier failures do not count: they may be from before the zone recovered.
        """
        results = sorted(
            result
            for health in self.health_reports(zone)
            if health.epoch == state.epoch
            for result in health.recent_trials
        )
        recent = results[-RECENT_TRIALS:]
        return len(recent) == RECENT_TRIALS and all(success for _, success in recent)
