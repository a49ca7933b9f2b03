"""What a host reports to the decisions. Times are seconds."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from .model import Attempt, AttemptOutcome

if TYPE_CHECKING:
    from .endpoint_stats import EndpointStats


class WatchEvent(enum.Enum):
    """What a message of the endpoint watch is."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    FAILED = "failed"


class AttemptEnded(msgspec.Struct, frozen=True):
    """An attempt has ended; `request_answered`: the client has its final answer, by this or before."""

    attempt: Attempt
    outcome: AttemptOutcome
    duration: float
    request_answered: bool
    load_report: dict[str, float] = {}


class ResponseStarted(msgspec.Struct, frozen=True):
    """A streamed response has begun: from now on the attempt is the client's."""

    attempt: Attempt


class HealthCheckEnded(msgspec.Struct, frozen=True):
    """An endpoint has answered a health check, or failed to."""

    endpoint: EndpointStats
    outcome: AttemptOutcome


class ClientDisconnected:
    """The client has left; no answer is owed any more."""


CLIENT_DISCONNECTED = ClientDisconnected()
