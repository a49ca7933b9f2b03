"""Queries other members for their policy status when it is needed and no link provides it."""

from __future__ import annotations

import random
from math import inf

from ...fleet.policy.replica import PolicyReplica
from ...fleet.policy.statuses import STATUS_LIFETIME
from ..actor import Actor, Coroutine
from .links import LinkManager, MemberQuery
from .messages import POLICY_STATUS_NEEDED, RESTART_WATCH

MAX_QUERIES = 16  # members queried at a time
POLL_INTERVAL = 1 / 16  # of the lifetime of a status
REFRESH_AGE = 3 / 4  # of the lifetime: the age from which on a group's latest status is requested again
QUERY_TIMEOUT = 1 / 4  # of the lifetime: how long to wait for an answer before another member is queried
JITTER_MIN, JITTER_RANGE = 0.75, 0.5  # of the poll interval

Group = int | str  # the number of another shard, or the name of a member of our own shard


class PolicyPoller(Actor):
    """Queries all members of our own shard, and one of each other shard, which relays its shard's statuses.

    While a decision is awaited, it also restarts the watch of the coordination store.
    """

    daemon = True

    def __init__(
        self,
        links: LinkManager,
        policy_replica: PolicyReplica,
        state_watcher: Actor,
        rng: random.Random,
        lease: float,
    ) -> None:
        """`lease`: seconds."""
        self.links, self.policy_replica, self.state_watcher = links, policy_replica, state_watcher
        self.rng, self.status_lifetime = rng, STATUS_LIFETIME * lease
        self.restart_watch_at = -inf
        self.queried_at: dict[Group, float] = {}  # time of the latest query by group
        super().__init__(links.loop)

    def run(self) -> Coroutine[None]:
        """Poll whenever the statuses of other members are needed."""
        while True:
            until = self._next_poll_at()
            while self.loop.now() < until:
                yield until
            now = self.policy_replica.now = self.loop.now()
            if self.policy_replica.needs_statuses:
                self._poll(now)

    def _next_poll_at(self) -> float:
        replica, now = self.policy_replica, self.loop.now()
        jitter = JITTER_MIN + JITTER_RANGE * self.rng.random()
        until = now + POLL_INTERVAL * self.status_lifetime * jitter
        needed_at = replica.needs_statuses_at()
        if needed_at > now and not replica.unavailable_since:
            until = max(until, min(needed_at, now + self.status_lifetime))
        return until

    def _poll(self, now: float) -> None:
        replica = self.policy_replica
        for link in self.links.links.values():
            link.post(POLICY_STATUS_NEEDED)
        for address in self._addresses(now):
            MemberQuery(self.links, address, replica.decided_version).begin()
        if replica.promise is not None and now >= max(replica.promise.at, self.restart_watch_at):
            # The watch may have failed silently while the decision is awaited.
            self.restart_watch_at = now + replica.lease
            self.state_watcher.post(RESTART_WATCH)

    def _addresses(self, now: float) -> list[str]:
        """Return the addresses to query now: one in each of the groups with the oldest statuses."""
        groups = self._unlinked_groups()
        latest = self._latest_statuses()
        self.queried_at = {group: at for group, at in self.queried_at.items() if group in groups}
        due = [
            group
            for group in groups
            if now >= latest.get(group, -inf) + REFRESH_AGE * self.status_lifetime
            and now >= self.queried_at.get(group, -inf) + QUERY_TIMEOUT * self.status_lifetime
        ]
        # Shuffled before the sort, so that the members do not all query the same groups.
        self.rng.shuffle(due)
        due.sort(key=lambda group: max(latest.get(group, -inf), self.queried_at.get(group, -inf)))
        chosen = due[:MAX_QUERIES]
        self.queried_at |= dict.fromkeys(chosen, now)
        return [self.rng.choice(groups[group]) for group in chosen]

    def _unlinked_groups(self) -> dict[Group, list[str]]:
        """Return the addresses of the members that we have no link with, by group."""
        view, replica = self.links.view, self.policy_replica
        present = {member.name: member.address for member in view.members.values()}
        linked = {view.members[member].name for member in self.links.links if member in view}
        absent = {name: at for name, at in replica.stored.addresses.items() if name not in present}
        own_address, own_shard = present.get(replica.name, ""), view.shard_of_member(replica.member_id)
        groups: dict[Group, list[str]] = {}
        for name, address in (absent | present).items():
            if name not in linked and address and address != own_address:
                shard = view.shard_of_member(f"{name}.")
                groups.setdefault(name if shard == own_shard else shard, []).append(address)
        return groups

    def _latest_statuses(self) -> dict[Group, float]:
        """Return when the latest status of each group was made."""
        view = self.links.view
        own_shard = view.shard_of_member(self.policy_replica.member_id)
        latest: dict[Group, float] = {}
        for status in self.policy_replica.statuses.values():
            shard = view.shard_of_member(status.member)
            group = status.name if shard == own_shard else shard
            latest[group] = max(status.made_at, latest.get(group, -inf))
        return latest
