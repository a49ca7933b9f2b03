"""The coordination store of an emulated fleet, which is always consistent but may be unreachable."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from starlingwheel.fleet.membership import Member, MembershipView

from .member import TIMEOUT, EmulatedMember

if TYPE_CHECKING:
    from .world import World

LEASE_DURATION = 2.0  # seconds
RENEWAL_FRACTION = 1 / 3  # part of the lease's duration after which it is renewed
POLL_INTERVAL = 0.02  # seconds between calls of `step`


class Lease(NamedTuple):
    """A member's entry, and when its lease ends."""

    member: Member
    until: float  # seconds


class CoordinationStore:
    """The leases and the shard count; members are sent each new view."""

    def __init__(self, world: World, shard_count: int) -> None:
        """Start without leases, with the given shard count."""
        self.world = world
        self.leases: dict[str, Lease] = {}  # by member id
        self.shard_count, self.resharded_at = shard_count, -TIMEOUT
        self.down_until = 0.0
        self._last_digest = -1

    def grant_lease(self, member: EmulatedMember) -> None:
        """Grant or renew the lease of a member."""
        self.leases[member.id] = Lease(member.member, self.world.now + LEASE_DURATION)

    def evict(self, member_id: str) -> None:
        """End the lease of a member whose process is gone, as another member requests; ignored while down."""
        if self.world.now >= self.down_until:
            self.leases.pop(member_id, None)

    def set_shard_count(self, shard_count: int) -> None:
        """Change the shard count from now on."""
        self.shard_count, self.resharded_at = shard_count, self.world.now

    def step(self) -> None:
        """Renew and end leases, and send the view to all members if it has changed."""
        now = self.world.now
        if now < self.down_until:
            return
        for member in self.world.live_members():
            if not member.is_paused:
                self._renew(member)
        for member_id in [member_id for member_id, lease in self.leases.items() if lease.until <= now]:
            del self.leases[member_id]
        view = MembershipView(
            (lease.member for lease in self.leases.values()), self.shard_count, self.resharded_at
        )
        if view.digest != self._last_digest:
            self._last_digest = view.digest
            for member in self.world.live_members():
                self._send_view(member, view)

    def _renew(self, member: EmulatedMember) -> None:
        now = self.world.now
        if member.id not in self.leases:
            term = self.world.next_term()
            member.member = Member(member.id, member.name, "", member.member.zone, term=term)
            self.grant_lease(member)
            member.renewed_at = now
        elif now >= member.renewed_at + LEASE_DURATION * RENEWAL_FRACTION:
            member.renewed_at = now
            self.grant_lease(member)
        member.replicator.lease_until = member.renewed_at + LEASE_DURATION

    def _send_view(self, member: EmulatedMember, view: MembershipView) -> None:
        """Send a view to a member, which it gets after a random delay."""
        delay = self.world.rng.uniform(0.001, 0.03)
        self.world.events.schedule(
            self.world.now + delay,
            lambda: member.run(lambda: member.replicator.view_changed(view, gap=False)),
        )
