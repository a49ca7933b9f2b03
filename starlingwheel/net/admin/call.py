"""One admin call: reads one HTTP/1.1 request, runs its handler, writes the response and closes.

The actor owns the connection of the call. Times are seconds on the loop's clock.
"""

from __future__ import annotations

import socket
from http import HTTPStatus
from typing import Protocol

import h11

from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..http.errors import CloseReason, ConnectionLostError
from ..http.stream import Stream, has_conflicting_lengths
from ..loop import READ, WRITE
from ..messages import CLOSE
from ..state.overrides import OverridesLockedError
from .routes import MAX_BODY_SIZE, AdminResult, AdminRoute, CallRejectedError

READ_TIMEOUT = 2.0  # seconds within which the whole request must arrive
RESPONSE_TIMEOUT = 1.0  # seconds within which the response must be written
HANDLER_TIMEOUT = 0.9 * RESPONSE_TIMEOUT  # leaves time to write the response
LOCK_RETRY_INTERVAL = RESPONSE_TIMEOUT / 100
CLOSE_TIMEOUT = READ_TIMEOUT / 4  # seconds that the client has to close after the response
MAX_DISCARDED = 4096  # bytes read and discarded after the response


class CallListener(Protocol):
    """The interface of the listener that a call needs."""

    calls: dict[AdminCall, None]  # open calls, in the order in which they are closed to make room
    routes: dict[bytes, AdminRoute]


class AdminCall(Actor):
    """One connection of an operator, on which one call is read, handled and answered."""

    priority = True

    def __init__(self, context: SidecarContext, listener: CallListener, sock: socket.socket) -> None:
        """Adopt an accepted connection."""
        self.context, self.listener = context, listener
        self.stream = Stream(context.loop, self, sock, h11.SERVER, context.buffer_pool)
        listener.calls[self] = None
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Serve the call, and log its result or the loss of its connection."""
        target = ""
        opened_at = self.loop.now()
        try:
            endpoint_id, reason, body = "", "", b""
            status: int = HTTPStatus.OK
            try:
                request, request_body = yield from self._read_request(opened_at + READ_TIMEOUT)
                target = f"{request.method.decode()} {request.target.decode('latin-1')}"
                endpoint_id, body = yield from self._run_handler(request, request_body)
            except CallRejectedError as rejected:
                status, reason, body = rejected.status, rejected.reason, rejected.body
            self._log(target, endpoint_id, status, reason, opened_at)
            yield from self._write_response(status, body)
        except ConnectionLostError as lost:
            self.context.log("operator.left", call=target, reason=lost.reason)
        except GeneratorExit:
            pass
        finally:
            self.listener.calls.pop(self, None)
            self.stream.close()

    def _log(self, target: str, endpoint_id: str, status: int, reason: str, opened_at: float) -> None:
        self.context.log(
            "operator.call",
            call=target,
            id=endpoint_id,
            status=status,
            reason=reason,
            took_ms=round((self.loop.now() - opened_at) * 1000, 1),
        )

    # The request.

    def _read_request(self, until: float) -> Coroutine[tuple[h11.Request, bytes]]:
        request, body = None, b""
        self.stream.wait_for(READ)
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                request = event
                if has_conflicting_lengths(event.headers):
                    raise CallRejectedError(HTTPStatus.BAD_REQUEST, "conflicting body lengths")
            elif isinstance(event, h11.Data) and request is not None:
                body += bytes(event.data)
                self._check_body_size(request, body)
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                if self.stream.http.trailing_data[0].strip():
                    raise CallRejectedError(HTTPStatus.BAD_REQUEST, "more than one request")
                return request, body
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError(CloseReason.ADMIN_CLIENT_LEFT)
            else:
                yield from self._receive_more(until, begun=request is not None)

    def _next_event(self) -> object:
        try:
            return self.stream.next_event()
        except ConnectionLostError as lost:
            raise CallRejectedError(HTTPStatus.BAD_REQUEST, str(lost)) from lost

    def _check_body_size(self, request: h11.Request, body: bytes) -> None:
        route = self.listener.routes.get(_path(request))
        if len(body) > (route.max_body_size if route else MAX_BODY_SIZE):
            raise CallRejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too long")

    def _receive_more(self, until: float, begun: bool) -> Coroutine[None]:
        """Wait for more of the request, at the latest until `until`."""
        self.stream.send_continue()
        message = yield until
        if message is CLOSE:
            raise ConnectionLostError(CloseReason.NOT_NEEDED)
        if message is None:
            raise CallRejectedError(
                HTTPStatus.REQUEST_TIMEOUT, "incomplete request" if begun else "no request"
            )
        self.stream.read()

    # The response.

    def _run_handler(self, request: h11.Request, body: bytes) -> Coroutine[AdminResult]:
        """Run the handler; retry it while another process holds the lock of the overrides file."""
        until = self.loop.now() + HANDLER_TIMEOUT
        route = self._route(request)
        while True:
            try:
                result = route.handler(self.context, body)
                return result if isinstance(result, tuple) else (yield from result)
            except OverridesLockedError:
                # The wait is a `yield`, so that the loop keeps running meanwhile.
                if self.loop.now() >= until:
                    reason = "another process holds the overrides file"
                    raise CallRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, reason) from None
                yield self.loop.now() + LOCK_RETRY_INTERVAL
            except OSError as error:
                reason = f"overrides file not written: {error.strerror}"
                raise CallRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, reason) from error

    def _route(self, request: h11.Request) -> AdminRoute:
        route = self.listener.routes.get(_path(request))
        if route is None:
            raise CallRejectedError(HTTPStatus.NOT_FOUND, "unknown path")
        if request.method != route.method:
            raise CallRejectedError(HTTPStatus.METHOD_NOT_ALLOWED, "wrong method")
        return route

    def _write_response(self, status: int, body: bytes) -> Coroutine[None]:
        if self.stream.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return  # the input was not HTTP at all, and h11 can't answer it
        headers = [(b"Content-Length", str(len(body)).encode()), (b"Connection", b"close")]
        self.stream.enqueue(h11.Response(status_code=status, headers=headers))
        if body:
            self.stream.enqueue(h11.Data(data=body))
        self.stream.enqueue(h11.EndOfMessage())
        until = self.loop.now() + RESPONSE_TIMEOUT
        while not self.stream.write():
            self.stream.wait_for(WRITE)
            if (yield until) is None:
                raise ConnectionLostError(CloseReason.SLOW_READER)
        # An answered call is closed to make room before those that have not sent a request yet.
        self.listener.calls.pop(self, None)
        self.listener.calls = {self: None, **self.listener.calls}
        yield from self.stream.lingering_close(self.loop.now() + CLOSE_TIMEOUT, MAX_DISCARDED)


def _path(request: h11.Request) -> bytes:
    return bytes(request.target).partition(b"?")[0]
