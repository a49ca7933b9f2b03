"""What the owner of a request does: its attempts, its response, and what replicas say to it."""

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
    """Begins requests for the host's clients, has their attempts recorded and ends them."""

    def __init__(
        self,
        context: ReplicationContext,
        views: ViewTracker,
        links: PeerLinks,
        table: RequestTable,
        completion: RequestCompletion,
        placement: RequestPlacement,
    ) -> None:
        """The arguments are the parts that this one uses."""
        self.context, self.views, self.links, self.table = context, views, links, table
        self.completion, self.placement = completion, placement

    # What the host asks.

    def begin(
        self, frame: ReplicateFrame, client: Client, until: float
    ) -> tuple[BeginResult, ReplicatedRequest]:
        """A client's request has arrived, to be answered by `until`. What to do, and its record."""
        request = self.table.get(frame.key)
        if request is not None and request.key_is_reusable:
            self.table.forget(request)
            request = None
        if request is not None:
            return self._begin_known(request, frame, client, until), request
        request = self.table.add(ReplicatedRequest.from_frame(frame, RequestState.ASKING))
        self.table.add_client(request, client, until)
        self.context.counts["covered"] += 1
        # A retry waits for the coordinator: a connection would be spoilt for what another member acts on.
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
        """Another request with that key was begun before."""
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
        """An attempt is to be started; its number."""
        request.intents.append(intent)
        return len(request.intents) - 1

    def record_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Have the intent of that number recorded, and release its attempt then."""
        if request.state is not RequestState.OWNING:
            request.intents[number].outcome = NEVER_RELEASED
            self.context.host.cancel_intent(request, number)
            return
        request.held_attempts[number] = None
        outside = self.views.is_in_other_shard(self.context.member_id, request)
        coordinator = self.views.coordinator_of(request) if outside else ""
        intent = request.intents[number]
        for member in list(request.replicas):
            frame = AttemptIntentFrame(request.key, request.epoch, number, intent, coordinator)
            self.context.host.send_frame(member, frame)
        self.placement.release_attempts(request)

    def attempt_not_run(self, request: ReplicatedRequest, number: int, outcome: str) -> None:
        """An attempt is known never to have run."""
        request.held_attempts.pop(number, None)
        if request.state is RequestState.REPLICA:
            return  # the recorded intents are another member's
        if number < len(request.intents):
            request.intents[number].outcome = outcome
        if request.state is RequestState.OWNING:
            frame = AttemptNotRunFrame(request.key, request.epoch, number, outcome)
            for member in request.replicas:
                self.context.host.send_frame(member, frame)

    def finish_request(
        self, request: ReplicatedRequest, response: RecordedResponse
    ) -> RecordedResponse | None:
        """The host's decisions have a final response.

        Returns what its client is to get; None: `ReplicationHost.respond` follows.
        """
        request.is_dispatched = False
        if request.state is RequestState.DONE:
            return request.response
        if request.state is not RequestState.OWNING:
            return self._finish_after_loss(request, response)
        others_wait = request.was_taken_over or request.waiting_members
        if response.status == REJECTED and request.may_have_run and others_wait:
            # The lost owner may have finished it for a client: it is not rejected for another one.
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
        """Another member has taken it over. An attempt that was released before may still finish it."""
        if response.status != FINISHED:
            return None
        frame = ResponseFrame(request.key, request.epoch, response)
        self.context.host.send_frame(request.contact, frame)
        self.completion.finish(request, response)
        return response

    def wait_on(self, request: ReplicatedRequest, client: Client, until: float) -> None:
        """A client whose decisions have ended without a response waits for another member's."""
        if request.state is RequestState.DONE and request.response is not None:
            self.context.host.respond(request, client, request.response)
        else:
            self.table.add_client(request, client, until)

    def client_disconnected(self, request: ReplicatedRequest, client: Client) -> bool:
        """A client that waited has disconnected. True: the request is not needed any more and forgotten."""
        request.waiting_clients.pop(client, None)
        if request.waiting_clients or request.waiting_members or request.state is RequestState.DONE:
            return False
        if request.state in (RequestState.JOINED, RequestState.ASKING):
            self.table.forget(request)
            return True
        if request.state is not RequestState.OWNING or request.was_taken_over:
            return False
        if not request.is_idempotent and request.may_have_run:
            return False  # a retry with its key learns how it ended
        self.completion.send_to_replicas(request, RecordedResponse(REJECTED))
        self.table.forget(request)
        return True

    # What replicas say.

    def link_up(self, request: ReplicatedRequest, member: str) -> None:
        """There is a new link to a member: replicate to it again, for frames on the one before may be lost.

        It may also have taken the request over meanwhile.
        """
        acknowledged = request.replicas.get(member)
        if acknowledged is None:
            return
        if request.state is RequestState.OWNING or acknowledged == NOT_SENT:
            self.placement.replicate_to(request, member)

    def on_replica_state(self, member: str, frame: ReplicaStateFrame) -> None:
        """A replica, or a member that was asked for the owner, has answered."""
        request = self.table.get(frame.key)
        if request is None or request.state in (RequestState.DONE, RequestState.REPLICA):
            return
        match frame.verdict:
            case ReplicaVerdict.RESPONSE_RECORDED:
                self._rejection_recorded(request, member, frame)
            case ReplicaVerdict.IN_PROGRESS | ReplicaVerdict.SUPERSEDED:
                self._owned_elsewhere(request, member, frame)
            case ReplicaVerdict.FINISHED:
                self._answered_elsewhere(request, frame)
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
        """Another member acts on the request; its coordinator, if that is linked, knows which one."""
        self.completion.join(request, frame.coordinator if frame.coordinator in self.links else member)

    def _answered_elsewhere(self, request: ReplicatedRequest, frame: ReplicaStateFrame) -> None:
        """Another member has given the final response."""
        if frame.response is not None:
            self.completion.cancel_attempts(request)
            self.completion.finish(request, frame.response)

    def _key_reused(self, request: ReplicatedRequest) -> None:
        """The key was used for another request."""
        self.completion.cancel_attempts(request)
        # Without this a replica of ours would give that response for the request that has the key.
        self.completion.send_to_replicas(request, RecordedResponse(REJECTED))
        request.replicas.clear()
        self.completion.finish(request, RecordedResponse(KEY_REUSED))
        self.table.forget(request)

    def _owner_unknown(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """The member that would replace the coordinator knows nothing of the request."""
        if request.state is RequestState.OWNING or request.contact != member:
            return
        if frame.coordinator or self.placement.must_wait(request):
            self.completion.give_up(request, "home-unreachable")
        else:
            self.placement.own_with_substitute(request, member)
            self.placement.dispatch(request)

    def _recorded(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """A replica has recorded the request, and perhaps granted it."""
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
        """Another member asks a replica for it too: replicate it there again once it is granted."""
        if request.epoch == frame.epoch and member in request.replicas:
            request.replicas[member] = NOT_SENT
            if request.is_granted:
                self.placement.replicate_to(request, member)

    def _not_recorded(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """A member does not record the request."""
        request.replicas.pop(member, None)
        if frame.verdict == ReplicaVerdict.OUT_OF_MEMORY:
            self._replica_full(request, member)
        else:
            self._redirected(request, member, frame)

    def _redirected(self, request: ReplicatedRequest, member: str, frame: ReplicaStateFrame) -> None:
        """The coordinator is another member as seen from there."""
        if request.is_granted and self.views.is_in_other_shard(self.context.member_id, request):
            # A coordinator to come asks that replica: attempts do not go on with one replica less.
            request.replicas[member], request.informed_coordinator = UNACKNOWLEDGED, ""
        elif request.contact == member and not request.is_granted:
            # Our view may stay behind as long as the coordination store is unreachable.
            request.contact = ""
            if frame.coordinator in self.links:
                request.contact = frame.coordinator
                self.placement.replicate_to(request, frame.coordinator, requests_grant=True)

    def _replica_full(self, request: ReplicatedRequest, member: str) -> None:
        """A replica has no memory left for the request."""
        if not request.is_granted and member == request.contact:
            if request.is_retry and not request.is_idempotent:
                self.completion.give_up(request, ReplicaVerdict.OUT_OF_MEMORY.value)
                return
            self.placement.own_unreplicated(request, ReplicaVerdict.OUT_OF_MEMORY.value)
            self.placement.dispatch(request)
        self.placement.release_attempts(request)
