"""A sidecar as a member of its fleet; loaded only where the configuration has a `fleet` part."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...fleet.part import FleetPart
from .calls import CALLS
from .connection import HoldingConnection
from .mail import Lapsed
from .module import CoveringModule
from .policy import Ruling
from .start import Fleet, Who

if TYPE_CHECKING:
    from ..lifecycle.start import Node


class Sidecar(Fleet):
    """One sidecar's actors of the fleet, and what operators can ask of them."""

    module: CoveringModule
    calls = CALLS

    def __init__(self, node: Node, part: FleetPart, sock: socket.socket) -> None:
        def ruling(me: str) -> Ruling:
            return Ruling(node.config, part, me, node.loop.now(), lambda: node.terms, node.retune, node.log)

        def module(me: str, ruling: Ruling, lapsed: Callable[[Lapsed], None]) -> CoveringModule:
            return CoveringModule(node, me, part, lapsed, ruling)

        who = Who(node.config.name, node.terms.zone, node.config.seed)
        super().__init__(node.loop, node.pool, node.log, part, sock, who, ruling, module)
        node.connection = HoldingConnection
