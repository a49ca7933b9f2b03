"""How long the endpoint list may be acted on: a lease that its source renews.

An endpoint list is proven only up to the moment at which its source was last heard. What changes after that
counts as notified some time later, whether or not it arrives; from then on, plus the grace for drains, an
attempt by the old list may reach an endpoint that drains or is gone. So the list is held as a lease: while it
has not expired attempts may begin, and once it has none may, whatever else speaks for them. Every place that
begins an attempt calls `EndpointLease.allows`; nothing else decides it.

Times are seconds on the loop's clock.
"""

from __future__ import annotations

import enum
from math import inf

# What a watch misses counts as notified so long after it fell silent, or after discovery could be reached.
MISSED_NOTICE_DELAY = 6.0
# A change may have been made so long before the last message: discovery notifies in rounds.
NOTICE_INTERVAL = 2.0
# A watch that ends may have ended instead of telling of a change, which then counts as notified. Measured on
# the bench: 1.68 s at the least.
WATCH_ENDED_NOTICE_DELAY = 1.5
# What a new discovery has counts as notified so long after a new configuration names it.
SOURCE_CHANGE_NOTICE_DELAY = 4.0
# A process may be held up between its look at the clock and its first byte, and the clocks have some slack.
PROCESS_DELAY_MARGIN = 0.2
# The grace where the settings name none: time for the rest of a message to arrive.
DEFAULT_GRACE = 0.1
# A watch that lives says something at least this often; later than that the list is in doubt.
IN_DOUBT_AFTER = 2.5


class LeaseState(enum.Enum):
    """What the list is worth."""

    FRESH = "fresh"
    IN_DOUBT = "in_doubt"  # still acted on; its source is being called
    EXPIRED = "expired"  # nothing may begin


class EndpointLease:
    """The lease of one sidecar's endpoint list."""

    def __init__(self, drain_grace: float, pushed: bool) -> None:
        """`pushed`: the list comes unasked, and what its agent has counts as notified at once."""
        self.pushed = pushed
        self.expires_at = inf  # until `start`: whoever has no source to lose holds the list for ever
        self.doubtful_at = inf
        self.incomplete_since = inf  # an incomplete message has begun to arrive
        self.moves_by = inf  # a new source takes the place of the old one, which proves nothing past this
        self.set_grace(drain_grace)

    def set_grace(self, drain_grace: float) -> None:
        """The time for which an attempt may still begin after a notice, from the settings."""
        grace = drain_grace or DEFAULT_GRACE
        self.allowance = max(grace - PROCESS_DELAY_MARGIN, grace / 2)

    # What is heard of the source.

    def start(self, now: float) -> None:
        """A process begins with a list that it had before."""
        self.doubtful_at = now
        self.expires_at = now + self._unheard_notice

    def renew(self, now: float, begun_at: float) -> None:
        """A complete message of the watch in force has come; its first byte came at `begun_at`.

        Of two calls that are answered together one is given up within its message: the other brings the same.
        """
        if begun_at > self.incomplete_since - self.allowance:
            self.incomplete_since = inf
        self.doubtful_at = now + IN_DOUBT_AFTER
        self.expires_at = now + MISSED_NOTICE_DELAY + self.allowance

    def note_message_started(self, now: float) -> None:
        """A message has begun to arrive: it counts as notified now, with all that is still to come of it."""
        self.incomplete_since = min(self.incomplete_since, now)

    def note_watch_ended(self, now: float, reset: bool) -> None:
        """The watch in force has ended. A reset may be the end of discovery itself, an end seldom is."""
        gone = reset or self.pushed
        until = now + (self._unheard_notice if gone else WATCH_ENDED_NOTICE_DELAY + self.allowance)
        self.doubtful_at = min(self.doubtful_at, now)
        self.expires_at = min(self.expires_at, until)

    def note_watch_silent(self, now: float) -> None:
        """The watch in force says nothing; what it misses counts from when it was last heard."""
        self.doubtful_at = min(self.doubtful_at, now)

    def assume_source_down(self) -> None:
        """Nothing was heard of the source for so long that it counts as down: it can notify nobody."""
        self.expires_at = inf

    def note_source_unreachable(self, now: float) -> None:
        """The source can't be reached: nothing that it has counts as notified until it can be."""
        until = now + (0.0 if self.pushed else MISSED_NOTICE_DELAY) + self.allowance
        self.expires_at = max(self.expires_at, until)
        if self.moves_by < inf:
            self.moves_by = max(self.moves_by, until)

    def begin_source_change(self, now: float) -> None:
        """Another source is in force from now on, which has not been heard yet."""
        self.moves_by = now + SOURCE_CHANGE_NOTICE_DELAY + self.allowance

    def complete_source_change(self) -> None:
        """The new source has been heard."""
        self.moves_by = inf

    @property
    def _unheard_notice(self) -> float:
        """From when nothing is heard to when the lease ends."""
        return (0.0 if self.pushed else MISSED_NOTICE_DELAY - NOTICE_INTERVAL) + self.allowance

    # What may be done.

    @property
    def ends_at(self) -> float:
        """When the lease expires, as far as is known now."""
        return min(self.expires_at, self.moves_by, self.incomplete_since + self.allowance)

    def allows(self, now: float) -> bool:
        """Something new may begin at an endpoint of the list."""
        return now < self.ends_at

    def state(self, now: float) -> LeaseState:
        """What the list is worth now."""
        if not self.allows(now):
            return LeaseState.EXPIRED
        doubtful = now >= self.doubtful_at or self.incomplete_since < inf or self.moves_by < inf
        return LeaseState.IN_DOUBT if doubtful else LeaseState.FRESH
