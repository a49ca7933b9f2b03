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
    """Run trials concurrently and return their verdicts."""

    async def run_all() -> list[TrialResult]:
        return await asyncio.gather(*runs)

    return asyncio.run(run_all())


def assert_kept(verdicts: Iterable[TrialResult]) -> None:
    """Assert that no rule was broken and that there was enough traffic to show it."""
    for verdict in verdicts:
        assert verdict.passed, (verdict.counts, verdict.violations[:10])
        # A trial is conclusive only if the draining endpoint had requests before.
        assert verdict.counts["attempts"] > 100 and verdict.counts["answered 200"] > 100


@pytest.mark.xdist_group("endpoint-list-1")
def test_no_attempt_follows_a_notice_that_arrived_incomplete() -> None:
    """The watch ends, is reset or stalls in the middle of the message about a drain."""
    faults = (Fault.ENDED, Fault.RESET, Fault.STALLED)
    assert_kept(run_together(*(endpoint_list.broken_message(fault) for fault in faults)))


@pytest.mark.xdist_group("endpoint-list-2")
def test_no_attempt_follows_a_notice_that_was_missed() -> None:
    """Watches fall silent or end instead of delivering it, or sidecars restart with a list from before it."""
    assert_kept(
        run_together(endpoint_list.silent_watch(), endpoint_list.ended_instead(), endpoint_list.restarted())
    )
