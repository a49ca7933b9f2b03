"""Variants that break a promise on purpose: a check that catches none of them checks nothing."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from starlingwheel.fleet.frames import AttemptIntentFrame, ReplicaStateFrame, ReplicaVerdict
from starlingwheel.fleet.membership import Member, MembershipView, member_position
from starlingwheel.fleet.policy.replica import PolicyReplica
from starlingwheel.fleet.records import Transaction
from starlingwheel.fleet.replication.completion import RequestCompletion
from starlingwheel.fleet.replication.placement import RequestPlacement
from starlingwheel.fleet.replication.replica import ReplicaRole
from starlingwheel.fleet.replication.replicator import RequestReplicator
from starlingwheel.fleet.replication.request import ReplicatedRequest, RequestState
from starlingwheel.fleet.replication.takeover import RequestTakeover
from starlingwheel.fleet.replication.views import ViewTracker
from starlingwheel.fleet.zones.planner import ZonePlanner


class UnrecordedAttempts(RequestPlacement):
    """Releases each attempt at once."""

    def release_attempts(self, request: ReplicatedRequest) -> None:
        """Release attempts whose intents nobody has acknowledged."""
        if request.state is RequestState.OWNING:
            for number in list(request.held_attempts):
                del request.held_attempts[number]
                request.was_released = True
                self.context.host.release_intent(request, number)


class AttemptsNotRecorded(RequestReplicator):
    """Attempts are released before their intents have been recorded."""

    placement_type = UnrecordedAttempts


class EpochIgnored(ReplicaRole):
    """Acknowledges the intents of any owner."""

    def on_intent(self, member: str, frame: AttemptIntentFrame) -> None:
        """Record and acknowledge an intent without a look at the epoch."""
        request = self.table.get(frame.key)
        if request is not None and request.state is RequestState.REPLICA:
            request.intents[frame.number :] = [frame.intent]
        self.records.send(
            member, ReplicaStateFrame(frame.key, frame.epoch, ReplicaVerdict.RECORDED, frame.number + 1)
        )


class EpochNotChecked(RequestReplicator):
    """A replica goes on acknowledging intents of an owner that it has taken over from."""

    replica_type = EpochIgnored


class AlwaysMayGrant(ViewTracker):
    """Needs no synchronised view."""

    def may_grant(self, key: bytes) -> bool:
        """Any key may be granted."""
        return True


class GrantsBeforeSync(RequestReplicator):
    """A new coordinator grants keys before it has been told what is in flight."""

    views_type = AlwaysMayGrant


class AlwaysMayDecide(ViewTracker):
    """Trusts its lease for ever."""

    def may_decide(self) -> bool:
        """This member decides whatever its lease and heartbeats say."""
        return True


class HastyTakeover(RequestTakeover):
    """Takes over by what this member knows."""

    def take_over(self, request: ReplicatedRequest) -> None:
        """Take over as if the view was synchronised."""
        request.is_stale = False
        self.views.mark_synced()
        super().take_over(request)


class LeaseNeverExpires(RequestReplicator):
    """A member takes over by what it knows, however long it was paused or cut off."""

    views_type = AlwaysMayDecide
    takeover_type = HastyTakeover


class SilentCompletion(RequestCompletion):
    """Keeps responses to itself."""

    def inform_coordinator(self, request: ReplicatedRequest, coordinator: str) -> None:
        """Send nothing."""


class ResponsesNotPassedOn(RequestReplicator):
    """A new coordinator is not told what was answered before."""

    completion_type = SilentCompletion


VARIANTS = [AttemptsNotRecorded, EpochNotChecked, GrantsBeforeSync, LeaseNeverExpires, ResponsesNotPassedOn]


class OutdatedView(MembershipView):
    """It names coordinators as before the cells changed."""

    def __init__(self, view: MembershipView, cells: int) -> None:
        """`cells`: their count before."""
        super().__init__(view.members.values(), view.shard_count, view.resharded_at)
        self.old = MembershipView(view.members.values(), cells)

    def ranked_members(self, key: bytes) -> list[Member]:
        """The members that are responsible for a key, as before."""
        return self.old.ranked_members(key)


class OutdatedCells(RequestReplicator):
    """Half of the members take a key's coordinator from the cells that were."""

    def view_changed(self, view: MembershipView, gap: bool) -> None:
        """Another view holds; some members see the old coordinators in it."""
        known = self.views.view
        lags = (
            known.members
            and view.shard_count != known.shard_count
            and member_position(self.context.member_id) >> 8 & 1
        )
        super().view_changed(OutdatedView(view, known.shard_count) if lags else view, gap)


