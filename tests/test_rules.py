"""Stories of the four rules and of the design's ordinary path."""

from math import inf

import pytest
from conftest import BUY, LOOK, MOVE

from starlingwheel.decisions.terms import Condition, Fate, Group, News, WorkItem


def test_an_answer_ends_the_work_item_and_nothing_more_is_sent(host):
    wi = host.take()
    host.end(host.of(wi)[0])
    host.later(5.0)
    assert host.answers(wi) == ["finished"] and len(host.of(wi)) == 1


def test_no_copy_before_the_delay_has_been_learned(host):
    wi = host.take()
    host.later(0.9)
    assert len(host.of(wi)) == 1


def test_a_late_answer_brings_one_copy_elsewhere_and_the_loser_is_cancelled(host):
    host.serve(110)
    wi = host.take()
    host.later(0.5)
    first, copy = host.of(wi)
    assert first.upstream is not copy.upstream
    host.end(copy)
    assert host.cancelled == [first] and host.answers(wi) == ["finished"]
    host.later(5.0)
    assert len(host.of(wi)) == 2


def test_an_error_ends_only_its_own_send(host):
    host.serve(110)
    wi = host.take()
    host.later(0.5)
    first, copy = host.of(wi)
    host.end(first, Fate.ERROR)
    assert host.answers(wi) == []
    host.end(copy)
    assert host.answers(wi) == ["finished"]


def test_exclusive_work_that_may_have_run_is_written_off_at_once(host):
    wi = host.take(BUY)
    host.end(host.of(wi)[0], Fate.ERROR)
    assert host.answers(wi) == ["written off"] and len(host.of(wi)) == 1


def test_exclusive_work_gets_no_copy(host):
    host.serve(110)
    wi = host.take(BUY)
    host.later(0.9)
    assert len(host.of(wi)) == 1


@pytest.mark.parametrize("category", [LOOK, BUY, MOVE])
def test_work_known_not_to_have_run_goes_to_another_upstream(host, category):
    wi = host.take(category)
    host.end(host.of(wi)[0], Fate.TURNED_DOWN)
    first, second = host.of(wi)
    assert first.upstream is not second.upstream


def test_ticketed_work_that_may_have_run_stays_in_its_cell(make_host):
    move = type(MOVE)("move", MOVE.effect, 1.0, 8.0, 3.0, group=Group.CELL, memory=2.0)
    host = make_host(categories=[move])
    host.listed(News.CHANGES, "u2", "u3", cell=1)
    wi = host.take(move)
    first = host.of(wi)[0]
    host.end(first, Fate.ERROR)
    second = host.of(wi)[1]
    assert second.upstream.listing.cell == first.upstream.listing.cell
    host.end(second, Fate.ERROR)
    assert host.answers(wi) == ["written off"] and len(host.of(wi)) == 2


def test_ticketed_work_is_not_sent_again_once_repeats_are_forgotten(make_host):
    move = type(MOVE)("move", MOVE.effect, 1.0, 8.0, 3.0, memory=0.3)
    host = make_host(categories=[move])
    wi = host.take(move)
    host.later(0.4)
    host.end(host.of(wi)[0], Fate.BROKEN)
    assert len(host.of(wi)) == 1 and host.answers(wi) == ["deferred"]


def test_no_copy_once_repeats_are_forgotten_while_it_waited(make_host):
    move = type(MOVE)("move", MOVE.effect, 1.0, 8.0, 9.0, memory=0.3, late_payoff=0.25)
    host = make_host(categories=[move])
    wi = host.take(move, patience=8.0)
    host.later(7.5)
    assert len(host.of(wi)) == 1


def test_work_is_given_up_with_the_due_time_and_not_sat_on(host):
    look, buy = host.take(), host.take(BUY)
    host.later(1.0)
    assert host.answers(look) == ["deferred"] and host.answers(buy) == ["written off"]
    assert set(host.cancelled) == {*host.of(look), *host.of(buy)}


def test_no_final_answer_after_the_client_has_left(host):
    wi = host.take()
    host.runner.gone(wi)
    host.later(5.0)
    assert host.answers(wi) == [] and host.cancelled == host.of(wi)


