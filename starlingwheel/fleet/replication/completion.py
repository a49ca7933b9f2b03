"""The end of a request on this member: a final response, a rejection, or its takeover by another member."""

from __future__ import annotations

from ..frames import RecordedResponse, ReplicateFrame, RequestFinishedFrame, ResponseFrame
from .context import ReplicationContext
from .peer_links import PeerLinks
from .request import (
    NEVER_RELEASED,
    NO_CONTENT,
    REJECTED,
    ReplicatedRequest,
    RequestState,
)
from .request_table import RequestTable
from .views import ViewTracker

RETRY_AFTER = 1 / 8  # of the longest timeout: when to retry a request whose state can't be determined


class RequestCompletion:
    """Finishes requests; informs replicas, coordinators, and the members and clients that wait."""

    def __init__(
        self, context: ReplicationContext, views: ViewTracker, links: PeerLinks, table: RequestTable
    ) -> None:
        """Store the components that this one uses."""
        self.context, self.views, self.links, self.table = context, views, links, table

    def finish(self, request: ReplicatedRequest, response: RecordedResponse) -> None:
        """Finish the request with its final response."""
        self.send_to_replicas(request, response)
        coordinator = self.views.coordinator_of(request)
        was_replica = request.state is RequestState.REPLICA
        owned_in_other_shard = was_replica and self.views.is_in_other_shard(request.owner, request)
        informed = coordinator in request.replicas and (
            self.views.view.shard_count == 1 or coordinator in self.links
        )
        # An owner in another shard itself informs the coordinator in its view.
        informed = informed or (owned_in_other_shard and request.contact == coordinator)
        request.contact = coordinator if informed else ""
        request.replicas.clear()
        request.response, request.state = response, RequestState.DONE
        request.unacknowledged_rejection = None
        self.table.resize(request, len(response.body) - len(request.content.body))
        request.content = NO_CONTENT
        self._respond(request, response)
        if owned_in_other_shard and coordinator != self.context.member_id:
            self.inform_coordinator(request, coordinator)
        if request.key_is_reusable:
            self.table.forget(request)

    def _respond(self, request: ReplicatedRequest, response: RecordedResponse) -> None:
        """Give the response to all members and clients that wait for it."""
        members, request.waiting_members = request.waiting_members, {}
        clients, request.waiting_clients = request.waiting_clients, {}
        for member in members:
            self.context.host.send_frame(member, ResponseFrame(request.key, request.epoch, response))
        for client in clients:
            self.context.host.respond(request, client, response)

    def send_to_replicas(self, request: ReplicatedRequest, response: RecordedResponse) -> None:
        """Send a response to the replicas, which record it."""
        for member in request.replicas:
            self.context.host.send_frame(member, ResponseFrame(request.key, request.epoch, response))

    def cancel_attempts(self, request: ReplicatedRequest) -> None:
        """Cancel the attempts that have not been released."""
        held, request.held_attempts = request.held_attempts, {}
        for number in held:
            request.intents[number].outcome = NEVER_RELEASED
            self.context.host.cancel_intent(request, number)

    def reject(self, request: ReplicatedRequest, reason: str) -> None:
        """Reject a request for which this member has started no attempt.

        Another member that handles the request continues.
        """
        self.context.counts["given_up"] += 1
        self.context.host.log_event("cover.given_up", reason=reason)
        retry_after = RETRY_AFTER * self.context.longest_timeout
        request.response = RecordedResponse(REJECTED, retry_after=retry_after)
        request.state = RequestState.DONE
        self.table.forget(request)
        clients, request.waiting_clients = request.waiting_clients, {}
        for client in clients:
            self.context.host.respond(request, client, request.response)

    def relinquish(self, request: ReplicatedRequest) -> None:
        """Stop handling a request that another member has taken over or already handled before we asked."""
        owned = request.state is RequestState.OWNING
        self.context.counts["superseded"] += owned and request.was_released
        self.cancel_attempts(request)
        request.unacknowledged_rejection, request.is_granted, request.is_retry = None, False, True
        request.replicas.clear()
        client = request.dispatched_client
        # The client's timer may have run out while the request was dispatched, when it has no effect.
        if client in request.waiting_clients:
            self.table.schedule(request.waiting_clients[client], request, client)

    def join(self, request: ReplicatedRequest, member: str) -> None:
        """Make no further attempts and wait for the response of the member that handles the request."""
        self.relinquish(request)
        request.state, request.contact = RequestState.JOINED, member
        if not request.waiting_clients and not request.waiting_members:
            self.table.forget(request)

    def inform_coordinator(self, request: ReplicatedRequest, coordinator: str) -> None:
        """Send a response to a new coordinator, so that it does not grant the request as a new one."""
        if coordinator in (request.contact, self.context.member_id) or coordinator not in self.links:
            return
        if request.response is None:
            return
        owner = request.owner
        owner_informs = owner != self.context.member_id and owner in self.links
        if not owner_informs or self.views.is_in_other_shard(owner, request):
            request.contact = coordinator
            self._send_finished(request, coordinator)

    def inform_successor(self, request: ReplicatedRequest, coordinator: str) -> None:
        """Send a response to the coordinator's successor, where the owner is in another shard.

        The response then survives the loss of one replica after another.
        """
        if coordinator != self.context.member_id or request.response is None:
            return
        if not self.views.is_in_other_shard(request.owner, request):
            return
        member = self.views.view.coordinator(request.key, excluding=coordinator)
        if member in self.links and member != request.informed_coordinator:
            request.informed_coordinator = member
            self._send_finished(request, member)

    def _send_finished(self, request: ReplicatedRequest, member: str) -> None:
        if request.response is None:
            return
        frame = RequestFinishedFrame(
            request.key,
            request.owner,
            request.fingerprint,
            request.request_class,
            request.retry_safety,
            request.deadline,
            request.response,
        )
        self.context.host.send_frame(member, frame)

    def on_finished(self, frame: RequestFinishedFrame) -> None:
        """Record the final response of a request that another member has finished."""
        request = self.table.get(frame.key)
        if request is None:
            now, longest = self.context.now, self.context.longest_timeout
            if self.table.is_full or not now <= frame.deadline <= now + 2 * longest:
                return
            request = self.table.add(self._request_from_finished(frame))
        elif request.state is RequestState.DONE or request.is_granted:
            return
        self.cancel_attempts(request)
        self.finish(request, frame.response)
        if self.table.get(frame.key) is request:
            self.inform_successor(request, self.views.coordinator_of(request))

    def _request_from_finished(self, frame: RequestFinishedFrame) -> ReplicatedRequest:
        """Return a record of a finished request that this member had not recorded."""
        replicate = ReplicateFrame(
            frame.key,
            frame.owner,
            0,
            False,
            frame.fingerprint,
            frame.request_class,
            frame.retry_safety,
            frame.deadline - self.context.longest_timeout,
            frame.deadline,
            True,
            NO_CONTENT,
            [],
        )
        return ReplicatedRequest.from_frame(replicate, RequestState.REPLICA)
