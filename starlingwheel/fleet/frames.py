"""The frames that members of a fleet send to each other, about replicated requests and the policy.

On the wire they are MessagePack arrays: tags and the order of fields are fixed, field names are not sent.
Times are seconds on the wall clock; the clocks of a fleet's machines differ by a few milliseconds at most.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ..decisions.config import DeduplicationScope, RequestClass, RetrySafety
from .policy.statuses import PolicyStatus

PROTOCOL_VERSION = 2
MAX_FRAME_SIZE = 1 << 18  # bytes; the bodies of a request and of its response are at most 64 KiB each
MAX_RELAYED_STATUSES = 64  # policy statuses of other members in one `PolicyStatusFrame`


class RecordedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request as its client sent it."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    trace_id: bytes


class AttemptIntent(msgspec.Struct, array_like=True):
    """One attempt that the owner of a request is about to start or has started.

    An attempt with an empty `outcome` may have run.
    """

    endpoint_id: str
    zone: str
    cell: int
    started_at: float
    outcome: str = ""


class RecordedResponse(msgspec.Struct, array_like=True, frozen=True):
    """A final response. `content_type` and `body` are set with status 200 only; `retry_after`: seconds."""

    status: int
    retry_after: float = 0.0
    content_type: bytes = b""
    body: bytes = b""


class RequestClassRecord(
    msgspec.Struct,
    frozen=True,
    rename={
        "retry_safety": "effect",
        "latency_objective": "due_time",
        "priority_weight": "payoff",
        "timeout": "expiry",
        "deduplication_scope": "group",
        "deduplication_window": "memory",
        "late_priority_weight": "late_payoff",
        "objective_per_cost": "stretch",
    },
):
    """A `RequestClass` under the field names that it has in frames. Times are seconds."""

    name: str
    retry_safety: RetrySafety
    latency_objective: float
    priority_weight: float
    timeout: float
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    late_priority_weight: float = 0.0
    objective_per_cost: float = 0.0

    @classmethod
    def of(cls, request_class: RequestClass) -> RequestClassRecord:
        """Return the record of a request class."""
        return cls(**msgspec.structs.asdict(request_class))

    def request_class(self) -> RequestClass:
        """Return the recorded request class."""
        return RequestClass(**msgspec.structs.asdict(self))


class HelloFrame(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """The first frame on a link.

    `shard_count`: the number of shards in the sender's view; members that disagree on it close the link.
    """

    fleet: str
    version: int
    member: str
    shard_count: int = 1


class HeartbeatFrame(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A sign of life, sent when there is no other frame to send.

    `view_digest`: the digest of the sender's shard in the sender's view. `in_doubt`: the sender's lease may
    have expired, or another policy may be in force. `policy_status`: the sender's policy status, if the
    receiver may need it. `idle`: no request of the sender needs this link. `requests_policy_status`: the
    sender needs the receiver's policy status.
    """

    view_digest: int
    in_doubt: bool
    policy_status: PolicyStatus | None = None
    idle: bool = False
    requests_policy_status: bool = False


