"""The work in hand: what the net keeps of a work item until it is answered and its hand-offs have ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING, Any

from ...decisions.terms import Effect, HandOff, WorkItem
from .buffers import Body
from .flow import Flow

if TYPE_CHECKING:
    from ..actor import Actor

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, eq=False)
class Job:
    """One work item as its client sent it."""

    wi: WorkItem
    client: Actor
    method: bytes
    target: bytes
    headers: Headers
    body: Body | Flow
    trace: bytes
    owed: bool = True
    may_have_run: bool = False  # an attempt that has ended may have
    risky_since: float = inf  # when the first of those was sent
    errands: dict[HandOff, Errand] = field(default_factory=dict)

    @property
    def coming(self) -> bool:
        """Its last byte has not come yet."""
        return isinstance(self.body, Flow) and not self.body.ended


@dataclass(slots=True, eq=False)
class Errand:
    """One exchange with an upstream: a hand-off of a job, or a question (no job)."""

    upstream: Any  # as the decisions know it
    carrier: Actor | None  # the actor that has it, also when its upstream has left the list since
    sent: float
    until: float
    ho: HandOff | None = None
    job: Job | None = None
    connection: Actor | None = None  # the one that the carrier has given it to
    written: bool = False
    looked_at: float = 0.0  # when the gate let it begin; 0: not yet, or its first byte is written

    @property
    def flow(self) -> Flow | None:
        """Its body, if that is passed on while it comes."""
        return self.job.body if self.job is not None and isinstance(self.job.body, Flow) else None

    def count_from(self, now: float) -> None:
        """Its last byte has been written: what is waited for from now on is its answer."""
        self.sent = self.ho.sent = now
        # The decisions give it up in time; this guards against none where they may not cancel.
        self.until = min(self.until, now + self.job.wi.patience)

    @property
    def once(self) -> bool:
        """What it carries can't be sent again if it may have run."""
        return self.job is not None and self.job.wi.category.effect is Effect.EXCLUSIVE


@dataclass(slots=True, frozen=True)
class Answer:
    """What an upstream made for a work item; whole, or passed on while it comes."""

    body: Body | Flow
    kind: bytes
