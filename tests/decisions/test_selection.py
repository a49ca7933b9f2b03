"""Which endpoint a request goes to."""

from decision_host import BUY, host_with_cells

from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import AttemptOutcome


def test_a_popular_key_does_not_fill_its_cell(make_host):
    host = host_with_cells(make_host, cells=3)
    sent = [
        attempt.endpoint.entry.cell for _ in range(30) for attempt in host.of(host.take(BUY, key="race/0"))
    ]
    assert len(set(sent[:3])) == 1 and len(set(sent)) == 3


def test_an_endpoint_that_loses_responses_for_this_sidecar_alone_is_tried_while_others_fit(make_host):
    host = make_host(8, cancel_allowed=True)
    for i in range(600):
        for attempt in host.of(host.take(patience=2.0)):
            lost = attempt.endpoint.endpoint_id in host.names[:4] and i % 5 < 3
            host.later(1.0 if lost else 0.1)
            host.end(attempt, AttemptOutcome.TIMED_OUT if lost else AttemptOutcome.SUCCESS)
    last = [attempt.endpoint.endpoint_id for attempt in host.sent[-300:]]
    assert 0 < sum(address in host.names[:4] for address in last) < 30


def test_where_new_connections_have_a_price_open_ones_are_used_first(make_host):
    used = {}
    for price in (0.0, 0.1):
        host = make_host(upstreams=12, cross_zone_price=0.01, connection_setup_price=price, idle_timeout=5.0)
        host.serve(200, took=0.05, category=BUY)
        used[price] = len({attempt.endpoint for attempt in host.sent[-100:]})
    assert used[0.0] == 12 and used[0.1] <= 3


def test_an_open_connection_to_a_busy_endpoint_does_not_keep_requests_from_others(make_host):
    host = make_host(upstreams=4, connection_setup_price=0.1, idle_timeout=5.0)
    host.serve(20, took=0.1, category=BUY)
    wis = [host.take(BUY) for _ in range(4)]
    assert len({host.of(request)[0].endpoint for request in wis}) > 2


def test_no_request_crosses_zones_for_a_response_that_would_come_no_sooner(make_host):
    host = make_host(upstreams=2)
    host.listed(WatchEvent.DELTA, "u2", "u3", zone="there")
    for _ in range(60):
        for attempt in [host.of(host.take(BUY))[0] for _ in range(4)]:
            host.later(0.05 if attempt.endpoint.entry.zone == "here" else 0.25)
            host.end(attempt)
    taken = [host.of(host.take(BUY))[0].endpoint.entry.zone for _ in range(4)]
    assert taken[:3] == ["here"] * 3