class ViewSyncedFrame(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Sent once the sender has sent all state that the receiver needs under a view.

    `view_digest`: the digest of the receiver's shard in the sender's view. From then on the sender grants no
    request under an older view.
    """

    view_digest: int


class ReplicateFrame(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """A request in progress, with its history.

    `requests_grant`: the receiver replies whether the key is new; otherwise it only records the request.
    `fingerprint`: a hash that distinguishes different requests with the same key. `request_class`: the name
    of its class. `retry_safety`: the value of its `RetrySafety`. `is_retry`: the client has marked the
    request as a retry. `intents`: its attempts so far. `is_granted`: a coordinator, which may be gone, has
    granted the request to its owner. `class_record`: the request class when the request was received, which
    applies to it even if the fleet's policy changes. `coordinator`: the coordinator in the owner's view, set
    if the owner is in another shard than the key.
    """

    key: bytes
    owner: str
    epoch: int
    requests_grant: bool
    fingerprint: bytes
    request_class: str
    retry_safety: str
    received_at: float
    deadline: float
    is_retry: bool
    request: RecordedRequest
    intents: list[AttemptIntent]
    is_granted: bool = False
    class_record: RequestClassRecord | None = None
    coordinator: str = ""


class FindOwnerFrame(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Asks the substitute of an unreachable coordinator whether it knows the owner of a request."""

    key: bytes
    fingerprint: bytes


class AttemptIntentFrame(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Announces that the owner of a request is about to start another attempt.

    `number`: the index of the attempt in the request's history. `coordinator`: as in `ReplicateFrame`.
    """

    key: bytes
    epoch: int
    number: int
    intent: AttemptIntent
    coordinator: str = ""


class AttemptNotRunFrame(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Reports that the attempt with the index `number` is known not to have run."""

    key: bytes
    epoch: int
    number: int
    outcome: str


class ResponseFrame(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """The final response of a request."""

    key: bytes
    epoch: int
    response: RecordedResponse


class ReplicaVerdict(StrEnum):
    """The reply of a replica, or of a member that was asked for the owner, about a request.

    `ReplicaStateFrame` contains the value.
    """

    GRANTED = "new"  # no other member handles the request: the receiver owns it
    RECORDED = "kept"  # recorded; the sender does not know whether another member handles it
    IN_PROGRESS = "running"  # another member handles it; its response will follow
    FINISHED = "answered"  # the final response is in the frame
    KEY_REUSED = "other"  # the key belongs to a different request
    SUPERSEDED = "stale"  # another member has taken it over from the receiver
    NOT_COORDINATOR = "moved"  # another member is its coordinator in the sender's view
    UNKNOWN = "unknown"  # reply to `FindOwnerFrame`: the sender has no record of it
    CONTESTED = "asked"  # another member asks for it too: replicate it again once it is granted
    # Not recorded: the sender has no memory left for it, or the clocks of both members differ too much.
    OUT_OF_MEMORY = "full"
    RESPONSE_RECORDED = "noted"  # the final response is recorded


class ReplicaStateFrame(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """A replica's state of a request.

    `verdict`: the value of a `ReplicaVerdict`; unknown values are ignored. `acknowledged_intents`: how many
    attempts are recorded. `coordinator`: the coordinator in the replica's view.
    """

    key: bytes
    epoch: int
    verdict: str
    acknowledged_intents: int = 0
    response: RecordedResponse | None = None
    coordinator: str = ""


class RequestFinishedFrame(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Tells a new coordinator, or a coordinator's successor, of a request that has its final response."""

    key: bytes
    owner: str
    fingerprint: bytes
    request_class: str
    retry_safety: str
    deadline: float
    response: RecordedResponse


class PolicyQueryFrame(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Sent as the first frame instead of a hello: asks which policy the receiver follows.

    `version`: the version of the protocol. `known_version`: the latest policy version that the sender knows
    to be decided.
    """

    fleet: str
    version: int
    known_version: int


class PolicyStatusFrame(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """The sender's policy status, and those that it has recently received over its links."""

    status: PolicyStatus
    relayed: list[PolicyStatus] = []


class DecisionRequestFrame(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Asks the receiver for the latest policy decision that it knows."""


class DecisionFrame(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """The policy decision that is or will be in force, encoded as in the coordination store."""

    decision: bytes


class LinkIdleFrame(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """The last frame on a link that neither side needs: the sender reads no further frames from it."""


RequestFrame = (
    ReplicateFrame
    | FindOwnerFrame
    | AttemptIntentFrame
    | AttemptNotRunFrame
    | ResponseFrame
    | ReplicaStateFrame
    | RequestFinishedFrame
)
Frame = (
    HelloFrame
    | HeartbeatFrame
    | ViewSyncedFrame
    | RequestFrame
    | PolicyQueryFrame
    | PolicyStatusFrame
    | DecisionRequestFrame
    | DecisionFrame
    | LinkIdleFrame
)
