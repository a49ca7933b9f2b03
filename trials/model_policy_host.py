"""The host of a policy replica in the model of a policy change. See `model_policy`."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING, NamedTuple

from starlingwheel.fleet.policy.document import PolicyBody
from starlingwheel.fleet.policy.host import StoredPolicy
from starlingwheel.fleet.policy.replica import PolicyReplica
from starlingwheel.fleet.records import Policy

if TYPE_CHECKING:
    from .model_policy import Model


class DecisionRequest(NamedTuple):
    """A request for a member's decision: the name of the sender, and the id of the member asked."""

    sender: str
    member_id: str


class ModelHost:
    """The host of a member's policy replica, which changes the state of the model."""

    def __init__(self, model: Model | None, name: str) -> None:
        """Create the host of the member `name`; without a model, its methods have no effect."""
        self.model, self.name = model, name

    def check(self, body: PolicyBody) -> str:
        """Return no error, since every member can follow every policy."""
        return ""

    def store(self, stored: StoredPolicy) -> None:
        """Store a copy in the model's files."""
        if self.model is not None:
            self.model.files[self.name] = copy.copy(stored)

    def store_state(self) -> str | None:
        """Return that everything is stored, since writes take effect at once."""
        return ""

    def apply_policy(self, policy: Policy) -> None:
        """Do nothing, since no component uses the policy."""

    def request_decision(self, member: str) -> None:
        """Record the request, which the model answers later."""
        if self.model is not None:
            self.model.decision_requests.append(DecisionRequest(self.name, member))

    def log_event(self, event: str, **fields: object) -> None:
        """Discard the log event."""


def copy_replica(replica: PolicyReplica, host: ModelHost) -> PolicyReplica:
    """Return a copy of a replica that shares only what is never changed in place."""
    other = copy.copy(replica)
    other.host, other.stored = host, copy.copy(replica.stored)
    other.peer_statuses, other.turns = replica.peer_statuses.copy(), replica.turns.copy()
    other.counts = replica.counts.copy()
    return other
