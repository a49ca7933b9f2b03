"""The interface of a policy replica to the process that it runs in, and the state that it stores."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..records import Policy, PolicyDecision, PolicyProposal
from .document import PolicyBody


class StoredPolicy(msgspec.Struct, rename={"ended_proposal": "ended", "registered_names": "names"}):
    """The policy state that survives a restart, as the votes file contains it."""

    fleet: str
    decision: PolicyDecision | None = None
    promise: PolicyProposal | None = None  # the open proposal that we have voted yes on
    ended_proposal: int = 0  # the number of the latest proposal known to have ended
    registered_names: list[str] = []
    addresses: dict[str, str] = {}  # of other members, by name


class PolicyHost(Protocol):
    """The operations that a replica needs from the process that it runs in."""

    def check(self, body: PolicyBody) -> str:
        """Return why this sidecar cannot follow that policy; empty if it can."""

    def store(self, stored: StoredPolicy) -> None:
        """Begin to write the state to stable storage; `store_state` returns whether the write is done."""

    def store_state(self) -> str | None:
        """Return whether the last state passed to `store` is stored.

        Empty if it is, None if it is not stored yet, otherwise the reason why it cannot be stored.
        """

    def apply_policy(self, policy: Policy) -> None:
        """Apply this policy to the sidecar."""

    def request_decision(self, member: str) -> None:
        """Ask that member to send the latest decision that it knows."""

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line to the log."""
