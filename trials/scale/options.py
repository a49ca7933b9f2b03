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
    requests_per_second: float = 1.0  # of a member, with idempotency keys, in the phase `work`
    restart_interval: float = 4.0  # seconds
    lease: int = LEASE
    links_per_second: float = LINKS_PER_SECOND
    phases: list[str] = field(default_factory=lambda: ["rest", "restart", "lost"])
