"""Connections that withhold the last byte of a replicated request until its attempt has been recorded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actor import Coroutine
from ..http.errors import CloseReason, ConnectionLostError
from ..http.http1 import Http1Connection
from ..http.request_writer import RequestWriter
from ..loop import READ, SocketReady
from ..messages import CancelExchange
from .links.timing import HEARTBEAT_INTERVAL, MISSED_HEARTBEATS
from .messages import ExchangeReleased

if TYPE_CHECKING:
    from ..state.requests import Exchange
    from .host import AttemptHold

# Seconds for which a recorded intent is valid: the time after which a silent member counts as lost.
INTENT_VALIDITY = MISSED_HEARTBEATS * HEARTBEAT_INTERVAL


class ReplicatedRequestWriter(RequestWriter):
    """Writes the last byte of a request once the replicator has released the attempt."""

    def write(self, exchange: Exchange) -> Coroutine[None]:
        """Write the request, and the last byte of a buffered one only after its attempt is released.

        Raises `ConnectionLostError`.
        """
        held: AttemptHold | None = self.context.fleet.host.held_attempts.get(exchange)
        if held is not None and not held.is_released and exchange.body_stream is None:
            last_byte = self.stream.take_last_byte()
            yield from super().write(exchange)
            yield from self._wait_for_release(exchange, held)
            self.stream.unwritten.append(last_byte)
        yield from super().write(exchange)

    def _wait_for_release(self, exchange: Exchange, held: AttemptHold) -> Coroutine[None]:
        """Wait until the attempt is released, because its replicas have recorded it.

        Without that wait, if this sidecar were lost, no other member would know that the attempt may have
        run.
        """
        self.stream.wait_for(READ)
        while not held.is_released:
            message = yield exchange.deadline
            if isinstance(message, ExchangeReleased) and message.exchange is exchange:
                break
            if isinstance(message, SocketReady):
                self.check_no_early_response(message)
                continue
            cancelled = isinstance(message, CancelExchange) and message.exchange is exchange
            if cancelled or self.loop.now() >= exchange.deadline:
                raise ConnectionLostError(CloseReason.NOT_RELEASED)
        if self.loop.now() > held.started_at + INTENT_VALIDITY:
            # The process was paused between the intent and the last byte, and other members may have taken
            # the request over since.
            raise ConnectionLostError(CloseReason.NOT_RELEASED)
        self.check_still_needed(exchange)


class ReplicatedHttp1Connection(Http1Connection):
    """An HTTP/1.1 connection for replicated requests."""

    writer_type = ReplicatedRequestWriter
