"""The frames that members of a fleet send to each other, about replicated requests and the policy.

On the wire they are MessagePack arrays: tags and the order of fields are fixed, field names are not sent.
Times are seconds on the wall clock, on which the machines of a fleet agree but for a few milliseconds.
"""

from __future__ import annotations

import msgspec

from ..decisions.config import DeduplicationScope, RequestClass, RetrySafety
from .policy.statuses import PolicyStatus

VERSION = 2  # of this protocol
LONGEST = 1 << 18  # bytes of one frame; the bodies of a request and of its response are 64 KiB at most
RELAYED = 64  # statuses of other members in one answer, at most


class RecordedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request as its client sent it. `trace`: its trace id."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    trace: bytes


class AttemptIntent(msgspec.Struct, array_like=True):
    """One attempt that the owner of a request starts, or has started; without `fate` it may have run."""

    upstream: str
    zone: str
    cell: int
    at: float
    fate: str = ""


class RecordedResponse(msgspec.Struct, array_like=True, frozen=True):
    """A final response. `kind` and `body`: its content type and body, with status 200 only.

    `retry_after`: seconds.
    """

    status: int
    retry_after: float = 0.0
    kind: bytes = b""
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
    """The first frame on a link. `cells`: of the sender's view; members that differ in them have no link."""

    fleet: str
    version: int
    member: str
    cells: int = 1


class HeartbeatFrame(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Sent when nothing else is: the sender is alive, under that view of its cell.

    `lapsed`: its lease may have expired. `word`: its policy status, where it may be needed; `asks`: the
    sender needs that of the other side. `idle`: no request of the sender needs this link.
    """

    view: int
    lapsed: bool
    word: PolicyStatus | None = None
    idle: bool = False
    asks: bool = False


class ViewSyncedFrame(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """All state that the receiver has to know under that view of its cell was sent.

    Requests are granted under no older view.
    """

    view: int


class ReplicateFrame(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """A request in progress, with its history.

    `asks`: the receiver is to answer whether the key is new; else it only records the request. `mark`: tells
    requests under the same key apart. `at`, `until`: when it was received, and when its record expires.
    `repeat`: the client says that it sends it again. `intents`: its attempts so far. `granted`: its owner was
    told before that the key is new, perhaps by a coordinator that is gone. `rules`: the request class as it
    was when the request was received, which holds whatever the fleet's policy becomes. `home`: the
    coordinator as the owner sees it, where the owner is of another cell.
    """

    key: bytes
    owner: str
    epoch: int
    asks: bool
    mark: bytes
    category: str
    effect: str
    at: float
    until: float
    repeat: bool
    asked: RecordedRequest
    intents: list[AttemptIntent]
    granted: bool = False
    rules: RequestClassRecord | None = None
    home: str = ""


class FindOwnerFrame(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Asks a member that would take over, where the coordinator can't be reached, who handles the request."""

    key: bytes
    mark: bytes


class AttemptIntentFrame(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """The owner of a request is about to start one more attempt. `home`: as in `ReplicateFrame`."""

    key: bytes
    epoch: int
    number: int
    intent: AttemptIntent
    home: str = ""


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
    reply: RecordedResponse


class ReplicaStateFrame(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """What a replica knows of a request.

    `upto`: so many attempts are recorded. `where`: the coordinator as the replica sees it.
    """

    key: bytes
    epoch: int
    verdict: str
    upto: int = 0
    reply: RecordedResponse | None = None
    where: str = ""


class RequestFinishedFrame(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """To a new coordinator: a request that has had its final response."""

    key: bytes
    owner: str
    mark: bytes
    category: str
    effect: str
    until: float
    reply: RecordedResponse


class PolicyQueryFrame(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Sent instead of a hello: asks which policy the receiver follows.

    `known`: the latest version that the sender knows to be decided.
    """

    fleet: str
    version: int
    known: int


class PolicyStatusFrame(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """The sender's policy status, and those that it has lately received over its links."""

    word: PolicyStatus
    others: list[PolicyStatus] = []


class DecisionRequestFrame(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Asks for the decision."""


class DecisionFrame(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """The decision in force, or that will be, encoded as the coordination store has it."""

    decision: bytes


class LinkIdleFrame(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """The last frame on a link that neither side needs: the sender reads nothing more from it."""


# Verdicts of `ReplicaStateFrame`.
NEW = "new"  # no other member handles the request: the receiver does
KEPT = "kept"  # recorded; who else handles it is not known to the sender
RUNNING = "running"  # another member handles it; its response will follow
ANSWERED = "answered"  # the final response is in the frame
OTHER = "other"  # the key stands for another request
STALE = "stale"  # another member has taken it over from the receiver
MOVED = "moved"  # its coordinator is another member, as the sender sees it; `where` names it
UNKNOWN = "unknown"  # to `FindOwnerFrame`: nothing is known of it
ASKED = "asked"  # another member asks for it too: to be replicated anew once its coordinator has granted it
FULL = "full"  # there is no room to record it
NOTED = "noted"  # the final response is recorded

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
