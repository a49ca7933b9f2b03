"""The links of one member: listening, dialing, and identification of the other side.

There is one TCP connection for each pair of members that need a link. It carries length-prefixed MessagePack
frames. A frame that cannot be decoded or is too long, another protocol version or fleet, or an unknown member
ends the link with a reason code.
"""

from __future__ import annotations

import contextlib
import random
import socket
from collections import Counter
from collections.abc import Callable
from math import inf

from ....fleet.frames import Frame, HeartbeatFrame, HelloFrame, PolicyQueryFrame
from ....fleet.membership import MembershipView
from ...actor import Actor, Coroutine
from ...loop import READ, Loop, SocketReady
from ...messages import CLOSE
from ..messages import (
    PROBE_LINK,
    REQUEST_POLICY_STATUS,
    DialMember,
    LinkDown,
    LinkUp,
    MemberUnreachable,
    ViewChanged,
)
from .dialer import LinkDialer
from .errors import (
    NO_LISTENER_REASONS,
    PROCESS_END_REASONS,
    UNLOGGED_REASONS,
    LinkEndReason,
    LinkRejectedError,
)
from .liveness_check import LivenessCheck
from .peer_link import PeerLink
from .timing import MAX_PENDING_LINKS, POLICY_REFRESH_INTERVAL


