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
    """To the coordinator: the body is complete of a request that was passed on while it still arrived."""

    pending: PendingRequest


@dataclass(slots=True, eq=False)
class ResponseHeadReceived:
    """To the coordinator: the head of a successful response has come, and the rest is still to come.

    `may_be_long`: the response is longer than what is buffered, or may be.
    """

    exchange: Exchange
    may_be_long: bool


@dataclass(slots=True, eq=False)
class ResponseStarted:
    """To the coordinator: a response is passed to the client from now on, while it arrives.

    The exchange goes on; `ExchangeEnded` follows with the first byte of the body, or without one.
    """

    exchange: Exchange
    response: UpstreamResponse


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
    """To the coordinator: a gossip datagram of the peer with the index `peer`."""

    peer: int
    body: bytes


@dataclass(slots=True, eq=False)
class FinalResponse:
    """To a client connection: the final response to its request.

    `retry_after` is in seconds; 0 means no Retry-After header.
    """

    status: int
    response: UpstreamResponse | None = None
    retry_after: float = 0.0


@dataclass(slots=True, eq=False)
class StartExchange:
    """To a connection pool and its connections: start this exchange."""

    exchange: Exchange


@dataclass(slots=True, eq=False)
class CancelExchange:
    """To a connection pool and its connections: cancel this exchange."""

    exchange: Exchange


@dataclass(slots=True, eq=False)
class EndStalledResponse:
    """To a connection to an endpoint: break off a response that makes no progress, to free descriptors."""

    exchange: Exchange


class CommitRequired:
    """To a connection to an endpoint: a response that is held back has to be passed on now."""


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
    """To a connection pool: its endpoint as listed now, or None if it has been removed."""

    endpoint: DiscoveredEndpoint | None


@dataclass(slots=True, eq=False)
class ConfigReloaded:
    """To the coordinator: a new configuration; requests in flight keep the one they arrived under."""

    balancer_config: BalancerConfig


@dataclass(slots=True, eq=False)
class ShutdownStarted:
    """To the coordinator: the process has been stopped; every request has to be answered by `answer_by`."""

    answer_by: float


class WatchEndpoints:
    """To the discovery client: start a watch."""


@dataclass(slots=True, eq=False)
class DiscoveryMoved:
    """To the discovery client: the address of discovery has changed by a reload."""

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
    """To a listener, a connection or the shutdown controller: end once every request has its response."""


class Drain:
    """To the client drainer: operators have begun or ended a drain."""


class Close:
    """To a connection, a link, an admin call or a watch: close, since its descriptor is needed or it is not.

    No exchange is broken off, nor a request that has been received completely.
    """


WATCH_ENDPOINTS = WatchEndpoints()
STOP = Stop()
CLOSE = Close()
DRAIN = Drain()
COMMIT_REQUIRED = CommitRequired()
