"""Carries out in the model what a member's policy replica asks for. See `model_policy`."""

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
    """A request for the decision that a member knows: the sender's name, and the id of the other."""

    sender: str
    member_id: str


class ModelHost:
    """What a member asks of its host: the model does what matters."""

    def __init__(self, model: Model | None, name: str) -> None:
        """Without a model, what is asked leaves no trace."""
        self.model, self.name = model, name

    def check(self, body: PolicyBody) -> str:
        """Every member can follow every policy."""
        return ""

    def store(self, stored: StoredPolicy) -> None:
        """Store it in the model's files."""
        if self.model is not None:
            self.model.files[self.name] = copy.copy(stored)

    def store_state(self) -> str | None:
        """All is stored at once."""
        return ""

    def apply_policy(self, policy: Policy) -> None:
        """Nothing has to be put in force."""

    def request_decision(self, member: str) -> None:
        """Remember who asked for whose decision."""
        if self.model is not None:
            self.model.decision_requests.append(DecisionRequest(self.name, member))

    def log_event(self, event: str, **fields: object) -> None:
        """Nothing is logged."""


def copy_replica(replica: PolicyReplica, host: ModelHost) -> PolicyReplica:
    """A copy of a member that shares what is never changed in place."""
    other = copy.copy(replica)
    other.host, other.stored = host, copy.copy(replica.stored)
    other.peer_statuses, other.turns = replica.peer_statuses.copy(), replica.turns.copy()
    other.counts = replica.counts.copy()
    return other
