"""The fleet's records in the coordination store: keys, types of the values, and transactions.

Field names in the store are those of the first version; `rename` maps them.
"""

from __future__ import annotations

import copy

import msgspec

from .membership import MAX_SHARDS, Member, MembershipView
from .policy.document import PolicyBody

# Keys below the fleet's name. The comment after a prefix says what follows it.
POLICY_PREFIX = "policy/"
DECISION_KEY = "policy/now"
PROPOSAL_KEY = "policy/next"
VOTES_PREFIX = "policy/votes/"  # the proposal's number, a slash, the member's id
PAST_PREFIX = "policy/past/"  # the proposal's number
MEMBERS_PREFIX = "members/"  # the member's id
NAMES_PREFIX = "names/"  # the member's name
ZONE_PLAN_KEY = "zones/plan"
ZONE_REPORTS_PREFIX = "zones/said/"  # the member's id
SHARDS_KEY = "cells"


class Policy(msgspec.Struct, frozen=True):
    """One version of the fleet's policy.

    Without a `body` none has been decided yet, and each member follows its own configuration file.
    """

    version: int = 0
    digest: str = ""
    body: PolicyBody | None = None


class PolicyProposal(msgspec.Struct, frozen=True, rename={"proposed_at": "made"}):
    """A proposed change. Times are seconds on the wall clock."""

    policy: Policy
    at: float  # when it is to take effect
    proposed_at: float
    author: str  # id of the member that has proposed it
    number: int = 0  # the store's revision at which it was created


class PolicyDecision(msgspec.Struct, frozen=True, rename={"previous": "before"}):
    """A decided change of the policy: `policy` is in force from `at` on, and `previous` until then."""

    policy: Policy
    at: float  # seconds on the wall clock
    number: int  # the proposal's number
    previous: Policy


class PastProposal(msgspec.Struct, frozen=True, rename={"outcome": "how", "reason": "why"}):
    """The outcome of an earlier proposal."""

    number: int
    version: int
    digest: str
    outcome: str  # "decided" or "dropped"
    reason: str
    at: float  # seconds on the wall clock
    author: str


class ZoneHealth(
    msgspec.Struct,
    rename={
        "usual_rate": "weight",
        "failing_fraction": "bad",
        "rejecting": "full",
        "failures": "bad_counted",
        "trial_successes": "tried_well",
        "trial_failures": "tried_badly",
        "conclusive_attempts": "counted",
        "consecutive_failures": "row",
        "recent_trials": "last",
    },
):
    """The health of one zone as one member observes it."""

    usual_rate: float  # attempts a second
    rate: float = 0.0  # attempts a second now
    failing: bool = False
    failing_fraction: float = 0.0
    rejecting: bool = False
    conclusive_attempts: int = 0  # recent attempts with a conclusive outcome
    failures: int = 0  # attempts among these that failed
    consecutive_failures: int = 0  # since the last answer
    epoch: int = 0  # the epoch of the plan since which trials are counted
    trial_successes: int = 0
    trial_failures: int = 0
    recent_trials: list[tuple[float, bool]] = []  # of the last trials: when each ended, whether it succeeded


class ZoneReport(msgspec.Struct):
    """The health of all zones as one member observes it."""

    at: float  # seconds on the wall clock
    zones: dict[str, ZoneHealth]


class ZoneState(
    msgspec.Struct,
    frozen=True,
    rename={"next_change_at": "next", "reason": "why", "failed_returns": "failed"},
):
    """The plan's state of a zone that does not get all of its traffic. Times are on the wall clock."""

    share: float  # the fraction of its traffic that the zone gets
    state: str  # "left", "returning" or "held"
    epoch: int
    since: float
    next_change_at: float
    reason: str
    failed_returns: int = 0
    region: str = ""
    by_operator: bool = False


class ZonePlan(msgspec.Struct, frozen=True, rename={"capacities": "bears"}):
    """The fleet's zone plan; zones that are not in it get all of their traffic."""

    epoch: int = 0
    zones: dict[str, ZoneState] = {}
    # By zone: the rate, in attempts a second, at which the zone rejected attempts.
    capacities: dict[str, float] = {}


