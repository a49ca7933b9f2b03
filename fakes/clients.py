"""Clients that send at a fixed rate (open loop), with idempotency keys, and retry at another sidecar."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .http1 import ConnectionBrokenError, HttpClient

METHODS = {"look": "GET", "buy": "POST", "move": "POST"}
MIN_TIME_LEFT = 0.02  # seconds; no attempt is started with less time to the deadline
DEFAULT_RETRY_AFTER = 0.02  # seconds
OPEN = "open"  # the outcome of an attempt that has not ended


@dataclass
class ClientAttempt:
    """One attempt of a request. `outcome`: the status, `late`, or how the connection broke."""

    started_at: float
    sidecar: str
    trace_id: str
    outcome: str = OPEN
    ended_at: float = 0.0  # 0 while the attempt has not ended
    body: bytes = b""


@dataclass
class ClientRequest:
    """A client's request and all its attempts. `request_id` is also its idempotency key, if it has one."""

    request_id: str
    request_class: str
    started_at: float
    deadline: float
    attempts: list[ClientAttempt] = field(default_factory=list)
    duplicate_sidecar: str = ""  # where a second client sends the request; empty: nowhere

    @property
    def statuses(self) -> list[str]:
        """The statuses of the responses received."""
        return [attempt.outcome for attempt in self.attempts if attempt.outcome.isdigit()]

    @property
    def succeeded(self) -> bool:
        """Whether one of the attempts succeeded."""
        return "200" in self.statuses


class Clients:
    """The clients of a trial."""

    def __init__(self, addresses: dict[str, str], rng: random.Random, timeout: float = 2.0) -> None:
        """Create the clients. `addresses`: sidecar addresses by name. `timeout`: of each request, seconds."""
        self.http_clients = {name: HttpClient(address) for name, address in addresses.items()}
        self.sidecars, self.rng, self.timeout = list(addresses), rng, timeout
        self.requests: list[ClientRequest] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.make_body: Callable[[ClientRequest], bytes] = lambda request: request.request_id.encode()
        self.avoided: set[str] = set()  # sidecars that are used only if there are no others

    async def send(
        self,
        rate: float,
        seconds: float,
        class_weights: dict[str, float],
        keyed: bool = True,
        duplicate_rate: float = 0.0,
    ) -> None:
        """Send `rate` requests a second, each at its scheduled time whatever the outcome of others.

        `keyed`: with idempotency keys. `duplicate_rate`: the fraction that a second client sends as well.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        for number in range(int(rate * seconds)):
            due = start + number / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            request_class = self.rng.choices([*class_weights], [*class_weights.values()])[0]
            sidecars = [name for name in self.sidecars if name not in self.avoided] or self.sidecars
            sidecar = self.rng.choice(sidecars)
            duplicate_sidecar = self.rng.choice(sidecars) if self.rng.random() < duplicate_rate else ""
            self.start_request(f"w{len(self.requests)}", request_class, sidecar, keyed, duplicate_sidecar)

    def start_request(
        self,
        request_id: str,
        request_class: str,
        sidecar: str,
        keyed: bool = True,
        duplicate_sidecar: str = "",
    ) -> ClientRequest:
        """Send one request; with `duplicate_sidecar`, a second client sends it to that sidecar too."""
        now = asyncio.get_running_loop().time()
        request = ClientRequest(
            request_id, request_class, now, now + self.timeout, duplicate_sidecar=duplicate_sidecar
        )
        self.requests.append(request)
        self._start_client(request, sidecar, keyed, client=0)
        if duplicate_sidecar:
            self._start_client(request, duplicate_sidecar, keyed, client=1)
        return request

    def send_duplicate(self, request: ClientRequest, sidecar: str) -> None:
        """Send a request again, from a second client to another sidecar."""
        request.duplicate_sidecar = sidecar
        self._start_client(request, sidecar, keyed=True, client=1)

    def _start_client(self, request: ClientRequest, sidecar: str, keyed: bool, client: int) -> None:
        task = asyncio.create_task(self._send_until_final(request, sidecar, keyed, client))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_until_final(self, request: ClientRequest, sidecar: str, keyed: bool, client: int) -> None:
        """Retry at other sidecars until a final response: a complete one with a status other than 503."""
        loop = asyncio.get_running_loop()
        attempt_number = 0
        while (time_left := request.deadline - loop.time()) > MIN_TIME_LEFT:
            attempt = ClientAttempt(loop.time(), sidecar, f"{request.request_id}-{client}-{attempt_number}")
            request.attempts.append(attempt)
            headers = self._headers(request, attempt, time_left, keyed, is_retry=attempt_number > 0)
            retry_delay = await self._send_attempt(request, attempt, headers, time_left)
            attempt.ended_at = loop.time()
            if attempt.outcome.isdigit() and attempt.outcome != "503":
                return
            attempt_number += 1
            others = [name for name in self.sidecars if name != sidecar and name not in self.avoided]
            sidecar = self.rng.choice(others or self.sidecars)
            await asyncio.sleep(retry_delay)

    def _headers(
        self,
        request: ClientRequest,
        attempt: ClientAttempt,
        time_left: float,
        keyed: bool,
        is_retry: bool,
    ) -> dict[str, str]:
        headers = {"X-Trace-Id": attempt.trace_id, "X-Qos": request.request_class}
        headers["X-Expires-In-Ms"] = str(int(time_left * 1000))
        if keyed:
            headers["X-Work-Name"] = request.request_id
        if request.request_class == "move":
            headers["Idempotency-Key"] = request.request_id
        if is_retry:
            headers["X-Second-Try"] = "1"
        return headers

    async def _send_attempt(
        self,
        request: ClientRequest,
        attempt: ClientAttempt,
        headers: dict[str, str],
        time_left: float,
    ) -> float:
        """Make the attempt and record its outcome; return the seconds to wait before the next one."""
        method = METHODS[request.request_class]
        target = f"/{request.request_class}/{request.request_id}"
        body = b"" if method == "GET" else self.make_body(request)
        retry_delay = DEFAULT_RETRY_AFTER
        try:
            async with asyncio.timeout(time_left):
                call = self.http_clients[attempt.sidecar].call(method, target, headers, body)
                status, received, attempt.body = await call
            attempt.outcome = str(status)
            retry_delay = float(received.get("Retry-After", received.get("retry-after", DEFAULT_RETRY_AFTER)))
        except TimeoutError:
            attempt.outcome = "late"
        except ConnectionBrokenError as error:
            attempt.outcome = str(error)
        return retry_delay

    async def finish(self, timeout: float) -> None:
        """Wait at most `timeout` seconds for the open requests, then cancel them."""
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=timeout)
        for task in list(self.tasks):
            task.cancel()
        for http_client in self.http_clients.values():
            http_client.close()
