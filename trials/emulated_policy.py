"""Changes of the policy of a whole fleet in emulated time: by `fleet/policy`, no sockets.

Members are stepped in one process, each with a clock of its own. They crash and come back, with what they
stored or without, pause, and lose the coordination store and each other; the store goes down, and its replies
are lost once they were applied. Each step of a member that may take requests is an observation: under which
policy, and when.
"""

from __future__ import annotations

import copy
import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, fields
from math import inf
from typing import Any

import msgspec

from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.policy.document import Body
from starlingwheel.fleet.policy.host import StoredPolicy
from starlingwheel.fleet.policy.replica import DEFAULT_SWITCH_DELAY, PolicyReplica
from starlingwheel.fleet.policy.statuses import PolicyStatus
from starlingwheel.fleet.records import MEMBERS, NAMES, NEXT, Policy, StoreRecords, Transaction

from .emulated_store import EmulatedStore

LEASE = 2.0  # seconds
STEP = 0.05  # seconds between the steps of a member, on average
MAX_SKEW = 0.1  # seconds that a clock may be off, either way
WRITE_PAUSE = 0.05  # seconds after a transaction before the next
STATUS_INTERVAL = 1 / 320  # seconds for each member, as the program's links have it where statuses are needed
MIN_STATUS_INTERVAL = 0.1  # seconds
STATUS_DELAY = 0.02  # seconds that a status takes at most
RENEWAL_INTERVAL = LEASE / 3  # seconds
RENEWAL_REPLY_CHANCE = 0.95
WATCH_CHANCE = 0.7  # that the watch delivers in a step
PROMPT_WRITE = 0.002  # seconds that a transaction takes as a rule
PROMPT_WRITE_CHANCE = 0.9
EXPIRY_INTERVAL = 0.05  # seconds between two looks at which leases have expired
BEGIN = 3.0  # seconds until the first change

Play = tuple[dict[str, Any], list[str]]  # counts, and promises that were broken
ReplicaType = Callable[..., PolicyReplica]


