"""Moves traffic away from a failing zone or region, by one plan for the whole fleet, and back in steps.

Each member tracks the outcomes of its own attempts to each zone over a short window, and reports to the
coordination store which zones fail while others are healthy. A zone counts as failing if more than half of
the weight that reaches it from outside, and more than half from inside, report it: a partition between two
zones, a fault of some members or a fault that all zones share does not remove a zone. The plan is one record
of the store, with a share for each zone that does not receive all of its traffic. Any member may write the
next plan, by compare-and-swap.

A zone that was left receives a small share of trial traffic. Once the trials succeed, its share doubles step
by step as long as its attempts succeed, and drops again when they fail. Each failed return doubles the pause
before the next one.

`ZonePlanner` is one member's part of this. It does no I/O: the host sets the tracker's `now`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from math import inf
from typing import NamedTuple, Protocol

import msgspec

from ..records import ZONE_PLAN_KEY, StoreRecords, Transaction, ZonePlan, ZoneReport, ZoneState, equal
from ..turns import WriteTurns
from .capacity import ZoneCapacities
from .evidence import ZoneEvidence, ZoneLoad
from .failing import FailingZones
from .health import (
    ELSEWHERE_FRACTION,
    FAILING_FRACTION,
    MIN_OUTCOMES,
    RECENT_TRIALS,
    ZoneHealthTracker,
)
from .reporter import MAX_REPORT_INTERVAL_LEASES, ZoneReporter

TRIAL_SHARE = 1 / 20  # of the traffic of a zone that was left
FIRST_RETURN_SHARE = 1 / 8
RETURN_SHARE_FACTOR = 2.0  # factor of the share with each successful step
RETURN_STEP_LEASES = 1 / 2
EJECTION_LIFT_LEASES = 1 / 2  # leases after which the host's own ejections in a left zone are lifted
MIN_PAUSE_LEASES = 1.0  # leases: minimum time for which a zone is left, doubled with each failed return
MAX_PAUSE_LEASES = 64.0
RECENT_PLAN_LEASES = 8.0  # leases for which other members may still use the shares of a former plan
WRITE_DELAY_LEASES = 1 / 32  # leases that each member waits for the previous one to write a plan
MAX_WRITE_DELAYS = 16  # write delays that a member waits at most
REMEMBERED_EPOCHS = 8  # plans whose write delays are kept
EVALUATION_WINDOWS = 1 / 16  # windows: minimum between two evaluations of all reports
POLL_WINDOWS = 1 / 8  # windows after which the planner needs to be called again


class ZoneTraffic(StrEnum):
    """The state of a zone in the plan."""

    LEFT = "left"
    RETURNING = "returning"
    HELD = "held"


class FormerShares(NamedTuple):
    """The shares of a former plan that other members may still follow."""

    until: float  # time in seconds when another plan replaced it
    shares: dict[str, float]  # by zone


class ZoneHost(Protocol):
    """The operations that the planner needs from the process that it runs in."""

    def set_zone_shares(self, shares: Mapping[str, float], returning: Iterable[str]) -> None:
        """Set the fraction of its attempts that each zone receives; 1 for a zone that is not named.

        `returning`: zones that return. The earlier ejections of their endpoints are to be lifted.
        """

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line to the log."""


