"""One call to discovery: opens a watch, reads its messages and passes them to the discovery client.

Owns the connection of the call. Renews the lease of the endpoint list while the discovery client uses it.
"""

from __future__ import annotations

import enum

import h11

from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..http.errors import CloseReason, ConnectionLostError
from ..http.stream import Stream, connect
from ..loop import READ, WRITE, SocketReady
from ..messages import CLOSE, WatchAnswered, WatchEnded, WatchMessage
from .decoder import MessageDecoder, MessageTooLongError, UnreadableMessageError
from .messages import DiscoveryMessage


class WatchEndReason(enum.StrEnum):
    """Why a watch ended whose connection was not lost (`CloseReason`). The values are logged."""

    SILENT = "silent"  # nothing came in time
    REPLACED = "replaced"  # by another watch
    ENDED = "ended"  # by discovery
    REJECTED = "answered"  # with an error; the log adds the status
    LINE_TOO_LONG = "line-too-long"
    UNREADABLE = "unreadable"
    WENT_BACK = "went-back"  # to an earlier version


class WatchEndedError(Exception):
    """The watch has to end."""

    def __init__(self, reason: WatchEndReason, status: int = 0) -> None:
        """`status`: of an error response."""
        super().__init__(reason)
        self.reason, self.status = reason, status


