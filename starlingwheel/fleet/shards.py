"""Into how many cells the fleet is cut: it follows its size, by one decision at the arbiter.

Twice as many once members are more than so many a cell on the mean, half as many once they are fewer than a
quarter of that: what comes and goes in between changes nothing. Anybody may write it, by turns, and a
transaction that compares the entry decides. `Cutting` is one member's part, without I/O: the host sets `now`
(the wall clock, seconds), tells what the arbiter has, and its scribe asks `due` for the next transaction.
"""

from __future__ import annotations

from math import inf

import msgspec

from .membership import MOST_CELLS
from .records import CELLS, MEMBERS, Sharding, StoreRecords, Transaction, equal

HALVED = 1 / 4  # of what a cell may have on the mean: with less, half as many cells
HOLD = 2.0  # leases for which the size has to stay beyond a bound
APART = 8.0  # leases between two changes
TURN = 1 / 16  # of a lease: for so long each waits for the one before it
TURNS = 16


class ShardMap:
    """One member's part of the fleet's decision into how many cells it is cut."""

    def __init__(self, member_id: str, lease: float, size: int, now: float) -> None:
        """`lease`: seconds. `size`: members a cell has on the mean at most; 0: never proposes."""
        self.member_id, self.lease, self.size, self.now = member_id, lease, size, now
        self.records = StoreRecords()
        self.changed_at = now  # when the entry was last seen to change, at the latest
        self.wanted = 0
        self.since = inf  # when that was first wanted

    def recorded(self, records: StoreRecords) -> None:
        """What the arbiter has."""
        if records.cells_mod != self.records.cells_mod:
            self.changed_at = self.now
        self.records = records
        wanted = self._wanted()
        if wanted != self.wanted:
            self.wanted, self.since = wanted, self.now if wanted else inf

    def _wanted(self) -> int:
        """How many cells there should be; 0: as many as there are."""
        records = self.records
        if not self.size or not records.cells or self.member_id not in records.members:
            return 0
        members, cells = len(records.members), records.cells
        if members > cells * self.size and cells < MOST_CELLS:
            return 2 * cells
        if members < cells * self.size * HALVED and cells > 1:
            return cells // 2
        # Guards against members that start while nobody can read it knowing no cells at all.
        return cells if records.cells_spoilt else 0

    def due(self) -> Transaction | float:
        """What to write at the arbiter now, or when to ask again."""
        if not self.wanted:
            return inf
        records = self.records
        ranks = sorted(records.members)
        turn = (ranks.index(self.member_id) + records.cells_mod) % len(ranks)
        at = max(self.since + HOLD * self.lease, self.changed_at + APART * self.lease)
        at += min(turn, TURNS) * TURN * self.lease
        if self.now < at:
            return at
        # A change of the cells that was made meanwhile, or our own loss, makes it void.
        same = [
            equal(CELLS, "MOD", records.cells_mod),
            equal(MEMBERS + self.member_id, "CREATE", records.members[self.member_id].term),
        ]
        return Transaction("cut", same, [(CELLS, msgspec.json.encode(Sharding(self.wanted, self.now)))])
