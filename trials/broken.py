"""Variants that break a promise on purpose: a check that none of its seeds or orders catches is none."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from starlingwheel.fleet.frames import KEPT, AttemptIntent, ReplicaStateFrame
from starlingwheel.fleet.membership import Member, MembershipView, member_place
from starlingwheel.fleet.policy.replica import PolicyReplica
from starlingwheel.fleet.records import Transaction
from starlingwheel.fleet.replication.replicator import ReplicatedRequest, RequestReplicator, RequestState
from starlingwheel.fleet.zones.planner import ZonePlanner


class NoIntent(RequestReplicator):
    """Hand-offs go before their intents have been recorded."""

    def _let_go(self, item: ReplicatedRequest) -> None:
        if item.state is RequestState.OWNING:
            for number in list(item.waiting):
                del item.waiting[number]
                item.let_go = True
                self.host.go(item, number)


class NoEpoch(RequestReplicator):
    """A keeper goes on granting intents of an owner that it has taken over from."""

    def _intends(
        self, member: str, key: bytes, epoch: int, number: int, intent: AttemptIntent, home: str = ""
    ) -> None:
        item = self.items.get(key)
        if item is not None and item.state is RequestState.KEEPING:
            item.intents[number:] = [intent]
        self.host.say(member, ReplicaStateFrame(key, epoch, KEPT, number + 1))


class NoTelling(RequestReplicator):
    """A new home grants names before it has heard what is in hand."""

    def _steady(self, key: bytes) -> bool:
        return True


class LeaseTrusted(RequestReplicator):
    """A member takes over by what it knows, however long it was paused or cut off."""

    def may_decide(self) -> bool:
        return True

    def _take_over(self, item: ReplicatedRequest) -> None:
        item.stale = False
        self.lately, self.settled = [self.view], True
        super()._take_over(item)


class Forgetful(RequestReplicator):
    """A new home is not told what was answered before."""

    def _tell_home(self, item: ReplicatedRequest, home: str) -> None:
        pass


VARIANTS = [NoIntent, NoEpoch, NoTelling, LeaseTrusted, Forgetful]


class Lagging(MembershipView):
    """It names homes as before the cells changed."""

    def __init__(self, view: MembershipView, cells: int) -> None:
        super().__init__(view.members.values(), view.cells, view.cut_at)
        self.old = MembershipView(view.members.values(), cells)

    def ranks(self, key: bytes) -> list[Member]:
        return self.old.ranks(key)


class OldCells(RequestReplicator):
    """Half of the members take a name's home from the cells that were."""

    def viewed(self, view: MembershipView, gap: bool) -> None:
        lags = self.view.members and view.cells != self.view.cells and member_place(self.member_id) >> 8 & 1
        super().viewed(Lagging(view, self.view.cells) if lags else view, gap)


class HomeAlone(RequestReplicator):
    """An owner of another cell waits for the home, not for the keeper that would follow it."""

    def _let_go(self, item: ReplicatedRequest) -> None:
        keepers, home = item.keepers, self.view.home(item.key)
        if self._outside(self.member_id, item) and home in keepers:
            item.keepers = {home: keepers[home]}
        super()._let_go(item)
        item.keepers = keepers


class Unheard(RequestReplicator):
    """A keeper acknowledges what an owner of another cell hands on under whatever home that one names."""

    def _outside(self, member: str, item: ReplicatedRequest) -> bool:
        return member == self.member_id and super()._outside(member, item)


CELL_VARIANTS = [OldCells, HomeAlone, Unheard]


class NoBinding(PolicyReplica):
    """A yes binds until the switch time only: then it is taken for dropped."""

    def _doubt(self) -> str:
        if self.promise is not None and self.now >= self.promise.at:
            self.promise = None
        return super()._doubt()


class Minority(PolicyReplica):
    """Those in the view decide, however few they are."""

    def _enough(self, votes: Iterable[str]) -> bool:
        return True


class NoDoubt(PolicyReplica):
    """Who does not know whether a change was decided goes on at its switch time."""

    def _doubt(self) -> str:
        promise, self.promise = self.promise, None
        try:
            return super()._doubt()
        finally:
            self.promise = promise


class LeaseTrustedOver(PolicyReplica):
    """A lease once held is taken to hold, across a pause and a cut."""

    def _leased(self) -> float:
        return inf if self.entered else -inf


class AnyWord(PolicyReplica):
    """The words of others count however old they are."""

    def _count(self) -> float:
        return inf if super()._count() > -inf or len(self.words) * 2 > len(self.names) else -inf


class LooseDecision(PolicyReplica):
    """A decision that is not made void by members that have come since."""

    def due(self) -> Transaction | float:
        due = super().due()
        if isinstance(due, Transaction) and due.what == "decide":
            same = [one for one in due.compare if not one.prefix and not one.key.startswith("members/")]
            return Transaction(due.what, same, due.put, due.erase)
        return due


POLICY_VARIANTS = [NoBinding, Minority, NoDoubt, LeaseTrustedOver, AnyWord, LooseDecision]


class MinorityLeaves(ZonePlanner):
    """A zone is left when anybody says that it fails."""

    def _agreed(self, zone: str) -> bool:
        return any(zone in said.zones and said.zones[zone].failing for said in self.said.values())


class CapacityIgnored(ZonePlanner):
    """A zone that fails in part is left whole, whatever the others bear."""

    def _part(self, name: str, failing: list[str], known: dict[str, tuple[float, float]]) -> float:
        return 1.0


class RampNotShared(ZonePlanner):
    """Each begins to return by itself as soon as it knows that the others do: with all it has."""

    def _share(self, back: Iterable[str]) -> None:
        shares = {n: 1.0 if z.state == "returning" else z.share for n, z in self.plan.zones.items()}
        self.host.shares(shares, back)


ZONE_VARIANTS = {MinorityLeaves: "cut", CapacityIgnored: "near-full", RampNotShared: "hang"}
