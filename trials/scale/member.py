"""A hollow member: the program's `Fleet` and `Hosting`, and a deciding part that answers after a while."""

from __future__ import annotations

import hashlib
import heapq
import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import Any

import msgspec

from starlingwheel.decisions.config import BalancerConfig
from starlingwheel.fleet.config import FleetConfig, ReplicationConfig
from starlingwheel.fleet.frames import AttemptIntent, RecordedRequest, RecordedResponse, ReplicateFrame
from starlingwheel.fleet.replication.replicator import (
    DEFERRED,
    FINISHED,
    RERUNNABLE,
    UNSENT,
    WRITTEN_OFF,
    BeginResult,
    ReplicatedRequest,
)
from starlingwheel.net.actor import Actor, Coroutine
from starlingwheel.net.fleet.etcd import EtcdSession
from starlingwheel.net.fleet.host import FleetHost
from starlingwheel.net.fleet.links import LinkRejectedError
from starlingwheel.net.fleet.member import FleetMember, MemberIdentity
from starlingwheel.net.fleet.messages import EntryLost
from starlingwheel.net.fleet.policy import PolicyController
from starlingwheel.net.lifecycle.config import SidecarConfig, balancer_config_of
from starlingwheel.net.lifecycle.sockets import LISTEN_BACKLOG
from starlingwheel.net.loop import READ
from starlingwheel.net.messages import CLOSE
from starlingwheel.net.state.buffers import BufferPool

from .metered import Meter, MeteredLoop

SERVICE = 0.005  # seconds that a hand-off takes
ROOM = 24 << 20  # bytes kept for others: an eighth of a sidecar's usual limit
LOOKED = 0.02  # seconds between looks whether a member is ready


class TrialEndReason(StrEnum):
    """Why a link ends that the trial ends."""

    CUT = "cut"


@dataclass(slots=True, eq=False)
class Handed:
    """One hand-off of an item, to an upstream that is none."""

    item: ReplicatedRequest
    at: float


@dataclass(slots=True, eq=False)
class Begin:
    """To the module: a client comes with work of that name."""

    name: bytes


@dataclass(slots=True, eq=False)
class Dropped:
    """To the module: that hand-off is not to be made."""

    handed: Handed


