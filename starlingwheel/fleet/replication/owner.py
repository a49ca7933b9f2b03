"""The role of a request's owner: its attempts, its response, and the replies of replicas."""

from __future__ import annotations

from ..frames import (
    AttemptIntent,
    AttemptIntentFrame,
    AttemptNotRunFrame,
    RecordedResponse,
    ReplicaStateFrame,
    ReplicateFrame,
    ReplicaVerdict,
    ResponseFrame,
)
from .completion import RequestCompletion
from .context import ReplicationContext
from .peer_links import PeerLinks
from .placement import RequestPlacement
from .request import (
    FAILED,
    FINISHED,
    KEY_REUSED,
    NEVER_RELEASED,
    NOT_SENT,
    REJECTED,
    UNACKNOWLEDGED,
    BeginResult,
    Client,
    ReplicatedRequest,
    RequestState,
)
from .request_table import RequestTable
from .views import ViewTracker


class OwnerRole:
    """Begins requests of the host's clients, has their attempts recorded, and finishes them."""

    def __init__(
        self,
        context: ReplicationContext,
        views: ViewTracker,
        links: PeerLinks,
        table: RequestTable,
        completion: RequestCompletion,
        placement: RequestPlacement,
    ) -> None:
        """Store the components that this one uses."""
        self.context, self.views, self.links, self.table = context, views, links, table
        self.completion, self.placement = completion, placement

    # Calls of the host.

    def begin(
        self, frame: ReplicateFrame, client: Client, until: float
    ) -> tuple[BeginResult, ReplicatedRequest]:
        """Begin a client's request, which is to be answered by `until`; return what to do and its record."""
        request = self.table.get(frame.key)
        if request is not None and request.key_is_reusable:
            self.table.forget(request)
            request = None
        if request is not None:
            return self._begin_known(request, frame, client, until), request
        request = self.table.add(ReplicatedRequest.from_frame(frame, RequestState.ASKING))
        self.table.add_client(request, client, until)
        self.context.counts["covered"] += 1
        # A retry waits for the coordinator: another member may handle the request, and cancelling an attempt
        # closes its connection.
        if not request.is_retry or self.views.coordinates(request.key):
            request.state, request.is_dispatched = RequestState.OWNING, True
        self.placement.locate_owner(request)
        owning = request.state is RequestState.OWNING
        if owning and (request.is_granted or not request.is_retry):
            request.is_dispatched, request.dispatched_client = True, client
            return BeginResult.RUN, request
        request.is_dispatched = False
        if owning:
            request.state = RequestState.ASKING
        return BeginResult.WAIT, request

    def _begin_known(
        self, request: ReplicatedRequest, frame: ReplicateFrame, client: Client, until: float
    ) -> BeginResult:
        """Begin a request whose key is already known here."""
        if request.fingerprint != frame.fingerprint:
            self.context.counts["other"] += 1
            return BeginResult.KEY_REUSED
        if request.state is RequestState.DONE:
            self.context.counts["answered_again"] += 1
            return BeginResult.RESPOND
        self.context.counts["joined"] += 1
        request.deadline = max(request.deadline, frame.deadline)
        self.table.add_client(request, client, until)
        return BeginResult.WAIT

    def add_intent(self, request: ReplicatedRequest, intent: AttemptIntent) -> int:
        """Add an attempt that is to be started; return its number."""
        request.intents.append(intent)
        return len(request.intents) - 1

    def record_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Have the replicas record an intent; its attempt is released once they have."""
        if request.state is not RequestState.OWNING:
            request.intents[number].outcome = NEVER_RELEASED
            self.context.host.cancel_intent(request, number)
            return
        request.held_attempts[number] = None
        in_other_shard = self.views.is_in_other_shard(self.context.member_id, request)
        coordinator = self.views.coordinator_of(request) if in_other_shard else ""
        intent = request.intents[number]
        for member in list(request.replicas):
            frame = AttemptIntentFrame(request.key, request.epoch, number, intent, coordinator)
            self.context.host.send_frame(member, frame)
        self.placement.release_attempts(request)

    def attempt_not_run(self, request: ReplicatedRequest, number: int, outcome: str) -> None:
        """Record that an attempt is known never to have run."""
        request.held_attempts.pop(number, None)
        if request.state is RequestState.REPLICA:
            return  # the recorded intents are those of another member
        if number < len(request.intents):
            request.intents[number].outcome = outcome
        if request.state is RequestState.OWNING:
            frame = AttemptNotRunFrame(request.key, request.epoch, number, outcome)
            for member in request.replicas:
                self.context.host.send_frame(member, frame)

    def finish_request(
        self, request: ReplicatedRequest, response: RecordedResponse
    ) -> RecordedResponse | None:
        """Finish a request to which the host's scheduler has given a final response.

        Returns the response that its client gets; None: a call of `ReplicationHost.respond` follows.
        """
        request.is_dispatched = False
        if request.state is RequestState.DONE:
            return request.response
        if request.state is not RequestState.OWNING:
            return self._finish_after_loss(request, response)
        others_wait = request.was_taken_over or request.waiting_members
        if response.status == REJECTED and request.may_have_run and others_wait:
            # The lost owner may have finished it for a client, so it is not rejected for another one.
            response = RecordedResponse(FAILED)
        for member in [member for member, acked in request.replicas.items() if acked == NOT_SENT]:
            del request.replicas[member]
        if response.status == REJECTED and request.replicas:
            if all(member in self.links for member in request.replicas):
                request.unacknowledged_rejection = response
                self.completion.send_to_replicas(request, response)
                return None
            response = RecordedResponse(FAILED)
        self.completion.finish(request, response)
        return response

    def _finish_after_loss(
        self, request: ReplicatedRequest, response: RecordedResponse
    ) -> RecordedResponse | None:
        """Finish a request that another member has taken over, if an attempt released earlier succeeded."""
        if response.status != FINISHED:
            return None
        frame = ResponseFrame(request.key, request.epoch, response)
        self.context.host.send_frame(request.contact, frame)
        self.completion.finish(request, response)
        return response

    def wait_on(self, request: ReplicatedRequest, client: Client, until: float) -> None:
        """Let a client to which the scheduler has given no response wait for that of another member."""
        if request.state is RequestState.DONE and request.response is not None:
            self.context.host.respond(request, client, request.response)
        else:
            self.table.add_client(request, client, until)

    def client_disconnected(self, request: ReplicatedRequest, client: Client) -> bool:
        """Remove a client that has disconnected; return whether the request is forgotten as not needed."""
        request.waiting_clients.pop(client, None)
        if request.waiting_clients or request.waiting_members or request.state is RequestState.DONE:
            return False
        if request.state in (RequestState.JOINED, RequestState.ASKING):
            self.table.forget(request)
            return True
        if request.state is not RequestState.OWNING or request.was_taken_over:
            return False
        if not request.is_idempotent and request.may_have_run:
            return False  # a retry with its key gets its response
        self.completion.send_to_replicas(request, RecordedResponse(REJECTED))
        self.table.forget(request)
        return True

    # Replies of replicas.

    def link_up(self, request: ReplicatedRequest, member: str) -> None:
        """Replicate the request to a member again over a new link, as frames on the former one may be lost.

        The member may also have taken the request over meanwhile.
        """
        acknowledged = request.replicas.get(member)
        if acknowledged is None:
            return
        if request.state is RequestState.OWNING or acknowledged == NOT_SENT:
            self.placement.replicate_to(request, member)

    def on_replica_state(self, member: str, frame: ReplicaStateFrame) -> None:
        """Handle the reply of a replica or of a member that was asked for the owner."""
        request = self.table.get(frame.key)
        if request is None or request.state in (RequestState.DONE, RequestState.REPLICA):
            return
        match frame.verdict:
            case ReplicaVerdict.RESPONSE_RECORDED:
                self._rejection_recorded(request, member, frame)
            case ReplicaVerdict.IN_PROGRESS | ReplicaVerdict.SUPERSEDED:
                self._owned_elsewhere(request, member, frame)
            case ReplicaVerdict.FINISHED:
                self._finished_elsewhere(request, frame)
            case ReplicaVerdict.KEY_REUSED:
                self._key_reused(request)
            case ReplicaVerdict.UNKNOWN:
                self._owner_unknown(request, member, frame)
            case ReplicaVerdict.GRANTED | ReplicaVerdict.RECORDED:
                self._recorded(request, member, frame)
            case ReplicaVerdict.CONTESTED:
                self._contested(request, member, frame)
            case ReplicaVerdict.NOT_COORDINATOR | ReplicaVerdict.OUT_OF_MEMORY:
                self._not_recorded(request, member, frame)

    def _rejection_recorded(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        owning = request.state is RequestState.OWNING and request.epoch == frame.epoch
        if not owning or member not in request.replicas or request.unacknowledged_rejection is None:
            return
        del request.replicas[member]
        if not request.replicas:
            self.completion.finish(request, request.unacknowledged_rejection)

    def _owned_elsewhere(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """Wait for the member that handles the request, through the coordinator if there is a link to it."""
        self.completion.join(request, frame.coordinator if frame.coordinator in self.links else member)

    def _finished_elsewhere(self, request: ReplicatedRequest, frame: ReplicaStateFrame) -> None:
        """Finish the request with the final response of another member."""
        if frame.response is not None:
            self.completion.cancel_attempts(request)
            self.completion.finish(request, frame.response)

    def _key_reused(self, request: ReplicatedRequest) -> None:
        """Fail a request whose key was used for a different request."""
        self.completion.cancel_attempts(request)
        # Otherwise replicas that recorded it would answer the request that has the key with its response.
        self.completion.send_to_replicas(request, RecordedResponse(REJECTED))
        request.replicas.clear()
        self.completion.finish(request, RecordedResponse(KEY_REUSED))
        self.table.forget(request)

    def _owner_unknown(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """Handle the reply that the substitute of the coordinator has no record of the request."""
        if request.state is RequestState.OWNING or request.contact != member:
            return
        if frame.coordinator or self.placement.must_wait(request):
            self.completion.reject(request, "home-unreachable")
        else:
            self.placement.own_with_substitute(request, member)
            self.placement.dispatch(request)

    def _recorded(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """Handle the reply that a replica has recorded the request, and perhaps granted it."""
        if request.epoch != frame.epoch or member not in request.replicas:
            return
        request.replicas[member] = max(request.replicas[member], frame.acknowledged_intents)
        if frame.verdict == ReplicaVerdict.GRANTED:
            request.is_granted, request.state = True, RequestState.OWNING
            for other in [other for other, acked in request.replicas.items() if acked == NOT_SENT]:
                self.placement.replicate_to(request, other)
            self.placement.dispatch(request)
        self.placement.release_attempts(request)

    def _contested(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """Replicate a request, for which another member asks too, to the replica again once it is granted."""
        if request.epoch == frame.epoch and member in request.replicas:
            request.replicas[member] = NOT_SENT
            if request.is_granted:
                self.placement.replicate_to(request, member)

    def _not_recorded(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """Handle the reply that a member does not record the request."""
        request.replicas.pop(member, None)
        if frame.verdict == ReplicaVerdict.OUT_OF_MEMORY:
            self._replica_full(request, member)
        else:
            self._redirected(request, member, frame)

    def _redirected(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """Handle the reply that another member is the coordinator in the view of the replying member."""
        if request.is_granted and self.views.is_in_other_shard(self.context.member_id, request):
            # The next coordinator gets the request from its replicas, so no attempt is released until this
            # replica has acknowledged it.
            request.replicas[member], request.informed_coordinator = UNACKNOWLEDGED, ""
        elif request.contact == member and not request.is_granted:
            # Our view may stay outdated as long as the coordination store is unreachable.
            request.contact = ""
            if frame.coordinator in self.links:
                request.contact = frame.coordinator
                self.placement.replicate_to(request, frame.coordinator, requests_grant=True)

    def _replica_full(self, request: ReplicatedRequest, member: str) -> None:
        """Handle the reply that a replica can't record the request, mostly because its memory is full."""
        if not request.is_granted and member == request.contact:
            if request.is_retry and not request.is_idempotent:
                self.completion.reject(request, ReplicaVerdict.OUT_OF_MEMORY.value)
                return
            self.placement.own_unreplicated(request, ReplicaVerdict.OUT_OF_MEMORY.value)
            self.placement.dispatch(request)
        self.placement.release_attempts(request)
