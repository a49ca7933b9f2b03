"""One replicated request as one member knows it, and its states."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from ...decisions.config import RetrySafety
from ..frames import AttemptIntent, RecordedRequest, RecordedResponse, ReplicateFrame, RequestClassRecord
from ..membership import hash_position

# Statuses of final responses.
FINISHED = 200
KEY_REUSED = 422
REJECTED = 503
FAILED = 504
NEVER_RELEASED = "unsent"  # outcome of an attempt
NOT_SENT = -2  # state of a replica: the request has not been sent to it yet
UNACKNOWLEDGED = -1  # state of a replica: it has not acknowledged the request yet
OVERHEAD = 512  # bytes that a request takes besides its bodies
NO_CONTENT = RecordedRequest(b"", b"", [], b"", b"")

Client: TypeAlias = Any  # the host's object for a waiting client; opaque to the replicator


class RequestState(enum.Enum):
    """The role of this member for a request."""

    ASKING = "asking"  # waits for the coordinator's decision whether the request is new
    OWNING = "owning"  # this member handles it
    JOINED = "joined"  # another member handles it; clients wait here for its response
    REPLICA = "keeping"  # another member handles it; this one records it
    DONE = "done"  # it has its final response


class BeginResult(enum.Enum):
    """What the host has to do with a request that has arrived."""

    RUN = "run"  # dispatch it now; its attempts are held until they are released
    WAIT = "wait"  # `ReplicationHost.dispatch` or `respond` follows, or has been called already
    RESPOND = "answer"  # `ReplicatedRequest.response` is its final response
    KEY_REUSED = "other"  # its idempotency key was used for a different request


@dataclass(slots=True, eq=False)
class ReplicatedRequest:
    """One request with an idempotency key, as one member knows it. Times are seconds on the wall clock."""

    key: bytes
    fingerprint: bytes  # hash of the request's method, target and body
    request_class: str  # name of its class
    retry_safety: str  # value of its `RetrySafety`
    received_at: float
    deadline: float
    is_retry: bool
    content: RecordedRequest
    intents: list[AttemptIntent]
    epoch: int
    owner: str
    state: RequestState
    class_record: RequestClassRecord | None
    hash_position: int  # of its key; determines its shard
    size: int  # bytes
    response: RecordedResponse | None = None
    # Its replicas, with the number of intents that each has acknowledged, or `NOT_SENT` or `UNACKNOWLEDGED`.
    replicas: dict[str, int] = field(default_factory=dict)
    is_granted: bool = False  # the coordinator has granted the request to this member
    is_dispatched: bool = False  # the host's scheduler handles it
    dispatched_client: Client = None  # the client for which the scheduler handles it
    held_attempts: dict[int, None] = field(default_factory=dict)  # numbers of attempts not released yet
    waiting_members: dict[str, None] = field(default_factory=dict)  # members that wait for its response
    waiting_clients: dict[Client, float] = field(default_factory=dict)  # with the time until which each waits
    was_taken_over: bool = False  # this member has taken it over from another owner
    was_released: bool = False  # an attempt of this member was released
    unacknowledged_rejection: RecordedResponse | None = None  # its replicas have not all recorded it yet
    contact: str = ""  # the member that was asked for it, that handles it, or that knows its response
    is_stale: bool = False  # recorded before this member was out of the view for a while
    # For an owner in another shard than the key: the coordinator that its replicas know of. For a replica of
    # such an owner: the member to which it has sent the request or its response.
    informed_coordinator: str = ""
    granted_to_owner: bool = False  # the recorded owner is known to have been granted it

    @classmethod
    def from_frame(cls, frame: ReplicateFrame, state: RequestState) -> ReplicatedRequest:
        """Return the request that a frame describes."""
        return cls(
            key=frame.key,
            fingerprint=frame.fingerprint,
            request_class=frame.request_class,
            retry_safety=frame.retry_safety,
            received_at=frame.received_at,
            deadline=frame.deadline,
            is_retry=frame.is_retry,
            content=frame.request,
            intents=list(frame.intents),
            epoch=frame.epoch,
            owner=frame.owner,
            state=state,
            class_record=frame.class_record,
            hash_position=hash_position(frame.key),
            size=len(frame.request.body) + OVERHEAD,
        )

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run any number of times."""
        return self.retry_safety == RetrySafety.IDEMPOTENT.value

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt was released whose outcome is not known."""
        return (self.was_taken_over or self.was_released) and any(
            not intent.outcome for intent in self.intents
        )

    @property
    def is_unclaimed(self) -> bool:
        """Whether this member handles it, wants to, or waits for it, and has not been granted it."""
        undecided = self.state in (RequestState.ASKING, RequestState.JOINED, RequestState.OWNING)
        return undecided and not self.is_granted

    def concerns(self, member: str) -> bool:
        """Return whether what that member does with the request matters to this one."""
        if member in self.waiting_members or member in self.replicas:
            return True
        if self.state is RequestState.REPLICA:
            return self.owner == member
        return self.state in (RequestState.ASKING, RequestState.JOINED) and self.contact == member

    @property
    def key_is_reusable(self) -> bool:
        """Whether it was rejected without having run, or has failed and may run again."""
        if self.state is not RequestState.DONE or self.response is None:
            return False
        may_repeat = self.is_idempotent and self.response.status == FAILED
        return self.response.status == REJECTED or may_repeat

    def to_frame(self, requests_grant: bool, coordinator: str = "") -> ReplicateFrame:
        """Return the frame that replicates it.

        `requests_grant`: the receiver replies whether it is new. `coordinator`: the coordinator in the view
        of an owner in another shard.
        """
        return ReplicateFrame(
            self.key,
            self.owner,
            self.epoch,
            requests_grant,
            self.fingerprint,
            self.request_class,
            self.retry_safety,
            self.received_at,
            self.deadline,
            self.is_retry,
            self.content,
            list(self.intents),
            self.is_granted or self.granted_to_owner,
            self.class_record,
            coordinator,
        )
