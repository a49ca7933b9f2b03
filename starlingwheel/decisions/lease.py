"""Lease of the endpoint list: how long the list may be used without hearing from its source.

The list is known to be valid only up to the time at which its source was last heard. A later change counts as
notified after a delay, whether or not the notice arrives. Once that delay and the drain grace have passed, an
attempt by the old list may reach an endpoint that is draining or gone. The list is therefore held under a
lease, which its source renews: attempts may start until the lease expires, and none after that, whatever
other reason there is to start one. Every place that starts an attempt calls `EndpointLease.allows`;
nothing else decides whether the lease permits it.

Times are in seconds on the loop's clock.
"""

from __future__ import annotations

import enum
from math import inf

# A change that a watch misses counts as notified this long after the watch was last heard, or after discovery
# can be reached again.
MISSED_NOTICE_DELAY = 6.0
# Discovery sends notices in rounds, so a change may have been made this long before the last message.
NOTICE_INTERVAL = 2.0
# A watch may end instead of reporting a change, which then counts as notified this long after the end. The
# shortest time measured on the bench is 1.68 s.
WATCH_ENDED_NOTICE_DELAY = 1.5
# The endpoint list of a new discovery source counts as notified this long after a new configuration names it.
SOURCE_CHANGE_NOTICE_DELAY = 4.0
# Margin for a delay of the process between reading the clock and sending the first byte, and for inexact
# clocks.
PROCESS_DELAY_MARGIN = 0.2
# Grace if the settings give none: time for the rest of a message to arrive.
DEFAULT_GRACE = 0.1
# A working watch sends something at least this often; after a longer silence the list is in doubt.
IN_DOUBT_AFTER = 2.5


class LeaseState(enum.Enum):
    """Whether the endpoint list may be used."""

    FRESH = "fresh"
    IN_DOUBT = "in_doubt"  # still used, while its source is being called
    EXPIRED = "expired"  # no attempt may start


class EndpointLease:
    """The lease of one sidecar's endpoint list."""

    def __init__(self, drain_grace: float, pushed: bool) -> None:
        """Create a lease that does not expire until `start`.

        `pushed`: the list is pushed by an agent, and a change that the agent has counts as notified at once.
        """
        self.pushed = pushed
        self.expires_at = inf  # until `start`: without a source the list never expires
        self.in_doubt_at = inf
        self.incomplete_since = inf  # when the oldest incomplete message began to arrive
        # While a new source replaces the old one: the time up to which the old one can renew the lease.
        self.source_change_deadline = inf
        self.set_grace(drain_grace)

    def set_grace(self, drain_grace: float) -> None:
        """Set the time in which an attempt may still start after a drain notice, from the settings."""
        grace = drain_grace or DEFAULT_GRACE
        self.allowance = max(grace - PROCESS_DELAY_MARGIN, grace / 2)

    # Events of the source.

    def start(self, now: float) -> None:
        """Start the lease of the list that the process starts with, which may be outdated."""
        self.in_doubt_at = now
        self.expires_at = now + self._silence_allowance

    def renew(self, now: float, started_at: float) -> None:
        """Renew the lease on a complete message of the active watch; its first byte came at `started_at`.

        Of two calls that are answered together, one is given up in the middle of its message. The other one
        carries the same message, so it settles the incomplete one too.
        """
        if started_at > self.incomplete_since - self.allowance:
            self.incomplete_since = inf
        self.in_doubt_at = now + IN_DOUBT_AFTER
        self.expires_at = now + MISSED_NOTICE_DELAY + self.allowance

    def note_message_started(self, now: float) -> None:
        """Record the first byte of a message: all of its contents count as notified now."""
        self.incomplete_since = min(self.incomplete_since, now)

    def note_watch_ended(self, now: float, reset: bool) -> None:
        """Record the end of the active watch.

        A reset may mean that discovery itself has ended; an orderly end seldom does.
        """
        may_be_down = reset or self.pushed
        until = now + (self._silence_allowance if may_be_down else WATCH_ENDED_NOTICE_DELAY + self.allowance)
        self.in_doubt_at = min(self.in_doubt_at, now)
        self.expires_at = min(self.expires_at, until)

    def note_watch_silent(self, now: float) -> None:
        """Record that the active watch is silent; missed changes count from when it was last heard."""
        self.in_doubt_at = min(self.in_doubt_at, now)

    def assume_source_down(self) -> None:
        """Suspend expiry: after a long silence the source counts as down and can notify nobody."""
        self.expires_at = inf

    def note_source_unreachable(self, now: float) -> None:
        """Record that the source cannot be reached: its changes do not count as notified until it can be."""
        until = now + (0.0 if self.pushed else MISSED_NOTICE_DELAY) + self.allowance
        self.expires_at = max(self.expires_at, until)
        if self.source_change_deadline < inf:
            self.source_change_deadline = max(self.source_change_deadline, until)

    def begin_source_change(self, now: float) -> None:
        """Record that a new source replaces the old one and has not been heard yet."""
        self.source_change_deadline = now + SOURCE_CHANGE_NOTICE_DELAY + self.allowance

    def complete_source_change(self) -> None:
        """Record that the new source has been heard."""
        self.source_change_deadline = inf

    @property
    def _silence_allowance(self) -> float:
        """Time from the last sign of the source to the expiry of the lease."""
        return (0.0 if self.pushed else MISSED_NOTICE_DELAY - NOTICE_INTERVAL) + self.allowance

    # Queries.

    @property
    def ends_at(self) -> float:
        """Time at which the lease expires, as known now."""
        return min(self.expires_at, self.source_change_deadline, self.incomplete_since + self.allowance)

    def allows(self, now: float) -> bool:
        """Return whether an attempt may start at an endpoint of the list."""
        return now < self.ends_at

    def state(self, now: float) -> LeaseState:
        """Return the state of the lease."""
        if not self.allows(now):
            return LeaseState.EXPIRED
        doubtful = now >= self.in_doubt_at or self.incomplete_since < inf or self.source_change_deadline < inf
        return LeaseState.IN_DOUBT if doubtful else LeaseState.FRESH
