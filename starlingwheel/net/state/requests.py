"""The work in hand: what the net keeps of a work item until it is answered and its hand-offs have ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING, Any

from ...decisions.config import RetrySafety
from ...decisions.model import Attempt, Request
from .body_stream import BodyStream
from .buffers import BufferedBody

if TYPE_CHECKING:
    from ..actor import Actor

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One work item as its client sent it."""

    request: Request
    client: Actor
    method: bytes
    target: bytes
    headers: Headers
    body: BufferedBody | BodyStream
    trace: bytes
    owed: bool = True
    may_have_run: bool = False  # an attempt that has ended may have
    risky_since: float = inf  # when the first of those was sent
    exchanges: dict[Attempt, Exchange] = field(default_factory=dict)

    @property
    def coming(self) -> bool:
        """Its last byte has not come yet."""
        return isinstance(self.body, BodyStream) and not self.body.ended


@dataclass(slots=True, eq=False)
class Exchange:
    """One exchange with an upstream: a hand-off of a job, or a question (no job)."""

    endpoint: Any  # as the decisions know it
    pool: Actor | None  # the actor that has it, also when its upstream has left the list since
    started_at: float
    deadline: float
    attempt: Attempt | None = None
    pending: PendingRequest | None = None
    connection: Actor | None = None  # the one that the carrier has given it to
    written: bool = False
    admitted_at: float = 0.0  # when the gate let it begin; 0: not yet, or its first byte is written

    @property
    def flow(self) -> BodyStream | None:
        """Its body, if that is passed on while it comes."""
        return (
            self.pending.body
            if self.pending is not None and isinstance(self.pending.body, BodyStream)
            else None
        )

    def count_from(self, now: float) -> None:
        """Its last byte has been written: what is waited for from now on is its answer."""
        self.started_at = self.attempt.started_at = now
        # The decisions give it up in time; this guards against none where they may not cancel.
        self.deadline = min(self.deadline, now + self.pending.request.time_left)

    @property
    def non_idempotent(self) -> bool:
        """What it carries can't be sent again if it may have run."""
        return (
            self.pending is not None
            and self.pending.request.request_class.retry_safety is RetrySafety.NON_IDEMPOTENT
        )


@dataclass(slots=True, frozen=True)
class UpstreamResponse:
    """What an upstream made for a work item; whole, or passed on while it comes."""

    body: BufferedBody | BodyStream
    kind: bytes
