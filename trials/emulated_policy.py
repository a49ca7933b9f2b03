"""Changes of the policy of a whole fleet in emulated time: by `fleet/policy`, no sockets.

Members are stepped in one process, each with a clock of its own. They crash and come back, with what they
kept or without, pause, are cut from the arbiter and from each other; the arbiter goes, and loses replies once
they were applied. Each step of a member that may take work is an observation: under which policy, when.
"""

from __future__ import annotations

import copy
import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

import msgspec

from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.policy.replica import DEFAULT_SWITCH_DELAY, PolicyReplica, StoredPolicy
from starlingwheel.fleet.policy.statuses import PolicyStatus
from starlingwheel.fleet.records import (
    MEMBERS,
    NAMES,
    NOW,
    Policy,
    PolicyDecision,
    StoreEntry,
    StoreRecords,
    Transaction,
)

LEASE = 2.0
STEP = 0.05  # seconds between the steps of a member
SKEW = 0.1  # seconds that a clock may be off, either way
PAUSE = 0.05  # seconds after a transaction before the next
NEAR = 1 / 320  # seconds a member, as the program's links have it where words are needed


class Arbiter:
    """What the real one does with transactions, leases and watches, in order of revisions."""

    def __init__(self) -> None:
        self.revision = 1
        self.entries: dict[str, StoreEntry] = {}
        self.events: list[tuple[int, str, StoreEntry | None]] = []
        self.decided: list[PolicyDecision] = []
        self.calls = 0

    def holds(self, txn: Transaction) -> bool:
        for one in txn.compare:
            found = (
                [e for key, e in self.entries.items() if key.startswith(one.key)]
                if one.prefix
                else [self.entries.get(one.key, StoreEntry(b"", 0, 0))]
            )
            for entry in found:
                has = entry.create if one.target == "CREATE" else entry.mod
                if not (has == one.value if one.result == "EQUAL" else has < one.value):
                    return False
        return True

    def write(self, txn: Transaction) -> bool:
        self.calls += 1
        if not self.holds(txn):
            return False
        self.revision += 1
        for key, value in txn.put:
            self.put(key, value)
        for key in txn.erase:
            for one in [k for k in self.entries if k == key or (key.endswith("/") and k.startswith(key))]:
                self.erase(one)
        return True

    def put(self, key: str, value: bytes) -> None:
        before = self.entries.get(key)
        self.entries[key] = StoreEntry(value, before.create if before else self.revision, self.revision)
        self.events.append((self.revision, key, self.entries[key]))
        if key == NOW:
            self.decided.append(msgspec.json.decode(value, type=PolicyDecision))

    def erase(self, key: str) -> None:
        del self.entries[key]
        self.events.append((self.revision, key, None))


