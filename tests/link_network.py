"""Members whose links run on real sockets, on loops that the test steps under a clock of its own."""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from starlingwheel.fleet import frames
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.net.fleet.links import LinkManager, PeerLink
from starlingwheel.net.fleet.messages import FrameReceived, LinkDown, LinkUp, ViewChanged
from starlingwheel.net.loop import Loop

STEP = 0.001  # seconds between turns
WAIT = 8.0  # seconds of the test's clock within which something happens
T = TypeVar("T")


class Clock:
    """Goes on with the turns of the test, however busy the machine is."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.time = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.time


class LinkedMember:
    """A member: its links on a loop of their own, and the messages that they give out."""

    def __init__(self, clock: Clock, name: str, hello: frames.HelloFrame | None = None) -> None:
        """`hello`: what it greets with; None: what it should."""
        self.id = f"{name}.00"
        self.defects: list[Exception] = []
        self.messages: list[object] = []
        self.log_lines: list[tuple[str, dict[str, object]]] = []
        self.needs_link_to: set[str] = set()
        self.loop = Loop(lambda actor, error: self.defects.append(error))
        self.loop.now = clock
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen()
        self.member = Member(self.id, name, "{}:{}".format(*self.sock.getsockname()))
        self.links = LinkManager(
            self.loop,
            self.sock,
            hello or frames.HelloFrame("f", frames.PROTOCOL_VERSION, self.id),
            self.messages.append,
            self.make_heartbeat,
            lambda query: [],
            lambda event, **fields: self.log_lines.append((event, fields)),
            random.Random(name),
        )
        self.links.begin()

    def make_heartbeat(self, member: str, with_status: bool) -> frames.HeartbeatFrame:
        """Return the heartbeat for a member."""
        return frames.HeartbeatFrame(1, False, None, member not in self.needs_link_to)

    def messages_of(self, kind: type[T]) -> list[T]:
        """Return the messages of a type."""
        return [message for message in self.messages if isinstance(message, kind)]

    def request_frames(self) -> list[object]:
        """Return the frames that were received and are no heartbeats."""
        received = [message.frame for message in self.messages_of(FrameReceived)]
        return [frame for frame in received if not isinstance(frame, frames.HeartbeatFrame)]

    def established_links(self) -> dict[str, PeerLink]:
        """Return the links as the host knows them from the messages."""
        links: dict[str, PeerLink] = {}
        for message in self.messages:
            if isinstance(message, LinkUp):
                links[message.member] = message.link
            elif isinstance(message, LinkDown) and links.get(message.member) is message.link:
                del links[message.member]
        return links

    @property
    def reasons(self) -> Counter[str]:
        """Why links have ended."""
        return self.links.reasons


class LinkNetwork:
    """Members whose loops take turns in a random order."""

    def __init__(self, seed: int = 1) -> None:
        """`seed`: of the order of turns."""
        self.members: list[LinkedMember] = []
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.step_seconds = STEP

    def add(self, name: str, hello: frames.HelloFrame | None = None) -> LinkedMember:
        """Add a member."""
        self.members.append(LinkedMember(self.clock, name, hello))
        return self.members[-1]

    def set_view(self, shards: int, *who: LinkedMember) -> None:
        """Have members (all unless named) see the members in so many shards."""
        everybody = [one.member for one in self.members]
        for one in who or self.members:
            one.links.post(ViewChanged(MembershipView(everybody, shards), False))

    def step(self) -> None:
        """Have some members take a turn, and the clock go on."""
        for one in self.rng.sample(self.members, self.rng.randint(1, len(self.members))):
            one.loop.run_once(0)
        self.clock.time += self.step_seconds

    def wait_until(self, condition: Callable[[], T], within: float = WAIT) -> T:
        """Step until a condition holds; return its result."""
        end = self.clock() + within
        while self.clock() < end:
            if result := condition():
                return result
            self.step()
        raise AssertionError("it has not happened")

    def advance(self, seconds: float) -> None:
        """Step for so many seconds."""
        end = self.clock() + seconds
        while self.clock() < end:
            self.step()

    def close(self) -> None:
        """Close all sockets; nothing may have failed unexpectedly."""
        for one in self.members:
            one.loop.close()
            one.sock.close()
            assert not one.defects


def names_in_shards(count: int, *shards: int) -> list[str]:
    """Return a name in each of these shards, in the order of the alphabet."""
    names, number = [], 0
    for shard in shards:
        while MembershipView([], count).shard_of_member(f"n{number:03d}.00") != shard:
            number += 1
        names.append(f"n{number:03d}")
        number += 1
    return names


def connected(one: LinkedMember, other: LinkedMember) -> bool:
    """Whether both have a link to the other, and it is the same connection."""
    mine, theirs = one.links.links.get(other.id), other.links.links.get(one.id)
    if mine is None or theirs is None or mine.end_reported or theirs.end_reported:
        return False
    return mine.connection.sock.getsockname() == theirs.connection.sock.getpeername()
