"""The routes of the admin interface: each path with its method and its handler.

This is the only module that knows the paths and the JSON of the calls of one sidecar; `net/fleet/admin.py`
adds the calls of a fleet.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec

from ..actor import Coroutine
from ..context import SidecarContext

MAX_BODY_SIZE = 4096  # bytes
AdminResult = tuple[str, bytes]  # the id in the call, for the log, and the body of the response
AdminHandler = Callable[[SidecarContext, bytes], AdminResult | Coroutine[AdminResult]]


class IdCommand(msgspec.Struct):
    """The body of a call that names one endpoint, policy version or fleet member."""

    id: str


class CallRejectedError(Exception):
    """The call is answered with an error."""

    def __init__(self, status: int, reason: str, body: bytes = b"") -> None:
        """Create the error; `reason` is logged, `body` is that of the response."""
        self.status, self.reason, self.body = status, reason, body


class AdminRoute(NamedTuple):
    """The method, handler and body limit of a path; a handler may yield deadlines to wait, as actors do."""

    method: bytes
    handler: AdminHandler
    max_body_size: int = MAX_BODY_SIZE  # bytes


def decode_id(body: bytes) -> str:
    """Return the id in the body of a call; raises `CallRejectedError`."""
    try:
        name = msgspec.json.decode(body, type=IdCommand).id
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CallRejectedError(HTTPStatus.BAD_REQUEST, str(error)) from error
    if not name:
        raise CallRejectedError(HTTPStatus.BAD_REQUEST, "id is empty")
    return name


def _ready(context: SidecarContext, body: bytes) -> AdminResult:
    if not context.accepts_clients:
        raise CallRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, "no endpoint list yet, or stopping")
    return "", b""


def _detach(context: SidecarContext, body: bytes) -> AdminResult:
    return _override(context, decode_id(body), context.overrides.drain_endpoint)


def _attach(context: SidecarContext, body: bytes) -> AdminResult:
    return _override(context, decode_id(body), context.overrides.restore_endpoint)


def _override(
    context: SidecarContext, endpoint_id: str, change: Callable[[str], list[Any] | None]
) -> AdminResult:
    changed = change(endpoint_id)
    if changed is None:
        raise CallRejectedError(HTTPStatus.NOT_FOUND, f"{endpoint_id!r} was never in the endpoint list")
    context.apply_override_changes(changed)
    return endpoint_id, b""


def _set_draining(on: bool) -> AdminHandler:
    def handle(context: SidecarContext, body: bytes) -> AdminResult:
        context.overrides.set_sidecar_draining(on)
        context.apply_override_changes([])
        return "", b""

    return handle


ROUTES = {
    b"/_ready": AdminRoute(b"GET", _ready),
    b"/_upstreams/detach": AdminRoute(b"PUT", _detach),
    b"/_upstreams/attach": AdminRoute(b"PUT", _attach),
    b"/_lameduck/on": AdminRoute(b"PUT", _set_draining(True)),
    b"/_lameduck/off": AdminRoute(b"PUT", _set_draining(False)),
}
