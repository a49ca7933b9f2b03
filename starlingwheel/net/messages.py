"""Messages between the actors of one sidecar.

`SocketReady` is in loop.py, `BodyStreamChanged` in state/body_stream.py, the messages of a fleet in
fleet/messages.py.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..decisions.config import BalancerConfig
from ..decisions.events import WatchEvent
from ..decisions.model import AttemptOutcome
from .discovery.messages import DiscoveredEndpoint
from .state.requests import Exchange, PendingRequest, UpstreamResponse


@dataclass(slots=True, eq=False)
class RequestReceived:
    """To the coordinator: a request of a client."""

    pending: PendingRequest


@dataclass(slots=True, eq=False)
class ClientDisconnected:
    """To the coordinator: the client of a request has closed its connection."""

    pending: PendingRequest


@dataclass(slots=True, eq=False)
class RequestBodyComplete:
    """To the coordinator: the last byte of a request has arrived that was received before that."""

    pending: PendingRequest


@dataclass(slots=True, eq=False)
class ExchangeEnded:
    """To the coordinator: an attempt or a health check has ended on the wire."""

    exchange: Exchange
    outcome: AttemptOutcome
    load_report: dict[str, float] = field(default_factory=dict)
    response: UpstreamResponse | None = None


@dataclass(slots=True, eq=False)
class EndpointsChanged:
    """To the coordinator: a snapshot or a delta of the endpoint list."""

    event: WatchEvent
    endpoints: list[DiscoveredEndpoint]


@dataclass(slots=True, eq=False)
class GossipReceived:
    """To the coordinator: a datagram of the peer of that number."""

    peer: int
    body: bytes


@dataclass(slots=True, eq=False)
class FinalResponse:
    """To a client connection: the one response to its request.

    `retry_after`: seconds; 0: no Retry-After header.
    """

    status: int
    response: UpstreamResponse | None = None
    retry_after: float = 0.0


@dataclass(slots=True, eq=False)
class StartExchange:
    """To a connection pool and its connections: run this exchange."""

    exchange: Exchange


@dataclass(slots=True, eq=False)
class CancelExchange:
    """To a connection pool and its connections: cancel this exchange."""

    exchange: Exchange


@dataclass(slots=True, eq=False)
class ConnectionIdle:
    """To a connection pool: one of its connections can run the next exchange."""

    connection: Any


@dataclass(slots=True, eq=False)
class ConnectionClosed:
    """To a connection pool: one of its connections has ended."""

    connection: Any


@dataclass(slots=True, eq=False)
class EndpointMoved:
    """To a connection pool: its endpoint as it is listed now; None: it is gone."""

    endpoint: DiscoveredEndpoint | None


@dataclass(slots=True, eq=False)
class ConfigReloaded:
    """To the coordinator: a new configuration; requests in flight keep the one they came under."""

    balancer_config: BalancerConfig


class WatchEndpoints:
    """To the discovery client: start a watch."""


@dataclass(slots=True, eq=False)
class DiscoveryMoved:
    """To the discovery client: a new configuration names another address of discovery."""

    address: str


@dataclass(slots=True, eq=False)
class WatchMessage:
    """To the discovery client: a watch has read a message."""

    watch: Any
    message: Any


@dataclass(slots=True, eq=False)
class WatchAnswered:
    """To the discovery client: the response to a call has begun, so the call does not hang."""

    watch: Any


@dataclass(slots=True, eq=False)
class WatchEnded:
    """To the discovery client: a watch has ended."""

    watch: Any


class Stop:
    """To a listener or a connection: end as soon as every request has its response."""


class Drain:
    """To the client drainer: operators have begun or ended a drain."""


class Close:
    """To an idle connection: its descriptor is needed, or it can't be used again."""


WATCH_ENDPOINTS = WatchEndpoints()
STOP = Stop()
CLOSE = Close()
DRAIN = Drain()
