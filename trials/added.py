"""Latency and CPU time that a sidecar adds, by pairs of the same call with and without it.

Fake endpoints run in one process and a sidecar in another; eight clients run as threads of this process,
with short random pauses between their calls.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import json
import os
import random
import re
import select
import socket
import subprocess
import sys
import tempfile
import threading
import time
import zlib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from fakes.endpoint_list import EndpointListServer
from fakes.loopback import free_address, loopback_host

from .processes import READY_TIMEOUT, cpu_time, set_parent_death_signal
from .rig import CAPS, CATEGORIES, MEMORY_FOLDER, ROOT
from .verdict import TrialResult

CLIENTS = 8
RATES = (50.0, 100.0, 200.0, 400.0)  # pairs of calls a second
DURATION = 8.0  # seconds at each rate
WARM_UP = 1.5  # seconds at the start of each rate, while connections are opened: not counted
HEADER_END = b"\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfine"
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
TRACE_ID = re.compile(rb"x-trace-id: *(\S+)", re.IGNORECASE)
COLUMNS = "rate", "pairs", "failed", "direct 50", "90", "99", "added 50", "90", "99", "cpu ms", "connections"


# The fake endpoints: one process without a framework, whose overhead is small and the same for both calls.


def service_time(request: bytes, service: float) -> float:
    """Return the service time of a request in seconds.

    The time is drawn by the trace id, so that both calls of a pair take the same time.
    """
    if not service:
        return 0.0
    match = TRACE_ID.search(request)
    rng = random.Random(zlib.crc32(match.group(1).rstrip(b"+") if match else b""))
    return service * rng.lognormvariate(0, 0.4)


def serve_endpoints(count: int, service: float) -> None:
    """Serve GET requests on `count` loopback ports, after printing their addresses as a line of JSON."""
    listeners = {}
    for _ in range(count):
        listener = socket.create_server((loopback_host(), 0), backlog=512)
        listener.setblocking(False)
        listeners[listener.fileno()] = listener
    print(
        json.dumps(["{}:{}".format(*listener.getsockname()) for listener in listeners.values()]), flush=True
    )
    connections_by_fd: dict[int, socket.socket] = {}
    buffers: dict[int, bytes] = {}
    pending: list[tuple[float, int]] = []
    while True:
        wait = max(0.0, pending[0][0] - time.monotonic()) if pending else None
        # `select` waits with microsecond resolution; `epoll` rounds its timeout up to milliseconds.
        for fd in select.select([*listeners, *connections_by_fd], [], [], wait)[0]:
            if fd in listeners:
                with contextlib.suppress(OSError):
                    sock = listeners[fd].accept()[0]
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    connections_by_fd[sock.fileno()] = sock
                continue
            data = b""
            with contextlib.suppress(OSError):
                data = connections_by_fd[fd].recv(65536)
            if not data:
                connections_by_fd.pop(fd).close()
                buffers.pop(fd, None)
                pending = [(at, other) for at, other in pending if other != fd]
                heapq.heapify(pending)
                continue
            buffers[fd] = buffers.get(fd, b"") + data
            if buffers[fd].endswith(HEADER_END):
                heapq.heappush(pending, (time.monotonic() + service_time(buffers.pop(fd), service), fd))
        while pending and pending[0][0] <= time.monotonic():
            with contextlib.suppress(OSError):
                connections_by_fd[heapq.heappop(pending)[1]].sendall(RESPONSE)


# The clients.


class PersistentConnection:
    """A client connection that is reused for several calls."""

    def __init__(self, address: str) -> None:
        """Create the client without connecting."""
        self.address = address
        self.sock: socket.socket | None = None

    def connect(self) -> None:
        """Connect to the address; raises `OSError` on failure."""
        host, _, port = self.address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=5.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close_if_ended(self) -> None:
        """Close the connection if the other side has closed it, as a sidecar does with an idle one."""
        if self.sock is not None and select.select([self.sock], [], [], 0)[0]:
            self.close()

    def call(self, trace: str) -> float | None:
        """Make a call and return the seconds until its response was complete, or None if it failed.

        The time to connect is not included.
        """
        lines = ["GET /look/1 HTTP/1.1", "Host: a", f"X-Trace-Id: {trace}"]
        lines += ["X-Qos: look", "X-Expires-In-Ms: 2000"]
        request = "\r\n".join([*lines, "", ""])
        try:
            if self.sock is None:
                self.connect()
            started_at = time.perf_counter()
            self.sock.sendall(request.encode())
            response = b""
            while HEADER_END not in response:
                response += self._receive()
            head, _, body = response.partition(HEADER_END)
            length = CONTENT_LENGTH.search(head)
            while length and len(body) < int(length.group(1)):
                body += self._receive()
            latency = time.perf_counter() - started_at
            if b"connection: close" in head.lower():
                self.close()
            return latency if b" 200 " in head[:13] else None
        except OSError:
            self.close()
            return None

    def _receive(self) -> bytes:
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError
        return data

    def close(self) -> None:
        """Close the connection if it is open."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def run_client(
    name: str, sidecar: str, direct: list[str], rate: float, until: float, since: float, pairs: list[Any]
) -> None:
    """Make pairs of calls at random times until `until`, and append those from `since` on to `pairs`.

    The calls of a pair are made in random order and appended as latencies: direct, through the sidecar.
    """
    rng = random.Random(name)
    through_sidecar = PersistentConnection(sidecar)
    direct_connections = [PersistentConnection(address) for address in direct]
    at, number = time.monotonic() + rng.expovariate(rate), 0
    while max(at, time.monotonic()) < until:
        time.sleep(max(0.0, at - time.monotonic()))
        endpoint = rng.choice(direct_connections)
        trace, number = f"{name}-{number}", number + 1
        recorded, latencies = time.monotonic() >= since, {}
        # The service time ignores the + that sets the direct call's trace id apart.
        calls = [(through_sidecar, trace), (endpoint, trace + "+")]
        for connection, trace_id in rng.sample(calls, 2):
            connection.close_if_ended()
            if connection.sock is None:
                with contextlib.suppress(OSError):
                    connection.connect()
            latencies[connection is through_sidecar] = connection.call(trace_id)
        if recorded:
            pairs.append((latencies[False], latencies[True]))
        at += rng.expovariate(rate)
    for connection in (through_sidecar, *direct_connections):
        connection.close()