class Host:
    """One member: `Following`, its clock, its watch, and what outlives it."""

    def __init__(self, world: World, name: str, number: int) -> None:
        self.world, self.name, self.id = world, name, f"{name}.{number:06d}"
        self.skew = world.rng.uniform(-SKEW, SKEW)
        kept = world.files.get(name)
        kept = copy.deepcopy(kept) if kept else StoredPolicy("f")
        self.policy_replica: Any = world.kind(self.id, name, LEASE, self, world.now + self.skew, kept)
        self.records, self.seen = StoreRecords(), 0
        self.watch: list[tuple[int, StoreRecords]] = []
        self.alive, self.paused_until = True, 0.0
        self.lease_asked, self.term = -inf, 0
        self.wrote_at = -inf
        self.said_at = 0.0
        self.pending: dict[str, PolicyStatus] = {}
        self.gap = True
        self.policy_replica.begin()

    # The door.

    def check(self, body: Any) -> str:
        return "not here" if self.name in body["settings"].get("not", []) else ""

    def keep(self, kept: StoredPolicy) -> None:
        self.world.files[self.name] = copy.copy(kept)

    def kept(self) -> str | None:
        return ""

    def rule(self, policy: Policy) -> None:
        pass

    def ask(self, member: str) -> None:
        other = self.world.hosts.get(member)
        if other is not None and self.world.reach(self, other) and other.policy_replica.decision is not None:
            self.policy_replica.told(other.policy_replica.decision)

    def note(self, event: str, **fields: Any) -> None:
        self.world.notes[event] += 1
        if self.world.trace:
            print(f"{self.world.now:.3f} {self.id} {event} {fields}")

    # Its steps.

    def step(self) -> None:
        world, policy_replica = self.world, self.policy_replica
        if not self.alive:
            return
        if world.now >= self.paused_until:
            # What waits is met in any order: work that came meanwhile may be first.
            policy_replica.now = world.now + self.skew
            self._take()
            for word in self.pending.values():
                policy_replica.heard(word)
            self.pending.clear()
            self._take()
            self._follow()
            policy_replica.now = world.now + self.skew
            self._lease()
            self._say()
            self._write()
            self._take()
        world.at(world.now + STEP * world.rng.uniform(0.5, 1.5), self.step)

    def _take(self) -> None:
        """Work that comes now."""
        if not self.policy_replica.doubt():
            policy = self.policy_replica.in_force
            self.world.observe(self, policy)

    def _follow(self) -> None:
        """The watch: late by a while, in order; nothing while cut off."""
        world = self.world
        if not world.asks(self) or world.now < world.stalled.get(self.name, 0.0):
            return
        arbiter = world.arbiter
        if self.gap:
            self.records = StoreRecords()
            for key in sorted(arbiter.entries):
                self.records.put(key, arbiter.entries[key])
            self.seen = len(arbiter.events)
            self.records.revision = arbiter.revision
            self.policy_replica.recorded(self.records.copy(), True)
            self.gap = False
            return
        upto = len(arbiter.events) if world.rng.random() < 0.7 else self.seen
        changed, members, last = False, False, 0
        for revision, key, entry in arbiter.events[self.seen : upto]:
            if members and revision != last:
                self.policy_replica.recorded(self.records.copy(), False)
                members = False
            last, changed = revision, True
            members = members or key.startswith(MEMBERS)
            self.records.revision = revision
            if entry is None:
                self.records.erase(key)
            else:
                self.records.put(key, entry)
        self.seen = upto
        if changed:
            self.policy_replica.recorded(self.records.copy(), False)

    def _lease(self) -> None:
        world = self.world
        if world.now < self.lease_asked + LEASE / 3 or not world.asks(self):
            return
        entry = f"{MEMBERS}{self.id}"
        if entry not in world.arbiter.entries:
            world.arbiter.revision += 1
            member = Member(self.id, self.name, self.name)
            world.arbiter.put(entry, msgspec.json.encode(member))
            if f"{NAMES}{self.name}" not in world.arbiter.entries:
                world.arbiter.put(f"{NAMES}{self.name}", b"1")
            self.term = world.arbiter.revision
        world.leases[entry] = world.now + LEASE
        self.lease_asked = world.now
        if world.rng.random() < 0.95:  # else the reply is lost
            self.policy_replica.renewed(world.now + self.skew + LEASE, self.term)

    def _say(self) -> None:
        """Words over the links, and to whom we have none with."""
        world = self.world
        each = max(0.1, len(world.hosts) * NEAR)
        if world.now < self.said_at + each:
            return
        self.said_at = world.now
        for other in list(world.hosts.values()):
            if other is self or not (self.policy_replica.uneasy or other.policy_replica.uneasy):
                continue
            if not other.alive or not world.reach(self, other):
                continue
            word = msgspec.structs.replace(
                self.policy_replica.word(), at=world.now + self.skew - world.rng.uniform(0, 0.02)
            )
            world.words += 1
            if world.now < other.paused_until:
                other.pending[self.id] = word  # it is read once that goes on
            else:
                other.policy_replica.now = world.now + other.skew
                other.policy_replica.heard(word)

    def _write(self) -> None:
        world = self.world
        if world.now < self.wrote_at + PAUSE or not world.asks(self):
            return
        due = self.policy_replica.due()
        if isinstance(due, Transaction):
            self.wrote_at = world.now
            # It may reach the arbiter late, when what it was made from is over.
            delay = 0.002 if world.rng.random() < 0.9 else world.rng.uniform(0, LEASE / 3)
            delay = world.late.get(due.what, delay)
            world.at(world.now + delay, lambda: world.asks(self) and world.arbiter.write(due))


