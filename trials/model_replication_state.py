"""A state of the model of one replicated request: the request, the members, and the possible events."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from starlingwheel.decisions.config import RetrySafety
from starlingwheel.fleet.frames import AttemptIntent, RecordedRequest, RecordedResponse, ReplicateFrame
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.fleet.replication.request import BeginResult, ReplicatedRequest

from .model_replication_events import LIMITED, LINK_EVENTS, SETTLES, Bounds, Event, EventKind
from .model_replication_host import Client, ModelHost, UnsentAttempt
from .model_replication_text import replicator_text

TIMEOUT = 100.0  # seconds, of the request; longer than any history
MEMORY_LIMIT = 1 << 20  # bytes recorded for other members
KEY = b"x"
LINK_END = "end"  # queued like a frame: the other side has closed the link


@dataclass
class Model:
    """A state of the model."""

    retry_safety: str  # of the request; a value of `RetrySafety`
    replicator_type: Callable[..., Any]
    replicators: dict[str, Any] = field(default_factory=dict)
    # Frames in transit, by sender and receiver.
    queues: dict[tuple[str, str], deque[Any]] = field(default_factory=dict)
    links: set[tuple[str, str]] = field(default_factory=set)
    unsent_attempts: list[UnsentAttempt] = field(default_factory=list)
    running_attempts: list[str] = field(default_factory=list)  # members whose attempts run at an endpoint
    runs: int = 0  # of the request at endpoints so far
    clients: list[Client] = field(default_factory=list)
    contacted: dict[int, str] = field(default_factory=dict)  # by a client's number: the member it sent to
    remaining: dict[str, int] = field(default_factory=dict)  # events left, by field in `LIMITED`
    views: list[MembershipView] = field(default_factory=list)  # in order, the current one last
    seen_view: dict[str, int] = field(default_factory=dict)  # by member: the index of its view
    dialling: set[tuple[str, str]] = field(default_factory=set)
    duplicate_at: str = ""  # the member that other clients send duplicates to
    crash_candidates: tuple[str, ...] = ()  # empty: all

    @property
    def view(self) -> MembershipView:
        """The current view."""
        return self.views[-1]

    def initialize(self, bounds: Bounds) -> Model:
        """Start all members, apply the initial events, and return the model."""
        members = [Member(name, name, "", name) for name in bounds.members]
        self.views = [MembershipView(members, bounds.shards)]
        self.duplicate_at = bounds.members[-1]
        self.crash_candidates = bounds.crash_candidates
        self.remaining = {name: getattr(bounds, name) for name in LIMITED}
        for name in bounds.members:
            host = ModelHost(self, name)
            self.replicators[name] = self.replicator_type(name, TIMEOUT, 1, MEMORY_LIMIT, host, 0.0)
            self.replicators[name].lease_until = TIMEOUT
            self.seen_view[name] = 0
        for one in bounds.members:
            for other in bounds.members:
                if one != other:
                    self.queues[one, other] = deque()
                    if bounds.all_linked or self._are_peers(one, other):
                        self.links.add((one, other))
        for name in bounds.members:
            self.replicators[name].view_changed(self.view, True)
        for one, other in sorted(self.links):
            self.replicators[one].link_up(other)
        for event in (SETTLES, *bounds.initial_events):
            self.apply(event)
        return self

    # Possible events.

    def events(self) -> Iterator[Event]:
        """Yield all events that may happen in this state."""
        for direction, queue in self.queues.items():
            if queue and direction[1] in self.replicators:
                yield Event(EventKind.FRAME_ARRIVES, *direction)
        for position in range(len(self.unsent_attempts)):
            yield Event(EventKind.ATTEMPT_SENT, position=position)
        for position in range(len(self.running_attempts)):
            yield Event(EventKind.ATTEMPT_ENDS, position=position)
        if not self.clients:
            yield Event(EventKind.CLIENT_SENDS, next(iter(self.replicators)))
            return
        yield from self._link_events()
        yield from self._member_events()
        yield from self._client_events()
        if self.remaining["shard_changes"]:
            yield Event(EventKind.SHARDS_CHANGE)

    def _link_events(self) -> Iterator[Event]:
        for one, other in sorted(self.dialling):
            if other not in self.replicators or self._may_link(one, other):
                yield Event(EventKind.DIAL_ENDS, one, other)
            if other in self.replicators and self.remaining["failed_dials"]:
                yield Event(EventKind.DIAL_FAILS, one, other)
        for one, other in sorted(self.queues):
            if one >= other or one not in self.replicators or other not in self.replicators:
                continue
            peers = self._are_peers(one, other)
            if (one, other) not in self.dialling and peers and self._may_link(one, other):
                yield Event(EventKind.LINK_UP, one, other)
            may_close = self.remaining["idle_closes"] and (one, other) in self.links and not peers
            if may_close and not self._is_needed(one, other):
                yield Event(EventKind.LINK_IDLE, one, other)

    def _member_events(self) -> Iterator[Event]:
        for name in self.replicators:
            if self.seen_view[name] < len(self.views) - 1:
                yield Event(EventKind.VIEW_CHANGES, name)
            may_crash = self.remaining["crashes"] and len(self.replicators) > 2
            if may_crash and name in (self.crash_candidates or self.replicators):
                yield Event(EventKind.CRASHES, name)
        if self.remaining["cuts"]:
            for one, other in sorted(self.links):
                if one < other:
                    yield Event(EventKind.LINK_CUT, one, other)

    def _client_events(self) -> Iterator[Event]:
        clients_lost = all(
            client.status or self.contacted[client.number] not in self.replicators for client in self.clients
        )
        if clients_lost and self.remaining["retries"] and self.clients[-1].status not in (200, 504):
            for name in self.replicators:
                yield Event(EventKind.CLIENT_SENDS, name)
        if self.remaining["duplicates"] and self.duplicate_at in self.replicators:
            yield Event(EventKind.DUPLICATE_SENT, self.duplicate_at)

    def _are_peers(self, one: str, other: str) -> bool:
        """Return whether both are in one shard in the view of either, so that they must have a link."""
        seen = {self.views[self.seen_view[name]] for name in (one, other) if name in self.seen_view}
        return any(view.shard_of_member(one) == view.shard_of_member(other) for view in seen or {self.view})

    def _may_link(self, one: str, other: str) -> bool:
        """Return whether a link may come up: no link or frame remains, and their views match."""
        directions = (one, other), (other, one)
        used = any(direction in self.links or self.queues[direction] for direction in directions)
        views = [self.views[self.seen_view[name]] for name in (one, other)]
        return (
            not used
            and views[0].shard_count == views[1].shard_count
            and other in views[0]
            and one in views[1]
        )

    def _is_needed(self, one: str, other: str) -> bool:
        """Return whether one side needs the link."""
        return self.replicators[one].needs_link(other) or self.replicators[other].needs_link(one)

    # Effects of events.

    def apply(self, event: Event) -> None:
        """Apply an event and its immediate consequences."""
        if event.kind in LINK_EVENTS:
            self._apply_link_event(event.kind, event.member, event.peer)
            return
        match event.kind:
            case EventKind.ATTEMPT_SENT:
                self._send_attempt(event.position)
            case EventKind.ATTEMPT_ENDS:
                self._end_attempt(event.position)
            case EventKind.CLIENT_SENDS:
                self._send_or_retry(event.member)
            case EventKind.DUPLICATE_SENT:
                self._send_duplicate(event.member)
            case EventKind.VIEW_CHANGES:
                self._change_view(event.member)
            case EventKind.SHARDS_CHANGE:
                self._change_shards()
            case EventKind.CRASHES:
                self._crash(event.member)
            case EventKind.SETTLES:
                self._settle()

    def _apply_link_event(self, kind: EventKind, one: str, other: str) -> None:
        match kind:
            case EventKind.FRAME_ARRIVES:
                self._deliver_frame(one, other)
            case EventKind.LINK_UP:
                self._link(one, other)
            case EventKind.LINK_CUT:
                self._cut_link(one, other)
            case EventKind.LINK_IDLE:
                self._close_idle_link(one, other)
            case EventKind.DIAL_ENDS:
                self._end_dial(one, other)
            case EventKind.DIAL_FAILS:
                self.remaining["failed_dials"] -= 1
                self._fail_link(one, other)

    def _settle(self) -> None:
        """Deliver all frames, and end all dials."""
        while self.dialling or any(self.queues.values()):
            for direction in sorted(self.dialling):
                self._end_dial(*direction)
            for direction in self.queues:
                if self.queues[direction]:
                    self._deliver_frame(*direction)

    def _deliver_frame(self, one: str, other: str) -> None:
        """Deliver the next frame from one member to another."""
        frame = self.queues[one, other].popleft()
        if frame == LINK_END:
            self._close(other, one)
        elif (other, one) in self.links:
            self.replicators[other].frame_received(one, frame)

    def _send_attempt(self, position: int) -> None:
        """Send a released attempt to an endpoint, unless its member is lost."""
        name = self.unsent_attempts.pop(position).member
        if name in self.replicators:
            self.runs += 1
            self.running_attempts.append(name)

    def _end_attempt(self, position: int) -> None:
        """Give an endpoint's response to the member that sent the attempt."""
        name = self.running_attempts.pop(position)
        if name in self.replicators:
            for request in list(self.replicators[name].requests.values()):
                self._answer(name, request, RecordedResponse(200))

    def _send_or_retry(self, name: str) -> None:
        """Send the request from a client to a member, as a retry unless it is the first."""
        is_retry = bool(self.clients)
        self.remaining["retries"] -= is_retry
        self._begin_request(name, is_retry)

    def _send_duplicate(self, name: str) -> None:
        """Send a request with the same key from another client."""
        self.remaining["duplicates"] -= 1
        self._begin_request(name, is_retry=False)

    def _change_view(self, name: str) -> None:
        """Give a member the next view."""
        self.seen_view[name] += 1
        self.replicators[name].view_changed(self.views[self.seen_view[name]], False)

    def _change_shards(self) -> None:
        """Change the shard count."""
        self.remaining["shard_changes"] -= 1
        self.views.append(MembershipView(self.view.members.values(), 1 if self.view.shard_count == 2 else 2))

    def _link(self, one: str, other: str) -> None:
        """Open a link on both sides."""
        self.links |= {(one, other), (other, one)}
        for name, peer in ((one, other), (other, one)):
            self.dialling.discard((name, peer))
            self.replicators[name].link_up(peer)

    def _end_dial(self, one: str, other: str) -> None:
        """Open a dialled link, or fail it if the other member is lost."""
        if other in self.replicators:
            self._link(one, other)
        else:
            self._fail_link(one, other)

    def _fail_link(self, one: str, other: str) -> None:
        """Report to a member that the link it dialled has failed."""
        self.dialling.discard((one, other))
        self.replicators[one].link_failed(other)

    def _close_idle_link(self, one: str, other: str) -> None:
        """Close one side of a link that neither needs; the other side is closed after its queued frames."""
        self.remaining["idle_closes"] -= 1
        self.queues[one, other].append(LINK_END)
        self._close(one, other)

    def _crash(self, name: str) -> None:
        """Remove a member, end its links, and add a view without it."""
        self.remaining["crashes"] -= 1
        del self.replicators[name]
        self.unsent_attempts = [attempt for attempt in self.unsent_attempts if attempt.member != name]
        for one, other in list(self.links):
            if one == name:
                self.links.discard((one, other))
                self.queues[one, other].append(LINK_END)
        self.dialling = {direction for direction in self.dialling if direction[0] != name}
        members = (member for member in self.view.members.values() if member.id in self.replicators)
        self.views.append(MembershipView(members, self.view.shard_count))
        self.seen_view = {member: self.seen_view[member] for member in self.replicators}

    def _cut_link(self, one: str, other: str) -> None:
        """Drop all frames in transit on a link; each side notices the silence by itself."""
        self.remaining["cuts"] -= 1
        for direction in ((one, other), (other, one)):
            self.queues[direction].clear()
            self.queues[direction].append(LINK_END)

    def _close(self, name: str, other: str) -> None:
        if (name, other) in self.links:
            self.links.discard((name, other))
            self.replicators[name].link_down(other)

    # Requests and responses.

    def _begin_request(self, name: str, is_retry: bool) -> None:
        client = Client(len(self.clients))
        self.clients.append(client)
        self.contacted[client.number] = name
        content = RecordedRequest(b"", b"", [], b"", b"")
        frame = ReplicateFrame(
            KEY, name, 0, False, b"", "c", self.retry_safety, 0.0, TIMEOUT, is_retry, content, []
        )
        result, request = self.replicators[name].begin(frame, client, TIMEOUT)
        if result is BeginResult.RUN:
            self.start_attempt(name, request)
        elif result is BeginResult.RESPOND:
            client.status = request.response.status

    def start_attempt(self, name: str, request: ReplicatedRequest) -> None:
        """Start an attempt of a request, or fail it with status 504 if a rerun is not allowed."""
        may_have_run = any(not intent.outcome for intent in request.intents)
        if self.retry_safety == RetrySafety.NON_IDEMPOTENT.value and may_have_run:
            self._answer(name, request, RecordedResponse(504))
            return
        replicator = self.replicators[name]
        number = replicator.add_intent(request, AttemptIntent("u", "", 0, 0.0))
        replicator.record_intent(request, number)

    def _answer(self, name: str, request: ReplicatedRequest, response: RecordedResponse) -> None:
        replicator = self.replicators[name]
        client = request.dispatched_client
        deadline = request.waiting_clients.pop(client, 0.0)
        final = replicator.finish_request(request, response)
        if client is None:
            return
        if final is None:
            replicator.wait_on(request, client, deadline)
        else:
            client.status = client.status or final.status

    # Invariant, and comparison of states.

    def violation(self) -> str:
        """Return the invariant that was violated, or an empty string."""
        if self.retry_safety == RetrySafety.NON_IDEMPOTENT.value and self.runs > 1:
            return f"not idempotent, but ran {self.runs} times"
        return ""

    def key(self) -> str:
        """Return a text that identifies the state: states with the same text have the same future."""
        replicators = [replicator_text(name, member) for name, member in self.replicators.items()]
        events = (
            self.queues,
            sorted(self.links),
            sorted(self.unsent_attempts),
            self.running_attempts,
            self.runs,
            self.clients,
        )
        views = [view.digest for view in self.views]
        return repr((replicators, events, self.remaining, self.seen_view, views, sorted(self.dialling)))
