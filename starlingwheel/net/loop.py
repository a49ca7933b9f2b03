"""The event loop: epoll, timers and the coroutines of the actors, in one thread.

An actor's coroutine executes `message = yield deadline` and is resumed with its next message, or with None
once `deadline` has passed (`yield None` waits for a message alone). Readiness of a socket is a message too.
Times are seconds on the loop's clock, which is monotonic and was set to the wall clock once, at the start.
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
    """The interface of an actor that the loop needs."""

    priority: bool
    messages_per_turn: int
    coroutine: Generator[float | None, Any, None]
    mailbox: deque[Any]
    queued: bool
    ended: bool
    wake_at: float  # when the actor is resumed without a message
    timer_at: float  # when the actor's earliest timer in the heap is due
    ref: ref[Any]

    def post(self, message: object) -> None:
        """Queue a message."""

    def end(self) -> None:
        """Handle the end of the coroutine."""


@dataclass(slots=True, eq=False)
class SocketReady:
    """To the actor that owns a socket: it is ready, as the epoll mask says."""

    mask: int

    @property
    def hung_up(self) -> bool:
        """Whether the other side has closed or the connection has failed."""
        return bool(self.mask & HANGUP)


socket_ready = cache(SocketReady)  # only a few different masks occur


class Loop:
    """Runs actors: in each turn, delivers messages to the actors that have some, then runs due timers."""

    def __init__(self, on_error: Callable[[Any, Exception], None]) -> None:
        """Create a loop; `on_error` is called with an actor and the exception that ended its coroutine."""
        self.on_error = on_error
        # The wall clock is read once: timers need a clock that does not step, while the times that discovery
        # lists are on the scale of the wall clock.
        self.wall_clock_offset = time.time() - time.monotonic()
        self.epoll = select.epoll()
        self.hangup_epoll = select.epoll()
        self.actors_by_descriptor: dict[int, Schedulable] = {}
        self.run_queue: deque[Schedulable] = deque()
        self.priority_queue: deque[Schedulable] = deque()
        # Weak references, so that an actor that has ended is freed before its last timer is due.
        self.timers: list[tuple[float, int, ref[Schedulable]]] = []
        self.timer_count = 0
        self.running = False
        self.turn_length = 0.0  # seconds that the last turn took after its wait
        self.earliest_event_at = self.now()  # the events of this turn occurred at this time or later
        self.turns_cut_short = 0  # how often an actor has left the rest of its input to a later turn
        self.max_timer_delay = 0.0  # the longest delay of a timer since the last report, in seconds
        self.after_turn: Callable[[], None] = lambda: None

    def now(self) -> float:
        """Return the time, in seconds."""
        return time.monotonic() + self.wall_clock_offset

    # Sockets.

    def register(self, descriptor: int, actor: Schedulable, mask: int) -> None:
        """Post `SocketReady` to the actor whenever an event of `mask` occurs on the descriptor."""
        self.epoll.register(descriptor, mask)
        self.actors_by_descriptor[descriptor] = actor

    def modify(self, descriptor: int, mask: int) -> None:
        """Change the events to wait for on a registered descriptor."""
        self.epoll.modify(descriptor, mask)

    def unregister(self, descriptor: int) -> None:
        """Stop waiting for a descriptor; does nothing if it is not registered."""
        if self.actors_by_descriptor.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)

    def peer_has_closed(self, descriptor: int) -> bool:
        """Return whether the other side has closed, even if data that it sent before is still unread."""
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
        """Close the coroutines of actors that still have a registered socket, and the loop itself."""
        for actor in list(self.actors_by_descriptor.values()):
            actor.coroutine.close()
        self.epoll.close()
        self.hangup_epoll.close()

    def run_once(self, max_wait: float = inf) -> None:
        """Run one turn: wait at most `max_wait` seconds for events, deliver messages, then run due timers."""
        wait = min(max_wait, self.timers[0][0] - self.now()) if self.timers else max_wait
        if self.run_queue or self.priority_queue:
            wait = 0
        events = self.epoll.poll(None if wait == inf else max(wait, 0), MAX_EVENTS_PER_POLL)
        waited_until = self.now()
        self.earliest_event_at = waited_until - self.turn_length
        for descriptor, mask in events:
            if actor := self.actors_by_descriptor.get(descriptor):
                actor.post(socket_ready(mask))
        # Messages go before timers, so that a late turn does not time out a response that has arrived.
        for _ in range(len(self.run_queue) + len(self.priority_queue)):
            self._run_next()
        self._run_timers()
        self.after_turn()
        self.turn_length = self.now() - waited_until

    def _run_next(self) -> None:
        while self.priority_queue:
            self._deliver(self.priority_queue.popleft())
        if self.run_queue:
            self._deliver(self.run_queue.popleft())

    def _run_timers(self) -> None:
        now = self.now()
        # Due timers are collected first: an actor that waits for a past time runs once a turn, not endlessly.
        due = []
        while self.timers and self.timers[0][0] <= now:
            if (actor := heapq.heappop(self.timers)[2]()) is not None and not actor.ended:
                actor.timer_at = inf
                due.append(actor)
        for actor in due:
            if actor.mailbox:
                continue  # its messages are delivered first, and it then sets a new deadline
            if actor.wake_at <= now:
                self.max_timer_delay = max(self.max_timer_delay, now - actor.wake_at)
                self._resume(actor, None)
            else:
                self._set_timer(actor)

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
            wake_at = actor.coroutine.send(message)
        except StopIteration:
            actor.end()
            return
        except Exception as error:
            self.on_error(actor, error)
            actor.end()
            return
        actor.wake_at = inf if wake_at is None else wake_at
        self._set_timer(actor)

    def _set_timer(self, actor: Schedulable) -> None:
        if not actor.ended and actor.wake_at < actor.timer_at:
            actor.timer_at = actor.wake_at
            self.timer_count += 1
            heapq.heappush(self.timers, (actor.wake_at, self.timer_count, actor.ref))

    def queue(self, actor: Schedulable) -> None:
        """Queue the actor, so that its messages are delivered in this turn or the next one."""
        if not actor.queued and not actor.ended:
            actor.queued = True
            (self.priority_queue if actor.priority else self.run_queue).append(actor)

    def start(self, actor: Schedulable) -> None:
        """Run the actor's coroutine up to its first `yield`."""
        self._resume(actor, None)
