"""The list of known failures, KNOWN-RED.txt: each test runs a separate pytest in a temporary folder."""

from collections.abc import Callable, Sequence
from pathlib import Path

import pytest

RunListed = Callable[..., pytest.RunResult]

pytest_plugins = ["pytester"]

CONFTEST = """
from known_red import KnownRed

def pytest_configure(config):
    config.pluginmanager.register(KnownRed(config), "known-red")
"""
SAMPLE_TESTS = """
import pytest

def test_good() -> None: pass
@pytest.mark.xdist_group("some")
def test_bad() -> None: assert 0
def test_worse() -> None: assert 0
def test_skipped() -> None: pytest.skip("not here")
@pytest.fixture
def broken(): raise OSError
def test_unready(broken) -> None: pass
@pytest.mark.parametrize("way", ["a | b", "c"])
def test_ways(way) -> None: assert way == "c"
"""

WORKERS = [(), ("-n", "2", "--dist", "loadgroup")]


@pytest.fixture
def run_listed(pytester: pytest.Pytester) -> RunListed:
    """Return a function that runs the sample tests with the given lines in KNOWN-RED.txt."""
    pytester.makeini(f"[pytest]\ntestpaths = sample\npythonpath = {Path(__file__).parent}\n")
    pytester.mkdir("sample").joinpath("test_it.py").write_text(SAMPLE_TESTS)
    pytester.path.joinpath("sample", "conftest.py").write_text(CONFTEST)

    def run(*lines: str, only: str = "good or bad", more: Sequence[str] = ()) -> pytest.RunResult:
        pytester.path.joinpath("KNOWN-RED.txt").write_text("\n".join(["# why", "", *lines, ""]))
        return pytester.runpytest_subprocess("-p", "no:cacheprovider", "-k", only, *more)

    return run


def line(test: str, cause: str = "a race", issue: str = "#7") -> str:
    """Return a line of the list."""
    return f"sample/test_it.py::{test} | {cause} | {issue}"


def test_with_an_empty_list_a_failing_test_fails_the_run(run_listed: RunListed) -> None:
    """Without listed tests, the plugin neither hides a failure nor prints a section."""
    result = run_listed()
    assert result.ret == 1
    result.assert_outcomes(passed=1, failed=1, deselected=5)
    result.stdout.no_fnmatch_line("*known red*")


@pytest.mark.parametrize("more", WORKERS, ids=["one", "two"])
def test_a_listed_test_may_fail_and_is_printed(run_listed: RunListed, more: Sequence[str]) -> None:
    """The run passes and its summary contains the failure with its cause, with and without workers."""
    result = run_listed(line("test_bad"), more=more)
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        ["*known red (KNOWN-RED.txt)*", "sample/test_it.py::test_bad: a race (#7): failed as expected"]
    )
    assert "1 passed" in result.outlines[-1] and "1 xfailed" in result.outlines[-1]


def test_the_failure_of_another_test_fails_the_run(run_listed: RunListed) -> None:
    """A listed test does not hide the failure of a test that is not listed."""
    result = run_listed(line("test_bad"), only="good or bad or worse")
    assert result.ret == 1
    assert result.parseoutcomes() == {"passed": 1, "failed": 1, "xfailed": 1, "deselected": 4}


@pytest.mark.parametrize("more", WORKERS, ids=["one", "two"])
def test_a_listed_test_that_passes_fails_the_run(run_listed: RunListed, more: Sequence[str]) -> None:
    """A test that has been fixed must be removed from the list."""
    result = run_listed(line("test_good"), only="good", more=more)
    assert result.ret == 1
    result.stdout.fnmatch_lines(["*XPASS(strict)*a race (#7)*", "*test_good: a race (#7): UNEXPECTED RESULT"])


def test_a_listed_test_that_is_skipped_fails_the_run(run_listed: RunListed) -> None:
    """A skip must not pass for a known failure."""
    result = run_listed(line("test_skipped"), only="good or skipped")
    assert result.ret == 1
    result.stdout.fnmatch_lines(
        ["*listed, but it did not run*", "*test_skipped: a race (#7): UNEXPECTED RESULT"]
    )


def test_a_listed_test_whose_fixture_fails_counts_as_failed(run_listed: RunListed) -> None:
    """An error during setup is a known failure, too."""
    result = run_listed(line("test_unready"), only="good or unready")
    assert result.ret == 0
    assert result.parseoutcomes() == {"passed": 1, "xfailed": 1, "deselected": 5}


def test_of_several_parameters_only_the_listed_one_may_fail(run_listed: RunListed) -> None:
    """A parameter may contain the separator of the list."""
    result = run_listed(line("test_ways[a | b]"), only="ways")
    assert result.ret == 0
    assert result.parseoutcomes() == {"passed": 1, "xfailed": 1, "deselected": 5}


@pytest.mark.parametrize("more", WORKERS, ids=["one", "two"])
@pytest.mark.parametrize("test", ["test_gone", "test_ways"])
def test_a_listed_test_that_does_not_exist_fails_the_run_and_all_others_run(
    run_listed: RunListed, test: str, more: Sequence[str]
) -> None:
    """A test that was renamed or removed must not remain in the list unnoticed."""
    result = run_listed(line(test), only="good", more=more)
    assert result.ret == 1
    result.stdout.fnmatch_lines([f"*KNOWN-RED.txt: no such test: sample/test_it.py::{test}"])
    result.assert_outcomes(passed=1, failed=1)


def test_a_selection_of_tests_runs_without_the_listed_ones(run_listed: RunListed) -> None:
    """With tests selected on the command line, a listed test that is not collected is not missing."""
    result = run_listed(line("test_bad"), only="", more=["sample/test_it.py::test_good"])
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*test_bad: a race (#7): not run"])


def test_three_tests_may_be_listed(run_listed: RunListed) -> None:
    """The limit itself is allowed."""
    result = run_listed(
        line("test_bad"), line("test_worse"), line("test_unready"), only="bad or worse or unready"
    )
    assert result.ret == 0
    assert result.parseoutcomes() == {"xfailed": 3, "deselected": 4}


@pytest.mark.parametrize(
    "lines, message",
    [
        (
            [line("test_bad"), line("test_worse"), line("test_unready"), line("test_good")],
            "exceeds the limit of 3",
        ),
        ([line("test_bad"), line("test_bad", cause="another")], "repeats a test"),
        (["sample/test_it.py::test_bad"], "is not"),
        (["sample/test_it.py::test_bad | a race"], "is not"),
        ([line("test_bad", cause=" ")], "is not"),
        ([line("test_bad", issue="")], "is not"),
        ([line("test_bad", issue="soon")], "is not"),
        ([" | a race | #7"], "is not"),
        (["bad | a race | #7"], "is not"),
    ],
)
def test_an_invalid_line_or_one_too_many_stops_the_run(
    run_listed: RunListed, lines: list[str], message: str
) -> None:
    """The error names the line, and no tests are run, with and without workers."""
    result = run_listed(*lines, more=("-n", "2") if len(lines) > 1 else ())
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*KNOWN-RED.txt: line {2 + len(lines)} {message}*"])
    result.stdout.no_fnmatch_line("*passed*")
