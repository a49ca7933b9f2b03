"""Stories of links between members of several cells: calls that cross, links that rest, what is refused."""

import random
import socket
from collections import Counter

import msgspec
import pytest

from starlingwheel.fleet import frames
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.fleet.policy import document as common
from starlingwheel.fleet.policy.replica import PolicyReplica, PolicyStatus, StoredPolicy
from starlingwheel.fleet.records import Policy, PolicyDecision, StoreRecords
from starlingwheel.net.fleet import etcd as client
from starlingwheel.net.fleet.links import LinkManager, encode_frame, timing
from starlingwheel.net.fleet.messages import (
    CHECK_LINKS,
    DialMember,
    EvictMember,
    FrameReceived,
    LinkDown,
    LinkUp,
    MemberUnreachable,
    SendFrame,
    ViewChanged,
)
from starlingwheel.net.fleet.policy import PolicyPoller
from starlingwheel.net.loop import Loop
from starlingwheel.net.messages import CLOSE

WORK, MORE = frames.FindOwnerFrame(b"k", b"m"), frames.FindOwnerFrame(b"l", b"m")  # words about work
STEP = 0.001  # seconds between turns


class Clock:
    """Goes on with the turns of the story, however busy the machine is."""

    def __init__(self):
        self.time = 1000.0

    def __call__(self):
        return self.time


class One:
    """A member: its links on a loop of their own, and what they tell."""

    def __init__(self, clock, name, hello=None):
        self.id = f"{name}.00"
        self.defects, self.told, self.needed = [], [], set()
        self.loop = Loop(lambda actor, error: self.defects.append(error))
        self.loop.now = clock
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen()
        self.member = Member(self.id, name, "{}:{}".format(*self.sock.getsockname()))
        self.lines = []
        hello = hello or frames.HelloFrame("f", frames.VERSION, self.id)
        self.links = LinkManager(
            self.loop, self.sock, hello, self.told.append, self.beat, lambda asked: [],
            lambda event, **fields: self.lines.append((event, fields)), random.Random(name),
        )  # fmt: skip
        self.links.begin()

    def beat(self, member, worded):
        return frames.HeartbeatFrame(1, False, None, member not in self.needed)

    def heard(self, kind):
        return [message for message in self.told if isinstance(message, kind)]

    def words(self):
        return [
            message.frame
            for message in self.heard(FrameReceived)
            if not isinstance(message.frame, frames.HeartbeatFrame)
        ]

    def up(self):
        """Members by whose links as the module knows them."""
        there = {}
        for message in self.told:
            if isinstance(message, LinkUp):
                there[message.member] = message.link
            elif isinstance(message, LinkDown) and there.get(message.member) is message.link:
                del there[message.member]
        return there

    def reasons(self):
        return self.links.reasons


class Town:
    """Members whose loops turn one at a time, in an order of the story's."""

    def __init__(self, seed=1):
        self.all, self.rng, self.clock = [], random.Random(seed), Clock()
        self.step = STEP

    def add(self, name, **more):
        self.all.append(One(self.clock, name, **more))
        return self.all[-1]

    def see(self, cells, *who, members=None):
        members = [one.member for one in self.all] if members is None else members
        for one in who or self.all:
            one.links.post(ViewChanged(MembershipView(members, cells), False))

    def turn(self):
        for one in self.rng.sample(self.all, self.rng.randint(1, len(self.all))):
            one.loop.run_once(0)
        self.clock.time += self.step

    def until(self, happened, within=8.0):
        end = self.clock() + within
        while self.clock() < end:
            if result := happened():
                return result
            self.turn()
        raise AssertionError("it has not happened")

    def let_pass(self, seconds):
        end = self.clock() + seconds
        while self.clock() < end:
            self.turn()

    def close(self):
        for one in self.all:
            one.loop.close()
            one.sock.close()
            assert not one.defects


@pytest.fixture
def make_town():
    made = []

    def make(seed=1):
        made.append(Town(seed))
        return made[-1]

    yield make
    for town in made:
        town.close()


