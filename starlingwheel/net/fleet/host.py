"""What hosts `Covering` for one member: links by member, frames, views, the gates of hand-offs.

Who decides on work is another part: a sidecar's module, or whatever else is a member of a fleet.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any

from ...decisions.config import BalancerConfig
from ...decisions.scheduler import DecisionScheduler
from ...fleet.config import FleetConfig, ReplicationConfig
from ...fleet.frames import (
    AttemptIntent,
    DecisionFrame,
    DecisionRequestFrame,
    Frame,
    HeartbeatFrame,
    PolicyStatusFrame,
    RecordedResponse,
)
from ...fleet.replication.replicator import ReplicatedRequest, RequestReplicator
from ..loop import Loop
from ..messages import CLOSE
from .links import encode_frame
from .messages import (
    CHECK_LINKS,
    EntryLost,
    FrameReceived,
    LeaseRenewed,
    LinkDown,
    LinkUp,
    MemberUnreachable,
    SendFrame,
    StoreRead,
    ViewChanged,
)
from .zones import ZoneController

if TYPE_CHECKING:
    from .policy import PolicyController


class AttemptHold:
    """Whether a hand-off may be written whole."""

    __slots__ = ("item", "number", "asked", "open")

    def __init__(self, item: ReplicatedRequest, number: int, asked: float) -> None:
        self.item, self.number, self.asked = item, number, asked
        self.open = False


class FleetHost:
    """For an actor that gets the fleet's mail; what it adds is the deciding part, named below."""

    loop: Loop

    def host(
        self,
        loop: Loop,
        member_id: str,
        part: FleetConfig,
        policy_controller: PolicyController,
        lapsed: Callable[[EntryLost], None],
        runner: Callable[[], DecisionScheduler],
        times: tuple[float, float],
        room: int,
        log: Callable[..., None],
    ) -> None:
        """`lapsed` is told when our own entry has gone from the view. `times`: shortest due, longest expiry.

        `runner`: whose decisions the plan for zones concerns. `room`: bytes kept for others.
        """
        self.member_id, self.lapsed, self.log = member_id, lapsed, log
        self.policy_controller, self.policy_replica = policy_controller, policy_controller.policy_replica
        now, (shortest, longest) = loop.now(), times
        self.zone_controller = ZoneController(
            member_id, float(part.lease_s), part.zones, shortest, now, runner, log
        )
        self.links: dict[str, Any] = {}
        self.reaching: Callable[[str], None] = lambda member: None  # has a link to it come up
        self.gates: dict[Any, AttemptHold] = {}
        self.errands: dict[tuple[ReplicatedRequest, int], Any] = {}
        self.replicator = RequestReplicator(member_id, longest, part.cover.keepers, room, self, now)
        policy_controller.module = self

    # The deciding part.

    def decide(self, item: ReplicatedRequest) -> None:
        """Decide on it, with its history; what is decided on already goes on."""
        raise NotImplementedError

    def answer(self, item: ReplicatedRequest, client: Any, reply: RecordedResponse) -> None:
        """The final answer for one that waits here."""
        raise NotImplementedError

    def released(self, exchange: Any) -> None:
        """That hand-off may be written whole."""
        raise NotImplementedError

    def dropped(self, exchange: Any) -> None:
        """That hand-off is never to be written whole."""
        raise NotImplementedError

    def cover_by(self, part: ReplicationConfig) -> None:
        """What is covered from now on."""
        raise NotImplementedError

    def retuned(self, terms: BalancerConfig) -> None:
        """What the decisions go by from now on."""
        raise NotImplementedError

    # What the fleet's actors tell.

    def hosted(self, message: Any, now: float) -> bool:
        """Take the fleet's mail; False: it is none of that."""
        self.replicator.now = self.policy_replica.now = now
        match message:
            case FrameReceived(_, PolicyStatusFrame() | DecisionRequestFrame() | DecisionFrame() as frame):
                for answer in self.policy_controller.heard(frame):
                    self.send_frame(message.member, answer)
            case FrameReceived(member, frame):
                if isinstance(frame, HeartbeatFrame) and frame.word is not None:
                    self.policy_replica.heard(frame.word)
                self.replicator.frame_received(member, frame)
            case StoreRead(records, gap):
                self.policy_replica.recorded(records, gap)
                self._wary()
                self.zone_controller.recorded(records, now)
            case LinkUp(member, link):
                self.links[member] = link
                self.replicator.link_up(member)
            case LinkDown(member, link):
                if self.links.get(member) is link:
                    del self.links[member]
                    self.replicator.link_down(member)
            case ViewChanged(view, gap):
                self.log(
                    "view",
                    members=len(view.members),
                    cells=view.cells,
                    digest=view.digest,
                    ours=self.member_id in view,
                )
                if self.member_id in self.replicator.view and self.member_id not in view:
                    self.lapsed(EntryLost())
                if gap:
                    # Guards against words said under a view between that nobody saw: all is told anew.
                    for link in self.links.values():
                        link.post(CLOSE)
                self.replicator.view_changed(view, gap)
            case MemberUnreachable(member):
                self.replicator.link_failed(member)
            case LeaseRenewed(until, entered):
                self.replicator.lease_until = until
                self.policy_replica.renewed(until, entered)
                self._wary()
            case _:
                return False
        return True

    def tick(self) -> None:
        """Something may be due."""
        self.policy_replica.doubt()
        self._wary()
        self.replicator.tick()

    def _wary(self) -> None:
        """Guards against doubt until the next beat, which says no word while nobody needs it."""
        if self.policy_replica.uneasy:
            for link in self.links.values():
                link.post(CHECK_LINKS)

    def next_at(self, now: float) -> float:
        """When to call `tick`, whatever comes."""
        at = self.policy_replica.next_at()
        return min(self.replicator.next_at(), at if at > now else inf)

    def beat(self, member: str, worded: bool) -> HeartbeatFrame:
        """What to say to a member. `worded`: it may need our word on the policy."""
        self.replicator.now = self.policy_replica.now = self.loop.now()
        self.policy_replica.doubt()
        lapsed = not self.replicator.may_decide() or self.policy_replica.uneasy
        word = self.policy_replica.word() if worded or lapsed else None
        view = self.replicator.view
        outside = view.cell_of(member) != view.cell_of(
            self.member_id
        )  # in our own cell links stay, whatever is said
        return HeartbeatFrame(
            self.replicator.digest, lapsed, word, outside and not self.replicator.needs_link(member)
        )

    # The door of the cover.

    def send_frame(self, member: str, frame: Frame) -> bool:
        link = self.links.get(member)
        if link is None or link.over:
            return False
        link.post(SendFrame(encode_frame(frame)))
        return True

    def say(self, member: str, frame: Frame) -> bool:
        """Send a frame to a member, as `send_frame` does."""
        return self.send_frame(member, frame)

    def dial(self, member: str) -> bool:
        self.reaching(member)
        return member in self.replicator.view

    def release_intent(self, item: ReplicatedRequest, number: int) -> None:
        if (exchange := self.errands.get((item, number))) is not None:
            self.gates[exchange].open = True
            self.released(exchange)

    def cancel_intent(self, item: ReplicatedRequest, number: int) -> None:
        if (exchange := self.errands.get((item, number))) is not None:
            self.dropped(exchange)

    def log_event(self, event: str, **fields: Any) -> None:
        self.log(event, **fields)

    # The gates.

    def hold(self, exchange: Any, item: ReplicatedRequest, intent: AttemptIntent) -> None:
        """A hand-off is to be made: `released` or `dropped` follows, perhaps at once."""
        number = self.replicator.add_intent(item, intent)
        self.gates[exchange] = AttemptHold(item, number, intent.at)
        self.errands[item, number] = exchange
        self.replicator.record_intent(item, number)

    def unhold(self, exchange: Any) -> AttemptHold | None:
        """It has ended."""
        gate = self.gates.pop(exchange, None)
        if gate is not None:
            del self.errands[gate.item, gate.number]
        return gate
