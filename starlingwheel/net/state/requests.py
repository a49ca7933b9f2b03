"""Requests in flight: what the network side keeps of a request until all of its exchanges have ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol

from ...decisions.config import RetrySafety
from ...decisions.model import Attempt, Request
from .body_stream import BodyStream
from .buffers import BufferedBody

Headers = list[tuple[bytes, bytes]]


class Mailbox(Protocol):
    """An actor that is sent messages."""

    def post(self, message: object) -> None:
        """Queue a message."""


class RequestClient(Mailbox, Protocol):
    """The connection of a client, as those that answer it see it."""

    pending: PendingRequest | None

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request as its client sent it."""

    request: Request
    client: RequestClient
    method: bytes
    target: bytes
    headers: Headers
    body: BufferedBody | BodyStream
    trace_id: bytes
    awaits_response: bool = True  # it has no final response yet
    may_have_run: bool = False  # an attempt that has ended may have had an effect
    first_may_have_run_at: float = inf  # when the first of those was sent
    exchanges: dict[Attempt, Exchange] = field(default_factory=dict)

    @property
    def body_incomplete(self) -> bool:
        """Its last byte has not arrived yet."""
        return isinstance(self.body, BodyStream) and not self.body.ended


@dataclass(slots=True, eq=False)
class Exchange:
    """One exchange with an endpoint on the wire: an attempt of a request, or a health check (no request)."""

    endpoint: Any  # as the decisions know it
    pool: Mailbox | None  # the pool that has it, also once its endpoint is gone from the list
    started_at: float
    deadline: float
    attempt: Attempt | None = None
    pending: PendingRequest | None = None
    connection: Mailbox | None = None  # the one that the pool has given it to
    written: bool = False  # its first bytes have been written
    admitted_at: float = 0.0  # when the gate let it begin; 0: not yet, or its first byte is written

    @property
    def body_stream(self) -> BodyStream | None:
        """Its body, if that is passed on while it arrives."""
        if self.pending is not None and isinstance(self.pending.body, BodyStream):
            return self.pending.body
        return None

    def restart_clock(self, now: float) -> None:
        """Count its time from now on: the last byte of the request has been written."""
        if self.attempt is None or self.pending is None:
            return
        self.started_at = self.attempt.started_at = now
        # The decisions time it out, but where they may not cancel this deadline does.
        self.deadline = min(self.deadline, now + self.pending.request.time_left)

    @property
    def non_idempotent(self) -> bool:
        """Its request can't be sent again if it may have run."""
        if self.pending is None:
            return False
        return self.pending.request.request_class.retry_safety is RetrySafety.NON_IDEMPOTENT


@dataclass(slots=True, frozen=True)
class UpstreamResponse:
    """The response of an endpoint to a request: complete, or passed on while it arrives."""

    body: BufferedBody | BodyStream
    content_type: bytes
