"""All simulated sidecars of one process, fed batch by batch."""

from __future__ import annotations

from collections.abc import Iterator

from ..decisions.model import Endpoint
from .sidecar import SimulatedSidecar
from .wire import (
    LineName,
    MalformedMessageError,
    SimulatorLine,
    encode_batch_end,
    encode_select_sidecar,
)


class SimulatorProcess:
    """Owns the sidecars, the endpoint lists and the simulated time."""

    def __init__(self) -> None:
        """No sidecar has started yet."""
        self.sidecars: dict[str, SimulatedSidecar | None] = {}  # None: killed
        self.lists: dict[int, list[Endpoint]] = {}
        self.now = 0.0  # seconds
        self.line_number = 0

    def batch(self, first: str, more: Iterator[str]) -> list[str]:
        """Take one batch, from its first line and the iterator of those that follow; return the answer.

        Raises `MalformedMessageError`.
        """
        opening = self._read(first)
        if opening.name != LineName.BATCH_BEGIN:
            raise opening.error("a batch opens with SYNC")
        self.now = opening.time
        turn = opening.turn
        touched = self._read_events(more)
        answer = []
        for name, sidecar in touched.items():
            if sidecar.output:
                answer.append(encode_select_sidecar(name))
                answer += sidecar.output
                sidecar.output = []
        answer.append(encode_batch_end(turn))
        return answer

    def _read(self, text: str) -> SimulatorLine:
        self.line_number += 1
        return SimulatorLine(self.line_number, text)

    def _read_events(self, more: Iterator[str]) -> dict[str, SimulatedSidecar]:
        """Handle the lines up to the end of the batch; return the sidecars they were for, in order."""
        touched: dict[str, SimulatedSidecar] = {}
        current: str | None = None
        for text in more:
            line = self._read(text.rstrip("\r\n"))
            if line.name == LineName.BATCH_END:
                return touched
            if line.name == LineName.ENDPOINT_LIST:
                self._read_list(line, more)
            elif line.name == LineName.SELECT_SIDECAR:
                current = line.sidecar
            elif current is None:
                raise line.error("an event before any CONTEXT")
            else:
                self._handle(current, line, touched)
        raise MalformedMessageError(f"line {self.line_number}: the input ends within a batch")

    def _read_list(self, line: SimulatorLine, more: Iterator[str]) -> None:
        number, size = line.list_number, line.list_size
        endpoints = []
        for _ in range(size):
            entry = self._read(next(more, "").rstrip("\r\n"))
            if entry.name != LineName.ENDPOINT:
                raise MalformedMessageError(
                    f"line {self.line_number}: SHEET: UPSTREAM expected, not {entry.name!r}"
                )
            endpoints.append(entry.endpoint())
        self.lists[number] = endpoints

    def _handle(self, name: str, line: SimulatorLine, touched: dict[str, SimulatedSidecar]) -> None:
        if line.name == LineName.SIDECAR_KILLED:
            self.sidecars[name] = None
            touched.pop(name, None)
            return
        if line.name == LineName.SIDECAR_STARTED:
            sidecar = self.sidecars[name] = SimulatedSidecar(line, self.now)
            touched.pop(name, None)
        else:
            sidecar = self._started(name, line)
        if name not in touched:
            touched[name] = sidecar
            sidecar.scheduler.set_time(self.now)
        if line.name != LineName.SIDECAR_STARTED:
            sidecar.handle(line, self.lists)

    def _started(self, name: str, line: SimulatorLine) -> SimulatedSidecar:
        sidecar = self.sidecars.get(name)
        if sidecar is None:
            raise line.error(f"for an instance that has not started: {name!r}")
        return sidecar
