"""Operators' calls: a second address, HTTP/1.1, one call to a connection, answered ahead of clients' work."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, NamedTuple

import h11
import msgspec

from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..http.stream import ConnectionLostError, Stream, two_lengths
from ..loop import READ, WRITE, SocketReady
from ..messages import CLOSE
from ..state.overrides import OverridesLockedError

BACKLOG = 128
AT_ONCE = 16  # calls accepted in one turn
LOOK = 0.05  # seconds between looks at what the other process of this sidecar was told
QUIET = 2.0  # seconds after which a call that is not whole ends
DUE = 1.0  # seconds within which an answer is due
LONGEST = 4096
AdminResult = tuple[str, bytes]  # the id that a call names, and the body of its answer
OK, BAD, UNKNOWN, METHOD, LATE, CONFLICT, LONG, NOT_NOW = 200, 400, 404, 405, 408, 409, 413, 503


class EndpointName(msgspec.Struct):
    id: str


class CallRejectedError(Exception):
    """The call gets a no."""

    def __init__(self, status: int, reason: str, told: bytes = b"") -> None:
        self.status, self.reason, self.told = status, reason, told


class AdminRoute(NamedTuple):
    """A call that is known. `carry_out` may wait: it yields until when, as an actor does."""

    method: bytes
    carry_out: Callable[[SidecarContext, bytes], AdminResult | Coroutine[AdminResult]]
    longest: int = LONGEST  # bytes of its body


class AdminListener(Actor):
    """The second address. It also looks at what another process of this sidecar was told."""

    priority = True
    daemon = True

    def __init__(self, context: SidecarContext, sock: socket.socket) -> None:
        self.context, self.sock = context, sock
        self.calls: dict[AdminCall, None] = {}
        self.known = CALLS | (context.fleet.calls if context.fleet is not None else {})
        sock.setblocking(False)
        context.loop.register(sock.fileno(), self, READ)
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        while True:
            message = yield self.loop.now() + LOOK
            if isinstance(message, SocketReady):
                self._accept()
            self.context.overrides_changed(self.context.overrides.read())
            self.context.overrides.keep()
            self.context.check_siblings()

    def _accept(self) -> None:
        # Those that make room give their descriptors back by the next turn: until then both are kept.
        for _ in range(min(AT_ONCE, self.context.connections.calls)):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.context.log("accept.failed", error=str(error))
                return
            if len(self.calls) >= self.context.connections.calls:
                # Guards against callers that say nothing keeping out those who call: the oldest one goes.
                oldest = next(iter(self.calls))
                del self.calls[oldest]
                oldest.post(CLOSE)
            AdminCall(self.context, self, sock).begin()


class AdminCall(Actor):
    """One connection of an operator: one call, read, carried out and answered."""

    priority = True

    def __init__(self, context: SidecarContext, operators: AdminListener, sock: socket.socket) -> None:
        self.context, self.operators = context, operators
        self.stream = Stream(context.loop, self, sock, h11.SERVER, context.buffer_pool)
        operators.calls[self] = None
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        target, name, reason, told = "", "", "", b""
        opened = self.loop.now()
        try:
            try:
                request, body = yield from self._read(opened + QUIET)
                target = f"{request.method.decode()} {request.target.decode('latin-1')}"
                name, told = yield from self._carry_out(request, body, self.loop.now() + DUE * 0.9)
                status = OK
            except CallRejectedError as refused:
                status, reason, told = refused.status, refused.reason, refused.told
            took = round((self.loop.now() - opened) * 1000, 1)
            self.context.log(
                "operator.call", call=target, id=name, status=status, reason=reason, took_ms=took
            )
            yield from self._write(status, told)
        except ConnectionLostError as lost:
            self.context.log("operator.left", call=target, reason=str(lost))
        except GeneratorExit:
            pass
        finally:
            self.operators.calls.pop(self, None)
            self.stream.close()

    def _read(self, until: float) -> Coroutine[tuple[h11.Request, bytes]]:
        request, body = None, b""
        self.stream.want(READ)
        while True:
            try:
                event = self.stream.event()
            except ConnectionLostError as lost:
                raise CallRejectedError(BAD, str(lost)) from lost
            if isinstance(event, h11.Request):
                request = event
                if two_lengths(event.headers):
                    raise CallRejectedError(BAD, "two lengths")
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
                known = self.operators.known.get(request.target.partition(b"?")[0])
                if len(body) > (known.longest if known else LONGEST):
                    raise CallRejectedError(LONG, "body too long")
            elif isinstance(event, h11.EndOfMessage):
                if self.stream.http.trailing_data[0].strip():
                    raise CallRejectedError(BAD, "more than one call")
                return request, body
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError("caller-left")
            else:
                self.stream.invite()
                message = yield until
                if message is CLOSE:
                    raise ConnectionLostError("not-needed")
                if message is None:
                    raise CallRejectedError(LATE, "half a call" if request else "no call")
                self.stream.read()

    def _carry_out(self, request: h11.Request, body: bytes, until: float) -> Coroutine[AdminResult]:
        """Does what the call says."""
        path = request.target.partition(b"?")[0]
        if path not in self.operators.known:
            raise CallRejectedError(UNKNOWN, "unknown path")
        known = self.operators.known[path]
        if request.method != known.method:
            raise CallRejectedError(METHOD, "wrong method")
        while True:
            try:
                done = known.carry_out(self.context, body)
                return done if isinstance(done, tuple) else (yield from done)
            except OverridesLockedError:
                # Guards against waiting for a lock with the loop standing still.
                if self.loop.now() >= until:
                    raise CallRejectedError(NOT_NOW, "the other process holds the file") from None
                yield self.loop.now() + DUE / 100
            except OSError as error:
                raise CallRejectedError(NOT_NOW, f"not written: {error.strerror}") from error

    def _write(self, status: int, told: bytes) -> Coroutine[None]:
        headers = [(b"Content-Length", str(len(told)).encode()), (b"Connection", b"close")]
        if self.stream.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return  # what came was no HTTP at all, and h11 has nothing to answer to
        self.stream.put(h11.Response(status_code=status, headers=headers))
        if told:
            self.stream.put(h11.Data(data=told))
        self.stream.put(h11.EndOfMessage())
        until = self.loop.now() + DUE
        while not self.stream.write():
            self.stream.want(WRITE)
            if (yield until) is None:
                raise ConnectionLostError("slow-reader")
        # Answered: it makes room before those that have not said anything yet.
        self.operators.calls.pop(self, None)
        self.operators.calls = {self: None, **self.operators.calls}
        yield from self.stream.finish(self.loop.now() + QUIET / 4, LONGEST)


def named(body: bytes) -> str:
    """The id that a call's body names. Raises `Refused`."""
    try:
        name = msgspec.json.decode(body, type=EndpointName).id
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CallRejectedError(BAD, str(error)) from error
    if not name:
        raise CallRejectedError(BAD, "id is empty")
    return name


