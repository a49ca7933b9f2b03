"""Requests, their attempts and the endpoints that they go to. Times are seconds on the host's clock."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from .config import RequestClass, Tenant

if TYPE_CHECKING:
    from .endpoint_stats import EndpointStats


class EndpointState(enum.Enum):
    """What discovery says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Endpoint(msgspec.Struct, frozen=True):
    """One entry of the endpoint list. The id only identifies an endpoint."""

    endpoint_id: str
    zone: str
    cell: int
    capacity_weight: float
    started_at: float | None
    state: EndpointState


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

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
        """The attempt is known to have had no effect."""
        return self in (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, from its arrival to its final answer."""

    request_class: RequestClass
    arrived_at: float  # infinite while its body is still arriving
    time_left: float  # from its arrival on
    tenant: Tenant | None = None
    is_retry: bool = False
    cost: float = 0.0
    key: str = ""  # related requests have the same key; empty: none
    preferred_cell: int | None = None  # the cell that all sidecars choose for its key
    max_attempts: int = 0  # 0: as configured when it is accepted
    earlier_attempts: Sequence[Attempt] = ()  # made by a sidecar that was lost


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at one endpoint; `load` is what was expected there when it started."""

    request: Request
    endpoint: EndpointStats
    started_at: float
    load: float = 0.0
    pending: bool = True
    outcome: AttemptOutcome | None = None

    @property
    def may_have_run(self) -> bool:
        """It is not known to have had no effect."""
        return self.outcome is None or not self.outcome.never_ran
