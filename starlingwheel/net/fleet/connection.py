"""Connections that hold back the last byte of a covered hand-off until its intent has been recorded."""

from __future__ import annotations

from typing import Any

from ...decisions.terms import Fate
from ..actor import Coroutine
from ..loop import READ, Ready
from ..mail import Drop
from ..memory.work import Errand
from ..wire.http import Lost
from ..wire.upstream import Connection
from .links import BEAT, SILENCE
from .mail import Released

WITHHELD = "withheld"
# Seconds for which an intent is good: so long a silent member is waited for.
PROMPT = SILENCE * BEAT


class HoldingConnection(Connection):
    def _fate(self, reason: str) -> Fate:
        if reason == WITHHELD:
            # Nothing of it was written whole, and its upstream is not to blame.
            self.reason = reason
            return Fate.UNSENT
        return super()._fate(reason)

    def _write(self, errand: Errand) -> Coroutine[None]:
        gate = self.node.module.gates.get(errand)
        if gate is not None and not gate.open and errand.flow is None:
            last = self.stream.keep_last()
            yield from super()._write(errand)
            yield from self._until_released(errand, gate)
            self.stream.unwritten.append(last)
        yield from super()._write(errand)

    def _until_released(self, errand: Errand, gate: Any) -> Coroutine[None]:
        """Guards against an effect that nobody else knows of once its sidecar is lost."""
        self.stream.want(READ)
        while not gate.open:
            mail = yield errand.until
            if isinstance(mail, Released) and mail.errand is errand:
                break
            if isinstance(mail, Ready):
                self._still_unanswered(mail)
            elif (isinstance(mail, Drop) and mail.errand is errand) or self.loop.now() >= errand.until:
                raise Lost(WITHHELD)
        if self.loop.now() > gate.asked + PROMPT:
            # Guards against a pause between the intent and the last byte: others may have gone on since.
            raise Lost(WITHHELD)
        self._still_wanted(errand)
