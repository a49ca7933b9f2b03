"""The words between the decisions and whatever host carries them out.

A host decodes its start message once into `Terms`, then gives typed events to a `Runner`. Decisions are
generators that yield the commands below. `Send` is answered at once with the `HandOff`, `Wait` with what
ended the wait (see there), every other command with None. Times are seconds.
"""

from __future__ import annotations

import enum
from collections.abc import Generator, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec


class RetrySafety(enum.Enum):
    IDEMPOTENT = "rerunnable"
    IDEMPOTENT_WITH_KEY = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class DeduplicationScope(enum.Enum):
    """The upstreams that drop each other's repeats of a ticketed work item."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(enum.Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class AttemptOutcome(enum.Enum):
    """How a hand-off ended."""

    SUCCESS = "finished"
    ERROR = "error"
    REJECTED = "turned down"
    TIMED_OUT = "overdue"
    CONNECT_FAILED = "unreached"
    RESET = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "unsent"

    @property
    def never_ran(self) -> bool:
        return self in (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class RequestClass(msgspec.Struct, frozen=True, eq=False):
    name: str
    retry_safety: RetrySafety
    latency_objective: float
    priority_weight: float
    timeout: float
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    late_priority_weight: float = 0.0
    objective_per_cost: float = 0.0


class Tenant(msgspec.Struct, frozen=True, eq=False):
    name: str
    share: float


class BalancerConfig(msgspec.Struct, frozen=True, eq=False):
    """What was agreed before the start: the figures that decisions and hosts read, in our words."""

    request_classes: list[RequestClass]
    zone: str
    sidecars: int
    must_watch_endpoints: bool
    endpoint_list_max_age: float
    slow_start_initial_fraction: float
    slow_start_duration: float
    overload_factor: float
    overload_window: float
    max_attempts: int
    cross_zone_price: float
    connection_setup_price: float = 0.0
    open_connection_price: float = 0.0
    streams_per_connection: int = 1
    weights_are_live: bool = False
    health_check_price: float = 0.0
    gossip_price: float = 0.0
    hedging_allowed: bool = True
    cancel_allowed: bool = True
    gossip_allowed: bool = False
    health_checks_allowed: bool = False
    load_reported: bool = False
    load_reported_in_responses: bool = False  # each answer carries a load report
    key_affinity: bool = False  # an upstream does less work for a key that its cell has met lately
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    drain_grace: float = 0.0  # after the word that an upstream goes, nothing new comes later; 0: not said
    idle_timeout: float = 0.0
    sidecar_index: int = 0
    process_count: int = 1  # of this sidecar, which share its part of what is cold
    tenants: list[Tenant] = []


class Endpoint(msgspec.Struct, frozen=True):
    """One line of the list of upstreams. The address is opaque: it only tells one upstream from another."""

    address: str
    zone: str
    cell: int
    size: float
    started: float | None
    condition: EndpointState


class WatchEvent(enum.Enum):
    """What a word from the list of upstreams is."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Request:
    request_class: RequestClass
    arrived_at: float  # infinite while it is still coming
    time_left: float
    tenant: Tenant | None = None
    is_retry: bool = False
    cost: float = 0.0
    key: str = ""  # what it is about; empty: nothing that others share
    preferred_cell: int | None = None  # the cell that all sidecars pick for its key
    max_attempts: int = 0  # 0: as the terms say that are in force when it is taken
    earlier_attempts: Sequence[Attempt] = ()  # made by another sidecar, which is lost


@dataclass(slots=True, eq=False)
class Attempt:
    request: Request
    endpoint: Any
    started_at: float
    load: float = 0.0
    pending: bool = True
    outcome: AttemptOutcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """A hand-off ended; `answered` says that the client has its final answer."""

    attempt: Attempt
    outcome: AttemptOutcome
    duration: float
    request_answered: bool
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The answer of a streamed category has begun: the hand-off is the client's now."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """An upstream has answered a probe, or failed to."""

    endpoint: Any
    outcome: AttemptOutcome


class ClientDisconnected:
    """The client has left; nothing is owed any more."""


CLIENT_DISCONNECTED = ClientDisconnected()


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Hand the work item to an upstream, with a time-out."""

    endpoint: Any
    timeout: float
    load: float = 0.0


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    attempt: Attempt


@dataclass(slots=True, frozen=True)
class Wait:
    """Resumed by an `Outcome`, `Started`, `Asked`, `GONE` or (a chore that subscribed) a `News`.

    None when `until` has come (None: never).
    """

    until: float | None


@dataclass(slots=True, frozen=True)
class RejectRequest:
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class FailRequest:
    pass


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Ask for the changes of the list; every `News` from then on resumes the asker's `Wait`."""


@dataclass(slots=True, frozen=True)
class StartHealthCheck:
    """Ask an upstream for its load; an `Asked` resumes the asker's `Wait`."""

    endpoint: Any


@dataclass(slots=True, frozen=True)
class SendGossip:
    body: bytes


Command = (
    StartAttempt
    | CancelAttempt
    | Wait
    | RejectRequest
    | FailRequest
    | WatchEndpoints
    | StartHealthCheck
    | SendGossip
)
DecisionCoroutine = Generator[Command, Any, None]
