"""The host of the fleet's plan for zones: what it sees of hand-offs, and what the decisions are told."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from math import inf
from typing import Any

import msgspec

from ...decisions.model import AttemptOutcome
from ...decisions.scheduler import DecisionScheduler
from ...fleet.config import ZonesConfig
from ...fleet.records import StoreRecords, Transaction
from ...fleet.zones.planner import WINDOW, ZoneHealthTracker, ZonePlanner

HOW = {
    AttemptOutcome.SUCCESS: "good",
    AttemptOutcome.ERROR: "bad",
    AttemptOutcome.RESET: "bad",
    AttemptOutcome.CONNECT_FAILED: "bad",
    AttemptOutcome.TIMED_OUT: "bad",
    AttemptOutcome.REJECTED: "full",
}


class ZoneController:
    """The door of `Planning`. Without a `zones` part it sees nothing and plans nothing."""

    def __init__(
        self,
        member_id: str,
        lease: float,
        part: ZonesConfig | None,
        shortest: float,
        now: float,
        runner: Callable[[], DecisionScheduler],
        log: Callable[..., None],
    ) -> None:
        """`shortest`: the shortest due time, seconds."""
        self.runner, self.log = runner, log
        self.zone_health = ZoneHealthTracker(WINDOW * shortest, now)
        part_ = part or ZonesConfig()
        self.zone_planner = ZonePlanner(member_id, lease, part_.regions, part_.bears, self, self.zone_health)
        self.on = part is not None

    def plan_by(self, part: ZonesConfig | None) -> None:
        """What the policy says of zones, from now on."""
        if part is not None:
            self.zone_planner.regions, self.zone_planner.bears = dict(part.regions), dict(part.bears)
        if self.on and part is None:
            self.shares({}, [])
        self.on = part is not None

    # What the host tells.

    def began(self, exchange: Any, zone: str, now: float) -> None:
        if self.on:
            self.zone_health.now = now
            self.zone_health.began(exchange, zone)

    def ended(self, exchange: Any, fate: AttemptOutcome, now: float) -> None:
        if self.on:
            self.zone_health.now = now
            self.zone_health.ended(exchange, HOW.get(fate, "none"))

    def recorded(self, records: StoreRecords, now: float) -> None:
        if self.on:
            self.zone_health.now = now
            self.zone_planner.recorded(records)

    def due(self, now: float, leased: bool) -> Transaction | float:
        """What is to be written at the arbiter, or when to ask again."""
        if not self.on:
            return inf
        self.zone_health.now = now
        self.zone_planner.hears(leased)
        return self.zone_planner.due()

    def told(self) -> dict[str, Any]:
        """For operators."""
        zone_planner = self.zone_planner
        return {
            "plan": msgspec.to_builtins(zone_planner.plan),
            "seen": msgspec.to_builtins(self.zone_health.look()) if self.on else {},
            "said": {
                zone_planner.records.members[member].name: msgspec.to_builtins(said.zones)
                for member, said in zone_planner.said.items()
                if member in zone_planner.records.members  # it may have gone since
            },
            "most": zone_planner.most,
            "cut_off": zone_planner.cut_off,
        }

    # The door.

    def shares(self, shares: Mapping[str, float], back: Iterable[str]) -> None:
        self.runner().set_zone_shares(shares, back)

    def note(self, event: str, **fields: Any) -> None:
        self.log(event, **fields)