# The trial.


def quantiles(values: Sequence[float]) -> list[float]:
    """Return the 50th, 90th and 99th percentile of values in seconds, in milliseconds."""
    ordered = sorted(values) or [0.0]
    return [1000 * ordered[min(len(ordered) - 1, len(ordered) * percent // 100)] for percent in (50, 90, 99)]


def start_python(command: list[str], **options: Any) -> subprocess.Popen[bytes]:  # noqa: ANN401  # Popen's
    """Start Python with these arguments in a process that ends with this one."""
    return subprocess.Popen(
        [sys.executable, "-B", *command],
        stdin=subprocess.DEVNULL,
        preexec_fn=set_parent_death_signal,
        **options,
    )


async def wait_until_ready(address: str, log: Path) -> None:
    """Wait until the sidecar accepts requests; raises `RuntimeError` after READY_TIMEOUT."""
    until = time.monotonic() + READY_TIMEOUT
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address.split(":"))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            response = await reader.read()
            writer.close()
            if b" 200 " in response[:13]:
                return
        await asyncio.sleep(0.05)
    raise RuntimeError(f"the sidecar is not ready: {log.read_text()[-2000:]}")


async def measure_rate(
    seed: int, rate: float, seconds: float, sidecar: subprocess.Popen[bytes], address: str, direct: list[str]
) -> tuple[list[Any], float]:
    """Return the latencies of the pairs at one rate, and the sidecar's CPU time per call in seconds.

    A pair is the latencies of the direct call and of the call through the sidecar; None: it failed.
    """
    pairs: list[Any] = []
    now = time.monotonic()
    threads = [
        threading.Thread(
            target=run_client,
            args=(
                f"{seed}-{rate}-{number}", address, direct, rate / CLIENTS, now + seconds,
                now + WARM_UP, pairs,
            ),
            daemon=True,
        )
        for number in range(CLIENTS)
    ]  # fmt: skip
    for thread in threads:
        thread.start()
    await asyncio.sleep(max(0.0, now + WARM_UP - time.monotonic()))
    cpu_before, counted_pairs = cpu_time(sidecar.pid), len(pairs)
    await asyncio.sleep(max(0.0, now + seconds - time.monotonic()))
    cpu_per_call = (cpu_time(sidecar.pid) - cpu_before) / max(1, len(pairs) - counted_pairs)
    for thread in threads:
        await asyncio.to_thread(thread.join)
    return pairs, cpu_per_call


def count_connections(process: subprocess.Popen[bytes], addresses: list[str]) -> int:
    """Return the number of established connections from a process to the endpoints."""
    ports = {int(a.rpartition(":")[2]) for a in addresses}
    inodes = set()
    for entry in Path(f"/proc/{process.pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(entry))
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    established = [line for line in lines if f"socket:[{line[9]}]" in inodes and line[3] == "01"]
    return sum(int(line[2].rpartition(":")[2], 16) in ports for line in established)


async def run_trial(
    seed: int,
    sidecars: int = 1,
    root: Path = ROOT,
    fleet: bool = False,
    rates: Sequence[float] = RATES,
    count: int = 50,
    service: float = 0.0,
    seconds: float = DURATION,
    command: Sequence[str] = ("-m", "starlingwheel"),
) -> TrialResult:
    """Print a row of milliseconds for each rate: latencies, and the sidecar's CPU time per call.

    It is a violation if more than one pair in a hundred has no response.

    `count`: of endpoints. `service`: their mean service time in seconds; 0: they answer at once. `command`:
    another way to start the program, such as under a profiler. There is one sidecar without a fleet, whatever
    `sidecars` and `fleet` say.
    """
    result = TrialResult()
    with tempfile.TemporaryDirectory(prefix="added-", dir=MEMORY_FOLDER) as name:
        folder = Path(name)
        endpoints = start_python(
            ["-m", "trials.added", str(count), str(service)], cwd=ROOT, stdout=subprocess.PIPE
        )
        sidecar = None
        endpoint_list = EndpointListServer(lambda: servers)
        try:
            direct = json.loads(await asyncio.to_thread(endpoints.stdout.readline))
            servers = [
                {"id": f"u{i}", "addr": address, "zone": "here", "state": "active"}
                for i, address in enumerate(direct)
            ]
            await endpoint_list.server.start()
            address = free_address()
            config = _configuration(seed, address, endpoint_list.server.address, servers)
            (folder / "config.json").write_text(json.dumps(config))
            with (folder / "log").open("ab") as log:
                environment = os.environ | {"EDGE_CONFIG": str(folder / "config.json")}
                sidecar = start_python(list(command), cwd=root, stdout=log, stderr=log, env=environment)
            await wait_until_ready(address, folder / "log")
            print("  ".join(f"{name:>9}" for name in COLUMNS))
            for rate in rates:
                pairs, cpu_per_call = await measure_rate(seed, rate, seconds, sidecar, address, direct)
                _report(result, rate, pairs, cpu_per_call, count_connections(sidecar, direct))
        finally:
            for process in (sidecar, endpoints):
                if process is not None:
                    await _stop(process)
            await endpoint_list.server.stop()
    return result


def _configuration(seed: int, address: str, discovery: str, servers: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "name": "added",
        "listen": address,
        "discovery": discovery,
        "limits": {"memory_mb": 192},
        "seed": str(seed),
        "known": {"version": 0, "full": True, "servers": servers},
        "settings": {
            "categories": CATEGORIES, "caps": CAPS, "rules": {"mustAskIn": 8_000_000},
            "discovery": "ask", "locality": "here", "replicasOfMe": 1, "slotNo": 0,
        },
    }  # fmt: skip


def _report(
    result: TrialResult, rate: float, pairs: list[Any], cpu_per_call: float, connections: int
) -> None:
    """Print the row of a rate and add its figures to the result. `cpu_per_call`: seconds."""
    complete = [(direct, through) for direct, through in pairs if direct is not None and through is not None]
    failed = len(pairs) - len(complete)
    if not complete or failed > len(pairs) / 100:
        result.violations.append(f"at {rate:.0f} a second {failed} of {len(pairs)} pairs failed")
    direct_quantiles = quantiles([direct for direct, _ in complete])
    added_quantiles = quantiles([through - direct for direct, through in complete])
    row = [*direct_quantiles, *added_quantiles, cpu_per_call * 1000]
    counts = [f"{rate:.0f}", str(len(pairs)), str(failed)]
    figures = [*counts, *(f"{v:.2f}" for v in row), str(connections)]
    widths = [max(9, len(name)) for name in COLUMNS]
    print("  ".join(f"{text:>{w}}" for text, w in zip(figures, widths, strict=True)), flush=True)
    for name, value in zip(("50", "90", "99"), added_quantiles, strict=True):
        result.counts[f"{rate:.0f} a second, added {name} in 100, us"] = round(value * 1000)
    result.counts[f"{rate:.0f} a second, processor time a call, us"] = round(cpu_per_call * 1e6)


async def _stop(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    with contextlib.suppress(subprocess.TimeoutExpired):
        await asyncio.to_thread(process.wait, 5.0)
    process.kill()
    process.wait()


if __name__ == "__main__":
    serve_endpoints(int(sys.argv[1]), float(sys.argv[2]))
