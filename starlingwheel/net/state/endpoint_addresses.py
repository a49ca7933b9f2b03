"""Which listed endpoints share an address: it belongs to the process that started last.

A new process may come up at the address of one that has gone, and be listed under an id of its own while the
former id is still listed. What is sent to that address reaches the new process under either id.
"""

from __future__ import annotations

from ..discovery.messages import DiscoveredEndpoint


class EndpointAddresses:
    """The endpoints at each address, with their start times. Each change costs a constant time."""

    def __init__(self) -> None:
        """Start without any endpoint."""
        self._started: dict[str, dict[str, float]] = {}  # start times by endpoint id, by address

    def add(self, entry: DiscoveredEndpoint) -> dict[str, None]:
        """Add a listed endpoint; return the ids of the others at its address, which may be replaced by it."""
        at_address = self._started.setdefault(entry.addr, {})
        others = dict.fromkeys(at_address)
        at_address[entry.id] = entry.started_ms or 0
        return others

    def remove(self, entry: DiscoveredEndpoint) -> dict[str, None]:
        """Remove an endpoint as it was added; return the ids of the others at its address."""
        at_address = self._started.get(entry.addr, {})
        at_address.pop(entry.id, None)
        if not at_address:
            self._started.pop(entry.addr, None)
        return dict.fromkeys(at_address)

    def clear(self) -> None:
        """Remove all endpoints."""
        self._started.clear()

    def is_replaced(self, entry: DiscoveredEndpoint) -> bool:
        """Return whether an endpoint that is listed at the same address has started later.

        Of endpoints that started at the same time, or at unknown times, none is known to be the latest.
        """
        at_address = self._started.get(entry.addr)
        if at_address is None or len(at_address) < 2 or not entry.addr:
            return False
        return (entry.started_ms or 0) < max(at_address.values())
