"""The replication of a whole fleet in emulated time: the code of `fleet/`, no sockets, hundreds of seeds.

Members are stepped in one process. Links delay, cut and end; members crash, restart and pause; leases run out
at a coordination store that is never wrong but may be unreachable. Endpoints count runs, clients retry. This
plays the code's own decisions, not the program's sockets: for those see the trials of real processes.
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

# By turns, of the requests of a play.
SAFETIES = (
    RetrySafety.NON_IDEMPOTENT.value,
    RetrySafety.IDEMPOTENT_WITH_KEY.value,
    RetrySafety.IDEMPOTENT.value,
)
START_TIME = 1.0  # seconds before the first request
CLIENT_RETRY_DELAY = 0.02  # seconds
DEFAULT_DUPLICATE_FRACTION = 0.05  # part of the requests that two clients send
SUCCESS, REJECTED = 200, 503  # statuses
REPLICATOR_COUNTS = ("given_up", "stood_in", "uncovered", "waited_out", "not_sure", "superseded", "held")


class Run(NamedTuple):
    """A request that was sent to an endpoint."""

    at: float  # seconds
    member: str
    epoch: int


class ClientResponse(NamedTuple):
    """A response that a client got."""

    at: float  # seconds
    status: int
    request_number: int


class World:
    """A fleet, its links, its coordination store, endpoints and clients, from one seed."""

    def __init__(
        self,
        seed: int,
        member_count: int = 8,
        replicator_type: Callable[..., Any] = RequestReplicator,
        traced_key: bytes | None = None,
        shard_count: int = 1,
    ) -> None:
        """`traced_key`: of a request whose events are printed."""
        self.rng = random.Random(seed)
        self.replicator_type, self.traced_key = replicator_type, traced_key
        self.events = EventQueue()
        self.network = Network(self)
        self.store = CoordinationStore(self, shard_count)
        self.faults = FaultInjector(self)
        self.members: dict[str, EmulatedMember] = {}
        self.runs: dict[bytes, list[Run]] = defaultdict(list)
        self.retry_safeties: dict[bytes, str] = {}
        self.holders: dict[bytes, set[str]] = {}  # members that knew of a key's runs
        self.all_lost: set[bytes] = set()  # ran again once all of those were lost: outside the promise
        self.unreplicated: set[bytes] = set()  # ran with no replica: counted apart, as the promise says
        self.responses: dict[bytes, list[ClientResponse]] = defaultdict(list)
        self.requests: list[Request] = []
        self.open_requests: set[int] = set()  # numbers of requests without a response
        self.answered_twice: list[Request] = []
        self.log_counts: Counter[str] = Counter()
        self._terms = 0
        for number in range(member_count):
            self.start(f"n{number}")
        self.events.every(POLL_INTERVAL, self.store.step)
        self.events.every(HEARTBEAT_INTERVAL / 2, self.network.watch)

    @property
    def now(self) -> float:
        """Emulated time, seconds."""
        return self.events.now

    def run_until(self, when: float) -> None:
        """Run until that time, seconds."""
        self.events.run_until(when)

    # Tracing.

    def is_traced(self, key: bytes | None) -> bool:
        """Events of the request of that key are printed."""
        return self.traced_key is not None and self.traced_key == key

    def print_trace(self, text: str) -> None:
        """Print an event with the time."""
        print(f"{self.now:.4f} {text}")

    def log_event(self, member: EmulatedMember, event: str, fields: dict[str, object]) -> None:
        """A member writes a line to its log."""
        self.log_counts[event] += 1
        if self.traced_key is not None and str(self.traced_key) in str(fields):
            self.print_trace(f"{member.id} {event} {fields}")

    # Processes.

    def next_term(self) -> int:
        """A number that is new with each start and each entry."""
        self._terms += 1
        return self._terms

    def start(self, name: str) -> None:
        """Start a member's process."""
        member = EmulatedMember(self, name, self.next_term())
        self.members[member.id] = member
        self.store.enter(member)

    def live_members(self) -> list[EmulatedMember]:
        """The members whose processes run or are paused."""
        return [member for member in self.members.values() if member.alive]

    def crash(self, member: EmulatedMember, restart_after: float) -> None:
        """A process ends; another one of that name starts so many seconds later."""
        member.alive = False
        for link in list(member.links.values()):
            self.network.close(link, member)
        for request in self.requests:
            if request.member is member and not request.outcome and request.number in self.open_requests:
                self._retry(request, "reset")
        self.events.at(self.now + restart_after, lambda: self.start(member.name))
        self.events.at(self.now + self.rng.uniform(0.02, 0.08), lambda: self.store.evict(member.id))
        del self.members[member.id]

    # Endpoints and clients.

    def record_run(self, member: EmulatedMember, request: ReplicatedRequest, number: int, epoch: int) -> None:
        """A request runs at an endpoint."""
        key = request.key
        self.runs[key].append(Run(self.now, member.id, epoch))
        known = self.holders.get(key)
        if known is not None and not any(holder in self.store.leases for holder in known):
            self.all_lost.add(key)
        # A new coordinator does not ask an owner of another shard: what the replicas know counts.
        view = member.replicator.view
        outside = (
            view.shard_count > 1
            and request.replicas
            and view.shard_of_key(key) != view.shard_of_member(member.id)
        )
        self.holders[key] = {*request.replicas, *(known or ()), *(() if outside else (member.id,))}
        if not request.replicas and len(view.members) != 1:
            self.unreplicated.add(key)
        if self.is_traced(key):
            self.print_trace(f"{member.id} RUNS {number} of epoch {epoch}")

    def send_request(self, name: bytes, retry_safety: str, deadline: float, is_retry: bool = False) -> None:
        """A client sends a request to some member, to be answered by `deadline`, seconds."""
        alive = self.live_members()
        if not alive:
            return
        in_view = [member for member in alive if member.id in member.replicator.view]
        member = self.rng.choice(in_view or alive)
        self.retry_safeties[name] = retry_safety
        request = Request(name, retry_safety, deadline, is_retry, len(self.requests))
        self.requests.append(request)
        self.open_requests.add(request.number)
        request.member = member
        if self.is_traced(name):
            self.print_trace(f"client asks {member.id}, repeat {is_retry}")
        member.run(lambda: member.receive(request))
        self.events.at(deadline, lambda: self._time_out(request))

    def _time_out(self, request: Request) -> None:
        if not request.outcome:
            request.outcome = "late"
            self.open_requests.discard(request.number)

    def respond(self, request: Request, response: RecordedResponse) -> None:
        """A client gets a response."""
        if request.outcome:
            if request.outcome.isdigit():
                self.answered_twice.append(request)
            return
        request.outcome = str(response.status)
        self.open_requests.discard(request.number)
        if self.is_traced(request.name):
            self.print_trace(f"answer {response.status} for try {request.number}")
        self.responses[request.name].append(ClientResponse(self.now, response.status, request.number))
        if response.status == REJECTED:
            self._retry(request, "503", max(response.retry_after, CLIENT_RETRY_DELAY))

    def _retry(self, request: Request, end: str, delay: float = CLIENT_RETRY_DELAY) -> None:
        """A client sends its request again, if there is time left."""
        request.outcome = request.outcome or end
        self.open_requests.discard(request.number)
        if self.now + delay < request.deadline - CLIENT_RETRY_DELAY:
            self.events.at(
                self.now + delay,
                lambda: self.send_request(
                    request.name, request.retry_safety, request.deadline, is_retry=True
                ),
            )

    # Playing.

    def simulate(
        self,
        seconds: float,
        rate: float,
        faults: FaultRates,
        duplicate_fraction: float = DEFAULT_DUPLICATE_FRACTION,
        reshard_to: Iterable[int] = (),
    ) -> None:
        """So many requests a second for so long, with faults; then what is open comes to its end.

        `duplicate_fraction`: part of the requests that another client sends too. `reshard_to`: into how many
        shards the fleet is divided, one after another, in equal parts of that time.
        """
        start = self.now + START_TIME
        self.run_until(start)
        for number in range(int(rate * seconds)):
            self._schedule_request(number, start + number / rate, duplicate_fraction)
        self.faults.schedule(faults, start, seconds)
        reshard_to = list(reshard_to)
        for number, shard_count in enumerate(reshard_to):
            at = start + (number + self.rng.random()) * seconds / len(reshard_to)
            self._schedule_division(at, shard_count)
        self.run_until(start + seconds + 2 * TIMEOUT)

    def _schedule_request(self, number: int, at: float, duplicate_fraction: float) -> None:
        name, retry_safety = f"w{number}".encode(), SAFETIES[number % len(SAFETIES)]

        def send() -> None:
            self.send_request(name, retry_safety, at + TIMEOUT)

        self.events.at(at, send)
        if self.rng.random() < duplicate_fraction:
            # Another client with that key, at the same moment or later.
            self.events.at(at + self.rng.choice((0.0, self.rng.uniform(0, TIMEOUT / 2))), send)

    def _schedule_division(self, at: float, shard_count: int) -> None:
        self.events.at(at, lambda: self.store.divide(shard_count))

    # Verdicts.

    def violations(self) -> list[str]:
        """Promises that were not kept, from what endpoints and clients saw."""
        violations = [f"answered twice: {r.name!r} try {r.number}" for r in self.answered_twice]
        for name, runs in self.runs.items():
            retry_safety = self.retry_safeties[name]
            if name in self.unreplicated or name in self.all_lost:
                continue
            if retry_safety == RetrySafety.NON_IDEMPOTENT.value and len(runs) > 1:
                violations.append(f"once: {name!r} ran {len(runs)} times: {runs}")
            span = runs[-1].at - runs[0].at
            if (
                retry_safety == RetrySafety.IDEMPOTENT_WITH_KEY.value
                and runs[-1].at > runs[0].at + DEDUPLICATION_WINDOW
            ):
                violations.append(f"ticketed: {name!r} ran again after {span:.3f} s")
        for name, responses in self.responses.items():
            if any(response.status == SUCCESS for response in responses) and name not in self.runs:
                violations.append(f"no such answer: {name!r}: {responses}")
        return violations

    def success_count(self, names: Iterable[bytes]) -> int:
        """How many of those requests were answered with success."""
        return sum(any(response.status == SUCCESS for response in self.responses[name]) for name in names)

    def counts(self) -> dict[str, int]:
        """What happened, by kind."""
        ends = Counter(request.outcome or "open" for request in self.requests)
        names = list(self.retry_safeties)
        counts = {"work": len(names), "finished": self.success_count(names), **dict(sorted(ends.items()))}
        exclusive = RetrySafety.NON_IDEMPOTENT.value
        twice = [
            n for n in self.unreplicated if self.retry_safeties[n] == exclusive and len(self.runs[n]) > 1
        ]
        counts |= {"ran uncovered": len(self.unreplicated), "of these exclusive, twice": len(twice)}
        counts["all lost"] = len(self.all_lost)
        counts["frames"] = sum(self.network.frames.values())
        return counts | dict(sorted(self.log_counts.items()))

    def shard_counts(self) -> dict[str, int]:
        """What happened in a fleet of several shards."""
        counts = {"links, most": self.network.max_links, "told": self.network.frames["ViewSyncedFrame"]}
        replicators = [member.replicator for member in self.live_members()]
        for name in REPLICATOR_COUNTS:
            counts[name] = sum(replicator.counts[name] for replicator in replicators)
        return counts


@dataclass
class Outcome:
    """What a play has counted, and the promises that it has broken."""

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
    """Play one seed; `replicator_type` may be a broken variant that the checks must catch."""
    world = World(seed, member_count, replicator_type, traced_key, shard_count)
    world.simulate(seconds, rate, faults or FaultRates(), duplicate_fraction, reshard_to)
    counts = world.counts()
    if shard_count > 1 or reshard_to:
        counts |= world.shard_counts()
    return Outcome(seed, counts, world.violations())
