"""The JSON format of discovery: an entry of the endpoint list, and a message of a watch.

No other module knows discovery's names of fields and states.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from ...decisions.events import WatchEvent
from ...decisions.model import Endpoint, EndpointState

DRAINING_STATE: Literal["leaving"] = "leaving"
LEFT_STATE: Literal["left"] = "left"
ENDPOINT_STATES = {
    "active": EndpointState.READY,
    DRAINING_STATE: EndpointState.DRAINING,
    LEFT_STATE: EndpointState.GONE,
}


class DiscoveredEndpoint(msgspec.Struct, frozen=True):
    """One entry of the endpoint list."""

    id: str
    addr: str = ""
    zone: str = ""
    cell: int = 0
    state: Literal["active", "leaving", "left"] = "active"
    weight: float = 1.0
    started_ms: float | None = 0  # milliseconds since 1970; 0 or null: unknown

    def to_endpoint(self) -> Endpoint:
        """Return the endpoint in the form that the decisions use.

        It has no address: addresses differ between sidecars, and the decisions identify endpoints by id.
        """
        return Endpoint(
            endpoint_id=self.id,
            zone=self.zone,
            cell=self.cell,
            capacity_weight=self.weight,
            started_at=self.started_ms / 1000 if self.started_ms else None,
            state=ENDPOINT_STATES[self.state],
        )


class DiscoveryMessage(msgspec.Struct, frozen=True):
    """One message of a watch: the whole list, or the entries that changed."""

    version: int
    full: bool = False
    endpoints: list[DiscoveredEndpoint] = msgspec.field(default_factory=list, name="servers")

    @property
    def event(self) -> WatchEvent:
        """The kind of event that the message stands for."""
        return WatchEvent.SNAPSHOT if self.full else WatchEvent.DELTA
