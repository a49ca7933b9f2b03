"""The host of one member's replicator: passes it the fleet's messages, sends its frames, and holds attempts.

A subclass adds the scheduler of requests: a sidecar's coordinator, or any other member of a fleet.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any, TypeAlias

from ...decisions.config import BalancerConfig
from ...decisions.scheduler import DecisionScheduler
from ...fleet.config import FleetConfig, ReplicationConfig
from ...fleet.frames import (
    AttemptIntent,
    DecisionFrame,
    DecisionRequestFrame,
    Frame,
    HeartbeatFrame,
    PolicyStatusFrame,
    RecordedResponse,
)
from ...fleet.membership import MembershipView
from ...fleet.replication.replicator import RequestReplicator
from ...fleet.replication.request import Client, ReplicatedRequest
from ..actor import Actor
from ..loop import Loop
from ..messages import CLOSE
from .links import encode_frame
from .messages import (
    POLICY_STATUS_NEEDED,
    EntryLost,
    FrameReceived,
    LeaseRenewed,
    LinkDown,
    LinkUp,
    MemberUnreachable,
    SendFrame,
    StoreRead,
    ViewChanged,
)
from .zones import ZoneController

if TYPE_CHECKING:
    from .policy import PolicyController


AttemptToken: TypeAlias = Any  # the subclass's object for an attempt; opaque here


class AttemptHold:
    """An attempt that may be written completely only once its intent is recorded."""

    __slots__ = ("request", "number", "started_at", "is_released")

    def __init__(self, request: ReplicatedRequest, number: int, started_at: float) -> None:
        """Hold an attempt.

        `number`: the index of the intent in the request. `started_at`: when the attempt started, seconds on
        the wall clock.
        """
        self.request, self.number, self.started_at = request, number, started_at
        self.is_released = False


class FleetHost(Actor):
    """An actor that receives the fleet's messages; a subclass adds the scheduler of requests."""

    def set_up(
        self,
        loop: Loop,
        member_id: str,
        config: FleetConfig,
        policy_controller: PolicyController,
        on_entry_lost: Callable[[EntryLost], None],
        scheduler: Callable[[], DecisionScheduler],
        times: tuple[float, float],
        memory_limit: int,
        log: Callable[..., None],
    ) -> None:
        """Set up the replicator and the zone controller.

        `on_entry_lost` is called when this member's entry is no longer in the view. `scheduler` returns the
        scheduler to which the zone plan is applied. `times`: the shortest latency objective and the longest
        timeout in seconds. `memory_limit`: bytes; while replicated requests take more, none is recorded for
        other members.
        """
        self.member_id, self.on_entry_lost, self.log = member_id, on_entry_lost, log
        self.policy_controller, self.policy_replica = policy_controller, policy_controller.policy_replica
        now, (shortest_objective, longest_timeout) = loop.now(), times
        self.zone_controller = ZoneController(
            member_id, float(config.lease_s), config.zones, shortest_objective, now, scheduler, log
        )
        self.links: dict[str, Any] = {}
        self.dial_link: Callable[[str], None] = lambda member: None  # opens a link to a member
        self.held_attempts: dict[AttemptToken, AttemptHold] = {}
        self.tokens: dict[tuple[ReplicatedRequest, int], AttemptToken] = {}
        self.replicator = RequestReplicator(
            member_id, longest_timeout, config.replication.replicas, memory_limit, self, now
        )
        policy_controller.fleet_host = self

    # Methods that a subclass implements.

    def dispatch(self, request: ReplicatedRequest) -> None:
        """Dispatch a request with its history; attempts that already run continue."""
        raise NotImplementedError

    def respond(self, request: ReplicatedRequest, client: Client, response: RecordedResponse) -> None:
        """Give the final response to a client that waits here."""
        raise NotImplementedError

    def release_held_attempt(self, token: AttemptToken) -> None:
        """Let the attempt be written completely."""
        raise NotImplementedError

    def cancel_held_attempt(self, token: AttemptToken) -> None:
        """Ensure that the attempt is never written completely."""
        raise NotImplementedError

    def replication_config_changed(self, config: ReplicationConfig) -> None:
        """Apply another replication configuration from now on."""
        raise NotImplementedError

    def balancer_config_changed(self, config: BalancerConfig) -> None:
        """Apply another configuration of the balancer from now on."""
        raise NotImplementedError

    # Messages of the fleet's actors.

    def handle_fleet_message(self, message: object, now: float) -> bool:
        """Handle a message of the fleet's actors; return False if it is not one of these."""
        self.replicator.now = self.policy_replica.now = now
        match message:
            case FrameReceived(member, frame):
                self._frame_received(member, frame)
            case StoreRead(records, gap):
                self.policy_replica.update_records(records, gap)
                self._ask_for_policy_statuses()
                self.zone_controller.update_records(records, now)
            case LinkUp(member, link):
                self.links[member] = link
                self.replicator.link_up(member)
            case LinkDown(member, link):
                if self.links.get(member) is link:
                    del self.links[member]
                    self.replicator.link_down(member)
            case ViewChanged(view, gap):
                self._view_changed(view, gap)
            case MemberUnreachable(member):
                self.replicator.link_failed(member)
            case LeaseRenewed(until, entry_revision):
                self.replicator.lease_until = until
                self.policy_replica.lease_renewed(until, entry_revision)
                self._ask_for_policy_statuses()
            case _:
                return False
        return True

    def _frame_received(self, member: str, frame: Frame) -> None:
        match frame:
            case PolicyStatusFrame() | DecisionRequestFrame() | DecisionFrame():
                for answer in self.policy_controller.receive_frame(frame):
                    self.send_frame(member, answer)
                return
            case HeartbeatFrame() if frame.policy_status is not None:
                self.policy_replica.receive_status(frame.policy_status)
        self.replicator.frame_received(member, frame)

    def _view_changed(self, view: MembershipView, gap: bool) -> None:
        self.log(
            "view",
            members=len(view.members),
            cells=view.shard_count,
            digest=view.digest,
            ours=self.member_id in view,
        )
        if self.member_id in self.replicator.view and self.member_id not in view:
            self.on_entry_lost(EntryLost())
        if gap:
            # Frames may have been sent under a view that was missed here. Over new links all members send
            # their records again.
            for link in self.links.values():
                link.post(CLOSE)
        self.replicator.view_changed(view, gap)

    def tick(self) -> None:
        """Update the policy's state and have the replicator do what is due."""
        self.policy_replica.unavailable_reason()
        self._ask_for_policy_statuses()
        self.replicator.tick()

    def _ask_for_policy_statuses(self) -> None:
        """Ask for policy statuses while the policy is in doubt, since heartbeats contain them only then."""
        if self.policy_replica.needs_statuses:
            for link in self.links.values():
                link.post(POLICY_STATUS_NEEDED)

    def next_at(self, now: float) -> float:
        """Return when to call `tick` at the latest, seconds on the wall clock."""
        check_at = self.policy_replica.next_check_at()
        return min(self.replicator.next_at(), check_at if check_at > now else inf)

    def make_heartbeat(self, member: str, with_policy_status: bool) -> HeartbeatFrame:
        """Return the heartbeat for a member. `with_policy_status`: the member may need our policy status."""
        self.replicator.now = self.policy_replica.now = self.loop.now()
        self.policy_replica.unavailable_reason()
        in_doubt = not self.replicator.may_decide() or self.policy_replica.needs_statuses
        policy_status = self.policy_replica.status() if with_policy_status or in_doubt else None
        view = self.replicator.view
        # Links within our own shard are never idle, whether a request needs them or not.
        in_other_shard = view.shard_of_member(member) != view.shard_of_member(self.member_id)
        idle = in_other_shard and not self.replicator.needs_link(member)
        return HeartbeatFrame(self.replicator.digest, in_doubt, policy_status, idle)

    # Calls of the replicator.

    def send_frame(self, member: str, frame: Frame) -> bool:
        """Send a frame to a member; return False if there is no link to it now."""
        link = self.links.get(member)
        if link is None or link.end_reported:
            return False
        link.post(SendFrame(encode_frame(frame)))
        return True

    def dial(self, member: str) -> bool:
        """Open a link to a member of another shard; return False if none can be opened now."""
        self.dial_link(member)
        return member in self.replicator.view

    def release_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Release the attempt of an intent, which may then be written completely."""
        if (token := self.tokens.get((request, number))) is not None:
            self.held_attempts[token].is_released = True
            self.release_held_attempt(token)

    def cancel_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Cancel the attempt of an intent, which must never be written completely."""
        if (token := self.tokens.get((request, number))) is not None:
            self.cancel_held_attempt(token)

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line to the log."""
        self.log(event, **fields)

    # Held attempts, which wait until their intents are recorded.

    def hold_attempt(self, token: AttemptToken, request: ReplicatedRequest, intent: AttemptIntent) -> None:
        """Hold an attempt that is to be started.

        A call of `release_held_attempt` or `cancel_held_attempt` follows, perhaps before this one returns.
        """
        number = self.replicator.add_intent(request, intent)
        self.held_attempts[token] = AttemptHold(request, number, intent.started_at)
        self.tokens[request, number] = token
        self.replicator.record_intent(request, number)

    def forget_hold(self, token: AttemptToken) -> AttemptHold | None:
        """Remove the hold of an attempt that has ended; return it, if there was one."""
        held = self.held_attempts.pop(token, None)
        if held is not None:
            del self.tokens[held.request, held.number]
        return held
