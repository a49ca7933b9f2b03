"""Links between sidecars: one kept TCP connection a pair, frames of MessagePack behind their length.

What can't be read, is too long, of another version or fleet, or from a stranger ends the link with a reason
code.
"""

from __future__ import annotations

import contextlib
import errno
import random
import socket
from collections import Counter
from collections.abc import Callable
from math import inf
from typing import Any

import msgspec

from ...fleet.frames import (
    LONGEST,
    DecisionFrame,
    Frame,
    HeartbeatFrame,
    HelloFrame,
    LinkIdleFrame,
    PolicyQueryFrame,
    PolicyStatusFrame,
)
from ...fleet.membership import Member, MembershipView
from ..actor import Actor, Coroutine
from ..http.stream import ConnectionLostError, connect
from ..loop import READ, WRITE, Loop, SocketReady
from ..messages import CLOSE
from .messages import (
    CHECK_LINKS,
    PROBE_LINK,
    RESUME_DIALING,
    DialMember,
    EvictMember,
    FrameReceived,
    LinkDown,
    LinkUp,
    MemberUnreachable,
    SendFrame,
    ViewChanged,
)

BEAT = 0.1  # seconds between words, on a link with something at stake, when there is nothing else to say
IDLE = (1.0, 10.0)  # the same on any other link: with few links, and at most
A_SECOND = 5  # such words a second over all links: guards against a standing cost that grows with the fleet
ANSWER = (
    IDLE[0] / 2
)  # seconds of our own silence after which a beat is answered: one segment acknowledges it too
REST = 1.0  # seconds without a word about work after which a link outside our cell ends, once both are idle
WARY_EACH = 1 / 320  # seconds a link, where the words of others are needed: ten a second in a small fleet
SILENCE = 3.0  # times those without a byte after which a link counts as lost
ROUSED = 0.5  # seconds for which words that were asked for over all links are young enough to be passed on
STAKE = 2.0  # seconds after a word about work for which something is at stake
GREETING = 1.0  # seconds within which a link comes up and both have said who they are
PAUSE = (0.02, 0.5)  # seconds before a link is tried again: the first, and where the doubling ends
UNSENT = 8 * LONGEST  # bytes that wait for a slow member, at most
MOST = 64  # links that have not said yet whose they are
CHUNK = 65536
ENDED = ("reset", "closed")  # how links end whose member's process does
GONE = ("refused", "unreachable")  # how calls end where nobody listens
QUIET = ("refused", "never-came-up", "stranger", "asked", "crossed", "replaced")  # no lines of the log
HEAD = 4  # bytes of a length

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Frame)


class LinkRejectedError(Exception):
    """A link that ends; the text is its reason code."""


def encode_frame(frame: Frame) -> bytes:
    body = encoder.encode(frame)
    return len(body).to_bytes(HEAD, "big") + body


class FrameReader:
    """Bytes into frames. Raises `Refused` for what is no frame of ours."""

    def __init__(self) -> None:
        self.held = bytearray()

    def read(self, data: bytes) -> list[Frame]:
        self.held += data
        frames = []
        while len(self.held) >= HEAD:
            length = int.from_bytes(self.held[:HEAD], "big")
            if not 0 < length <= LONGEST:
                raise LinkRejectedError("too-long" if length else "empty")
            if len(self.held) < HEAD + length:
                break
            try:
                frames.append(decoder.decode(bytes(self.held[HEAD : HEAD + length])))
            except (msgspec.DecodeError, UnicodeDecodeError, ValueError, OverflowError) as error:
                raise LinkRejectedError("unreadable") from error
            del self.held[: HEAD + length]
        return frames


