"""The list of upstreams: one actor that has it watched when the decisions ask for it, one a watch."""

from __future__ import annotations

import re
from math import inf

import h11
import msgspec

from ...decisions.events import WatchEvent
from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..http.stream import ConnectionLostError, Stream, connect
from ..loop import READ, WRITE, SocketReady
from ..messages import (
    CLOSE,
    DiscoveryMoved,
    EndpointsChanged,
    WatchAnswered,
    WatchEnded,
    WatchEndpoints,
    WatchMessage,
)
from .messages import DiscoveryMessage

EMPTY_LINE = 2.0  # a watch says at least this often that it is alive
SILENT = 1.5  # times that, after which it is taken for dead
PATIENT = 2.0  # times that, for which a call waits for its turn at discovery
FIRST_PAUSE = 1 / 16  # times that, after which a new discovery is called again; it doubles
ANEW = 1 / 2  # times that, within which a watch that fell silent is opened anew
ENDED_ANEW = 1 / 4  # the same for one that ended: the lease of the list is shorter then
AGENT = 1 / 4  # times that, for which a call to what lists are pushed by waits at first; it doubles
UNHEARD = 6.0  # times that, after which a start does without that
# What discovery has counts as told 3 times that later, whatever call fails or hangs:
TWICE = 11 / 4  # times that, within which two calls begin while none is answered, so that one may hang
HANGS = 5 / 8  # times that, before which a call without an answer is not taken to hang
FIRST = TWICE - HANGS  # times that, within which the next begins, so that there is time for one more
SPREAD = 1 / 4  # times that, by which these come sooner by chance, so that not all sidecars call at once
LONGEST_LINE = 4 << 20
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DiscoveryWatch(Actor):
    """One call to discovery, from its connection to its end; what it reads goes to the list's actor."""

    priority = True  # a change counts as told once discovery has written it: it is read ahead of new work

    def __init__(
        self, context: SidecarContext, address: str, version: int, patience: float = PATIENT
    ) -> None:
        self.context, self.address, self.version, self.patience = context, address, version, patience
        self.stream: Stream | None = None
        self.reason = "defect"  # why it has ended
        self.heard = False  # its answer has begun
        self.message_at = 0.0  # when the first bytes came of a message that is not whole yet; 0: none
        self.whole_since = 0.0  # when those came of the last message that is whole
        self.proven = False  # what it says counts as proof of the list
        self.begun_at = self.read_at = context.loop.now()  # the latter: when something was read last
        self.line = b""  # what has come of a line that is not whole yet
        self.part = b""  # of an object that lies over several lines
        self.depth = 0  # its brackets that are open
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        try:
            yield from self._follow()
        except ConnectionLostError as lost:
            self.reason = str(lost)
        except GeneratorExit:
            self.reason = "stopped"
            raise
        finally:
            if self.stream is not None:
                self.stream.close()
            self._log_end()
            self.context.discovery.post(WatchEnded(self))

    def _log_end(self) -> None:
        now = self.loop.now()
        self.context.log(
            "list.end",
            reason=self.reason,
            address=self.address,
            version=self.version,
            answered=self.heard,
            open_s=round(now - self.begun_at, 3),
            silent_s=round(now - self.read_at, 3),
            unread_bytes=len(self.part) + len(self.line),  # of a message that was cut off
        )

    def _await(self, until: float) -> Coroutine[None]:
        while True:
            message = yield until
            if message is None:
                raise ConnectionLostError("silent")
            if message is CLOSE:
                raise ConnectionLostError("replaced")
            if isinstance(message, SocketReady):
                return

    def _follow(self) -> Coroutine[None]:
        """Ends by `Lost` only."""
        sock = connect(self.address)
        self.stream = stream = Stream(self.loop, self, sock, h11.CLIENT, self.context.buffer_pool)
        stream.want(WRITE)
        given_up = self.loop.now() + EMPTY_LINE * self.patience
        yield from self._await(given_up)
        stream.came_up()
        target = f"/v1/endpoints?watch=1&from={self.version}"
        headers = [(b"Host", self.address.encode())]
        stream.put(h11.Request(method=b"GET", target=target, headers=headers), h11.EndOfMessage())
        while not stream.write():
            yield from self._await(given_up)
        stream.want(READ)
        while True:
            event = stream.event()
            if event is h11.NEED_DATA:
                self._note_incomplete()
                begun = stream.http.their_state is not h11.SEND_RESPONSE
                yield from self._await(self.read_at + EMPTY_LINE * SILENT if begun else given_up)
                if stream.read():
                    self.read_at = self.loop.now()
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ConnectionLostError(f"answered-{event.status_code}")
                self.heard = True
                self.context.log("list.answered", waited_s=round(self.loop.now() - self.begun_at, 3))
                self.context.discovery.post(WatchAnswered(self))
            elif isinstance(event, h11.Data):
                *whole, self.line = (self.line + bytes(event.data)).split(b"\n")
                if len(self.line) > LONGEST_LINE:
                    raise ConnectionLostError("line-too-long")
                for text in whole:
                    self._line(text)
                    self._end_message()
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise ConnectionLostError("ended")

    def _note_incomplete(self) -> None:
        """All that has come is read. Guards against acting on after a message that breaks off or stalls."""
        if not (self.heard and (self.line or self.part or self.stream.http.trailing_data[0])):
            self.message_at = 0.0
        elif not self.message_at:
            self.message_at = self.read_at
            self.context.lease.begin_message(self.read_at)

    def _end_message(self) -> None:
        """A line has come whole: all that discovery has told up to now is known."""
        if self.part:
            return
        # What follows in the same read is another message, which may break off by itself.
        self.whole_since, self.message_at = self.message_at or self.read_at, 0.0
        if self is self.context.discovery.current:
            self.prove()

    def prove(self) -> None:
        """This watch is in force, and the last line that has come of it is whole."""
        self.proven = True
        self.context.lease.prove(self.read_at, self.whole_since)
        if self.message_at:
            self.context.lease.begin_message(self.message_at)
        self.context.gate.note_state()

    def _line(self, text: bytes) -> None:
        if (word := self._word(text.strip())) is not None:
            self._heed(word)

    def _word(self, text: bytes) -> DiscoveryMessage | None:
        """What a line ends: an object lies on one, or, indented, over several. None: nothing yet.

        Raises `Lost` for what can't be read.
        """
        if not text:
            if self.part:
                raise self._unreadable("an empty line within an object")
            return None
        if text.startswith(b"{") and text.endswith(b"}"):
            try:
                word = msgspec.json.decode(text, type=DiscoveryMessage)
            except (msgspec.DecodeError, UnicodeDecodeError):
                pass  # a part of an object that is indented, or spoilt: told below
            else:
                if self.part:
                    raise self._unreadable("an object within another")
                return word
        bare = STRING.sub(b"", text)
        self.depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        self.part += text
        if len(self.part) > LONGEST_LINE:
            raise ConnectionLostError("line-too-long")
        if self.depth > 0:
            return None
        whole, self.part, self.depth = self.part, b"", 0
        try:
            return msgspec.json.decode(whole, type=DiscoveryMessage)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise self._unreadable(str(error)) from error

    def _unreadable(self, why: str) -> ConnectionLostError:
        """The last good list stays in force; the whole of it is asked for again."""
        self.version = 0
        self.context.log("list.unreadable", error=why)
        return ConnectionLostError("unreadable")

    def _heed(self, word: DiscoveryMessage) -> None:
        if word.version < self.version and not word.full:
            # Guards against changes out of order putting back what has left: the whole is asked for.
            self.version = 0
            raise ConnectionLostError("went-back")
        self.version = word.version
        self.context.log("list.news", version=word.version, full=word.full, entries=len(word.servers))
        self.context.discovery.post(WatchMessage(self, word))


