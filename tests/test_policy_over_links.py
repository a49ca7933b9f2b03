"""Policy statuses over links while the coordination store is unavailable and links stay within a shard."""

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
LogLine = tuple[str, dict[str, object]]


class RecordingPolicyHost:
    """The host of a `PolicyReplica` that accepts every policy and records log lines."""

    def __init__(self, log_lines: list[LogLine]) -> None:
        """Create a host. `log_lines`: the list that the lines are appended to."""
        self.log_lines = log_lines

    def check(self, body: object) -> str:
        """Accept a policy."""
        return ""

    def store(self, stored: object) -> None:
        """Store nothing."""

    def store_state(self) -> str:
        """Report that everything is stored."""
        return ""

    def apply_policy(self, policy: object) -> None:
        """Do nothing."""

    def request_decision(self, member: str) -> None:
        """Do nothing."""

    def log_event(self, event: str, **fields: object) -> None:
        """Record a log line."""
        self.log_lines.append((event, fields))


class PolicyMember(LinkedMember):
    """A member with a policy replica, which sends statuses over links and answers policy queries."""

    def __init__(self, clock: Clock, name: str) -> None:
        """Start the member. `name`: its registered name."""
        super().__init__(clock, name)
        self.policy_log: list[LogLine] = []
        host = RecordingPolicyHost(self.policy_log)
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
        in_doubt = self.policy_replica.needs_statuses
        status = self.policy_replica.status() if with_status or in_doubt else None
        return frames.HeartbeatFrame(1, in_doubt, status, True)

    def answer_query(self, query: frames.PolicyQueryFrame) -> list[frames.Frame]:
        """Return our policy status with those of others, and the decision if the sender does not know it."""
        self.policy_replica.now = self.loop.now()
        others = self.policy_replica.recent_statuses(self.links.links, frames.MAX_RELAYED_STATUSES)
        answers: list[frames.Frame] = [frames.PolicyStatusFrame(self.policy_replica.status(), others)]
        if self.policy_replica.decided_version > query.known_version:
            answers.append(frames.DecisionFrame(msgspec.json.encode(self.policy_replica.decision)))
        return answers

    def handle_message(self, message: object) -> None:
        """Pass received policy statuses and decisions to the replica."""
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
        """Return why no request may be accepted now; empty if requests may be accepted."""
        self.policy_replica.now = self.loop.now()
        return self.policy_replica.unavailable_reason()


class PolicyNetwork(LinkNetwork):
    """Members of several shards that are registered in the store, which is unavailable from then on."""

    members: list[PolicyMember]

    def __init__(self, seed: int) -> None:
        """Register all members, each with a valid lease. `seed`: of the order in which the loops run."""
        super().__init__(seed)
        self.members = [PolicyMember(self.clock, f"n{number:03d}") for number in range(MEMBERS)]
        records = StoreRecords()
        records.revision = 1
        records.members = {member.id: member.member for member in self.members}
        records.registered_names = {member.member.name: 1 for member in self.members}
        for member in self.members:
            member.policy_replica.now = member.loop.now()
            member.policy_replica.update_records(records.copy(), True)
            member.policy_replica.lease_renewed(member.loop.now() + LEASE, 1)
            assert not member.unavailable_reason()
        self.set_view(SHARDS)

    def members_once_unavailable(self) -> list[str]:
        """Return the members that could not accept requests at any time so far."""
        return [
            member.id
            for member in self.members
            if any(event == "policy.doubt" for event, _ in member.policy_log)
        ]


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


def test_without_the_store_members_stay_available_with_links_to_their_own_shard_only(
    make_policy_network: MakePolicyNetwork,
) -> None:
    """For six leases, queries to other shards provide each member with the statuses of a majority."""
    network = make_policy_network(1)
    network.advance(6 * LEASE)
    assert not network.members_once_unavailable()
    assert max(len(member.links.links) for member in network.members) < 12


