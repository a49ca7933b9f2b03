"""What a fleet has at the arbiter: its entries by key, what they say, and transactions on them."""

from __future__ import annotations

import copy

import msgspec

from .membership import MOST_CELLS, Member, MembershipView
from .policy.document import Body

NOW, NEXT, VOTES, PAST_AT = "policy/now", "policy/next", "policy/votes/", "policy/past/"
MEMBERS, NAMES = "members/", "names/"
PLAN, SAID = "zones/plan", "zones/said/"
CELLS = "cells"


class Policy(msgspec.Struct, frozen=True):
    """`body` None: none was decided yet, each follows its own file."""

    version: int = 0
    digest: str = ""
    body: Body | None = None


class PolicyProposal(msgspec.Struct, frozen=True):
    """A proposal. Times are seconds on the wall clock; `number` is the revision that it was written at."""

    policy: Policy
    at: float
    made: float
    author: str
    number: int = 0


class PolicyDecision(msgspec.Struct, frozen=True):
    """What is in force from `at` on, and before."""

    policy: Policy
    at: float
    number: int
    before: Policy


class PastProposal(msgspec.Struct, frozen=True):
    number: int
    version: int
    digest: str
    how: str
    why: str
    at: float
    author: str


class ZoneHealth(msgspec.Struct):
    """Of one zone, by one member: hand-offs a second as usual, its part that fails there now, and trials.

    `last`: when its last trials have ended, and whether well.
    """

    weight: float
    rate: float = 0.0
    failing: bool = False
    bad: float = 0.0
    full: bool = False
    counted: int = 0  # hand-offs that tell something, lately
    bad_counted: int = 0
    row: int = 0  # failures since the last answer
    epoch: int = 0
    tried_well: int = 0
    tried_badly: int = 0
    last: list[tuple[float, bool]] = []


class ZoneReport(msgspec.Struct):
    at: float
    zones: dict[str, ZoneHealth]


class ZoneState(msgspec.Struct, frozen=True):
    """What the plan says of one that is not whole. `next`: when it may change."""

    share: float
    state: str  # left, returning, held
    epoch: int
    since: float
    next: float
    why: str
    failed: int = 0
    region: str = ""
    by_operator: bool = False


class ZonePlan(msgspec.Struct, frozen=True):
    epoch: int = 0
    zones: dict[str, ZoneState] = {}
    bears: dict[str, float] = {}  # hand-offs a second that a zone was seen to turn away at


class Sharding(msgspec.Struct, frozen=True):
    """Into how many cells the fleet is cut: a power of two. `at`: seconds on the wall clock."""

    count: int
    at: float = 0.0


class StoreEntry(msgspec.Struct, frozen=True):
    value: bytes
    create: int
    mod: int


class Compare(msgspec.Struct, frozen=True):
    """`prefix`: of every key that begins so."""

    key: str
    target: str
    result: str
    value: int
    prefix: bool = False


class Transaction(msgspec.Struct, frozen=True):
    """One transaction at the arbiter.

    `erase`: a key, or all below one that ends in a stroke. `leased`: what is put goes with our entry.
    """

    what: str
    compare: list[Compare]
    put: list[tuple[str, bytes]] = []
    erase: list[str] = []
    leased: bool = False


def equal(key: str, target: str, value: int) -> Compare:
    return Compare(key, target, "EQUAL", value)


