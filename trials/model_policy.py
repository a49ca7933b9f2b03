"""One change of the policy and three members, in every order of events within bounds: decided or dropped.

Time stands still but for an event that moves it by a lease; the switch time is three of them after the
proposal. States are copied and told apart by their text; `Bounds` limits which faults happen, not the order.
"""

from __future__ import annotations

import copy
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.policy.host import StoredPolicy
from starlingwheel.fleet.policy.replica import PolicyReplica
from starlingwheel.fleet.records import MEMBERS_PREFIX, NAMES_PREFIX, PROPOSAL_KEY, StoreRecords, Transaction

from .emulated_store import EmulatedStore
from .model_policy_events import FAULTS, LIMITED, Bounds, Event, EventKind
from .model_policy_host import DecisionRequest, ModelHost, copy_replica
from .model_search import Exploration, search

LEASE, SWITCH_DELAY, TICK = 1.0, 3.0, 1.0  # seconds
MEMBER_NAMES = ("a", "b", "c")
BODY = {"settings": {"number": 1}, "cover": {}}
UNREAD = -1  # in place of the number of events seen: the watch has not begun

ReplicaType = Callable[..., PolicyReplica]


class DelayedWrite(NamedTuple):
    """A transaction that has not reached the store yet, and the name of its member."""

    member: str
    transaction: Transaction


