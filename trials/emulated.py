"""The cover of a whole fleet in emulated time: the program's `fleet/` code, no sockets, hundreds of seeds.

Members are stepped in one process. Links delay, cut and end; members crash, restart and pause; leases run
out at an arbiter that is never wrong but may be gone. Upstreams count runs, clients come again. This plays
the code's own decisions, not the program's sockets: for those see the trials of real processes.
"""

from __future__ import annotations

import copy
import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from starlingwheel.fleet.frames import (
    AttemptIntent,
    Frame,
    HeartbeatFrame,
    RecordedRequest,
    RecordedResponse,
    ReplicateFrame,
    ViewSyncedFrame,
)
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.fleet.replication.replicator import (
    UNSENT,
    BeginResult,
    ReplicatedRequest,
    RequestReplicator,
)

EXPIRY, SERVICE, LEASE, SILENCE, BEAT = 2.0, 0.08, 2.0, 0.3, 0.1
GREETING = 0.3  # seconds within which a link that was reached for comes up, or counts as failed
REST = 0.5  # seconds without a word about work after which a link between cells that neither side needs ends
MEMORY = 2.0  # seconds for which upstreams drop repeats of ticketed work
EFFECTS = ("exclusive", "ticketed", "rerunnable")
ZONES = ("north", "east", "south")


@dataclass(eq=False)
class Request:
    """One try of a client's, at one member."""

    name: bytes
    effect: str
    until: float
    repeat: bool
    number: int
    member: Host | None = None
    end: str = ""


@dataclass
class Timetable:
    """What goes wrong: how often a second each, over the fleet, and for how long."""

    crash: float = 0.5
    pause: float = 0.5
    cut: float = 0.5
    one_way: float = 0.3
    reset: float = 0.5
    arbiter: float = 0.1
    longest: float = 1.5


HARSH = Timetable(crash=2.0, pause=1.5, cut=1.0, one_way=1.0, reset=2.0, arbiter=0.1, longest=3.0)


class Link:
    """One connection between two members; each side ends by itself."""

    def __init__(self, ends: tuple[Host, Host]) -> None:
        self.ends = ends
        self.open = {end.id: True for end in ends}
        self.heard = {end.id: ends[0].world.now for end in ends}
        self.used = ends[0].world.now  # when something about work was said last
        self.last = {end.id: 0.0 for end in ends}  # when the last frame to that end arrives
        self.waiting: dict[str, list[Callable[[], None]]] = {end.id: [] for end in ends}

    def other(self, host: Host) -> Host:
        return self.ends[1] if self.ends[0] is host else self.ends[0]


