"""The event loop: epoll, timers and the coroutines of the actors, in one thread.

An actor's coroutine says `message = yield until` and is resumed with its next message, or with None once
`until` has come (`yield None` waits for a message alone). A socket that is ready arrives as a message too.
Times are seconds on the loop's clock: monotonic, offset once to the wall clock.
"""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import cache
from math import inf
from typing import Any, Protocol
from weakref import ref

INPUT = select.EPOLLIN
READ = select.EPOLLIN | select.EPOLLRDHUP
HANGUP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
WRITE = select.EPOLLOUT
MAX_EVENTS_PER_POLL = 256


class Schedulable(Protocol):
    """What the loop needs of an actor."""

    priority: bool
    messages_per_turn: int
    coroutine: Generator[float | None, Any, None]
    mailbox: deque[Any]
    queued: bool
    ended: bool
    until: float
    armed: float
    ref: ref[Any]

    def post(self, message: object) -> None:
        """Queue a message."""

    def end(self) -> None:
        """The coroutine has ended."""


@dataclass(slots=True, eq=False)
class SocketReady:
    """A socket of the actor is ready, in the way that the epoll mask says."""

    mask: int

    @property
    def hung_up(self) -> bool:
        """The other side has closed, or the connection has failed."""
        return bool(self.mask & HANGUP)


socket_ready = cache(SocketReady)  # few masks occur, over and over


class Loop:
    """Runs actors: one message to each that has any, then the timers that are due, turn after turn."""

    def __init__(self, on_error: Callable[[Any, Exception], None]) -> None:
        """`on_error`: called with an actor and the exception that ended its coroutine."""
        self.on_error = on_error
        # The wall clock is read once: timers need a clock that does not step, discovery's times one scale.
        self.offset = time.time() - time.monotonic()
        self.epoll = select.epoll()
        self.hangup_epoll = select.epoll()
        self.actors_by_descriptor: dict[int, Schedulable] = {}
        self.run_queue: deque[Schedulable] = deque()
        self.priority_queue: deque[Schedulable] = deque()
        # Weak references: an actor that has ended is freed before the last of its timers is due.
        self.timers: list[tuple[float, int, ref[Schedulable]]] = []
        self.timer_count = 0
        self.running = False
        self.max_timer_delay = 0.0  # seconds by which a timer ran late, at worst since the last report
        self.after_turn: Callable[[], None] = lambda: None

    def now(self) -> float:
        """The time, in seconds."""
        return time.monotonic() + self.offset

    # Sockets.

    def register(self, descriptor: int, actor: Schedulable, mask: int) -> None:
        """Post `SocketReady` to the actor whenever the descriptor is ready in a way of `mask`."""
        self.epoll.register(descriptor, mask)
        self.actors_by_descriptor[descriptor] = actor

    def modify(self, descriptor: int, mask: int) -> None:
        """Wait for other events of a registered descriptor."""
        self.epoll.modify(descriptor, mask)

    def unregister(self, descriptor: int) -> None:
        """Stop waiting for a descriptor; one that is not registered is ignored."""
        if self.actors_by_descriptor.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)

    def peer_has_closed(self, descriptor: int) -> bool:
        """The other side has closed by now, even if what it sent before that is still unread."""
        self.hangup_epoll.register(descriptor, HANGUP)
        try:
            return bool(self.hangup_epoll.poll(0, 1))
        finally:
            self.hangup_epoll.unregister(descriptor)

    # Turns.

    def run(self) -> None:
        """Run until `stop` is called."""
        self.running = True
        while self.running:
            self.run_once()

    def stop(self) -> None:
        """Leave `run` at the end of this turn."""
        self.running = False

    def close(self) -> None:
        """End the coroutines that still hold a socket."""
        for actor in list(self.actors_by_descriptor.values()):
            actor.coroutine.close()
        self.epoll.close()
        self.hangup_epoll.close()

    def run_once(self, longest: float = inf) -> None:
        """Wait at most `longest` seconds for events, then run each actor concerned once."""
        wait = min(longest, self.timers[0][0] - self.now()) if self.timers else longest
        if self.run_queue or self.priority_queue:
            wait = 0
        for descriptor, mask in self.epoll.poll(None if wait == inf else max(wait, 0), MAX_EVENTS_PER_POLL):
            if actor := self.actors_by_descriptor.get(descriptor):
                actor.post(socket_ready(mask))
        # Messages go before timers, so that a late turn does not time out a response that has arrived.
        for _ in range(len(self.run_queue) + len(self.priority_queue)):
            self._run_next()
        self._run_timers()
        self.after_turn()

    def _run_next(self) -> None:
        while self.priority_queue:
            self._deliver(self.priority_queue.popleft())
        if self.run_queue:
            self._deliver(self.run_queue.popleft())

    def _run_timers(self) -> None:
        now = self.now()
        # Collected first: an actor that waits until a time already past runs once a turn, not for ever.
        due = []
        while self.timers and self.timers[0][0] <= now:
            if (actor := heapq.heappop(self.timers)[2]()) is not None and not actor.ended:
                actor.armed = inf
                due.append(actor)
        for actor in due:
            if actor.mailbox:
                continue  # its messages go first; it says anew until when it waits
            if actor.until <= now:
                self.max_timer_delay = max(self.max_timer_delay, now - actor.until)
                self._resume(actor, None)
            else:
                self._arm(actor)

    def _deliver(self, actor: Schedulable) -> None:
        actor.queued = False
        for _ in range(actor.messages_per_turn):
            if not actor.mailbox or actor.ended:
                return
            self._resume(actor, actor.mailbox.popleft())
        if actor.mailbox:
            self.queue(actor)

    def _resume(self, actor: Schedulable, message: object) -> None:
        try:
            until = actor.coroutine.send(message)
        except StopIteration:
            actor.end()
            return
        except Exception as error:
            self.on_error(actor, error)
            actor.end()
            return
        actor.until = inf if until is None else until
        self._arm(actor)

    def _arm(self, actor: Schedulable) -> None:
        if not actor.ended and actor.until < actor.armed:
            actor.armed = actor.until
            self.timer_count += 1
            heapq.heappush(self.timers, (actor.until, self.timer_count, actor.ref))

    def queue(self, actor: Schedulable) -> None:
        """Run the actor in the next turn."""
        if not actor.queued and not actor.ended:
            actor.queued = True
            (self.priority_queue if actor.priority else self.run_queue).append(actor)

    def start(self, actor: Schedulable) -> None:
        """Run the actor's coroutine up to its first `yield`."""
        self._resume(actor, None)
