"""Runs the fleet's policy in a sidecar: checks it, stores votes, puts it in force, answers other members."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from ...decisions.config import BalancerConfig
from ...fleet.config import FleetConfig, ReplicationConfig, ZonesConfig
from ...fleet.frames import (
    MAX_RELAYED_STATUSES,
    DecisionFrame,
    DecisionRequestFrame,
    Frame,
    PolicyQueryFrame,
    PolicyStatusFrame,
)
from ...fleet.policy import document
from ...fleet.policy.document import PolicyBody
from ...fleet.policy.host import StoredPolicy
from ...fleet.policy.replica import PolicyReplica
from ...fleet.records import Policy, PolicyDecision
from ..lifecycle.config import ConfigError, SidecarConfig, balancer_config_of, keep_start_only_fields
from .policy_poller import PolicyPoller
from .vote_store import VoteStore

if TYPE_CHECKING:
    from .host import FleetHost

__all__ = ["PolicyController", "PolicyPoller", "VoteStore"]

MAX_LOGGED_DIFFERENCES = 8  # in one line of the log


class PolicyController:
    """The host of `PolicyReplica`, and what a sidecar makes of the policy."""

    def __init__(
        self,
        config: SidecarConfig,
        fleet: FleetConfig,
        member_id: str,
        now: float,
        balancer_config: Callable[[], BalancerConfig],
        reload: Callable[[BalancerConfig], None],
        log: Callable[..., None],
    ) -> None:
        """`balancer_config`: the one in force; `reload`: puts another one in force, in one step."""
        self.config, self.fleet, self.log = config, fleet, log
        self.balancer_config, self.reload = balancer_config, reload
        self.vote_store = VoteStore(fleet.state_directory, fleet.name, config.name, log)
        self.policy_replica = PolicyReplica(
            member_id, config.name, float(fleet.lease_s), self, now, self.vote_store.read()
        )
        # The policy that the configuration file gives.
        self.file_policy = document.policy_from_config(config.settings, fleet.replication, fleet.zones)
        self.fleet_host: FleetHost | None = None  # whose links the statuses go over, set once it is there

    # What the replica asks for; see `PolicyHost`.

    def check(self, body: PolicyBody) -> str:
        """Why this sidecar can't follow that policy; empty: it can."""
        faults = document.validation_errors(body, self.config.settings, self.config.limits.memory_mb)
        if not faults:
            try:
                config = self._balancer_config_under(body, self.config)
            except ConfigError as error:
                return str(error)
            fixed = keep_start_only_fields(config, self.balancer_config())[1]
            faults = [f"{name}: needs a restart" for name in fixed]
        return "; ".join(faults)

    def store(self, stored: StoredPolicy) -> None:
        """Have it outlive the process."""
        self.vote_store.write(stored)

    def store_state(self) -> str | None:
        """Empty: what was given to `store` is stored; None: not yet; else why it can't be."""
        return self.vote_store.state

    def apply_policy(self, policy: Policy) -> None:
        """Put the policy in force."""
        if policy.body is None or self.fleet_host is None:
            return
        config = self._balancer_config_under(policy.body, self.config)
        self.reload(keep_start_only_fields(config, self.balancer_config())[0])
        self.fleet_host.balancer_config_changed(self.balancer_config())
        self.fleet_host.replication_config_changed(msgspec.convert(policy.body["cover"], ReplicationConfig))
        zones = policy.body.get("zones")
        self.fleet_host.zone_controller.configure(
            None if zones is None else msgspec.convert(zones, ZonesConfig)
        )
        differing = [one.key for one in document.differences(self.file_policy, policy.body)]
        if differing:
            self.log("policy.file_differs", version=policy.version, keys=differing[:MAX_LOGGED_DIFFERENCES])

    def request_decision(self, member: str) -> None:
        """Have that member send its decision."""
        if self.fleet_host is not None:
            self.fleet_host.send_frame(member, DecisionRequestFrame())

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line to the log."""
        self.log(event, **fields)

    def _balancer_config_under(self, body: PolicyBody, config: SidecarConfig) -> BalancerConfig:
        """What a configuration file gives under that policy; raises `ConfigError`."""
        settings = document.merge_settings(body, config.settings)
        return balancer_config_of(msgspec.structs.replace(config, settings=settings), "policy")

    # Questions of the sidecar and of other members.

    def reloaded_config(self, config: SidecarConfig) -> BalancerConfig:
        """What a file that was read again gives; raises `ConfigError` where it changes the fleet's policy."""
        fleet = config.fleet or self.fleet
        file_policy = document.policy_from_config(config.settings, fleet.replication, fleet.zones)
        policy = self.policy_replica.active_policy
        active_policy = policy.body if policy.body is not None else self.file_policy
        if edits := document.conflicting_edits(self.file_policy, file_policy, active_policy):
            raise ConfigError(
                f"version {policy.version} of the fleet's policy holds, a change is to be proposed: "
                + "; ".join(edits)
            )
        self.file_policy = file_policy
        self.config = msgspec.structs.replace(self.config, settings=config.settings)
        return self._balancer_config_under(active_policy, config)

    def answer_query(self, query: PolicyQueryFrame) -> list[Frame]:
        """The answer to a member that we have no link with: our status, and those received over our links."""
        assert self.fleet_host is not None
        replica = self.policy_replica
        replica.now = self.fleet_host.loop.now()
        others = replica.recent_statuses(self.fleet_host.links, MAX_RELAYED_STATUSES)
        frames: list[Frame] = [PolicyStatusFrame(replica.status(), others)]
        if replica.decided_version > query.known_version:
            frames += self._decision_frames()
        return frames

    def receive_frame(self, frame: Frame) -> list[Frame]:
        """Take over a frame about the policy; what is to be answered."""
        match frame:
            case PolicyStatusFrame(status, others):
                for each in (status, *others[:MAX_RELAYED_STATUSES]):
                    self.policy_replica.receive_status(each)
            case DecisionRequestFrame():
                return self._decision_frames()
            case DecisionFrame(data):
                try:
                    self.policy_replica.receive_decision(msgspec.json.decode(data, type=PolicyDecision))
                except (msgspec.DecodeError, UnicodeDecodeError) as error:
                    self.log("policy.unreadable", error=str(error))
        return []

    def _decision_frames(self) -> list[Frame]:
        decision = self.policy_replica.decision
        return [] if decision is None else [DecisionFrame(msgspec.json.encode(decision))]
