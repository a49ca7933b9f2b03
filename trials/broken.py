"""Deliberately broken variants, with which tests show that the checks of the trials detect violations."""

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
    """Releases each attempt without waiting for replicas."""

    def release_attempts(self, request: ReplicatedRequest) -> None:
        """Release all held attempts, whether or not a replica has acknowledged their intents."""
        if request.state is RequestState.OWNING:
            for number in list(request.held_attempts):
                del request.held_attempts[number]
                request.was_released = True
                self.context.host.release_intent(request, number)


class AttemptsNotRecorded(RequestReplicator):
    """Variant that releases attempts before their intents have been recorded."""

    placement_type = UnrecordedAttempts


class EpochIgnored(ReplicaRole):
    """Acknowledges the intents of any owner, whatever its epoch."""

    def on_intent(self, member: str, frame: AttemptIntentFrame) -> None:
        """Record and acknowledge an intent without comparing epochs."""
        request = self.table.get(frame.key)
        if request is not None and request.state is RequestState.REPLICA:
            request.intents[frame.number :] = [frame.intent]
        self.records.send(
            member, ReplicaStateFrame(frame.key, frame.epoch, ReplicaVerdict.RECORDED, frame.number + 1)
        )


class EpochNotChecked(RequestReplicator):
    """Variant in which a replica acknowledges intents of an owner whose request it has taken over."""

    replica_type = EpochIgnored


class AlwaysMayGrant(ViewTracker):
    """Grants keys without a synchronised view."""

    def may_grant(self, key: bytes) -> bool:
        """Allow any key to be granted."""
        return True


class GrantsBeforeSync(RequestReplicator):
    """Variant in which a new coordinator grants keys before it knows which requests are in flight."""

    views_type = AlwaysMayGrant


class AlwaysMayDecide(ViewTracker):
    """Lets a member decide as if its lease never ended."""

    def may_decide(self) -> bool:
        """Allow decisions whatever the state of the lease and the heartbeats."""
        return True


class HastyTakeover(RequestTakeover):
    """Takes over requests by what this member alone knows, without a synchronised view."""

    def take_over(self, request: ReplicatedRequest) -> None:
        """Take over as if the view were synchronised."""
        request.is_stale = False
        self.views.mark_synced()
        super().take_over(request)


class LeaseNeverExpires(RequestReplicator):
    """Variant in which a member takes over however long it was paused or partitioned."""

    views_type = AlwaysMayDecide
    takeover_type = HastyTakeover


class SilentCompletion(RequestCompletion):
    """Does not report responses to coordinators."""

    def inform_coordinator(self, request: ReplicatedRequest, coordinator: str) -> None:
        """Do not inform the coordinator."""


class ResponsesNotPassedOn(RequestReplicator):
    """Variant in which a new coordinator does not learn of earlier responses."""

    completion_type = SilentCompletion


VARIANTS = [AttemptsNotRecorded, EpochNotChecked, GrantsBeforeSync, LeaseNeverExpires, ResponsesNotPassedOn]


class OutdatedView(MembershipView):
    """View that names coordinators as before the number of shards changed."""

    def __init__(self, view: MembershipView, shard_count: int) -> None:
        """Copy the view; `shard_count`: the one before the change."""
        super().__init__(view.members.values(), view.shard_count, view.resharded_at)
        self.previous_view = MembershipView(view.members.values(), shard_count)

    def ranked_members(self, key: bytes) -> list[Member]:
        """Return the members responsible for a key before the change."""
        return self.previous_view.ranked_members(key)


class OutdatedCells(RequestReplicator):
    """Variant in which half of the members choose coordinators by the previous shards."""

    def view_changed(self, view: MembershipView, gap: bool) -> None:
        """Apply the view, with outdated coordinators at half of the members."""
        previous = self.views.view
        is_outdated = (
            previous.members
            and view.shard_count != previous.shard_count
            and member_position(self.context.member_id) >> 8 & 1
        )
        super().view_changed(OutdatedView(view, previous.shard_count) if is_outdated else view, gap)


