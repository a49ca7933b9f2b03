"""A member of an emulated fleet: the real `RequestReplicator`, with a host that decides by simple rules."""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from starlingwheel.decisions.config import RetrySafety
from starlingwheel.fleet.frames import (
    AttemptIntent,
    Frame,
    RecordedRequest,
    RecordedResponse,
    ReplicateFrame,
)
from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.replication.request import NEVER_RELEASED, BeginResult, ReplicatedRequest

if TYPE_CHECKING:
    from .network import Link
    from .world import World

# Seconds of emulated time.
TIMEOUT = 2.0  # of a request
SERVICE_TIME = 0.08  # median, of an endpoint
SILENCE_TIMEOUT = 0.3  # after which a silent link is closed, and an intent is too old to send its attempt
DIAL_TIMEOUT = 0.3  # after which a dialled link that is not up counts as failed
DEDUPLICATION_WINDOW = 2.0  # in which endpoints drop duplicates of requests that are idempotent with a key
USED_WINDOW_FRACTION = 0.98  # part of the deduplication window that members rely on
WRITE_DELAY = 0.0002  # between the release of an attempt and its write
CANCEL_DELAY = 0.001  # between the cancellation of an attempt and the next attempt
RETRY_AFTER = 0.05  # of a rejection

MAX_ATTEMPTS = 3  # per request
REPLICA_COUNT = 1  # per request, besides those that a view requires
MEMORY_LIMIT = 1 << 30  # bytes recorded for other members
ZONES = ("north", "east", "south")


@dataclass(eq=False)
class Request:
    """A request that a client sends to one member. A retry is another `Request` with the same key."""

    key: bytes
    retry_safety: str  # a value of `RetrySafety`
    deadline: float  # seconds
    is_retry: bool
    number: int  # counted over all clients
    member: EmulatedMember | None = None
    outcome: str = ""  # the status of its response, or why it ended without one; empty: still open


