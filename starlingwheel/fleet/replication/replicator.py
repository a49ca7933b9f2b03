"""Requests in flight survive the loss of their sidecar: another member takes each over, once.

Each request with an idempotency key has a coordinator, one member by rendezvous hash over the view. The
coordinator alone says that a key is new; the member that is told so owns the request. The owner's replicas
(the coordinator, and others in its place) record the intent of each attempt before the last byte of that
attempt is written. When the owner is lost the coordinator raises the request's epoch, which ends what the
owner may still start, and owns the request with the history that it has.

In a fleet of several cells the coordinator and the replicas are of the key's cell, and a member has links to
its own cell alone. An owner of another cell dials two replicas. Nobody waits for it to synchronise when that
cell changes. So each replica tells a new coordinator what others own, and acknowledges nothing to an owner
that names another coordinator than it does itself: what a replica has acknowledged is then in what it tells.

`RequestReplicator` is one member's part. It does no I/O: the host sets `now` and reports what happened, a
`ReplicationHost` carries out what is decided. It relies on links that deliver frames completely and in order,
or end.

The parts depend on each other in one direction only: `views`, `peer_links` and `request_table` own the state;
`completion`, `placement`, `records` and `takeover` change requests; `owner`, `replica` and `sync` handle what
the host and other members report.
"""

from __future__ import annotations

from collections import Counter

from ..frames import (
    AttemptIntent,
    AttemptIntentFrame,
    AttemptNotRunFrame,
    FindOwnerFrame,
    Frame,
    HeartbeatFrame,
    RecordedResponse,
    ReplicaStateFrame,
    ReplicateFrame,
    RequestFinishedFrame,
    ResponseFrame,
    ViewSyncedFrame,
)
from ..membership import MembershipView
from .completion import RequestCompletion
from .context import ReplicationContext, ReplicationHost
from .owner import OwnerRole
from .peer_links import PeerLinks
from .placement import RequestPlacement
from .records import ReplicaRecords
from .replica import ReplicaRole
from .request import FAILED, BeginResult, Client, ReplicatedRequest, RequestState
from .request_table import RequestTable
from .sync import ViewSynchronizer
from .takeover import RequestTakeover
from .views import ViewTracker


