"""One work item and three members, every order of events within bounds: the promise *once*, explored.

States are copied and told apart by their text; what is bounded is what may go wrong (`Bounds`), no order.
Messages of one link come in order or not at all, everything else in any order: words of the arbiter, ends of
links, links that come up, writes of hand-offs, answers of upstreams, clients that come again, changes of the
cells.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from starlingwheel.fleet.frames import AttemptIntent, Frame, RecordedRequest, RecordedResponse, ReplicateFrame
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.fleet.replication.replicator import BeginResult, ReplicatedRequest, RequestReplicator

MEMBERS = ("a", "b", "c")
EXPIRY = 100.0
Event = tuple[str, ...]
QUIET: Event = ("quiet",)


@dataclass(frozen=True)
class Bounds:
    """How often each may happen in one history."""

    crashes: int = 1
    cuts: int = 0
    again: int = 1
    twins: int = 0
    states: int = 60_000  # explored at most
    members: tuple[str, ...] = MEMBERS
    cells: int = 1
    recuts: int = 0  # one cell into two, or two into one
    misses: int = 0  # a link that is reached for does not come up, though its member lives
    rests: int = 0  # a link between cells that neither side needs ends
    linked: bool = False  # there are links between cells too, as if left by work before
    fall: tuple[str, ...] = ()  # who may crash; empty: anybody
    begun: tuple[Event, ...] = ()  # what has happened before; `QUIET`: all words have arrived


class Client:
    """One try. Told apart by its number."""

    def __init__(self, number: int) -> None:
        self.number, self.end = number, 0

    def __repr__(self) -> str:
        return f"c{self.number}:{self.end}"


@dataclass
class Model:
    """One state."""

    effect: str
    kind: Callable[..., Any]
    covers: dict[str, Any] = field(default_factory=dict)
    queues: dict[tuple[str, str], deque[Any]] = field(default_factory=dict)
    links: set[tuple[str, str]] = field(default_factory=set)
    writes: list[tuple[str, int]] = field(default_factory=list)  # let go, not written yet
    running: list[str] = field(default_factory=list)  # whose hand-offs run at an upstream
    runs: int = 0
    clients: list[Client] = field(default_factory=list)
    homes: dict[str, str] = field(default_factory=dict)  # which client waits where: by its number
    left: dict[str, int] = field(default_factory=dict)
    views: list[MembershipView] = field(default_factory=list)  # one after another
    told_view: dict[str, int] = field(default_factory=dict)  # which of them each has seen last
    reaching: set[tuple[str, str]] = field(default_factory=set)
    last: str = ""
    fall: tuple[str, ...] = ()

    @property
    def view(self) -> MembershipView:
        return self.views[-1]

    def begin(self, bounds: Bounds) -> Model:
        members = [Member(name, name, "", name) for name in bounds.members]
        self.views, self.last = [MembershipView(members, bounds.cells)], bounds.members[-1]
        self.fall = bounds.fall
        bounded = ("crashes", "cuts", "again", "twins", "recuts", "misses", "rests")
        self.left = {name: getattr(bounds, name) for name in bounded}
        for name in bounds.members:
            self.covers[name] = self.kind(name, EXPIRY, 1, 1 << 20, ModelDoor(self, name), 0.0)
            self.covers[name].lease_until = EXPIRY
            self.told_view[name] = 0
        for one in bounds.members:
            for other in bounds.members:
                if one != other:
                    self.queues[one, other] = deque()
                    if bounds.linked or self._peers(one, other):
                        self.links.add((one, other))
        for name in bounds.members:
            self.covers[name].view_changed(self.view, True)
        for one, other in sorted(self.links):
            self.covers[one].link_up(other)
        for event in (QUIET, *bounds.begun):
            if event == QUIET:
                self._quiet()
            else:
                self.do(event)
        return self

    def _quiet(self) -> None:
        while self.reaching or any(self.queues.values()):
            for way in sorted(self.reaching):
                self.do(("reaches", *way))
            for way in self.queues:
                if self.queues[way]:
                    self.do(("arrives", *way))

    # What may happen next.

    def events(self) -> Iterator[Event]:
        for way, queue in self.queues.items():
            if queue and way[1] in self.covers:
                yield ("arrives", *way)
        for place in range(len(self.writes)):
            yield ("writes", str(place))
        for place in range(len(self.running)):
            yield ("finishes", str(place))
        if not self.clients:
            yield ("asks", next(iter(self.covers)))
            return
        yield from self._link_events()
        for name in self.covers:
            if self.told_view[name] < len(self.views) - 1:
                yield ("views", name)
            if self.left["crashes"] and len(self.covers) > 2 and name in (self.fall or self.covers):
                yield ("crashes", name)
        if self.left["cuts"]:
            for one, other in sorted(self.links):
                if one < other:
                    yield ("cuts", one, other)
        lost = all(c.end or self.homes[str(c.number)] not in self.covers for c in self.clients)
        if lost and self.left["again"] and self.clients[-1].end not in (200, 504):
            for name in self.covers:
                yield ("asks", name)
        if self.left["twins"] and self.last in self.covers:
            yield ("twin", self.last)
        if self.left["recuts"]:
            yield ("recuts",)

    def _link_events(self) -> Iterator[Event]:
        for one, other in sorted(self.reaching):
            if other not in self.covers or self._may_link(one, other):
                yield ("reaches", one, other)
            if other in self.covers and self.left["misses"]:
                yield ("misses", one, other)
        for one, other in sorted(self.queues):
            if one >= other or one not in self.covers or other not in self.covers:
                continue
            if (one, other) not in self.reaching and self._peers(one, other) and self._may_link(one, other):
                yield ("links", one, other)
            rests = self.left["rests"] and (one, other) in self.links and not self._peers(one, other)
            if rests and not (self.covers[one].needs_link(other) or self.covers[other].needs_link(one)):
                yield ("rests", one, other)

    def _peers(self, one: str, other: str) -> bool:
        """They are of one cell, as one of them sees it: they keep a link."""
        seen = {self.views[self.told_view[name]] for name in (one, other) if name in self.told_view}
        return any(view.cell_of(one) == view.cell_of(other) for view in seen or {self.view})

    def _may_link(self, one: str, other: str) -> bool:
        """Nothing is left of a link before, and both know as many cells."""
        ways = (one, other), (other, one)
        left = any(way in self.links or self.queues[way] for way in ways)
        views = [self.views[self.told_view[name]] for name in (one, other)]
        return not left and views[0].cells == views[1].cells and other in views[0] and one in views[1]

    def _link(self, one: str, other: str) -> None:
        self.links |= {(one, other), (other, one)}
        for name, peer in ((one, other), (other, one)):
            self.reaching.discard((name, peer))
            self.covers[name].link_up(peer)

    def do(self, event: Event) -> None:
        match event:
            case ("arrives", one, other):
                what = self.queues[one, other].popleft()
                if what == "end":
                    self._closed(other, one)
                elif (other, one) in self.links:
                    self.covers[other].frame_received(one, what)
            case ("writes", place):
                name, number = self.writes.pop(int(place))
                if name in self.covers:
                    self.runs += 1
                    self.running.append(name)
            case ("finishes", place):
                name = self.running.pop(int(place))
                if name in self.covers:
                    for item in list(self.covers[name].items.values()):
                        self._answered(name, item, RecordedResponse(200))
            case ("asks", name):
                self.left["again"] -= bool(self.clients)
                self._ask(name, repeat=bool(self.clients))
            case ("twin", name):
                self.left["twins"] -= 1
                self._ask(name, repeat=False)
            case ("views", name):
                self.told_view[name] += 1
                self.covers[name].view_changed(self.views[self.told_view[name]], False)
            case ("recuts",):
                self.left["recuts"] -= 1
                self.views.append(
                    MembershipView(self.view.members.values(), 1 if self.view.cells == 2 else 2)
                )
            case ("reaches", one, other) if other in self.covers:
                self._link(one, other)
            case ("links", one, other):
                self._link(one, other)
            case ("reaches" | "misses" as what, one, other):
                self.left["misses"] -= what == "misses"
                self.reaching.discard((one, other))
                self.covers[one].link_failed(other)
            case ("rests", one, other):
                # One side ends it, the other hears of that in order.
                self.left["rests"] -= 1
                self.queues[one, other].append("end")
                self._closed(one, other)
            case ("crashes", name):
                self.left["crashes"] -= 1
                del self.covers[name]
                self.writes = [w for w in self.writes if w[0] != name]
                for one, other in list(self.links):
                    if one == name:
                        self.links.discard((one, other))
                        self.queues[one, other].append("end")
                self.reaching = {way for way in self.reaching if way[0] != name}
                left = (m for m in self.view.members.values() if m.id in self.covers)
                self.views.append(MembershipView(left, self.view.cells))
                self.told_view = {n: self.told_view[n] for n in self.covers}
            case ("cuts", one, other):
                # Both sides find out by silence, each by itself; nothing in between arrives.
                self.left["cuts"] -= 1
                for way in ((one, other), (other, one)):
                    self.queues[way].clear()
                    self.queues[way].append("end")

    def _closed(self, name: str, other: str) -> None:
        if (name, other) in self.links:
            self.links.discard((name, other))
            self.covers[name].link_down(other)

    def _ask(self, name: str, repeat: bool) -> None:
        client = Client(len(self.clients))
        self.clients.append(client)
        self.homes[str(client.number)] = name
        asked = RecordedRequest(b"", b"", [], b"", b"")
        told = ReplicateFrame(b"x", name, 0, False, b"", "c", self.effect, 0.0, EXPIRY, repeat, asked, [])
        word, item = self.covers[name].begin(told, client, EXPIRY)
        if word is BeginResult.RUN:
            self.hand_off(name, item)
        elif word is BeginResult.ANSWER:
            client.end = item.response.status

    # The hosts.

    def hand_off(self, name: str, item: ReplicatedRequest) -> None:
        if self.effect == "exclusive" and any(not i.fate for i in item.intents):
            self._answered(name, item, RecordedResponse(504))
            return
        cover = self.covers[name]
        cover.record_intent(item, cover.add_intent(item, AttemptIntent("u", "", 0, 0.0)))

    def _answered(self, name: str, item: ReplicatedRequest, reply: RecordedResponse) -> None:
        cover = self.covers[name]
        client, until = item.dispatched_client, item.waiting_clients.pop(item.dispatched_client, 0.0)
        given = cover.answered(item, reply)
        if client is None:
            return
        if given is None:
            cover.wait_on(item, client, until)
        else:
            client.end = client.end or given.status

    def key(self) -> str:
        """The text of a state: two of one text go on alike."""
        replicators = [self._replicator_text(name, replicator) for name, replicator in self.covers.items()]
        rest = (self.queues, sorted(self.links), sorted(self.writes), self.running, self.runs, self.clients)
        views = [view.digest for view in self.views]
        return repr((replicators, rest, self.left, self.told_view, views, sorted(self.reaching)))

    def _replicator_text(self, name: str, replicator: RequestReplicator) -> str:
        """The text of one member's state."""
        views, peers, records = replicator.views, replicator.peers, replicator.records
        view_state = (
            views.view.digest,
            views.was_synced,
            len(views.history),
            sorted(views.synced_digests.items()),
        )
        requests = [self._request_text(request) for request in replicator.items.values()]
        links = len(peers.linked), list(peers.dialling), list(peers.unreachable)
        return repr((name, view_state, links, records.held, records.unagreed, requests))

    @staticmethod
    def _request_text(request: ReplicatedRequest) -> str:
        """The text of one request as a member knows it."""
        client = request.dispatched_client
        ownership = request.state, request.owner, request.epoch, request.intents, request.replicas
        progress = (
            request.is_granted,
            request.is_dispatched,
            request.was_taken_over,
            request.was_released,
            request.is_stale,
            sorted(request.held_attempts),
        )
        waiting = (
            sorted(request.waiting_members),
            [waiter.number for waiter in request.waiting_clients],
            client and client.number,
        )
        informed = request.contact, request.informed_coordinator, request.granted_to_owner
        responses = request.response, request.unacknowledged_rejection
        return repr((ownership, progress, waiting, informed, responses))

    def broken(self) -> str:
        if self.effect == "exclusive" and self.runs > 1:
            return f"ran {self.runs} times"
        return ""


