"""The ids that were ever listed: which are remembered, and what a change of the endpoint list costs."""

import sys
import time
from types import FrameType
from typing import Any

import pytest

from starlingwheel.net.discovery.messages import DiscoveredEndpoint
from starlingwheel.net.state.known_ids import MAX_UNUSED_IDS, KnownIds
from starlingwheel.net.state.overrides import EndpointOverrides

LIST_SIZES = (400, 1600, 6400)  # endpoints


def lines_of_a_new_list(size: int) -> int:
    """Return how many lines run in the overrides while a whole list replaces another one of that size."""
    overrides = EndpointOverrides(None, lambda: 0.0, lambda *_, **__: None)
    overrides.apply_watch_message(True, [DiscoveredEndpoint(f"old{i}") for i in range(size)])
    new = [DiscoveredEndpoint(f"new{i}") for i in range(size)]
    lines = 0

    def count(frame: FrameType, event: str, _: object) -> Any:  # noqa: ANN401
        nonlocal lines
        lines += event == "line"
        return count if "/net/state/" in frame.f_code.co_filename else None

    former = sys.gettrace()
    sys.settrace(count)
    try:
        overrides.apply_watch_message(True, new)
    finally:
        sys.settrace(former)
    return lines


def test_the_work_for_a_whole_list_grows_no_faster_than_the_list() -> None:
    """3,200 endpoints, 1,920 of them new, took over a second: each new id rebuilt all known ones."""
    small, medium, large = (lines_of_a_new_list(size) / size for size in LIST_SIZES)
    assert medium < 1.5 * small and large < 1.5 * small


def test_ids_in_use_are_remembered_however_many_there_are() -> None:
    """Operators may drain any endpoint that is listed."""
    overrides = EndpointOverrides(None, lambda: 0.0, lambda *_, **__: None)
    ids = [f"s{i}" for i in range(3 * MAX_UNUSED_IDS)]
    overrides.apply_watch_message(True, [DiscoveredEndpoint(i) for i in ids])
    assert all(i in overrides.known_ids for i in ids)
    overrides.apply_watch_message(True, [DiscoveredEndpoint(i) for i in ids[:10]])
    assert len(overrides.known_ids) == MAX_UNUSED_IDS + 10
    assert ids[10] not in overrides.known_ids and ids[-1] in overrides.known_ids


def test_of_the_unused_ids_the_latest_ones_are_remembered() -> None:
    """An id that comes back into use counts as new when it goes out of use again."""
    known = KnownIds()
    for i in range(MAX_UNUSED_IDS + 2):
        assert known.use(f"s{i}")
        known.release(f"s{i}")
    assert not known.use("s0")
    known.release("s0")
    known.release("never listed")
    known.forget_unused(is_kept=lambda _: False)
    assert len(known) == MAX_UNUSED_IDS
    assert "s0" in known and "s1" not in known and "s2" not in known and "never listed" not in known


@pytest.mark.parametrize("kept", [1, 3])
def test_an_unused_id_that_is_to_be_kept_is_not_forgotten(kept: int) -> None:
    """A drained endpoint that has left the list stays drained if it comes back."""
    known = KnownIds()
    known.add_unused(f"s{i}" for i in range(MAX_UNUSED_IDS + 5))
    drained = {f"s{i}" for i in range(kept)}
    for _ in range(3):
        known.forget_unused(is_kept=drained.__contains__)
    assert all(i in known for i in drained)
    assert len(known) <= MAX_UNUSED_IDS + kept


def test_many_endpoints_at_one_address_cost_no_more_than_at_many() -> None:
    """They may stand behind one proxy; a list of them was compared pair by pair."""
    times = []
    for addresses in (1, 3200):
        overrides = EndpointOverrides(None, lambda: 0.0, lambda event, **fields: None)
        entries = [DiscoveredEndpoint(f"s{i}", f"h:{i % addresses}") for i in range(3200)]
        begun = time.process_time()
        overrides.apply_watch_message(True, entries)
        for entry in entries[:100]:
            overrides.apply_watch_message(False, [entry])
        times.append(time.process_time() - begun)
    assert times[0] < 3 * times[1] + 0.02
