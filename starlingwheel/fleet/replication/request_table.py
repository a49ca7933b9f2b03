"""The requests that a member knows, by key, and the times at which they expire."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from math import inf

from ..frames import ReplicateFrame
from ..membership import MembershipView
from .context import ReplicationContext
from .request import Client, ReplicatedRequest, RequestState

RESPONSE_RETENTION = 1 / 2  # of the longest timeout: for so long after its deadline a response is stored


class RequestTable:
    """Owns the requests by key, their memory use and their timers."""

    def __init__(self, context: ReplicationContext) -> None:
        """Start with no requests."""
        self.context = context
        self.requests: dict[bytes, ReplicatedRequest] = {}
        self.used_bytes = 0
        # Time, sequence number, request; and the client that has waited long enough then, or None.
        self._timers: list[tuple[float, int, ReplicatedRequest, Client]] = []
        self._timer_count = 0

    def __iter__(self) -> Iterator[ReplicatedRequest]:
        """The requests; the table may change while they are iterated."""
        return iter(list(self.requests.values()))

    @property
    def is_full(self) -> bool:
        """No further request is recorded for another member."""
        return self.used_bytes > self.context.memory_limit

    def get(self, key: bytes) -> ReplicatedRequest | None:
        """The request with that key."""
        return self.requests.get(key)

    def add(self, request: ReplicatedRequest) -> ReplicatedRequest:
        """Store a request until it expires."""
        self.requests[request.key] = request
        self.used_bytes += request.size
        self.schedule(self.expires_at(request), request, None)
        return request

    def add_replica(self, frame: ReplicateFrame, spans_shards: bool) -> None:
        """Store a request that another member owns."""
        request = self.add(ReplicatedRequest.from_frame(frame, RequestState.REPLICA))
        request.granted_to_owner = spans_shards and frame.is_granted

    def forget(self, request: ReplicatedRequest) -> None:
        """Remove a request, if it is stored."""
        if self.requests.get(request.key) is request:
            del self.requests[request.key]
            self.used_bytes -= request.size

    def resize(self, request: ReplicatedRequest, growth: int) -> None:
        """The request takes so many bytes more."""
        if self.requests.get(request.key) is request:
            self.used_bytes += growth
        request.size += growth

    def expires_at(self, request: ReplicatedRequest) -> float:
        """When the request and its response are forgotten."""
        return request.deadline + RESPONSE_RETENTION * self.context.longest_timeout

    def add_client(self, request: ReplicatedRequest, client: Client, until: float) -> None:
        """A client waits for the response until then."""
        request.waiting_clients[client] = until
        self.schedule(until, request, client)

    def schedule(self, at: float, request: ReplicatedRequest, client: Client) -> None:
        """Have `pop_due` return the request, and the client if any, at that time."""
        self._timer_count += 1
        heapq.heappush(self._timers, (at, self._timer_count, request, client))

    def pop_due(self) -> Iterator[tuple[ReplicatedRequest, Client]]:
        """Requests and clients whose time has come; timers that are set meanwhile count."""
        while self._timers and self._timers[0][0] <= self.context.now:
            _, _, request, client = heapq.heappop(self._timers)
            yield request, client

    def next_at(self) -> float:
        """When the next timer is due."""
        return self._timers[0][0] if self._timers else inf

    def concerning(self, member: str, view: MembershipView) -> list[ReplicatedRequest]:
        """Requests that a link to that member may concern."""
        if view.shard_count == 1:
            return list(self.requests.values())
        cell, cell_at = view.shard_of_member(member), view.shard_of_position
        return [
            request
            for request in self.requests.values()
            if member in (request.owner, request.contact)
            or member in request.replicas
            or member in request.waiting_members
            or cell_at(request.hash_position) == cell
        ]
