"""Work in hand that survives the loss of its sidecar: another one takes it over, once.

Each named work item has a home, one member by rendezvous hash over the view. The home alone says that a
name is new; whoever hears that is the item's owner. The owner's keepers (the home, and others in its place)
record each intent to hand off before the hand-off's last byte is written. When the owner is lost the home
raises the item's epoch, which ends what the owner may still begin, and owns it with the history that it has.

In a fleet of several cells home and keepers are of the name's cell, and a member has links to its own cell
alone. An owner of another cell reaches for two keepers. Nobody waits for its word when that cell changes, so:
each keeper tells a new home what others own, and acknowledges nothing to an owner that names another home
than it does itself. What a keeper has acknowledged is then in what it tells.

`Covering` is one member's part. It does no I/O: the host sets `now` and tells what happened, a `Door` carries
out what is asked for. What it relies on: the frames of a link come in order and whole, or the link ends.
"""

from __future__ import annotations

import enum
import heapq
from collections import Counter
from math import inf
from typing import Any, Protocol

from ..frames import (
    ANSWERED,
    ASKED,
    FULL,
    KEPT,
    MOVED,
    NEW,
    NOTED,
    OTHER,
    RUNNING,
    STALE,
    UNKNOWN,
    AttemptIntent,
    AttemptIntentFrame,
    AttemptNotRunFrame,
    FindOwnerFrame,
    Frame,
    HeartbeatFrame,
    RecordedRequest,
    RecordedResponse,
    ReplicaStateFrame,
    ReplicateFrame,
    RequestFinishedFrame,
    ResponseFrame,
    ViewSyncedFrame,
)
from ..membership import Member, MembershipView, place

FINISHED, DEFERRED, MIXED_UP, WRITTEN_OFF = 200, 503, 422, 504
RERUNNABLE = "rerunnable"
UNSENT = "unsent"  # the fate of a hand-off that was never let go
REMEMBERED = 1 / 2  # of the longest expiry: for so long after an item's end its answer is kept
COME_BACK = 1 / 8  # of the longest expiry: when to come again to one who can't be told what became of it
RETRY = 1 / 8  # of the longest expiry: when one that could not be reached is tried again
FEW = 4  # members of a cell that may all have come at once
UNTOLD, UNSURE = -2, -1  # of a keeper: it was not told of the item; it has not said that it recorded it
RECENT = 1 / 4  # of the longest expiry: so old may the word of a member be that counts as heard
EACH = 512  # bytes that an item takes beside its bodies
NOTHING = RecordedRequest(b"", b"", [], b"", b"")


class RequestState(enum.Enum):
    ASKING = "asking"  # a repeat whose home has not said yet whether it is new
    OWNING = "owning"  # we act on it
    JOINED = "joined"  # another one acts on it, somebody here waits
    KEEPING = "keeping"  # another one acts on it, we record
    DONE = "done"  # it has its final answer


class BeginResult(enum.Enum):
    """What the host does with a request that has come."""

    RUN = "run"  # decide on it now; its hand-offs wait until they are let go
    WAIT = "wait"  # `Door.decide` or `Door.answer` follows, or has been called already
    ANSWER = "answer"  # `Item.reply` is its final answer
    OTHER = "other"  # the name stands for another request


class ReplicatedRequest:
    """One named work item, as one member knows it."""

    __slots__ = (
        "key", "mark", "category", "effect", "at", "until", "repeat", "asked", "intents", "epoch", "owner",
        "state", "reply", "keepers", "sure", "running", "main", "waiting", "askers", "clients", "adopted",
        "let_go", "unnoted", "at_home", "bytes", "stale", "rules", "place", "told_home", "granted",
    )  # fmt: skip

    def __init__(self, told: ReplicateFrame, state: RequestState) -> None:
        self.key, self.mark, self.category, self.effect = told.key, told.mark, told.category, told.effect
        self.at, self.until, self.repeat, self.asked = told.at, told.until, told.repeat, told.asked
        self.intents, self.epoch, self.owner = list(told.intents), told.epoch, told.owner
        self.state = state
        self.rules = told.rules
        self.reply: RecordedResponse | None = None
        # Who was told of it, and how many intents each has recorded; or `UNTOLD`, `UNSURE`.
        self.keepers: dict[str, int] = {}
        self.sure = False  # that it is new has been granted to us
        self.running = False  # the host decides on it
        self.main: Any = None  # the client for which it does
        self.waiting: dict[int, None] = {}  # hand-offs that are not let go yet
        self.askers: dict[str, None] = {}  # members that wait for its answer
        self.clients: dict[Any, float] = {}  # the host's requests that wait for its answer, and until when
        self.adopted = False  # it was another one's
        self.let_go = False  # a hand-off of ours was let go
        self.unnoted: RecordedResponse | None = None  # a deferral that its keepers have not recorded yet
        self.at_home = ""  # whom we asked, or who acts on it
        self.bytes = len(told.asked.body) + EACH
        self.stale = False  # a record from before we were out of the view for a while
        self.place = place(told.key)
        # Across cells. Of an owner: the home that its keepers know of; of a keeper: whom it told of the item.
        self.told_home = ""
        self.granted = False  # by us, its home, to its owner

    @property
    def may_have_run(self) -> bool:
        return (self.adopted or self.let_go) and any(not intent.fate for intent in self.intents)

    @property
    def ungranted(self) -> bool:
        """We act on it, or want to, or wait for it; nobody has said yet that it is new."""
        return not self.sure and self.state in (RequestState.ASKING, RequestState.JOINED, RequestState.OWNING)

    def cover(self, asks: bool, home: str = "") -> ReplicateFrame:
        return ReplicateFrame(
            self.key, self.owner, self.epoch, asks, self.mark, self.category, self.effect, self.at,
            self.until, self.repeat, self.asked, list(self.intents), self.sure or self.granted, self.rules,
            home,
        )  # fmt: skip


class ReplicationHost(Protocol):
    def say(self, member: str, frame: Frame) -> bool:
        """False: there is no link to it now."""

    def reach(self, member: str) -> bool:
        """Have a link to a member of another cell come up; `Covering.up` or `Covering.unreached` follows.

        False: none can, now.
        """

    def go(self, item: ReplicatedRequest, number: int) -> None:
        """That hand-off may be written whole."""

    def stop(self, item: ReplicatedRequest, number: int) -> None:
        """That hand-off is never to be written whole."""

    def decide(self, item: ReplicatedRequest) -> None:
        """Decide on it, with its history; what is decided on already goes on."""

    def answer(self, item: ReplicatedRequest, client: Any, reply: RecordedResponse) -> None:
        """The final answer for one that waits here."""

    def note(self, event: str, **fields: Any) -> None:
        """For the log."""