class Host:
    """One member: `Covering`, a host that decides by the plainest rules, and what a process is."""

    def __init__(self, world: World, name: str, number: int) -> None:
        self.world, self.name = world, name
        self.id = f"{name}.{number:06d}"
        self.member = Member(self.id, name, "", ZONES[int(name[1:]) % len(ZONES)], term=number)
        self.replicator: Any = world.kind(self.id, EXPIRY, 1, 1 << 30, self, world.now)
        self.links: dict[str, Link] = {}
        self.alive, self.paused_until = True, 0.0
        self.deferred: list[Callable[[], None]] = []
        self.tries: dict[ReplicatedRequest, int] = {}
        self.renewed_at = world.now

    # What happens to a process.

    def does(self, what: Callable[[], None]) -> None:
        """Now, or once it goes on; never after its end."""
        if not self.alive:
            return
        if self.world.now < self.paused_until:
            self.deferred.append(what)
            return
        self.replicator.now = self.world.now
        what()

    def later(self, after: float, what: Callable[[], None]) -> None:
        self.world.at(self.world.now + after, lambda: self.does(what))

    def goes_on(self) -> None:
        if self.world.now < self.paused_until:
            return
        waiting, self.deferred = self.deferred, []
        for what in waiting:
            self.does(what)

    # The door.

    def send_frame(self, member: str, frame: Frame) -> bool:
        link = self.links.get(member)
        if link is None or not link.open[self.id]:
            return False
        self.world.send(link, self, copy.deepcopy(frame))
        return True

    def dial(self, member: str) -> bool:
        until = self.world.now + GREETING
        self.later(self.world.rng.uniform(0.0005, 0.004), lambda: self.world.call(self, member, until))
        return member in self.replicator.view

    def release_intent(self, item: ReplicatedRequest, number: int) -> None:
        # A pause may fall between the word and the write.
        asked = item.intents[number].at
        self.later(0.0002, lambda: self._write(item, number, asked))

    def _write(self, item: ReplicatedRequest, number: int, asked: float) -> None:
        if self.world.now > asked + SILENCE:
            # As the program does: a pause has fallen between the intent and the write.
            self.replicator.ended(item, number, UNSENT)
            self._again(item)
            return
        self.world.run(self, item, number, item.epoch)
        took = self.world.rng.lognormvariate(0, 0.4) * SERVICE
        self.later(took, lambda: self._finished(item))

    def _finished(self, item: ReplicatedRequest) -> None:
        given = self.replicator.answered(item, RecordedResponse(200, body=item.key))
        if given is not None:
            self._answer_main(item, given)

    def _answer_main(self, item: ReplicatedRequest, reply: RecordedResponse) -> None:
        if item.dispatched_client is not None and not item.dispatched_client.end:
            self.world.answered(item.dispatched_client, reply)
        item.waiting_clients.pop(item.dispatched_client, None)

    def cancel_intent(self, item: ReplicatedRequest, number: int) -> None:
        self.later(0.001, lambda: self._again(item))

    def _again(self, item: ReplicatedRequest) -> None:
        if not item.is_dispatched:
            return
        self.tries[item] = self.tries.get(item, 0) + 1
        if self.tries[item] < 3 and self._may_send(item):
            self._hand_off(item)
            return
        self.tries.pop(item)
        client, until = item.dispatched_client, item.waiting_clients.pop(item.dispatched_client, 0.0)
        given = self.replicator.answered(item, RecordedResponse(503, 0.05))
        if given is not None:
            if client is not None and not client.end:
                self.world.answered(client, given)
        elif client is not None:
            self.replicator.wait_on(item, client, until)

    def decide(self, item: ReplicatedRequest) -> None:
        if not self._may_send(item):
            given = self.replicator.answered(item, RecordedResponse(504))
            if given is not None:
                self._answer_main(item, given)
            return
        self._hand_off(item)

    def _may_send(self, item: ReplicatedRequest) -> bool:
        """Rule 2 and the expiry, as the program's decisions have them."""
        risky = [i for i in item.intents if not i.fate]
        if self.world.now >= item.deadline or (risky and item.effect == "exclusive"):
            return False
        return not risky or item.effect != "ticketed" or self.world.now < risky[0].at + MEMORY * 0.98

    def _hand_off(self, item: ReplicatedRequest) -> None:
        number = self.replicator.add_intent(item, AttemptIntent("u1", "north", 0, self.world.now))
        self.replicator.record_intent(item, number)

    def answer(self, item: ReplicatedRequest, client: Request, reply: RecordedResponse) -> None:
        if not client.end:
            self.world.answered(client, reply)

    def log_event(self, event: str, **fields: Any) -> None:
        self.world.notes[event] += 1
        self.world.tell(self, event, fields)

    # Clients.

    def take(self, request: Request) -> None:
        request.member = self
        asked = RecordedRequest(b"POST", b"/x", [], b"", b"")
        told = ReplicateFrame(
            request.name, self.id, 0, False, b"", "c", request.effect, self.world.now, request.until,
            request.repeat, asked, [],
        )  # fmt: skip
        word, item = self.replicator.begin(told, request, request.until)
        if word is BeginResult.RUN:
            self.decide(item)
        elif word is BeginResult.ANSWER:
            self.world.answered(request, item.response)