def of_cells(count, *cells):
    """A name for each of these cells, in the order of the alphabet."""
    names, at = [], 0
    for cell in cells:
        while MembershipView([], count).cell_of(f"n{at:03d}.00") != cell:
            at += 1
        names.append(f"n{at:03d}")
        at += 1
    return names


@pytest.fixture
def pair(make_town):
    """Two members of different cells, each of which sees both."""
    town = make_town()
    for name in of_cells(2, 0, 1):
        town.add(name)
    town.see(2)
    town.let_pass(0.02)
    return town


def connected(one, other):
    """Both have a link to the other, and it is the same connection."""
    mine, theirs = one.links.links.get(other.id), other.links.links.get(one.id)
    if mine is None or theirs is None or mine.over or theirs.over:
        return False
    return mine.connection.sock.getsockname() == theirs.connection.sock.getpeername()


def test_members_of_one_cell_are_linked_and_others_are_not(make_town):
    town = make_town()
    for name in of_cells(2, 0, 0, 0, 1, 1):
        town.add(name)
    town.see(2)
    cells = [town.all[:3], town.all[3:]]
    town.until(lambda: all(len(one.links.links) == len(cell) - 1 for cell in cells for one in cell))
    town.let_pass(0.1)
    for cell in cells:
        for one in cell:
            assert set(one.up()) == {other.id for other in cell} - {one.id}


@pytest.mark.parametrize("who", [0, 1])
def test_either_of_two_cells_can_reach_the_other(pair, who):
    one, other = pair.all[who], pair.all[1 - who]
    assert not one.links.links
    one.links.post(DialMember(other.id))
    pair.until(lambda: other.id in one.up() and one.id in other.up())
    assert connected(one, other)
    one.links.post(DialMember(other.id))
    pair.let_pass(0.05)
    assert len(one.heard(LinkUp)) == 1 and not one.heard(MemberUnreachable)


def crossed(make_town, seed, within=8.0):
    """Both call in one moment. What each was told, and whether the same one connection is left."""
    town = make_town(seed)
    for name in of_cells(2, 0, 1):
        town.add(name)
    one, other = town.all
    one.needed.add(other.id), other.needed.add(one.id)
    town.see(2)
    town.let_pass(0.005)
    one.links.post(DialMember(other.id)), other.links.post(DialMember(one.id))
    try:
        town.until(lambda: other.id in one.up() and one.id in other.up(), within)
    except AssertionError:
        return town, False
    town.let_pass(0.06)
    same = connected(one, other) and not (one.links.dialer.dialing or other.links.dialer.dialing)
    return town, same and set(one.up()) == {other.id} and set(other.up()) == {one.id}


def test_of_two_calls_that_cross_one_link_remains_the_same_for_both(make_town):
    refused = 0
    for seed in range(40):
        town, same = crossed(make_town, seed)
        assert same
        for one in town.all:
            assert len(one.heard(LinkUp)) == 1  # nobody was told of one that was not to be
            assert not one.heard(LinkDown) and not one.heard(MemberUnreachable) and not one.heard(EvictMember)
        refused += town.all[0].reasons()["crossed"]
    assert refused > 10


def test_without_that_rule_calls_that_cross_end_each_other(make_town, monkeypatch):
    monkeypatch.setattr(LinkManager, "_check_accepts_dial", lambda self, member: None)
    assert not all(crossed(make_town, seed, within=timing.HANDSHAKE_TIMEOUT)[1] for seed in range(40))


def test_a_link_that_neither_side_needs_rests_and_nothing_was_lost(pair):
    one, other = pair.all
    one.links.post(DialMember(other.id))
    pair.until(lambda: connected(one, other))
    one.links.links[other.id].post(SendFrame(encode_frame(WORK)))
    pair.until(lambda: other.words())
    pair.until(lambda: not one.up() and not other.up())
    for each in pair.all:
        assert each.reasons()["at-rest"] == 1
        assert not each.heard(EvictMember) and not any(event == "member.gone" for event, _ in each.lines)
    pair.let_pass(0.1)
    assert (
        len(one.links.loop.actors_by_descriptor) == len(other.links.loop.actors_by_descriptor) == 1
    )  # their listening sockets


