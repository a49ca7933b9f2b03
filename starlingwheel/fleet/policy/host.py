"""What a policy replica asks of the process that it runs in, and what outlives that process."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..records import Policy, PolicyDecision, PolicyProposal
from .document import Body


class StoredPolicy(msgspec.Struct):
    """What outlives a process, as the votes file holds it."""

    fleet: str
    decision: PolicyDecision | None = None
    promise: PolicyProposal | None = None  # what we have voted for, while it is open
    ended: int = 0  # the number of the latest proposal known to have ended
    names: list[str] = []  # registered in the fleet
    addresses: dict[str, str] = {}  # of other members, by name


class PolicyHost(Protocol):
    """What the replica asks of the process that it runs in."""

    def check(self, body: Body) -> str:
        """Why this sidecar can't follow that policy; empty: it can."""

    def keep(self, kept: StoredPolicy) -> None:
        """Have it outlive the process; `kept` tells when it does."""

    def kept(self) -> str | None:
        """Whether what `keep` was given last is stored; empty: it is; None: not yet; else why it can't be."""

    def rule(self, policy: Policy) -> None:
        """Put this policy in force."""

    def ask(self, member: str) -> None:
        """Have that member send its decision."""

    def note(self, event: str, **fields: object) -> None:
        """Write a line to the log."""
