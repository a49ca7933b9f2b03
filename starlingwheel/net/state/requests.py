"""Requests in flight: the network state of a request until all of its exchanges have ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol

from ...decisions.config import RetrySafety
from ...decisions.model import Attempt, Request
from ...decisions.response_commitment import CommitReason, commit_reason, commit_time
from .body_stream import BodyStream
from .buffers import BufferedBody

Headers = list[tuple[bytes, bytes]]


class Mailbox(Protocol):
    """The interface of an actor that messages can be posted to."""

    def post(self, message: object) -> None:
        """Queue a message."""


class RequestClient(Mailbox, Protocol):
    """The interface of a client connection to those that answer its request."""

    pending: PendingRequest | None

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its connection."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request as its client sent it, and its exchanges in flight."""

    request: Request
    client: RequestClient
    method: bytes
    target: bytes
    headers: Headers
    body: BufferedBody | BodyStream
    trace_id: bytes
    awaits_response: bool = True  # its client is still waiting for the final response
    id_claimed: bool = False  # its id must not be used by another request
    was_sent: bool = False  # an endpoint got all that it needs to run it, and did not say that it has not
    may_have_run: bool = False  # an attempt that has ended may have had an effect
    first_may_have_run_at: float = inf  # when the first such attempt was started
    exchanges: dict[Attempt, Exchange] = field(default_factory=dict)

    @property
    def body_incomplete(self) -> bool:
        """Whether the last byte of the body has not arrived yet."""
        return isinstance(self.body, BodyStream) and not self.body.ended


@dataclass(slots=True, eq=False)
class Exchange:
    """One exchange with an endpoint: an attempt of a request, or a health check, which has no request."""

    endpoint: Any  # the endpoint as the decisions know it
    pool: Mailbox | None  # the pool that runs it, even after its endpoint has left the list
    started_at: float
    timeout_at: float  # infinite if the request's body was incomplete when the exchange was created
    attempt: Attempt | None = None
    pending: PendingRequest | None = None
    connection: Mailbox | None = None  # the connection that the pool has assigned to it
    # Whether the endpoint may have run the request: from its last byte on over HTTP/1.1, from its first frame
    # on over HTTP/2.
    written: bool = False
    # Whether the head of a successful response has come; the exchange then has the time of its client.
    head_received: bool = False
    body_began_at: float | None = None  # when the first byte of its response's body came
    must_commit: bool = False  # its response has to be passed on now, as others need its buffers
    admitted_at: float = 0.0  # when the gate admitted it; 0: not yet, or its first byte has been written

    @property
    def deadline(self) -> float:
        """The time at which the exchange ends; that of a long request moves while its body arrives."""
        if self.pending is None:
            return self.timeout_at
        if self.head_received:
            return self.pending.request.deadline
        if self.body_stream is None:
            return self.timeout_at
        return min(self.timeout_at, self.pending.request.deadline)

    @property
    def commit_at(self) -> float:
        """The time at which its response is passed on though it is not complete, if it may be."""
        if self.pending is None:
            return inf
        return -inf if self.must_commit else commit_time(self.pending.request, self.body_began_at)

    def commit_reason(self, now: float) -> CommitReason:
        """Return why its response is passed on at `commit_at`."""
        return CommitReason.NO_BUFFERS if self.must_commit else commit_reason(self.body_began_at, now)

    @property
    def body_stream(self) -> BodyStream | None:
        """The request body, if it is forwarded while it arrives."""
        if self.pending is not None and isinstance(self.pending.body, BodyStream):
            return self.pending.body
        return None

    def restart_clock(self, now: float) -> None:
        """Measure the exchange from now on, because the last byte of its request has been written."""
        if self.attempt is not None:
            self.started_at = self.attempt.started_at = now

    @property
    def non_idempotent(self) -> bool:
        """Whether its request must not be sent again once it may have run."""
        if self.pending is None:
            return False
        return self.pending.request.request_class.retry_safety is RetrySafety.NON_IDEMPOTENT


@dataclass(slots=True, frozen=True)
class UpstreamResponse:
    """The response of an endpoint to a request: complete, or forwarded while it arrives."""

    body: BufferedBody | BodyStream
    content_type: bytes
