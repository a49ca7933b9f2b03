"""Responses that break off after their heads, through a real process (issue 78).

While nothing requires the status to be passed on, the sidecar can hold it back, so every end of the exchange
leaves it a final response to give. Judged at the clients and the servers alone.
"""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from math import inf
from typing import Any

import pytest

from fakes.client_connection import ReceivedResponse, send_request
from fakes.delivery import Delivery, Ending, Framing
from fakes.http1 import Handler, Request, Response
from trials.single import Json, SingleSidecar, request_class
from trials.soak.judge import body_for
from trials.soak.plan import METHODS

CLASSES = [
    request_class("read", "free", 0.45, 0.9),
    request_class("pay", "single_shot", 0.36, 0.9),
    request_class("change", "guarded", 0.32, 0.9, dedupScope="all", window=900_000),
]
TIMEOUT = 0.8  # seconds for which clients wait
RESPONSE_SLACK = 0.15  # seconds by which the trial itself may be late
SHARES = (0.15, 0.3, 0.5, 0.7, 0.88)  # of the clients' time: when the head of a response comes
SOON = 0.003  # seconds between a head and the end of its connection
SHORT, LONG = 1500, 150_000  # bytes of a body
SERVERS = 6
HELD_AT_ONCE = 150  # responses, most of which are under way together
FEW_BUFFERS_MB = 6  # a third of it is 256 buffers; 150 responses of 64 KiB take 1,200


@dataclass
class Scene:
    """One request, and how a server responds to it."""

    trace: str
    category: str
    delivery: Delivery
    work: float
    length: int = SHORT
    timeout: float = TIMEOUT
    runs: list[float] = field(default_factory=list)  # when servers were asked
    received: ReceivedResponse = field(default_factory=ReceivedResponse)
    sent_at: float = 0.0

    @property
    def is_served(self) -> bool:
        """Whether the client has got the whole body."""
        is_whole = self.received.body == body_for(self.trace, self.length)
        return self.received.status == 200 and self.received.is_complete and is_whole

    def violations(self) -> Iterable[str]:
        """Return what was broken for this request."""
        received = self.received
        if not received.is_complete:
            yield f"{received.status} and {len(received.body)} bytes, then the end of the connection"
        elif received.status == 200 and not self.is_served:
            yield "a whole response with another body"
        if received.ended_at > self.sent_at + self.timeout + RESPONSE_SLACK:
            yield f"ended {received.ended_at - self.sent_at:.3f} s after it was sent"
        if self.category == "pay" and len(self.runs) > 1:
            yield f"ran {len(self.runs)} times"
        if self.category == "pay" and self.runs and received.status == 503:
            yield "rejected as harmless though it may have run"


class Play:
    """The requests of one test and the handlers of its servers."""

    def __init__(self) -> None:
        """Start without any."""
        self.scenes: dict[str, Scene] = {}

    def handler_for(self, name: str) -> Handler:
        """Return the handler of a server."""

        async def answer(request: Request) -> Response:
            scene = self.scenes[request.headers["x-trace-id"]]
            scene.runs.append(asyncio.get_running_loop().time())
            await asyncio.sleep(scene.work)
            return Response(200, body_for(scene.trace, scene.length), delivery=scene.delivery)

        return answer

    async def ask(self, address: str, scene: Scene) -> None:
        """Send one request on a connection of its own and read the response."""
        self.scenes[scene.trace] = scene
        scene.sent_at = asyncio.get_running_loop().time()
        client = await send_request(
            address, METHODS[scene.category], scene.category, scene.trace, scene.timeout
        )
        try:
            await client.read_response(scene.timeout + 2, received=scene.received)
        finally:
            client.close()

    async def ask_in_turn(self, address: str, scenes: Iterable[Scene], at_once: int = 2 * SERVERS) -> None:
        """Send requests, a few at a time, so that the servers are not loaded."""
        remaining = list(scenes)
        while remaining:
            group, remaining = remaining[:at_once], remaining[at_once:]
            await asyncio.gather(*(self.ask(address, scene) for scene in group))

    def broken(self) -> list[str]:
        """Return what was broken, by request."""
        scenes = self.scenes.values()
        return [f"{scene.trace}: {violation}" for scene in scenes for violation in scene.violations()]


def play(
    scenario: Callable[[SingleSidecar, Play], Awaitable[None]],
    classes: list[Json] = CLASSES,
    **options: Any,  # noqa: ANN401
) -> Play:
    """Play a scenario with one sidecar; return what was seen, of which nothing may be broken."""
    seen = Play()

    async def run() -> None:
        async with SingleSidecar(seen.handler_for, SERVERS, classes, **options) as sidecar:
            await scenario(sidecar, seen)
            assert not sidecar.defects()

    asyncio.run(run())
    broken = seen.broken()
    assert not broken, f"{len(broken)} of {len(seen.scenes)}: {broken}"
    return seen


