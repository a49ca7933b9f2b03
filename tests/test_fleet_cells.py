"""A fleet divided into shards: who is responsible for a key, changes of the shards, and broken variants."""

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
from starlingwheel.fleet.shards import (
    CHANGE_INTERVAL_LEASES,
    MAX_TURNS,
    STABLE_LEASES,
    TURN_LEASES,
    ShardPlanner,
)
from trials.broken import SHARD_VARIANTS, OneReplicaAwaited, OutdatedCells
from trials.emulated import HARSH, IDLE_LINK_TIMEOUT, FaultRates, Request, World, play
from trials.model_replication import explore
from trials.model_replication_events import SETTLES, Bounds, Event, EventKind

CALM = FaultRates(0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
PARTITIONED = FaultRates(
    crash=5.0, pause=0.5, partition=6.0, one_way_partition=4.0, reset=1.0, store_outage=0.0, max_duration=1.0
)
LEASE = 3.0


def members(count):
    return [Member(f"n{i}.{i:04x}", f"n{i}", "", "abc"[i % 3], term=i + 1) for i in range(count)]


KEYS = [b"%d" % i for i in range(400)]


# Responsibility.


def test_a_view_of_one_shard_ranks_all_members():
    view = MembershipView(members(12))
    assert view.digest == MembershipView(members(12), 1).digest != MembershipView(members(12), 2).digest
    assert len(view.ranked_members(b"x")) == 12 and view.peers("n3.0003") == [
        m for m in view.members if m != "n3.0003"
    ]


def test_a_coordinator_is_of_its_keys_shard_and_few_members_are_ranked_in_a_large_fleet():
    view = MembershipView(members(1600), 64)
    for key in KEYS:
        assert view.shard_of_member(view.coordinator(key)) == view.shard_of_key(key)
        assert len(view.ranked_members(key)) == len(view.members_of_shard(view.shard_of_key(key))) <= 50


def test_doubling_the_shards_splits_each_and_halving_joins_them():
    fewer, more = MembershipView(members(200), 4), MembershipView(members(200), 8)
    for shard in range(4):
        assert {*fewer.members_of_shard(shard)} == {
            *more.members_of_shard(shard),
            *more.members_of_shard(shard + 4),
        }
    assert all(more.shard_of_key(key) % 4 == fewer.shard_of_key(key) for key in KEYS)


def test_a_member_that_comes_or_goes_moves_no_other_and_a_restart_returns_to_its_shard():
    view, less = MembershipView(members(60), 4), MembershipView(members(60)[1:], 4)
    assert all(view.shard_of_member(m) == less.shard_of_member(m) for m in less.members)
    assert view.shard_of_member("n0.0000") == view.shard_of_member("n0.ffff")
    changed = [shard for shard in range(4) if view.shard_digest(shard) != less.shard_digest(shard)]
    assert changed == [view.shard_of_member("n0.0000")]


def test_the_next_shard_is_responsible_for_an_empty_one_and_succeeds_a_single_member():
    view = MembershipView(members(5), 8)
    for key in KEYS:
        order = view.ranked_members(key)
        assert order and (len(order) > 1 or len(view.members_by_shard) == 1)
        if len(view.members_of_shard(view.shard_of_key(key))) == 1:
            left = MembershipView([m for m in view.members.values() if m.id != order[0].id], 8)
            assert left.coordinator(key) == order[1].id


def test_members_that_may_know_a_key_by_an_older_view_are_its_holders():
    everybody = members(40)
    views = [
        MembershipView(everybody, 2),
        MembershipView(everybody[3:], 4),
        MembershipView(everybody[:30], 8),
        MembershipView(everybody[:9], 8),
    ]
    for now in views:
        for then in views:
            for key in KEYS:
                kept = {m.id for m in then.ranked_members(key)[:2]}
                assert kept <= now.holders(now.shard_of_member(now.coordinator(key)), then)


# The count of shards.


def test_an_unreadable_entry_leaves_the_known_count_of_shards_or_an_empty_view():
    for bad in (b"", b"{}", b'{"count":3}', b'{"count":0}', b'{"count":8192}', b'{"count":"4"}', b"\xff"):
        known = StoreRecords()
        known.put(SHARDS_KEY, StoreEntry(b'{"count":4}', 5, 5))
        known.revision = 5
        assert known.put(SHARDS_KEY, StoreEntry(bad, 5, 6)) == "unreadable"
        assert (known.shard_count, known.is_shard_count_unreadable, known.shards_revision) == (4, True, 6)
        fresh, again = StoreRecords(), StoreRecords(known.shard_count)
        for records, cells in ((fresh, 0), (again, 4)):
            records.put(MEMBERS_PREFIX + "a", StoreEntry(msgspec.json.encode(Member("a", "a", "")), 3, 3))
            assert records.put(SHARDS_KEY, StoreEntry(bad, 5, 6)) == "unreadable"
            assert records.shard_count == cells and len(records.view().members) == bool(cells)


@pytest.mark.parametrize("size", [-1, 513, 2.5, True, "25"])
def test_an_invalid_cell_size_is_rejected(size):
    part = {"name": "f", "listen": "h:1", "arbiter": ["h:2"], "cover": {"categories": ["a"]}}
    assert decode(part, ["a"], 1).max_mean_shard_size == 0
    with pytest.raises(ValueError, match=r"fleet\.cell_size"):
        decode(part | {"cell_size": size}, ["a"], 1)


class FakeStore:
    """Applies transactions whose compares hold, and publishes its records to all members."""

    def __init__(self, count, size):
        self.records = StoreRecords()
        self.records.revision = 1
        self.shard_planners = {}
        self.now, self.written = 100.0, []
        for member in members(count):
            self.records.members[member.id] = member
            self.shard_planners[member.id] = ShardPlanner(member.id, LEASE, size, self.now)

    def publish(self):
        for shard_planner in self.shard_planners.values():
            shard_planner.now = self.now
            shard_planner.update_records(self.records.copy())

    def step(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += LEASE * TURN_LEASES
            asked = []
            for shard_planner in self.shard_planners.values():
                shard_planner.now = self.now
                if isinstance(txn := shard_planner.due(), Transaction):
                    asked.append(txn)
            for txn in asked:
                if txn.conditions[0].value == self.records.shards_revision:
                    self.records.revision += 1
                    self.records.put(SHARDS_KEY, StoreEntry(txn.put[0][1], 2, self.records.revision))
                    self.written.append((self.now, self.records.shard_count, len(asked)))
            self.publish()


def test_shards_are_doubled_as_the_fleet_grows_one_change_at_a_time_and_by_few_members():
    store = FakeStore(60, 8)
    store.publish()
    store.step(5 * CHANGE_INTERVAL_LEASES * LEASE)
    assert [shards for _, shards, _ in store.written] == [2, 4, 8]
    times = [at for at, _, _ in store.written]
    assert all(b - a >= CHANGE_INTERVAL_LEASES * LEASE for a, b in zip(times, times[1:], strict=False))
    assert all(wrote <= 1 + 60 // MAX_TURNS for _, _, wrote in store.written)


def test_shards_are_halved_only_once_the_fleet_is_much_smaller():
    store = FakeStore(60, 8)
    store.records.put(SHARDS_KEY, StoreEntry(msgspec.json.encode(Sharding(8)), 1, 1))
    for count, shards in ((17, 8), (15, 4), (9, 4), (7, 2)):
        left = list(store.records.members)[count:]
        for member in left:
            del store.records.members[member], store.shard_planners[member]
        store.publish()
        store.step(2 * CHANGE_INTERVAL_LEASES * LEASE)
        assert store.records.shard_count == shards


def test_a_size_beyond_the_bound_for_a_moment_changes_nothing():
    store = FakeStore(9, 8)
    store.now += CHANGE_INTERVAL_LEASES * LEASE
    store.publish()
    store.step(STABLE_LEASES * LEASE / 2)
    last = store.records.members.popitem()
    store.publish()
    store.step(STABLE_LEASES * LEASE)
    store.records.members[last[0]] = last[1]
    store.publish()
    store.step(STABLE_LEASES * LEASE / 2)
    assert not store.written


def test_without_a_cell_size_the_shards_never_change():
    store = FakeStore(60, 0)
    store.publish()
    store.step(3 * CHANGE_INTERVAL_LEASES * LEASE)
    assert not store.written


# Replication across shards.


@pytest.mark.parametrize("seed", range(4))
def test_no_replicated_request_runs_twice_while_shards_change_and_members_fail(seed):
    outcome = play(seed, 16, 3.0, shard_count=4, divisions=(2, 4, 8), duplicate_rate=0.4)
    assert not outcome.broken
    assert outcome.counts["cover.taken_over"] and outcome.counts["finished"] > 0.9 * outcome.counts["work"]


@pytest.mark.parametrize(("seed", "count", "shards"), [(1, 8, 2), (2, 24, 4), (129, 16, 8)])
def test_no_replicated_request_runs_twice_in_shards_under_harsh_faults(seed, count, shards):
    assert not play(
        seed, count, 3.0, faults=HARSH, shard_count=shards, divisions=(4, 2), duplicate_rate=0.4
    ).broken


def test_no_replicated_request_runs_twice_where_links_between_owner_and_replicas_are_cut():
    assert not play(14, 12, 4.0, 300, PARTITIONED, shard_count=2, duplicate_rate=1.0).broken


def test_without_faults_all_requests_finish_over_few_links():
    outcome = play(1, 100, 3.0, 100, CALM, shard_count=4, divisions=(8,), duplicate_rate=0.4)
    counts = outcome.counts
    assert not outcome.broken and counts["finished"] == counts["work"] and "late" not in counts
    assert counts["links, most"] < 64
    assert counts["frames"] - counts["told"] < 20 * counts["work"]


def test_a_change_in_another_shard_leaves_this_one_synchronised():
    world = World(1, 80, shard_count=8)
    world.run_until(1.0)
    one = world.alive()[0]
    view = one.replicator.view
    other = next(
        h for h in world.alive() if view.shard_of_member(h.id) not in (view.shard_of_member(one.id), 0)
    )
    before = one.replicator.views.changed_at
    world.crash(other, 0.5)
    world.run_until(3.0)
    assert (
        one.replicator.view is not view
        and one.replicator.views.changed_at == before
        and one.replicator.is_synced
    )


def request_across_cells(world):
    """An owner, the coordinator of its request in another shard, the key and the client's request."""
    owner = world.alive()[0]
    view = owner.replicator.view
    names = (b"x%d" % i for i in range(99))
    name = next(n for n in names if view.shard_of_key(n) != view.shard_of_member(owner.id))
    world.retry_safeties[name] = "exclusive"
    request = Request(name, "exclusive", world.now + 1.5, False, 0)
    world.requests.append(request)
    owner.run(lambda: owner.receive(request))
    return owner, world.members[view.coordinator(name)], name, request


def test_a_link_between_shards_is_opened_for_a_request_and_closed_when_idle():
    world = World(3, 24, shard_count=4)
    world.run_until(1.0)
    owner, coordinator, key, request = request_across_cells(world)
    assert coordinator.id not in owner.links
    world.run_until(1.02)
    assert (
        coordinator.id in owner.links
        and owner.replicator.needs_link(coordinator.id)
        and coordinator.replicator.needs_link(owner.id)
    )
    world.run_until(1.6 + IDLE_LINK_TIMEOUT)
    assert request.end == "200" and coordinator.id not in owner.links
    assert not any(h.replicator.counts["taken_over"] for h in world.alive())
    assert coordinator.replicator.requests[key].response.status == 200


def test_an_owner_of_another_shard_is_dialled_before_a_new_coordinator_takes_over():
    world = World(3, 24, shard_count=4)
    world.run_until(1.0)
    owner, coordinator, key, request = request_across_cells(world)
    world.run_until(1.02)
    world.crash(coordinator, 9.0)
    world.run_until(1.9)
    after = world.members[owner.replicator.view.coordinator(key)]
    assert after is not coordinator and request.end == "200" and len(world.runs[key]) == 1
    assert not after.replicator.counts["taken_over"] and key in after.replicator.requests


def test_a_request_is_taken_over_when_its_owner_of_another_shard_is_lost():
    world = World(3, 24, shard_count=4)
    world.run_until(1.0)
    owner, coordinator, key, _ = request_across_cells(world)
    world.run_until(1.02)
    world.crash(owner, 9.0)
    world.run_until(1.9)
    assert coordinator.replicator.counts["taken_over"] == 1 and len(world.runs[key]) <= 1


# Broken variants must be caught.


@pytest.mark.parametrize("kind", SHARD_VARIANTS)
def test_each_broken_variant_is_caught_in_emulated_time(kind):
    if kind is OneReplicaAwaited:
        plays = (
            play(seed, 12, 4.0, 300, PARTITIONED, kind, duplicate_rate=1.0, shard_count=2)
            for seed in range(16)
        )
    else:
        divisions = (2, 4, 8, 4)
        plays = (
            play(s, 16, 4.0, 200, HARSH, kind, duplicate_rate=1.0, shard_count=4, divisions=divisions)
            for s in range(16)
        )
    assert any(outcome.broken for outcome in plays)


CLIENT_SENDS = Event(EventKind.CLIENT_SENDS, "g")
SHARDS_CHANGE = Event(EventKind.SHARDS_CHANGE)
TO_COORDINATOR = Event(EventKind.FRAME_ARRIVES, "g", "a")
TO_OWNER = Event(EventKind.FRAME_ARRIVES, "a", "g")
GRANTED = (CLIENT_SENDS, TO_COORDINATOR, TO_COORDINATOR, TO_OWNER, TO_OWNER)


def view_changes(*names):
    return [Event(EventKind.VIEW_CHANGES, name) for name in names]


LOST_HOME = Bounds(
    members=("g", "h", "a", "c"), shards=2, retries=0, duplicates=1, is_linked=True, may_crash=("a",),
    earlier_events=(
        *GRANTED, Event(EventKind.CRASHES, "a"), *view_changes("c", "h"),
        Event(EventKind.FRAME_ARRIVES, "h", "c"),
    ),
)  # fmt: skip
WHO = ("g", "a", "c", "i", "b")
CUT_ANEW = Bounds(
    members=WHO, crashes=0, retries=0, duplicates=1, is_linked=True, shard_changes=1,
    earlier_events=(
        SHARDS_CHANGE, *view_changes(*WHO), SETTLES, CLIENT_SENDS, SETTLES,
        Event(EventKind.DUPLICATE_SENT, "b"),
    ),
)  # fmt: skip


@pytest.mark.parametrize(("kind", "bounds"), [(OneReplicaAwaited, LOST_HOME), (OutdatedCells, CUT_ANEW)])
def test_the_model_finds_the_order_that_breaks_a_variant_and_none_that_breaks_replication(kind, bounds):
    assert explore("exclusive", bounds, kind).broken
    explored = explore("exclusive", bounds)
    assert explored.complete and not explored.broken


@pytest.mark.parametrize("shards", [1, 2])
def test_every_order_of_a_change_of_the_shards_keeps_the_promise(shards):
    bounds = Bounds(
        members=("g", "a", "b"), shards=shards, crashes=0, retries=0, duplicates=1, shard_changes=1,
        is_linked=True, max_states=4000, earlier_events=(CLIENT_SENDS, SHARDS_CHANGE),
    )  # fmt: skip
    assert not explore("exclusive", bounds).broken