@dataclass
class Model:
    """One state. All by name of the member."""

    replica_type: ReplicaType
    store: EmulatedStore = field(default_factory=EmulatedStore)
    replicas: dict[str, PolicyReplica] = field(default_factory=dict)
    records: dict[str, StoreRecords] = field(default_factory=dict)
    events_seen: dict[str, int] = field(default_factory=dict)
    files: dict[str, StoredPolicy] = field(default_factory=dict)
    leases: dict[str, float] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    stalled: set[str] = field(default_factory=set)
    delayed: list[DelayedWrite] = field(default_factory=list)
    remaining: dict[str, int] = field(default_factory=dict)  # of each of `LIMITED`
    decision_requests: list[DecisionRequest] = field(default_factory=list)
    now: float = 0.0
    started: int = 0
    served_old_after_switch: bool = False
    served_new: bool = False
    served_new_before_switch: bool = False

    def begin(self, bounds: Bounds) -> Model:
        """All members have entered and know it, and one has proposed the change."""
        self.remaining = {name: getattr(bounds, name) for name in LIMITED}
        for name in MEMBER_NAMES:
            self._start(name)
            self._renew(name)
        for name in MEMBER_NAMES:
            self._watch(name)
        author = self.replicas["a"]
        author.now = 0.0
        self.store.write(author.propose(BODY, SWITCH_DELAY)[0])
        return self

    def _start(self, name: str) -> None:
        self.started += 1
        stored = copy.copy(self.files.get(name)) or StoredPolicy("f")
        member_id, host = f"{name}.{self.started}", ModelHost(self, name)
        replica = self.replica_type(member_id, name, LEASE, host, self.now, stored)
        self.replicas[name] = replica
        self.records[name], self.events_seen[name] = StoreRecords(), UNREAD
        replica.restore()

    def _renew(self, name: str) -> None:
        """Renew the lease of a member, which may enter by that."""
        replica = self.replicas[name]
        entry = MEMBERS_PREFIX + replica.member_id
        if entry not in self.store.entries:
            self.store.revision += 1
            self.store.put(entry, msgspec.json.encode(Member(replica.member_id, name, name)))
            if NAMES_PREFIX + name not in self.store.entries:
                self.store.put(NAMES_PREFIX + name, b"1")
        self.leases[name] = self.now + LEASE
        replica.now = self.now
        replica.lease_renewed(self.now + LEASE, self.store.entries[entry].create_revision)

    def copy(self) -> Model:
        """A state of its own."""
        other = copy.copy(self)
        other.store = copy.copy(self.store)
        other.store.entries = dict(self.store.entries)
        other.store.events, other.store.decided = self.store.events[:], self.store.decided[:]
        other.replicas = {
            name: copy_replica(replica, ModelHost(other, name)) for name, replica in self.replicas.items()
        }
        other.records = {name: records.copy() for name, records in self.records.items()}
        for name in ("events_seen", "files", "leases", "remaining"):
            setattr(other, name, dict(getattr(self, name)))
        other.cut, other.paused, other.stalled = set(self.cut), set(self.paused), set(self.stalled)
        other.delayed = self.delayed[:]
        other.decision_requests = []
        return other

    # What may happen next.

    def events(self) -> Iterator[Event]:
        """All events that may happen in this state."""
        for name in sorted(self.paused):
            yield Event(EventKind.RESUMES, name)
        for name in self.replicas:
            if name not in self.paused:
                yield from self._events_of(name)
        for name in MEMBER_NAMES:
            if name not in self.replicas:
                yield Event(EventKind.STARTS, name)
        for place in range(len(self.delayed)):
            yield Event(EventKind.WRITE_ARRIVES, place=place)
        if self.remaining["statuses"]:
            yield from self._status_events()
        yield from self._expiry_events()
        if self.remaining["ticks"]:
            yield Event(EventKind.TIME_PASSES)

    def _expiry_events(self) -> Iterator[Event]:
        for name, until in self.leases.items():
            if until <= self.now and self._entry(name):
                yield Event(EventKind.LEASE_EXPIRES, name)

    def _events_of(self, name: str) -> Iterator[Event]:
        """What a member may do, or what may happen to it."""
        if name not in self.cut and self._has_to_write(name):
            yield Event(EventKind.WRITES, name)
            if self.remaining["delayed_writes"]:
                yield Event(EventKind.WRITE_DELAYED, name)
        if self.remaining["crashes"]:
            yield Event(EventKind.CRASHES, name)
        if self.remaining["pauses"]:
            yield Event(EventKind.PAUSES, name)
        if self.remaining["cuts"] and name not in self.cut:
            yield Event(EventKind.CUT_OFF, name)
        if self.remaining["watch_stalls"] and name not in self.stalled:
            yield Event(EventKind.WATCH_STALLS, name)

    def _has_to_write(self, name: str) -> bool:
        replica = self.replicas[name]
        replica.now = self.now
        # Asked of a copy: a member may vote on the proposal when it is asked.
        return isinstance(copy_replica(replica, ModelHost(None, name)).due(), Transaction)

    def _status_events(self) -> Iterator[Event]:
        """Statuses between members of which one may need them."""
        for sender in self.replicas:
            for receiver in self.replicas:
                pair = {sender, receiver}
                if sender != receiver and not pair & self.paused and pair & (self.cut | self.stalled):
                    yield Event(EventKind.STATUS_SENT, sender, receiver)

    def _entry(self, name: str) -> str:
        """The key of the member's entry; empty: it has none."""
        return next((key for key in self.store.entries if key.startswith(f"{MEMBERS_PREFIX}{name}.")), "")

    def apply(self, event: Event) -> None:
        """Have the event happen, with all that follows from it."""
        for replica in self.replicas.values():
            replica.now = self.now
        self._apply(event)
        # Requests may come before what the store has done is known, and after.
        self._take_requests()
        for name in self.replicas.keys() - self.cut - self.paused - self.stalled:
            if self.events_seen[name] != len(self.store.events):
                self._watch(name)
        self._take_requests()

    def _apply(self, event: Event) -> None:
        name = event.member
        if event.kind in FAULTS:
            self._apply_fault(event.kind, name)
            return
        match event.kind:
            case EventKind.WRITES:
                self.store.write(self._due(name))
            case EventKind.WRITE_ARRIVES:
                self.store.write(self.delayed.pop(event.place).transaction)
            case EventKind.STARTS:
                self._start(name)
                if name not in self.cut:
                    self._renew(name)
            case EventKind.STATUS_SENT:
                self.remaining["statuses"] -= 1
                self._send_status(name, event.receiver)
            case EventKind.LEASE_EXPIRES:
                self._expire(name)
            case EventKind.TIME_PASSES:
                self._tick()

    def _apply_fault(self, kind: EventKind, name: str) -> None:
        match kind:
            case EventKind.PAUSES:
                self.remaining["pauses"] -= 1
                self.paused.add(name)
            case EventKind.RESUMES:
                self.paused.discard(name)
            case EventKind.CRASHES:
                self.remaining["crashes"] -= 1
                del self.replicas[name]
            case EventKind.CUT_OFF:
                self.remaining["cuts"] -= 1
                self.cut.add(name)
            case EventKind.WRITE_DELAYED:
                self.remaining["delayed_writes"] -= 1
                self.delayed.append(DelayedWrite(name, self._due(name)))
            case EventKind.WATCH_STALLS:
                pass  # not modelled: the state stays as it is

    def _expire(self, name: str) -> None:
        entry = self._entry(name)
        self.store.revision += 1
        self.store.delete(entry)

    def _tick(self) -> None:
        self.remaining["ticks"] -= 1
        self.now += TICK
        for name in self.replicas.keys() - self.cut - self.paused:
            self._renew(name)

    def _due(self, name: str) -> Transaction:
        due = self.replicas[name].due()
        assert isinstance(due, Transaction)
        return due

    def _send_status(self, sender: str, receiver: str) -> None:
        """A status, and the decisions that are asked for because of it."""
        self.replicas[receiver].receive_status(self.replicas[sender].status())
        for request in self.decision_requests:
            replica = self.replicas.get(request.sender)
            asked = self._replica_of(request.member_id)
            if replica is not None and asked is not None and asked.decision is not None:
                replica.receive_decision(asked.decision)
        self.decision_requests.clear()

    def _replica_of(self, member_id: str) -> PolicyReplica | None:
        return next((replica for replica in self.replicas.values() if replica.member_id == member_id), None)

    def _watch(self, name: str) -> None:
        replica, records, store = self.replicas[name], self.records[name], self.store
        replica.now = self.now
        gap = self.events_seen[name] == UNREAD
        if gap:
            for key in sorted(store.entries):
                records.put(key, store.entries[key])
            records.revision = store.revision
        else:
            for revision, key, entry in store.events[self.events_seen[name] :]:
                records.revision = revision
                if entry is None:
                    records.delete(key)
                else:
                    records.put(key, entry)
        replica.update_records(records.copy(), gap)
        self.events_seen[name] = len(store.events)

    def _take_requests(self) -> None:
        """Requests that come now, at every member."""
        for name, replica in self.replicas.items():
            replica.now = self.now
            if name in self.paused or replica.unavailable_reason():
                continue
            version = replica.active_policy.version
            self.served_old_after_switch |= version == 0 and self.now >= SWITCH_DELAY
            self.served_new |= version == 1
            self.served_new_before_switch |= version == 1 and self.now < SWITCH_DELAY

    def key(self) -> str:
        """The text of a state: two of one text go on alike."""
        replicas = [
            (
                name, r.member_id, r.active_policy.version, r.decided_version, r.promise and r.promise.number,
                r.ended_proposal, r.is_decision_known, r.lease_until, r.entry_revision, r.vote,
                sorted(r.statuses.items()), r.records.revision,
                r.voter_left_at, sorted(r.turns.due_since.items()), self.events_seen[name],
                r.started_from_file,
            )
            for name, r in self.replicas.items()
        ]  # fmt: skip
        files = [
            (name, stored.promise and stored.promise.number, stored.ended_proposal, stored.decision is None)
            for name, stored in self.files.items()
        ]
        entries = [
            (key, entry.create_revision, entry.mod_revision)
            for key, entry in sorted(self.store.entries.items())
        ]
        world = (
            self.remaining,
            self.now,
            sorted(self.cut),
            [(write.member, write.transaction.kind) for write in self.delayed],
            sorted(self.leases.items()),
            self.served_old_after_switch,
            self.served_new,
        )
        return repr((replicas, sorted(files), entries, world))

    def violation(self) -> str:
        """The promise that was broken on the way to this state; empty: none."""
        decided = bool(self.store.decided)
        if self.served_old_after_switch and decided:
            return "decided, and work was taken under the old one after the switch time"
        if self.served_new and not decided:
            return "work was taken under one that was not decided"
        if self.served_new_before_switch:
            return "work was taken under the new one before the switch time"
        return ""


@dataclass
class PolicyExploration(Exploration[Event]):
    """What a search of the model has found."""

    decided: int = 0  # states in which the change is decided
    dropped: int = 0


def explore(bounds: Bounds, replica_type: ReplicaType = PolicyReplica) -> PolicyExploration:
    """All orders within the bounds."""
    counts: Counter[str] = Counter()

    def count_end(model: Model) -> None:
        counts["decided"] += bool(model.store.decided)
        counts["dropped"] += not model.store.decided and PROPOSAL_KEY not in model.store.entries

    found = search(Model(replica_type).begin(bounds), Model.copy, bounds.max_states, count_end)
    return PolicyExploration(
        found.states, found.complete, found.violations, counts["decided"], counts["dropped"]
    )
