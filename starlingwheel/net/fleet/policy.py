"""Runs the fleet's policy in a sidecar: validates it, stores votes, applies it, and answers other members."""

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

MAX_LOGGED_DIFFERENCES = 8  # keys in one log line


class PolicyController:
    """The host of `PolicyReplica`, which applies the fleet's policy to the sidecar."""

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
        """`balancer_config` returns the configuration in force; `reload` replaces it in one step."""
        self.config, self.fleet, self.log = config, fleet, log
        self.balancer_config, self.reload = balancer_config, reload
        self.vote_store = VoteStore(fleet.state_directory, fleet.name, config.name, log)
        self.policy_replica = PolicyReplica(
            member_id, config.name, float(fleet.lease_s), self, now, self.vote_store.read()
        )
        # The policy that the configuration file contains.
        self.file_policy = document.policy_from_config(config.settings, fleet.replication, fleet.zones)
        self.fleet_host: FleetHost | None = None  # its links carry the statuses; set once the host exists

    # Operations of the replica; see `PolicyHost`.

    def check(self, body: PolicyBody) -> str:
        """Return why this sidecar cannot follow that policy; empty if it can."""
        errors = document.validation_errors(body, self.config.settings, self.config.limits.memory_mb)
        if not errors:
            try:
                config = self._balancer_config_under(body, self.config)
            except ConfigError as error:
                return str(error)
            start_only = keep_start_only_fields(config, self.balancer_config())[1]
            errors = [f"{name}: a change requires a restart" for name in start_only]
        return "; ".join(errors)

    def store(self, stored: StoredPolicy) -> None:
        """Begin to write the state to the votes file."""
        self.vote_store.write(stored)

    def store_state(self) -> str | None:
        """Return whether the last stored state is on disk: empty if it is, None if not yet, else why not."""
        return self.vote_store.state

    def apply_policy(self, policy: Policy) -> None:
        """Apply the policy to the sidecar."""
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
        differing = [difference.key for difference in document.differences(self.file_policy, policy.body)]
        if differing:
            self.log("policy.file_differs", version=policy.version, keys=differing[:MAX_LOGGED_DIFFERENCES])

    def request_decision(self, member: str) -> None:
        """Ask that member to send the latest decision that it knows."""
        if self.fleet_host is not None:
            self.fleet_host.send_frame(member, DecisionRequestFrame())

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line to the log."""
        self.log(event, **fields)

    def _balancer_config_under(self, body: PolicyBody, config: SidecarConfig) -> BalancerConfig:
        """Return the balancer configuration of a file under that policy. Raises `ConfigError`."""
        settings = document.merge_settings(body, config.settings)
        return balancer_config_of(msgspec.structs.replace(config, settings=settings), "policy")

    # Calls by the sidecar and on behalf of other members.

    def reloaded_config(self, config: SidecarConfig) -> BalancerConfig:
        """Return the balancer configuration of a reloaded file.

        Raises `ConfigError` if an edit of the file contradicts the policy in force.
        """
        fleet = config.fleet or self.fleet
        file_policy = document.policy_from_config(config.settings, fleet.replication, fleet.zones)
        policy = self.policy_replica.active_policy
        active_policy = policy.body if policy.body is not None else self.file_policy
        if edits := document.conflicting_edits(self.file_policy, file_policy, active_policy):
            raise ConfigError(
                f"version {policy.version} of the fleet's policy is in force; propose a change instead: "
                + "; ".join(edits)
            )
        self.file_policy = file_policy
        self.config = msgspec.structs.replace(self.config, settings=config.settings)
        return self._balancer_config_under(active_policy, config)

    def answer_query(self, query: PolicyQueryFrame) -> list[Frame]:
        """Return the frames that answer a member that we have no link with.

        They are our status with the statuses received over our links, and the decision if the member does not
        know it.
        """
        assert self.fleet_host is not None
        replica = self.policy_replica
        replica.now = self.fleet_host.loop.now()
        others = replica.recent_statuses(self.fleet_host.links, MAX_RELAYED_STATUSES)
        frames: list[Frame] = [PolicyStatusFrame(replica.status(), others)]
        if replica.decided_version > query.known_version:
            frames += self._decision_frames()
        return frames

    def receive_frame(self, frame: Frame) -> list[Frame]:
        """Handle a frame about the policy, and return the frames to answer with."""
        match frame:
            case PolicyStatusFrame(status, others):
                for received in (status, *others[:MAX_RELAYED_STATUSES]):
                    self.policy_replica.receive_status(received)
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
