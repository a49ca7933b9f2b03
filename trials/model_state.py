"""One state of the model: one request, a few members, and what may happen next."""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from starlingwheel.decisions.config import RetrySafety
from starlingwheel.fleet.frames import AttemptIntent, Frame, RecordedRequest, RecordedResponse, ReplicateFrame
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.fleet.replication.request import BeginResult, ReplicatedRequest

from .model_text import replicator_text

MEMBERS = ("a", "b", "c")
TIMEOUT = 100.0  # seconds, of the request: longer than any history
MEMORY_LIMIT = 1 << 20  # bytes recorded for other members
KEY = b"x"
LINK_END = "end"  # in place of a frame: the link has ended at the other side
Event = tuple[str, ...]  # its name, and the members or numbers that it concerns
QUIET: Event = ("quiet",)


@dataclass(frozen=True)
class Bounds:
    """How often each fault may happen in one history."""

    crashes: int = 1
    cuts: int = 0
    again: int = 1  # retries of clients
    twins: int = 0  # requests of other clients with the same key
    states: int = 60_000  # explored at most
    members: tuple[str, ...] = MEMBERS
    cells: int = 1
    recuts: int = 0  # one cell into two, or two into one
    misses: int = 0  # a link that is dialled does not come up, though its member lives
    rests: int = 0  # a link between cells that neither side needs ends
    linked: bool = False  # there are links between cells too, as if left by earlier requests
    fall: tuple[str, ...] = ()  # who may crash; empty: anybody
    begun: tuple[Event, ...] = ()  # what has happened before; `QUIET`: all frames have arrived


COUNTED = ("crashes", "cuts", "again", "twins", "recuts", "misses", "rests")  # bounds that events use up


class Client:
    """One attempt of a client."""

    def __init__(self, number: int) -> None:
        """`number`: of the attempts before."""
        self.number, self.end = number, 0

    def __repr__(self) -> str:
        """Number and status, as the text of a state has them."""
        return f"c{self.number}:{self.end}"