class EmulatedMember:
    """One member: its replica, clock and watch. It is the replica's host."""

    def __init__(self, world: World, name: str, number: int) -> None:
        """`number`: of this start, over the whole fleet."""
        self.world, self.name, self.id = world, name, f"{name}.{number:06d}"
        self.skew = world.rng.uniform(-MAX_SKEW, MAX_SKEW)
        stored = world.files.get(name)
        stored = copy.deepcopy(stored) if stored else StoredPolicy("f")
        self.policy_replica = world.replica_type(self.id, name, LEASE, self, self.clock(), stored)
        self.records, self.events_seen = StoreRecords(), 0
        self.alive, self.paused_until = True, 0.0
        self.renewed_at, self.entered = -inf, 0
        self.wrote_at = -inf
        self.status_sent_at = 0.0
        self.pending_statuses: dict[str, PolicyStatus] = {}  # that came while it was paused
        self.must_read_all = True
        self.policy_replica.begin()

    def clock(self) -> float:
        """The time by its own clock."""
        return self.world.now + self.skew

    # What the replica asks for; see `PolicyHost`.

    def check(self, body: Body) -> str:
        """A policy may name members that can't follow it."""
        return "not here" if self.name in body["settings"].get("not", []) else ""

    def keep(self, kept: StoredPolicy) -> None:
        """Store it in the world's files."""
        self.world.files[self.name] = copy.copy(kept)

    def kept(self) -> str | None:
        """All is stored at once."""
        return ""

    def rule(self, policy: Policy) -> None:
        """Nothing has to be put in force."""

    def ask(self, member: str) -> None:
        """Take over the decision of that member, if it can be reached."""
        other = self.world.members.get(member)
        if other is None or not self.world.is_linked(self, other):
            return
        if other.policy_replica.decision is not None:
            self.policy_replica.told(other.policy_replica.decision)

    def note(self, event: str, **fields: object) -> None:
        """Count the event."""
        self.world.log_counts[event] += 1
        if self.world.trace:
            print(f"{self.world.now:.3f} {self.id} {event} {fields}")

    # Its steps.

    def step(self) -> None:
        """Do all that is due; requests come before, in between and after."""
        if not self.alive:
            return
        if self.world.now >= self.paused_until:
            self._run()
        self.world.at(self.world.now + STEP * self.world.rng.uniform(0.5, 1.5), self.step)

    def _run(self) -> None:
        # After a pause, what has waited is met in any order: requests may come first.
        self.policy_replica.now = self.clock()
        self._take_requests()
        for status in self.pending_statuses.values():
            self.policy_replica.heard(status)
        self.pending_statuses.clear()
        self._take_requests()
        self._follow_watch()
        self.policy_replica.now = self.clock()
        self._renew_lease()
        self._send_statuses()
        self._write()
        self._take_requests()

    def _take_requests(self) -> None:
        if not self.policy_replica.doubt():
            self.world.observe(self, self.policy_replica.in_force)

    def _follow_watch(self) -> None:
        """The watch: late by a while, in order; nothing while the store can't be reached."""
        world = self.world
        if not world.reaches_store(self) or world.now < world.stalled.get(self.name, 0.0):
            return
        if self.must_read_all:
            self._read_all()
            return
        upto = len(world.store.events) if world.rng.random() < WATCH_CHANCE else self.events_seen
        changed, members_changed, last = False, False, 0
        for revision, key, entry in world.store.events[self.events_seen : upto]:
            if members_changed and revision != last:
                self.policy_replica.recorded(self.records.copy(), False)
                members_changed = False
            last, changed = revision, True
            members_changed = members_changed or key.startswith(MEMBERS)
            self.records.revision = revision
            if entry is None:
                self.records.erase(key)
            else:
                self.records.put(key, entry)
        self.events_seen = upto
        if changed:
            self.policy_replica.recorded(self.records.copy(), False)

    def _read_all(self) -> None:
        store = self.world.store
        self.records = StoreRecords()
        for key in sorted(store.entries):
            self.records.put(key, store.entries[key])
        self.events_seen = len(store.events)
        self.records.revision = store.revision
        self.policy_replica.recorded(self.records.copy(), True)
        self.must_read_all = False

    def _renew_lease(self) -> None:
        world, store = self.world, self.world.store
        if world.now < self.renewed_at + RENEWAL_INTERVAL or not world.reaches_store(self):
            return
        key = MEMBERS + self.id
        if key not in store.entries:
            store.revision += 1
            store.put(key, msgspec.json.encode(Member(self.id, self.name, self.name)))
            if NAMES + self.name not in store.entries:
                store.put(NAMES + self.name, b"1")
            self.entered = store.revision
        world.leases[key] = world.now + LEASE
        self.renewed_at = world.now
        if world.rng.random() < RENEWAL_REPLY_CHANCE:  # else the reply is lost
            self.policy_replica.renewed(self.clock() + LEASE, self.entered)

    def _send_statuses(self) -> None:
        world = self.world
        interval = max(MIN_STATUS_INTERVAL, len(world.members) * STATUS_INTERVAL)
        if world.now < self.status_sent_at + interval:
            return
        self.status_sent_at = world.now
        for other in list(world.members.values()):
            if other is self or not (self.policy_replica.uneasy or other.policy_replica.uneasy):
                continue
            if other.alive and world.is_linked(self, other):
                self._send_status(other)

    def _send_status(self, other: EmulatedMember) -> None:
        world = self.world
        made_at = self.clock() - world.rng.uniform(0, STATUS_DELAY)
        status = msgspec.structs.replace(self.policy_replica.word(), at=made_at)
        world.statuses_sent += 1
        if world.now < other.paused_until:
            other.pending_statuses[self.id] = status
        else:
            other.policy_replica.now = other.clock()
            other.policy_replica.heard(status)

    def _write(self) -> None:
        world = self.world
        if world.now < self.wrote_at + WRITE_PAUSE or not world.reaches_store(self):
            return
        due = self.policy_replica.due()
        if isinstance(due, Transaction):
            self.wrote_at = world.now
            # It may reach the store late, when what it was made from is over.
            is_prompt = world.rng.random() < PROMPT_WRITE_CHANCE
            delay = PROMPT_WRITE if is_prompt else world.rng.uniform(0, LEASE / 3)
            delay = world.write_delays.get(due.what, delay)
            world.at(world.now + delay, lambda: world.reaches_store(self) and world.store.write(due))


@dataclass
class FaultRates:
    """How often a second each fault happens, over the fleet."""

    crash: float = 0.3
    forget: float = 0.1  # a crash that loses what was stored
    pause: float = 0.4
    cut: float = 0.3  # from the store
    stalled: float = 0.3  # sees no changes there, while it renews its lease
    apart: float = 0.15  # two from each other
    split: float = 0.1  # some from the others and the store
    down: float = 0.08  # the store
    ended: float = 0.1  # an entry in the store
    longest: float = 10.0  # seconds, of a fault


