"""Clients that send at a fixed rate (open loop), name their requests, and retry at another sidecar."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .http1 import Broken, Caller

METHODS = {"look": "GET", "buy": "POST", "move": "POST"}
MIN_TIME_LEFT = 0.02  # seconds before the deadline, after which nothing is sent any more
DEFAULT_RETRY_AFTER = 0.02  # seconds


@dataclass
class Try:
    """One request of a piece of work: what came of it, and when. `end`: a status, or how it broke."""

    at: float
    sidecar: str
    trace: str
    end: str = "open"
    ended: float = 0.0
    body: bytes = b""


@dataclass
class Work:
    """A request of a client, with all tries of it."""

    name: str
    category: str
    at: float
    until: float
    tries: list[Try] = field(default_factory=list)
    twin: str = ""  # the sidecar that a second client of the same name comes to at the same time

    @property
    def answers(self) -> list[str]:
        """The statuses that came."""
        return [t.end for t in self.tries if t.end.isdigit()]

    @property
    def finished(self) -> bool:
        """One of the tries succeeded."""
        return "200" in self.answers


class Clients:
    """All clients of a trial. `addresses` tells where the sidecars listen."""

    def __init__(self, addresses: dict[str, str], rng: random.Random, waits: float = 2.0) -> None:
        """`waits`: seconds until a client gives its request up."""
        self.callers = {name: Caller(address) for name, address in addresses.items()}
        self.names, self.rng, self.waits = list(addresses), rng, waits
        self.done: list[Work] = []
        self.open: set[asyncio.Task[None]] = set()
        self.body: Callable[[Work], bytes] = lambda work: work.name.encode()
        self.avoid: set[str] = set()  # sidecars that no client goes to at first

    async def send(
        self,
        rate: float,
        seconds: float,
        categories: dict[str, float],
        named: bool = True,
        twins: float = 0.0,
    ) -> None:
        """Send `rate` requests a second, each when it is due, whatever became of those before."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for number in range(int(rate * seconds)):
            due = start + number / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            category = self.rng.choices([*categories], [*categories.values()])[0]
            able = [n for n in self.names if n not in self.avoid] or self.names
            home = self.rng.choice(able)
            twin = self.rng.choice(able) if self.rng.random() < twins else ""
            self.begin(f"w{len(self.done)}", category, home, named, twin)

    def begin(self, name: str, category: str, sidecar: str, named: bool = True, twin: str = "") -> Work:
        """Send one request, and the same from a second client where `twin` names a sidecar."""
        now = asyncio.get_running_loop().time()
        work = Work(name, category, now, now + self.waits, twin=twin)
        self.done.append(work)
        for number, first in enumerate([sidecar, twin] if twin else [sidecar]):
            task = asyncio.create_task(self._follow(work, first, named, number))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
        return work

    def join(self, work: Work, sidecar: str) -> None:
        """Send a request again, from a second client at another sidecar."""
        work.twin = sidecar
        task = asyncio.create_task(self._follow(work, sidecar, True, 1))
        self.open.add(task)
        task.add_done_callback(self.open.discard)

    async def _follow(self, work: Work, sidecar: str, named: bool, client: int) -> None:
        """Retry at other sidecars until there is a final answer: a broken or rejected try is not one."""
        loop = asyncio.get_running_loop()
        number = 0
        while (time_left := work.until - loop.time()) > MIN_TIME_LEFT:
            one = Try(loop.time(), sidecar, f"{work.name}-{client}-{number}")
            work.tries.append(one)
            headers = self._headers(work, one, time_left, named, is_retry=number > 0)
            wait = await self._send_once(work, one, headers, time_left)
            one.ended = loop.time()
            if one.end.isdigit() and one.end != "503":
                return
            number += 1
            others = [n for n in self.names if n != sidecar and n not in self.avoid]
            sidecar = self.rng.choice(others or self.names)
            await asyncio.sleep(wait)

    def _headers(self, work: Work, one: Try, time_left: float, named: bool, is_retry: bool) -> dict[str, str]:
        headers = {"X-Trace-Id": one.trace, "X-Qos": work.category}
        headers["X-Expires-In-Ms"] = str(int(time_left * 1000))
        if named:
            headers["X-Work-Name"] = work.name
        if work.category == "move":
            headers["Idempotency-Key"] = work.name
        if is_retry:
            headers["X-Second-Try"] = "1"
        return headers

    async def _send_once(self, work: Work, one: Try, headers: dict[str, str], time_left: float) -> float:
        """Record how the try ends; return the seconds to wait before the next one."""
        method = METHODS[work.category]
        body = b"" if method == "GET" else self.body(work)
        wait = DEFAULT_RETRY_AFTER
        try:
            async with asyncio.timeout(time_left):
                call = self.callers[one.sidecar].call(method, f"/{work.category}/{work.name}", headers, body)
                status, received, one.body = await call
            one.end = str(status)
            wait = float(received.get("Retry-After", received.get("retry-after", DEFAULT_RETRY_AFTER)))
        except TimeoutError:
            one.end = "late"
        except Broken as broken:
            one.end = str(broken)
        return wait

    async def rest(self, within: float) -> None:
        """Wait at most `within` seconds for the open requests, then cancel them."""
        if self.open:
            await asyncio.wait(list(self.open), timeout=within)
        for task in list(self.open):
            task.cancel()
        for caller in self.callers.values():
            caller.close()
