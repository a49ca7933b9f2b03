"""A sidecar as a member of its fleet; loaded only where the configuration has a `fleet` part."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...fleet.part import FleetConfig
from .calls import CALLS
from .connection import ReplicatedHttp1Connection
from .mail import EntryLost
from .module import ReplicatingCoordinator
from .policy import PolicyController
from .start import FleetMember, MemberIdentity

if TYPE_CHECKING:
    from ..lifecycle.start import Node


class SidecarFleet(FleetMember):
    """One sidecar's actors of the fleet, and what operators can ask of them."""

    module: ReplicatingCoordinator
    calls = CALLS

    def __init__(self, node: Node, part: FleetConfig, sock: socket.socket) -> None:
        def ruling(me: str) -> PolicyController:
            return PolicyController(
                node.config, part, me, node.loop.now(), lambda: node.terms, node.retune, node.log
            )

        def module(
            me: str, ruling: PolicyController, lapsed: Callable[[EntryLost], None]
        ) -> ReplicatingCoordinator:
            return ReplicatingCoordinator(node, me, part, lapsed, ruling)

        who = MemberIdentity(node.config.name, node.terms.zone, node.config.seed)
        super().__init__(node.loop, node.pool, node.log, part, sock, who, ruling, module)
        node.connection = ReplicatedHttp1Connection
