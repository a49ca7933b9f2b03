"""The end of a view's synchronisation, when all members have sent their records under the current view."""

from __future__ import annotations

from .context import ReplicationContext
from .peer_links import PeerLinks
from .placement import RequestPlacement
from .records import ReplicaRecords
from .replica import ReplicaRole
from .request import ReplicatedRequest, RequestState
from .request_table import RequestTable
from .takeover import RequestTakeover
from .views import ViewTracker


class ViewSynchronizer:
    """Grants the requests and handles the frames that had to wait for the view to be synchronised."""

    def __init__(
        self,
        context: ReplicationContext,
        views: ViewTracker,
        links: PeerLinks,
        table: RequestTable,
        placement: RequestPlacement,
        records: ReplicaRecords,
        takeover: RequestTakeover,
        replica: ReplicaRole,
    ) -> None:
        """Store the components that this one uses."""
        self.context, self.views, self.links, self.table = context, views, links, table
        self.placement, self.records, self.takeover, self.replica = placement, records, takeover, replica

    def finish_if_synced(self) -> None:
        """Handle what has waited, if all members have synchronised or the deadline for that has passed."""
        if not self.views.view.members:
            return
        if not self._all_synced() and self.context.now < self.views.sync_deadline():
            return
        self.views.mark_synced()
        held = self.records.take_held()
        for request in self.table:
            self._update(request)
        for member, frame in held:
            self.replica.on_replicate(member, frame)

    def _all_synced(self) -> bool:
        # Linked members whose lease has ended count too: after an outage of the coordination store the view
        # may lack members that are alive and own requests.
        out_of_view = (member for member in self.links.linked if member not in self.views.view)
        needed = {*self.views.holders(), *out_of_view} - {self.context.member_id}
        return all(self.views.is_synced_by(member) for member in needed)

    def _update(self, request: ReplicatedRequest) -> None:
        if request.state is RequestState.REPLICA:
            in_other_shard = self.views.is_in_other_shard(request.owner, request)
            owner_lives = request.owner in self.views.view and not in_other_shard
            if request.is_stale and owner_lives and not request.waiting_clients:
                self.table.forget(request)  # its owner has not sent it, so it no longer has it
            else:
                self.takeover.update(request)
        if not self.views.coordinates(request.key) or not self.views.may_grant(request.key):
            return
        if request.is_granted:
            self.placement.release_attempts(request)
        elif request.state in (RequestState.ASKING, RequestState.OWNING):
            self.placement.own(request)
            self.placement.dispatch(request)
            self.placement.release_attempts(request)
