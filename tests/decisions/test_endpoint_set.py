"""Tests of the endpoint set: zones, cells, subsets, live weights."""

from collections import Counter

import pytest
from decision_host import KEYS, SUBSET_SETTINGS, AnswerKind, FakeHost, MakeHost, cell_of, host_with_cells

from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import AttemptOutcome, Endpoint, EndpointState


def list_weights(host: FakeHost, **weights: float) -> None:
    """Send new weights of endpoints, as a list with live weights does."""
    host.scheduler.endpoints_changed(
        WatchEvent.DELTA,
        [Endpoint(name, "here", 0, weight, None, EndpointState.READY) for name, weight in weights.items()],
    )


def test_no_attempt_goes_to_a_draining_or_removed_endpoint(host: FakeHost) -> None:
    """The state given by a delta or a snapshot applies at once."""
    host.list_endpoints(WatchEvent.DELTA, "u0", state=EndpointState.DRAINING)
    host.list_endpoints(WatchEvent.DELTA, "u1", state=EndpointState.GONE)
    host.list_endpoints(WatchEvent.SNAPSHOT, "u0", state=EndpointState.DRAINING)
    host.list_endpoints(WatchEvent.DELTA, "u2", "u3")
    host.serve(20)
    assert {attempt.endpoint.endpoint_id for attempt in host.attempts} == {"u2", "u3"}


def test_all_sidecars_prefer_the_same_cell_for_a_key_and_spread_the_keys(make_host: MakeHost) -> None:
    """Otherwise the cells would not benefit from related requests, or one would get too many."""
    first, second = host_with_cells(make_host, seed=1), host_with_cells(make_host, seed=2)
    picked = [cell_of(first, key) for key in KEYS]
    assert sum(a == cell_of(second, key) for a, key in zip(picked, KEYS, strict=True)) > 0.9 * len(KEYS)
    assert all(0.15 < n / len(KEYS) < 0.35 for n in Counter(picked).values()) and len(set(picked)) == 4


def test_when_a_cell_is_lost_only_its_keys_move(make_host: MakeHost) -> None:
    """The other cells keep the keys that they have served recently."""
    host = host_with_cells(make_host)
    homes = {key: host.scheduler.balancer.endpoints.preferred_cell(key) for key in KEYS}
    host.list_endpoints(WatchEvent.DELTA, *host.endpoint_ids[:3], state=EndpointState.GONE)
    assert 0 not in {c for key in KEYS for c in [host.scheduler.balancer.endpoints.preferred_cell(key)]}
    assert all(
        host.scheduler.balancer.endpoints.preferred_cell(key) == home
        for key, home in homes.items()
        if home != 0
    )


def test_every_key_has_a_cell_and_a_request_without_a_key_has_none(make_host: MakeHost) -> None:
    """Without key affinity, a key does not restrict the choice either."""
    host = host_with_cells(make_host)
    assert len({cell_of(host, "x" * 100_000) for _ in range(8)}) == 1
    assert len({cell_of(host, "") for _ in range(30)}) > 1
    plain = make_host(12)
    assert len({plain.attempts_of(plain.submit(key="race/1"))[0].endpoint for _ in range(8)}) > 3


def test_a_response_from_an_endpoint_no_longer_listed_still_counts(host: FakeHost) -> None:
    """The list may change while an attempt is in flight."""
    request = host.submit()
    host.list_endpoints(WatchEvent.DELTA, *host.endpoint_ids, state=EndpointState.GONE)
    host.end_attempt(host.attempts_of(request)[0], load_report={"held": 3.0})
    assert host.answers_to(request) == [AnswerKind.SUCCEEDED] and host.answers_to(host.submit()) == [
        AnswerKind.REJECTED
    ]


@pytest.mark.parametrize("endpoints", [1, 400])
def test_lists_of_one_and_of_many_endpoints_are_used(make_host: MakeHost, endpoints: int) -> None:
    """Neither one endpoint for many sidecars nor a list longer than a sample may fail."""
    host = make_host(endpoints=endpoints, sidecars=100_000)
    host.serve(30)
    assert len(host.attempts) == 30


def test_each_of_many_sidecars_uses_a_small_subset_and_all_endpoints_are_used(make_host: MakeHost) -> None:
    """Subsets that overlap too much would overload some endpoints and leave others idle."""
    users = dict.fromkeys([f"u{i}" for i in range(30)], 0)
    for number in range(60):
        host = make_host(endpoints=30, seed=number, sidecar_index=number, **SUBSET_SETTINGS)
        host.serve(12)
        used = {attempt.endpoint.endpoint_id for attempt in host.attempts}
        assert len(used) <= 2
        for name in used:
            users[name] += 1
    assert min(users.values()) >= 1 and max(users.values()) <= 12


def test_a_sidecar_whose_subset_has_failed_uses_the_next_endpoints_in_its_order(
    make_host: MakeHost,
) -> None:
    """A subset that is never refilled would leave the sidecar without an endpoint."""
    host = make_host(endpoints=30, **SUBSET_SETTINGS)
    host.serve(12)
    dead = {attempt.endpoint for attempt in host.attempts}
    for _ in range(6):
        request = host.submit()
        while (attempt := host.attempts_of(request)[-1]).endpoint in dead and attempt.pending:
            host.end_attempt(attempt, AttemptOutcome.CONNECT_FAILED)
        if attempt.pending:
            host.end_attempt(attempt)
    assert (
        host.answers_to(request) == [AnswerKind.SUCCEEDED]
        and host.attempts_of(request)[0].endpoint not in dead
    )


def test_a_low_live_weight_counts_as_load_and_not_as_low_capacity(make_host: MakeHost) -> None:
    """A live weight falls with load, so the capacity is the largest weight seen."""
    host = make_host(endpoints=2, weights_are_live=True, **SUBSET_SETTINGS)
    list_weights(host, u0=0.25, u1=1.0)
    balancer = host.scheduler.balancer
    full, free = balancer.endpoints.by_id["u0"], balancer.endpoints.by_id["u1"]
    assert (
        full.capacity_weight == free.capacity_weight == 1.0 and balancer.endpoints.relative_cost(full) == 1.0
    )
    assert balancer.load.of(full) > balancer.load.of(free) and balancer.load.mean_reported_load() > 1


def test_endpoints_missing_from_a_delta_keep_their_load(make_host: MakeHost) -> None:
    """A mean over deltas alone would make endpoints without a change look loaded."""
    host = make_host(endpoints=8, weights_are_live=True, **SUBSET_SETTINGS)
    for _ in range(10):
        host.advance(0.5)
        list_weights(host, u0=0.1)
    idle = host.scheduler.balancer.endpoints.by_id["u5"]
    assert host.scheduler.balancer.load.of(idle) < 2 and host.attempts_of(host.submit())


def test_a_changed_live_weight_does_not_mark_the_set_as_stale(make_host: MakeHost) -> None:
    """Live weights change often, and a refresh costs time for each endpoint."""
    host = make_host(endpoints=8, weights_are_live=True, **SUBSET_SETTINGS)
    host.submit()
    list_weights(host, u0=0.5)
    assert not host.scheduler.balancer.endpoints.stale
    host.list_endpoints(WatchEvent.DELTA, "u0", state=EndpointState.DRAINING)
    assert host.scheduler.balancer.endpoints.stale
