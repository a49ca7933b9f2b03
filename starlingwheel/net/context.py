"""State shared by the actors of one sidecar: configuration, clock, log, limits and references to each other.

`lifecycle/sidecar.py` creates the actors and stores them here before the first turn of the loop. Times are
seconds on the loop's clock.
"""

from __future__ import annotations

import random
import resource
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from math import inf
from typing import Any, Protocol

import msgspec

from ..decisions.config import BalancerConfig, RequestClass, RetrySafety
from ..decisions.events import WatchEvent
from ..decisions.lease import EndpointLease
from ..decisions.response_commitment import CommitReason
from ..settings import contradictions
from .actor import Actor
from .discovery.messages import DiscoveredEndpoint
from .gate import AttemptGate
from .lifecycle.config import SidecarConfig
from .lifecycle.log import EventLog
from .loop import Loop
from .messages import DRAIN, ConfigReloaded, EndpointsChanged, EndStalledResponse
from .state.buffers import BUFFER_SIZE, BufferPool
from .state.connections import ConnectionTracker
from .state.held_responses import HeldResponses
from .state.overrides import EndpointOverrides
from .state.request_ids import RequestIds
from .state.requests import Exchange
from .state.response_variety import ResponseVariety
from .state.siblings import SiblingProcesses

FORMER_CLASS_RETENTION = 3.0  # seconds for which clients may still use a request class that a reload dropped
BUFFER_MEMORY_SHARE = 1 / 3  # part of the memory limit that buffers may take


class MessageReceiver(Protocol):
    """The interface of an actor that only receives messages."""

    ended: bool

    def post(self, message: object) -> None:
        """Queue a message."""


class Coordinator(MessageReceiver, Protocol):
    """The interface of the coordinator, the actor that hosts the decisions."""

    counts: dict[str, int]
    slowest_turn: float  # seconds that the slowest message took since the last report

    @property
    def has_endpoints(self) -> bool:
        """Whether an endpoint list has been received."""

    @property
    def pending_requests(self) -> Collection[Any]:
        """Requests in flight."""

    @property
    def pools(self) -> Mapping[str, Any]:
        """Connection pools by endpoint id."""

    @property
    def mailbox(self) -> Collection[Any]:
        """Messages that have not been handled yet."""


class Discovery(MessageReceiver, Protocol):
    """The interface of the discovery client."""

    current_watch: Any  # the watch in use


class GossipSender(Protocol):
    """The interface of the actor that sends gossip to the peers."""

    def send(self, body: bytes) -> None:
        """Send a datagram to each peer."""


class Drainer(MessageReceiver, Protocol):
    """The interface of the actor that closes client connections while operators drain the sidecar."""

    is_draining: bool


