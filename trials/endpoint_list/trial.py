"""A trial of the endpoint list with real sidecars, a discovery with faults, and servers that drain.

The guarantees are checked at servers and clients only: no attempt reaches a draining or removed server later
than the grace period after the sidecar counts as notified; a request that is not idempotent runs at most
once; each request that a running sidecar accepted gets one response in time; no attempt is made for a client
that has disconnected. Times are in seconds.
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

from fakes.delivery import HANG_TIME
from fakes.discovery import FakeDiscovery
from fakes.http1 import ConnectionBrokenError, Handler, Request, Response, Server

from ..processes import READY_TIMEOUT
from ..rig import MEMORY_FOLDER, ROOT
from ..verdict import TrialResult
from .process import DRAIN_GRACE, SidecarProcess

SCHEDULING_TOLERANCE = 0.15  # seconds, for delays of the trial itself, on top of what the protocol allows
DISCONNECT_TOLERANCE = 0.1  # seconds in which an attempt may still begin for a disconnected client
RESPONSE_TOLERANCE = 0.5  # seconds after its deadline in which a response still counts
SERVICE_TIME = 0.01  # seconds
DEADLINE = 1.0  # seconds
MAX_DISCONNECT_DELAY = 0.1  # seconds, for clients that disconnect early
METHODS = {"look": "GET", "buy": "POST", "move": "POST"}
CATEGORY_WEIGHTS = {"look": 0.5, "buy": 0.3, "move": 0.2}


@dataclass(eq=False)
class ClientRequest:
    """One request of a client and its outcome."""

    trace: str
    category: str
    sidecar: int
    process: int  # number of the sidecar's process that received it
    outcome: str = "open"  # a status, or the reason why there is none
    disconnected_at: float | None = None


class Trial:
    """Processes, discovery, servers and clients of a trial.

    Use it as a context manager, and call `finish_and_check` inside.
    """

    def __init__(self, seed: int, sidecars: int, servers: int, root: Path = ROOT) -> None:
        """Create the trial. `root`: the checkout whose program is run."""
        self.seed, self.root, self.rng = seed, root, random.Random(seed)
        self.sidecar_count, self.server_count = sidecars, servers
        self.sidecars: list[SidecarProcess] = []
        self.servers: dict[str, Server] = {}
        self.requests: dict[str, ClientRequest] = {}
        self.runs: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.clients: set[asyncio.Task[None]] = set()
        self.hanging: set[str] = set()  # servers that accept requests and answer none

    async def __aenter__(self) -> Trial:
        """Start everything; raises `RuntimeError` if a sidecar is not ready in time."""
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
            SidecarProcess(self, number, frontend) for number, frontend in enumerate(self.discovery.frontends)
        ]
        try:
            for sidecar in self.sidecars:
                sidecar.start()
            await asyncio.gather(*(sidecar.wait_until_ready() for sidecar in self.sidecars))
            await self.wait_until_all_notified()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything."""
        for task in list(self.clients):
            task.cancel()
        for sidecar in self.sidecars:
            sidecar.kill()
            sidecar.client.close()
        await self.discovery.stop()
        for server in self.servers.values():
            await server.stop()
        await self.stack.aclose()

    def entry(self, name: str, state: str = "active") -> dict[str, Any]:
        """Return a server's entry in the list of discovery."""
        return {"id": name, "addr": self.servers[name].address, "zone": "", "state": state}

    def drain(self, *names: str, state: str = "leaving") -> None:
        """Change the state of servers at discovery."""
        self.discovery.change(*(self.entry(name, state) for name in names))

    async def wait_until_all_notified(self) -> None:
        """Wait until each sidecar has an open watch with the current version.

        Raises `RuntimeError` after READY_TIMEOUT.
        """
        until = asyncio.get_running_loop().time() + READY_TIMEOUT
        frontends = self.discovery.frontends
        while not all(
            any(c.watching and c.version == self.discovery.version for c in f.calls) for f in frontends
        ):
            if asyncio.get_running_loop().time() > until:
                raise RuntimeError("not all sidecars have a watch")
            await asyncio.sleep(0.02)

    # The servers, at which the guarantees are checked.

    def _handler(self, name: str) -> Handler:
        async def answer(request: Request) -> Response:
            trace = request.headers.get("x-trace-id")
            if trace is None or trace not in self.requests:
                return Response(404)
            client_request = self.requests[trace]
            self._check_attempt(name, client_request)
            self.runs[trace] += 1
            if name in self.hanging:
                await asyncio.sleep(HANG_TIME)
            await asyncio.sleep(SERVICE_TIME)
            return Response(200, trace.encode())

        return answer

    def _check_attempt(self, name: str, request: ClientRequest) -> None:
        """Check the guarantees for an attempt that has reached a server."""
        now = asyncio.get_running_loop().time()
        self.counts["attempts"] += 1
        sidecar = self.sidecars[request.sidecar]
        changed = self.discovery.last_changes.get(name)
        if changed is not None and self.discovery.entries[name]["state"] != "active":
            notified = sidecar.frontend.notified_at(*changed)
            self.counts["attempts at servers that drain"] += 1
            if now > notified + DRAIN_GRACE + SCHEDULING_TOLERANCE and request.process == sidecar.start_count:
                self.counts["after the grace"] += 1
                self.violations.append(
                    f"attempt after the grace period: n{request.sidecar} to {name} "
                    f"{now - notified:.2f} s after the notice"
                )
        disconnected_at = request.disconnected_at
        if (
            disconnected_at is not None
            and now > disconnected_at + DISCONNECT_TOLERANCE + SCHEDULING_TOLERANCE
        ):
            self.counts["for clients that had left"] += 1
            self.violations.append(
                f"attempt {now - disconnected_at:.2f} s after the client disconnected: {request.trace}"
            )
        if request.category == "buy" and self.runs[request.trace]:
            self.counts["twice"] += 1
            self.violations.append(f"not idempotent, but ran twice: {request.trace}")

    # The clients.

    async def send(self, rate: float, seconds: float, disconnect_rate: float = 0.0) -> None:
        """Send `rate` requests a second to each sidecar; `disconnect_rate`: clients that disconnect early."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for number in range(int(rate * seconds)):
            due = begin + number / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            for sidecar in self.sidecars:
                if sidecar.alive:
                    task = asyncio.create_task(self._request(sidecar, disconnect_rate))
                    self.clients.add(task)
                    task.add_done_callback(self.clients.discard)

    async def _request(self, sidecar: SidecarProcess, disconnect_rate: float) -> None:
        loop = asyncio.get_running_loop()
        category = self.rng.choices([*CATEGORY_WEIGHTS], [*CATEGORY_WEIGHTS.values()])[0]
        trace = f"r{len(self.requests)}"
        request = ClientRequest(trace, category, sidecar.number, sidecar.start_count)
        self.requests[trace] = request
        disconnects = self.rng.random() < disconnect_rate
        time_limit = (
            self.rng.random() * MAX_DISCONNECT_DELAY if disconnects else DEADLINE + RESPONSE_TOLERANCE
        )
        try:
            async with asyncio.timeout(time_limit):
                status, body = await self._call(sidecar, request)
            request.outcome = str(status)
            if status == 200 and body != trace.encode():
                self.violations.append(f"response of another request: {trace}")
        except TimeoutError:
            request.outcome, request.disconnected_at = "left" if disconnects else "late", loop.time()
        except ConnectionBrokenError as error:
            request.outcome = str(error)

    async def _call(self, sidecar: SidecarProcess, request: ClientRequest) -> tuple[int, bytes]:
        """Send the request and return status and body. Raises `ConnectionBrokenError`."""
        headers = {"X-Trace-Id": request.trace, "X-Qos": request.category}
        headers["X-Expires-In-Ms"] = str(int(DEADLINE * 1000))
        if request.category == "move":
            headers["Idempotency-Key"] = request.trace
        call = METHODS[request.category], f"/{request.category}/1", headers
        reused = bool(sidecar.client.idle)
        try:
            status, _, body = await sidecar.client.call(*call)
        except ConnectionBrokenError:
            # The sidecar may have closed an idle connection meanwhile: send again on a new one.
            if not reused or self.runs[request.trace]:
                raise
            sidecar.client.close()
            self.counts["sent again"] += 1
            status, _, body = await sidecar.client.call(*call)
        return status, body

    async def finish_and_check(self) -> TrialResult:
        """Wait for the clients, then return the counts and violations."""
        if self.clients:
            await asyncio.wait(list(self.clients), timeout=DEADLINE + 2 * RESPONSE_TOLERANCE)
        for request in self.requests.values():
            self.counts[f"answered {request.outcome}" if request.outcome.isdigit() else request.outcome] += 1
            sidecar = self.sidecars[request.sidecar]
            same_process = request.process == sidecar.start_count and sidecar.alive
            if request.outcome in ("late", "open", "reset", "closed") and same_process:
                self.violations.append(
                    f"no response in time: {request.trace} at n{request.sidecar}: {request.outcome}"
                )
        for sidecar in self.sidecars:
            for line in sidecar.log_lines("defect", "module.defect", "gate.violation"):
                self.violations.append(f"n{sidecar.number} logged {line['event']}: {line.get('error', line)}")
        self.counts["requests"] = len(self.requests)
        return TrialResult(dict(self.counts), self.violations)


@contextlib.asynccontextmanager
async def traffic(
    trial: Trial, rate: float, seconds: float, disconnect_rate: float = 0.0
) -> AsyncIterator[None]:
    """Send requests for `seconds` from the beginning of a `with` block; wait at its end for the last one."""
    sending = asyncio.create_task(trial.send(rate, seconds, disconnect_rate))
    try:
        yield
        await sending
    finally:
        sending.cancel()