def all_unavailable_after_losing_a_majority(network: PolicyNetwork) -> bool:
    """Hang more than half of the members; return whether all others become and stay unavailable."""
    network.advance(2 * LEASE)
    network.rng.shuffle(network.members)
    hung, network.members = network.members[:MAJORITY], network.members[MAJORITY:]
    until = network.clock() + 2 * LEASE
    unavailable: set[str] = set()
    while len(unavailable) < len(network.members) and network.clock() < until:
        network.step()
        unavailable |= {member.id for member in network.members if member.unavailable_reason()}
    all_unavailable = len(unavailable) == len(network.members)
    network.advance(LEASE)
    all_unavailable = all_unavailable and all(
        member.unavailable_reason() == "alone" for member in network.members
    )
    network.members += hung
    return all_unavailable


def test_with_more_than_half_lost_all_others_become_unavailable(
    make_policy_network: MakePolicyNetwork,
) -> None:
    """Statuses that the remaining members relay to each other do not extend their validity."""
    assert all_unavailable_after_losing_a_majority(make_policy_network(2))


def test_relays_that_renewed_the_time_of_statuses_would_be_detected(
    make_policy_network: MakePolicyNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The test above is strict enough: with a new time on each relay, members would stay available."""
    recent_statuses = PolicyReplica.recent_statuses

    def renewed_statuses(self: PolicyReplica, members: Iterable[str], limit: int) -> list[PolicyStatus]:
        known = {**self.statuses}
        self.statuses = {
            member: msgspec.structs.replace(status, made_at=self.now) for member, status in known.items()
        }
        relayed = recent_statuses(self, self.statuses, limit)
        self.statuses = known
        return relayed

    monkeypatch.setattr(PolicyReplica, "recent_statuses", renewed_statuses)
    assert not all_unavailable_after_losing_a_majority(make_policy_network(2))


def test_a_single_member_that_cannot_reach_the_store_stays_available(
    make_policy_network: MakePolicyNetwork,
) -> None:
    """The statuses of the members with valid leases are sufficient."""
    network = make_policy_network(3)
    isolated = network.members[0]
    for _ in range(8):
        for member in network.members[1:]:
            member.policy_replica.lease_renewed(member.loop.now() + LEASE, 1)
        network.advance(LEASE / 2)
    assert not network.members_once_unavailable() and isolated.policy_replica.needs_statuses
    assert all(not member.policy_replica.needs_statuses for member in network.members[1:])


def test_a_decision_that_a_single_member_knows_reaches_all(make_policy_network: MakePolicyNetwork) -> None:
    """Members without a link to that member receive the decision too."""
    network = make_policy_network(4)
    network.advance(1.5 * LEASE)
    body = {"settings": {}}
    policy = Policy(1, document.digest(body), body)
    network.members[5].policy_replica.receive_decision(
        PolicyDecision(policy, network.clock() + 60.0, 7, Policy())
    )
    unlinked = [member for member in network.members if network.members[5].id not in member.links.links]
    assert len(unlinked) > 12
    network.wait_until(
        lambda: all(member.policy_replica.decided_version == 1 for member in unlinked), within=1.25 * LEASE
    )


def test_the_watch_is_restarted_once_a_lease_while_a_decision_is_awaited(
    make_policy_network: MakePolicyNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A watch that is restarted with each poll would never deliver the decision."""
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


def test_a_relayed_status_expires_by_its_original_time() -> None:
    """An expired status does not count and is not relayed again."""
    members = {f"n{i}.00": Member(f"n{i}.00", f"n{i}", "") for i in range(3)}
    records = StoreRecords()
    records.revision, records.members = 1, members
    records.registered_names = dict.fromkeys(("n0", "n1", "n2"), 1)
    first, second = (
        PolicyReplica(f"n{i}.00", f"n{i}", LEASE, RecordingPolicyHost([]), 0.0, StoredPolicy("f"))
        for i in range(2)
    )
    for replica in (first, second):
        replica.update_records(records, True)
    third_status = PolicyStatus("n2.00", "n2", 10.0, 0, "", 1e9, 0, 0, True)
    second.now = 10.4
    second.receive_status(third_status)
    first.now = 10.8
    for status in second.recent_statuses(members, 8):
        first.receive_status(status)
    assert not first.unavailable_reason()
    first.now = 10.0 + LEASE
    assert first.unavailable_reason() == "alone"
    second.now = first.now
    assert second.recent_statuses(members, 8) == []
