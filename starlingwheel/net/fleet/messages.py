"""What the fleet's actors write to each other and to the module."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ...fleet.membership import Member, MembershipView
from ...fleet.records import StoreRecords, Transaction


@dataclass(slots=True, eq=False)
class LinkUp:
    """To the module: a member has said who it is."""

    member: str
    link: Any


@dataclass(slots=True, eq=False)
class LinkDown:
    """To the module: that link has ended."""

    member: str
    link: Any


@dataclass(slots=True, eq=False)
class DialMember:
    """To the links: that member is needed. `LinkUp` or `Unreached` follows, unless its link is up already."""

    member: str


@dataclass(slots=True, eq=False)
class MemberUnreachable:
    """To the module: no link to that member came up."""

    member: str


@dataclass(slots=True, eq=False)
class FrameReceived:
    """To the module: a frame that a member has sent."""

    member: str
    frame: Any


@dataclass(slots=True, eq=False)
class SendFrame:
    """To a link: send these bytes."""

    data: bytes


@dataclass(slots=True, eq=False)
class ViewChanged:
    """To the module and the links: who is in. `gap`: there may have been views between that nobody saw."""

    view: MembershipView
    gap: bool


@dataclass(slots=True, eq=False)
class LeaseRenewed:
    """To the module: our lease holds until then; the revision of our entry under it."""

    until: float
    entered: int


@dataclass(slots=True, eq=False)
class StoreRead:
    """To the module: what the arbiter has. `gap`: there may have been changes between that nobody saw."""

    records: StoreRecords
    gap: bool


@dataclass(slots=True, eq=False)
class WriteTransaction:
    """To the arbiter's client: this, once. `done` tells whether it was; None: not known yet."""

    txn: Transaction
    done: bool | None = None


class WritePending:
    """To an actor: look again at what is due."""


class CheckLinks:
    """To a link: the words of others may be needed soon."""


class ProbeLink:
    """To a link: say something, which shows whether the other side has it still."""


class ResumeDialing:
    """To a link: have the other side say its word on the policy, once."""


class RegisterAgain:
    """To the arbiter's client: what it watches may have gone quiet; begin the watch anew."""


WRITE_PENDING, CHECK_LINKS, PROBE_LINK, RESUME_DIALING, REGISTER_AGAIN = (
    WritePending(),
    CheckLinks(),
    ProbeLink(),
    ResumeDialing(),
    RegisterAgain(),
)


@dataclass(slots=True, eq=False)
class EvictMember:
    """To the arbiter's client: nobody listens at that member's address any more."""

    member: Member


@dataclass(slots=True, eq=False)
class EntryLost:
    """To the arbiter's client: our own entry has gone."""


@dataclass(slots=True, eq=False)
class ExchangeReleased:
    """To a connection: the hand-off that it holds back may be written whole."""

    exchange: Any
