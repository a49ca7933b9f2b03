"""Who is in the fleet, and who is responsible for what: the members that hold a lease, divided into shards.

A view's digest names it: an entry of the coordination store never comes back, so two views of one digest are
the same set at the same time.

A member is of one shard, by a hash of its name; a key is of one, by a hash of the key. The members that
record a request are of its key's shard: finding them is bounded, however large the fleet. With twice as many
shards each is split in two, with half as many two are merged; a member that comes or goes moves no other one.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Container, Iterable, Iterator

import msgspec

MAX_CACHED_KEYS = 4096  # keys whose coordinator and successor are cached
MAX_SHARDS = 4096


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
    """The hash of a name; modulo the count of shards it is the name's shard."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big")


@functools.lru_cache(maxsize=1 << 14)
def member_position(member: str) -> int:
    """The hash of a member: of its name, so that a restart comes back to its shard."""
    name, _, _ = member.rpartition(".")
    return hash_position((name or member).encode())


def digest(lines: Iterable[str]) -> int:
    """A hash of 7 bytes that names the lines."""
    return int.from_bytes(hashlib.blake2b("\n".join(lines).encode(), digest_size=7).digest(), "big")


class MembershipView:
    """The members that hold a lease, and their shards. Does not change."""

    def __init__(
        self, members: Iterable[Member] = (), shard_count: int = 1, resharded_at: float = 0.0
    ) -> None:
        """`shard_count`, a power of two. `resharded_at`: since when, seconds on the wall clock."""
        self.members = {member.id: member for member in sorted(members, key=lambda m: m.id)}
        self.shard_count, self.resharded_at = shard_count, resharded_at
        lines = [f"{m.id} {m.term}" for m in self.members.values()]
        self.digest = digest(lines if shard_count == 1 else [*lines, f"cells {shard_count}"])
        self._best_ranked: dict[bytes, list[str]] = {}  # by key: its coordinator and the successor
        # Members by id, of each shard that has any.
        self.members_by_shard: dict[int, dict[str, Member]] = (
            {0: self.members} if shard_count == 1 and self.members else {}
        )
        if shard_count > 1:
            for member in self.members.values():
                self.members_by_shard.setdefault(member_position(member.id) % shard_count, {})[member.id] = (
                    member
                )
        self._shard_digests: dict[int, int] = {}

    def __contains__(self, member: object) -> bool:
        """The member of that id is in the view."""
        return member in self.members

    # Shards.

    def shard_of_key(self, key: bytes) -> int:
        """The shard that is responsible for a key: the key's own, or the next that has members."""
        return self.shard_of_position(hash_position(key)) if self.shard_count > 1 else 0

    def shard_of_position(self, position: int) -> int:
        """The shard that is responsible for a key of that hash (`hash_position`)."""
        return self._next_with_members(position % self.shard_count) if self.shard_count > 1 else 0

    def shard_of_member(self, member: str) -> int:
        """The shard of a member, also of one that is not in the view."""
        return member_position(member) % self.shard_count if self.shard_count > 1 else 0

    def _next_with_members(self, shard: int) -> int:
        while self.members_by_shard and shard not in self.members_by_shard:
            shard = (shard + 1) % self.shard_count
        return shard

    def members_of_shard(self, shard: int) -> dict[str, Member]:
        """The members of a shard, by id."""
        return self.members_by_shard.get(shard, {})

    def fallback_members(self, shard: int) -> dict[str, Member]:
        """The members of the next shard, if this one has a single member: they take over after its loss."""
        alone = self.shard_count > 1 and len(self.members_of_shard(shard)) == 1 < len(self.members_by_shard)
        return self.members_of_shard(self._next_with_members((shard + 1) % self.shard_count)) if alone else {}

    def served_shards(self, shard: int) -> Iterator[int]:
        """The shards for whose keys that one is responsible: itself, and the empty ones before it."""
        yield shard
        previous = (shard - 1) % self.shard_count
        while previous != shard and previous not in self.members_by_shard:
            yield previous
            previous = (previous - 1) % self.shard_count

    def peers(self, member_id: str) -> list[str]:
        """The other members of a member's shard."""
        return [
            member for member in self.members_of_shard(self.shard_of_member(member_id)) if member != member_id
        ]

    def shard_digest(self, shard: int) -> int:
        """Names the shard as this view has it: who agrees on it agrees on the coordinator of each key."""
        if self.shard_count == 1:
            return self.digest
        known = self._shard_digests.get(shard)
        if known is None:
            lines = [f"{m.id} {m.term}" for m in self.members_of_shard(shard).values()]
            lines.append(
                f"cell {shard} of {self.shard_count}, with {sum(1 for _ in self.served_shards(shard))}"
            )
            known = self._shard_digests[shard] = digest(lines)
        return known

    def holders(self, shard: int, older: MembershipView) -> set[str]:
        """Members that may know, by an older view, of a key for which this shard is responsible now."""
        if self.shard_count == older.shard_count == 1:
            return set(older.members)
        fewer = min(self.shard_count, older.shard_count)
        ours = {one % fewer for one in self.served_shards(shard)}
        older_shards = (one + fewer * turn for one in ours for turn in range(older.shard_count // fewer))
        responsible = {older.shard_of_position(one) for one in older_shards}
        return {
            member
            for one in responsible
            for member in (*older.members_of_shard(one), *older.fallback_members(one))
        }

    # Coordinators and replicas.

    def ranked_members(self, key: bytes) -> list[Member]:
        """All members of the key's shard, best first, by rendezvous hashing.

        A member that goes moves only the keys that it coordinates. After the only member of a shard come
        those that are responsible if it is lost.
        """
        key_hash = hashlib.blake2b(key, digest_size=8).digest()

        def weight(member: Member) -> bytes:
            return hashlib.blake2b(member.id.encode(), digest_size=8, key=key_hash).digest()

        shard = self.shard_of_key(key)
        ranked = sorted(self.members_of_shard(shard).values(), key=weight, reverse=True)
        return ranked + sorted(self.fallback_members(shard).values(), key=weight, reverse=True)

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