QUIET = FaultRates(*[0.0] * (len(fields(FaultRates)) - 1))


class World:
    """A fleet, its store and links, from one seed. Times are seconds."""

    def __init__(
        self, seed: int, members: int = 8, replica_type: ReplicaType = PolicyReplica, trace: bool = False
    ) -> None:
        """`trace`: print the members' log."""
        self.rng, self.replica_type, self.trace = random.Random(seed), replica_type, trace
        self.now, self.scheduled, self.started, self.statuses_sent = 0.0, 0, 0, 0
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.files: dict[str, StoredPolicy] = {}
        self.store = EmulatedStore()
        self.leases: dict[str, float] = {}
        self.down_until = 0.0
        self.cut: dict[str, float] = {}  # a name, and until when it can't reach the store
        self.stalled: dict[str, float] = {}
        self.write_delays: dict[str, float] = {}  # of transactions, by what they are
        self.apart: dict[tuple[str, str], float] = {}
        self.members: dict[str, EmulatedMember] = {}
        self.log_counts: Counter[str] = Counter()
        self.observed: dict[tuple[str, int, str], list[float]] = {}  # first and last, by member and policy
        self.requests_taken = 0
        for number in range(members):
            self.start(f"n{number}")
        self.at(0.0, self._expire)

    def at(self, when: float, action: Callable[[], object]) -> None:
        """Schedule an action."""
        self.scheduled += 1
        heapq.heappush(self.queue, (when, self.scheduled, action))

    def until(self, when: float) -> None:
        """Play up to that time."""
        while self.queue and self.queue[0][0] <= when:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = when

    def start(self, name: str) -> None:
        """Start a process of that name."""
        self.started += 1
        member = EmulatedMember(self, name, self.started)
        self.members[member.id] = member
        self.at(self.now + self.rng.uniform(0, STEP), member.step)

    def reaches_store(self, member: EmulatedMember) -> bool:
        """Whether the member can reach the store now."""
        return self.now >= self.down_until and self.now >= self.cut.get(member.name, 0.0)

    def is_linked(self, member: EmulatedMember, other: EmulatedMember) -> bool:
        """Whether the two can reach each other now."""
        return self.now >= self.apart.get((member.name, other.name), 0.0)

    def observe(self, member: EmulatedMember, policy: Policy) -> None:
        """The member takes requests under that policy now."""
        self.requests_taken += 1
        span = self.observed.setdefault((member.id, policy.version, policy.digest), [self.now, self.now])
        span[1] = self.now

    def _expire(self) -> None:
        if self.now >= self.down_until:
            for entry in [entry for entry, until in self.leases.items() if until <= self.now]:
                self.end(entry)
        self.at(self.now + EXPIRY_INTERVAL, self._expire)

    def end(self, entry: str) -> None:
        """End a member's lease, and its entry with it."""
        self.leases.pop(entry, None)
        if entry in self.store.entries:
            self.store.revision += 1
            self.store.erase(entry)

    # Faults and changes.

    def crash(self, member: EmulatedMember, restart_after: float, forget: bool) -> None:
        """Kill a member; it starts again after so many seconds, with its file unless it is to `forget`."""
        member.alive = False
        self.members.pop(member.id, None)
        if forget:
            self.files.pop(member.name, None)
        if self.rng.random() < 0.7:
            self.at(self.now + 0.1, lambda: self._evict(member))
        self.at(self.now + restart_after, lambda: self.start(member.name))

    def _evict(self, member: EmulatedMember) -> None:
        """Others can't reach it, and have its entry ended."""
        if self.now >= self.down_until:
            self.end(f"{MEMBERS}{member.id}")

    def fault(self, kind: str, lasts: float) -> None:
        """A fault of that kind, by its name in `FaultRates`, for so many seconds."""
        alive = [member for member in self.members.values() if member.alive]
        if len(alive) < 2:
            return
        one, other = self.rng.sample(alive, 2)
        until = self.now + lasts
        match kind:
            case "crash" | "forget":
                self.crash(one, lasts, kind == "forget")
            case "pause":
                one.paused_until = until
            case "cut":
                self.cut[one.name] = until
            case "apart":
                self.apart[one.name, other.name] = self.apart[other.name, one.name] = until
            case "stalled":
                self.stalled[one.name] = until
            case "split":
                self._split(alive, until)
            case "down":
                self.down_until = until
            case "ended":
                self.end(f"{MEMBERS}{one.id}")

    def _split(self, alive: list[EmulatedMember], until: float) -> None:
        some = {member.name for member in self.rng.sample(alive, self.rng.randint(1, len(alive) - 1))}
        others = {member.name for member in alive} - some
        for name in some:
            self.cut[name] = until
            for other in others:
                self.apart[name, other] = self.apart[other, name] = until

    def propose(self, number: int) -> None:
        """Have some member that can propose a policy of that number."""
        able = [
            member
            for member in self.members.values()
            if member.alive and self.now >= member.paused_until and self.reaches_store(member)
        ]
        able = [m for m in able if m.policy_replica.sure and not m.policy_replica.doubt()]
        if not able:
            return
        author = self.rng.choice(able)
        if author.policy_replica.records.next is not None:
            return
        body: Body = {"settings": {"number": number}, "cover": {}}
        if self.rng.random() < 0.15:
            body["settings"]["not"] = [self.rng.choice(able).name]
        author.policy_replica.now = author.clock()
        transaction, _ = author.policy_replica.propose(body, DEFAULT_SWITCH_DELAY * LEASE)
        if self.store.write(transaction):
            self.log_counts["proposed"] += 1

    def play(self, changes: int, faults: FaultRates, rest: float = 20.0) -> None:
        """`changes` one after another under faults, then `rest` seconds without."""
        self.until(BEGIN)
        interval = DEFAULT_SWITCH_DELAY * LEASE * 1.4
        for number in range(changes):
            begin = BEGIN + number * interval
            self.at(begin + self.rng.uniform(0, 0.5), lambda n=number: self.propose(n))
            for kind, rate in vars(faults).items():
                if kind != "longest":
                    self._schedule_faults(kind, rate, begin, interval, faults.longest)
        self.until(BEGIN + changes * interval + faults.longest + rest)

    def _schedule_faults(self, kind: str, rate: float, begin: float, interval: float, longest: float) -> None:
        for _ in range(int(rate * interval) + (self.rng.random() < rate * interval % 1)):
            lasts = self.rng.uniform(0.1, self.rng.choice((2.0, longest)))
            # Half of them near the proposal, when votes are given and counted.
            is_near = self.rng.random() < 0.5
            when = begin + (self.rng.gauss(0.3, 0.6) if is_near else self.rng.uniform(0, interval))
            self.at(max(self.now, when), lambda k=kind, t=lasts: self.fault(k, t))

    # Verdicts.

    def broken(self) -> list[str]:
        """Promises that were broken, by the requests that were taken."""
        broken, slack = [], 2 * MAX_SKEW
        decided = {(d.policy.version, d.policy.digest): d for d in self.store.decided}
        ends = {d.policy.version - 1: d.at for d in self.store.decided}
        for (member, version, digest), (first, last) in self.observed.items():
            if version and (version, digest) not in decided:
                broken.append(f"{member} took work under {version} {digest}, which was never decided")
                continue
            if version and first < decided[version, digest].at - slack:
                broken.append(f"{member} took work under {version} at {first:.3f}, before it held")
            if last > ends.get(version, inf) + slack:
                broken.append(
                    f"{member} took work under {version} at {last:.3f}, {ends[version]:.3f} was its end"
                )
        versions = [d.policy.version for d in self.store.decided]
        if versions != list(range(1, len(versions) + 1)):
            broken.append(f"versions decided: {versions}")
        return broken

    def behind(self) -> list[str]:
        """Members that do not serve under the last policy, once all is quiet."""
        last = len(self.store.decided)
        alive = [member for member in self.members.values() if member.alive]
        return [
            member.id
            for member in alive
            if member.policy_replica.doubt() or member.policy_replica.in_force.version != last
        ]


def play(
    seed: int,
    members: int = 8,
    changes: int = 6,
    faults: FaultRates | None = None,
    replica_type: ReplicaType = PolicyReplica,
    trace: bool = False,
) -> Play:
    """Counts, and promises that were broken."""
    world = World(seed, members, replica_type, trace)
    world.play(changes, faults if faults is not None else FaultRates())
    broken = world.broken()
    if behind := world.behind():
        broken.append(f"behind at the end: {behind[:4]}")
    counts = {
        "seed": seed,
        "decided": len(world.store.decided),
        "proposed": world.log_counts["proposed"],
        "taken": world.requests_taken,
        "doubts": world.log_counts["policy.doubt"],
        "words": world.statuses_sent,
        "calls": world.store.calls,
        "open": NEXT in world.store.entries,
    }
    return counts, broken
