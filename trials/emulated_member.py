"""A member of an emulated fleet, with its policy replica, clock, lease and watch. See `emulated_policy`."""

from __future__ import annotations

import copy
from math import inf
from typing import TYPE_CHECKING

import msgspec

from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.policy.document import PolicyBody
from starlingwheel.fleet.policy.host import StoredPolicy
from starlingwheel.fleet.policy.statuses import PolicyStatus
from starlingwheel.fleet.records import MEMBERS_PREFIX, NAMES_PREFIX, Policy, StoreRecords, Transaction

if TYPE_CHECKING:
    from .emulated_policy import World

LEASE = 2.0  # seconds
STEP_INTERVAL = 0.05  # seconds between the steps of a member, on average
MAX_SKEW = 0.1  # seconds that a member's clock may be ahead or behind
MIN_WRITE_INTERVAL = 0.05  # seconds between the transactions of a member
STATUS_INTERVAL = 1 / 320  # seconds for each member of the fleet, as on the program's links when needed
MIN_STATUS_INTERVAL = 0.1  # seconds
MAX_STATUS_DELAY = 0.02  # seconds
RENEWAL_INTERVAL = LEASE / 3  # seconds
RENEWAL_REPLY_PROBABILITY = 0.95  # that the reply to a renewal is not lost
WATCH_PROBABILITY = 0.7  # that the watch delivers events in a step
PROMPT_WRITE_DELAY = 0.002  # seconds until a prompt transaction reaches the store
PROMPT_WRITE_PROBABILITY = 0.9  # that a transaction is prompt


