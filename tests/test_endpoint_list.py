"""The endpoint list is acted on only while it is known to be current: real processes, faults between.

Attempts are counted at the servers, notices at discovery; what the sidecars say of themselves does not count.
"""

import asyncio
from collections.abc import Awaitable, Iterable

import pytest

from fakes.discovery import Fault
from trials import endpoint_list
from trials.verdict import Verdict


def play_together(*runs: Awaitable[Verdict]) -> list[Verdict]:
    """Run trials side by side."""

    async def play_all() -> list[Verdict]:
        return await asyncio.gather(*runs)

    return asyncio.run(play_all())


def assert_kept(verdicts: Iterable[Verdict]) -> None:
    """No rule was broken, and there was enough traffic to show it."""
    for verdict in verdicts:
        assert verdict.kept, (verdict.counts, verdict.broken[:10])
        # The trial shows something only where the draining server had requests before.
        assert verdict.counts["attempts"] > 100 and verdict.counts["answered 200"] > 100


@pytest.mark.xdist_group("endpoint-list-1")
def test_no_attempt_follows_a_notice_that_arrived_incomplete() -> None:
    faults = (Fault.ENDED, Fault.RESET, Fault.STALLED)
    assert_kept(play_together(*(endpoint_list.broken_message(fault) for fault in faults)))


@pytest.mark.xdist_group("endpoint-list-2")
def test_no_attempt_follows_a_notice_that_was_missed() -> None:
    assert_kept(
        play_together(endpoint_list.silent_watch(), endpoint_list.ended_instead(), endpoint_list.restarted())
    )
