"""The options of a run."""

from __future__ import annotations

from dataclasses import dataclass, field

from .limits import Plan

LEASE = 3  # seconds, the default of a sidecar
LINKS_PER_SECOND = 1000.0  # that are opened at the start


@dataclass
class RunOptions:
    """One fleet of one size, and what happens to it."""

    plan: Plan
    seed: int = 1
    cell_size: int = 0  # members of a shard on the mean; 0: one shard
    seconds: float = 10.0  # of a phase
    rate: float = 1.0  # requests with a name a second, a member, in the phase `work`
    every: float = 4.0  # seconds between restarts
    lease: int = LEASE
    pace: float = LINKS_PER_SECOND
    phases: list[str] = field(default_factory=lambda: ["rest", "restart", "lost"])
