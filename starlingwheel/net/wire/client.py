"""The client side: the listener, and one actor for each client connection."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING, Any

import h11

from ...decisions.terms import Effect, WorkItem
from ..actor import Actor, Coroutine
from ..loop import HANGUP, READ, WRITE, Ready
from ..mail import CLOSE, STOP, Final, Left, Stop, Taken
from ..memory.buffers import LONGEST_BODY, Body, Exhausted
from ..memory.work import Job
from .http import Lost, Stream

if TYPE_CHECKING:
    from ..lifecycle.start import Node

BACKLOG = 512
AT_ONCE = 64  # connections accepted in one turn
QUIET = 2.0  # seconds after which a connection with no request open may be closed, as the protocol says
PATIENT = 1.1  # times that, after which it is
WHOLE = 1.25  # times that, from connecting, by which the first request is whole
PROMPT = 1 / 40  # times that, within which a usual client that has connected asks
READ_AWAY = 4 * LONGEST_BODY  # bytes read from a client that sends on after its answer, at most
LONGEST_NUMBER = 15  # digits
METHODS = {Effect.RERUNNABLE: b"GET", Effect.TICKETED: b"POST", Effect.EXCLUSIVE: b"POST"}


def effect_told(method: bytes, headers: dict[bytes, bytes]) -> Effect:
    """What the form of a request says of its effect."""
    if method == b"GET":
        return Effect.RERUNNABLE
    return Effect.TICKETED if headers.get(b"idempotency-key") else Effect.EXCLUSIVE


class Unfit(Exception):
    """A request that is answered without being taken up."""

    def __init__(self, status: int, reason: str) -> None:
        self.status, self.reason = status, reason


class Listener(Actor):
    def __init__(self, node: Node, sock: socket.socket) -> None:
        self.node, self.sock = node, sock
        super().__init__(node.loop)

    def run(self) -> Coroutine[None]:
        self.sock.setblocking(False)
        self.loop.watch(self.sock.fileno(), self, READ)
        mail = yield None
        while not isinstance(mail, Stop):
            # Guards against spinning on a full table of descriptors: one that ends makes room.
            if not self._accept():
                self.loop.forget(self.sock.fileno())
                mail = yield self.loop.now() + self.node.shortest / 64
                self.loop.watch(self.sock.fileno(), self, READ)
            else:
                mail = yield None
        # What waits at a socket that another process of this sidecar has too is left to that one.
        while not self.node.passed and not self._accept():
            yield self.loop.now() + self.node.shortest / 64
        self.loop.forget(self.sock.fileno())
        self.sock.close()
        self.node.log("listener.closed")

    def _accept(self) -> bool:
        """True when all that wait have been let in, or as many as one turn may."""
        for _ in range(AT_ONCE):
            if self.node.ledger.closed:
                return False
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.node.log("accept.failed", error=str(error))
                    return False
                continue
            expendable = self.node.ledger.client_to_close(self.loop.now() - PROMPT * QUIET)
            Client(self.node, sock).begin()
            if expendable:
                # Guards against clients that use none of their connections shutting out others.
                expendable.post(CLOSE)
                if self.node.ledger.closed:
                    return True  # its descriptor is free by the next turn
        return True


class Client(Actor):
    """One connection of a client: one request after another, read, answered and written top to bottom."""

    def __init__(self, node: Node, sock: socket.socket) -> None:
        self.node = node
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = Stream(node.loop, self, sock, h11.SERVER, node.pool)
        self.reason = ""
        self.served = 0
        self.opened = self.quiet_since = node.loop.now()
        self.begun: float | None = None  # when the first byte of the request in hand was read
        self.body = Body(node.pool)
        self.job: Job | None = None
        self.closing = ""  # why it ends once it is idle
        node.ledger.clients[self] = None
        node.ledger.unheard[self] = None
        node.ledger.note()
        super().__init__(node.loop)

    def run(self) -> Coroutine[None]:
        try:
            while not self.reason:
                yield from self._serve()
        except Lost as lost:
            self.reason = self.reason or str(lost)
        except GeneratorExit:
            self.reason = "stopped"
        finally:
            self._close()

    def _serve(self) -> Coroutine[None]:
        final: Final | None = None
        try:
            request = yield from self._read()
            if request is None:
                return
            if request.target == b"/ready":
                status = 200 if self.node.ready else 503
            else:
                job = self._take(request)
                final = yield from self._in_hand(job)
                status = final.status
        except Unfit as unfit:
            status = unfit.status
            self.node.log("request.unfit", status=status, reason=unfit.reason)
        except Exhausted:
            status = 503
            self.node.log("request.unfit", status=status, reason="no-buffers")
        finally:
            self.body.release()
            self.node.ledger.unheard.pop(self, None)
        # Guards against one that asks again at full speed what is turned away each time.
        yield from self._write(status, final, last=final is None and status != 200)
        self.served += 1

    # Reading.

    def _read(self) -> Coroutine[h11.Request | None]:
        """The next request, its body in `self.body`; None when the connection ends between requests."""
        request = None
        self.begun = self.loop.now() if self.stream.http.trailing_data[0] else None
        self.stream.want(READ)
        if self.begun is None and self.served:
            self.node.ledger.idle_clients[self] = None
        while True:
            try:
                event = self.stream.event()
            except Lost as lost:
                raise Unfit(400, str(lost)) from lost
            if isinstance(event, h11.Request):
                request = event
                self._framed(request)
            elif isinstance(event, h11.Data):
                if self.body.length + len(event.data) > LONGEST_BODY:
                    raise Unfit(413, "body too long")
                self.body.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                self.reason = "client-closed"
                return None
            else:
                if self.stream.http.they_are_waiting_for_100_continue:
                    self.stream.put(h11.InformationalResponse(status_code=100, headers=[]))
                    self.stream.write()
                if (yield from self._more()):
                    return None

    def _more(self) -> Coroutine[bool]:
        """Read on; True when the connection ends here."""
        while True:
            if self.closing and self.begun is None and self.stream.silent():
                self.reason = self.closing
                return True
            mail = yield self._until()
            if mail is None and self.begun is None:
                self.closing = self.closing or "idle"
                continue
            if mail is None:
                # Guards against half a request, then silence.
                raise Unfit(408, "half a request")
            if mail is CLOSE and not self.served and self.begun is not None:
                raise Lost("not-needed")
            if mail is STOP or mail is CLOSE:
                self.closing = "stopping" if mail is STOP else self.closing or "not-needed"
                continue
            try:
                count = self.stream.read()
            except Lost:
                if self.begun is not None:
                    self.reason = "client-left"
                raise
            if count is None:
                continue
            if self.begun is None and count:
                self.begun = self.loop.now()
                self.node.ledger.idle_clients.pop(self, None)
            if count == 0 and self.begun is not None:
                self.reason = "client-left"
                return True
            return False

    def _until(self) -> float:
        """When the next request has to have begun, or this one to be whole."""
        if self.begun is None:
            return self.quiet_since + PATIENT * QUIET
        return self.begun + QUIET if self.served else self.opened + WHOLE * QUIET

    def _framed(self, request: h11.Request) -> None:
        """Turn away what could be read in two ways, and what is too long before it is read."""
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Guards against a second request that hides in the body of the first.
            raise Unfit(400, "two lengths")
        length = next((value for name, value in request.headers if name == b"content-length"), b"0")
        if int(length) > LONGEST_BODY:
            raise Unfit(413, "body too long")

    def _take(self, request: h11.Request) -> Job:
        """The work item that a request stands for."""
        headers: dict[bytes, bytes] = {}
        for name, value in request.headers:
            if name in headers and (name.startswith(b"x-") or name == b"idempotency-key"):
                raise Unfit(400, f"{name.decode()} is doubled")
            headers[name] = value

        trace = headers.get(b"x-trace-id", b"")
        if not trace:
            raise Unfit(400, "x-trace-id is missing")
        named = headers.get(b"x-qos", b"").decode("latin-1")
        category = self.node.category(named, effect_told(request.method, headers))
        if category is None:
            raise Unfit(404, "unknown category")
        if request.target.lstrip(b"/").partition(b"?")[0].partition(b"/")[0] != named.encode("latin-1"):
            raise Unfit(400, "path and x-qos differ")
        if request.method != METHODS[category.effect]:
            raise Unfit(405, "the method does not fit the category")
        if category.effect is Effect.TICKETED and not headers.get(b"idempotency-key"):
            raise Unfit(400, "idempotency-key is missing")
        if trace in self.node.in_hand:
            raise Unfit(409, "x-trace-id is in hand")
        told = headers.get(b"x-expires-in-ms", b"")
        if not told.isdigit() or len(told) > LONGEST_NUMBER:
            raise Unfit(400, "x-expires-in-ms is missing or unreadable")
        patience = int(told) / 1000
        if patience <= 0:
            raise Unfit(408, "expired when it came")
        if len(self.node.in_hand) >= self.node.ledger.most_requests:
            # Guards against clients taking the descriptors that their own work needs.
            raise Unfit(503, "too many connections")
        wi = WorkItem(
            category=category,
            arrived=self.begun,
            # Guards against work kept for ever for a client that says it waits so long.
            patience=min(patience, category.expiry),
            customer=self.node.customers.get(headers.get(b"x-customer", b"").decode("latin-1")),
            repeat=headers.get(b"x-second-try") == b"1",
        )
        job = Job(
            wi=wi,
            client=self,
            method=request.method,
            target=request.target,
            headers=request.headers.raw_items(),
            body=self.body,
            trace=trace,
        )
        self.body = Body(self.node.pool)  # the one before is the job's from now on
        return job

    # Answering.

    def _in_hand(self, job: Job) -> Coroutine[Final]:
        """Wait for the final answer; what comes behind the request waits in the kernel's buffer."""
        self.job = job
        self.node.in_hand.add(job.trace)
        self.node.ledger.unheard.pop(self, None)
        try:
            self.node.module.post(Taken(job))
            self.stream.want(HANGUP)
            while True:
                mail = yield None
                if isinstance(mail, Final):
                    self.job = None
                    return mail
                if isinstance(mail, Ready) and mail.hung_up:
                    raise Lost("client-left")
        finally:
            self.node.in_hand.discard(job.trace)

    def _write(self, status: int, final: Final | None, last: bool) -> Coroutine[None]:
        answer = final.answer if final else None
        headers = [(b"Content-Length", str(answer.body.length if answer else 0).encode())]
        if answer and answer.kind:
            headers.append((b"Content-Type", answer.kind))
        if final and final.come_back > 0:
            headers.append((b"Retry-After", f"{final.come_back:.3f}".encode()))
        unread = self.stream.http.their_state is not h11.DONE
        node = self.node
        last = last or unread or node.stopping or node.lameduck or self.closing or node.ledger.full
        if last:
            headers.append((b"Connection", b"close"))
        try:
            self.stream.put(h11.Response(status_code=status, headers=headers))
            if answer:
                self.stream.put(*(h11.Data(data=view) for view in answer.body.views()))
            self.stream.put(h11.EndOfMessage())
            until = self.loop.now() + self.node.longest
            while not self.stream.write():
                self.stream.want(WRITE)
                if (yield until) is None:
                    raise Lost("slow-reader")
        finally:
            if answer:
                answer.body.release()
        if last or self.stream.http.our_state is not h11.DONE:
            self.reason = "told-to-close" if final or status == 200 else f"answered-{status}"
            self.node.ledger.leaving[self] = None
            yield from self.stream.finish(self.loop.now() + QUIET / 4, READ_AWAY)
        else:
            self.stream.http.start_next_cycle()
            self.quiet_since = self.loop.now()

    # The end.

    def _close(self) -> None:
        if self.job is not None:
            self.node.module.post(Left(self.job))
        self.body.release()
        self.stream.close()
        self.node.ledger.forget_client(self)
        self.node.log("client.end", reason=self.reason or "defect", served=self.served)

    def undelivered(self, mail: Any) -> None:
        if isinstance(mail, Final) and mail.answer:
            mail.answer.body.release()
