"""Stories of many sidecars, many upstreams, and of word from elsewhere."""

import pytest
from conftest import BUY, LOOK

from starlingwheel.decisions.estimators import Histogram
from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.gossip import ENDED_BY_SENDER, UNANSWERED
from starlingwheel.decisions.model import AttemptOutcome, Endpoint, EndpointState

TELLING = {"sidecars": 3, "gossip_allowed": True}
ASKING = {"sidecars": 400, "health_checks_allowed": True, "health_check_price": 0.01}


def test_hundreds_of_sidecars_together_keep_the_part_of_a_cold_upstream(make_host):
    sent = 0
    for seed in range(100):
        host = make_host(upstreams=1, seed=seed, sidecars=100)
        host.later(50.0)
        host.listed(WatchEvent.DELTA, "u0", started=50.0)
        for _ in range(10):  # far more work than the upstream could do, at all of them in step
            for attempt in host.of(host.take()):
                host.end(attempt)
            host.later(0.2)
        sent += len(host.sent)
    could_do = 2.0 * (0.25 + 0.25 * 0.75) / 0.12  # the warmest it can be, over the span of the rule
    assert 0 < sent <= 2.0 * could_do


def test_a_sidecar_without_work_does_next_to_nothing(make_host):
    host = make_host(upstreams=300, sidecars=500, gossip_allowed=True)
    host.later(60.0)
    assert host.subscribed == 1 and not host.told and not host.probes and not host.alarms


def test_many_sidecars_do_not_ask_for_the_list_in_step(make_host):
    hosts = [make_host(seed=seed, sidecars=500) for seed in range(20)]
    for host in hosts:
        host.later(0.5)
    early = sum(host.subscribed for host in hosts)
    for host in hosts:
        host.later(7.5)
    assert early < 8 and all(host.subscribed == 1 for host in hosts)


def test_of_those_asked_the_one_with_least_to_do_gets_the_work(make_host):
    host = make_host(**ASKING)
    request = host.take(BUY)
    for held in (3.0, 1.0, 2.0):
        assert not host.of(request)
        host.runner.health_check_ended(
            host.probes[-1].endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": held}
        )
    assert [attempt.endpoint for attempt in host.of(request)] == [host.probes[1]]


