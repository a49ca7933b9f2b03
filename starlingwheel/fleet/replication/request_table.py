"""The requests that a member knows, by key, and the times at which they expire."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from math import inf

from ..frames import ReplicateFrame
from ..membership import MembershipView
from .context import ReplicationContext
from .request import Client, ReplicatedRequest, RequestState

RESPONSE_RETENTION = 1 / 2  # of the longest timeout: how long a response is stored after its deadline


class RequestTable:
    """The requests by key, their memory use and their timers."""

    def __init__(self, context: ReplicationContext) -> None:
        """Start with no requests."""
        self.context = context
        self.requests: dict[bytes, ReplicatedRequest] = {}
        self.used_bytes = 0
        # Time, sequence number, request, and the client whose waiting time ends then; None: the request
        # expires.
        self._timers: list[tuple[float, int, ReplicatedRequest, Client]] = []
        self._timer_count = 0

    def __iter__(self) -> Iterator[ReplicatedRequest]:
        """Iterate over the requests; the table may change meanwhile."""
        return iter(list(self.requests.values()))

    @property
    def is_full(self) -> bool:
        """Whether no further request can be recorded for another member."""
        return self.used_bytes > self.context.memory_limit

    def get(self, key: bytes) -> ReplicatedRequest | None:
        """Return the request with that key, if there is one."""
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
        """Account for a change of the request's size by `growth` bytes."""
        if self.requests.get(request.key) is request:
            self.used_bytes += growth
        request.size += growth

    def expires_at(self, request: ReplicatedRequest) -> float:
        """Return when the request and its response are forgotten."""
        return request.deadline + RESPONSE_RETENTION * self.context.longest_timeout

    def add_client(self, request: ReplicatedRequest, client: Client, until: float) -> None:
        """Record that a client waits for the response, at most until that time."""
        request.waiting_clients[client] = until
        self.schedule(until, request, client)

    def schedule(self, at: float, request: ReplicatedRequest, client: Client) -> None:
        """Have `pop_due` return the request, and the client if any, at that time."""
        self._timer_count += 1
        heapq.heappush(self._timers, (at, self._timer_count, request, client))

    def pop_due(self) -> Iterator[tuple[ReplicatedRequest, Client]]:
        """Remove and yield the requests and clients that are due, including those scheduled meanwhile."""
        while self._timers and self._timers[0][0] <= self.context.now:
            _, _, request, client = heapq.heappop(self._timers)
            yield request, client

    def next_at(self) -> float:
        """Return when the next timer is due."""
        return self._timers[0][0] if self._timers else inf

    def concerning(self, member: str, view: MembershipView) -> list[ReplicatedRequest]:
        """Return the requests that a link to that member may concern."""
        if view.shard_count == 1:
            return list(self.requests.values())
        shard, shard_of_position = view.shard_of_member(member), view.shard_of_position
        return [
            request
            for request in self.requests.values()
            if member in (request.owner, request.contact)
            or member in request.replicas
            or member in request.waiting_members
            or shard_of_position(request.hash_position) == shard
        ]
