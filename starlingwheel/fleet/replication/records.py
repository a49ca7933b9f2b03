"""The records that this member keeps for owners of requests, and conflicts between several owners of one."""

from __future__ import annotations

from ..frames import (
    AttemptIntent,
    Frame,
    RecordedResponse,
    ReplicaStateFrame,
    ReplicateFrame,
    ReplicaVerdict,
)
from .completion import RequestCompletion
from .context import ReplicationContext
from .request import ReplicatedRequest, RequestState
from .request_table import RequestTable
from .views import ViewTracker


class ReplicaRecords:
    """Makes records for owners; stores frames and acknowledgements that wait for the view."""

    def __init__(
        self,
        context: ReplicationContext,
        views: ViewTracker,
        table: RequestTable,
        completion: RequestCompletion,
    ) -> None:
        """Store the components that this one uses."""
        self.context, self.views, self.table, self.completion = context, views, table, completion
        # Senders and their frames, which this member can answer only once its view is synchronised.
        self.held: list[tuple[str, ReplicateFrame]] = []
        # Records that are not acknowledged, since the owner, in another shard, sees another coordinator than
        # this member does. By owner and key: the coordinator that the owner sees.
        self.awaiting_agreement: dict[tuple[str, bytes], str] = {}

    # Frames and acknowledgements that wait.

    def hold(self, member: str, frame: ReplicateFrame) -> None:
        """Store the frame until the view is synchronised."""
        self.held.append((member, frame))

    def take_held(self) -> list[tuple[str, ReplicateFrame]]:
        """Remove and return the frames that were stored, with their senders."""
        held, self.held = self.held, []
        return held

    def holds_frame_of(self, member: str) -> bool:
        """Return whether a frame of that member waits."""
        return any(sender == member for sender, _ in self.held)

    def drop_held(self, member: str, key: bytes) -> None:
        """Drop the frames of an owner that has finished the request, so that it is not recorded later."""
        self.held = [(sender, frame) for sender, frame in self.held if (sender, frame.key) != (member, key)]

    def forget_member(self, member: str) -> None:
        """Drop what waits for a member whose link has ended."""
        self.held = [(sender, frame) for sender, frame in self.held if sender != member]
        self.awaiting_agreement = {
            (owner, key): coordinator
            for (owner, key), coordinator in self.awaiting_agreement.items()
            if owner != member
        }

    def pop_agreed(self) -> list[tuple[str, ReplicateFrame]]:
        """Remove and return, by owner, the records that can be acknowledged now.

        The view names the coordinator that their owner sees, or their owner is in the key's shard now.
        """
        agreed = []
        awaiting_agreement, self.awaiting_agreement = self.awaiting_agreement, {}
        for (member, key), owners_coordinator in awaiting_agreement.items():
            request = self.table.get(key)
            if request is None or request.state is not RequestState.REPLICA or request.owner != member:
                continue
            coordinator = self.views.view.coordinator(key)
            if coordinator == owners_coordinator or not self.views.is_in_other_shard(member, request):
                requests_grant = coordinator == self.context.member_id
                agreed.append((member, request.to_frame(requests_grant, owners_coordinator)))
            else:
                self.awaiting_agreement[member, key] = owners_coordinator
        return agreed

    # Acknowledgements.

    def send_state(
        self, member: str, frame: ReplicateFrame, verdict: str, response: RecordedResponse | None = None
    ) -> None:
        """Reply to the sender of a frame with a `ReplicaVerdict`, and the final response if there is one."""
        self.send(member, ReplicaStateFrame(frame.key, frame.epoch, verdict, len(frame.intents), response))

    def send(self, member: str, frame: Frame) -> None:
        """Send a frame to a member."""
        self.context.host.send_frame(member, frame)

    def acknowledge(self, member: str, frame: ReplicateFrame, verdict: str) -> None:
        """Acknowledge to an owner that its request is recorded, once both views name the same coordinator."""
        request, coordinator = self.table.requests[frame.key], self.views.view.coordinator(frame.key)
        spans_shards = self.views.view.shard_count > 1
        request.granted_to_owner = spans_shards and (
            request.granted_to_owner or verdict == ReplicaVerdict.GRANTED
        )
        if self.views.is_in_other_shard(member, request):
            request.contact = frame.coordinator  # the coordinator in the owner's view
            if frame.coordinator != coordinator:
                self.awaiting_agreement[member, frame.key] = frame.coordinator
                return
            request.informed_coordinator = request.informed_coordinator or coordinator
        self.send_state(member, frame, verdict)

    # Conflicts.

    def is_contested(self, request: ReplicatedRequest, member: str, epoch: int) -> bool:
        """Return whether another member wants the request too and it is unknown here who was granted it."""
        if self.views.view.shard_count == 1 or request.is_unclaimed:
            return self.views.view.shard_count > 1
        ungranted = request.state is RequestState.REPLICA and not request.granted_to_owner
        return ungranted and request.epoch == epoch and request.owner != member

    def record_indirect(self, request: ReplicatedRequest | None, frame: ReplicateFrame) -> None:
        """Record a request that another member owns or owned.

        The record replaces a request of this member's own that was not granted to it.
        """
        if request is None:
            if not self.table.is_full:
                self.table.add_replica(frame, self.views.view.shard_count > 1)
        elif request.is_unclaimed:
            self.record(request, frame)
        elif request.state is RequestState.REPLICA and request.epoch <= frame.epoch:
            rivals = request.owner != frame.owner and request.epoch == frame.epoch
            if rivals and request.granted_to_owner and not frame.is_granted:
                return  # the frame describes the request of an owner to which it was never granted
            self._merge(request, frame)

    def record(self, request: ReplicatedRequest, frame: ReplicateFrame) -> None:
        """Record the request for its owner, as a new or an existing replica."""
        was_unclaimed = request.is_unclaimed
        self.completion.relinquish(request)
        if was_unclaimed:
            # These attempts were never released; their outcomes must not count for the owner's attempts.
            request.intents.clear()
        request.state, request.contact = RequestState.REPLICA, ""
        self._merge(request, frame)

    def _merge(self, request: ReplicatedRequest, frame: ReplicateFrame) -> None:
        """Merge the histories of the record and the frame: an intent recorded in either counts."""
        same_epoch = request.epoch == frame.epoch
        other_owner = request.owner != frame.owner
        if other_owner:
            request.contact, request.granted_to_owner = "", False
        spans_shards = self.views.view.shard_count > 1
        request.granted_to_owner = spans_shards and (request.granted_to_owner or frame.is_granted)
        request.owner, request.epoch = frame.owner, frame.epoch
        request.deadline = max(request.deadline, frame.deadline)
        request.content, request.is_stale = frame.request, False
        # The request class under which its owner, or the former one, accepted it.
        request.class_record = frame.class_record or request.class_record
        # Of two owners that asked at the same time, the outcomes of one say nothing of the other's attempts.
        keep_outcomes = not (other_owner and same_epoch)
        request.intents = _merge_intents(request.intents, frame.intents, keep_outcomes)


def _merge_intents(
    known: list[AttemptIntent], received: list[AttemptIntent], keep_outcomes: bool
) -> list[AttemptIntent]:
    """Return the received intents, complemented by the intents and outcomes that only `known` has."""
    merged = list(received)
    for number, intent in enumerate(known):
        if number >= len(merged):
            merged.append(intent)
        elif keep_outcomes and (intent.endpoint_id, intent.started_at) == (
            merged[number].endpoint_id,
            merged[number].started_at,
        ):
            merged[number].outcome = merged[number].outcome or intent.outcome
    return merged