class DiscoveryClient(Actor):
    """Keeps one watch in force, and moves to another discovery when a new configuration names one.

    While none is answered, two calls begin within `TWICE`, whatever became of those before: one begins beside
    another only where that hangs, and of the two the first that is answered stays.
    """

    priority = True
    daemon = True

    def __init__(self, context: SidecarContext, known: DiscoveryMessage | None) -> None:
        self.context, self.known = context, known
        self.version = known.version if known else 0
        self.address = context.config.discovery
        self.current: DiscoveryWatch | None = None  # the one whose word is taken
        self.coming: DiscoveryWatch | None = (
            None  # at the address of a new configuration; it has not spoken yet
        )
        self.beside: DiscoveryWatch | None = None  # a second call, where the one that is to be answered hangs
        self.moving = False
        self.move_at, self.pause = inf, 0.0
        self.since = inf  # when the call before began, or a watch was last known to be in force
        self.due = inf  # when the next call begins at the latest
        self.hangs = HANGS * EMPTY_LINE  # how long a call has to be without an answer to be taken to hang
        # Where the list comes unasked it is kept close by, and what is there counts as told at once.
        self.pushed = not context.balancer_config.must_watch_endpoints
        self.first = AGENT if self.pushed else PATIENT
        self.patience = self.first
        # What pauses between calls grow to; for what is pushed well within the grace, if that is said.
        grace = context.balancer_config.drain_grace / 4 if self.pushed else 0.0
        self.longest_pause = min(EMPTY_LINE, grace or EMPTY_LINE)
        self.without_at = inf  # when what was known is taken for want of a word
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        if self.pushed and self.current is None and self.coming is None:
            # The list comes unasked: the decisions never ask, so its watch is begun and kept up here.
            self._call()
        while True:
            match (yield min(self.move_at, self.due, self.without_at)):
                case None if self.loop.now() >= self.without_at:
                    self.context.lease.do_without()
                    self._begin_with(self.known)
                case None:
                    self._call()
                case WatchEndpoints() if self.current is None and not self.moving and self.move_at == inf:
                    self._call()
                case DiscoveryMoved(address):
                    self._relocated(address)
                case WatchAnswered(watch):
                    self._answered(watch)
                case WatchMessage(watch, word):
                    self._said(watch, word)
                case WatchEnded(watch):
                    self._ended(watch)

    def begin(self) -> None:
        self.context.lease.start(self.loop.now())
        if self.pushed and self.known is not None:
            # Guards against handing off to what has long been told to go: what is there counts as told from
            # the first moment, so what was known, which may be old, is not begun with while it may yet speak.
            self.without_at = self.loop.now() + UNHEARD * EMPTY_LINE
            self._begin_with(None)
        else:
            self._begin_with(self.known)
        super().begin()

    def _begin_with(self, known: DiscoveryMessage | None) -> None:
        """What was known last may be old, or nothing; the decisions begin with it."""
        if known is not None:
            self.without_at = inf
        entries = self.context.overrides.listed(True, known.servers if known else [])
        self.context.coordinator.post(EndpointsChanged(WatchEvent.SNAPSHOT, entries))

    @property
    def _asked(self) -> DiscoveryWatch | None:
        """The call that is to be answered. A new discovery is asked while the old watch still serves."""
        return self.coming if self.moving else self.current

    def _put(self, watch: DiscoveryWatch | None) -> None:
        if self.moving:
            self.coming = watch
        else:
            self.current = watch

    def _soon(self, times: float) -> float:
        """So many empty lines, or a little less."""
        return EMPTY_LINE * (times - SPREAD * self.context.rng.random())

    def _call(self) -> None:
        now = self.loop.now()
        before, self.since = min(self.since, now), now
        self.move_at = inf
        second = max(before + self._soon(TWICE), now + self.hangs)
        self.due = min(second, now + self._soon(FIRST))
        # A new discovery is asked for the whole list: its versions need not be those of the old one.
        watch = DiscoveryWatch(self.context, self.address, 0 if self.moving else self.version, self.patience)
        self.context.log("list.call", address=self.address, version=watch.version)
        if self._asked is None:
            self._put(watch)
        else:
            # Guards against what an answer that never comes holds back counting as told meanwhile.
            self._close(self.beside)
            self.beside = watch
            self.context.log("list.beside", address=self.address)
        watch.begin()

    def _close(self, watch: DiscoveryWatch | None) -> None:
        if watch is not None:
            watch.post(CLOSE)

    def _answered(self, watch: DiscoveryWatch) -> None:
        if watch is self.beside:
            self._close(self._asked)
            self._put(watch)
        elif watch is self._asked:
            self._close(self.beside)
        else:
            return
        self._waited(watch)
        self.beside, self.due = None, inf

    def _waited(self, watch: DiscoveryWatch) -> None:
        """Guards against a discovery that is busy being called twice for it: what waits does not hang."""
        waited = self.loop.now() - watch.begun_at
        self.hangs = min(max(HANGS * EMPTY_LINE, 2 * waited), PATIENT * EMPTY_LINE)

    def _relocated(self, address: str) -> None:
        self.address, self.moving, self.pause = address, True, FIRST_PAUSE * EMPTY_LINE
        self.since, self.patience = inf, self.first
        self.context.lease.move_source(self.loop.now())
        for watch in (self.coming, self.beside):
            self._close(watch)
        self.coming = self.beside = None
        self._call()

    def _said(self, watch: DiscoveryWatch, word: DiscoveryMessage) -> None:
        if watch is self.coming:
            self.context.lease.moved_source()
            # The old watch serves until the new one has spoken.
            before, self.current, self.coming, self.moving = self.current, watch, None, False
            self._close(before)
        if watch is self.current:
            self.version, self.pause, self.patience = word.version, 0.0, self.first
            if not watch.proven:
                watch.prove()  # it was not in force yet when the line was read
            if self.without_at < inf and not word.full:
                self._begin_with(self.known)  # it says what has changed since, be it nothing
            self.without_at = inf
            self.context.coordinator.post(
                EndpointsChanged(word.news, self.context.overrides.listed(word.full, word.servers))
            )

    def _ended(self, watch: DiscoveryWatch) -> None:
        now = self.loop.now()
        self._note_lost(watch, now)
        if watch in (self.beside, self._asked) and (watch.heard or watch.reason == "refused"):
            # What it has said until then is known, or it could not be reached until then.
            self.since = watch.read_at if watch.reason == "silent" else now
            self.due = now + self._soon(FIRST)
        elif watch in (self.beside, self._asked) and watch.reason != "silent":
            self._waited(watch)
        if watch is self.beside:
            self.beside = None
        elif watch is not self._asked:
            if watch is self.current:
                self.current = None
        elif self.beside is not None:
            self._put(self.beside)
            self.beside = None
        else:
            self._put(None)
            self._again(watch)

    def _note_lost(self, watch: DiscoveryWatch, now: float) -> None:
        """What the end of a call or a watch says of how long the list may be acted on."""
        lease = self.context.lease
        unreachable = watch.reason == "refused" or (self.pushed and watch.reason == "answered-503")
        if unreachable:
            lease.miss_source(now)
        elif watch is self.current and watch.heard:
            if watch.reason == "silent":
                lease.fall_silent(now)
            else:
                lease.end_watch(now, reset=watch.reason == "reset")
        self.context.gate.note_state()

    def _again(self, watch: DiscoveryWatch) -> None:
        """No call is on its way now."""
        now = self.loop.now()
        if self.moving:
            # Guards against a new discovery that is not up yet: its word counts as told in seconds.
            self.move_at = now + self.pause
            self.pause = min(2 * self.pause, EMPTY_LINE)
            if self.pushed:
                self.patience = min(2 * self.patience, PATIENT)
            return
        self.version = watch.version
        self.context.coordinator.post(EndpointsChanged(WatchEvent.FAILED, []))
        if self.pushed:
            self.patience = min(2 * self.patience, PATIENT)
            # Guards against all sidecars calling again in the same moment.
            self.pause = min(2 * self.pause or FIRST_PAUSE * EMPTY_LINE, self.longest_pause)
            self.move_at = now + self.pause * (0.5 + self.context.rng.random())
        elif watch.heard:
            # Guards against what it misses counting as told while the decisions still spread their calls
            # over the fleet. A silent watch is found at times spread by themselves; one that ended may have
            # ended instead of telling.
            times = ANEW if watch.reason == "silent" else ENDED_ANEW
            self.move_at = now + times * EMPTY_LINE * self.context.rng.random()
