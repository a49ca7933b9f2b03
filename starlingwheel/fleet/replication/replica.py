"""The role of a replica: it handles the frames of owners and of members that look for an owner."""

from __future__ import annotations

from dataclasses import dataclass

from ..frames import (
    AttemptIntentFrame,
    AttemptNotRunFrame,
    FindOwnerFrame,
    ReplicaStateFrame,
    ReplicateFrame,
    ReplicaVerdict,
    ResponseFrame,
)
from .completion import RequestCompletion
from .context import ReplicationContext
from .peer_links import PeerLinks
from .records import ReplicaRecords
from .request import FINISHED, ReplicatedRequest, RequestState
from .request_table import RequestTable
from .takeover import RequestTakeover
from .views import ViewTracker

MAX_AGE = 4  # in longest timeouts: older requests are not recorded
MAX_TIME_LEFT = 2  # in longest timeouts: requests with a later deadline are not recorded


@dataclass(frozen=True, slots=True)
class _Claim:
    """A member's claim to own a request, with what this member knows about the request."""

    member: str  # the owner
    frame: ReplicateFrame
    request: ReplicatedRequest | None  # the record of this member
    coordinator: str  # the coordinator in our view
    requests_grant: bool  # the owner waits for the reply whether the request is new

    @property
    def is_open(self) -> bool:
        """Whether no member is known here to have been granted the request."""
        return self.request is None or self.request.is_unclaimed


