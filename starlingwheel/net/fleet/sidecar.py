"""A sidecar as a member of its fleet; imported only if the configuration has a `fleet` part."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ...fleet.config import FleetConfig
from ..context import SidecarContext
from .admin import ADMIN_ROUTES
from .connection import ReplicatedHttp1Connection
from .coordinator import ReplicatingCoordinator
from .member import FleetMember, MemberIdentity
from .messages import EntryLost
from .policy import PolicyController


class SidecarFleet(FleetMember):
    """One sidecar's actors of the fleet, and their admin calls."""

    host: ReplicatingCoordinator
    admin_routes = ADMIN_ROUTES

    def __init__(self, context: SidecarContext, config: FleetConfig, sock: socket.socket) -> None:
        """Build the actors. `config`: the configuration's `fleet` part; `sock` listens for links."""
        self.context = context
        self.config = config
        super().__init__(
            context.loop,
            context.buffer_pool,
            context.log,
            config,
            sock,
            MemberIdentity(context.config.name, context.balancer_config.zone, context.config.seed),
            self._make_policy_controller,
            self._make_coordinator,
        )
        context.connection_type = ReplicatedHttp1Connection

    def _make_policy_controller(self, member_id: str) -> PolicyController:
        context = self.context
        return PolicyController(
            context.config,
            self.config,
            member_id,
            context.loop.now(),
            lambda: context.balancer_config,
            context.reload,
            context.log,
        )

    def _make_coordinator(
        self,
        member_id: str,
        policy_controller: PolicyController,
        on_entry_lost: Callable[[EntryLost], None],
    ) -> ReplicatingCoordinator:
        return ReplicatingCoordinator(self.context, member_id, self.config, on_entry_lost, policy_controller)
