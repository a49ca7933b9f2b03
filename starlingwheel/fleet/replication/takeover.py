"""Updates of requests after changes of members, links or views: takeover, or new replicas."""

from __future__ import annotations

from ..frames import RecordedResponse, ReplicateFrame
from .completion import RequestCompletion
from .context import ReplicationContext
from .peer_links import PeerLinks
from .placement import RequestPlacement
from .records import ReplicaRecords
from .request import FAILED, UNACKNOWLEDGED, ReplicatedRequest, RequestState
from .request_table import RequestTable
from .views import ViewTracker


class RequestTakeover:
    """Updates requests after a change of the view or a link; takes over those whose owner is lost."""

    def __init__(
        self,
        context: ReplicationContext,
        views: ViewTracker,
        links: PeerLinks,
        table: RequestTable,
        completion: RequestCompletion,
        placement: RequestPlacement,
        records: ReplicaRecords,
    ) -> None:
        """Store the components that this one uses."""
        self.context, self.views, self.links, self.table = context, views, links, table
        self.completion, self.placement, self.records = completion, placement, records

    def update(self, request: ReplicatedRequest, owner_lost: bool = False) -> None:
        """Ensure, after a change of the view or of a link, that the right members know of a request.

        `owner_lost`: the link to its owner has ended.
        """
        coordinator = self.views.coordinator_of(request)
        if request.state is RequestState.OWNING:
            self._update_owned(request, coordinator)
        elif request.state is RequestState.REPLICA:
            self._update_replica(request, coordinator, owner_lost)
        elif request.state is RequestState.DONE:
            self.completion.inform_coordinator(request, coordinator)
            self.completion.inform_successor(request, coordinator)
        else:
            self._update_waiting(request, coordinator)

    def _update_owned(self, request: ReplicatedRequest, coordinator: str) -> None:
        """Update a request that this member owns, and replace its replicas that have left the view."""
        for member in [member for member in request.replicas if member not in self.views.view]:
            del request.replicas[member]
        if request.unacknowledged_rejection is not None:
            if not request.replicas:
                self.completion.finish(request, request.unacknowledged_rejection)
            return
        coordinates = coordinator == self.context.member_id
        request.is_granted = request.is_granted or (coordinates and self.views.may_grant(request.key))
        self.placement.replicate(request)
        if not request.is_granted and coordinator and request.is_idempotent:
            if not request.replicas:
                self.placement.own_unreplicated(request, "keepers-lost")
            elif coordinator not in request.replicas and self.views.is_in_other_shard(
                self.context.member_id, request
            ):
                self.context.counts["stood_in"] += 1
                request.is_granted = True
        self.placement.release_attempts(request)

    def _update_replica(self, request: ReplicatedRequest, coordinator: str, owner_lost: bool) -> None:
        """Inform a new coordinator of a request that this member records, or take over from a lost owner."""
        in_other_shard = self.views.is_in_other_shard(request.owner, request)
        if (request.owner not in self.views.view or in_other_shard) and coordinator in self.links:
            if not in_other_shard or request.informed_coordinator != coordinator:
                self.records.send(coordinator, request.to_frame(requests_grant=False))
                request.informed_coordinator = coordinator if in_other_shard else ""
            return
        # An owner that still has a link to this member continues, even if its lease has ended.
        successor = self.views.view.coordinator(request.key, excluding=request.owner)
        if request.owner in self.links or successor != self.context.member_id:
            return
        # An owner in another shard need not have a link to this member: it is dialed first.
        if not owner_lost and in_other_shard and self.links.dial(request.owner):
            return
        self.take_over(request)

    def _update_waiting(self, request: ReplicatedRequest, coordinator: str) -> None:
        """Locate the owner of a request again if the member that it waits for is lost or replaced."""
        contact_lost = request.contact not in self.links
        is_asking = request.state is RequestState.ASKING
        replaced = is_asking and request.contact != coordinator and coordinator in self.links
        if contact_lost or replaced:
            request.replicas.clear()
            request.state = RequestState.ASKING
            self.placement.locate_owner(request)
            self.placement.dispatch(request)

    def link_down(self, request: ReplicatedRequest, member: str) -> None:
        """Handle the end of the link to a member: the last frames that were sent may be lost."""
        request.waiting_members.pop(member, None)
        if request.informed_coordinator == member and request.state in (
            RequestState.REPLICA,
            RequestState.DONE,
        ):
            request.informed_coordinator = ""
        if request.state is RequestState.OWNING and member in request.replicas:
            self._replica_lost(request, member)
        elif request.state is RequestState.DONE and request.contact == member:
            request.contact = ""
        elif request.state is RequestState.REPLICA and request.owner == member:
            self.update(request, owner_lost=True)
        elif request.contact == member:
            self.update(request)

    def _replica_lost(self, request: ReplicatedRequest, member: str) -> None:
        """Handle the end of the link to a replica of a request that this member owns."""
        request.replicas[member] = UNACKNOWLEDGED
        if request.unacknowledged_rejection is not None:
            # The replica may take the request over, so the client must not be told that it has not run.
            self.completion.finish(request, RecordedResponse(FAILED))
        elif self.views.has_remote_replicas(request):
            self.update(request)

    def link_failed(self, request: ReplicatedRequest, member: str) -> None:
        """Handle the failure to open a link to a member."""
        if request.state is RequestState.ASKING and member in request.replicas:
            self.placement.replicate(request)
        else:
            self.update(request)

    def take_over(self, request: ReplicatedRequest) -> None:
        """Take over the request, whose owner is lost.

        Waits until the view is synchronised if other members may know more of the request than this one.
        """
        knows_all = not request.is_stale and (
            not self.views.coordinates(request.key) or self.views.may_grant(request.key)
        )
        if not self.views.may_decide() or not (knows_all or self.views.is_synced):
            self.context.counts["not_sure"] += 1
            return
        former, request.owner = request.owner, self.context.member_id
        request.epoch += 1
        request.state, request.is_granted, request.was_taken_over = RequestState.OWNING, True, True
        self.context.counts["taken_over"] += 1
        time_left = round(request.deadline - self.context.now, 3)
        self.context.host.log_event(
            "cover.taken_over",
            former=former,
            category=request.request_class,
            may_have_run=sum(not intent.outcome for intent in request.intents),
            left=time_left,
        )
        self.placement.replicate(request)
        if time_left <= 0:
            self.completion.finish(request, RecordedResponse(FAILED))
            return
        self.placement.dispatch(request)

    def drop_unconfirmed(self, request: ReplicatedRequest) -> None:
        """Forget a record whose owner, in another shard, has sent all that it owns without confirming it."""
        coordinator = self.views.coordinator_of(request)
        is_replica = request.state is RequestState.REPLICA
        not_confirmed = is_replica and coordinator == self.context.member_id != request.contact
        awaited = (
            request.waiting_clients
            or request.waiting_members
            or (request.owner, request.key) in self.records.awaiting_agreement
        )
        if not_confirmed and self.views.is_in_other_shard(request.owner, request) and not awaited:
            self.table.forget(request)

    def record_orphan(self, frame: ReplicateFrame) -> None:
        """Record a lost owner's request from another replica; this member is or becomes its coordinator."""
        self.records.record_indirect(self.table.get(frame.key), frame)
        request = self.table.get(frame.key)
        if request is not None and self.views.coordinates(frame.key):
            self.update(request)