class LinkManager(Actor):
    """Listens, and keeps a link to each member of our cell; to others while they are needed.

    In the cell the member with the smaller id calls. Outside it either does, when there is work: of two calls
    that cross, both keep the one of the member with the smaller id.
    """

    daemon = True

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        member_id: HelloFrame,
        tell: Callable[[Any], None],
        beat: Callable[[str, bool], HeartbeatFrame],
        says: Callable[[PolicyQueryFrame], list[Frame]],
        log: Callable[..., None],
        rng: random.Random,
    ) -> None:
        """`tell` takes mail for who decides; `beat`: what to say to a member when there is nothing else.

        Its second argument: that member may need our word on the policy. `says`: what one is told that has
        no link with us and asks which policy holds.
        """
        self.sock, self.member_id, self.tell, self.beat, self.log, self.rng = (
            sock,
            member_id,
            tell,
            beat,
            log,
            rng,
        )
        self.says = says
        self.source = sock.getsockname()[0]
        self.view = MembershipView()
        self.peers: frozenset[str] = frozenset()  # the others of our cell
        self.links: dict[str, PeerLink] = {}  # those that are up
        self.new: dict[PeerLink, None] = {}  # calls of others that have not said whose they are
        self.calls: dict[str, PeerLink] = {}  # calls of ours that are not up yet
        self.wanted: dict[str, float] = {}  # outside links that are needed, and until when each may come up
        self.calling: dict[str, tuple[float, float]] = {}  # when to try each again, and the pause after that
        self.roused_at = -inf
        self.reasons: Counter[str] = Counter()
        sock.setblocking(False)
        loop.register(sock.fileno(), self, READ)
        super().__init__(loop)

    def run(self) -> Coroutine[None]:
        while True:
            times = [at for at, _ in self.calling.values()]
            message = yield min([*times, *self.wanted.values()], default=None)
            if isinstance(message, SocketReady):
                self._accept()
            elif isinstance(message, ViewChanged):
                self._viewed(message.view)
            elif isinstance(message, DialMember):
                self._reach(message.member)
            self._call()
            for member in [m for m, until in self.wanted.items() if until <= self.loop.now()]:
                self._unreached(member)

    def _viewed(self, view: MembershipView) -> None:
        self.view, self.peers = view, frozenset(view.peers(self.member_id.member))
        for member in [member for member in self.wanted if member not in view]:
            self._unreached(member)
        now = self.loop.now()
        calls = {m for m in {*self.peers, *self.wanted} if self._calls(m)}
        self.calling = {m: self.calling.get(m, (now, PAUSE[0])) for m in calls - self.links.keys()}

    def outside(self, member: str) -> bool:
        """A member of another cell. Whoever is in no view is none: its link stays as long as it does."""
        return member in self.view and member not in self.peers

    def _calls(self, member: str) -> bool:
        """Whether it is us who call."""
        return member > self.member_id.member if member in self.peers else member in self.wanted

    def _reach(self, member: str) -> None:
        if member in self.links or member == self.member_id.member:
            return
        now = self.loop.now()
        self.wanted.setdefault(member, now + GREETING)
        if member not in self.view:
            self._unreached(member)
        elif self._calls(member):
            self.calling.setdefault(member, (now, PAUSE[0]))

    def _unreached(self, member: str) -> None:
        del self.wanted[member]
        if member not in self.peers:
            self.calling.pop(member, None)
            if (call := self.calls.get(member)) is not None:
                call.post(CLOSE)
        self.tell(MemberUnreachable(member))

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError, OSError):
            while True:
                sock, _ = self.sock.accept()
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if len(self.new) >= MOST:
                    # Guards against strangers that say nothing keeping out members.
                    next(iter(self.new)).post(CLOSE)
                PeerLink(self, sock, "").begin()

    def _call(self) -> None:
        now = self.loop.now()
        for member, (at, pause) in list(self.calling.items()):
            if at > now or member in self.calls:
                continue
            self.calling[member] = (now + GREETING + pause, min(2 * pause, PAUSE[1]))
            try:
                # From the address that we listen on: others tell links apart by it.
                sock = connect(self.view.members[member].address, self.source)
            except ConnectionLostError:
                self.lost(None, member, "unreachable")
                continue
            PeerLink(self, sock, member).begin()

    def each(self, seconds: float, link: float) -> float:
        """How often something is said that all links say: seconds, at least so many a link."""
        return max(seconds, len(self.links) * link)

    def idle(self) -> float:
        """Seconds between words on a link with nothing at stake."""
        return min(self.each(IDLE[0], 1 / A_SECOND), IDLE[1])

    # What links say.

    def rouse(self) -> bool:
        """Have all that we have links with say their words on the policy; False: they have, lately."""
        now = self.loop.now()
        if now < self.roused_at + ROUSED:
            return False
        self.roused_at = now
        for link in self.links.values():
            link.post(RESUME_DIALING)
        return bool(self.links)

    def named(self, link: PeerLink, hello: HelloFrame) -> str:
        """Whose it is; raises `Refused` for whom we have no link with."""
        if hello.fleet != self.member_id.fleet:
            raise LinkRejectedError("other-fleet")
        if hello.version != self.member_id.version:
            raise LinkRejectedError("other-version")
        if link.member and hello.member != link.member:
            raise LinkRejectedError("not-who-was-called")
        # What we said may be older than our view: both sides judge by the same two words.
        if not hello.cells == link.cells == self.view.cells:
            raise LinkRejectedError("other-cells")
        if hello.member not in self.view:
            # It may be in a view that we have not seen yet; it calls again.
            raise LinkRejectedError("stranger")
        if not link.called and hello.member > self.member_id.member:
            self._answerable(hello.member)
        return hello.member

    def _answerable(self, member: str) -> None:
        """Raises `Refused` for the call of a member with a greater id that is not to be answered."""
        if member in self.peers:
            raise LinkRejectedError("wrong-way")
        if (link := self.links.get(member)) is not None:
            # Guards against a link that has ended on its side alone: a word on it shows that.
            link.post(PROBE_LINK)
        if link is not None or member in self.calls:
            # Guards against both ending their own call for the other's.
            raise LinkRejectedError("crossed")

    def up(self, link: PeerLink) -> None:
        member = link.member
        before = self.links.get(member)
        self.new.pop(link, None)
        self.links[member] = link
        self.calling.pop(member, None)
        self.wanted.pop(member, None)
        call = self.calls.pop(member, None)
        if call is not None and call is not link:
            call.post(CLOSE)
        if before is not None:
            before.post(CLOSE)
            self.tell(LinkDown(member, before))
        if not self.outside(member):
            self.log("link.up", member=member)
        self.tell(LinkUp(member, link))

    def lost(self, link: PeerLink | None, member: str, reason: str) -> None:
        self.reasons[reason] += 1
        gone = reason in GONE
        if link is not None:
            self.new.pop(link, None)
            # Whoever listens greets, also whom it refuses.
            gone = gone or (link.called and not link.greeted and reason in ENDED)
            if self.calls.get(member) is link:
                del self.calls[member]
        if link is not None and self.links.get(member) is link:
            del self.links[member]
            # At rest: as often as work comes and goes.
            if reason != "at-rest":
                self.log("link.down", member=member, reason=reason)
            self.tell(LinkDown(member, link))
            if reason in ENDED and member in self.view:
                LinkDialer(self, self.view.members[member]).begin()
        elif reason not in QUIET:
            self.log("link.refused", member=member, reason=reason)
        if member not in self.view or member in self.links:
            return
        if gone and member in self.wanted and member not in self.peers:
            self._unreached(member)
        elif self._calls(member):
            _, pause = self.calling.get(member, (0.0, PAUSE[0]))
            self.calling[member] = (self.loop.now() + pause * (0.5 + self.rng.random()), pause)
            self.post(None)  # it waits for a time anew


