"""Placement of a request: which member grants it, which replicate it, and when its attempts are released."""

from __future__ import annotations

from math import inf

from ..frames import FindOwnerFrame
from .completion import RequestCompletion
from .context import ReplicationContext
from .peer_links import PeerLinks, ReachableMembers
from .request import NOT_SENT, UNACKNOWLEDGED, ReplicatedRequest, RequestState
from .request_table import RequestTable
from .views import ViewTracker

MIN_REMOTE_REPLICAS = 2  # minimum of replicas of a request whose owner is in another shard


class RequestPlacement:
    """Finds the coordinator of a request, and the replicas of a request that this member owns."""

    def __init__(
        self,
        context: ReplicationContext,
        views: ViewTracker,
        links: PeerLinks,
        table: RequestTable,
        completion: RequestCompletion,
    ) -> None:
        """Store the components that this one uses."""
        self.context, self.views, self.links, self.table = context, views, links, table
        self.completion = completion

    # Finding out whether a request is new.

    def locate_owner(self, request: ReplicatedRequest) -> None:
        """Ask the coordinator whether the request is new; if it is unreachable, ask its substitute."""
        coordinator = self.views.coordinator_of(request)
        if self.views.is_in_other_shard(self.context.member_id, request):
            substitute = next(iter(self._choose_replicas(request)), "")
            if substitute and substitute not in self.links:
                # A call of the replicator's `link_up` or `link_failed` follows.
                request.state, request.contact = RequestState.ASKING, ""
                return
        else:
            ranked = self.views.view.ranked_members(request.key)
            substitute = next((member.id for member in ranked if member.id in self.links), "")
        request.contact = ""
        if coordinator == self.context.member_id and self.views.may_decide():
            self._grant_or_wait(request)
        elif coordinator in self.links:
            request.contact = coordinator
            self.replicate(request)
        elif coordinator == self.context.member_id and substitute:
            # Other members may have a view without this member; the substitute names its coordinator.
            request.contact = substitute
            self.replicate_to(request, substitute, requests_grant=True)
        else:
            self._ask_substitute(request, coordinator, substitute)

    def _grant_or_wait(self, request: ReplicatedRequest) -> None:
        """Grant the request as its coordinator, or wait until this member may grant it."""
        if self.views.may_grant(request.key):
            self.own(request)
        else:
            self.context.counts["held"] += 1

    def _ask_substitute(self, request: ReplicatedRequest, coordinator: str, substitute: str) -> None:
        """Proceed with a request whose coordinator is unreachable.

        `substitute`: the member that stands in for the coordinator; empty if there is none.
        """
        reason = "no-link" if coordinator else "no-view"
        if request.is_idempotent:
            if substitute:
                self.own_with_substitute(request, substitute)
            else:
                self.own_unreplicated(request, reason)
        elif substitute and self.context.host.send_frame(
            substitute, FindOwnerFrame(request.key, request.fingerprint)
        ):
            # Another member may handle the request already, and perhaps only the coordinator knows that.
            request.state, request.contact = RequestState.ASKING, substitute
        elif self.must_wait(request):
            self.completion.reject(request, "home-unreachable")
        else:
            self.own_unreplicated(request, reason)

    def must_wait(self, request: ReplicatedRequest) -> bool:
        """Return whether a request whose coordinator is unreachable has to wait for a new view.

        While this member holds a lease, a view that names another coordinator follows soon. Without a lease
        requests are served all the same, except for retries, which may be in flight already; where so few
        members are reachable that this one may be partitioned; and for keys of another shard, since too few
        members of that shard are linked.
        """
        has_view = bool(self.views.view.members)
        if has_view and self.views.is_in_other_shard(self.context.member_id, request):
            return True
        leased = self.context.now < self.views.lease_until
        return request.is_retry or (has_view and (leased or not self.views.may_decide()))

    # Ownership.

    def own(self, request: ReplicatedRequest) -> None:
        """Grant the request, whose coordinator is this member, to this member."""
        request.is_granted, request.state = True, RequestState.OWNING
        self.replicate(request)
        if not request.replicas:
            alone = len(self.views.view.members) == 1
            self.own_unreplicated(request, "alone" if alone else "no-link")

    def own_with_substitute(self, request: ReplicatedRequest, member: str) -> None:
        """Own the request, with the coordinator's substitute as its replica."""
        self.context.counts["stood_in"] += 1
        request.is_granted, request.state = True, RequestState.OWNING
        self.replicate_to(request, member)

    def own_unreplicated(self, request: ReplicatedRequest, reason: str) -> None:
        """Own the request though no other member records it: availability comes before replication."""
        self.context.counts["uncovered"] += 1
        self.context.host.log_event("cover.none", reason=reason)
        request.is_granted, request.state = True, RequestState.OWNING

    def dispatch(self, request: ReplicatedRequest) -> None:
        """Have the host dispatch the request, if this member owns it and it is not dispatched yet."""
        if request.state is RequestState.OWNING and not request.is_dispatched:
            request.is_dispatched = True
            request.dispatched_client = next(iter(request.waiting_clients), None)
            self.context.host.dispatch(request)

    # Replicas.

    def _choose_replicas(self, request: ReplicatedRequest) -> list[str]:
        """Return the reachable members that are to record the request, the coordinator first."""
        view, member_id, count = self.views.view, self.context.member_id, self.context.replica_count
        if not self.views.has_remote_replicas(request):
            return view.replicas(request.key, member_id, count, self.links)
        if self.views.is_in_other_shard(member_id, request):
            # Members of the key's shard do not wait until an owner in another shard has synchronised. So the
            # coordinator may be lost before the owner has replicated the request to the next coordinator.
            count = max(MIN_REMOTE_REPLICAS, count)
        return view.replicas(request.key, member_id, count, ReachableMembers(self.links))

    def replicate_to(self, request: ReplicatedRequest, member: str, requests_grant: bool = False) -> None:
        """Replicate the request to one member; with `requests_grant` it also replies whether it is new."""
        request.owner = self.context.member_id
        coordinator = self.views.coordinator_of(request)
        in_other_shard = self.views.is_in_other_shard(self.context.member_id, request)
        frame = request.to_frame(
            requests_grant or coordinator == member, coordinator if in_other_shard else ""
        )
        if self.context.host.send_frame(member, frame):
            request.replicas[member] = UNACKNOWLEDGED

    def replicate(self, request: ReplicatedRequest) -> None:
        """Replicate the request to all members that are to record it and do not yet."""
        chosen = self._choose_replicas(request)
        if self.views.is_in_other_shard(self.context.member_id, request):
            chosen = self._update_remote_replicas(request, chosen)
        else:
            request.informed_coordinator = ""
            for member in [m for m, acked in request.replicas.items() if acked == NOT_SENT]:
                if member not in chosen:
                    del request.replicas[member]
        for member in chosen:
            if member not in request.replicas:
                if member not in self.links:
                    request.replicas[member] = NOT_SENT
                self.replicate_to(request, member)
            elif member not in self.links and self.views.has_remote_replicas(request):
                self.links.dial(member)

    def _update_remote_replicas(self, request: ReplicatedRequest, chosen: list[str]) -> list[str]:
        """Adapt the replicas in another shard to the view; return the members that are to record it."""
        coordinator = self.views.coordinator_of(request)
        if request.informed_coordinator != coordinator:
            # Replicas no longer acknowledge frames that name the former coordinator.
            for member in [member for member in request.replicas if member in self.links]:
                self.replicate_to(request, member)
            request.informed_coordinator = coordinator
        if not request.is_idempotent and coordinator and coordinator not in chosen:
            chosen = [coordinator, *chosen]  # no attempt is released unless it has acknowledged
        unwanted = [m for m in request.replicas if m not in chosen and not self.links.dial(m)]
        for member in unwanted:
            del request.replicas[member]
        return chosen

    # Attempts.

    def release_attempts(self, request: ReplicatedRequest) -> None:
        """Release the attempts whose intents all replicas have acknowledged."""
        if not request.is_granted or request.state is not RequestState.OWNING or not request.held_attempts:
            return
        if self.views.coordinates(request.key) and not self.views.may_grant(request.key):
            return  # a member that took the request over under the previous view may handle it as well
        unrecorded = request.was_taken_over and not request.replicas and len(self.views.view.members) > 1
        if unrecorded and not request.is_idempotent:
            return  # two members may have taken the request over, each believing that the other is lost
        acknowledged = min(request.replicas.values(), default=inf)
        for number in [number for number in request.held_attempts if number < acknowledged]:
            del request.held_attempts[number]
            request.was_released = True
            self.context.host.release_intent(request, number)
