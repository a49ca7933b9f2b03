"""Sidecars act on the endpoint list only while it is known to be current, with faults between real processes.

Attempts are counted at the endpoints and notifications at discovery, independently of the sidecars' own logs.
"""

import asyncio
from collections.abc import Awaitable, Iterable

import pytest

from fakes.discovery import Fault
from trials import endpoint_list
from trials.verdict import TrialResult


def run_together(*runs: Awaitable[TrialResult]) -> list[TrialResult]:
    """Run trials concurrently and return their results."""

    async def run_all() -> list[TrialResult]:
        return await asyncio.gather(*runs)

    return asyncio.run(run_all())


def assert_passed(results: Iterable[TrialResult]) -> None:
    """Assert that no rule was broken and that the traffic was enough to show a violation."""
    for result in results:
        assert result.passed, (result.counts, result.violations[:10])
        # With little traffic, a trial would pass because hardly any attempt could break a rule.
        assert result.counts["attempts"] > 100 and result.counts["answered 200"] > 100


@pytest.mark.xdist_group("endpoint-list-1")
def test_no_attempt_follows_a_notice_that_arrived_incomplete() -> None:
    """The watch ends, is reset or stalls in the middle of the message about a drain."""
    faults = (Fault.ENDED, Fault.RESET, Fault.STALLED)
    assert_passed(run_together(*(endpoint_list.broken_message(fault) for fault in faults)))


@pytest.mark.xdist_group("endpoint-list-2")
def test_no_attempt_follows_a_notice_that_was_missed() -> None:
    """Watches fall silent or end instead of delivering the notice, or sidecars restart with an older list."""
    assert_passed(
        run_together(endpoint_list.silent_watch(), endpoint_list.ended_instead(), endpoint_list.restarted())
    )
