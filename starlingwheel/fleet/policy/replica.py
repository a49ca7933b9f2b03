"""One policy for a whole fleet: a change of it takes hold everywhere or nowhere, also with members down.

A change is proposed at the arbiter with a switch time. Every member checks it and votes; a yes binds: from
the switch time on its voter takes nothing under the old policy until it knows how the change ended. One
transaction decides (all in the view have said yes, the view is unchanged, and they are more than half of the
registered names), or one drops it: never both.

Who is cut off from the arbiter past its lease goes on while more than half of the registered names say that
they follow the same policy and have said yes to nothing newer: a decision needs more than half, so one of
those would know. Such a word is counted for less than the least time between a vote and its switch time.

`Following` is one member's part. It does no I/O: the host sets `now` and tells what is known, a `Door`
carries out what is asked for, and the host's scribe asks `due` for the next transaction.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from math import inf
from typing import Any, Protocol

import msgspec

from ..records import (
    MEMBERS,
    NAMES,
    NEXT,
    NOW,
    PAST_AT,
    VOTES,
    Compare,
    PastProposal,
    Policy,
    PolicyDecision,
    PolicyProposal,
    StoreRecords,
    Transaction,
    equal,
)
from .document import Body, digest

AHEAD = 3.0  # leases between a proposal and its switch time, unless told
LEAST = 1.5  # leases between a vote and the switch time, at least
WORD = 1.0  # leases for which the word of another member counts, whoever passes it on: less than that
RECOUNT = 1 / 64  # of a lease between counts of the words, where only more of them have come
LATE = 8.0  # leases after which a start without the arbiter goes by what others say
UNEASY = 1 / 3  # of a lease before its end, by when it is renewed as a rule
TURN = 1 / 16  # of a lease: for so long each waits for the one before it to decide or drop
TURNS = 16
PAST = 8  # ended changes that are remembered
COMPARED = 100  # members whose entries a decision compares one by one: an arbiter takes 128 at once
LONGEST_WHY = 300


class StoredPolicy(msgspec.Struct):
    """What outlives a process."""

    fleet: str
    decision: PolicyDecision | None = None
    promise: PolicyProposal | None = None
    ended: int = 0
    names: list[str] = []
    addresses: dict[str, str] = {}


class PolicyStatus(msgspec.Struct, array_like=True, frozen=True):
    """What a member says of itself. `until`: then it may have to follow another one; `known`: decided."""

    member: str
    name: str
    at: float
    version: int
    digest: str
    until: float
    known: int
    ended: int
    sure: bool


class PolicyHost(Protocol):
    def check(self, body: Body) -> str:
        """Why this sidecar can't follow that policy; empty: it can."""

    def keep(self, kept: StoredPolicy) -> None:
        """Have it outlive the process; `kept` tells when it does."""

    def kept(self) -> str | None:
        """Whether what was to be kept last is: empty: it is; None: not yet; else why it can't be."""

    def rule(self, policy: Policy) -> None:
        """This one holds from now on."""

    def ask(self, member: str) -> None:
        """Have that member tell its decision."""

    def note(self, event: str, **fields: Any) -> None:
        """For the log."""


