"""What decision coroutines yield to their scheduler. Times are seconds.

`StartAttempt` is answered at once with the `Attempt`, `Wait` with the event that ended the wait, every other
command with None.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TYPE_CHECKING, Any

import msgspec

from .model import Attempt

if TYPE_CHECKING:
    from .endpoint_stats import EndpointStats


class StartAttempt(msgspec.Struct, frozen=True):
    """Send the request to an endpoint, with a timeout; `load` is noted in the attempt."""

    endpoint: EndpointStats
    timeout: float
    load: float = 0.0


class CancelAttempt(msgspec.Struct, frozen=True):
    """Stop waiting for an attempt."""

    attempt: Attempt


class Wait(msgspec.Struct, frozen=True):
    """Sleep until an event of the request, or of the endpoint watch, arrives.

    Resumed by an `AttemptEnded`, `ResponseStarted`, `HealthCheckEnded`, `CLIENT_DISCONNECTED` or, for a
    background task that watches the endpoints, a `WatchEvent`; by None when `until` has come (None: never).
    """

    until: float | None


class RejectRequest(msgspec.Struct, frozen=True):
    """Final answer: not executed, a retry is harmless after `retry_after`."""

    retry_after: float = 0.0


class FailRequest(msgspec.Struct, frozen=True):
    """Final answer: failed, perhaps after it had an effect."""


class WatchEndpoints(msgspec.Struct, frozen=True):
    """Open the watch of the endpoint list; each of its events resumes the coroutine that yielded this."""


class StartHealthCheck(msgspec.Struct, frozen=True):
    """Ask an endpoint for its load; a `HealthCheckEnded` resumes the coroutine that yielded this."""

    endpoint: EndpointStats


class SendGossip(msgspec.Struct, frozen=True):
    """Send a message to all peers."""

    body: bytes


Command = (
    StartAttempt
    | CancelAttempt
    | Wait
    | RejectRequest
    | FailRequest
    | WatchEndpoints
    | StartHealthCheck
    | SendGossip
)
DecisionCoroutine = Generator[Command, Any, Any]