@dataclass
class Timetable:
    """What goes wrong: how often a second each, over the fleet."""

    crash: float = 0.3
    forget: float = 0.1  # a crash that loses what was kept
    pause: float = 0.4
    cut: float = 0.3  # from the arbiter
    stalled: float = 0.3  # hears of no changes there, while it renews its lease
    apart: float = 0.15  # two from each other
    split: float = 0.1  # some from the others and the arbiter
    down: float = 0.08
    ended: float = 0.1
    longest: float = 10.0


QUIET = Timetable(*[0.0] * 9)


class World:
    """A fleet, its arbiter and links, from one seed."""

    def __init__(
        self, seed: int, members: int = 8, kind: Callable[..., Any] = PolicyReplica, trace: bool = False
    ) -> None:
        self.rng, self.kind, self.trace = random.Random(seed), kind, trace
        self.now, self.count, self.started, self.words = 0.0, 0, 0, 0
        self.queue: list[tuple[float, int, Callable[[], Any]]] = []
        self.files: dict[str, StoredPolicy] = {}
        self.arbiter = Arbiter()
        self.leases: dict[str, float] = {}
        self.down_until = 0.0
        self.cut: dict[str, float] = {}  # a name, and until when it has no arbiter
        self.stalled: dict[str, float] = {}
        self.late: dict[str, float] = {}  # transactions that take so long, by what they are
        self.apart: dict[tuple[str, str], float] = {}
        self.hosts: dict[str, Host] = {}
        self.notes: Counter[str] = Counter()
        self.seen: dict[tuple[str, int, str], list[float]] = {}
        self.taken = 0
        for number in range(members):
            self.start(f"n{number}")
        self.at(0.0, self._expire)

    def at(self, when: float, what: Callable[[], Any]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, what))

    def until(self, when: float) -> None:
        while self.queue and self.queue[0][0] <= when:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = when

    def start(self, name: str) -> None:
        self.started += 1
        host = Host(self, name, self.started)
        self.hosts[host.id] = host
        self.at(self.now + self.rng.uniform(0, STEP), host.step)

    def asks(self, host: Host) -> bool:
        """Whether it reaches the arbiter."""
        return self.now >= self.down_until and self.now >= self.cut.get(host.name, 0.0)

    def reach(self, one: Host, other: Host) -> bool:
        return self.now >= self.apart.get((one.name, other.name), 0.0)

    def observe(self, host: Host, policy: Policy) -> None:
        """By member and policy, the first and the last time."""
        self.taken += 1
        span = self.seen.setdefault((host.id, policy.version, policy.digest), [self.now, self.now])
        span[1] = self.now

    def _expire(self) -> None:
        if self.now >= self.down_until:
            for entry in [e for e, until in self.leases.items() if until <= self.now]:
                self.end(entry)
        self.at(self.now + 0.05, self._expire)

    def end(self, entry: str) -> None:
        self.leases.pop(entry, None)
        if entry in self.arbiter.entries:
            self.arbiter.revision += 1
            self.arbiter.erase(entry)

    # Faults and changes.

    def crash(self, host: Host, back: float, forget: bool) -> None:
        host.alive = False
        self.hosts.pop(host.id, None)
        if forget:
            self.files.pop(host.name, None)
        if self.rng.random() < 0.7:
            entry = f"{MEMBERS}{host.id}"
            # Others find nobody there, and have the entry ended.
            self.at(self.now + 0.1, lambda: self.now >= self.down_until and self.end(entry))
        self.at(self.now + back, lambda: self.start(host.name))

    def fault(self, kind: str, lasts: float) -> None:
        able = [h for h in self.hosts.values() if h.alive]
        if len(able) < 2:
            return
        one, other = self.rng.sample(able, 2)
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
                some = {h.name for h in self.rng.sample(able, self.rng.randint(1, len(able) - 1))}
                rest = {h.name for h in able} - some
                for a in some:
                    self.cut[a] = until
                    for b in rest:
                        self.apart[a, b] = self.apart[b, a] = until
            case "down":
                self.down_until = until
            case "ended":
                self.end(f"{MEMBERS}{one.id}")

    def propose(self, number: int) -> None:
        able = [h for h in self.hosts.values() if h.alive and self.now >= h.paused_until and self.asks(h)]
        able = [h for h in able if h.policy_replica.sure and not h.policy_replica.doubt()]
        if not able:
            return
        host = self.rng.choice(able)
        if host.policy_replica.records.next is not None:
            return
        body = {"settings": {"number": number}, "cover": {}}
        if self.rng.random() < 0.15:
            body["settings"]["not"] = [self.rng.choice(able).name]
        host.policy_replica.now = self.now + host.skew
        if self.arbiter.write(host.policy_replica.propose(body, DEFAULT_SWITCH_DELAY * LEASE)[0]):
            self.notes["proposed"] += 1

    def play(self, changes: int, faults: Timetable, rest: float = 20.0) -> None:
        """`changes` one after another under faults, then quiet."""
        self.until(3.0)
        each = DEFAULT_SWITCH_DELAY * LEASE * 1.4
        for number in range(changes):
            begin = 3.0 + number * each
            self.at(begin + self.rng.uniform(0, 0.5), lambda n=number: self.propose(n))
            for kind, often in vars(faults).items():
                if kind == "longest":
                    continue
                for _ in range(int(often * each) + (self.rng.random() < often * each % 1)):
                    lasts = self.rng.uniform(0.1, self.rng.choice((2.0, faults.longest)))
                    # Half of them near the proposal, when votes are given and counted.
                    near = self.rng.random() < 0.5
                    when = begin + (self.rng.gauss(0.3, 0.6) if near else self.rng.uniform(0, each))
                    self.at(max(self.now, when), lambda k=kind, t=lasts: self.fault(k, t))
        self.until(3.0 + changes * each + faults.longest + rest)

    # Verdicts.

    def broken(self) -> list[str]:
        """Promises that were not kept, as work was taken."""
        told, slack = [], 2 * SKEW
        decided = {(d.policy.version, d.policy.digest): d for d in self.arbiter.decided}
        ends = {d.policy.version - 1: d.at for d in self.arbiter.decided}
        for (member, version, digest), (first, last) in self.seen.items():
            if version and (version, digest) not in decided:
                told.append(f"{member} took work under {version} {digest}, which was never decided")
                continue
            if version and first < decided[version, digest].at - slack:
                told.append(f"{member} took work under {version} at {first:.3f}, before it held")
            if last > ends.get(version, inf) + slack:
                told.append(
                    f"{member} took work under {version} at {last:.3f}, {ends[version]:.3f} was its end"
                )
        versions = [d.policy.version for d in self.arbiter.decided]
        if versions != list(range(1, len(versions) + 1)):
            told.append(f"versions decided: {versions}")
        return told

    def behind(self) -> list[str]:
        """Who does not serve under the last one, once all is quiet."""
        last = len(self.arbiter.decided)
        able = [h for h in self.hosts.values() if h.alive]
        return [h.id for h in able if h.policy_replica.doubt() or h.policy_replica.in_force.version != last]


