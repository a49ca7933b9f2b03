"""Links between the members of an emulated fleet: how they open, delay frames, are partitioned and close."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from starlingwheel.fleet.frames import Frame, HeartbeatFrame, ViewSyncedFrame

from .member import SILENCE_TIMEOUT, EmulatedMember

if TYPE_CHECKING:
    from .world import World

# Seconds of emulated time.
HEARTBEAT_INTERVAL = 0.1
# A link between shards that neither side needs is closed after this time without a frame about requests.
IDLE_LINK_TIMEOUT = 0.5
PARTITION_RETRY_INTERVAL = 0.01  # between two tries to deliver a frame over a partitioned link
DIAL_RETRY_INTERVAL = 0.02
CONNECT_FAILURE_PROBABILITY = 0.3  # of each try to open a missing link


class Link:
    """A connection between two members, each of which opens and closes its own side."""

    def __init__(self, ends: tuple[EmulatedMember, EmulatedMember], now: float) -> None:
        """Open both sides at the time `now`, in seconds."""
        self.ends = ends
        self.open = {end.id: True for end in ends}  # by member
        self.received_at = {end.id: now for end in ends}  # when the last heartbeat arrived, by receiver
        self.used_at = now  # when the last frame other than `ViewSyncedFrame` was sent
        self.arrives_at = {end.id: 0.0 for end in ends}  # when the last frame sent arrives, by receiver

    def other(self, member: EmulatedMember) -> EmulatedMember:
        """Return the member at the other end."""
        return self.ends[1] if self.ends[0] is member else self.ends[0]


class Network:
    """The links of all members and the partitions between them."""

    def __init__(self, world: World) -> None:
        """Link the members of `world`."""
        self.world = world
        self.partitioned_until: dict[tuple[str, str], float] = {}  # by the names of sender and receiver
        self.sent_frames: Counter[str] = Counter()  # by type
        self.max_links = 0  # highest link count of one member at any call of `maintain_links`

    def is_partitioned(self, sender: EmulatedMember, receiver: EmulatedMember) -> bool:
        """Return whether nothing arrives in this direction now."""
        return self.world.now < self.partitioned_until.get((sender.name, receiver.name), 0.0)

    def _is_partitioned_either_way(self, one: EmulatedMember, other: EmulatedMember) -> bool:
        return self.is_partitioned(one, other) or self.is_partitioned(other, one)

    # Frames.

    def send(self, link: Link, sender: EmulatedMember, frame: Frame) -> None:
        """Send a frame over a link, and print it if its request is traced."""
        self.sent_frames[type(frame).__name__] += 1
        if not isinstance(frame, ViewSyncedFrame):
            link.used_at = self.world.now
        receiver = link.other(sender)
        if self.world.is_traced(getattr(frame, "key", None)):
            self.world.print_trace(f"{sender.id} -> {receiver.id} {frame}")
        self._deliver(link, sender, lambda: receiver.replicator.frame_received(sender.id, frame))

    def _deliver(self, link: Link, sender: EmulatedMember, action: Callable[[], None]) -> None:
        """Run an action at the other end after a delay, in order; it waits while the link is partitioned."""
        receiver = link.other(sender)

        def arrive() -> None:
            if self.is_partitioned(sender, receiver):
                retry_at = max(link.arrives_at[receiver.id], self.world.now + PARTITION_RETRY_INTERVAL)
                link.arrives_at[receiver.id] = retry_at
                self.world.events.schedule(retry_at, arrive)
                return
            if receiver.alive and link.open[receiver.id]:
                receiver.run(lambda: action() if link.open[receiver.id] else None)

        delay = self.world.rng.uniform(0.0003, 0.003)
        arrives_at = max(link.arrives_at[receiver.id], self.world.now + delay)
        link.arrives_at[receiver.id] = arrives_at
        self.world.events.schedule(arrives_at, arrive)

    # Maintenance and closing of links.

    def close(self, link: Link, member: EmulatedMember) -> None:
        """Close one side of a link; the other side is closed after the frames sent before have arrived."""
        if not link.open[member.id]:
            return
        link.open[member.id] = False
        other = link.other(member)
        if member.links.get(other.id) is link:
            del member.links[other.id]
            if member.alive:
                member.replicator.now = self.world.now
                member.replicator.link_down(other.id)
        self._deliver(link, member, lambda: self.close(link, other))

    def maintain_links(self) -> None:
        """Exchange heartbeats, close silent and idle links, open missing ones, and tick the replicators."""
        alive = self.world.live_members()
        self._exchange_heartbeats(alive)
        running = [member for member in alive if not member.is_paused]
        self._open_missing(running)
        for member in running:
            self.max_links = max(self.max_links, len(member.links))
            if member.replicator.next_at() <= self.world.now:
                member.run(member.replicator.tick)

    def _exchange_heartbeats(self, alive: list[EmulatedMember]) -> None:
        heartbeats: dict[EmulatedMember, HeartbeatFrame] = {}
        for member in alive:
            if member.is_paused:
                continue
            for link in list(member.links.values()):
                other = link.other(member)
                sends = other.alive and not other.is_paused and link.open[other.id]
                if sends and not self.is_partitioned(other, member):
                    if other not in heartbeats:
                        heartbeats[other] = HeartbeatFrame(
                            other.replicator.digest, not other.replicator.may_decide()
                        )
                    self._receive_heartbeat(link, member, heartbeats[other])
                elif self.world.now > link.received_at[member.id] + SILENCE_TIMEOUT:
                    self.close(link, member)

    def _receive_heartbeat(self, link: Link, member: EmulatedMember, heartbeat: HeartbeatFrame) -> None:
        other = link.other(member)
        link.received_at[member.id] = self.world.now
        member.replicator.now = self.world.now
        member.replicator.frame_received(other.id, heartbeat)
        if self._is_idle(link, member, other):
            self.close(link, member)

    def _is_idle(self, link: Link, member: EmulatedMember, other: EmulatedMember) -> bool:
        """Return whether a link between shards is idle and neither side needs it any more."""
        view = member.replicator.view
        if view.shard_count == 1 or view.shard_of_member(member.id) == view.shard_of_member(other.id):
            return False
        if self.world.now < link.used_at + IDLE_LINK_TIMEOUT:
            return False
        return not (member.replicator.needs_link(other.id) or other.replicator.needs_link(member.id))

    # New links.

    def _open_missing(self, running: list[EmulatedMember]) -> None:
        for one, other in self._peers(running):
            if other.id in one.links or one.id in other.links:
                continue
            if (
                self._is_partitioned_either_way(one, other)
                or self.world.rng.random() < CONNECT_FAILURE_PROBABILITY
            ):
                continue
            if self._have_matching_views(one, other):
                self._connect(one, other)

    def _peers(self, running: list[EmulatedMember]) -> Iterator[tuple[EmulatedMember, EmulatedMember]]:
        """Yield the pairs of running members that must have a link: all pairs within a shard."""
        if self.world.store.shard_count == 1 and all(
            member.replicator.view.shard_count == 1 for member in running
        ):
            for number, one in enumerate(running):
                for other in running[number + 1 :]:
                    yield one, other
            return
        by_id = {member.id: member for member in running}
        for one in running:
            view = one.replicator.view
            for member_id in view.members_of_shard(view.shard_of_member(one.id)):
                if member_id > one.id and member_id in by_id:
                    yield one, by_id[member_id]

    @staticmethod
    def _have_matching_views(one: EmulatedMember, other: EmulatedMember) -> bool:
        """Return whether each is in the other's view and both views have the same shard count."""
        views = one.replicator.view, other.replicator.view
        return other.id in views[0] and one.id in views[1] and views[0].shard_count == views[1].shard_count

    def _connect(self, one: EmulatedMember, other: EmulatedMember) -> None:
        link = Link((one, other), self.world.now)
        one.links[other.id] = other.links[one.id] = link
        one.run(lambda: one.replicator.link_up(other.id))
        other.run(lambda: other.replicator.link_up(one.id))

    def dial(self, member: EmulatedMember, other_id: str, until: float) -> None:
        """Open a link to a member of another shard, or report its failure at the time `until`, in seconds."""
        if other_id in member.links:
            return
        other = self.world.members.get(other_id)
        if other is None or self.world.now >= until:
            member.replicator.link_failed(other_id)
            return
        busy = other.is_paused or member.id in other.links
        if (
            busy
            or self._is_partitioned_either_way(member, other)
            or not self._have_matching_views(member, other)
        ):
            member.run_after(DIAL_RETRY_INTERVAL, lambda: self.dial(member, other_id, until))
        else:
            self._connect(member, other)
