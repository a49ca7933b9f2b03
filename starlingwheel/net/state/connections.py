"""Open connections against the descriptor limit: what clients need, what endpoints may have, a reserve."""

from __future__ import annotations

from typing import Any

# Parts of the descriptor limit.
REQUEST_SHARE = 1 / 3  # for connections of clients with requests in flight
ADMIN_SHARE = 1 / 32  # for operators' calls, where they have an address
RESERVE_SHARE = 1 / 16  # for discovery, peers and the log; as much again for clients without a request
MIN_RESERVE = 20  # descriptors: what an idle process has open, and a few files for a moment
MIN_ADMIN_CALLS = 8
CLOSE_IDLE_THRESHOLD = (
    7 / 8
)  # of the clients' part in use: from then on connections without a request are closed


class ConnectionTracker:
    """Counts open connections by kind, and says which to close first. Dicts serve as ordered sets."""

    def __init__(self, max_descriptors: int, admin_enabled: bool = False) -> None:
        """`admin_enabled`: operators' calls need some of the descriptors."""
        self.admin_enabled = admin_enabled
        self.set_limit(max_descriptors)
        self.clients: dict[Any, None] = {}
        self.endpoint_connections: dict[Any, None] = {}  # to endpoints
        # To endpoints and without an exchange, the longest idle first.
        self.idle_endpoint_connections: dict[Any, None] = {}
        self.silent_clients: dict[Any, None] = {}  # clients that have not sent anything yet, the oldest first
        # Clients within their first request, the longest silent first.
        self.partial_requests: dict[Any, None] = {}
        self.idle_clients: dict[Any, None] = {}  # clients between requests, the longest idle first
        self.answered_clients: dict[Any, None] = {}  # clients that have their last response
        self.peak = 0  # connections at a time, the most so far

    def set_limit(self, max_descriptors: int, processes: int = 1) -> None:
        """Allow so many descriptors in all, from now on, for so many processes of one sidecar together.

        Clients hold no more of them with two processes than with one, and move to the new one all at once: it
        is the endpoints' part that is divided.
        """
        self.reserve = max(MIN_RESERVE, int(max_descriptors * RESERVE_SHARE))
        self.admin_call_limit = 0
        if self.admin_enabled:
            self.admin_call_limit = max(MIN_ADMIN_CALLS, int(max_descriptors * ADMIN_SHARE))
        self.max_requests = max(1, int(max_descriptors * REQUEST_SHARE))  # in flight at a time
        self.client_limit = max(1, int(self.max_requests * CLOSE_IDLE_THRESHOLD))
        # Operators' calls count twice: those that make room for others stay open for one turn more.
        for_others = self.max_requests + 2 * self.reserve + 2 * self.admin_call_limit
        self.endpoint_limit = max(1, (max_descriptors - for_others) // processes)

    @property
    def is_full(self) -> bool:
        """Another client would keep a connection for which there is no descriptor."""
        expendable = (
            len(self.silent_clients)
            + len(self.partial_requests)
            + len(self.idle_clients)
            + len(self.answered_clients)
        )
        return len(self.clients) - expendable > self.client_limit

    @property
    def is_exhausted(self) -> bool:
        """There is no descriptor even for rejecting another client."""
        return len(self.clients) >= self.max_requests + self.reserve

    def has_room_for_endpoint(self) -> bool:
        """Another connection to an endpoint may be opened."""
        return len(self.endpoint_connections) < self.endpoint_limit

    def longest_idle(self) -> Any:  # noqa: ANN401
        """Return the connection to an endpoint that has been idle the longest; None: none is idle."""
        return next(iter(self.idle_endpoint_connections), None)

    def client_to_close(self, connected_before: float) -> Any:  # noqa: ANN401
        """Return a client to close, so that silent ones don't shut others out; None: there is room.

        One that has connected since `connected_before` is about to send its request: it is chosen last. A
        slow request that has begun is not closed for one that might.
        """
        if len(self.clients) < self.client_limit:
            return None
        oldest = next(iter(self.silent_clients), None)
        silent = oldest is not None and oldest.opened_at < connected_before
        between = (self.idle_clients, self.partial_requests)
        order = (self.silent_clients, *between) if silent else (*between, self.silent_clients)
        for expendable in (self.answered_clients, *order):
            for client in expendable:
                del expendable[client]
                return client
        return None

    def record_request_part(self, client: object) -> None:
        """Another part of a client's first request has arrived."""
        self.silent_clients.pop(client, None)
        self.partial_requests.pop(client, None)
        self.partial_requests[client] = None

    def record_request_complete(self, client: object) -> None:
        """A client's request is complete."""
        self.silent_clients.pop(client, None)
        self.partial_requests.pop(client, None)

    def remove_client(self, client: object) -> None:
        """A client's connection has ended."""
        for group in (
            self.clients,
            self.silent_clients,
            self.partial_requests,
            self.idle_clients,
            self.answered_clients,
        ):
            group.pop(client, None)

    def update_peak(self) -> None:
        """Update the highest count."""
        self.peak = max(self.peak, len(self.clients) + len(self.endpoint_connections))
