"""One state of the model: one request, a few members, and what may happen next."""

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

TIMEOUT = 100.0  # seconds, of the request: longer than any history
MEMORY_LIMIT = 1 << 20  # bytes recorded for other members
KEY = b"x"
LINK_END = "end"  # in place of a frame: the link has ended at the other side


@dataclass
class Model:
    """One state."""

    effect: str  # value of the request's `RetrySafety`
    replicator_type: Callable[..., Any]
    replicators: dict[str, Any] = field(default_factory=dict)
    queues: dict[tuple[str, str], deque[Any]] = field(default_factory=dict)  # frames under way
    links: set[tuple[str, str]] = field(default_factory=set)
    unsent: list[UnsentAttempt] = field(default_factory=list)
    running: list[str] = field(default_factory=list)  # members whose attempts run at an endpoint
    runs: int = 0
    clients: list[Client] = field(default_factory=list)
    asked: dict[int, str] = field(default_factory=dict)  # by number of a client: the member that it asked
    remaining: dict[str, int] = field(default_factory=dict)  # of each of `LIMITED`
    views: list[MembershipView] = field(default_factory=list)  # one after another
    seen_view: dict[str, int] = field(default_factory=dict)  # by member: the view that it has seen last
    dialling: set[tuple[str, str]] = field(default_factory=set)
    duplicate_at: str = ""  # the member that another client sends to
    crash_candidates: tuple[str, ...] = ()  # empty: anybody

    @property
    def view(self) -> MembershipView:
        """The view that holds."""
        return self.views[-1]

    def begin(self, bounds: Bounds) -> Model:
        """Start all members, and make happen what has happened before."""
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

    # What may happen next.

    def events(self) -> Iterator[Event]:
        """All events that may happen in this state."""
        for way, queue in self.queues.items():
            if queue and way[1] in self.replicators:
                yield Event(EventKind.FRAME_ARRIVES, *way)
        for place in range(len(self.unsent)):
            yield Event(EventKind.ATTEMPT_SENT, place=place)
        for place in range(len(self.running)):
            yield Event(EventKind.ATTEMPT_ENDS, place=place)
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
            client.status or self.asked[client.number] not in self.replicators for client in self.clients
        )
        if clients_lost and self.remaining["retries"] and self.clients[-1].status not in (200, 504):
            for name in self.replicators:
                yield Event(EventKind.CLIENT_SENDS, name)
        if self.remaining["duplicates"] and self.duplicate_at in self.replicators:
            yield Event(EventKind.DUPLICATE_SENT, self.duplicate_at)

    def _are_peers(self, one: str, other: str) -> bool:
        """They are of one shard, as one of them sees it: they keep a link."""
        seen = {self.views[self.seen_view[name]] for name in (one, other) if name in self.seen_view}
        return any(view.shard_of_member(one) == view.shard_of_member(other) for view in seen or {self.view})

    def _may_link(self, one: str, other: str) -> bool:
        """No frame is left of a link before, and both know as many shards."""
        ways = (one, other), (other, one)
        used = any(way in self.links or self.queues[way] for way in ways)
        views = [self.views[self.seen_view[name]] for name in (one, other)]
        return (
            not used
            and views[0].shard_count == views[1].shard_count
            and other in views[0]
            and one in views[1]
        )

    def _is_needed(self, one: str, other: str) -> bool:
        """One side needs the link."""
        return self.replicators[one].needs_link(other) or self.replicators[other].needs_link(one)

    # What happens.

    def apply(self, event: Event) -> None:
        """Have the event happen, with all that follows from it."""
        if event.kind in LINK_EVENTS:
            self._apply_link_event(event.kind, event.member, event.peer)
            return
        match event.kind:
            case EventKind.ATTEMPT_SENT:
                self._send_attempt(event.place)
            case EventKind.ATTEMPT_ENDS:
                self._end_attempt(event.place)
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
        """All frames arrive, and all links come up."""
        while self.dialling or any(self.queues.values()):
            for way in sorted(self.dialling):
                self._end_dial(*way)
            for way in self.queues:
                if self.queues[way]:
                    self._deliver_frame(*way)

    def _deliver_frame(self, one: str, other: str) -> None:
        """The next frame from one member to another arrives."""
        frame = self.queues[one, other].popleft()
        if frame == LINK_END:
            self._close(other, one)
        elif (other, one) in self.links:
            self.replicators[other].frame_received(one, frame)

    def _send_attempt(self, place: int) -> None:
        """A released attempt is sent to an endpoint."""
        name = self.unsent.pop(place).member
        if name in self.replicators:
            self.runs += 1
            self.running.append(name)

    def _end_attempt(self, place: int) -> None:
        """An endpoint answers."""
        name = self.running.pop(place)
        if name in self.replicators:
            for request in list(self.replicators[name].requests.values()):
                self._answer(name, request, RecordedResponse(200))

    def _send_or_retry(self, name: str) -> None:
        """A client sends the request to a member, or retries it there."""
        is_retry = bool(self.clients)
        self.remaining["retries"] -= is_retry
        self._ask(name, is_retry)

    def _send_duplicate(self, name: str) -> None:
        """Another client sends a request with the same key."""
        self.remaining["duplicates"] -= 1
        self._ask(name, is_retry=False)

    def _change_view(self, name: str) -> None:
        """A member sees the next view."""
        self.seen_view[name] += 1
        self.replicators[name].view_changed(self.views[self.seen_view[name]], False)

    def _change_shards(self) -> None:
        """The count of shards changes."""
        self.remaining["shard_changes"] -= 1
        self.views.append(MembershipView(self.view.members.values(), 1 if self.view.shard_count == 2 else 2))

    def _link(self, one: str, other: str) -> None:
        """A link comes up."""
        self.links |= {(one, other), (other, one)}
        for name, peer in ((one, other), (other, one)):
            self.dialling.discard((name, peer))
            self.replicators[name].link_up(peer)

    def _end_dial(self, one: str, other: str) -> None:
        """A link that is dialled comes up, or fails where the other member is lost."""
        if other in self.replicators:
            self._link(one, other)
        else:
            self._fail_link(one, other)

    def _fail_link(self, one: str, other: str) -> None:
        """A link that is dialled does not come up."""
        self.dialling.discard((one, other))
        self.replicators[one].link_failed(other)

    def _close_idle_link(self, one: str, other: str) -> None:
        """One side ends a link that neither needs; the other notices in order."""
        self.remaining["idle_closes"] -= 1
        self.queues[one, other].append(LINK_END)
        self._close(one, other)

    def _crash(self, name: str) -> None:
        """A member is lost; the view without it follows."""
        self.remaining["crashes"] -= 1
        del self.replicators[name]
        self.unsent = [attempt for attempt in self.unsent if attempt.member != name]
        for one, other in list(self.links):
            if one == name:
                self.links.discard((one, other))
                self.queues[one, other].append(LINK_END)
        self.dialling = {way for way in self.dialling if way[0] != name}
        members = (member for member in self.view.members.values() if member.id in self.replicators)
        self.views.append(MembershipView(members, self.view.shard_count))
        self.seen_view = {member: self.seen_view[member] for member in self.replicators}

    def _cut_link(self, one: str, other: str) -> None:
        """Nothing in between arrives; both sides notice the silence, each by itself."""
        self.remaining["cuts"] -= 1
        for way in ((one, other), (other, one)):
            self.queues[way].clear()
            self.queues[way].append(LINK_END)

    def _close(self, name: str, other: str) -> None:
        if (name, other) in self.links:
            self.links.discard((name, other))
            self.replicators[name].link_down(other)

    # The hosts.

    def _ask(self, name: str, is_retry: bool) -> None:
        client = Client(len(self.clients))
        self.clients.append(client)
        self.asked[client.number] = name
        content = RecordedRequest(b"", b"", [], b"", b"")
        frame = ReplicateFrame(
            KEY, name, 0, False, b"", "c", self.effect, 0.0, TIMEOUT, is_retry, content, []
        )
        result, request = self.replicators[name].begin(frame, client, TIMEOUT)
        if result is BeginResult.RUN:
            self.start_attempt(name, request)
        elif result is BeginResult.RESPOND:
            client.status = request.response.status

    def start_attempt(self, name: str, request: ReplicatedRequest) -> None:
        """A member's decisions start an attempt, or fail the request."""
        may_have_run = any(not intent.outcome for intent in request.intents)
        if self.effect == RetrySafety.NON_IDEMPOTENT.value and may_have_run:
            self._answer(name, request, RecordedResponse(504))
            return
        replicator = self.replicators[name]
        number = replicator.add_intent(request, AttemptIntent("u", "", 0, 0.0))
        replicator.record_intent(request, number)

    def _answer(self, name: str, request: ReplicatedRequest, response: RecordedResponse) -> None:
        replicator = self.replicators[name]
        client = request.dispatched_client
        until = request.waiting_clients.pop(client, 0.0)
        given = replicator.finish_request(request, response)
        if client is None:
            return
        if given is None:
            replicator.wait_on(request, client, until)
        else:
            client.status = client.status or given.status

    # Verdict, and comparison of states.

    def violation(self) -> str:
        """The promise that was not kept; empty: none."""
        if self.effect == RetrySafety.NON_IDEMPOTENT.value and self.runs > 1:
            return f"ran {self.runs} times"
        return ""

    def key(self) -> str:
        """The text of a state: two of one text go on alike."""
        replicators = [replicator_text(name, member) for name, member in self.replicators.items()]
        events = (self.queues, sorted(self.links), sorted(self.unsent), self.running, self.runs, self.clients)
        views = [view.digest for view in self.views]
        return repr((replicators, events, self.remaining, self.seen_view, views, sorted(self.dialling)))