class LinkManager(Actor):
    """Listens, and maintains a link to each member of our shard, and to other members while needed.

    Of two simultaneous dials, both sides keep the one of the member with the smaller id.
    """

    daemon = True

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        hello: HelloFrame,
        notify: Callable[[object], None],
        make_heartbeat: Callable[[str, bool], HeartbeatFrame],
        answer_query: Callable[[PolicyQueryFrame], list[Frame]],
        log: Callable[..., None],
        rng: random.Random,
    ) -> None:
        """Listen on `sock`.

        `hello` is sent at the start of each link. `notify` is called with messages for the member's host.
        `make_heartbeat` returns the heartbeat for a member, with our policy status if the second argument is
        true. `answer_query` returns the answer to a policy query of a member without a link.
        """
        self.sock = sock
        self.hello = hello
        self.notify = notify
        self.make_heartbeat = make_heartbeat
        self.answer_query = answer_query
        self.log = log
        self.source = sock.getsockname()[0]
        self.view = MembershipView()
        self.peers: frozenset[str] = frozenset()  # the other members of our shard
        self.links: dict[str, PeerLink] = {}  # established links by member
        self.pending: dict[PeerLink, None] = {}  # accepted connections without a hello, oldest first
        self.dialer = LinkDialer(self, rng, lambda member: self.notify(MemberUnreachable(member)))
        self.policy_requested_at = -inf
        self.reasons: Counter[str] = Counter()
        sock.setblocking(False)
        loop.register(sock.fileno(), self, READ)
        super().__init__(loop)

    def run(self) -> Coroutine[None]:
        """Accept links, and dial those that the view or the host requires."""
        while True:
            message = yield self.dialer.next_at()
            if isinstance(message, SocketReady):
                self._accept()
            elif isinstance(message, ViewChanged):
                self._change_view(message.view)
            elif isinstance(message, DialMember):
                self.dialer.require_link(message.member)
            self.dialer.run_due()

    def _change_view(self, view: MembershipView) -> None:
        self.view = view
        self.peers = frozenset(view.peers(self.hello.member))
        self.dialer.view_changed()

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError, OSError):
            while True:
                sock, _ = self.sock.accept()
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if len(self.pending) >= MAX_PENDING_LINKS:
                    # Connections that send no hello must not prevent members from connecting.
                    next(iter(self.pending)).post(CLOSE)
                PeerLink(self, sock, "").begin()

    def is_in_other_shard(self, member: str) -> bool:
        """Return whether the member is in another shard of the view. False if it is not in the view."""
        return member in self.view and member not in self.peers

    def request_policy_status(self) -> bool:
        """Request the policy status of all linked members.

        Return whether to wait for answers: not if there is no link, or if a recent request is still fresh.
        """
        now = self.loop.now()
        if now < self.policy_requested_at + POLICY_REFRESH_INTERVAL:
            return False
        self.policy_requested_at = now
        for link in self.links.values():
            link.post(REQUEST_POLICY_STATUS)
        return bool(self.links)

    # Called by links.

    def check_compatible(self, fleet: str, version: int) -> None:
        """Raise `LinkRejectedError` for a member of another fleet or protocol version."""
        if fleet != self.hello.fleet:
            raise LinkRejectedError(LinkEndReason.OTHER_FLEET)
        if version != self.hello.version:
            raise LinkRejectedError(LinkEndReason.OTHER_VERSION)

    def identify(self, link: PeerLink, hello: HelloFrame) -> str:
        """Return the id of the member at the other side. Raises `LinkRejectedError` to reject its link."""
        self.check_compatible(hello.fleet, hello.version)
        if link.member and hello.member != link.member:
            raise LinkRejectedError(LinkEndReason.UNEXPECTED_MEMBER)
        # Our hello may be older than our view. Both sides compare the same two hellos.
        if not hello.shard_count == link.shard_count == self.view.shard_count:
            raise LinkRejectedError(LinkEndReason.OTHER_SHARD_COUNT)
        if hello.member not in self.view:
            # The member may be in a newer view that we have not received yet; it dials again.
            raise LinkRejectedError(LinkEndReason.UNKNOWN_MEMBER)
        if not link.dialed and hello.member > self.hello.member:
            self._check_accepts_dial(hello.member)
        return hello.member

    def _check_accepts_dial(self, member: str) -> None:
        """Raise `LinkRejectedError` if the dial of a member with a greater id is not accepted."""
        if member in self.peers:
            raise LinkRejectedError(LinkEndReason.WRONG_DIRECTION)
        if (link := self.links.get(member)) is not None:
            # The link may have ended on the other side only, which a frame sent on it reveals.
            link.post(PROBE_LINK)
        if link is not None or member in self.dialer.dialing:
            # If it were accepted, each side could end its own dial in favour of the other side's.
            raise LinkRejectedError(LinkEndReason.SIMULTANEOUS_DIAL)

    def link_established(self, link: PeerLink) -> None:
        """Register a link after its handshake. It replaces an earlier link to the same member."""
        member = link.member
        previous = self.links.get(member)
        self.pending.pop(link, None)
        self.links[member] = link
        self.dialer.link_established(link)
        if previous is not None:
            previous.post(CLOSE)
            self.notify(LinkDown(member, previous))
        if not self.is_in_other_shard(member):
            self.log("link.up", member=member)
        self.notify(LinkUp(member, link))

    def link_ended(self, link: PeerLink | None, member: str, reason: str) -> None:
        """Handle a link that has ended, or could not be opened (None). `member`: empty if not identified."""
        self.reasons[reason] += 1
        no_listener = reason in NO_LISTENER_REASONS
        if link is not None:
            self.pending.pop(link, None)
            # A listening member sends a hello even to a member whose link it rejects.
            if link.dialed and not link.hello_received and reason in PROCESS_END_REASONS:
                no_listener = True
            self.dialer.link_ended(link, member)
        if link is not None and self.links.get(member) is link:
            self._remove(link, reason)
        elif reason not in UNLOGGED_REASONS:
            self.log("link.refused", member=member, reason=reason)
        if member in self.view and member not in self.links:
            self.dialer.retry(member, no_listener)

    def _remove(self, link: PeerLink, reason: str) -> None:
        member = link.member
        del self.links[member]
        # Idle links close too often to be logged: as often as requests come and go.
        if reason != LinkEndReason.IDLE:
            self.log("link.down", member=member, reason=reason)
        self.notify(LinkDown(member, link))
        if reason in PROCESS_END_REASONS and member in self.view:
            LivenessCheck(self, self.view.members[member]).begin()