class Sharding(msgspec.Struct, frozen=True):
    """The number of shards that the fleet is divided into."""

    count: int  # a power of two
    at: float = 0.0  # when it was decided, seconds on the wall clock


class StoreEntry(msgspec.Struct, frozen=True, rename={"create_revision": "create", "mod_revision": "mod"}):
    """The value of one key, and the revisions at which it was created and last modified."""

    value: bytes
    create_revision: int
    mod_revision: int


class Condition(msgspec.Struct, frozen=True):
    """A condition of a transaction. `prefix`: the condition is on every key that begins with `key`."""

    key: str
    target: str  # CREATE or MOD: the revision that is compared
    result: str  # EQUAL or LESS
    value: int
    prefix: bool = False


class Transaction(msgspec.Struct, frozen=True):
    """A change that is written to the coordination store if all conditions hold."""

    kind: str  # the kind of change, for the log
    conditions: list[Condition]
    put: list[tuple[str, bytes]] = []
    delete: list[str] = []  # keys; one that ends in a slash stands for all keys below it
    leased: bool = False  # the entries in `put` expire with this member's lease


def equal(key: str, target: str, value: int) -> Condition:
    """Return the condition that the key has this revision; 0: that the key does not exist."""
    return Condition(key, target, "EQUAL", value)


