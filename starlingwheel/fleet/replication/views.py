"""The membership views that a member has seen, and whether it may decide under the current one."""

from __future__ import annotations

from math import inf

from ..frames import HeartbeatFrame
from ..membership import Member, MembershipView
from .context import ReplicationContext
from .request import ReplicatedRequest

MAX_SIMULTANEOUS_STARTS = 4  # a shard of up to so many members may have been empty until they started
HEARTBEAT_MAX_AGE = 1 / 4  # of the longest timeout: older heartbeats do not count


class ViewTracker:
    """The view, which members have synchronised under it, their heartbeats, and this member's lease."""

    def __init__(self, context: ReplicationContext) -> None:
        """Start with an empty view."""
        self.context = context
        self.view = MembershipView()
        self.changed_at = context.now  # when the view of our shard last changed
        # The last view under which all members had sent us their records, and the views since.
        self.history: list[MembershipView] = []
        self.was_synced = False  # whether there has been such a view
        # By member: the digest of the view under which the member has sent us its records.
        self.synced_digests: dict[str, int] = {}
        self.heartbeats: dict[str, tuple[float, HeartbeatFrame]] = {}  # by member, with the time of receipt
        self.lease_until = -inf

    def replace(self, view: MembershipView, gap: bool) -> None:
        """Replace the view. `gap`: views between the former and this one may have been missed."""
        before, self.view = self.view, view
        if not gap and before.shard_digest(before.shard_of_member(self.context.member_id)) == self.digest:
            return
        self.changed_at = self.context.now
        self.was_synced = self.was_synced and not gap
        self.history = [*self.history, view] if self.was_synced else [view]
        if not self.was_synced and view.shard_count > 1:
            self.history = [*self._possible_predecessors(view), view]

    def _possible_predecessors(self, view: MembershipView) -> list[MembershipView]:
        """Return the views that may have been in force just before the first one that this member knows.

        A member that has just started must not grant requests that are owned by others and were recorded in a
        shard that has been split since, or in the next shard, which was responsible for our shard's keys
        while ours was empty.
        """
        own_shard = self.own_shard_members()
        recently_changed = self.context.now < view.resharded_at + self.context.longest_timeout
        counts = [view.shard_count // 2] if recently_changed else []
        possible = [MembershipView(view.members.values(), count) for count in counts]
        if len(own_shard) <= MAX_SIMULTANEOUS_STARTS:
            others = [m for m in view.members.values() if m.id not in own_shard]
            possible += [MembershipView(others, count) for count in (*counts, view.shard_count)]
        return possible

    @property
    def digest(self) -> int:
        """The digest of our shard in the current view, which heartbeats contain."""
        return self.view.shard_digest(self.view.shard_of_member(self.context.member_id))

    @property
    def is_synced(self) -> bool:
        """Whether all members have sent us their records under the current view."""
        return not self.view.members or (self.was_synced and len(self.history) == 1)

    def mark_synced(self) -> None:
        """Record that all members have sent us their records under the current view, or no longer need to."""
        self.history, self.was_synced = [self.view], True

    def is_synced_by(self, member: str) -> bool:
        """Return whether that member has sent us its records under the current view."""
        return self.synced_digests.get(member) == self.digest

    def sync_deadline(self) -> float:
        """Return when all requests that members owned under the previous view have ended."""
        return self.changed_at + self.context.longest_timeout

    def forget_member(self, member: str) -> None:
        """Forget the heartbeats and the synchronisation of a member whose link has ended."""
        self.heartbeats.pop(member, None)
        self.synced_digests.pop(member, None)

    def own_shard_members(self) -> dict[str, Member]:
        """Return the members of our shard, by id."""
        return self.view.members_of_shard(self.view.shard_of_member(self.context.member_id))

    def coordinator_of(self, request: ReplicatedRequest) -> str:
        """Return the coordinator of the request."""
        return self.view.coordinator(request.key)

    def coordinates(self, key: bytes) -> bool:
        """Return whether this member is the key's coordinator."""
        return self.view.coordinator(key) == self.context.member_id

    def holders(self) -> set[str]:
        """Return the members that must send us their records before we grant keys that are new to us."""
        if self.view.shard_count == 1:
            return set(self.view.members)
        shard = self.view.shard_of_member(self.context.member_id)
        holders = set().union(*(self.view.holders(shard, older) for older in self.history))
        return {member for member in holders if member in self.view}

    def is_in_other_shard(self, member: str, request: ReplicatedRequest) -> bool:
        """Return whether that member is in another shard than the one whose members record the request."""
        view = self.view
        return view.shard_count > 1 and view.shard_of_member(member) != view.shard_of_position(
            request.hash_position
        )

    def has_remote_replicas(self, request: ReplicatedRequest) -> bool:
        """Return whether not all replicas of a request that we own are in our shard."""
        shard = self.view.shard_of_position(request.hash_position)
        return self.is_in_other_shard(self.context.member_id, request) or bool(
            self.view.fallback_members(shard)
        )

    def agrees_on_coordinator(self, member: str, request: ReplicatedRequest, coordinator: str) -> bool:
        """Return whether that member, in another shard, names the same coordinator as we do."""
        return self.is_in_other_shard(member, request) and coordinator == self.view.coordinator(request.key)

    def has_changed_for(self, request: ReplicatedRequest, before: MembershipView) -> bool:
        """Return whether something that concerns the request has changed since the view `before`."""
        shard = self.view.shard_of_position(request.hash_position)
        shard_before = before.shard_of_position(request.hash_position)
        changed = before.shard_digest(shard_before) != self.view.shard_digest(shard)
        replica_gone = any(member not in self.view for member in request.replicas)
        return changed or request.owner not in self.view or replica_gone

    def may_decide(self) -> bool:
        """Return whether this member is in the current view as far as it can know.

        It is while it holds its lease, and after that while it and the members from which it receives
        heartbeats under the same view are more than half of its shard. So replication continues while the
        coordination store is unavailable, but not on a member that is partitioned.
        """
        if self.context.now < self.lease_until:
            return True
        since = self.context.now - HEARTBEAT_MAX_AGE * self.context.longest_timeout
        own_shard = self.own_shard_members()
        if len(own_shard) == 1 < len(self.view.members):
            return False  # another shard is responsible for its keys once its lease has ended
        recent = (
            frame for member, (at, frame) in self.heartbeats.items() if member in own_shard and at > since
        )
        return 2 * (1 + sum(frame.view_digest == self.digest for frame in recent)) > len(own_shard)

    def may_grant(self, key: bytes) -> bool:
        """Return whether no other member can have granted that key.

        No other member can have done so if this member may decide and is the key's coordinator in the last
        synchronised view and in all views since.
        """
        return (
            self.may_decide()
            and self.was_synced
            and all(view.coordinator(key) == self.context.member_id for view in self.history)
        )
