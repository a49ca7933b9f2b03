"""Some answers come twice, the second time some milliseconds late: each client has to get its own answer."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path

from bench import TROUBLE, Bench, Client, EndOfStreamError, endpoint_list, free_port, main

LOCAL, REMOTE = 2, 4  # upstreams in the sidecar's data centre, and in the other one
ONE_WAY = 0.008  # seconds between the two
CORES, WORK = 2, 0.045
TWICE_SHARE, TWICE_AFTER = 0.02, 0.004
CLIENTS, REQUESTS, PAUSE = 16, 9600, 0.05


def settings() -> dict[str, object]:
    """Return the settings, by the lease service's brief."""
    free = {"effect": "free", "payoff": 1.0, "dedupScope": "all", "window": 5000000}
    view = {"name": "unit-view", "dueTime": 300000, "expiry": 1000000, **free}
    status = {"name": "repair-status", "dueTime": 150000, "expiry": 400000, **free}
    pay = {"name": "rent-pay", "dueTime": 250000, "expiry": 500000, **free, "effect": "single_shot"}
    refund = {"name": "deposit-refund", "dueTime": 150000, "expiry": 600000, **free, "effect": "guarded"}
    pay["payoff"], refund["payoff"], refund["window"] = 8.0, 5.0, 3000000
    caps = {"mostHandOffs": 3, "cancel": True, "mayDuplicate": True, "probing": True, "peers": False}
    caps |= {"connectTimeout": 250000, "keepalive": 5000000, "streamsPerConn": 1}
    caps |= {"retryAfter": True, "maxRetryAfter": 1500000}
    rules = {"mustAskIn": 4000000, "drainGrace": 500000, "coldShare": 0.37, "cold": 8700000}
    rules |= {"fallMultiple": 3.0, "overloadFor": 3000000}
    charges = {"crossZone": 0.02, "handshake": 0.02, "probe": 0.03, "waste": 0.068, "lateFail": 0.031}
    report = {"columns": ["busy_reqs", "pending"], "how": "on_probe"}
    place = {"discovery": "ask", "locality": "seoul-a", "zones": ["seoul-a", "busan-b"]}
    place |= {"replicasOfMe": 1, "slotNo": 0}
    categories = [view, status, pay, refund]
    parts = {"caps": caps, "rules": rules, "charges": charges, "loadReport": report}
    return {"categories": categories, **parts, **place}


async def client(bench: Bench, address: str, number: int, wrong: list[str], counts: dict[str, int]) -> None:
    """Send requests one after another; note each answer that was not made for its request."""
    rng = random.Random(number)
    connection: Client | None = None
    for index in range(REQUESTS // CLIENTS):
        await asyncio.sleep(rng.expovariate(1 / PAUSE))
        trace = f"c{number}-{index}"
        try:
            if connection is None:
                connection = await Client(address).__aenter__()
            told = {"X_Qos": "unit-view", "X_Trace_Id": trace, "X_Expires_In_Ms": "1000"}
            answer = await asyncio.wait_for(connection.get("/unit-view", **told), 3)
        except (EndOfStreamError, OSError, TimeoutError) as error:
            bench.record(f"{trace}: {error!r}")
            connection = None
            continue
        status = answer.start.split()[1]
        bench.record(f"{trace}: {status} {answer.body.decode()!r}")
        counts[status] = counts.get(status, 0) + 1
        if status == "200" and answer.body.split(b" ")[0].decode() != trace:
            wrong.append(trace)
            bench.record(f"{trace} GOT THE ANSWER {answer.body.decode()!r}")
        if answer.headers.get("connection", "").lower() == "close":
            await connection.__aexit__()
            connection = None
    if connection is not None:
        await connection.__aexit__()


async def story(bench: Bench) -> bool:
    """Play the case; return whether the rule was broken."""
    options = ["--runs", bench.runs_path, "--work", WORK, "--cores", CORES]
    if TROUBLE:
        options += ["--twice-share", TWICE_SHARE, "--twice-after", TWICE_AFTER]
    ports = [free_port() for _ in range(LOCAL + REMOTE)]
    ways = [free_port() for _ in range(REMOTE)]
    bench.standin("upstream.py", *(f"u{i}:{port}" for i, port in enumerate(ports)), *options)
    remote = [f"{way}:{port}" for way, port in zip(ways, ports[LOCAL:], strict=True)]
    bench.standin("network.py", *remote, "--delay", ONE_WAY)
    entries = [
        {"id": f"u{i}", "addr": f"127.0.0.1:{port}", "zone": "seoul-a" if i < LOCAL else "busan-b"}
        for i, port in enumerate(ports[:LOCAL] + ways)
    ]
    listing = bench.folder / "list.json"
    listing.write_text(json.dumps(endpoint_list(entries)))
    discovery, address = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    bench.standin("discovery.py", "--port", discovery.rpartition(":")[2], "--list", listing)
    await asyncio.sleep(0.5)
    config = {"name": "n1", "listen": address, "discovery": discovery, "seed": "1"}
    config |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
    bench.sidecar(config | {"known": endpoint_list(entries), "settings": settings()})
    await bench.ready(address)
    wrong: list[str] = []
    counts: dict[str, int] = {}
    await asyncio.gather(*(client(bench, address, number, wrong, counts) for number in range(CLIENTS)))
    bench.record_runs()
    runs = bench.runs()
    twice = sum(run["event"] == "answered twice" for run in runs)
    bench.record(f"answers by status: {counts}; runs {len(runs) - twice}; answers that came twice: {twice}")
    bench.record(f"{len(wrong)} clients got an answer that was made for another request")
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, story))
