"""Tests of the watch of the endpoint list and its backoff."""

from decision_host import FakeHost, MakeHost

from starlingwheel.decisions.events import WatchEvent


def test_the_watch_is_opened_again_after_a_failure(host: FakeHost) -> None:
    """Without a new watch the endpoint list would stay as it was."""
    host.advance(1.0)
    assert host.watches_requested == 1
    host.scheduler.endpoints_changed(WatchEvent.FAILED, [])
    host.advance(2.0)
    assert host.watches_requested == 2


def test_a_sidecar_without_requests_opens_one_watch_and_sends_nothing_else(make_host: MakeHost) -> None:
    """Idle sidecars of a large fleet must not cause gossip, health checks or timers."""
    host = make_host(endpoints=300, sidecars=500, gossip_allowed=True)
    host.advance(60.0)
    assert host.watches_requested == 1 and not host.gossip_sent and not host.health_checks and not host.alarms


def test_many_sidecars_spread_the_opening_of_their_watches(make_host: MakeHost) -> None:
    """Calls of all sidecars at the same time would overload discovery."""
    hosts = [make_host(seed=seed, sidecars=500) for seed in range(20)]
    for host in hosts:
        host.advance(0.5)
    early = sum(host.watches_requested for host in hosts)
    for host in hosts:
        host.advance(7.5)
    assert early < 8 and all(host.watches_requested == 1 for host in hosts)
