"""What a policy replica asks of the process that it runs in, and what outlives that process."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..records import Policy, PolicyDecision, PolicyProposal
from .document import PolicyBody


class StoredPolicy(msgspec.Struct, rename={"ended_proposal": "ended", "registered_names": "names"}):
    """What outlives a process, as the votes file holds it."""

    fleet: str
    decision: PolicyDecision | None = None
    promise: PolicyProposal | None = None  # what we have voted for, while it is open
    ended_proposal: int = 0  # the number of the latest one known to have ended
    registered_names: list[str] = []
    addresses: dict[str, str] = {}  # of other members, by name


class PolicyHost(Protocol):
    """What the replica asks of the process that it runs in."""

    def check(self, body: PolicyBody) -> str:
        """Why this sidecar can't follow that policy; empty: it can."""

    def store(self, stored: StoredPolicy) -> None:
        """Have it outlive the process; `store_state` tells when it does."""

    def store_state(self) -> str | None:
        """Whether what `store` was given last is stored: empty: it is; None: not yet; else why not."""

    def apply_policy(self, policy: Policy) -> None:
        """Put this policy in force."""

    def request_decision(self, member: str) -> None:
        """Have that member send its decision."""

    def log_event(self, event: str, **fields: object) -> None:
        """Write a line to the log."""
