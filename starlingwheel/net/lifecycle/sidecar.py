"""The composition root: builds the actors of one sidecar, starts them and runs the loop."""

from __future__ import annotations

import gc
import os
import resource
import socket
import sys
from collections.abc import Mapping

import msgspec

from ...decisions.config import BalancerConfig
from ..actor import Actor
from ..context import SidecarContext
from ..coordinator import RequestCoordinator
from ..discovery.client import DiscoveryClient
from ..gossip.socket import GossipSocket
from ..http.http1 import Http1Connection
from ..http.listener import ClientListener
from ..state.siblings import SiblingProcesses
from .config import ConfigError, SidecarConfig, load_config
from .shutdown import ClientDrainer, ShutdownController
from .signals import SignalHandler
from .sockets import adopt_listening_socket, bind_socket
from .stats import StatsReporter

GC_THRESHOLD = 10_000  # net allocations after which the garbage collector looks for reference cycles


class Sidecar:
    """One sidecar: its context and its actors."""

    def __init__(
        self,
        config: SidecarConfig,
        balancer_config: BalancerConfig,
        environment: Mapping[str, str],
        log_fd: int = 1,
    ) -> None:
        """Build the actors and bind their sockets; raises `ConfigError` if an address can't be bound."""
        context = self.context = SidecarContext(config, balancer_config, environment, log_fd)
        # Some imports are inside this method, so that features that are not configured do not slow the start.
        context.connection_type = Http1Connection
        if balancer_config.streams_per_connection > 1:
            from ..http.http2 import Http2Connection

            context.connection_type = Http2Connection
        discovery = context.discovery = DiscoveryClient(context, config.known)
        coordinator = context.coordinator = self._build_coordinator()
        listener = context.listener = ClientListener(context, self._client_socket())
        gossip_socket = context.gossip_socket = self._build_gossip_socket()
        shutdown = context.shutdown = ShutdownController(context)
        client_drainer = context.client_drainer = ClientDrainer(context)
        if config.mgmt:
            from ..admin.listener import AdminListener

            context.admin_listener = AdminListener(context, bind_socket(socket.SOCK_STREAM, config.mgmt))
        signals = context.signals = SignalHandler(context)
        # The actors, in the order in which they are started.
        self.actors: list[Actor] = [
            signals,
            coordinator,
            discovery,
            listener,
            StatsReporter(context),
            shutdown,
            client_drainer,
        ]
        if gossip_socket is not None:
            self.actors.insert(0, gossip_socket)

    def _build_gossip_socket(self) -> GossipSocket | None:
        context = self.context
        if not context.config.peer_listen or not context.balancer_config.gossip_allowed:
            return None
        # While one process replaces another, both are bound to the address, and the later one receives.
        reuse_address = bool(context.passed_socket)
        sock = bind_socket(socket.SOCK_DGRAM, context.config.peer_listen, reuse_address)
        return GossipSocket(context, sock)

    def _build_coordinator(self) -> RequestCoordinator:
        context = self.context
        fleet_config = context.config.fleet
        if fleet_config is None:
            return RequestCoordinator(context)
        from ..fleet.sidecar import SidecarFleet

        sock = bind_socket(socket.SOCK_STREAM, fleet_config.listen, reuse_port=bool(context.passed_socket))
        context.fleet = SidecarFleet(context, fleet_config, sock)
        return context.fleet.host

    def _client_socket(self) -> socket.socket:
        context = self.context
        if context.passed_socket:
            return adopt_listening_socket(context.passed_socket)
        return bind_socket(socket.SOCK_STREAM, context.config.listen)

    def begin(self) -> None:
        """Start the actors."""
        context = self.context
        for actor in self.actors:
            actor.begin()
        self._join_siblings()
        if context.admin_listener is not None:
            context.admin_listener.begin()
        if context.fleet is not None:
            context.fleet.begin()
        self._log_start()
        context.log_contradictory_settings()

    def _join_siblings(self) -> None:
        context = self.context
        if not context.passed_socket or not (folder := context.environment.get("TMPDIR")):
            return
        try:
            context.siblings = SiblingProcesses(folder)
        except OSError as error:
            context.log("beside.failed", error=str(error))
        context.request_ids.share(folder)
        context.check_siblings()

    def _log_start(self) -> None:
        context = self.context
        context.log(
            "start",
            name=context.config.name,
            listen=context.config.listen,
            pid=os.getpid(),
            **msgspec.structs.asdict(context.config.limits),
            shortest_ms=context.shortest_objective * 1000,
            longest_ms=context.longest_timeout * 1000,
        )

    def run(self) -> None:
        """Run until the shutdown is complete."""
        context = self.context
        context.loop.run()
        context.loop.close()
        context.log("end")
        context.log.flush()


def _raise_descriptor_limit(wanted: int) -> int:
    """Raise the soft limit of descriptors as far as the hard limit allows; return the new soft limit."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft


def main() -> int:
    """Run one sidecar, configured by its environment; return the exit code."""
    try:
        config, balancer_config = load_config(os.environ)
        wanted = config.limits.sockets
        soft = _raise_descriptor_limit(wanted)
        sidecar = Sidecar(config, balancer_config, os.environ)
        if soft < wanted:
            sidecar.context.log("limits.lower", sockets=soft, told=wanted)
    except ConfigError as error:
        print(f"starlingwheel: {error}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)  # reference counting frees nearly all memory
    sidecar.begin()
    sidecar.run()
    return 0