class DiscoveryWatch(Actor):
    """One call to discovery, from its connection to its end."""

    # A change counts as notified once discovery has written it: it is read ahead of new requests.
    priority = True

    def __init__(
        self,
        context: SidecarContext,
        address: str,
        version: int,
        answer_timeout: float,
        silence_timeout: float,
    ) -> None:
        """Prepare a call for changes after `version`; 0 asks for the whole list.

        `answer_timeout`: seconds for which the call waits for its answer. `silence_timeout`: seconds without
        a byte after which a watch counts as dead.
        """
        self.context, self.address, self.version = context, address, version
        self.answer_timeout, self.silence_timeout = answer_timeout, silence_timeout
        self.stream: Stream | None = None
        self.reason: CloseReason | WatchEndReason = CloseReason.DEFECT  # why it ended
        self.error_status = 0  # of the error response that ended it; 0: there was none
        self.answered = False  # its answer has begun
        self.incomplete_since = 0.0  # when the first bytes of an incomplete message came; 0: there is none
        self.complete_message_at = 0.0  # when the first bytes of the last complete message came
        self.has_proven = False  # it has renewed the lease
        self.opened_at = context.loop.now()
        self.read_at = self.opened_at  # when something was last read
        self.decoder = MessageDecoder()
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Call, read until the end, then report `WatchEnded` to the discovery client."""
        try:
            yield from self._watch()
        except ConnectionLostError as lost:
            self.reason = lost.reason
        except WatchEndedError as ended:
            self.reason, self.error_status = ended.reason, ended.status
        except GeneratorExit:
            self.reason = CloseReason.STOPPED
            raise
        finally:
            if self.stream is not None:
                self.stream.close()
            self._log_end()
            self.context.discovery.post(WatchEnded(self))

    def prove(self) -> None:
        """Renew the lease: this watch is the one in use, and all its lines are complete up to now."""
        self.has_proven = True
        self.context.lease.prove(self.read_at, self.complete_message_at)
        if self.incomplete_since:
            self.context.lease.begin_message(self.incomplete_since)
        self.context.gate.note_state()

    def _log_end(self) -> None:
        now = self.loop.now()
        self.context.log(
            "list.end",
            reason=f"{self.reason}-{self.error_status}" if self.error_status else self.reason,
            address=self.address,
            version=self.version,
            answered=self.answered,
            open_s=round(now - self.opened_at, 3),
            silent_s=round(now - self.read_at, 3),
            unread_bytes=self.decoder.unread_bytes,  # of a message that was cut off
        )

    def _watch(self) -> Coroutine[None]:
        """Ends only by `ConnectionLostError` or `WatchEndedError`."""
        stream = self._connect()
        answer_due = self.loop.now() + self.answer_timeout
        yield from self._send_request(stream, answer_due)
        stream.wait_for(READ)
        while True:
            event = stream.next_event()
            if event is h11.NEED_DATA:
                self._note_incomplete(stream)
                answering = stream.http.their_state is not h11.SEND_RESPONSE
                yield from self._wait(self.read_at + self.silence_timeout if answering else answer_due)
                if stream.read():
                    self.read_at = self.loop.now()
            elif isinstance(event, h11.Response):
                self._receive_response(event)
            elif isinstance(event, h11.Data):
                self._receive_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise WatchEndedError(WatchEndReason.ENDED)

    def _connect(self) -> Stream:
        sock = connect(self.address)
        self.stream = Stream(self.loop, self, sock, h11.CLIENT, self.context.buffer_pool)
        self.stream.wait_for(WRITE)
        return self.stream

    def _send_request(self, stream: Stream, answer_due: float) -> Coroutine[None]:
        yield from self._wait(answer_due)
        stream.check_connected()
        target = f"/v1/endpoints?watch=1&from={self.version}"
        headers = [(b"Host", self.address.encode())]
        stream.enqueue(h11.Request(method=b"GET", target=target, headers=headers), h11.EndOfMessage())
        while not stream.write():
            yield from self._wait(answer_due)

    def _wait(self, until: float) -> Coroutine[None]:
        """Wait for the socket; raise `WatchEndedError` at `until`, or when the watch is closed."""
        while True:
            message = yield until
            if message is None:
                raise WatchEndedError(WatchEndReason.SILENT)
            if message is CLOSE:
                raise WatchEndedError(WatchEndReason.REPLACED)
            if isinstance(message, SocketReady):
                return

    def _receive_response(self, response: h11.Response) -> None:
        if response.status_code != 200:
            raise WatchEndedError(WatchEndReason.REJECTED, response.status_code)
        self.answered = True
        self.context.log("list.answered", waited_s=round(self.loop.now() - self.opened_at, 3))
        self.context.discovery.post(WatchAnswered(self))

    def _receive_data(self, data: bytes) -> None:
        try:
            for line in self.decoder.feed(data):
                message = self.decoder.decode_line(line)
                if message is not None:
                    self._receive_message(message)
                self._end_line()
        except MessageTooLongError as error:
            raise WatchEndedError(WatchEndReason.LINE_TOO_LONG) from error
        except UnreadableMessageError as error:
            # The last good list stays in force, and the next call asks for the whole list.
            self.version = 0
            self.context.log("list.unreadable", error=str(error))
            raise WatchEndedError(WatchEndReason.UNREADABLE) from error

    def _receive_message(self, message: DiscoveryMessage) -> None:
        if message.version < self.version and not message.full:
            # Changes out of order could put a removed endpoint back: the next call asks for the whole list.
            self.version = 0
            raise WatchEndedError(WatchEndReason.WENT_BACK)
        self.version = message.version
        self.context.log(
            "list.news", version=message.version, full=message.full, entries=len(message.endpoints)
        )
        self.context.discovery.post(WatchMessage(self, message))

    def _end_line(self) -> None:
        """A line is complete: unless it lies within an object, all changes up to now are known."""
        if self.decoder.within_object:
            return
        # What follows in the same read is another message, which may itself be cut off.
        self.complete_message_at, self.incomplete_since = self.incomplete_since or self.read_at, 0.0
        if self is self.context.discovery.current_watch:
            self.prove()

    def _note_incomplete(self, stream: Stream) -> None:
        """All that came is read. A message that breaks off or stalls must not go unnoticed."""
        incomplete = self.decoder.unread_bytes or stream.http.trailing_data[0]
        if not (self.answered and incomplete):
            self.incomplete_since = 0.0
        elif not self.incomplete_since:
            self.incomplete_since = self.read_at
            self.context.lease.begin_message(self.read_at)
