"""Simulates the failure and recovery of a zone in emulated time: the code of `fleet/zones` without sockets.

Each member prefers its own zone, and ejects a zone after consecutive failures; the shares of the fleet's plan
apply in addition. Upstreams and clients are simple models: the simulation covers the decisions of the fleet,
not those of one sidecar. For comparison, members can act without a plan or with full knowledge of the faults.
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
from .emulated_zone_cases import CASES, FAILING_ZONE, ZONES, Case
from .emulated_zone_member import OBJECTIVE, EmulatedMember

# Times in seconds.
SERVICE_TIME = 0.08
STEP_INTERVAL = 0.05  # between the steps of the fleet
HEDGE_DELAY = 0.3  # after which an idempotent request is also sent to another zone
FAULT_START, FAULT_DURATION, TIME_AFTER_RECOVERY = 6.0, 8.0, 26.0
REJECTION_TIME = 0.003
ERROR_TIME = 0.005
RATE_WINDOW = 0.5  # over which the rate of attempts in a zone is measured
WARM_UP = 6.0  # of a cold zone after its recovery

REQUEST_RATE = 6.0  # per second and member
NON_IDEMPOTENT_FRACTION = 0.25
COLD_CAPACITY = 0.25  # part of its capacity that a cold zone has when it recovers
OVERLOAD_MULTIPLE = 2.0  # of its current capacity, above which a cold zone is overloaded
MAX_RETRIES = 2
TIMEOUT_FRACTION = 0.9  # of the objective, after which no attempt of a request is sent
SCARCE_CAPACITY = 1.5  # multiple of the usual rate, below which the configuration states the capacities

PlannerType = Callable[..., ZonePlanner]


class Strategy(StrEnum):
    """How members decide to leave a zone."""

    PLAN = "plan"
    UNCOORDINATED = "alone"  # each ejects zones by itself
    OMNISCIENT = "known"  # with full knowledge of the faults


class WrittenPlan(NamedTuple):
    """A plan as written to the coordination store, and when members first read it."""

    at: float  # seconds
    plan: ZonePlan


@dataclass
class EmulatedRequest:
    """A request of a client of one member."""

    member: EmulatedMember
    idempotent: bool
    arrived_at: float
    during_fault: bool
    answered: bool = False


class World:
    """A simulated fleet and its zones, driven by one seed. Times are in seconds."""

    def __init__(
        self,
        seed: int,
        members: int,
        case: Case,
        strategy: Strategy = Strategy.PLAN,
        planner_type: PlannerType = ZonePlanner,
        fault_duration: float = FAULT_DURATION,
    ) -> None:
        """Create the members and the store's entries for them; nothing runs yet."""
        self.rng, self.case, self.strategy = random.Random(seed), case, strategy
        self.planner_type, self.recovers_at = planner_type, FAULT_START + fault_duration
        self.events = EventQueue()
        self.usual_rate = members * REQUEST_RATE / len(ZONES)
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
        self.admitted: dict[str, list[float]] = {zone: [] for zone in ZONES}  # attempts not rejected
        self.failed_at: list[float] = []  # when failed attempts were started
        self.requests = self.served = self.rejected = 0
        self.requests_during_fault = self.served_during_fault = 0
        self.overloads = 0  # attempts at an overloaded cold zone
        self.plans: list[WrittenPlan] = []
        self.writes = 0

    @property
    def now(self) -> float:
        """The emulated time in seconds."""
        return self.events.now

    # The zones.

    def is_fault_time(self) -> bool:
        """Return whether the time of the fault has begun and not ended."""
        return FAULT_START <= self.now < self.recovers_at

    def fails(self, zone: str, member: EmulatedMember) -> bool:
        """Return whether an attempt of the member in the zone fails now; this may draw a random number."""
        case = self.case
        if zone not in case.failing_zones or not self.is_fault_time():
            return False
        if case.flap_duration and int((self.now - FAULT_START) / case.flap_duration) % 2:
            return False
        if case.observed_from and member.zone != case.observed_from:
            return False
        return self.rng.random() < case.failing_fraction

    def rejects(self, zone: str) -> bool:
        """Return whether the zone rejects an attempt, and count the overload of a cold zone."""
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
        """Start a request of the member's client, and schedule the next one."""
        self.events.schedule(self.now + self.rng.expovariate(REQUEST_RATE), lambda: self.arrive(member))
        self.requests += 1
        during_fault = self.is_fault_time()
        self.requests_during_fault += during_fault
        idempotent = self.rng.random() >= NON_IDEMPOTENT_FRACTION
        self.start_attempt(EmulatedRequest(member, idempotent, self.now, during_fault), "", 0)

    def start_attempt(self, request: EmulatedRequest, excluded: str, retries: int) -> None:
        """Send the request to a zone, unless it is answered or too old, or no zone is usable."""
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
            self.failed_at.append(self.now)
            took = OBJECTIVE if self.case.silent else ERROR_TIME
            self.events.schedule(self.now + took, lambda: end(ZoneAttemptResult.FAILED))
            if self.case.silent and request.idempotent:
                self.events.schedule(self.now + HEDGE_DELAY, retry)
        elif rejects:
            self.events.schedule(self.now + REJECTION_TIME, lambda: end(ZoneAttemptResult.REJECTED))
        else:
            took = SERVICE_TIME * self.rng.lognormvariate(0, 0.4)
            self.events.schedule(self.now + took, lambda: end(ZoneAttemptResult.ANSWERED))

    def _avoid_failing(self, zone: str, member: EmulatedMember) -> str:
        """Return the zone, or a healthy one if the strategy is to know that the attempt would fail."""
        knows = self.strategy == Strategy.OMNISCIENT and self.case.leaving_helps
        if knows and zone in self.case.failing_zones and self.fails(zone, member):
            return next((healthy for healthy in ZONES if healthy not in self.case.failing_zones), zone)
        return zone

    def _attempt_ended(self, request: EmulatedRequest, zone: str, result: ZoneAttemptResult) -> bool:
        """Count the end of an attempt, and return whether to retry in another zone."""
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
        """Let the members read the store and write to it, and schedule the next step."""
        if self.strategy == Strategy.PLAN:
            self._read_store()
            for member in self.members:
                self._write(member)
        self.events.schedule(self.now + STEP_INTERVAL, self.step)

    def _read_store(self) -> None:
        """Update all members with what was written to the store since the last step."""
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
            member.next_write_at = self.now + STEP_INTERVAL
        else:
            member.next_write_at = min(due, self.now + OBJECTIVE / 8)

    def simulate(self, time_after_recovery: float = TIME_AFTER_RECOVERY) -> None:
        """Run until `time_after_recovery` seconds after the zones have recovered."""
        for member in self.members:
            self.events.schedule(
                self.rng.expovariate(REQUEST_RATE), lambda member=member: self.arrive(member)
            )
        self.events.schedule(0.0, self.step)
        self.events.run_until(self.recovers_at + time_after_recovery)

    # Results.

    def counts(self) -> dict[str, Any]:
        """Return the measured figures."""
        recovered_at = self.recovers_at
        left = next((at for at, plan in self.plans if plan.zones and at >= FAULT_START), None)
        complete = next((at for at, plan in self.plans if at > recovered_at and not plan.zones), None)
        usual = sum(FAULT_START - 3 <= at < FAULT_START for at in self.arrivals[FAILING_ZONE]) / 3
        full_share = next(
            (
                t
                for t in range(int(self.now - recovered_at))
                if self._rate(FAILING_ZONE, recovered_at + t) >= 0.8 * usual
            ),
            None,
        )
        return {
            "served": round(self.served / self.requests, 4),
            "served meanwhile": round(self.served_during_fault / max(1, self.requests_during_fault), 4),
            "lost to the zone": len(self.failed_at),
            "left after": left and round(left - FAULT_START, 2),
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
        """Return the violated guarantees."""
        violations = [*self._check_left_zones()]
        if self.overloads:
            violations.append(f"a cold zone was overloaded by {self.overloads} attempts")
        return [*violations, *self._check_moved_traffic(), *self._check_returning_traffic()]

    def _check_left_zones(self) -> Iterable[str]:
        """Yield a violation for each plan that leaves all zones, and for the first needless leave."""
        for at, plan in self.plans:
            zones = {zone: state.state for zone, state in plan.zones.items()}
            wrong = [zone for zone in zones if zone not in self.case.failing_zones]
            if wrong or (zones and not self.case.leaving_helps):
                yield f"at {at:.2f} zones were left although that does not help: {zones}"
                return
            if len(zones) == len(ZONES):
                yield f"all zones were left at {at:.2f}"

    def _check_moved_traffic(self) -> Iterable[str]:
        """Yield a violation if a plan moves more traffic than the other zones have capacity for."""
        spare = (
            (self.case.capacity_multiple - 1.0)
            * self.usual_rate
            * (len(ZONES) - len(self.case.failing_zones))
        )
        for at, plan in self.plans:
            left = [state for state in plan.zones.values() if state.state == ZoneTraffic.LEFT]
            moved = sum((1 - state.share) * self.usual_rate for state in left)
            if self.case.failing_fraction < 0.8 and moved > 2.0 * spare:
                yield f"at {at:.2f} {moved:.0f} requests/s are moved, the others can take {spare:.0f}"
                return

    def _check_returning_traffic(self) -> Iterable[str]:
        """Yield a violation for each returning zone that gets more attempts than its share in a plan."""
        ends = [*[written.at for written in self.plans], self.now][1:]
        for (at, plan), end in zip(self.plans, ends, strict=True):
            for zone, state in plan.zones.items():
                begin = at + 0.5
                if state.state != ZoneTraffic.RETURNING or end - begin < 0.5:
                    continue
                sent = sum(begin <= arrived < end for arrived in self.arrivals[zone])
                max_sent = state.share * self.usual_rate * (end - begin)
                if sent > 1.5 * max_sent + 4 * max_sent**0.5 + 4:
                    expected = f"{max_sent:.0f} were expected at a share of {state.share:.2f}"
                    yield f"{sent} attempts were sent to {zone}, but {expected}"


@dataclass
class Outcome:
    """The figures of a simulation, and the guarantees that were violated."""

    counts: dict[str, Any]
    violations: list[str]


def simulate(
    seed: int,
    members: int = 30,
    case: str = "hang",
    strategy: Strategy = Strategy.PLAN,
    planner_type: PlannerType = ZonePlanner,
) -> Outcome:
    """Simulate one case from a seed."""
    world = World(seed, members, CASES[case], strategy, planner_type)
    world.simulate()
    return Outcome(world.counts(), world.violations())
