"""Calls through a small tree of services in emulated time."""

import json
from typing import Any

import pytest

from trials import call_tree
from trials.call_tree import Plan, RetryBudget, Tree, simulate

SMALL = {"depth": 3, "services": 1, "instances": 3, "rate": 40.0, "learn": 2.0, "lasts": 1.0, "last": 2.0}


def small(**changed: object) -> dict[str, Any]:
    """Return the result of a small tree. `changed`: options of its plan."""
    return simulate(Plan(**(SMALL | changed)))


def attempts_by_level(result: dict[str, Any]) -> list[float]:
    """Return the attempts for each call at the root, by level."""
    return [level["sends a root call"] for level in result["levels"]]


@pytest.mark.parametrize("seed", [1, 2])
def test_without_faults_the_leaf_gets_little_more_than_one_attempt_for_each_root_call(seed: int) -> None:
    """All calls finish, with few hedges and retries."""
    result = small(seed=seed)
    assert result["answers"] == {"finished": result["calls at the root"]}
    assert 1.0 <= result["load at the leaf"] < 1.1


def test_the_same_seed_gives_the_same_counts() -> None:
    """Another seed gives other counts."""
    assert small(seed=3) == small(seed=3)
    assert small(seed=3) != small(seed=4)


def test_every_root_call_has_one_answer_even_where_the_leaf_fails() -> None:
    """No call is lost or answered twice in any scene."""
    for scene in ("slow", "errors", "hangs"):
        result = small(scene=scene, part=0.5)
        assert sum(result["answers"].values()) == result["calls at the root"] > 0


def test_the_time_left_is_passed_on_and_never_grows() -> None:
    """The median time left does not increase from one level to the next."""
    result = small(scene="hangs", part=0.3, due=0.2)
    assert result["told longer than it had"] == 0
    medians = [level["left ms"][1] for level in result["levels"]]
    assert medians == sorted(medians, reverse=True)


def test_an_application_that_does_not_pass_its_time_left_on_is_counted() -> None:
    """Such an application sends the whole timeout of the request class with each call."""
    result = small(hands_down=False)
    assert result["told longer than it had"] > 0


def within(result: dict[str, Any], budget: float) -> bool:
    """Return whether no level has more hedges and retries than the budget and its saved part allow."""
    saved = SMALL["instances"] * RetryBudget.MAX_SAVED_ATTEMPTS / result["calls at the root"]
    levels = zip([1.0, *attempts_by_level(result)], attempts_by_level(result), strict=False)
    return all(below <= above * (1 + budget) + saved for above, below in levels)


def test_a_budget_bounds_hedges_and_retries_at_every_level() -> None:
    """Without a budget, the same faults exceed the bound."""
    unbounded, bounded = (small(scene="errors", part=0.3, budget=budget) for budget in (None, 0.05))
    assert within(bounded, 0.05) and not within(unbounded, 0.05)
    assert bounded["load at the leaf"] < unbounded["load at the leaf"]


def test_non_idempotent_requests_are_never_retried_once_they_may_have_run() -> None:
    """Half of the calls at the leaf fail, and no level makes a hedge or a retry."""
    result = small(scene="errors", part=0.5, effect="exclusive")
    assert all(level["copy"] == level["retry"] == 0 for level in result["levels"])


def test_nothing_is_in_flight_once_all_calls_are_answered() -> None:
    """Servers have no busy cores and no queues, and callers have no pending requests."""
    tree = Tree(Plan(**(SMALL | {"scene": "hangs", "part": 0.5})))
    tree.simulate()
    assert all(server.busy_cores == 0 and not server.queue for level in tree.servers for server in level)
    assert not any(caller.pending for callers in tree.root_callers for caller in callers)


def test_an_invalid_plan_is_rejected_in_one_line_before_it_begins(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The line names each invalid option. A run with too many calls is rejected too."""
    assert call_tree.main(["--depth", "70", "--rate", "-1"]) == 2
    output = capsys.readouterr()
    assert not output.out and output.err.count("\n") == 1 and "depth" in output.err and "rate" in output.err
    assert call_tree.main(["--rate", "100000"]) == 2


def test_results_are_lines_of_json_and_a_table(capsys: pytest.CaptureFixture[str]) -> None:
    """The table has a header, a separator and one row."""
    arguments = ["--depth", "2", "--services", "1", "--instances", "2", "--rate", "20", "--learn", "0.5"]
    assert call_tree.main([*arguments, "--last", "1", "--scene", "calm", "--budget", "0.1", "--table"]) == 0
    first, *table = capsys.readouterr().out.splitlines()
    assert json.loads(first)["budget"] == 0.1 and len(table) == 3