@pytest.mark.parametrize("who", [0, 1])
def test_a_link_that_one_side_needs_stays(pair, who):
    one, other = pair.all
    pair.all[who].needed.add(pair.all[1 - who].id)
    one.links.post(DialMember(other.id))
    pair.until(lambda: connected(one, other))
    pair.let_pass(timing.IDLE_LINK_TIMEOUT * 2)
    assert connected(one, other) and len(one.heard(LinkUp)) == 1
    pair.all[who].needed.clear()
    pair.until(lambda: not one.up() and not other.up())


def rested(make_town, seed):
    """Work begins on the one side in the moment in which the other one ends the link."""
    town = make_town(seed)
    for name in of_cells(2, 0, 1):
        town.add(name)
    one, other = town.all
    town.see(2)
    town.let_pass(0.005)
    one.links.post(DialMember(other.id))
    town.until(lambda: connected(one, other))
    link = one.links.links[other.id]
    theirs = other.links.links[one.id]
    link.post(SendFrame(encode_frame(WORK)))
    town.until(lambda: other.words() and theirs.activity.both_idle)
    last_used = min(theirs.activity.last_request_frame, link.activity.last_request_frame)
    while town.clock() < last_used + timing.IDLE_LINK_TIMEOUT - 0.1:
        town.turn()
    # The other side turns alone until it has said its last word.
    while other.links.links:
        other.loop.run_once(0)
        town.clock.time += STEP
    assert not link.over
    one.needed.add(other.id)
    link.post(SendFrame(encode_frame(MORE)))
    return town, one, other


def test_work_that_begins_as_a_link_rests_opens_a_new_one_and_loses_nothing(make_town):
    for seed in range(3):
        town, one, other = rested(make_town, seed)
        town.until(lambda one=one: one.heard(LinkDown))
        assert one.reasons()["at-rest"] == 1 and other.words() == [WORK]
        # What the cover does when a link has ended that it needs.
        one.links.post(DialMember(other.id))
        town.until(lambda one=one, other=other: other.id in one.up())
        one.up()[other.id].post(SendFrame(encode_frame(MORE)))
        town.until(lambda other=other: other.words() == [WORK, MORE])
        for each in town.all:
            assert not each.heard(EvictMember) and not each.heard(MemberUnreachable)


def test_links_to_former_peers_rest_and_new_peers_are_called(make_town):
    town = make_town()
    for name in of_cells(2, 0, 0, 1, 1):
        town.add(name)
    town.see(1)
    town.until(lambda: all(len(one.up()) == 3 for one in town.all))
    town.see(2)
    town.until(lambda: all(len(one.up()) == 1 for one in town.all), within=30.0)
    a, b, c, d = town.all
    assert connected(a, b) and connected(c, d)
    assert all(one.reasons()["at-rest"] == 2 for one in town.all)
    town.see(1)
    town.until(lambda: all(len(one.up()) == 3 for one in town.all))
    assert not any(one.heard(EvictMember) for one in town.all)


def test_who_sees_other_cells_is_refused_and_calls_again(make_town):
    town = make_town()
    for name in of_cells(4, 0, 0):
        town.add(name)
    one, other = town.all
    town.see(4, one)
    town.see(2, other)
    town.until(lambda: one.reasons()["other-cells"] and other.reasons()["other-cells"])
    town.let_pass(0.2)
    assert not one.heard(LinkUp) and not other.heard(LinkUp) and not one.heard(FrameReceived)
    town.see(4, other)
    town.until(lambda: connected(one, other))


