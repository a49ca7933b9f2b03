"""What this member has reported of each zone, and when it reports again."""

from __future__ import annotations

from math import inf

import msgspec

from ..membership import Member
from ..records import MEMBERS_PREFIX, ZONE_REPORTS_PREFIX, Transaction, ZoneHealth, ZoneReport, equal

MIN_REPORT_INTERVAL_LEASES = 1 / 4  # leases between two reports of a member, at least
FULL_RATE_MEMBERS = 64  # members up to which counts alone are reported as often, so that the store copes
MAX_REPORT_INTERVAL_LEASES = 4.0  # leases after which what has not changed is reported again
USUAL_RATE_GROWTH = 2.0  # times the usual rate last reported, from which on a higher one is news
USUAL_RATE_MARGIN = 0.1  # attempts a second, added to that


class ZoneReporter:
    """The reports of one member. Times are seconds."""

    def __init__(self, member_id: str, lease: float) -> None:
        """`lease`: seconds."""
        self.member_id, self.lease = member_id, lease
        self.reported: dict[str, ZoneHealth] = {}
        self.reported_at = -inf

    def due(
        self, health: dict[str, ZoneHealth], members: dict[str, Member], now: float
    ) -> Transaction | None:
        """The next report, where what is seen differs from what was reported; None: not now."""
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

    def _is_worth_reporting(self, health: dict[str, ZoneHealth], members: int, now: float) -> bool:
        if now > self.reported_at + MAX_REPORT_INTERVAL_LEASES * self.lease or self._has_changed(health):
            return True
        interval = MIN_REPORT_INTERVAL_LEASES * self.lease * max(1.0, members / FULL_RATE_MEMBERS)
        return now >= self.reported_at + interval and self._has_news(health)

    def _has_changed(self, health: dict[str, ZoneHealth]) -> bool:
        return _verdicts(health) != _verdicts(self.reported)

    def _has_news(self, health: dict[str, ZoneHealth]) -> bool:
        """Whether there are failures, new trials, or a usual rate that has grown.

        A rate from before there was any work would give this member too little weight.
        """
        return (
            any(seen.failing or seen.failures for seen in health.values())
            or any(seen.epoch and _trials(seen) != self._reported_trials(z) for z, seen in health.items())
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


def _verdicts(health: dict[str, ZoneHealth]) -> dict[str, tuple[bool, bool]]:
    return {zone: (seen.failing, seen.rejecting) for zone, seen in health.items()}


def _trials(health: ZoneHealth) -> tuple[int, int, int]:
    return health.epoch, health.trial_successes, health.trial_failures
