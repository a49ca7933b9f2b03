"""The replicator's knowledge of the links to other members."""

from __future__ import annotations

from math import inf

from .context import ReplicationContext
from .views import ViewTracker

DIAL_RETRY_INTERVAL = 1 / 8  # of the longest timeout, until an unreachable member is dialed again


class PeerLinks:
    """The members that are linked, being dialed, or currently unreachable."""

    def __init__(self, context: ReplicationContext, views: ViewTracker) -> None:
        """Start with no links."""
        self.context, self.views = context, views
        self.linked: dict[str, None] = {}
        self.dialing: dict[str, None] = {}  # members of other shards
        self.unreachable: dict[str, float] = {}  # with the time until which they are not dialed again

    def __contains__(self, member: object) -> bool:
        """Return whether there is a link to that member."""
        return member in self.linked

    def up(self, member: str) -> None:
        """Record that there is a link to a member: the first one, or a new one."""
        self.linked[member] = None
        self.dialing.pop(member, None)
        self.unreachable.pop(member, None)

    def down(self, member: str) -> None:
        """Record that the link to a member has ended."""
        self.linked.pop(member, None)

    def dial_failed(self, member: str) -> None:
        """Record that dialing a member has not led to a link."""
        self.dialing.pop(member, None)
        self._mark_unreachable(member)

    def _mark_unreachable(self, member: str) -> None:
        retry_interval = DIAL_RETRY_INTERVAL * self.context.longest_timeout
        self.unreachable[member] = self.context.now + retry_interval

    def drop_departed(self) -> None:
        """Drop members that have left the view, so that they are not dialed again."""
        view = self.views.view
        self.dialing = {member: None for member in self.dialing if member in view}
        self.unreachable = {member: until for member, until in self.unreachable.items() if member in view}

    def pop_retriable(self) -> list[str]:
        """Remove and return the unreachable members that may be dialed again."""
        retriable = [member for member, until in self.unreachable.items() if until <= self.context.now]
        for member in retriable:
            del self.unreachable[member]
        return retriable

    def next_retry_at(self) -> float:
        """Return the earliest time at which `pop_retriable` returns a member."""
        return min(self.unreachable.values(), default=inf)

    def dial(self, member: str) -> bool:
        """Open a link to a member of another shard if there is none; return whether it is up or opening."""
        if member in self.linked or member in self.dialing:
            return True
        if member not in self.views.view or member in self.unreachable:
            return False
        if not self.context.host.dial(member):
            self._mark_unreachable(member)
            return False
        self.dialing[member] = None
        return True

    def dial_holders(self) -> None:
        """Dial the members of other shards that must send us their records after a change of the shards."""
        if self.views.view.shard_count > 1 and not self.views.is_synced:
            for member in sorted(self.views.holders() - self.views.own_shard_members().keys()):
                if not self.views.is_synced_by(member):
                    self.dial(member)


class ReachableMembers:
    """The members that can be reached, as a container; a membership test dials the member."""

    def __init__(self, links: PeerLinks) -> None:
        """Use `links` to look for links and to dial."""
        self.links = links

    def __contains__(self, member: object) -> bool:
        """Return whether a link to that member is up or being opened; open one if necessary."""
        return isinstance(member, str) and self.links.dial(member)
