"""The balancer's configuration. Times are seconds; prices are parts of the weight of a request."""

from __future__ import annotations

import enum

import msgspec


class RetrySafety(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "rerunnable"
    IDEMPOTENT_WITH_KEY = "ticketed"  # within its deduplication scope and window
    NON_IDEMPOTENT = "exclusive"


class DeduplicationScope(enum.Enum):
    """The endpoints that recognise each other's idempotency keys; the values are fields of `Endpoint`."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class RequestClass(msgspec.Struct, frozen=True, eq=False):
    """What requests of one kind have in common."""

    name: str
    retry_safety: RetrySafety
    latency_objective: float
    priority_weight: float
    timeout: float
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    late_priority_weight: float = 0.0  # part of the weight that is left past the objective
    objective_per_cost: float = 0.0


class Tenant(msgspec.Struct, frozen=True, eq=False):
    """A customer and the share of the service that is allotted to it, 0 to 1."""

    name: str
    share: float


class BalancerConfig(msgspec.Struct, frozen=True, eq=False):
    """All settings that decisions and hosts read."""

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
    key_affinity: bool = False  # an endpoint does less work for a key that its cell has served lately
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    drain_grace: float = 0.0  # after the notice that an endpoint drains; 0: not set
    idle_timeout: float = 0.0
    sidecar_index: int = 0
    process_count: int = 1  # processes of this sidecar, which divide its slow-start budget
    tenants: list[Tenant] = []

    def mean_priority_weight(self) -> float:
        """The mean weight of a request class."""
        weights = [request_class.priority_weight for request_class in self.request_classes]
        return sum(weights) / len(weights)
