"""Who is in the fleet, and who is responsible for what: the members that hold a lease, divided into cells.

A view's digest names it: an entry of the coordination store never comes back, so two views of one digest are
the same set at the same time.

A member is of one cell, by a hash of its name; a key is of one, by a hash of the key. The members that record
a request are of its key's cell: finding them is bounded, however large the fleet. With twice as many cells
each is split in two, with half as many two are joined; a member that comes or goes moves no other one.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Container, Iterable, Iterator

import msgspec

MAX_CACHED_KEYS = 4096  # keys whose coordinator and successor are cached
MOST_CELLS = 4096


class Member(msgspec.Struct, frozen=True):
    """One process of the fleet.

    `id`: its name and incarnation, new with each start. `term`: revision of its entry in the coordination
    store, new with each entry. `version`: of the policy that it follows.
    """

    id: str
    name: str
    address: str
    zone: str = ""
    version: int = 0
    term: int = 0


def hash_position(name: bytes) -> int:
    """The hash of a name; modulo the count of cells it is the name's cell."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big")


@functools.lru_cache(maxsize=1 << 14)
def member_position(member: str) -> int:
    """The hash of a member: of its name, so that a restart comes back to its cell."""
    name, _, _ = member.rpartition(".")
    return hash_position((name or member).encode())


def digest(lines: Iterable[str]) -> int:
    """A hash of 7 bytes that names the lines."""
    return int.from_bytes(hashlib.blake2b("\n".join(lines).encode(), digest_size=7).digest(), "big")


class MembershipView:
    """The members that hold a lease, and their cells. Does not change."""

    def __init__(self, members: Iterable[Member] = (), cells: int = 1, divided_at: float = 0.0) -> None:
        """`cells`: their count, a power of two. `divided_at`: since when, seconds on the wall clock."""
        self.members = {member.id: member for member in sorted(members, key=lambda m: m.id)}
        self.cells, self.divided_at = cells, divided_at
        lines = [f"{m.id} {m.term}" for m in self.members.values()]
        self.digest = digest(lines if cells == 1 else [*lines, f"cells {cells}"])
        self._best_ranked: dict[bytes, list[str]] = {}  # by key: its coordinator and the successor
        # Members by id, of each cell that has any.
        self.members_by_cell: dict[int, dict[str, Member]] = (
            {0: self.members} if cells == 1 and self.members else {}
        )
        if cells > 1:
            for member in self.members.values():
                self.members_by_cell.setdefault(member_position(member.id) % cells, {})[member.id] = member
        self._cell_digests: dict[int, int] = {}

    def __contains__(self, member: object) -> bool:
        """The member of that id is in the view."""
        return member in self.members

    # Cells.

    def cell(self, key: bytes) -> int:
        """The cell that is responsible for a key: the key's own, or the next that has members."""
        return self.cell_at(hash_position(key)) if self.cells > 1 else 0

    def cell_at(self, position: int) -> int:
        """The cell that is responsible for a key of that hash (`hash_position`)."""
        return self._next_with_members(position % self.cells) if self.cells > 1 else 0

    def cell_of(self, member: str) -> int:
        """The cell of a member, also of one that is not in the view."""
        return member_position(member) % self.cells if self.cells > 1 else 0

    def _next_with_members(self, cell: int) -> int:
        while self.members_by_cell and cell not in self.members_by_cell:
            cell = (cell + 1) % self.cells
        return cell

    def members_of_cell(self, cell: int) -> dict[str, Member]:
        """The members of a cell, by id."""
        return self.members_by_cell.get(cell, {})

    def fallback_members(self, cell: int) -> dict[str, Member]:
        """The members of the next cell, if this one has a single member: they take over after its loss."""
        alone = self.cells > 1 and len(self.members_of_cell(cell)) == 1 < len(self.members_by_cell)
        return self.members_of_cell(self._next_with_members((cell + 1) % self.cells)) if alone else {}

    def served_cells(self, cell: int) -> Iterator[int]:
        """The cells for whose keys that one is responsible: itself, and the empty ones before it."""
        yield cell
        previous = (cell - 1) % self.cells
        while previous != cell and previous not in self.members_by_cell:
            yield previous
            previous = (previous - 1) % self.cells

    def peers(self, member_id: str) -> list[str]:
        """The other members of a member's cell."""
        return [member for member in self.members_of_cell(self.cell_of(member_id)) if member != member_id]

    def digest_of(self, cell: int) -> int:
        """Names the cell as this view has it: who agrees on it agrees on the coordinator of each key."""
        if self.cells == 1:
            return self.digest
        known = self._cell_digests.get(cell)
        if known is None:
            lines = [f"{m.id} {m.term}" for m in self.members_of_cell(cell).values()]
            lines.append(f"cell {cell} of {self.cells}, with {sum(1 for _ in self.served_cells(cell))}")
            known = self._cell_digests[cell] = digest(lines)
        return known

    def holders(self, cell: int, older: MembershipView) -> set[str]:
        """Members that may know, by an older view, of a key for which this cell is responsible now."""
        if self.cells == older.cells == 1:
            return set(older.members)
        fewer = min(self.cells, older.cells)
        ours = {one % fewer for one in self.served_cells(cell)}
        older_cells = (one + fewer * turn for one in ours for turn in range(older.cells // fewer))
        responsible = {older.cell_at(one) for one in older_cells}
        return {
            member
            for one in responsible
            for member in (*older.members_of_cell(one), *older.fallback_members(one))
        }

    # Coordinators and replicas.

    def ranked_members(self, key: bytes) -> list[Member]:
        """All members of the key's cell, best first, by rendezvous hashing.

        A member that goes moves only the keys that it coordinates. After the only member of a cell come those
        that are responsible if it is lost.
        """
        key_hash = hashlib.blake2b(key, digest_size=8).digest()

        def weight(member: Member) -> bytes:
            return hashlib.blake2b(member.id.encode(), digest_size=8, key=key_hash).digest()

        cell = self.cell(key)
        ranked = sorted(self.members_of_cell(cell).values(), key=weight, reverse=True)
        return ranked + sorted(self.fallback_members(cell).values(), key=weight, reverse=True)

    def coordinator(self, key: bytes, excluding: str = "") -> str:
        """The key's coordinator; with `excluding`, the one if that member is lost. Empty: there is none."""
        ranked = self._best_ranked.get(key)
        if ranked is None:
            # Cached, since each frame about a request asks for it, and ranking hashes all members.
            if len(self._best_ranked) >= MAX_CACHED_KEYS:
                self._best_ranked.clear()
            ranked = self._best_ranked[key] = [member.id for member in self.ranked_members(key)[:2]]
        return next((member for member in ranked if member != excluding), "")

    def replicas(self, key: bytes, owner: str, count: int, reachable: Container[str]) -> list[str]:
        """The replicas of a request that `owner` has under that key.

        These are the coordinator, or the one in the owner's place; as many more as `count` says; and one in
        another zone than the owner's, if there is one, so that the loss of a zone does not take both the
        request and its records. `reachable`: asked for no more members than needed.
        """
        zone = self.members[owner].zone if owner in self.members else None
        chosen: list[Member] = []
        for member in self.ranked_members(key):
            if member.id == owner:
                continue
            enough = len(chosen) >= count
            if enough and not all(replica.zone == zone for replica in chosen):
                break
            if (not enough or member.zone != zone) and member.id in reachable:
                chosen.append(member)
        return [member.id for member in chosen]
