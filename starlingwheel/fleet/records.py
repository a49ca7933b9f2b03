"""What a fleet keeps in the coordination store: entries by key, their types, and transactions on them.

Field names in the store are those of the first version; `rename` maps them.
"""

from __future__ import annotations

import copy

import msgspec

from .membership import MAX_SHARDS, Member, MembershipView
from .policy.document import PolicyBody

# Keys under the fleet's name. A prefix is followed by what stands in the comment.
POLICY_PREFIX = "policy/"
DECISION_KEY = "policy/now"
PROPOSAL_KEY = "policy/next"
VOTES_PREFIX = "policy/votes/"  # proposal's number, slash, member
PAST_PREFIX = "policy/past/"  # proposal's number
MEMBERS_PREFIX = "members/"  # member
NAMES_PREFIX = "names/"  # member's name
ZONE_PLAN_KEY = "zones/plan"
ZONE_REPORTS_PREFIX = "zones/said/"  # member
CELLS_KEY = "cells"


class Policy(msgspec.Struct, frozen=True):
    """One version of the fleet's policy; without a `body` none was decided yet, each follows its own file."""

    version: int = 0
    digest: str = ""
    body: PolicyBody | None = None


class PolicyProposal(msgspec.Struct, frozen=True, rename={"proposed_at": "made"}):
    """A proposed change. Times are seconds on the wall clock."""

    policy: Policy
    at: float  # when it is to take effect
    proposed_at: float
    author: str  # a member
    number: int = 0  # the revision of the store that it was written at


class PolicyDecision(msgspec.Struct, frozen=True):
    """What is in force from `at` on, and before."""

    policy: Policy
    at: float  # seconds on the wall clock
    number: int  # of the proposal
    before: Policy


class PastProposal(msgspec.Struct, frozen=True, rename={"outcome": "how", "reason": "why"}):
    """How a proposal ended."""

    number: int
    version: int
    digest: str
    outcome: str  # decided or dropped
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
        "recent_trials": "last",
    },
):
    """What one member sees of one zone."""

    usual_rate: float  # attempts a second
    rate: float = 0.0  # attempts a second now
    failing: bool = False
    failing_fraction: float = 0.0
    rejecting: bool = False
    counted: int = 0  # attempts with a conclusive outcome, lately
    failures: int = 0  # of these
    row: int = 0  # failures since the last answer
    epoch: int = 0  # of the plan that trials are counted from
    trial_successes: int = 0
    trial_failures: int = 0
    recent_trials: list[tuple[float, bool]] = []  # when the last of them ended, and whether they succeeded


class ZoneReport(msgspec.Struct):
    """What one member sees of all zones."""

    at: float  # seconds on the wall clock
    zones: dict[str, ZoneHealth]


class ZoneState(
    msgspec.Struct,
    frozen=True,
    rename={"next_change_at": "next", "reason": "why", "failed_returns": "failed"},
):
    """What the plan says of a zone that does not get all of its traffic. Times are on the wall clock."""

    share: float
    state: str  # left, returning, held
    epoch: int
    since: float
    next_change_at: float
    reason: str
    failed_returns: int = 0
    region: str = ""
    by_operator: bool = False


class ZonePlan(msgspec.Struct, frozen=True, rename={"capacities": "bears"}):
    """The fleet's plan; zones that are not in it get all of their traffic."""

    epoch: int = 0
    zones: dict[str, ZoneState] = {}
    capacities: dict[str, float] = {}  # attempts a second at which a zone was seen to reject some


class Sharding(msgspec.Struct, frozen=True):
    """Into how many cells the fleet is divided."""

    count: int  # a power of two
    at: float = 0.0  # since when, seconds on the wall clock


class StoreEntry(msgspec.Struct, frozen=True):
    """The value of one key, and the revisions that it was created and last modified at."""

    value: bytes
    create: int
    mod: int


class Condition(msgspec.Struct, frozen=True):
    """A condition of a transaction. `prefix`: on every key that begins so."""

    key: str
    target: str  # CREATE or MOD, the revision that is compared
    result: str  # EQUAL or LESS
    value: int
    prefix: bool = False


class Transaction(msgspec.Struct, frozen=True):
    """What is written to the coordination store if all conditions hold."""

    kind: str  # of change, for the log
    conditions: list[Condition]
    put: list[tuple[str, bytes]] = []
    delete: list[str] = []  # a key, or all keys below one that ends in a slash
    leased: bool = False  # what is put ends with our lease


def equal(key: str, target: str, value: int) -> Condition:
    """The condition that the key's revision is this one; 0: there is no such key."""
    return Condition(key, target, "EQUAL", value)