def test_whom_no_link_reaches_in_time_is_told_of_as_such(pair):
    one, other = pair.all
    pair.see(4, other)
    one.links.post(DialMember(other.id))
    pair.until(lambda: one.heard(MemberUnreachable))
    assert not one.links.dialer.needed_until and not one.links.dialer.attempts
    pair.let_pass(0.1)
    assert not one.links.dialer.dialing
    one.links.post(DialMember("nobody.00"))
    pair.until(lambda: len(one.heard(MemberUnreachable)) == 2)


def test_a_process_that_has_ended_is_told_of_at_once(pair):
    one, other = pair.all
    other.links.loop.unregister(other.sock.fileno())
    other.sock.close()
    pair.all.remove(other)
    one.links.post(DialMember(other.id))
    pair.until(lambda: one.heard(MemberUnreachable), within=timing.HANDSHAKE_TIMEOUT / 2)
    other.loop.close()


def test_a_call_of_who_has_lost_the_link_alone_shows_that_and_gets_one(pair):
    one, other = pair.all
    one.needed.add(other.id), other.needed.add(one.id)
    one.links.post(DialMember(other.id))
    pair.until(lambda: connected(one, other))
    # The greater one's side ends; the smaller one is not told, as where the network drops it.
    there = other.links.links[one.id]
    silent = socket.socket(fileno=socket.dup(there.connection.sock.fileno()))
    there.post(CLOSE)
    pair.until(lambda: other.heard(LinkDown))
    assert connected(one, other) is False and other.id in one.up()
    other.links.post(DialMember(one.id))
    pair.until(lambda: one.reasons()["crossed"])
    silent.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    silent.close()
    pair.until(lambda: connected(one, other))
    assert not other.heard(MemberUnreachable)


@pytest.mark.parametrize(
    ("changed", "reason"),
    [
        ({"version": frames.VERSION + 1}, "other-version"),
        ({"version": frames.VERSION - 1}, "other-version"),
        ({"fleet": "g"}, "other-fleet"),
        ({"cells": 4}, "other-cells"),
        ({"member": "stranger.00"}, "stranger"),
    ],
)
def test_who_greets_wrongly_is_refused_and_nothing_it_says_is_acted_on(pair, changed, reason):
    one, other = pair.all
    hello = msgspec.structs.replace(frames.HelloFrame("f", frames.VERSION, other.id, 2), **changed)
    with socket.create_connection(one.sock.getsockname()) as caller:
        caller.sendall(
            encode_frame(hello) + encode_frame(WORK) + encode_frame(frames.HeartbeatFrame(1, False))
        )
        pair.until(lambda: one.reasons()[reason])
        assert not one.told


def test_who_answers_under_another_name_is_refused(make_town):
    town = make_town()
    one_name, other_name = of_cells(1, 0, 0)
    one = town.add(one_name)
    other = town.add(other_name, hello=frames.HelloFrame("f", frames.VERSION, "other.00"))
    town.see(1)
    town.until(lambda: one.reasons()["not-who-was-called"])
    assert not one.heard(LinkUp) and not one.heard(FrameReceived)
    assert not other.up()


def test_half_a_frame_ends_a_link_without_anything_acted_on(pair):
    one, other = pair.all
    hello = encode_frame(frames.HelloFrame("f", frames.VERSION, other.id, 2))
    with socket.create_connection(one.sock.getsockname()) as caller:
        caller.sendall(hello + encode_frame(WORK)[:-1])
        pair.until(lambda: one.up())
        pair.let_pass(0.05)
        assert not one.words()
    pair.until(lambda: not one.up())
    assert not one.words()
    with socket.create_connection(one.sock.getsockname()) as caller:
        caller.sendall(hello[:-1])
        pair.until(lambda: one.reasons()["no-greeting"])
    assert len(one.heard(LinkUp)) == 1


