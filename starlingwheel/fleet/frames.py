"""What sidecars of one fleet say to each other, about covered work and their policy.

MessagePack arrays, by msgspec.

Times are seconds on the wall clock, which all machines of a fleet share but for a few milliseconds.
"""

from __future__ import annotations

import msgspec

from ..decisions.terms import Category
from .policy import Word

VERSION = 2
LONGEST = 1 << 18  # bytes of one frame: a body and an answer are 64 KiB at most
RELAYED = 64  # words of others in one answer, at most


class Asked(msgspec.Struct, array_like=True, frozen=True):
    """A request as its client sent it."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    trace: bytes


class Intent(msgspec.Struct, array_like=True):
    """One hand-off that its owner means to make, or has made. No fate: it may have run."""

    upstream: str
    zone: str
    cell: int
    at: float
    fate: str = ""


class Reply(msgspec.Struct, array_like=True, frozen=True):
    """A final answer: a status of ours, and the body and its kind where it is 200."""

    status: int
    come_back: float = 0.0
    kind: bytes = b""
    body: bytes = b""


class Hello(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """`cells`: how many its view has; two that differ have no link."""

    fleet: str
    version: int
    member: str
    cells: int = 1


class Beat(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Said when nothing else is: alive, under that view of its cell; `lapsed`: not sure of its lease.

    `word`: only where it may be needed, as whoever `asks` says. `idle`: nothing in hand here needs this link.
    """

    view: int
    lapsed: bool
    word: Word | None = None
    idle: bool = False
    asks: bool = False


class Told(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """All that concerns you under that view of your cell has been said; nothing is granted under an older."""

    view: int


class Cover(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """A work item in hand, with its history. `asks`: say whether it is new; else it is only to be kept.

    `granted`: its owner has been told before that it is new, perhaps by a home that is lost. `rules`: its
    category as it was when the work item was taken, which it keeps whatever the fleet's policy becomes.
    `home`: as its owner sees it, where the owner is of another cell.
    """

    key: bytes
    owner: str
    epoch: int
    asks: bool
    mark: bytes
    category: str
    effect: str
    at: float
    until: float
    repeat: bool
    asked: Asked
    intents: list[Intent]
    granted: bool = False
    rules: Category | None = None
    home: str = ""


class Find(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Does anybody act on this? Asked of who would take over, where the home can't be reached."""

    key: bytes
    mark: bytes


class Intend(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """`home`: as with `Cover`."""

    key: bytes
    epoch: int
    number: int
    intent: Intent
    home: str = ""


class Ended(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """That hand-off is known never to have run."""

    key: bytes
    epoch: int
    number: int
    fate: str


class Answered(msgspec.Struct, array_like=True, tag=8, frozen=True):
    key: bytes
    epoch: int
    reply: Reply


class Kept(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """The word of a keeper. `upto`: so many intents are recorded."""

    key: bytes
    epoch: int
    verdict: str
    upto: int = 0
    reply: Reply | None = None
    where: str = ""


class Over(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """To a new home: that item has had its final answer."""

    key: bytes
    owner: str
    mark: bytes
    category: str
    effect: str
    until: float
    reply: Reply


class Which(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Instead of a greeting, from one that is in no view: which policy do you follow? `known`: it does."""

    fleet: str
    version: int
    known: int


class Says(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Our word, and what we have heard lately over our links: each as old as it says."""

    word: Word
    others: list[Word] = []


class Want(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Tell me what is decided."""


class Given(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """The decision in force, or that will be, as the arbiter has it."""

    decision: bytes


class Rest(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """The last word on a link that neither side needs: what is said to it from now on is not read."""


# What `Kept.verdict` says.
NEW = "new"  # nobody else acts on it: you do
KEPT = "kept"  # recorded; who else acts is not known here
RUNNING = "running"  # another one acts on it; its answer will come
ANSWERED = "answered"  # here is its final answer
OTHER = "other"  # that name stands for another request
STALE = "stale"  # another one has taken it over from you
MOVED = "moved"  # its home is elsewhere as seen from here; `where` names it
UNKNOWN = "unknown"  # to `Find`: nothing is known of it here
ASKED = "asked"  # another one asks for it too: cover it again here once its home has granted it
FULL = "full"  # no room to keep it
NOTED = "noted"  # the final answer is recorded

About = Cover | Find | Intend | Ended | Answered | Kept | Over
Frame = Hello | Beat | Told | About | Which | Says | Want | Given | Rest