# Scenes: one fault each, where a timetable would meet it only by chance.


def _begun(members: int, kind: Callable[..., Any], trace: bool) -> tuple[World, list[Host]]:
    world = World(7, members, kind, trace)
    world.until(3.0)
    return world, list(world.hosts.values())


def _proposed(world: World, author: Host, unfit: str = "n99") -> float:
    """A change by that one, which another one can't follow; its switch time."""
    author.policy_replica.now = world.now + author.skew
    body = {"settings": {"number": 1, "not": [unfit]}, "cover": {}}
    assert world.arbiter.write(author.policy_replica.propose(body, DEFAULT_SWITCH_DELAY * LEASE)[0])
    return world.now + DEFAULT_SWITCH_DELAY * LEASE


def _lone(world: World, some: list[Host], until: float, leased: bool = False) -> None:
    """No arbiter for these, and none of the others; `leased`: but that it renews their leases."""
    for one in some:
        (world.stalled if leased else world.cut)[one.name] = until
        for other in world.hosts.values():
            if other not in some:
                world.apart[one.name, other.name] = world.apart[other.name, one.name] = until


def minority(kind: Callable[..., Any] = PolicyReplica, trace: bool = False) -> World:
    """Most are cut off and go on; the few that are left have the arbiter."""
    world, hosts = _begun(8, kind, trace)
    _lone(world, hosts[:5], 20.0)
    world.until(6.0)
    world.until(_proposed(world, hosts[7]) + 4.0)
    return world


