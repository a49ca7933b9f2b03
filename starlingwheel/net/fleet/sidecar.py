"""A sidecar as a member of its fleet; loaded only where the configuration has a `fleet` part."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ...fleet.config import FleetConfig
from ..context import SidecarContext
from .admin import CALLS
from .connection import ReplicatedHttp1Connection
from .coordinator import ReplicatingCoordinator
from .member import FleetMember, MemberIdentity
from .messages import EntryLost
from .policy import PolicyController


class SidecarFleet(FleetMember):
    """One sidecar's actors of the fleet, and what operators can ask of them."""

    module: ReplicatingCoordinator
    calls = CALLS

    def __init__(self, context: SidecarContext, part: FleetConfig, sock: socket.socket) -> None:
        def policy_controller(member_id: str) -> PolicyController:
            return PolicyController(
                context.config,
                part,
                member_id,
                context.loop.now(),
                lambda: context.balancer_config,
                context.reload,
                context.log,
            )

        def module(
            member_id: str, policy_controller: PolicyController, lapsed: Callable[[EntryLost], None]
        ) -> ReplicatingCoordinator:
            return ReplicatingCoordinator(context, member_id, part, lapsed, policy_controller)

        who = MemberIdentity(context.config.name, context.balancer_config.zone, context.config.seed)
        super().__init__(
            context.loop, context.buffer_pool, context.log, part, sock, who, policy_controller, module
        )
        context.connection_type = ReplicatedHttp1Connection
