"""A new configuration lacks a key: nothing of it may be taken, and no keyed request may run twice."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import sys
import time
from collections import defaultdict
from pathlib import Path

from bench import TROUBLE, Bench, Client, NotRunError, endpoint_list, free_port, main

PODS, NODES_PER_POD = 3, 4
WINDOW = 4.0  # seconds for which the nodes of one pod drop a repeat
WORK, HEAVY_SHARE, HEAVY_FACTOR = 0.05, 0.03, 12.0
WARM_UP, REQUESTS, AT_ONCE = 240, 2400, 6
EXPIRES_MS = 4000


def settings() -> dict[str, object]:
    """Return the settings, by the third deployment's brief."""
    view = {"name": "ledger-view", "effect": "free", "dueTime": 2500000, "expiry": 5000000, "payoff": 5.0}
    entry = {"name": "expense-entry", "effect": "guarded", "dueTime": 2000000, "expiry": 4000000}
    entry |= {"payoff": 2.0, "dedupScope": "cell", "window": int(WINDOW * 1e6)}
    issue = {"name": "invoice-issue", "effect": "single_shot", "dueTime": 800000, "expiry": 3000000}
    issue |= {"payoff": 8.0}
    caps = {"mostHandOffs": 4, "cancel": True, "mayDuplicate": True, "probing": False, "peers": False}
    caps |= {"connectTimeout": 250000, "keepalive": 30000000, "streamsPerConn": 1}
    caps |= {"retryAfter": True, "maxRetryAfter": 2000000}
    rules = {"mustAskIn": 10000000, "drainGrace": 2500000, "coldShare": 0.13, "cold": 23000000}
    rules |= {"fallMultiple": 2.5, "overloadFor": 3000000}
    place = {"discovery": "ask", "locality": "a", "zones": ["a"], "replicasOfMe": 1, "slotNo": 0}
    return {"categories": [view, entry, issue], "caps": caps, "rules": rules, **place}


async def send(bench: Bench, address: str, traces: list[str]) -> None:
    """Send one keyed request after another on one connection."""
    async with Client(address) as client:
        for trace in traces:
            body = f"expense {trace}".encode()
            head = (
                "POST /expense-entry HTTP/1.1\r\nHost: backend.local\r\nX-Qos: expense-entry\r\n"
                f"X-Trace-Id: {trace}\r\nIdempotency-Key: key-{trace}\r\n"
                f"X-Expires-In-Ms: {EXPIRES_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            client.writer.write(head.encode() + body)
            sent = time.time()
            answer = await asyncio.wait_for(client.answer(), EXPIRES_MS / 1000 + 1)
            bench.record(f"{trace}: {answer.start.split()[1]} after {time.time() - sent:.3f} s")


async def send_many(bench: Bench, address: str, prefix: str, count: int) -> None:
    """Send that many requests on a few connections."""
    traces = [f"{prefix}{number}" for number in range(count)]
    await asyncio.gather(*(send(bench, address, traces[first::AT_ONCE]) for first in range(AT_ONCE)))


def find_double_runs(bench: Bench) -> int:
    """Record and count the requests that ran at more than one pod; the rule allows none."""
    runs = defaultdict(list)
    for run in bench.runs():
        if run["event"] == "run":
            runs[run["key"]].append(run)
    doubled = [found for found in runs.values() if len(found) > 1]
    for found in doubled:
        first = found[0]["at"]
        where = ", ".join(f"{run['upstream']} (+{run['at'] - first:.3f} s)" for run in found)
        bench.record(f"{found[0]['key']} RAN {len(found)} times: {where}")
    bench.record(f"{len(runs)} keys ran, {len(doubled)} of them more than once")
    return len(doubled)


async def story(bench: Bench) -> bool:
    """Play the case; return whether the rule was broken."""
    entries = []
    for pod in range(PODS):
        nodes = [(f"pod{pod}-{node}", free_port()) for node in range(NODES_PER_POD)]
        options = ["--runs", bench.runs_path, "--work", WORK, "--window", WINDOW, "--seed", pod]
        options += ["--heavy-share", HEAVY_SHARE, "--heavy-factor", HEAVY_FACTOR]
        bench.standin("upstream.py", *(f"{name}:{port}" for name, port in nodes), *options)
        entries += [{"id": name, "addr": f"127.0.0.1:{port}", "cell": pod} for name, port in nodes]
    listing = bench.folder / "list.json"
    listing.write_text(json.dumps(endpoint_list(entries)))
    discovery, address = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    bench.standin("discovery.py", "--port", discovery.rpartition(":")[2], "--list", listing)
    await asyncio.sleep(0.5)
    config = {"name": "n1", "listen": address, "discovery": discovery, "seed": "1"}
    config |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
    config |= {"known": endpoint_list(entries), "settings": settings()}
    sidecar = bench.sidecar(config)
    await bench.ready(address)
    await send_many(bench, address, "w", WARM_UP)
    if find_double_runs(bench):
        raise NotRunError("a request ran twice before the new configuration")
    changed = copy.deepcopy(config)
    changed["settings"]["caps"]["mostHandOffs"] = 3
    if TROUBLE:
        del changed["settings"]["categories"][1]["dedupScope"]
    path = bench.folder / "n1.json"
    path.with_suffix(".new").write_text(json.dumps(changed))
    path.with_suffix(".new").replace(path)
    sidecar.send_signal(signal.SIGHUP)
    bench.record(f"new configuration, {'without' if TROUBLE else 'with'} dedupScope of expense-entry; SIGHUP")
    await asyncio.sleep(1.5)
    for line in bench.log_of("n1"):
        if str(line.get("event", line.get("ev", ""))).startswith("config"):
            bench.record(f"sidecar: {line}")
    await send_many(bench, address, "r", REQUESTS)
    bench.record_runs()
    return find_double_runs(bench) > 0


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, story))
