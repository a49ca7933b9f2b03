"""A hollow member: the program's `FleetMember`, with a `HollowHost` and clients that send requests."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import msgspec

from starlingwheel.decisions.config import BalancerConfig
from starlingwheel.fleet.config import FleetConfig
from starlingwheel.fleet.frames import HelloFrame
from starlingwheel.net.actor import Actor, Coroutine
from starlingwheel.net.fleet.etcd import EtcdSession
from starlingwheel.net.fleet.links import LinkRejectedError, PeerLink
from starlingwheel.net.fleet.member import FleetMember, MemberIdentity
from starlingwheel.net.fleet.messages import EntryLost
from starlingwheel.net.fleet.policy import PolicyController
from starlingwheel.net.lifecycle.config import SidecarConfig, balancer_config_of
from starlingwheel.net.lifecycle.sockets import LISTEN_BACKLOG
from starlingwheel.net.loop import READ
from starlingwheel.net.messages import CLOSE
from starlingwheel.net.state.buffers import BufferPool

from .hollow_host import HollowHost, RequestArrived
from .metered import Meter, MeteredLoop


class TrialEndReason(StrEnum):
    """Why a link ends that the trial ends."""

    CUT = "cut"


class HollowFleet(FleetMember):
    """The actors of a hollow member."""

    host: HollowHost


class ClientLoad(Actor):
    """Clients of one member: so many named requests a second, at random moments."""

    def __init__(self, loop: MeteredLoop, host: HollowHost, rate: float, rng: random.Random) -> None:
        """`rate`: requests a second."""
        self.host = host
        self.rate = rate
        self.rng = rng
        super().__init__(loop)

    def run(self) -> Coroutine[None]:
        """Send requests for ever."""
        at = self.loop.now()
        while True:
            at += self.rng.expovariate(self.rate)
            while self.loop.now() < at:
                yield at
            self.host.post(RequestArrived(f"{self.rng.getrandbits(64):x}".encode()))


class HollowMember:
    """One hollow member, with the same name and address as often as it is started."""

    def __init__(
        self, loop: MeteredLoop, pool: BufferPool, name: str, host: str, port: int, run: dict[str, Any]
    ) -> None:
        """`host`, `port`: where it listens for links; `run`: the settings and the fleet part of the run."""
        self.loop = loop
        self.pool = pool
        self.name = name
        self.host = host
        self.port = port
        seed = f"{run['seed']}-{name}"
        self.config = SidecarConfig(f"{host}:1", f"{host}:1", run["settings"], name=name, seed=seed)
        self.balancer_config = balancer_config_of(self.config, "scale")
        part = run["fleet"] | {"listen": f"{host}:{port}", "advertise": ""}
        self.part = msgspec.convert(part, FleetConfig)
        self.rng = random.Random(seed)
        self.meter = Meter()
        self.fleet: HollowFleet | None = None
        self.actors: list[Actor] = []
        self.clients: ClientLoad | None = None
        self.side: dict[str, int] = {}  # by member name, while the network is cut
        self.started = 0.0
        self.ready_s = 0.0  # seconds from the start until it was ready; 0: not yet

    def log(self, event: str, **fields: object) -> None:
        """Count what a sidecar would log."""
        if self.fleet is not None:
            self.fleet.host.counts[f"log.{event}"] += 1

    # Start and end

    def enter(self) -> None:
        """Listen and register; the watch begins with `join`, links with `link`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, self.port))
        sock.listen(LISTEN_BACKLOG)
        with MeteredSockets(self.loop, self.meter):
            self.fleet = fleet = self._make_fleet(sock)
        self.actors = [
            fleet.host,
            fleet.lease_keeper,
            fleet.state_watcher,
            fleet.member_evictor,
            fleet.state_writer,
            fleet.links,
            fleet.policy_poller,
        ]
        for actor in self.actors:
            actor.meter = self.meter
        self.identify = fleet.links.identify
        fleet.links.identify = self._identify
        self.started, self.ready_s = self.loop.now(), 0.0
        # Its messages wait until it has begun, and those who dial wait in the kernel.
        fleet.links.queued = True
        self.loop.unregister(sock.fileno())
        fleet.host.begin()
        fleet.lease_keeper.begin()

    def _make_fleet(self, sock: socket.socket) -> HollowFleet:
        identity = MemberIdentity(self.name, self.balancer_config.zone, self.config.seed)
        return HollowFleet(
            self.loop,
            self.pool,
            self.log,
            self.part,
            sock,
            identity,
            self._make_policy_controller,
            self._make_host,
        )

    def _make_policy_controller(self, member_id: str) -> PolicyController:
        return PolicyController(
            self.config,
            self.part,
            member_id,
            self.loop.now(),
            lambda: self.balancer_config,
            self._reload,
            self.log,
        )

    def _make_host(
        self,
        member_id: str,
        policy_controller: PolicyController,
        on_entry_lost: Callable[[EntryLost], None],
    ) -> HollowHost:
        return HollowHost(
            self.loop,
            member_id,
            self.part,
            on_entry_lost,
            policy_controller,
            self.balancer_config,
            self.log,
        )

    def _reload(self, config: BalancerConfig) -> None:
        self.balancer_config = config

    def join(self) -> None:
        """Follow the records of the store."""
        fleet = self.fleet
        assert fleet is not None
        fleet.policy_controller.policy_replica.restore()
        for actor in (fleet.state_watcher, fleet.member_evictor, fleet.state_writer, fleet.policy_poller):
            actor.begin()

    def link(self) -> None:
        """Accept and dial links."""
        assert self.fleet is not None
        links = self.fleet.links
        self.started = self.loop.now()
        self.loop.register(links.sock.fileno(), links, READ)
        links.begin()
        links.queued = False
        if links.mailbox:
            self.loop.queue(links)

    def start(self) -> None:
        """Do all at once, as a process does."""
        self.enter()
        self.join()
        began = self.started
        self.link()
        self.started = began

    def kill(self) -> None:
        """End as a killed process does: its sockets close, nothing is sent."""
        assert self.fleet is not None
        self.set_work(0.0)
        watching = self.loop.actors_by_descriptor.values()
        mine = {actor for actor in watching if self.loop.meter_of(actor) is self.meter}
        actors = {*mine, *self.actors}
        fleet, self.fleet = self.fleet, None
        for actor in actors:
            actor.daemon = False
            actor.ended = True
            actor.mailbox.clear()
        fleet.links.link_ended = lambda *_: None  # a killed process checks on nobody
        sock = fleet.links.sock
        self.loop.unregister(sock.fileno())
        sock.close()
        for actor in actors:
            actor.coroutine.close()
            if isinstance(actor, EtcdSession):
                actor.connection.close()

    def set_work(self, rate: float) -> None:
        """Have clients send so many requests a second; 0: none."""
        if self.clients is not None:
            self.clients.ended = True
            self.clients.coroutine.close()
            self.clients = None
        if rate and self.fleet is not None:
            self.clients = ClientLoad(self.loop, self.fleet.host, rate, self.rng)
            self.clients.meter = self.meter
            self.clients.begin()

    # A cut of the network

    def _identify(self, link: PeerLink, hello: HelloFrame) -> str:
        member = self.identify(link, hello)
        if self._is_cut_from(member):
            raise LinkRejectedError(TrialEndReason.CUT)
        return member

    def _is_cut_from(self, member: str) -> bool:
        other = self.side.get(member.rpartition(".")[0], 0)
        return bool(self.side) and other != self.side.get(self.name, 0)

    def cut(self, side: dict[str, int]) -> None:
        """End the links between the sides, and reject new ones; empty: all are accepted again."""
        self.side = side
        if self.fleet is not None:
            for member, link in list(self.fleet.links.links.items()):
                if self._is_cut_from(member):
                    link.post(CLOSE)

    # State

    def _wanted_links(self, fleet: HollowFleet) -> set[str]:
        wanted = set(fleet.host.replicator.view.peers(fleet.member_id)) - {fleet.member_id}
        return {member for member in wanted if not self._is_cut_from(member)}

    @property
    def ready(self) -> bool:
        """Whether it serves, knows what the others own, and has all its links."""
        fleet = self.fleet
        if fleet is None or not fleet.joined or not fleet.host.replicator.is_synced:
            return False
        return self._wanted_links(fleet) <= fleet.links.links.keys()


class MeteredSockets:
    """A context in which the sockets of actors without a meter are counted by one meter."""

    def __init__(self, loop: MeteredLoop, meter: Meter) -> None:
        """`meter`: of the member that is made inside."""
        self.loop = loop
        self.meter = meter

    def __enter__(self) -> None:
        """Use the meter."""
        self.before, self.loop.shared_meter = self.loop.shared_meter, self.meter

    def __exit__(self, *_: object) -> None:
        """Use the loop's own meter again."""
        self.loop.shared_meter = self.before