def test_at_rest_a_beat_is_answered_at_once_so_that_one_of_two_sides_waits(make_town):
    town = make_town()
    for name in of_cells(1, 0, 0):
        town.add(name)
    town.see(1)
    one, other = town.all
    town.until(lambda: connected(one, other))
    town.let_pass(timing.ACTIVE_PERIOD + 0.5)
    counts = Counter({each.id: len(each.heard(FrameReceived)) for each in town.all})
    town.let_pass(3 * timing.MIN_IDLE_HEARTBEAT_INTERVAL)
    for each in town.all:
        assert 2 <= len(each.heard(FrameReceived)) - counts[each.id] <= 4


@pytest.mark.parametrize(("count", "silent"), [(25, 14.4), (41, 24.0)])
def test_a_cell_at_rest_says_a_few_words_a_second_whatever_its_size(make_town, count, silent):
    town = make_town()
    for number in range(count):
        town.add(f"n{number:03d}")
    town.see(1)
    town.until(lambda: all(len(one.links.links) == count - 1 for one in town.all))
    town.step = 0.02
    town.let_pass(20.0)
    before = [len(one.heard(FrameReceived)) for one in town.all]
    town.let_pass(40.0)
    for one, heard in zip(town.all, before, strict=True):
        assert len(one.heard(FrameReceived)) - heard <= 1.1 * 40.0 * timing.IDLE_HEARTBEATS_PER_SECOND
        assert len(one.links.links) == count - 1 and not one.heard(LinkDown)
    # One that hangs is noticed by all in three times the pause between beats, as the page says.
    hung = town.all.pop()
    town.let_pass(silent - timing.MAX_IDLE_HEARTBEAT_INTERVAL)
    at = town.clock()
    town.until(lambda: all(hung.id not in one.up() for one in town.all), within=60.0)
    assert town.clock() - at < timing.MAX_IDLE_HEARTBEAT_INTERVAL + 1.0
    town.all.append(hung)


def test_words_about_work_do_not_take_the_place_of_beats_where_these_are_needed(make_town):
    town = make_town()
    for name in of_cells(1, 0, 0):
        town.add(name)
    town.see(1)
    one, other = town.all
    town.until(lambda: connected(one, other))
    link, latest = one.links.links[other.id], []
    for _ in range(40):
        link.post(CHECK_LINKS)
        link.post(SendFrame(encode_frame(WORK)))
        town.let_pass(timing.HEARTBEAT_INTERVAL / 2)
        latest.append(len(other.heard(FrameReceived)) - len(other.words()))
    assert latest[-1] >= 40 // 2 - 2


# Which policy holds, while the arbiter is gone and each has links with its own cell only.

LEASE = 1.0


class Quiet:
    """The door of `Following` where nothing is ever decided."""

    def __init__(self, notes=None):
        self.notes = [] if notes is None else notes

    def check(self, body):
        return ""

    def keep(self, kept):
        pass

    def kept(self):
        return ""

    def rule(self, policy):
        pass

    def ask(self, member):
        pass

    def note(self, event, **fields):
        self.notes.append((event, fields))


class Ruled(One):
    """A member that follows a policy, as its host has it: words over links, and for those who ask."""

    def __init__(self, clock, name, hello=None):
        super().__init__(clock, name, hello)
        self.notes = []
        now = self.loop.now()
        self.policy_replica = PolicyReplica(self.id, name, LEASE, Quiet(self.notes), now, StoredPolicy("f"))
        self.links.answer_query = self.says
        self.links.notify = self.tell
        self.policy_poller = PolicyPoller(
            self.links, self.policy_replica, self.links, random.Random(name), LEASE
        )
        self.policy_poller.begin()
        self.asks = 0

    def beat(self, member, worded):
        self.policy_replica.now = self.loop.now()
        self.policy_replica.doubt()
        lapsed = self.policy_replica.uneasy
        return frames.HeartbeatFrame(
            1, lapsed, self.policy_replica.word() if worded or lapsed else None, True
        )

    def says(self, asked):
        self.asks += 1
        self.policy_replica.now = self.loop.now()
        others = self.policy_replica.lately(self.links.links, frames.RELAYED)
        says = [frames.PolicyStatusFrame(self.policy_replica.word(), others)]
        if self.policy_replica.known > asked.known:
            says.append(frames.DecisionFrame(msgspec.json.encode(self.policy_replica.decision)))
        return says

    def tell(self, message):
        self.policy_replica.now = self.loop.now()
        if isinstance(message, FrameReceived) and isinstance(message.frame, frames.PolicyStatusFrame):
            for word in (message.frame.word, *message.frame.others):
                self.policy_replica.heard(word)
        elif isinstance(message, FrameReceived) and isinstance(message.frame, frames.DecisionFrame):
            self.policy_replica.told(msgspec.json.decode(message.frame.decision, type=PolicyDecision))
        elif isinstance(message, FrameReceived) and getattr(message.frame, "word", None):
            self.policy_replica.heard(message.frame.word)

    def doubt(self):
        self.policy_replica.now = self.loop.now()
        return self.policy_replica.doubt()