def unseen(kind: Callable[..., Any] = PolicyReplica, trace: bool = False) -> World:
    """One says yes and hears no more of it, though its lease goes on."""
    world, hosts = _begun(5, kind, trace)
    at = _proposed(world, hosts[0])
    voter = hosts[3]
    while not any(key.endswith(voter.id) for key in world.arbiter.entries if key.startswith("policy/votes")):
        world.until(world.now + 0.001)
    _lone(world, [voter], 30.0, leased=True)
    world.until(at + 3.0)
    return world


def slept(kind: Callable[..., Any] = PolicyReplica, trace: bool = False) -> World:
    """One is stopped before its vote, until after the switch time."""
    world, hosts = _begun(5, kind, trace)
    hosts[3].paused_until = 3.0 + DEFAULT_SWITCH_DELAY * LEASE + 1.0
    world.until(_proposed(world, hosts[0]) + 3.0)
    return world


def alone(kind: Callable[..., Any] = PolicyReplica, trace: bool = False) -> World:
    """One hears enough of the others once its lease is over, then nothing."""
    world, hosts = _begun(5, kind, trace)
    world.cut[hosts[3].name] = 40.0
    world.until(6.0)
    _lone(world, hosts[3:4], 40.0)
    world.until(_proposed(world, hosts[0]) + 3.0)
    return world


def late(kind: Callable[..., Any] = PolicyReplica, trace: bool = False) -> World:
    """A decision is on its way while another member comes, which can't follow it and is cut off."""
    world, hosts = _begun(5, kind, trace)
    world.late["decide"] = 0.4
    at = _proposed(world, hosts[0], "n9")
    while sum(key.startswith("policy/votes") for key in world.arbiter.entries) < 5:
        world.until(world.now + 0.001)
    world.until(world.now + 0.15)
    world.late["vote"] = 50.0
    world.start("n9")
    (new,) = [host for host in world.hosts.values() if host.name == "n9"]
    while new.id not in new.records.members:
        world.until(world.now + 0.001)
    _lone(world, [new], 30.0, leased=True)
    world.until(at + 3.0)
    return world


SCENES = {scene.__name__: scene for scene in (minority, unseen, slept, alone, late)}


def play(
    seed: int,
    members: int = 8,
    changes: int = 6,
    faults: Timetable | None = None,
    kind: Callable[..., Any] = PolicyReplica,
    trace: bool = False,
) -> tuple[dict[str, Any], list[str]]:
    """Counts, and what was broken."""
    world = World(seed, members, kind, trace)
    world.play(changes, faults if faults is not None else Timetable())
    broken = world.broken()
    if behind := world.behind():
        broken.append(f"behind at the end: {behind[:4]}")
    counts = {
        "seed": seed, "decided": len(world.arbiter.decided), "proposed": world.notes["proposed"],
        "taken": world.taken, "doubts": world.notes["policy.doubt"], "words": world.words,
        "calls": world.arbiter.calls, "open": "policy/next" in world.arbiter.entries,
    }  # fmt: skip
    return counts, broken
