"""The fleet that is planned for, the budgets of a member, and what was measured of a fleet at rest."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

DAY = 86400.0  # seconds
HEADERS = 52  # bytes: IPv4, TCP with its timestamps
FRAMING = 350  # bytes of an HTTP/1.1 call of the coordination store and its answer beside their bodies, about
LEASE = 3.0  # seconds, of a member
FLEET = "fleet"
BURST = "word to a member, of many"  # the name of a figure

# Budgets of a member.
BYTES = 3000.0  # a second
CORE = 1.3  # per cent of a core
LINK_SOCKETS = 64


class IdleFigures(NamedTuple):
    """What one member of a fleet of real processes costs at rest."""

    members: int  # of the fleet
    bytes_sent: float  # a second, payload by the kernel's own counts
    segments_sent: float  # a second
    core_percent: float
    sockets: float
    memory_mb: float


# Measured on main 1343230.
IDLE_FLEET = (
    IdleFigures(5, 413.0, 10.0, 0.43, 6.8, 23.0),
    IdleFigures(10, 710.0, 20.0, 0.46, 11.9, 23.0),
    IdleFigures(15, 1001.0, 29.0, 0.49, 16.3, 23.0),
    IdleFigures(18, 1179.0, 35.0, 0.60, 19.1, 23.0),
)


@dataclass(frozen=True)
class Size:
    """The load that is planned for, by the operators' table."""

    sidecars: int = 1600
    services: int = 310
    calls: float = 550_000.0  # a second
    depth: int = 7
    regions: int = 3
    zones: int = 11
    changes: float = 2700.0  # of configuration, a day
    force: float = 9.0  # seconds within which one is in force
    restarts: float = 260.0  # a day
    machines_lost: float = 3.0  # a day
    rack: int = 40  # sidecars of a rack: assumed
    named: float = 0.25  # part of the calls that have a name: assumed
    policy: int = 4096  # bytes of a policy as text: assumed
    in_hand: float = 0.25  # seconds that a named call is in hand: assumed
    due: float = 1.0  # shortest latency objective, seconds: assumed
    endpoint_list_max_age: float = 8.0  # seconds within which the list must be asked for again: assumed

    @property
    def rate(self) -> float:
        """Calls a second of one sidecar."""
        return self.calls / self.sidecars

    @property
    def named_rate(self) -> float:
        """Calls a second of one sidecar that have a name."""
        return self.rate * self.named

    @property
    def views(self) -> float:
        """Changes of the membership view, a second: each restart is a loss and an entry."""
        return 2 * self.restarts / DAY

    @property
    def zone(self) -> int:
        """Sidecars of a zone."""
        return round(self.sidecars / self.zones)

    @property
    def region(self) -> int:
        """Sidecars of a region."""
        return round(self.sidecars / self.regions)
