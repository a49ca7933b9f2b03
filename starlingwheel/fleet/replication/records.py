"""What this member records for the owners of requests, and conflicts between what members say of one."""

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
    """Owns the replication frames and acknowledgements that wait for a view to be synchronised or changed."""

    def __init__(
        self,
        context: ReplicationContext,
        views: ViewTracker,
        table: RequestTable,
        completion: RequestCompletion,
    ) -> None:
        """The arguments are the parts that this one uses."""
        self.context, self.views, self.table, self.completion = context, views, table, completion
        # Frames by their senders, which this member can answer only once its view is synchronised.
        self.held: list[tuple[str, ReplicateFrame]] = []
        # Recorded here, while its owner, of another cell, names that coordinator and we another one.
        self.awaiting_agreement: dict[tuple[str, bytes], str] = {}

    # What waits.

    def hold(self, member: str, frame: ReplicateFrame) -> None:
        """Handle the frame once the view is synchronised."""
        self.held.append((member, frame))

    def take_held(self) -> list[tuple[str, ReplicateFrame]]:
        """The frames that can be handled now."""
        held, self.held = self.held, []
        return held

    def holds_frame_of(self, member: str) -> bool:
        """A frame of that member waits."""
        return any(sender == member for sender, _ in self.held)

    def drop_held(self, member: str, key: bytes) -> None:
        """The owner has finished the request: it is not to be recorded later."""
        self.held = [(sender, frame) for sender, frame in self.held if (sender, frame.key) != (member, key)]

    def forget_member(self, member: str) -> None:
        """The link to a member has ended."""
        self.held = [(sender, frame) for sender, frame in self.held if sender != member]
        self.awaiting_agreement = {
            one: named for one, named in self.awaiting_agreement.items() if one[0] != member
        }

    def pop_agreed(self) -> list[tuple[str, ReplicateFrame]]:
        """Records to acknowledge, by owner: the view now names the coordinator that their owner does."""
        agreed = []
        awaiting_agreement, self.awaiting_agreement = self.awaiting_agreement, {}
        for (member, key), named in awaiting_agreement.items():
            request = self.table.get(key)
            if request is None or request.state is not RequestState.REPLICA or request.owner != member:
                continue
            coordinator = self.views.view.coordinator(key)
            if coordinator == named or not self.views.is_in_other_shard(member, request):
                requests_grant = coordinator == self.context.member_id
                agreed.append((member, request.to_frame(requests_grant, named)))
            else:
                self.awaiting_agreement[member, key] = named
        return agreed

    # Acknowledgements.

    def send_state(
        self, member: str, frame: ReplicateFrame, state: str, response: RecordedResponse | None = None
    ) -> None:
        """Tell the sender of a frame what becomes of it."""
        self.send(member, ReplicaStateFrame(frame.key, frame.epoch, state, len(frame.intents), response))

    def send(self, member: str, frame: Frame) -> None:
        """Send a frame to a member."""
        self.context.host.send_frame(member, frame)

    def acknowledge(self, member: str, frame: ReplicateFrame, state: str) -> None:
        """Tell an owner that its request is recorded, once both views name the same coordinator."""
        request, coordinator = self.table.requests[frame.key], self.views.view.coordinator(frame.key)
        spans_shards = self.views.view.shard_count > 1
        request.granted_to_owner = spans_shards and (
            request.granted_to_owner or state == ReplicaVerdict.GRANTED
        )
        if self.views.is_in_other_shard(member, request):
            request.contact = frame.coordinator  # as its owner sees it
            if frame.coordinator != coordinator:
                self.awaiting_agreement[member, frame.key] = frame.coordinator
                return
            request.informed_coordinator = request.informed_coordinator or coordinator
        self.send_state(member, frame, state)

    # Conflicts.

    def is_contested(self, request: ReplicatedRequest, member: str, epoch: int) -> bool:
        """Another member asks for it as well, and it is not known here whom the coordinator granted it."""
        if self.views.view.shard_count == 1 or request.is_unclaimed:
            return self.views.view.shard_count > 1
        ungranted = request.state is RequestState.REPLICA and not request.granted_to_owner
        return ungranted and request.epoch == epoch and request.owner != member

    def record_indirect(self, request: ReplicatedRequest | None, frame: ReplicateFrame) -> None:
        """Record what another member owns, or owned; it goes before what was not granted to this member."""
        if request is None:
            if not self.table.is_full:
                self.table.add_replica(frame, self.views.view.shard_count > 1)
        elif request.is_unclaimed:
            self.record(request, frame)
        elif request.state is RequestState.REPLICA and request.epoch <= frame.epoch:
            rivals = request.owner != frame.owner and request.epoch == frame.epoch
            if rivals and request.granted_to_owner and not frame.is_granted:
                return  # the record of an owner to which it was never granted
            self._merge(request, frame)

    def record(self, request: ReplicatedRequest, frame: ReplicateFrame) -> None:
        """This member becomes or stays a replica of the request."""
        was_unclaimed = request.is_unclaimed
        self.completion.relinquish(request)
        if was_unclaimed:
            # Outcomes of attempts that were never released must not be taken for those of the owner's.
            request.intents.clear()
        request.state, request.contact = RequestState.REPLICA, ""
        self._merge(request, frame)

    def _merge(self, request: ReplicatedRequest, frame: ReplicateFrame) -> None:
        """Join what both know of the history: an intent that is recorded anywhere counts."""
        same_epoch = request.epoch == frame.epoch
        other_owner = request.owner != frame.owner
        if other_owner:
            request.contact, request.granted_to_owner = "", False
        spans_shards = self.views.view.shard_count > 1
        request.granted_to_owner = spans_shards and (request.granted_to_owner or frame.is_granted)
        request.owner, request.epoch = frame.owner, frame.epoch
        request.deadline = max(request.deadline, frame.deadline)
        request.content, request.is_stale = frame.request, False
        # The rules under which its owner, or the one before, accepted it.
        request.class_record = frame.class_record or request.class_record
        # The outcome of another owner's attempt is not taken over, of two that asked at once.
        keep_outcomes = not (other_owner and same_epoch)
        request.intents = _merge_intents(request.intents, frame.intents, keep_outcomes)


def _merge_intents(
    known: list[AttemptIntent], received: list[AttemptIntent], keep_outcomes: bool
) -> list[AttemptIntent]:
    """The received intents, with those and the outcomes that only the known ones have."""
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
