"""Which policy members follow while the store is unavailable and each is linked to its own shard only."""

import random
from collections.abc import Callable, Iterable, Iterator
from itertools import pairwise
from types import SimpleNamespace

import msgspec
import pytest
from link_network import Clock, LinkedMember, LinkNetwork

from starlingwheel.fleet import frames
from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.policy import document
from starlingwheel.fleet.policy.host import StoredPolicy
from starlingwheel.fleet.policy.replica import PolicyReplica
from starlingwheel.fleet.policy.statuses import PolicyStatus
from starlingwheel.fleet.records import Policy, PolicyDecision, PolicyProposal, StoreRecords
from starlingwheel.net.fleet.messages import RESTART_WATCH, FrameReceived
from starlingwheel.net.fleet.policy_poller import PolicyPoller

LEASE = 1.0  # seconds
SHARDS = 8
MEMBERS = 24
MAJORITY = 13  # of the members
Note = tuple[str, dict[str, object]]


class RecordingPolicyHost:
    """The host of a `PolicyReplica` that accepts every policy and records the notes."""

    def __init__(self, notes: list[Note]) -> None:
        """`notes`: where they are put."""
        self.notes = notes

    def check(self, body: object) -> str:
        """Accept a policy."""
        return ""

    def store(self, stored: object) -> None:
        """Store nothing."""

    def store_state(self) -> str:
        """Have nothing stored."""
        return ""

    def apply_policy(self, policy: object) -> None:
        """Apply nothing."""

    def request_decision(self, member: str) -> None:
        """Ask nobody."""

    def log_event(self, event: str, **fields: object) -> None:
        """Record a note."""
        self.notes.append((event, fields))


class PolicyMember(LinkedMember):
    """A member that follows a policy as its host has it: statuses over links, and for those who ask."""

    def __init__(self, clock: Clock, name: str) -> None:
        """`name`: of the member."""
        super().__init__(clock, name)
        self.notes: list[Note] = []
        host = RecordingPolicyHost(self.notes)
        now = self.loop.now()
        self.policy_replica = PolicyReplica(self.id, name, LEASE, host, now, StoredPolicy("f"))
        self.links.answer_query = self.answer_query
        self.links.notify = self.handle_message
        self.policy_poller = PolicyPoller(
            self.links, self.policy_replica, self.links, random.Random(name), LEASE
        )
        self.policy_poller.begin()

    def make_heartbeat(self, member: str, with_status: bool) -> frames.HeartbeatFrame:
        """Return a heartbeat, with the policy status where it may be needed."""
        self.policy_replica.now = self.loop.now()
        self.policy_replica.unavailable_reason()
        lapsed = self.policy_replica.needs_statuses
        status = self.policy_replica.status() if with_status or lapsed else None
        return frames.HeartbeatFrame(1, lapsed, status, True)

    def answer_query(self, query: frames.PolicyQueryFrame) -> list[frames.Frame]:
        """Return our policy status with those of others, and the decision if it is not known there."""
        self.policy_replica.now = self.loop.now()
        others = self.policy_replica.recent_statuses(self.links.links, frames.MAX_RELAYED_STATUSES)
        answers: list[frames.Frame] = [frames.PolicyStatusFrame(self.policy_replica.status(), others)]
        if self.policy_replica.decided_version > query.known_version:
            answers.append(frames.DecisionFrame(msgspec.json.encode(self.policy_replica.decision)))
        return answers

    def handle_message(self, message: object) -> None:
        """Take over policy statuses and decisions."""
        self.policy_replica.now = self.loop.now()
        if not isinstance(message, FrameReceived):
            return
        frame = message.frame
        if isinstance(frame, frames.PolicyStatusFrame):
            for status in (frame.status, *frame.relayed):
                self.policy_replica.receive_status(status)
        elif isinstance(frame, frames.DecisionFrame):
            self.policy_replica.receive_decision(msgspec.json.decode(frame.decision, type=PolicyDecision))
        elif getattr(frame, "policy_status", None):
            self.policy_replica.receive_status(frame.policy_status)

    def unavailable_reason(self) -> str:
        """Return why no request may be taken now; empty: the policy in force holds."""
        self.policy_replica.now = self.loop.now()
        return self.policy_replica.unavailable_reason()


class PolicyNetwork(LinkNetwork):
    """Members of several shards, all registered in the store; from then on it is unavailable."""

    members: list[PolicyMember]

    def __init__(self, seed: int) -> None:
        """`seed`: of the order of turns."""
        super().__init__(seed)
        self.members = [PolicyMember(self.clock, f"n{number:03d}") for number in range(MEMBERS)]
        records = StoreRecords()
        records.revision = 1
        records.members = {one.id: one.member for one in self.members}
        records.registered_names = {one.member.name: 1 for one in self.members}
        for one in self.members:
            one.policy_replica.now = one.loop.now()
            one.policy_replica.update_records(records.copy(), True)
            one.policy_replica.lease_renewed(one.loop.now() + LEASE, 1)
            assert not one.unavailable_reason()
        self.set_view(SHARDS)

    def members_that_doubted(self) -> list[str]:
        """Return the members that were in doubt at any time."""
        return [one.id for one in self.members if any(event == "policy.doubt" for event, _ in one.notes)]


MakePolicyNetwork = Callable[[int], PolicyNetwork]


@pytest.fixture
def make_policy_network() -> Iterator[MakePolicyNetwork]:
    """Make networks by seed, and close them after the test."""
    made = []

    def make(seed: int) -> PolicyNetwork:
        made.append(PolicyNetwork(seed))
        return made[-1]

    yield make
    for network in made:
        network.close()


