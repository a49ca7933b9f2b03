"""Errors of calls to etcd, and their reason codes."""

from __future__ import annotations

from enum import StrEnum


class EtcdFailure(StrEnum):
    """Reason codes of failed calls. The values are counted and logged."""

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
    """Base class of the errors. The text of an error is its reason code."""


class EtcdUnavailableError(EtcdError):
    """No reply arrived, or none in time."""


class UnusableReplyError(EtcdError):
    """A reply cannot be used."""


class UnexpectedStatusError(UnusableReplyError):
    """A reply has an HTTP status other than 200."""

    def __init__(self, status: int) -> None:
        """`status`: the HTTP status of the reply."""
        super().__init__(f"answered-{status}")


class EntryLostError(EtcdError):
    """Our membership entry is no longer in the store."""

    def __init__(self) -> None:
        """Create the error with its only reason code."""
        super().__init__(EtcdFailure.ENTRY_LOST)
