"""What may happen in the model of one replicated request, and how often. See `model_replication`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

MEMBERS = ("a", "b", "c")
LIMITED = (
    "crashes", "cuts", "retries", "duplicates", "shard_changes", "failed_dials", "idle_closes",
)  # fmt: skip  # fields of `Bounds` that events use up


class EventKind(StrEnum):
    """What may happen next."""

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
    """An event, and the members that it concerns; of an attempt's event, its place among them."""

    kind: EventKind
    member: str = ""
    peer: str = ""
    place: int = 0


SETTLES = Event(EventKind.SETTLES)


@dataclass(frozen=True)
class Bounds:
    """How often each fault may happen in one history."""

    crashes: int = 1
    cuts: int = 0
    retries: int = 1  # of clients
    duplicates: int = 0  # requests of other clients with the same key
    max_states: int = 60_000  # explored
    members: tuple[str, ...] = MEMBERS
    shards: int = 1
    shard_changes: int = 0  # one shard into two, or two into one
    failed_dials: int = 0  # a link that is dialled does not come up, though its member lives
    idle_closes: int = 0  # a link between shards that neither side needs ends
    all_linked: bool = False  # there are links between shards too, as if left by earlier requests
    crash_candidates: tuple[str, ...] = ()  # empty: anybody
    initial_events: tuple[Event, ...] = ()  # what has happened before
