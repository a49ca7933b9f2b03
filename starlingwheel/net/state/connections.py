"""Accounting of open connections: divides the descriptor limit among clients, endpoints and a reserve."""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import Any

from .requests import Exchange

# Parts of the descriptor limit.
REQUEST_SHARE = 1 / 3  # for connections of clients with requests in flight
ADMIN_SHARE = 1 / 32  # for admin calls, if there is an admin address
RESERVE_SHARE = 1 / 16  # for discovery, peers and the log; as much again for clients without a request
MIN_RESERVE = 20  # descriptors: those that an idle process has open, and a few short-lived files
MIN_ADMIN_CALLS = 8
STALLED_AFTER = 2.5  # seconds without a byte after which a response may be broken off to make room
# Part of the clients' descriptors in use from which on client connections without a request are closed.
CLOSE_IDLE_THRESHOLD = 7 / 8


class ConnectionTracker:
    """Counts open connections by kind, and selects those to close first. Dicts serve as ordered sets."""

    def __init__(self, max_descriptors: int, admin_enabled: bool = False) -> None:
        """Create a tracker; with `admin_enabled`, part of the descriptors is reserved for admin calls."""
        self.admin_enabled = admin_enabled
        self.set_limit(max_descriptors)
        self.clients: dict[Any, None] = {}
        self.endpoint_connections: dict[Any, None] = {}
        # Connections to endpoints without an exchange, the longest idle first.
        self.idle_endpoint_connections: dict[Any, None] = {}
        self.silent_clients: dict[Any, None] = {}  # clients that have sent nothing yet, the oldest first
        # Clients whose first request is incomplete, the longest silent first.
        self.partial_requests: dict[Any, None] = {}
        self.idle_clients: dict[Any, None] = {}  # clients between requests, the longest idle first
        self.answered_clients: dict[Any, None] = {}  # clients that have received their last response
        self.closing_clients: dict[Any, None] = {}  # clients that were told to close to make room
        # Exchanges whose responses have begun for their clients and wait for more, the longest waiting first.
        # With the time at which their last byte came.
        self.waiting_responses: dict[Exchange, float] = {}
        # Connections that have ended, by the reason in their log line.
        self.client_ends: Counter[str] = Counter()
        self.endpoint_ends: Counter[str] = Counter()
        self.peak = 0  # the highest number of connections at a time so far

    def set_limit(self, max_descriptors: int, processes: int = 1) -> None:
        """Change the limit to `max_descriptors` for `processes` processes of one sidecar together.

        Only the endpoints' part is divided among the processes: clients need no more descriptors with two
        processes than with one, and move to the new process all at once.
        """
        self.reserve = max(MIN_RESERVE, int(max_descriptors * RESERVE_SHARE))
        self.admin_call_limit = 0
        if self.admin_enabled:
            self.admin_call_limit = max(MIN_ADMIN_CALLS, int(max_descriptors * ADMIN_SHARE))
        self.max_requests = max(1, int(max_descriptors * REQUEST_SHARE))  # in flight at a time
        self.client_limit = max(1, int(self.max_requests * CLOSE_IDLE_THRESHOLD))
        # Admin calls count twice: a call closed to make room for another stays open for one more turn.
        for_others = self.max_requests + 2 * self.reserve + 2 * self.admin_call_limit
        self.endpoint_limit = max(1, (max_descriptors - for_others) // processes)

    @property
    def is_full(self) -> bool:
        """Whether there is no descriptor for the connection of another client with a request."""
        expendable = (
            len(self.silent_clients)
            + len(self.partial_requests)
            + len(self.idle_clients)
            + len(self.answered_clients)
        )
        return len(self.clients) - expendable > self.client_limit

    @property
    def is_exhausted(self) -> bool:
        """Whether there is no descriptor even to reject another client."""
        return len(self.clients) >= self.max_requests + self.reserve

    def has_room_for_endpoint(self) -> bool:
        """Return whether another connection to an endpoint may be opened."""
        return len(self.endpoint_connections) < self.endpoint_limit

    def longest_idle(self) -> Any:  # noqa: ANN401
        """Return the connection to an endpoint that has been idle the longest, or None if none is idle."""
        return next(iter(self.idle_endpoint_connections), None)

    def client_to_close(self, connected_before: float) -> Any:  # noqa: ANN401
        """Return a client to close, so that silent clients do not shut out others, or None if there is room.

        A client that has connected since `connected_before` may have its first request on the way, so it is
        not closed. Clients that have been silent for longer are chosen before those whose first request is
        incomplete: a slow request is not closed in favour of one that may never begin.
        """
        if not self.is_short_of_clients():
            return None
        oldest = next(iter(self.silent_clients), None)
        silent_first = oldest is not None and oldest.opened_at < connected_before
        silent = (self.silent_clients,) if silent_first else ()
        for expendable in (self.answered_clients, *silent, self.idle_clients, self.partial_requests):
            for client in expendable:
                del expendable[client]
                self.closing_clients[client] = None
                return client
        return None

    def note_waiting_response(self, exchange: Exchange, now: float) -> None:
        """Record that a response that has begun for its client waits for more, from now on."""
        self.waiting_responses.pop(exchange, None)
        self.waiting_responses[exchange] = now

    def note_response_progress(self, exchange: Exchange) -> None:
        """Record that more of a response has come, or that it has ended."""
        self.waiting_responses.pop(exchange, None)

    def take_stalled_response(self, now: float) -> Exchange | None:
        """Return the response that has waited longest of those that have stalled, or None.

        Its client's time is over, too. It takes up a descriptor of a client and one of an endpoint, and may
        never go on; one that comes slowly, or pauses, does.
        """
        for exchange, since in self.waiting_responses.items():
            if now < since + STALLED_AFTER:
                return None
            if exchange.pending is not None and exchange.pending.request.deadline <= now:
                del self.waiting_responses[exchange]
                return exchange
        return None

    @property
    def _staying_clients(self) -> int:
        """The number of clients that were not told to close."""
        return len(self.clients) - len(self.closing_clients)

    def is_short_of_clients(self) -> bool:
        """Return whether room has to be made for another client, beside those that are closing."""
        return self._staying_clients >= self.client_limit

    def room_due_at(self, grace: float) -> float:
        """Return when a client that takes the room of others will have been silent for `grace` seconds."""
        oldest = next(iter(self.silent_clients), None)
        is_over = self._staying_clients > self.client_limit
        return oldest.opened_at + grace if is_over and oldest is not None else inf

    def record_request_part(self, client: object) -> None:
        """Record that another part of a client's first request has arrived."""
        self.silent_clients.pop(client, None)
        self.partial_requests.pop(client, None)
        self.partial_requests[client] = None

    def record_request_complete(self, client: object) -> None:
        """Record that a client's request is complete."""
        self.silent_clients.pop(client, None)
        self.partial_requests.pop(client, None)

    def remove_client(self, client: object) -> None:
        """Remove a client whose connection has ended."""
        for group in (
            self.clients,
            self.silent_clients,
            self.partial_requests,
            self.idle_clients,
            self.answered_clients,
            self.closing_clients,
        ):
            group.pop(client, None)

    def update_peak(self) -> None:
        """Update the highest number of connections."""
        self.peak = max(self.peak, len(self.clients) + len(self.endpoint_connections))