class Realm(Town):
    """Members of several cells, all of which the arbiter has named; from then on it is gone."""

    def __init__(self, seed, count, cells):
        super().__init__(seed)
        for number in range(count):
            self.all.append(Ruled(self.clock, f"n{number:03d}"))
        records = StoreRecords()
        records.revision = 1
        records.members = {one.id: one.member for one in self.all}
        records.names = {one.member.name: 1 for one in self.all}
        for one in self.all:
            one.policy_replica.now = one.loop.now()
            one.policy_replica.recorded(records.copy(), True)
            one.policy_replica.renewed(one.loop.now() + LEASE, 1)
            assert not one.doubt()
        self.see(cells)

    def doubted(self, *who):
        return [one.id for one in who or self.all if any(n == "policy.doubt" for n, _ in one.notes)]


@pytest.fixture
def make_realm(make_town):
    made = []

    def make(seed, count, cells):
        made.append(Realm(seed, count, cells))
        return made[-1]

    yield make
    for realm in made:
        realm.close()


def test_without_the_arbiter_nobody_doubts_though_each_hears_its_own_cell_only(make_realm):
    realm = make_realm(1, 24, 8)
    realm.let_pass(6 * LEASE)
    assert not realm.doubted()
    assert max(len(one.links.links) for one in realm.all) < 12


def lost_half(realm):
    """More than half hang. Whether each of the others comes to doubt, and stays in it."""
    realm.let_pass(2 * LEASE)
    realm.rng.shuffle(realm.all)
    hung, realm.all = realm.all[:13], realm.all[13:]
    until, doubts = realm.clock() + 2 * LEASE, set()
    while len(doubts) < len(realm.all) and realm.clock() < until:
        realm.turn()
        doubts |= {one.id for one in realm.all if one.doubt()}
    all_doubt = len(doubts) == len(realm.all)
    realm.let_pass(LEASE)
    all_doubt = all_doubt and all(one.doubt() == "alone" for one in realm.all)
    realm.all += hung
    return all_doubt


def test_with_more_than_half_gone_all_others_doubt_however_words_are_passed_on(make_realm):
    assert lost_half(make_realm(2, 24, 8))


def test_words_that_were_made_younger_on_their_way_would_show(make_realm, monkeypatch):
    lately = PolicyReplica.lately

    def younger(self, members, most):
        known = {**self.words}
        self.words = {m: msgspec.structs.replace(w, at=self.now) for m, w in known.items()}
        passed = lately(self, self.words, most)
        self.words = known
        return passed

    monkeypatch.setattr(PolicyReplica, "lately", younger)
    assert not lost_half(make_realm(2, 24, 8))


def test_a_member_that_alone_is_cut_off_from_the_arbiter_hears_all_the_same(make_realm):
    realm = make_realm(3, 24, 8)
    cut = realm.all[0]
    for _ in range(8):
        for one in realm.all[1:]:
            one.policy_replica.renewed(one.loop.now() + LEASE, 1)
        realm.let_pass(LEASE / 2)
    assert not realm.doubted() and cut.policy_replica.uneasy
    assert all(not one.policy_replica.uneasy for one in realm.all[1:])


