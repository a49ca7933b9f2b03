"""Messages between the actors of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ...fleet.membership import Member, MembershipView
from ...fleet.records import StoreRecords, Transaction

# Messages to the member's host


@dataclass(slots=True, eq=False)
class LinkUp:
    """To the host: a link to that member is established."""

    member: str
    link: Any


@dataclass(slots=True, eq=False)
class LinkDown:
    """To the host: the link to that member has ended."""

    member: str
    link: Any


@dataclass(slots=True, eq=False)
class MemberUnreachable:
    """To the host: no link to that member was established in time."""

    member: str


@dataclass(slots=True, eq=False)
class FrameReceived:
    """To the host: a frame of that member; an empty name stands for a sender without a link."""

    member: str
    frame: Any


@dataclass(slots=True, eq=False)
class ViewChanged:
    """To the host and the links: the view as read from the store.

    `gap`: views between the former and this one may have been missed.
    """

    view: MembershipView
    gap: bool


@dataclass(slots=True, eq=False)
class LeaseRenewed:
    """To the host: our lease holds until `until`. `entry_revision`: the revision of our membership entry."""

    until: float
    entry_revision: int


@dataclass(slots=True, eq=False)
class StoreRead:
    """To the host: the records of the store. `gap`: changes since the former ones may have been missed."""

    records: StoreRecords
    gap: bool


# Messages to the links


@dataclass(slots=True, eq=False)
class DialMember:
    """To the `LinkManager`: open a link to that member.

    `LinkUp` or `MemberUnreachable` follows, unless there is a link already.
    """

    member: str


@dataclass(slots=True, eq=False)
class SendFrame:
    """To a link: send an encoded frame about a request."""

    data: bytes


class PolicyStatusNeeded:
    """To a link: the policy status of other members may be needed soon."""


class ProbeLink:
    """To a link: send a heartbeat, which shows whether the other side still has the connection."""


class RequestPolicyStatus:
    """To a link: ask the other side once for its policy status."""


POLICY_STATUS_NEEDED = PolicyStatusNeeded()
PROBE_LINK = ProbeLink()
REQUEST_POLICY_STATUS = RequestPolicyStatus()


# Messages to the clients of the coordination store


@dataclass(slots=True, eq=False)
class WriteTransaction:
    """To the `StateWriter`: write the transaction once.

    `done`: whether the transaction was committed; None: that is not known yet.
    """

    transaction: Transaction
    done: bool | None = None


class WritePending:
    """To the `StateWriter`: check again which transaction is due."""


class RestartWatch:
    """To the `StateWatcher`: restart the watch, which may no longer deliver events."""


@dataclass(slots=True, eq=False)
class EvictMember:
    """To the `MemberEvictor`: no process listens at that member's address any longer."""

    member: Member


@dataclass(slots=True, eq=False)
class EntryLost:
    """To the `LeaseKeeper`: our own entry is no longer in the store."""


WRITE_PENDING = WritePending()
RESTART_WATCH = RestartWatch()


# Messages to a connection


@dataclass(slots=True, eq=False)
class ExchangeReleased:
    """To a connection: the attempt whose last byte it withholds may be written completely."""

    exchange: Any
