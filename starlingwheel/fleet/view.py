"""Who is in the fleet, and who keeps what: a view is the set of members that hold a lease.

Its digest names it: an entry never comes back, so two views of one digest are the same set at the same time.
"""

from __future__ import annotations

import hashlib
from collections.abc import Container, Iterable

import msgspec

KNOWN = 4096  # names whose first two are kept


class Member(msgspec.Struct, frozen=True):
    """One process: `id` is its name and incarnation, new with each start; `term` is new with each entry."""

    id: str
    name: str
    address: str
    zone: str = ""
    version: int = 0
    term: int = 0


class View:
    def __init__(self, members: Iterable[Member] = ()) -> None:
        self.members = {member.id: member for member in sorted(members, key=lambda m: m.id)}
        text = "\n".join(f"{m.id} {m.term}" for m in self.members.values()).encode()
        self.digest = int.from_bytes(hashlib.blake2b(text, digest_size=7).digest(), "big")
        self.best: dict[bytes, list[str]] = {}  # of the names asked for lately, the first two

    def __contains__(self, member: str) -> bool:
        return member in self.members

    def ranks(self, key: bytes) -> list[Member]:
        """All members, best first, by rendezvous hashing: one that goes moves only what was its own."""
        mark = hashlib.blake2b(key, digest_size=8).digest()

        def turn(member: Member) -> bytes:
            return hashlib.blake2b(member.id.encode(), digest_size=8, key=mark).digest()

        return sorted(self.members.values(), key=turn, reverse=True)

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
        """
        others = [m for m in self.ranks(key) if m.id != owner and m.id in reached]
        chosen = others[:count]
        zone = self.members[owner].zone if owner in self.members else None
        if chosen and all(m.zone == zone for m in chosen):
            chosen += [m for m in others if m.zone != zone][:1]
        return [m.id for m in chosen]
