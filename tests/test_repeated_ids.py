"""Requests that come again under the id of one that may have run, through real processes."""

import asyncio
import signal

import pytest

from fakes.client_connection import ClientConnection, ReceivedResponse, send_request
from fakes.http1 import Handler, Request, Response
from trials.single import SingleSidecar, request_class
from trials.soak.plan import METHODS

CLASSES = [
    request_class("read", "free", 0.6, 1.5),
    request_class("pay", "single_shot", 0.5, 1.5),
    request_class("change", "guarded", 0.4, 1.5, dedupScope="cell", window=200_000),
]
TIMEOUT = 1.4  # seconds for which clients wait
WORK = 0.25  # seconds that a server takes for a request
PROMISES_NO_EFFECT = (429, 503)


class Runs:
    """How often each id was run."""

    def __init__(self) -> None:
        """Start without any run."""
        self.ids: list[str] = []

    def handler_for(self, name: str) -> Handler:
        """Return the handler of a server."""

        async def answer(request: Request) -> Response:
            self.ids.append(request.headers["x-trace-id"])
            await asyncio.sleep(WORK)
            return Response(200, self.ids[-1].encode())

        return answer


async def begin(address: str, category: str, trace: str) -> ClientConnection:
    """Send a request on a new connection."""
    return await send_request(address, METHODS[category], category, trace, TIMEOUT)


async def ask(address: str, category: str, trace: str) -> ReceivedResponse:
    """Send a request on a new connection and read its response."""
    client = await begin(address, category, trace)
    try:
        return await client.read_response(TIMEOUT + 1)
    finally:
        client.close()


async def run_begun(runs: Runs, trace: str) -> None:
    """Wait until a server runs a request."""
    async with asyncio.timeout(5):
        while trace not in runs.ids:
            await asyncio.sleep(0.005)


@pytest.mark.xdist_group("trials-2")
def test_an_id_whose_client_has_left_does_not_run_again() -> None:
    """It did when it came again within the time of the request, and the repeat got 200 (issue 75)."""
    runs = Runs()

    async def one(sidecar: SingleSidecar, category: str, trace: str, pause: float) -> None:
        client = await begin(sidecar.address, category, trace)
        await run_begun(runs, trace)
        client.close()
        await asyncio.sleep(pause)
        received = await ask(sidecar.address, category, trace)
        assert received.is_complete and received.status not in (200, *PROMISES_NO_EFFECT)
        assert runs.ids.count(trace) == 1

    async def scenario() -> None:
        async with SingleSidecar(runs.handler_for, 3, CLASSES) as sidecar:
            for number, pause in enumerate((0.0, 0.02, 0.3, 0.8)):
                await asyncio.gather(
                    *(one(sidecar, category, f"{category}{number}", pause) for category in ("pay", "change"))
                )

    asyncio.run(scenario())


@pytest.mark.xdist_group("trials-2")
def test_an_id_does_not_run_again_at_the_process_that_replaces_its_first_one() -> None:
    """The client leaves the old process, which runs the request, and asks the new one (issue 75)."""
    runs = Runs()

    async def scenario() -> None:
        async with SingleSidecar(runs.handler_for, 3, CLASSES, passed_socket=True) as sidecar:
            traces = {
                f"{category}{number}": category for category in ("pay", "change") for number in range(4)
            }
            clients = [await begin(sidecar.address, category, trace) for trace, category in traces.items()]
            for trace in traces:
                await run_begun(runs, trace)
            sidecar.start_process()
            await sidecar.wait_until_taking_clients()
            former = sidecar.programs[0]
            former.signal(signal.SIGTERM)
            for client in clients:
                client.close()
            async with asyncio.timeout(10):
                while former.alive:
                    await asyncio.sleep(0.02)
            responses = [await ask(sidecar.address, category, trace) for trace, category in traces.items()]
            assert [r.status for r in responses if r.status in (0, 200, *PROMISES_NO_EFFECT)] == []
            assert all(runs.ids.count(trace) == 1 for trace in traces)

    asyncio.run(scenario())
