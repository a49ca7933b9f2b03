"""The policy statuses of other members, and until when a majority is known to follow the same policy.

A member that cannot reach the coordination store continues to accept requests as long as more than half of
the registered names follow the same policy and have not voted for a newer one: a decision needs the votes of
more than half of the names, so at least one of the members that are counted would have voted for it.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Collection, Container
from math import inf

import msgspec

from ..records import Policy

STATUS_LIFETIME = 1.0  # leases that a status is valid; less than the minimum from a vote to the switch time
RECOUNT_INTERVAL = 1 / 64  # of a lease: minimum between two counts while statuses are only renewed


class PolicyStatus(msgspec.Struct, array_like=True, frozen=True):
    """The policy state that a member reports of itself. Times are seconds on the wall clock."""

    member: str
    name: str
    made_at: float
    version: int
    digest: str
    follows_until: float  # from then on the member may follow another policy
    decided_version: int  # the latest version that it knows to be decided
    ended_proposal: int  # the number of the latest proposal that it knows to have ended
    is_decision_known: bool  # whether it knows the latest decision


class PeerStatuses:
    """The latest status of each member, received directly or relayed. Times are seconds on the wall clock."""

    def __init__(self, own_name: str, lease: float) -> None:
        """`own_name`: the registered name of this member. `lease`: seconds."""
        self.own_name, self.lease = own_name, lease
        self.by_member: dict[str, PolicyStatus] = {}
        self.member_of_name: dict[str, str] = {}
        self.counted_until: float | None = None  # the cached result of the last count; None: invalid
        self.counted_at = -inf
        self.renewed_since_count = False  # renewed statuses can only have extended the result

    def copy(self) -> PeerStatuses:
        """Return a copy whose statuses can be changed independently."""
        other = copy.copy(self)
        other.by_member = dict(self.by_member)
        return other

    def add(self, status: PolicyStatus, policy: Policy) -> bool:
        """Store a status; return False if it is older than the known one. `policy`: the one in force here."""
        before = self.by_member.get(status.member)
        if before is not None and before.made_at > status.made_at:
            return False
        self.by_member[status.member] = status
        until_before = -inf if before is None else self.valid_until(before, policy)
        is_only_with_name = self.member_of_name.setdefault(status.name, status.member) == status.member
        if is_only_with_name and self.valid_until(status, policy) >= until_before:
            self.renewed_since_count = True
        else:
            self.invalidate_count()
        return True

    def invalidate_count(self) -> None:
        """Discard the cached count, so that the next `agreed_until` counts again."""
        self.counted_until = None

    def recent(self, members: Container[str], limit: int, now: float) -> list[PolicyStatus]:
        """Return the unexpired statuses of these members, the most recent first, at most `limit`."""
        oldest = now - STATUS_LIFETIME * self.lease
        statuses = [
            status
            for status in self.by_member.values()
            if status.made_at > oldest and status.member in members
        ]
        return sorted(statuses, key=lambda status: -status.made_at)[:limit]

    def valid_until(self, status: PolicyStatus, policy: Policy) -> float:
        """Return until when a status counts for `policy`; -inf if it does not.

        The lifetime begins when the member made the status, regardless of relays.
        """
        is_same = (status.version, status.digest) == (policy.version, policy.digest)
        if not is_same or not status.is_decision_known:
            return -inf
        return min(status.made_at + STATUS_LIFETIME * self.lease, status.follows_until)

    def agreed_until(self, now: float, count: Callable[[], float]) -> float:
        """Return until when a majority is known to follow the same policy.

        `count` computes the result; it is called only if the cached one is no longer valid.
        """
        until = self.counted_until
        if until is not None and self.renewed_since_count and now >= until:
            # Limits the rate of counts: a large fleet is not counted again for each status that arrives.
            until = None if now >= self.counted_at + RECOUNT_INTERVAL * self.lease else until
        if until is None:
            until = self.counted_until = count()
            self.renewed_since_count, self.counted_at = False, now
        return until

    def count(self, names: Collection[str], policy: Policy, now: float) -> float:
        """Return until when more than half of the registered `names` are known to follow `policy`.

        -inf if no majority is known to follow it. Discards expired statuses.
        """
        oldest = now - STATUS_LIFETIME * self.lease
        self.by_member = {
            member: status for member, status in self.by_member.items() if status.made_at > oldest
        }
        self.member_of_name = {status.name: member for member, status in self.by_member.items()}
        until: dict[str, float] = {}
        for status in self.by_member.values():
            if status.name not in names or status.name == self.own_name:
                continue
            # If two processes have one name, the earlier time counts: either of them may have voted for a
            # newer policy.
            until[status.name] = min(self.valid_until(status, policy), until.get(status.name, inf))
        needed = len(names) // 2 + 1 - (self.own_name in names)
        if not names:
            return -inf
        if needed <= 0:
            return inf
        latest_first = sorted(until.values(), reverse=True)
        return latest_first[needed - 1] if len(latest_first) >= needed else -inf