class EmulatedMember:
    """A process of the fleet: a `RequestReplicator` and its host."""

    def __init__(self, world: World, name: str, number: int) -> None:
        """Start a process of the member `name`; `number`, unique among all starts, gives its id and term."""
        self.world, self.name = world, name
        self.id = f"{name}.{number:06d}"
        zone = ZONES[int(name[1:]) % len(ZONES)]
        self.member = Member(self.id, name, "", zone, term=number)
        self.replicator: Any = world.replicator_type(
            self.id, TIMEOUT, REPLICA_COUNT, MEMORY_LIMIT, self, world.now
        )
        self.links: dict[str, Link] = {}
        self.alive, self.paused_until = True, 0.0
        self.postponed: list[Callable[[], None]] = []  # actions that run when the process resumes
        self.failed_attempts: dict[
            ReplicatedRequest, int
        ] = {}  # attempts that ended without a response, by request
        self.renewed_at = world.now

    # The process.

    @property
    def is_paused(self) -> bool:
        """Whether the process is stopped now."""
        return self.world.now < self.paused_until

    def run(self, action: Callable[[], None]) -> None:
        """Run an action now, or when a paused process resumes; drop it if the process has ended."""
        if not self.alive:
            return
        if self.is_paused:
            self.postponed.append(action)
            return
        self.replicator.now = self.world.now
        action()

    def run_after(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after `delay` seconds."""
        self.world.events.schedule(self.world.now + delay, lambda: self.run(action))

    def resume(self) -> None:
        """Run the postponed actions, unless another pause has begun."""
        if self.is_paused:
            return
        postponed, self.postponed = self.postponed, []
        for action in postponed:
            self.run(action)

    # Methods of the replicator's host.

    def send_frame(self, member: str, frame: Frame) -> bool:
        """Send a frame to a member; return False if there is no link to it now."""
        link = self.links.get(member)
        if link is None or not link.open[self.id]:
            return False
        self.world.network.send(link, self, copy.deepcopy(frame))
        return True

    def dial(self, member: str) -> bool:
        """Start to open a link to a member of another shard; return whether the member is in the view."""
        until = self.world.now + DIAL_TIMEOUT
        delay = self.world.rng.uniform(0.0005, 0.004)
        self.run_after(delay, lambda: self.world.network.dial(self, member, until))
        return member in self.replicator.view

    def release_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Write the attempt of an intent after a delay, in which the process may be paused."""
        intended_at = request.intents[number].started_at
        self.run_after(WRITE_DELAY, lambda: self._write_attempt(request, number, intended_at))

    def _write_attempt(self, request: ReplicatedRequest, number: int, intended_at: float) -> None:
        if self.world.now > intended_at + SILENCE_TIMEOUT:
            # As in the program, an attempt is not sent if a pause fell between its intent and its write.
            self.replicator.attempt_not_run(request, number, NEVER_RELEASED)
            self._retry(request)
            return
        self.world.record_run(self, request, number, request.epoch)
        service_time = self.world.rng.lognormvariate(0, 0.4) * SERVICE_TIME
        self.run_after(service_time, lambda: self._finish(request))

    def _finish(self, request: ReplicatedRequest) -> None:
        response = self.replicator.finish_request(request, RecordedResponse(200, body=request.key))
        if response is not None:
            self._respond(request, response)

    def _respond(self, request: ReplicatedRequest, response: RecordedResponse) -> None:
        """Give a response to the client whose request was dispatched."""
        client = request.dispatched_client
        if client is not None and not client.outcome:
            self.world.respond(client, response)
        request.waiting_clients.pop(client, None)

    def cancel_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Retry the request without ever writing the attempt of this intent."""
        self.run_after(CANCEL_DELAY, lambda: self._retry(request))

    def _retry(self, request: ReplicatedRequest) -> None:
        """Start another attempt of a dispatched request if one is allowed, else reject the request."""
        if not request.is_dispatched:
            return
        self.failed_attempts[request] = self.failed_attempts.get(request, 0) + 1
        if self.failed_attempts[request] < MAX_ATTEMPTS and self._may_attempt(request):
            self._start_attempt(request)
            return
        self.failed_attempts.pop(request)
        client = request.dispatched_client
        until = request.waiting_clients.pop(client, 0.0)
        response = self.replicator.finish_request(request, RecordedResponse(503, RETRY_AFTER))
        if response is not None:
            if client is not None and not client.outcome:
                self.world.respond(client, response)
        elif client is not None:
            self.replicator.wait_on(request, client, until)

    def dispatch(self, request: ReplicatedRequest) -> None:
        """Start an attempt of a request if its recorded intents allow it, else fail it with status 504."""
        if self._may_attempt(request):
            self._start_attempt(request)
            return
        response = self.replicator.finish_request(request, RecordedResponse(504))
        if response is not None:
            self._respond(request, response)

    def _may_attempt(self, request: ReplicatedRequest) -> bool:
        """Return whether another attempt is allowed, by the program's rules on retries and timeouts."""
        now = self.world.now
        may_have_run = [intent for intent in request.intents if not intent.outcome]
        if now >= request.deadline:
            return False
        if not may_have_run:
            return True
        if request.retry_safety == RetrySafety.IDEMPOTENT_WITH_KEY.value:
            return now < may_have_run[0].started_at + DEDUPLICATION_WINDOW * USED_WINDOW_FRACTION
        return request.retry_safety != RetrySafety.NON_IDEMPOTENT.value

    def _start_attempt(self, request: ReplicatedRequest) -> None:
        intent = AttemptIntent("u1", "north", 0, self.world.now)
        number = self.replicator.add_intent(request, intent)
        self.replicator.record_intent(request, number)

    def respond(self, request: ReplicatedRequest, client: Request, response: RecordedResponse) -> None:
        """Give the final response to a client that waits at this member."""
        if not client.outcome:
            self.world.respond(client, response)

    def log_event(self, event: str, **fields: object) -> None:
        """Count a log event, and print it if its request is traced."""
        self.world.log_event(self, event, fields)

    # Clients.

    def receive(self, request: Request) -> None:
        """Handle a client's request that has arrived."""
        request.member = self
        frame = ReplicateFrame(
            request.key,
            self.id,
            0,
            False,
            b"",
            "c",
            request.retry_safety,
            self.world.now,
            request.deadline,
            request.is_retry,
            RecordedRequest(b"POST", b"/x", [], b"", b""),
            [],
        )
        result, replicated = self.replicator.begin(frame, request, request.deadline)
        if result is BeginResult.RUN:
            self.dispatch(replicated)
        elif result is BeginResult.RESPOND:
            self.world.respond(request, replicated.response)