@dataclass
class Model:
    """One state."""

    effect: str  # value of the request's `RetrySafety`
    replicator_type: Callable[..., Any]
    replicators: dict[str, Any] = field(default_factory=dict)
    queues: dict[tuple[str, str], deque[Any]] = field(default_factory=dict)  # frames under way
    links: set[tuple[str, str]] = field(default_factory=set)
    writes: list[tuple[str, int]] = field(default_factory=list)  # attempts that are released, not written yet
    running: list[str] = field(default_factory=list)  # members whose attempts run at an endpoint
    runs: int = 0
    clients: list[Client] = field(default_factory=list)
    asked: dict[str, str] = field(default_factory=dict)  # by number of a client: the member that it asked
    left: dict[str, int] = field(default_factory=dict)  # how often each counted event may still happen
    views: list[MembershipView] = field(default_factory=list)  # one after another
    seen_view: dict[str, int] = field(default_factory=dict)  # by member: the view that it has seen last
    dialling: set[tuple[str, str]] = field(default_factory=set)
    last: str = ""  # member that another client asks
    fall: tuple[str, ...] = ()

    @property
    def view(self) -> MembershipView:
        """The view that holds."""
        return self.views[-1]

    def begin(self, bounds: Bounds) -> Model:
        """Start all members, and make happen what has happened before."""
        members = [Member(name, name, "", name) for name in bounds.members]
        self.views, self.last = [MembershipView(members, bounds.cells)], bounds.members[-1]
        self.fall = bounds.fall
        self.left = {name: getattr(bounds, name) for name in COUNTED}
        for name in bounds.members:
            host = ModelHost(self, name)
            self.replicators[name] = self.replicator_type(name, TIMEOUT, 1, MEMORY_LIMIT, host, 0.0)
            self.replicators[name].lease_until = TIMEOUT
            self.seen_view[name] = 0
        for one in bounds.members:
            for other in bounds.members:
                if one != other:
                    self.queues[one, other] = deque()
                    if bounds.linked or self._are_peers(one, other):
                        self.links.add((one, other))
        for name in bounds.members:
            self.replicators[name].view_changed(self.view, True)
        for one, other in sorted(self.links):
            self.replicators[one].link_up(other)
        for event in (QUIET, *bounds.begun):
            self.do(event)
        return self

    # What may happen next.

    def events(self) -> Iterator[Event]:
        """All events that may happen in this state."""
        for way, queue in self.queues.items():
            if queue and way[1] in self.replicators:
                yield ("arrives", *way)
        for number in range(len(self.writes)):
            yield ("writes", str(number))
        for number in range(len(self.running)):
            yield ("finishes", str(number))
        if not self.clients:
            yield ("asks", next(iter(self.replicators)))
            return
        yield from self._link_events()
        yield from self._member_events()
        yield from self._client_events()
        if self.left["recuts"]:
            yield ("recuts",)

    def _link_events(self) -> Iterator[Event]:
        for one, other in sorted(self.dialling):
            if other not in self.replicators or self._may_link(one, other):
                yield ("reaches", one, other)
            if other in self.replicators and self.left["misses"]:
                yield ("misses", one, other)
        for one, other in sorted(self.queues):
            if one >= other or one not in self.replicators or other not in self.replicators:
                continue
            peers = self._are_peers(one, other)
            if (one, other) not in self.dialling and peers and self._may_link(one, other):
                yield ("links", one, other)
            may_rest = self.left["rests"] and (one, other) in self.links and not peers
            if may_rest and not self._is_needed(one, other):
                yield ("rests", one, other)

    def _member_events(self) -> Iterator[Event]:
        for name in self.replicators:
            if self.seen_view[name] < len(self.views) - 1:
                yield ("views", name)
            may_crash = self.left["crashes"] and len(self.replicators) > 2
            if may_crash and name in (self.fall or self.replicators):
                yield ("crashes", name)
        if self.left["cuts"]:
            for one, other in sorted(self.links):
                if one < other:
                    yield ("cuts", one, other)

    def _client_events(self) -> Iterator[Event]:
        clients_lost = all(
            client.end or self.asked[str(client.number)] not in self.replicators for client in self.clients
        )
        if clients_lost and self.left["again"] and self.clients[-1].end not in (200, 504):
            for name in self.replicators:
                yield ("asks", name)
        if self.left["twins"] and self.last in self.replicators:
            yield ("twin", self.last)

    def _are_peers(self, one: str, other: str) -> bool:
        """They are of one cell, as one of them sees it: they keep a link."""
        seen = {self.views[self.seen_view[name]] for name in (one, other) if name in self.seen_view}
        return any(view.shard_of_member(one) == view.shard_of_member(other) for view in seen or {self.view})

    def _may_link(self, one: str, other: str) -> bool:
        """No frame is left of a link before, and both know as many cells."""
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

    def do(self, event: Event) -> None:
        """Make an event happen."""
        name, *arguments = event
        getattr(self, f"_do_{name}")(*arguments)

    def _do_quiet(self) -> None:
        """All frames arrive, and all links come up."""
        while self.dialling or any(self.queues.values()):
            for way in sorted(self.dialling):
                self.do(("reaches", *way))
            for way in self.queues:
                if self.queues[way]:
                    self.do(("arrives", *way))

    def _do_arrives(self, one: str, other: str) -> None:
        """The next frame from one member to another arrives."""
        frame = self.queues[one, other].popleft()
        if frame == LINK_END:
            self._close(other, one)
        elif (other, one) in self.links:
            self.replicators[other].frame_received(one, frame)

    def _do_writes(self, number: str) -> None:
        """A released attempt is written."""
        name, _ = self.writes.pop(int(number))
        if name in self.replicators:
            self.runs += 1
            self.running.append(name)

    def _do_finishes(self, number: str) -> None:
        """An endpoint answers."""
        name = self.running.pop(int(number))
        if name in self.replicators:
            for request in list(self.replicators[name].requests.values()):
                self._answer(name, request, RecordedResponse(200))

    def _do_asks(self, name: str) -> None:
        """A client sends the request to a member, or retries it there."""
        is_retry = bool(self.clients)
        self.left["again"] -= is_retry
        self._ask(name, is_retry)

    def _do_twin(self, name: str) -> None:
        """Another client sends a request with the same key."""
        self.left["twins"] -= 1
        self._ask(name, is_retry=False)

    def _do_views(self, name: str) -> None:
        """A member sees the next view."""
        self.seen_view[name] += 1
        self.replicators[name].view_changed(self.views[self.seen_view[name]], False)

    def _do_recuts(self) -> None:
        """The count of cells changes."""
        self.left["recuts"] -= 1
        self.views.append(MembershipView(self.view.members.values(), 1 if self.view.shard_count == 2 else 2))

    def _do_links(self, one: str, other: str) -> None:
        """A link comes up."""
        self.links |= {(one, other), (other, one)}
        for name, peer in ((one, other), (other, one)):
            self.dialling.discard((name, peer))
            self.replicators[name].link_up(peer)

    def _do_reaches(self, one: str, other: str) -> None:
        """A link that is dialled comes up, or fails where the other member is lost."""
        if other in self.replicators:
            self._do_links(one, other)
        else:
            self._fail_link(one, other)

    def _do_misses(self, one: str, other: str) -> None:
        """A link that is dialled does not come up."""
        self.left["misses"] -= 1
        self._fail_link(one, other)

    def _fail_link(self, one: str, other: str) -> None:
        self.dialling.discard((one, other))
        self.replicators[one].link_failed(other)

    def _do_rests(self, one: str, other: str) -> None:
        """One side ends a link that neither needs; the other notices in order."""
        self.left["rests"] -= 1
        self.queues[one, other].append(LINK_END)
        self._close(one, other)

    def _do_crashes(self, name: str) -> None:
        """A member is lost; the view without it follows."""
        self.left["crashes"] -= 1
        del self.replicators[name]
        self.writes = [write for write in self.writes if write[0] != name]
        for one, other in list(self.links):
            if one == name:
                self.links.discard((one, other))
                self.queues[one, other].append(LINK_END)
        self.dialling = {way for way in self.dialling if way[0] != name}
        members = (member for member in self.view.members.values() if member.id in self.replicators)
        self.views.append(MembershipView(members, self.view.shard_count))
        self.seen_view = {member: self.seen_view[member] for member in self.replicators}

    def _do_cuts(self, one: str, other: str) -> None:
        """Nothing in between arrives; both sides notice the silence, each by itself."""
        self.left["cuts"] -= 1
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
        self.asked[str(client.number)] = name
        content = RecordedRequest(b"", b"", [], b"", b"")
        frame = ReplicateFrame(
            KEY, name, 0, False, b"", "c", self.effect, 0.0, TIMEOUT, is_retry, content, []
        )
        result, request = self.replicators[name].begin(frame, client, TIMEOUT)
        if result is BeginResult.RUN:
            self.start_attempt(name, request)
        elif result is BeginResult.RESPOND:
            client.end = request.response.status

    def start_attempt(self, name: str, request: ReplicatedRequest) -> None:
        """A member's decisions start an attempt, or fail the request."""
        may_have_run = any(not intent.fate for intent in request.intents)
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
            client.end = client.end or given.status

    # Verdict, and comparison of states.

    def broken(self) -> str:
        """The promise that was not kept; empty: none."""
        if self.effect == RetrySafety.NON_IDEMPOTENT.value and self.runs > 1:
            return f"ran {self.runs} times"
        return ""

    def key(self) -> str:
        """The text of a state: two of one text go on alike."""
        replicators = [replicator_text(name, member) for name, member in self.replicators.items()]
        events = (self.queues, sorted(self.links), sorted(self.writes), self.running, self.runs, self.clients)
        views = [view.digest for view in self.views]
        return repr((replicators, events, self.left, self.seen_view, views, sorted(self.dialling)))


