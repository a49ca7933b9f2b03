"""The balancer's configuration. Times are in seconds; prices are fractions of the weight of a request."""

from __future__ import annotations

import enum

import msgspec


class RetrySafety(enum.Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "rerunnable"
    IDEMPOTENT_WITH_KEY = "ticketed"  # idempotent within its deduplication scope and window
    NON_IDEMPOTENT = "exclusive"


class DeduplicationScope(enum.Enum):
    """The group of endpoints that recognise each other's idempotency keys.

    The values of ZONE and CELL are the names of fields of `Endpoint`.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class RequestClass(msgspec.Struct, frozen=True, eq=False):
    """The settings that requests of one class have in common."""

    name: str
    retry_safety: RetrySafety
    latency_objective: float
    priority_weight: float
    timeout: float
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    late_priority_weight: float = 0.0  # fraction of the weight that remains after the objective has passed
    objective_per_cost: float = 0.0


class Tenant(msgspec.Struct, frozen=True, eq=False):
    """A tenant and the share of the service that is allotted to it, 0 to 1."""

    name: str
    share: float


class BalancerConfig(msgspec.Struct, frozen=True, eq=False):
    """All settings that the decision components and their hosts read."""

    request_classes: list[RequestClass]
    zone: str
    sidecars: int
    must_watch_endpoints: bool
    endpoint_list_max_age: float
    slow_start_initial_fraction: float
    slow_start_duration: float
    overload_factor: float
    overload_window: float
    max_attempts: int
    cross_zone_price: float
    connection_setup_price: float = 0.0
    open_connection_price: float = 0.0
    streams_per_connection: int = 1
    weights_are_live: bool = False
    health_check_price: float = 0.0
    gossip_price: float = 0.0
    hedging_allowed: bool = True
    cancel_allowed: bool = True
    gossip_allowed: bool = False
    health_checks_allowed: bool = False
    load_reported: bool = False
    load_reported_in_responses: bool = False
    key_affinity: bool = False  # an endpoint does less work for a key that its cell has served recently
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    drain_grace: float = 0.0  # time after a drain notice in which attempts may still start; 0: not set
    idle_timeout: float = 0.0
    sidecar_index: int = 0
    process_count: int = 1  # processes of this sidecar, which share its slow-start budget
    tenants: list[Tenant] = []

    def mean_priority_weight(self) -> float:
        """Return the mean priority weight of the request classes."""
        weights = [request_class.priority_weight for request_class in self.request_classes]
        return sum(weights) / len(weights)
