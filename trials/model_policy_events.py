"""What may happen in the model of a policy change, and how often. See `model_policy`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

# Fields of `Bounds` that events use up.
LIMITED = ("crashes", "cuts", "pauses", "watch_stalls", "statuses", "delayed_writes", "ticks")


class EventKind(StrEnum):
    """What may happen next."""

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
    """An event, and the names of its members; of `WRITE_ARRIVES`, the place among the delayed writes."""

    kind: EventKind
    member: str = ""
    receiver: str = ""
    place: int = 0


@dataclass(frozen=True)
class Bounds:
    """How often each may happen in one history."""

    crashes: int = 0
    cuts: int = 1  # of a member from the store
    pauses: int = 0  # of a process
    watch_stalls: int = 0  # a watch delivers nothing more, while the lease is renewed
    statuses: int = 1  # sent to a member
    delayed_writes: int = 0  # transactions that reach the store later than what comes after them
    max_states: int = 40_000  # explored
    ticks: int = 4
