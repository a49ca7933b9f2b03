"""Reasons for which links end."""

from __future__ import annotations

from enum import StrEnum


class LinkEndReason(StrEnum):
    """Reason codes of ended links. The values are counted and logged."""

    # The connection
    CONNECT_FAILED = "unreachable"
    CONNECT_REFUSED = "refused"
    CONNECT_TIMEOUT = "never-came-up"
    CONNECTION_RESET = "reset"
    CONNECTION_CLOSED = "closed"
    PEER_SILENT = "silent"
    PEER_TOO_SLOW = "too-slow"
    # Frames
    FRAME_TOO_LONG = "too-long"
    FRAME_EMPTY = "empty"
    FRAME_UNREADABLE = "unreadable"
    # The handshake
    NO_HELLO = "no-greeting"
    SECOND_HELLO = "greeted-twice"
    OTHER_FLEET = "other-fleet"
    OTHER_VERSION = "other-version"
    OTHER_SHARD_COUNT = "other-cells"
    UNEXPECTED_MEMBER = "not-who-was-called"
    UNKNOWN_MEMBER = "stranger"
    WRONG_DIRECTION = "wrong-way"
    SIMULTANEOUS_DIAL = "crossed"
    # Closed on purpose
    POLICY_QUERY_ANSWERED = "asked"
    REPLACED = "replaced"
    NOT_NEEDED = "not-needed"
    IDLE = "at-rest"
    STOPPED = "stopped"
    INTERNAL_ERROR = "defect"


# Reasons for which a link ends when the process of its member ends.
PROCESS_END_REASONS = frozenset({LinkEndReason.CONNECTION_RESET, LinkEndReason.CONNECTION_CLOSED})
# Reasons for which a dial fails when no process listens at the address.
NO_LISTENER_REASONS = frozenset({LinkEndReason.CONNECT_REFUSED, LinkEndReason.CONNECT_FAILED})
# Frequent and harmless reasons for which a handshake fails. They are counted but not logged.
UNLOGGED_REASONS = frozenset(
    {
        LinkEndReason.CONNECT_REFUSED,
        LinkEndReason.CONNECT_TIMEOUT,
        LinkEndReason.UNKNOWN_MEMBER,
        LinkEndReason.POLICY_QUERY_ANSWERED,
        LinkEndReason.SIMULTANEOUS_DIAL,
        LinkEndReason.REPLACED,
    }
)


class LinkRejectedError(Exception):
    """Ends a link. The text of the error is the value of the reason."""

    def __init__(self, reason: StrEnum) -> None:
        """`reason`: a `LinkEndReason`, or a reason that a trial defines."""
        super().__init__(reason.value)
        self.reason = reason
