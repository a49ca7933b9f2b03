"""Where a request is recorded: which member grants it, which members replicate it, when its attempts go."""

from __future__ import annotations

from math import inf

from ..frames import FindOwnerFrame
from .completion import RequestCompletion
from .context import ReplicationContext
from .peer_links import PeerLinks, ReachableMembers
from .request import NOT_SENT, UNACKNOWLEDGED, ReplicatedRequest, RequestState
from .request_table import RequestTable
from .views import ViewTracker

MIN_REMOTE_REPLICAS = 2  # of a request whose owner is of another cell


class RequestPlacement:
    """Finds the coordinator of a request and the replicas of what this member owns."""

    def __init__(
        self,
        context: ReplicationContext,
        views: ViewTracker,
        links: PeerLinks,
        table: RequestTable,
        completion: RequestCompletion,
    ) -> None:
        """The arguments are the parts that this one uses."""
        self.context, self.views, self.links, self.table = context, views, links, table
        self.completion = completion

    # Is it new?

    def locate_owner(self, request: ReplicatedRequest) -> None:
        """Ask the coordinator whether it is new; if that is unreachable, the member that would replace it."""
        coordinator = self.views.coordinator_of(request)
        if self.views.is_in_other_shard(self.context.member_id, request):
            substitute = next(iter(self._choose_replicas(request)), "")
            if substitute and substitute not in self.links:
                # `link_up` or `link_failed` follows.
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
            # Others may have a view without this member, and say who is its coordinator now.
            request.contact = substitute
            self.replicate_to(request, substitute, requests_grant=True)
        else:
            self._ask_substitute(request, coordinator, substitute)

    def _grant_or_wait(self, request: ReplicatedRequest) -> None:
        """This member is its coordinator."""
        if self.views.may_grant(request.key):
            self.own(request)
        else:
            self.context.counts["held"] += 1

    def _ask_substitute(self, request: ReplicatedRequest, coordinator: str, substitute: str) -> None:
        """Its coordinator is unreachable. `substitute`: the member that would replace it, or empty."""
        reason = "no-link" if coordinator else "no-view"
        if request.is_idempotent:
            if substitute:
                self.own_with_substitute(request, substitute)
            else:
                self.own_unreplicated(request, reason)
        elif substitute and self.context.host.send_frame(
            substitute, FindOwnerFrame(request.key, request.fingerprint)
        ):
            # Only the coordinator may know of a member that acts on it already.
            request.state, request.contact = RequestState.ASKING, substitute
        elif self.must_wait(request):
            self.completion.give_up(request, "home-unreachable")
        else:
            self.own_unreplicated(request, reason)

    def must_wait(self, request: ReplicatedRequest) -> bool:
        """Its coordinator is unreachable, and a view to come may name another one.

        While this member holds a lease that is soon. Without one service goes on, but not for what may be in
        flight already, nor with so few reachable members that this one may be cut off; nor for a key of
        another cell, of which too few members are linked.
        """
        has_view = bool(self.views.view.members)
        if has_view and self.views.is_in_other_shard(self.context.member_id, request):
            return True
        leased = self.context.now < self.views.lease_until
        return request.is_retry or (has_view and (leased or not self.views.may_decide()))

    # Ownership.

    def own(self, request: ReplicatedRequest) -> None:
        """This member, the coordinator, grants the request to itself."""
        request.is_granted, request.state = True, RequestState.OWNING
        self.replicate(request)
        if not request.replicas:
            alone = len(self.views.view.members) == 1
            self.own_unreplicated(request, "alone" if alone else "no-link")

    def own_with_substitute(self, request: ReplicatedRequest, member: str) -> None:
        """Act on it, recorded by the member that would replace its coordinator."""
        self.context.counts["stood_in"] += 1
        request.is_granted, request.state = True, RequestState.OWNING
        self.replicate_to(request, member)

    def own_unreplicated(self, request: ReplicatedRequest, reason: str) -> None:
        """Act on it though it is recorded nowhere else: service goes before replication."""
        self.context.counts["uncovered"] += 1
        self.context.host.log_event("cover.none", reason=reason)
        request.is_granted, request.state = True, RequestState.OWNING

    def dispatch(self, request: ReplicatedRequest) -> None:
        """Have the host's decisions begin, if this member owns it."""
        if request.state is RequestState.OWNING and not request.is_dispatched:
            request.is_dispatched = True
            request.dispatched_client = next(iter(request.waiting_clients), None)
            self.context.host.dispatch(request)

    # Replicas.

    def _choose_replicas(self, request: ReplicatedRequest) -> list[str]:
        """Who is to record it, the coordinator first, of the members that can be reached."""
        view, member_id, count = self.views.view, self.context.member_id, self.context.replica_count
        if not self.views.has_remote_replicas(request):
            return view.replicas(request.key, member_id, count, self.links)
        if self.views.is_in_other_shard(member_id, request):
            # The coordinator may be lost before an owner that nobody there waits for has told the next one.
            count = max(MIN_REMOTE_REPLICAS, count)
        return view.replicas(request.key, member_id, count, ReachableMembers(self.links))

    def replicate_to(self, request: ReplicatedRequest, member: str, requests_grant: bool = False) -> None:
        """Have one member record it. `requests_grant`: it shall also say whether the request is new."""
        request.owner = self.context.member_id
        coordinator = self.views.coordinator_of(request)
        outside = self.views.is_in_other_shard(self.context.member_id, request)
        frame = request.to_frame(requests_grant or coordinator == member, coordinator if outside else "")
        if self.context.host.send_frame(member, frame):
            request.replicas[member] = UNACKNOWLEDGED

    def replicate(self, request: ReplicatedRequest) -> None:
        """Have all members record it that are to."""
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
        """Adapt the replicas of another cell to the view. Returns who is to record it."""
        coordinator = self.views.coordinator_of(request)
        if request.informed_coordinator != coordinator:
            # Replicas do not acknowledge what names the former coordinator any more.
            for member in [member for member in request.replicas if member in self.links]:
                self.replicate_to(request, member)
            request.informed_coordinator = coordinator
        if not request.is_idempotent and coordinator and coordinator not in chosen:
            chosen = [coordinator, *chosen]  # no attempt is released without it
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
            return  # a member that took it over under the view before may act on it as well
        alone = request.was_taken_over and not request.replicas and len(self.views.view.members) > 1
        if alone and not request.is_idempotent:
            return  # two members may each believe to have taken it over
        acknowledged = min(request.replicas.values(), default=inf)
        for number in [number for number in request.held_attempts if number < acknowledged]:
            del request.held_attempts[number]
            request.was_released = True
            self.context.host.release_intent(request, number)
