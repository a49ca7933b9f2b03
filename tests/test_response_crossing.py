"""Endpoints that answer twice over links that vary: no client gets a response made for another request.

The endpoints run in a thread of their own, at the end of links that take time both ways.
"""

import asyncio
import dataclasses
import random
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest
from conftest import SETTINGS, SidecarHarness, request_class_settings

ENDPOINTS = 3
CLIENTS = 12
SECONDS = 2.5  # of load


@dataclass
class Link:
    """How endpoints answer, and the way to them."""

    one_way: float  # seconds
    variation: float  # share by which each passage is shorter or longer at most
    copies: float  # share of the responses that come twice
    copy_delay: float  # seconds between the two at most, a tenth of it at least
    work: float  # seconds of work of a request
    sent: int = 0  # copies sent
    rng: random.Random = field(default_factory=lambda: random.Random(7))

    def passage(self) -> float:
        """Return the time that the next passage takes."""
        return self.one_way * self.rng.uniform(1 - self.variation, 1 + self.variation)


class Endpoint(asyncio.Protocol):
    """One connection to an endpoint; it answers with the trace id of the request."""

    def __init__(self, link: Link) -> None:
        """Begin a connection over the link."""
        self.link, self.loop = link, asyncio.get_running_loop()
        self.received = b""
        self.last_in = self.last_out = 0.0
        self.busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Deliver bytes once they have come over the link."""
        self.last_in = max(self.last_in, self.loop.time() + self.link.passage())
        self.loop.call_at(self.last_in, self.arrive, data)

    def arrive(self, data: bytes) -> None:
        """Take bytes; answer a request that is whole."""
        self.received += data
        if not self.busy and b"\r\n\r\n" in self.received:
            head, _, self.received = self.received.partition(b"\r\n\r\n")
            self.busy = True
            is_check = b" /health " in head
            trace = b"healthy" if is_check else head.lower().split(b"x-trace-id: ")[1].split(b"\r\n")[0]
            work = 0.0 if is_check else self.link.rng.uniform(0.7, 1.3) * self.link.work
            self.loop.call_later(work, self.answer, trace)

    def answer(self, body: bytes) -> None:
        """Answer, and perhaps do so again a little later."""
        self.busy = False
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self.write(data)
        if self.link.rng.random() < self.link.copies:
            delay = self.link.copy_delay * self.link.rng.uniform(0.1, 1.0)
            self.loop.call_later(delay, self.repeat, data)

    def repeat(self, data: bytes) -> None:
        """Send the response once more, unless something else waits on the connection."""
        if not self.busy and not self.received and not self.transport.is_closing():
            self.link.sent += 1
            self.write(data)

    def write(self, data: bytes) -> None:
        """Send bytes over the link."""
        self.last_out = max(self.last_out, self.loop.time() + self.link.passage())
        self.loop.call_at(self.last_out, self.transport.write, data)


class EndpointThread:
    """Accepts connections on the listeners of a harness, in a loop of its own."""

    def __init__(self, harness: SidecarHarness, link: Link) -> None:
        """Start the thread."""
        self.loop = asyncio.SelectorEventLoop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self.listen(harness, link), self.loop).result(5)

    async def listen(self, harness: SidecarHarness, link: Link) -> None:
        """Accept connections."""
        for listener in harness.listeners:
            await self.loop.create_server(lambda: Endpoint(link), sock=listener.dup(), start_serving=True)

    def close(self) -> None:
        """Stop the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


@pytest.fixture
def start_endpoints() -> Iterator[Callable[[SidecarHarness, Link], None]]:
    """Yield a function that starts the endpoints of a harness; they are stopped at the end."""
    threads: list[EndpointThread] = []
    yield lambda harness, link: threads.append(EndpointThread(harness, link))
    for thread in threads:
        thread.close()


def foreign_responses(harness: SidecarHarness) -> tuple[int, list[tuple[str, bytes]]]:
    """Send requests for a while; return how many were served, and the responses made for another one."""
    served, foreign, number = 0, [], 0
    waiting = {}
    until = time.monotonic() + SECONDS
    while time.monotonic() < until or waiting:
        while len(waiting) < CLIENTS and time.monotonic() < until:
            number += 1
            trace = f"t{number:05d}"
            sock = harness.send_request("buy", x_trace_id=trace, x_expires_in_ms="900")
            waiting[sock] = trace
        harness.run_for(0.002)
        for sock in list(waiting):
            data = harness.read(sock)
            if data is None:
                continue
            trace = waiting.pop(sock)
            sock.close()
            if b" 200 " in data.split(b"\r\n")[0]:
                served += 1
                body = data.partition(b"\r\n\r\n")[2]
                if body != trace.encode():
                    foreign.append((trace, body))
    return served, foreign


@pytest.mark.parametrize("probing", [False, True], ids=["no checks", "health checks"])
@pytest.mark.parametrize(
    "link",
    [
        Link(one_way=0.0001, variation=0.02, copies=0.2, copy_delay=0.001, work=0.001),
        Link(one_way=0.002, variation=0.2, copies=0.2, copy_delay=0.008, work=0.02),
        Link(one_way=0.007, variation=0.2, copies=0.2, copy_delay=0.008, work=0.03),
        Link(one_way=0.009, variation=0.6, copies=0.2, copy_delay=0.02, work=0.001),
        Link(one_way=0.009, variation=0.6, copies=0.02, copy_delay=0.02, work=0.05),
        Link(one_way=0.004, variation=0.4, copies=0.1, copy_delay=0.004, work=0.001),
    ],
    ids=lambda link: f"{link.one_way * 1000}ms,{link.variation},{link.copies},{link.work * 1000}ms",
)
def test_no_client_gets_a_response_made_for_another_request(
    make_harness: Callable[..., SidecarHarness],
    start_endpoints: Callable[[SidecarHarness, Link], None],
    link: Link,
    probing: bool,
) -> None:
    """A copy crosses the next request on its connection, later than the quickest response so far took."""
    caps = SETTINGS["caps"] | {"connectTimeout": 250_000, "probing": probing, "peers": False}
    harness = make_harness(
        upstreams=ENDPOINTS, settings={"caps": caps, "categories": request_class_settings(300_000)}
    )
    link = dataclasses.replace(link, rng=random.Random(7))
    start_endpoints(harness, link)
    served, foreign = foreign_responses(harness)
    assert foreign == []
    assert link.sent and served > CLIENTS


def test_a_wall_clock_that_is_stepped_changes_nothing(
    make_harness: Callable[..., SidecarHarness],
    start_endpoints: Callable[[SidecarHarness, Link], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Between the arrival of a segment and its reading too."""
    link = Link(one_way=0.005, variation=0.5, copies=0.2, copy_delay=0.008, work=0.005)
    caps = SETTINGS["caps"] | {"connectTimeout": 250_000, "probing": True, "peers": False}
    harness = make_harness(
        upstreams=ENDPOINTS, settings={"caps": caps, "categories": request_class_settings(300_000)}
    )
    wall, rng = time.time, random.Random(3)
    monkeypatch.setattr(time, "time", lambda: wall() + rng.choice([-10.0, 0.0, 10.0]))
    start_endpoints(harness, link)
    served, foreign = foreign_responses(harness)
    assert foreign == []
    assert link.sent and served > CLIENTS
