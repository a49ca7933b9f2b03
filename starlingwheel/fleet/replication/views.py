"""The membership views that a member has seen, and whether it may decide under the present one."""

from __future__ import annotations

from math import inf

from ..frames import HeartbeatFrame
from ..membership import Member, MembershipView
from .context import ReplicationContext
from .request import ReplicatedRequest

MAX_SIMULTANEOUS_STARTS = 4  # members of a cell that may all have started at once
HEARTBEAT_MAX_AGE = 1 / 4  # of the longest timeout: older heartbeats do not count


class ViewTracker:
    """Owns the view, what members have synchronised under it, their heartbeats and this member's lease."""

    def __init__(self, context: ReplicationContext) -> None:
        """Start with an empty view."""
        self.context = context
        self.view = MembershipView()
        self.changed_at = context.now  # when the view of our cell changed
        # The last view under which all members had sent us what they own, and the views since.
        self.history: list[MembershipView] = []
        self.was_synced = False  # there was such a view
        self.synced_digests: dict[str, int] = {}  # by member: the view under which it has sent us that
        self.heartbeats: dict[str, tuple[float, HeartbeatFrame]] = {}  # by member, with the time of receipt
        self.lease_until = -inf

    def replace(self, view: MembershipView, gap: bool) -> None:
        """Another view holds. `gap`: there may have been others in between."""
        before, self.view = self.view, view
        if not gap and before.shard_digest(before.shard_of_member(self.context.member_id)) == self.digest:
            return
        self.changed_at = self.context.now
        self.was_synced = self.was_synced and not gap
        self.history = [*self.history, view] if self.was_synced else [view]
        if not self.was_synced and view.shard_count > 1:
            self.history = [*self._possible_predecessors(view), view]

    def _possible_predecessors(self, view: MembershipView) -> list[MembershipView]:
        """Views that may have held just before the first one that this member knows.

        A member that has just started must not grant what others own: of a cell that was split since, or of
        the next cell, which was responsible for our cell's keys as long as ours was empty.
        """
        cell = self.own_shard_members()
        recently_changed = self.context.now < view.resharded_at + self.context.longest_timeout
        counts = [view.shard_count // 2] if recently_changed else []
        possible = [MembershipView(view.members.values(), count) for count in counts]
        if len(cell) <= MAX_SIMULTANEOUS_STARTS:
            others = [m for m in view.members.values() if m.id not in cell]
            possible += [MembershipView(others, count) for count in (*counts, view.shard_count)]
        return possible

    @property
    def digest(self) -> int:
        """Of our cell in the view that holds: what `HeartbeatFrame.view_digest` says."""
        return self.view.shard_digest(self.view.shard_of_member(self.context.member_id))

    @property
    def is_synced(self) -> bool:
        """All members have sent us what they own under the view that holds."""
        return not self.view.members or (self.was_synced and len(self.history) == 1)

    def mark_synced(self) -> None:
        """All members have sent us what they own under the view that holds, or need not any more."""
        self.history, self.was_synced = [self.view], True

    def is_synced_by(self, member: str) -> bool:
        """That member has sent us what it owns under the view that holds."""
        return self.synced_digests.get(member) == self.digest

    def sync_deadline(self) -> float:
        """When what members own under the view before is over."""
        return self.changed_at + self.context.longest_timeout

    def forget_member(self, member: str) -> None:
        """The link to a member has ended."""
        self.heartbeats.pop(member, None)
        self.synced_digests.pop(member, None)

    def own_shard_members(self) -> dict[str, Member]:
        """The members of our cell."""
        return self.view.members_of_shard(self.view.shard_of_member(self.context.member_id))

    def coordinator_of(self, request: ReplicatedRequest) -> str:
        """The member that grants the request."""
        return self.view.coordinator(request.key)

    def coordinates(self, key: bytes) -> bool:
        """This member is the key's coordinator."""
        return self.view.coordinator(key) == self.context.member_id

    def holders(self) -> set[str]:
        """Members that have to send us what they know before we grant what we became coordinator of."""
        if self.view.shard_count == 1:
            return set(self.view.members)
        cell = self.view.shard_of_member(self.context.member_id)
        known = set().union(*(self.view.holders(cell, older) for older in self.history))
        return {member for member in known if member in self.view}

    def is_in_other_shard(self, member: str, request: ReplicatedRequest) -> bool:
        """That member is not of the cell whose members record the request."""
        view = self.view
        return view.shard_count > 1 and view.shard_of_member(member) != view.shard_of_position(
            request.hash_position
        )

    def has_remote_replicas(self, request: ReplicatedRequest) -> bool:
        """The replicas of a request that we own are not, or not all, of our cell."""
        cell = self.view.shard_of_position(request.hash_position)
        return self.is_in_other_shard(self.context.member_id, request) or bool(
            self.view.fallback_members(cell)
        )

    def agrees_on_coordinator(self, member: str, request: ReplicatedRequest, coordinator: str) -> bool:
        """That member, of another cell, names the coordinator that we do."""
        return self.is_in_other_shard(member, request) and coordinator == self.view.coordinator(request.key)

    def has_changed_for(self, request: ReplicatedRequest, before: MembershipView) -> bool:
        """Something that concerns the request has changed since that view."""
        now, then = (
            self.view.shard_of_position(request.hash_position),
            before.shard_of_position(request.hash_position),
        )
        changed = before.shard_digest(then) != self.view.shard_digest(now)
        replica_gone = any(member not in self.view for member in request.replicas)
        return changed or request.owner not in self.view or replica_gone

    def may_decide(self) -> bool:
        """This member is in the view that holds, as far as it can know.

        By its lease; past it, while it receives heartbeats from more than half of its cell under the same
        view: replication goes on while the coordination store is gone, but not on a member that is cut off.
        """
        if self.context.now < self.lease_until:
            return True
        since = self.context.now - HEARTBEAT_MAX_AGE * self.context.longest_timeout
        cell = self.own_shard_members()
        if len(cell) == 1 < len(self.view.members):
            return False  # another cell has its keys once its lease has ended
        recent = (frame for member, (at, frame) in self.heartbeats.items() if member in cell and at > since)
        return 2 * (1 + sum(frame.view_digest == self.digest for frame in recent)) > len(cell)

    def may_grant(self, key: bytes) -> bool:
        """No other member can have granted that key.

        Either this one was its coordinator in all views since the last synchronised one, or that is this one.
        """
        return (
            self.may_decide()
            and self.was_synced
            and all(view.coordinator(key) == self.context.member_id for view in self.history)
        )