class SidecarContext:
    """The state that the actors of one sidecar share."""

    coordinator: Coordinator
    discovery: Discovery
    listener: Any
    shutdown: MessageReceiver
    client_drainer: Drainer
    signals: Any
    gossip_socket: GossipSender | None = None
    admin_listener: Any = None
    fleet: Any = None  # a `SidecarFleet` if the configuration has a `fleet` part
    connection_type: Callable[..., Any]  # the class of connections to endpoints
    siblings: SiblingProcesses | None = None

    def __init__(
        self,
        config: SidecarConfig,
        balancer_config: BalancerConfig,
        environment: Mapping[str, str],
        log_fd: int = 1,
    ) -> None:
        """Create the shared state; `log_fd` is the descriptor that the log is written to."""
        self.config = config
        self.environment = environment
        self.loop = Loop(self._log_error)
        self.former_request_classes: list[tuple[float, RequestClass]] = []  # with the end of their retention
        self.process_count = 1
        self._apply_config(balancer_config)
        self.log = EventLog(self.loop.now, log_fd)
        self.loop.after_turn = self.log.flush
        self.passed_socket = environment.get("EDGE_PASSED_SOCKET", "")
        self.buffer_pool = BufferPool(0)
        self.held_responses = HeldResponses(self.buffer_pool)
        self.connections = ConnectionTracker(config.limits.sockets, bool(config.mgmt))
        self.set_process_count(1)
        overrides_folder = environment.get("TMPDIR") if config.mgmt else None
        self.overrides = EndpointOverrides(overrides_folder, self.loop.now, self.log)
        self.lease = EndpointLease(
            balancer_config.drain_grace, pushed=not balancer_config.must_watch_endpoints
        )
        self.gate = AttemptGate(self.lease, self.overrides, self.loop.now, self.log)
        self.request_ids = RequestIds(self.log)
        self.active_traces: set[bytes] = set()  # trace ids of the requests that clients wait for
        self.resets_expected_until = -inf  # until then connections to endpoints may be reset at any time
        self.commitments: Counter[CommitReason] = Counter()  # responses passed on before they were complete
        self.unsolicited_responses_until = -inf  # until then unsolicited responses may arrive at any time
        self.response_variety = ResponseVariety()
        self.stopping = False
        self.stop_requested_at: float | None = None  # a lower bound; None: no signal has stopped the process
        self.answer_by = inf  # a stopped process gives no final response after this time
        self.rng = random.Random(config.seed)

    # Processes of one sidecar.

    def set_process_count(self, processes: int) -> None:
        """Divide the limits, and the slow-start budgets, among `processes` processes of this sidecar."""
        limits = self.config.limits
        self.process_count = processes
        buffers = int(limits.memory_mb * BUFFER_MEMORY_SHARE * 2**20 / BUFFER_SIZE / processes)
        self.buffer_pool.set_limit(buffers)
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        # If the system allows fewer descriptors than configured, discovery must still get those it needs.
        sockets = limits.sockets if soft == resource.RLIM_INFINITY else min(limits.sockets, soft)
        self.connections.set_limit(sockets, processes)

    def check_siblings(self) -> None:
        """Check whether another process of this sidecar is running, and divide the limits accordingly."""
        processes = 1 + (self.siblings is not None and self.siblings.has_others())
        if processes == 1:
            self.request_ids.compact()
        if processes != self.process_count:
            self.log("processes", count=processes)
            self.set_process_count(processes)
            self.reload(self.balancer_config)

    # Configuration.

    def reload(self, balancer_config: BalancerConfig) -> None:
        """Apply a new configuration to all requests that arrive from now on."""
        now = self.loop.now()
        self.former_request_classes = [(end, c) for end, c in self.former_request_classes if end > now]
        # Clients that do not know the new configuration yet continue to use the former request classes.
        end = now + FORMER_CLASS_RETENTION
        self.former_request_classes += [(end, c) for c in self.balancer_config.request_classes]
        self._apply_config(balancer_config)
        self.coordinator.post(ConfigReloaded(self.balancer_config))

    def log_contradictory_settings(self) -> None:
        """Log settings that contradict each other; they do not prevent a start."""
        for key, reason in contradictions(self.config.settings):
            self.log("settings.mixed", key=key, why=reason)

    def _apply_config(self, balancer_config: BalancerConfig) -> None:
        """Set the configuration and the values derived from it."""
        self.balancer_config = msgspec.structs.replace(balancer_config, process_count=self.process_count)
        classes = balancer_config.request_classes
        former = [request_class for _, request_class in self.former_request_classes]
        self.request_classes = {c.name: c for c in classes}
        self.tenants = {tenant.name: tenant for tenant in balancer_config.tenants}
        self.shortest_objective = min(c.latency_objective for c in classes)
        self.longest_timeout = max(c.timeout for c in [*classes, *former])

    def shortest_maximum_timeout(self) -> float:
        """Return the longest timeout in the configuration, or in a former one if it is shorter there.

        A former configuration counts for as long as its request classes are kept.
        """
        longest = {inf: max(c.timeout for c in self.balancer_config.request_classes)}
        for end, request_class in self.former_request_classes:
            if end > self.loop.now():
                longest[end] = max(longest.get(end, 0.0), request_class.timeout)
        return min(longest.values())

    def request_class_for(self, name: str, retry_safety: RetrySafety) -> RequestClass | None:
        """Return the request class of that name and retry safety, or else the current class of that name.

        A class that a reload dropped, or whose retry safety it changed, keeps its former rules for
        `FORMER_CLASS_RETENTION`.
        """
        current = self.request_classes.get(name)
        # Members of a fleet accept no request under a policy that is no longer in force.
        no_former = not self.former_request_classes or self.fleet is not None
        if no_former or (current is not None and current.retry_safety is retry_safety):
            return current
        now = self.loop.now()
        former = (c for end, c in self.former_request_classes if end > now and c.name == name)
        return next((c for c in former if c.retry_safety is retry_safety), current)

    # State of the sidecar.

    @property
    def accepts_clients(self) -> bool:
        """Whether requests are accepted.

        An endpoint list has to be known, and a member has to have joined its fleet. A process that is
        stopping accepts no requests.
        """
        return self.coordinator.has_endpoints and not self.stopping and self._fleet_joined

    @property
    def ready(self) -> bool:
        """Whether readiness checks succeed.

        A process that stops because another one replaces it on the passed socket stays ready: the sidecar as
        a whole continues to serve.
        """
        keeps_serving = not (self.stopping and not self.passed_socket) and not self.draining
        return self.coordinator.has_endpoints and keeps_serving and self._fleet_joined

    @property
    def _fleet_joined(self) -> bool:
        return self.fleet is None or self.fleet.joined

    @property
    def draining(self) -> bool:
        """Whether operators are draining the sidecar: clients are disconnected, the process keeps running."""
        return self.overrides.stored.sidecar_draining

    def apply_override_changes(self, entries: list[DiscoveredEndpoint]) -> None:
        """Apply operators' changes to endpoints or to draining, made in this process or in a sibling."""
        if entries:
            self.coordinator.post(EndpointsChanged(WatchEvent.DELTA, entries))
        if self.draining != self.client_drainer.is_draining:
            self.client_drainer.post(DRAIN)

    def end_stalled_response(self) -> bool:
        """Break off a response that has stalled past its client's time; return False if there is none."""
        exchange = self.connections.take_stalled_response(self.loop.now())
        if exchange is None or exchange.connection is None:
            return False
        exchange.connection.post(EndStalledResponse(exchange))
        return True

    def note_commitment(self, exchange: Exchange, reason: CommitReason, body_bytes: int) -> None:
        """Count and log that a response is passed to its client before it is complete."""
        self.commitments[reason] += 1
        if exchange.pending is not None:
            self.log(
                "response.begun",
                trace=exchange.pending.trace_id.decode("latin-1"),
                id=exchange.endpoint.endpoint_id,
                why=reason,
                body_bytes=body_bytes,
                after_ms=round((self.loop.now() - exchange.started_at) * 1000),
            )

    def _log_error(self, actor: Actor, error: Exception) -> None:
        self.log.exception("defect", error, actor=type(actor).__name__)
