"""Rule 4: slow-start budgets."""

from decision_host import BUY, SUBSET_SETTINGS, MakeHost

from starlingwheel.decisions.events import WatchEvent


def test_a_restarted_endpoint_never_gets_more_than_its_slow_start_budget(make_host: MakeHost) -> None:
    host = make_host(endpoints=1)
    host.advance(100.0)
    host.list_endpoints(WatchEvent.DELTA, "u0", started=100.0)
    for _ in range(40):
        for attempt in host.attempts_of(host.submit()):
            host.end_attempt(attempt)
        host.advance(0.05)
    could_do = 0.25 * 2.0 / 0.1  # slow-start fraction of the span, in requests of 0.1 s
    assert 0 < len(host.attempts) <= 2.0 * could_do


def test_hundreds_of_sidecars_together_keep_the_slow_start_budget(make_host: MakeHost) -> None:
    sent = 0
    for seed in range(100):
        host = make_host(endpoints=1, seed=seed, sidecars=100)
        host.advance(50.0)
        host.list_endpoints(WatchEvent.DELTA, "u0", started=50.0)
        for _ in range(10):  # far more requests than the endpoint could serve, from all of them in step
            for attempt in host.attempts_of(host.submit()):
                host.end_attempt(attempt)
            host.advance(0.2)
        sent += len(host.attempts)
    could_do = 2.0 * (0.25 + 0.25 * 0.75) / 0.12  # the warmest it can be, over the span of the rule
    assert 0 < sent <= 2.0 * could_do


def test_nothing_queues_at_an_endpoint_that_is_still_warming_up(make_host: MakeHost) -> None:
    host = make_host(endpoints=1)
    host.serve(40, duration=0.12, request_class=BUY)
    host.list_endpoints(WatchEvent.DELTA, "u0", started=host.scheduler.now)
    sent = [len(host.attempts_of(host.submit(BUY))) for _ in range(3)]
    assert sent == [1, 0, 0]


def test_hundreds_of_sidecars_keep_the_slow_start_budget_where_few_may_use_an_endpoint(
    make_host: MakeHost,
) -> None:
    sent, cold = 0, "u3"
    for number in range(200):
        host = make_host(endpoints=30, seed=number, sidecar_index=number, **SUBSET_SETTINGS)
        host.advance(50.0)
        host.list_endpoints(WatchEvent.DELTA, cold, started=50.0)
        for _ in range(75):  # far more requests than the endpoint could serve, from all of them in step
            for attempt in host.attempts_of(host.submit()):
                host.end_attempt(attempt)
            host.advance(0.1)
        sent += sum(attempt.endpoint.endpoint_id == cold for attempt in host.attempts)
    could_do = 7.5 * (0.25 + 0.95) / 2 / 0.125  # while it warms
    assert 0 < sent <= 2.0 * could_do
