"""Clients that have just connected while descriptors are short, through a real process."""

import asyncio

import pytest

from fakes.client_connection import ClientConnection, request_head
from fakes.http1 import Handler, Request, Response
from trials.single import SingleSidecar, request_class

CLASSES = [request_class("read", "free", 0.5, 2.0), request_class("pay", "single_shot", 0.5, 4.0)]
SOCKETS = 384  # descriptors, of which 112 are for clients before room is made
UPLOADS = 120  # long requests of which a half has come
UPLOAD, HALF = 200_000, 100_000  # bytes
PAIRS = 20


def handler_for(name: str) -> Handler:
    """Return the handler of a server that responds at once."""

    async def answer(request: Request) -> Response:
        return Response(200, b"fine")

    return answer


async def begin_upload(address: str, number: int) -> ClientConnection:
    """Send half of a long request."""
    client = await ClientConnection.open(address)
    headers = {"X-Trace-Id": f"pay-{number}", "X-Qos": "pay", "X-Expires-In-Ms": "4000"}
    await client.write(request_head("POST", "/pay/1", headers, UPLOAD) + bytes(HALF))
    return client


async def ask(client: ClientConnection, trace: str) -> int:
    """Send a request and return the status of its response, or 0."""
    headers = {"X-Trace-Id": trace, "X-Qos": "read", "X-Expires-In-Ms": "1500"}
    await client.write(request_head("GET", "/read/1", headers))
    received = await client.read_response(3)
    client.close()
    return received.status


@pytest.mark.xdist_group("trials-2")
def test_a_client_that_has_just_connected_is_not_closed_for_the_next_one() -> None:
    """It is the only one without a request, and its first request is on its way."""

    async def run() -> None:
        limits = {"memory_mb": 80, "sockets": SOCKETS}
        async with SingleSidecar(handler_for, 6, CLASSES, limits=limits) as sidecar:
            uploads = [await begin_upload(sidecar.address, number) for number in range(UPLOADS)]
            statuses = []
            for number in range(PAIRS):
                pair = [await ClientConnection.open(sidecar.address) for _ in range(2)]
                await asyncio.sleep(0.01)
                asking = (ask(client, f"read-{number}-{i}") for i, client in enumerate(pair))
                statuses += await asyncio.gather(*asking)
            for upload in uploads:
                upload.close()
            assert statuses == [200] * 2 * PAIRS
            assert not sidecar.defects()

    asyncio.run(run())