class DialMember:
    """The members that an owner of another cell reaches; being asked, it begins to."""

    def __init__(self, replicator: RequestReplicator) -> None:
        self.replicator = replicator

    def __contains__(self, member: str) -> bool:
        return self.replicator._reach(member)


class RequestReplicator:
    """One member's part of the cover of the whole fleet's work."""

    def __init__(
        self, member_id: str, longest: float, count: int, room: int, host: ReplicationHost, now: float
    ) -> None:
        """`longest`: the longest expiry, seconds; `count`: keepers an item; `room`: bytes kept for others."""
        self.member_id, self.longest, self.count, self.room = member_id, longest, count, room
        self.host, self.now = host, now
        self.items: dict[bytes, ReplicatedRequest] = {}
        self.view = MembershipView()
        self.view_at = now
        # The last view under which all had told us what they own, and those since.
        self.lately: list[MembershipView] = []
        self.settled = False  # there was one
        self.told: dict[str, int] = {}  # the view under which each member has told us that
        self.beats: dict[str, tuple[float, HeartbeatFrame]] = {}
        self.links: dict[str, None] = {}
        self.held: list[tuple[str, ReplicateFrame]] = []  # asked of us before all have told
        self.reaching: dict[str, None] = {}  # members of other cells to which a link is to come up
        self.failed: dict[str, float] = {}  # those to which none did, and until when that counts
        # Recorded here, while its owner, of another cell, names that home and we another one.
        self.early: dict[tuple[str, bytes], str] = {}
        self.lease_until = -inf
        self.counts: Counter[str] = Counter()
        self.kept_bytes = 0
        # When an item is over, or a client has waited enough.
        self.ends: list[tuple[float, int, ReplicatedRequest, Any]] = []
        self.number = 0

    # What the host tells.

    def viewed(self, view: MembershipView, gap: bool) -> None:
        """Another set of members holds leases. `gap`: there may have been others between."""
        if view.digest == self.view.digest and not (gap and view.members):
            return
        ours = (self.view.members.get(self.member_id), view.members.get(self.member_id))
        anew = gap or ours[0] != ours[1]
        if anew:
            # Others may have gone on without us: what we know of their work is old.
            for item in self.items.values():
                item.stale = item.state is RequestState.KEEPING
        before, self.view = self.view, view
        if gap or before.digest_of(before.cell_of(self.member_id)) != self.digest:
            self.view_at = self.now
            self.settled = self.settled and not gap
            self.lately = [*self.lately, view] if self.settled else [view]
            if not self.settled and view.cells > 1:
                self.lately = [*self._supposed(view), view]
        self.reaching = {m: None for m in self.reaching if m in view}
        self.failed = {m: until for m, until in self.failed.items() if m in view}
        for item in list(self.items.values()):
            if anew or self._moved(item, before):
                self._place(item)
        self._agree()
        for member in list(self.links):
            cell = view.cell_of(member)
            if gap or before.digest_of(before.cell_of(member)) != view.digest_of(cell):
                self.host.say(member, ViewSyncedFrame(view.digest_of(cell)))
        self._reach_holders()
        self._perhaps_settled()

    def _supposed(self, view: MembershipView) -> list[MembershipView]:
        """What may have held just before the first view that we know.

        Guards against one that has just come granting what others keep: of a cell that was split since, or
        of the next one, which had our cell's names as long as it was empty.
        """
        cell = self._cell()
        counts = [view.cells // 2] if self.now < view.cut_at + self.longest else []
        supposed = [MembershipView(view.members.values(), count) for count in counts]
        if len(cell) <= FEW:
            others = [m for m in view.members.values() if m.id not in cell]
            supposed += [MembershipView(others, count) for count in (*counts, view.cells)]
        return supposed

    def _moved(self, item: ReplicatedRequest, before: MembershipView) -> bool:
        """Something that concerns it has changed since that view."""
        now, then = self.view.cell_at(item.place), before.cell_at(item.place)
        changed = before.digest_of(then) != self.view.digest_of(now)
        return changed or item.owner not in self.view or any(m not in self.view for m in item.keepers)

    def up(self, member: str) -> None:
        """There is a link to a member: the first one, or a new one."""
        self.links[member] = None
        self.reaching.pop(member, None)
        self.failed.pop(member, None)
        for item in self._about(member):
            kept = item.keepers.get(member)
            if kept is not None and (item.state is RequestState.OWNING or kept == UNTOLD):
                # What was said on the link before may be lost, and it may have taken over meanwhile.
                self._cover(item, member)
            self._place(item)
        self.host.say(member, ViewSyncedFrame(self.view.digest_of(self.view.cell_of(member))))

    def down(self, member: str) -> None:
        """The link to a member has ended, or nothing comes over it any more."""
        self.links.pop(member, None)
        self.beats.pop(member, None)
        self.told.pop(member, None)
        self.held = [(who, cover) for who, cover in self.held if who != member]
        self.early = {one: home for one, home in self.early.items() if one[0] != member}
        for item in self._about(member):
            item.askers.pop(member, None)
            if item.told_home == member and item.state in (RequestState.KEEPING, RequestState.DONE):
                item.told_home = ""  # what was said last may be lost
            if item.state is RequestState.OWNING and member in item.keepers:
                item.keepers[member] = UNSURE
                if item.unnoted is not None:
                    # Guards against telling a client that nothing was done while one that we can't reach
                    # takes it over.
                    self._done(item, RecordedResponse(WRITTEN_OFF))
                elif self._far(item):
                    self._place(item)
            elif item.state is RequestState.DONE and item.at_home == member:
                item.at_home = ""  # what was said last may be lost
            elif item.state is RequestState.KEEPING and item.owner == member:
                self._place(item, lost=True)
            elif item.at_home == member:
                self._place(item)

    def unreached(self, member: str) -> None:
        """What `Door.reach` was asked for has failed."""
        if member in self.links:
            return
        self.reaching.pop(member, None)
        self.failed[member] = self.now + RETRY * self.longest
        for item in self._about(member):
            if item.state is RequestState.ASKING and member in item.keepers:
                self._cover_by_all(item)
            else:
                self._place(item)

    def needs(self, member: str) -> bool:
        """Something in hand concerns it: the link to it must stay."""
        if not self.settled_now and self.told.get(member) != self.digest and member in self._holders():
            return True
        if any(who == member for who, _ in self.held):
            return True
        return any(
            member in item.askers
            or member in item.keepers
            or (item.state is RequestState.KEEPING and item.owner == member)
            or (item.state in (RequestState.ASKING, RequestState.JOINED) and item.at_home == member)
            for item in self.items.values()
        )

    def _about(self, member: str) -> list[ReplicatedRequest]:
        """Items that a link to that member may concern."""
        if self.view.cells == 1:
            return list(self.items.values())
        cell, of_cell = self.view.cell_of(member), self.view.cell_at
        return [
            item
            for item in self.items.values()
            if member in (item.owner, item.at_home)
            or member in item.keepers
            or member in item.askers
            or of_cell(item.place) == cell
        ]

    def _outside(self, member: str, item: ReplicatedRequest) -> bool:
        """That member is not of the cell whose members keep the item."""
        view = self.view
        return view.cells > 1 and view.cell_of(member) != view.cell_at(item.place)

    def _far(self, item: ReplicatedRequest) -> bool:
        """Its keepers, if it is ours, are not of our cell."""
        return self._outside(self.member_id, item) or bool(self.view.beside(self.view.cell_at(item.place)))

    def _reach(self, member: str) -> bool:
        """There is a link to a member of another cell, or one is to come up."""
        if member in self.links or member in self.reaching:
            return True
        if member not in self.view or member in self.failed:
            return False
        if not self.host.reach(member):
            self.failed[member] = self.now + RETRY * self.longest
            return False
        self.reaching[member] = None
        return True

    def _reach_holders(self) -> None:
        """Those of other cells that have to tell us what they know, after a change of the cells."""
        if self.view.cells > 1 and not self.settled_now:
            for member in sorted(self._holders() - self._cell().keys()):
                if self.told.get(member) != self.digest:
                    self._reach(member)

    def _holders(self) -> set[str]:
        """Who has to tell us what it knows before we grant what we are the new home of."""
        if self.view.cells == 1:
            return set(self.view.members)
        cell = self.view.cell_of(self.member_id)
        known = set().union(*(self.view.holders(cell, older) for older in self.lately))
        return {member for member in known if member in self.view}

    def _agree(self) -> None:
        """Say of records that they are ours now that the view names the home that their owner did."""
        early, self.early = self.early, {}
        for (member, key), home in early.items():
            item = self.items.get(key)
            if item is None or item.state is not RequestState.KEEPING or item.owner != member:
                continue
            now = self.view.home(key)
            if now == home or not self._outside(member, item):
                self._covered(member, item.cover(asks=now == self.member_id, home=home))
            else:
                self.early[member, key] = home

    @property
    def digest(self) -> int:
        """Of our cell in the view that holds: what `Beat.view` says."""
        return self.view.digest_of(self.view.cell_of(self.member_id))

    def heard(self, member: str, frame: Frame) -> None:
        """A frame that a member has sent, of bounded size and of a known type."""
        match frame:
            case HeartbeatFrame():
                self.beats[member] = (self.now, frame)
            case ViewSyncedFrame(view):
                self.told[member] = view
                self._perhaps_settled()
                # It may have turned away what it did not know yet to be its own.
                for item in list(self.items.values()):
                    if self.view.home(item.key) == member:
                        self._place(item)
                    elif view == self.digest and item.owner == member:
                        self._untold(item)
            case ReplicateFrame():
                self._covered(member, frame)
            case FindOwnerFrame(key, mark):
                self._find(member, key, mark)
            case AttemptIntentFrame(key, epoch, number, intent, home):
                self._intends(member, key, epoch, number, intent, home)
            case AttemptNotRunFrame(key, epoch, number, fate):
                item = self.items.get(key)
                if item and (item.owner, item.epoch) == (member, epoch) and 0 <= number < len(item.intents):
                    item.intents[number].fate = fate
            case ResponseFrame(key, epoch, reply):
                self._answered(member, key, epoch, reply)
            case ReplicaStateFrame():
                self._kept(member, frame)
            case RequestFinishedFrame():
                self._heard_over(frame)

    @property
    def settled_now(self) -> bool:
        """All have told us what they own under the view that holds."""
        return not self.view.members or (self.settled and len(self.lately) == 1)

    def tick(self) -> None:
        """Forget what is over, answer who has waited enough."""
        while self.ends and self.ends[0][0] <= self.now:
            _, _, item, client = heapq.heappop(self.ends)
            if client is None and self._over(item) <= self.now:
                self._forget(item)
            elif client is None:
                self._remind(self._over(item), item, None)
            elif client in item.clients and not (item.state is RequestState.OWNING and client is item.main):
                # Guards against one that has joined waiting for an answer that is lost.
                del item.clients[client]
                self.counts["waited_out"] += 1
                self.host.answer(item, client, RecordedResponse(WRITTEN_OFF))
        again = [member for member, until in self.failed.items() if until <= self.now]
        for member in again:
            del self.failed[member]
        for member in again:
            for item in self._about(member):
                self._place(item)
        if again:
            self._reach_holders()
        if not self.settled_now and self.now >= self.view_at + self.longest:
            self._perhaps_settled()

    def next_at(self) -> float:
        """When to call `tick` again."""
        settles = inf if self.settled_now else self.view_at + self.longest
        return min(self.ends[0][0] if self.ends else inf, settles, min(self.failed.values(), default=inf))

    # What the host asks.

    def begin(self, told: ReplicateFrame, client: Any, until: float) -> tuple[BeginResult, ReplicatedRequest]:
        """A client's request with a name, to be answered by `until`. Its item, and what to do."""
        item = self.items.get(told.key)
        if item is not None and self._free(item):
            self._forget(item)
            item = None
        if item is not None:
            if item.mark != told.mark:
                self.counts["other"] += 1
                return BeginResult.OTHER, item
            if item.state is RequestState.DONE:
                self.counts["answered_again"] += 1
                return BeginResult.ANSWER, item
            self.counts["joined"] += 1
            item.until = max(item.until, told.until)
            self._waits(item, client, until)
            return BeginResult.WAIT, item
        item = self._add(ReplicatedRequest(told, RequestState.ASKING))
        self._waits(item, client, until)
        self.counts["covered"] += 1
        # Guards against connections spoilt for what another one acts on already: a repeat waits for the word.
        if not item.repeat or self.view.home(item.key) == self.member_id:
            item.state, item.running = RequestState.OWNING, True
        self._seek(item)
        if item.state is RequestState.OWNING and (item.sure or not item.repeat):
            item.running, item.main = True, client
            return BeginResult.RUN, item
        item.running = False
        if item.state is RequestState.OWNING:
            item.state = RequestState.ASKING
        return BeginResult.WAIT, item

    def intend(self, item: ReplicatedRequest, intent: AttemptIntent) -> int:
        """A hand-off is to be made; its number. `Door.go` or `Door.stop` follows by `hand_on`."""
        item.intents.append(intent)
        return len(item.intents) - 1

    def hand_on(self, item: ReplicatedRequest, number: int) -> None:
        """Have the intent of that number recorded."""
        if item.state is not RequestState.OWNING:
            item.intents[number].fate = UNSENT
            self.host.stop(item, number)
            return
        item.waiting[number] = None
        home = self.view.home(item.key) if self._outside(self.member_id, item) else ""
        for member in list(item.keepers):
            self.host.say(
                member, AttemptIntentFrame(item.key, item.epoch, number, item.intents[number], home)
            )
        self._let_go(item)

    def ended(self, item: ReplicatedRequest, number: int, fate: str) -> None:
        """A hand-off is known never to have run."""
        item.waiting.pop(number, None)
        if item.state is RequestState.KEEPING:
            return  # those recorded are another one's
        if number < len(item.intents):
            item.intents[number].fate = fate
        if item.state is RequestState.OWNING:
            for member in item.keepers:
                self.host.say(member, AttemptNotRunFrame(item.key, item.epoch, number, fate))

    def answered(self, item: ReplicatedRequest, reply: RecordedResponse) -> RecordedResponse | None:
        """Our decisions have a final answer. What our client gets; None: `Door.answer` follows."""
        item.running = False
        if item.state is RequestState.DONE:
            return item.reply
        if item.state is not RequestState.OWNING:
            # Another one has taken it over. A hand-off of ours that was let go before may still finish it.
            if reply.status != FINISHED:
                return None
            self.host.say(item.at_home, ResponseFrame(item.key, item.epoch, reply))
            self._done(item, reply)
            return reply
        if reply.status == DEFERRED and item.may_have_run and (item.adopted or item.askers):
            # Guards against a deferral for one client of what its lost owner finished for another.
            reply = RecordedResponse(WRITTEN_OFF)
        for member in [m for m, kept in item.keepers.items() if kept == UNTOLD]:
            del item.keepers[member]
        if reply.status == DEFERRED and item.keepers:
            if all(member in self.links for member in item.keepers):
                item.unnoted = reply
                self._tell_keepers(item, reply)
                return None
            reply = RecordedResponse(WRITTEN_OFF)
        self._done(item, reply)
        return reply

    def wait_on(self, item: ReplicatedRequest, client: Any, until: float) -> None:
        """A client whose decisions have ended without an answer waits for another's."""
        if item.state is RequestState.DONE and item.reply is not None:
            self.host.answer(item, client, item.reply)
        else:
            self._waits(item, client, until)

    def left(self, item: ReplicatedRequest, client: Any) -> bool:
        """A client that waited has gone. True: nobody needs it any more, and nothing can come of it."""
        item.clients.pop(client, None)
        if item.clients or item.askers or item.state is RequestState.DONE:
            return False
        if item.state in (RequestState.JOINED, RequestState.ASKING):
            self._forget(item)
            return True
        if item.state is not RequestState.OWNING or item.adopted:
            return False
        if item.effect != RERUNNABLE and item.may_have_run:
            return False  # whoever comes again under its name learns how it ended
        self._tell_keepers(item, RecordedResponse(DEFERRED))
        self._forget(item)
        return True

    # The owner's part.

    def _add(self, item: ReplicatedRequest) -> ReplicatedRequest:
        self.items[item.key] = item
        self.kept_bytes += item.bytes
        self._remind(self._over(item), item, None)
        return item

    def _add_kept(self, told: ReplicateFrame) -> None:
        item = self._add(ReplicatedRequest(told, RequestState.KEEPING))
        item.granted = self.view.cells > 1 and told.granted

    def _waits(self, item: ReplicatedRequest, client: Any, until: float) -> None:
        item.clients[client] = until
        self._remind(until, item, client)

    def _remind(self, at: float, item: ReplicatedRequest, client: Any) -> None:
        self.number += 1
        heapq.heappush(self.ends, (at, self.number, item, client))

    def _over(self, item: ReplicatedRequest) -> float:
        return item.until + REMEMBERED * self.longest

    def _forget(self, item: ReplicatedRequest) -> None:
        if self.items.get(item.key) is item:
            del self.items[item.key]
            self.kept_bytes -= item.bytes

    def _free(self, item: ReplicatedRequest) -> bool:
        """Its name may be used again: it was given up with nothing done, or may be done over."""
        if item.state is not RequestState.DONE or item.reply is None:
            return False
        over = item.effect == RERUNNABLE and item.reply.status == WRITTEN_OFF
        return item.reply.status == DEFERRED or over

    def _seek(self, item: ReplicatedRequest) -> None:
        """Ask the home whether it is new; where that can't be reached, whoever would stand in for it."""
        home = self.view.home(item.key)
        if self._outside(self.member_id, item):
            stands_in = next(iter(self._wanted(item)), "")
            if stands_in and stands_in not in self.links:
                item.state, item.at_home = RequestState.ASKING, ""  # `up` or `unreached` follows
                return
        else:
            stands_in = next((m.id for m in self.view.ranks(item.key) if m.id in self.links), "")
        item.at_home = ""
        if home == self.member_id and self.may_decide():
            if self._steady(item.key):
                self._own(item)
            else:
                self.counts["held"] += 1
            return
        if home in self.links:
            item.at_home = home
            self._cover_by_all(item)
            return
        if home == self.member_id and stands_in:
            # Others may have a view without us, and say who is its home now.
            item.at_home = stands_in
            self._cover(item, stands_in, asks=True)
            return
        if item.effect == RERUNNABLE:
            if stands_in:
                self._stand_in(item, stands_in)
            else:
                self._uncovered(item, "no-link" if home else "no-view")
        elif stands_in and self.host.say(stands_in, FindOwnerFrame(item.key, item.mark)):
            # Guards against doing twice what only the home may know of.
            item.state, item.at_home = RequestState.ASKING, stands_in
        elif self._must_wait(item):
            self._give_up(item, "home-unreachable")
        else:
            self._uncovered(item, "no-link" if home else "no-view")

    def _must_wait(self, item: ReplicatedRequest) -> bool:
        """Its home can't be reached, and a view to come may name another.

        While we hold a lease that is soon. Without one service goes on, but not for what may be in hand
        already, nor with so few members in reach that we may be the ones cut off; nor of a name that
        another cell keeps, of which we hear too few.
        """
        known = bool(self.view.members)
        if known and self._outside(self.member_id, item):
            return True
        return item.repeat or (known and (self.now < self.lease_until or not self.may_decide()))

    def _stand_in(self, item: ReplicatedRequest, member: str) -> None:
        self.counts["stood_in"] += 1
        item.sure, item.state = True, RequestState.OWNING
        self._cover(item, member)

    def _cover(self, item: ReplicatedRequest, member: str, asks: bool = False) -> None:
        item.owner = self.member_id
        home = self.view.home(item.key)
        outside = self._outside(self.member_id, item)
        if self.host.say(member, item.cover(asks or home == member, home if outside else "")):
            item.keepers[member] = UNSURE

    def _wanted(self, item: ReplicatedRequest) -> list[str]:
        """Who is to record it, home first, of those that can be reached as far as we know."""
        if not self._far(item):
            return self.view.keepers(item.key, self.member_id, self.count, self.links)
        if not self._outside(self.member_id, item):
            return self.view.keepers(item.key, self.member_id, self.count, DialMember(self))
        # Guards against the loss of the home before an owner that nobody there waits for has told the next.
        return self.view.keepers(item.key, self.member_id, max(2, self.count), DialMember(self))

    def _cover_by_all(self, item: ReplicatedRequest) -> None:
        wanted = self._wanted(item)
        if self._outside(self.member_id, item):
            home = self.view.home(item.key)
            if item.told_home != home:
                # Guards against words under the former home, which its keepers do not acknowledge any more.
                for member in [m for m in item.keepers if m in self.links]:
                    self._cover(item, member)
                item.told_home = home
            if item.effect != RERUNNABLE and home and home not in wanted:
                wanted = [home, *wanted]  # nothing is let go without it
            for member in [m for m in item.keepers if m not in wanted and not self._reach(m)]:
                del item.keepers[member]
        else:
            item.told_home = ""
            for member in [m for m, kept in item.keepers.items() if kept == UNTOLD and m not in wanted]:
                del item.keepers[member]
        for member in wanted:
            if member not in item.keepers:
                if member not in self.links:
                    item.keepers[member] = UNTOLD
                self._cover(item, member)
            elif member not in self.links and self._far(item):
                self._reach(member)

    def _own(self, item: ReplicatedRequest) -> None:
        """Granted to us, who are its home."""
        item.sure, item.state = True, RequestState.OWNING
        self._cover_by_all(item)
        if not item.keepers:
            self._uncovered(item, "alone" if len(self.view.members) == 1 else "no-link")

    def _uncovered(self, item: ReplicatedRequest, reason: str) -> None:
        """Recorded nowhere else: cover is lost before service is."""
        self.counts["uncovered"] += 1
        self.host.note("cover.none", reason=reason)
        item.sure, item.state = True, RequestState.OWNING

    def _start(self, item: ReplicatedRequest) -> None:
        if item.state is RequestState.OWNING and not item.running:
            item.running, item.main = True, next(iter(item.clients), None)
            self.host.decide(item)

    def _give_up(self, item: ReplicatedRequest, reason: str) -> None:
        """At once: nothing was sent for it by us, and whoever has it in hand goes on."""
        self.counts["given_up"] += 1
        self.host.note("cover.given_up", reason=reason)
        item.reply, item.state = (
            RecordedResponse(DEFERRED, retry_after=COME_BACK * self.longest),
            RequestState.DONE,
        )
        self._forget(item)
        clients, item.clients = item.clients, {}
        for client in clients:
            self.host.answer(item, client, item.reply)

    def _let_go(self, item: ReplicatedRequest) -> None:
        """Hand-offs whose intents all keepers have recorded."""
        if not item.sure or item.state is not RequestState.OWNING or not item.waiting:
            return
        if self.view.home(item.key) == self.member_id and not self._steady(item.key):
            return  # guards against going on while one that took it over under the view before does too
        alone = item.adopted and not item.keepers and len(self.view.members) > 1
        if alone and item.effect != RERUNNABLE:
            return  # guards against two that each believe they have taken it over
        least = min(item.keepers.values(), default=inf)
        for number in [n for n in item.waiting if n < least]:
            del item.waiting[number]
            item.let_go = True
            self.host.go(item, number)

    def _stop_all(self, item: ReplicatedRequest) -> None:
        waiting, item.waiting = item.waiting, {}
        for number in waiting:
            item.intents[number].fate = UNSENT
            self.host.stop(item, number)

    def _kept(self, member: str, kept: ReplicaStateFrame) -> None:
        item = self.items.get(kept.key)
        if item is None or item.state in (RequestState.DONE, RequestState.KEEPING):
            return
        ours = item.state is RequestState.OWNING and item.epoch == kept.epoch and member in item.keepers
        if kept.verdict == NOTED:
            if ours and item.unnoted is not None:
                del item.keepers[member]
                if not item.keepers:
                    self._done(item, item.unnoted)
        elif kept.verdict in (RUNNING, STALE):
            self._superseded(item, kept.where if kept.where in self.links else member)
        elif kept.verdict == ANSWERED and kept.reply is not None:
            self._stop_all(item)
            self._done(item, kept.reply)
        elif kept.verdict == OTHER:
            self._stop_all(item)
            # Guards against a keeper of ours giving that answer for the request that has the name.
            self._tell_keepers(item, RecordedResponse(DEFERRED))
            item.keepers.clear()
            self._done(item, RecordedResponse(MIXED_UP))
            self._forget(item)
        elif kept.verdict == UNKNOWN:
            if item.state is not RequestState.OWNING and item.at_home == member:
                if kept.where or self._must_wait(item):
                    self._give_up(item, "home-unreachable")
                else:
                    self._stand_in(item, member)
                    self._start(item)
        elif kept.verdict in (NEW, KEPT):
            if item.epoch != kept.epoch or member not in item.keepers:
                return
            item.keepers[member] = max(item.keepers[member], kept.upto)
            if kept.verdict == NEW:
                item.sure, item.state = True, RequestState.OWNING
                for other in [m for m, known in item.keepers.items() if known == UNTOLD]:
                    self._cover(item, other)
                self._start(item)
            self._let_go(item)
        elif kept.verdict == ASKED:
            if item.epoch == kept.epoch and member in item.keepers:
                item.keepers[member] = UNTOLD
                if item.sure:
                    self._cover(item, member)
        elif kept.verdict == MOVED:
            item.keepers.pop(member, None)
            if item.sure and self._outside(self.member_id, item):
                # Guards against going on with one keeper less while a home to come asks that one.
                item.keepers[member], item.told_home = UNSURE, ""
            elif item.at_home == member and not item.sure:
                # Our views differ, and ours may stay behind as long as the arbiter can't be reached.
                item.at_home = ""
                if kept.where in self.links:
                    item.at_home = kept.where
                    self._cover(item, kept.where, asks=True)
        elif kept.verdict == FULL:
            item.keepers.pop(member, None)
            if not item.sure and member == item.at_home:
                if item.repeat and item.effect != RERUNNABLE:
                    self._give_up(item, FULL)
                    return
                self._uncovered(item, FULL)
                self._start(item)
            self._let_go(item)

    def _superseded(self, item: ReplicatedRequest, member: str) -> None:
        """Another one acts on it: nothing new from us, and its answer is ours."""
        self._no_longer_ours(item)
        item.state, item.at_home = RequestState.JOINED, member
        if not item.clients and not item.askers:
            self._forget(item)

    def _no_longer_ours(self, item: ReplicatedRequest) -> None:
        """It has been taken over from us, or was in hand before we asked."""
        self.counts["superseded"] += item.state is RequestState.OWNING and item.let_go
        self._stop_all(item)
        item.unnoted, item.sure, item.repeat = None, False, True
        item.keepers.clear()
        if item.main in item.clients:
            self._remind(item.clients[item.main], item, item.main)

    def _done(self, item: ReplicatedRequest, reply: RecordedResponse) -> None:
        self._tell_keepers(item, reply)
        home = self.view.home(item.key)
        passed = item.state is RequestState.KEEPING and self._outside(item.owner, item)
        sent = home in item.keepers and (self.view.cells == 1 or home in self.links)
        # An owner of another cell tells the home that it sees by itself.
        item.at_home = home if sent or (passed and item.at_home == home) else ""
        item.keepers.clear()
        item.reply, item.state, item.unnoted = reply, RequestState.DONE, None
        grown = len(reply.body) - len(item.asked.body)
        if self.items.get(item.key) is item:
            self.kept_bytes += grown
        item.bytes += grown
        item.asked = NOTHING
        askers, item.askers = item.askers, {}
        clients, item.clients = item.clients, {}
        for member in askers:
            self.host.say(member, ResponseFrame(item.key, item.epoch, reply))
        for client in clients:
            self.host.answer(item, client, reply)
        if passed and home != self.member_id:
            self._tell_home(item, home)
        if self._free(item):
            self._forget(item)

    def _tell_keepers(self, item: ReplicatedRequest, reply: RecordedResponse) -> None:
        for member in item.keepers:
            self.host.say(member, ResponseFrame(item.key, item.epoch, reply))

    # The keeper's part.

    def _covered(self, member: str, told: ReplicateFrame) -> None:
        if not self.now - 4 * self.longest <= told.at <= told.until <= self.now + 2 * self.longest:
            # Guards against clocks that differ too much, and against records that are never over.
            self._say_kept(member, told, FULL)
            return
        item = self.items.get(told.key)
        if told.owner != member:
            self._orphan(told)
            return
        if item is not None and self._free(item):
            self._forget(item)
            item = None
        unsure = item is not None and item.ungranted
        home = self.view.home(told.key)
        outsider = member not in self.view  # only the home deals with those, and only while it hears them
        if outsider and item is not None and self._same(member, item, told.home):
            outsider = False  # as the home does, so do we
        asks = told.asks and (home == self.member_id or not told.granted)
        if (
            home != self.member_id
            and asks
            and told.home == self.member_id
            and not outsider
            and (item is None or unsure)
        ):
            self.held.append((member, told))  # its view is ahead of ours
            return
        if home != self.member_id and (outsider or (asks and (item is None or unsure))):
            self.host.say(member, ReplicaStateFrame(told.key, told.epoch, MOVED, where=home))
            return
        # Of two that ask at once the home grants it to one, and any other keeper follows.
        contested = item is not None and self._contested(item, member, told.epoch)
        instead = contested and told.granted
        unknown = item is None or unsure or instead or item.owner == member
        if asks and unknown and not self._steady(told.key):
            # Guards against granting what another home has granted: all have told before long.
            if told.granted:
                self._record(item, told)  # guards against losing it with its owner meanwhile
            kept = self.items.get(told.key)
            if kept is not None and kept.state is RequestState.KEEPING and kept.owner == member:
                kept.at_home = told.home
            self.held.append((member, told))
            return
        # Where its view is ahead of ours we keep it, and are its home soon.
        granted = NEW if asks else KEPT
        if item is None:
            if self.kept_bytes > self.room:
                self._say_kept(member, told, FULL)
                return
            self._add_kept(told)
            self.counts["kept"] += 1
            self._say_recorded(member, told, granted)
        elif item.mark != told.mark:
            self._say_kept(member, told, OTHER)
        elif item.state is RequestState.DONE:
            self._say_kept(member, told, ANSWERED, item.reply)
        elif (item.state is RequestState.KEEPING and item.owner == member and told.epoch >= item.epoch) or (
            told.epoch > item.epoch or (unsure and told.granted) or instead
        ):
            if instead and not unsure:
                item.intents.clear()  # none of those was let go
            self._keep(item, told)
            self._say_recorded(member, told, granted)
        elif contested and home != self.member_id:
            self._say_kept(member, told, ASKED)
        else:
            item.askers[member] = None
            self._say_kept(member, told, RUNNING)

    def _contested(self, item: ReplicatedRequest, member: str, epoch: int) -> bool:
        """Another one asks for it as well, and nobody here knows to whom its home has granted it."""
        if self.view.cells == 1 or item.ungranted:
            return self.view.cells > 1
        kept = item.state is RequestState.KEEPING and not item.granted
        return kept and item.epoch == epoch and item.owner != member

    def _same(self, member: str, item: ReplicatedRequest, home: str) -> bool:
        """That member, of another cell, names the home that we do."""
        return self._outside(member, item) and home == self.view.home(item.key)

    def _say_recorded(self, member: str, told: ReplicateFrame, verdict: str) -> None:
        """To the owner of an item, once its home is the same in both views."""
        item, home = self.items[told.key], self.view.home(told.key)
        item.granted = self.view.cells > 1 and (item.granted or verdict == NEW)
        if self._outside(member, item):
            item.at_home = told.home  # as its owner sees it
            if told.home != home:
                self.early[member, told.key] = told.home
                return
            item.told_home = item.told_home or home
        self._say_kept(member, told, verdict)

    def _record(self, item: ReplicatedRequest | None, told: ReplicateFrame) -> None:
        """What another member owns, or owned: it goes before what we ourselves have not been granted."""
        if item is None:
            if self.kept_bytes <= self.room:
                self._add_kept(told)
        elif item.ungranted:
            self._keep(item, told)
        elif item.state is RequestState.KEEPING and item.epoch <= told.epoch:
            other = item.owner != told.owner
            if item.granted and other and item.epoch == told.epoch and not told.granted:
                return  # guards against the record of one that was never granted it
            self._merge(item, told)

    def _keep(self, item: ReplicatedRequest, told: ReplicateFrame) -> None:
        never = item.ungranted
        self._no_longer_ours(item)
        if never:
            # Guards against the fate of what we never let go being taken for that of its owner's hand-offs.
            item.intents.clear()
        item.state, item.at_home = RequestState.KEEPING, ""
        self._merge(item, told)

    def _merge(self, item: ReplicatedRequest, told: ReplicateFrame) -> None:
        """The history as both know it: an intent recorded anywhere counts."""
        other = item.owner != told.owner and item.epoch == told.epoch
        if item.owner != told.owner:
            item.at_home, item.granted = "", False
        item.granted = self.view.cells > 1 and (item.granted or told.granted)
        item.owner, item.epoch, item.until = told.owner, told.epoch, max(item.until, told.until)
        item.asked, item.stale = told.asked, False
        item.rules = told.rules or item.rules  # those under which its owner, or who was before it, took it
        both = list(told.intents)
        for number, intent in enumerate(item.intents):
            if number >= len(both):
                both.append(intent)
            elif not other and (intent.upstream, intent.at) == (both[number].upstream, both[number].at):
                # Guards against the fate of another owner's hand-off, of two that asked at once.
                both[number].fate = both[number].fate or intent.fate
        item.intents = both

    def _say_kept(
        self, member: str, told: ReplicateFrame, verdict: str, reply: RecordedResponse | None = None
    ) -> None:
        self.host.say(member, ReplicaStateFrame(told.key, told.epoch, verdict, len(told.intents), reply))

    def _find(self, member: str, key: bytes, mark: bytes) -> None:
        item = self.items.get(key)
        verdict, reply = UNKNOWN, None
        if item is not None and item.state in (RequestState.OWNING, RequestState.KEEPING, RequestState.DONE):
            verdict = RUNNING
            if item.mark != mark:
                verdict = OTHER
            elif item.state is RequestState.DONE:
                verdict, reply = ANSWERED, item.reply
            else:
                item.askers[member] = None
        # Whether somebody hears its home: nobody is to stand in for that then.
        home = self.view.home(key)
        where = home if home in self.links or home == self.member_id else ""
        self.host.say(member, ReplicaStateFrame(key, 0, verdict, 0, reply, where))

    def _intends(
        self, member: str, key: bytes, epoch: int, number: int, intent: AttemptIntent, home: str = ""
    ) -> None:
        item = self.items.get(key)
        if item is None:
            return  # what was said of it was turned away, or is over
        if item.state is RequestState.DONE:
            self.host.say(member, ReplicaStateFrame(key, epoch, ANSWERED, 0, item.reply))
        elif (
            member not in self.view
            and self.view.home(key) != self.member_id
            and not self._same(member, item, home)
        ):
            # Its lease has ended, and whoever is home now may have taken it over.
            self.host.say(member, ReplicaStateFrame(key, epoch, STALE, where=self.view.home(key)))
        elif self._contested(item, member, epoch) and self.view.home(key) != self.member_id:
            pass  # it has been told
        elif item.state is not RequestState.KEEPING or (item.owner, item.epoch) != (member, epoch):
            item.askers[member] = None
            self.host.say(member, ReplicaStateFrame(key, epoch, STALE))
        elif 0 <= number <= len(item.intents):
            item.intents[number:] = [intent]
            if self._outside(member, item) and home != self.view.home(key):
                self.early[member, key] = home
            elif self.view.home(key) == self.member_id and not self._steady(key):
                self.held.append((member, item.cover(asks=True, home=home)))
            else:
                self.host.say(member, ReplicaStateFrame(key, epoch, KEPT, number + 1))

    def _answered(self, member: str, key: bytes, epoch: int, reply: RecordedResponse) -> None:
        item = self.items.get(key)
        noted = ReplicaStateFrame(key, epoch, NOTED)
        # Guards against recording, once all have told, what its owner has given up meanwhile.
        self.held = [(who, cover) for who, cover in self.held if (who, cover.key) != (member, key)]
        if item is None or item.state is RequestState.DONE:
            self.host.say(member, noted)
        elif item.state is RequestState.KEEPING and (item.owner, item.epoch) == (member, epoch):
            self._done(item, reply)
            self.host.say(member, noted)
        elif item.state in (RequestState.JOINED, RequestState.ASKING):
            self._done(item, reply)
        elif reply.status == FINISHED:
            # Its former owner was only cut off, and a hand-off that was granted to it has finished it.
            self._stop_all(item)
            self._done(item, reply)
        else:
            item.askers[member] = None
            self.host.say(member, ReplicaStateFrame(key, epoch, STALE))

    # Owners lost, keepers lost, views.

    def _place(self, item: ReplicatedRequest, lost: bool = False) -> None:
        """After a change of the view or of a link: whoever has to know of an item knows.

        `lost`: the link to its owner has ended.
        """
        home = self.view.home(item.key)
        if item.state is RequestState.OWNING:
            for member in [m for m in item.keepers if m not in self.view]:
                del item.keepers[member]
            if item.unnoted is not None:
                if not item.keepers:
                    self._done(item, item.unnoted)
                return
            item.sure = item.sure or (home == self.member_id and self._steady(item.key))
            self._cover_by_all(item)
            if not item.sure and home and item.effect == RERUNNABLE:
                if not item.keepers:
                    self._uncovered(item, "keepers-lost")
                elif home not in item.keepers and self._outside(self.member_id, item):
                    self.counts["stood_in"] += 1
                    item.sure = True
            self._let_go(item)
        elif item.state is RequestState.KEEPING:
            outside = self._outside(item.owner, item)
            if (item.owner not in self.view or outside) and home in self.links:
                if not outside or item.told_home != home:
                    self.host.say(home, item.cover(asks=False))
                    item.told_home = home if outside else ""
            # A member whose lease has ended but that we, its home, still hear goes on with what it owns.
            elif item.owner not in self.links and self.view.home(item.key, but=item.owner) == self.member_id:
                # Nobody waits for the word of an owner of another cell: it is asked for.
                if not lost and outside and self._reach(item.owner):
                    return
                self._take_over(item)
        elif item.state is RequestState.DONE:
            self._tell_home(item, home)
            self._tell_next(item, home)
        elif item.state in (RequestState.ASKING, RequestState.JOINED):
            lost = item.at_home not in self.links
            if lost or (item.state is RequestState.ASKING and item.at_home != home and home in self.links):
                item.keepers.clear()
                item.state = RequestState.ASKING
                self._seek(item)
                self._start(item)

    def _tell_home(self, item: ReplicatedRequest, home: str) -> None:
        """Guards against a new home taking for new what was answered before it became that."""
        if home in (item.at_home, self.member_id) or home not in self.links or item.reply is None:
            return
        if item.owner == self.member_id or item.owner not in self.links or self._outside(item.owner, item):
            item.at_home = home
            self._say_over(item, home)

    def _tell_next(self, item: ReplicatedRequest, home: str) -> None:
        """Guards against the loss of one keeper after another, where the owner is of another cell."""
        if home != self.member_id or item.reply is None or not self._outside(item.owner, item):
            return
        member = self.view.home(item.key, but=home)
        if member in self.links and member != item.told_home:
            item.told_home = member
            self._say_over(item, member)

    def _say_over(self, item: ReplicatedRequest, member: str) -> None:
        if item.reply is not None:
            over = RequestFinishedFrame(
                item.key, item.owner, item.mark, item.category, item.effect, item.until, item.reply
            )
            self.host.say(member, over)

    def _heard_over(self, over: RequestFinishedFrame) -> None:
        item = self.items.get(over.key)
        if item is None:
            if self.kept_bytes > self.room or not self.now <= over.until <= self.now + 2 * self.longest:
                return
            at = over.until - self.longest
            told = ReplicateFrame(
                over.key, over.owner, 0, False, over.mark, over.category, over.effect, at, over.until, True,
                NOTHING, [],
            )  # fmt: skip
            item = self._add(ReplicatedRequest(told, RequestState.KEEPING))
        elif item.state is RequestState.DONE or item.sure:
            return
        self._stop_all(item)
        self._done(item, over.reply)
        if self.items.get(over.key) is item:
            self._tell_next(item, self.view.home(over.key))

    def _take_over(self, item: ReplicatedRequest) -> None:
        """Its owner is lost. Waits until all have told, where others may know more of it than we do."""
        known = not item.stale and (self.view.home(item.key) != self.member_id or self._steady(item.key))
        if not self.may_decide() or not (known or self.settled_now):
            self.counts["not_sure"] += 1
            return
        former, item.owner = item.owner, self.member_id
        item.epoch += 1
        item.state, item.sure, item.adopted = RequestState.OWNING, True, True
        self.counts["taken_over"] += 1
        left = round(item.until - self.now, 3)
        told = {
            "category": item.category,
            "may_have_run": sum(not i.fate for i in item.intents),
            "left": left,
        }
        self.host.note("cover.taken_over", former=former, **told)
        self._cover_by_all(item)
        if left <= 0:
            self._done(item, RecordedResponse(WRITTEN_OFF))
            return
        self._start(item)

    def _untold(self, item: ReplicatedRequest) -> None:
        """Its owner, of another cell, has told us all that it owns, and this was not among it."""
        ours = (
            self.view.home(item.key) == self.member_id != item.at_home and item.state is RequestState.KEEPING
        )
        waited = item.clients or item.askers or (item.owner, item.key) in self.early
        if ours and self._outside(item.owner, item) and not waited:
            self._forget(item)

    def _orphan(self, told: ReplicateFrame) -> None:
        """Another keeper's record of what a lost member owned; we are its home, or will be in its view."""
        self._record(self.items.get(told.key), told)
        item = self.items.get(told.key)
        if item is not None and self.view.home(told.key) == self.member_id:
            self._place(item)

    def may_decide(self) -> bool:
        """We are in the view that holds, as far as can be known.

        By our lease; past it, while more than half of our cell are heard under the same view of it: guards
        against losing all cover while the arbiter is gone, and against deciding alone while cut off.
        """
        if self.now < self.lease_until:
            return True
        since = self.now - RECENT * self.longest
        cell = self._cell()
        if len(cell) == 1 < len(self.view.members):
            return False  # another cell has its names once its lease has ended
        heard = (beat for member, (at, beat) in self.beats.items() if member in cell and at > since)
        return 2 * (1 + sum(beat.view == self.digest for beat in heard)) > len(cell)

    def _cell(self) -> dict[str, Member]:
        """Those of our cell."""
        return self.view.of_cell(self.view.cell_of(self.member_id))

    def _steady(self, key: bytes) -> bool:
        """No other member can have granted that name: we were its home all along, or all have told."""
        return (
            self.may_decide()
            and self.settled
            and all(view.home(key) == self.member_id for view in self.lately)
        )

    def _perhaps_settled(self) -> None:
        """All have told us what they own under this view, or it is over."""
        if not self.view.members:
            return
        # Also those that we have a link to though their lease has ended: guards against a view without
        # members that live and own, after the arbiter was gone.
        need = {*self._holders(), *(m for m in self.links if m not in self.view)} - {self.member_id}
        told = all(self.told.get(member) == self.digest for member in need)
        if not told and self.now < self.view_at + self.longest:
            return
        self.lately, self.settled = [self.view], True
        held, self.held = self.held, []
        for item in list(self.items.values()):
            if item.state is RequestState.KEEPING:
                outside = self._outside(item.owner, item)
                if item.stale and item.owner in self.view and not item.clients and not outside:
                    self._forget(item)  # its owner lives and has not told it to us
                else:
                    self._place(item)
            if self.view.home(item.key) != self.member_id or not self._steady(item.key):
                continue
            if item.sure:
                self._let_go(item)
                continue
            if item.state in (RequestState.ASKING, RequestState.OWNING):
                self._own(item)
                self._start(item)
                self._let_go(item)
        for member, cover in held:
            self._covered(member, cover)