class RequestReplicator:
    """One member's part in the replication of all requests of the fleet."""

    # The parts; a trial replaces one to break a promise on purpose.
    views_type = ViewTracker
    completion_type = RequestCompletion
    placement_type = RequestPlacement
    takeover_type = RequestTakeover
    replica_type = ReplicaRole

    def __init__(
        self,
        member_id: str,
        longest_timeout: float,
        replica_count: int,
        memory_limit: int,
        host: ReplicationHost,
        now: float,
    ) -> None:
        """`longest_timeout`, `now`: seconds. `memory_limit`: bytes recorded for other members."""
        context = ReplicationContext(member_id, host, now, longest_timeout, replica_count, memory_limit)
        views = self.views_type(context)
        peers = PeerLinks(context, views)
        table = RequestTable(context)
        completion = self.completion_type(context, views, peers, table)
        placement = self.placement_type(context, views, peers, table, completion)
        records = ReplicaRecords(context, views, table, completion)
        takeover = self.takeover_type(context, views, peers, table, completion, placement, records)
        replica = self.replica_type(context, views, peers, table, completion, records, takeover)
        sync = ViewSynchronizer(context, views, peers, table, placement, records, takeover, replica)
        self.context, self.views, self.peers, self.table = context, views, peers, table
        self.completion, self.records, self.takeover = completion, records, takeover
        self.replica, self.sync = replica, sync
        self.owner = OwnerRole(context, views, peers, table, completion, placement)

    # What there is to see and to set.

    @property
    def now(self) -> float:
        """The time that the host has set, seconds on the wall clock."""
        return self.context.now

    @now.setter
    def now(self, now: float) -> None:
        self.context.now = now

    @property
    def lease_until(self) -> float:
        """Until when this member holds its lease."""
        return self.views.lease_until

    @lease_until.setter
    def lease_until(self, until: float) -> None:
        self.views.lease_until = until

    @property
    def longest_timeout(self) -> float:
        """The longest timeout of all request classes, seconds."""
        return self.context.longest_timeout

    @longest_timeout.setter
    def longest_timeout(self, longest_timeout: float) -> None:
        self.context.longest_timeout = longest_timeout

    @property
    def replica_count(self) -> int:
        """Replicas per request."""
        return self.context.replica_count

    @replica_count.setter
    def replica_count(self, replica_count: int) -> None:
        self.context.replica_count = replica_count

    @property
    def counts(self) -> Counter[str]:
        """What has happened, by kind."""
        return self.context.counts

    @property
    def requests(self) -> dict[bytes, ReplicatedRequest]:
        """The requests that are known here, by key."""
        return self.table.requests

    @property
    def used_bytes(self) -> int:
        """Memory that they take, bytes."""
        return self.table.used_bytes

    @property
    def links(self) -> dict[str, None]:
        """The members that are linked."""
        return self.peers.linked

    @property
    def view(self) -> MembershipView:
        """The view that holds."""
        return self.views.view

    @property
    def digest(self) -> int:
        """Of our cell in the view that holds: what `HeartbeatFrame.view_digest` says."""
        return self.views.digest

    @property
    def is_synced(self) -> bool:
        """All members have sent what they own under the view that holds."""
        return self.views.is_synced

    def may_decide(self) -> bool:
        """This member is in the view that holds, as far as it can know."""
        return self.views.may_decide()

    # What the host reports.

    def view_changed(self, view: MembershipView, gap: bool) -> None:
        """Another set of members holds leases. `gap`: there may have been others in between."""
        before = self.views.view
        if view.digest == before.digest and not (gap and view.members):
            return
        member_id = self.context.member_id
        reentered = gap or before.members.get(member_id) != view.members.get(member_id)
        if reentered:
            # Others may have gone on without this member: what it knows of their requests is old.
            for request in self.table:
                request.is_stale = request.state is RequestState.REPLICA
        self.views.replace(view, gap)
        self.peers.drop_departed()
        for request in self.table:
            if reentered or self.views.has_changed_for(request, before):
                self.takeover.update(request)
        self.replica.acknowledge_agreed()
        for member in list(self.peers.linked):
            if gap or before.shard_digest(before.shard_of_member(member)) != view.shard_digest(
                view.shard_of_member(member)
            ):
                self._send_synced(member)
        self.peers.dial_holders()
        self.sync.finish_if_synced()

    def _send_synced(self, member: str) -> None:
        """All that concerns a member under this view was sent to it."""
        view = self.views.view
        frame = ViewSyncedFrame(view.shard_digest(view.shard_of_member(member)))
        self.context.host.send_frame(member, frame)

    def link_up(self, member: str) -> None:
        """There is a link to a member: the first one, or a new one."""
        self.peers.up(member)
        for request in self.table.concerning(member, self.views.view):
            self.owner.link_up(request, member)
            self.takeover.update(request)
        self._send_synced(member)

    def link_down(self, member: str) -> None:
        """The link to a member has ended, or it is silent."""
        self.peers.down(member)
        self.views.forget_member(member)
        self.records.forget_member(member)
        for request in self.table.concerning(member, self.views.view):
            self.takeover.link_down(request, member)

    def link_failed(self, member: str) -> None:
        """No link that `ReplicationHost.dial` was asked for has come up."""
        if member in self.peers:
            return
        self.peers.dial_failed(member)
        for request in self.table.concerning(member, self.views.view):
            self.takeover.link_failed(request, member)

    def needs_link(self, member: str) -> bool:
        """A request concerns that member: the link to it must stay."""
        unsynced = not self.views.is_synced and not self.views.is_synced_by(member)
        if unsynced and member in self.views.holders():
            return True
        if self.records.holds_frame_of(member):
            return True
        return any(request.concerns(member) for request in self.table.requests.values())

    def frame_received(self, member: str, frame: Frame) -> None:
        """A member has sent a frame, of bounded size and of a known type."""
        match frame:
            case HeartbeatFrame():
                self.views.heartbeats[member] = (self.context.now, frame)
            case ViewSyncedFrame(digest):
                self._member_synced(member, digest)
            case ReplicateFrame():
                self.replica.on_replicate(member, frame)
            case FindOwnerFrame():
                self.replica.on_find_owner(member, frame)
            case AttemptIntentFrame():
                self.replica.on_intent(member, frame)
            case AttemptNotRunFrame():
                self.replica.on_attempt_not_run(member, frame)
            case ResponseFrame():
                self.replica.on_response(member, frame)
            case ReplicaStateFrame():
                self.owner.on_replica_state(member, frame)
            case RequestFinishedFrame():
                self.completion.on_finished(frame)

    def _member_synced(self, member: str, digest: int) -> None:
        """A member has sent all that concerns this one under the view of that digest."""
        self.views.synced_digests[member] = digest
        self.sync.finish_if_synced()
        for request in self.table:
            if self.views.coordinator_of(request) == member:
                # It may have rejected what it did not know yet that it coordinates.
                self.takeover.update(request)
            elif digest == self.views.digest and request.owner == member:
                self.takeover.drop_unclaimed(request)

    def tick(self) -> None:
        """Forget what has expired, answer clients that have waited long enough, dial again."""
        for request, client in self.table.pop_due():
            self._timer_due(request, client)
        retriable = self.peers.pop_retriable()
        for member in retriable:
            for request in self.table.concerning(member, self.views.view):
                self.takeover.update(request)
        if retriable:
            self.peers.dial_holders()
        if not self.views.is_synced and self.context.now >= self.views.sync_deadline():
            self.sync.finish_if_synced()

    def _timer_due(self, request: ReplicatedRequest, client: Client) -> None:
        """A request may have expired; or a client has waited long enough, if one is given."""
        if client is None:
            expires_at = self.table.expires_at(request)
            if expires_at <= self.context.now:
                self.table.forget(request)
            else:
                self.table.schedule(expires_at, request, None)
            return
        dispatched = request.state is RequestState.OWNING and client is request.dispatched_client
        if client in request.waiting_clients and not dispatched:
            # The response that a client which has joined waits for may be lost.
            del request.waiting_clients[client]
            self.context.counts["waited_out"] += 1
            self.context.host.respond(request, client, RecordedResponse(FAILED))

    def next_at(self) -> float:
        """When to call `tick` again, seconds on the wall clock."""
        times = [self.table.next_at(), self.peers.next_retry_at()]
        if not self.views.is_synced:
            times.append(self.views.sync_deadline())
        return min(times)

    # What the host asks.

    def begin(
        self, frame: ReplicateFrame, client: Client, until: float
    ) -> tuple[BeginResult, ReplicatedRequest]:
        """A client's request has arrived, to be answered by `until`. What to do, and its record."""
        return self.owner.begin(frame, client, until)

    def add_intent(self, request: ReplicatedRequest, intent: AttemptIntent) -> int:
        """An attempt is to be started; its number. `record_intent` has to follow."""
        return self.owner.add_intent(request, intent)

    def record_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Have an intent recorded; the host's `release_intent` or `cancel_intent` follows."""
        self.owner.record_intent(request, number)

    def attempt_not_run(self, request: ReplicatedRequest, number: int, outcome: str) -> None:
        """An attempt is known never to have run."""
        self.owner.attempt_not_run(request, number, outcome)

    def finish_request(
        self, request: ReplicatedRequest, response: RecordedResponse
    ) -> RecordedResponse | None:
        """The host's decisions have a final response.

        Returns what its client is to get; None: `ReplicationHost.respond` follows.
        """
        return self.owner.finish_request(request, response)

    def wait_on(self, request: ReplicatedRequest, client: Client, until: float) -> None:
        """A client whose decisions have ended without a response waits for another member's."""
        self.owner.wait_on(request, client, until)

    def client_disconnected(self, request: ReplicatedRequest, client: Client) -> bool:
        """A client that waited has disconnected. True: the request is not needed any more and forgotten."""
        return self.owner.client_disconnected(request, client)