class ZonePlanner:
    """One member's part of the fleet's zone plan."""

    def __init__(
        self,
        member_id: str,
        lease: float,
        regions: Mapping[str, str],
        capacities: Mapping[str, float],
        host: ZoneHost,
        zone_health: ZoneHealthTracker,
    ) -> None:
        """`lease`: seconds. `regions`: by zone. `capacities`: attempts a second by zone, where configured."""
        self.member_id, self.lease = member_id, lease
        self.failing_zones = FailingZones(regions, zone_health.window)
        self.capacities = ZoneCapacities(capacities, zone_health.window)
        self.host, self.zone_health = host, zone_health
        self.reporter = ZoneReporter(member_id, lease)
        self.records = StoreRecords()
        self.plan = ZonePlan()
        self.plan_revision = 0
        self.reports: dict[str, ZoneReport] = {}  # the reports of all members
        self.evidence = self._collect_evidence()
        self.turns = WriteTurns(WRITE_DELAY_LEASES * lease, MAX_WRITE_DELAYS, REMEMBERED_EPOCHS)
        self.recent_shares: list[FormerShares] = []
        self.lease_expired = False
        self.lift_ejections_at, self.evaluate_at = inf, -inf

    # Input from the host.

    def configure(self, regions: Mapping[str, str], capacities: Mapping[str, float]) -> None:
        """Replace the configuration; see `__init__`."""
        self.failing_zones.regions = dict(regions)
        self.capacities.configured = dict(capacities)

    @property
    def now(self) -> float:
        """The time in seconds, as set by the host."""
        return self.zone_health.now

    def update_records(self, records: StoreRecords) -> None:
        """Apply the records of the coordination store."""
        self.records = records
        if records.plan_revision != self.plan_revision:
            self.plan_revision = records.plan_revision
            self._adopt_plan(records.plan or ZonePlan())

    def _adopt_plan(self, plan: ZonePlan) -> None:
        before, self.plan = self.plan, plan
        self.zone_health.follow_plan(plan)
        self.recent_shares.append(FormerShares(self.now, _shares_of(before)))
        returning = [
            name
            for name, zone in before.zones.items()
            if zone.state == ZoneTraffic.LEFT
            and (name not in plan.zones or plan.zones[name].state == ZoneTraffic.RETURNING)
        ]
        self._apply_shares(returning)
        self.lift_ejections_at = self.now + EJECTION_LIFT_LEASES * self.lease
        for name in sorted(plan.zones.keys() | before.zones.keys()):
            if plan.zones.get(name) != before.zones.get(name):
                self._log_zone(name, plan.zones.get(name))

    def _log_zone(self, name: str, zone: ZoneState | None) -> None:
        if zone is None:
            self.host.log_event("zone.plan", zone=name, state="whole", share=1.0, reason="")
        else:
            share = round(zone.share, 3)
            self.host.log_event("zone.plan", zone=name, state=zone.state, share=share, reason=zone.reason)

    def set_leased(self, leased: bool) -> None:
        """Record whether our lease is valid: without it, a plan that we do not know may be in force."""
        if leased == self.lease_expired:
            self.lease_expired = not leased
            self._apply_shares([])

    def _apply_shares(self, returning: Iterable[str]) -> None:
        """Pass the shares of the plan to the host, or the lowest of recent plans while our lease is expired.

        A member with an outdated plan then sends no more to a zone than the others do.
        """
        shares = _shares_of(self.plan)
        oldest = self.now - RECENT_PLAN_LEASES * self.lease
        self.recent_shares = [former for former in self.recent_shares if former.until > oldest]
        if self.lease_expired:
            for former in self.recent_shares:
                names = shares | former.shares
                shares = {name: min(shares.get(name, 1.0), former.shares.get(name, 1.0)) for name in names}
        self.host.set_zone_shares(shares, returning)

    # Transactions for the store.

    def due(self) -> Transaction | float:
        """Return the transaction to write now, or when to call again."""
        if self.member_id not in self.records.members:
            return inf
        self._lift_ejections()
        report = self.reporter.due(self.zone_health.report(), self.records.members, self.now)
        return report if report is not None else self.plan_next()

    def _lift_ejections(self) -> None:
        """Lift ejections in zones that were left, so that trials reach them; the share limits the trials."""
        left_zones = [
            name
            for name, zone in self.plan.zones.items()
            if zone.state == ZoneTraffic.LEFT and zone.share <= TRIAL_SHARE
        ]
        if left_zones and self.now >= self.lift_ejections_at:
            self.lift_ejections_at = self.now + EJECTION_LIFT_LEASES * self.lease
            self._apply_shares(left_zones)

    def plan_next(self) -> Transaction | float:
        """Return the transaction that writes the next plan if one is needed, or when to call again."""
        # Limits the rate of evaluations: the reports of a large fleet are not evaluated for each new one.
        if self.now < self.evaluate_at:
            return self.evaluate_at
        self.evaluate_at = self.now + self.zone_health.window * EVALUATION_WINDOWS
        members = self.records.members
        self.reports = {
            member: report for member, report in self.records.zone_reports.items() if member in members
        }
        self.evidence = self._collect_evidence()
        self.capacities.measure(self.now, self.evidence)
        poll_at = self.now + self.zone_health.window * POLL_WINDOWS
        if not self.plan.zones and not self.evidence.any_failing():
            return poll_at
        loads = self.evidence.loads()
        epoch = self.plan.epoch + 1
        zones, next_change_at = self._next_states(epoch, loads)
        zones |= self._zones_to_leave(zones, epoch, loads)
        capacities = self.capacities.observed_capacities(self.plan, zones, self.evidence)
        if zones == self.plan.zones and capacities == self.plan.capacities:
            return min(next_change_at, poll_at)
        return self._write_in_turn(ZonePlan(epoch, zones, capacities))

    def _collect_evidence(self) -> ZoneEvidence:
        # Twice the interval of reports, so that a side is not missing between two reports.
        max_age = 2 * MAX_REPORT_INTERVAL_LEASES * self.lease
        return ZoneEvidence(self.reports, self.records.members, self.now, self.zone_health.window, max_age)

    # State changes of zones that are in the plan.

    def _next_states(self, epoch: int, loads: Mapping[str, ZoneLoad]) -> tuple[dict[str, ZoneState], float]:
        """Return the next state of the zones in the plan, and the earliest time at which one may change."""
        zones, next_change_at = {}, inf
        for name, zone in self.plan.zones.items():
            next_state = zone if zone.by_operator else self._next_state(name, zone, epoch, loads)
            if next_state is not None:
                zones[name] = next_state
            if next_state is zone and not zone.by_operator and self.now < zone.next_change_at:
                next_change_at = min(next_change_at, zone.next_change_at)
        return zones, next_change_at

    def _next_state(
        self, name: str, zone: ZoneState, epoch: int, loads: Mapping[str, ZoneLoad]
    ) -> ZoneState | None:
        """Return the next state of a zone: `zone` itself if unchanged, None if it gets all of its traffic."""
        if zone.state == ZoneTraffic.LEFT:
            return self._next_state_if_left(name, zone, epoch)
        if zone.state == ZoneTraffic.RETURNING:
            return self._next_state_if_returning(name, zone, epoch, loads)
        return zone

    def _next_state_if_left(self, name: str, zone: ZoneState, epoch: int) -> ZoneState:
        if zone.share > TRIAL_SHARE and self.evidence.is_lost(name) and self._is_failing(name):
            return self._left_state(name, zone.failed_returns, TRIAL_SHARE, epoch, "all attempts fail")
        if self.now >= zone.next_change_at and self._may_return(name, zone):
            return self._returning_state(zone, max(FIRST_RETURN_SHARE, zone.share), epoch, "trials succeed")
        return zone

    def _next_state_if_returning(
        self, name: str, zone: ZoneState, epoch: int, loads: Mapping[str, ZoneLoad]
    ) -> ZoneState | None:
        if self._return_fails(name, zone):
            moved = self._moved_fraction(name, [name], loads)
            return self._left_state(name, zone.failed_returns + 1, 1 - moved, epoch, "the return failed")
        if self.now < zone.next_change_at:
            return zone
        if zone.share * RETURN_SHARE_FACTOR >= 1:
            return None
        if self._return_succeeds(name, zone):
            return self._returning_state(zone, zone.share * RETURN_SHARE_FACTOR, epoch, "attempts succeed")
        return zone

    def _returning_state(self, zone: ZoneState, share: float, epoch: int, reason: str) -> ZoneState:
        until = self.now + RETURN_STEP_LEASES * self.lease
        return ZoneState(
            share, ZoneTraffic.RETURNING, epoch, self.now, until, reason, zone.failed_returns, zone.region
        )

    def _left_state(self, name: str, failed_returns: int, share: float, epoch: int, reason: str) -> ZoneState:
        until = self.now + min(MIN_PAUSE_LEASES * 2**failed_returns, MAX_PAUSE_LEASES) * self.lease
        share, region = max(share, TRIAL_SHARE), self.failing_zones.regions.get(name, "")
        return ZoneState(share, ZoneTraffic.LEFT, epoch, self.now, until, reason, failed_returns, region)

    def _may_return(self, name: str, zone: ZoneState) -> bool:
        """Return whether the zone's trials succeeded, and no zone of its region is still in its pause."""
        same_region = [
            other for other in self.plan.zones.values() if zone.region and other.region == zone.region
        ]
        paused = any(
            other.state == ZoneTraffic.LEFT and self.now < other.next_change_at for other in same_region
        )
        return not paused and self.evidence.recent_trials_succeeded(name, zone)

    def _return_succeeds(self, name: str, zone: ZoneState) -> bool:
        trials = self.evidence.trials(name, zone)
        max_failures = FAILING_FRACTION * ELSEWHERE_FRACTION * trials.total
        return trials.successes >= RECENT_TRIALS and trials.failures <= max_failures

    def _return_fails(self, name: str, zone: ZoneState) -> bool:
        trials = self.evidence.trials(name, zone)
        return trials.failures >= MIN_OUTCOMES and trials.failures >= FAILING_FRACTION * trials.total

    # Zones to be left.

    def _zones_to_leave(
        self, zones: Mapping[str, ZoneState], epoch: int, loads: Mapping[str, ZoneLoad]
    ) -> dict[str, ZoneState]:
        """Return the state of zones to leave now, including the rest of a region in which most zones fail."""
        agreed = {name for name in loads if name not in zones and self._is_failing(name)}
        failing = self.failing_zones.zones_to_leave(agreed, zones, loads, self.now)
        moved = {name: self._moved_fraction(name, failing, loads) for name in failing}
        return {
            name: self._left_state(name, 0, 1 - fraction, epoch, f"{loads[name].failing_fraction:.0%} fails")
            for name, fraction in moved.items()
            if fraction > 0
        }

    def _is_failing(self, zone: str) -> bool:
        """Return whether the members agree that the zone fails."""
        return self.evidence.is_failing(zone)

    def _moved_fraction(self, name: str, failing: list[str], loads: Mapping[str, ZoneLoad]) -> float:
        """Return the fraction of a zone's traffic to move: all if it is lost, else what others can take."""
        if self.evidence.is_lost(name):
            return 1.0
        needed = sum(self.evidence.usual_rate(zone) for zone in failing)
        return min(1.0, self.capacities.spare_capacity(failing, self.plan, loads) / needed) if needed else 0.0

    # Writes of the plan.

    def _write_in_turn(self, plan: ZonePlan) -> Transaction | float:
        """Return the transaction if it is this member's turn to write the plan, or when its turn comes.

        Any member may write the plan. The members take turns, so that they do not all write at once.
        """
        members = sorted(self.records.members)
        turn = (members.index(self.member_id) + plan.epoch) % len(members)
        write_at = self.turns.write_at(plan.epoch, turn, self.now)
        return write_at if self.now < write_at else self._write_plan(plan)

    def _write_plan(self, plan: ZonePlan) -> Transaction:
        conditions = [equal(ZONE_PLAN_KEY, "MOD", self.plan_revision)]
        return Transaction("zones.plan", conditions, [(ZONE_PLAN_KEY, msgspec.json.encode(plan))])

    # Commands of operators.

    def leave_zone(self, name: str, reason: str) -> Transaction:
        """Send no traffic to the zone until an operator begins its return."""
        state = self._left_state(name, 0, TRIAL_SHARE, self.plan.epoch + 1, reason)
        return self._write_zone(name, msgspec.structs.replace(state, share=0.0, by_operator=True))

    def hold_zone(self, name: str, reason: str) -> Transaction:
        """Hold the zone at its current share."""
        epoch = self.plan.epoch + 1
        zone = self.plan.zones.get(name)
        zone = zone or ZoneState(1.0, ZoneTraffic.HELD, epoch, self.now, inf, reason)
        held = msgspec.structs.replace(
            zone,
            state=ZoneTraffic.HELD,
            epoch=epoch,
            reason=reason,
            by_operator=True,
            next_change_at=self.now,
        )
        return self._write_zone(name, held)

    def begin_return(self, name: str, reason: str) -> Transaction | None:
        """Begin the stepwise return of a zone; None if it is not in the plan."""
        zone = self.plan.zones.get(name)
        if zone is None:
            return None
        returning = self._returning_state(zone, FIRST_RETURN_SHARE, self.plan.epoch + 1, reason)
        return self._write_zone(name, msgspec.structs.replace(returning, failed_returns=0, by_operator=False))

    def _write_zone(self, name: str, zone: ZoneState) -> Transaction:
        zones = self.plan.zones | {name: zone}
        return self._write_plan(ZonePlan(self.plan.epoch + 1, zones, self.plan.capacities))


def _shares_of(plan: ZonePlan) -> dict[str, float]:
    return {name: zone.share for name, zone in plan.zones.items()}
