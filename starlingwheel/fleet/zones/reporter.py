"""Reports this member's zone health to the fleet, and decides when the next report is due."""

from __future__ import annotations

from math import inf

import msgspec

from ..membership import Member
from ..records import MEMBERS_PREFIX, ZONE_REPORTS_PREFIX, Transaction, ZoneHealth, ZoneReport, equal

MIN_REPORT_INTERVAL_LEASES = 1 / 4  # leases: minimum between two reports of a member
FULL_RATE_MEMBERS = 64  # larger fleets report new counts less often, to limit the writes to the store
MAX_REPORT_INTERVAL_LEASES = 4.0  # leases after which an unchanged report is repeated
USUAL_RATE_GROWTH = 2.0  # multiple of the last reported usual rate above which the new rate is reported
USUAL_RATE_MARGIN = 0.1  # attempts a second, added to that threshold


class ZoneReporter:
    """Creates the zone reports of one member. Times are seconds."""

    def __init__(self, member_id: str, lease: float) -> None:
        """`lease`: seconds."""
        self.member_id, self.lease = member_id, lease
        self.reported: dict[str, ZoneHealth] = {}
        self.reported_at = -inf

    def due(
        self, health: dict[str, ZoneHealth], members: dict[str, Member], now: float
    ) -> Transaction | None:
        """Return the transaction that writes a report if one is due, otherwise None.

        A report is due if the observed health differs from the last report, or the last report is old.
        """
        if now < self.reported_at + MIN_REPORT_INTERVAL_LEASES * self.lease or not health:
            return None
        if not self._is_worth_reporting(health, len(members), now):
            return None
        self.reported, self.reported_at = health, now
        is_member = equal(MEMBERS_PREFIX + self.member_id, "CREATE", members[self.member_id].term)
        report = msgspec.json.encode(ZoneReport(now, health))
        return Transaction(
            "zones.said", [is_member], [(ZONE_REPORTS_PREFIX + self.member_id, report)], leased=True
        )

    def _is_worth_reporting(self, health: dict[str, ZoneHealth], member_count: int, now: float) -> bool:
        if now > self.reported_at + MAX_REPORT_INTERVAL_LEASES * self.lease or self._has_new_state(health):
            return True
        interval = MIN_REPORT_INTERVAL_LEASES * self.lease * max(1.0, member_count / FULL_RATE_MEMBERS)
        return now >= self.reported_at + interval and self._has_new_counts(health)

    def _has_new_state(self, health: dict[str, ZoneHealth]) -> bool:
        return _states(health) != _states(self.reported)

    def _has_new_counts(self, health: dict[str, ZoneHealth]) -> bool:
        """Return whether there are failures, new trials, or a usual rate that has grown.

        A usual rate from before there was any traffic would give this member too little weight.
        """
        return (
            any(seen.failing or seen.failures for seen in health.values())
            or any(
                seen.epoch and _trials(seen) != self._reported_trials(zone) for zone, seen in health.items()
            )
            or any(
                seen.usual_rate > USUAL_RATE_GROWTH * self._reported_rate(zone) + USUAL_RATE_MARGIN
                for zone, seen in health.items()
            )
        )

    def _reported_rate(self, zone: str) -> float:
        return self.reported[zone].usual_rate if zone in self.reported else 0.0

    def _reported_trials(self, zone: str) -> tuple[int, int, int]:
        known = self.reported.get(zone)
        return _trials(known) if known is not None else (0, 0, 0)


def _states(health: dict[str, ZoneHealth]) -> dict[str, tuple[bool, bool]]:
    return {zone: (seen.failing, seen.rejecting) for zone, seen in health.items()}


def _trials(health: ZoneHealth) -> tuple[int, int, int]:
    return health.epoch, health.trial_successes, health.trial_failures
