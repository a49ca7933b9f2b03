"""Tests of rule 4, slow-start budgets."""

from decision_host import BUY, SUBSET_SETTINGS, MakeHost

from starlingwheel.decisions.events import WatchEvent


def test_a_restarted_endpoint_gets_no_more_than_its_slow_start_budget(make_host: MakeHost) -> None:
    """A cold endpoint would be overloaded by its full share."""
    host = make_host(endpoints=1)
    host.advance(100.0)
    host.list_endpoints(WatchEvent.DELTA, "u0", started=100.0)
    for _ in range(40):
        for attempt in host.attempts_of(host.submit()):
            host.end_attempt(attempt)
        host.advance(0.05)
    capacity = 0.25 * 2.0 / 0.1  # slow-start fraction of 2 s, in requests of 0.1 s
    assert 0 < len(host.attempts) <= 2.0 * capacity


def test_many_sidecars_together_keep_the_slow_start_budget(make_host: MakeHost) -> None:
    """If each sidecar sent its first request at once, their sum would exceed the budget."""
    sent = 0
    for seed in range(100):
        host = make_host(endpoints=1, seed=seed, sidecars=100)
        host.advance(50.0)
        host.list_endpoints(WatchEvent.DELTA, "u0", started=50.0)
        for _ in range(10):  # more requests than the endpoint could serve, from all sidecars in step
            for attempt in host.attempts_of(host.submit()):
                host.end_attempt(attempt)
            host.advance(0.2)
        sent += len(host.attempts)
    capacity = (
        2.0 * (0.25 + 0.25 * 0.75) / 0.12
    )  # in the 2 s overload window, at the highest fraction reached
    assert 0 < sent <= 2.0 * capacity


def test_no_requests_queue_at_an_endpoint_that_is_warming_up(make_host: MakeHost) -> None:
    """The slow-start budget allows one request here, so the others are not sent."""
    host = make_host(endpoints=1)
    host.serve(40, duration=0.12, request_class=BUY)
    host.list_endpoints(WatchEvent.DELTA, "u0", started=host.scheduler.now)
    sent = [len(host.attempts_of(host.submit(BUY))) for _ in range(3)]
    assert sent == [1, 0, 0]


def test_many_sidecars_keep_the_slow_start_budget_where_few_of_them_may_use_an_endpoint(
    make_host: MakeHost,
) -> None:
    """With subsets, the budget is divided among the sidecars that may send there."""
    sent, restarted = 0, "u3"
    for number in range(200):
        host = make_host(endpoints=30, seed=number, sidecar_index=number, **SUBSET_SETTINGS)
        host.advance(50.0)
        host.list_endpoints(WatchEvent.DELTA, restarted, started=50.0)
        for _ in range(75):  # more requests than the endpoint could serve, from all sidecars in step
            for attempt in host.attempts_of(host.submit()):
                host.end_attempt(attempt)
            host.advance(0.1)
        sent += sum(attempt.endpoint.endpoint_id == restarted for attempt in host.attempts)
    capacity = 7.5 * (0.25 + 0.95) / 2 / 0.125  # over the 7.5 s in which it warms up
    assert 0 < sent <= 2.0 * capacity
