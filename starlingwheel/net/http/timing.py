"""Time limits of connections to endpoints: connecting, idling, and expecting a fault to recur."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import SidecarContext

# Fraction of the endpoints' idle timeout after which the sidecar closes an idle connection, before they do.
IDLE_TIMEOUT_FRACTION = 0.8
CONNECT_TIMEOUT_FRACTION = 1 / 4  # of the shortest latency objective
# Time for which a fault of a connection may recur, as a multiple of the longest request timeout.
FAULT_RECURRENCE_TIMEOUTS = 8.0


def connect_deadline(context: SidecarContext, now: float) -> float:
    """Return the time by which a connection that is opened now has to be established.

    A machine that has vanished does not refuse connections. A request that waits for one has not run, so the
    attempt is given up while there is still time for another endpoint.
    """
    objective = context.shortest_objective
    return now + min(context.balancer_config.connect_timeout, CONNECT_TIMEOUT_FRACTION * objective)


def idle_deadline(context: SidecarContext, idle_since: float) -> float:
    """Return the time at which a connection that has been idle since `idle_since` has to be closed."""
    return idle_since + IDLE_TIMEOUT_FRACTION * context.balancer_config.idle_timeout


def fault_recurrence_deadline(context: SidecarContext, now: float) -> float:
    """Return the time until which a fault seen now is expected to recur, at this or another endpoint."""
    return now + FAULT_RECURRENCE_TIMEOUTS * context.longest_timeout
