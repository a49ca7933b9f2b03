"""Which members to dial, and when."""

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
    """When to dial a member next, and the pause in seconds after that."""

    at: float
    delay: float


class LinkDialer:
    """The dials of one `LinkManager`.

    Within a shard the member with the smaller id dials. Between shards either one does, once it needs the
    link.
    """

    def __init__(
        self, manager: LinkManager, rng: random.Random, on_unreachable: Callable[[str], None]
    ) -> None:
        """`on_unreachable` is called with a member that was needed and not reached in time."""
        self.manager = manager
        self.rng = rng
        self.on_unreachable = on_unreachable
        self.dialing: dict[str, PeerLink] = {}  # dialed links that are not established yet
        self.needed_until: dict[str, float] = {}  # needed members, and when each counts as unreachable
        self.attempts: dict[str, DialAttempt] = {}  # members to be dialed

    def next_at(self) -> float | None:
        """When to call `run_due` next; None if there is nothing to do."""
        times = [attempt.at for attempt in self.attempts.values()]
        return min([*times, *self.needed_until.values()], default=None)

    def run_due(self) -> None:
        """Dial the members whose time has come, and give up those whose time is over."""
        self._dial_due()
        now = self.loop_now()
        for member in [m for m, until in self.needed_until.items() if until <= now]:
            self._give_up(member)

    def loop_now(self) -> float:
        """Return the time of the manager's loop."""
        return self.manager.loop.now()

    def dials(self, member: str) -> bool:
        """Whether this side dials, not the other one."""
        if member in self.manager.peers:
            return member > self.manager.hello.member
        return member in self.needed_until

    def view_changed(self) -> None:
        """Plan the dials anew for the manager's new view."""
        for member in [member for member in self.needed_until if member not in self.manager.view]:
            self._give_up(member)
        first = DialAttempt(self.loop_now(), MIN_REDIAL_DELAY)
        dialed = {m for m in {*self.manager.peers, *self.needed_until} if self.dials(m)}
        self.attempts = {m: self.attempts.get(m, first) for m in dialed - self.manager.links.keys()}

    def need(self, member: str) -> None:
        """A link to that member is needed."""
        if member in self.manager.links or member == self.manager.hello.member:
            return
        now = self.loop_now()
        self.needed_until.setdefault(member, now + HANDSHAKE_TIMEOUT)
        if member not in self.manager.view:
            self._give_up(member)
        elif self.dials(member):
            self.attempts.setdefault(member, DialAttempt(now, MIN_REDIAL_DELAY))

    def established(self, link: PeerLink) -> None:
        """A link to a member is up: a dial to the same member ends."""
        self.attempts.pop(link.member, None)
        self.needed_until.pop(link.member, None)
        dialed = self.dialing.pop(link.member, None)
        if dialed is not None and dialed is not link:
            dialed.post(CLOSE)

    def forget(self, link: PeerLink, member: str) -> None:
        """A link has ended."""
        if self.dialing.get(member) is link:
            del self.dialing[member]

    def retry(self, member: str, no_listener: bool) -> None:
        """Dial again a member of the view without a link, or give it up: no process listens there."""
        if no_listener and member in self.needed_until and member not in self.manager.peers:
            self._give_up(member)
        elif self.dials(member):
            delay = self.attempts[member].delay if member in self.attempts else MIN_REDIAL_DELAY
            jittered = delay * (0.5 + self.rng.random())
            self.attempts[member] = DialAttempt(self.loop_now() + jittered, delay)
            self.manager.post(None)  # it waits for a time that has changed

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
            # From the address that this member listens on: others tell links apart by it.
            sock = connect(address, self.manager.source)
        except ConnectionLostError:
            self.manager.link_ended(None, member, LinkEndReason.CONNECT_FAILED)
            return
        PeerLink(self.manager, sock, member).begin()
