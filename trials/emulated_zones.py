"""A zone of a whole fleet fails and returns, in emulated time: `fleet/zones`, no sockets.

Members pick zones, their own first, and eject one after failures in a row, each alone; with a plan its shares
come on top. Upstreams and clients are modelled plainly: this plays the fleet's decisions, not those of one
sidecar. For comparison, the members can act without a plan, or leave and return with full knowledge.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.records import MEMBERS_PREFIX, StoreRecords, Transaction, ZonePlan
from starlingwheel.fleet.zones.health import ZoneAttemptResult
from starlingwheel.fleet.zones.planner import ZonePlanner, ZoneTraffic

from .emulated.events import EventQueue
from .emulated_store import EmulatedStore
from .emulated_zone_cases import CASES, FAILING, ZONES, Case
from .emulated_zone_member import OBJECTIVE, EmulatedMember

# Seconds:
SERVICE_TIME = 0.08
STEP = 0.05  # between the steps of the fleet
HEDGE_DELAY = 0.3  # after which an idempotent request is sent to another zone too
FAILS_AT, FAILS_FOR, PLAYED_AFTER = 6.0, 8.0, 26.0
REJECTION_TIME = 0.003
ERROR_TIME = 0.005
RATE_WINDOW = 0.5  # that a zone's rate is taken over
WARM_UP = 6.0  # of a zone that comes back cold

RATE = 6.0  # requests a second of a member
NON_IDEMPOTENT_FRACTION = 0.25
COLD_CAPACITY = 0.25  # of its capacity that a cold zone has at first
OVERLOAD_MULTIPLE = 2.0  # times the capacity of a cold zone at which it falls over
MAX_RETRIES = 2
TIMEOUT_FRACTION = 0.9  # of the objective, after which nothing more is sent
SCARCE_CAPACITY = 1.5  # times the usual rate, below which capacities are given in the configuration

PlannerType = Callable[..., ZonePlanner]


class Strategy(StrEnum):
    """How members leave a zone."""

    PLAN = "plan"
    UNCOORDINATED = "alone"
    OMNISCIENT = "known"  # with full knowledge of what fails


class WrittenPlan(NamedTuple):
    """A plan that the coordination store has had."""

    at: float  # seconds
    plan: ZonePlan


@dataclass
class EmulatedRequest:
    """A request of one member's client."""

    member: EmulatedMember
    idempotent: bool
    arrived_at: float
    during_fault: bool
    answered: bool = False