class StoreRecords:
    """What the coordination store holds under the fleet's name, as of one revision."""

    def __init__(self, cells: int = 0) -> None:
        """`cells`: as in the records before, kept where the entry can't be read; 0: not known."""
        self.revision = 0
        self.previous_cells = cells
        self.cells = 1  # into how many the fleet is divided; 0: not known
        self.divided_at = 0.0  # since when, seconds on the wall clock
        self.cells_mod = 0
        self.cells_unreadable = False  # the entry can't be read
        self.members: dict[str, Member] = {}
        self.names: dict[str, int] = {}  # registered names, and the revisions of their entries
        self.decision: PolicyDecision | None = None
        self.decision_mod = 0
        self.proposal: PolicyProposal | None = None
        self.proposal_mod = 0
        self.is_proposal_unreadable = False  # there is a proposal that nobody can read
        self.votes: dict[str, str] = {}  # on the open proposal, by member: a reason against it, empty: yes
        self.past: dict[int, PastProposal] = {}
        self.plan: ZonePlan | None = None
        self.plan_mod = 0
        self.said: dict[str, ZoneReport] = {}  # by member

    def copy(self) -> StoreRecords:
        """A copy that later changes to this one leave as it is."""
        other = copy.copy(self)
        for name in ("members", "names", "votes", "past", "said"):
            setattr(other, name, dict(getattr(self, name)))
        return other

    def view(self) -> MembershipView:
        """The members; empty while it is not known here into how many cells the fleet is divided."""
        return (
            MembershipView(self.members.values(), self.cells, self.divided_at)
            if self.cells
            else MembershipView()
        )

    def put(self, key: str, entry: StoreEntry) -> str:
        """Take over one entry; why it can't be read, or an empty string."""
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
            self.names[key.removeprefix(NAMES_PREFIX)] = entry.create
        elif key.startswith(POLICY_PREFIX):
            self._put_policy(key, entry)
        elif key == ZONE_PLAN_KEY:
            self.plan_mod, self.plan = entry.mod, None
            self.plan = msgspec.json.decode(entry.value, type=ZonePlan)
        elif key.startswith(ZONE_REPORTS_PREFIX):
            self.said[key.removeprefix(ZONE_REPORTS_PREFIX)] = msgspec.json.decode(
                entry.value, type=ZoneReport
            )
        elif key == CELLS_KEY:
            self._put_cells(entry)

    def _put_member(self, member_id: str, entry: StoreEntry) -> None:
        member = msgspec.json.decode(entry.value, type=Member)
        if member.id != member_id:
            raise ValueError(member_id)
        self.members[member.id] = msgspec.structs.replace(member, term=entry.create)

    def _put_policy(self, key: str, entry: StoreEntry) -> None:
        if key == DECISION_KEY:
            self.decision_mod = entry.mod  # also of one that can't be read, so that it can be replaced
            self.decision = msgspec.json.decode(entry.value, type=PolicyDecision)
        elif key == PROPOSAL_KEY:
            self.proposal, self.proposal_mod, self.is_proposal_unreadable = None, entry.mod, True
            proposal = msgspec.json.decode(entry.value, type=PolicyProposal)
            self.proposal = msgspec.structs.replace(proposal, number=entry.create)
            self.is_proposal_unreadable = False
        elif key.startswith(VOTES_PREFIX):
            number, _, member = key.removeprefix(VOTES_PREFIX).partition("/")
            if int(number) == self.proposal_mod:
                self.votes[member] = msgspec.json.decode(entry.value, type=str)
        elif key.startswith(PAST_PREFIX):
            past = msgspec.json.decode(entry.value, type=PastProposal)
            self.past[past.number] = past

    def _put_cells(self, entry: StoreEntry) -> None:
        # An entry that can't be read is not taken for one cell: coordinators would be others than elsewhere.
        self.cells = self.cells if self.revision else self.previous_cells
        self.cells_mod, self.cells_unreadable = entry.mod, True
        sharding = msgspec.json.decode(entry.value, type=Sharding)
        if not 1 <= sharding.count <= MAX_SHARDS or sharding.count & (sharding.count - 1):
            raise ValueError(f"{sharding.count} cells")
        self.cells, self.divided_at, self.cells_unreadable = sharding.count, sharding.at, False

    def delete(self, key: str) -> None:
        """Take over that a key is no more."""
        if key.startswith(MEMBERS_PREFIX):
            self.members.pop(key.removeprefix(MEMBERS_PREFIX), None)
        elif key.startswith(NAMES_PREFIX):
            self.names.pop(key.removeprefix(NAMES_PREFIX), None)
        elif key.startswith(POLICY_PREFIX):
            self._delete_policy(key)
        elif key == ZONE_PLAN_KEY:
            self.plan, self.plan_mod = None, 0
        elif key.startswith(ZONE_REPORTS_PREFIX):
            self.said.pop(key.removeprefix(ZONE_REPORTS_PREFIX), None)
        elif key == CELLS_KEY:
            self.cells, self.cells_mod, self.cells_unreadable = 1, 0, False

    def _delete_policy(self, key: str) -> None:
        if key == DECISION_KEY:
            self.decision_mod = 0
        elif key == PROPOSAL_KEY:
            self.proposal, self.proposal_mod, self.is_proposal_unreadable, self.votes = None, 0, False, {}
        elif key.startswith(PAST_PREFIX):
            number = key.removeprefix(PAST_PREFIX)
            self.past.pop(int(number) if number.isdigit() else -1, None)
