"""Members whose links use real sockets, on event loops that the test steps under a simulated clock."""

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

STEP = 0.001  # simulated seconds between two steps
WAIT_TIMEOUT = 8.0  # simulated seconds
T = TypeVar("T")


class Clock:
    """A simulated clock that advances with the steps of the test, independent of the machine's load."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.time = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.time


class LinkedMember:
    """A member with its links on an event loop of its own, which records the messages to its host."""

    def __init__(self, clock: Clock, name: str, hello: frames.HelloFrame | None = None) -> None:
        """Start the member. `hello`: the hello frame that the member sends; None: the correct one."""
        self.id = f"{name}.00"
        self.errors: list[Exception] = []
        self.messages: list[object] = []
        self.log_lines: list[tuple[str, dict[str, object]]] = []
        self.needs_link_to: set[str] = set()
        self.loop = Loop(lambda actor, error: self.errors.append(error))
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
        """Return the received frames that are not heartbeats."""
        received = [message.frame for message in self.messages_of(FrameReceived)]
        return [frame for frame in received if not isinstance(frame, frames.HeartbeatFrame)]

    def established_links(self) -> dict[str, PeerLink]:
        """Return the links that the host knows from its messages."""
        links: dict[str, PeerLink] = {}
        for message in self.messages:
            if isinstance(message, LinkUp):
                links[message.member] = message.link
            elif isinstance(message, LinkDown) and links.get(message.member) is message.link:
                del links[message.member]
        return links

    @property
    def reasons(self) -> Counter[str]:
        """The number of ended links by reason code."""
        return self.links.reasons


class LinkNetwork:
    """Members whose event loops run in a random order."""

    def __init__(self, seed: int = 1) -> None:
        """Create a network without members. `seed`: of the order in which the loops run."""
        self.members: list[LinkedMember] = []
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.step_seconds = STEP

    def add(self, name: str, hello: frames.HelloFrame | None = None) -> LinkedMember:
        """Add a member."""
        self.members.append(LinkedMember(self.clock, name, hello))
        return self.members[-1]

    def set_view(self, shards: int, *receivers: LinkedMember) -> None:
        """Send a view of all members in that number of shards to `receivers`, by default to all."""
        all_members = [member.member for member in self.members]
        for member in receivers or self.members:
            member.links.post(ViewChanged(MembershipView(all_members, shards), False))

    def step(self) -> None:
        """Run the loops of a random selection of members once, and advance the clock."""
        for member in self.rng.sample(self.members, self.rng.randint(1, len(self.members))):
            member.loop.run_once(0)
        self.clock.time += self.step_seconds

    def wait_until(self, condition: Callable[[], T], within: float = WAIT_TIMEOUT) -> T:
        """Step until the condition is true, and return its result."""
        end = self.clock() + within
        while self.clock() < end:
            if result := condition():
                return result
            self.step()
        raise AssertionError("the condition has not become true in time")

    def advance(self, seconds: float) -> None:
        """Step for that many simulated seconds."""
        end = self.clock() + seconds
        while self.clock() < end:
            self.step()

    def close(self) -> None:
        """Close all sockets, and check that no actor has raised an exception."""
        for member in self.members:
            member.loop.close()
            member.sock.close()
            assert not member.errors


def names_in_shards(count: int, *shards: int) -> list[str]:
    """Return a name for each of these shards out of `count`, in alphabetical order."""
    names, number = [], 0
    for shard in shards:
        while MembershipView([], count).shard_of_member(f"n{number:03d}.00") != shard:
            number += 1
        names.append(f"n{number:03d}")
        number += 1
    return names


def connected(first: LinkedMember, second: LinkedMember) -> bool:
    """Return whether both members have a link to each other over the same connection."""
    first_link, second_link = first.links.links.get(second.id), second.links.links.get(first.id)
    if first_link is None or second_link is None or first_link.end_reported or second_link.end_reported:
        return False
    return first_link.connection.sock.getsockname() == second_link.connection.sock.getpeername()
