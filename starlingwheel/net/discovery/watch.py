"""One call to discovery: opens a watch, reads its messages and passes them to the discovery client.

`DiscoveryWatch` owns the connection of the call, and renews the lease of the endpoint list while it is the
watch in use.
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
    """Why a watch ended, other than by the loss of its connection (`CloseReason`). The values are logged."""

    SILENT = "silent"  # nothing arrived in time
    REPLACED = "replaced"  # another watch took its place
    ENDED = "ended"  # discovery ended it
    REJECTED = "answered"  # discovery responded with an error, whose status the log adds
    LINE_TOO_LONG = "line-too-long"
    UNREADABLE = "unreadable"
    WENT_BACK = "went-back"  # a message had an earlier version than the one before


class WatchEndedError(Exception):
    """The end of the watch, raised where it is determined."""

    def __init__(self, reason: WatchEndReason, status: int = 0) -> None:
        """Record the reason, and the status of an error response."""
        super().__init__(reason)
        self.reason, self.status = reason, status


class DiscoveryWatch(Actor):
    """One call to discovery, from its connection to its end."""

    # A change counts as notified once discovery has written it, so it is read before new requests.
    priority = True

    def __init__(
        self,
        context: SidecarContext,
        address: str,
        version: int,
        answer_timeout: float,
        silence_timeout: float,
    ) -> None:
        """Prepare a call for changes after `version`; 0 requests the whole list.

        The call waits `answer_timeout` seconds for its answer. A watch counts as dead after `silence_timeout`
        seconds without a byte.
        """
        self.context, self.address, self.version = context, address, version
        self.answer_timeout, self.silence_timeout = answer_timeout, silence_timeout
        self.stream: Stream | None = None
        self.reason: CloseReason | WatchEndReason = CloseReason.DEFECT  # why the watch ended
        self.error_status = 0  # status of the error response that ended the watch; 0: there was none
        self.answered = False  # the response head has arrived
        self.incomplete_since = 0.0  # when the first bytes of an incomplete message arrived; 0: there is none
        self.complete_message_at = 0.0  # when the first bytes of the last complete message arrived
        self.has_renewed_lease = False  # this watch has renewed the lease
        self.opened_at = context.loop.now()
        self.read_at = self.opened_at  # when input was last read
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

    def renew_lease(self) -> None:
        """Renew the lease, as this watch is the one in use and has delivered all changes up to now."""
        self.has_renewed_lease = True
        self.context.lease.renew(self.read_at, self.complete_message_at)
        if self.incomplete_since:
            self.context.lease.note_message_started(self.incomplete_since)
        self.context.gate.update_lease_state()

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
            unread_bytes=self.decoder.unread_bytes,  # of a message that is incomplete
        )

    def _watch(self) -> Coroutine[None]:
        """Connect and read until `ConnectionLostError` or `WatchEndedError` is raised."""
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
            # The last valid list stays in effect, and the next call requests the whole list.
            self.version = 0
            self.context.log("list.unreadable", error=str(error))
            raise WatchEndedError(WatchEndReason.UNREADABLE) from error

    def _receive_message(self, message: DiscoveryMessage) -> None:
        if message.version < self.version and not message.full:
            # Changes out of order could restore a removed endpoint, so the next call requests the whole list.
            self.version = 0
            raise WatchEndedError(WatchEndReason.WENT_BACK)
        self.version = message.version
        self.context.log(
            "list.news", version=message.version, full=message.full, entries=len(message.endpoints)
        )
        self.context.discovery.post(WatchMessage(self, message))

    def _end_line(self) -> None:
        """Record the end of a line; unless it lies within an object, all changes up to now are known."""
        if self.decoder.within_object:
            return
        # Input after the line in the same read belongs to another message, which may be incomplete.
        self.complete_message_at, self.incomplete_since = self.incomplete_since or self.read_at, 0.0
        if self is self.context.discovery.current_watch:
            self.renew_lease()

    def _note_incomplete(self, stream: Stream) -> None:
        """Record when an incomplete message began, once all input is read.

        The lease must take account of a message that is cut off or stalls.
        """
        incomplete = self.decoder.unread_bytes or stream.http.trailing_data[0]
        if not (self.answered and incomplete):
            self.incomplete_since = 0.0
        elif not self.incomplete_since:
            self.incomplete_since = self.read_at
            self.context.lease.note_message_started(self.read_at)