def _ready(context: SidecarContext, body: bytes) -> AdminResult:
    if not context.accepts_clients:
        raise CallRejectedError(NOT_NOW, "no list yet, or stopping")
    return "", b""


def _detach(context: SidecarContext, body: bytes) -> AdminResult:
    return _moved(context, named(body), context.overrides.take_out)


def _attach(context: SidecarContext, body: bytes) -> AdminResult:
    return _moved(context, named(body), context.overrides.put_back)


def _moved(context: SidecarContext, name: str, move: Callable[[str], list[Any] | None]) -> AdminResult:
    if (changed := move(name)) is None:
        raise CallRejectedError(UNKNOWN, f"{name!r} was never listed")
    context.overrides_changed(changed)
    return name, b""


def _lameduck(on: bool) -> Callable[[SidecarContext, bytes], AdminResult]:
    def said(context: SidecarContext, body: bytes) -> AdminResult:
        context.overrides.lameduck(on)
        context.overrides_changed([])
        return "", b""

    return said


CALLS = {
    b"/_ready": AdminRoute(b"GET", _ready),
    b"/_upstreams/detach": AdminRoute(b"PUT", _detach),
    b"/_upstreams/attach": AdminRoute(b"PUT", _attach),
    b"/_lameduck/on": AdminRoute(b"PUT", _lameduck(True)),
    b"/_lameduck/off": AdminRoute(b"PUT", _lameduck(False)),
}
