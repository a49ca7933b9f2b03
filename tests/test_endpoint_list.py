"""Sidecars act on the endpoint list only while it is known to be current, with faults between real processes.

Attempts are counted at the endpoints and notifications at discovery, independently of the sidecars' own logs.
"""

import asyncio
from collections.abc import Awaitable, Iterable

import msgspec
import pytest

from fakes.discovery import Fault
from starlingwheel.net.discovery.messages import DiscoveredEndpoint
from starlingwheel.net.state.overrides import EndpointOverrides
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


def test_an_address_belongs_to_the_process_that_started_last() -> None:
    """What was sent to the former id reached the new process, which has another cell (issue 75)."""
    overrides = EndpointOverrides(None, lambda: 0.0, lambda event, **fields: None)
    former, new = DiscoveredEndpoint("s0", "h:1"), DiscoveredEndpoint("s9", "h:1", cell=1, started_ms=5)
    other = DiscoveredEndpoint("s1", "h:2")
    overrides.apply_watch_message(True, [former, other])
    changed = overrides.apply_watch_message(False, [new])
    assert {entry.id: entry.state for entry in changed} == {"s9": "active", "s0": "left"}
    assert overrides.current("s0").state == "left" and overrides.current("s9").state == "active"
    # In a snapshot, and in either order.
    for entries in ([former, new, other], [new, former, other]):
        states = {entry.id: entry.state for entry in overrides.apply_watch_message(True, entries)}
        assert states == {"s0": "left", "s9": "active", "s1": "active"}
    # The former process is listed alone again, as the new one has moved or has gone.
    moved = msgspec.structs.replace(new, addr="h:3")
    for gone in (moved, msgspec.structs.replace(new, state="left")):
        overrides.apply_watch_message(True, [former, new, other])
        changed = overrides.apply_watch_message(False, [gone])
        assert {entry.id: entry.state for entry in changed}["s0"] == "active"


def test_endpoints_that_share_an_address_and_a_start_are_all_used() -> None:
    """None of them is known to have replaced another."""
    overrides = EndpointOverrides(None, lambda: 0.0, lambda event, **fields: None)
    entries = [DiscoveredEndpoint(f"s{i}", "h:1", started_ms=3) for i in range(3)]
    assert [entry.state for entry in overrides.apply_watch_message(True, entries)] == ["active"] * 3
