"""Decides which members to dial, and when."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from ...http.errors import ConnectionLostError
from ...http.stream import connect
from ...messages import CLOSE
from .errors import LinkEndReason
from .peer_link import PeerLink
from .timing import HANDSHAKE_TIMEOUT, MAX_REDIAL_DELAY, MIN_REDIAL_DELAY

if TYPE_CHECKING:
    from .manager import LinkManager


class DialAttempt(NamedTuple):
    """The time of the next dial of a member, and the delay in seconds before the one after it."""

    at: float
    delay: float


class LinkDialer:
    """The dials of one `LinkManager`.

    Within a shard the member with the smaller id dials. Between shards, either member dials once it needs the
    link.
    """

    def __init__(
        self, manager: LinkManager, rng: random.Random, on_unreachable: Callable[[str], None]
    ) -> None:
        """`on_unreachable` is called with a member to which a required link was not established in time."""
        self.manager = manager
        self.rng = rng
        self.on_unreachable = on_unreachable
        self.dialing: dict[str, PeerLink] = {}  # dialed links that are not established yet
        # Members to which a link is required, and the time at which each is given up.
        self.needed_until: dict[str, float] = {}
        self.attempts: dict[str, DialAttempt] = {}  # next dial by member

    def next_at(self) -> float | None:
        """Return when to call `run_due` next; None if there is nothing to do."""
        times = [attempt.at for attempt in self.attempts.values()]
        return min([*times, *self.needed_until.values()], default=None)

    def run_due(self) -> None:
        """Dial the members that are due, and give up those that were not reached in time."""
        self._dial_due()
        now = self.loop_now()
        for member in [m for m, until in self.needed_until.items() if until <= now]:
            self._give_up(member)

    def loop_now(self) -> float:
        """Return the time of the manager's loop."""
        return self.manager.loop.now()

    def is_dialer(self, member: str) -> bool:
        """Return whether this side dials the link to that member, rather than the other side."""
        if member in self.manager.peers:
            return member > self.manager.hello.member
        return member in self.needed_until

    def view_changed(self) -> None:
        """Schedule the dials again for the manager's new view."""
        for member in [member for member in self.needed_until if member not in self.manager.view]:
            self._give_up(member)
        first = DialAttempt(self.loop_now(), MIN_REDIAL_DELAY)
        dialed = {m for m in {*self.manager.peers, *self.needed_until} if self.is_dialer(m)}
        self.attempts = {m: self.attempts.get(m, first) for m in dialed - self.manager.links.keys()}

    def require_link(self, member: str) -> None:
        """Require a link to that member, which is given up if not established in time."""
        if member in self.manager.links or member == self.manager.hello.member:
            return
        now = self.loop_now()
        self.needed_until.setdefault(member, now + HANDSHAKE_TIMEOUT)
        if member not in self.manager.view:
            self._give_up(member)
        elif self.is_dialer(member):
            self.attempts.setdefault(member, DialAttempt(now, MIN_REDIAL_DELAY))

    def link_established(self, link: PeerLink) -> None:
        """Stop dialing the member of an established link."""
        self.attempts.pop(link.member, None)
        self.needed_until.pop(link.member, None)
        dialed = self.dialing.pop(link.member, None)
        if dialed is not None and dialed is not link:
            dialed.post(CLOSE)

    def link_ended(self, link: PeerLink, member: str) -> None:
        """Remove a link that has ended."""
        if self.dialing.get(member) is link:
            del self.dialing[member]

    def retry(self, member: str, no_listener: bool) -> None:
        """Schedule the next dial of a member of the view, after its link has ended.

        `no_listener`: no process listens at its address, so a member of another shard is given up.
        """
        if no_listener and member in self.needed_until and member not in self.manager.peers:
            self._give_up(member)
        elif self.is_dialer(member):
            delay = self.attempts[member].delay if member in self.attempts else MIN_REDIAL_DELAY
            jittered = delay * (0.5 + self.rng.random())
            self.attempts[member] = DialAttempt(self.loop_now() + jittered, delay)
            self.manager.post(None)  # wakes the manager, because `next_at` has changed

    def _give_up(self, member: str) -> None:
        del self.needed_until[member]
        if member not in self.manager.peers:
            self.attempts.pop(member, None)
            if (link := self.dialing.get(member)) is not None:
                link.post(CLOSE)
        self.on_unreachable(member)

    def _dial_due(self) -> None:
        now = self.loop_now()
        for member, (at, delay) in list(self.attempts.items()):
            if at > now or member in self.dialing:
                continue
            next_at = now + HANDSHAKE_TIMEOUT + delay
            self.attempts[member] = DialAttempt(next_at, min(2 * delay, MAX_REDIAL_DELAY))
            self._dial(member)

    def _dial(self, member: str) -> None:
        address = self.manager.view.members[member].address
        try:
            # Connects from the IP address that this member listens on, by which observers tell links apart.
            sock = connect(address, self.manager.source)
        except ConnectionLostError:
            self.manager.link_ended(None, member, LinkEndReason.CONNECT_FAILED)
            return
        PeerLink(self.manager, sock, member).begin()
