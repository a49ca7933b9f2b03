"""Start: the configuration, the actors of one sidecar, and the loop round them."""

from __future__ import annotations

import gc
import os
import random
import resource
import socket
import sys
from collections.abc import Mapping
from math import inf
from typing import Any

import msgspec

from ...decisions.config import BalancerConfig, RequestClass, RetrySafety
from ...decisions.events import WatchEvent
from ...decisions.lease import EndpointLease
from ...settings import mixed
from ..actor import Actor
from ..gate import AttemptGate
from ..loop import Loop
from ..mail import DRAIN, ConfigReloaded, EndpointsChanged
from ..memory.beside import SiblingProcesses
from ..memory.buffers import BUFFER_SIZE, BufferPool
from ..memory.connections import ConnectionTracker
from ..memory.out import EndpointOverrides
from ..module import RequestCoordinator
from ..wire.address import split
from ..wire.client import BACKLOG, ClientListener
from ..wire.datagrams import GossipSocket
from ..wire.discovery import DiscoveryClient
from ..wire.upstream import Http1Connection
from .config import ConfigError, SidecarConfig, load_config
from .log import EventLog
from .signals import SignalHandler
from .stop import ClientDrainer, ShutdownController, StatsReporter

COLLECT = 10_000  # objects more than were freed, after which cycles are looked for
FORMER = 3.0  # seconds for which clients may still use a category that was dropped
BUFFERS = 1 / 3  # part of the memory limit that buffers may take