class StoreRecords:
    """The entries below the fleet's name in the coordination store, as of one revision."""

    def __init__(self, shard_count: int = 0) -> None:
        """Start without entries.

        `shard_count`: the number of shards in the previous records, which is kept if the entry with the
        number of shards can't be read; 0: not known.
        """
        self.revision = 0
        self.previous_shard_count = shard_count
        self.shard_count = 1  # 0: not known
        self.resharded_at = 0.0  # when the number of shards last changed, seconds on the wall clock
        self.shards_revision = 0
        self.is_shard_count_unreadable = False  # there is an entry that can't be read
        self.members: dict[str, Member] = {}
        self.registered_names: dict[str, int] = {}  # member names, with the revisions of their entries
        self.decision: PolicyDecision | None = None
        self.decision_revision = 0
        self.proposal: PolicyProposal | None = None
        self.proposal_revision = 0
        self.is_proposal_unreadable = False  # there is a proposal that can't be read
        # Votes on the open proposal by member: the objection; empty: in favour.
        self.votes: dict[str, str] = {}
        self.past_proposals: dict[int, PastProposal] = {}
        self.plan: ZonePlan | None = None
        self.plan_revision = 0
        self.zone_reports: dict[str, ZoneReport] = {}  # by member

    def copy(self) -> StoreRecords:
        """Return a copy that later changes to this object do not affect."""
        other = copy.copy(self)
        for name in ("members", "registered_names", "votes", "past_proposals", "zone_reports"):
            setattr(other, name, dict(getattr(self, name)))
        return other

    def view(self) -> MembershipView:
        """Return the view of the members; it is empty while the number of shards is not known."""
        return (
            MembershipView(self.members.values(), self.shard_count, self.resharded_at)
            if self.shard_count
            else MembershipView()
        )

    def put(self, key: str, entry: StoreEntry) -> str:
        """Apply one entry that was written; return why it can't be read, or an empty string."""
        try:
            self._put(key, entry)
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
            if key.startswith(MEMBERS_PREFIX):
                self.members.pop(key.removeprefix(MEMBERS_PREFIX), None)
            return "unreadable"
        return ""

    def _put(self, key: str, entry: StoreEntry) -> None:
        if key.startswith(MEMBERS_PREFIX):
            self._put_member(key.removeprefix(MEMBERS_PREFIX), entry)
        elif key.startswith(NAMES_PREFIX):
            self.registered_names[key.removeprefix(NAMES_PREFIX)] = entry.create_revision
        elif key.startswith(POLICY_PREFIX):
            self._put_policy(key, entry)
        elif key == ZONE_PLAN_KEY:
            self.plan_revision, self.plan = entry.mod_revision, None
            self.plan = msgspec.json.decode(entry.value, type=ZonePlan)
        elif key.startswith(ZONE_REPORTS_PREFIX):
            self.zone_reports[key.removeprefix(ZONE_REPORTS_PREFIX)] = msgspec.json.decode(
                entry.value, type=ZoneReport
            )
        elif key == SHARDS_KEY:
            self._put_sharding(entry)

    def _put_member(self, member_id: str, entry: StoreEntry) -> None:
        member = msgspec.json.decode(entry.value, type=Member)
        if member.id != member_id:
            raise ValueError(f"the entry of member {member_id!r} has the id {member.id!r}")
        self.members[member.id] = msgspec.structs.replace(member, term=entry.create_revision)

    def _put_policy(self, key: str, entry: StoreEntry) -> None:
        if key == DECISION_KEY:
            # Set for an unreadable decision too, so that it can be replaced.
            self.decision_revision = entry.mod_revision
            self.decision = msgspec.json.decode(entry.value, type=PolicyDecision)
        elif key == PROPOSAL_KEY:
            self.proposal, self.proposal_revision, self.is_proposal_unreadable = (
                None,
                entry.mod_revision,
                True,
            )
            proposal = msgspec.json.decode(entry.value, type=PolicyProposal)
            self.proposal = msgspec.structs.replace(proposal, number=entry.create_revision)
            self.is_proposal_unreadable = False
        elif key.startswith(VOTES_PREFIX):
            number, _, member = key.removeprefix(VOTES_PREFIX).partition("/")
            if int(number) == self.proposal_revision:
                self.votes[member] = msgspec.json.decode(entry.value, type=str)
        elif key.startswith(PAST_PREFIX):
            past = msgspec.json.decode(entry.value, type=PastProposal)
            self.past_proposals[past.number] = past

    def _put_sharding(self, entry: StoreEntry) -> None:
        # While the entry can't be read the last known number of shards stays in force: with any other number
        # this member would name other coordinators for the same keys than the other members do.
        self.shard_count = self.shard_count if self.revision else self.previous_shard_count
        self.shards_revision, self.is_shard_count_unreadable = entry.mod_revision, True
        sharding = msgspec.json.decode(entry.value, type=Sharding)
        if not 1 <= sharding.count <= MAX_SHARDS or sharding.count & (sharding.count - 1):
            raise ValueError(f"{sharding.count} shards: not a power of two from 1 to {MAX_SHARDS}")
        self.shard_count, self.resharded_at, self.is_shard_count_unreadable = (
            sharding.count,
            sharding.at,
            False,
        )

    def delete(self, key: str) -> None:
        """Apply the deletion of a key."""
        if key.startswith(MEMBERS_PREFIX):
            self.members.pop(key.removeprefix(MEMBERS_PREFIX), None)
        elif key.startswith(NAMES_PREFIX):
            self.registered_names.pop(key.removeprefix(NAMES_PREFIX), None)
        elif key.startswith(POLICY_PREFIX):
            self._delete_policy(key)
        elif key == ZONE_PLAN_KEY:
            self.plan, self.plan_revision = None, 0
        elif key.startswith(ZONE_REPORTS_PREFIX):
            self.zone_reports.pop(key.removeprefix(ZONE_REPORTS_PREFIX), None)
        elif key == SHARDS_KEY:
            self.shard_count, self.shards_revision, self.is_shard_count_unreadable = 1, 0, False

    def _delete_policy(self, key: str) -> None:
        if key == DECISION_KEY:
            self.decision_revision = 0
        elif key == PROPOSAL_KEY:
            self.proposal, self.proposal_revision, self.is_proposal_unreadable, self.votes = (
                None,
                0,
                False,
                {},
            )
        elif key.startswith(PAST_PREFIX):
            number = key.removeprefix(PAST_PREFIX)
            self.past_proposals.pop(int(number) if number.isdigit() else -1, None)
