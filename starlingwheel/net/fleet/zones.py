"""Runs the fleet's zone plan in a sidecar: passes it the results of attempts, and applies zone shares."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Mapping
from math import inf

from ...decisions.model import AttemptOutcome
from ...decisions.scheduler import DecisionScheduler
from ...fleet.config import ZonesConfig
from ...fleet.records import StoreRecords, Transaction
from ...fleet.zones.health import WINDOW_OBJECTIVES, ZoneAttemptResult, ZoneHealthTracker
from ...fleet.zones.planner import ZonePlanner
from .reports import ZonesReport

RESULT_BY_OUTCOME = {
    AttemptOutcome.SUCCESS: ZoneAttemptResult.ANSWERED,
    AttemptOutcome.ERROR: ZoneAttemptResult.FAILED,
    AttemptOutcome.RESET: ZoneAttemptResult.FAILED,
    AttemptOutcome.CONNECT_FAILED: ZoneAttemptResult.FAILED,
    AttemptOutcome.TIMED_OUT: ZoneAttemptResult.FAILED,
    AttemptOutcome.REJECTED: ZoneAttemptResult.REJECTED,
}


class ZoneController:
    """The host of `ZonePlanner`. Inactive unless the configuration has a `zones` part."""

    def __init__(
        self,
        member_id: str,
        lease: float,
        config: ZonesConfig | None,
        shortest_objective: float,
        now: float,
        scheduler: Callable[[], DecisionScheduler],
        log: Callable[..., None],
    ) -> None:
        """`lease` and `shortest_objective`, the shortest latency objective, are in seconds."""
        self.scheduler, self.log = scheduler, log
        self.zone_health = ZoneHealthTracker(WINDOW_OBJECTIVES * shortest_objective, now)
        self.enabled = config is not None
        config = config or ZonesConfig()
        self.zone_planner = ZonePlanner(
            member_id, lease, config.regions, config.capacities, self, self.zone_health
        )

    def configure(self, config: ZonesConfig | None) -> None:
        """Apply the zones part of the policy in force; None: it has none."""
        if config is not None:
            self.zone_planner.configure(config.regions, config.capacities)
        if self.enabled and config is None:
            self.set_zone_shares({}, [])
        self.enabled = config is not None

    # Input from the sidecar.

    def attempt_started(self, exchange: Hashable, zone: str, now: float) -> None:
        """Record that an attempt was sent to that zone."""
        if self.enabled:
            self.zone_health.now = now
            self.zone_health.attempt_started(exchange, zone)

    def attempt_ended(self, exchange: Hashable, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome of an attempt."""
        if self.enabled:
            self.zone_health.now = now
            self.zone_health.attempt_ended(
                exchange, RESULT_BY_OUTCOME.get(outcome, ZoneAttemptResult.INCONCLUSIVE)
            )

    def update_records(self, records: StoreRecords, now: float) -> None:
        """Apply the records of the coordination store."""
        if self.enabled:
            self.zone_health.now = now
            self.zone_planner.update_records(records)

    def due(self, now: float, leased: bool) -> Transaction | float:
        """Return the transaction to write to the coordination store, or when to call again."""
        if not self.enabled:
            return inf
        self.zone_health.now = now
        self.zone_planner.set_leased(leased)
        return self.zone_planner.due()

    def status(self) -> ZonesReport:
        """Return the report of the plan for operators, with the observations it is based on."""
        planner = self.zone_planner
        members = planner.records.members
        return ZonesReport(
            plan=planner.plan,
            seen=self.zone_health.report() if self.enabled else {},
            reports={
                members[member].name: report.zones
                for member, report in planner.reports.items()
                if member in members  # a member may have left after its report
            },
            healthy_rates=planner.capacities.healthy_rates,
            lease_expired=planner.lease_expired,
        )

    # Output of the planner.

    def set_zone_shares(self, shares: Mapping[str, float], returning: Iterable[str]) -> None:
        """Set the fraction of its attempts that each zone receives; see `ZoneHost`."""
        self.scheduler().set_zone_shares(shares, returning)

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line to the log."""
        self.log(event, **fields)
