"""Changes of the policy of a whole fleet in emulated time: by `fleet/policy`, no sockets.

Members are stepped in one process, each with a clock of its own. They crash and come back, with what they
stored or without, pause, and lose the coordination store and each other; the store goes down, and its replies
are lost once they were applied. Each step of a member that may take requests is an observation: under which
policy, and when.
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

from .emulated_member import LEASE, MAX_SKEW, STEP, EmulatedMember
from .emulated_store import EmulatedStore

EXPIRY_INTERVAL = 0.05  # seconds between two looks at which leases have expired
FIRST_CHANGE_AT = 3.0  # seconds until the first change

ReplicaType = Callable[..., PolicyReplica]


@dataclass
class FaultRates:
    """How often a second each fault happens, over the fleet."""

    crash: float = 0.3
    crash_without_file: float = 0.1  # a crash that loses what was stored
    pause: float = 0.4
    store_cut: float = 0.3  # of a member from the store
    watch_stall: float = 0.3  # a member sees no changes in the store, while it renews its lease
    link_cut: float = 0.15  # of two members from each other
    partition: float = 0.1  # some from the others and the store
    store_outage: float = 0.08
    entry_loss: float = 0.1  # of a member's entry in the store
    max_duration: float = 10.0  # seconds, of a fault


NO_FAULTS = FaultRates(*[0.0] * (len(fields(FaultRates)) - 1))


@dataclass(frozen=True)
class PolicyOutcome:
    """What a play has counted, and the promises that were broken."""

    decided: int
    proposed: int
    requests_accepted: int
    unavailable: int  # how often members could not know which policy held
    statuses_sent: int
    store_calls: int
    is_proposal_open: bool
    violations: list[str]


class ScheduledAction(NamedTuple):
    """What happens at a time in seconds; `number` orders what happens at the same time."""

    when: float
    number: int
    action: Callable[[], object]


class PolicyKey(NamedTuple):
    """A policy as one member follows it."""

    member: str
    version: int
    digest: str


class ServedSpan(NamedTuple):
    """When a member has first and last taken requests under a policy."""

    first: float
    last: float


class World:
    """A fleet, its store and links, from one seed. Times are seconds."""

    def __init__(
        self, seed: int, members: int = 8, replica_type: ReplicaType = PolicyReplica, trace: bool = False
    ) -> None:
        """`trace`: print the members' log."""
        self.rng, self.replica_type, self.trace = random.Random(seed), replica_type, trace
        self.now, self.started, self.statuses_sent = 0.0, 0, 0
        self.scheduled = 0  # actions so far: of two at one time, the one scheduled first comes first
        self.queue: list[ScheduledAction] = []
        self.files: dict[str, StoredPolicy] = {}
        self.store = EmulatedStore()
        self.leases: dict[str, float] = {}
        self.store_down_until = 0.0
        self.store_cut_until: dict[str, float] = {}  # by name of the member that can't reach the store
        self.watch_stalled_until: dict[str, float] = {}  # by name of the member that sees no changes
        self.write_delays: dict[str, float] = {}  # of transactions, by what they are
        self.link_cut_until: dict[tuple[str, str], float] = {}  # by the names of both members
        self.members: dict[str, EmulatedMember] = {}
        self.log_counts: Counter[str] = Counter()
        self.observed: dict[PolicyKey, ServedSpan] = {}
        self.requests_accepted = 0
        for number in range(members):
            self.start(f"n{number}")
        self.schedule(0.0, self._expire)

    def schedule(self, when: float, action: Callable[[], object]) -> None:
        """Schedule an action."""
        self.scheduled += 1
        heapq.heappush(self.queue, ScheduledAction(when, self.scheduled, action))

    def run_until(self, when: float) -> None:
        """Play up to that time."""
        while self.queue and self.queue[0].when <= when:
            scheduled = heapq.heappop(self.queue)
            self.now = scheduled.when
            scheduled.action()
        self.now = when

    def start(self, name: str) -> None:
        """Start a process of that name."""
        self.started += 1
        member = EmulatedMember(self, name, self.started)
        self.members[member.id] = member
        self.schedule(self.now + self.rng.uniform(0, STEP), member.step)

    def reaches_store(self, member: EmulatedMember) -> bool:
        """Whether the member can reach the store now."""
        return self.now >= self.store_down_until and self.now >= self.store_cut_until.get(member.name, 0.0)

    def is_linked(self, member: EmulatedMember, other: EmulatedMember) -> bool:
        """Whether the two can reach each other now."""
        return self.now >= self.link_cut_until.get((member.name, other.name), 0.0)

    def observe(self, member: EmulatedMember, policy: Policy) -> None:
        """The member takes requests under that policy now."""
        self.requests_accepted += 1
        key = PolicyKey(member.id, policy.version, policy.digest)
        before = self.observed.get(key)
        self.observed[key] = ServedSpan(self.now if before is None else before.first, self.now)

    def _expire(self) -> None:
        if self.now >= self.store_down_until:
            for entry in [entry for entry, until in self.leases.items() if until <= self.now]:
                self.end_lease(entry)
        self.schedule(self.now + EXPIRY_INTERVAL, self._expire)

    def end_lease(self, entry: str) -> None:
        """End a member's lease, and its entry with it."""
        self.leases.pop(entry, None)
        if entry in self.store.entries:
            self.store.revision += 1
            self.store.delete(entry)

    # Faults and changes.

    def crash(self, member: EmulatedMember, restart_after: float, loses_file: bool) -> None:
        """Kill a member; it starts again after so many seconds, with its file unless `loses_file`."""
        member.alive = False
        self.members.pop(member.id, None)
        if loses_file:
            self.files.pop(member.name, None)
        if self.rng.random() < 0.7:
            self.schedule(self.now + 0.1, lambda: self._evict(member))
        self.schedule(self.now + restart_after, lambda: self.start(member.name))

    def _evict(self, member: EmulatedMember) -> None:
        """Others can't reach it, and have its entry ended."""
        if self.now >= self.store_down_until:
            self.end_lease(f"{MEMBERS_PREFIX}{member.id}")

    def fault(self, kind: str, duration: float) -> None:
        """A fault of that kind, by its name in `FaultRates`, for so many seconds."""
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
        """Have some member that can propose a policy of that number."""
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

    def simulate(self, changes: int, faults: FaultRates, rest: float = 20.0) -> None:
        """`changes` one after another under faults, then `rest` seconds without."""
        self.run_until(FIRST_CHANGE_AT)
        interval = DEFAULT_SWITCH_DELAY * LEASE * 1.4
        for number in range(changes):
            begin = FIRST_CHANGE_AT + number * interval
            self.schedule(begin + self.rng.uniform(0, 0.5), lambda n=number: self.propose(n))
            for kind, rate in vars(faults).items():
                if kind != "max_duration":
                    self._schedule_faults(kind, rate, begin, interval, faults.max_duration)
        self.run_until(FIRST_CHANGE_AT + changes * interval + faults.max_duration + rest)

    def _schedule_faults(
        self, kind: str, rate: float, begin: float, interval: float, max_duration: float
    ) -> None:
        for _ in range(int(rate * interval) + (self.rng.random() < rate * interval % 1)):
            duration = self.rng.uniform(0.1, self.rng.choice((2.0, max_duration)))
            # Half of them near the proposal, when votes are given and counted.
            is_near = self.rng.random() < 0.5
            when = begin + (self.rng.gauss(0.3, 0.6) if is_near else self.rng.uniform(0, interval))
            self.schedule(max(self.now, when), lambda k=kind, d=duration: self.fault(k, d))

    # Verdicts.

    def violations(self) -> list[str]:
        """Promises that were broken, by the requests that were taken."""
        violations, slack = [], 2 * MAX_SKEW
        decided = {(d.policy.version, d.policy.digest): d for d in self.store.decided}
        ends = {d.policy.version - 1: d.at for d in self.store.decided}
        for (member, version, digest), (first, last) in self.observed.items():
            if version and (version, digest) not in decided:
                violations.append(f"{member} took work under {version} {digest}, which was never decided")
                continue
            if version and first < decided[version, digest].at - slack:
                violations.append(f"{member} took work under {version} at {first:.3f}, before it held")
            if last > ends.get(version, inf) + slack:
                violations.append(
                    f"{member} took work under {version} at {last:.3f}, {ends[version]:.3f} was its end"
                )
        versions = [d.policy.version for d in self.store.decided]
        if versions != list(range(1, len(versions) + 1)):
            violations.append(f"versions decided: {versions}")
        return violations

    def behind(self) -> list[str]:
        """Members that do not serve under the last policy, once all is quiet."""
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
    """Play changes under faults, and judge them."""
    world = World(seed, members, replica_type, trace)
    world.simulate(changes, faults if faults is not None else FaultRates())
    violations = world.violations()
    if behind := world.behind():
        violations.append(f"behind at the end: {behind[:4]}")
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
