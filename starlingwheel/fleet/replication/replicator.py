"""Replication of requests in flight: if their sidecar is lost, another member takes over each request, once.

Each request with an idempotency key has a coordinator, a member chosen by rendezvous hashing over the view.
Only the coordinator decides that a key is new; the member to which it grants the request owns it. The owner's
replicas (the coordinator, or other members if the owner is the coordinator or it can't be reached) record the
intent of each attempt before the last byte of that attempt is written. When the owner is lost the coordinator
increments the request's epoch, after which the former owner can start no more attempts, and owns the request
with its recorded history.

In a fleet of several shards the coordinator and the replicas are members of the key's shard, and members keep
links to the members of their own shard only. An owner in another shard dials two replicas, and members do not
wait for it to synchronise when the key's shard changes. Instead each replica sends a new coordinator the
requests that it has recorded for other owners. It acknowledges nothing to an owner that names a different
coordinator than the replica itself does, so all that it has acknowledged is included in what it sends.

`RequestReplicator` is one member's part of this. It does no I/O: the host sets `now` and reports what has
happened, and a `ReplicationHost` carries out what is decided. It relies on links that either deliver frames
completely and in order, or end.

The components depend on each other in one direction only: `views`, `peer_links` and `request_table` own the
state; `completion`, `placement`, `records` and `takeover` change requests; `owner`, `replica` and `sync`
handle what the host and other members report.
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

    # The classes of the components; trials replace one with a broken variant on purpose.
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
        """Build the components.

        `longest_timeout`, `now`: seconds. `replica_count`: replicas per request. `memory_limit`: bytes; while
        all requests take more, none is recorded for other members.
        """
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

    # State that the host reads and sets.

    @property
    def now(self) -> float:
        """The current time as the host has set it, seconds on the wall clock."""
        return self.context.now

    @now.setter
    def now(self, now: float) -> None:
        self.context.now = now

    @property
    def lease_until(self) -> float:
        """The time until which this member holds its lease, seconds on the wall clock."""
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
        """The number of replicas per request."""
        return self.context.replica_count

    @replica_count.setter
    def replica_count(self, replica_count: int) -> None:
        self.context.replica_count = replica_count

    @property
    def counts(self) -> Counter[str]:
        """Counters of events by kind."""
        return self.context.counts

    @property
    def requests(self) -> dict[bytes, ReplicatedRequest]:
        """The requests that this member knows, by key."""
        return self.table.requests

    @property
    def used_bytes(self) -> int:
        """The memory that the requests take, in bytes."""
        return self.table.used_bytes

    @property
    def links(self) -> dict[str, None]:
        """The members to which there is a link."""
        return self.peers.linked

    @property
    def view(self) -> MembershipView:
        """The current view."""
        return self.views.view

    @property
    def digest(self) -> int:
        """The digest of our shard in the current view, which heartbeats contain."""
        return self.views.digest

    @property
    def is_synced(self) -> bool:
        """Whether all members that have to send us their records have done so under the current view."""
        return self.views.is_synced

    def may_decide(self) -> bool:
        """Return whether this member is in the current view as far as it can know; see `ViewTracker`."""
        return self.views.may_decide()

    # Reports of the host.

    def view_changed(self, view: MembershipView, gap: bool) -> None:
        """Replace the view. `gap`: views between the former and this one may have been missed."""
        before = self.views.view
        if view.digest == before.digest and not (gap and view.members):
            return
        member_id = self.context.member_id
        reentered = gap or before.members.get(member_id) != view.members.get(member_id)
        if reentered:
            # Other members may have gone on without this one: its records of their requests may be outdated.
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
        """Tell a member that all that concerns it under this view has been sent to it."""
        view = self.views.view
        frame = ViewSyncedFrame(view.shard_digest(view.shard_of_member(member)))
        self.context.host.send_frame(member, frame)

    def link_up(self, member: str) -> None:
        """Handle a link to a member that is up: the first one, or a new one."""
        self.peers.up(member)
        for request in self.table.concerning(member, self.views.view):
            self.owner.link_up(request, member)
            self.takeover.update(request)
        self._send_synced(member)

    def link_down(self, member: str) -> None:
        """Handle the end of the link to a member, or its silence."""
        self.peers.down(member)
        self.views.forget_member(member)
        self.records.forget_member(member)
        for request in self.table.concerning(member, self.views.view):
            self.takeover.link_down(request, member)

    def link_failed(self, member: str) -> None:
        """Handle the failure to open a link that `ReplicationHost.dial` was asked for."""
        if member in self.peers:
            return
        self.peers.dial_failed(member)
        for request in self.table.concerning(member, self.views.view):
            self.takeover.link_failed(request, member)

    def needs_link(self, member: str) -> bool:
        """Return whether the link to a member must stay because a request concerns that member."""
        unsynced = not self.views.is_synced and not self.views.is_synced_by(member)
        if unsynced and member in self.views.holders():
            return True
        if self.records.holds_frame_of(member):
            return True
        return any(request.concerns(member) for request in self.table.requests.values())

    def frame_received(self, member: str, frame: Frame) -> None:
        """Handle a frame of a member. The link has checked the size and the type of the frame."""
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
        """Record that a member has sent all that concerns this one under the view with that digest."""
        self.views.synced_digests[member] = digest
        self.sync.finish_if_synced()
        for request in self.table:
            if self.views.coordinator_of(request) == member:
                # It may have rejected requests before it knew that it is their coordinator.
                self.takeover.update(request)
            elif digest == self.views.digest and request.owner == member:
                self.takeover.drop_unconfirmed(request)

    def tick(self) -> None:
        """Forget expired requests, fail clients whose waiting time has ended, and dial members again."""
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
        """Forget the request if it has expired; with a client given, fail the client that has waited."""
        if client is None:
            expires_at = self.table.expires_at(request)
            if expires_at <= self.context.now:
                self.table.forget(request)
            else:
                self.table.schedule(expires_at, request, None)
            return
        dispatched = request.state is RequestState.OWNING and client is request.dispatched_client
        if client in request.waiting_clients and not dispatched:
            # The response of another member, for which the client waits, may be lost.
            del request.waiting_clients[client]
            self.context.counts["waited_out"] += 1
            self.context.host.respond(request, client, RecordedResponse(FAILED))

    def next_at(self) -> float:
        """Return when to call `tick` again, seconds on the wall clock."""
        times = [self.table.next_at(), self.peers.next_retry_at()]
        if not self.views.is_synced:
            times.append(self.views.sync_deadline())
        return min(times)

    # Calls of the host.

    def begin(
        self, frame: ReplicateFrame, client: Client, until: float
    ) -> tuple[BeginResult, ReplicatedRequest]:
        """Begin a client's request, which is to be answered by `until`; return what to do and its record."""
        return self.owner.begin(frame, client, until)

    def add_intent(self, request: ReplicatedRequest, intent: AttemptIntent) -> int:
        """Add an attempt that is to be started; return its number. `record_intent` has to be called next."""
        return self.owner.add_intent(request, intent)

    def record_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Have the replicas record an intent; the host's `release_intent` or `cancel_intent` follows."""
        self.owner.record_intent(request, number)

    def attempt_not_run(self, request: ReplicatedRequest, number: int, outcome: str) -> None:
        """Record that an attempt is known never to have run."""
        self.owner.attempt_not_run(request, number, outcome)

    def finish_request(
        self, request: ReplicatedRequest, response: RecordedResponse
    ) -> RecordedResponse | None:
        """Finish a request to which the host's scheduler has given a final response.

        Returns the response that its client gets; None: a call of `ReplicationHost.respond` follows.
        """
        return self.owner.finish_request(request, response)

    def wait_on(self, request: ReplicatedRequest, client: Client, until: float) -> None:
        """Let a client to which the scheduler has given no response wait for that of another member."""
        self.owner.wait_on(request, client, until)

    def client_disconnected(self, request: ReplicatedRequest, client: Client) -> bool:
        """Remove a client that has disconnected; return whether the request is forgotten as not needed."""
        return self.owner.client_disconnected(request, client)
