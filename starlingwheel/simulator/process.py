"""The simulated sidecars of one process, driven by batches of input lines."""

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
    """The sidecars, the endpoint lists and the simulated time."""

    def __init__(self) -> None:
        """Start without any sidecars."""
        self.sidecars: dict[str, SimulatedSidecar | None] = {}  # None: killed
        self.endpoint_lists: dict[int, list[Endpoint]] = {}
        self.now = 0.0  # seconds
        self.line_number = 0

    def process_batch(self, first: str, more: Iterator[str]) -> list[str]:
        """Process one batch and return the lines of the reply.

        `first` is the first line of the batch, and `more` iterates over the lines that follow it.
        Raises `MalformedMessageError`.
        """
        header = self._read_line(first)
        if header.name != LineName.BATCH_BEGIN:
            raise header.error("a batch must start with SYNC")
        self.now = header.time
        turn = header.turn
        addressed = self._read_events(more)
        reply = []
        for name, sidecar in addressed.items():
            if sidecar.output:
                reply.append(encode_select_sidecar(name))
                reply += sidecar.output
                sidecar.output = []
        reply.append(encode_batch_end(turn))
        return reply

    def _read_line(self, text: str) -> SimulatorLine:
        self.line_number += 1
        return SimulatorLine(self.line_number, text)

    def _read_events(self, more: Iterator[str]) -> dict[str, SimulatedSidecar]:
        """Handle the lines up to the end of the batch; return the addressed sidecars in order."""
        addressed: dict[str, SimulatedSidecar] = {}
        current: str | None = None
        for text in more:
            line = self._read_line(text.rstrip("\r\n"))
            if line.name == LineName.BATCH_END:
                return addressed
            if line.name == LineName.ENDPOINT_LIST:
                self._read_list(line, more)
            elif line.name == LineName.SELECT_SIDECAR:
                current = line.sidecar
            elif current is None:
                raise line.error("event before the first CONTEXT")
            else:
                self._handle_event(current, line, addressed)
        raise MalformedMessageError(f"line {self.line_number}: end of input within a batch")

    def _read_list(self, line: SimulatorLine, more: Iterator[str]) -> None:
        number, size = line.list_number, line.list_size
        endpoints = []
        for _ in range(size):
            entry = self._read_line(next(more, "").rstrip("\r\n"))
            if entry.name != LineName.ENDPOINT:
                raise MalformedMessageError(
                    f"line {self.line_number}: SHEET: expected UPSTREAM, got {entry.name!r}"
                )
            endpoints.append(entry.endpoint())
        self.endpoint_lists[number] = endpoints

    def _handle_event(self, name: str, line: SimulatorLine, addressed: dict[str, SimulatedSidecar]) -> None:
        if line.name == LineName.SIDECAR_KILLED:
            self.sidecars[name] = None
            addressed.pop(name, None)
            return
        if line.name == LineName.SIDECAR_STARTED:
            sidecar = self.sidecars[name] = SimulatedSidecar(line, self.now)
            addressed.pop(name, None)
        else:
            sidecar = self._started_sidecar(name, line)
        if name not in addressed:
            addressed[name] = sidecar
            sidecar.scheduler.set_time(self.now)
        if line.name != LineName.SIDECAR_STARTED:
            sidecar.handle(line, self.endpoint_lists)

    def _started_sidecar(self, name: str, line: SimulatorLine) -> SimulatedSidecar:
        sidecar = self.sidecars.get(name)
        if sidecar is None:
            raise line.error(f"not a started sidecar: {name!r}")
        return sidecar
