"""One member of an emulated fleet: the program's replicator, and a host that decides by simple rules."""

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
SERVICE_TIME = 0.08  # of an endpoint, in the middle
SILENCE_TIMEOUT = 0.3  # after which a silent link ends, and an intent is too old for its attempt
DIAL_TIMEOUT = 0.3  # within which a dialled link comes up, or counts as failed
DEDUPLICATION_WINDOW = 2.0  # in which endpoints drop repeats of requests that are idempotent with a key
USED_WINDOW_FRACTION = 0.98  # of the window: so long a member relies on it
WRITE_DELAY = 0.0002  # from the release of an attempt to its write
CANCEL_DELAY = 0.001  # from the cancellation of an attempt to the next one
RETRY_AFTER = 0.05  # that a member gives with a rejection

MAX_ATTEMPTS = 3  # of one request
REPLICAS = 1  # per request, beside what a view demands
MEMORY_LIMIT = 1 << 30  # bytes recorded for other members
ZONES = ("north", "east", "south")


@dataclass(eq=False)
class Request:
    """One attempt of a client, at one member."""

    name: bytes
    retry_safety: str  # value of its `RetrySafety`
    deadline: float  # seconds
    is_retry: bool
    number: int  # of the requests of all clients
    member: EmulatedMember | None = None
    outcome: str = ""  # status of its response, or how it ended without one; empty: open


class EmulatedMember:
    """`RequestReplicator`, its host, and what happens to a process."""

    def __init__(self, world: World, name: str, number: int) -> None:
        """`number`: how many processes were started before; it makes the member's id and term."""
        self.world, self.name = world, name
        self.id = f"{name}.{number:06d}"
        zone = ZONES[int(name[1:]) % len(ZONES)]
        self.member = Member(self.id, name, "", zone, term=number)
        self.replicator: Any = world.replicator_type(
            self.id, TIMEOUT, REPLICAS, MEMORY_LIMIT, self, world.now
        )
        self.links: dict[str, Link] = {}
        self.alive, self.paused_until = True, 0.0
        self.postponed: list[Callable[[], None]] = []  # until the process is resumed
        self.failed_attempts: dict[ReplicatedRequest, int] = {}  # that have ended without a response
        self.renewed_at = world.now

    # What happens to a process.

    @property
    def is_paused(self) -> bool:
        """The process is stopped for now."""
        return self.world.now < self.paused_until

    def run(self, action: Callable[[], None]) -> None:
        """Run an action now, or once the process is resumed; never after its end."""
        if not self.alive:
            return
        if self.is_paused:
            self.postponed.append(action)
            return
        self.replicator.now = self.world.now
        action()

    def run_after(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action so many seconds later."""
        self.world.events.at(self.world.now + delay, lambda: self.run(action))

    def resume(self) -> None:
        """The process goes on after a pause."""
        if self.is_paused:
            return
        postponed, self.postponed = self.postponed, []
        for action in postponed:
            self.run(action)

    # The host of the replicator.

    def send_frame(self, member: str, frame: Frame) -> bool:
        """Send a frame to a member. False: there is no link to it now."""
        link = self.links.get(member)
        if link is None or not link.open[self.id]:
            return False
        self.world.network.send(link, self, copy.deepcopy(frame))
        return True

    def dial(self, member: str) -> bool:
        """Open a link to a member of another shard."""
        until = self.world.now + DIAL_TIMEOUT
        delay = self.world.rng.uniform(0.0005, 0.004)
        self.run_after(delay, lambda: self.world.network.dial(self, member, until))
        return member in self.replicator.view

    def release_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Write the attempt of that intent; a pause may fall in between."""
        intended_at = request.intents[number].started_at
        self.run_after(WRITE_DELAY, lambda: self._write(request, number, intended_at))

    def _write(self, request: ReplicatedRequest, number: int, intended_at: float) -> None:
        if self.world.now > intended_at + SILENCE_TIMEOUT:
            # As the program does: a pause has fallen between the intent and the write.
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
        """Give a response to the client for which the request was dispatched."""
        client = request.dispatched_client
        if client is not None and not client.outcome:
            self.world.respond(client, response)
        request.waiting_clients.pop(client, None)

    def cancel_intent(self, request: ReplicatedRequest, number: int) -> None:
        """The attempt of that intent must never be written."""
        self.run_after(CANCEL_DELAY, lambda: self._retry(request))

    def _retry(self, request: ReplicatedRequest) -> None:
        """Start another attempt, or reject the request."""
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
        """Dispatch a request with its history."""
        if self._may_attempt(request):
            self._start_attempt(request)
            return
        response = self.replicator.finish_request(request, RecordedResponse(504))
        if response is not None:
            self._respond(request, response)

    def _may_attempt(self, request: ReplicatedRequest) -> bool:
        """The rules of the program's decisions on retries and timeouts."""
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
        """Give the final response to a client that waits here."""
        if not client.outcome:
            self.world.respond(client, response)

    def log_event(self, event: str, **fields: object) -> None:
        """Count a line of the log."""
        self.world.log_event(self, event, fields)

    # Clients.

    def receive(self, request: Request) -> None:
        """A client's request arrives."""
        request.member = self
        frame = ReplicateFrame(
            request.name,
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
