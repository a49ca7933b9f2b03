"""The watch of the endpoint list and its backoff."""

from starlingwheel.decisions.events import WatchEvent


def test_the_watch_is_opened_again_after_a_failure(host):
    host.later(1.0)
    assert host.subscribed == 1
    host.runner.endpoints_changed(WatchEvent.FAILED, [])
    host.later(2.0)
    assert host.subscribed == 2


def test_a_sidecar_without_requests_does_next_to_nothing(make_host):
    host = make_host(upstreams=300, sidecars=500, gossip_allowed=True)
    host.later(60.0)
    assert host.subscribed == 1 and not host.told and not host.probes and not host.alarms


def test_many_sidecars_do_not_open_their_watches_in_step(make_host):
    hosts = [make_host(seed=seed, sidecars=500) for seed in range(20)]
    for host in hosts:
        host.later(0.5)
    early = sum(host.subscribed for host in hosts)
    for host in hosts:
        host.later(7.5)
    assert early < 8 and all(host.subscribed == 1 for host in hosts)
