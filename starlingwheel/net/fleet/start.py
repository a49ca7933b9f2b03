"""A member's actors of the fleet, whatever it is that decides on work there."""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from ...decisions.config import BalancerConfig
from ...fleet.cells import ShardMap
from ...fleet.frames import VERSION, HelloFrame
from ...fleet.part import FleetConfig
from ...fleet.records import Transaction
from ...fleet.view import Member
from ..actor import Coroutine
from ..loop import Loop
from ..memory.buffers import BufferPool
from .arbiter import LeaseKeeper, MemberEvictor, StateWatcher, StateWriter
from .hosting import FleetHost
from .links import LinkManager
from .mail import WRITE_PENDING, DialMember, EntryLost, EvictMember, StoreRead, ViewChanged
from .policy import PolicyController, PolicyPoller

if TYPE_CHECKING:
    from ..lifecycle.config import SidecarConfig


LEAVING = 1 / 6  # of a lease for which a process that ends waits to be out of the view
LATE = 8.0  # leases after which a sidecar that can't reach the arbiter serves all the same, uncovered


class MemberIdentity(NamedTuple):
    """A member as its configuration names it. `zone`: as its settings say."""

    name: str
    zone: str
    seed: str


class FleetMember:
    """One member's actors of the fleet."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        log: Callable[..., None],
        part: FleetConfig,
        sock: socket.socket,
        who: MemberIdentity,
        ruling: Callable[[str], PolicyController],
        module: Callable[[str, PolicyController, Callable[[EntryLost], None]], FleetHost],
    ) -> None:
        """`sock`: listens for links. `ruling`, `module`: make those, for the member of that id.

        `module` is also given whom to tell when our own entry has gone from the view.
        """
        chance = random.Random(f"{who.seed} fleet")
        address = part.advertise or "{}:{}".format(*sock.getsockname())
        # New with each start, also where two starts are given the same seed.
        self.me = f"{who.name or 'sidecar'}.{random.SystemRandom().getrandbits(48):012x}"
        member = Member(self.me, who.name, address, who.zone)
        given = (loop, part.arbiter, float(part.lease_s), pool, log, chance, part.name)
        self.lessee = LeaseKeeper(*given, member=member, tell=self._tell)
        self.onlooker = StateWatcher(*given, tell=self._tell)
        self.leaving = False
        self.loop, self.lease, self.late_at = loop, part.lease_s, inf
        self.clerk = MemberEvictor(*given)
        self.ruling = ruling(self.me)
        self.module = module(self.me, self.ruling, self._lapsed)
        self.cutting = ShardMap(self.me, float(part.lease_s), part.cell_size, loop.now())
        self.scribe = StateWriter(*given, due=self._due, lease_id=lambda: self.lessee.held)
        hello = HelloFrame(part.name, VERSION, self.me)
        self.links = LinkManager(
            loop, sock, hello, self._tell, self.module.beat, self.ruling.says, log, chance
        )
        self.module.reaching = lambda member: self.links.post(DialMember(member))
        self.asker = PolicyPoller(
            self.links, self.ruling.following, self.onlooker, chance, float(part.lease_s)
        )

    @property
    def joined(self) -> bool:
        """Others can see us, or the arbiter has been out of reach for too long to wait for it.

        Guards against a sidecar that starts while the arbiter is gone doing what is in hand elsewhere, or
        under a policy that is over.
        """
        there = self.me in self.module.covering.view or self.loop.now() > self.late_at
        return there and self.ruling.following.sure

    def renewed(self, config: SidecarConfig) -> BalancerConfig:
        """The terms by a file that was read again. Raises `Unusable`: it changes what is the fleet's."""
        return self.ruling.renewed(config)

    def _due(self) -> Any:
        """What there is to write at the arbiter, or when to ask again."""
        following = self.ruling.following
        now = following.now = self.loop.now()
        due = following.due()
        if isinstance(due, Transaction):
            return due
        self.cutting.now = now
        for other in (self.module.zoning.due(now, following.leased), self.cutting.due()):
            if isinstance(other, Transaction):
                return other
            due = min(due, other)
        return due

    def policy_told(self) -> dict[str, Any]:
        """For operators: what holds, what is proposed and who has said what, what was before."""
        following = self.ruling.following
        following.now = self.loop.now()
        doubt, records = following.doubt(), following.records
        open_ = None
        if (change := records.next) is not None:
            votes = {m.name: records.votes.get(m.id) for m in records.members.values()}
            said = {
                n: "nothing" if why is None else why and f"no: {why}" or "yes" for n, why in votes.items()
            }
            open_ = msgspec.to_builtins(change) | {"votes": said}
        return {
            "in_force": msgspec.to_builtins(following.in_force),
            "decided": following.decision and following.decision.policy.version,
            "decided_at": following.decision and following.decision.at,
            "doubt": doubt,
            "doubted_s": round(following.doubted, 3),
            "open": open_,
            "past": [msgspec.to_builtins(records.past[number]) for number in sorted(records.past)],
            "registered": following.names,
            "words": {
                w.name: {"version": w.version, "age_s": round(following.now - w.at, 3)}
                for w in following.words.values()
            },
            "counts": following.counts,
        }

    def told(self) -> dict[str, Any]:
        """For operators: who is in, who is heard, what is covered, and why not."""
        covering, now = self.module.covering, self.loop.now()
        view = covering.view
        ours = view.of_cell(view.cell_of(self.me))
        return {
            "member": self.me,
            "in_view": self.me in covering.view,
            "lease_s": round(max(0.0, covering.lease_until - now), 3),
            "settled": covering.settled_now,
            "cells": {
                "count": view.cells,
                "ours": view.cell_of(self.me),
                "members": list(ours),
                "fleet_members": len(view.members),
            },
            "view": [msgspec.structs.asdict(member) for member in ours.values()],
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
            self.clerk.post(EvictMember(member))
            until = self.loop.now() + LEAVING * self.lease
            while self.me in self.module.covering.view and self.loop.now() < until:
                yield self.loop.now() + LEAVING * self.lease / 32

    def _lapsed(self, mail: EntryLost) -> None:
        if not self.leaving:
            self.lessee.post(mail)

    @property
    def reasons(self) -> Counter[str]:
        """Why calls of the arbiter and links have ended, so often each."""
        return (
            self.lessee.reasons
            + self.onlooker.reasons
            + self.clerk.reasons
            + self.links.reasons
            + self.scribe.reasons
        )

    def _tell(self, mail: Any) -> None:
        if isinstance(mail, EvictMember):
            self.clerk.post(mail)
            return
        self.module.post(mail)
        if isinstance(mail, ViewChanged):
            self.links.post(mail)
        elif isinstance(mail, StoreRead):
            self.cutting.now = self.loop.now()
            self.cutting.recorded(mail.records)
            self.scribe.post(WRITE_PENDING)

    def begin(self) -> None:
        self.late_at = self.loop.now() + LATE * self.lease
        self.ruling.following.begin()
        for actor in (self.links, self.lessee, self.onlooker, self.clerk, self.scribe, self.asker):
            actor.begin()