class EmulatedMember:
    """A process of the fleet with a policy replica, which it is the host of."""

    def __init__(self, world: World, name: str, number: int) -> None:
        """Start a process of the member `name`; `number` is unique among all starts of the fleet."""
        self.world, self.name, self.id = world, name, f"{name}.{number:06d}"
        self.skew = world.rng.uniform(-MAX_SKEW, MAX_SKEW)
        stored = world.files.get(name)
        stored = copy.deepcopy(stored) if stored else StoredPolicy("f")
        self.policy_replica = world.replica_type(self.id, name, LEASE, self, self.clock(), stored)
        self.records, self.events_seen = StoreRecords(), 0
        self.alive, self.paused_until = True, 0.0
        self.renewed_at, self.entry_revision = -inf, 0
        self.wrote_at = -inf
        self.status_sent_at = 0.0
        self.pending_statuses: dict[str, PolicyStatus] = {}  # those received while paused, by sender
        self.needs_full_read = True
        self.policy_replica.restore()

    def clock(self) -> float:
        """Return the time by the member's own clock."""
        return self.world.now + self.skew

    # Methods of `PolicyHost`.

    def check(self, body: PolicyBody) -> str:
        """Reject a policy that names this member in its setting `not`."""
        return "not here" if self.name in body["settings"].get("not", []) else ""

    def store(self, stored: StoredPolicy) -> None:
        """Store a copy in the files of the simulation, which survive a crash."""
        self.world.files[self.name] = copy.copy(stored)

    def store_state(self) -> str | None:
        """Return that everything is stored, since writes take effect at once."""
        return ""

    def apply_policy(self, policy: Policy) -> None:
        """Do nothing, since no component uses the policy."""

    def request_decision(self, member: str) -> None:
        """Adopt the decision of another member, if that can be reached and knows one."""
        other = self.world.members.get(member)
        if other is None or not self.world.is_linked(self, other):
            return
        if other.policy_replica.decision is not None:
            self.policy_replica.receive_decision(other.policy_replica.decision)

    def log_event(self, event: str, **fields: object) -> None:
        """Count a log event, and print it if tracing is on."""
        self.world.log_counts[event] += 1
        if self.world.trace:
            print(f"{self.world.now:.3f} {self.id} {event} {fields}")

    # Steps.

    def step(self) -> None:
        """Do what is due, unless paused, and schedule the next step."""
        if not self.alive:
            return
        if self.world.now >= self.paused_until:
            self._run_step()
        self.world.schedule(self.world.now + STEP_INTERVAL * self.world.rng.uniform(0.5, 1.5), self.step)

    def _run_step(self) -> None:
        # After a pause, waiting events may be handled in any order, so requests may come before all others.
        self.policy_replica.now = self.clock()
        self._accept_requests()
        for status in self.pending_statuses.values():
            self.policy_replica.receive_status(status)
        self.pending_statuses.clear()
        self._accept_requests()
        self._follow_watch()
        self.policy_replica.now = self.clock()
        self._renew_lease()
        self._send_statuses()
        self._write_due_transaction()
        self._accept_requests()

    def _accept_requests(self) -> None:
        if not self.policy_replica.unavailable_reason():
            self.world.observe(self, self.policy_replica.active_policy)

    def _follow_watch(self) -> None:
        """Handle the events of the watch, in order but late; none while the store is unreachable."""
        world = self.world
        if not world.reaches_store(self) or world.now < world.watch_stalled_until.get(self.name, 0.0):
            return
        if self.needs_full_read:
            self._read_all()
            return
        end = len(world.store.events) if world.rng.random() < WATCH_PROBABILITY else self.events_seen
        changed, members_changed, last_revision = False, False, 0
        for revision, key, entry in world.store.events[self.events_seen : end]:
            if members_changed and revision != last_revision:
                self.policy_replica.update_records(self.records.copy(), False)
                members_changed = False
            last_revision, changed = revision, True
            members_changed = members_changed or key.startswith(MEMBERS_PREFIX)
            self.records.revision = revision
            if entry is None:
                self.records.delete(key)
            else:
                self.records.put(key, entry)
        self.events_seen = end
        if changed:
            self.policy_replica.update_records(self.records.copy(), False)

    def _read_all(self) -> None:
        store = self.world.store
        self.records = StoreRecords()
        for key in sorted(store.entries):
            self.records.put(key, store.entries[key])
        self.events_seen = len(store.events)
        self.records.revision = store.revision
        self.policy_replica.update_records(self.records.copy(), True)
        self.needs_full_read = False

    def _renew_lease(self) -> None:
        world, store = self.world, self.world.store
        if world.now < self.renewed_at + RENEWAL_INTERVAL or not world.reaches_store(self):
            return
        key = MEMBERS_PREFIX + self.id
        if key not in store.entries:
            store.revision += 1
            store.put(key, msgspec.json.encode(Member(self.id, self.name, self.name)))
            if NAMES_PREFIX + self.name not in store.entries:
                store.put(NAMES_PREFIX + self.name, b"1")
            self.entry_revision = store.revision
        world.leases[key] = world.now + LEASE
        self.renewed_at = world.now
        if world.rng.random() < RENEWAL_REPLY_PROBABILITY:
            self.policy_replica.lease_renewed(self.clock() + LEASE, self.entry_revision)

    def _send_statuses(self) -> None:
        world = self.world
        interval = max(MIN_STATUS_INTERVAL, len(world.members) * STATUS_INTERVAL)
        if world.now < self.status_sent_at + interval:
            return
        self.status_sent_at = world.now
        for other in list(world.members.values()):
            if other is self or not (
                self.policy_replica.needs_statuses or other.policy_replica.needs_statuses
            ):
                continue
            if other.alive and world.is_linked(self, other):
                self._send_status(other)

    def _send_status(self, other: EmulatedMember) -> None:
        world = self.world
        made_at = self.clock() - world.rng.uniform(0, MAX_STATUS_DELAY)
        status = msgspec.structs.replace(self.policy_replica.status(), made_at=made_at)
        world.statuses_sent += 1
        if world.now < other.paused_until:
            other.pending_statuses[self.id] = status
        else:
            other.policy_replica.now = other.clock()
            other.policy_replica.receive_status(status)

    def _write_due_transaction(self) -> None:
        world = self.world
        if world.now < self.wrote_at + MIN_WRITE_INTERVAL or not world.reaches_store(self):
            return
        due = self.policy_replica.due()
        if isinstance(due, Transaction):
            self.wrote_at = world.now
            # A late transaction may reach the store when the state it was based on has changed.
            is_prompt = world.rng.random() < PROMPT_WRITE_PROBABILITY
            delay = PROMPT_WRITE_DELAY if is_prompt else world.rng.uniform(0, LEASE / 3)
            delay = world.write_delays.get(due.kind, delay)
            world.schedule(world.now + delay, lambda: world.reaches_store(self) and world.store.write(due))
