"""What sidecars of one fleet say to each other, about covered work and their policy.

MessagePack arrays, by msgspec.

Times are seconds on the wall clock, which all machines of a fleet share but for a few milliseconds.
"""

from __future__ import annotations

import msgspec

from ..decisions.config import DeduplicationScope, RequestClass, RetrySafety
from .policy.statuses import PolicyStatus

VERSION = 2
LONGEST = 1 << 18  # bytes of one frame: a body and an answer are 64 KiB at most
RELAYED = 64  # words of others in one answer, at most


class RecordedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request as its client sent it."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    trace: bytes


class AttemptIntent(msgspec.Struct, array_like=True):
    """One hand-off that its owner means to make, or has made. No fate: it may have run."""

    upstream: str
    zone: str
    cell: int
    at: float
    fate: str = ""


class RecordedResponse(msgspec.Struct, array_like=True, frozen=True):
    """A final answer: a status of ours, and the body and its kind where it is 200."""

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
    """`cells`: how many its view has; two that differ have no link."""

    fleet: str
    version: int
    member: str
    cells: int = 1


class HeartbeatFrame(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Said when nothing else is: alive, under that view of its cell; `lapsed`: not sure of its lease.

    `word`: only where it may be needed, as whoever `asks` says. `idle`: nothing in hand here needs this link.
    """

    view: int
    lapsed: bool
    word: PolicyStatus | None = None
    idle: bool = False
    asks: bool = False


class ViewSyncedFrame(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """All that concerns you under that view of your cell has been said; nothing is granted under an older."""

    view: int


class ReplicateFrame(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """A work item in hand, with its history. `asks`: say whether it is new; else it is only to be kept.

    `granted`: its owner has been told before that it is new, perhaps by a home that is lost. `rules`: its
    category as it was when the work item was taken, which it keeps whatever the fleet's policy becomes.
    `home`: as its owner sees it, where the owner is of another cell.
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
    """Does anybody act on this? Asked of who would take over, where the home can't be reached."""

    key: bytes
    mark: bytes


class AttemptIntentFrame(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """`home`: as with `Cover`."""

    key: bytes
    epoch: int
    number: int
    intent: AttemptIntent
    home: str = ""


class AttemptNotRunFrame(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """That hand-off is known never to have run."""

    key: bytes
    epoch: int
    number: int
    outcome: str


class ResponseFrame(msgspec.Struct, array_like=True, tag=8, frozen=True):
    key: bytes
    epoch: int
    reply: RecordedResponse


class ReplicaStateFrame(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """The word of a keeper. `upto`: so many intents are recorded."""

    key: bytes
    epoch: int
    verdict: str
    upto: int = 0
    reply: RecordedResponse | None = None
    where: str = ""


class RequestFinishedFrame(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """To a new home: that item has had its final answer."""

    key: bytes
    owner: str
    mark: bytes
    category: str
    effect: str
    until: float
    reply: RecordedResponse


class PolicyQueryFrame(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Instead of a greeting, from one that is in no view: which policy do you follow? `known`: it does."""

    fleet: str
    version: int
    known: int


class PolicyStatusFrame(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Our word, and what we have heard lately over our links: each as old as it says."""

    word: PolicyStatus
    others: list[PolicyStatus] = []


class DecisionRequestFrame(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Tell me what is decided."""


class DecisionFrame(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """The decision in force, or that will be, as the arbiter has it."""

    decision: bytes


class LinkIdleFrame(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """The last word on a link that neither side needs: what is said to it from now on is not read."""


# What `Kept.verdict` says.
NEW = "new"  # nobody else acts on it: you do
KEPT = "kept"  # recorded; who else acts is not known here
RUNNING = "running"  # another one acts on it; its answer will come
ANSWERED = "answered"  # here is its final answer
OTHER = "other"  # that name stands for another request
STALE = "stale"  # another one has taken it over from you
MOVED = "moved"  # its home is elsewhere as seen from here; `where` names it
UNKNOWN = "unknown"  # to `Find`: nothing is known of it here
ASKED = "asked"  # another one asks for it too: cover it again here once its home has granted it
FULL = "full"  # no room to keep it
NOTED = "noted"  # the final answer is recorded

About = (
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
    | About
    | PolicyQueryFrame
    | PolicyStatusFrame
    | DecisionRequestFrame
    | DecisionFrame
    | LinkIdleFrame
)
