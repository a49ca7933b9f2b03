"""The frames that members of a fleet send to each other, about replicated requests and the policy.

On the wire they are MessagePack arrays: tags and the order of fields are fixed, field names are not sent.
Times are seconds on the wall clock, on which the machines of a fleet agree but for a few milliseconds.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ..decisions.config import DeduplicationScope, RequestClass, RetrySafety
from .policy.statuses import PolicyStatus

PROTOCOL_VERSION = 2
MAX_FRAME_SIZE = 1 << 18  # bytes; the bodies of a request and of its response are 64 KiB at most
MAX_RELAYED_STATUSES = 64  # policy statuses of other members in one answer


class RecordedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request as its client sent it."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    trace_id: bytes


class AttemptIntent(msgspec.Struct, array_like=True):
    """One attempt that the owner of a request starts, or has started; without `outcome` it may have run."""

    endpoint_id: str
    zone: str
    cell: int
    started_at: float
    outcome: str = ""


class RecordedResponse(msgspec.Struct, array_like=True, frozen=True):
    """A final response. `content_type` and `body`: with status 200 only. `retry_after`: seconds."""

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
    """`RequestClass` under the field names that frames have for it. Times are seconds."""

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
        """The record of a request class."""
        return cls(**msgspec.structs.asdict(request_class))

    def request_class(self) -> RequestClass:
        """The request class that this is a record of."""
        return RequestClass(**msgspec.structs.asdict(self))


class HelloFrame(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """The first frame on a link. `shard_count`: by the view; members that differ in it have no link."""

    fleet: str
    version: int
    member: str
    shard_count: int = 1


class HeartbeatFrame(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Sent when nothing else is: the sender is alive, under the view of its cell with that digest.

    `in_doubt`: its lease may have expired, or another policy may be in force. `policy_status`: its own, where
    it may be needed; `requests_policy_status`: the sender needs that of the other side. `idle`: no request of
    the sender needs this link.
    """

    view_digest: int
    in_doubt: bool
    policy_status: PolicyStatus | None = None
    idle: bool = False
    requests_policy_status: bool = False


class ViewSyncedFrame(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """All state that the receiver has to know under the view of its cell with that digest was sent.

    Requests are granted under no older view.
    """

    view_digest: int


class ReplicateFrame(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """A request in progress, with its history.

    `requests_grant`: the receiver is to answer whether the key is new; else it only records the request.
    `fingerprint`: tells requests under the same key apart. `request_class`: its name. `retry_safety`: the
    value of its `RetrySafety`. `is_retry`: the client says so. `intents`: its attempts so far. `is_granted`:
    its owner was told before that the key is new, perhaps by a coordinator that is gone. `class_record`: the
    request class as it was when the request was received, which holds whatever the fleet's policy becomes.
    `coordinator`: as the owner sees it, where the owner is of another cell.
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
    """Asks a member that would take over, where the coordinator can't be reached, who handles the request."""

    key: bytes
    fingerprint: bytes


class AttemptIntentFrame(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """The owner of a request is about to start one more attempt. `coordinator`: as in `ReplicateFrame`."""

    key: bytes
    epoch: int
    number: int
    intent: AttemptIntent
    coordinator: str = ""


class AttemptNotRunFrame(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """An attempt of that number is known not to have run."""

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
    """What a replica, or a member that was asked for the owner, says of a request. The values are sent."""

    GRANTED = "new"  # no other member handles the request: the receiver does
    RECORDED = "kept"  # who else handles it is not known to the sender
    IN_PROGRESS = "running"  # another member handles it; its response will follow
    FINISHED = "answered"  # the final response is in the frame
    KEY_REUSED = "other"  # the key stands for another request
    SUPERSEDED = "stale"  # another member has taken it over from the receiver
    NOT_COORDINATOR = "moved"  # its coordinator is another member, as the sender sees it
    UNKNOWN = "unknown"  # to `FindOwnerFrame`: nothing is known of it
    CONTESTED = "asked"  # another member asks for it too: to be replicated anew once it is granted
    OUT_OF_MEMORY = "full"  # it is not recorded
    RESPONSE_RECORDED = "noted"


class ReplicaStateFrame(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """What a replica knows of a request.

    `verdict`: a `ReplicaVerdict`; others are ignored. `acknowledged_intents`: so many attempts are recorded.
    `coordinator`: as the replica sees it.
    """

    key: bytes
    epoch: int
    verdict: str
    acknowledged_intents: int = 0
    response: RecordedResponse | None = None
    coordinator: str = ""


class RequestFinishedFrame(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """To a new coordinator: a request that has had its final response."""

    key: bytes
    owner: str
    fingerprint: bytes
    request_class: str
    retry_safety: str
    deadline: float
    response: RecordedResponse


class PolicyQueryFrame(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Sent instead of a hello: asks which policy the receiver follows.

    `known_version`: the latest one that the sender knows to be decided.
    """

    fleet: str
    version: int
    known_version: int


class PolicyStatusFrame(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """The sender's policy status, and those that it has lately received over its links."""

    status: PolicyStatus
    relayed: list[PolicyStatus] = []


class DecisionRequestFrame(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Asks for the decision."""


class DecisionFrame(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """The decision in force, or that will be, encoded as the coordination store has it."""

    decision: bytes


class LinkIdleFrame(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """The last frame on a link that neither side needs: the sender reads nothing more from it."""


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
