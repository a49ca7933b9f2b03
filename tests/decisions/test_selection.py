"""Tests of endpoint selection."""

from decision_host import BUY, MakeHost, host_with_cells

from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import AttemptOutcome


def test_a_popular_key_does_not_fill_its_cell(make_host: MakeHost) -> None:
    """Once the preferred cell is slower than the others, they get requests too."""
    host = host_with_cells(make_host, cells=3)
    sent = [
        attempt.endpoint.entry.cell
        for _ in range(30)
        for attempt in host.attempts_of(host.submit(BUY, key="race/0"))
    ]
    assert len(set(sent[:3])) == 1 and len(set(sent)) == 3


def test_an_endpoint_that_loses_responses_to_this_sidecar_alone_is_still_tried_now_and_then(
    make_host: MakeHost,
) -> None:
    """Without any attempt the sidecar would not notice its recovery."""
    host = make_host(8, cancel_allowed=True)
    for i in range(600):
        for attempt in host.attempts_of(host.submit(time_left=2.0)):
            lost = attempt.endpoint.endpoint_id in host.endpoint_ids[:4] and i % 5 < 3
            host.advance(1.0 if lost else 0.1)
            host.end_attempt(attempt, AttemptOutcome.TIMED_OUT if lost else AttemptOutcome.SUCCESS)
    last = [attempt.endpoint.endpoint_id for attempt in host.attempts[-300:]]
    assert 0 < sum(endpoint_id in host.endpoint_ids[:4] for endpoint_id in last) < 30


def test_where_new_connections_have_a_price_open_ones_are_used_first(make_host: MakeHost) -> None:
    """With a price for new connections few endpoints are used, without one all of them."""
    used = {}
    for price in (0.0, 0.1):
        host = make_host(endpoints=12, cross_zone_price=0.01, connection_setup_price=price, idle_timeout=5.0)
        host.serve(200, duration=0.05, request_class=BUY)
        used[price] = len({attempt.endpoint for attempt in host.attempts[-100:]})
    assert used[0.0] == 12 and used[0.1] <= 3


def test_an_open_connection_to_a_busy_endpoint_does_not_keep_requests_from_others(
    make_host: MakeHost,
) -> None:
    """Above some expected response time, a new connection is worth its setup price."""
    host = make_host(endpoints=4, connection_setup_price=0.1, idle_timeout=5.0)
    host.serve(20, duration=0.1, request_class=BUY)
    requests = [host.submit(BUY) for _ in range(4)]
    assert len({host.attempts_of(request)[0].endpoint for request in requests}) > 2


def test_no_request_goes_to_another_zone_whose_responses_are_no_faster(make_host: MakeHost) -> None:
    """Crossing zones has no gain while the local queue is short."""
    host = make_host(endpoints=2)
    host.list_endpoints(WatchEvent.DELTA, "u2", "u3", zone="there")
    for _ in range(60):
        for attempt in [host.attempts_of(host.submit(BUY))[0] for _ in range(4)]:
            host.advance(0.05 if attempt.endpoint.entry.zone == "here" else 0.25)
            host.end_attempt(attempt)
    zones = [host.attempts_of(host.submit(BUY))[0].endpoint.entry.zone for _ in range(4)]
    assert zones[:3] == ["here"] * 3
