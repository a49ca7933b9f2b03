"""python -m fakes arbiter|upstreams --port N: a stand-in by itself, to try a sidecar with by hand."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random

from .endpoint_list import Listing
from .etcd import Arbiter
from .upstream import Run, Upstream

LOCAL = "127.0.0.1"


async def arbiter(port: int) -> None:
    one = Arbiter()
    one.server.host = LOCAL
    one.server.port = port
    await one.begin()
    print(f"arbiter at {one.server.address}", flush=True)
    await asyncio.Event().wait()


async def upstreams(port: int) -> None:
    """Three upstreams behind the port, and their list at it."""
    runs: list[Run] = []
    served = [Upstream(f"u{i}", "here", random.Random(i), 0.08, runs) for i in range(3)]
    for number, one in enumerate(served):
        one.server.host, one.server.port = LOCAL, port + 1 + number
        await one.server.begin()
    entries = [{"id": u.name, "addr": u.server.address, "zone": u.zone, "state": "active"} for u in served]
    listing = Listing(lambda: entries)
    listing.server.host, listing.server.port = LOCAL, port
    await listing.server.begin()
    print(f"list at {listing.server.address}", flush=True)
    seen = 0
    while True:
        await asyncio.sleep(0.5)
        for run in runs[seen:]:
            print(f"{run.upstream} runs {run.name} ({run.category})", flush=True)
        seen = len(runs)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m fakes", description=__doc__)
    parser.add_argument("what", choices=["arbiter", "upstreams"])
    parser.add_argument("--port", type=int, required=True)
    given = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run({"arbiter": arbiter, "upstreams": upstreams}[given.what](given.port))


if __name__ == "__main__":
    main()
