"""Events in the model of a policy change, and limits on their number. See `model_policy`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

# Fields of `Bounds` that limit how often events happen.
LIMITED = ("crashes", "cuts", "pauses", "watch_stalls", "statuses", "delayed_writes", "ticks")


class EventKind(StrEnum):
    """The kinds of events."""

    PAUSES = "pauses"
    RESUMES = "resumes"
    WATCH_STALLS = "watch_stalls"
    WRITES = "writes"
    WRITE_DELAYED = "write_delayed"
    WRITE_ARRIVES = "write_arrives"
    CRASHES = "crashes"
    STARTS = "starts"
    CUT_OFF = "cut_off"
    STATUS_SENT = "status_sent"
    LEASE_EXPIRES = "lease_expires"
    TIME_PASSES = "time_passes"


FAULTS = {
    EventKind.PAUSES, EventKind.RESUMES, EventKind.CRASHES, EventKind.CUT_OFF, EventKind.WRITE_DELAYED,
    EventKind.WATCH_STALLS,
}  # fmt: skip


class Event(NamedTuple):
    """An event and the names of its members; `position` is that of the write in `delayed_writes`."""

    kind: EventKind
    member: str = ""
    receiver: str = ""
    position: int = 0


@dataclass(frozen=True)
class Bounds:
    """Limits on how often each event may happen in one history, and on the states of a search."""

    crashes: int = 0
    cuts: int = 1  # a member loses its connection to the store
    pauses: int = 0  # of processes
    watch_stalls: int = 0  # a watch delivers nothing more, while the member's lease is renewed
    statuses: int = 1  # sent from one member to another
    delayed_writes: int = 0  # transactions that reach the store after later events
    max_states: int = 40_000  # at which a search ends incomplete
    ticks: int = 4  # steps of time
