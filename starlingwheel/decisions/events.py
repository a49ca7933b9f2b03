"""Events that a host reports to the decision components. Times are in seconds."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from .model import Attempt, AttemptOutcome

if TYPE_CHECKING:
    from .endpoint_stats import EndpointStats


class WatchEvent(enum.Enum):
    """The kind of an event of the endpoint watch."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    FAILED = "failed"


class AttemptEnded(msgspec.Struct, frozen=True):
    """The end of an attempt.

    `request_answered`: the client has its final answer, through this attempt or an earlier one.
    """

    attempt: Attempt
    outcome: AttemptOutcome
    duration: float
    request_answered: bool
    load_report: dict[str, float] = {}


class ResponseStarted(msgspec.Struct, frozen=True):
    """The start of a streamed response, which the client receives from now on."""

    attempt: Attempt


class HealthCheckEnded(msgspec.Struct, frozen=True):
    """The end of a health check, whether it was answered or failed."""

    endpoint: EndpointStats
    outcome: AttemptOutcome


class ClientDisconnected:
    """The disconnect of the client, after which no answer is given."""


CLIENT_DISCONNECTED = ClientDisconnected()