class CoordinatorSuffices(RequestPlacement):
    """Waits for the coordinator's acknowledgement only, if this member is in another shard."""

    def release_attempts(self, request: ReplicatedRequest) -> None:
        """Release attempts that the coordinator has acknowledged, if this member is in another shard."""
        replicas, coordinator = request.replicas, self.views.coordinator_of(request)
        if self.views.is_in_other_shard(self.context.member_id, request) and coordinator in replicas:
            request.replicas = {coordinator: replicas[coordinator]}
        super().release_attempts(request)
        request.replicas = replicas


class OneReplicaAwaited(RequestReplicator):
    """Variant in which an owner in another shard waits for the coordinator but not for its successor."""

    placement_type = CoordinatorSuffices


class OthersInSameShard(ViewTracker):
    """Treats all other members as members of the request's shard."""

    def is_in_other_shard(self, member: str, request: ReplicatedRequest) -> bool:
        """Return whether the member is in another shard, which only this member can be."""
        return member == self.context.member_id and super().is_in_other_shard(member, request)


class AnyCoordinatorAccepted(RequestReplicator):
    """Variant in which a replica acknowledges owners in other shards whatever coordinator they name."""

    views_type = OthersInSameShard


SHARD_VARIANTS = [OutdatedCells, OneReplicaAwaited, AnyCoordinatorAccepted]


class VoteNotBinding(PolicyReplica):
    """Variant in which a yes vote expires at the switch time, after which the proposal counts as dropped."""

    def _find_unavailable_reason(self) -> str:
        if self.promise is not None and self.now >= self.promise.at:
            self.promise = None
        return super()._find_unavailable_reason()


class MinorityDecides(PolicyReplica):
    """Variant in which the votes of the members in the view decide, however few members are in it."""

    def _is_majority(self, votes: Iterable[str]) -> bool:
        return True


class ServesUndecided(PolicyReplica):
    """Variant in which a member serves past the switch time of a change that may have been decided."""

    def _find_unavailable_reason(self) -> str:
        promise, self.promise = self.promise, None
        try:
            return super()._find_unavailable_reason()
        finally:
            self.promise = promise


class TrustsLease(PolicyReplica):
    """Variant in which a lease once held counts as held, across pauses and partitions."""

    def _lease_valid_until(self) -> float:
        return inf if self.entry_revision else -inf


class StatusesNeverExpire(PolicyReplica):
    """Variant in which the statuses of other members count however old they are."""

    def _count_agreed_until(self) -> float:
        is_agreed = super()._count_agreed_until() > -inf
        return inf if is_agreed or len(self.statuses) * 2 > len(self.registered_names) else -inf


class DecisionIgnoresMembers(PolicyReplica):
    """Variant in which members that joined after the votes do not invalidate a decision."""

    def due(self) -> Transaction | float:
        """Return the transaction due now without its conditions on members, or the time to ask again."""
        transaction = super().due()
        if isinstance(transaction, Transaction) and transaction.kind == "decide":
            conditions = [
                condition
                for condition in transaction.conditions
                if not condition.prefix and not condition.key.startswith("members/")
            ]
            return Transaction(transaction.kind, conditions, transaction.put, transaction.delete)
        return transaction


POLICY_VARIANTS = [
    VoteNotBinding,
    MinorityDecides,
    ServesUndecided,
    TrustsLease,
    StatusesNeverExpire,
    DecisionIgnoresMembers,
]


class MinorityLeaves(ZonePlanner):
    """Variant that leaves a zone when any member reports that the zone fails."""

    def _is_failing(self, zone: str) -> bool:
        return any(zone in report.zones and report.zones[zone].failing for report in self.reports.values())


class CapacityIgnored(ZonePlanner):
    """Variant that leaves a partly failing zone entirely, whatever capacity the other zones have."""

    def _moved_fraction(self, name: str, failing: list[str], known: dict[str, tuple[float, float]]) -> float:
        return 1.0


class RampNotShared(ZonePlanner):
    """Variant in which each member sends a returning zone all of its traffic, not the share of the plan."""

    def _apply_shares(self, returning: Iterable[str]) -> None:
        shares = {
            name: 1.0 if zone.state == "returning" else zone.share for name, zone in self.plan.zones.items()
        }
        self.host.set_zone_shares(shares, returning)


ZONE_VARIANTS = {MinorityLeaves: "cut", CapacityIgnored: "near-full", RampNotShared: "hang"}