class CoordinatorSuffices(RequestPlacement):
    """Waits for one replica."""

    def release_attempts(self, request: ReplicatedRequest) -> None:
        """Release attempts that the coordinator has acknowledged, where it is of another cell."""
        replicas, coordinator = request.replicas, self.views.coordinator_of(request)
        if self.views.is_in_other_shard(self.context.member_id, request) and coordinator in replicas:
            request.replicas = {coordinator: replicas[coordinator]}
        super().release_attempts(request)
        request.replicas = replicas


class OneReplicaAwaited(RequestReplicator):
    """An owner of another cell waits for the coordinator, not for the replica that would follow it."""

    placement_type = CoordinatorSuffices


class OthersInside(ViewTracker):
    """Takes all other members for members of the request's cell."""

    def is_in_other_shard(self, member: str, request: ReplicatedRequest) -> bool:
        """Only this member can be of another cell."""
        return member == self.context.member_id and super().is_in_other_shard(member, request)


class AnyCoordinatorAccepted(RequestReplicator):
    """A replica acknowledges an owner of another cell whatever coordinator that one names."""

    views_type = OthersInside


SHARD_VARIANTS = [OutdatedCells, OneReplicaAwaited, AnyCoordinatorAccepted]


class VoteNotBinding(PolicyReplica):
    """A yes binds until the switch time only: then it is taken for dropped."""

    def _find_unavailable_reason(self) -> str:
        if self.promise is not None and self.now >= self.promise.at:
            self.promise = None
        return super()._find_unavailable_reason()


class MinorityDecides(PolicyReplica):
    """Those in the view decide, however few they are."""

    def _is_majority(self, votes: Iterable[str]) -> bool:
        return True


class ServesUndecided(PolicyReplica):
    """Who does not know whether a change was decided goes on at its switch time."""

    def _find_unavailable_reason(self) -> str:
        promise, self.promise = self.promise, None
        try:
            return super()._find_unavailable_reason()
        finally:
            self.promise = promise


class TrustsLease(PolicyReplica):
    """A lease once held is taken to hold, across a pause and a cut."""

    def _lease_valid_until(self) -> float:
        return inf if self.entry_revision else -inf


class StatusesNeverExpire(PolicyReplica):
    """The statuses of others count however old they are."""

    def _count_agreed_until(self) -> float:
        is_agreed = super()._count_agreed_until() > -inf
        return inf if is_agreed or len(self.statuses) * 2 > len(self.registered_names) else -inf


class DecisionIgnoresMembers(PolicyReplica):
    """A decision that is not made void by members that have come since."""

    def due(self) -> Transaction | float:
        """The transaction to carry out now, without the compares of members; or when to ask again."""
        due = super().due()
        if isinstance(due, Transaction) and due.kind == "decide":
            same = [one for one in due.conditions if not one.prefix and not one.key.startswith("members/")]
            return Transaction(due.kind, same, due.put, due.delete)
        return due


POLICY_VARIANTS = [
    VoteNotBinding,
    MinorityDecides,
    ServesUndecided,
    TrustsLease,
    StatusesNeverExpire,
    DecisionIgnoresMembers,
]


class MinorityLeaves(ZonePlanner):
    """A zone is left when anybody says that it fails."""

    def _is_failing(self, zone: str) -> bool:
        return any(zone in said.zones and said.zones[zone].failing for said in self.reports.values())


class CapacityIgnored(ZonePlanner):
    """A zone that fails in part is left whole, whatever the others bear."""

    def _moved_fraction(self, name: str, failing: list[str], known: dict[str, tuple[float, float]]) -> float:
        return 1.0


class RampNotShared(ZonePlanner):
    """Each begins to return by itself as soon as it knows that the others do: with all it has."""

    def _apply_shares(self, returning: Iterable[str]) -> None:
        shares = {n: 1.0 if z.state == "returning" else z.share for n, z in self.plan.zones.items()}
        self.host.set_zone_shares(shares, returning)


ZONE_VARIANTS = {MinorityLeaves: "cut", CapacityIgnored: "near-full", RampNotShared: "hang"}
