"""A host of the decisions that records what they ask for, and settings that several tests share."""

import random

from starlingwheel.decisions.config import BalancerConfig, RequestClass, RetrySafety, Tenant
from starlingwheel.decisions.events import AttemptEnded, WatchEvent
from starlingwheel.decisions.model import AttemptOutcome, Endpoint, EndpointState, Request
from starlingwheel.decisions.scheduler import DecisionScheduler

LOOK = RequestClass("look", RetrySafety.IDEMPOTENT, latency_objective=1.0, priority_weight=1.0, timeout=3.0)
BUY = RequestClass("buy", RetrySafety.NON_IDEMPOTENT, latency_objective=1.0, priority_weight=8.0, timeout=3.0)
MOVE = RequestClass(
    "move",
    RetrySafety.IDEMPOTENT_WITH_KEY,
    latency_objective=1.0,
    priority_weight=8.0,
    timeout=3.0,
    deduplication_window=2.0,
)


class FakeHost:
    """Writes down what the decisions ask for; the story says what comes back, and when."""

    def __init__(self, upstreams=4, seed=1, **changed):
        agreed = {
            "request_classes": [LOOK, BUY, MOVE],
            "zone": "here",
            "sidecars": 1,
            "must_watch_endpoints": True,
            "endpoint_list_max_age": 8.0,
            "slow_start_initial_fraction": 0.25,
            "slow_start_duration": 8.0,
            "overload_factor": 2.0,
            "overload_window": 2.0,
            "max_attempts": 3,
            "cross_zone_price": 0.0,
            "max_retry_after": 2.0,
            "tenants": [Tenant("inn", 0.5), Tenant("pub", 0.5)],
        }
        self.sent, self.ended, self.cancelled, self.told, self.probes = [], [], [], [], []
        self.subscribed, self.alarms = 0, []
        self.runner = DecisionScheduler(BalancerConfig(**(agreed | changed)), random.Random(seed), self, 0.0)
        self.names = [f"u{i}" for i in range(upstreams)]
        self.listed(WatchEvent.SNAPSHOT, *self.names)
        self.runner.start()

    def listed(self, news, *names, condition=EndpointState.READY, started=None, zone="here", cell=0):
        entries = [Endpoint(name, zone, cell, 1.0, started, condition) for name in names]
        self.runner.endpoints_changed(news, entries)

    def take(self, category=LOOK, patience=2.0, **more):
        request = Request(category, self.runner.now, patience, **more)
        self.runner.accept_request(request)
        return request

    def later(self, seconds):
        until = self.runner.now + seconds
        while due := [at for at in self.alarms if at <= until]:
            self.alarms.remove(min(due))
            self.runner.set_time(max(self.runner.now, min(due)))
            self.runner.tick()
        self.runner.set_time(until)

    def end(self, attempt, fate=AttemptOutcome.SUCCESS, report=None):
        answered = fate is AttemptOutcome.SUCCESS or any(
            request is attempt.request for _, request, _ in self.ended
        )
        if fate is AttemptOutcome.SUCCESS:
            self.ended.append(("finished", attempt.request, 0.0))
        self.runner.attempt_ended(
            AttemptEnded(attempt, fate, self.runner.now - attempt.started_at, answered, report or {})
        )
        for other in [other for other in self.cancelled if other.pending]:
            self.end(other, AttemptOutcome.CANCELLED)

    def hears(self, peer, u, count):
        self.runner.gossip_received(peer, u.gossip_tag.to_bytes(2, "big") + bytes([count]))

    def of(self, request):
        return [attempt for attempt in self.sent if attempt.request is request]

    def answers(self, request):
        return [word for word, ended, _ in self.ended if ended is request]

    def serve(self, count, took=0.1, category=LOOK):
        """So many work items, one after another, each answered in `took`."""
        for _ in range(count):
            attempt = self.of(self.take(category))[0]
            self.later(took)
            self.end(attempt)

    # The door.

    def start_attempt(self, attempt, limit):
        self.sent.append(attempt)

    def cancel_attempt(self, attempt):
        self.cancelled.append(attempt)

    def reject_request(self, request, retry_after):
        self.ended.append(("deferred", request, retry_after))

    def fail_request(self, request):
        self.ended.append(("written off", request, 0.0))

    def watch_endpoints(self):
        self.subscribed += 1

    def start_health_check(self, upstream):
        self.probes.append(upstream)

    def send_gossip(self, body):
        self.told.append(body)

    def report_defect(self, request, error):
        raise error

    def set_alarm(self, at):
        self.alarms.append(at)


GOSSIP_SETTINGS = {"sidecars": 3, "gossip_allowed": True}
POLLING_SETTINGS = {"health_checks_allowed": True, "health_check_price": 0.001}
POLLING_SETTINGS_OF_A_LARGE_FLEET = {
    "sidecars": 400,
    "health_checks_allowed": True,
    "health_check_price": 0.01,
}
SUBSET_SETTINGS = {
    "sidecars": 200,
    "must_watch_endpoints": False,
    "streams_per_connection": 100,
    "open_connection_price": 0.03,
}
KEYS = [f"race/{i}" for i in range(400)]


def host_with_cells(make_host, cells=4, each=3, **changed):
    """A host with so many cells of endpoints in its own zone."""
    host = make_host(cells * each, key_affinity=True, **changed)
    for i, name in enumerate(host.names):
        host.listed(WatchEvent.DELTA, name, cell=i // each)
    return host


def cell_of(host, key):
    """The cell that a request with the key goes to; it is answered at once, so that there is no load."""
    attempt = host.of(host.take(key=key))[0]
    host.later(0.05)
    host.end(attempt)
    return attempt.endpoint.entry.cell