def scenes_of(label: str, length: int = SHORT, **delivery: Any) -> list[Scene]:  # noqa: ANN401
    """Return a request for each class and share of the clients' time at which its response begins."""
    return [
        Scene(f"{category}, {label}, {share}", category, Delivery(**delivery), share * TIMEOUT, length)
        for share, category in itertools.product(SHARES, METHODS)
    ]


def resets() -> list[Scene]:
    """Return responses that are reset: at once or later, in one piece or many, short or long."""
    unknown_length = (Framing.CHUNKED, Framing.CLOSE)
    scenes: list[Scene] = []
    for framing, sent, delay in itertools.product(unknown_length, (0, 900), (SOON, 0.1, 0.3, 0.55)):
        label = f"{framing.value}, {sent} bytes, {delay} s"
        scenes += scenes_of(label, framing=framing, ending=Ending.RESET, limit=sent, ending_delay=delay)
    for framing in Framing:
        label = f"long, {framing.value}"
        scenes += scenes_of(
            label, LONG, framing=framing, ending=Ending.RESET, limit=40_000, ending_delay=SOON
        )
    for framing in unknown_length:
        label = f"pieces, {framing.value}"
        scenes += scenes_of(
            label, framing=framing, ending=Ending.RESET, limit=300, piece_size=40, piece_pause=0.004
        )
    latest = 0.92 * TIMEOUT
    return [scene for scene in scenes if scene.work + scene.delivery.ending_delay < latest]


def play_in_turn(scenes: list[Scene]) -> Play:
    """Play requests, a few at a time; return what was seen, of which nothing may be broken."""

    async def scenario(sidecar: SingleSidecar, seen: Play) -> None:
        await seen.ask_in_turn(sidecar.address, scenes)

    seen = play(scenario)
    reached = sum(bool(scene.runs) for scene in scenes)
    assert reached > 0.9 * len(scenes), f"{len(scenes) - reached} of {len(scenes)} reached no server"
    return seen


@pytest.mark.xdist_group("trials-1")
def test_a_response_that_is_reset_after_its_head_leaves_its_client_a_final_response() -> None:
    """Its head was passed on from half the objective on, and the reset then ended the client's connection."""
    play_in_turn(resets())


@pytest.mark.xdist_group("trials-2")
def test_a_chunked_response_that_ends_early_or_becomes_unreadable_is_answered_at_once() -> None:
    """What can't be a chunk is no response, however long its connection stays open."""
    scenes = [
        scene
        for ending, sent in itertools.product((Ending.CLOSE, Ending.NOISE), (0, 900))
        for scene in scenes_of(
            f"{ending.value}, {sent} bytes",
            framing=Framing.CHUNKED,
            ending=ending,
            limit=sent,
            ending_delay=SOON,
        )
    ]
    play_in_turn(scenes)
    late = [
        scene.trace
        for scene in scenes
        if scene.category == "pay" and scene.received.ended_at > (scene.delivery.ended_at or inf) + 0.1
    ]
    assert not late, late


@pytest.mark.xdist_group("trials-1")
def test_sound_responses_are_served_though_all_that_is_held_back_would_not_fit_into_the_buffers() -> None:
    """The one that has been held back longest is passed on; none fails or is cut off for want of buffers."""
    rng = random.Random(78)
    scenes = []
    for number in range(HELD_AT_ONCE):
        framing = rng.choice([Framing.CHUNKED, Framing.CLOSE])
        delivery = Delivery(framing, body_delay=0.02, rate=rng.choice([40_000.0, 60_000.0]))
        category = list(METHODS)[number % 3]
        length = rng.choice([60_000, 64_000, 90_000])
        scenes.append(Scene(f"{category}-{number}", category, delivery, 0.005, length, timeout=3.0))

    async def scenario(sidecar: SingleSidecar, seen: Play) -> None:
        tasks = []
        for scene in scenes:
            tasks.append(asyncio.create_task(seen.ask(sidecar.address, scene)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)

    patient = [entry | {"expiry": 3_000_000} for entry in CLASSES]
    seen = play(scenario, patient, limits={"memory_mb": FEW_BUFFERS_MB, "sockets": 1024})
    accepted = [scene for scene in seen.scenes.values() if scene.runs]
    failed = [scene.trace for scene in accepted if not scene.is_served]
    assert len(accepted) > HELD_AT_ONCE / 2 and not failed, (len(accepted), failed)
