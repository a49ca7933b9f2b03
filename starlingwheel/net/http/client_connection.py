"""The client side: the listener, and one actor for each client connection."""

from __future__ import annotations

import errno
import re
import socket
from math import inf
from typing import Any

import h11

from ...decisions.config import RetrySafety
from ...decisions.model import Request
from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..loop import HANGUP, READ, WRITE, SocketReady
from ..messages import (
    CLOSE,
    STOP,
    ClientDisconnected,
    FinalResponse,
    RequestBodyComplete,
    RequestReceived,
    Stop,
)
from ..state.body_stream import MAX_STREAMED_BODY, BodyStream
from ..state.buffers import (
    BUFFER_SIZE,
    MAX_BUFFERED_BODY,
    MAX_REQUEST_BODY,
    BufferedBody,
    BuffersExhaustedError,
)
from ..state.requests import PendingRequest
from .stream import ConnectionLostError, Stream, two_lengths

AT_ONCE = 64  # connections accepted in one turn
QUIET = 2.0  # seconds after which a connection with no request open may be closed, as the protocol says
PATIENT = 1.1  # times that, after which it is
WHOLE = 1.35  # times that, from connecting or its first byte, by which a request is whole, but for its body
SLOWEST = 48_000  # bytes of a body a second by which that takes longer
STALL = 4.0  # seconds after which a client that takes nothing of its answer is given up
PROMPT = 1 / 40  # times that, within which a usual client that has connected asks
READ_AWAY = 4 * MAX_BUFFERED_BODY  # bytes read from a client that sends on after its answer, at most
LONGEST_NUMBER = 15  # digits
ABSOLUTE = re.compile(rb"^https?://[^/?]*", re.IGNORECASE)  # what a target may begin with (RFC 9112, 3.2.2)
METHODS = {
    RetrySafety.IDEMPOTENT: b"GET",
    RetrySafety.IDEMPOTENT_WITH_KEY: b"POST",
    RetrySafety.NON_IDEMPOTENT: b"POST",
}


def effect_told(method: bytes, headers: dict[bytes, bytes]) -> RetrySafety:
    """What the form of a request says of its effect."""
    if method == b"GET":
        return RetrySafety.IDEMPOTENT
    return RetrySafety.IDEMPOTENT_WITH_KEY if headers.get(b"idempotency-key") else RetrySafety.NON_IDEMPOTENT


class InvalidRequestError(Exception):
    """A request that is answered without being taken up."""

    def __init__(self, status: int, reason: str) -> None:
        self.status, self.reason = status, reason