class LinkDialer(Actor):
    """Sees whether anybody listens where a member did whose link was reset.

    Whoever listens greets. A refusal, or an end without a word, says that its process has ended, sooner than
    its lease does; silence says nothing. One that was struck wrongly enters anew.
    """

    def __init__(self, links: LinkManager, member: Member) -> None:
        self.links, self.member = links, member
        super().__init__(links.loop)

    def run(self) -> Coroutine[None]:
        try:
            sock = connect(self.member.address)
        except ConnectionLostError as lost:
            if isinstance(lost.__cause__, ConnectionRefusedError):
                self._strike()  # on one machine a refusal comes at once
            return
        try:
            self.loop.register(sock.fileno(), self, WRITE)
            until = self.loop.now() + GREETING
            if (yield until) is not None:
                self.loop.modify(sock.fileno(), READ)
                if (yield until) is not None and self._ended(sock):
                    self._strike()
        finally:
            self.loop.unregister(sock.fileno())
            sock.close()

    def _strike(self) -> None:
        if self.member.id in self.links.view:
            self.links.log("member.gone", member=self.member.id)
            self.links.tell(EvictMember(self.member))

    def _ended(self, sock: socket.socket) -> bool:
        try:
            return not sock.recv(1)
        except BlockingIOError:
            return False
        except OSError as error:
            return error.errno in (errno.ECONNREFUSED, errno.ECONNRESET)


class MemberQuery(Actor):
    """Asks one that we have no link with which policy it follows."""

    def __init__(self, links: LinkManager, address: str, known: int) -> None:
        self.links, self.address = links, address
        self.asks = PolicyQueryFrame(links.member_id.fleet, links.member_id.version, known)
        super().__init__(links.loop)

    def run(self) -> Coroutine[None]:
        try:
            sock = connect(self.address, self.links.source)
        except ConnectionLostError:
            return
        reader, until = FrameReader(), self.loop.now() + GREETING
        try:
            self.loop.register(sock.fileno(), self, WRITE)
            if (yield until) is None:
                return
            sock.send(encode_frame(self.asks))  # less than any buffer
            self.loop.modify(sock.fileno(), READ)
            while (yield until) is not None:
                with contextlib.suppress(BlockingIOError):
                    if not (data := sock.recv(CHUNK)):
                        return
                    for frame in reader.read(data):
                        if isinstance(frame, PolicyStatusFrame | DecisionFrame):
                            self.links.tell(FrameReceived("", frame))
        except (OSError, LinkRejectedError):
            pass
        finally:
            self.loop.unregister(sock.fileno())
            sock.close()


