"""Tracks when a link was last used, and derives the deadlines of its heartbeats."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ....fleet.frames import HeartbeatFrame
from .frame_connection import FrameConnection
from .timing import (
    ACTIVE_PERIOD,
    HEARTBEAT_INTERVAL,
    HEARTBEAT_REPLY_AFTER,
    IDLE_HEARTBEATS_PER_SECOND,
    IDLE_LINK_TIMEOUT,
    MAX_IDLE_HEARTBEAT_INTERVAL,
    MIN_IDLE_HEARTBEAT_INTERVAL,
    MISSED_HEARTBEATS,
    POLICY_HEARTBEAT_INTERVAL_PER_LINK,
)


class LinkActivity:
    """The times of one link, from which its deadlines are derived.

    A link is active for `ACTIVE_PERIOD` after a frame about a request. Until `policy_needed_until`, one side
    may need the other's policy status. The argument `idle` of methods tells that neither side needs the link
    and it may be closed.
    """

    def __init__(self, connection: FrameConnection, link_count: Callable[[], int]) -> None:
        """`link_count` returns the number of links that this member has."""
        self.connection = connection
        self.link_count = link_count
        self.active_since = 0.0
        self.active_until = -inf
        self.policy_needed_until = -inf
        self.last_request_frame = -inf
        self.last_heartbeat = 0.0  # time of our latest heartbeat
        self.local_idle = False  # our latest heartbeat says that this side does not need the link
        self.remote_idle = False  # the other side's latest heartbeat says the same

    @property
    def both_idle(self) -> bool:
        """Whether neither side needs this link."""
        return self.local_idle and self.remote_idle

    def begin(self, now: float) -> None:
        """Initialise the times at the end of the handshake."""
        self.connection.last_received = self.connection.last_sent = self.last_request_frame = now

    def record_request_frame(self, now: float) -> None:
        """Record that a frame about a request was sent or received: the link is active and not idle."""
        if now >= self.active_until or self.both_idle:
            self.active_since = now
        self.active_until = now + ACTIVE_PERIOD
        self.last_request_frame = now
        self.local_idle = self.remote_idle = False

    def record_heartbeat_sent(self, frame: HeartbeatFrame, now: float) -> None:
        """Record a heartbeat that was sent."""
        if frame.in_doubt:
            self.need_policy(now)
        self.local_idle = frame.idle
        self.last_heartbeat = now

    def record_heartbeat_received(self, frame: HeartbeatFrame, now: float) -> None:
        """Record a heartbeat that was received."""
        self.remote_idle = frame.idle
        if frame.in_doubt:
            self.need_policy(now)

    def need_policy(self, now: float) -> None:
        """Have heartbeats carry the policy status for `ACTIVE_PERIOD`."""
        self.policy_needed_until = now + ACTIVE_PERIOD

    def heartbeat_at(self, now: float, idle: bool) -> float:
        """Return when the next heartbeat is due."""
        # The other side may consider the link active slightly longer than this side does.
        if now < self.active_until + MISSED_HEARTBEATS * HEARTBEAT_INTERVAL and not idle:
            at = self.connection.last_sent + HEARTBEAT_INTERVAL
        else:
            at = self.connection.last_sent + self._idle_interval()
        if now < self.policy_needed_until:
            # Frames about requests carry no policy status, so they do not stand for heartbeats with one.
            at = min(at, self.last_heartbeat + self._policy_interval())
        return at

    def lost_at(self, now: float, idle: bool) -> float:
        """Return when the link counts as lost if nothing arrives."""
        last_received = self.connection.last_received
        if now < self.active_until and not idle:
            return max(last_received, self.active_since) + MISSED_HEARTBEATS * HEARTBEAT_INTERVAL
        return last_received + MISSED_HEARTBEATS * self._idle_interval()

    def close_at(self, idle: bool) -> float:
        """Return when to close the link if it is idle."""
        return self.last_request_frame + IDLE_LINK_TIMEOUT if idle else inf

    def should_reply(self, now: float) -> bool:
        """Return whether to answer received frames with a heartbeat."""
        return now >= self.connection.last_sent + HEARTBEAT_REPLY_AFTER

    def _idle_interval(self) -> float:
        shared = self.link_count() * (1 / IDLE_HEARTBEATS_PER_SECOND)
        return min(max(MIN_IDLE_HEARTBEAT_INTERVAL, shared), MAX_IDLE_HEARTBEAT_INTERVAL)

    def _policy_interval(self) -> float:
        return max(HEARTBEAT_INTERVAL, self.link_count() * POLICY_HEARTBEAT_INTERVAL_PER_LINK)