class ClientListener(Actor):
    def __init__(self, context: SidecarContext, sock: socket.socket) -> None:
        self.context, self.sock = context, sock
        self.more = False  # some may wait still, though all that one turn may let in have been
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        self.sock.setblocking(False)
        self.loop.register(self.sock.fileno(), self, READ)
        message = yield None
        while not isinstance(message, Stop):
            # Guards against spinning on a full table of descriptors: one that ends makes room.
            if not self._accept():
                self.loop.unregister(self.sock.fileno())
                message = yield self.loop.now() + self.context.shortest_objective / 64
                self.loop.register(self.sock.fileno(), self, READ)
            else:
                message = yield None
        # What waits at a socket that another process of this sidecar has too is left to that one.
        # Guards against resetting, with the socket, connections that wait behind those of one turn.
        while not self.context.passed_socket and (not self._accept() or self.more):
            yield self.loop.now() + (0 if self.more else self.context.shortest_objective / 64)
        self.loop.unregister(self.sock.fileno())
        self.sock.close()
        self.context.log("listener.closed")

    def _accept(self) -> bool:
        """True when all that wait have been let in, or as many as one turn may (`more`)."""
        self.more = False
        for _ in range(AT_ONCE):
            if self.context.connections.closed:
                # Guards against those that are of no use keeping the others waiting until their time is up.
                self._make_room()
                return False
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.context.log("accept.failed", error=str(error))
                    return False
                continue
            expendable = self.context.connections.client_to_close(self.loop.now() - PROMPT * QUIET)
            ClientConnection(self.context, sock).begin()
            if expendable:
                # Guards against clients that use none of their connections shutting out others.
                expendable.post(CLOSE)
                if self.context.connections.closed:
                    break  # its descriptor is free by the next turn
        self.more = True
        return True

    def _make_room(self) -> None:
        for _ in range(AT_ONCE // 4):
            expendable = self.context.connections.client_to_close(self.loop.now() - PROMPT * QUIET)
            if expendable is None:
                return
            expendable.post(CLOSE)


class ClientConnection(Actor):
    """One connection of a client: one request after another, read, answered and written top to bottom."""

    def __init__(self, context: SidecarContext, sock: socket.socket) -> None:
        self.context = context
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = Stream(context.loop, self, sock, h11.SERVER, context.buffer_pool)
        self.reason = ""
        self.served = 0
        self.opened = self.quiet_since = context.loop.now()
        self.begun: float | None = None  # when the first byte of the request in hand was read
        self.heard = self.opened  # when the last byte was read
        self.received, self.paused = 0, 0.0  # bytes of the body in hand; seconds for which it was not read
        self.body = BufferedBody(context.buffer_pool)
        self.flow: BodyStream | None = None  # what takes the place of the body if that is too long to keep
        self.pending: PendingRequest | None = None
        self.closing = ""  # why it ends once it is idle
        context.connections.clients[self] = None
        context.connections.unheard[self] = None
        context.connections.note()
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        try:
            while not self.reason:
                yield from self._serve()
        except ConnectionLostError as lost:
            self.reason = self.reason or str(lost)
        except GeneratorExit:
            self.reason = "stopped"
        finally:
            self._close()

    def _serve(self) -> Coroutine[None]:
        final: FinalResponse | None = None
        taken = False
        try:
            request = yield from self._read()
            if request is None:
                return
            if request.target == b"/ready":
                status = 200 if self.context.ready else 503
            else:
                pending = self._take(request)
                if self.has_left():
                    # Guards against handing off what waited unread while its client left.
                    pending.body.release()
                    raise ConnectionLostError("client-left")
                taken = True
                final = yield from self._in_hand(pending, self.flow)
                status = final.status
        except InvalidRequestError as unfit:
            status = unfit.status
            self.context.log("request.unfit", status=status, reason=unfit.reason)
        except BuffersExhaustedError:
            status = 503
            self.context.log("request.unfit", status=status, reason="no-buffers")
        finally:
            self.body.release()
            if self.flow is not None:
                self.flow.break_off()
                if not taken:
                    # Guards against buffers lost with a long request that is not taken up.
                    self.flow.release()
                self.flow = None
            self.context.connections.whole(self)
        # Guards against one that asks again at full speed what is turned away each time.
        yield from self._write(status, final, last=final is None and status != 200)
        self.served += 1

    # Reading.

    def _read(self) -> Coroutine[h11.Request | None]:
        """The next request, its body in `self.body`; None when the connection ends between requests."""
        request, length = None, None
        self.received, self.paused = 0, 0.0
        self.stream.at_once = BUFFER_SIZE
        self.begun = self.loop.now() if self.stream.http.trailing_data[0] else None
        self.stream.want(READ)
        if self.begun is None and self.served:
            self.context.connections.idle_clients[self] = None
        while True:
            try:
                event = self.stream.event()
            except ConnectionLostError as lost:
                raise InvalidRequestError(400, str(lost)) from lost
            if isinstance(event, h11.Request):
                request, length = event, self._framed(event)
                self.stream.at_once = len(self.context.buffer_pool.scratch)
            elif isinstance(event, h11.Data):
                self._count(event.data)
                # Guards against megabytes being on their way only after their last byte has come.
                if self.received > MAX_BUFFERED_BODY:
                    self.flow = BodyStream(self.context.buffer_pool, self, length, self.body)
                    self.body = BufferedBody(self.context.buffer_pool)
                    self.flow.add(event.data)
                    return request
                self.body.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                self.reason = "client-closed"
                return None
            else:
                self.stream.invite()
                if (yield from self._more()):
                    return None

    def _more(self) -> Coroutine[bool]:
        """Read on; True when the connection ends here."""
        while True:
            if self.closing and self.begun is None and self.stream.silent():
                self.reason = self.closing
                return True
            message = yield self._until()
            if message is None and self.begun is None:
                self.closing = self.closing or "idle"
                continue
            if message is None:
                # Guards against half a request, then silence.
                raise InvalidRequestError(408, "half a request")
            if message is CLOSE and not self.served and self.begun is not None and self.stream.silent():
                raise ConnectionLostError("not-needed")
            if message is STOP or message is CLOSE:
                self.closing = "stopping" if message is STOP else self.closing or "not-needed"
                continue
            try:
                count = self.stream.read()
            except ConnectionLostError:
                if self.begun is not None:
                    self.reason = "client-left"
                raise
            if count is None:
                continue
            if count:
                self.heard = self.loop.now()
                if not self.served:
                    self.context.connections.heard(self)
            if self.begun is None and count:
                self.begun = self.heard
                self.context.connections.idle_clients.pop(self, None)
            if count == 0 and self.begun is not None:
                self.reason = "client-left"
                return True
            return False

    def _until(self) -> float:
        """When the next request has to have begun, or this one to be whole."""
        if self.begun is None:
            return self.quiet_since + PATIENT * QUIET
        since = self.begun if self.served else self.opened
        return since + WHOLE * QUIET + self.paused + self.received / SLOWEST

    def _count(self, data: bytes) -> None:
        self.received += len(data)
        if self.received > self._longest():
            raise InvalidRequestError(413, "body too long")

    def _longest(self) -> int:
        return (
            MAX_STREAMED_BODY
            if self.context.balancer_config.streams_per_connection == 1
            else MAX_REQUEST_BODY
        )

    def _framed(self, request: h11.Request) -> int | None:
        """The length that a request says its body has.

        Turns away what could be read in two ways, and what is too long before it is read.
        """
        if two_lengths(request.headers):
            raise InvalidRequestError(400, "two lengths")
        length = next((int(value) for name, value in request.headers if name == b"content-length"), None)
        if length is not None and length > self._longest():
            raise InvalidRequestError(413, "body too long")
        return length

    def _take(self, request: h11.Request) -> PendingRequest:
        """The work item that a request stands for."""
        headers: dict[bytes, bytes] = {}
        for name, value in request.headers:
            if name in headers and (name.startswith(b"x-") or name == b"idempotency-key"):
                raise InvalidRequestError(400, f"{name.decode()} is doubled")
            headers[name] = value

        trace = headers.get(b"x-trace-id", b"")
        if not trace:
            raise InvalidRequestError(400, "x-trace-id is missing")
        named = headers.get(b"x-qos", b"").decode("latin-1")
        category = self.context.request_class_for(named, effect_told(request.method, headers))
        if category is None:
            raise InvalidRequestError(404, "unknown category")
        target = ABSOLUTE.sub(b"", request.target)
        if target.lstrip(b"/").partition(b"?")[0].partition(b"/")[0] != named.encode("latin-1"):
            raise InvalidRequestError(400, "path and x-qos differ")
        if request.method != METHODS[category.retry_safety]:
            raise InvalidRequestError(405, "the method does not fit the category")
        if category.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY and not headers.get(b"idempotency-key"):
            raise InvalidRequestError(400, "idempotency-key is missing")
        if trace in self.context.active_traces:
            raise InvalidRequestError(409, "x-trace-id is in hand")
        told = headers.get(b"x-expires-in-ms", b"")
        if not told.isdigit() or len(told) > LONGEST_NUMBER:
            raise InvalidRequestError(400, "x-expires-in-ms is missing or unreadable")
        patience = int(told) / 1000
        if patience <= 0:
            raise InvalidRequestError(408, "expired when it came")
        if len(self.context.active_traces) >= self.context.connections.most_requests:
            # Guards against clients taking the descriptors that their own work needs.
            raise InvalidRequestError(503, "too many connections")
        balanced_request = Request(
            request_class=category,
            arrived_at=inf if self.flow is not None else self.heard,
            # Guards against work kept for ever for a client that says it waits so long.
            time_left=min(patience, category.timeout),
            tenant=self.context.tenants.get(headers.get(b"x-customer", b"").decode("latin-1")),
            is_retry=headers.get(b"x-second-try") == b"1",
        )
        pending = PendingRequest(
            request=balanced_request,
            client=self,
            method=request.method,
            target=target,
            headers=request.headers.raw_items(),
            body=self.flow or self.body,
            trace=trace,
        )
        if self.flow is None:
            self.body = BufferedBody(self.context.buffer_pool)  # the one before is the job's from now on
        return pending

    # Answering.

    def _in_hand(self, pending: PendingRequest, flow: BodyStream | None) -> Coroutine[FinalResponse]:
        """Wait for the final answer; what comes behind the request waits in the kernel's buffer."""
        self.pending = pending
        self.context.active_traces.add(pending.trace)
        self.context.connections.whole(self)
        try:
            self.context.coordinator.post(RequestReceived(pending))
            if flow is not None and (final := (yield from self._pass_on(pending, flow))) is not None:
                self.pending = None
                return final
            self.stream.want(HANGUP)
            while True:
                message = yield None
                if isinstance(message, FinalResponse):
                    self.pending = None
                    return message
                if isinstance(message, SocketReady) and message.hung_up:
                    raise ConnectionLostError("client-left")
        finally:
            self.context.active_traces.discard(pending.trace)

    def _pass_on(self, pending: PendingRequest, flow: BodyStream) -> Coroutine[FinalResponse | None]:
        """Read the rest of a body while it is handed off; a final answer may come before its end."""
        while True:
            try:
                event = self.stream.event()
                if isinstance(event, h11.Data):
                    self._count(event.data)
                    flow.add(event.data)
                    continue
            except (ConnectionLostError, InvalidRequestError, BuffersExhaustedError) as error:
                self._give_up(pending)
                raise InvalidRequestError(400, str(error)) from (
                    error if isinstance(error, ConnectionLostError) else error
                )
            if isinstance(event, h11.EndOfMessage):
                flow.end()
                self.context.coordinator.post(RequestBodyComplete(pending))
                return None
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError("client-left")
            message = yield from self._room(flow)
            if isinstance(message, FinalResponse):
                return message
            if isinstance(message, SocketReady):
                if message.hung_up:
                    # Guards against sending on what it had written before it left.
                    raise ConnectionLostError("client-left")
                if self.stream.read():
                    self.heard = self.loop.now()
            elif message is None and self.loop.now() >= self._until():
                self._give_up(pending)
                raise InvalidRequestError(408, "half a request")

    def _room(self, flow: BodyStream) -> Coroutine[Any]:
        """The next mail, unread input left out while there is no room for it, but for its end."""
        while not flow.room():
            since = self.loop.now()
            self.stream.want(HANGUP)
            message = yield None if flow.full else since + self.context.shortest_objective / 64
            self.paused += self.loop.now() - since
            if isinstance(message, FinalResponse | SocketReady):
                return message
        self.stream.want(READ)
        return (yield self._until())

    def _give_up(self, pending: PendingRequest) -> None:
        """The rest of its body can't be had."""
        self.pending = None
        self.context.coordinator.post(ClientDisconnected(pending))

    def _write(self, status: int, final: FinalResponse | None, last: bool) -> Coroutine[None]:
        answer = final.response if final else None
        flow = answer.body if answer and isinstance(answer.body, BodyStream) else None
        length = flow.length if flow is not None else answer.body.length if answer else 0
        headers = [(b"Transfer-Encoding", b"chunked")]
        if length is not None:
            headers = [(b"Content-Length", str(length).encode())]
        if answer and answer.kind:
            headers.append((b"Content-Type", answer.kind))
        if final and final.retry_after > 0:
            headers.append((b"Retry-After", f"{final.retry_after:.3f}".encode()))
        unread = self.stream.http.their_state is not h11.DONE
        context = self.context
        last = (
            last or unread or context.stopping or context.draining or self.closing or context.connections.full
        )
        if last:
            headers.append((b"Connection", b"close"))
        try:
            self.stream.put(h11.Response(status_code=status, headers=headers))
            if flow is not None:
                yield from self._pass_answer(flow)
            elif answer:
                self.stream.put(*(h11.Data(data=view) for view in answer.body.views()))
            self.stream.put(h11.EndOfMessage())
            yield from self._written()
        finally:
            if answer:
                answer.body.release()
        if last or self.stream.http.our_state is not h11.DONE:
            self.reason = "told-to-close" if final or status == 200 else f"answered-{status}"
            self.context.connections.leaving[self] = None
            yield from self.stream.finish(self.loop.now() + QUIET / 4, READ_AWAY)
        else:
            self.stream.http.start_next_cycle()
            self.quiet_since = self.loop.now()

    def _pass_answer(self, flow: BodyStream) -> Coroutine[None]:
        """Write an answer while it comes."""
        flow.sink = self
        # Guards against a slow reader seeming to take nothing for as long as it needs for megabytes.
        self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_BUFFERED_BODY)
        while not flow.whole:
            part = flow.take()
            if part.length:
                try:
                    self.stream.put(*(h11.Data(data=view) for view in part.views()))
                    yield from self._written()
                finally:
                    part.release()
            elif flow.broken:
                # Guards against an answer that is not whole being taken for one that is.
                self.stream.abort()
                raise ConnectionLostError("upstream-broke")
            else:
                self.stream.want(HANGUP)
                if isinstance(message := (yield None), SocketReady) and message.hung_up:
                    raise ConnectionLostError("client-left")

    def _written(self) -> Coroutine[None]:
        until = self.loop.now() + STALL
        while not self.stream.write():
            self.stream.want(WRITE)
            message = yield until
            if message is None and self.loop.now() >= until:
                raise ConnectionLostError("slow-reader")
            if isinstance(message, SocketReady):
                until = self.loop.now() + STALL  # it has taken some

    # The end.

    def _close(self) -> None:
        if self.pending is not None:
            self.context.coordinator.post(ClientDisconnected(self.pending))
        self.body.release()
        self.stream.close()
        self.context.connections.forget_client(self)
        self.context.log("client.end", reason=self.reason or "defect", served=self.served)

    def has_left(self) -> bool:
        """Its end has come, also one that it has not been resumed with yet.

        Guards against a late loop: what has waited is written before its client's end is dealt with.
        """
        return (
            self.ended
            or any(isinstance(message, SocketReady) and message.hung_up for message in self.mailbox)
            or self.stream.ended()
        )

    def undelivered(self, message: Any) -> None:
        if isinstance(message, FinalResponse) and message.response:
            message.response.body.release()
