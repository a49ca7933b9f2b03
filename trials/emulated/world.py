"""Simulates replication in a whole fleet in emulated time: the code of `fleet/` without sockets.

All members run in one process, fast enough for hundreds of seeds. Links are delayed, partitioned and closed;
members crash, restart and pause; leases expire at a coordination store that is always consistent but may be
unreachable. Endpoints count runs, and clients retry. The simulation covers the decisions of `fleet/` but not
the program's sockets, which the trials with real processes cover.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from starlingwheel.decisions.config import RetrySafety
from starlingwheel.fleet.frames import RecordedResponse
from starlingwheel.fleet.replication.replicator import RequestReplicator
from starlingwheel.fleet.replication.request import ReplicatedRequest

from .events import EventQueue
from .faults import FaultInjector, FaultRates
from .member import DEDUPLICATION_WINDOW, TIMEOUT, EmulatedMember, Request
from .network import HEARTBEAT_INTERVAL, Network
from .store import POLL_INTERVAL, CoordinationStore

# The requests of a simulation have these in turn.
RETRY_SAFETIES = (
    RetrySafety.NON_IDEMPOTENT.value,
    RetrySafety.IDEMPOTENT_WITH_KEY.value,
    RetrySafety.IDEMPOTENT.value,
)
START_TIME = 1.0  # seconds until the first request
CLIENT_RETRY_DELAY = 0.02  # seconds, at least
DEFAULT_DUPLICATE_FRACTION = 0.05  # of the requests; two clients send these
SUCCESS, REJECTED = 200, 503  # status codes
REPLICATOR_COUNTS = ("given_up", "stood_in", "uncovered", "waited_out", "not_sure", "superseded", "held")


class Run(NamedTuple):
    """One execution of a request at an endpoint."""

    at: float  # seconds
    member: str
    epoch: int


class ClientResponse(NamedTuple):
    """A response that a client received."""

    at: float  # seconds
    status: int
    request_number: int


class World:
    """A simulated fleet with its links, coordination store, endpoints and clients, all driven by one seed."""

    def __init__(
        self,
        seed: int,
        member_count: int = 8,
        replicator_type: Callable[..., Any] = RequestReplicator,
        traced_key: bytes | None = None,
        shard_count: int = 1,
    ) -> None:
        """Start the members; the events of the request with `traced_key` are printed."""
        self.rng = random.Random(seed)
        self.replicator_type, self.traced_key = replicator_type, traced_key
        self.events = EventQueue()
        self.network = Network(self)
        self.store = CoordinationStore(self, shard_count)
        self.faults = FaultInjector(self)
        self.members: dict[str, EmulatedMember] = {}
        self.runs: dict[bytes, list[Run]] = defaultdict(list)
        self.retry_safeties: dict[bytes, str] = {}
        self.holders: dict[bytes, set[str]] = {}  # by key: members that knew of a run
        # The guarantee does not cover requests that ran again after all their holders were lost, or that ran
        # without a replica; both are counted separately.
        self.all_holders_lost: set[bytes] = set()
        self.ran_unreplicated: set[bytes] = set()
        self.responses: dict[bytes, list[ClientResponse]] = defaultdict(list)
        self.requests: list[Request] = []
        self.open_requests: set[int] = set()  # numbers of requests without an outcome
        self.answered_twice: list[Request] = []
        self.log_counts: Counter[str] = Counter()
        self._terms = 0
        for number in range(member_count):
            self.start(f"n{number}")
        self.events.schedule_every(POLL_INTERVAL, self.store.step)
        self.events.schedule_every(HEARTBEAT_INTERVAL / 2, self.network.maintain_links)

    @property
    def now(self) -> float:
        """The emulated time in seconds."""
        return self.events.now

    def run_until(self, when: float) -> None:
        """Run all events up to the time `when`, in seconds."""
        self.events.run_until(when)

    # Tracing.

    def is_traced(self, key: bytes | None) -> bool:
        """Return whether the events of the request with this key are printed."""
        return self.traced_key is not None and self.traced_key == key

    def print_trace(self, text: str) -> None:
        """Print the text of an event with the emulated time."""
        print(f"{self.now:.4f} {text}")

    def log_event(self, member: EmulatedMember, event: str, fields: dict[str, object]) -> None:
        """Count a member's log event, and print it if its fields contain the traced key."""
        self.log_counts[event] += 1
        if self.traced_key is not None and str(self.traced_key) in str(fields):
            self.print_trace(f"{member.id} {event} {fields}")

    # Processes.

    def next_term(self) -> int:
        """Return a new number, for each start of a process and each new entry in the store."""
        self._terms += 1
        return self._terms

    def start(self, name: str) -> None:
        """Start a process of the member `name`, with a lease."""
        member = EmulatedMember(self, name, self.next_term())
        self.members[member.id] = member
        self.store.grant_lease(member)

    def live_members(self) -> list[EmulatedMember]:
        """Return the members whose processes are running or paused."""
        return [member for member in self.members.values() if member.alive]

    def crash(self, member: EmulatedMember, restart_after: float) -> None:
        """End a member's process, and start another one of the same name after `restart_after` seconds."""
        member.alive = False
        for link in list(member.links.values()):
            self.network.close(link, member)
        for request in self.requests:
            if request.member is member and not request.outcome and request.number in self.open_requests:
                self._retry(request, "reset")
        self.events.schedule(self.now + restart_after, lambda: self.start(member.name))
        self.events.schedule(self.now + self.rng.uniform(0.02, 0.08), lambda: self.store.evict(member.id))
        del self.members[member.id]

    # Endpoints and clients.

    def record_run(self, member: EmulatedMember, request: ReplicatedRequest, number: int, epoch: int) -> None:
        """Record that an endpoint runs an attempt, and which members know of it."""
        key = request.key
        self.runs[key].append(Run(self.now, member.id, epoch))
        known = self.holders.get(key)
        if known is not None and not any(holder in self.store.leases for holder in known):
            self.all_holders_lost.add(key)
        # A new coordinator does not ask an owner in another shard, so such an owner counts as no holder.
        view = member.replicator.view
        is_outside_shard = (
            view.shard_count > 1
            and request.replicas
            and view.shard_of_key(key) != view.shard_of_member(member.id)
        )
        self.holders[key] = {*request.replicas, *(known or ()), *(() if is_outside_shard else (member.id,))}
        if not request.replicas and len(view.members) != 1:
            self.ran_unreplicated.add(key)
        if self.is_traced(key):
            self.print_trace(f"{member.id} runs attempt {number} of epoch {epoch}")

    def send_request(self, key: bytes, retry_safety: str, deadline: float, is_retry: bool = False) -> None:
        """Send a client's request to a random member, with a deadline as a time in seconds."""
        alive = self.live_members()
        if not alive:
            return
        in_view = [member for member in alive if member.id in member.replicator.view]
        member = self.rng.choice(in_view or alive)
        self.retry_safeties[key] = retry_safety
        request = Request(key, retry_safety, deadline, is_retry, len(self.requests))
        self.requests.append(request)
        self.open_requests.add(request.number)
        request.member = member
        if self.is_traced(key):
            self.print_trace(f"client sends to {member.id}, is_retry={is_retry}")
        member.run(lambda: member.receive(request))
        self.events.schedule(deadline, lambda: self._time_out(request))

    def _time_out(self, request: Request) -> None:
        if not request.outcome:
            request.outcome = "late"
            self.open_requests.discard(request.number)

    def respond(self, request: Request, response: RecordedResponse) -> None:
        """Give a response to a client, which retries after a rejection."""
        if request.outcome:
            if request.outcome.isdigit():
                self.answered_twice.append(request)
            return
        request.outcome = str(response.status)
        self.open_requests.discard(request.number)
        if self.is_traced(request.key):
            self.print_trace(f"response {response.status} to request {request.number}")
        self.responses[request.key].append(ClientResponse(self.now, response.status, request.number))
        if response.status == REJECTED:
            self._retry(request, "503", max(response.retry_after, CLIENT_RETRY_DELAY))

    def _retry(self, request: Request, outcome: str, delay: float = CLIENT_RETRY_DELAY) -> None:
        """Send a client's request again, if there is time left before its deadline."""
        request.outcome = request.outcome or outcome
        self.open_requests.discard(request.number)
        if self.now + delay < request.deadline - CLIENT_RETRY_DELAY:
            self.events.schedule(
                self.now + delay,
                lambda: self.send_request(request.key, request.retry_safety, request.deadline, is_retry=True),
            )

    # Simulation.

    def simulate(
        self,
        seconds: float,
        rate: float,
        faults: FaultRates,
        duplicate_fraction: float = DEFAULT_DUPLICATE_FRACTION,
        reshard_to: Iterable[int] = (),
    ) -> None:
        """Send `rate` requests a second for `seconds`, with faults, and then let all open requests end.

        Another client sends the part `duplicate_fraction` of the requests too. The shard count changes to
        each number in `reshard_to`, at a random time in successive equal parts of the time.
        """
        start = self.now + START_TIME
        self.run_until(start)
        for number in range(int(rate * seconds)):
            self._schedule_request(number, start + number / rate, duplicate_fraction)
        self.faults.schedule(faults, start, seconds)
        reshard_to = list(reshard_to)
        for number, shard_count in enumerate(reshard_to):
            at = start + (number + self.rng.random()) * seconds / len(reshard_to)
            self._schedule_resharding(at, shard_count)
        self.run_until(start + seconds + 2 * TIMEOUT)

    def _schedule_request(self, number: int, at: float, duplicate_fraction: float) -> None:
        key, retry_safety = f"w{number}".encode(), RETRY_SAFETIES[number % len(RETRY_SAFETIES)]

        def send() -> None:
            self.send_request(key, retry_safety, at + TIMEOUT)

        self.events.schedule(at, send)
        if self.rng.random() < duplicate_fraction:
            # Another client sends a request with the same key, at the same time or later.
            self.events.schedule(at + self.rng.choice((0.0, self.rng.uniform(0, TIMEOUT / 2))), send)

    def _schedule_resharding(self, at: float, shard_count: int) -> None:
        self.events.schedule(at, lambda: self.store.set_shard_count(shard_count))

    # Results.

    def violations(self) -> list[str]:
        """Return the violated guarantees, judged by what endpoints and clients observed."""
        violations = [f"{r.key!r}: request {r.number} got two responses" for r in self.answered_twice]
        for key, runs in self.runs.items():
            retry_safety = self.retry_safeties[key]
            if key in self.ran_unreplicated or key in self.all_holders_lost:
                continue
            if retry_safety == RetrySafety.NON_IDEMPOTENT.value and len(runs) > 1:
                violations.append(f"{key!r}: not idempotent, but ran {len(runs)} times: {runs}")
            span = runs[-1].at - runs[0].at
            if (
                retry_safety == RetrySafety.IDEMPOTENT_WITH_KEY.value
                and runs[-1].at > runs[0].at + DEDUPLICATION_WINDOW
            ):
                violations.append(f"{key!r}: ran again after the deduplication window: {span:.3f} s")
        for key, responses in self.responses.items():
            if any(response.status == SUCCESS for response in responses) and key not in self.runs:
                violations.append(f"{key!r}: success without a run: {responses}")
        return violations

    def success_count(self, keys: Iterable[bytes]) -> int:
        """Return how many of the requests with these keys succeeded."""
        return sum(any(response.status == SUCCESS for response in self.responses[key]) for key in keys)

    def counts(self) -> dict[str, int]:
        """Return counts of outcomes, frames, log events and runs that the guarantee does not cover."""
        outcomes = Counter(request.outcome or "open" for request in self.requests)
        keys = list(self.retry_safeties)
        counts = {"work": len(keys), "finished": self.success_count(keys), **dict(sorted(outcomes.items()))}
        non_idempotent = RetrySafety.NON_IDEMPOTENT.value
        ran_twice = [
            key
            for key in self.ran_unreplicated
            if self.retry_safeties[key] == non_idempotent and len(self.runs[key]) > 1
        ]
        counts |= {"ran uncovered": len(self.ran_unreplicated), "of these exclusive, twice": len(ran_twice)}
        counts["all lost"] = len(self.all_holders_lost)
        counts["frames"] = sum(self.network.sent_frames.values())
        return counts | dict(sorted(self.log_counts.items()))

    def shard_counts(self) -> dict[str, int]:
        """Return the counts of links, frames and replicators that concern a fleet of several shards."""
        counts = {"links, most": self.network.max_links, "told": self.network.sent_frames["ViewSyncedFrame"]}
        replicators = [member.replicator for member in self.live_members()]
        for name in REPLICATOR_COUNTS:
            counts[name] = sum(replicator.counts[name] for replicator in replicators)
        return counts


@dataclass
class Outcome:
    """The counts of a simulation, and the guarantees that were violated."""

    seed: int
    counts: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


def simulate(
    seed: int,
    member_count: int = 8,
    seconds: float = 6.0,
    rate: float = 150.0,
    faults: FaultRates | None = None,
    replicator_type: Callable[..., Any] = RequestReplicator,
    traced_key: bytes | None = None,
    duplicate_fraction: float = DEFAULT_DUPLICATE_FRACTION,
    shard_count: int = 1,
    reshard_to: Iterable[int] = (),
) -> Outcome:
    """Simulate one seed; `replicator_type` may be a broken variant that the checks must detect."""
    world = World(seed, member_count, replicator_type, traced_key, shard_count)
    world.simulate(seconds, rate, faults or FaultRates(), duplicate_fraction, reshard_to)
    counts = world.counts()
    if shard_count > 1 or reshard_to:
        counts |= world.shard_counts()
    return Outcome(seed, counts, world.violations())
