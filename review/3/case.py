"""An upstream falls silent while long requests are on their way: each request has to get a final answer."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from bench import TROUBLE, Bench, Client, EndOfStreamError, NotRunError, endpoint_list, free_port, main

UPSTREAMS = 5
SILENT = 1  # of the upstreams: 20%
SILENT_FOR = 6.0  # seconds
BODY = 6 * 2**20  # bytes
REQUESTS = 30
AT_ONCE = 6
EXPIRES_MS = 2000
SLACK = 0.5  # seconds after its time up to which a late answer only earns nothing
PATIENCE = 1.5  # further seconds for which the client stays, to see whether an answer comes at all


def settings() -> dict[str, object]:
    """Return the settings: the classes, limits and rules of the first deployment's brief."""
    lookup = {"name": "lookup", "effect": "free", "dueTime": 1000000, "expiry": 2000000, "payoff": 1.0}
    enrol = {"name": "enrol", "effect": "single_shot", "dueTime": 800000, "expiry": 2000000, "payoff": 8.0}
    caps = {"mostHandOffs": 3, "cancel": True, "mayDuplicate": True, "probing": False, "peers": False}
    caps |= {"connectTimeout": 250000, "keepalive": 5000000, "streamsPerConn": 1}
    caps |= {"retryAfter": True, "maxRetryAfter": 1500000}
    rules = {"mustAskIn": 10000000, "drainGrace": 500000, "coldShare": 0.31, "cold": 8200000}
    rules |= {"fallMultiple": 3.0, "overloadFor": 3000000}
    place = {"discovery": "ask", "locality": "a", "zones": ["a"], "replicasOfMe": 1, "slotNo": 0}
    return {"categories": [lookup, enrol], "caps": caps, "rules": rules, **place}


async def request(bench: Bench, address: str, trace: str) -> bool:
    """Send one long request; return whether it was answered in time, or not taken at all."""
    async with Client(address) as client:
        head = (
            "POST /enrol HTTP/1.1\r\nHost: backend.local\r\nX-Qos: enrol\r\n"
            f"X-Trace-Id: {trace}\r\nX-Expires-In-Ms: {EXPIRES_MS}\r\nContent-Length: {BODY}\r\n\r\n"
        )
        client.writer.transport.set_write_buffer_limits(high=0)
        client.writer.write(head.encode())
        body = os.urandom(2**16)
        began = time.time()
        try:
            for _ in range(BODY // len(body)):
                client.writer.write(body)
                await asyncio.wait_for(client.writer.drain(), 4)  # until the system has taken every byte
        except TimeoutError:
            bench.record(f"{trace}: its last byte could not be written, so it was not taken")
            return True
        written = time.time()
        limit = EXPIRES_MS / 1000 + SLACK
        sent = f"{trace}: {BODY} bytes sent, the last {written - began:.3f} s after the first"
        try:
            answer = await asyncio.wait_for(client.answer(), limit + PATIENCE)
        except TimeoutError:
            bench.record(f"{sent}; NO ANSWER {time.time() - written:.3f} s after the last byte")
            return False
        except (EndOfStreamError, OSError) as error:
            bench.record(f"{sent}; the connection ended without an answer: {error!r}")
            return False
        took = time.time() - written
        bench.record(f"{sent}; {answer.start.split()[1]} {took:.3f} s after it")
        return took <= limit


async def wake(bench: Bench, silent: list[subprocess.Popen[bytes]]) -> None:
    """End the silence."""
    if silent:
        await asyncio.sleep(SILENT_FOR)
        for upstream in silent:
            upstream.send_signal(signal.SIGCONT)
        bench.record(f"the silence ends after {SILENT_FOR} s")


async def story(bench: Bench) -> bool:
    """Play the case; return whether the rule was broken."""
    ports = [free_port() for _ in range(UPSTREAMS)]
    upstreams = [
        bench.standin("upstream.py", f"u{i}:{port}", "--runs", bench.runs_path)
        for i, port in enumerate(ports)
    ]
    entries = [{"id": f"u{i}", "addr": f"127.0.0.1:{port}"} for i, port in enumerate(ports)]
    listing = bench.folder / "list.json"
    listing.write_text(json.dumps(endpoint_list(entries)))
    discovery, address = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    bench.standin("discovery.py", "--port", discovery.rpartition(":")[2], "--list", listing)
    await asyncio.sleep(0.5)
    config = {"name": "n1", "listen": address, "discovery": discovery, "seed": "1"}
    config |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
    bench.sidecar(config | {"known": endpoint_list(entries), "settings": settings()})
    await bench.ready(address)
    if not await request(bench, address, "before"):
        raise NotRunError("no answer before the disruption")
    silent = upstreams[:SILENT] if TROUBLE else []
    for upstream in silent:
        upstream.send_signal(signal.SIGSTOP)
        bench.record(f"u{upstreams.index(upstream)} falls silent")
    waking = asyncio.ensure_future(wake(bench, silent))
    sent_until, results = time.time() + SILENT_FOR - EXPIRES_MS / 1000 - SLACK - PATIENCE, []
    for first in range(0, REQUESTS, AT_ONCE):
        traces = [f"r{number}" for number in range(first, first + AT_ONCE)]
        results += await asyncio.gather(*(request(bench, address, trace) for trace in traces))
        if not all(results) or time.time() > sent_until:
            break
    await waking
    await asyncio.sleep(0.5)
    bench.record_runs()
    bench.record(f"{results.count(False)} of {len(results)} requests lost")
    return not all(results)


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, story))
