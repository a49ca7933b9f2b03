"""One member of an emulated fleet: its policy replica, clock, lease and watch. See `emulated_policy`."""

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
        self.renewed_at, self.entry_revision = -inf, 0
        self.wrote_at = -inf
        self.status_sent_at = 0.0
        self.pending_statuses: dict[str, PolicyStatus] = {}  # that came while it was paused
        self.must_read_all = True
        self.policy_replica.restore()

    def clock(self) -> float:
        """The time by its own clock."""
        return self.world.now + self.skew

    # What the replica asks for; see `PolicyHost`.

    def check(self, body: PolicyBody) -> str:
        """A policy may name members that can't follow it."""
        return "not here" if self.name in body["settings"].get("not", []) else ""

    def store(self, stored: StoredPolicy) -> None:
        """Store it in the world's files."""
        self.world.files[self.name] = copy.copy(stored)

    def store_state(self) -> str | None:
        """All is stored at once."""
        return ""

    def apply_policy(self, policy: Policy) -> None:
        """Nothing has to be put in force."""

    def request_decision(self, member: str) -> None:
        """Take over the decision of that member, if it can be reached."""
        other = self.world.members.get(member)
        if other is None or not self.world.is_linked(self, other):
            return
        if other.policy_replica.decision is not None:
            self.policy_replica.receive_decision(other.policy_replica.decision)

    def log_event(self, event: str, **fields: object) -> None:
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
        self.world.schedule(self.world.now + STEP * self.world.rng.uniform(0.5, 1.5), self.step)

    def _run(self) -> None:
        # After a pause, what has waited is met in any order: requests may come first.
        self.policy_replica.now = self.clock()
        self._take_requests()
        for status in self.pending_statuses.values():
            self.policy_replica.receive_status(status)
        self.pending_statuses.clear()
        self._take_requests()
        self._follow_watch()
        self.policy_replica.now = self.clock()
        self._renew_lease()
        self._send_statuses()
        self._write()
        self._take_requests()

    def _take_requests(self) -> None:
        if not self.policy_replica.unavailable_reason():
            self.world.observe(self, self.policy_replica.active_policy)

    def _follow_watch(self) -> None:
        """The watch: late by a while, in order; nothing while the store can't be reached."""
        world = self.world
        if not world.reaches_store(self) or world.now < world.watch_stalled_until.get(self.name, 0.0):
            return
        if self.must_read_all:
            self._read_all()
            return
        end = len(world.store.events) if world.rng.random() < WATCH_CHANCE else self.events_seen
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
        self.must_read_all = False

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
        if world.rng.random() < RENEWAL_REPLY_CHANCE:  # else the reply is lost
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
        made_at = self.clock() - world.rng.uniform(0, STATUS_DELAY)
        status = msgspec.structs.replace(self.policy_replica.status(), made_at=made_at)
        world.statuses_sent += 1
        if world.now < other.paused_until:
            other.pending_statuses[self.id] = status
        else:
            other.policy_replica.now = other.clock()
            other.policy_replica.receive_status(status)

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
            delay = world.write_delays.get(due.kind, delay)
            world.schedule(world.now + delay, lambda: world.reaches_store(self) and world.store.write(due))
