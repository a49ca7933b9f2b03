"""One member's actors of the fleet, independent of what schedules its requests."""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from ...decisions.config import BalancerConfig
from ...fleet.config import FleetConfig
from ...fleet.frames import PROTOCOL_VERSION, HelloFrame
from ...fleet.membership import Member
from ...fleet.records import Transaction
from ...fleet.shards import ShardPlanner
from ..actor import Actor, Coroutine
from ..loop import Loop
from ..state.buffers import BufferPool
from .etcd import LeaseKeeper, MemberEvictor, StateWatcher, StateWriter
from .host import FleetHost
from .links import LinkManager
from .messages import WRITE_PENDING, DialMember, EntryLost, EvictMember, StoreRead, ViewChanged
from .policy import PolicyController
from .policy_poller import PolicyPoller
from .reports import MemberReport, PolicyReport, member_report, policy_report

if TYPE_CHECKING:
    from ..lifecycle.config import SidecarConfig


LEAVE_TIMEOUT_FRACTION = 1 / 6  # of the lease: how long a process waits to leave the view before it ends
LEAVE_CHECKS = 32  # checks of the view during that wait
# Leases after which a sidecar that cannot reach the store since its start serves without replication.
STORE_TIMEOUT_LEASES = 8.0


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """A member as its configuration names it: its name, its zone and the seed of its random numbers."""

    name: str
    zone: str
    seed: str


class FleetMember:
    """Builds one member's actors of the fleet and passes messages between them."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        log: Callable[..., None],
        config: FleetConfig,
        sock: socket.socket,
        identity: MemberIdentity,
        make_policy_controller: Callable[[str], PolicyController],
        make_host: Callable[[str, PolicyController, Callable[[EntryLost], None]], FleetHost],
    ) -> None:
        """Build the actors; `begin` starts them.

        `sock` listens for links. `make_policy_controller` and `make_host` are called with the member's id;
        the host also gets the function to call when our own entry is no longer in the view.
        """
        rng = random.Random(f"{identity.seed} fleet")
        address = config.advertise or "{}:{}".format(*sock.getsockname())
        # New with each start, even if two starts have the same seed.
        self.member_id = f"{identity.name or 'sidecar'}.{random.SystemRandom().getrandbits(48):012x}"
        self.loop = loop
        self.lease = config.lease_s
        self.leaving = False
        self.serve_without_store_at = inf
        member = Member(self.member_id, identity.name, address, identity.zone)
        session_arguments = (loop, config.store_addresses, float(config.lease_s), pool, log, rng, config.name)
        self.lease_keeper = LeaseKeeper(*session_arguments, member=member, notify=self._deliver)
        self.state_watcher = StateWatcher(*session_arguments, notify=self._deliver)
        self.member_evictor = MemberEvictor(*session_arguments)
        self.policy_controller = make_policy_controller(self.member_id)
        self.host = make_host(self.member_id, self.policy_controller, self._entry_lost)
        self.shard_planner = ShardPlanner(
            self.member_id, float(config.lease_s), config.max_mean_shard_size, loop.now()
        )
        self.state_writer = StateWriter(
            *session_arguments, due=self._next_write, lease_id=lambda: self.lease_keeper.lease_id
        )
        self.links = self._make_links(sock, config.name, log, rng)
        self.policy_poller = PolicyPoller(
            self.links, self.policy_controller.policy_replica, self.state_watcher, rng, float(config.lease_s)
        )

    def _make_links(
        self, sock: socket.socket, fleet_name: str, log: Callable[..., None], rng: random.Random
    ) -> LinkManager:
        hello = HelloFrame(fleet_name, PROTOCOL_VERSION, self.member_id)
        make_heartbeat, answer_query = self.host.make_heartbeat, self.policy_controller.answer_query
        links = LinkManager(self.loop, sock, hello, self._deliver, make_heartbeat, answer_query, log, rng)
        self.host.dial_link = lambda member: links.post(DialMember(member))
        return links

    def begin(self) -> None:
        """Apply the stored policy, then start the actors in this order: links first, the poller last."""
        self.serve_without_store_at = self.loop.now() + STORE_TIMEOUT_LEASES * self.lease
        self.policy_controller.policy_replica.restore()
        actors: tuple[Actor, ...] = (
            self.links,
            self.lease_keeper,
            self.state_watcher,
            self.member_evictor,
            self.state_writer,
            self.policy_poller,
        )
        for actor in actors:
            actor.begin()

    @property
    def joined(self) -> bool:
        """Whether this member may serve.

        It must know the policy in force, and be in the view unless the store was unavailable for too long.

        A member that starts while the store is unavailable could otherwise serve a request that is in flight
        elsewhere, or follow a policy that is no longer in force.
        """
        waited = self.loop.now() > self.serve_without_store_at
        return (self._in_view or waited) and self.policy_controller.policy_replica.is_decision_known

    @property
    def _in_view(self) -> bool:
        return self.member_id in self.host.replicator.view

    def reload_config(self, config: SidecarConfig) -> BalancerConfig:
        """Return the balancer's configuration for a file that was read again.

        Raises `ConfigError` if the file changes what the fleet's policy decides.
        """
        return self.policy_controller.reloaded_config(config)

    def leave(self) -> Coroutine[None]:
        """Leave the view before the process ends.

        Other members then need not wait until our lease expires, nor check whether our process still runs.
        The replicas of our requests take the requests over once our links close.
        """
        member = self.host.replicator.view.members.get(self.member_id)
        self.leaving = True
        if member is None:
            return
        self.member_evictor.post(EvictMember(member))
        timeout = LEAVE_TIMEOUT_FRACTION * self.lease
        deadline = self.loop.now() + timeout
        while self._in_view and self.loop.now() < deadline:
            yield self.loop.now() + timeout / LEAVE_CHECKS

    def member_report(self) -> MemberReport:
        """Return the report of this member for operators."""
        return member_report(self)

    def policy_report(self) -> PolicyReport:
        """Return the report of this member's policy for operators."""
        return policy_report(self.policy_controller.policy_replica, self.loop.now())

    @property
    def reasons(self) -> Counter[str]:
        """Counts of the reasons for which calls of the store and links have ended."""
        return (
            self.lease_keeper.reasons
            + self.state_watcher.reasons
            + self.member_evictor.reasons
            + self.links.reasons
            + self.state_writer.reasons
        )

    def _next_write(self) -> Transaction | float:
        """Return the transaction to write now, or when to call again."""
        now = self.loop.now()
        policy_replica = self.policy_controller.policy_replica
        policy_replica.now = now
        due = policy_replica.due()
        if isinstance(due, Transaction):
            return due
        self.shard_planner.now = now
        for other_due in (
            self.host.zone_controller.due(now, policy_replica.holds_lease),
            self.shard_planner.due(),
        ):
            if isinstance(other_due, Transaction):
                return other_due
            due = min(due, other_due)
        return due

    def _entry_lost(self, message: EntryLost) -> None:
        if not self.leaving:
            self.lease_keeper.post(message)

    def _deliver(self, message: object) -> None:
        """Pass a message of the links or of the store's clients to the actors that it concerns."""
        if isinstance(message, EvictMember):
            self.member_evictor.post(message)
            return
        self.host.post(message)
        if isinstance(message, ViewChanged):
            self.links.post(message)
        elif isinstance(message, StoreRead):
            self.shard_planner.now = self.loop.now()
            self.shard_planner.update_records(message.records)
            self.state_writer.post(WRITE_PENDING)
