"""Gossip between sidecars: attempts in flight per endpoint, failures and unanswered attempts.

A message is a sequence of three-byte records: two bytes with an endpoint's tag, one with a count or a code.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from typing import Protocol

from .clock import HALF_LIFE, Clock
from .commands import DecisionCoroutine, SendGossip
from .config import BalancerConfig
from .endpoint_set import EndpointSet
from .endpoint_stats import EndpointStats
from .estimators import QUEUED_REQUEST_COST, InFlightEstimator

MAX_MESSAGE_SIZE = 256  # bytes; the price of a message is for this size
BILLED_MESSAGE_SIZE = 16  # bytes of a typical message
RECORD_SIZE = 3  # bytes
FAILURE = 255  # code: an attempt at the endpoint has failed
UNANSWERED = 254  # code sent with a count: an attempt at the endpoint got no response
# Code sent with a count: the sending sidecar ended an attempt itself, which tells nothing about the endpoint.
ENDED_BY_SENDER = 253
# Limit of the messages that a sidecar receives from all peers within the shortest latency objective.
MESSAGES_PER_OBJECTIVE = 512.0
BURST = 4.0  # messages that may be sent without a pause
PRIOR_RESPONSES = 4.0  # number of responses that the prior of an endpoint's relative latency counts as


class FailureObserver(Protocol):
    """Receiver of the failures and responses that peers report."""

    def suspect(self, stats: EndpointStats) -> None:
        """Handle the report that an attempt of a peer has failed at an endpoint."""

    def eject(self, stats: EndpointStats, unresponsive: bool) -> None:
        """Handle the report that attempts of a peer got no response from an endpoint."""

    def note_response_elsewhere(self, stats: EndpointStats) -> None:
        """Handle the report that a peer has received a response from an endpoint."""


class Gossip:
    """Owns the counts received from peers and those that still have to be sent to them."""

    def __init__(self, clock: Clock, endpoints: EndpointSet) -> None:
        """Start without any counts, disabled until `reload`."""
        self.clock, self.endpoints = clock, endpoints
        self.enabled = False
        self.counts: dict[int, int] = {}  # attempts in flight at peers, by tag
        self.total = 0.0
        self._by_peer: dict[tuple[int, int], tuple[float, int]] = {}  # (peer, tag): time, count; oldest first
        self._received_at = -inf
        self._in_flight = InFlightEstimator(clock.now)
        self._pending_counts: dict[EndpointStats, None] = {}
        self._pending_failures: dict[EndpointStats, None] = {}
        self._pending_codes: dict[EndpointStats, int] = {}
        self._tokens, self._refilled_at = BURST, clock.now
        endpoints.on_refresh = self._drop_zero_counts

    def reload(self, config: BalancerConfig, enabled: bool) -> None:
        """Adopt a new configuration; `enabled`: whether in-flight counts are sent."""
        self.config, self.enabled = config, enabled

    def _drop_zero_counts(self) -> None:
        self.counts = {tag: count for tag, count in self.counts.items() if count}

    def is_current(self) -> bool:
        """Return whether a peer's counts were received within the shortest latency objective."""
        return self._received_at > self.clock.now - self.clock.shortest_objective

    # Sending.

    def note_count(self, stats: EndpointStats) -> None:
        """Record that the number of attempts in flight at an endpoint has changed."""
        if self.enabled:
            self._pending_counts[stats] = None

    def note_failure(self, stats: EndpointStats) -> None:
        """Record a failed attempt that peers should be told of at once."""
        self._pending_failures[stats] = None

    def note_end_without_response(self, stats: EndpointStats, unanswered: bool) -> None:
        """Record that an attempt has ended without a response.

        Peers are told whether it was unanswered, so that they need not find out through their own attempts.
        """
        self._pending_codes[stats] = (
            UNANSWERED if unanswered else self._pending_codes.get(stats, ENDED_BY_SENDER)
        )

    def flush(self) -> DecisionCoroutine:
        """Send pending changes, within this sidecar's share of the rate that each peer may receive."""
        if not self._pending_counts and not self._pending_failures and not self._pending_codes:
            return
        now = self.clock.now
        rate = MESSAGES_PER_OBJECTIVE / self.clock.shortest_objective / self.config.sidecars
        self._tokens = min(BURST, self._tokens + (now - self._refilled_at) * rate)
        self._refilled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            records = list(self._pending_records())[: MAX_MESSAGE_SIZE // RECORD_SIZE]
            for pending in (self._pending_failures, self._pending_codes, self._pending_counts):
                pending.clear()
            yield SendGossip(b"".join(tag.to_bytes(2, "big") + bytes([value]) for tag, value in records))

    def _pending_records(self) -> Iterator[tuple[int, int]]:
        """Yield tags with their codes or counts, the most urgent first."""
        for stats in self._pending_failures:
            yield stats.gossip_tag, FAILURE
        for stats, code in self._pending_codes.items():
            yield stats.gossip_tag, code
        for stats in self._pending_counts:
            yield stats.gossip_tag, min(len(stats.in_flight), ENDED_BY_SENDER - 1)

    # Receiving.

    def receive(self, peer: int, body: bytes, observer: FailureObserver) -> None:
        """Apply a peer's message; one from an unknown peer is ignored."""
        if not 0 <= peer < self.config.sidecars:
            return
        self.endpoints.refresh()
        ended_by_sender: set[int] = set()
        for start in range(0, len(body) - RECORD_SIZE + 1, RECORD_SIZE):
            tag, value = int.from_bytes(body[start : start + 2], "big"), body[start + 2]
            stats = self.endpoints.by_tag.get(tag)
            if value < ENDED_BY_SENDER:
                self._receive_count(peer, tag, value, stats, tag in ended_by_sender, observer)
                continue
            if value != FAILURE:
                ended_by_sender.add(tag)
            if stats is not None:
                self._receive_code(value, stats, observer)

    def _receive_code(self, code: int, stats: EndpointStats, observer: FailureObserver) -> None:
        if code == FAILURE:
            observer.suspect(stats)
        # A slow or full endpoint still answers some sidecars, so one with a recent response is not ejected.
        recently = self.clock.now - self.clock.shortest_objective / 2
        if code == UNANSWERED and stats.last_response_at < recently:
            observer.eject(stats, unresponsive=True)

    def _receive_count(
        self,
        peer: int,
        tag: int,
        count: int,
        stats: EndpointStats | None,
        ended_by_sender: bool,
        observer: FailureObserver,
    ) -> None:
        _, before = self._by_peer.pop((peer, tag), (0.0, 0))
        if count < before and not ended_by_sender and stats is not None:
            observer.note_response_elsewhere(stats)
        if count:
            self._by_peer[peer, tag] = (self.clock.now, count)
        if stats is not None:
            self._note_in_flight(stats, 0 if ended_by_sender else max(0, before - count))
        self.counts[tag] = self.counts.get(tag, 0) + count - before
        self.total, self._received_at = self.total + count - before, self.clock.now

    def forget_old_counts(self) -> None:
        """Drop old counts, which a sidecar that was killed or disconnected can no longer correct."""
        while self._by_peer:
            (peer, tag), (at, count) = next(iter(self._by_peer.items()))
            if at > self.clock.now - self.clock.longest_objective:
                return
            del self._by_peer[peer, tag]
            self.counts[tag] -= count
            self.total -= count

    def _note_in_flight(self, stats: EndpointStats, responses: float = 0.0) -> None:
        now, half_life = self.clock.now, HALF_LIFE * self.clock.shortest_objective
        stats.gossip_in_flight.add(now, half_life, self.counts.get(stats.gossip_tag, 0), responses)
        self._in_flight.add(now, half_life, self.total, responses)

    def relative_latency(self, stats: EndpointStats) -> float:
        """Return an endpoint's response time relative to that of all endpoints, from peers' counts.

        The effects of queueing, slow start and capacity weight are taken out. The result is 1 while the
        counts are too old or too few.
        """
        if not self.is_current() or self._in_flight.responses < PRIOR_RESPONSES:
            return 1.0
        self._note_in_flight(stats)
        single, overall = stats.gossip_in_flight, self._in_flight
        mean = overall.in_flight_time / overall.responses
        response_time = (single.in_flight_time + PRIOR_RESPONSES * mean) / (
            single.responses + PRIOR_RESPONSES
        )
        queue = single.in_flight_time / (single.elapsed or 1.0)
        mean_queue = overall.in_flight_time / overall.elapsed / max(1, self.endpoints.ready_count())
        unloaded = (
            response_time / mean * (1 + QUEUED_REQUEST_COST * mean_queue) / (1 + QUEUED_REQUEST_COST * queue)
        )
        warm_fraction = stats.slow_start_fraction(self.config, self.clock.now)
        return unloaded * warm_fraction / self.endpoints.relative_cost(stats)
