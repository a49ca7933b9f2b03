"""Events in the model of one replicated request, and limits on their number. See `model_replication`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

MEMBERS = ("a", "b", "c")
LIMITED = (
    "crashes", "cuts", "retries", "duplicates", "shard_changes", "failed_dials", "idle_closes",
)  # fmt: skip  # fields of `Bounds` that limit how often events happen


class EventKind(StrEnum):
    """The kinds of events."""

    FRAME_ARRIVES = "frame_arrives"
    ATTEMPT_SENT = "attempt_sent"
    ATTEMPT_ENDS = "attempt_ends"
    CLIENT_SENDS = "client_sends"
    DUPLICATE_SENT = "duplicate_sent"
    VIEW_CHANGES = "view_changes"
    SHARDS_CHANGE = "shards_change"
    CRASHES = "crashes"
    LINK_UP = "link_up"
    LINK_CUT = "link_cut"
    LINK_IDLE = "link_idle"
    DIAL_ENDS = "dial_ends"
    DIAL_FAILS = "dial_fails"
    SETTLES = "settles"


LINK_EVENTS = {
    EventKind.FRAME_ARRIVES, EventKind.LINK_UP, EventKind.LINK_CUT, EventKind.LINK_IDLE, EventKind.DIAL_ENDS,
    EventKind.DIAL_FAILS,
}  # fmt: skip


class Event(NamedTuple):
    """An event and the members that it concerns; `position` is that of an attempt in its list."""

    kind: EventKind
    member: str = ""
    peer: str = ""
    position: int = 0


SETTLES = Event(EventKind.SETTLES)


@dataclass(frozen=True)
class Bounds:
    """Limits on how often each event may happen in one history, the members, and the start of the history."""

    crashes: int = 1  # of members
    cuts: int = 0  # of links
    retries: int = 1  # of clients
    duplicates: int = 0  # requests with the same key from other clients
    max_states: int = 60_000  # at which a search ends incomplete
    members: tuple[str, ...] = MEMBERS
    shards: int = 1
    shard_changes: int = 0  # from one shard to two, or from two to one
    failed_dials: int = 0  # a dialled link does not come up although the other member is alive
    idle_closes: int = 0  # a link between shards that neither side needs is closed
    all_linked: bool = False  # links between shards exist from the start, as if left by earlier requests
    crash_candidates: tuple[str, ...] = ()  # members that may crash; empty: all
    initial_events: tuple[Event, ...] = ()  # applied before the search
