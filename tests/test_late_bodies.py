"""Responses whose head comes early and whose body comes late, through a real process.

From the head of a successful response of more than 64 KiB, or of unknown length, only the endpoint or the
client ends the exchange. A shorter one whose head has come has the client's time, not the latency objective.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from fakes.client_connection import ReceivedResponse, send_request
from fakes.delivery import Delivery, Framing
from fakes.http1 import Handler, Request, Response
from trials.single import SingleSidecar, request_class
from trials.soak.plan import METHODS

CLASSES = [
    request_class("read", "free", 0.3, 1.5),
    request_class("pay", "single_shot", 0.25, 1.5),
    request_class("change", "guarded", 0.2, 1.5, dedupScope="all", window=1_500_000),
]
TIMEOUT = 1.4  # seconds for which clients wait
LATE = 0.5  # seconds between a head and its body; longer than each objective
LONG, SHORT = 130_000, 900  # bytes of a body
REPEATS = 4  # requests of each class and framing


def body_for(trace: str, length: int) -> bytes:
    """Return the body of the response to one request."""
    return random.Random(trace).randbytes(length // 2).hex().encode()


class Plan:
    """The deliveries of a play, by trace id."""

    def __init__(self) -> None:
        """Start without any."""
        self.deliveries: dict[str, tuple[Delivery, int]] = {}  # with the length of the body
        self.runs: list[str] = []

    def handler_for(self, name: str) -> Handler:
        """Return the handler of a server."""

        async def answer(request: Request) -> Response:
            trace = request.headers["x-trace-id"]
            self.runs.append(trace)
            delivery, length = self.deliveries[trace]
            return Response(200, body_for(trace, length), delivery=delivery)

        return answer


async def ask(address: str, category: str, trace: str) -> ReceivedResponse:
    """Send one request on a connection of its own and read the response."""
    client = await send_request(address, METHODS[category], category, trace, TIMEOUT)
    try:
        return await client.read_response(TIMEOUT + 2)
    finally:
        client.close()


def play(scenario: Callable[[SingleSidecar, Plan], Awaitable[None]], **options: Any) -> None:  # noqa: ANN401
    """Play a scenario with one sidecar and six servers."""
    plan = Plan()

    async def run() -> None:
        async with SingleSidecar(plan.handler_for, 6, CLASSES, **options) as sidecar:
            await scenario(sidecar, plan)
            assert not sidecar.defects()

    asyncio.run(run())


@pytest.mark.xdist_group("trials-1")
def test_responses_are_not_cut_off_whose_bodies_begin_after_the_latency_objective() -> None:
    """They were, with 504 or 503, at the objective, though each client waited on (issue 75)."""
    broken: list[str] = []

    async def one(sidecar: SingleSidecar, plan: Plan, trace: str, category: str, framing: Framing) -> None:
        delivery = Delivery(framing, body_delay=LATE)
        plan.deliveries[trace] = delivery, LONG
        received = await ask(sidecar.address, category, trace)
        whole = received.is_complete and received.body == body_for(trace, LONG)
        if received.status != 200 or not whole or delivery.was_cut_off or plan.runs.count(trace) != 1:
            broken.append(f"{trace}: {received.status}, {len(received.body)} bytes")

    async def scenario(sidecar: SingleSidecar, plan: Plan) -> None:
        for framing in Framing:
            for number in range(REPEATS):
                traces = {f"{category}-{framing.value}-{number}": category for category in METHODS}
                await asyncio.gather(*(one(sidecar, plan, t, traces[t], framing) for t in traces))

    play(scenario)
    assert not broken, f"{len(broken)} of {len(METHODS) * len(Framing) * REPEATS}: {broken}"


@pytest.mark.xdist_group("trials-1")
def test_a_short_response_that_has_begun_has_the_time_of_its_client() -> None:
    """Up to 64 KiB the last byte counts, and only the client's time bounds it."""

    async def scenario(sidecar: SingleSidecar, plan: Plan) -> None:
        for framing in Framing:
            for category in METHODS:
                trace = f"{category}-{framing.value}"
                plan.deliveries[trace] = Delivery(framing, body_delay=LATE), SHORT
                received = await ask(sidecar.address, category, trace)
                assert (received.status, received.body) == (200, body_for(trace, SHORT)), trace

    play(scenario)


@pytest.mark.xdist_group("trials-1")
def test_a_late_body_arrives_whole_though_the_process_is_stopped_meanwhile() -> None:
    """After SIGTERM a response that has begun goes on until the kill, which comes 0.7 s after its time."""

    async def scenario(sidecar: SingleSidecar, plan: Plan) -> None:
        tasks = []
        for framing in Framing:
            trace = f"pay-{framing.value}"
            plan.deliveries[trace] = Delivery(framing, body_delay=2 * LATE, rate=LONG / LATE), LONG
            tasks.append(asyncio.create_task(ask(sidecar.address, "pay", trace)))
        await asyncio.sleep(LATE / 2)
        sidecar.process.signal(signal.SIGTERM)
        for framing, received in zip(Framing, await asyncio.gather(*tasks), strict=True):
            assert (received.status, len(received.body)) == (200, LONG), framing
            assert received.is_complete

    play(scenario)
