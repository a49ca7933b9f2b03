"""An actor: one coroutine with a mailbox. Whoever wants something of it posts mail; nobody else calls it."""

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
    urgent = False  # its mail goes before that of others
    lasting = False  # begins anew after a defect
    at_once = 1  # mail that it is given in one turn, at most

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.mailbox: deque[Any] = deque()
        self.queued = self.ended = False
        self.until = self.armed = inf
        self.coroutine = self.run()
        self.ref = ref(self)

    def run(self) -> Coroutine[None]:
        raise NotImplementedError

    def begin(self) -> None:
        """Runs up to the first `yield`."""
        self.loop.begin(self)

    def post(self, mail: Any) -> None:
        if self.ended:
            self.undelivered(mail)
            return
        self.mailbox.append(mail)
        self.loop.queue(self)

    def end(self) -> None:
        """The coroutine has ended, of itself or by a defect."""
        self.until = inf
        if self.lasting:
            self.coroutine = self.run()
            self.loop.begin(self)
            return
        self.ended = True
        left, self.mailbox = self.mailbox, deque()
        for mail in left:
            self.undelivered(mail)

    def undelivered(self, mail: Any) -> None:
        """Mail that came too late; guards against what it holds being lost with it."""
