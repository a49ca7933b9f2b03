"""Model of one policy change by three members, explored in every order of events within bounds.

The change ends decided or dropped. Time advances only by an event that adds the duration of a lease; the
switch time is three lease durations after the proposal. States are copied, and compared by their text;
`Bounds` limits how many faults happen, not the order of events.
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

LEASE, SWITCH_DELAY, TICK_DURATION = 1.0, 3.0, 1.0  # seconds
MEMBER_NAMES = ("a", "b", "c")
BODY = {"settings": {"number": 1}, "cover": {}}
UNREAD = -1  # number of events seen of a member whose watch has not begun

ReplicaType = Callable[..., PolicyReplica]


class DelayedWrite(NamedTuple):
    """A transaction that has not reached the store yet, and the name of the member that sent it."""

    member: str
    transaction: Transaction


@dataclass
class Model:
    """A state of the model. Dictionaries and sets are by name of the member."""

    replica_type: ReplicaType
    store: EmulatedStore = field(default_factory=EmulatedStore)
    replicas: dict[str, PolicyReplica] = field(default_factory=dict)
    records: dict[str, StoreRecords] = field(default_factory=dict)
    events_seen: dict[str, int] = field(default_factory=dict)
    files: dict[str, StoredPolicy] = field(default_factory=dict)
    leases: dict[str, float] = field(default_factory=dict)
    disconnected: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    stalled_watches: set[str] = field(default_factory=set)
    delayed_writes: list[DelayedWrite] = field(default_factory=list)
    remaining: dict[str, int] = field(default_factory=dict)  # events left, by field in `LIMITED`
    decision_requests: list[DecisionRequest] = field(default_factory=list)
    now: float = 0.0
    started: int = 0  # processes so far
    served_old_after_switch: bool = False
    served_new: bool = False
    served_new_before_switch: bool = False

    def initialize(self, bounds: Bounds) -> Model:
        """Let all members join and one of them propose the change, and return the model."""
        self.remaining = {name: getattr(bounds, name) for name in LIMITED}
        for name in MEMBER_NAMES:
            self._start(name)
            self._renew(name)
        for name in MEMBER_NAMES:
            self._follow_watch(name)
        proposer = self.replicas["a"]
        proposer.now = 0.0
        self.store.write(proposer.propose(BODY, SWITCH_DELAY)[0])
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
        """Renew the lease of a member, which joins the fleet if it has no entry."""
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
        """Return a copy that shares no mutable state with this model."""
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
        other.disconnected, other.paused, other.stalled_watches = (
            set(self.disconnected),
            set(self.paused),
            set(self.stalled_watches),
        )
        other.delayed_writes = self.delayed_writes[:]
        other.decision_requests = []
        return other

    # Possible events.

    def events(self) -> Iterator[Event]:
        """Yield all events that may happen in this state."""
        for name in sorted(self.paused):
            yield Event(EventKind.RESUMES, name)
        for name in self.replicas:
            if name not in self.paused:
                yield from self._member_events(name)
        for name in MEMBER_NAMES:
            if name not in self.replicas:
                yield Event(EventKind.STARTS, name)
        for position in range(len(self.delayed_writes)):
            yield Event(EventKind.WRITE_ARRIVES, position=position)
        if self.remaining["statuses"]:
            yield from self._status_events()
        yield from self._expiry_events()
        if self.remaining["ticks"]:
            yield Event(EventKind.TIME_PASSES)

    def _expiry_events(self) -> Iterator[Event]:
        for name, until in self.leases.items():
            if until <= self.now and self._entry(name):
                yield Event(EventKind.LEASE_EXPIRES, name)

    def _member_events(self, name: str) -> Iterator[Event]:
        """Yield what a member may do, and the faults that may affect it."""
        if name not in self.disconnected and self._has_transaction_due(name):
            yield Event(EventKind.WRITES, name)
            if self.remaining["delayed_writes"]:
                yield Event(EventKind.WRITE_DELAYED, name)
        if self.remaining["crashes"]:
            yield Event(EventKind.CRASHES, name)
        if self.remaining["pauses"]:
            yield Event(EventKind.PAUSES, name)
        if self.remaining["cuts"] and name not in self.disconnected:
            yield Event(EventKind.CUT_OFF, name)
        if self.remaining["watch_stalls"] and name not in self.stalled_watches:
            yield Event(EventKind.WATCH_STALLS, name)

    def _has_transaction_due(self, name: str) -> bool:
        replica = self.replicas[name]
        replica.now = self.now
        # `due` is called on a copy, because it may make the member vote on the proposal.
        return isinstance(copy_replica(replica, ModelHost(None, name)).due(), Transaction)

    def _status_events(self) -> Iterator[Event]:
        """Yield statuses between pairs of members of which one is disconnected or has a stalled watch."""
        for sender in self.replicas:
            for receiver in self.replicas:
                pair = {sender, receiver}
                if (
                    sender != receiver
                    and not pair & self.paused
                    and pair & (self.disconnected | self.stalled_watches)
                ):
                    yield Event(EventKind.STATUS_SENT, sender, receiver)

    def _entry(self, name: str) -> str:
        """Return the key of the member's entry, or an empty string if it has none."""
        return next((key for key in self.store.entries if key.startswith(f"{MEMBERS_PREFIX}{name}.")), "")

    def apply(self, event: Event) -> None:
        """Apply an event, and deliver its consequences to all members that can receive them."""
        for replica in self.replicas.values():
            replica.now = self.now
        self._apply_event(event)
        # Requests may arrive before members have read the changes in the store, and after.
        self._accept_requests()
        for name in self.replicas.keys() - self.disconnected - self.paused - self.stalled_watches:
            if self.events_seen[name] != len(self.store.events):
                self._follow_watch(name)
        self._accept_requests()

    def _apply_event(self, event: Event) -> None:
        name = event.member
        if event.kind in FAULTS:
            self._apply_fault(event.kind, name)
            return
        match event.kind:
            case EventKind.WRITES:
                self.store.write(self._due_transaction(name))
            case EventKind.WRITE_ARRIVES:
                self.store.write(self.delayed_writes.pop(event.position).transaction)
            case EventKind.STARTS:
                self._start(name)
                if name not in self.disconnected:
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
                self.disconnected.add(name)
            case EventKind.WRITE_DELAYED:
                self.remaining["delayed_writes"] -= 1
                self.delayed_writes.append(DelayedWrite(name, self._due_transaction(name)))
            case EventKind.WATCH_STALLS:
                pass  # not modelled: the state stays as it is

    def _expire(self, name: str) -> None:
        entry = self._entry(name)
        self.store.revision += 1
        self.store.delete(entry)

    def _tick(self) -> None:
        self.remaining["ticks"] -= 1
        self.now += TICK_DURATION
        for name in self.replicas.keys() - self.disconnected - self.paused:
            self._renew(name)

    def _due_transaction(self, name: str) -> Transaction:
        due = self.replicas[name].due()
        assert isinstance(due, Transaction)
        return due

    def _send_status(self, sender: str, receiver: str) -> None:
        """Deliver a status, and then the decisions that the receiver requests because of it."""
        self.replicas[receiver].receive_status(self.replicas[sender].status())
        for request in self.decision_requests:
            replica = self.replicas.get(request.sender)
            known_by = self._replica_of(request.member_id)
            if replica is not None and known_by is not None and known_by.decision is not None:
                replica.receive_decision(known_by.decision)
        self.decision_requests.clear()

    def _replica_of(self, member_id: str) -> PolicyReplica | None:
        return next((replica for replica in self.replicas.values() if replica.member_id == member_id), None)

    def _follow_watch(self, name: str) -> None:
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

    def _accept_requests(self) -> None:
        """Record the policy under which each member accepts requests now."""
        for name, replica in self.replicas.items():
            replica.now = self.now
            if name in self.paused or replica.unavailable_reason():
                continue
            version = replica.active_policy.version
            self.served_old_after_switch |= version == 0 and self.now >= SWITCH_DELAY
            self.served_new |= version == 1
            self.served_new_before_switch |= version == 1 and self.now < SWITCH_DELAY

    def key(self) -> str:
        """Return a text that identifies the state: states with the same text have the same future."""
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
            sorted(self.disconnected),
            [(write.member, write.transaction.kind) for write in self.delayed_writes],
            sorted(self.leases.items()),
            self.served_old_after_switch,
            self.served_new,
        )
        return repr((replicas, sorted(files), entries, world))

    def violation(self) -> str:
        """Return the invariant that was violated on the way to this state, or an empty string."""
        decided = bool(self.store.decided)
        if self.served_old_after_switch and decided:
            return "requests were accepted under the old policy after the switch time of a decided change"
        if self.served_new and not decided:
            return "requests were accepted under a policy that was not decided"
        if self.served_new_before_switch:
            return "requests were accepted under the new policy before the switch time"
        return ""


@dataclass
class PolicyExploration(Exploration[Event]):
    """The result of a search of the model."""

    decided: int = 0  # states in which the change is decided
    dropped: int = 0  # states in which it is dropped


def explore(bounds: Bounds, replica_type: ReplicaType = PolicyReplica) -> PolicyExploration:
    """Explore all orders of events within the bounds."""
    counts: Counter[str] = Counter()

    def count_outcome(model: Model) -> None:
        counts["decided"] += bool(model.store.decided)
        counts["dropped"] += not model.store.decided and PROPOSAL_KEY not in model.store.entries

    exploration = search(Model(replica_type).initialize(bounds), Model.copy, bounds.max_states, count_outcome)
    return PolicyExploration(
        exploration.states, exploration.complete, exploration.violations, counts["decided"], counts["dropped"]
    )
