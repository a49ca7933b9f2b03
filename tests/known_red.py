"""A pytest plugin for tests that are known to fail, listed in KNOWN-RED.txt.

Each line of the file has the form `test | cause | issue`; lines that start with # are comments. A listed test
is run as a strict xfail, so its failure does not fail the run. The run fails if a listed test passes, is
skipped or does not exist, and it stops at once if a line is invalid.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_LISTED = 3
LISTED = pytest.StashKey[str]()  # the listed name of a test, since its node id may be changed later
ISSUE = re.compile(r"#\d+|https?://\S+")


class MissingTest(pytest.Item):
    """A failing item for a listed test that does not exist; all other tests still run."""

    def runtest(self) -> None:
        """Fail with the name of the missing test."""
        raise pytest.fail.Exception(f"{FILE}: no such test: {self.name}", pytrace=False)

    def reportinfo(self) -> tuple[Path, int, str]:
        """Return the location of the list."""
        return self.config.rootpath / FILE, 0, f"{FILE}: {self.name}"


def parse_list(text: str) -> dict[str, str]:
    """Return the cause and issue by test. Raises `pytest.UsageError`, which names each invalid line."""
    found: dict[str, str] = {}
    errors = []
    lines = [(n, line.strip()) for n, line in enumerate(text.splitlines(), 1)]
    for number, line in [(n, line) for n, line in lines if line and not line.startswith("#")]:
        parts = [part.strip() for part in line.rsplit("|", 2)]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not ISSUE.fullmatch(parts[2]):
            errors.append(f"line {number} is not `test | cause | issue`: {line}")
        elif parts[0] in found:
            errors.append(f"line {number} repeats a test: {line}")
        else:
            found[parts[0]] = f"{parts[1]} ({parts[2]})"
        if len(found) > MAX_LISTED:
            errors.append(f"line {number} exceeds the limit of {MAX_LISTED} tests: fix one first")
    if errors:
        raise pytest.UsageError(*(f"{FILE}: {error}" for error in errors))
    return found


class KnownRed:
    """The plugin. Each xdist worker has an instance, and so has the controller, which prints the summary."""

    def __init__(self, config: pytest.Config) -> None:
        """Read the list. Raises `pytest.UsageError` if a line is invalid."""
        path = config.rootpath / FILE
        self.listed = parse_list(path.read_text(encoding="utf-8")) if path.exists() else {}
        # With tests selected on the command line, it is unknown whether the other listed tests exist.
        self.all_tests = config.args_source is not pytest.Config.ArgsSource.ARGS
        self.results: dict[str, str] = {}

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, items: list[pytest.Item]
    ) -> Iterator[None]:
        """Mark listed tests as xfail; add a failing item for each listed test that does not exist."""
        collected = {item.nodeid: item for item in items}  # before any are deselected
        for test in self.listed.keys() & collected.keys():
            collected[test].stash[LISTED] = test
            collected[test].add_marker(pytest.mark.xfail(reason=self.listed[test], strict=True))
        yield
        if self.all_tests:
            items += [
                MissingTest.from_parent(session, name=test) for test in self.listed if test not in collected
            ]

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Iterator[None]:
        """Report a listed test that is skipped as failed."""
        report = yield
        report.known_red = item.stash.get(LISTED, "")
        if report.known_red and report.skipped and not hasattr(report, "wasxfail"):
            report.outcome, report.longrepr = (
                "failed",
                f"{FILE}: listed, but it did not run: {report.longrepr}",
            )
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the result of a listed test."""
        if (test := getattr(report, "known_red", "")) and (report.when == "call" or not report.passed):
            self.results[test] = "failed as expected" if hasattr(report, "wasxfail") else "UNEXPECTED RESULT"

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the listed tests and their results."""
        if self.listed:
            terminalreporter.section(f"known red ({FILE})")
            for test, cause in self.listed.items():
                terminalreporter.line(f"{test}: {cause}: {self.results.get(test, 'not run')}")