class ReplicaRole:
    """Records requests for their owners, grants them, and tells other members who handles a request."""

    def __init__(
        self,
        context: ReplicationContext,
        views: ViewTracker,
        links: PeerLinks,
        table: RequestTable,
        completion: RequestCompletion,
        records: ReplicaRecords,
        takeover: RequestTakeover,
    ) -> None:
        """Store the components that this one uses."""
        self.context, self.views, self.links, self.table = context, views, links, table
        self.completion, self.records, self.takeover = completion, records, takeover

    def on_replicate(self, member: str, frame: ReplicateFrame) -> None:
        """Handle a frame with a request that its sender, or a lost member, owns: record or grant it."""
        now, longest = self.context.now, self.context.longest_timeout
        if (
            not now - MAX_AGE * longest
            <= frame.received_at
            <= frame.deadline
            <= now + MAX_TIME_LEFT * longest
        ):
            # The clocks differ too much; a record with such a deadline might never expire.
            self.records.send_state(member, frame, ReplicaVerdict.OUT_OF_MEMORY)
            return
        request = self.table.get(frame.key)
        if frame.owner != member:
            self.takeover.record_orphan(frame)
            return
        if request is not None and request.key_is_reusable:
            self.table.forget(request)
            request = None
        coordinator = self.views.view.coordinator(frame.key)
        requests_grant = frame.requests_grant and (
            coordinator == self.context.member_id or not frame.is_granted
        )
        claim = _Claim(member, frame, request, coordinator, requests_grant)
        if not self._redirect(claim) and not self._hold(claim):
            self._record(claim)

    def acknowledge_agreed(self) -> None:
        """Acknowledge records whose owners, since a change of the view, see the same coordinator as we do."""
        for member, frame in self.records.pop_agreed():
            self.on_replicate(member, frame)

    def _redirect(self, claim: _Claim) -> bool:
        """Store or redirect a claim that another member has to decide; return whether that was done.

        The frame is stored if the owner's view is newer than ours; otherwise the reply names the coordinator.
        """
        if claim.coordinator == self.context.member_id:
            return False
        member, frame, request = claim.member, claim.frame, claim.request
        # Only the coordinator accepts requests of members that are not in the view, while it has a link to
        # them. Another replica accepts only frames about requests that it knows, and only if the owner is in
        # another shard and names the same coordinator.
        unaccepted = member not in self.views.view
        if unaccepted and request is not None:
            unaccepted = not self.views.agrees_on_coordinator(member, request, frame.coordinator)
        wants_grant = claim.requests_grant and claim.is_open
        if wants_grant and frame.coordinator == self.context.member_id and not unaccepted:
            self.records.hold(member, frame)  # the owner's view is newer than ours
            return True
        if unaccepted or wants_grant:
            reply = ReplicaStateFrame(
                frame.key, frame.epoch, ReplicaVerdict.NOT_COORDINATOR, coordinator=claim.coordinator
            )
            self.records.send(member, reply)
            return True
        return False

    def _replaces_owner(self, claim: _Claim) -> bool:
        """Return whether the claim replaces the recorded owner.

        Of two members that ask at the same time the coordinator grants the request to one, and the other
        replicas follow it.
        """
        request, frame = claim.request, claim.frame
        if request is None or not frame.is_granted:
            return False
        return self.records.is_contested(request, claim.member, frame.epoch)

    def _hold(self, claim: _Claim) -> bool:
        """Store the frame until the view is synchronised, if another coordinator may have granted it.

        Returns whether it was stored.
        """
        member, frame, request = claim.member, claim.frame, claim.request
        if not claim.requests_grant or self.views.may_grant(frame.key):
            return False
        same_owner = request is not None and request.owner == member
        if not (claim.is_open or same_owner or self._replaces_owner(claim)):
            return False
        if frame.is_granted:
            self.records.record_indirect(request, frame)  # the owner may be lost meanwhile
        recorded = self.table.get(frame.key)
        if recorded is not None and recorded.state is RequestState.REPLICA and recorded.owner == member:
            recorded.contact = frame.coordinator
        self.records.hold(member, frame)
        return True

    def _record(self, claim: _Claim) -> None:
        """Record the request, or reply that it is finished or handled by another member."""
        member, frame, request = claim.member, claim.frame, claim.request
        # If the owner's view is newer than ours and names this member as the coordinator, the request is only
        # recorded until our view follows.
        granted = ReplicaVerdict.GRANTED if claim.requests_grant else ReplicaVerdict.RECORDED
        if request is None:
            self._record_new(claim, granted)
        elif request.fingerprint != frame.fingerprint:
            self.records.send_state(member, frame, ReplicaVerdict.KEY_REUSED)
        elif request.state is RequestState.DONE:
            self.records.send_state(member, frame, ReplicaVerdict.FINISHED, request.response)
        elif self._accepts(claim, request):
            if self._replaces_owner(claim) and not request.is_unclaimed:
                request.intents.clear()  # none of these attempts was released
            self.records.record(request, frame)
            self.records.acknowledge(member, frame, granted)
        elif (
            self.records.is_contested(request, member, frame.epoch)
            and claim.coordinator != self.context.member_id
        ):
            self.records.send_state(member, frame, ReplicaVerdict.CONTESTED)
        else:
            request.waiting_members[member] = None
            self.records.send_state(member, frame, ReplicaVerdict.IN_PROGRESS)

    def _record_new(self, claim: _Claim, granted: str) -> None:
        if self.table.is_full:
            self.records.send_state(claim.member, claim.frame, ReplicaVerdict.OUT_OF_MEMORY)
            return
        self.table.add_replica(claim.frame, self.views.view.shard_count > 1)
        self.context.counts["kept"] += 1
        self.records.acknowledge(claim.member, claim.frame, granted)

    def _accepts(self, claim: _Claim, request: ReplicatedRequest) -> bool:
        """Return whether the frame replaces the existing record."""
        frame = claim.frame
        same_owner = request.state is RequestState.REPLICA and request.owner == claim.member
        if same_owner and frame.epoch >= request.epoch:
            return True
        if frame.epoch > request.epoch or (request.is_unclaimed and frame.is_granted):
            return True
        return self._replaces_owner(claim)

    def on_find_owner(self, member: str, frame: FindOwnerFrame) -> None:
        """Reply to a member that looks for the owner of a request whose coordinator it can't reach."""
        request = self.table.get(frame.key)
        verdict, response = ReplicaVerdict.UNKNOWN, None
        known = (RequestState.OWNING, RequestState.REPLICA, RequestState.DONE)
        if request is not None and request.state in known:
            if request.fingerprint != frame.fingerprint:
                verdict = ReplicaVerdict.KEY_REUSED
            elif request.state is RequestState.DONE:
                verdict, response = ReplicaVerdict.FINISHED, request.response
            else:
                verdict = ReplicaVerdict.IN_PROGRESS
                request.waiting_members[member] = None
        # The reply names the coordinator if this member reaches it: then no substitute may replace it.
        coordinator = self.views.view.coordinator(frame.key)
        if coordinator not in self.links and coordinator != self.context.member_id:
            coordinator = ""
        self.records.send(member, ReplicaStateFrame(frame.key, 0, verdict, 0, response, coordinator))

    def on_intent(self, member: str, frame: AttemptIntentFrame) -> None:
        """Record the intent of an attempt, which its owner starts once all replicas have recorded it."""
        key, epoch = frame.key, frame.epoch
        request = self.table.get(key)
        if request is None:
            return  # the request was not recorded, or has expired
        coordinator = self.views.view.coordinator(key)
        coordinates = coordinator == self.context.member_id
        if request.state is RequestState.DONE:
            self.records.send(
                member, ReplicaStateFrame(key, epoch, ReplicaVerdict.FINISHED, 0, request.response)
            )
        elif (
            member not in self.views.view
            and not coordinates
            and not self.views.agrees_on_coordinator(member, request, frame.coordinator)
        ):
            # The owner's lease has ended, and the present coordinator may have taken the request over.
            self.records.send(
                member, ReplicaStateFrame(key, epoch, ReplicaVerdict.SUPERSEDED, coordinator=coordinator)
            )
        elif self.records.is_contested(request, member, epoch) and not coordinates:
            return  # this member has already told the owner that the request is contested
        elif request.state is not RequestState.REPLICA or (request.owner, request.epoch) != (member, epoch):
            request.waiting_members[member] = None
            self.records.send(member, ReplicaStateFrame(key, epoch, ReplicaVerdict.SUPERSEDED))
        elif 0 <= frame.number <= len(request.intents):
            request.intents[frame.number :] = [frame.intent]
            self._acknowledge_intent(member, frame, request)

    def _acknowledge_intent(self, member: str, frame: AttemptIntentFrame, request: ReplicatedRequest) -> None:
        """Acknowledge a recorded intent, at once or once the views agree."""
        coordinator = self.views.view.coordinator(frame.key)
        if self.views.is_in_other_shard(member, request) and frame.coordinator != coordinator:
            self.records.awaiting_agreement[member, frame.key] = frame.coordinator
        elif coordinator == self.context.member_id and not self.views.may_grant(frame.key):
            self.records.hold(member, request.to_frame(requests_grant=True, coordinator=frame.coordinator))
        else:
            self.records.send(
                member, ReplicaStateFrame(frame.key, frame.epoch, ReplicaVerdict.RECORDED, frame.number + 1)
            )

    def on_attempt_not_run(self, member: str, frame: AttemptNotRunFrame) -> None:
        """Record that an owner's attempt is known never to have run."""
        request = self.table.get(frame.key)
        if request is None or (request.owner, request.epoch) != (member, frame.epoch):
            return
        if 0 <= frame.number < len(request.intents):
            request.intents[frame.number].outcome = frame.outcome

    def on_response(self, member: str, frame: ResponseFrame) -> None:
        """Record the final response that a member reports for a request."""
        request = self.table.get(frame.key)
        recorded = ReplicaStateFrame(frame.key, frame.epoch, ReplicaVerdict.RESPONSE_RECORDED)
        self.records.drop_held(member, frame.key)
        if request is None or request.state is RequestState.DONE:
            self.records.send(member, recorded)
        elif request.state is RequestState.REPLICA and (request.owner, request.epoch) == (
            member,
            frame.epoch,
        ):
            self.completion.finish(request, frame.response)
            self.records.send(member, recorded)
        elif request.state in (RequestState.JOINED, RequestState.ASKING):
            self.completion.finish(request, frame.response)
        elif frame.response.status == FINISHED:
            # The former owner was only partitioned, and an attempt that was released there has succeeded.
            self.completion.cancel_attempts(request)
            self.completion.finish(request, frame.response)
        else:
            request.waiting_members[member] = None
            self.records.send(member, ReplicaStateFrame(frame.key, frame.epoch, ReplicaVerdict.SUPERSEDED))