class PeerLink(Actor):
    """One connection to a member, from its first byte to its end."""

    priority = True
    messages_per_turn = 32

    def __init__(self, links: LinkManager, sock: socket.socket, member: str) -> None:
        self.links, self.sock, self.member = links, sock, member
        self.called, self.greeted = bool(member), False
        self.cells = links.view.cells  # as we say in our greeting
        self.reader = FrameReader()
        self.early: list[Frame] = []  # what came with the greeting
        self.unsent = bytearray()
        self.mask = 0
        self.heard = self.said = self.beaten = 0.0
        self.quick_since, self.quick_until = 0.0, -inf  # something is at stake
        self.wary_until = -inf  # one of us may need the other's word
        self.worked = -inf  # when a word about work came or went last
        self.idle = [False, False]  # since then we, and they, have said that nothing needs this link
        self.over = self.rested = False
        if self.called:
            links.calls[member] = self
        else:
            links.new[self] = None
        super().__init__(links.loop)

    def run(self) -> Coroutine[None]:
        reason = "stopped"
        try:
            yield from self._greet()
            self.links.up(self)
            yield from self._talk()
        except LinkRejectedError as refused:
            reason = str(refused)
            if self.rested:
                self.over = True
                self.links.lost(self, self.member, reason)
                yield from self._linger()
        except OSError:
            reason = "reset"
        except Exception:
            reason = "defect"
            raise
        finally:
            self.loop.unregister(self.sock.fileno())
            self.sock.close()
            if not self.over:
                self.over = True
                self.links.lost(self, self.member, reason)

    def _greet(self) -> Coroutine[None]:
        """Until both know each other. A call is up once the other side has said more than its greeting."""
        until = self.loop.now() + GREETING
        if self.called:
            self._want(WRITE)
            while not isinstance(message := (yield until), SocketReady):
                self._still_wanted(message, until, "never-came-up")
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise LinkRejectedError("refused")
        hello = msgspec.structs.replace(self.links.member_id, cells=self.cells)
        self._send(encode_frame(hello))
        self._want(READ)
        while not self.greeted or (self.called and not self.early):
            message = yield until
            if not isinstance(message, SocketReady):
                self._still_wanted(message, until, "no-greeting")
                continue
            for frame in self._receive():
                if self.greeted:
                    self.early.append(frame)
                    continue
                if isinstance(frame, PolicyQueryFrame) and not self.called:
                    yield from self._say(frame, until)
                if not isinstance(frame, HelloFrame):
                    raise LinkRejectedError("no-greeting")
                self.greeted = True
                self.member = self.links.named(self, frame)

    def _still_wanted(self, message: Any, until: float, late: str) -> None:
        if message is CLOSE:
            raise LinkRejectedError("replaced" if self.member in self.links.links else "not-needed")
        if message is None and self.loop.now() >= until:
            raise LinkRejectedError(late)

    def _say(self, asked: PolicyQueryFrame, until: float) -> Coroutine[None]:
        """What one that is in no view may know: which policy we follow, others say, and what is decided."""
        if asked.fleet != self.links.member_id.fleet:
            raise LinkRejectedError("other-fleet")
        if asked.version != self.links.member_id.version:
            raise LinkRejectedError("other-version")
        if self.links.rouse():
            at = self.loop.now() + BEAT
            while self.loop.now() < at:
                yield at
        for frame in self.links.says(asked):
            self._send(encode_frame(frame))
        while self.unsent and self.loop.now() < until:
            if isinstance((yield until), SocketReady):
                self._flush()
        raise LinkRejectedError("asked")

    def _talk(self) -> Coroutine[None]:
        self.heard = self.said = self.worked = self.loop.now()
        if not self.called:
            self._beat(self.said)  # which tells who called that it is up
        self._take(self.early)
        while True:
            now = self.loop.now()
            lost_at = self.heard + SILENCE * self.links.idle()
            if now < self.quick_until and not self._resting:
                lost_at = max(self.heard, self.quick_since) + SILENCE * BEAT
            if now >= lost_at:
                raise LinkRejectedError("silent")
            if now >= self._beat_at(now):
                self._beat(now)
            rest_at = self.worked + REST if self._resting else inf
            if now >= rest_at and not self.mailbox:
                self._rest(now)
            message = yield min(self._beat_at(now), lost_at, rest_at)
            if isinstance(message, SendFrame):
                self._quicken()
                self._send(message.data)
            elif message is CHECK_LINKS:
                self.wary_until = self.loop.now() + STAKE
            elif message is PROBE_LINK or message is RESUME_DIALING:
                self._beat(self.loop.now(), asks=message is RESUME_DIALING)
            elif isinstance(message, SocketReady):
                if message.mask & WRITE:
                    self._flush()
                if message.mask & ~WRITE:
                    self._take(self._receive())
            elif message is CLOSE:
                raise LinkRejectedError("replaced")

    def _beat(self, now: float, worded: bool = False, asks: bool = False) -> None:
        """`worded`: with our word on the policy; `asks`: for that of the other side."""
        beat = self.links.beat(self.member, worded or now < self.wary_until)
        if asks:
            beat = msgspec.structs.replace(beat, asks=True)
        if beat.lapsed:
            self.wary_until = now + STAKE
        self.idle[0], self.beaten = beat.idle, now
        self._send(encode_frame(beat))

    def _beat_at(self, now: float) -> float:
        # The other side may think of it as at stake for a moment longer: we go on beating for that.
        if now < self.quick_until + SILENCE * BEAT and not self._resting:
            at = self.said + BEAT
        else:
            at = self.said + self.links.idle()
        if now < self.wary_until:
            # Guards against words about work taking the place of those that a lapsed lease is made up by.
            at = min(at, self.beaten + self.links.each(BEAT, WARY_EACH))
        return at

    @property
    def _resting(self) -> bool:
        """Outside our cell, and neither side needs it."""
        return all(self.idle) and self.links.outside(self.member)

    def _rest(self, now: float) -> None:
        if not self.links.beat(self.member, False).idle:
            self.worked, self.idle[0] = now, False  # it is needed since we said that it is not
            return
        self._send(encode_frame(LinkIdleFrame()))
        self.rested = True
        raise LinkRejectedError("at-rest")

    def _linger(self) -> Coroutine[None]:
        """Until the other side has read our last word. What comes meanwhile it says again, on a new link.

        Guards against a reset, which says that our process has ended.
        """
        until = self.loop.now() + GREETING
        with contextlib.suppress(OSError):
            while self.unsent and self.loop.now() < until:
                yield until
                self._flush()
            self.sock.shutdown(socket.SHUT_WR)
            while isinstance((yield until), SocketReady) or self.loop.now() < until:
                with contextlib.suppress(BlockingIOError):
                    if not self.sock.recv(CHUNK):
                        return

    def _quicken(self) -> None:
        now = self.loop.now()
        if now >= self.quick_until or all(self.idle):
            self.quick_since = now
        self.quick_until = now + STAKE
        self.worked, self.idle = now, [False, False]

    def _take(self, frames: list[Frame]) -> None:
        for frame in frames:
            if isinstance(frame, HelloFrame):
                raise LinkRejectedError("greeted-twice")
            if isinstance(frame, LinkIdleFrame):
                raise LinkRejectedError("at-rest")
            if not isinstance(frame, HeartbeatFrame):
                self._quicken()
            else:
                self.idle[1] = frame.idle
                if frame.lapsed:
                    self.wary_until = self.loop.now() + STAKE
                if frame.asks:
                    self._beat(self.loop.now(), worded=True)
            self.links.tell(FrameReceived(self.member, frame))
        if frames and self.loop.now() >= self.said + ANSWER:
            self._beat(self.loop.now())

    def _receive(self) -> list[Frame]:
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return []
        if not data:
            raise LinkRejectedError("closed")
        self.heard = self.loop.now()
        return self.reader.read(data)

    def _send(self, data: bytes) -> None:
        self.said = self.loop.now()
        self.unsent += data
        if len(self.unsent) > UNSENT:
            raise LinkRejectedError("too-slow")
        self._flush()

    def _flush(self) -> None:
        while self.unsent:
            try:
                count = self.sock.send(self.unsent[:CHUNK])
            except BlockingIOError:
                break
            del self.unsent[:count]
        self._want(READ | (WRITE if self.unsent else 0))

    def _want(self, mask: int) -> None:
        if not self.mask:
            self.loop.register(self.sock.fileno(), self, mask)
        elif mask != self.mask:
            self.loop.modify(self.sock.fileno(), mask)
        self.mask = mask
