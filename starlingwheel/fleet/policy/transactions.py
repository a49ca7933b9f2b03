"""The transactions by which a policy is proposed, voted on, decided and dropped.

Each is conditional on the records that it was made from, so that only one of them can end a proposal.
"""

from __future__ import annotations

import msgspec

from ..records import (
    DECISION_KEY,
    MEMBERS_PREFIX,
    NAMES_PREFIX,
    PAST_PREFIX,
    PROPOSAL_KEY,
    VOTES_PREFIX,
    Condition,
    PastProposal,
    Policy,
    PolicyDecision,
    PolicyProposal,
    StoreRecords,
    Transaction,
    equal,
)

REMEMBERED_PROPOSALS = 8  # ended ones that the store holds
MAX_COMPARED_MEMBERS = 100  # whose entries are compared one by one: etcd takes 128 conditions
MAX_REASON_LENGTH = 300  # characters


class Vote(msgspec.Struct, frozen=True):
    """A member's vote on a proposal."""

    proposal_number: int
    reason: str  # against it; empty: yes


def propose(records: StoreRecords, proposal: PolicyProposal) -> Transaction:
    """Open a proposal, unless there is one or another policy was decided meanwhile."""
    unchanged = [equal(PROPOSAL_KEY, "CREATE", 0), equal(DECISION_KEY, "MOD", records.decision_revision)]
    return Transaction("propose", unchanged, [(PROPOSAL_KEY, msgspec.json.encode(proposal))])


def vote(records: StoreRecords, vote: Vote, member_id: str) -> Transaction:
    """Write the vote of that member."""
    key = f"{VOTES_PREFIX}{vote.proposal_number}/{member_id}"
    unchanged = [
        equal(PROPOSAL_KEY, "MOD", records.proposal_revision),
        equal(key, "CREATE", 0),
        equal(MEMBERS_PREFIX + member_id, "CREATE", records.members[member_id].term),
    ]
    return Transaction("vote", unchanged, [(key, msgspec.json.encode(vote.reason))])


def decide(records: StoreRecords, proposal: PolicyProposal, before: Policy, now: float) -> Transaction:
    """Decide the proposal, if the view and the registered names are still those that the votes came from.

    `before`: the policy that holds until then. `now`: seconds on the wall clock.
    """
    decision = PolicyDecision(proposal.policy, proposal.at, proposal.number, before)
    unchanged = [
        equal(DECISION_KEY, "MOD", records.decision_revision),
        Condition(MEMBERS_PREFIX, "MOD", "LESS", records.revision + 1, prefix=True),
        Condition(NAMES_PREFIX, "MOD", "LESS", records.revision + 1, prefix=True),
    ]
    # A condition on a range does not see entries that are gone: those of voters are compared one by one.
    voters = list(records.members.values())[:MAX_COMPARED_MEMBERS]
    unchanged += [equal(MEMBERS_PREFIX + voter.id, "CREATE", voter.term) for voter in voters]
    ended = _end(records, "decide", "decided", "", now)
    return Transaction(
        ended.kind,
        [*ended.conditions, *unchanged],
        [(DECISION_KEY, msgspec.json.encode(decision)), *ended.put],
        ended.delete,
    )


def drop(records: StoreRecords, reason: str, now: float) -> Transaction:
    """Drop the open proposal, also one that can't be read. `now`: seconds on the wall clock."""
    return _end(records, "drop", "dropped", reason, now)


def _end(records: StoreRecords, what: str, outcome: str, reason: str, now: float) -> Transaction:
    """What ends a proposal either way: its entry and votes go, its end is remembered."""
    number, proposal = records.proposal_revision, records.proposal
    version, digest, author = 0, "", ""  # of one that can't be read
    if proposal is not None:
        version, digest, author = proposal.policy.version, proposal.policy.digest, proposal.author
    past = PastProposal(number, version, digest, outcome, reason[:MAX_REASON_LENGTH], now, author)
    oldest = sorted(records.past_proposals)[: 1 - REMEMBERED_PROPOSALS]
    erase = [PROPOSAL_KEY, f"{VOTES_PREFIX}{number}/", *(f"{PAST_PREFIX}{old}" for old in oldest)]
    put = [(f"{PAST_PREFIX}{number}", msgspec.json.encode(past))]
    return Transaction(what, [equal(PROPOSAL_KEY, "MOD", number)], put, erase)
