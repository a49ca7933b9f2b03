"""Fake upstreams that record the requests they execute and have selectable faults."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from math import inf

from .delivery import HANG_TIME
from .http1 import RESET, Request, Response, Server

NEVER_RAN = {"X-Never-Ran": "1"}


@dataclass(frozen=True)
class Run:
    """One execution of a request, which starts with the request's last byte.

    `request_id`: the idempotency key; without one, the trace identifier.
    """

    started_at: float
    upstream: str
    request_id: str
    trace_id: str
    request_class: str
    sidecar: str


class Upstream:
    """One server.

    `mode`: ok, hang, error (responds 500), refuse (rejects requests without executing them) or lose (executes
    requests but resets the connection instead of responding).
    """

    def __init__(
        self, name: str, zone: str, rng: random.Random, mean_service_time: float, runs: list[Run]
    ) -> None:
        """Create a server. `mean_service_time`: seconds. `runs`: the list to append executions to."""
        self.name, self.zone, self.rng, self.runs = name, zone, rng, runs
        self.mean_service_time = mean_service_time
        self.mode, self.slowdown = "ok", 1.0
        # The sidecar of each connection by its client address, recorded by the relays.
        self.sidecars: dict[tuple[str, int], str] = {}
        self.server = Server(self._answer)
        self.process_started_at = -inf  # start of the process, for slow start

    async def _answer(self, request: Request) -> Response:
        trace_id = request.headers.get("x-trace-id")
        if trace_id is None:
            return Response(404)
        if self.mode == "refuse":
            return Response(503, headers=NEVER_RAN)
        request_id = request.headers.get("x-work-name") or request.headers.get("idempotency-key") or trace_id
        request_class = request.headers.get("x-qos", "")
        now = asyncio.get_running_loop().time()
        sidecar = self.sidecars.get(request.client_address[:2], "?")
        self.runs.append(Run(now, self.name, request_id, trace_id, request_class, sidecar))
        if self.mode == "hang":
            await asyncio.sleep(HANG_TIME)
        await asyncio.sleep(self.mean_service_time * self.slowdown * self.rng.lognormvariate(0, 0.4))
        if self.mode == "error":
            return Response(500)
        if self.mode == "lose":
            return RESET
        return Response(200, f"{request_id} by {self.name}".encode(), {"Content-Type": "text/plain"})
