"""The number of shards of the fleet, which follows the fleet's size and is decided in the coordination store.

The number is doubled once the mean shard has more members than configured, and halved once it has fewer than
a quarter of that; sizes in between change nothing, so a few members that join or leave do not. Any member may
write the change; the members take turns, and since the transaction compares the entry only one succeeds.
`ShardPlanner` is one member's part of this and does no I/O: the host sets `now`, passes in the records of the
coordination store, and asks `due` for the next transaction.
"""

from __future__ import annotations

from math import inf

import msgspec

from .membership import MAX_SHARDS
from .records import MEMBERS_PREFIX, SHARDS_KEY, Sharding, StoreRecords, Transaction, equal

MERGE_FRACTION = 1 / 4  # of the configured mean size: shards with a smaller mean size are merged
STABLE_LEASES = 2.0  # leases for which the size has to stay beyond a bound before a change
CHANGE_INTERVAL_LEASES = 8.0  # minimum of leases between two changes
TURN_LEASES = 1 / 16  # leases between the write times of two members
MAX_TURNS = 16  # members with a later turn write at the time of this turn


class ShardPlanner:
    """One member's part in deciding the number of shards of the fleet."""

    def __init__(self, member_id: str, lease: float, max_mean_size: int, now: float) -> None:
        """Start without records.

        `lease`, `now`: seconds. `max_mean_size`: the mean number of members of a shard beyond which shards
        are split; 0: this member never changes the number of shards.
        """
        self.member_id, self.lease, self.max_mean_size, self.now = member_id, lease, max_mean_size, now
        self.records = StoreRecords()
        self.changed_at = now  # the latest time at which the entry can have changed
        self.wanted_count = 0  # how many shards there should be; 0: as many as there are
        self.wanted_since = inf

    def update_records(self, records: StoreRecords) -> None:
        """Apply the records of the coordination store."""
        if records.shards_revision != self.records.shards_revision:
            self.changed_at = self.now
        self.records = records
        wanted = self._compute_wanted_count()
        if wanted != self.wanted_count:
            self.wanted_count, self.wanted_since = wanted, self.now if wanted else inf

    def _compute_wanted_count(self) -> int:
        """Return how many shards there should be; 0: as many as there are."""
        records = self.records
        if not self.max_mean_size or not records.shard_count or self.member_id not in records.members:
            return 0
        members, count = len(records.members), records.shard_count
        if members > count * self.max_mean_size and count < MAX_SHARDS:
            return 2 * count
        if members < count * self.max_mean_size * MERGE_FRACTION and count > 1:
            return count // 2
        # An unreadable entry is written again, since members that start could not read the number of shards.
        return count if records.is_shard_count_unreadable else 0

    def due(self) -> Transaction | float:
        """Return the transaction to write now, or when to call again, in seconds."""
        if not self.wanted_count:
            return inf
        records = self.records
        due_at = max(
            self.wanted_since + STABLE_LEASES * self.lease,
            self.changed_at + CHANGE_INTERVAL_LEASES * self.lease,
        )
        due_at += min(self._writers_before(), MAX_TURNS) * TURN_LEASES * self.lease
        if self.now < due_at:
            return due_at
        # The transaction fails if the number of shards has changed meanwhile or this member's entry is gone.
        unchanged = [
            equal(SHARDS_KEY, "MOD", records.shards_revision),
            equal(MEMBERS_PREFIX + self.member_id, "CREATE", records.members[self.member_id].term),
        ]
        sharding = msgspec.json.encode(Sharding(self.wanted_count, self.now))
        return Transaction("cut", unchanged, [(SHARDS_KEY, sharding)])

    def _writers_before(self) -> int:
        """Return how many members write before this one; the order differs after each change."""
        members = sorted(self.records.members)
        return (members.index(self.member_id) + self.records.shards_revision) % len(members)
