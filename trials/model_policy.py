"""One change of the policy and three members, every order of events within bounds: decided or dropped, whole.

Time stands still but for an event that moves it by a lease; the switch time is three of them off.
States are copied and told apart by their text; `Bounds` limits what may go wrong, not the order.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.policy.replica import PolicyReplica, StoredPolicy
from starlingwheel.fleet.policy.statuses import PolicyStatus
from starlingwheel.fleet.records import MEMBERS, NAMES, NEXT, Policy, StoreRecords, Transaction

from .emulated_store import EmulatedStore

LEASE, SPAN, TICK = 1.0, 3.0, 1.0
NAMED = ("a", "b", "c")
BOUNDED = ("crashes", "cuts", "stops", "stalls", "words", "late", "ticks")
Event = tuple[str, ...]
BODY = {"settings": {"number": 1}, "cover": {}}


@dataclass(frozen=True)
class Bounds:
    """How often each may happen in one history."""

    crashes: int = 0
    cuts: int = 1
    stops: int = 0
    stalls: int = 0  # its watch tells nothing more, its lease goes on
    words: int = 1
    late: int = 0  # transactions that reach the arbiter later than what comes after them
    states: int = 40_000
    ticks: int = 4


class Door:
    """What a member asks of its host: the model does what matters."""

    def __init__(self, model: Model | None, name: str) -> None:
        self.model, self.name = model, name  # no model: what is asked leaves no trace

    def check(self, body: Any) -> str:
        return ""

    def keep(self, kept: StoredPolicy) -> None:
        if self.model is not None:
            self.model.files[self.name] = copy.copy(kept)

    def kept(self) -> str | None:
        return ""

    def rule(self, policy: Policy) -> None:
        pass

    def ask(self, member: str) -> None:
        if self.model is not None:
            self.model.asked.append((self.name, member))

    def note(self, event: str, **fields: Any) -> None:
        pass


def twin(host: Any, door: Door) -> Any:
    """A copy of a member that shares what is never changed in place."""
    other = copy.copy(host)
    other.host, other.kept = door, copy.copy(host.kept)
    other.statuses = host.statuses.copy()
    other.turns, other.counts = host.turns.copy(), host.counts.copy()
    return other


@dataclass
class Model:
    """One state."""

    kind: Callable[..., Any]
    store: EmulatedStore = field(default_factory=EmulatedStore)
    hosts: dict[str, Any] = field(default_factory=dict)
    records: dict[str, StoreRecords] = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)
    files: dict[str, StoredPolicy] = field(default_factory=dict)
    leases: dict[str, float] = field(default_factory=dict)  # at the arbiter, by name
    cut: set[str] = field(default_factory=set)
    stopped: set[str] = field(default_factory=set)
    stalled: set[str] = field(default_factory=set)
    late: list[tuple[str, Transaction]] = field(default_factory=list)
    left: dict[str, int] = field(default_factory=dict)
    asked: list[tuple[str, str]] = field(default_factory=list)
    now: float = 0.0
    number: int = 0
    old_after: bool = False  # work was taken under the old one after the switch time
    new: bool = False
    new_before: bool = False

    def begin(self, bounds: Bounds) -> Model:
        self.left = {name: getattr(bounds, name) for name in BOUNDED}
        for name in NAMED:
            self._start(name)
            self._enter(name)
        for name in NAMED:
            self._watch(name)
        self.hosts["a"].now = 0.0
        self.store.write(self.hosts["a"].propose(BODY, SPAN)[0])
        return self

    def _start(self, name: str) -> None:
        self.number += 1
        kept = copy.copy(self.files.get(name)) or StoredPolicy("f")
        host = self.kind(f"{name}.{self.number}", name, LEASE, Door(self, name), self.now, kept)
        self.hosts[name] = host
        self.records[name], self.seen[name] = StoreRecords(), -1
        host.begin()

    def _enter(self, name: str) -> None:
        host = self.hosts[name]
        entry = MEMBERS + host.member_id
        if entry not in self.store.entries:
            self.store.revision += 1
            self.store.put(entry, msgspec.json.encode(Member(host.member_id, name, name)))
            if NAMES + name not in self.store.entries:
                self.store.put(NAMES + name, b"1")
            self.leases[name] = self.now
            entered = self.store.revision
        else:
            entered = self.store.entries[entry].create
        self.leases[name] = self.now + LEASE
        host.now = self.now
        host.renewed(self.now + LEASE, entered)

    def twin(self) -> Model:
        other = copy.copy(self)
        other.store = copy.copy(self.store)
        other.store.entries = dict(self.store.entries)
        other.store.events, other.store.decided = self.store.events[:], self.store.decided[:]
        other.hosts = {name: twin(host, Door(other, name)) for name, host in self.hosts.items()}
        other.records = {name: records.copy() for name, records in self.records.items()}
        for name in ("seen", "files", "leases", "left"):
            setattr(other, name, dict(getattr(self, name)))
        other.cut, other.stopped, other.stalled = set(self.cut), set(self.stopped), set(self.stalled)
        other.late = self.late[:]
        other.asked = []
        return other

    # What may happen next.

    def events(self) -> Iterator[Event]:
        for name in sorted(self.stopped):
            yield ("goes_on", name)
        for name, host in self.hosts.items():
            if name in self.stopped:
                continue
            if name not in self.cut:
                host.now = self.now
                # Asked of a copy: a member may consider the change when it is asked.
                if isinstance(twin(host, Door(None, name)).due(), Transaction):
                    yield ("writes", name)
                    if self.left["late"]:
                        yield ("writes_late", name)
            if self.left["crashes"]:
                yield ("crashes", name)
            if self.left["stops"]:
                yield ("stops", name)
            if self.left["cuts"] and name not in self.cut:
                yield ("cut", name)
            if self.left["stalls"] and name not in self.stalled:
                yield ("stalls", name)
        for name in NAMED:
            if name not in self.hosts:
                yield ("starts", name)
        for place in range(len(self.late)):
            yield ("arrives", str(place))
        if self.left["words"]:
            for one in self.hosts:
                for other in self.hosts:
                    apart = one == other or {one, other} & self.stopped
                    if not apart and {one, other} & (self.cut | self.stalled):
                        yield ("says", one, other)
        for name, until in self.leases.items():
            if until <= self.now and self._entry(name):
                yield ("expires", name)
        if self.left["ticks"]:
            yield ("ticks",)

    def _entry(self, name: str) -> str:
        return next((e for e in self.store.entries if e.startswith(f"{MEMBERS}{name}.")), "")

    def do(self, event: Event) -> None:
        for host in self.hosts.values():
            host.now = self.now
        match event:
            case ("watches", name):
                self._watch(name)
            case ("stops", name):
                self.left["stops"] -= 1
                self.stopped.add(name)
            case ("goes_on", name):
                self.stopped.discard(name)
            case ("writes", name):
                due = self.hosts[name].due()
                assert isinstance(due, Transaction)
                self.store.write(due)
            case ("writes_late", name):
                self.left["late"] -= 1
                due = self.hosts[name].due()
                assert isinstance(due, Transaction)
                self.late.append((name, due))
            case ("arrives", place):
                self.store.write(self.late.pop(int(place))[1])
            case ("crashes", name):
                self.left["crashes"] -= 1
                del self.hosts[name]
            case ("starts", name):
                self._start(name)
                if name not in self.cut:
                    self._enter(name)
            case ("cut", name):
                self.left["cuts"] -= 1
                self.cut.add(name)
            case ("says", one, other):
                self.left["words"] -= 1
                word: PolicyStatus = self.hosts[one].word()
                self.hosts[other].heard(word)
                for policy_poller, member in self.asked:
                    host = self.hosts.get(policy_poller)
                    told = next((h for h in self.hosts.values() if h.member_id == member), None)
                    if host is not None and told is not None and told.decision is not None:
                        host.told(told.decision)
                self.asked.clear()
            case ("expires", name):
                entry = self._entry(name)
                self.store.revision += 1
                self.store.erase(entry)
            case ("ticks",):
                self.left["ticks"] -= 1
                self.now += TICK
                for name in self.hosts.keys() - self.cut - self.stopped:
                    self._enter(name)
        # Work may come before what the arbiter has done is known, and after.
        self._take()
        for name in self.hosts.keys() - self.cut - self.stopped - self.stalled:
            if self.seen[name] != len(self.store.events):
                self._watch(name)
        self._take()

    def _watch(self, name: str) -> None:
        host, records = self.hosts[name], self.records[name]
        host.now = self.now
        if self.seen[name] < 0:
            for key in sorted(self.store.entries):
                records.put(key, self.store.entries[key])
            records.revision = self.store.revision
            host.recorded(records.copy(), True)
        else:
            for revision, key, entry in self.store.events[self.seen[name] :]:
                records.revision = revision
                if entry is None:
                    records.erase(key)
                else:
                    records.put(key, entry)
            host.recorded(records.copy(), False)
        self.seen[name] = len(self.store.events)

    def _take(self) -> None:
        """Work that comes now, everywhere."""
        for name, host in self.hosts.items():
            host.now = self.now
            if name in self.stopped or host.doubt():
                continue
            version = host.in_force.version
            self.old_after |= version == 0 and self.now >= SPAN
            self.new |= version == 1
            self.new_before |= version == 1 and self.now < SPAN

    def key(self) -> str:
        """The text of a state: two of one text go on alike."""
        told = [
            (
                n, h.member_id, h.in_force.version, h.known, h.promise and h.promise.number, h.ended, h.sure,
                h.lease_until, h.entered, h.vote, sorted(h.words.items()), h.records.revision,
                h.voter_left_at, sorted(h.turns.due_since.items()), self.seen[n], h.started_from_file,
            )
            for n, h in self.hosts.items()
        ]  # fmt: skip
        files = [
            (n, k.promise and k.promise.number, k.ended, k.decision is None) for n, k in self.files.items()
        ]
        entries = [(k, e.create, e.mod) for k, e in sorted(self.store.entries.items())]
        late = [(n, t.what) for n, t in self.late]
        rest = (
            self.left,
            self.now,
            sorted(self.cut),
            late,
            sorted(self.leases.items()),
            self.old_after,
            self.new,
        )
        return repr((told, sorted(files), entries, rest))

    def broken(self) -> str:
        decided = bool(self.store.decided)
        if self.old_after and decided:
            return "decided, and work was taken under the old one after the switch time"
        if self.new and not decided:
            return "work was taken under one that was not decided"
        return "work was taken under the new one before the switch time" if self.new_before else ""


@dataclass
class Explored:
    states: int
    whole: bool
    broken: list[tuple[str, list[Event]]]
    decided: int = 0
    dropped: int = 0


def explore(bounds: Bounds, kind: Callable[..., Any] = PolicyReplica) -> Explored:
    """Breadth first; the first history that breaks a promise is the shortest."""
    first = Model(kind).begin(bounds)
    seen = {first.key()}
    waiting: deque[tuple[Model, list[Event]]] = deque([(first, [])])
    explored = Explored(1, True, [])
    while waiting:
        model, way = waiting.popleft()
        explored.decided += bool(model.store.decided)
        explored.dropped += not model.store.decided and NEXT not in model.store.entries
        for event in list(model.events()):
            after = model.twin()
            after.do(event)
            if fault := after.broken():
                explored.states, explored.whole = len(seen), False
                explored.broken.append((fault, [*way, event]))
                return explored
            key = after.key()
            if key not in seen:
                if len(seen) >= bounds.states:
                    explored.states, explored.whole = len(seen), False
                    return explored
                seen.add(key)
                waiting.append((after, [*way, event]))
    explored.states = len(seen)
    return explored
