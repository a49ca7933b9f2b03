"""Connections that hold back the last byte of a covered hand-off until its intent has been recorded."""

from __future__ import annotations

from typing import Any

from ...decisions.model import AttemptOutcome
from ..actor import Coroutine
from ..http.pool import Http1Connection
from ..http.stream import ConnectionLostError
from ..loop import READ, SocketReady
from ..messages import CancelExchange
from ..state.requests import Exchange
from .links import BEAT, SILENCE
from .messages import ExchangeReleased

WITHHELD = "withheld"
# Seconds for which an intent is good: so long a silent member is waited for.
PROMPT = SILENCE * BEAT


class ReplicatedHttp1Connection(Http1Connection):
    def _fate(self, reason: str) -> AttemptOutcome:
        if reason == WITHHELD:
            # Nothing of it was written whole, and its upstream is not to blame.
            self.reason = reason
            return AttemptOutcome.NOT_SENT
        return super()._fate(reason)

    def _write(self, exchange: Exchange) -> Coroutine[None]:
        gate = self.context.coordinator.gates.get(exchange)
        if gate is not None and not gate.open and exchange.flow is None:
            last = self.stream.keep_last()
            yield from super()._write(exchange)
            yield from self._until_released(exchange, gate)
            self.stream.unwritten.append(last)
        yield from super()._write(exchange)

    def _until_released(self, exchange: Exchange, gate: Any) -> Coroutine[None]:
        """Guards against an effect that nobody else knows of once its sidecar is lost."""
        self.stream.want(READ)
        while not gate.open:
            message = yield exchange.deadline
            if isinstance(message, ExchangeReleased) and message.exchange is exchange:
                break
            if isinstance(message, SocketReady):
                self._still_unanswered(message)
            elif (
                isinstance(message, CancelExchange) and message.exchange is exchange
            ) or self.loop.now() >= exchange.deadline:
                raise ConnectionLostError(WITHHELD)
        if self.loop.now() > gate.asked + PROMPT:
            # Guards against a pause between the intent and the last byte: others may have gone on since.
            raise ConnectionLostError(WITHHELD)
        self._still_wanted(exchange)
