"""How long connections to endpoints may take to come up, stay idle, or are distrusted after a fault."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import SidecarContext

IDLE_TIMEOUT_FRACTION = 0.8  # of the time after which an endpoint closes an idle connection: we close before
CONNECT_TIMEOUT_FRACTION = 1 / 4  # of the shortest latency objective
CAUTION_TIMEOUTS = 8.0  # longest request timeouts: for so long a fault of a connection may happen again


def connect_deadline(context: SidecarContext, now: float) -> float:
    """Return when a connection that is begun now has to be up.

    A machine that has vanished refuses nothing. A request that waits has not run, so it is given up while
    there is time for another endpoint.
    """
    objective = context.shortest_objective
    return now + min(context.balancer_config.connect_timeout, CONNECT_TIMEOUT_FRACTION * objective)


def idle_deadline(context: SidecarContext, idle_since: float) -> float:
    """Return when a connection that is idle since then has to be closed."""
    return idle_since + IDLE_TIMEOUT_FRACTION * context.balancer_config.idle_timeout


def caution_deadline(context: SidecarContext, now: float) -> float:
    """Return until when a fault that was seen now is expected to happen again, here or elsewhere."""
    return now + CAUTION_TIMEOUTS * context.longest_timeout