class World:
    """A fleet, its links, its arbiter, upstreams and clients, from one seed."""

    def __init__(
        self,
        seed: int,
        members: int = 8,
        kind: Callable[..., Any] = RequestReplicator,
        trace: bytes | None = None,
        cells: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.now, self.count, self.kind, self.trace = 0.0, 0, kind, trace
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.hosts: dict[str, Host] = {}
        self.leases: dict[str, tuple[Member, float]] = {}
        self.cells, self.cut_at = cells, -EXPIRY
        self.arbiter_down_until, self.last_view = 0.0, -1
        self.most_links = 0  # of one member, as seen now and then
        self.cut: dict[tuple[str, str], float] = {}
        self.runs: dict[bytes, list[tuple[float, str, int]]] = defaultdict(list)
        self.effects: dict[bytes, str] = {}
        self.holders: dict[bytes, set[str]] = {}  # who knew of its runs
        self.lost: set[bytes] = set()  # ran again once all of those were lost: outside the promise
        self.uncovered: set[bytes] = set()  # ran with nobody to record it: told apart, as the promise says
        self.answers: dict[bytes, list[tuple[float, int, int]]] = defaultdict(list)
        self.requests: list[Request] = []
        self.open: set[int] = set()
        self.twice: list[Request] = []  # given a second final answer
        self.notes: Counter[str] = Counter()
        self.frames: Counter[str] = Counter()
        self.started = 0
        for number in range(members):
            self.start(f"n{number}")
        self.every(0.02, self._arbitrate)
        self.every(BEAT / 2, self._watch_links)

    # Time.

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, what))

    def every(self, span: float, what: Callable[[], None]) -> None:
        def again() -> None:
            what()
            self.at(self.now + span, again)

        self.at(self.now + span, again)

    def until(self, when: float) -> None:
        while self.queue and self.queue[0][0] <= when:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = when

    def tell(self, host: Host, event: str, fields: Any) -> None:
        if self.trace is not None and str(self.trace) in str(fields):
            print(f"{self.now:.4f} {host.id} {event} {fields}")

    # Processes and links.

    def start(self, name: str) -> None:
        self.started += 1
        host = Host(self, name, self.started)
        self.hosts[host.id] = host
        self.leases[host.id] = (host.member, self.now + LEASE)

    def alive(self) -> list[Host]:
        return [h for h in self.hosts.values() if h.alive]

    def crash(self, host: Host, back_after: float) -> None:
        host.alive = False
        for link in list(host.links.values()):
            self._close(link, host)
        for request in self.requests:
            if request.member is host and not request.end and request.number in self.open:
                self._come_again(request, "reset")
        self.at(self.now + back_after, lambda: self.start(host.name))
        self.at(self.now + self.rng.uniform(0.02, 0.08), lambda: self._mark(host.id))
        del self.hosts[host.id]

    def _mark(self, member: str) -> None:
        """Who sees a link reset and its member refuse another has the arbiter end its entry."""
        if self.now >= self.arbiter_down_until:
            self.leases.pop(member, None)

    def _gone(self, one: Host, other: Host) -> bool:
        return self.now < self.cut.get((one.name, other.name), 0.0)

    def send(self, link: Link, sender: Host, frame: Frame) -> None:
        self.frames[type(frame).__name__] += 1
        if not isinstance(frame, ViewSyncedFrame):
            link.used = self.now
        if self.trace is not None and getattr(frame, "key", None) == self.trace:
            print(f"{self.now:.4f} {sender.id} -> {link.other(sender).id} {frame}")
        receiver = link.other(sender)
        self._pass(link, sender, lambda: receiver.replicator.frame_received(sender.id, frame))

    def _pass(self, link: Link, sender: Host, what: Callable[[], None], last: bool = False) -> None:
        """In order, after a delay; what is cut waits."""
        receiver = link.other(sender)

        def arrives() -> None:
            if self._gone(sender, receiver):
                link.last[receiver.id] = max(link.last[receiver.id], self.now + 0.01)
                self.at(link.last[receiver.id], arrives)
                return
            if receiver.alive and (link.open[receiver.id]):
                receiver.does(lambda: what() if link.open[receiver.id] else None)

        when = max(link.last[receiver.id], self.now + self.rng.uniform(0.0003, 0.003))
        link.last[receiver.id] = when
        self.at(when, arrives)

    def _close(self, link: Link, host: Host) -> None:
        """One side ends; the other hears of it in order, if the way is open."""
        if not link.open[host.id]:
            return
        link.open[host.id] = False
        other = link.other(host)
        if host.links.get(other.id) is link:
            del host.links[other.id]
            if host.alive:
                host.replicator.now = self.now
                host.replicator.link_down(other.id)
        self._pass(link, host, lambda: self._close(link, other))

    def _watch_links(self) -> None:
        alive = self.alive()
        beats: dict[Host, HeartbeatFrame] = {}
        for host in alive:
            if self.now < host.paused_until:
                continue
            for link in list(host.links.values()):
                other = link.other(host)
                speaks = other.alive and self.now >= other.paused_until and link.open[other.id]
                if speaks and not self._gone(other, host):
                    link.heard[host.id] = self.now
                    beat = beats.get(other)
                    if beat is None:
                        beat = beats[other] = HeartbeatFrame(
                            other.replicator.digest, not other.replicator.may_decide()
                        )
                    host.replicator.now = self.now
                    host.replicator.frame_received(other.id, beat)
                    if self._at_rest(link, host, other):
                        self._close(link, host)
                elif self.now > link.heard[host.id] + SILENCE:
                    self._close(link, host)
        able = [h for h in alive if self.now >= h.paused_until]
        for one, other in self._pairs(able):
            if other.id in one.links or one.id in other.links:
                continue
            if self._gone(one, other) or self._gone(other, one) or self.rng.random() < 0.3:
                continue
            if self._know(one, other):
                self._connect(one, other)
        for host in able:
            self.most_links = max(self.most_links, len(host.links))
            if host.replicator.next_at() <= self.now:
                host.does(host.replicator.tick)

    def _at_rest(self, link: Link, host: Host, other: Host) -> bool:
        """A link between cells that neither side needs any more."""
        view = host.replicator.view
        if view.cells == 1 or view.cell_of(host.id) == view.cell_of(other.id) or self.now < link.used + REST:
            return False
        return not (host.replicator.needs_link(other.id) or other.replicator.needs_link(host.id))

    def _pairs(self, able: list[Host]) -> Iterator[tuple[Host, Host]]:
        """Who keeps a link to whom: all that are of one cell."""
        if self.cells == 1 and all(host.replicator.view.cells == 1 for host in able):
            for place, one in enumerate(able):
                for other in able[place + 1 :]:
                    yield one, other
            return
        there = {host.id: host for host in able}
        for one in able:
            view = one.replicator.view
            for member in view.of_cell(view.cell_of(one.id)):
                if member > one.id and member in there:
                    yield one, there[member]

    def _know(self, one: Host, other: Host) -> bool:
        """Each is in the other's view, and both have as many cells."""
        views = one.replicator.view, other.replicator.view
        return other.id in views[0] and one.id in views[1] and views[0].cells == views[1].cells

    def _connect(self, one: Host, other: Host) -> None:
        link = Link((one, other))
        one.links[other.id] = other.links[one.id] = link
        for host, peer in ((one, other), (other, one)):
            host.does(lambda h=host, o=peer: h.replicator.link_up(o.id))

    def call(self, host: Host, member: str, until: float) -> None:
        """A member reaches for one of another cell."""
        if member in host.links:
            return
        other = self.hosts.get(member)
        if other is not None and self.now < until:
            paused = self.now < other.paused_until or host.id in other.links
            if paused or self._gone(host, other) or self._gone(other, host) or not self._know(host, other):
                host.later(0.02, lambda: self.call(host, member, until))
            else:
                self._connect(host, other)
            return
        host.replicator.link_failed(member)

    def recut(self, cells: int) -> None:
        """The fleet is cut into so many cells from now on."""
        self.cells, self.cut_at = cells, self.now

    def _arbitrate(self) -> None:
        if self.now < self.arbiter_down_until:
            return
        for host in self.alive():
            if self.now < host.paused_until:
                continue
            if host.id not in self.leases:
                self.started += 1
                host.member = Member(host.id, host.name, "", host.member.zone, term=self.started)
                self.leases[host.id] = (host.member, self.now + LEASE)
                host.renewed_at = self.now
            elif self.now >= host.renewed_at + LEASE / 3:
                asked = host.renewed_at = self.now
                self.leases[host.id] = (host.member, asked + LEASE)
            host.replicator.lease_until = host.renewed_at + LEASE
        for member in [m for m, (_, until) in self.leases.items() if until <= self.now]:
            del self.leases[member]
        view = MembershipView((member for member, _ in self.leases.values()), self.cells, self.cut_at)
        if view.digest == self.last_view:
            return
        self.last_view = view.digest
        for host in self.alive():
            # Each learns of each view, in order, in its own time.
            delay = self.rng.uniform(0.001, 0.03)
            self.at(
                self.now + delay, lambda h=host: h.does(lambda: h.replicator.view_changed(view, gap=False))
            )

    # Upstreams and clients.

    def run(self, host: Host, item: ReplicatedRequest, number: int, epoch: int) -> None:
        self.runs[item.key].append((self.now, host.id, epoch))
        known = self.holders.get(item.key)
        if known is not None and not any(member in self.leases for member in known):
            self.lost.add(item.key)
        # An owner of another cell is not asked by a new home: what its keepers know counts.
        view = host.replicator.view
        outside = view.cells > 1 and item.replicas and view.cell(item.key) != view.cell_of(host.id)
        self.holders[item.key] = {*item.replicas, *(known or ()), *(() if outside else (host.id,))}
        if not item.replicas and len(host.replicator.view.members) != 1:
            self.uncovered.add(item.key)
        if self.trace == item.key:
            print(f"{self.now:.4f} {host.id} RUNS {number} of epoch {epoch}")

    def ask(self, name: bytes, effect: str, until: float, repeat: bool = False) -> None:
        alive = self.alive()
        if not alive:
            return
        host = self.rng.choice([h for h in alive if h.id in h.replicator.view] or alive)
        self.effects[name] = effect
        request = Request(name, effect, until, repeat, len(self.requests))
        self.requests.append(request)
        self.open.add(request.number)
        request.member = host
        if self.trace == name:
            print(f"{self.now:.4f} client asks {host.id}, repeat {repeat}")
        host.does(lambda: host.take(request))
        self.at(until, lambda: self._late(request))

    def _late(self, request: Request) -> None:
        if not request.end:
            request.end = "late"
            self.open.discard(request.number)

    def answered(self, request: Request, reply: RecordedResponse) -> None:
        if request.end:
            if request.end.isdigit():
                self.twice.append(request)
            return
        request.end = str(reply.status)
        self.open.discard(request.number)
        if self.trace == request.name:
            print(f"{self.now:.4f} answer {reply.status} for try {request.number}")
        self.answers[request.name].append((self.now, reply.status, request.number))
        if reply.status == 503:
            self._come_again(request, "503", max(reply.retry_after, 0.02))

    def _come_again(self, request: Request, end: str, after: float = 0.02) -> None:
        request.end = request.end or end
        self.open.discard(request.number)
        if self.now + after < request.until - 0.02:
            self.at(
                self.now + after, lambda: self.ask(request.name, request.effect, request.until, repeat=True)
            )

    # Playing.

    def play(
        self, seconds: float, rate: float, faults: Timetable, twins: float = 0.05, recuts: Iterable[int] = ()
    ) -> None:
        """Work for so long, with faults; then what is open comes to its end.

        `recuts`: into how many cells the fleet is cut, one after another, in equal parts of that time.
        """
        start = self.now + 1.0
        self.until(start)
        for number in range(int(rate * seconds)):
            at, name = start + number / rate, f"w{number}".encode()
            effect = EFFECTS[number % 3]
            self.at(at, lambda n=name, e=effect, a=at: self.ask(n, e, a + EXPIRY))
            if self.rng.random() < twins:
                # Another client of that name, at the same moment or later.
                when = at + self.rng.choice((0.0, self.rng.uniform(0, EXPIRY / 2)))
                self.at(when, lambda n=name, e=effect, a=at: self.ask(n, e, a + EXPIRY))
        for what, often in vars(faults).items():
            if what == "longest":
                continue
            for _ in range(int(often * seconds) + (self.rng.random() < often * seconds % 1)):
                at = start + self.rng.uniform(0, seconds)
                lasts = self.rng.uniform(0.05, faults.longest)
                self.at(at, lambda w=what, t=lasts: getattr(self, "_fault_" + w)(t))
        for number, cells in enumerate(recuts := list(recuts)):
            at = start + (number + self.rng.random()) * seconds / len(recuts)
            self.at(at, lambda c=cells: self.recut(c))
        self.until(start + seconds + 2 * EXPIRY)

    def _pair(self) -> list[Host]:
        alive = self.alive()
        return self.rng.sample(alive, 2) if len(alive) > 2 else []

    def _fault_crash(self, lasts: float) -> None:
        alive = self.alive()
        if len(alive) > 2:
            self.crash(self.rng.choice(alive), back_after=lasts)

    def _fault_pause(self, lasts: float) -> None:
        if alive := self.alive():
            host = self.rng.choice(alive)
            host.paused_until = self.now + lasts
            self.at(host.paused_until, host.goes_on)

    def _fault_cut(self, lasts: float) -> None:
        if pair := self._pair():
            for one, other in (pair, pair[::-1]):
                self.cut[one.name, other.name] = self.now + lasts

    def _fault_one_way(self, lasts: float) -> None:
        if pair := self._pair():
            self.cut[pair[0].name, pair[1].name] = self.now + lasts

    def _fault_reset(self, lasts: float) -> None:
        hosts = [h for h in self.alive() if h.links and self.now >= h.paused_until]
        if hosts:
            host = self.rng.choice(hosts)
            self._close(self.rng.choice(list(host.links.values())), host)

    def _fault_arbiter(self, lasts: float) -> None:
        self.arbiter_down_until = self.now + lasts

    # Verdicts.

    def broken(self) -> list[str]:
        """Promises that were not kept, from what upstreams and clients saw."""
        told = [f"answered twice: {r.name!r} try {r.number}" for r in self.twice]
        for name, runs in self.runs.items():
            effect = self.effects[name]
            if name in self.uncovered or name in self.lost:
                continue
            if effect == "exclusive" and len(runs) > 1:
                told.append(f"once: {name!r} ran {len(runs)} times: {runs}")
            if effect == "ticketed" and runs[-1][0] > runs[0][0] + MEMORY:
                told.append(f"ticketed: {name!r} ran again after {runs[-1][0] - runs[0][0]:.3f} s")
        for name, answers in self.answers.items():
            if any(status == 200 for _, status, _ in answers) and name not in self.runs:
                told.append(f"no such answer: {name!r}: {answers}")
        return told

    def finished(self, names: Iterable[bytes]) -> int:
        return sum(any(s == 200 for _, s, _ in self.answers[n]) for n in names)