class PolicyReplica:
    """One member's part of the fleet's one policy."""

    def __init__(
        self, member_id: str, name: str, lease: float, host: PolicyHost, now: float, kept: StoredPolicy
    ) -> None:
        """`lease`: seconds. `kept`: what a former process of this name has left."""
        self.member_id, self.name, self.lease, self.host, self.now = member_id, name, lease, host, now
        self.begun = now
        self.kept = kept
        self.records = StoreRecords()
        self.in_force = Policy()
        self.decision = kept.decision
        self.promise = kept.promise
        self.ended = kept.ended
        self.names = list(kept.names)
        self.from_file = bool(kept.names)
        self.sure = False  # what is decided is known: read since our entry, or said by more than half
        self.lease_until, self.entered = -inf, 0  # and the revision of our entry under it
        self.words: dict[str, PolicyStatus] = {}
        self.saying: dict[str, str] = {}  # of each name, the member whose word is known
        self.well_until: float | None = None  # for so long enough words count; None: to be counted
        self.grown, self.counted_at = False, -inf  # words have come since, and can only have made it longer
        self.vote: tuple[int, str] | None = None  # of which proposal, and why not
        self.since: dict[tuple[str, int], float] = {}  # when each thing that anybody may do became due
        self.left_at = now  # when a member that had not said yes was last seen to go
        self.doubt_since = 0.0
        self.counts: Counter[str] = Counter()
        self.doubted = 0.0  # seconds in doubt, all together

    # What the host asks.

    def doubt(self) -> str:
        """Why no work may be taken now; empty: `in_force` holds."""
        self._switch()
        why = self._doubt()
        if bool(why) != bool(self.doubt_since):
            if why:
                self.doubt_since = self.now
                self.host.note("policy.doubt", reason=why, version=self.in_force.version)
            else:
                self.doubted += self.now - self.doubt_since
                self.host.note("policy.sure", after=round(self.now - self.doubt_since, 3))
                self.doubt_since = 0.0
        return why

    def _doubt(self) -> str:
        if not self.sure:
            return "unknown"
        if self.promise is not None and self.now >= self.promise.at:
            return "undecided"
        # Guards against a pause: the lease is compared with the clock at each work item, and past it what
        # others say counts, and their words grow old too.
        return "" if self.now < self._leased() or self.now < self._well() else "alone"

    def _leased(self) -> float:
        """Until when nothing can have been decided without us.

        Guards against a lease taken anew by one that has not seen yet what was decided in between.
        """
        seen = self.member_id in self.records.members and self.records.revision >= self.entered
        return self.lease_until if seen else -inf

    def next_at(self) -> float:
        """When to call `doubt` again, whatever comes."""
        times = [self.decision.at] if self.decision else []
        times += [self.promise.at] if self.promise else []
        times += [self.uneasy_at()]
        return min((at for at in times if at > self.now), default=inf)

    def word(self) -> PolicyStatus:
        """What we say of ourselves, now."""
        self._switch()
        until = min(self._ahead(), self.promise.at if self.promise else inf)
        ours, sure = self.in_force, self.sure or self.from_file
        return PolicyStatus(
            self.member_id,
            self.name,
            self.now,
            ours.version,
            ours.digest,
            until,
            self.known,
            self.ended,
            sure,
        )

    def _ahead(self) -> float:
        return self.decision.at if self.decision and self.decision.at > self.now else inf

    # What the host tells.

    def begin(self) -> None:
        """Take up what was kept."""
        self._switch()

    def heard(self, word: PolicyStatus) -> None:
        """The word of a member, or of one that will be, from itself or passed on by another."""
        before = self.words.get(word.member)
        if before is not None and before.at > word.at:
            return
        self.words[word.member] = word
        lasts = -inf if before is None else self._lasts(before)
        if self.saying.setdefault(word.name, word.member) == word.member and self._lasts(word) >= lasts:
            self.grown = True
        else:
            self.well_until = None
        if word.known > self.known:
            self.host.ask(word.member)
        elif self.promise is not None and word.sure and self._dropped(self.promise, word):
            self._release("dropped, as a member says")
        if not self.sure and self.now >= self.begun + LATE * self.lease and self.now < self._well():
            self.sure = True
            self.host.note("policy.assumed", version=self.in_force.version)

    def _dropped(self, change: PolicyProposal, word: PolicyStatus) -> bool:
        return word.ended >= change.number and word.known < change.policy.version

    def renewed(self, until: float, entered: int) -> None:
        """Our lease holds until then, counted from before it was asked for; the revision of our entry."""
        self.lease_until, self.entered = until, entered

    @property
    def leased(self) -> bool:
        return self.now < self._leased()

    @property
    def uneasy(self) -> bool:
        """The words of others may be needed soon, or are."""
        return self.now > self.uneasy_at() or bool(self._doubt())

    def uneasy_at(self) -> float:
        """When our lease is so near its end that the words of others may be needed."""
        return self._leased() - UNEASY * self.lease

    def told(self, decision: PolicyDecision) -> None:
        """What a member knows to be decided."""
        if decision.policy.body is not None and digest(decision.policy.body) == decision.policy.digest:
            self._adopt(decision)

    def recorded(self, records: StoreRecords, gap: bool) -> None:
        """What the arbiter has. `gap`: there may have been changes between that nobody saw."""
        before, self.records = self.records, records
        change = records.next
        if self.member_id in before.members and self.member_id not in records.members:
            self.lease_until = -inf
        if gap:
            self.left_at = self.now
        moved = before.members.keys() != records.members.keys()
        if moved and change is not None:
            gone = before.members.keys() - records.members.keys()
            if any(records.votes.get(member) != "" for member in gone):
                self.left_at = self.now
        if moved or before.names.keys() != records.names.keys() or gap:
            self.names = sorted(records.names)
            self.well_until = None
            self._keep(addresses=True)
        if records.now is not None:
            self._adopt(records.now)
        self.ended = max([self.ended, *records.past])
        promise = self.promise
        if promise is not None and records.revision >= promise.number and not self._is_open(promise):
            self.ended = max(self.ended, promise.number)
            self._release("dropped")
        if not self.sure and self.member_id in records.members:
            self.sure = True
            self.host.note("policy.known", version=self.in_force.version)
        if change is not None and self.member_id in records.members and self._unvoted(change):
            self._consider(change)

    def _unvoted(self, change: PolicyProposal) -> bool:
        return self.vote is None or self.vote[0] != change.number

    def _is_open(self, change: PolicyProposal) -> bool:
        return self.records.next is not None and self.records.next.number == change.number

    # Deciding what is what.

    @property
    def known(self) -> int:
        """The latest version that is known to be decided; it may hold later only."""
        return self.decision.policy.version if self.decision else 0

    def _adopt(self, decision: PolicyDecision) -> None:
        if decision.policy.version <= self.known:
            return
        self.decision = decision
        self.ended = max(self.ended, decision.number)
        if self.promise is not None and self.promise.number <= self.ended:
            self.promise = None
        self._keep()
        self.counts["decided"] += 1
        self.host.note("policy.decided", version=decision.policy.version, at=round(decision.at, 3))
        self._switch()

    def _release(self, why: str) -> None:
        promise, self.promise = self.promise, None
        self._keep()
        if promise is not None:
            self.counts["released"] += 1
            self.host.note("policy.released", version=promise.policy.version, reason=why)

    def _switch(self) -> None:
        if self.decision is None:
            return
        policy = self.decision.policy if self.now >= self.decision.at else self.decision.before
        if policy.version != self.in_force.version and policy.body is not None:
            self.in_force = policy
            self.well_until = None
            self.counts["switched"] += 1
            self.host.note("policy.in_force", version=policy.version, digest=policy.digest)
            self.host.rule(policy)

    def _consider(self, change: PolicyProposal) -> None:
        """Say yes or no, once."""
        why = self._why_not(change)
        if not why:
            if self.now >= self._leased():
                return  # not now: nobody counts on us, and our lease may come back
            self.promise = change
            self._keep()
        self.vote = change.number, why[:LONGEST_WHY]
        self.counts["yes" if not why else "no"] += 1
        self.host.note("policy.vote", version=change.policy.version, yes=not why, reason=why)

    def _why_not(self, change: PolicyProposal) -> str:
        policy = change.policy
        if policy.version != self.known + 1:
            return f"version {policy.version} does not follow {self.known}"
        if policy.body is None or digest(policy.body) != policy.digest:
            return "its digest is another one's"
        if change.at - self.now < LEAST * self.lease:
            return f"it holds from {change.at - self.now:.3f} s on, too soon"
        if self.decision is not None and self.now < self.decision.at:
            return "the change before it has not taken hold yet"
        return self.host.check(policy.body)

    def lately(self, members: Container[str], most: int) -> list[PolicyStatus]:
        """Words of these members that others may still count, the youngest first: to be passed on."""
        old = self.now - WORD * self.lease
        words = [word for word in self.words.values() if word.at > old and word.member in members]
        return sorted(words, key=lambda word: -word.at)[:most]

    def _well(self) -> float:
        """Until when more than half of the registered names are known to follow the same policy."""
        until = self.well_until
        if until is not None and self.grown and self.now >= until:
            # Guards against counting a large fleet anew for each word that comes.
            until = None if self.now >= self.counted_at + RECOUNT * self.lease else until
        if until is None:
            until = self.well_until = self._count()
            self.grown, self.counted_at = False, self.now
        return until

    def _lasts(self, word: PolicyStatus) -> float:
        """Until when that word counts. By its own time, however it has come here; -inf: not at all."""
        same = (word.version, word.digest) == (self.in_force.version, self.in_force.digest) and word.sure
        return min(word.at + WORD * self.lease, word.until) if same else -inf

    def _count(self) -> float:
        until: dict[str, float] = {}
        old = self.now - WORD * self.lease
        self.words = {member: word for member, word in self.words.items() if word.at > old}
        self.saying = {word.name: member for member, word in self.words.items()}
        for word in self.words.values():
            if word.name not in self.names or word.name == self.name:
                continue
            # Guards against two processes of one name, of which one knows more.
            until[word.name] = min(self._lasts(word), until.get(word.name, inf))
        need = len(self.names) // 2 + 1 - (self.name in self.names)
        if not self.names:
            return -inf
        if need <= 0:
            return inf
        best = sorted(until.values(), reverse=True)
        return best[need - 1] if len(best) >= need else -inf

    def _keep(self, addresses: bool = False) -> None:
        kept = self.kept
        kept.decision, kept.promise, kept.ended = self.decision, self.promise, self.ended
        kept.names = self.names
        if addresses:
            members = self.records.members.values()
            kept.addresses = {m.name: m.address for m in members if m.name != self.name}
        self.host.keep(kept)

    # What is to be written at the arbiter.

    def propose(self, body: Body, span: float) -> tuple[Transaction, PolicyProposal]:
        """A change that takes hold `span` seconds from now. Its checks are the caller's."""
        policy = Policy(self.known + 1, digest(body), body)
        change = PolicyProposal(policy, self.now + span, self.now, self.member_id)
        same = [equal(NEXT, "CREATE", 0), equal(NOW, "MOD", self.records.now_mod)]
        return Transaction("propose", same, [(NEXT, msgspec.json.encode(change))]), change

    def drop(self, why: str) -> Transaction | None:
        """The open change is not to be; None: there is none."""
        if self.records.next is None and not self.records.is_next_unreadable:
            return None
        return self._ending("drop", "dropped", why, [], [])

    def _ending(
        self, what: str, how: str, why: str, compare: list[Compare], put: list[tuple[str, bytes]]
    ) -> Transaction:
        """The one change of the proposal's key by which it ends."""
        number, change = self.records.next_mod, self.records.next
        version, digest_, author = 0, "", ""  # of one that nobody can read
        if change is not None:
            version, digest_, author = change.policy.version, change.policy.digest, change.author
        past = PastProposal(number, version, digest_, how, why[:LONGEST_WHY], self.now, author)
        oldest = sorted(self.records.past)[: 1 - PAST]
        erase = [NEXT, f"{VOTES}{number}/", *(f"{PAST_AT}{one}" for one in oldest)]
        put = [*put, (f"{PAST_AT}{number}", msgspec.json.encode(past))]
        return Transaction(what, [equal(NEXT, "MOD", number), *compare], put, erase)

    def due(self) -> Transaction | float:
        """What to write at the arbiter now, or when to ask again."""
        records = self.records
        change = records.next
        if records.is_next_unreadable:
            return self._in_turn("spoilt", records.next_mod, lambda: self.drop("nobody can read it"))
        if change is None or self.member_id not in records.members:
            return inf
        number = change.number
        if self._unvoted(change):
            self._consider(change)
        if self.vote is not None and not self._unvoted(change) and self.member_id not in records.votes:
            if not self.vote[1] and (fault := self.host.kept()) != "":
                if fault is None:
                    return self.now + TURN * self.lease
                # Guards against a vote that binds nobody once this process has ended.
                self.promise, self.vote = None, (number, f"it can't be kept here: {fault}"[:LONGEST_WHY])
            key = f"{VOTES}{number}/{self.member_id}"
            same = [
                equal(NEXT, "MOD", records.next_mod),
                equal(key, "CREATE", 0),
                equal(MEMBERS + self.member_id, "CREATE", records.members[self.member_id].term),
            ]
            return Transaction("vote", same, [(key, msgspec.json.encode(self.vote[1]))])
        votes = {member: why for member, why in records.votes.items() if member in records.members}
        no = sorted(member for member, why in votes.items() if why)
        if no:
            why = f"{records.members[no[0]].name}: {votes[no[0]]}"
            return self._in_turn("no", number, lambda: self.drop(why))
        if self.now > change.at:
            return self._in_turn("late", number, lambda: self.drop(self._missing(votes)))
        whole = len(votes) == len(records.members) and self._enough(votes)
        # One that went without a word may follow its lease for as long as that lasts.
        if whole and self.left_at <= change.at - self.lease:
            return self._in_turn("yes", number, lambda: self._decide(change))
        return change.at + self.lease / 1000

    def _enough(self, votes: Iterable[str]) -> bool:
        names = {self.records.members[member].name for member in votes} & self.records.names.keys()
        return 2 * len(names) > len(self.records.names)

    def _missing(self, votes: dict[str, str]) -> str:
        missing = [m.name for m in self.records.members.values() if m.id not in votes]
        if missing:
            return f"no word in time from {', '.join(sorted(missing)[:8])}"
        if not self._enough(votes):
            return f"{len(votes)} of {len(self.records.names)} registered were there"
        return "not decided in time"

    def _in_turn(self, what: str, number: int, made: Any) -> Transaction | float:
        """Anybody may do it; its author first, then one after another."""
        since = self.since.setdefault((what, number), self.now)
        if len(self.since) > 4 * PAST:
            del self.since[next(iter(self.since))]
        change = self.records.next
        ranks = sorted(self.records.members)
        turn = 0
        if change is None or change.author != self.member_id:
            place = ranks.index(self.member_id) if self.member_id in ranks else TURNS
            turn = 1 + (place + number) % max(1, len(ranks))
        at = since + min(turn, TURNS) * TURN * self.lease
        return made() if self.now >= at else at

    def _decide(self, change: PolicyProposal) -> Transaction:
        records = self.records
        before = self.decision.policy if self.decision else Policy()
        decision = PolicyDecision(change.policy, change.at, change.number, before)
        unchanged = [
            equal(NOW, "MOD", records.now_mod),
            Compare(MEMBERS, "MOD", "LESS", records.revision + 1, prefix=True),
            Compare(NAMES, "MOD", "LESS", records.revision + 1, prefix=True),
        ]
        # What is compared over a range sees nothing of what has gone: guards against counting those.
        counted = list(records.members.values())[:COMPARED]
        there = [equal(MEMBERS + member.id, "CREATE", member.term) for member in counted]
        put = [(NOW, msgspec.json.encode(decision))]
        return self._ending("decide", "decided", "", unchanged + there, put)
