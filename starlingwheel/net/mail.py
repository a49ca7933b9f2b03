"""What actors write to each other. `Ready`, a socket word, is in loop.py, `Flowing` in memory/flow.py."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..decisions.terms import Fate, News, Terms
from .memory.work import Answer, Errand, Job


@dataclass(slots=True, eq=False)
class Taken:
    """To the module: a client's work item."""

    job: Job


@dataclass(slots=True, eq=False)
class Left:
    """To the module: the client of a work item has gone away."""

    job: Job


@dataclass(slots=True, eq=False)
class Whole:
    """To the module: the last byte of a work item has come that was taken before."""

    job: Job


@dataclass(slots=True, eq=False)
class Ended:
    """To the module: an errand has ended."""

    errand: Errand
    fate: Fate
    report: dict[str, float] = field(default_factory=dict)
    answer: Answer | None = None


@dataclass(slots=True, eq=False)
class Listed:
    """To the module: word from the list of upstreams."""

    news: News
    entries: list[Any]


@dataclass(slots=True, eq=False)
class Heard:
    """To the module: what a peer has said."""

    peer: int
    body: bytes


@dataclass(slots=True, eq=False)
class Final:
    """To a client: the final answer for its work item."""

    status: int
    answer: Answer | None = None
    come_back: float = 0.0


@dataclass(slots=True, eq=False)
class Carry:
    """To an upstream and its connections: an errand to run."""

    errand: Errand


@dataclass(slots=True, eq=False)
class Drop:
    """To an upstream and its connections: give the errand up."""

    errand: Errand


@dataclass(slots=True, eq=False)
class Free:
    """To an upstream: a connection of its can carry the next errand."""

    connection: Any


@dataclass(slots=True, eq=False)
class Closed:
    """To an upstream: a connection of its has ended."""

    connection: Any


@dataclass(slots=True, eq=False)
class Moved:
    """To an upstream: what the list now says of it; None: it has left."""

    entry: Any


@dataclass(slots=True, eq=False)
class Retuned:
    """To the module: new terms; work in hand keeps those it was taken with."""

    terms: Terms


class Subscribe:
    """To the list: begin a watch."""


@dataclass(slots=True, eq=False)
class Relocated:
    """To the list: a new configuration names another discovery."""

    address: str


@dataclass(slots=True, eq=False)
class Said:
    """To the list: a watch has read a line."""

    watch: Any
    word: Any


@dataclass(slots=True, eq=False)
class Answered:
    """To the list: the answer to a call has begun, so it does not hang."""

    watch: Any


@dataclass(slots=True, eq=False)
class WatchEnded:
    """To the list: a watch has ended."""

    watch: Any


class Stop:
    """To whoever listens or holds a connection: end as soon as nothing is owed."""


class Drain:
    """To the one that sends clients away: operators have said so, or that it is over."""


class Close:
    """To an idle connection: its room is needed, or it can't be used again."""


SUBSCRIBE, STOP, CLOSE, DRAIN = Subscribe(), Stop(), Close(), Drain()
