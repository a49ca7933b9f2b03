"""State that the components of one member's replicator share: its host, the time, limits and counters."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Protocol

from ..frames import Frame, RecordedResponse
from .request import Client, ReplicatedRequest


class ReplicationHost(Protocol):
    """Interface of the host, which carries out what the replicator decides."""

    def send_frame(self, member: str, frame: Frame) -> bool:
        """Send a frame to a member; return False if there is no link to it now."""

    def dial(self, member: str) -> bool:
        """Open a link to a member of another shard; return False if none can be opened now.

        Otherwise a call of the replicator's `link_up` or `link_failed` follows.
        """

    def release_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Let the attempt be written completely."""

    def cancel_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Ensure that the attempt is never written completely."""

    def dispatch(self, request: ReplicatedRequest) -> None:
        """Dispatch the request with its history; attempts that already run continue."""

    def respond(self, request: ReplicatedRequest, client: Client, response: RecordedResponse) -> None:
        """Give the final response to a client that waits here."""

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line to the log."""


@dataclass(slots=True)
class ReplicationContext:
    """State shared by the components of one replicator; the host sets `now` before each call."""

    member_id: str
    host: ReplicationHost
    now: float  # seconds on the wall clock
    longest_timeout: float  # seconds; the longest of all request classes
    replica_count: int  # replicas per request
    memory_limit: int  # bytes; while all requests take more, none is recorded for other members
    counts: Counter[str] = field(default_factory=Counter)