class StoreRecords:
    """What the arbiter has under the fleet's name, as of one revision."""

    def __init__(self, cells: int = 0) -> None:
        """`cells`: as in the records before, which stays where the entry can't be read; 0: not known."""
        self.revision = 0
        self.cells_before = cells
        self.cells = 1  # into how many the fleet is cut; 0: not known
        self.cut_at = 0.0
        self.cells_mod = 0
        self.cells_spoilt = False  # nobody can read it
        self.members: dict[str, Member] = {}
        self.names: dict[str, int] = {}
        self.now: PolicyDecision | None = None
        self.now_mod = 0
        self.next: PolicyProposal | None = None
        self.next_mod = 0
        self.spoilt = False  # there is a proposal that nobody can read
        self.votes: dict[str, str] = {}  # of the open proposal: empty is a yes
        self.past: dict[int, PastProposal] = {}
        self.plan: ZonePlan | None = None
        self.plan_mod = 0
        self.said: dict[str, ZoneReport] = {}

    def copy(self) -> StoreRecords:
        other = copy.copy(self)
        for name in ("members", "names", "votes", "past", "said"):
            setattr(other, name, dict(getattr(self, name)))
        return other

    def view(self) -> MembershipView:
        """Who is in. Empty while nobody here knows into how many cells the fleet is cut."""
        return (
            MembershipView(self.members.values(), self.cells, self.cut_at) if self.cells else MembershipView()
        )

    def put(self, key: str, entry: StoreEntry) -> str:
        """Take over one entry; the reason if it can't be read."""
        try:
            if key.startswith(MEMBERS):
                member = msgspec.json.decode(entry.value, type=Member)
                if member.id != key.removeprefix(MEMBERS):
                    raise ValueError(key)
                self.members[member.id] = msgspec.structs.replace(member, term=entry.create)
            elif key.startswith(NAMES):
                self.names[key.removeprefix(NAMES)] = entry.create
            elif key == NOW:
                self.now_mod = entry.mod  # also of one that nobody can read: it is in the way of none
                self.now = msgspec.json.decode(entry.value, type=PolicyDecision)
            elif key == NEXT:
                self.next, self.next_mod, self.spoilt = None, entry.mod, True
                change = msgspec.json.decode(entry.value, type=PolicyProposal)
                self.next = msgspec.structs.replace(change, number=entry.create)
                self.spoilt = False
            elif key.startswith(VOTES):
                number, _, member = key.removeprefix(VOTES).partition("/")
                if int(number) == self.next_mod:
                    self.votes[member] = msgspec.json.decode(entry.value, type=str)
            elif key.startswith(PAST_AT):
                past = msgspec.json.decode(entry.value, type=PastProposal)
                self.past[past.number] = past
            elif key == PLAN:
                self.plan_mod, self.plan = entry.mod, None
                self.plan = msgspec.json.decode(entry.value, type=ZonePlan)
            elif key.startswith(SAID):
                self.said[key.removeprefix(SAID)] = msgspec.json.decode(entry.value, type=ZoneReport)
            elif key == CELLS:
                self._cut(entry)
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
            if key.startswith(MEMBERS):
                self.members.pop(key.removeprefix(MEMBERS), None)
            return "unreadable"
        return ""

    def _cut(self, entry: StoreEntry) -> None:
        # Guards against taking what can't be read for one cell: homes would be others than everybody else's.
        self.cells = self.cells if self.revision else self.cells_before
        self.cells_mod, self.cells_spoilt = entry.mod, True
        cut = msgspec.json.decode(entry.value, type=Sharding)
        if not 1 <= cut.count <= MOST_CELLS or cut.count & (cut.count - 1):
            raise ValueError(f"{cut.count} cells")
        self.cells, self.cut_at, self.cells_spoilt = cut.count, cut.at, False

    def erase(self, key: str) -> None:
        if key.startswith(MEMBERS):
            self.members.pop(key.removeprefix(MEMBERS), None)
        elif key.startswith(NAMES):
            self.names.pop(key.removeprefix(NAMES), None)
        elif key == NOW:
            self.now_mod = 0
        elif key == NEXT:
            self.next, self.next_mod, self.spoilt, self.votes = None, 0, False, {}
        elif key.startswith(PAST_AT):
            number = key.removeprefix(PAST_AT)
            self.past.pop(int(number) if number.isdigit() else -1, None)
        elif key == PLAN:
            self.plan, self.plan_mod = None, 0
        elif key.startswith(SAID):
            self.said.pop(key.removeprefix(SAID), None)
        elif key == CELLS:
            self.cells, self.cells_mod, self.cells_spoilt = 1, 0, False
