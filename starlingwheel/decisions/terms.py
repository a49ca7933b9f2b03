"""The words between the decisions and whatever host carries them out.

A host decodes its start message once into `Terms`, then gives typed events to a `Runner`. Decisions are
generators that yield the commands below. `Send` is answered at once with the `HandOff`, `Wait` with what
ended the wait (see there), every other command with None. Times are seconds.
"""

from __future__ import annotations

import enum
from collections.abc import Generator, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec


class Effect(enum.Enum):
    RERUNNABLE = "rerunnable"
    TICKETED = "ticketed"
    EXCLUSIVE = "exclusive"


class Group(enum.Enum):
    """The upstreams that drop each other's repeats of a ticketed work item."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Condition(enum.Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Fate(enum.Enum):
    """How a hand-off ended."""

    FINISHED = "finished"
    ERROR = "error"
    TURNED_DOWN = "turned down"
    OVERDUE = "overdue"
    UNREACHED = "unreached"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    UNSENT = "unsent"

    @property
    def never_ran(self) -> bool:
        return self in (Fate.TURNED_DOWN, Fate.UNREACHED, Fate.UNSENT)


class Category(msgspec.Struct, frozen=True, eq=False):
    name: str
    effect: Effect
    due_time: float
    payoff: float
    expiry: float
    group: Group = Group.ALL
    memory: float = 0.0
    late_payoff: float = 0.0
    stretch: float = 0.0


class Customer(msgspec.Struct, frozen=True, eq=False):
    name: str
    share: float


class Terms(msgspec.Struct, frozen=True, eq=False):
    """What was agreed before the start: the figures that decisions and hosts read, in our words."""

    categories: list[Category]
    zone: str
    sidecars: int
    must_subscribe: bool
    ask_within: float
    cold_share: float
    cold_for: float
    fall_multiple: float
    fall_span: float
    most_hand_offs: int
    crossing_price: float
    connecting_price: float = 0.0
    keeping_price: float = 0.0
    streams: int = 1
    sizes_move: bool = False
    asking_price: float = 0.0
    telling_price: float = 0.0
    copies_allowed: bool = True
    cancel_allowed: bool = True
    peers_allowed: bool = False
    asking_allowed: bool = False
    load_reported: bool = False
    answers_tell: bool = False  # each answer carries a load report
    keys_known: bool = False  # an upstream does less work for a key that its cell has met lately
    longest_come_back: float = 0.0
    connect_within: float = 0.0
    drain_grace: float = 0.0  # after the word that an upstream goes, nothing new comes later; 0: not said
    keep_idle: float = 0.0
    number: int = 0
    processes: int = 1  # of this sidecar, which share its part of what is cold
    customers: list[Customer] = []


class Listing(msgspec.Struct, frozen=True):
    """One line of the list of upstreams. The address is opaque: it only tells one upstream from another."""

    address: str
    zone: str
    cell: int
    size: float
    started: float | None
    condition: Condition


class News(enum.Enum):
    """What a word from the list of upstreams is."""

    CHANGES = "changes"
    WHOLE = "whole"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class WorkItem:
    category: Category
    arrived: float  # infinite while it is still coming
    patience: float
    customer: Customer | None = None
    repeat: bool = False
    cost: float = 0.0
    key: str = ""  # what it is about; empty: nothing that others share
    home: int | None = None  # the cell that all sidecars pick for its key
    most_hand_offs: int = 0  # 0: as the terms say that are in force when it is taken
    before: Sequence[HandOff] = ()  # made by another sidecar, which is lost


@dataclass(slots=True, eq=False)
class HandOff:
    wi: WorkItem
    upstream: Any
    sent: float
    load: float = 0.0
    pending: bool = True
    fate: Fate | None = None

    @property
    def may_have_run(self) -> bool:
        return self.fate is None or not self.fate.never_ran


@dataclass(slots=True, frozen=True)
class Outcome:
    """A hand-off ended; `answered` says that the client has its final answer."""

    ho: HandOff
    fate: Fate
    took: float
    answered: bool
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Started:
    """The answer of a streamed category has begun: the hand-off is the client's now."""

    ho: HandOff


@dataclass(slots=True, frozen=True)
class Asked:
    """An upstream has answered a probe, or failed to."""

    upstream: Any
    fate: Fate


class Gone:
    """The client has left; nothing is owed any more."""


GONE = Gone()


@dataclass(slots=True, frozen=True)
class Send:
    """Hand the work item to an upstream, with a time-out."""

    upstream: Any
    limit: float
    load: float = 0.0


@dataclass(slots=True, frozen=True)
class Cancel:
    ho: HandOff


@dataclass(slots=True, frozen=True)
class Wait:
    """Resumed by an `Outcome`, `Started`, `Asked`, `GONE` or (a chore that subscribed) a `News`.

    None when `until` has come (None: never).
    """

    until: float | None


@dataclass(slots=True, frozen=True)
class Defer:
    come_back: float = 0.0


@dataclass(slots=True, frozen=True)
class WriteOff:
    pass


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for the changes of the list; every `News` from then on resumes the asker's `Wait`."""


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask an upstream for its load; an `Asked` resumes the asker's `Wait`."""

    upstream: Any


@dataclass(slots=True, frozen=True)
class Tell:
    body: bytes


Command = Send | Cancel | Wait | Defer | WriteOff | Subscribe | Probe | Tell
Steps = Generator[Command, Any, None]