@dataclass
class Outcome:
    seed: int
    counts: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)


def play(
    seed: int,
    members: int = 8,
    seconds: float = 6.0,
    rate: float = 150.0,
    faults: Timetable | None = None,
    kind: Callable[..., Any] = RequestReplicator,
    trace: bytes | None = None,
    twins: float = 0.05,
    cells: int = 1,
    recuts: Iterable[int] = (),
) -> Outcome:
    """One seed; `kind` may be a broken variant that the checks must catch."""
    world = World(seed, members, kind, trace, cells)
    world.play(seconds, rate, faults or Timetable(), twins, recuts)
    ends = Counter(r.end or "open" for r in world.requests)
    names = list(world.effects)
    counts = {"work": len(names), "finished": world.finished(names), **dict(sorted(ends.items()))}
    again = [n for n in world.uncovered if world.effects[n] == "exclusive" and len(world.runs[n]) > 1]
    counts |= {"ran uncovered": len(world.uncovered), "of these exclusive, twice": len(again)}
    counts["all lost"] = len(world.lost)
    counts |= {"frames": sum(world.frames.values())} | dict(sorted(world.notes.items()))
    if cells > 1 or recuts:
        counts |= {"links, most": world.most_links, "told": world.frames["ViewSyncedFrame"]}
        covers = [host.replicator for host in world.alive()]
        for name in ("given_up", "stood_in", "uncovered", "waited_out", "not_sure", "superseded", "held"):
            counts[name] = sum(cover.counts[name] for cover in covers)
    return Outcome(seed, counts, world.broken())
