"""Opens the stream of an HTTP/2 exchange: its pseudo-headers, headers and the parts of its body."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h2.connection

from ..state.body_stream import BodyStream
from ..state.buffers import BufferedBody
from ..state.requests import Exchange, PendingRequest
from .http2_stream import StreamExchange
from .upstream_request import build_request

if TYPE_CHECKING:
    from ..context import SidecarContext


def open_stream(
    http: h2.connection.H2Connection, exchange: Exchange, context: SidecarContext
) -> StreamExchange:
    """Send the head of a request on a new stream. Raises `h2.exceptions.ProtocolError`."""
    stream_id = http.get_next_available_stream_id()
    head = build_request(exchange, context, context.loop.now())
    authority = next((value for name, value in head.headers if name.lower() == b"host"), b"")
    pseudo_headers = [
        (b":method", head.method),
        (b":scheme", b"http"),
        (b":authority", authority),
        (b":path", head.target),
    ]
    headers = [(name.lower(), value) for name, value in head.headers if name.lower() != b"host"]
    unsent = _body_parts(exchange.pending)
    http.send_headers(stream_id, [*pseudo_headers, *headers], end_stream=not unsent)
    return StreamExchange(exchange, stream_id, BufferedBody(context.buffer_pool), unsent)


def _body_parts(pending: PendingRequest | None) -> list[bytes]:
    """Return the parts of a request's body; a health check (None) has none."""
    if pending is None:
        return []
    if isinstance(pending.body, BodyStream):
        raise TypeError("a body that is still being received can't be sent over HTTP/2")
    return [bytes(view) for view in pending.body.views()]
