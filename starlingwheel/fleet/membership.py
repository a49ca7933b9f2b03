"""Who is in the fleet, and who keeps what: a view is the set of members that hold a lease, cut into cells.

Its digest names it: an entry never comes back, so two views of one digest are the same set at the same time.

A member is of one cell, by a hash of its name; a work name is of one, by a hash of its key. Whoever keeps a
work item is of its name's cell: finding them is bounded, however large the fleet. With twice as many cells
each is split in two, with half as many two are joined; a member that comes or goes moves no other one.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Container, Iterable, Iterator

import msgspec

KNOWN = 4096  # names whose first two are kept
MOST_CELLS = 4096


class Member(msgspec.Struct, frozen=True):
    """One process: `id` is its name and incarnation, new with each start; `term` is new with each entry."""

    id: str
    name: str
    address: str
    zone: str = ""
    version: int = 0
    term: int = 0


def place(name: bytes) -> int:
    """Where a name lies: with so many cells, in the one of that number modulo their count."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big")


@functools.lru_cache(maxsize=1 << 14)
def member_place(member: str) -> int:
    """The same of a member's id: by its name, so that a restart comes back to its cell."""
    name, _, _ = member.rpartition(".")
    return place((name or member).encode())


def digest(lines: Iterable[str]) -> int:
    return int.from_bytes(hashlib.blake2b("\n".join(lines).encode(), digest_size=7).digest(), "big")


class MembershipView:
    def __init__(self, members: Iterable[Member] = (), cells: int = 1, cut_at: float = 0.0) -> None:
        """`cells`: how many, a power of two; `cut_at`: when that was decided, seconds on the wall clock."""
        self.members = {member.id: member for member in sorted(members, key=lambda m: m.id)}
        self.cells, self.cut_at = cells, cut_at
        lines = [f"{m.id} {m.term}" for m in self.members.values()]
        self.digest = digest(lines if cells == 1 else [*lines, f"cells {cells}"])
        self.best: dict[bytes, list[str]] = {}  # of the names asked for lately, the first two
        # Those of each cell that has any, best known by their ids.
        self.groups: dict[int, dict[str, Member]] = {0: self.members} if cells == 1 and self.members else {}
        if cells > 1:
            for member in self.members.values():
                self.groups.setdefault(member_place(member.id) % cells, {})[member.id] = member
        self.digests: dict[int, int] = {}

    def __contains__(self, member: str) -> bool:
        return member in self.members

    # Cells.

    def cell(self, key: bytes) -> int:
        """The one whose members keep what has that name: its own, or the next that has members."""
        return self.cell_at(place(key)) if self.cells > 1 else 0

    def cell_at(self, where: int) -> int:
        """The same of a name that lies there (`place`)."""
        return self._next(where % self.cells) if self.cells > 1 else 0

    def cell_of(self, member: str) -> int:
        """The one that a member is of, also one that is not in the view."""
        return member_place(member) % self.cells if self.cells > 1 else 0

    def _next(self, cell: int) -> int:
        while self.groups and cell not in self.groups:
            cell = (cell + 1) % self.cells
        return cell

    def of_cell(self, cell: int) -> dict[str, Member]:
        return self.groups.get(cell, {})

    def beside(self, cell: int) -> dict[str, Member]:
        """Those of the next cell, where that one has a single member: they have its names after its loss."""
        alone = self.cells > 1 and len(self.of_cell(cell)) == 1 < len(self.groups)
        return self.of_cell(self._next((cell + 1) % self.cells)) if alone else {}

    def span(self, cell: int) -> Iterator[int]:
        """The cells whose names that one keeps: itself, and the empty ones before it."""
        yield cell
        before = (cell - 1) % self.cells
        while before != cell and before not in self.groups:
            yield before
            before = (before - 1) % self.cells

    def peers(self, member_id: str) -> list[str]:
        """The others of our cell."""
        return [member for member in self.of_cell(self.cell_of(member_id)) if member != member_id]

    def digest_of(self, cell: int) -> int:
        """Names the cell as this view has it: two that agree on it have one home for each of its names."""
        if self.cells == 1:
            return self.digest
        known = self.digests.get(cell)
        if known is None:
            lines = [f"{m.id} {m.term}" for m in self.of_cell(cell).values()]
            lines.append(f"cell {cell} of {self.cells}, with {sum(1 for _ in self.span(cell))}")
            known = self.digests[cell] = digest(lines)
        return known

    def holders(self, cell: int, older: MembershipView) -> set[str]:
        """Those who may know, by an older view, of what has a name that this cell keeps now."""
        if self.cells == older.cells == 1:
            return set(older.members)
        fewer = min(self.cells, older.cells)
        ours = {one % fewer for one in self.span(cell)}
        then = (one + fewer * turn for one in ours for turn in range(older.cells // fewer))
        kept = {older._next(c) for c in then}
        return {member for one in kept for member in (*older.of_cell(one), *older.beside(one))}

    # Homes and keepers.

    def ranks(self, key: bytes) -> list[Member]:
        """All members of its cell, best first, by rendezvous hashing: one that goes moves only its own.

        After the only member of a cell come those who have its names if it is lost.
        """
        mark = hashlib.blake2b(key, digest_size=8).digest()

        def turn(member: Member) -> bytes:
            return hashlib.blake2b(member.id.encode(), digest_size=8, key=mark).digest()

        cell = self.cell(key)
        order = sorted(self.of_cell(cell).values(), key=turn, reverse=True)
        return order + sorted(self.beside(cell).values(), key=turn, reverse=True)

    def home(self, key: bytes, but: str = "") -> str:
        """The one member that says whether a name is new; with `but`, the one if that is lost."""
        best = self.best.get(key)
        if best is None:
            # Guards against hashing with each member, over and over, for each word about an item.
            if len(self.best) >= KNOWN:
                self.best.clear()
            best = self.best[key] = [m.id for m in self.ranks(key)[:2]]
        return next((member for member in best if member != but), "")

    def keepers(self, key: bytes, owner: str, count: int, reached: Container[str]) -> list[str]:
        """Who records what `owner` has in hand under that name, of those that it reaches.

        The home, or who would be it in the owner's place; as many more as `count` says; and one in another
        zone than the owner's, if there is one: guards against a zone taking work and record with it.
        `reached` is asked of no more than that takes.
        """
        zone = self.members[owner].zone if owner in self.members else None
        chosen: list[Member] = []
        for member in self.ranks(key):
            if member.id == owner:
                continue
            spare = len(chosen) >= count
            if spare and not all(m.zone == zone for m in chosen):
                break
            if (not spare or member.zone != zone) and member.id in reached:
                chosen.append(member)
        return [m.id for m in chosen]
