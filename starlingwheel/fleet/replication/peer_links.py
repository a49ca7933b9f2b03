"""The links to other members, as the replicator knows them."""

from __future__ import annotations

from math import inf

from .context import ReplicationContext
from .views import ViewTracker

DIAL_RETRY_INTERVAL = 1 / 8  # of the longest timeout: when a member that was unreachable is dialled again


class PeerLinks:
    """Owns the sets of members that are linked, being dialled, or unreachable for now."""

    def __init__(self, context: ReplicationContext, views: ViewTracker) -> None:
        """Start with no links."""
        self.context, self.views = context, views
        self.linked: dict[str, None] = {}
        self.dialling: dict[str, None] = {}  # members of other cells
        self.unreachable: dict[str, float] = {}  # with the time until which that counts

    def __contains__(self, member: object) -> bool:
        """There is a link to that member."""
        return member in self.linked

    def up(self, member: str) -> None:
        """There is a link to a member: the first one, or a new one."""
        self.linked[member] = None
        self.dialling.pop(member, None)
        self.unreachable.pop(member, None)

    def down(self, member: str) -> None:
        """The link to a member has ended."""
        self.linked.pop(member, None)

    def dial_failed(self, member: str) -> None:
        """No link to a member has come up."""
        self.dialling.pop(member, None)
        self._mark_unreachable(member)

    def _mark_unreachable(self, member: str) -> None:
        retry_interval = DIAL_RETRY_INTERVAL * self.context.longest_timeout
        self.unreachable[member] = self.context.now + retry_interval

    def drop_departed(self) -> None:
        """Members that are out of the view are not dialled again."""
        view = self.views.view
        self.dialling = {member: None for member in self.dialling if member in view}
        self.unreachable = {member: until for member, until in self.unreachable.items() if member in view}

    def pop_retriable(self) -> list[str]:
        """Members that may be dialled again."""
        retriable = [member for member, until in self.unreachable.items() if until <= self.context.now]
        for member in retriable:
            del self.unreachable[member]
        return retriable

    def next_retry_at(self) -> float:
        """When `pop_retriable` has something to return."""
        return min(self.unreachable.values(), default=inf)

    def dial(self, member: str) -> bool:
        """There is a link to a member of another cell, or one is being opened."""
        if member in self.linked or member in self.dialling:
            return True
        if member not in self.views.view or member in self.unreachable:
            return False
        if not self.context.host.dial(member):
            self._mark_unreachable(member)
            return False
        self.dialling[member] = None
        return True

    def dial_holders(self) -> None:
        """Dial the members of other cells that have to send us what they own, after a change of the cells."""
        if self.views.view.shard_count > 1 and not self.views.is_synced:
            for member in sorted(self.views.holders() - self.views.own_shard_members().keys()):
                if not self.views.is_synced_by(member):
                    self.dial(member)


class ReachableMembers:
    """The members that can be reached, as a container: asking for one dials it."""

    def __init__(self, links: PeerLinks) -> None:
        """`links`: where to look for links, and to dial."""
        self.links = links

    def __contains__(self, member: object) -> bool:
        """There is a link to that member, or one is being opened."""
        return isinstance(member, str) and self.links.dial(member)