class World:
    """A fleet and its zones, from one seed. Times are seconds."""

    def __init__(
        self,
        seed: int,
        members: int,
        case: Case,
        strategy: Strategy = Strategy.PLAN,
        planner_type: PlannerType = ZonePlanner,
        fails_for: float = FAILS_FOR,
    ) -> None:
        """`strategy`: one of `Strategy`."""
        self.rng, self.case, self.strategy = random.Random(seed), case, strategy
        self.planner_type, self.recovers_at = planner_type, FAILS_AT + fails_for
        self.events = EventQueue()
        self.usual_rate = members * RATE / len(ZONES)
        self.capacities = {zone: case.capacity_multiple * self.usual_rate for zone in ZONES}
        self.configured_capacities = dict(self.capacities) if case.capacity_multiple < SCARCE_CAPACITY else {}
        self.store = EmulatedStore()
        self.members = [EmulatedMember(self, number) for number in range(members)]
        self.store.revision += 1
        for member in self.members:
            entry = Member(member.id, member.id, "", member.zone)
            self.store.put(MEMBERS_PREFIX + member.id, msgspec.json.encode(entry))
        self.records, self.events_seen = StoreRecords(), 0
        self.arrivals: dict[str, list[float]] = {zone: [] for zone in ZONES}
        self.admitted: dict[str, list[float]] = {zone: [] for zone in ZONES}  # those not rejected
        self.lost: list[float] = []  # when attempts were lost to a zone that fails
        self.requests = self.served = self.rejected = 0
        self.requests_during_fault = self.served_during_fault = 0
        self.overloads = 0
        self.plans: list[WrittenPlan] = []
        self.writes = 0

    @property
    def now(self) -> float:
        """Emulated time, seconds."""
        return self.events.now

    # The zones.

    def is_fault_time(self) -> bool:
        """Whether the zones that are hurt fail now."""
        return FAILS_AT <= self.now < self.recovers_at

    def fails(self, zone: str, member: EmulatedMember) -> bool:
        """Whether an attempt of that member fails there now."""
        case = self.case
        if zone not in case.failing_zones or not self.is_fault_time():
            return False
        if case.flap_duration and int((self.now - FAILS_AT) / case.flap_duration) % 2:
            return False
        if case.seen_from and member.zone != case.seen_from:
            return False
        return self.rng.random() < case.failing_fraction

    def rejects(self, zone: str) -> bool:
        """Whether it has more than its capacity. A cold zone falls over instead."""
        admitted = self.admitted[zone]
        capacity, multiple = self.capacities[zone], 1.0
        warm_at = self.recovers_at + WARM_UP
        if self.case.cold and zone in self.case.failing_zones and self.recovers_at <= self.now < warm_at:
            capacity *= COLD_CAPACITY + (1 - COLD_CAPACITY) * (self.now - self.recovers_at) / WARM_UP
            multiple = OVERLOAD_MULTIPLE
        recent = admitted[-int(capacity * multiple) - 8 :]
        rate = sum(at > self.now - RATE_WINDOW for at in recent)
        if multiple > 1 and rate > multiple * capacity / 2:
            self.overloads += 1
        return rate > capacity / 2

    # Requests.

    def arrive(self, member: EmulatedMember) -> None:
        """A request of that member's client."""
        self.events.at(self.now + self.rng.expovariate(RATE), lambda: self.arrive(member))
        self.requests += 1
        during_fault = self.is_fault_time()
        self.requests_during_fault += during_fault
        idempotent = self.rng.random() >= NON_IDEMPOTENT_FRACTION
        self.start_attempt(EmulatedRequest(member, idempotent, self.now, during_fault), "", 0)

    def start_attempt(self, request: EmulatedRequest, excluded: str, retries: int) -> None:
        """Send the request to a zone, unless it is answered or too old."""
        member = request.member
        zone = member.select_zone(excluded)
        if not zone or self.now > request.arrived_at + TIMEOUT_FRACTION * OBJECTIVE or request.answered:
            return
        zone = self._avoid_failing(zone, member)
        attempt = object()
        member.zone_health.now = self.now
        member.zone_health.attempt_started(attempt, zone)
        fails, rejects = self.fails(zone, member), self.rejects(zone)
        self.arrivals[zone].append(self.now)
        if fails or not rejects:
            self.admitted[zone].append(self.now)

        def retry() -> None:
            if retries < MAX_RETRIES:
                self.start_attempt(request, zone, retries + 1)

        def end(result: ZoneAttemptResult) -> None:
            member.zone_health.now = self.now
            member.zone_health.attempt_ended(attempt, result)
            if self._attempt_ended(request, zone, result):
                retry()

        if fails:
            self.lost.append(self.now)
            took = OBJECTIVE if self.case.silent else ERROR_TIME
            self.events.at(self.now + took, lambda: end(ZoneAttemptResult.FAILED))
            if self.case.silent and request.idempotent:
                self.events.at(self.now + HEDGE_DELAY, retry)
        elif rejects:
            self.events.at(self.now + REJECTION_TIME, lambda: end(ZoneAttemptResult.REJECTED))
        else:
            took = SERVICE_TIME * self.rng.lognormvariate(0, 0.4)
            self.events.at(self.now + took, lambda: end(ZoneAttemptResult.ANSWERED))

    def _avoid_failing(self, zone: str, member: EmulatedMember) -> str:
        """The zone itself, or a healthy one where it is known to fail."""
        knows = self.strategy == Strategy.OMNISCIENT and self.case.leaving_helps
        if knows and zone in self.case.failing_zones and self.fails(zone, member):
            return next((healthy for healthy in ZONES if healthy not in self.case.failing_zones), zone)
        return zone

    def _attempt_ended(self, request: EmulatedRequest, zone: str, result: ZoneAttemptResult) -> bool:
        """Count the end of an attempt; whether to retry elsewhere."""
        answered = result is ZoneAttemptResult.ANSWERED
        if result is not ZoneAttemptResult.REJECTED:
            request.member.attempt_ended(zone, answered)
        if answered and not request.answered:
            request.answered = True
            self.served += 1
            self.served_during_fault += request.during_fault
        if result is ZoneAttemptResult.REJECTED:
            self.rejected += 1
            return True
        return result is ZoneAttemptResult.FAILED and request.idempotent and not self.case.silent

    # The plan.

    def step(self) -> None:
        """Have the members read the store and write to it."""
        if self.strategy == Strategy.PLAN:
            self._read_store()
            for member in self.members:
                self._write(member)
        self.events.at(self.now + STEP, self.step)

    def _read_store(self) -> None:
        """All see what was written up to the last step."""
        events = self.store.events
        if self.events_seen == len(events):
            return
        for revision, key, entry in events[self.events_seen :]:
            self.records.revision = revision
            if entry is None:
                self.records.delete(key)
            else:
                self.records.put(key, entry)
        self.events_seen = len(events)
        before = self.plans[-1].plan if self.plans else ZonePlan()
        if self.records.plan is not None and self.records.plan.epoch != before.epoch:
            self.plans.append(WrittenPlan(self.now, self.records.plan))
        snapshot = self.records.copy()
        for member in self.members:
            member.zone_health.now = self.now
            member.zone_planner.update_records(snapshot)

    def _write(self, member: EmulatedMember) -> None:
        if self.now < member.next_write_at:
            return
        member.zone_health.now = self.now
        due = member.zone_planner.due()
        if isinstance(due, Transaction):
            self.writes += 1
            self.store.write(due)
            member.next_write_at = self.now + STEP
        else:
            member.next_write_at = min(due, self.now + OBJECTIVE / 8)

    def simulate(self, after: float = PLAYED_AFTER) -> None:
        """Play until so many seconds after the zones have recovered."""
        for member in self.members:
            self.events.at(self.rng.expovariate(RATE), lambda member=member: self.arrive(member))
        self.events.at(0.0, self.step)
        self.events.run_until(self.recovers_at + after)

    # Verdicts.

    def counts(self) -> dict[str, Any]:
        """What was measured."""
        recovered_at = self.recovers_at
        left = next((at for at, plan in self.plans if plan.zones and at >= FAILS_AT), None)
        complete = next((at for at, plan in self.plans if at > recovered_at and not plan.zones), None)
        usual = sum(FAILS_AT - 3 <= at < FAILS_AT for at in self.arrivals[FAILING]) / 3
        full_share = next(
            (
                t
                for t in range(int(self.now - recovered_at))
                if self._rate(FAILING, recovered_at + t) >= 0.8 * usual
            ),
            None,
        )
        return {
            "served": round(self.served / self.requests, 4),
            "served meanwhile": round(self.served_during_fault / max(1, self.requests_during_fault), 4),
            "lost to the zone": len(self.lost),
            "left after": left and round(left - FAILS_AT, 2),
            "whole after": complete and round(complete - recovered_at, 2),
            "full share after": full_share,
            "plans": len(self.plans),
            "fell": self.overloads,
            "turned away": self.rejected,
            "calls": self.writes,
        }

    def _rate(self, zone: str, at: float) -> int:
        return sum(at <= arrived < at + 1 for arrived in self.arrivals[zone])

    def violations(self) -> list[str]:
        """Promises that were broken."""
        violations = [*self._left_in_vain()]
        if self.overloads:
            violations.append(f"pushed over {self.overloads} times")
        return [*violations, *self._moved_too_much(), *self._returned_too_fast()]

    def _left_in_vain(self) -> Iterable[str]:
        for at, plan in self.plans:
            zones = {zone: state.state for zone, state in plan.zones.items()}
            wrong = [zone for zone in zones if zone not in self.case.failing_zones]
            if wrong or (zones and not self.case.leaving_helps):
                yield f"left where it does not help, at {at:.2f}: {zones}"
                return
            if len(zones) == len(ZONES):
                yield f"all left at {at:.2f}"

    def _moved_too_much(self) -> Iterable[str]:
        """More than the other zones have capacity for."""
        spare = (
            (self.case.capacity_multiple - 1.0)
            * self.usual_rate
            * (len(ZONES) - len(self.case.failing_zones))
        )
        for at, plan in self.plans:
            left = [state for state in plan.zones.values() if state.state == ZoneTraffic.LEFT]
            moved = sum((1 - state.share) * self.usual_rate for state in left)
            if self.case.failing_fraction < 0.8 and moved > 2.0 * spare:
                yield f"at {at:.2f} {moved:.0f} a second are moved, {spare:.0f} is what the others bear"
                return

    def _returned_too_fast(self) -> Iterable[str]:
        """More attempts to a zone that returns than its share of the plan."""
        ends = [*[written.at for written in self.plans], self.now][1:]
        for (at, plan), end in zip(self.plans, ends, strict=True):
            for zone, state in plan.zones.items():
                begin = at + 0.5
                if state.state != ZoneTraffic.RETURNING or end - begin < 0.5:
                    continue
                sent = sum(begin <= arrived < end for arrived in self.arrivals[zone])
                max_sent = state.share * self.usual_rate * (end - begin)
                if sent > 1.5 * max_sent + 4 * max_sent**0.5 + 4:
                    allowed = f"at a share of {state.share:.2f}, {max_sent:.0f} are its part"
                    yield f"{sent} sent to {zone} {allowed}"


@dataclass
class Outcome:
    """What a play has counted, and the promises that it has broken."""

    counts: dict[str, Any]
    violations: list[str]


def simulate(
    seed: int,
    members: int = 30,
    case: str = "hang",
    strategy: Strategy = Strategy.PLAN,
    planner_type: PlannerType = ZonePlanner,
) -> Outcome:
    """Play one case from a seed."""
    world = World(seed, members, CASES[case], strategy, planner_type)
    world.simulate()
    return Outcome(world.counts(), world.violations())
