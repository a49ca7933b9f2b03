"""Messages between the actors of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ...fleet.membership import Member, MembershipView
from ...fleet.records import StoreRecords, Transaction

# To the member's host


@dataclass(slots=True, eq=False)
class LinkUp:
    """To the host: a link to that member is established."""

    member: str
    link: Any


@dataclass(slots=True, eq=False)
class LinkDown:
    """To the host: that link has ended."""

    member: str
    link: Any


@dataclass(slots=True, eq=False)
class MemberUnreachable:
    """To the host: no link to that member was established in time."""

    member: str


@dataclass(slots=True, eq=False)
class FrameReceived:
    """To the host: a frame of that member; empty: of one that has no link."""

    member: str
    frame: Any


@dataclass(slots=True, eq=False)
class ViewChanged:
    """To the host and the links: the members by the store. `gap`: views between may have been missed."""

    view: MembershipView
    gap: bool


@dataclass(slots=True, eq=False)
class LeaseRenewed:
    """To the host: our lease holds until that time; `entry_revision`: of our entry in the store."""

    until: float
    entry_revision: int


@dataclass(slots=True, eq=False)
class StoreRead:
    """To the host: the records of the store. `gap`: changes between may have been missed."""

    records: StoreRecords
    gap: bool


# To the links


@dataclass(slots=True, eq=False)
class DialMember:
    """To the `LinkManager`: that member is needed.

    `LinkUp` or `MemberUnreachable` follows, unless its link is up already.
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
    """To a link: ask the other side for its policy status, once."""


POLICY_STATUS_NEEDED = PolicyStatusNeeded()
PROBE_LINK = ProbeLink()
REQUEST_POLICY_STATUS = RequestPolicyStatus()


# To the clients of the coordination store


@dataclass(slots=True, eq=False)
class WriteTransaction:
    """To the `StateWriter`: write this once. `done`: whether it was carried out; None: not known yet."""

    transaction: Transaction
    done: bool | None = None


class WritePending:
    """To the `StateWriter`: look again at what is due."""


class RestartWatch:
    """To the `StateWatcher`: the watch may deliver nothing any more; begin it anew."""


@dataclass(slots=True, eq=False)
class EvictMember:
    """To the `MemberEvictor`: no process listens at that member's address any more."""

    member: Member


@dataclass(slots=True, eq=False)
class EntryLost:
    """To the `LeaseKeeper`: our own entry is no longer in the store."""


WRITE_PENDING = WritePending()
RESTART_WATCH = RestartWatch()


# To a connection


@dataclass(slots=True, eq=False)
class ExchangeReleased:
    """To a connection: the attempt that it withholds may be sent in full."""

    exchange: Any
