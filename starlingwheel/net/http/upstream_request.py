"""The head of a request to an endpoint: method, target and headers, for HTTP/1.1 and HTTP/2."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..state.requests import Exchange, Headers, PendingRequest

if TYPE_CHECKING:
    from ..context import SidecarContext

DEFAULT_HOST = (b"Host", b"backend.local")
UPLOAD_TIME = 30.0  # seconds added to the timeout sent to the endpoint while the request body is incomplete
# Headers that concern one connection only, and those that are set anew for each attempt.
NOT_FORWARDED = {
    b"connection", b"keep-alive", b"te", b"trailer", b"transfer-encoding", b"upgrade", b"expect",
    b"proxy-authorization", b"proxy-authenticate", b"content-length", b"host", b"x-expires-in-ms",
}  # fmt: skip


class RequestHead(msgspec.Struct):
    """Method, target and headers of a request, without the framing of a protocol."""

    method: bytes
    target: bytes
    headers: Headers


def build_request(exchange: Exchange, context: SidecarContext, now: float) -> RequestHead:
    """Return the head of the request of an exchange, which is a client's request or a health check."""
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
    """Return the time left for the request in milliseconds, at least 1."""
    seconds = exchange.deadline - now
    if pending.body_incomplete:
        seconds = pending.request.time_left + UPLOAD_TIME
    return max(1, int(seconds * 1000))
