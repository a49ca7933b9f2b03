"""Upstreams that record what they run, by the name of the work, and fail as a trial sets them."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from .http1 import RESET, Request, Response, Server

NEVER_RAN = {"X-Never-Ran": "1"}
HANG_TIME = 3600  # seconds, longer than any trial


@dataclass(frozen=True)
class Run:
    """One run: work begins with the last byte of its request."""

    at: float
    upstream: str
    name: str
    trace: str
    category: str
    sidecar: str


class Upstream:
    """One server. `mode`: ok, hang, error, refuse (rejects requests), lose (runs them, but resets)."""

    def __init__(self, name: str, zone: str, rng: random.Random, service: float, notes: list[Run]) -> None:
        """`service`: the mean service time in seconds. `notes`: where each run is recorded."""
        self.name, self.zone, self.rng, self.service, self.notes = name, zone, rng, service, notes
        self.mode, self.slower = "ok", 1.0
        self.origins: dict[
            tuple[str, int], str
        ] = {}  # the sidecar of a connection, by its address, as the relays tell
        self.server = Server(self._answer)
        self.working = 0
        self.cold_since = -1e18  # when its process began; slow start ends some time after that

    async def _answer(self, request: Request) -> Response:
        trace = request.headers.get("x-trace-id")
        if trace is None:
            return Response(404)
        if self.mode == "refuse":
            return Response(503, headers=NEVER_RAN)
        name = request.headers.get("x-work-name") or request.headers.get("idempotency-key") or trace
        category = request.headers.get("x-qos", "")
        at = asyncio.get_running_loop().time()
        sidecar = self.origins.get(request.origin[:2], "?")
        self.notes.append(Run(at, self.name, name, trace, category, sidecar))
        self.working += 1
        try:
            if self.mode == "hang":
                await asyncio.sleep(HANG_TIME)
            await asyncio.sleep(self.service * self.slower * self.rng.lognormvariate(0, 0.4))
            if self.mode == "error":
                return Response(500)
            if self.mode == "lose":
                return RESET
            return Response(200, f"{name} by {self.name}".encode(), {"Content-Type": "text/plain"})
        finally:
            self.working -= 1
