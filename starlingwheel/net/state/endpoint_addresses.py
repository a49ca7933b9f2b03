"""Which listed endpoints share an address: it belongs to the process that started last.

A new process may come up at the address of one that has gone, and be listed under an id of its own while the
former id is still listed. What is sent to that address reaches the new process under either id.
"""

from __future__ import annotations

from ..discovery.messages import DiscoveredEndpoint


class EndpointAddresses:
    """The endpoints at each address, with their start times.

    Each change costs a constant time, but where an endpoint is, or was, the latest of several at an address.
    """

    def __init__(self) -> None:
        """Start without any endpoint."""
        self._started: dict[str, dict[str, float]] = {}  # start times by endpoint id, by address
        self._latest: dict[str, float] = {}  # the latest of them, by address

    def add(self, entry: DiscoveredEndpoint) -> dict[str, None]:
        """Add a listed endpoint; return the ids of the others at its address if it replaces any of them."""
        started = entry.started_ms or 0
        at_address = self._started.setdefault(entry.addr, {})
        replaces = bool(at_address) and started > self._latest[entry.addr]
        others = dict.fromkeys(at_address) if replaces else {}
        at_address[entry.id] = started
        self._latest[entry.addr] = max(started, self._latest.get(entry.addr, 0))
        return others

    def remove(self, entry: DiscoveredEndpoint) -> dict[str, None]:
        """Remove an endpoint as it was added; return the ids of the others if it had replaced any of them."""
        at_address = self._started.get(entry.addr, {})
        started = at_address.pop(entry.id, 0)
        if not at_address:
            self._started.pop(entry.addr, None)
            self._latest.pop(entry.addr, None)
            return {}
        if started < self._latest[entry.addr] or not started:
            return {}  # the latest is another one, or all start times are unknown
        latest = self._latest[entry.addr] = max(at_address.values())
        return dict.fromkeys(at_address) if latest < started else {}

    def clear(self) -> None:
        """Remove all endpoints."""
        self._started.clear()
        self._latest.clear()

    def is_replaced(self, entry: DiscoveredEndpoint) -> bool:
        """Return whether an endpoint that is listed at the same address has started later.

        Of endpoints that started at the same time, or at unknown times, none is known to be the latest.
        """
        return bool(entry.addr) and (entry.started_ms or 0) < self._latest.get(entry.addr, 0)
