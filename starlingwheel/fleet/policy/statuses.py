"""What other members say of the policy that they follow, and for how long a majority is known to follow ours.

A member that can't reach the coordination store goes on as long as more than half of the registered names
follow the same policy and have voted for no newer one: a decision needs more than half, so one of them would
know of it.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Collection, Container
from math import inf

import msgspec

from ..records import Policy

STATUS_LIFETIME = 1.0  # leases for which a status counts; less than the least time from a vote to its switch
RECOUNT_INTERVAL = 1 / 64  # of a lease between two counts, where statuses have only been renewed


class PolicyStatus(msgspec.Struct, array_like=True, frozen=True):
    """What a member says of itself. Times are seconds on the wall clock."""

    member: str
    name: str
    made_at: float
    version: int
    digest: str
    follows_until: float  # from then on it may have to follow another policy
    decided_version: int  # the latest that it knows to be decided
    ended_proposal: int  # the latest that it knows to have ended
    is_decision_known: bool  # it knows what is decided


class PeerStatuses:
    """The latest status of each member, from itself or relayed. Times are seconds on the wall clock."""

    def __init__(self, own_name: str, lease: float) -> None:
        """`own_name`: the registered name of this member. `lease`: seconds."""
        self.own_name, self.lease = own_name, lease
        self.by_member: dict[str, PolicyStatus] = {}
        self.member_of_name: dict[str, str] = {}
        self.counted_until: float | None = None  # the last count; None: it does not hold any more
        self.counted_at = -inf
        self.renewed_since_count = False  # statuses have been, which can only have prolonged it

    def copy(self) -> PeerStatuses:
        """A copy with statuses of its own."""
        other = copy.copy(self)
        other.by_member = dict(self.by_member)
        return other

    def add(self, status: PolicyStatus, policy: Policy) -> bool:
        """Take over a status unless it is older than the one known. `policy`: which is in force here."""
        before = self.by_member.get(status.member)
        if before is not None and before.made_at > status.made_at:
            return False
        self.by_member[status.member] = status
        until_before = -inf if before is None else self.valid_until(before, policy)
        is_only_of_name = self.member_of_name.setdefault(status.name, status.member) == status.member
        if is_only_of_name and self.valid_until(status, policy) >= until_before:
            self.renewed_since_count = True
        else:
            self.invalidate_count()
        return True

    def invalidate_count(self) -> None:
        """Have the majority counted anew the next time that it is asked for."""
        self.counted_until = None

    def recent(self, members: Container[str], limit: int, now: float) -> list[PolicyStatus]:
        """Statuses of these members that others may still count, the youngest first."""
        oldest = now - STATUS_LIFETIME * self.lease
        statuses = [
            status
            for status in self.by_member.values()
            if status.made_at > oldest and status.member in members
        ]
        return sorted(statuses, key=lambda status: -status.made_at)[:limit]

    def valid_until(self, status: PolicyStatus, policy: Policy) -> float:
        """Until when the status counts, by its own time, however it came here; -inf: not at all."""
        is_same = (status.version, status.digest) == (policy.version, policy.digest)
        if not is_same or not status.is_decision_known:
            return -inf
        return min(status.made_at + STATUS_LIFETIME * self.lease, status.follows_until)

    def agreed_until(self, now: float, count: Callable[[], float]) -> float:
        """Until when a majority is known to follow the same policy, by `count`, called where it is needed."""
        until = self.counted_until
        if until is not None and self.renewed_since_count and now >= until:
            # Does not count a large fleet anew for each status that comes.
            until = None if now >= self.counted_at + RECOUNT_INTERVAL * self.lease else until
        if until is None:
            until = self.counted_until = count()
            self.renewed_since_count, self.counted_at = False, now
        return until

    def count(self, names: Collection[str], policy: Policy, now: float) -> float:
        """Until when more than half of the registered `names` are known to follow `policy`; -inf: they don't.

        Forgets statuses that are too old to count.
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
            # Of two processes of one name, the one that knows more may have voted for a newer policy.
            until[status.name] = min(self.valid_until(status, policy), until.get(status.name, inf))
        needed = len(names) // 2 + 1 - (self.own_name in names)
        if not names:
            return -inf
        if needed <= 0:
            return inf
        latest_first = sorted(until.values(), reverse=True)
        return latest_first[needed - 1] if len(latest_first) >= needed else -inf
