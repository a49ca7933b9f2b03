"""The descriptors in use against the limit: what clients need, what upstreams may have, some spare."""

from __future__ import annotations

from typing import Any

REQUESTS = 1 / 3  # part of the limit that clients hold for requests, at most
OPEN = 7 / 8  # part of that many connections of clients from which on those of no use are closed
CALLS = 1 / 32  # part of the limit for operators' calls, where they have an address
SPARE = 1 / 16  # part of the limit for the list, peers and the log; as much again for clients of no use
FIXED = 20  # of those, at least: what a process has open with nobody there, and a few files for a moment


class ConnectionTracker:
    def __init__(self, most: int, called: bool = False) -> None:
        self.called = called
        self.limit(most)
        self.clients: dict[Any, None] = {}
        self.upstream: dict[Any, None] = {}
        self.idle: dict[Any, None] = {}  # of those to upstreams, the longest idle first
        self.unheard: dict[Any, None] = {}  # clients that have not sent anything yet, the oldest first
        self.halves: dict[Any, None] = {}  # those whose first request is not whole, the longest silent first
        self.idle_clients: dict[Any, None] = {}  # those that wait between requests, the longest idle first
        self.leaving: dict[Any, None] = {}  # those that have their last answer
        self.worst = 0

    def limit(self, most: int, processes: int = 1) -> None:
        """So many may be in use in all, from now on, by so many processes of one sidecar together.

        Clients hold no more of them with two processes than with one, and come over to the new one all at
        once: what is shared is what upstreams may have.
        """
        self.spare = max(FIXED, int(most * SPARE))
        self.calls = max(8, int(most * CALLS)) if self.called else 0
        self.most_requests = max(1, int(most * REQUESTS))  # in hand at a time
        # Guards against connections that asked once and stay using up what clients may hold.
        self.client_share = max(1, int(self.most_requests * OPEN))
        # For upstreams. Calls are counted twice: those that make room for others are open for a turn more.
        self.share = max(1, (most - self.most_requests - 2 * self.spare - 2 * self.calls) // processes)

    @property
    def full(self) -> bool:
        """One client more keeps a connection than there is room for."""
        expendable = len(self.unheard) + len(self.halves) + len(self.idle_clients) + len(self.leaving)
        return len(self.clients) - expendable > self.client_share

    @property
    def closed(self) -> bool:
        """There is not even room to tell one more client that we are full."""
        return len(self.clients) >= self.most_requests + self.spare

    def room_for_upstream(self) -> bool:
        return len(self.upstream) < self.share

    def longest_idle(self) -> Any:
        return next(iter(self.idle), None)

    def client_to_close(self, connected_before: float) -> Any:
        """One that is of no use, if there are too many: guards against silent ones shutting out others."""
        if len(self.clients) < self.client_share:
            return None
        oldest = next(iter(self.unheard), None)
        # Guards against closing one that has just connected and is about to ask.
        silent = oldest is not None and oldest.opened < connected_before
        # Guards against closing a slow client for a request that only began: it goes on, that one does not.
        order = (self.idle_clients, self.halves)
        order = (self.unheard, *order) if silent else (*order, self.unheard)
        for expendable in (self.leaving, *order):
            for client in expendable:
                del expendable[client]
                return client
        return None

    def heard(self, client: Any) -> None:
        """Some more of its first request has come."""
        self.unheard.pop(client, None)
        self.halves.pop(client, None)
        self.halves[client] = None

    def whole(self, client: Any) -> None:
        self.unheard.pop(client, None)
        self.halves.pop(client, None)

    def forget_client(self, client: Any) -> None:
        for held in (self.clients, self.unheard, self.halves, self.idle_clients, self.leaving):
            held.pop(client, None)

    def note(self) -> None:
        self.worst = max(self.worst, len(self.clients) + len(self.upstream))
