"""Atomic policy changes: a change takes effect on all members of a fleet or on none, even with members down.

A change is proposed in the coordination store with a switch time. Every member checks it and votes. A yes
vote is a promise: from the switch time on, the voter accepts no requests under the old policy until it knows
how the proposal ended. Exactly one transaction ends a proposal: it decides the proposal, which requires that
all members of the view have voted yes, that the view is unchanged and that they are more than half of the
registered names, or it drops the proposal.

A member that cannot reach the store after its lease has expired continues to accept requests while more than
half of the registered names report that they follow the same policy and have not voted for a newer one. Such
a status is valid for less than the minimum time between a vote and the switch time; see `statuses`.

`PolicyReplica` is one member's part of the protocol. It does no I/O: the host sets `now` and passes input to
it, a `PolicyHost` carries out its effects, and the host's `StateWriter` calls `due` for the next transaction.
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
MIN_SWITCH_DELAY = 1.5  # leases: the minimum from a vote to the switch time
ASSUME_AFTER = 8.0  # leases after which a process that started without the store relies on others' statuses
RENEWAL_MARGIN = 1 / 3  # of a lease: a lease is normally renewed by this time before its end
WRITE_DELAY = 1 / 16  # of a lease: how long each member waits for the previous one to decide or drop
MAX_WRITE_DELAYS = 16  # write delays that a member waits at most
REMEMBERED_WRITES = 4 * REMEMBERED_PROPOSALS
LATE_MARGIN = 1 / 1000  # of a lease: time from the switch time until an undecided proposal is dropped
MAX_NAMED_MEMBERS = 8  # listed in the reason for which a proposal is dropped


class PolicyReplica:
    """One member's part of the fleet's policy protocol. Times are seconds on the wall clock."""

    def __init__(
        self, member_id: str, name: str, lease: float, host: PolicyHost, now: float, stored: StoredPolicy
    ) -> None:
        """Start with the state that an earlier process of this name has `stored`. `lease`: seconds."""
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
        self.is_decision_known = False  # it was read after we registered, or a majority's statuses tell it
        self.lease_until, self.entry_revision = -inf, 0  # end of our lease; revision of our membership entry
        self.peer_statuses = PeerStatuses(name, lease)
        self.vote: Vote | None = None  # our latest vote
        self.turns = WriteTurns(WRITE_DELAY * lease, MAX_WRITE_DELAYS, REMEMBERED_WRITES)
        self.voter_left_at = now  # when we last saw a member leave that had not voted yes
        self.unavailable_since = 0.0  # 0: requests may be accepted
        self.counts: Counter[str] = Counter()
        self.unavailable_seconds = 0.0  # total so far

    # State that the host reads.

    def unavailable_reason(self) -> str:
        """Return why no request may be accepted now; empty if `active_policy` may be applied to requests."""
        self._update_active_policy()
        reason = self._find_unavailable_reason()
        if bool(reason) != bool(self.unavailable_since):
            if reason:
                self.unavailable_since = self.now
                self.host.log_event("policy.doubt", reason=reason, version=self.active_policy.version)
            else:
                duration = self.now - self.unavailable_since
                self.unavailable_seconds += duration
                self.host.log_event("policy.sure", after=round(duration, 3))
                self.unavailable_since = 0.0
        return reason

    def _find_unavailable_reason(self) -> str:
        if not self.is_decision_known:
            return "unknown"
        if self.promise is not None and self.now >= self.promise.at:
            return "undecided"
        # The lease is compared with the clock at each request, because this process may have been paused.
        # After the end of the lease the statuses of other members count, which expire as well.
        return "" if self.now < self._lease_valid_until() or self.now < self._agreed_until() else "alone"

    def _lease_valid_until(self) -> float:
        """Return until when no decision can have been made without our vote.

        A new lease does not count until our own membership entry has been read from the store, together with
        any decision made in the meantime.
        """
        entry_read = self.member_id in self.records.members and self.records.revision >= self.entry_revision
        return self.lease_until if entry_read else -inf

    def _agreed_until(self) -> float:
        return self.peer_statuses.agreed_until(self.now, self._count_agreed_until)

    def _count_agreed_until(self) -> float:
        """Return until when more than half of the registered names are known to follow the same policy."""
        return self.peer_statuses.count(self.registered_names, self.active_policy, self.now)

    def next_check_at(self) -> float:
        """Return when to call `unavailable_reason` again at the latest, even without new input."""
        times = [self.needs_statuses_at()]
        if self.decision is not None:
            times.append(self.decision.at)
        if self.promise is not None:
            times.append(self.promise.at)
        return min((at for at in times if at > self.now), default=inf)

    @property
    def holds_lease(self) -> bool:
        """Whether our lease is valid."""
        return self.now < self._lease_valid_until()

    @property
    def needs_statuses(self) -> bool:
        """Whether the statuses of other members are needed, or may be needed soon."""
        return self.now > self.needs_statuses_at() or bool(self._find_unavailable_reason())

    def needs_statuses_at(self) -> float:
        """Return from when on the statuses of others may be needed, as our lease is about to expire."""
        return self._lease_valid_until() - RENEWAL_MARGIN * self.lease

    @property
    def decided_version(self) -> int:
        """The latest version known to be decided; its switch time may still be ahead."""
        return self.decision.policy.version if self.decision else 0

    @property
    def statuses(self) -> dict[str, PolicyStatus]:
        """The latest status of each member."""
        return self.peer_statuses.by_member

    @statuses.setter
    def statuses(self, statuses: dict[str, PolicyStatus]) -> None:
        self.peer_statuses.by_member = statuses

    def recent_statuses(self, members: Container[str], limit: int) -> list[PolicyStatus]:
        """Return the unexpired statuses of these members for relaying, the most recent first."""
        return self.peer_statuses.recent(members, limit, self.now)

    def status(self) -> PolicyStatus:
        """Return our own status as of `now`."""
        self._update_active_policy()
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
        """Apply the stored policy."""
        self._update_active_policy()

    def receive_status(self, status: PolicyStatus) -> None:
        """Handle the status of a member, received from the member itself or relayed."""
        if not self.peer_statuses.add(status, self.active_policy):
            return
        if status.decided_version > self.decided_version:
            self.host.request_decision(status.member)
        elif self.promise is not None and status.is_decision_known and self._is_dropped(self.promise, status):
            self._release_promise("dropped, as reported by a member")
        may_assume = self.now >= self.started_at + ASSUME_AFTER * self.lease
        if not self.is_decision_known and may_assume and self.now < self._agreed_until():
            self.is_decision_known = True
            self.host.log_event("policy.assumed", version=self.active_policy.version)

    @staticmethod
    def _is_dropped(proposal: PolicyProposal, status: PolicyStatus) -> bool:
        return status.ended_proposal >= proposal.number and status.decided_version < proposal.policy.version

    def lease_renewed(self, until: float, entry_revision: int) -> None:
        """Record a renewal. `until`: the end of the lease, measured from before the renewal was requested."""
        self.lease_until, self.entry_revision = until, entry_revision

    def receive_decision(self, decision: PolicyDecision) -> None:
        """Adopt a decision that another member has sent."""
        if decision.policy.body is not None and digest(decision.policy.body) == decision.policy.digest:
            self._adopt(decision)

    def update_records(self, records: StoreRecords, gap: bool) -> None:
        """Apply the records of the coordination store. `gap`: some changes may not have been observed."""
        before, self.records = self.records, records
        self._update_members(before, gap)
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

    def _update_members(self, before: StoreRecords, gap: bool) -> None:
        """Update the state that depends on the members and the registered names."""
        records = self.records
        if self.member_id in before.members and self.member_id not in records.members:
            self.lease_until = -inf
        if gap:
            self.voter_left_at = self.now
        changed = before.members.keys() != records.members.keys()
        if changed and records.proposal is not None:
            departed = before.members.keys() - records.members.keys()
            if any(records.votes.get(member) != "" for member in departed):
                self.voter_left_at = self.now
        if changed or before.registered_names.keys() != records.registered_names.keys() or gap:
            self.registered_names = sorted(records.registered_names)
            self.peer_statuses.invalidate_count()
            members = records.members.values()
            self.stored.addresses = {m.name: m.address for m in members if m.name != self.name}
            self._store()

    def _is_open(self, proposal: PolicyProposal) -> bool:
        return self.records.proposal is not None and self.records.proposal.number == proposal.number

    # The policy in force.

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
        self._update_active_policy()

    def _release_promise(self, reason: str) -> None:
        promise, self.promise = self.promise, None
        self._store()
        if promise is not None:
            self.counts["released"] += 1
            self.host.log_event("policy.released", version=promise.policy.version, reason=reason)

    def _update_active_policy(self) -> None:
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
        """Vote on the proposal. Does nothing if the vote would be yes while our lease is not valid."""
        reason = self._objection(proposal)
        if not reason:
            if self.now >= self._lease_valid_until():
                return  # nobody relies on our vote yet, and the lease may be renewed
            self.promise = proposal
            self._store()
        self.vote = Vote(proposal.number, reason[:MAX_REASON_LENGTH])
        self.counts["no" if reason else "yes"] += 1
        self.host.log_event("policy.vote", version=proposal.policy.version, yes=not reason, reason=reason)

    def _objection(self, proposal: PolicyProposal) -> str:
        """Return why this member cannot follow the proposal; empty if it can."""
        policy = proposal.policy
        if policy.version != self.decided_version + 1:
            return f"version {policy.version} does not directly follow version {self.decided_version}"
        if policy.body is None or digest(policy.body) != policy.digest:
            return "the digest does not match the policy"
        if proposal.at - self.now < MIN_SWITCH_DELAY * self.lease:
            return f"the switch time in {proposal.at - self.now:.3f} s is too soon"
        if self.decision is not None and self.now < self.decision.at:
            return "the previous change has not taken effect yet"
        return self.host.check(policy.body)

    # Transactions for the store.

    def propose(self, body: PolicyBody, delay: float) -> tuple[Transaction, PolicyProposal]:
        """Return the transaction that proposes a checked policy, and the proposal.

        `delay`: seconds until the policy takes effect.
        """
        policy = Policy(self.decided_version + 1, digest(body), body)
        proposal = PolicyProposal(policy, self.now + delay, self.now, self.member_id)
        return transactions.propose(self.records, proposal), proposal

    def drop(self, reason: str) -> Transaction | None:
        """Return the transaction that drops the open proposal; None if there is no proposal."""
        if self.records.proposal is None and not self.records.is_proposal_unreadable:
            return None
        return transactions.drop(self.records, reason, self.now)

    def due(self) -> Transaction | float:
        """Return the transaction to write now, or when to call again."""
        records = self.records
        proposal = records.proposal
        if records.is_proposal_unreadable:
            return self._write_in_turn(
                "spoilt", records.proposal_revision, lambda: self.drop("the proposal is unreadable")
            )
        if proposal is None or self.member_id not in records.members:
            return inf
        if not self._has_voted(proposal):
            self._cast_vote(proposal)
        if self._has_voted(proposal) and self.member_id not in records.votes:
            return self._vote_due(proposal)
        return self._outcome_due(proposal)

    def _vote_due(self, proposal: PolicyProposal) -> Transaction | float:
        """Return our vote, or when to call again.

        A yes vote is written only once the promise is stored, so that it is still binding after a restart.
        """
        assert self.vote is not None
        if not self.vote.reason and (error := self.host.store_state()) != "":
            if error is None:
                return self.now + WRITE_DELAY * self.lease
            reason = f"the vote cannot be stored: {error}"[:MAX_REASON_LENGTH]
            self.promise, self.vote = None, Vote(proposal.number, reason)
        return transactions.vote(self.records, self.vote, self.member_id)

    def _outcome_due(self, proposal: PolicyProposal) -> Transaction | float:
        """Return the transaction that decides or drops the proposal, or when to call again."""
        records, number = self.records, proposal.number
        votes = {member: reason for member, reason in records.votes.items() if member in records.members}
        against = sorted(member for member, reason in votes.items() if reason)
        if against:
            reason = f"{records.members[against[0]].name}: {votes[against[0]]}"
            return self._write_in_turn("no", number, lambda: self.drop(reason))
        if self.now > proposal.at:
            return self._write_in_turn("late", number, lambda: self.drop(self._late_reason(votes)))
        complete = len(votes) == len(records.members) and self._is_majority(votes)
        # A member that left without a yes vote may follow the old policy until its lease ends.
        if complete and self.voter_left_at <= proposal.at - self.lease:
            return self._write_in_turn("yes", number, lambda: self._decide(proposal))
        return proposal.at + LATE_MARGIN * self.lease

    def _is_majority(self, votes: Collection[str]) -> bool:
        """Return whether the members that have voted are more than half of the registered names."""
        names = {self.records.members[member].name for member in votes} & self.records.registered_names.keys()
        return 2 * len(names) > len(self.records.registered_names)

    def _late_reason(self, votes: dict[str, str]) -> str:
        missing = [member.name for member in self.records.members.values() if member.id not in votes]
        if missing:
            return f"no vote in time from {', '.join(sorted(missing)[:MAX_NAMED_MEMBERS])}"
        if not self._is_majority(votes):
            return f"{len(votes)} of {len(self.records.registered_names)} registered members voted"
        return "not decided in time"

    def _decide(self, proposal: PolicyProposal) -> Transaction:
        before = self.decision.policy if self.decision else Policy()
        return transactions.decide(self.records, proposal, before, self.now)

    def _write_in_turn(
        self, action: str, number: int, make_transaction: Callable[[], Transaction | None]
    ) -> Transaction | float:
        """Return the transaction if it is this member's turn to write it, or when its turn comes.

        Any member may write the transaction: the proposal's author first, then the others in turn.
        """
        write_at = self.turns.write_at((action, number), self._turn(number), self.now)
        if self.now < write_at:
            return write_at
        due = make_transaction()
        assert due is not None  # a proposal is open
        return due

    def _turn(self, number: int) -> int:
        """Return how many other members write before this one; 0 for the author."""
        proposal = self.records.proposal
        if proposal is not None and proposal.author == self.member_id:
            return 0
        members = sorted(self.records.members)
        position = members.index(self.member_id) if self.member_id in members else MAX_WRITE_DELAYS
        return 1 + (position + number) % max(1, len(members))