def test_without_the_store_nobody_doubts_though_each_is_linked_to_its_own_shard_only(
    make_policy_network: MakePolicyNetwork,
) -> None:
    """No member doubts the policy for six leases."""
    network = make_policy_network(1)
    network.advance(6 * LEASE)
    assert not network.members_that_doubted()
    assert max(len(one.links.links) for one in network.members) < 12


def all_doubt_after_losing_a_majority(network: PolicyNetwork) -> bool:
    """More than half hang. Return whether each of the others comes to doubt, and stays in it."""
    network.advance(2 * LEASE)
    network.rng.shuffle(network.members)
    hung, network.members = network.members[:MAJORITY], network.members[MAJORITY:]
    until = network.clock() + 2 * LEASE
    doubts: set[str] = set()
    while len(doubts) < len(network.members) and network.clock() < until:
        network.step()
        doubts |= {one.id for one in network.members if one.unavailable_reason()}
    all_doubt = len(doubts) == len(network.members)
    network.advance(LEASE)
    all_doubt = all_doubt and all(one.unavailable_reason() == "alone" for one in network.members)
    network.members += hung
    return all_doubt


def test_with_more_than_half_lost_all_others_doubt_however_statuses_are_relayed(
    make_policy_network: MakePolicyNetwork,
) -> None:
    """A relayed status does not keep members from doubt."""
    assert all_doubt_after_losing_a_majority(make_policy_network(2))


def test_a_relay_that_made_statuses_younger_would_be_noticed(
    make_policy_network: MakePolicyNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With relayed statuses dated anew, members would not doubt."""
    recent_statuses = PolicyReplica.recent_statuses

    def younger(self: PolicyReplica, members: Iterable[str], limit: int) -> list[PolicyStatus]:
        known = {**self.statuses}
        self.statuses = {m: msgspec.structs.replace(w, made_at=self.now) for m, w in known.items()}
        relayed = recent_statuses(self, self.statuses, limit)
        self.statuses = known
        return relayed

    monkeypatch.setattr(PolicyReplica, "recent_statuses", younger)
    assert not all_doubt_after_losing_a_majority(make_policy_network(2))


def test_a_member_that_alone_cannot_reach_the_store_does_not_doubt(
    make_policy_network: MakePolicyNetwork,
) -> None:
    """The statuses of members whose leases hold are enough."""
    network = make_policy_network(3)
    cut = network.members[0]
    for _ in range(8):
        for one in network.members[1:]:
            one.policy_replica.lease_renewed(one.loop.now() + LEASE, 1)
        network.advance(LEASE / 2)
    assert not network.members_that_doubted() and cut.policy_replica.needs_statuses
    assert all(not one.policy_replica.needs_statuses for one in network.members[1:])


def test_a_decision_that_a_single_member_knows_reaches_all(make_policy_network: MakePolicyNetwork) -> None:
    """Members without a link to it learn of the decision too."""
    network = make_policy_network(4)
    network.advance(1.5 * LEASE)
    body = {"settings": {}}
    policy = Policy(1, document.digest(body), body)
    network.members[5].policy_replica.receive_decision(
        PolicyDecision(policy, network.clock() + 60.0, 7, Policy())
    )
    unlinked = [one for one in network.members if network.members[5].id not in one.links.links]
    assert len(unlinked) > 12
    network.wait_until(
        lambda: all(one.policy_replica.decided_version == 1 for one in unlinked), within=1.25 * LEASE
    )


def test_the_watch_is_restarted_once_a_lease_while_a_decision_is_awaited(
    make_policy_network: MakePolicyNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Not with each poll: a watch that is restarted over and over would never bring the decision."""
    network = make_policy_network(5)
    member = network.members[0]
    restarts: list[float] = []

    def record(message: object) -> None:
        assert message is RESTART_WATCH
        restarts.append(network.clock())

    monkeypatch.setattr(member.policy_poller, "state_watcher", SimpleNamespace(post=record))
    policy = Policy(1, "", {})
    member.policy_replica.promise = PolicyProposal(policy, network.clock(), network.clock(), "n1", number=7)
    network.advance(4.5 * LEASE)
    assert 3 <= len(restarts) <= 5
    assert all(later - earlier >= LEASE for earlier, later in pairwise(restarts))


def test_a_status_counts_by_its_own_age_whoever_relays_it() -> None:
    """A relayed status ends with its own lease, and is not relayed after that."""
    members = {f"n{i}.00": Member(f"n{i}.00", f"n{i}", "") for i in range(3)}
    records = StoreRecords()
    records.revision, records.members = 1, members
    records.registered_names = dict.fromkeys(("n0", "n1", "n2"), 1)
    one, other = (
        PolicyReplica(f"n{i}.00", f"n{i}", LEASE, RecordingPolicyHost([]), 0.0, StoredPolicy("f"))
        for i in range(2)
    )
    for each in (one, other):
        each.update_records(records, True)
    third = PolicyStatus("n2.00", "n2", 10.0, 0, "", 1e9, 0, 0, True)
    other.now = 10.4
    other.receive_status(third)
    one.now = 10.8
    for status in other.recent_statuses(members, 8):
        one.receive_status(status)
    assert not one.unavailable_reason()
    one.now = 10.0 + LEASE
    assert one.unavailable_reason() == "alone"
    other.now = one.now
    assert other.recent_statuses(members, 8) == []