class ModelHost:
    """Carries out what a member's replicator decides, in the model."""

    def __init__(self, model: Model, name: str) -> None:
        """`name`: of the member."""
        self.model, self.name = model, name

    def dial(self, member: str) -> bool:
        """Open a link to a member of another cell."""
        self.model.dialling.add((self.name, member))
        return True

    def send_frame(self, member: str, frame: Frame) -> bool:
        """Send a frame to a member. False: there is no link to it now."""
        if (self.name, member) not in self.model.links:
            return False
        self.model.queues[self.name, member].append(copy.deepcopy(frame))
        return True

    def release_intent(self, request: ReplicatedRequest, number: int) -> None:
        """The attempt of that intent may be written."""
        self.model.writes.append((self.name, number))

    def cancel_intent(self, request: ReplicatedRequest, number: int) -> None:
        """The attempt of that intent must never be written: in the model it never was."""

    def decide(self, request: ReplicatedRequest) -> None:
        """Dispatch a request with its history."""
        self.model.start_attempt(self.name, request)

    def answer(self, request: ReplicatedRequest, client: Client, response: RecordedResponse) -> None:
        """Give the final response to a client that waits here."""
        client.end = client.end or response.status

    def log_event(self, event: str, **fields: object) -> None:
        """The model writes no log."""
