"""A trial of the endpoint list: real sidecars, a discovery that fails in many ways, servers that drain.

What is judged, all of it counted outside of the sidecars: no attempt reaches a draining or removed server
later than the grace after the sidecar counts as notified; a request that may not be repeated runs once; each
request that a live sidecar took has one answer in time; nothing is sent for a client that is gone. Times are
seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fakes.discovery import FakeDiscovery
from fakes.http1 import ConnectionBrokenError, Handler, Request, Response, Server

from ..rig import MEMORY_FOLDER, READY_TIMEOUT, ROOT
from ..verdict import TrialResult
from .process import GRACE, Process

SLACK = 0.15  # seconds, for the trial's own lateness, beside what the protocol allows
DISCONNECT_SLACK = 0.1  # seconds in which an attempt may still begin for a client that is gone
ANSWER_SLACK = 0.5  # seconds after its deadline for which an answer still counts
SERVICE_TIME = 0.01  # seconds
DEADLINE = 1.0  # seconds
HANG_TIME = 3600  # seconds, longer than any trial
MAX_CLIENT_PATIENCE = 0.1  # seconds, of a client that disconnects early
METHODS = {"look": "GET", "buy": "POST", "move": "POST"}
SHARES = {"look": 0.5, "buy": 0.3, "move": 0.2}


@dataclass(eq=False)
class ClientRequest:
    """One request of a client, and what came of it."""

    trace: str
    category: str
    sidecar: int
    process: int  # which process of that sidecar
    end: str = "open"  # a status, or how it ended
    disconnected_at: float | None = None


class Trial:
    """Processes, discovery, servers and clients; use as a context, then call `verdict`."""

    def __init__(self, seed: int, sidecars: int, servers: int, root: Path = ROOT) -> None:
        """`root`: the checkout whose program is played."""
        self.seed, self.root, self.rng = seed, root, random.Random(seed)
        self.sidecar_count, self.server_count = sidecars, servers
        self.sidecars: list[Process] = []
        self.servers: dict[str, Server] = {}
        self.requests: dict[str, ClientRequest] = {}
        self.runs: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.clients: set[asyncio.Task[None]] = set()
        self.hanging: set[str] = set()  # servers that take requests and answer nothing

    async def __aenter__(self) -> Trial:
        """Start all; raises `RuntimeError` where a sidecar is not ready in time."""
        self.stack = contextlib.AsyncExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory(dir=MEMORY_FOLDER)))
        self.discovery = FakeDiscovery(self.rng)
        for number in range(self.server_count):
            name = f"s{number}"
            server = Server(self._handler(name))
            await server.start()
            self.servers[name] = server
            self.discovery.add_entries(self.entry(name))
        await self.discovery.start(self.sidecar_count)
        self.sidecars = [
            Process(self, number, frontend) for number, frontend in enumerate(self.discovery.frontends)
        ]
        try:
            for sidecar in self.sidecars:
                sidecar.start()
            await asyncio.gather(*(sidecar.wait_until_ready() for sidecar in self.sidecars))
            await self.until_all_are_notified()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all."""
        for task in list(self.clients):
            task.cancel()
        for sidecar in self.sidecars:
            sidecar.kill()
            sidecar.caller.close()
        await self.discovery.stop()
        for server in self.servers.values():
            await server.stop()
        await self.stack.aclose()

    def entry(self, name: str, state: str = "active") -> dict[str, Any]:
        """A server as discovery lists it."""
        return {"id": name, "addr": self.servers[name].address, "zone": "", "state": state}

    def drain(self, *names: str, state: str = "leaving") -> None:
        """Change the state of servers at discovery."""
        self.discovery.change(*(self.entry(name, state) for name in names))

    async def until_all_are_notified(self) -> None:
        """Wait until each sidecar has an open watch with the present version."""
        until = asyncio.get_running_loop().time() + READY_TIMEOUT
        fronts = self.discovery.frontends
        while not all(
            any(c.watching and c.version == self.discovery.version for c in f.calls) for f in fronts
        ):
            if asyncio.get_running_loop().time() > until:
                raise RuntimeError("not all sidecars have a watch")
            await asyncio.sleep(0.02)

    # The servers, where the rules are checked.

    def _handler(self, name: str) -> Handler:
        async def answer(request: Request) -> Response:
            trace = request.headers.get("x-trace-id")
            if trace is None or trace not in self.requests:
                return Response(404)
            client_request = self.requests[trace]
            self._check(name, client_request)
            self.runs[trace] += 1
            if name in self.hanging:
                await asyncio.sleep(HANG_TIME)
            await asyncio.sleep(SERVICE_TIME)
            return Response(200, trace.encode())

        return answer

    def _check(self, name: str, request: ClientRequest) -> None:
        """An attempt for the request has reached a server."""
        now = asyncio.get_running_loop().time()
        self.counts["attempts"] += 1
        sidecar = self.sidecars[request.sidecar]
        changed = self.discovery.last_changes.get(name)
        if changed is not None and self.discovery.entries[name]["state"] != "active":
            notified = sidecar.frontend.notified_at(*changed)
            self.counts["attempts at servers that drain"] += 1
            if now > notified + GRACE + SLACK and request.process == sidecar.started:
                self.counts["after the grace"] += 1
                self.violations.append(
                    f"drain: n{request.sidecar} to {name} {now - notified:.2f} s after the notice"
                )
        gone_at = request.disconnected_at
        if gone_at is not None and now > gone_at + DISCONNECT_SLACK + SLACK:
            self.counts["for clients that had left"] += 1
            self.violations.append(f"left: {request.trace} {now - gone_at:.2f} s after its client")
        if request.category == "buy" and self.runs[request.trace]:
            self.counts["twice"] += 1
            self.violations.append(f"twice: {request.trace}")

    # The clients.

    async def send(self, rate: float, seconds: float, leave: float = 0.0) -> None:
        """Send so many requests a second to each sidecar. `leave`: the share of clients that disconnect."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for number in range(int(rate * seconds)):
            due = begun + number / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            for sidecar in self.sidecars:
                if sidecar.alive:
                    task = asyncio.create_task(self._request(sidecar, leave))
                    self.clients.add(task)
                    task.add_done_callback(self.clients.discard)

    async def _request(self, sidecar: Process, leave: float) -> None:
        loop = asyncio.get_running_loop()
        category = self.rng.choices([*SHARES], [*SHARES.values()])[0]
        trace = f"r{len(self.requests)}"
        request = ClientRequest(trace, category, sidecar.number, sidecar.started)
        self.requests[trace] = request
        disconnects = self.rng.random() < leave
        patience = self.rng.random() * MAX_CLIENT_PATIENCE if disconnects else DEADLINE + ANSWER_SLACK
        try:
            async with asyncio.timeout(patience):
                status, body = await self._call(sidecar, request)
            request.end = str(status)
            if status == 200 and body != trace.encode():
                self.violations.append(f"answer: {trace} has that of another request")
        except TimeoutError:
            request.end, request.disconnected_at = "left" if disconnects else "late", loop.time()
        except ConnectionBrokenError as error:
            request.end = str(error)

    async def _call(self, sidecar: Process, request: ClientRequest) -> tuple[int, bytes]:
        """Send the request; return status and body. Raises `ConnectionBrokenError`."""
        headers = {"X-Trace-Id": request.trace, "X-Qos": request.category}
        headers["X-Expires-In-Ms"] = str(int(DEADLINE * 1000))
        if request.category == "move":
            headers["Idempotency-Key"] = request.trace
        call = METHODS[request.category], f"/{request.category}/1", headers
        reused = bool(sidecar.caller.idle)
        try:
            status, _, body = await sidecar.caller.call(*call)
        except ConnectionBrokenError:
            # An idle connection may have been closed between two requests: once more, on a new one.
            if not reused or self.runs[request.trace]:
                raise
            sidecar.caller.close()
            self.counts["sent again"] += 1
            status, _, body = await sidecar.caller.call(*call)
        return status, body

    async def result(self) -> TrialResult:
        """Wait for the clients, then judge."""
        if self.clients:
            await asyncio.wait(list(self.clients), timeout=DEADLINE + 2 * ANSWER_SLACK)
        for request in self.requests.values():
            self.counts[f"answered {request.end}" if request.end.isdigit() else request.end] += 1
            sidecar = self.sidecars[request.sidecar]
            same_process = request.process == sidecar.started and sidecar.alive
            if request.end in ("late", "open", "reset", "closed") and same_process:
                self.violations.append(f"lost: {request.trace} at n{request.sidecar}: {request.end}")
        for sidecar in self.sidecars:
            for line in sidecar.log_lines("defect", "module.defect", "gate.violation"):
                self.violations.append(f"n{sidecar.number} logged {line['event']}: {line.get('error', line)}")
        self.counts["requests"] = len(self.requests)
        return TrialResult(dict(self.counts), self.violations)


@contextlib.asynccontextmanager
async def traffic(trial: Trial, rate: float, seconds: float, leave: float = 0.0) -> AsyncIterator[None]:
    """Send requests for so long, whatever happens inside."""
    sending = asyncio.create_task(trial.send(rate, seconds, leave))
    try:
        yield
        await sending
    finally:
        sending.cancel()
