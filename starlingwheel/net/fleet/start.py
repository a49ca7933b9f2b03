"""The fleet's part of a start; loaded only where the configuration has a `fleet` part."""

from __future__ import annotations

import random
import socket
from collections import Counter
from math import inf
from typing import TYPE_CHECKING, Any

from ...fleet.part import FleetPart
from ...fleet.view import Member
from .arbiter import Clerk, Lessee, Onlooker
from .connection import HoldingConnection
from .links import Links, greeting
from .mail import Strike, Viewed
from .module import CoveringModule

if TYPE_CHECKING:
    from ..lifecycle.start import Node


LATE = 8.0  # leases after which a sidecar that can't reach the arbiter serves all the same, uncovered


class Fleet:
    """One sidecar's actors of the fleet."""

    def __init__(self, node: Node, part: FleetPart, sock: socket.socket) -> None:
        chance = random.Random(f"{node.config.seed} fleet")
        address = part.advertise or "{}:{}".format(*sock.getsockname())
        # New with each start, also where two starts are given the same seed.
        self.me = f"{node.config.name or 'sidecar'}.{random.SystemRandom().getrandbits(48):012x}"
        member = Member(self.me, node.config.name, address, node.terms.zone)
        given = (node.loop, part.arbiter, float(part.lease_s), node.pool, node.log, chance)
        self.lessee = Lessee(*given, fleet=part.name, member=member, tell=self._tell)
        self.onlooker = Onlooker(*given, fleet=part.name, member=member, tell=self._tell)
        self.loop, self.lease, self.late_at = node.loop, part.lease_s, inf
        self.clerk = Clerk(*given, fleet=part.name)
        self.module = CoveringModule(node, self.me, part.cover, self.lessee.post)
        self.links = Links(
            node.loop, sock, greeting(part.name, self.me), self._tell, self.module.beat, node.log, chance
        )
        node.connection = HoldingConnection

    @property
    def joined(self) -> bool:
        """Others can see us, or the arbiter has been out of reach for too long to wait for it.

        Guards against a sidecar that starts while the arbiter is gone doing what is in hand elsewhere.
        """
        return self.me in self.module.covering.view or self.loop.now() > self.late_at

    @property
    def reasons(self) -> Counter[str]:
        """Why calls of the arbiter and links have ended, so often each."""
        return self.lessee.reasons + self.onlooker.reasons + self.clerk.reasons + self.links.reasons

    def _tell(self, mail: Any) -> None:
        if isinstance(mail, Strike):
            self.clerk.post(mail)
            return
        self.module.post(mail)
        if isinstance(mail, Viewed):
            self.links.post(mail)

    def begin(self) -> None:
        self.late_at = self.loop.now() + LATE * self.lease
        for actor in (self.links, self.lessee, self.onlooker, self.clerk):
            actor.begin()