def test_what_a_single_member_knows_to_be_decided_all_come_to_know(make_realm):
    realm = make_realm(4, 24, 8)
    realm.let_pass(1.5 * LEASE)
    body = {"settings": {}}
    policy = Policy(1, common.digest(body), body)
    realm.all[5].policy_replica.told(PolicyDecision(policy, realm.clock() + 60.0, 7, Policy()))
    unlinked = [one for one in realm.all if realm.all[5].id not in one.links.links]
    assert len(unlinked) > 12
    realm.until(lambda: all(one.policy_replica.known == 1 for one in unlinked), within=1.25 * LEASE)


def test_a_word_counts_by_its_own_age_whoever_passes_it_on():
    members = {f"n{i}.00": Member(f"n{i}.00", f"n{i}", "") for i in range(3)}
    records = StoreRecords()
    records.revision, records.members = 1, members
    records.names = dict.fromkeys(("n0", "n1", "n2"), 1)
    one, other = (
        PolicyReplica(f"n{i}.00", f"n{i}", LEASE, Quiet(), 0.0, StoredPolicy("f")) for i in range(2)
    )
    for each in (one, other):
        each.recorded(records, True)
    third = PolicyStatus("n2.00", "n2", 10.0, 0, "", 1e9, 0, 0, True)
    other.now = 10.4
    other.heard(third)
    one.now = 10.8
    for word in other.lately(members, 8):
        one.heard(word)
    assert not one.doubt()
    one.now = 10.0 + LEASE
    assert one.doubt() == "alone"
    other.now = one.now
    assert other.lately(members, 8) == []


# What the arbiter tells of members and cells.


def state_watcher(told):
    loop = Loop(lambda actor, error: None)
    one = client.StateWatcher(
        loop, ["127.0.0.1:1"], LEASE, None, lambda *a, **k: None, None, "f", tell=told.append
    )
    one.revision = 1
    return one


def event(key, value, revision, type_="PUT"):
    pair = client.KeyValue(client.b64(f"/f/{key}"), client.b64(msgspec.json.encode(value)))
    pair.create_revision = pair.mod_revision = str(revision)
    return client.Event(pair, type_)


def test_views_come_in_the_order_of_changes_of_members_and_of_cells():
    told = []
    one = state_watcher(told)
    a, b, c = (Member(f"n{i}.00", f"n{i}", "") for i in range(3))
    one.apply_events(
        client.WatchEvents(
            events=[
                event("members/n0.00", a, 2),
                event("cells", {"count": 2}, 3),
                event("members/n1.00", b, 4),
                event("zones/said/n1.00", {"at": 1.0, "zones": {}}, 4),
                # One transaction: a member and the cells in one revision are one change.
                event("members/n2.00", c, 5),
                event("cells", {"count": 4}, 5),
                event("cells", None, 6, "DELETE"),
            ]
        )
    )
    views = [(len(m.view.members), m.view.cells) for m in told if isinstance(m, ViewChanged)]
    assert views == [(1, 1), (1, 2), (2, 2), (3, 4), (3, 1)]
    assert len({m.view.digest for m in told if isinstance(m, ViewChanged)}) == 5
    one.loop.close()


@pytest.mark.parametrize("value", [None, 3, {}, {"count": 3}, {"count": 0}, {"count": 1 << 20}])
def test_cells_that_nobody_can_read_leave_those_that_were(value):
    told = []
    one = state_watcher(told)
    member = Member("n0.00", "n0", "")
    one.apply_events(
        client.WatchEvents(events=[event("members/n0.00", member, 2), event("cells", {"count": 4}, 3)])
    )
    one.apply_events(client.WatchEvents(events=[event("cells", value, 4)]))
    views = [m.view.cells for m in told if isinstance(m, ViewChanged)]
    assert views[-1] == 4
    one.loop.close()
