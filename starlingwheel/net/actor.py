"""Actors: a coroutine with a mailbox each. Other actors post messages to it and do not call it."""

from __future__ import annotations

from collections import deque
from collections.abc import Generator
from math import inf
from typing import Any, TypeVar
from weakref import ref

from .loop import Loop

T = TypeVar("T")
Coroutine = Generator[float | None, Any, T]


class Actor:
    """Base class: a subclass writes `run`, which receives messages by `yield`."""

    priority = False  # its messages are delivered before those of others
    daemon = False  # starts anew after an error
    messages_per_turn = 1

    def __init__(self, loop: Loop) -> None:
        """Prepare the coroutine; `begin` starts it."""
        self.loop = loop
        self.mailbox: deque[Any] = deque()
        self.queued = self.ended = False
        self.until = self.armed = inf
        self.coroutine = self.run()
        self.ref = ref(self)

    def run(self) -> Coroutine[None]:
        """The actor's coroutine: yields the time until which it waits, or None, and is sent messages."""
        raise NotImplementedError

    def begin(self) -> None:
        """Run up to the first `yield`."""
        self.loop.start(self)

    def post(self, message: object) -> None:
        """Queue a message; one for an actor that has ended goes to `undelivered`."""
        if self.ended:
            self.undelivered(message)
            return
        self.mailbox.append(message)
        self.loop.queue(self)

    def end(self) -> None:
        """The coroutine has returned or failed."""
        self.until = inf
        if self.daemon:
            self.coroutine = self.run()
            self.loop.start(self)
            return
        self.ended = True
        messages, self.mailbox = self.mailbox, deque()
        for message in messages:
            self.undelivered(message)

    def undelivered(self, message: object) -> None:
        """Called with each message that came too late, to release what it holds."""
