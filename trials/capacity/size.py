"""The planned fleet, the budgets of a member, and the measured cost of an idle fleet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

DAY = 86400.0  # seconds
HEADER_SIZE = 52  # bytes of a segment's IPv4 and TCP headers with timestamps
# Approximate bytes of an HTTP/1.1 request to the coordination store and its response, without their bodies.
HTTP_FRAMING_SIZE = 350
LEASE = 3.0  # seconds, the lease of a member
FLEET_NAME = "fleet"
MESSAGE_COST_FIGURE = "word to a member, of many"  # name of the figure that `message_cost` computes

# Budgets of a member.
BYTES_BUDGET = 3000.0  # bytes a second
CORE_BUDGET = 1.3  # percent of a core
LINK_SOCKET_BUDGET = 64


class IdleFigures(NamedTuple):
    """The cost of one member of an idle fleet of real processes."""

    members: int  # of the whole fleet
    bytes_sent: float  # payload a second, by the kernel's counters
    segments_sent: float  # a second
    core_percent: float
    sockets: float
    memory_mb: float


# Measured at commit 1343230.
IDLE_FLEET = (
    IdleFigures(5, 413.0, 10.0, 0.43, 6.8, 23.0),
    IdleFigures(10, 710.0, 20.0, 0.46, 11.9, 23.0),
    IdleFigures(15, 1001.0, 29.0, 0.49, 16.3, 23.0),
    IdleFigures(18, 1179.0, 35.0, 0.60, 19.1, 23.0),
)


@dataclass(frozen=True)
class FleetLoad:
    """The planned size and load of a fleet. Values that the operators did not state are marked as assumed."""

    sidecars: int = 1600
    services: int = 310
    calls_per_second: float = 550_000.0
    depth: int = 7  # levels of the call tree
    regions: int = 3
    zones: int = 11
    changes_per_day: float = 2700.0  # of the policy
    policy_deadline: float = 9.0  # seconds within which a policy change is in force
    restarts_per_day: float = 260.0
    machines_lost_per_day: float = 3.0
    rack_size: int = 40  # sidecars of a rack: assumed
    named_fraction: float = 0.25  # of the calls, that have an idempotency key: assumed
    policy_bytes: int = 4096  # of a policy as text: assumed
    named_call_duration: float = 0.25  # seconds that a call with an idempotency key is open: assumed
    latency_objective: float = 1.0  # seconds, the shortest of all request classes: assumed
    endpoint_list_max_age: float = 8.0  # seconds after which the list must have been read again: assumed

    @property
    def calls_per_sidecar(self) -> float:
        """Calls a second of one sidecar."""
        return self.calls_per_second / self.sidecars

    @property
    def named_calls_per_sidecar(self) -> float:
        """Calls a second of one sidecar that have an idempotency key."""
        return self.calls_per_sidecar * self.named_fraction

    @property
    def view_changes_per_second(self) -> float:
        """Changes of the membership view a second. A restart removes a member and adds one."""
        return 2 * self.restarts_per_day / DAY

    @property
    def sidecars_per_zone(self) -> int:
        """Sidecars in one zone."""
        return round(self.sidecars / self.zones)

    @property
    def sidecars_per_region(self) -> int:
        """Sidecars in one region."""
        return round(self.sidecars / self.regions)
