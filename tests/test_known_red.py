"""KNOWN-RED.txt: each case is played in a folder of its own, by a pytest of its own."""

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

CONFTEST = """
from known_red import KnownRed

def pytest_configure(config):
    config.pluginmanager.register(KnownRed(config), "known-red")
"""
STORIES = """
import pytest

def test_good(): pass
@pytest.mark.xdist_group("some")
def test_bad(): assert 0
def test_worse(): assert 0
def test_skipped(): pytest.skip("not here")
@pytest.fixture
def broken(): raise OSError
def test_unready(broken): pass
@pytest.mark.parametrize("way", ["a | b", "c"])
def test_ways(way): assert way == "c"
"""

SIDE_BY_SIDE = [(), ("-n", "2", "--dist", "loadgroup")]


@pytest.fixture
def played(pytester):
    """Plays the stories named under a list; by what they end: status, counts and what was printed."""
    pytester.makeini(f"[pytest]\ntestpaths = stories\npythonpath = {Path(__file__).parent}\n")
    pytester.mkdir("stories").joinpath("test_it.py").write_text(STORIES)
    pytester.path.joinpath("stories", "conftest.py").write_text(CONFTEST)

    def play(*lines, only="good or bad", more=()):
        pytester.path.joinpath("KNOWN-RED.txt").write_text("\n".join(["# why", "", *lines, ""]))
        return pytester.runpytest_subprocess("-p", "no:cacheprovider", "-k", only, *more)

    return play


def line(test, cause="a race", issue="#7"):
    return f"stories/test_it.py::{test} | {cause} | {issue}"


def test_with_none_listed_all_have_to_pass(played):
    result = played()
    assert result.ret == 1
    result.assert_outcomes(passed=1, failed=1, deselected=5)
    result.stdout.no_fnmatch_line("*known red*")


@pytest.mark.parametrize("more", SIDE_BY_SIDE, ids=["one", "side by side"])
def test_one_that_is_listed_runs_may_fail_and_is_printed(played, more):
    result = played(line("test_bad"), more=more)
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        ["*known red (KNOWN-RED.txt)*", "stories/test_it.py::test_bad: a race (#7): failed, as known"]
    )
    assert "1 passed" in result.outlines[-1] and "1 xfailed" in result.outlines[-1]


def test_others_may_not_fail(played):
    result = played(line("test_bad"), only="good or bad or worse")
    assert result.ret == 1
    assert result.parseoutcomes() == {"passed": 1, "failed": 1, "xfailed": 1, "deselected": 4}


@pytest.mark.parametrize("more", SIDE_BY_SIDE, ids=["one", "side by side"])
def test_one_that_passes_has_to_leave_the_list(played, more):
    result = played(line("test_good"), only="good", more=more)
    assert result.ret == 1
    result.stdout.fnmatch_lines(["*XPASS(strict)*a race (#7)*", "*test_good: a race (#7): NOT AS KNOWN"])


def test_one_that_is_skipped_has_not_run(played):
    result = played(line("test_skipped"), only="good or skipped")
    assert result.ret == 1
    result.stdout.fnmatch_lines(["*listed, but it did not run*", "*test_skipped: a race (#7): NOT AS KNOWN"])


def test_one_whose_means_fail_has_failed(played):
    result = played(line("test_unready"), only="good or unready")
    assert result.ret == 0
    assert result.parseoutcomes() == {"passed": 1, "xfailed": 1, "deselected": 5}


def test_of_several_ways_just_the_one_listed_may_fail(played):
    result = played(line("test_ways[a | b]"), only="ways")
    assert result.ret == 0
    assert result.parseoutcomes() == {"passed": 1, "xfailed": 1, "deselected": 5}


@pytest.mark.parametrize("more", SIDE_BY_SIDE, ids=["one", "side by side"])
@pytest.mark.parametrize("test", ["test_gone", "test_ways"])
def test_one_that_does_not_exist_fails_the_run_and_all_others_are_played(played, test, more):
    result = played(line(test), only="good", more=more)
    assert result.ret == 1
    result.stdout.fnmatch_lines([f"*KNOWN-RED.txt: no such test: stories/test_it.py::{test}"])
    result.assert_outcomes(passed=1, failed=1)


def test_a_part_of_the_tests_can_be_played_though_others_are_listed(played):
    result = played(line("test_bad"), only="", more=["stories/test_it.py::test_good"])
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*test_bad: a race (#7): not run"])


def test_three_may_be_listed(played):
    result = played(
        line("test_bad"), line("test_worse"), line("test_unready"), only="bad or worse or unready"
    )
    assert result.ret == 0
    assert result.parseoutcomes() == {"xfailed": 3, "deselected": 4}


@pytest.mark.parametrize(
    "lines, told",
    [
        (
            [line("test_bad"), line("test_worse"), line("test_unready"), line("test_good")],
            "is one more than 3",
        ),
        ([line("test_bad"), line("test_bad", cause="another")], "names a test again"),
        (["stories/test_it.py::test_bad"], "is not"),
        (["stories/test_it.py::test_bad | a race"], "is not"),
        ([line("test_bad", cause=" ")], "is not"),
        ([line("test_bad", issue="")], "is not"),
        ([line("test_bad", issue="soon")], "is not"),
        ([" | a race | #7"], "is not"),
        (["bad | a race | #7"], "is not"),
    ],
)
def test_a_line_that_can_not_be_read_or_is_too_many_ends_the_run(played, lines, told):
    result = played(*lines, more=("-n", "2") if len(lines) > 1 else ())
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*KNOWN-RED.txt: line {2 + len(lines)} {told}*"])
    result.stdout.no_fnmatch_line("*passed*")