class Deciding(FleetHost, Actor):
    """The module of a hollow member: one hand-off an item, answered after its service time."""

    daemon = True
    messages_per_turn = 64

    def __init__(
        self,
        loop: MeteredLoop,
        member_id: str,
        part: FleetConfig,
        lapsed: Callable[[EntryLost], None],
        policy_controller: PolicyController,
        terms: BalancerConfig,
        log: Callable[..., None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.frames: Counter[str] = Counter()
        self.category = next(c for c in terms.request_classes if c.name == part.cover.categories[-1])
        shortest = min(c.latency_objective for c in terms.request_classes)
        longest = max(c.timeout for c in terms.request_classes)
        self.services: list[tuple[float, int, Handed]] = []
        self.number, self.alarm_at = 0, inf
        self.covered_s = 0.0  # seconds from a client's coming to its hand-off's release, all together
        self.host(
            loop, member_id, part, policy_controller, lapsed, lambda: self, (shortest, longest), ROOM, log
        )
        Actor.__init__(self, loop)

    def run(self) -> Coroutine[None]:
        while True:
            message = yield min(self.services[0][0] if self.services else inf, self.alarm_at)
            now = self.loop.now()
            if message is None:
                if self.alarm_at <= now:
                    self.alarm_at = inf
                self.replicator.now = self.policy_replica.now = now
                self.tick()
                self._serve(now)
            elif self.hosted(message, now):
                if (frame := getattr(message, "frame", None)) is not None:
                    self.frames[type(frame).__name__] += 1
            elif isinstance(message, Begin):
                self._begin(message.name, now)
            elif isinstance(message, Dropped):
                self._drop(message.handed)
            self.alarm_at = min(self.alarm_at, self.next_at(now))

    def _begin(self, name: bytes, now: float) -> None:
        if self.policy_replica.doubt():
            self.counts["in_doubt"] += 1
            return
        category, effect = self.category, self.category.retry_safety.value
        asked = RecordedRequest(b"POST", b"/" + name, [], b"", name)
        key = category.name.encode() + b"\0" + name
        mark = hashlib.blake2b(name, digest_size=8).digest()
        until = now + category.timeout
        told = ReplicateFrame(
            key,
            self.member_id,
            0,
            False,
            mark,
            category.name,
            effect,
            now,
            until,
            False,
            asked,
            [],
            rules=category,
        )
        word, item = self.replicator.begin(told, object(), until)
        self.counts[word.value] += 1
        if word is BeginResult.RUN:
            self._hand(item, now)

    def _hand(self, item: ReplicatedRequest, now: float) -> None:
        self.hold(Handed(item, now), item, AttemptIntent("u0", "", 0, now))

    def _serve(self, now: float) -> None:
        while self.services and self.services[0][0] <= now:
            handed = heapq.heappop(self.services)[2]
            if self.unhold(handed) is not None:
                self._answered(handed.item, RecordedResponse(FINISHED))

    def _drop(self, handed: Handed) -> None:
        gate = self.unhold(handed)
        if gate is not None:
            self.replicator.ended(gate.item, gate.number, UNSENT)
            self._answered(handed.item, RecordedResponse(DEFERRED))

    def _answered(self, item: ReplicatedRequest, reply: RecordedResponse) -> None:
        given = self.replicator.answered(item, reply)
        self.counts["later" if given is None else f"answered_{given.status}"] += 1

    # The deciding part.

    def decide(self, item: ReplicatedRequest) -> None:
        if item.effect != RERUNNABLE and item.may_have_run:
            self._answered(item, RecordedResponse(WRITTEN_OFF))
        else:
            self._hand(item, self.loop.now())

    def answer(self, item: ReplicatedRequest, client: Any, reply: RecordedResponse) -> None:
        self.counts[f"told_{reply.status}"] += 1

    def released(self, exchange: Handed) -> None:
        now = self.loop.now()
        self.covered_s += now - exchange.at
        self.counts["released"] += 1
        self.number += 1
        heapq.heappush(self.services, (now + SERVICE, self.number, exchange))

    def dropped(self, exchange: Handed) -> None:
        self.post(Dropped(exchange))

    def cover_by(self, part: ReplicationConfig) -> None:
        self.replicator.count = part.keepers

    def retuned(self, terms: BalancerConfig) -> None:
        self.counts["retuned"] += 1

    def share(self, shares: Any, back: Any) -> None:
        """What a plan for zones says: there is nothing here that it concerns."""


class Work(Actor):
    """Clients of one member: so many named work items a second, at drawn moments."""

    def __init__(self, loop: MeteredLoop, module: Deciding, rate: float, rng: random.Random) -> None:
        self.module, self.rate, self.rng = module, rate, rng
        super().__init__(loop)

    def run(self) -> Coroutine[None]:
        at = self.loop.now()
        while True:
            at += self.rng.expovariate(self.rate)
            while self.loop.now() < at:
                yield at
            self.module.post(Begin(f"{self.rng.getrandbits(64):x}".encode()))


class Member:
    """One hollow member, from its start to its end; the same name and address as often as it is started."""

    def __init__(
        self, loop: MeteredLoop, pool: BufferPool, name: str, host: str, port: int, told: dict[str, Any]
    ) -> None:
        self.loop, self.pool, self.name, self.host, self.port = loop, pool, name, host, port
        settings = told["settings"]
        self.config = SidecarConfig(
            f"{host}:1", f"{host}:1", settings, name=name, seed=f"{told['seed']}-{name}"
        )
        self.terms = balancer_config_of(self.config, "scale")
        fleet = told["fleet"] | {"listen": f"{host}:{port}", "advertise": ""}
        self.part = msgspec.convert(fleet, FleetConfig)
        self.rng = random.Random(f"{told['seed']}-{name}")
        self.meter = Meter()
        self.fleet: FleetMember | None = None
        self.work: Work | None = None
        self.side: dict[str, int] = {}  # by name, where links are cut
        self.started = self.ready_s = 0.0

    def log(self, event: str, **fields: Any) -> None:
        """What a sidecar would write is counted."""
        if self.fleet is not None:
            self.fleet.module.counts[f"log.{event}"] += 1

    def enter(self) -> None:
        """Listen, and enter at the arbiter; the watch begins with `join`, links with `link`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, self.port))
        sock.listen(LISTEN_BACKLOG)
        loop, part, terms = self.loop, self.part, self.terms
        who = MemberIdentity(self.name, terms.zone, self.config.seed)
        counting = Counting(loop, self.meter)

        def policy_controller(member_id: str) -> PolicyController:
            return PolicyController(
                self.config, part, member_id, loop.now(), lambda: self.terms, self.retune, self.log
            )

        def module(
            member_id: str, policy_controller: PolicyController, lapsed: Callable[[EntryLost], None]
        ) -> Deciding:
            return Deciding(loop, member_id, part, lapsed, policy_controller, terms, self.log)

        with counting:
            self.fleet = fleet = FleetMember(
                loop, self.pool, self.log, part, sock, who, policy_controller, module
            )
        self.actors = [
            fleet.module, fleet.lease_keeper, fleet.state_watcher, fleet.member_evictor, fleet.state_writer,
            fleet.links, fleet.policy_poller,
        ]  # fmt: skip
        for actor in self.actors:
            actor.meter = self.meter
        self.identify, fleet.links.identify = fleet.links.identify, self._identify
        self.started, self.ready_s = loop.now(), 0.0
        fleet.links.queued = True  # its mail waits until it has begun, and who calls waits in the kernel
        loop.unregister(sock.fileno())
        fleet.module.begin()
        fleet.lease_keeper.begin()

    def join(self) -> None:
        fleet = self.fleet
        assert fleet is not None
        fleet.policy_controller.policy_replica.begin()
        for actor in (fleet.state_watcher, fleet.member_evictor, fleet.state_writer, fleet.policy_poller):
            actor.begin()

    def link(self) -> None:
        assert self.fleet is not None
        links = self.fleet.links
        self.started = self.loop.now()
        self.loop.register(links.sock.fileno(), links, READ)
        links.begin()
        links.queued = False
        if links.mailbox:
            self.loop.queue(links)

    def start(self) -> None:
        """All at once, as a process does."""
        self.enter()
        self.join()
        began = self.started
        self.link()
        self.started = began

    def kill(self) -> None:
        """As a process ends: its sockets close, nothing is said."""
        assert self.fleet is not None
        self.set_work(0.0)
        mine = [a for a in self.loop.actors_by_descriptor.values() if self.loop._meter(a) is self.meter]
        sock = self.fleet.links.sock
        fleet, self.fleet = self.fleet, None
        for actor in {*mine, *self.actors}:
            actor.daemon = False
            actor.ended = True
            actor.mailbox.clear()
        fleet.links.link_ended = lambda *_: None  # guards against one that has ended knocking at others
        self.loop.unregister(sock.fileno())
        sock.close()
        for actor in {*mine, *self.actors}:
            actor.coroutine.close()
            if isinstance(actor, EtcdSession):
                actor.connection.close()

    def retune(self, terms: BalancerConfig) -> None:
        self.terms = terms

    def set_work(self, rate: float) -> None:
        if self.work is not None:
            self.work.ended = True
            self.work.coroutine.close()
            self.work = None
        if rate and self.fleet is not None:
            self.work = Work(self.loop, self.fleet.module, rate, self.rng)
            self.work.meter = self.meter
            self.work.begin()

    # A cut of links.

    def _identify(self, link: Any, hello: Any) -> str:
        member = self.identify(link, hello)
        if self._cut_from(member):
            raise LinkRejectedError(TrialEndReason.CUT)
        return member

    def _cut_from(self, member: str) -> bool:
        other = self.side.get(member.rpartition(".")[0], 0)
        return bool(self.side) and other != self.side.get(self.name, 0)

    def cut(self, side: dict[str, int]) -> None:
        """Links between the sides end, and none comes up; empty: all may again."""
        self.side = side
        if self.fleet is not None:
            for member, link in list(self.fleet.links.links.items()):
                if self._cut_from(member):
                    link.post(CLOSE)

    # What there is to see.

    @property
    def wanted(self) -> set[str]:
        """Members that a link is kept with."""
        view = self.fleet.module.replicator.view
        peers = getattr(view, "peers", None)
        wanted = set(view.members if peers is None else peers(self.fleet.member_id)) - {self.fleet.member_id}
        if self.side:
            wanted = {m for m in wanted if not self._cut_from(m)}
        return wanted

    @property
    def ready(self) -> bool:
        fleet = self.fleet
        if fleet is None or not fleet.joined or not fleet.module.replicator.settled_now:
            return False
        return self.wanted <= fleet.links.links.keys()


class Counting:
    """While a fleet is made: what watches a socket then belongs to its meter."""

    def __init__(self, loop: MeteredLoop, meter: Meter) -> None:
        self.loop, self.meter = loop, meter

    def __enter__(self) -> None:
        self.before, self.loop.nobody = self.loop.nobody, self.meter

    def __exit__(self, *_: object) -> None:
        self.loop.nobody = self.before
