"""Calls down a tree in emulated time: small sizes, counts that a seed gives each time."""

import json

import pytest

from trials import call_tree
from trials.call_tree import Budget, Plan, Tree, play

SMALL = {"depth": 3, "services": 1, "instances": 3, "rate": 40.0, "learn": 2.0, "lasts": 1.0, "last": 2.0}


def small(**changed):
    return play(Plan(**(SMALL | changed)))


def sent(told):
    return [level["sends a root call"] for level in told["levels"]]


@pytest.mark.parametrize("seed", [1, 2])
def test_in_calm_the_leaf_has_little_more_than_one_send_for_each_call_at_the_root(seed):
    told = small(seed=seed)
    assert told["answers"] == {"finished": told["calls at the root"]}
    assert 1.0 <= told["load at the leaf"] < 1.1


def test_the_same_seed_gives_the_same_counts():
    assert small(seed=3) == small(seed=3)
    assert small(seed=3) != small(seed=4)


def test_every_call_at_the_root_has_one_answer_also_where_the_leaf_fails():
    for scene in ("slow", "errors", "hangs"):
        told = small(scene=scene, part=0.5)
        assert sum(told["answers"].values()) == told["calls at the root"] > 0


def test_time_left_is_handed_down_and_never_grows():
    told = small(scene="hangs", part=0.3, due=0.2)
    assert told["told longer than it had"] == 0
    worst = [level["left ms"][1] for level in told["levels"]]
    assert worst == sorted(worst, reverse=True)


def test_the_count_sees_an_application_that_does_not_hand_its_time_down():
    told = small(hands_down=False)
    assert told["told longer than it had"] > 0


def within(told, budget):
    """Whether no level has more second sends than the budget and what each sidecar had saved up."""
    saved = SMALL["instances"] * Budget.SAVED / told["calls at the root"]
    levels = zip([1.0, *sent(told)], sent(told), strict=False)
    return all(below <= above * (1 + budget) + saved for above, below in levels)


def test_a_budget_bounds_second_sends_at_every_level():
    free, bounded = (small(scene="errors", part=0.3, budget=budget) for budget in (None, 0.05))
    assert within(bounded, 0.05) and not within(free, 0.05)
    assert bounded["load at the leaf"] < free["load at the leaf"]


def test_exclusive_work_is_never_sent_again_once_it_may_have_run():
    told = small(scene="errors", part=0.5, effect="exclusive")
    assert all(level["copy"] == level["retry"] == 0 for level in told["levels"])


def test_a_server_holds_nothing_once_all_is_answered():
    tree = Tree(Plan(**(SMALL | {"scene": "hangs", "part": 0.5})))
    tree.play()
    assert all(server.busy_cores == 0 and not server.queue for level in tree.servers for server in level)
    assert not any(caller.pending for callers in tree.edge for caller in callers)


def test_what_is_left_unbounded_is_told_in_one_line_before_anything_is_played(capsys):
    assert call_tree.main(["--depth", "70", "--rate", "-1"]) == 2
    said = capsys.readouterr()
    assert not said.out and said.err.count("\n") == 1 and "depth" in said.err and "rate" in said.err
    assert call_tree.main(["--rate", "100000"]) == 2


def test_results_are_lines_of_json_and_a_table(capsys):
    given = ["--depth", "2", "--services", "1", "--instances", "2", "--rate", "20", "--learn", "0.5"]
    assert call_tree.main([*given, "--last", "1", "--scene", "calm", "--budget", "0.1", "--table"]) == 0
    first, *table = capsys.readouterr().out.splitlines()
    assert json.loads(first)["budget"] == 0.1 and len(table) == 3
