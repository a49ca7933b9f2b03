"""The base class of actors: a coroutine with a mailbox, to which other actors post messages."""

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
    """Base class of actors: a subclass implements `run`, which receives messages by `yield`."""

    priority = False  # whether its messages are delivered before those of other actors
    daemon = False  # whether `run` is restarted after it has failed or returned
    messages_per_turn = 1  # messages delivered to it in one turn of the loop, at most

    def __init__(self, loop: Loop) -> None:
        """Create the coroutine; `begin` starts it."""
        self.loop = loop
        self.mailbox: deque[Any] = deque()
        self.queued = self.ended = False
        self.wake_at = self.timer_at = inf
        self.coroutine = self.run()
        self.ref = ref(self)

    def run(self) -> Coroutine[None]:
        """Handle messages, as the actor's coroutine.

        The coroutine yields the time until which it waits, or None to wait for a message alone. It is resumed
        with a message, or with None once that time has come.
        """
        raise NotImplementedError

    def begin(self) -> None:
        """Start the coroutine: run it up to its first `yield`."""
        self.loop.start(self)

    def post(self, message: object) -> None:
        """Queue a message; if the actor has ended, pass the message to `undelivered`."""
        if self.ended:
            self.undelivered(message)
            return
        self.mailbox.append(message)
        self.loop.queue(self)

    def end(self) -> None:
        """Restart a daemon whose coroutine has returned or failed; end any other actor."""
        self.wake_at = inf
        if self.daemon:
            self.coroutine = self.run()
            self.loop.start(self)
            return
        self.ended = True
        messages, self.mailbox = self.mailbox, deque()
        for message in messages:
            self.undelivered(message)

    def undelivered(self, message: object) -> None:
        """Release what a message holds that the actor has not read before its end.

        The message may have arrived before or after the end. The base class ignores it.
        """
