"""What the parts of one member's replicator share: its host, the time, limits and counters."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Protocol

from ..frames import Frame, RecordedResponse
from .request import Client, ReplicatedRequest


class ReplicationHost(Protocol):
    """Carries out what the replicator decides."""

    def send_frame(self, member: str, frame: Frame) -> bool:
        """Send a frame to a member. False: there is no link to it now."""

    def dial(self, member: str) -> bool:
        """Open a link to a member of another cell; `link_up` or `link_failed` of the replicator follows.

        False: none can be opened now.
        """

    def release_intent(self, request: ReplicatedRequest, number: int) -> None:
        """That attempt may be written completely."""

    def cancel_intent(self, request: ReplicatedRequest, number: int) -> None:
        """That attempt must never be written completely."""

    def dispatch(self, request: ReplicatedRequest) -> None:
        """Dispatch it with its history; attempts that run already go on."""

    def respond(self, request: ReplicatedRequest, client: Client, response: RecordedResponse) -> None:
        """Give the final response to a client that waits here."""

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line to the log."""


@dataclass(slots=True)
class ReplicationContext:
    """Shared by the parts of one replicator; the host sets `now` before each call."""

    member_id: str
    host: ReplicationHost
    now: float  # seconds on the wall clock
    longest_timeout: float  # seconds, of all request classes
    replica_count: int  # replicas per request
    memory_limit: int  # bytes recorded for other members
    counts: Counter[str] = field(default_factory=Counter)
