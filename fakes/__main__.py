"""Command `python -m fakes arbiter|upstreams --port N`: runs a fake on its own, to try a sidecar by hand."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random

from .endpoint_list import EndpointListServer
from .etcd import FakeEtcd
from .upstream import Run, Upstream

LOOPBACK = "127.0.0.1"
MEAN_SERVICE_TIME = 0.08  # seconds
PRINT_INTERVAL = 0.5  # seconds


async def run_store(port: int) -> None:
    """Run a coordination store on the port."""
    store = FakeEtcd()
    store.server.host = LOOPBACK
    store.server.port = port
    await store.start()
    print(f"arbiter at {store.server.address}", flush=True)
    await asyncio.Event().wait()


async def run_upstreams(port: int) -> None:
    """Run an endpoint list on the port and its three upstreams on the ports after it."""
    runs: list[Run] = []
    upstreams = [Upstream(f"u{i}", "here", random.Random(i), MEAN_SERVICE_TIME, runs) for i in range(3)]
    for number, upstream in enumerate(upstreams):
        upstream.server.host, upstream.server.port = LOOPBACK, port + 1 + number
        await upstream.server.start()
    entries = [{"id": u.name, "addr": u.server.address, "zone": u.zone, "state": "active"} for u in upstreams]
    endpoint_list = EndpointListServer(lambda: entries)
    endpoint_list.server.host, endpoint_list.server.port = LOOPBACK, port
    await endpoint_list.server.start()
    print(f"list at {endpoint_list.server.address}", flush=True)
    printed = 0
    while True:
        await asyncio.sleep(PRINT_INTERVAL)
        for run in runs[printed:]:
            print(f"{run.upstream} runs {run.request_id} ({run.request_class})", flush=True)
        printed = len(runs)


def main() -> None:
    """Run the selected fake until interrupted."""
    parser = argparse.ArgumentParser(prog="python -m fakes", description=__doc__)
    parser.add_argument("what", choices=["arbiter", "upstreams"])
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run({"arbiter": run_store, "upstreams": run_upstreams}[arguments.what](arguments.port))


if __name__ == "__main__":
    main()
