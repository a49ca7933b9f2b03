"""What hosts `Covering` for one member: links by member, frames, views, the gates of hand-offs.

Who decides on work is another part: a sidecar's module, or whatever else is a member of a fleet.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any

from ...decisions.config import BalancerConfig
from ...decisions.scheduler import DecisionScheduler
from ...fleet.cover import ReplicatedRequest, RequestReplicator
from ...fleet.frames import (
    AttemptIntent,
    DecisionFrame,
    DecisionRequestFrame,
    Frame,
    HeartbeatFrame,
    PolicyStatusFrame,
    RecordedResponse,
)
from ...fleet.part import FleetConfig, ReplicationConfig
from ..loop import Loop
from ..mail import CLOSE
from .links import encode_frame
from .mail import (
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
        me: str,
        part: FleetConfig,
        ruling: PolicyController,
        lapsed: Callable[[EntryLost], None],
        runner: Callable[[], DecisionScheduler],
        times: tuple[float, float],
        room: int,
        log: Callable[..., None],
    ) -> None:
        """`lapsed` is told when our own entry has gone from the view. `times`: shortest due, longest expiry.

        `runner`: whose decisions the plan for zones concerns. `room`: bytes kept for others.
        """
        self.me, self.lapsed, self.log = me, lapsed, log
        self.ruling, self.following = ruling, ruling.following
        now, (shortest, longest) = loop.now(), times
        self.zoning = ZoneController(me, float(part.lease_s), part.zones, shortest, now, runner, log)
        self.links: dict[str, Any] = {}
        self.reaching: Callable[[str], None] = lambda member: None  # has a link to it come up
        self.gates: dict[Any, AttemptHold] = {}
        self.errands: dict[tuple[ReplicatedRequest, int], Any] = {}
        self.covering = RequestReplicator(me, longest, part.cover.keepers, room, self, now)
        ruling.module = self

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

    def hosted(self, mail: Any, now: float) -> bool:
        """Take the fleet's mail; False: it is none of that."""
        self.covering.now = self.following.now = now
        match mail:
            case FrameReceived(_, PolicyStatusFrame() | DecisionRequestFrame() | DecisionFrame() as frame):
                for answer in self.ruling.heard(frame):
                    self.say(mail.member, answer)
            case FrameReceived(member, frame):
                if isinstance(frame, HeartbeatFrame) and frame.word is not None:
                    self.following.heard(frame.word)
                self.covering.heard(member, frame)
            case StoreRead(records, gap):
                self.following.recorded(records, gap)
                self._wary()
                self.zoning.recorded(records, now)
            case LinkUp(member, link):
                self.links[member] = link
                self.covering.up(member)
            case LinkDown(member, link):
                if self.links.get(member) is link:
                    del self.links[member]
                    self.covering.down(member)
            case ViewChanged(view, gap):
                self.log(
                    "view",
                    members=len(view.members),
                    cells=view.cells,
                    digest=view.digest,
                    ours=self.me in view,
                )
                if self.me in self.covering.view and self.me not in view:
                    self.lapsed(EntryLost())
                if gap:
                    # Guards against words said under a view between that nobody saw: all is told anew.
                    for link in self.links.values():
                        link.post(CLOSE)
                self.covering.viewed(view, gap)
            case MemberUnreachable(member):
                self.covering.unreached(member)
            case LeaseRenewed(until, entered):
                self.covering.lease_until = until
                self.following.renewed(until, entered)
                self._wary()
            case _:
                return False
        return True

    def tick(self) -> None:
        """Something may be due."""
        self.following.doubt()
        self._wary()
        self.covering.tick()

    def _wary(self) -> None:
        """Guards against doubt until the next beat, which says no word while nobody needs it."""
        if self.following.uneasy:
            for link in self.links.values():
                link.post(CHECK_LINKS)

    def next_at(self, now: float) -> float:
        """When to call `tick`, whatever comes."""
        at = self.following.next_at()
        return min(self.covering.next_at(), at if at > now else inf)

    def beat(self, member: str, worded: bool) -> HeartbeatFrame:
        """What to say to a member. `worded`: it may need our word on the policy."""
        self.covering.now = self.following.now = self.loop.now()
        self.following.doubt()
        lapsed = not self.covering.may_decide() or self.following.uneasy
        word = self.following.word() if worded or lapsed else None
        view = self.covering.view
        outside = view.cell_of(member) != view.cell_of(
            self.me
        )  # in our own cell links stay, whatever is said
        return HeartbeatFrame(self.covering.digest, lapsed, word, outside and not self.covering.needs(member))

    # The door of the cover.

    def say(self, member: str, frame: Frame) -> bool:
        link = self.links.get(member)
        if link is None or link.over:
            return False
        link.post(SendFrame(encode_frame(frame)))
        return True

    def reach(self, member: str) -> bool:
        self.reaching(member)
        return member in self.covering.view

    def go(self, item: ReplicatedRequest, number: int) -> None:
        if (exchange := self.errands.get((item, number))) is not None:
            self.gates[exchange].open = True
            self.released(exchange)

    def stop(self, item: ReplicatedRequest, number: int) -> None:
        if (exchange := self.errands.get((item, number))) is not None:
            self.dropped(exchange)

    def note(self, event: str, **fields: Any) -> None:
        self.log(event, **fields)

    # The gates.

    def hold(self, exchange: Any, item: ReplicatedRequest, intent: AttemptIntent) -> None:
        """A hand-off is to be made: `released` or `dropped` follows, perhaps at once."""
        number = self.covering.intend(item, intent)
        self.gates[exchange] = AttemptHold(item, number, intent.at)
        self.errands[item, number] = exchange
        self.covering.hand_on(item, number)

    def unhold(self, exchange: Any) -> AttemptHold | None:
        """It has ended."""
        gate = self.gates.pop(exchange, None)
        if gate is not None:
            del self.errands[gate.item, gate.number]
        return gate
