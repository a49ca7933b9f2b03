"""Parses a client's HTTP request into a `PendingRequest`, and rejects invalid ones."""

from __future__ import annotations

import re
from math import inf
from typing import TYPE_CHECKING

import h11

from ...decisions.config import RequestClass, RetrySafety
from ...decisions.model import Request
from ..state.body_stream import BodyStream
from ..state.buffers import BufferedBody
from ..state.requests import PendingRequest
from .errors import InvalidRequestError, InvalidRequestReason
from .stream import has_conflicting_lengths

if TYPE_CHECKING:
    from ..context import SidecarContext
    from .client_connection import ClientConnection

MAX_TIMEOUT_DIGITS = 15
# The prefix of a target in absolute form (RFC 9112, 3.2.2).
ABSOLUTE_FORM = re.compile(rb"^https?://[^/?]*", re.IGNORECASE)
METHODS = {
    RetrySafety.IDEMPOTENT: b"GET",
    RetrySafety.IDEMPOTENT_WITH_KEY: b"POST",
    RetrySafety.NON_IDEMPOTENT: b"POST",
}


def declared_length(request: h11.Request, max_length: int) -> int | None:
    """Return the length of the body that a request declares, or None if it declares none.

    Raises `InvalidRequestError` if the framing is ambiguous, and, before the body is read, if the length
    exceeds `max_length` bytes.
    """
    if has_conflicting_lengths(request.headers):
        raise InvalidRequestError(400, InvalidRequestReason.TWO_LENGTHS)
    length = next((int(value) for name, value in request.headers if name == b"content-length"), None)
    if length is not None and length > max_length:
        raise InvalidRequestError(413, InvalidRequestReason.BODY_TOO_LONG)
    return length


def parse_request(
    request: h11.Request,
    body: BufferedBody | BodyStream,
    client: ClientConnection,
    context: SidecarContext,
    received_at: float,
) -> PendingRequest:
    """Return the pending request of a client. Raises `InvalidRequestError`.

    `received_at` is the time at which the last byte of the request was read or, while the body is incomplete,
    the earliest time at which that byte can have been sent.
    """
    headers = _headers_by_name(request)
    trace_id = headers.get(b"x-trace-id", b"")
    if not trace_id:
        raise InvalidRequestError(400, InvalidRequestReason.NO_TRACE_ID)
    target = ABSOLUTE_FORM.sub(b"", request.target)
    request_class = _request_class(request.method, target, headers, context)
    if trace_id in context.active_traces:
        raise InvalidRequestError(409, InvalidRequestReason.TRACE_ID_IN_USE)
    timeout = _timeout(headers)
    if len(context.active_traces) >= context.connections.max_requests:
        # Further requests would use up the descriptors that connections to endpoints need.
        context.end_stalled_response()
        raise InvalidRequestError(503, InvalidRequestReason.TOO_MANY_REQUESTS)
    return PendingRequest(
        request=Request(
            request_class=request_class,
            arrived_at=inf if isinstance(body, BodyStream) else received_at,
            earliest_arrival=received_at if isinstance(body, BodyStream) else inf,
            # No request is kept for longer than its class allows, however long its client is willing to wait.
            time_left=min(timeout, request_class.timeout),
            tenant=context.tenants.get(headers.get(b"x-customer", b"").decode("latin-1")),
            is_retry=headers.get(b"x-second-try") == b"1",
        ),
        client=client,
        method=request.method,
        target=target,
        headers=request.headers.raw_items(),
        body=body,
        trace_id=trace_id,
    )


def _headers_by_name(request: h11.Request) -> dict[bytes, bytes]:
    headers: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in headers and (name.startswith(b"x-") or name == b"idempotency-key"):
            raise InvalidRequestError(400, InvalidRequestReason.REPEATED_HEADER, name.decode())
        headers[name] = value
    return headers


def _request_class(
    method: bytes, target: bytes, headers: dict[bytes, bytes], context: SidecarContext
) -> RequestClass:
    """Return the class that a request names; its path, method and headers have to match the class."""
    name = headers.get(b"x-qos", b"").decode("latin-1")
    request_class = context.request_class_for(name, _implied_retry_safety(method, headers))
    if request_class is None:
        raise InvalidRequestError(404, InvalidRequestReason.UNKNOWN_CLASS)
    if target.lstrip(b"/").partition(b"?")[0].partition(b"/")[0] != name.encode("latin-1"):
        raise InvalidRequestError(400, InvalidRequestReason.PATH_DIFFERS)
    if method != METHODS[request_class.retry_safety]:
        raise InvalidRequestError(405, InvalidRequestReason.WRONG_METHOD)
    needs_key = request_class.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY
    if needs_key and not headers.get(b"idempotency-key"):
        raise InvalidRequestError(400, InvalidRequestReason.NO_IDEMPOTENCY_KEY)
    return request_class


def _implied_retry_safety(method: bytes, headers: dict[bytes, bytes]) -> RetrySafety:
    """Return the retry safety that a request implies; it selects among the classes of one name."""
    if method == b"GET":
        return RetrySafety.IDEMPOTENT
    return RetrySafety.IDEMPOTENT_WITH_KEY if headers.get(b"idempotency-key") else RetrySafety.NON_IDEMPOTENT


def _timeout(headers: dict[bytes, bytes]) -> float:
    """Return the number of seconds for which the client waits."""
    milliseconds = headers.get(b"x-expires-in-ms", b"")
    if not milliseconds.isdigit() or len(milliseconds) > MAX_TIMEOUT_DIGITS:
        raise InvalidRequestError(400, InvalidRequestReason.NO_TIMEOUT)
    seconds = int(milliseconds) / 1000
    if seconds <= 0:
        raise InvalidRequestError(408, InvalidRequestReason.EXPIRED)
    return seconds