class ModelDoor:
    def __init__(self, model: Model, name: str) -> None:
        self.model, self.name = model, name

    def dial(self, member: str) -> bool:
        self.model.reaching.add((self.name, member))
        return True

    def send_frame(self, member: str, frame: Frame) -> bool:
        if (self.name, member) not in self.model.links:
            return False
        self.model.queues[self.name, member].append(copy.deepcopy(frame))
        return True

    def release_intent(self, item: ReplicatedRequest, number: int) -> None:
        self.model.writes.append((self.name, number))

    def cancel_intent(self, item: ReplicatedRequest, number: int) -> None:
        pass

    def decide(self, item: ReplicatedRequest) -> None:
        self.model.hand_off(self.name, item)

    def answer(self, item: ReplicatedRequest, client: Client, reply: RecordedResponse) -> None:
        client.end = client.end or reply.status

    def log_event(self, event: str, **fields: Any) -> None:
        pass


@dataclass
class Explored:
    states: int
    whole: bool  # no state was left out
    broken: list[tuple[str, list[Event]]]


def explore(effect: str, bounds: Bounds, kind: Callable[..., Any] = RequestReplicator) -> Explored:
    """All orders, breadth first; the first history that breaks a promise is the shortest."""
    first = Model(effect, kind).begin(bounds)
    seen = {first.key()}
    waiting: deque[tuple[Model, list[Event]]] = deque([(first, [])])
    while waiting:
        model, way = waiting.popleft()
        for event in list(model.events()):
            after = copy.deepcopy(model, {id(view): view for view in model.views})
            after.do(event)
            if fault := after.broken():
                return Explored(len(seen), False, [(fault, [*way, event])])
            key = after.key()
            if key not in seen:
                if len(seen) >= bounds.states:
                    return Explored(len(seen), False, [])
                seen.add(key)
                waiting.append((after, [*way, event]))
    return Explored(len(seen), True, [])
