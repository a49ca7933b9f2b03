"""One policy for a whole fleet: a change of it takes effect everywhere or nowhere, also with members down.

A change is proposed in the coordination store with a switch time. Every member checks it and votes. A yes
binds: from the switch time on its voter takes no requests under the old policy until it knows how the
proposal ended. One transaction decides it (all members of the view have said yes, the view is unchanged, and
they are more than half of the registered names), or one drops it: never both.

A member that can't reach the store past its lease goes on while more than half of the registered names say
that they follow the same policy and have voted for no newer one. Such a status counts for less than the least
time between a vote and its switch time; see `statuses`.

`PolicyReplica` is one member's part. It does no I/O: the host sets `now` and feeds it what is known, a
`PolicyHost` carries out what is asked for, and the host's `StateWriter` asks `due` for the next transaction.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Container
from math import inf

from ..records import Policy, PolicyDecision, PolicyProposal, StoreRecords, Transaction
from ..turns import WriteTurns
from . import transactions
from .document import PolicyBody, digest
from .host import PolicyHost, StoredPolicy
from .statuses import PeerStatuses, PolicyStatus
from .transactions import MAX_REASON_LENGTH, REMEMBERED_PROPOSALS, Vote

DEFAULT_SWITCH_DELAY = 3.0  # leases from a proposal to its switch time
MIN_SWITCH_DELAY = 1.5  # leases from a vote to the switch time, at least
ASSUME_AFTER = 8.0  # leases after which a start without the coordination store goes by the others' statuses
RENEWAL_MARGIN = 1 / 3  # of a lease before its end, by when it is normally renewed
WRITE_DELAY = 1 / 16  # of a lease that each member waits for the one before it to decide or drop
MAX_WRITE_DELAYS = 16
REMEMBERED_WRITES = 4 * REMEMBERED_PROPOSALS
LATE_MARGIN = 1 / 1000  # of a lease past the switch time, when a proposal that is not decided is dropped
NAMED_MEMBERS = 8  # at most, in the reason for which a proposal is dropped


class PolicyReplica:
    """One member's part of the fleet's one policy. Times are seconds on the wall clock."""

    def __init__(
        self, member_id: str, name: str, lease: float, host: PolicyHost, now: float, stored: StoredPolicy
    ) -> None:
        """`lease`: seconds. `stored`: what a former process of this name has stored."""
        self.member_id, self.name, self.lease, self.host, self.now = member_id, name, lease, host, now
        self.started_at = now
        self.stored = stored
        self.records = StoreRecords()
        self.active_policy = Policy()
        self.decision = stored.decision
        self.promise = stored.promise
        self.ended_proposal = stored.ended_proposal
        self.registered_names = list(stored.registered_names)
        self.started_from_file = bool(stored.registered_names)
        self.is_decision_known = False  # read since our entry, or told by a majority's statuses
        self.lease_until, self.entry_revision = -inf, 0  # the end of our lease, and the revision of our entry
        self.peer_statuses = PeerStatuses(name, lease)
        self.vote: Vote | None = None  # the latest
        self.turns = WriteTurns(WRITE_DELAY * lease, MAX_WRITE_DELAYS, REMEMBERED_WRITES)
        self.voter_left_at = now  # when a member that had not voted yes was last seen to go
        self.unavailable_since = 0.0  # 0: requests may be taken
        self.counts: Counter[str] = Counter()
        self.unavailable_seconds = 0.0  # all together

    # Questions of the host.

    def unavailable_reason(self) -> str:
        """Why no request may be taken now; empty: `in_force` holds."""
        self._update_in_force()
        reason = self._find_unavailable_reason()
        if bool(reason) != bool(self.unavailable_since):
            if reason:
                self.unavailable_since = self.now
                self.host.log_event("policy.doubt", reason=reason, version=self.active_policy.version)
            else:
                lasted = self.now - self.unavailable_since
                self.unavailable_seconds += lasted
                self.host.log_event("policy.sure", after=round(lasted, 3))
                self.unavailable_since = 0.0
        return reason

    def _find_unavailable_reason(self) -> str:
        if not self.is_decision_known:
            return "unknown"
        if self.promise is not None and self.now >= self.promise.at:
            return "undecided"
        # The lease is compared with the clock at each request, in case this process was paused. Past it the
        # statuses of the others count, which grow old too.
        return "" if self.now < self._lease_valid_until() or self.now < self._agreed_until() else "alone"

    def _lease_valid_until(self) -> float:
        """Until when nothing can have been decided without us.

        A lease taken anew does not count before our own entry was seen, with what was decided in between.
        """
        seen = self.member_id in self.records.members and self.records.revision >= self.entry_revision
        return self.lease_until if seen else -inf

    def _agreed_until(self) -> float:
        return self.peer_statuses.agreed_until(self.now, self._count_agreed_until)

    def _count_agreed_until(self) -> float:
        """Until when more than half of the registered names are known to follow the same policy."""
        return self.peer_statuses.count(self.registered_names, self.active_policy, self.now)

    def next_check_at(self) -> float:
        """When to call `unavailable_reason` again, whatever comes."""
        times = [self.needs_statuses_at()]
        if self.decision is not None:
            times.append(self.decision.at)
        if self.promise is not None:
            times.append(self.promise.at)
        return min((at for at in times if at > self.now), default=inf)

    @property
    def holds_lease(self) -> bool:
        """Whether our lease holds."""
        return self.now < self._lease_valid_until()

    @property
    def needs_statuses(self) -> bool:
        """Whether the statuses of others may be needed soon, or are."""
        return self.now > self.needs_statuses_at() or bool(self._find_unavailable_reason())

    def needs_statuses_at(self) -> float:
        """When our lease is so near its end that the statuses of others may be needed."""
        return self._lease_valid_until() - RENEWAL_MARGIN * self.lease

    @property
    def decided_version(self) -> int:
        """The latest version that is known to be decided; it may take effect later."""
        return self.decision.policy.version if self.decision else 0

    @property
    def statuses(self) -> dict[str, PolicyStatus]:
        """The latest status of each member."""
        return self.peer_statuses.by_member

    @statuses.setter
    def statuses(self, statuses: dict[str, PolicyStatus]) -> None:
        self.peer_statuses.by_member = statuses

    def recent_statuses(self, members: Container[str], limit: int) -> list[PolicyStatus]:
        """Statuses of these members that others may still count, the youngest first, to be relayed."""
        return self.peer_statuses.recent(members, limit, self.now)

    def status(self) -> PolicyStatus:
        """Our own status, now."""
        self._update_in_force()
        switch_at = self.decision.at if self.decision and self.decision.at > self.now else inf
        return PolicyStatus(
            member=self.member_id,
            name=self.name,
            made_at=self.now,
            version=self.active_policy.version,
            digest=self.active_policy.digest,
            follows_until=min(switch_at, self.promise.at if self.promise else inf),
            decided_version=self.decided_version,
            ended_proposal=self.ended_proposal,
            is_decision_known=self.is_decision_known or self.started_from_file,
        )

    # Input from the host.

    def restore(self) -> None:
        """Put in force what was stored."""
        self._update_in_force()

    def receive_status(self, status: PolicyStatus) -> None:
        """Take over the status of a member, from itself or relayed."""
        if not self.peer_statuses.add(status, self.active_policy):
            return
        if status.decided_version > self.decided_version:
            self.host.request_decision(status.member)
        elif self.promise is not None and status.is_decision_known and self._is_dropped(self.promise, status):
            self._release_promise("dropped, as a member says")
        is_late = self.now >= self.started_at + ASSUME_AFTER * self.lease
        if not self.is_decision_known and is_late and self.now < self._agreed_until():
            self.is_decision_known = True
            self.host.log_event("policy.assumed", version=self.active_policy.version)

    @staticmethod
    def _is_dropped(proposal: PolicyProposal, status: PolicyStatus) -> bool:
        return status.ended_proposal >= proposal.number and status.decided_version < proposal.policy.version

    def lease_renewed(self, until: float, entry_revision: int) -> None:
        """Our lease holds until then, counted from before it was asked for."""
        self.lease_until, self.entry_revision = until, entry_revision

    def receive_decision(self, decision: PolicyDecision) -> None:
        """Take over a decision that a member knows of."""
        if decision.policy.body is not None and digest(decision.policy.body) == decision.policy.digest:
            self._adopt(decision)

    def update_records(self, records: StoreRecords, gap: bool) -> None:
        """Take over what the coordination store holds. `gap`: changes in between may not have been seen."""
        before, self.records = self.records, records
        self._follow_members(before, gap)
        if records.decision is not None:
            self._adopt(records.decision)
        self.ended_proposal = max([self.ended_proposal, *records.past_proposals])
        promise = self.promise
        if promise is not None and records.revision >= promise.number and not self._is_open(promise):
            self.ended_proposal = max(self.ended_proposal, promise.number)
            self._release_promise("dropped")
        if not self.is_decision_known and self.member_id in records.members:
            self.is_decision_known = True
            self.host.log_event("policy.known", version=self.active_policy.version)
        proposal = records.proposal
        if proposal is not None and self.member_id in records.members and not self._has_voted(proposal):
            self._cast_vote(proposal)

    def _follow_members(self, before: StoreRecords, gap: bool) -> None:
        """Take over which members and names there are."""
        records = self.records
        if self.member_id in before.members and self.member_id not in records.members:
            self.lease_until = -inf
        if gap:
            self.voter_left_at = self.now
        changed = before.members.keys() != records.members.keys()
        if changed and records.proposal is not None:
            gone = before.members.keys() - records.members.keys()
            if any(records.votes.get(member) != "" for member in gone):
                self.voter_left_at = self.now
        if changed or before.registered_names.keys() != records.registered_names.keys() or gap:
            self.registered_names = sorted(records.registered_names)
            self.peer_statuses.invalidate_count()
            members = records.members.values()
            self.stored.addresses = {m.name: m.address for m in members if m.name != self.name}
            self._store()

    def _is_open(self, proposal: PolicyProposal) -> bool:
        return self.records.proposal is not None and self.records.proposal.number == proposal.number

    # Which policy holds.

    def _adopt(self, decision: PolicyDecision) -> None:
        if decision.policy.version <= self.decided_version:
            return
        self.decision = decision
        self.ended_proposal = max(self.ended_proposal, decision.number)
        if self.promise is not None and self.promise.number <= self.ended_proposal:
            self.promise = None
        self._store()
        self.counts["decided"] += 1
        self.host.log_event("policy.decided", version=decision.policy.version, at=round(decision.at, 3))
        self._update_in_force()

    def _release_promise(self, reason: str) -> None:
        promise, self.promise = self.promise, None
        self._store()
        if promise is not None:
            self.counts["released"] += 1
            self.host.log_event("policy.released", version=promise.policy.version, reason=reason)

    def _update_in_force(self) -> None:
        if self.decision is None:
            return
        policy = self.decision.policy if self.now >= self.decision.at else self.decision.previous
        if policy.version != self.active_policy.version and policy.body is not None:
            self.active_policy = policy
            self.peer_statuses.invalidate_count()
            self.counts["switched"] += 1
            self.host.log_event("policy.in_force", version=policy.version, digest=policy.digest)
            self.host.apply_policy(policy)

    def _store(self) -> None:
        stored = self.stored
        stored.decision, stored.promise, stored.ended_proposal = (
            self.decision,
            self.promise,
            self.ended_proposal,
        )
        stored.registered_names = self.registered_names
        self.host.store(stored)

    # Voting.

    def _has_voted(self, proposal: PolicyProposal) -> bool:
        return self.vote is not None and self.vote.proposal_number == proposal.number

    def _cast_vote(self, proposal: PolicyProposal) -> None:
        """Vote on the proposal, once."""
        reason = self._objection(proposal)
        if not reason:
            if self.now >= self._lease_valid_until():
                return  # not now: no one counts on our vote, and our lease may come back
            self.promise = proposal
            self._store()
        self.vote = Vote(proposal.number, reason[:MAX_REASON_LENGTH])
        self.counts["no" if reason else "yes"] += 1
        self.host.log_event("policy.vote", version=proposal.policy.version, yes=not reason, reason=reason)

    def _objection(self, proposal: PolicyProposal) -> str:
        """Why this member can't follow the proposal; empty: it can."""
        policy = proposal.policy
        if policy.version != self.decided_version + 1:
            return f"version {policy.version} does not follow {self.decided_version}"
        if policy.body is None or digest(policy.body) != policy.digest:
            return "its digest is another one's"
        if proposal.at - self.now < MIN_SWITCH_DELAY * self.lease:
            return f"it holds from {proposal.at - self.now:.3f} s on, too soon"
        if self.decision is not None and self.now < self.decision.at:
            return "the change before it has not taken hold yet"
        return self.host.check(policy.body)

    # What is to be written to the store.

    def propose(self, body: PolicyBody, delay: float) -> tuple[Transaction, PolicyProposal]:
        """A change that takes effect `delay` seconds from now. The caller has checked it."""
        policy = Policy(self.decided_version + 1, digest(body), body)
        proposal = PolicyProposal(policy, self.now + delay, self.now, self.member_id)
        return transactions.propose(self.records, proposal), proposal

    def drop(self, reason: str) -> Transaction | None:
        """Drop the open proposal; None: there is none."""
        if self.records.proposal is None and not self.records.is_proposal_unreadable:
            return None
        return transactions.drop(self.records, reason, self.now)

    def due(self) -> Transaction | float:
        """What to write now, or when to ask again."""
        records = self.records
        proposal = records.proposal
        if records.is_proposal_unreadable:
            return self._in_turn("spoilt", records.proposal_revision, lambda: self.drop("nobody can read it"))
        if proposal is None or self.member_id not in records.members:
            return inf
        if not self._has_voted(proposal):
            self._cast_vote(proposal)
        if self._has_voted(proposal) and self.member_id not in records.votes:
            return self._vote_due(proposal)
        return self._end_due(proposal)

    def _vote_due(self, proposal: PolicyProposal) -> Transaction | float:
        """Our vote; a yes only once it is stored, so that it still binds after a restart."""
        assert self.vote is not None
        if not self.vote.reason and (fault := self.host.store_state()) != "":
            if fault is None:
                return self.now + WRITE_DELAY * self.lease
            reason = f"it can't be kept here: {fault}"[:MAX_REASON_LENGTH]
            self.promise, self.vote = None, Vote(proposal.number, reason)
        return transactions.vote(self.records, self.vote, self.member_id)

    def _end_due(self, proposal: PolicyProposal) -> Transaction | float:
        """Decide the proposal, or drop it, if it is time for either."""
        records, number = self.records, proposal.number
        votes = {member: reason for member, reason in records.votes.items() if member in records.members}
        against = sorted(member for member, reason in votes.items() if reason)
        if against:
            reason = f"{records.members[against[0]].name}: {votes[against[0]]}"
            return self._in_turn("no", number, lambda: self.drop(reason))
        if self.now > proposal.at:
            return self._in_turn("late", number, lambda: self.drop(self._why_late(votes)))
        complete = len(votes) == len(records.members) and self._is_majority(votes)
        # A member that went without a vote may follow the old policy for as long as its lease lasts.
        if complete and self.voter_left_at <= proposal.at - self.lease:
            return self._in_turn("yes", number, lambda: self._decide(proposal))
        return proposal.at + LATE_MARGIN * self.lease

    def _is_majority(self, votes: Collection[str]) -> bool:
        """Whether the members that have voted are more than half of the registered names."""
        names = {self.records.members[member].name for member in votes} & self.records.registered_names.keys()
        return 2 * len(names) > len(self.records.registered_names)

    def _why_late(self, votes: dict[str, str]) -> str:
        missing = [member.name for member in self.records.members.values() if member.id not in votes]
        if missing:
            return f"no word in time from {', '.join(sorted(missing)[:NAMED_MEMBERS])}"
        if not self._is_majority(votes):
            return f"{len(votes)} of {len(self.records.registered_names)} registered were there"
        return "not decided in time"

    def _decide(self, proposal: PolicyProposal) -> Transaction:
        before = self.decision.policy if self.decision else Policy()
        return transactions.decide(self.records, proposal, before, self.now)

    def _in_turn(
        self, what: str, number: int, transaction: Callable[[], Transaction | None]
    ) -> Transaction | float:
        """Any member may write it: the proposal's author first, then one after another."""
        write_at = self.turns.write_at((what, number), self._turn(number), self.now)
        if self.now < write_at:
            return write_at
        made = transaction()
        assert made is not None  # there is a proposal
        return made

    def _turn(self, number: int) -> int:
        """How many other members write before this one; 0 for the author."""
        proposal = self.records.proposal
        if proposal is not None and proposal.author == self.member_id:
            return 0
        members = sorted(self.records.members)
        place = members.index(self.member_id) if self.member_id in members else MAX_WRITE_DELAYS
        return 1 + (place + number) % max(1, len(members))
