"""Stories of a fleet cut into cells: who keeps what, what a change of them loses, and what must break."""

import msgspec
import pytest

from starlingwheel.fleet.config import decode
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.fleet.records import CELLS, MEMBERS, Sharding, StoreEntry, StoreRecords, Transaction
from starlingwheel.fleet.shards import CHANGE_INTERVAL_LEASES, MAX_TURNS, STABLE_LEASES, TURN_LEASES, ShardMap
from trials.broken import CELL_VARIANTS, HomeAlone, OldCells
from trials.emulated import HARSH, REST, Request, Timetable, World, play
from trials.model import QUIET, Bounds, explore

CALM = Timetable(0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
CUT_OFF = Timetable(crash=5.0, pause=0.5, cut=6.0, one_way=4.0, reset=1.0, arbiter=0.0, longest=1.0)
LEASE = 3.0


def members(count):
    return [Member(f"n{i}.{i:04x}", f"n{i}", "", "abc"[i % 3], term=i + 1) for i in range(count)]


KEYS = [b"%d" % i for i in range(400)]


# Who keeps what.


def test_one_cell_is_the_view_as_it_was():
    view = MembershipView(members(12))
    assert view.digest == MembershipView(members(12), 1).digest != MembershipView(members(12), 2).digest
    assert len(view.ranks(b"x")) == 12 and view.peers("n3.0003") == [
        m for m in view.members if m != "n3.0003"
    ]


def test_a_home_is_of_its_names_cell_and_few_are_asked_for_it_in_a_large_fleet():
    view = MembershipView(members(1600), 64)
    for key in KEYS:
        assert view.cell_of(view.home(key)) == view.cell(key)
        assert len(view.ranks(key)) == len(view.of_cell(view.cell(key))) <= 50


def test_twice_as_many_cells_split_each_and_half_as_many_join_them():
    fewer, more = MembershipView(members(200), 4), MembershipView(members(200), 8)
    for cell in range(4):
        assert {*fewer.of_cell(cell)} == {*more.of_cell(cell), *more.of_cell(cell + 4)}
    assert all(more.cell(key) % 4 == fewer.cell(key) for key in KEYS)


def test_one_that_comes_or_goes_moves_nobody_else_and_a_restart_comes_back_to_its_cell():
    view, less = MembershipView(members(60), 4), MembershipView(members(60)[1:], 4)
    assert all(view.cell_of(m) == less.cell_of(m) for m in less.members)
    assert view.cell_of("n0.0000") == view.cell_of("n0.ffff")
    changed = [cell for cell in range(4) if view.digest_of(cell) != less.digest_of(cell)]
    assert changed == [view.cell_of("n0.0000")]


def test_the_next_cell_has_the_names_of_an_empty_one_and_follows_the_only_member_of_another():
    view = MembershipView(members(5), 8)
    for key in KEYS:
        order = view.ranks(key)
        assert order and (len(order) > 1 or len(view.groups) == 1)
        if len(view.of_cell(view.cell(key))) == 1:
            left = MembershipView([m for m in view.members.values() if m.id != order[0].id], 8)
            assert left.home(key) == order[1].id


def test_whoever_may_know_of_a_name_by_an_older_view_is_among_those_who_have_to_tell():
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
                kept = {m.id for m in then.ranks(key)[:2]}
                assert kept <= now.holders(now.cell_of(now.home(key)), then)


# How many cells.


def test_an_entry_that_nobody_can_read_leaves_what_was_known_and_no_view_where_nothing_was():
    for bad in (b"", b"{}", b'{"count":3}', b'{"count":0}', b'{"count":8192}', b'{"count":"4"}', b"\xff"):
        known = StoreRecords()
        known.put(CELLS, StoreEntry(b'{"count":4}', 5, 5))
        known.revision = 5
        assert known.put(CELLS, StoreEntry(bad, 5, 6)) == "unreadable"
        assert (known.cells, known.cells_spoilt, known.cells_mod) == (4, True, 6)
        fresh, again = StoreRecords(), StoreRecords(known.cells)
        for records, cells in ((fresh, 0), (again, 4)):
            records.put(MEMBERS + "a", StoreEntry(msgspec.json.encode(Member("a", "a", "")), 3, 3))
            assert records.put(CELLS, StoreEntry(bad, 5, 6)) == "unreadable"
            assert records.cells == cells and len(records.view().members) == bool(cells)


@pytest.mark.parametrize("size", [-1, 513, 2.5, True, "25"])
def test_a_size_that_no_cell_can_have_is_refused(size):
    part = {"name": "f", "listen": "h:1", "arbiter": ["h:2"], "cover": {"categories": ["a"]}}
    assert decode(part, ["a"], 1).cell_size == 0
    with pytest.raises(ValueError, match=r"fleet\.cell_size"):
        decode(part | {"cell_size": size}, ["a"], 1)


class Arbiter:
    """It applies what its compares allow, and tells all."""

    def __init__(self, count, size):
        self.records = StoreRecords()
        self.records.revision = 1
        self.cuttings = {}
        self.now, self.written = 100.0, []
        for member in members(count):
            self.records.members[member.id] = member
            self.cuttings[member.id] = ShardMap(member.id, LEASE, size, self.now)

    def tell(self):
        for shard_map in self.cuttings.values():
            shard_map.now = self.now
            shard_map.recorded(self.records.copy())

    def step(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += LEASE * TURN_LEASES
            asked = []
            for shard_map in self.cuttings.values():
                shard_map.now = self.now
                if isinstance(txn := shard_map.due(), Transaction):
                    asked.append(txn)
            for txn in asked:
                if txn.compare[0].value == self.records.cells_mod:
                    self.records.revision += 1
                    self.records.put(CELLS, StoreEntry(txn.put[0][1], 2, self.records.revision))
                    self.written.append((self.now, self.records.cells, len(asked)))
            self.tell()


def test_the_fleet_is_cut_as_it_grows_one_change_at_a_time_and_not_by_all_at_once():
    arbiter = Arbiter(60, 8)
    arbiter.tell()
    arbiter.step(5 * CHANGE_INTERVAL_LEASES * LEASE)
    assert [cells for _, cells, _ in arbiter.written] == [2, 4, 8]
    times = [at for at, _, _ in arbiter.written]
    assert all(b - a >= CHANGE_INTERVAL_LEASES * LEASE for a, b in zip(times, times[1:], strict=False))
    assert all(wrote <= 1 + 60 // MAX_TURNS for _, _, wrote in arbiter.written)


def test_it_is_joined_again_only_when_it_is_much_smaller():
    arbiter = Arbiter(60, 8)
    arbiter.records.put(CELLS, StoreEntry(msgspec.json.encode(Sharding(8)), 1, 1))
    for count, cells in ((17, 8), (15, 4), (9, 4), (7, 2)):
        left = list(arbiter.records.members)[count:]
        for member in left:
            del arbiter.records.members[member], arbiter.cuttings[member]
        arbiter.tell()
        arbiter.step(2 * CHANGE_INTERVAL_LEASES * LEASE)
        assert arbiter.records.cells == cells


def test_a_size_that_is_beyond_the_bound_for_a_moment_changes_nothing():
    arbiter = Arbiter(9, 8)
    arbiter.now += CHANGE_INTERVAL_LEASES * LEASE
    arbiter.tell()
    arbiter.step(STABLE_LEASES * LEASE / 2)
    last = arbiter.records.members.popitem()
    arbiter.tell()
    arbiter.step(STABLE_LEASES * LEASE)
    arbiter.records.members[last[0]] = last[1]
    arbiter.tell()
    arbiter.step(STABLE_LEASES * LEASE / 2)
    assert not arbiter.written


def test_who_is_told_no_size_never_cuts():
    arbiter = Arbiter(60, 0)
    arbiter.tell()
    arbiter.step(3 * CHANGE_INTERVAL_LEASES * LEASE)
    assert not arbiter.written


# The cover, cut into cells.


@pytest.mark.parametrize("seed", range(4))
def test_nothing_covered_runs_twice_while_cells_are_split_and_joined_and_members_fail(seed):
    outcome = play(seed, 16, 3.0, cells=4, recuts=(2, 4, 8), twins=0.4)
    assert not outcome.broken
    assert outcome.counts["cover.taken_over"] and outcome.counts["finished"] > 0.9 * outcome.counts["work"]


@pytest.mark.parametrize(("seed", "count", "cells"), [(1, 8, 2), (2, 24, 4), (129, 16, 8)])
def test_nor_in_one_that_hardly_ever_is_whole(seed, count, cells):
    assert not play(seed, count, 3.0, faults=HARSH, cells=cells, recuts=(4, 2), twins=0.4).broken


def test_nor_where_ways_are_cut_between_an_owner_and_its_keepers():
    assert not play(14, 12, 4.0, 300, CUT_OFF, cells=2, twins=1.0).broken


def test_in_calm_all_is_finished_over_few_links():
    outcome = play(1, 100, 3.0, 100, CALM, cells=4, recuts=(8,), twins=0.4)
    counts = outcome.counts
    assert not outcome.broken and counts["finished"] == counts["work"] and "late" not in counts
    assert counts["links, most"] < 64
    assert counts["frames"] - counts["told"] < 20 * counts["work"]


def test_a_change_elsewhere_sets_off_nothing_here():
    world = World(1, 80, cells=8)
    world.until(1.0)
    one = world.alive()[0]
    view = one.replicator.view
    other = next(h for h in world.alive() if view.cell_of(h.id) not in (view.cell_of(one.id), 0))
    before = one.replicator.views.changed_at
    world.crash(other, 0.5)
    world.until(3.0)
    assert (
        one.replicator.view is not view
        and one.replicator.views.changed_at == before
        and one.replicator.settled_now
    )


def linked_by_work(world):
    """An owner, its item's home in another cell, and the name."""
    owner = world.alive()[0]
    view = owner.replicator.view
    names = (b"x%d" % i for i in range(99))
    name = next(n for n in names if view.cell(n) != view.cell_of(owner.id))
    world.effects[name] = "exclusive"
    request = Request(name, "exclusive", world.now + 1.5, False, 0)
    world.requests.append(request)
    owner.does(lambda: owner.take(request))
    return owner, world.hosts[view.home(name)], name, request


def test_a_link_between_cells_comes_with_work_and_ends_at_rest_without_a_loss():
    world = World(3, 24, cells=4)
    world.until(1.0)
    owner, home, name, request = linked_by_work(world)
    assert home.id not in owner.links
    world.until(1.02)
    assert (
        home.id in owner.links
        and owner.replicator.needs_link(home.id)
        and home.replicator.needs_link(owner.id)
    )
    world.until(1.6 + REST)
    assert request.end == "200" and home.id not in owner.links
    assert not any(h.replicator.counts["taken_over"] for h in world.alive())
    assert home.replicator.items[name].response.status == 200


def test_an_owner_of_another_cell_is_asked_before_a_new_home_takes_its_work_over():
    world = World(3, 24, cells=4)
    world.until(1.0)
    owner, home, name, request = linked_by_work(world)
    world.until(1.02)
    world.crash(home, 9.0)
    world.until(1.9)
    after = world.hosts[owner.replicator.view.home(name)]
    assert after is not home and request.end == "200" and len(world.runs[name]) == 1
    assert not after.replicator.counts["taken_over"] and name in after.replicator.items


def test_work_whose_owner_and_home_are_cells_apart_goes_on_when_its_owner_is_lost():
    world = World(3, 24, cells=4)
    world.until(1.0)
    owner, home, name, _ = linked_by_work(world)
    world.until(1.02)
    world.crash(owner, 9.0)
    world.until(1.9)
    assert home.replicator.counts["taken_over"] == 1 and len(world.runs[name]) <= 1


# What the checks must catch.


@pytest.mark.parametrize("kind", CELL_VARIANTS)
def test_each_broken_variant_is_caught_in_emulated_time(kind):
    if kind is HomeAlone:
        plays = (play(seed, 12, 4.0, 300, CUT_OFF, kind, twins=1.0, cells=2) for seed in range(16))
    else:
        recuts = (2, 4, 8, 4)
        plays = (play(s, 16, 4.0, 200, HARSH, kind, twins=1.0, cells=4, recuts=recuts) for s in range(16))
    assert any(outcome.broken for outcome in plays)


GRANTED = (("asks", "g"), *[("arrives", "g", "a")] * 2, *[("arrives", "a", "g")] * 2)
LOST_HOME = Bounds(
    members=("g", "h", "a", "c"), cells=2, again=0, twins=1, linked=True, fall=("a",),
    begun=(*GRANTED, ("crashes", "a"), ("views", "c"), ("views", "h"), ("arrives", "h", "c")),
)  # fmt: skip
WHO = ("g", "a", "c", "i", "b")
CUT_ANEW = Bounds(
    members=WHO, crashes=0, again=0, twins=1, linked=True, recuts=1,
    begun=(("recuts",), *(("views", m) for m in WHO), QUIET, ("asks", "g"), QUIET, ("twin", "b")),
)  # fmt: skip


@pytest.mark.parametrize(("kind", "bounds"), [(HomeAlone, LOST_HOME), (OldCells, CUT_ANEW)])
def test_the_model_finds_the_order_that_breaks_a_variant_and_none_that_breaks_the_cover(kind, bounds):
    assert explore("exclusive", bounds, kind).broken
    explored = explore("exclusive", bounds)
    assert explored.whole and not explored.broken


@pytest.mark.parametrize("cells", [1, 2])
def test_every_order_of_a_change_of_the_cells_keeps_the_promise_within_bounds(cells):
    bounds = Bounds(
        members=("g", "a", "b"), cells=cells, crashes=0, again=0, twins=1, recuts=1, linked=True,
        states=4000, begun=(("asks", "g"), ("recuts",)),
    )  # fmt: skip
    assert not explore("exclusive", bounds).broken
