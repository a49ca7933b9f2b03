"""What a replica does with the frames of owners, and of members that look for one."""

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

MAX_AGE = 4  # longest timeouts: older requests are not recorded
MAX_TIME_LEFT = 2  # longest timeouts: requests with a later deadline are not recorded


@dataclass(frozen=True, slots=True)
class _Claim:
    """What an owner says of a request, and what is known of that here."""

    member: str  # the owner
    frame: ReplicateFrame
    request: ReplicatedRequest | None  # as recorded here
    coordinator: str  # in our view
    requests_grant: bool  # its owner waits to be told whether it is new

    @property
    def is_open(self) -> bool:
        """Nobody is known here that was granted the request."""
        return self.request is None or self.request.is_unclaimed


class ReplicaRole:
    """Records requests for their owners, grants them, and says who acts on one."""

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
        """The arguments are the parts that this one uses."""
        self.context, self.views, self.links, self.table = context, views, links, table
        self.completion, self.records, self.takeover = completion, records, takeover

    def on_replicate(self, member: str, frame: ReplicateFrame) -> None:
        """A member has a request recorded that it, or a lost one, owns."""
        now, longest = self.context.now, self.context.longest_timeout
        if (
            not now - MAX_AGE * longest
            <= frame.received_at
            <= frame.deadline
            <= now + MAX_TIME_LEFT * longest
        ):
            # Clocks differ too much, or the record would never expire.
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
        """The view has changed: handle the records anew whose owners name the same coordinator now."""
        for member, frame in self.records.pop_agreed():
            self.on_replicate(member, frame)

    def _redirect(self, claim: _Claim) -> bool:
        """Where another member is the coordinator: wait until our view follows, or say who it is."""
        if claim.coordinator == self.context.member_id:
            return False
        member, frame, request = claim.member, claim.frame, claim.request
        # Only the coordinator deals with members out of the view, and only while it is linked to them.
        outsider = member not in self.views.view
        if outsider and request is not None:
            outsider = not self.views.agrees_on_coordinator(member, request, frame.coordinator)
        asks_here = claim.requests_grant and claim.is_open
        if asks_here and frame.coordinator == self.context.member_id and not outsider:
            self.records.hold(member, frame)  # its view is ahead of ours
            return True
        if outsider or asks_here:
            state = ReplicaStateFrame(
                frame.key, frame.epoch, ReplicaVerdict.NOT_COORDINATOR, coordinator=claim.coordinator
            )
            self.records.send(member, state)
            return True
        return False

    def _replaces_owner(self, claim: _Claim) -> bool:
        """Of two that ask at once the coordinator grants it to one, and any other replica follows."""
        request, frame = claim.request, claim.frame
        if request is None or not frame.is_granted:
            return False
        return self.records.is_contested(request, claim.member, frame.epoch)

    def _hold(self, claim: _Claim) -> bool:
        """Wait until the view is synchronised, where another coordinator may have granted it."""
        member, frame, request = claim.member, claim.frame, claim.request
        if not claim.requests_grant or self.views.may_grant(frame.key):
            return False
        same_owner = request is not None and request.owner == member
        if not (claim.is_open or same_owner or self._replaces_owner(claim)):
            return False
        if frame.is_granted:
            self.records.record_indirect(request, frame)  # its owner may be lost meanwhile
        recorded = self.table.get(frame.key)
        if recorded is not None and recorded.state is RequestState.REPLICA and recorded.owner == member:
            recorded.contact = frame.coordinator
        self.records.hold(member, frame)
        return True

    def _record(self, claim: _Claim) -> None:
        """Record the request, or say who else acts on it."""
        member, frame, request = claim.member, claim.frame, claim.request
        # Where the owner's view is ahead of ours we record it, and are its coordinator soon.
        granted = ReplicaVerdict.GRANTED if claim.requests_grant else ReplicaVerdict.RECORDED
        if request is None:
            self._record_new(claim, granted)
        elif request.fingerprint != frame.fingerprint:
            self.records.send_state(member, frame, ReplicaVerdict.KEY_REUSED)
        elif request.state is RequestState.DONE:
            self.records.send_state(member, frame, ReplicaVerdict.FINISHED, request.response)
        elif self._accepts(claim, request):
            if self._replaces_owner(claim) and not request.is_unclaimed:
                request.intents.clear()  # none of those was released
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
        """The frame's owner is the one whose record counts from now on."""
        frame = claim.frame
        same_owner = request.state is RequestState.REPLICA and request.owner == claim.member
        if same_owner and frame.epoch >= request.epoch:
            return True
        if frame.epoch > request.epoch or (request.is_unclaimed and frame.is_granted):
            return True
        return self._replaces_owner(claim)

    def on_find_owner(self, member: str, frame: FindOwnerFrame) -> None:
        """A member looks for the owner of a request whose coordinator it can't reach."""
        request = self.table.get(frame.key)
        state, response = ReplicaVerdict.UNKNOWN, None
        known = (RequestState.OWNING, RequestState.REPLICA, RequestState.DONE)
        if request is not None and request.state in known:
            if request.fingerprint != frame.fingerprint:
                state = ReplicaVerdict.KEY_REUSED
            elif request.state is RequestState.DONE:
                state, response = ReplicaVerdict.FINISHED, request.response
            else:
                state = ReplicaVerdict.IN_PROGRESS
                request.waiting_members[member] = None
        # Whether somebody is linked to its coordinator: nobody may replace that then.
        coordinator = self.views.view.coordinator(frame.key)
        reachable = coordinator in self.links or coordinator == self.context.member_id
        where = coordinator if reachable else ""
        self.records.send(member, ReplicaStateFrame(frame.key, 0, state, 0, response, where))

    def on_intent(self, member: str, frame: AttemptIntentFrame) -> None:
        """An owner wants to start an attempt once its replicas have recorded that."""
        key, epoch = frame.key, frame.epoch
        request = self.table.get(key)
        if request is None:
            return  # recording it was rejected, or it is over
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
            # Its lease has ended, and the present coordinator may have taken the request over.
            self.records.send(
                member, ReplicaStateFrame(key, epoch, ReplicaVerdict.SUPERSEDED, coordinator=coordinator)
            )
        elif self.records.is_contested(request, member, epoch) and not coordinates:
            return  # it was informed before
        elif request.state is not RequestState.REPLICA or (request.owner, request.epoch) != (member, epoch):
            request.waiting_members[member] = None
            self.records.send(member, ReplicaStateFrame(key, epoch, ReplicaVerdict.SUPERSEDED))
        elif 0 <= frame.number <= len(request.intents):
            request.intents[frame.number :] = [frame.intent]
            self._acknowledge_intent(member, frame, request)

    def _acknowledge_intent(self, member: str, frame: AttemptIntentFrame, request: ReplicatedRequest) -> None:
        """Acknowledge a recorded intent, at once or when the views agree."""
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
        """An owner's attempt is known never to have run."""
        request = self.table.get(frame.key)
        if request is None or (request.owner, request.epoch) != (member, frame.epoch):
            return
        if 0 <= frame.number < len(request.intents):
            request.intents[frame.number].outcome = frame.outcome

    def on_response(self, member: str, frame: ResponseFrame) -> None:
        """A member says that a request has its final response."""
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
            # Its former owner was only cut off, and an attempt that was granted to it has finished it.
            self.completion.cancel_attempts(request)
            self.completion.finish(request, frame.response)
        else:
            request.waiting_members[member] = None
            self.records.send(member, ReplicaStateFrame(frame.key, frame.epoch, ReplicaVerdict.SUPERSEDED))
