"""Why calls of etcd fail."""

from __future__ import annotations

from enum import StrEnum


class EtcdFailure(StrEnum):
    """Reason codes. The values are counted and logged."""

    CALL_TIMEOUT = "slow"
    CONNECTION_CLOSED = "closed"
    WATCH_QUIET = "quiet"
    WATCH_ENDED = "watch-ended"
    WATCH_COMPACTED = "compacted"
    WATCH_CANCELED = "canceled"
    REPLY_TOO_LONG = "endless"
    REPLY_UNREADABLE = "unreadable"
    INVALID_NUMBER = "no-number"
    TOO_MANY_ENTRIES = "too-many"
    UNREQUESTED_KEY = "not-asked-for"
    ENTRY_LOST = "entry-gone"
    LEASE_ENDED = "lease-ended"


class EtcdError(Exception):
    """Base class. The text of an error is its reason code."""


class EtcdUnavailableError(EtcdError):
    """No answer came, or none in time."""


class UnusableReplyError(EtcdError):
    """An answer that cannot be used."""


class UnexpectedStatusError(UnusableReplyError):
    """An answer with another HTTP status than 200."""

    def __init__(self, status: int) -> None:
        """`status`: as received."""
        super().__init__(f"answered-{status}")


class EntryLostError(EtcdError):
    """Our entry among the members is no longer in the store."""

    def __init__(self) -> None:
        """Takes no argument: there is one reason."""
        super().__init__(EtcdFailure.ENTRY_LOST)
