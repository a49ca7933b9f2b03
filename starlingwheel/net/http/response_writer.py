"""Writes responses to a client: buffered ones at once, long ones while they arrive from an endpoint."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import h11

from ..loop import HANGUP, WRITE, SocketReady
from ..messages import FinalResponse
from ..state.body_stream import BodyStream
from ..state.buffers import MAX_BUFFERED_BODY
from .errors import CloseReason, ConnectionLostError

if TYPE_CHECKING:
    from ..actor import Coroutine
    from ..state.requests import Headers
    from .stream import Stream

GATEWAY_TIMEOUT = 504
WRITE_STALL_TIMEOUT = 4.0  # seconds without progress after which the connection of a slow reader is closed
UNSENT_POLL_INTERVAL = 0.005  # seconds between looks at what the client's system has not taken
UNSENT_TIMEOUT = 1.0  # seconds for which it may take the end of an earlier response


def response_headers(final: FinalResponse | None, close: bool) -> Headers:
    """Return the headers of a response; without `final` it has no body."""
    response = final.response if final else None
    length = response.body.length if response else 0
    headers = [(b"Transfer-Encoding", b"chunked")]
    if length is not None:
        headers = [(b"Content-Length", str(length).encode())]
    if response and response.content_type:
        headers.append((b"Content-Type", response.content_type))
    if final and final.retry_after > 0:
        headers.append((b"Retry-After", f"{final.retry_after:.3f}".encode()))
    if close:
        headers.append((b"Connection", b"close"))
    return headers


def withdraw_if_broken(final: FinalResponse) -> FinalResponse:
    """Return a failure in place of a response that has broken off before any byte of it was written."""
    body = final.response.body if final.response else None
    if not isinstance(body, BodyStream) or not body.aborted:
        return final
    body.release()
    return FinalResponse(GATEWAY_TIMEOUT)


class ResponseWriter:
    """Writes the responses of one connection."""

    def __init__(self, stream: Stream) -> None:
        """Write to `stream`, whose actor receives the messages."""
        self.stream, self.loop = stream, stream.loop
        self.has_written = False  # whether a whole response has been written

    def write(self, status: int, final: FinalResponse | None, close: bool) -> Coroutine[None]:
        """Write a response and release its body; `close` announces that the connection ends with it.

        Raises `ConnectionLostError`.
        """
        response = final.response if final else None
        body = response.body if response else None
        headers = response_headers(final, close)
        try:
            self.stream.enqueue(h11.Response(status_code=status, headers=headers))
            if isinstance(body, BodyStream):
                yield from self._relay(body)
            elif body is not None:
                self.stream.enqueue_body(body.views())
            self.stream.enqueue(h11.EndOfMessage())
            yield from self._flush()
            self.has_written = True
        finally:
            if body is not None:
                body.release()

    def _relay(self, body: BodyStream) -> Coroutine[None]:
        """Write a body while it arrives."""
        body.sink = self.stream.actor
        # With megabytes in the send buffer, a slow reader would seem to stall, so the buffer is kept small.
        self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_BUFFERED_BODY)
        while not body.is_consumed:
            part = body.take()
            if part.length:
                try:
                    self.stream.enqueue_body(part.views())
                    yield from self._flush()
                finally:
                    part.release()
            elif body.aborted:
                yield from self._break_off()
            else:
                yield from self._flush()  # a head may come long before its body
                if body.sink_notified:
                    continue
                self.stream.wait_for(HANGUP)
                if isinstance(message := (yield None), SocketReady) and message.hung_up:
                    raise ConnectionLostError(CloseReason.CLIENT_LEFT)

    def _break_off(self) -> Coroutine[None]:
        """End the connection by a reset, by which the client can tell that the response is incomplete.

        A reset discards what the client's system has not taken yet. If that may be the end of an earlier
        response, the reset comes later. Raises `ConnectionLostError`.
        """
        until = self.loop.now() + UNSENT_TIMEOUT
        self.stream.wait_for(HANGUP)
        while self.has_written and self.stream.unsent_bytes() and self.loop.now() < until:
            message = yield self.loop.now() + UNSENT_POLL_INTERVAL
            if isinstance(message, SocketReady) and message.hung_up:
                break
        self.stream.reset_on_close()
        raise ConnectionLostError(CloseReason.UPSTREAM_BROKE)

    def _flush(self) -> Coroutine[None]:
        until = self.loop.now() + WRITE_STALL_TIMEOUT
        while not self.stream.write():
            self.stream.wait_for(WRITE)
            message = yield until
            if message is None and self.loop.now() >= until:
                raise ConnectionLostError(CloseReason.SLOW_READER)
            if isinstance(message, SocketReady):
                until = self.loop.now() + WRITE_STALL_TIMEOUT  # the client has read some of it