def test_no_more_are_asked_once_one_is_free(make_host):
    host = make_host(**ASKING)
    request = host.take(BUY)
    host.runner.health_check_ended(host.probes[0].endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    assert host.of(request)[0].endpoint is host.probes[0] and len(host.probes) == 1


def test_upstreams_that_do_not_answer_when_asked_are_passed_over(make_host):
    host = make_host(**ASKING)
    request = host.take(BUY)
    host.runner.health_check_ended(host.probes[0].endpoint_id, AttemptOutcome.CONNECT_FAILED, 0.01, {})
    host.later(0.3)
    assert host.of(request) and host.of(request)[0].endpoint not in host.probes


def test_a_client_that_leaves_while_upstreams_are_asked_gets_no_answer(make_host):
    host = make_host(**ASKING)
    request = host.take(BUY)
    host.runner.client_disconnected(request)
    for u in host.probes:
        host.runner.health_check_ended(u.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    host.later(3.0)
    assert not host.sent and not host.ended


def test_an_impatient_client_is_answered_though_nobody_asked_has(make_host):
    host = make_host(**ASKING)
    request = host.take(BUY, patience=0.1)
    host.later(0.1)
    assert host.answers(request) == ["deferred"] and not host.sent


def test_what_has_just_said_that_it_is_free_is_not_asked_again(make_host):
    host = make_host(upstreams=1, **ASKING)
    first = host.take(BUY)
    host.runner.health_check_ended("u0", AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    host.end(host.of(first)[0])
    assert host.of(host.take(BUY)) and len(host.probes) == 1


def test_a_peers_warning_keeps_exclusive_work_away_for_a_while(make_host):
    host = make_host(sidecars=3, gossip_allowed=True)
    bad = host.runner.balancer.endpoints.by_id["u0"]
    host.hears(1, bad, 255)
    host.serve(30, took=0.02, category=BUY)
    assert bad not in {attempt.endpoint for attempt in host.sent}
    host.serve(30, took=0.02)
    assert bad in {attempt.endpoint for attempt in host.sent}
    host.later(5.0)
    host.serve(30, category=BUY)
    assert bad in {attempt.endpoint for attempt in host.sent[-30:]}


def test_a_failed_hand_off_is_told_to_peers_once(make_host):
    host = make_host(upstreams=1, sidecars=3, gossip_allowed=True)
    for _ in range(2):
        host.end(host.of(host.take())[0], AttemptOutcome.ERROR)
    assert sum(body[2] == 255 for body in host.told if body) == 1


def test_warnings_of_all_upstreams_leave_exclusive_work_somewhere_to_go(make_host):
    host = make_host(sidecars=3, gossip_allowed=True)
    host.take()
    for u in host.runner.balancer.endpoints.by_id.values():
        host.hears(1, u, 255)
    assert host.of(host.take(BUY))


def test_what_knowing_would_not_pay_for_is_not_asked(make_host):
    host = make_host(**(ASKING | {"health_check_price": 0.05}))
    cheap, dear = host.take(LOOK), host.take(BUY)
    assert host.of(cheap) and not host.of(dear) and len(host.probes) == 1


def test_peers_tell_where_it_costs_less_than_asking(make_host):
    prices = {
        "gossip_allowed": True,
        "health_checks_allowed": True,
        "health_check_price": 0.01,
        "gossip_price": 0.01,
    }
    few, many = make_host(sidecars=4, **prices), make_host(sidecars=400, **prices)
    few.take(), many.take()
    assert few.told and not few.probes and many.probes and not many.told


@pytest.mark.parametrize("body", [b"", b"\x01", b"\x01\x02", b"\x01\x02\x03\x04", bytes(255)])
def test_a_peers_message_cut_short_or_from_nobody_harms_nothing(make_host, body):
    host = make_host(sidecars=3, gossip_allowed=True)
    for peer in (-1, 1, 2, 99):
        host.runner.gossip_received(peer, body)
    assert host.of(host.take())


def test_a_silent_peers_counts_are_dropped(make_host):
    host = make_host(upstreams=1, sidecars=3, gossip_allowed=True)
    host.hears(1, host.runner.balancer.endpoints.by_id["u0"], 100)
    ahead = host.take()
    full = host.take()
    host.end(host.of(ahead)[0])
    host.later(2.0)
    host.take()
    assert host.answers(full) == ["deferred"] and host.of(host.take())


def test_a_count_stands_as_long_as_the_hand_off_can_be_out(make_host):
    slow = type(LOOK)("slow", LOOK.retry_safety, latency_objective=4.0, priority_weight=1.0, timeout=8.0)
    host = make_host(upstreams=1, request_classes=[LOOK, slow], sidecars=3, gossip_allowed=True)
    host.hears(1, host.runner.balancer.endpoints.by_id["u0"], 100)
    host.later(1.9)
    host.runner.gossip_received(2, bytes(3))
    host.take(slow)
    assert host.answers(host.take(slow)) == ["deferred"]


def test_word_of_an_upstream_no_longer_listed_harms_nothing(make_host):
    host = make_host(**ASKING)
    request = host.take(BUY)
    asked = list(host.probes)
    host.listed(WatchEvent.DELTA, *host.names, condition=EndpointState.GONE)
    for u in [*asked, asked[0]]:
        host.runner.health_check_ended(u.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 0.0})
    host.later(1.0)
    assert host.answers(request) == ["deferred"] and not host.sent


def test_an_answer_from_an_upstream_no_longer_listed_still_counts(host):
    request = host.take()
    host.listed(WatchEvent.DELTA, *host.names, condition=EndpointState.GONE)
    host.end(host.of(request)[0], report={"held": 3.0})
    assert host.answers(request) == ["finished"] and host.answers(host.take()) == ["deferred"]


def test_in_a_crowded_fleet_work_of_little_payoff_asks_too(make_host):
    host = make_host(**(ASKING | {"health_check_price": 0.03}))
    host.take(LOOK)
    assert not host.probes
    for _ in range(4):
        host.take(BUY)
        for u in host.probes[-3:]:
            host.runner.health_check_ended(u.endpoint_id, AttemptOutcome.SUCCESS, 0.01, {"held": 6.0})
    before = len(host.probes)
    host.take(LOOK)
    assert len(host.probes) == before + 1


@pytest.mark.parametrize("upstreams", [1, 400])
def test_a_list_of_any_length_is_used(make_host, upstreams):
    host = make_host(upstreams=upstreams, sidecars=100_000)
    host.serve(30)
    assert len(host.sent) == 30


def lose(host, attempt, after=2.5):
    host.later(after)
    host.end(attempt, AttemptOutcome.TIMED_OUT)


def test_an_upstream_that_a_peer_lost_a_hand_off_to_is_left_alone(make_host):
    host = make_host(**TELLING)
    host.later(2.0)
    u = host.runner.balancer.endpoints.by_id["u0"]
    host.hears(1, u, UNANSWERED)
    host.serve(12, took=0.01)
    assert u not in {attempt.endpoint for attempt in host.sent}


def test_a_peers_lost_hand_off_says_nothing_of_an_upstream_that_answers_others(make_host):
    host = make_host(**TELLING)
    host.later(2.0)
    u = host.runner.balancer.endpoints.by_id["u0"]
    host.hears(2, u, 2)
    host.hears(2, u, 1)  # one of them has been answered
    host.hears(1, u, UNANSWERED)
    assert u.probation_limit == float("inf")


def test_a_hand_off_that_ends_unanswered_is_told_to_peers(make_host):
    host = make_host(**TELLING)
    attempt = host.of(host.take())[0]
    lose(host, attempt)
    host.take()
    said = b"".join(host.told)
    assert attempt.endpoint.gossip_tag.to_bytes(2, "big") + bytes([UNANSWERED]) in [
        said[i : i + 3] for i in range(0, len(said), 3)
    ]


@pytest.mark.parametrize(("sidecars", "part"), [(1, 1 / 4), (64, 1 / 12)])
def test_where_half_of_a_fleet_is_gone_few_hand_offs_are_trials_of_it(make_host, sidecars, part):
    host = make_host(upstreams=40, sidecars=sidecars, gossip_allowed=True)
    host.serve(60, took=0.01)
    gone = set(list(host.runner.balancer.endpoints.by_id.values())[:20])
    refused = 0
    for i in range(400):
        request = host.take()
        host.later(0.04)
        while attempt := next((attempt for attempt in host.of(request) if attempt.pending), None):
            refused += attempt.endpoint in gone and i >= 100
            host.end(
                attempt, AttemptOutcome.CONNECT_FAILED if attempt.endpoint in gone else AttemptOutcome.SUCCESS
            )
    assert refused < 300 * part


def test_a_fleet_that_is_back_is_taken_up_again_at_once(make_host):
    host = make_host(upstreams=20)
    host.serve(60, took=0.01)
    for _ in range(40):
        request = host.take()
        while attempt := next((attempt for attempt in host.of(request) if attempt.pending), None):
            host.end(attempt, AttemptOutcome.CONNECT_FAILED)
    host.later(3.0)
    host.serve(100, took=0.01)
    assert len({attempt.endpoint for attempt in host.sent[-40:]}) > 12


def test_an_upstream_left_alone_for_silence_is_back_with_the_first_answer_a_peer_has_there(make_host):
    host = make_host(**TELLING)
    host.later(2.0)
    u = host.runner.balancer.endpoints.by_id["u0"]
    host.hears(1, u, 1)
    host.hears(2, u, UNANSWERED)
    assert u.probation_limit == 1
    host.hears(1, u, 0)
    host.serve(40, took=0.01, category=BUY)
    assert u in {attempt.endpoint for attempt in host.sent}


def test_an_upstream_set_aside_for_errors_is_not_back_for_a_peers_answer(make_host):
    host = make_host(**TELLING)
    u = host.runner.balancer.endpoints.by_id["u0"]
    host.serve(40, took=0.01)
    while u.probation_limit == float("inf"):
        for attempt in [host.of(host.take())[0] for _ in range(4)]:
            host.end(attempt, AttemptOutcome.ERROR if attempt.endpoint is u else AttemptOutcome.SUCCESS)
    host.hears(1, u, 1)
    host.hears(1, u, 0)
    assert u.probation_limit == 1


def test_a_count_that_falls_with_nothing_answered_is_not_taken_for_an_answer(make_host):
    host = make_host(**TELLING)
    host.later(2.0)
    u = host.runner.balancer.endpoints.by_id["u0"]
    tag = u.gossip_tag.to_bytes(2, "big")
    host.hears(1, u, 1)
    host.runner.gossip_received(1, tag + bytes([ENDED_BY_SENDER]) + tag + bytes([0]))
    host.hears(2, u, UNANSWERED)
    assert u.probation_limit == 1


def test_hand_offs_cancelled_in_good_health_say_so_to_peers(make_host):
    host = make_host(**TELLING, upstreams=2)
    host.serve(110, took=0.05)
    request = host.take()
    host.later(0.1)
    first, copy = host.of(request)
    host.end(copy)
    host.take()
    assert (
        first.endpoint.gossip_tag.to_bytes(2, "big") + bytes([ENDED_BY_SENDER])
        in host.told[-1] + host.told[-2]
    )


def test_where_new_connections_have_a_price_open_ones_are_used_first(make_host):
    used = {}
    for price in (0.0, 0.1):
        host = make_host(upstreams=12, cross_zone_price=0.01, connection_setup_price=price, idle_timeout=5.0)
        host.serve(200, took=0.05, category=BUY)
        used[price] = len({attempt.endpoint for attempt in host.sent[-100:]})
    assert used[0.0] == 12 and used[0.1] <= 3


def test_an_open_connection_to_a_busy_upstream_does_not_keep_work_from_others(make_host):
    host = make_host(upstreams=4, connection_setup_price=0.1, idle_timeout=5.0)
    host.serve(20, took=0.1, category=BUY)
    wis = [host.take(BUY) for _ in range(4)]
    assert len({host.of(request)[0].endpoint for request in wis}) > 2


def test_nothing_crosses_for_an_answer_that_would_come_no_sooner(make_host):
    host = make_host(upstreams=2)
    host.listed(WatchEvent.DELTA, "u2", "u3", zone="there")
    for _ in range(60):
        for attempt in [host.of(host.take(BUY))[0] for _ in range(4)]:
            host.later(0.05 if attempt.endpoint.entry.zone == "here" else 0.25)
            host.end(attempt)
    taken = [host.of(host.take(BUY))[0].endpoint.entry.zone for _ in range(4)]
    assert taken[:3] == ["here"] * 3


def test_a_short_line_is_no_reason_to_turn_away_what_has_time_for_it(make_host):
    host = make_host(upstreams=1)
    host.serve(60, took=0.17, category=BUY)
    host.take(BUY), host.take(BUY)
    assert host.of(host.take(BUY))


def test_nothing_waits_in_line_at_an_upstream_that_is_still_cold(make_host):
    host = make_host(upstreams=1)
    host.serve(40, took=0.12, category=BUY)
    host.listed(WatchEvent.DELTA, "u0", started=host.runner.now)
    sent = [len(host.of(host.take(BUY))) for _ in range(3)]
    assert sent == [1, 0, 0]


def test_what_the_process_before_left_unanswered_is_not_held_against_the_one_that_came_back(make_host):
    host = make_host(upstreams=1, **TELLING)
    host.serve(40, took=0.01)
    old = host.of(host.take(BUY))[0]
    host.later(0.8)
    u = old.endpoint
    assert not host.of(host.take(BUY))  # silent
    host.listed(WatchEvent.DELTA, "u0", started=host.runner.now)
    host.later(0.02)
    host.end(old, AttemptOutcome.TIMED_OUT)
    assert host.of(host.take(BUY)) and u.consecutive_failures == 0
    assert u.gossip_tag.to_bytes(2, "big") + bytes([UNANSWERED]) not in b"".join(host.told)


def test_words_about_an_upstream_not_yet_listed_are_no_reason_to_leave_it_alone(make_host):
    host = make_host(upstreams=2, **TELLING)
    later = make_host(upstreams=0, **TELLING)
    u = host.runner.balancer.endpoints.by_id["u1"]
    later.hears(1, u, UNANSWERED)
    later.hears(1, u, 255)
    later.hears(2, u, 1)
    later.listed(WatchEvent.SNAPSHOT, "u1")
    assert later.of(later.take(BUY))


def tell_of(host, times):
    """Peers tell of work at each upstream, one after another; each takes as long as it says."""
    balancer = host.runner.balancer
    ends = []
    for round in range(100):
        at = round * 0.05
        for name, time in times.items():
            if round * 0.05 % time < 0.05:
                ends.append((at, name, 1))
                ends.append((at + time * 0.99, name, 0))
    begin = host.runner.now
    for at, name, n in sorted(ends):
        host.later(max(0.0, begin + at - host.runner.now))
        host.hears(1, balancer.endpoints.by_id[name], n)


def test_a_slow_upstream_is_known_by_the_counts_that_peers_tell(make_host):
    host = make_host(upstreams=6, **TELLING)
    tell_of(host, {"u0": 0.5} | {f"u{i}": 0.1 for i in range(1, 6)})
    slow = host.runner.balancer.endpoints.by_id["u0"]
    assert host.runner.balancer.gossip.pace(slow) > 2
    sent = len(host.sent)
    for _ in range(60):
        host.end(host.of(host.take())[0])
    assert sum(attempt.endpoint is slow for attempt in host.sent[sent:]) < 6


# A pool of many sidecars, connections that carry many and cost, a list that comes unasked.

POOL = {
    "sidecars": 200,
    "must_watch_endpoints": False,
    "streams_per_connection": 100,
    "open_connection_price": 0.03,
}


def weighed(host, **sizes):
    """The list gives sizes anew, as it does when they move with load."""
    host.runner.endpoints_changed(
        WatchEvent.DELTA,
        [Endpoint(n, "here", 0, size, None, EndpointState.READY) for n, size in sizes.items()],
    )


def test_of_many_sidecars_each_uses_few_upstreams_and_all_are_used(make_host):
    users = dict.fromkeys([f"u{i}" for i in range(30)], 0)
    for number in range(60):
        host = make_host(upstreams=30, seed=number, sidecar_index=number, **POOL)
        host.serve(12)
        used = {attempt.endpoint.endpoint_id for attempt in host.sent}
        assert len(used) <= 2
        for name in used:
            users[name] += 1
    assert min(users.values()) >= 1 and max(users.values()) <= 12


def test_a_sidecar_whose_upstreams_are_dead_goes_on_with_the_next_of_its_order(make_host):
    host = make_host(upstreams=30, **POOL)
    host.serve(12)
    dead = {attempt.endpoint for attempt in host.sent}
    for _ in range(6):
        request = host.take()
        while (attempt := host.of(request)[-1]).endpoint in dead and attempt.pending:
            host.end(attempt, AttemptOutcome.CONNECT_FAILED)
        if attempt.pending:
            host.end(attempt)
    assert host.answers(request) == ["finished"] and host.of(request)[0].endpoint not in dead


def test_hundreds_of_sidecars_keep_the_part_of_a_cold_upstream_though_few_may_use_it(make_host):
    sent, cold = 0, "u3"
    for number in range(200):
        host = make_host(upstreams=30, seed=number, sidecar_index=number, **POOL)
        host.later(50.0)
        host.listed(WatchEvent.DELTA, cold, started=50.0)
        for _ in range(75):  # far more work than the upstream could do, at all of them in step
            for attempt in host.of(host.take()):
                host.end(attempt)
            host.later(0.1)
        sent += sum(attempt.endpoint.endpoint_id == cold for attempt in host.sent)
    could_do = 7.5 * (0.25 + 0.95) / 2 / 0.125  # while it warms
    assert 0 < sent <= 2.0 * could_do


def test_a_size_that_moves_with_load_is_told_apart_from_it(make_host):
    host = make_host(upstreams=2, weights_are_live=True, **POOL)
    weighed(host, u0=0.25, u1=1.0)
    balancer = host.runner.balancer
    full, free = balancer.endpoints.by_id["u0"], balancer.endpoints.by_id["u1"]
    assert (
        full.capacity_weight == free.capacity_weight == 1.0 and balancer.endpoints.relative_cost(full) == 1.0
    )
    assert balancer.load.of(full) > balancer.load.of(free) and balancer.load.mean_elsewhere() > 1


def test_what_the_list_does_not_name_anew_has_not_changed(make_host):
    host = make_host(upstreams=8, weights_are_live=True, **POOL)
    for _ in range(10):
        host.later(0.5)
        weighed(host, u0=0.1)
    idle = host.runner.balancer.endpoints.by_id["u5"]
    assert host.runner.balancer.load.of(idle) < 2 and host.of(host.take())


def test_a_moving_weight_is_no_change_of_membership(make_host):
    host = make_host(upstreams=8, weights_are_live=True, **POOL)
    host.take()
    weighed(host, u0=0.5)
    assert not host.runner.balancer.endpoints.stale
    host.listed(WatchEvent.DELTA, "u0", condition=EndpointState.DRAINING)
    assert host.runner.balancer.endpoints.stale


@pytest.mark.parametrize("cores", [1, 3])
def test_how_many_an_upstream_does_at_a_time_is_learned_from_its_reports(make_host, cores):
    host = make_host(**ASKING)
    for i in range(400):
        held = i % (2 * cores + 1)
        host.runner.health_check_ended(
            "u0", AttemptOutcome.SUCCESS, 0.01, {"held": held, "busy": min(held, cores) / cores}
        )
    assert abs(host.runner.balancer.load.concurrency - cores) < 0.35


def test_an_upstream_that_tells_of_errors_is_set_aside_at_the_first(make_host):
    host = make_host(upstreams=2, **POOL)
    attempt = host.of(host.take())[0]
    host.end(attempt, AttemptOutcome.ERROR, {"failing": 4.0, "served": 9.0})
    assert not host.runner.balancer.outliers.admits(attempt.endpoint, attempt.request)
    other = make_host(upstreams=2, **POOL)
    attempt = other.of(other.take())[0]
    other.end(attempt, AttemptOutcome.ERROR, {"failing": 0.1, "served": 9.0})
    assert other.runner.balancer.outliers.admits(attempt.endpoint, attempt.request)


def test_late_answers_are_not_waited_for_where_they_are_worth_a_part(make_host):
    late = type(LOOK)("late", LOOK.retry_safety, 1.0, 1.0, 6.0, late_priority_weight=0.25)
    host = make_host(request_classes=[late])
    request = host.take(late, patience=6.0)
    host.later(1.0)
    assert host.answers(request) == ["deferred"]


def test_one_is_asked_and_where_it_is_full_another_is_drawn(make_host):
    host = make_host(upstreams=6, **(ASKING | POOL))
    request = host.take(BUY)
    host.runner.health_check_ended(host.probes[0].endpoint_id, AttemptOutcome.REJECTED, 0.01, {})
    assert len(host.probes) == 1 and host.of(request)[0].endpoint is not host.probes[0]


def test_few_answers_are_kept_however_old_and_not_lost_all_at_once():
    seen = Histogram(0.1, 1.5, 8, 400)
    for _ in range(40):
        seen.add(0.3)
    assert 16 <= seen.aged(1000.0, 1.0, keep=32).total <= 32


def test_an_unfinished_hand_off_tells_that_its_upstream_is_slow(make_host):
    host = make_host(upstreams=1)
    host.serve(8)
    u, before = host.sent[0].endpoint, host.runner.balancer.latency.slowness(host.sent[0].endpoint)
    host.take()
    host.later(0.9)
    host.end(host.sent[-1], AttemptOutcome.CANCELLED)
    assert host.runner.balancer.latency.slowness(u) > 1.5 * before
