"""What a host reports to the decisions. Times are seconds."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .model import Attempt, AttemptOutcome

if TYPE_CHECKING:
    from .endpoint_stats import EndpointStats


class WatchEvent(enum.Enum):
    """What a message of the endpoint watch is."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended; `request_answered`: the client has its final answer, by this or before."""

    attempt: Attempt
    outcome: AttemptOutcome
    duration: float
    request_answered: bool
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """A streamed response has begun: from now on the attempt is the client's."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """An endpoint has answered a health check, or failed to."""

    endpoint: EndpointStats
    outcome: AttemptOutcome


class ClientDisconnected:
    """The client has left; no answer is owed any more."""


CLIENT_DISCONNECTED = ClientDisconnected()
