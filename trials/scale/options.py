"""The options of a run."""

from __future__ import annotations

from dataclasses import dataclass, field

from .limits import FleetLayout

LEASE = 3  # seconds, the default of a sidecar
LINKS_PER_SECOND = 1000.0  # opened while the fleet starts


@dataclass
class RunOptions:
    """The fleet of a run, and its phases."""

    layout: FleetLayout
    seed: int = 1
    cell_size: int = 0  # mean number of members in a shard; 0: one shard
    seconds: float = 10.0  # duration of a phase
    requests_per_second: float = 1.0  # to each member, with idempotency keys, in the phase `work`
    restart_interval: float = 4.0  # seconds
    lease: int = LEASE
    links_per_second: float = LINKS_PER_SECOND
    phases: list[str] = field(default_factory=lambda: ["rest", "restart", "lost"])
