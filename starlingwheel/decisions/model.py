"""Requests, their attempts and the endpoints they are sent to. Times are in seconds on the host's clock."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

import msgspec

from .config import RequestClass, Tenant

if TYPE_CHECKING:
    from .endpoint_stats import EndpointStats


class EndpointState(enum.Enum):
    """The state of an endpoint, as given by discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Endpoint(msgspec.Struct, frozen=True):
    """One entry of the endpoint list. The id identifies the endpoint and carries no other meaning."""

    endpoint_id: str
    zone: str
    cell: int
    capacity_weight: float
    started_at: float | None
    state: EndpointState


class AttemptOutcome(enum.Enum):
    """The way in which an attempt ended."""

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
        """Whether the attempt is known to have had no effect."""
        return self in (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, from its arrival to its final answer."""

    request_class: RequestClass
    arrived_at: float  # infinite while its body is still arriving
    time_left: float  # time from its arrival until the client stops waiting
    # A lower bound of the time at which its last byte was sent, while a long body arrives and afterwards. It
    # may advance as long as `arrived_at` is infinite. Infinite if `arrived_at` has always been known.
    earliest_arrival: float = inf
    tenant: Tenant | None = None
    is_retry: bool = False
    cost: float = 0.0
    key: str = ""  # affinity key, the same in related requests; empty: none
    preferred_cell: int | None = None  # the cell that all sidecars choose for its key
    max_attempts: int = 0  # 0: set from the configuration when the request is accepted
    earlier_attempts: Sequence[Attempt] = ()  # made by a sidecar that was lost
    answer_by: float = inf  # no final answer can be given after this time, as the process has been stopped

    @property
    def client_deadline(self) -> float:
        """The time at which its client stops waiting; it moves while a long body arrives."""
        return min(self.arrived_at, self.earliest_arrival) + self.time_left

    @property
    def deadline(self) -> float:
        """The time by which the final answer is due, also if the process is stopped."""
        return min(self.client_deadline, self.answer_by)

    @property
    def body_incomplete(self) -> bool:
        """Whether the last byte of its body has not arrived yet, so that no endpoint can have run it."""
        return self.arrived_at == inf


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; `load` is the expected load of the endpoint when the attempt started."""

    request: Request
    endpoint: EndpointStats
    started_at: float
    load: float = 0.0
    pending: bool = True
    head_received: bool = False  # the head of a successful response has come, the rest not yet
    may_be_long: bool = False  # that response is passed on by the end of its client's time, if it goes on
    outcome: AttemptOutcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt may have had an effect."""
        return self.outcome is None or not self.outcome.never_ran