class Node:
    """One sidecar: what its actors share."""

    def __init__(
        self, config: SidecarConfig, terms: BalancerConfig, environment: Mapping[str, str], log_fd: int = 1
    ) -> None:
        self.config, self.environment = config, environment
        self.loop = Loop(self.defect)
        self.former: list[
            tuple[float, RequestClass]
        ] = []  # categories as they were, and until when they count
        self.processes = 1
        self._agree(terms)
        self.log = EventLog(self.loop.now, log_fd)
        self.loop.each_turn = self.log.flush
        self.passed = environment.get("EDGE_PASSED_SOCKET", "")
        self.pool = BufferPool(0)
        self.ledger = ConnectionTracker(config.limits.sockets, bool(config.mgmt))
        self.beside: SiblingProcesses | None = None
        self.share(1)
        self.out = EndpointOverrides(
            environment.get("TMPDIR") if config.mgmt else None, self.loop.now, self.log
        )
        self.lease = EndpointLease(terms.drain_grace, pushed=not terms.must_watch_endpoints)
        self.gate = AttemptGate(self.lease, self.out, self.loop.now, self.log)
        self.in_hand: set[bytes] = set()  # the traces of what clients wait for
        self.resets_until = -inf  # until then connections to upstreams are taken to break at any time
        self.unasked_until = -inf  # until then second answers are taken to come at any time
        self.stopping = False
        self.datagrams: GossipSocket | None = None
        self.connection: Any = Http1Connection
        if terms.streams_per_connection > 1:
            from ..wire.streams import Http2Connection  # costs a start without it no import

            self.connection = Http2Connection
        self.chance = random.Random(config.seed)
        self.list = DiscoveryClient(self, config.known)
        self.fleet: Any = None
        if config.fleet is not None:
            from ..fleet.sidecar import SidecarFleet  # costs a start without it no import

            sock = self._bound(socket.SOCK_STREAM, config.fleet.listen, shared=bool(self.passed))
            self.fleet = SidecarFleet(self, config.fleet, sock)
        self.module = self.fleet.module if self.fleet is not None else RequestCoordinator(self)
        self.listener = ClientListener(
            self, self._passed() if self.passed else self._bound(socket.SOCK_STREAM, config.listen)
        )
        if config.peer_listen and terms.gossip_allowed:
            self.datagrams = GossipSocket(self, self._bound(socket.SOCK_DGRAM, config.peer_listen))
        self.pulse = StatsReporter(self)
        self.stopper, self.drainer = ShutdownController(self), ClientDrainer(self)
        self.operators: Any = None
        if config.mgmt:
            from ..wire.operators import AdminListener  # costs a start without it no import

            self.operators = AdminListener(self, self._bound(socket.SOCK_STREAM, config.mgmt))
        self.signals = SignalHandler(self)

    def share(self, processes: int) -> None:
        """So many processes of this sidecar share its limits and its part of each cold upstream."""
        limits = self.config.limits
        self.processes = processes
        self.pool.limit(int(limits.memory_mb * BUFFERS * 2**20 / BUFFER_SIZE / processes))
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Guards against clients taking, of fewer descriptors than were told, also those for discovery's call.
        sockets = limits.sockets if soft == resource.RLIM_INFINITY else min(limits.sockets, soft)
        self.ledger.limit(sockets, processes)

    def look_beside(self) -> None:
        processes = 1 + (self.beside is not None and self.beside.others())
        if processes != self.processes:
            self.log("processes", count=processes)
            self.share(processes)
            self.retune(self.terms)

    def retune(self, terms: BalancerConfig) -> None:
        """New terms, whole, for all that comes from now on."""
        now = self.loop.now()
        self.former = [(until, c) for until, c in self.former if until > now]
        # Guards against losing requests of clients that have not heard of the new settings yet.
        self.former += [(now + FORMER, c) for c in self.terms.request_classes]
        self._agree(terms)
        self.module.post(ConfigReloaded(self.terms))

    def tell_mixed(self) -> None:
        """Guards against an operator's slip going unseen; no start is refused for it."""
        for key, why in mixed(self.config.settings):
            self.log("settings.mixed", key=key, why=why)

    def _agree(self, terms: BalancerConfig) -> None:
        """The one place where figures are derived from the terms."""
        self.terms = msgspec.structs.replace(terms, process_count=self.processes)
        self.categories = {c.name: c for c in terms.request_classes}
        self.customers = {c.name: c for c in terms.tenants}
        self.shortest = min(c.latency_objective for c in terms.request_classes)
        self.longest = max(c.timeout for c in [*terms.request_classes, *(c for _, c in self.former)])

    def category(self, name: str, effect: RetrySafety) -> RequestClass | None:
        """The category of that name whose effect a request's form tells; failing that, the one in force.

        A dropped one, or one that now has another effect, is served by its old rules for a while.
        """
        named = self.categories.get(name)
        # In a fleet nobody takes work under a policy that is over.
        if named is not None and named.retry_safety is effect or not self.former or self.fleet is not None:
            return named
        now = self.loop.now()
        former = (c for until, c in self.former if until > now and c.name == name)
        return next((c for c in former if c.retry_safety is effect), named)

    def _passed(self) -> socket.socket:
        """The clients' listening socket, where the platform holds it."""
        try:
            sock = socket.socket(fileno=int(self.passed))
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except (OSError, ValueError) as error:
            raise ConfigError(f"EDGE_PASSED_SOCKET: {self.passed!r}: {error}") from error
        if not listening:
            sock.detach()
            raise ConfigError(f"EDGE_PASSED_SOCKET: {self.passed!r} is no listening socket")
        return sock

    def _bound(self, kind: socket.SocketKind, address: str, shared: bool = False) -> socket.socket:
        """`shared`: another process of this sidecar may listen there too."""
        sock = socket.socket(socket.AF_INET, kind)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        if kind is socket.SOCK_STREAM or self.passed:
            # Of datagrams: where a process is replaced both have the address, and the last one hears.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(split(address))
        except OSError as error:
            sock.close()
            raise ConfigError(f"{address}: {error.strerror}") from error
        if kind is socket.SOCK_STREAM:
            sock.listen(BACKLOG)
        return sock

    def begin(self) -> None:
        if self.datagrams is not None:
            self.datagrams.begin()
        for actor in (self.signals, self.module, self.list, self.listener, self.pulse, self.stopper):
            actor.begin()
        self.drainer.begin()
        if self.passed and (folder := self.environment.get("TMPDIR")):
            try:
                self.beside = SiblingProcesses(folder)
            except OSError as error:
                self.log("beside.failed", error=str(error))
            self.look_beside()
        if self.operators is not None:
            self.operators.begin()
        if self.fleet is not None:
            self.fleet.begin()
        limits = msgspec.structs.asdict(self.config.limits)
        times = {"shortest_ms": self.shortest * 1000, "longest_ms": self.longest * 1000}
        name, listen = self.config.name, self.config.listen
        self.log("start", name=name, listen=listen, pid=os.getpid(), **limits, **times)
        self.tell_mixed()

    @property
    def takes_clients(self) -> bool:
        return self.module.listed and not self.stopping and self._joined

    @property
    def ready(self) -> bool:
        """What the front is told. One that is being replaced does not speak for the sidecar."""
        stays = not (self.stopping and not self.passed) and not self.lameduck
        return self.module.listed and stays and self._joined

    @property
    def _joined(self) -> bool:
        return self.fleet is None or self.fleet.joined

    @property
    def lameduck(self) -> bool:
        return self.out.kept.lameduck

    def changed(self, entries: list[Any]) -> None:
        """Operators have said something, to this process or to the other one of this sidecar."""
        if entries:
            self.module.post(EndpointsChanged(WatchEvent.DELTA, entries))
        if self.lameduck != self.drainer.on:
            self.drainer.post(DRAIN)

    def defect(self, actor: Actor, error: Exception) -> None:
        self.log.defect("defect", error, actor=type(actor).__name__)


def main() -> int:
    try:
        config, terms = load_config(os.environ)
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = config.limits.sockets
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        node = Node(config, terms, os.environ)
        if soft < wanted:
            node.log("limits.lower", sockets=soft, told=wanted)
    except ConfigError as error:
        print(f"starlingwheel: {error}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT)  # nearly all is freed without the collector
    node.begin()
    node.loop.run()
    node.loop.close()
    node.log("end")
    node.log.flush()
    return 0
