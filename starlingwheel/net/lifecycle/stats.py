"""Statistics of a sidecar, logged at a fixed interval."""

from __future__ import annotations

from ..actor import Actor, Coroutine
from ..context import SidecarContext

STATS_INTERVAL = 5.0  # seconds
PAGE_SIZE = 4096  # bytes; /proc/self/statm counts pages


class StatsReporter(Actor):
    """Logs the state of the sidecar every `STATS_INTERVAL`."""

    daemon = True

    def __init__(self, context: SidecarContext) -> None:
        """Create the actor; `begin` starts it."""
        self.context = context
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Log once per interval, forever."""
        context = self.context
        while True:
            yield self.loop.now() + STATS_INTERVAL
            context.check_siblings()  # and keep the log of ids short, also where operators can't call
            with open("/proc/self/statm", "rb") as file:
                resident = int(file.read().split()[1]) * PAGE_SIZE
            context.log(
                "pulse",
                **context.coordinator.counts,
                in_hand=len(context.coordinator.pending_requests),
                upstreams=len(context.coordinator.pools),
                out=len(context.overrides.stored.drained),
                lameduck=context.draining,
                connections=len(context.connections.clients) + len(context.connections.endpoint_connections),
                most_connections=context.connections.peak,
                buffers=context.buffer_pool.allocated,
                memory_mb=round(resident / 2**20, 1),
                late_ms=round(self.loop.max_timer_delay * 1000, 1),
                turns_cut=self.loop.turns_cut_short,
                slowest_ms=round(context.coordinator.slowest_turn * 1000, 1),
                lease=context.lease.state(self.loop.now()).value,
                refused={reason.value: count for reason, count in context.gate.refused.items()},
                rejected_stale=context.gate.stale_rejections,
                gate_violations=context.gate.violations,
                written_late=context.gate.late_writes,
                begun={reason.value: count for reason, count in context.commitments.items()},
                client_ends=dict(context.connections.client_ends),
                upstream_ends=dict(context.connections.endpoint_ends),
            )
            self.loop.max_timer_delay = context.coordinator.slowest_turn = 0.0
