"""What may happen in the model of a policy change, and how often. See `model_policy`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

LIMITED = ("crashes", "cuts", "stops", "stalls", "words", "late", "ticks")  # fields of `Bounds`


class EventKind(StrEnum):
    """What may happen next."""

    WATCHES = "watches"
    STOPS = "stops"
    GOES_ON = "goes_on"
    STALLS = "stalls"
    WRITES = "writes"
    WRITES_LATE = "writes_late"
    ARRIVES = "arrives"
    CRASHES = "crashes"
    STARTS = "starts"
    CUT = "cut"
    SAYS = "says"
    EXPIRES = "expires"
    TICKS = "ticks"


FAULTS = {
    EventKind.STOPS, EventKind.GOES_ON, EventKind.CRASHES, EventKind.CUT, EventKind.WRITES_LATE,
    EventKind.STALLS,
}  # fmt: skip


class Event(NamedTuple):
    """An event, and the names of its members; of `ARRIVES`, the place of the write among the delayed ones."""

    kind: EventKind
    member: str = ""
    receiver: str = ""


@dataclass(frozen=True)
class Bounds:
    """How often each may happen in one history."""

    crashes: int = 0
    cuts: int = 1  # of a member from the store
    stops: int = 0  # of a process
    stalls: int = 0  # a watch delivers nothing more, while the lease is renewed
    words: int = 1  # statuses sent to a member
    late: int = 0  # transactions that reach the store later than what comes after them
    states: int = 40_000  # in all
    ticks: int = 4
