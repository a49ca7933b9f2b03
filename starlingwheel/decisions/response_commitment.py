"""When the status of a response that is still arriving is passed to its client.

The status is the one final answer that a request gets, and can't be taken back: if the endpoint breaks off
afterwards, the client is left with a part of a response. It is therefore held back, with what has come of the
body, until the response is complete or something requires it. As long as it is held back, every end of the
attempt leaves the request a retry, a rejection or a failure as its answer.

A response whose length is known to fit into the buffers is never passed on before it is complete.
Times are seconds on the host's clock.
"""

from __future__ import annotations

import enum

from .lease import PROCESS_DELAY_MARGIN
from .model import Request

HOLD_LIMIT = 2.0  # seconds for which no byte of a long response may be held back
MAX_HOLD_TIME = HOLD_LIMIT - PROCESS_DELAY_MARGIN  # seconds
# Of the client's time, and seconds at most: how long before its end a response is passed on of which a part
# of the body has come. It covers the way of the status through the process.
PASS_ON_FRACTION = 1 / 32
MAX_PASS_ON_TIME = 0.05
# Of that time: when a head alone is passed on. Where several attempts have begun to respond, one that has
# sent a part of its body comes first.
HEAD_ALONE_FRACTION = 1 / 2


class CommitReason(enum.StrEnum):
    """Why a response was passed on before it was complete; the value is logged."""

    LONG = "long"  # more has come than is buffered of one response
    HELD = "held"  # its first bytes have been held back for `MAX_HOLD_TIME`
    DEADLINE = "client-time"  # its client's time is about to end
    NO_BUFFERS = "no-buffers"  # buffers are short


def commit_time(request: Request, body_began_at: float | None) -> float:
    """Return the time at which a response that may be passed on has to be, complete or not.

    `body_began_at`: when the first byte of its body came; None: not yet. The time moves while a long request
    arrives, and with the first byte of the response's body. A process that is stopped may be killed before
    the response ends, so what is still held back by then is given up and not passed on.
    """
    pass_on_time = min(PASS_ON_FRACTION * request.time_left, MAX_PASS_ON_TIME)
    if body_began_at is None:
        return request.client_deadline - HEAD_ALONE_FRACTION * pass_on_time
    return min(request.client_deadline - pass_on_time, body_began_at + MAX_HOLD_TIME)


def commit_reason(body_began_at: float | None, now: float) -> CommitReason:
    """Return why a response is passed on at its `commit_time`."""
    is_held = body_began_at is not None and now >= body_began_at + MAX_HOLD_TIME
    return CommitReason.HELD if is_held else CommitReason.DEADLINE
