"""Membership views: the members that hold a lease, their shards, and which members are responsible for a key.

A view is identified by its digest. The digest covers the revisions of the members' entries in the
coordination store, which are never reused, so two views with the same digest hold the same entries.

A member belongs to one shard by a hash of its name, and a key belongs to one by a hash of the key. The
members that record a request are those of its key's shard, so the cost of finding them is bounded, however
large the fleet is. Doubling the number of shards splits each in two, halving it merges pairs; a member that
joins or leaves never moves another member to a different shard.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Container, Iterable, Iterator

import msgspec

MAX_CACHED_KEYS = 4096  # keys whose coordinator and its successor are cached
MAX_SHARDS = 4096


class Member(msgspec.Struct, frozen=True):
    """One process of the fleet.

    `id`: its name and an incarnation that is new with each start. `term`: the revision at which its entry in
    the coordination store was created. `version`: the version of the policy that it follows.
    """

    id: str
    name: str
    address: str
    zone: str = ""
    version: int = 0
    term: int = 0


def hash_position(name: bytes) -> int:
    """Return the hash of a name; modulo the number of shards it is the name's shard."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big")


@functools.lru_cache(maxsize=1 << 14)
def member_position(member: str) -> int:
    """Return the hash of a member's name without its incarnation, so that a restart keeps its shard."""
    name, _, _ = member.rpartition(".")
    return hash_position((name or member).encode())


def digest(lines: Iterable[str]) -> int:
    """Return a hash of the lines, 7 bytes long."""
    return int.from_bytes(hashlib.blake2b("\n".join(lines).encode(), digest_size=7).digest(), "big")


class MembershipView:
    """The members that hold a lease, and their shards. Immutable but for its caches."""

    def __init__(
        self, members: Iterable[Member] = (), shard_count: int = 1, resharded_at: float = 0.0
    ) -> None:
        """Build the view.

        `shard_count`: a power of two. `resharded_at`: when the number of shards last changed, seconds on the
        wall clock.
        """
        self.members = {member.id: member for member in sorted(members, key=lambda m: m.id)}
        self.shard_count, self.resharded_at = shard_count, resharded_at
        lines = [f"{m.id} {m.term}" for m in self.members.values()]
        self.digest = digest(lines if shard_count == 1 else [*lines, f"cells {shard_count}"])
        # By key: its coordinator and the coordinator's successor.
        self._best_ranked: dict[bytes, list[str]] = {}
        # The members of each non-empty shard, by id.
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
        """Return whether the member with that id is in the view."""
        return member in self.members

    # Shards.

    def shard_of_key(self, key: bytes) -> int:
        """Return the shard that is responsible for a key: that of its hash, or the next that has members."""
        return self.shard_of_position(hash_position(key)) if self.shard_count > 1 else 0

    def shard_of_position(self, position: int) -> int:
        """Return the shard that is responsible for keys whose `hash_position` is `position`."""
        return self._next_with_members(position % self.shard_count) if self.shard_count > 1 else 0

    def shard_of_member(self, member: str) -> int:
        """Return the shard of a member, which need not be in the view."""
        return member_position(member) % self.shard_count if self.shard_count > 1 else 0

    def _next_with_members(self, shard: int) -> int:
        while self.members_by_shard and shard not in self.members_by_shard:
            shard = (shard + 1) % self.shard_count
        return shard

    def members_of_shard(self, shard: int) -> dict[str, Member]:
        """Return the members of a shard, by id."""
        return self.members_by_shard.get(shard, {})

    def fallback_members(self, shard: int) -> dict[str, Member]:
        """Return the members of the next shard if this one has a single member.

        They become responsible for the shard's keys when that member is lost.
        """
        alone = self.shard_count > 1 and len(self.members_of_shard(shard)) == 1 < len(self.members_by_shard)
        return self.members_of_shard(self._next_with_members((shard + 1) % self.shard_count)) if alone else {}

    def served_shards(self, shard: int) -> Iterator[int]:
        """Yield the shards whose keys a shard is responsible for: itself, and the empty ones before it."""
        yield shard
        previous = (shard - 1) % self.shard_count
        while previous != shard and previous not in self.members_by_shard:
            yield previous
            previous = (previous - 1) % self.shard_count

    def peers(self, member_id: str) -> list[str]:
        """Return the other members of a member's shard."""
        return [
            member for member in self.members_of_shard(self.shard_of_member(member_id)) if member != member_id
        ]

    def shard_digest(self, shard: int) -> int:
        """Return a digest of a shard in this view.

        Members that agree on it agree on the coordinator of each key that the shard is responsible for.
        """
        if self.shard_count == 1:
            return self.digest
        cached = self._shard_digests.get(shard)
        if cached is None:
            lines = [f"{m.id} {m.term}" for m in self.members_of_shard(shard).values()]
            lines.append(
                f"cell {shard} of {self.shard_count}, with {sum(1 for _ in self.served_shards(shard))}"
            )
            cached = self._shard_digests[shard] = digest(lines)
        return cached

    def holders(self, shard: int, older: MembershipView) -> set[str]:
        """Return the members that may hold records, made under an older view, of keys of this shard."""
        if self.shard_count == older.shard_count == 1:
            return set(older.members)
        fewer = min(self.shard_count, older.shard_count)
        residues = {served % fewer for served in self.served_shards(shard)}
        older_shards = (
            residue + fewer * multiple
            for residue in residues
            for multiple in range(older.shard_count // fewer)
        )
        responsible = {older.shard_of_position(older_shard) for older_shard in older_shards}
        return {
            member
            for older_shard in responsible
            for member in (*older.members_of_shard(older_shard), *older.fallback_members(older_shard))
        }

    # Coordinators and replicas.

    def ranked_members(self, key: bytes) -> list[Member]:
        """Return all members of the key's shard, best first, by rendezvous hashing.

        The loss of a member moves only the keys that it coordinates. The only member of a shard is followed
        by the members that are responsible if it is lost.
        """
        key_hash = hashlib.blake2b(key, digest_size=8).digest()

        def weight(member: Member) -> bytes:
            return hashlib.blake2b(member.id.encode(), digest_size=8, key=key_hash).digest()

        shard = self.shard_of_key(key)
        ranked = sorted(self.members_of_shard(shard).values(), key=weight, reverse=True)
        return ranked + sorted(self.fallback_members(shard).values(), key=weight, reverse=True)

    def coordinator(self, key: bytes, excluding: str = "") -> str:
        """Return the key's coordinator, or its coordinator once `excluding` is lost; empty: there is none."""
        ranked = self._best_ranked.get(key)
        if ranked is None:
            # Cached, because the ranking hashes all members of the shard and each frame about a request needs
            # the coordinator.
            if len(self._best_ranked) >= MAX_CACHED_KEYS:
                self._best_ranked.clear()
            ranked = self._best_ranked[key] = [member.id for member in self.ranked_members(key)[:2]]
        return next((member for member in ranked if member != excluding), "")

    def replicas(self, key: bytes, owner: str, count: int, reachable: Container[str]) -> list[str]:
        """Return the replicas of a request that `owner` owns under that key.

        They are the `count` best ranked reachable members other than the owner, so the coordinator comes
        first. If all of these are in the owner's zone, the best ranked member in another zone is added, so
        that the loss of a zone does not destroy both the request and its records. A member is looked up
        in `reachable` only if it is needed, since the lookup may dial the member.
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
