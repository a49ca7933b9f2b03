"""Calls to etcd over one persistent HTTP/1.1 connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
import msgspec

from ...actor import Actor, Coroutine
from ...http.stream import Stream, connect
from ...loop import READ, WRITE, Loop, SocketReady
from ...state.buffers import BufferPool
from .errors import EtcdFailure, EtcdUnavailableError, UnexpectedStatusError, UnusableReplyError

MAX_REPLY_SIZE = 1 << 22  # bytes
HTTP_OK = 200


class EtcdConnection:
    """One actor's connection to etcd. Its coroutines raise `ConnectionLostError` and `EtcdError`."""

    def __init__(
        self,
        loop: Loop,
        actor: Actor,
        addresses: list[str],
        pool: BufferPool,
        check_message: Callable[[object], None],
    ) -> None:
        """`check_message` is called with each message that the actor gets during a call; it may raise."""
        self.loop = loop
        self.actor = actor
        self.addresses = addresses
        self.pool = pool
        self.check_message = check_message
        self.address_index = 0
        self.address = ""  # address of the latest connection
        self.stream: Stream | None = None

    def use_next_address(self) -> None:
        """Use the next address for the next connection."""
        self.address_index += 1

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def close_if_readable(self, message: object) -> None:
        """Close the connection if it becomes readable between calls: the server has closed it."""
        if isinstance(message, SocketReady) and self.stream is not None:
            self.close()

    def send(self, path: str, body: msgspec.Struct, deadline: float) -> Coroutine[None]:
        """Send a call, whose reply is read by `next_event`."""
        if self.stream is None or not self.stream.has_no_input():
            yield from self._open(deadline)
        stream = self._open_stream
        data = msgspec.json.encode(body)
        headers = [
            (b"Host", self.address.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(data)).encode()),
        ]
        request = h11.Request(method=b"POST", target=path.encode(), headers=headers)
        stream.enqueue(request, h11.Data(data=data), h11.EndOfMessage())
        while not stream.write():
            stream.wait_for(WRITE)
            yield from self._wait_ready(deadline)
        stream.wait_for(READ)

    def next_event(
        self, deadline: float, timeout_reason: EtcdFailure = EtcdFailure.CALL_TIMEOUT
    ) -> Coroutine[h11.Event]:
        """Return the next part of a reply. `timeout_reason`: the reason code once the deadline is over."""
        stream = self._open_stream
        while True:
            event: Any = stream.next_event()
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    raise EtcdUnavailableError(EtcdFailure.CONNECTION_CLOSED)
                return event
            yield from self._wait_ready(deadline, timeout_reason)
            stream.read()

    def call(self, path: str, body: msgspec.Struct, deadline: float) -> Coroutine[bytes]:
        """Send a call and return the body of its reply."""
        yield from self.send(path, body, deadline)
        status, data = 0, b""
        while True:
            event = yield from self.next_event(deadline)
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                data += bytes(event.data)
                if len(data) > MAX_REPLY_SIZE:
                    raise UnusableReplyError(EtcdFailure.REPLY_TOO_LONG)
            elif isinstance(event, h11.EndOfMessage):
                break
        self._finish_call()
        if status != HTTP_OK:
            raise UnexpectedStatusError(status)
        return data

    @property
    def _open_stream(self) -> Stream:
        assert self.stream is not None
        return self.stream

    def _open(self, deadline: float) -> Coroutine[None]:
        self.close()
        self.address = self.addresses[self.address_index % len(self.addresses)]
        self.stream = Stream(self.loop, self.actor, connect(self.address), h11.CLIENT, self.pool)
        self.stream.wait_for(WRITE)
        yield from self._wait_ready(deadline)
        self.stream.check_connected()

    def _finish_call(self) -> None:
        """Prepare the connection for the next call, or close it if the server does not keep it open."""
        http = self._open_stream.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
        else:
            self.close()

    def _wait_ready(
        self, deadline: float, timeout_reason: EtcdFailure = EtcdFailure.CALL_TIMEOUT
    ) -> Coroutine[None]:
        while True:
            message = yield deadline
            if isinstance(message, SocketReady):
                return
            self.check_message(message)
            if self.loop.now() >= deadline:
                raise EtcdUnavailableError(timeout_reason)
