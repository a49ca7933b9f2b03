"""Stories of the cover's decisions: emulated fleets, every order of few events, and what must break."""

import pytest

from starlingwheel.fleet.frames import RecordedRequest, ReplicateFrame
from starlingwheel.fleet.replication.replicator import BeginResult, RequestReplicator
from trials.broken import VARIANTS, NoIntent
from trials.emulated import HARSH, Request, World, play
from trials.model import Bounds, explore


@pytest.mark.parametrize("seed", range(8))
def test_nothing_covered_runs_twice_in_a_fleet_that_fails_all_over(seed):
    outcome = play(seed, seconds=4.0)
    assert not outcome.broken
    assert outcome.counts["cover.taken_over"] and outcome.counts["finished"] > 0.9 * outcome.counts["work"]


@pytest.mark.parametrize("seed", range(3))
def test_nor_in_one_that_hardly_ever_is_whole(seed):
    assert not play(seed, seconds=3.0, faults=HARSH, twins=0.4).broken


@pytest.mark.parametrize("kind", VARIANTS)
def test_each_broken_variant_is_caught(kind):
    assert any(play(seed, seconds=4.0, faults=HARSH, twins=0.4, kind=kind).broken for seed in range(16))


def test_every_order_of_one_loss_keeps_the_promise():
    explored = explore("exclusive", Bounds())
    assert explored.whole and not explored.broken and explored.states > 1000


def test_the_model_finds_the_order_that_breaks_a_variant():
    assert explore("exclusive", Bounds(twins=1, states=5000), NoIntent).broken


def settled(members):
    world = World(1, members)
    world.until(1.0)
    return world


def ask_at(world, host, name, effect="exclusive", repeat=False):
    world.effects[name] = effect
    request = Request(name, effect, world.now + 1.5, repeat, len(world.requests))
    world.requests.append(request)
    host.does(lambda: host.take(request))
    return request


def test_a_first_try_that_is_given_up_at_once_is_not_decided_on_as_well():
    # Guards against a second answer, which the next request on that client's connection would get.
    world = settled(2)
    one, other = world.alive()
    world.cut[one.name, other.name] = world.cut[other.name, one.name] = 100.0
    world.until(1.6)
    home = one.replicator.view.home
    name = next(n for n in (f"x{i}".encode() for i in range(99)) if home(n) == other.id)
    asked = RecordedRequest(b"POST", b"/x", [], b"", b"")
    told = ReplicateFrame(
        name, one.id, 0, False, b"", "c", "exclusive", world.now, world.now + 1, False, asked, []
    )
    request = Request(name, "exclusive", world.now, False, 0)
    word, _ = one.replicator.begin(told, request, world.now + 1)
    assert word is BeginResult.WAIT and request.end == "503"


def test_two_clients_of_one_name_get_one_answer_from_one_run():
    world = settled(3)
    requests = [ask_at(world, host, b"w") for host in world.alive()]
    world.until(2.0)
    assert [r.end for r in requests] == ["200"] * 3 and len(world.runs[b"w"]) == 1


def test_a_name_again_for_another_request_is_refused():
    world = settled(3)
    one, other, _ = world.alive()
    ask_at(world, one, b"w")
    world.until(1.01)
    told = one.replicator.items[b"w"].to_frame(asks=False)
    asked = told.__class__(*[b"else" if f == "mark" else getattr(told, f) for f in told.__struct_fields__])
    word, _ = one.replicator.begin(asked, object(), 2.0)
    assert word.value == "other"


def test_what_is_answered_is_answered_again_without_a_run():
    world = settled(3)
    one, other, _ = world.alive()
    ask_at(world, one, b"w")
    world.until(1.5)
    request = ask_at(world, other, b"w", repeat=True)
    world.until(1.8)
    assert request.end == "200" and len(world.runs[b"w"]) == 1


def test_a_member_alone_in_its_view_serves():
    world = settled(1)
    request = ask_at(world, world.alive()[0], b"w")
    world.until(1.5)
    assert request.end == "200"


def test_records_are_forgotten():
    world = settled(3)
    for number in range(50):
        ask_at(world, world.alive()[number % 3], b"w%d" % number)
    world.until(8.0)
    covers = [host.replicator for host in world.alive()]
    assert all(isinstance(c, RequestReplicator) and not c.items and c.kept_bytes == 0 for c in covers)
