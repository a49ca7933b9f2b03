"""Commands that decision coroutines yield to their scheduler. Times are in seconds.

The scheduler resumes the coroutine with a result: for `StartAttempt` at once with the `Attempt`, for `Wait`
with the event that ended the wait, for every other command with None.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TYPE_CHECKING, Any

import msgspec

from .model import Attempt

if TYPE_CHECKING:
    from .endpoint_stats import EndpointStats


class StartAttempt(msgspec.Struct, frozen=True):
    """Send the request to an endpoint, with a timeout; `load` is stored in the attempt."""

    endpoint: EndpointStats
    timeout: float
    load: float = 0.0


class CancelAttempt(msgspec.Struct, frozen=True):
    """Stop waiting for an attempt."""

    attempt: Attempt


class Wait(msgspec.Struct, frozen=True):
    """Suspend the coroutine until an event of its request, or of the endpoint watch, arrives.

    It is resumed with an `AttemptEnded`, `ResponseStarted`, `HealthCheckEnded`, `CLIENT_DISCONNECTED` or, in
    the background task that watches the endpoints, a `WatchEvent`; with None at the time `until` (None: no
    time limit).
    """

    until: float | None


class RejectRequest(msgspec.Struct, frozen=True):
    """Give the final answer: rejected; a retry is harmless, and useful after `retry_after` seconds."""

    retry_after: float = 0.0


class FailRequest(msgspec.Struct, frozen=True):
    """Give the final answer: failed, possibly after taking effect."""


class WatchEndpoints(msgspec.Struct, frozen=True):
    """Open the watch of the endpoint list; each of its events resumes the yielding coroutine."""


class StartHealthCheck(msgspec.Struct, frozen=True):
    """Ask an endpoint for its load; a `HealthCheckEnded` resumes the yielding coroutine."""

    endpoint: EndpointStats


class SendGossip(msgspec.Struct, frozen=True):
    """Send a gossip message to all peers."""

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
