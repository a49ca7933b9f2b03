"""python -m fakes arbiter|upstreams --port N: a fake by itself, to try a sidecar with by hand."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random

from .endpoint_list import EndpointListServer
from .etcd import FakeEtcd
from .upstream import Run, Upstream

LOCAL = "127.0.0.1"
SERVICE_TIME = 0.08  # seconds, on the mean
PRINT_INTERVAL = 0.5  # seconds


async def arbiter(port: int) -> None:
    """A coordination store at the port."""
    store = FakeEtcd()
    store.server.host = LOCAL
    store.server.port = port
    await store.start()
    print(f"arbiter at {store.server.address}", flush=True)
    await asyncio.Event().wait()


async def upstreams(port: int) -> None:
    """Three upstreams behind the port, and their endpoint list at it."""
    runs: list[Run] = []
    served = [Upstream(f"u{i}", "here", random.Random(i), SERVICE_TIME, runs) for i in range(3)]
    for number, upstream in enumerate(served):
        upstream.server.host, upstream.server.port = LOCAL, port + 1 + number
        await upstream.server.start()
    entries = [{"id": u.name, "addr": u.server.address, "zone": u.zone, "state": "active"} for u in served]
    endpoint_list = EndpointListServer(lambda: entries)
    endpoint_list.server.host, endpoint_list.server.port = LOCAL, port
    await endpoint_list.server.start()
    print(f"list at {endpoint_list.server.address}", flush=True)
    printed = 0
    while True:
        await asyncio.sleep(PRINT_INTERVAL)
        for run in runs[printed:]:
            print(f"{run.upstream} runs {run.request_id} ({run.request_class})", flush=True)
        printed = len(runs)


def main() -> None:
    """Run until interrupted."""
    parser = argparse.ArgumentParser(prog="python -m fakes", description=__doc__)
    parser.add_argument("what", choices=["arbiter", "upstreams"])
    parser.add_argument("--port", type=int, required=True)
    given = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run({"arbiter": arbiter, "upstreams": upstreams}[given.what](given.port))


if __name__ == "__main__":
    main()
