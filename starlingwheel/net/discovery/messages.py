"""What discovery says: the entries of the list, and one line of a watch."""

from __future__ import annotations

from typing import Literal

import msgspec

from ...decisions.events import WatchEvent
from ...decisions.model import Endpoint, EndpointState

CONDITIONS = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}


class DiscoveredEndpoint(msgspec.Struct, frozen=True):
    """One upstream as discovery gives it."""

    id: str
    addr: str = ""
    zone: str = ""
    cell: int = 0
    state: Literal["active", "leaving", "left"] = "active"
    weight: float = 1.0
    started_ms: float | None = 0

    def listing(self) -> Endpoint:
        # The id is the same at every sidecar, the address is not: the decisions know the id alone.
        return Endpoint(
            endpoint_id=self.id,
            zone=self.zone,
            cell=self.cell,
            capacity_weight=self.weight,
            started_at=self.started_ms / 1000 if self.started_ms else None,
            state=CONDITIONS[self.state],
        )


class DiscoveryMessage(msgspec.Struct, frozen=True):
    """One line of a watch."""

    version: int
    full: bool = False
    servers: list[DiscoveredEndpoint] = []

    @property
    def news(self) -> WatchEvent:
        return WatchEvent.SNAPSHOT if self.full else WatchEvent.DELTA
