"""Simulates policy changes of a whole fleet in emulated time: the code of `fleet/policy` without sockets.

All members run in one process, each with its own clock. They crash and restart with or without their stored
state, pause, and lose their connections to the coordination store and to each other; the store becomes
unreachable, and replies to applied writes are lost. Each time a member could accept requests, the simulation
records under which policy and when.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, fields
from math import inf
from typing import NamedTuple

from starlingwheel.fleet.policy.document import PolicyBody
from starlingwheel.fleet.policy.host import StoredPolicy
from starlingwheel.fleet.policy.replica import DEFAULT_SWITCH_DELAY, PolicyReplica
from starlingwheel.fleet.records import MEMBERS_PREFIX, PROPOSAL_KEY, Policy

from .emulated_member import LEASE, MAX_SKEW, STEP_INTERVAL, EmulatedMember
from .emulated_store import EmulatedStore

EXPIRY_INTERVAL = 0.05  # seconds between checks for expired leases
FIRST_CHANGE_AT = 3.0  # seconds, when the first change may be proposed

ReplicaType = Callable[..., PolicyReplica]


@dataclass
class FaultRates:
    """Rate of each fault in the whole fleet, per second, and the maximum duration of a fault."""

    crash: float = 0.3
    crash_without_file: float = 0.1  # a crash that loses the stored state
    pause: float = 0.4
    store_cut: float = 0.3  # a member cannot reach the store
    watch_stall: float = 0.3  # a member's watch delivers nothing, while its lease is renewed
    link_cut: float = 0.15  # two members cannot reach each other
    partition: float = 0.1  # some members cannot reach the others and the store
    store_outage: float = 0.08
    entry_loss: float = 0.1  # a member's entry in the store is deleted
    max_duration: float = 10.0  # seconds, of a fault


NO_FAULTS = FaultRates(*[0.0] * (len(fields(FaultRates)) - 1))


@dataclass(frozen=True)
class PolicyOutcome:
    """The counts of a simulation, and the guarantees that were violated."""

    decided: int
    proposed: int
    requests_accepted: int
    unavailable: int  # how often a member could not know which policy was in force
    statuses_sent: int
    store_calls: int
    is_proposal_open: bool
    violations: list[str]


class ScheduledAction(NamedTuple):
    """An action and its time in seconds; `number` orders the actions of the same time."""

    when: float
    number: int
    action: Callable[[], object]


class PolicyKey(NamedTuple):
    """A member and the policy that it served under."""

    member: str
    version: int
    digest: str


class ServedSpan(NamedTuple):
    """The first and last time at which a member accepted requests under a policy."""

    first: float
    last: float


class World:
    """A simulated fleet with its store and links, driven by one seed. Times are in seconds."""

    def __init__(
        self, seed: int, members: int = 8, replica_type: ReplicaType = PolicyReplica, trace: bool = False
    ) -> None:
        """Start the members; `trace` prints their log events."""
        self.rng, self.replica_type, self.trace = random.Random(seed), replica_type, trace
        self.now, self.started, self.statuses_sent = 0.0, 0, 0
        self.scheduled = 0  # actions so far; actions of the same time run in the order they were scheduled
        self.queue: list[ScheduledAction] = []
        self.files: dict[str, StoredPolicy] = {}
        self.store = EmulatedStore()
        self.leases: dict[str, float] = {}
        self.store_down_until = 0.0
        self.store_cut_until: dict[str, float] = {}  # by name of the member that cannot reach the store
        self.watch_stalled_until: dict[str, float] = {}  # by name of the member whose watch delivers nothing
        self.write_delays: dict[str, float] = {}  # by kind of transaction; overrides the random delay
        self.link_cut_until: dict[
            tuple[str, str], float
        ] = {}  # by the names of both members; set for both orders
        self.members: dict[str, EmulatedMember] = {}
        self.log_counts: Counter[str] = Counter()
        self.observed: dict[PolicyKey, ServedSpan] = {}
        self.requests_accepted = 0
        for number in range(members):
            self.start(f"n{number}")
        self.schedule(0.0, self._expire_leases)

    def schedule(self, when: float, action: Callable[[], object]) -> None:
        """Schedule an action for the time `when`."""
        self.scheduled += 1
        heapq.heappush(self.queue, ScheduledAction(when, self.scheduled, action))

    def run_until(self, when: float) -> None:
        """Run all actions that are due up to the time `when`."""
        while self.queue and self.queue[0].when <= when:
            scheduled = heapq.heappop(self.queue)
            self.now = scheduled.when
            scheduled.action()
        self.now = when

    def start(self, name: str) -> None:
        """Start a process of the member `name`."""
        self.started += 1
        member = EmulatedMember(self, name, self.started)
        self.members[member.id] = member
        self.schedule(self.now + self.rng.uniform(0, STEP_INTERVAL), member.step)

    def reaches_store(self, member: EmulatedMember) -> bool:
        """Return whether the member can reach the store now."""
        return self.now >= self.store_down_until and self.now >= self.store_cut_until.get(member.name, 0.0)

    def is_linked(self, member: EmulatedMember, other: EmulatedMember) -> bool:
        """Return whether the two members can reach each other now."""
        return self.now >= self.link_cut_until.get((member.name, other.name), 0.0)

    def observe(self, member: EmulatedMember, policy: Policy) -> None:
        """Record that the member could accept requests under the policy now."""
        self.requests_accepted += 1
        key = PolicyKey(member.id, policy.version, policy.digest)
        before = self.observed.get(key)
        self.observed[key] = ServedSpan(self.now if before is None else before.first, self.now)

    def _expire_leases(self) -> None:
        if self.now >= self.store_down_until:
            for entry in [entry for entry, until in self.leases.items() if until <= self.now]:
                self.end_lease(entry)
        self.schedule(self.now + EXPIRY_INTERVAL, self._expire_leases)

    def end_lease(self, entry: str) -> None:
        """End a member's lease, and delete its entry."""
        self.leases.pop(entry, None)
        if entry in self.store.entries:
            self.store.revision += 1
            self.store.delete(entry)

    # Faults and changes.

    def crash(self, member: EmulatedMember, restart_after: float, loses_file: bool) -> None:
        """Kill a member; restart it after `restart_after` seconds, without its file if `loses_file`."""
        member.alive = False
        self.members.pop(member.id, None)
        if loses_file:
            self.files.pop(member.name, None)
        if self.rng.random() < 0.7:
            self.schedule(self.now + 0.1, lambda: self._evict(member))
        self.schedule(self.now + restart_after, lambda: self.start(member.name))

    def _evict(self, member: EmulatedMember) -> None:
        """End the lease of a member that the others cannot reach."""
        if self.now >= self.store_down_until:
            self.end_lease(f"{MEMBERS_PREFIX}{member.id}")

    def inject_fault(self, kind: str, duration: float) -> None:
        """Inject a fault for `duration` seconds; `kind` is its field in `FaultRates`."""
        alive = [member for member in self.members.values() if member.alive]
        if len(alive) < 2:
            return
        one, other = self.rng.sample(alive, 2)
        until = self.now + duration
        match kind:
            case "crash" | "crash_without_file":
                self.crash(one, duration, kind == "crash_without_file")
            case "pause":
                one.paused_until = until
            case "store_cut":
                self.store_cut_until[one.name] = until
            case "link_cut":
                self.link_cut_until[one.name, other.name] = self.link_cut_until[other.name, one.name] = until
            case "watch_stall":
                self.watch_stalled_until[one.name] = until
            case "partition":
                self._partition(alive, until)
            case "store_outage":
                self.store_down_until = until
            case "entry_loss":
                self.end_lease(f"{MEMBERS_PREFIX}{one.id}")

    def _partition(self, alive: list[EmulatedMember], until: float) -> None:
        some = {member.name for member in self.rng.sample(alive, self.rng.randint(1, len(alive) - 1))}
        others = {member.name for member in alive} - some
        for name in some:
            self.store_cut_until[name] = until
            for other in others:
                self.link_cut_until[name, other] = self.link_cut_until[other, name] = until

    def propose(self, number: int) -> None:
        """Propose a policy with this number from a random member that is able to."""
        able = [
            member
            for member in self.members.values()
            if member.alive and self.now >= member.paused_until and self.reaches_store(member)
        ]
        able = [
            m
            for m in able
            if m.policy_replica.is_decision_known and not m.policy_replica.unavailable_reason()
        ]
        if not able:
            return
        author = self.rng.choice(able)
        if author.policy_replica.records.proposal is not None:
            return
        body: PolicyBody = {"settings": {"number": number}, "cover": {}}
        if self.rng.random() < 0.15:
            body["settings"]["not"] = [self.rng.choice(able).name]
        author.policy_replica.now = author.clock()
        transaction, _ = author.policy_replica.propose(body, DEFAULT_SWITCH_DELAY * LEASE)
        if self.store.write(transaction):
            self.log_counts["proposed"] += 1

    def simulate(self, changes: int, faults: FaultRates, quiet_duration: float = 20.0) -> None:
        """Propose `changes` policies in turn under faults, then run without faults for `quiet_duration`."""
        self.run_until(FIRST_CHANGE_AT)
        interval = DEFAULT_SWITCH_DELAY * LEASE * 1.4
        for number in range(changes):
            begin = FIRST_CHANGE_AT + number * interval
            self.schedule(begin + self.rng.uniform(0, 0.5), lambda n=number: self.propose(n))
            for kind, rate in vars(faults).items():
                if kind != "max_duration":
                    self._schedule_faults(kind, rate, begin, interval, faults.max_duration)
        self.run_until(FIRST_CHANGE_AT + changes * interval + faults.max_duration + quiet_duration)

    def _schedule_faults(
        self, kind: str, rate: float, begin: float, interval: float, max_duration: float
    ) -> None:
        for _ in range(int(rate * interval) + (self.rng.random() < rate * interval % 1)):
            duration = self.rng.uniform(0.1, self.rng.choice((2.0, max_duration)))
            # Half of the faults begin near the proposal, while votes are cast and counted.
            is_near = self.rng.random() < 0.5
            when = begin + (self.rng.gauss(0.3, 0.6) if is_near else self.rng.uniform(0, interval))
            self.schedule(max(self.now, when), lambda k=kind, d=duration: self.inject_fault(k, d))

    # Results.

    def violations(self) -> list[str]:
        """Return the violated guarantees, judged by when members accepted requests under which policy."""
        violations, slack = [], 2 * MAX_SKEW
        decided = {(d.policy.version, d.policy.digest): d for d in self.store.decided}
        ends = {d.policy.version - 1: d.at for d in self.store.decided}
        for (member, version, digest), (first, last) in self.observed.items():
            if version and (version, digest) not in decided:
                violations.append(
                    f"{member} accepted requests under {version} {digest}, which was never decided"
                )
                continue
            if version and first < decided[version, digest].at - slack:
                violations.append(
                    f"{member} accepted requests under {version} at {first:.3f}, before it was in force"
                )
            if last > ends.get(version, inf) + slack:
                violations.append(
                    f"{member} accepted requests under {version} at {last:.3f}, "
                    f"which ended at {ends[version]:.3f}"
                )
        versions = [d.policy.version for d in self.store.decided]
        if versions != list(range(1, len(versions) + 1)):
            violations.append(f"the decided versions are not consecutive: {versions}")
        return violations

    def outdated_members(self) -> list[str]:
        """Return the live members that do not serve under the last decided policy."""
        last = len(self.store.decided)
        alive = [member for member in self.members.values() if member.alive]
        return [
            member.id
            for member in alive
            if member.policy_replica.unavailable_reason()
            or member.policy_replica.active_policy.version != last
        ]


def simulate(
    seed: int,
    members: int = 8,
    changes: int = 6,
    faults: FaultRates | None = None,
    replica_type: ReplicaType = PolicyReplica,
    trace: bool = False,
) -> PolicyOutcome:
    """Simulate policy changes under faults, and return the counts and violations."""
    world = World(seed, members, replica_type, trace)
    world.simulate(changes, faults if faults is not None else FaultRates())
    violations = world.violations()
    if outdated := world.outdated_members():
        violations.append(f"not under the last policy at the end: {outdated[:4]}")
    return PolicyOutcome(
        decided=len(world.store.decided),
        proposed=world.log_counts["proposed"],
        requests_accepted=world.requests_accepted,
        unavailable=world.log_counts["policy.doubt"],
        statuses_sent=world.statuses_sent,
        store_calls=world.store.calls,
        is_proposal_open=PROPOSAL_KEY in world.store.entries,
        violations=violations,
    )
