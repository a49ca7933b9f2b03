"""The endpoint list is acted on only while it is known to be current: real processes, faults between.

Attempts are counted at the servers, notices at discovery; the sidecars' own word counts for nothing.
"""

import asyncio

import pytest

from fakes.discovery import Fault
from trials import endpoint_list


def played(*plays):
    async def all_of_them():
        return await asyncio.gather(*plays)

    return asyncio.run(all_of_them())


def assert_kept(verdicts):
    for verdict in verdicts:
        assert verdict.kept, (verdict.counts, verdict.broken[:10])
        # The play has shown something only where the server that drains had requests before it did.
        assert verdict.counts["attempts"] > 100 and verdict.counts["answered 200"] > 100


@pytest.mark.xdist_group("endpoint-list-1")
def test_no_attempt_follows_a_notice_that_did_not_arrive_whole():
    faults = (Fault.ENDED, Fault.RESET, Fault.STALLED)
    assert_kept(played(*(endpoint_list.broken_message(fault) for fault in faults)))


@pytest.mark.xdist_group("endpoint-list-2")
def test_no_attempt_follows_a_notice_that_was_missed():
    assert_kept(
        played(endpoint_list.silent_watch(), endpoint_list.ended_instead(), endpoint_list.restarted())
    )
