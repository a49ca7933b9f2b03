"""Into how many shards the fleet is divided: the count follows its size, by one decision in the store.

The count is doubled once shards have more members on the mean than configured, and halved once they have
fewer than a quarter of that: members that come and go in between change nothing. Any member may write it,
each in its turn, and a transaction that compares the entry decides. `ShardPlanner` is one member's part and
does no I/O: the host sets `now`, reports what the coordination store has, and asks `due` for the next
transaction.
"""

from __future__ import annotations

from math import inf

import msgspec

from .membership import MAX_SHARDS
from .records import MEMBERS_PREFIX, SHARDS_KEY, Sharding, StoreRecords, Transaction, equal

MERGE_FRACTION = 1 / 4  # of the configured mean size: shards with fewer members are merged
STABLE_LEASES = 2.0  # leases for which the size has to stay beyond a bound
CHANGE_INTERVAL_LEASES = 8.0  # leases between two changes
TURN_LEASES = 1 / 16  # leases for which each member waits for the one before it
MAX_TURNS = 16  # members that wait for one another


class ShardPlanner:
    """One member's part in the decision into how many shards the fleet is divided."""

    def __init__(self, member_id: str, lease: float, max_mean_size: int, now: float) -> None:
        """`lease`, `now`: seconds. `max_mean_size`: members of a shard; 0: changes nothing."""
        self.member_id, self.lease, self.max_mean_size, self.now = member_id, lease, max_mean_size, now
        self.records = StoreRecords()
        self.changed_at = now  # when the entry was last seen to change, at the latest
        self.wanted_count = 0  # shards that there should be; 0: as many as there are
        self.wanted_since = inf

    def update_records(self, records: StoreRecords) -> None:
        """The coordination store has other records."""
        if records.shards_revision != self.records.shards_revision:
            self.changed_at = self.now
        self.records = records
        wanted = self._compute_wanted_count()
        if wanted != self.wanted_count:
            self.wanted_count, self.wanted_since = wanted, self.now if wanted else inf

    def _compute_wanted_count(self) -> int:
        """How many shards there should be; 0: as many as there are."""
        records = self.records
        if not self.max_mean_size or not records.shard_count or self.member_id not in records.members:
            return 0
        members, count = len(records.members), records.shard_count
        if members > count * self.max_mean_size and count < MAX_SHARDS:
            return 2 * count
        if members < count * self.max_mean_size * MERGE_FRACTION and count > 1:
            return count // 2
        # An entry that nobody can read is written again: members that start would know no shards at all.
        return count if records.is_shard_count_unreadable else 0

    def due(self) -> Transaction | float:
        """The transaction to carry out now, or when to ask again (seconds)."""
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
        # A change of the shards that was made meanwhile, or our own loss, makes it void.
        unchanged = [
            equal(SHARDS_KEY, "MOD", records.shards_revision),
            equal(MEMBERS_PREFIX + self.member_id, "CREATE", records.members[self.member_id].term),
        ]
        sharding = msgspec.json.encode(Sharding(self.wanted_count, self.now))
        return Transaction("cut", unchanged, [(SHARDS_KEY, sharding)])

    def _writers_before(self) -> int:
        """How many members write before this one; another order after each change."""
        members = sorted(self.records.members)
        return (members.index(self.member_id) + self.records.shards_revision) % len(members)
