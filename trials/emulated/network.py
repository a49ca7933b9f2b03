"""The links between the members of an emulated fleet: delays, partitions and ends."""

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
IDLE_LINK_TIMEOUT = 0.5  # without a frame about requests a link between shards that neither side needs ends
PARTITION_RETRY_INTERVAL = 0.01  # when a frame on a partitioned link is tried again
DIAL_RETRY_INTERVAL = 0.02
CONNECT_FAILURE_RATE = 0.3  # part of the moments at which no link comes up


class Link:
    """One connection between two members; each side ends by itself."""

    def __init__(self, ends: tuple[EmulatedMember, EmulatedMember], now: float) -> None:
        """`now`: seconds."""
        self.ends = ends
        self.open = {end.id: True for end in ends}
        self.received_at = {end.id: now for end in ends}  # the last heartbeat, by receiver
        self.used_at = now  # when the last frame about requests was sent
        self.arrives_at = {end.id: 0.0 for end in ends}  # the last frame, by receiver

    def other(self, member: EmulatedMember) -> EmulatedMember:
        """The member at the other end."""
        return self.ends[1] if self.ends[0] is member else self.ends[0]


class Network:
    """Owns the partitions between members; opens, watches and ends their links."""

    def __init__(self, world: World) -> None:
        """`world`: whose members are linked."""
        self.world = world
        self.partitioned_until: dict[tuple[str, str], float] = {}  # by names of sender and receiver
        self.frames: Counter[str] = Counter()  # sent, by kind
        self.max_links = 0  # of one member, as seen now and then

    def is_partitioned(self, sender: EmulatedMember, receiver: EmulatedMember) -> bool:
        """Nothing arrives that way now."""
        return self.world.now < self.partitioned_until.get((sender.name, receiver.name), 0.0)

    def _is_partitioned_either_way(self, one: EmulatedMember, other: EmulatedMember) -> bool:
        return self.is_partitioned(one, other) or self.is_partitioned(other, one)

    # Frames.

    def send(self, link: Link, sender: EmulatedMember, frame: Frame) -> None:
        """Send a frame over a link."""
        self.frames[type(frame).__name__] += 1
        if not isinstance(frame, ViewSyncedFrame):
            link.used_at = self.world.now
        receiver = link.other(sender)
        if self.world.is_traced(getattr(frame, "key", None)):
            self.world.print_trace(f"{sender.id} -> {receiver.id} {frame}")
        self._deliver(link, sender, lambda: receiver.replicator.frame_received(sender.id, frame))

    def _deliver(self, link: Link, sender: EmulatedMember, action: Callable[[], None]) -> None:
        """Run an action at the other end: in order, after a delay; on a partitioned link it waits."""
        receiver = link.other(sender)

        def arrive() -> None:
            if self.is_partitioned(sender, receiver):
                retry_at = max(link.arrives_at[receiver.id], self.world.now + PARTITION_RETRY_INTERVAL)
                link.arrives_at[receiver.id] = retry_at
                self.world.events.at(retry_at, arrive)
                return
            if receiver.alive and link.open[receiver.id]:
                receiver.run(lambda: action() if link.open[receiver.id] else None)

        delay = self.world.rng.uniform(0.0003, 0.003)
        arrives_at = max(link.arrives_at[receiver.id], self.world.now + delay)
        link.arrives_at[receiver.id] = arrives_at
        self.world.events.at(arrives_at, arrive)

    # Ends of links.

    def close(self, link: Link, member: EmulatedMember) -> None:
        """One side ends a link; the other notices in order, if the way is open."""
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

    def watch(self) -> None:
        """Exchange heartbeats, end silent and idle links, open missing ones, and tick the replicators."""
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
        """A link between shards that neither side needs any more."""
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
            if self._is_partitioned_either_way(one, other) or self.world.rng.random() < CONNECT_FAILURE_RATE:
                continue
            if self._know_each_other(one, other):
                self._connect(one, other)

    def _peers(self, running: list[EmulatedMember]) -> Iterator[tuple[EmulatedMember, EmulatedMember]]:
        """Pairs of members that keep a link: all that are of one shard."""
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
    def _know_each_other(one: EmulatedMember, other: EmulatedMember) -> bool:
        """Each is in the other's view, and both views have as many shards."""
        views = one.replicator.view, other.replicator.view
        return other.id in views[0] and one.id in views[1] and views[0].shard_count == views[1].shard_count

    def _connect(self, one: EmulatedMember, other: EmulatedMember) -> None:
        link = Link((one, other), self.world.now)
        one.links[other.id] = other.links[one.id] = link
        one.run(lambda: one.replicator.link_up(other.id))
        other.run(lambda: other.replicator.link_up(one.id))

    def dial(self, member: EmulatedMember, other_id: str, until: float) -> None:
        """A member opens a link to one of another shard; it fails at `until`, seconds."""
        if other_id in member.links:
            return
        other = self.world.members.get(other_id)
        if other is None or self.world.now >= until:
            member.replicator.link_failed(other_id)
            return
        busy = other.is_paused or member.id in other.links
        if busy or self._is_partitioned_either_way(member, other) or not self._know_each_other(member, other):
            member.run_after(DIAL_RETRY_INTERVAL, lambda: self.dial(member, other_id, until))
        else:
            self._connect(member, other)
