"""The fleet's part of a start; loaded only where the configuration has a `fleet` part."""

from __future__ import annotations

import random
import socket
from collections import Counter
from math import inf
from typing import TYPE_CHECKING, Any

import msgspec

from ...fleet.frames import VERSION, Hello
from ...fleet.part import FleetPart
from ...fleet.view import Member
from ..actor import Coroutine
from .arbiter import Clerk, Lessee, Onlooker
from .connection import HoldingConnection
from .links import Links
from .mail import Lapsed, Strike, Viewed
from .module import CoveringModule

if TYPE_CHECKING:
    from ..lifecycle.start import Node


LEAVING = 1 / 6  # of a lease for which a process that ends waits to be out of the view
LATE = 8.0  # leases after which a sidecar that can't reach the arbiter serves all the same, uncovered


class Fleet:
    """One sidecar's actors of the fleet."""

    def __init__(self, node: Node, part: FleetPart, sock: socket.socket) -> None:
        chance = random.Random(f"{node.config.seed} fleet")
        address = part.advertise or "{}:{}".format(*sock.getsockname())
        # New with each start, also where two starts are given the same seed.
        self.me = f"{node.config.name or 'sidecar'}.{random.SystemRandom().getrandbits(48):012x}"
        member = Member(self.me, node.config.name, address, node.terms.zone)
        given = (node.loop, part.arbiter, float(part.lease_s), node.pool, node.log, chance, part.name)
        self.lessee = Lessee(*given, member=member, tell=self._tell)
        self.onlooker = Onlooker(*given, tell=self._tell)
        self.leaving = False
        self.loop, self.lease, self.late_at = node.loop, part.lease_s, inf
        self.clerk = Clerk(*given)
        self.module = CoveringModule(node, self.me, part.cover, self._lapsed)
        hello = Hello(part.name, VERSION, self.me)
        self.links = Links(node.loop, sock, hello, self._tell, self.module.beat, node.log, chance)
        node.connection = HoldingConnection

    @property
    def joined(self) -> bool:
        """Others can see us, or the arbiter has been out of reach for too long to wait for it.

        Guards against a sidecar that starts while the arbiter is gone doing what is in hand elsewhere.
        """
        return self.me in self.module.covering.view or self.loop.now() > self.late_at

    def told(self) -> dict[str, Any]:
        """For operators: who is in, who is heard, what is covered, and why not."""
        covering, now = self.module.covering, self.loop.now()
        return {
            "member": self.me,
            "in_view": self.me in covering.view,
            "lease_s": round(max(0.0, covering.lease_until - now), 3),
            "settled": covering.settled_now,
            "view": [msgspec.structs.asdict(member) for member in covering.view.members.values()],
            "links": sorted(covering.links),
            "items": Counter(item.state.value for item in covering.items.values()),
            "kept_bytes": covering.kept_bytes,
            "counts": covering.counts,
            "reasons": self.reasons,
        }

    def leave(self) -> Coroutine[None]:
        """Out of the view before the process ends: others need not wait for our lease, nor knock.

        What we still own without a client, its keepers take over once our links close.
        """
        member = self.module.covering.view.members.get(self.me)
        self.leaving = True
        if member is not None:
            self.clerk.post(Strike(member))
            until = self.loop.now() + LEAVING * self.lease
            while self.me in self.module.covering.view and self.loop.now() < until:
                yield self.loop.now() + LEAVING * self.lease / 32

    def _lapsed(self, mail: Lapsed) -> None:
        if not self.leaving:
            self.lessee.post(mail)

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
