"""The listed endpoints by id, zone and cell, and the subset that this sidecar sends to."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from math import log

from .clock import Clock
from .config import BalancerConfig
from .endpoint_stats import EndpointStats
from .events import WatchEvent
from .model import Endpoint, EndpointState

# Number of local, and of remote, endpoints to choose from, where open connections have a price and each
# connection carries many requests.
SUBSET_SIZE = 2
# A subset is filled from this many times its size of endpoints, in the sidecar's order, past unusable ones.
SUBSET_SPARE_FACTOR = 3
MIN_WEIGHT = 1e-9  # lower bound of the capacity weights
INDEX_MULTIPLIER = 2654435761  # spreads sidecar indices over 32 bits
CELL_HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # spreads a 32-bit hash over 64 bits


class EndpointSet:
    """Owns the endpoint list; `local` and `remote` hold the endpoints ready at the last `refresh`."""

    def __init__(self, clock: Clock) -> None:
        """Start with an empty list."""
        self.clock = clock
        self.by_id: dict[str, EndpointStats] = {}
        self.by_tag: dict[int, EndpointStats] = {}
        self.local: list[EndpointStats] = []
        self.remote: list[EndpointStats] = []
        self.remote_zones: list[EndpointStats] = []  # one ready endpoint of each remote zone
        self.cell_weights: dict[int, float] = {}
        self.mean_weight = 1.0
        self.stale = True
        self.on_refresh: Callable[[], None] = lambda: None

    def reload(self, config: BalancerConfig) -> None:
        """Adopt a new configuration."""
        self.config, self.stale = config, True
        self.weights_are_live = config.weights_are_live
        subsetting = config.open_connection_price and config.streams_per_connection > 1
        self.subset_size = SUBSET_SIZE if subsetting else 0
        self.subset_width = SUBSET_SPARE_FACTOR * self.subset_size
        self.subset_salt = config.sidecar_index * INDEX_MULTIPLIER & 0xFFFFFFFF

    def apply(self, event: WatchEvent, entries: list[Endpoint]) -> None:
        """Apply a snapshot or a delta of the endpoint list."""
        if event is WatchEvent.SNAPSHOT:
            listed = {entry.endpoint_id for entry in entries}
            for endpoint_id in [known for known in self.by_id if known not in listed]:
                del self.by_id[endpoint_id]
        live = self.config.weights_are_live
        self.stale = self.stale or not live or event is WatchEvent.SNAPSHOT
        for entry in entries:
            self._apply_entry(entry, live)

    def _apply_entry(self, entry: Endpoint, live: bool) -> None:
        known = self.by_id.get(entry.endpoint_id)
        if known is None or entry.state is EndpointState.GONE:
            self.stale = True
            self.by_id.pop(entry.endpoint_id, None)
            if entry.state is not EndpointState.GONE:
                self.by_id[entry.endpoint_id] = EndpointStats(entry, self.clock.now, self.config.sidecars)
            return
        before = known.entry.state, known.started_at
        self.stale |= (entry.state, entry.started_at) != before
        known.update(entry, self.clock.now, live)

    def refresh(self) -> None:
        """Recompute zones, cells and the subset if the list has changed."""
        if not self.stale:
            return
        self.stale = False
        # The order differs between sidecars, so that their subsets keep the number of connections to each
        # endpoint within what the endpoint accepts.
        ordered = sorted(self.by_id.values(), key=self._sort_key)
        ready = [stats for stats in ordered if stats.entry.state is EndpointState.READY]
        self.by_tag = {stats.gossip_tag: stats for stats in self.by_id.values()}
        self.on_refresh()
        self.local = [stats for stats in ready if stats.entry.zone == self.config.zone]
        self.remote = [stats for stats in ready if stats.entry.zone != self.config.zone]
        self.cell_weights = {}
        for stats in ready:
            cell = stats.entry.cell
            self.cell_weights[cell] = self.cell_weights.get(cell, 0.0) + stats.capacity_weight
        for group in (self.local, self.remote) if self.subset_size else ():
            self._set_ranks(group)
        self.remote_zones = list({stats.entry.zone: stats for stats in self.remote}.values())
        weights = sum(stats.capacity_weight for stats in ordered)
        self.mean_weight = weights / len(ordered) if ordered else 1.0

    def _sort_key(self, stats: EndpointStats) -> tuple[int, str]:
        endpoint_id = stats.endpoint_id
        return zlib.crc32(endpoint_id.encode(), self.subset_salt) if self.subset_size else 0, endpoint_id

    def _set_ranks(self, group: list[EndpointStats]) -> None:
        """Set the rank of each endpoint of a group and how many sidecars may send to it."""
        # How many sidecars may send to one endpoint of the group: the mean plus three standard deviations.
        sharing = self.config.sidecars * min(1.0, self.subset_width / max(1, len(group)))
        sharing = min(self.config.sidecars, sharing + 3 * sharing**0.5)
        for rank, stats in enumerate(group):
            stats.rank, stats.sharing_sidecars = rank, sharing

    def ready_count(self) -> int:
        """Return the number of ready endpoints."""
        self.refresh()
        return len(self.local) + len(self.remote)

    def is_ready(self, stats: EndpointStats) -> bool:
        """Return whether an endpoint is still listed and ready."""
        return self.by_id.get(stats.endpoint_id) is stats and stats.entry.state is EndpointState.READY

    def relative_cost(self, stats: EndpointStats) -> float:
        """Return the work of a request at an endpoint, relative to an endpoint of mean capacity weight."""
        weight = stats.capacity_weight
        ratio = self.mean_weight / (weight if weight > MIN_WEIGHT else MIN_WEIGHT)
        return ratio**0.5 if self.weights_are_live else ratio

    def preferred_cell(self, key: str) -> int | None:
        """Return the cell that all sidecars choose for a key, by rendezvous hashing; None: no preference.

        Requests with the same key go to one cell, which does less work for a key that it knows.
        When a cell disappears, only its keys move.
        """
        self.refresh()
        if not (key and self.config.key_affinity and self.cell_weights):
            return None
        key_hash = zlib.crc32(key.encode())

        def priority(cell: int) -> float:
            mixed = ((key_hash ^ zlib.crc32(b"%d" % cell)) * CELL_HASH_MULTIPLIER >> 24) & 0xFFFFFFFF
            return -log((mixed + 1) / 2**32) / max(self.cell_weights[cell], 1e-9)

        return min(self.cell_weights, key=priority)
