"""A fleet divided into shards: responsibility for keys, changes of the shards, and broken variants."""

from __future__ import annotations

import msgspec
import pytest

from starlingwheel.fleet.config import decode
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.fleet.records import (
    MEMBERS_PREFIX,
    SHARDS_KEY,
    Sharding,
    StoreEntry,
    StoreRecords,
    Transaction,
)
from starlingwheel.fleet.replication.replicator import RequestReplicator
from starlingwheel.fleet.shards import (
    CHANGE_INTERVAL_LEASES,
    MAX_TURNS,
    STABLE_LEASES,
    TURN_LEASES,
    ShardPlanner,
)
from trials.broken import SHARD_VARIANTS, OneReplicaAwaited, OutdatedCells
from trials.emulated import HARSH_FAULTS, IDLE_LINK_TIMEOUT, FaultRates, Request, World, simulate
from trials.emulated.member import EmulatedMember
from trials.model_replication import explore
from trials.model_replication_events import SETTLES, Bounds, Event, EventKind

NO_FAULTS = FaultRates(0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
PARTITIONED = FaultRates(
    crash=5.0, pause=0.5, partition=6.0, one_way_partition=4.0, reset=1.0, store_outage=0.0, max_duration=1.0
)
LEASE = 3.0  # seconds


def members(count: int) -> list[Member]:
    """Return `count` members, spread over three zones."""
    return [Member(f"n{i}.{i:04x}", f"n{i}", "", "abc"[i % 3], term=i + 1) for i in range(count)]


KEYS = [b"%d" % i for i in range(400)]


# Responsibility.


def test_a_view_of_one_shard_ranks_all_members() -> None:
    """A view with one shard has the digest of an undivided one, and every member is responsible."""
    view = MembershipView(members(12))
    assert view.digest == MembershipView(members(12), 1).digest != MembershipView(members(12), 2).digest
    assert len(view.ranked_members(b"x")) == 12 and view.peers("n3.0003") == [
        m for m in view.members if m != "n3.0003"
    ]


def test_a_coordinator_is_in_its_keys_shard_and_only_that_shard_is_ranked() -> None:
    """Finding the coordinator must not become more expensive as the fleet grows."""
    view = MembershipView(members(1600), 64)
    for key in KEYS:
        assert view.shard_of_member(view.coordinator(key)) == view.shard_of_key(key)
        assert len(view.ranked_members(key)) == len(view.members_of_shard(view.shard_of_key(key))) <= 50


def test_doubling_the_shards_splits_each_and_halving_merges_them() -> None:
    """Members and keys move only between a shard and the half that is split from it."""
    fewer, more = MembershipView(members(200), 4), MembershipView(members(200), 8)
    for shard in range(4):
        assert {*fewer.members_of_shard(shard)} == {
            *more.members_of_shard(shard),
            *more.members_of_shard(shard + 4),
        }
    assert all(more.shard_of_key(key) % 4 == fewer.shard_of_key(key) for key in KEYS)


def test_a_member_that_joins_or_leaves_moves_no_other_and_a_restart_keeps_its_shard() -> None:
    """A change of one member changes the digest of its own shard only."""
    view, smaller = MembershipView(members(60), 4), MembershipView(members(60)[1:], 4)
    assert all(view.shard_of_member(m) == smaller.shard_of_member(m) for m in smaller.members)
    assert view.shard_of_member("n0.0000") == view.shard_of_member("n0.ffff")
    changed = [shard for shard in range(4) if view.shard_digest(shard) != smaller.shard_digest(shard)]
    assert changed == [view.shard_of_member("n0.0000")]


def test_the_next_shard_is_responsible_for_an_empty_one_and_succeeds_a_single_member() -> None:
    """Each key has a coordinator, also after the loss of the only member of a shard."""
    view = MembershipView(members(5), 8)
    for key in KEYS:
        order = view.ranked_members(key)
        assert order and (len(order) > 1 or len(view.members_by_shard) == 1)
        if len(view.members_of_shard(view.shard_of_key(key))) == 1:
            remaining = MembershipView([m for m in view.members.values() if m.id != order[0].id], 8)
            assert remaining.coordinator(key) == order[1].id


def test_members_that_may_know_a_key_by_an_older_view_are_its_holders() -> None:
    """A new coordinator waits for all members that may have recorded its keys under the older view."""
    all_members = members(40)
    views = [
        MembershipView(all_members, 2),
        MembershipView(all_members[3:], 4),
        MembershipView(all_members[:30], 8),
        MembershipView(all_members[:9], 8),
    ]
    for current in views:
        for older in views:
            for key in KEYS:
                recorded_by = {m.id for m in older.ranked_members(key)[:2]}
                shard = current.shard_of_member(current.coordinator(key))
                assert recorded_by <= current.holders(shard, older)


# The number of shards.


def test_an_unreadable_entry_leaves_the_known_number_of_shards_or_an_empty_view() -> None:
    """A member that guessed the number of shards would see other coordinators than the other members."""
    for unreadable in (
        b"",
        b"{}",
        b'{"count":3}',
        b'{"count":0}',
        b'{"count":8192}',
        b'{"count":"4"}',
        b"\xff",
    ):
        known = StoreRecords()
        known.put(SHARDS_KEY, StoreEntry(b'{"count":4}', 5, 5))
        known.revision = 5
        assert known.put(SHARDS_KEY, StoreEntry(unreadable, 5, 6)) == "unreadable"
        assert (known.shard_count, known.is_shard_count_unreadable, known.shards_revision) == (4, True, 6)
        first_read, read_again = StoreRecords(), StoreRecords(known.shard_count)
        for records, shard_count in ((first_read, 0), (read_again, 4)):
            records.put(MEMBERS_PREFIX + "a", StoreEntry(msgspec.json.encode(Member("a", "a", "")), 3, 3))
            assert records.put(SHARDS_KEY, StoreEntry(unreadable, 5, 6)) == "unreadable"
            assert records.shard_count == shard_count
            assert len(records.view().members) == bool(shard_count)


@pytest.mark.parametrize("size", [-1, 513, 2.5, True, "25"])
def test_an_invalid_mean_shard_size_is_rejected(size: object) -> None:
    """The error names the key that the setting has in the configuration file."""
    config = {"name": "f", "listen": "h:1", "arbiter": ["h:2"], "cover": {"categories": ["a"]}}
    assert decode(config, ["a"], 1).max_mean_shard_size == 0
    with pytest.raises(ValueError, match=r"fleet\.cell_size"):
        decode(config | {"cell_size": size}, ["a"], 1)


class FakeStore:
    """Applies transactions whose first condition holds, and publishes its records to all members."""

    def __init__(self, count: int, size: int) -> None:
        """Start `count` members, whose shards are to have `size` members on average."""
        self.records = StoreRecords()
        self.records.revision = 1
        self.shard_planners: dict[str, ShardPlanner] = {}
        self.now = 100.0
        # Time, number of shards, and how many members write at that time.
        self.written: list[tuple[float, int, int]] = []
        for member in members(count):
            self.records.members[member.id] = member
            self.shard_planners[member.id] = ShardPlanner(member.id, LEASE, size, self.now)

    def publish(self) -> None:
        """Pass the records to all members."""
        for shard_planner in self.shard_planners.values():
            shard_planner.now = self.now
            shard_planner.update_records(self.records.copy())

    def step(self, seconds: float) -> None:
        """Advance the time; at each turn the members write the changes that are due."""
        until = self.now + seconds
        while self.now < until:
            self.now += LEASE * TURN_LEASES
            transactions = []
            for shard_planner in self.shard_planners.values():
                shard_planner.now = self.now
                if isinstance(transaction := shard_planner.due(), Transaction):
                    transactions.append(transaction)
            for transaction in transactions:
                if transaction.conditions[0].value == self.records.shards_revision:
                    self.records.revision += 1
                    entry = StoreEntry(transaction.put[0][1], 2, self.records.revision)
                    self.records.put(SHARDS_KEY, entry)
                    self.written.append((self.now, self.records.shard_count, len(transactions)))
            self.publish()


def test_shards_are_doubled_as_the_fleet_grows_one_change_at_a_time_and_by_few_members() -> None:
    """All members see the same need for a change, but must not all write it at once."""
    store = FakeStore(60, 8)
    store.publish()
    store.step(5 * CHANGE_INTERVAL_LEASES * LEASE)
    assert [shards for _, shards, _ in store.written] == [2, 4, 8]
    times = [at for at, _, _ in store.written]
    assert all(b - a >= CHANGE_INTERVAL_LEASES * LEASE for a, b in zip(times, times[1:], strict=False))
    assert all(writers <= 1 + 60 // MAX_TURNS for _, _, writers in store.written)


def test_shards_are_halved_only_once_the_fleet_is_much_smaller() -> None:
    """The bounds for splitting and merging differ, so that sizes near one of them cause no flapping."""
    store = FakeStore(60, 8)
    store.records.put(SHARDS_KEY, StoreEntry(msgspec.json.encode(Sharding(8)), 1, 1))
    for count, shards in ((17, 8), (15, 4), (9, 4), (7, 2)):
        departed = list(store.records.members)[count:]
        for member in departed:
            del store.records.members[member], store.shard_planners[member]
        store.publish()
        store.step(2 * CHANGE_INTERVAL_LEASES * LEASE)
        assert store.records.shard_count == shards


def test_a_size_that_exceeds_the_bound_briefly_changes_nothing() -> None:
    """A member that is away for a moment must not cause a change of the shards."""
    store = FakeStore(9, 8)
    store.now += CHANGE_INTERVAL_LEASES * LEASE
    store.publish()
    store.step(STABLE_LEASES * LEASE / 2)
    absent = store.records.members.popitem()
    store.publish()
    store.step(STABLE_LEASES * LEASE)
    store.records.members[absent[0]] = absent[1]
    store.publish()
    store.step(STABLE_LEASES * LEASE / 2)
    assert not store.written


def test_without_a_mean_shard_size_the_shards_never_change() -> None:
    """A size of 0 turns changes of the shards off."""
    store = FakeStore(60, 0)
    store.publish()
    store.step(3 * CHANGE_INTERVAL_LEASES * LEASE)
    assert not store.written


# Replication across shards.


@pytest.mark.parametrize("seed", range(4))
def test_no_replicated_request_runs_twice_while_shards_change_and_members_fail(seed: int) -> None:
    """A change of the shards moves keys to coordinators that must learn of their requests first."""
    outcome = simulate(seed, 16, 3.0, shard_count=4, reshard_to=(2, 4, 8), duplicate_fraction=0.4)
    assert not outcome.violations
    assert outcome.counts["cover.taken_over"] and outcome.counts["finished"] > 0.9 * outcome.counts["work"]


@pytest.mark.parametrize(("seed", "count", "shards"), [(1, 8, 2), (2, 24, 4), (129, 16, 8)])
def test_no_replicated_request_runs_twice_in_shards_under_harsh_faults(
    seed: int, count: int, shards: int
) -> None:
    """Faults are frequent, and the number of shards changes at the same time."""
    assert not simulate(
        seed,
        count,
        3.0,
        faults=HARSH_FAULTS,
        shard_count=shards,
        reshard_to=(4, 2),
        duplicate_fraction=0.4,
    ).violations


def test_no_replicated_request_runs_twice_where_links_between_owner_and_replicas_are_cut() -> None:
    """A replica in another shard that takes a request over must know all attempts that may have run."""
    assert not simulate(14, 12, 4.0, 300, PARTITIONED, shard_count=2, duplicate_fraction=1.0).violations


def test_without_faults_all_requests_finish_over_few_links() -> None:
    """Members keep links to their own shard only, and dial others for single requests."""
    outcome = simulate(1, 100, 3.0, 100, NO_FAULTS, shard_count=4, reshard_to=(8,), duplicate_fraction=0.4)
    counts = outcome.counts
    assert not outcome.violations and counts["finished"] == counts["work"] and "late" not in counts
    assert counts["links, most"] < 64
    assert counts["frames"] - counts["told"] < 20 * counts["work"]


def test_a_change_in_another_shard_leaves_this_one_synchronised() -> None:
    """If a shard waited for members of others, it would stop granting requests whenever those change."""
    world = World(1, 80, shard_count=8)
    world.run_until(1.0)
    observer = world.live_members()[0]
    view = observer.replicator.view
    crashed = next(
        member
        for member in world.live_members()
        if view.shard_of_member(member.id) not in (view.shard_of_member(observer.id), 0)
    )
    before = observer.replicator.views.changed_at
    world.crash(crashed, 0.5)
    world.run_until(3.0)
    assert (
        observer.replicator.view is not view
        and observer.replicator.views.changed_at == before
        and observer.replicator.is_synced
    )


def send_request_across_shards(world: World) -> tuple[EmulatedMember, EmulatedMember, bytes, Request]:
    """Send a request to a member outside its shard; return owner, coordinator, key and request."""
    owner = world.live_members()[0]
    view = owner.replicator.view
    keys = (b"x%d" % i for i in range(99))
    key = next(key for key in keys if view.shard_of_key(key) != view.shard_of_member(owner.id))
    world.retry_safeties[key] = "exclusive"
    request = Request(key, "exclusive", world.now + 1.5, False, 0)
    world.requests.append(request)
    owner.run(lambda: owner.receive(request))
    return owner, world.members[view.coordinator(key)], key, request


def test_a_link_between_shards_is_opened_for_a_request_and_closed_when_idle() -> None:
    """A link must not be closed as idle while a request needs it, nor be kept for ever."""
    world = World(3, 24, shard_count=4)
    world.run_until(1.0)
    owner, coordinator, key, request = send_request_across_shards(world)
    assert coordinator.id not in owner.links
    world.run_until(1.02)
    assert (
        coordinator.id in owner.links
        and owner.replicator.needs_link(coordinator.id)
        and coordinator.replicator.needs_link(owner.id)
    )
    world.run_until(1.6 + IDLE_LINK_TIMEOUT)
    assert request.outcome == "200" and coordinator.id not in owner.links
    assert not any(member.replicator.counts["taken_over"] for member in world.live_members())
    assert coordinator.replicator.requests[key].response.status == 200


def test_an_owner_in_another_shard_is_dialled_before_a_new_coordinator_takes_over() -> None:
    """A new coordinator has no link to the owner; that alone does not mean that the owner is lost."""
    world = World(3, 24, shard_count=4)
    world.run_until(1.0)
    owner, coordinator, key, request = send_request_across_shards(world)
    world.run_until(1.02)
    world.crash(coordinator, 9.0)
    world.run_until(1.9)
    successor = world.members[owner.replicator.view.coordinator(key)]
    assert successor is not coordinator and request.outcome == "200" and len(world.runs[key]) == 1
    assert not successor.replicator.counts["taken_over"] and key in successor.replicator.requests


def test_a_request_is_taken_over_when_its_owner_in_another_shard_is_lost() -> None:
    """The coordinator takes the request over, and it runs at most once."""
    world = World(3, 24, shard_count=4)
    world.run_until(1.0)
    owner, coordinator, key, _ = send_request_across_shards(world)
    world.run_until(1.02)
    world.crash(owner, 9.0)
    world.run_until(1.9)
    assert coordinator.replicator.counts["taken_over"] == 1 and len(world.runs[key]) <= 1


# Broken variants must be caught.


@pytest.mark.parametrize("kind", SHARD_VARIANTS)
def test_each_broken_variant_is_caught_in_emulated_time(kind: type[RequestReplicator]) -> None:
    """The emulation must find the double run that each variant allows."""
    if kind is OneReplicaAwaited:
        outcomes = (
            simulate(seed, 12, 4.0, 300, PARTITIONED, kind, duplicate_fraction=1.0, shard_count=2)
            for seed in range(16)
        )
    else:
        reshard_to = (2, 4, 8, 4)
        outcomes = (
            simulate(
                seed,
                16,
                4.0,
                200,
                HARSH_FAULTS,
                kind,
                duplicate_fraction=1.0,
                shard_count=4,
                reshard_to=reshard_to,
            )
            for seed in range(16)
        )
    assert any(outcome.violations for outcome in outcomes)


CLIENT_SENDS = Event(EventKind.CLIENT_SENDS, "g")
SHARDS_CHANGE = Event(EventKind.SHARDS_CHANGE)
TO_COORDINATOR = Event(EventKind.FRAME_ARRIVES, "g", "a")
TO_OWNER = Event(EventKind.FRAME_ARRIVES, "a", "g")
GRANTED = (CLIENT_SENDS, TO_COORDINATOR, TO_COORDINATOR, TO_OWNER, TO_OWNER)


def view_changes(*names: str) -> list[Event]:
    """Return the events in which these members see the latest view."""
    return [Event(EventKind.VIEW_CHANGES, name) for name in names]


# The coordinator is lost after the owner, in another shard, was granted the request.
COORDINATOR_LOST = Bounds(
    members=("g", "h", "a", "c"), shards=2, retries=0, duplicates=1, all_linked=True, crash_candidates=("a",),
    initial_events=(
        *GRANTED, Event(EventKind.CRASHES, "a"), *view_changes("c", "h"),
        Event(EventKind.FRAME_ARRIVES, "h", "c"),
    ),
)  # fmt: skip
MODEL_MEMBERS = ("g", "a", "c", "i", "b")
# The shards change before the request, and another client sends it again after that.
SHARDS_CHANGED = Bounds(
    members=MODEL_MEMBERS, crashes=0, retries=0, duplicates=1, all_linked=True, shard_changes=1,
    initial_events=(
        SHARDS_CHANGE, *view_changes(*MODEL_MEMBERS), SETTLES, CLIENT_SENDS, SETTLES,
        Event(EventKind.DUPLICATE_SENT, "b"),
    ),
)  # fmt: skip


@pytest.mark.parametrize(
    ("kind", "bounds"), [(OneReplicaAwaited, COORDINATOR_LOST), (OutdatedCells, SHARDS_CHANGED)]
)
def test_the_model_finds_the_order_that_breaks_a_variant_and_none_that_breaks_replication(
    kind: type[RequestReplicator], bounds: Bounds
) -> None:
    """The exploration is complete, so the same bounds prove the replicator and catch the variant."""
    assert explore("exclusive", bounds, kind).violations
    explored = explore("exclusive", bounds)
    assert explored.complete and not explored.violations


@pytest.mark.parametrize("shards", [1, 2])
def test_no_order_of_a_change_of_the_shards_lets_a_request_run_twice(shards: int) -> None:
    """One shard is split, or two are merged, while a request is in flight."""
    bounds = Bounds(
        members=("g", "a", "b"), shards=shards, crashes=0, retries=0, duplicates=1, shard_changes=1,
        all_linked=True, max_states=4000, initial_events=(CLIENT_SENDS, SHARDS_CHANGE),
    )  # fmt: skip
    assert not explore("exclusive", bounds).violations
