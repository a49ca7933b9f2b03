"""The loop: epoll, timers, and the coroutines of the actors. One thread, one turn after another.

An actor's coroutine says `mail = yield until` and is resumed with its next mail, or with None when `until`
has come (`yield None` waits for mail alone). A socket that is ready is mail too.
"""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from math import inf
from typing import TYPE_CHECKING
from weakref import ref

if TYPE_CHECKING:
    from .actor import Actor

INPUT = select.EPOLLIN
READ = select.EPOLLIN | select.EPOLLRDHUP
HANGUP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
WRITE = select.EPOLLOUT
MOST_EVENTS = 256


@dataclass(slots=True, eq=False)
class Ready:
    """A socket of the actor's is ready, in the way that `mask` says."""

    mask: int

    @property
    def hung_up(self) -> bool:
        return bool(self.mask & HANGUP)


ready = cache(Ready)  # the same few words over and over


class Loop:
    def __init__(self, defect: Callable[[Actor, Exception], None]) -> None:
        self.defect = defect
        # The wall clock is read once: timers need a clock that does not step, the list's times one scale.
        self.offset = time.time() - time.monotonic()
        self.epoll, self.glance = select.epoll(), select.epoll()
        self.watched: dict[int, Actor] = {}
        self.ready: deque[Actor] = deque()
        self.urgent: deque[Actor] = deque()
        # Held weakly: guards against what has ended being kept until the last of its timers is due.
        self.timers: list[tuple[float, int, ref[Actor]]] = []
        self.count = 0
        self.running = False
        self.latest = 0.0
        self.each_turn: Callable[[], None] = lambda: None

    def now(self) -> float:
        return time.monotonic() + self.offset

    # Sockets.

    def watch(self, fd: int, actor: Actor, mask: int) -> None:
        self.epoll.register(fd, mask)
        self.watched[fd] = actor

    def change(self, fd: int, mask: int) -> None:
        self.epoll.modify(fd, mask)

    def forget(self, fd: int) -> None:
        if self.watched.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    def has_ended(self, fd: int) -> bool:
        """The other side has ended by now, whatever it sent before that and lies unread."""
        self.glance.register(fd, HANGUP)
        try:
            return bool(self.glance.poll(0, 1))
        finally:
            self.glance.unregister(fd)

    # Turns.

    def run(self) -> None:
        self.running = True
        while self.running:
            self.turn()

    def stop(self) -> None:
        self.running = False

    def close(self) -> None:
        """End the coroutines that still hold a socket."""
        for actor in list(self.watched.values()):
            actor.coroutine.close()
        self.epoll.close()
        self.glance.close()

    def turn(self, longest: float = inf) -> None:
        """Wait for something to happen, at most `longest`, then give each actor concerned one mail."""
        wait = min(longest, self.timers[0][0] - self.now()) if self.timers else longest
        if self.ready or self.urgent:
            wait = 0
        for fd, mask in self.epoll.poll(None if wait == inf else max(wait, 0), MOST_EVENTS):
            if actor := self.watched.get(fd):
                actor.post(ready(mask))
        # What has come goes before what is due, so that a late turn makes no time-out of an answer.
        for _ in range(len(self.ready) + len(self.urgent)):
            self._next()
        self._due()
        self.each_turn()

    def _next(self) -> None:
        while self.urgent:
            self._deliver(self.urgent.popleft())
        if self.ready:
            self._deliver(self.ready.popleft())

    def _due(self) -> None:
        now = self.now()
        # Guards against one that waits until what is past, over and over, stopping all others: once a turn.
        due = []
        while self.timers and self.timers[0][0] <= now:
            if (actor := heapq.heappop(self.timers)[2]()) is not None and not actor.ended:
                actor.armed = inf
                due.append(actor)
        for actor in due:
            if actor.mailbox:
                continue  # its mail goes first; it says anew until when it waits
            if actor.until <= now:
                self.latest = max(self.latest, now - actor.until)
                self._resume(actor, None)
            else:
                self._arm(actor)

    def _deliver(self, actor: Actor) -> None:
        actor.queued = False
        for _ in range(actor.at_once):
            if not actor.mailbox or actor.ended:
                return
            self._resume(actor, actor.mailbox.popleft())
        if actor.mailbox:
            self.queue(actor)

    def _resume(self, actor: Actor, mail: object) -> None:
        try:
            until = actor.coroutine.send(mail)
        except StopIteration:
            actor.end()
            return
        except Exception as error:
            self.defect(actor, error)
            actor.end()
            return
        actor.until = inf if until is None else until
        self._arm(actor)

    def _arm(self, actor: Actor) -> None:
        if not actor.ended and actor.until < actor.armed:
            actor.armed = actor.until
            self.count += 1
            heapq.heappush(self.timers, (actor.until, self.count, actor.ref))

    def queue(self, actor: Actor) -> None:
        if not actor.queued and not actor.ended:
            actor.queued = True
            (self.urgent if actor.urgent else self.ready).append(actor)

    def begin(self, actor: Actor) -> None:
        self._resume(actor, None)
