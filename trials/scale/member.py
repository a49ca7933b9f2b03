"""A hollow member: the program's `FleetMember` with a `HollowHost`, and clients that send requests."""

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
    """Why the trial ends a link."""

    CUT = "cut"


class HollowFleetMember(FleetMember):
    """The program's actors of a hollow member."""

    host: HollowHost


class ClientLoad(Actor):
    """Clients of one member, which send requests with idempotency keys at random times."""

    def __init__(self, loop: MeteredLoop, host: HollowHost, rate: float, rng: random.Random) -> None:
        """`rate`: mean requests a second."""
        self.host = host
        self.rate = rate
        self.rng = rng
        super().__init__(loop)

    def run(self) -> Coroutine[None]:
        """Send requests without end."""
        at = self.loop.now()
        while True:
            at += self.rng.expovariate(self.rate)
            while self.loop.now() < at:
                yield at
            self.host.post(RequestArrived(f"{self.rng.getrandbits(64):x}".encode()))


class HollowMember:
    """One hollow member, which keeps its name and address when it is restarted."""

    def __init__(
        self, loop: MeteredLoop, pool: BufferPool, name: str, host: str, port: int, command: dict[str, Any]
    ) -> None:
        """`host`, `port`: where the member listens for links. `command`: `begin`, as the run sent it."""
        self.loop = loop
        self.pool = pool
        self.name = name
        self.host = host
        self.port = port
        seed = f"{command['seed']}-{name}"
        self.sidecar_config = SidecarConfig(
            f"{host}:1", f"{host}:1", command["settings"], name=name, seed=seed
        )
        self.balancer_config = balancer_config_of(self.sidecar_config, "scale")
        fleet_config = command["fleet"] | {"listen": f"{host}:{port}", "advertise": ""}
        self.fleet_config = msgspec.convert(fleet_config, FleetConfig)
        self.rng = random.Random(seed)
        self.meter = Meter()
        self.fleet: HollowFleetMember | None = None
        self.actors: list[Actor] = []
        self.client_load: ClientLoad | None = None
        self.partition_sides: dict[str, int] = {}  # by member name, while the network is partitioned
        self.started = 0.0
        self.ready_s = 0.0  # seconds from the start until the member was ready; 0: not ready yet

    def log(self, event: str, **fields: object) -> None:
        """Count an event that a sidecar would log."""
        if self.fleet is not None:
            self.fleet.host.counts[f"log.{event}"] += 1

    # Start and end

    def register(self) -> None:
        """Listen and register. `watch_store` starts the watch, and `open_links` the links."""
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
        self.identify_peer = fleet.links.identify
        fleet.links.identify = self._identify
        self.started, self.ready_s = self.loop.now(), 0.0
        # Until `open_links`, messages stay in the mailbox, and connections in the backlog of the kernel.
        fleet.links.queued = True
        self.loop.unregister(sock.fileno())
        fleet.host.begin()
        fleet.lease_keeper.begin()

    def _make_fleet(self, sock: socket.socket) -> HollowFleetMember:
        identity = MemberIdentity(self.name, self.balancer_config.zone, self.sidecar_config.seed)
        return HollowFleetMember(
            self.loop,
            self.pool,
            self.log,
            self.fleet_config,
            sock,
            identity,
            self._make_policy_controller,
            self._make_host,
        )

    def _make_policy_controller(self, member_id: str) -> PolicyController:
        return PolicyController(
            self.sidecar_config,
            self.fleet_config,
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
            self.fleet_config,
            on_entry_lost,
            policy_controller,
            self.balancer_config,
            self.log,
        )

    def _reload(self, config: BalancerConfig) -> None:
        self.balancer_config = config

    def watch_store(self) -> None:
        """Start to watch the records of the store."""
        fleet = self.fleet
        assert fleet is not None
        fleet.policy_controller.policy_replica.restore()
        for actor in (fleet.state_watcher, fleet.member_evictor, fleet.state_writer, fleet.policy_poller):
            actor.begin()

    def open_links(self) -> None:
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
        """Start everything at once, as a process does."""
        self.register()
        self.watch_store()
        started = self.started
        self.open_links()
        self.started = started

    def kill(self) -> None:
        """End as a killed process does: the sockets are closed, and no messages are sent."""
        assert self.fleet is not None
        self.set_request_rate(0.0)
        registered = self.loop.actors_by_descriptor.values()
        own_actors = {actor for actor in registered if self.loop.meter_of(actor) is self.meter}
        actors = {*own_actors, *self.actors}
        fleet, self.fleet = self.fleet, None
        for actor in actors:
            actor.daemon = False
            actor.ended = True
            actor.mailbox.clear()
        fleet.links.link_ended = lambda *_: None  # a killed process checks no peers
        sock = fleet.links.sock
        self.loop.unregister(sock.fileno())
        sock.close()
        for actor in actors:
            actor.coroutine.close()
            if isinstance(actor, EtcdSession):
                actor.connection.close()

    def set_request_rate(self, rate: float) -> None:
        """Have clients send `rate` requests a second; 0: none."""
        if self.client_load is not None:
            self.client_load.ended = True
            self.client_load.coroutine.close()
            self.client_load = None
        if rate and self.fleet is not None:
            self.client_load = ClientLoad(self.loop, self.fleet.host, rate, self.rng)
            self.client_load.meter = self.meter
            self.client_load.begin()

    # Network partition

    def _identify(self, link: PeerLink, hello: HelloFrame) -> str:
        member = self.identify_peer(link, hello)
        if self._is_partitioned_from(member):
            raise LinkRejectedError(TrialEndReason.CUT)
        return member

    def _is_partitioned_from(self, member: str) -> bool:
        other = self.partition_sides.get(member.rpartition(".")[0], 0)
        return bool(self.partition_sides) and other != self.partition_sides.get(self.name, 0)

    def partition(self, sides: dict[str, int]) -> None:
        """End the links between the sides and reject new ones. An empty dict ends the partition."""
        self.partition_sides = sides
        if self.fleet is not None:
            for member, link in list(self.fleet.links.links.items()):
                if self._is_partitioned_from(member):
                    link.post(CLOSE)

    # State

    def _expected_peers(self, fleet: HollowFleetMember) -> set[str]:
        expected = set(fleet.host.replicator.view.peers(fleet.member_id)) - {fleet.member_id}
        return {member for member in expected if not self._is_partitioned_from(member)}

    @property
    def ready(self) -> bool:
        """Whether the member has joined, is synchronized and has links to all expected peers."""
        fleet = self.fleet
        if fleet is None or not fleet.joined or not fleet.host.replicator.is_synced:
            return False
        return self._expected_peers(fleet) <= fleet.links.links.keys()


class MeteredSockets:
    """A context in which one meter counts the sockets of actors that have no meter."""

    def __init__(self, loop: MeteredLoop, meter: Meter) -> None:
        """`meter`: of the member that is created in the context."""
        self.loop = loop
        self.meter = meter

    def __enter__(self) -> None:
        """Make the meter the loop's shared one."""
        self.before, self.loop.shared_meter = self.loop.shared_meter, self.meter

    def __exit__(self, *_: object) -> None:
        """Restore the loop's shared meter."""
        self.loop.shared_meter = self.before
