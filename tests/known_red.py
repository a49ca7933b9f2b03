"""The tests that may fail for now: KNOWN-RED.txt, one a line, `test | cause | issue`; lines with # say why.

They run like all others. One that fails is counted as expected (xfail, strict) and does not fail the run;
one that passes, is skipped or does not exist fails it, and an invalid line ends the run at once.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_LISTED = 3
LISTED = pytest.StashKey[str]()  # of a test that is listed: how, as its name may be written otherwise later
ISSUE = re.compile(r"#\d+|https?://\S+")


class Missing(pytest.Item):
    """Stands for a line that names no test: it fails, and so does the run; all others still run."""

    def runtest(self) -> None:
        """Fail."""
        raise pytest.fail.Exception(f"{FILE}: no such test: {self.name}", pytrace=False)

    def reportinfo(self) -> tuple[Path, int, str]:
        """Where the line is."""
        return self.config.rootpath / FILE, 0, f"{FILE}: {self.name}"


def read(text: str) -> dict[str, str]:
    """By test its cause and issue. Raises `pytest.UsageError`, which names each line at fault."""
    found: dict[str, str] = {}
    faults = []
    lines = [(n, line.strip()) for n, line in enumerate(text.splitlines(), 1)]
    for number, line in [(n, line) for n, line in lines if line and not line.startswith("#")]:
        parts = [part.strip() for part in line.rsplit("|", 2)]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not ISSUE.fullmatch(parts[2]):
            faults.append(f"line {number} is not `test | cause | issue`: {line}")
        elif parts[0] in found:
            faults.append(f"line {number} names a test again: {line}")
        else:
            found[parts[0]] = f"{parts[1]} ({parts[2]})"
        if len(found) > MAX_LISTED:
            faults.append(f"line {number} is one more than {MAX_LISTED}: mend one first")
    if faults:
        raise pytest.UsageError(*(f"{FILE}: {fault}" for fault in faults))
    return found


class KnownRed:
    """The plugin. With several workers each has one, and so has the process that prints."""

    def __init__(self, config: pytest.Config) -> None:
        """Read the list. Raises `pytest.UsageError` for one that cannot be read."""
        path = config.rootpath / FILE
        self.listed = read(path.read_text(encoding="utf-8")) if path.exists() else {}
        # A run of some tests does not show which exist.
        self.all_tests = config.args_source is not pytest.Config.ArgsSource.ARGS
        self.ended: dict[str, str] = {}

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, items: list[pytest.Item]
    ) -> Iterator[None]:
        """Expect listed tests to fail; add one that fails for each that does not exist."""
        there = {item.nodeid: item for item in items}  # before any are deselected
        for test in self.listed.keys() & there.keys():
            there[test].stash[LISTED] = test
            there[test].add_marker(pytest.mark.xfail(reason=self.listed[test], strict=True))
        yield
        if self.all_tests:
            items += [Missing.from_parent(session, name=test) for test in self.listed if test not in there]

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Iterator[None]:
        """A listed test that is skipped has failed."""
        report = yield
        report.known_red = item.stash.get(LISTED, "")
        if report.known_red and report.skipped and not hasattr(report, "wasxfail"):
            report.outcome, report.longrepr = (
                "failed",
                f"{FILE}: listed, but it did not run: {report.longrepr}",
            )
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Remember how a listed test ended."""
        if (test := getattr(report, "known_red", "")) and (report.when == "call" or not report.passed):
            self.ended[test] = "failed, as known" if hasattr(report, "wasxfail") else "NOT AS KNOWN"

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the listed tests and how they ended."""
        if self.listed:
            terminalreporter.section(f"known red ({FILE})")
            for test, why in self.listed.items():
                terminalreporter.line(f"{test}: {why}: {self.ended.get(test, 'not run')}")