def test_nothing_goes_to_an_upstream_that_drains_or_is_gone(host):
    host.listed(News.CHANGES, "u0", condition=Condition.DRAINING)
    host.listed(News.CHANGES, "u1", condition=Condition.GONE)
    host.listed(News.WHOLE, "u0", condition=Condition.DRAINING)
    host.listed(News.CHANGES, "u2", "u3")
    host.serve(20)
    assert {ho.upstream.address for ho in host.sent} == {"u2", "u3"}


def test_the_list_is_asked_for_again_after_a_failure(host):
    host.later(1.0)
    assert host.subscribed == 1
    host.runner.listed(News.FAILED, [])
    host.later(2.0)
    assert host.subscribed == 2


def test_a_restarted_upstream_is_never_pushed_past_its_cold_part(make_host):
    host = make_host(upstreams=1)
    host.later(100.0)
    host.listed(News.CHANGES, "u0", started=100.0)
    for _ in range(40):
        for ho in host.of(host.take()):
            host.end(ho)
        host.later(0.05)
    could_do = 0.25 * 2.0 / 0.1  # cold share of the span, in work items of 0.1 s
    assert 0 < len(host.sent) <= 2.0 * could_do


def test_full_upstreams_mean_a_prompt_deferral(host):
    for _ in range(60):
        host.take(LOOK)
    last = host.take(LOOK)
    assert host.answers(last) == ["deferred"] and not host.of(last)
    assert all(come_back > 0 for _, _, come_back in host.ended)


def test_the_same_seed_takes_the_same_way(make_host):
    ways = []
    for _ in range(2):
        host = make_host(seed=7)
        host.serve(30)
        ways.append([ho.upstream.address for ho in host.sent])
    assert ways[0] == ways[1] and len(set(ways[0])) > 1


def test_what_later_work_has_passed_is_heavy_and_gets_no_copy(make_host):
    host = make_host(upstreams=2)
    host.serve(110)
    heavy = host.take()
    where = host.of(heavy)[0].upstream
    while host.runner.now < heavy.arrived + 0.9:
        ho = host.of(host.take())[0]
        host.later(0.05)
        host.end(ho)
        if ho.upstream is where:
            break
    host.later(0.5)
    assert len(host.of(heavy)) == 1


def test_a_clients_late_try_is_worth_nothing_and_gives_way(host):
    host.take(patience=2.5)
    busy = [host.take(BUY) for _ in range(4)]
    late = host.take(patience=1.5, repeat=True)
    assert all(host.of(wi) for wi in busy) and host.answers(late) == ["deferred"]


def test_a_started_stream_is_the_clients_and_has_no_due_time(host):
    wi = host.take()
    host.runner.started(host.of(wi)[0])
    host.later(5.0)
    assert host.answers(wi) == [] and not host.cancelled
    host.end(host.of(wi)[0])
    assert host.answers(wi) == ["finished"]


def test_with_full_lines_the_least_payoff_is_deferred_first(host):
    host.serve(40, took=0.2)
    served = {BUY: 0, LOOK: 0}
    for _ in range(12):
        for category in served:
            served[category] += bool(host.of(host.take(category)))
    assert served[BUY] > served[LOOK]


def test_work_that_is_still_coming_takes_no_place_at_its_upstream(make_host):
    """Uploads of seconds made upstreams look full, and all else was deferred."""
    host = make_host(upstreams=2)
    balancer = host.runner.balancer
    coming = [WorkItem(BUY, inf, 2.0) for _ in range(12)]
    for wi in coming:
        host.runner.take(wi)
    assert [len(host.of(wi)) for wi in coming] == [1] * 12 and balancer.out == 0
    host.later(10.0)  # no time limit counts yet
    assert not host.ended and not host.cancelled
    host.serve(4)
    wi, ho = coming[0], host.of(coming[0])[0]
    wi.arrived = ho.sent = host.runner.now
    host.runner.whole(wi, [ho])
    assert balancer.out == 1 and list(ho.upstream.pending) == [ho]
    host.end(ho)
    assert balancer.out == 0 and not ho.upstream.pending
    # One that is given up before it was whole takes nothing away that it did not add.
    host.end(host.of(coming[1])[0], Fate.UNSENT)
    assert balancer.out == sum(len(u.pending) for u in balancer.upstreams.values())
    # Another's time begins with its last byte.
    wi, ho = coming[2], host.of(coming[2])[0]
    wi.arrived = ho.sent = host.runner.now
    host.runner.whole(wi, [ho])
    host.later(0.5)
    assert not host.cancelled
    host.later(0.5)
    assert host.cancelled == [ho]
