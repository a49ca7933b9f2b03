"""What is sent to an endpoint for an exchange: method, target and headers, for HTTP/1.1 and HTTP/2 alike."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import msgspec

from ..state.requests import Exchange, Headers, PendingRequest

if TYPE_CHECKING:
    from ..context import SidecarContext

DEFAULT_HOST = (b"Host", b"backend.local")
UPLOAD_TIME = 30.0  # seconds that the rest of a request body may take, as far as its endpoint is told
NOT_FORWARDED = {
    b"connection", b"keep-alive", b"te", b"trailer", b"transfer-encoding", b"upgrade", b"expect",
    b"proxy-authorization", b"proxy-authenticate", b"content-length", b"host", b"x-expires-in-ms",
}  # fmt: skip


class RequestHead(msgspec.Struct):
    """Method, target and headers of a request; the framing is the protocol's."""

    method: bytes
    target: bytes
    headers: Headers


def build_request(exchange: Exchange, context: SidecarContext, now: float) -> RequestHead:
    """Return the head of what an exchange sends: a client's request, or a health check."""
    pending = exchange.pending
    if pending is None:
        target = b"/status/load" if context.balancer_config.load_reported else b"/health"
        return RequestHead(b"GET", target, [DEFAULT_HOST])
    forwarded = [(name, value) for name, value in pending.headers if name.lower() not in NOT_FORWARDED]
    host = next(((name, value) for name, value in pending.headers if name.lower() == b"host"), DEFAULT_HOST)
    expires_in = str(_milliseconds_left(exchange, pending, now)).encode()
    headers = [host, *forwarded, (b"X-Expires-In-Ms", expires_in)]
    stream = exchange.body_stream
    if stream is not None and stream.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif pending.body.length or pending.method != b"GET":
        headers.append((b"Content-Length", str(pending.body.length).encode()))
    return RequestHead(pending.method, pending.target, headers)


def _milliseconds_left(exchange: Exchange, pending: PendingRequest, now: float) -> int:
    """The time left for the request, at least 1 ms."""
    seconds = exchange.deadline - now
    if exchange.deadline == inf:  # its body is still coming
        seconds = pending.request.time_left + UPLOAD_TIME
    return max(1, int(seconds * 1000))
