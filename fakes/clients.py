"""Clients that send whatever comes of it (open loop), name their work, and come again to another sidecar."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .http1 import Broken, Caller

METHODS = {"look": "GET", "buy": "POST", "move": "POST"}


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
    name: str
    category: str
    at: float
    until: float
    tries: list[Try] = field(default_factory=list)
    twin: str = ""  # the sidecar that a second client of the same name comes to at the same time

    @property
    def answers(self) -> list[str]:
        return [t.end for t in self.tries if t.end.isdigit()]

    @property
    def finished(self) -> bool:
        return "200" in self.answers


class Clients:
    """All clients of a trial. `addresses` tells where the sidecars listen."""

    def __init__(self, addresses: dict[str, str], rng: random.Random, waits: float = 2.0) -> None:
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
        """So many pieces of work a second, each sent when it is due, however the ones before fare."""
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
        now = asyncio.get_running_loop().time()
        work = Work(name, category, now, now + self.waits, twin=twin)
        self.done.append(work)
        for number, first in enumerate([sidecar, twin] if twin else [sidecar]):
            task = asyncio.create_task(self._follow(work, first, named, number))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
        return work

    def join(self, work: Work, sidecar: str) -> None:
        """One more client of the same name, at another sidecar."""
        work.twin = sidecar
        task = asyncio.create_task(self._follow(work, sidecar, True, 1))
        self.open.add(task)
        task.add_done_callback(self.open.discard)

    async def _follow(self, work: Work, sidecar: str, named: bool, client: int) -> None:
        """Until it has a final answer: one that breaks or is deferred is sent again, elsewhere."""
        loop = asyncio.get_running_loop()
        number = 0
        while (left := work.until - loop.time()) > 0.02:
            one = Try(loop.time(), sidecar, f"{work.name}-{client}-{number}")
            work.tries.append(one)
            headers = {"X-Trace-Id": one.trace, "X-Qos": work.category}
            headers["X-Expires-In-Ms"] = str(int(left * 1000))
            if named:
                headers["X-Work-Name"] = work.name
            if work.category == "move":
                headers["Idempotency-Key"] = work.name
            if number:
                headers["X-Second-Try"] = "1"
            method = METHODS[work.category]
            body = b"" if method == "GET" else self.body(work)
            wait = 0.02
            try:
                async with asyncio.timeout(left):
                    call = self.callers[sidecar].call(method, f"/{work.category}/{work.name}", headers, body)
                    status, told, one.body = await call
                one.end = str(status)
                wait = float(told.get("Retry-After", told.get("retry-after", 0.02)))
            except TimeoutError:
                one.end = "late"
            except Broken as broken:
                one.end = str(broken)
            one.ended = loop.time()
            if one.end.isdigit() and one.end != "503":
                return
            number += 1
            others = [n for n in self.names if n != sidecar and n not in self.avoid]
            sidecar = self.rng.choice(others or self.names)
            await asyncio.sleep(wait)

    async def rest(self, within: float) -> None:
        """Wait for what is open."""
        if self.open:
            await asyncio.wait(list(self.open), timeout=within)
        for task in list(self.open):
            task.cancel()
        for caller in self.callers.values():
            caller.close()
