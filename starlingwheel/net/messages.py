"""What actors write to each other. `Ready`, a socket word, is in loop.py, `Flowing` in memory/flow.py."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..decisions.config import BalancerConfig
from ..decisions.events import WatchEvent
from ..decisions.model import AttemptOutcome
from .state.requests import Exchange, PendingRequest, UpstreamResponse


@dataclass(slots=True, eq=False)
class RequestReceived:
    """To the module: a client's work item."""

    pending: PendingRequest


@dataclass(slots=True, eq=False)
class ClientDisconnected:
    """To the module: the client of a work item has gone away."""

    pending: PendingRequest


@dataclass(slots=True, eq=False)
class RequestBodyComplete:
    """To the module: the last byte of a work item has come that was taken before."""

    pending: PendingRequest


@dataclass(slots=True, eq=False)
class ExchangeEnded:
    """To the module: an errand has ended."""

    exchange: Exchange
    outcome: AttemptOutcome
    load_report: dict[str, float] = field(default_factory=dict)
    response: UpstreamResponse | None = None


@dataclass(slots=True, eq=False)
class EndpointsChanged:
    """To the module: word from the list of upstreams."""

    event: WatchEvent
    endpoints: list[Any]


@dataclass(slots=True, eq=False)
class GossipReceived:
    """To the module: what a peer has said."""

    peer: int
    body: bytes


@dataclass(slots=True, eq=False)
class FinalResponse:
    """To a client: the final answer for its work item."""

    status: int
    response: UpstreamResponse | None = None
    retry_after: float = 0.0


@dataclass(slots=True, eq=False)
class StartExchange:
    """To an upstream and its connections: an errand to run."""

    exchange: Exchange


@dataclass(slots=True, eq=False)
class CancelExchange:
    """To an upstream and its connections: give the errand up."""

    exchange: Exchange


@dataclass(slots=True, eq=False)
class ConnectionIdle:
    """To an upstream: a connection of its can carry the next errand."""

    connection: Any


@dataclass(slots=True, eq=False)
class ConnectionClosed:
    """To an upstream: a connection of its has ended."""

    connection: Any


@dataclass(slots=True, eq=False)
class EndpointMoved:
    """To an upstream: what the list now says of it; None: it has left."""

    entry: Any


@dataclass(slots=True, eq=False)
class ConfigReloaded:
    """To the module: new terms; work in hand keeps those it was taken with."""

    terms: BalancerConfig


class WatchEndpoints:
    """To the list: begin a watch."""


@dataclass(slots=True, eq=False)
class DiscoveryMoved:
    """To the list: a new configuration names another discovery."""

    address: str


@dataclass(slots=True, eq=False)
class WatchMessage:
    """To the list: a watch has read a line."""

    watch: Any
    word: Any


@dataclass(slots=True, eq=False)
class WatchAnswered:
    """To the list: the answer to a call has begun, so it does not hang."""

    watch: Any


@dataclass(slots=True, eq=False)
class WatchEnded:
    """To the list: a watch has ended."""

    watch: Any


class Stop:
    """To whoever listens or holds a connection: end as soon as nothing is owed."""


class Drain:
    """To the one that sends clients away: operators have said so, or that it is over."""


class Close:
    """To an idle connection: its room is needed, or it can't be used again."""


WATCH_ENDPOINTS, STOP, CLOSE, DRAIN = WatchEndpoints(), Stop(), Close(), Drain()
