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
from ...fleet.config import FleetConfig
from ...fleet.frames import VERSION, HelloFrame
from ...fleet.membership import Member
from ...fleet.records import Transaction
from ...fleet.shards import ShardMap
from ..actor import Coroutine
from ..loop import Loop
from ..state.buffers import BufferPool
from .etcd import LeaseKeeper, MemberEvictor, StateWatcher, StateWriter
from .host import FleetHost
from .links import LinkManager
from .messages import WRITE_PENDING, DialMember, EntryLost, EvictMember, StoreRead, ViewChanged
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
        policy_controller: Callable[[str], PolicyController],
        module: Callable[[str, PolicyController, Callable[[EntryLost], None]], FleetHost],
    ) -> None:
        """`sock`: listens for links. `ruling`, `module`: make those, for the member of that id.

        `module` is also given whom to tell when our own entry has gone from the view.
        """
        rng = random.Random(f"{who.seed} fleet")
        address = part.advertise or "{}:{}".format(*sock.getsockname())
        # New with each start, also where two starts are given the same seed.
        self.member_id = f"{who.name or 'sidecar'}.{random.SystemRandom().getrandbits(48):012x}"
        member = Member(self.member_id, who.name, address, who.zone)
        given = (loop, part.arbiter, float(part.lease_s), pool, log, rng, part.name)
        self.lease_keeper = LeaseKeeper(*given, member=member, notify=self._deliver)
        self.state_watcher = StateWatcher(*given, tell=self._deliver)
        self.leaving = False
        self.loop, self.lease, self.late_at = loop, part.lease_s, inf
        self.member_evictor = MemberEvictor(*given)
        self.policy_controller = policy_controller(self.member_id)
        self.module = module(self.member_id, self.policy_controller, self._lapsed)
        self.shard_map = ShardMap(self.member_id, float(part.lease_s), part.cell_size, loop.now())
        self.state_writer = StateWriter(*given, due=self._due, lease_id=lambda: self.lease_keeper.lease_id)
        hello = HelloFrame(part.name, VERSION, self.member_id)
        self.links = LinkManager(
            loop, sock, hello, self._deliver, self.module.beat, self.policy_controller.says, log, rng
        )
        self.module.reaching = lambda member: self.links.post(DialMember(member))
        self.policy_poller = PolicyPoller(
            self.links, self.policy_controller.policy_replica, self.state_watcher, rng, float(part.lease_s)
        )

    @property
    def joined(self) -> bool:
        """Others can see us, or the arbiter has been out of reach for too long to wait for it.

        Guards against a sidecar that starts while the arbiter is gone doing what is in hand elsewhere, or
        under a policy that is over.
        """
        there = self.member_id in self.module.replicator.view or self.loop.now() > self.late_at
        return there and self.policy_controller.policy_replica.sure

    def renewed(self, config: SidecarConfig) -> BalancerConfig:
        """The terms by a file that was read again. Raises `Unusable`: it changes what is the fleet's."""
        return self.policy_controller.renewed(config)

    def _due(self) -> Any:
        """What there is to write at the arbiter, or when to ask again."""
        policy_replica = self.policy_controller.policy_replica
        now = policy_replica.now = self.loop.now()
        due = policy_replica.due()
        if isinstance(due, Transaction):
            return due
        self.shard_map.now = now
        for other in (self.module.zone_controller.due(now, policy_replica.leased), self.shard_map.due()):
            if isinstance(other, Transaction):
                return other
            due = min(due, other)
        return due

    def policy_told(self) -> dict[str, Any]:
        """For operators: what holds, what is proposed and who has said what, what was before."""
        policy_replica = self.policy_controller.policy_replica
        policy_replica.now = self.loop.now()
        doubt, records = policy_replica.doubt(), policy_replica.records
        open_ = None
        if (change := records.next) is not None:
            votes = {m.name: records.votes.get(m.id) for m in records.members.values()}
            said = {
                n: "nothing" if why is None else why and f"no: {why}" or "yes" for n, why in votes.items()
            }
            open_ = msgspec.to_builtins(change) | {"votes": said}
        return {
            "in_force": msgspec.to_builtins(policy_replica.in_force),
            "decided": policy_replica.decision and policy_replica.decision.policy.version,
            "decided_at": policy_replica.decision and policy_replica.decision.at,
            "doubt": doubt,
            "doubted_s": round(policy_replica.doubted, 3),
            "open": open_,
            "past": [msgspec.to_builtins(records.past[number]) for number in sorted(records.past)],
            "registered": policy_replica.names,
            "words": {
                w.name: {"version": w.version, "age_s": round(policy_replica.now - w.at, 3)}
                for w in policy_replica.words.values()
            },
            "counts": policy_replica.counts,
        }

    def told(self) -> dict[str, Any]:
        """For operators: who is in, who is heard, what is covered, and why not."""
        replicator, now = self.module.replicator, self.loop.now()
        view = replicator.view
        ours = view.of_cell(view.cell_of(self.member_id))
        return {
            "member": self.member_id,
            "in_view": self.member_id in replicator.view,
            "lease_s": round(max(0.0, replicator.lease_until - now), 3),
            "settled": replicator.settled_now,
            "cells": {
                "count": view.cells,
                "ours": view.cell_of(self.member_id),
                "members": list(ours),
                "fleet_members": len(view.members),
            },
            "view": [msgspec.structs.asdict(member) for member in ours.values()],
            "links": sorted(replicator.links),
            "items": Counter(item.state.value for item in replicator.items.values()),
            "kept_bytes": replicator.kept_bytes,
            "counts": replicator.counts,
            "reasons": self.reasons,
        }

    def leave(self) -> Coroutine[None]:
        """Out of the view before the process ends: others need not wait for our lease, nor knock.

        What we still own without a client, its keepers take over once our links close.
        """
        member = self.module.replicator.view.members.get(self.member_id)
        self.leaving = True
        if member is not None:
            self.member_evictor.post(EvictMember(member))
            until = self.loop.now() + LEAVING * self.lease
            while self.member_id in self.module.replicator.view and self.loop.now() < until:
                yield self.loop.now() + LEAVING * self.lease / 32

    def _lapsed(self, message: EntryLost) -> None:
        if not self.leaving:
            self.lease_keeper.post(message)

    @property
    def reasons(self) -> Counter[str]:
        """Why calls of the arbiter and links have ended, so often each."""
        return (
            self.lease_keeper.reasons
            + self.state_watcher.reasons
            + self.member_evictor.reasons
            + self.links.reasons
            + self.state_writer.reasons
        )

    def _deliver(self, message: Any) -> None:
        if isinstance(message, EvictMember):
            self.member_evictor.post(message)
            return
        self.module.post(message)
        if isinstance(message, ViewChanged):
            self.links.post(message)
        elif isinstance(message, StoreRead):
            self.shard_map.now = self.loop.now()
            self.shard_map.recorded(message.records)
            self.state_writer.post(WRITE_PENDING)

    def begin(self) -> None:
        self.late_at = self.loop.now() + LATE * self.lease
        self.policy_controller.policy_replica.begin()
        for actor in (
            self.links,
            self.lease_keeper,
            self.state_watcher,
            self.member_evictor,
            self.state_writer,
            self.policy_poller,
        ):
            actor.begin()
