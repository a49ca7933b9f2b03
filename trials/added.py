"""What a sidecar adds to a call: the same calls with and without it, in pairs, and its processor time.

Fake endpoints run in one process, a sidecar in another, and here eight clients with short random pauses.
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

from .processes import cpu_time, set_parent_death_signal
from .rig import CAPS, CATEGORIES, MEMORY_FOLDER, READY_TIMEOUT, ROOT
from .verdict import TrialResult

CLIENTS = 8
RATES = (50.0, 100.0, 200.0, 400.0)  # pairs of calls a second
SECONDS = 8.0  # at each rate
FIRST = 1.5  # seconds of these in which connections are opened: not counted
ENDING = b"\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfine"
LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
TRACE = re.compile(rb"x-trace-id: *(\S+)", re.IGNORECASE)
HEADS = "rate", "pairs", "failed", "direct 50", "90", "99", "added 50", "90", "99", "cpu ms", "connections"


# The fake endpoints: one process, no framework, so that what they add is small and the same for both.


def service_time(request: bytes, service: float) -> float:
    """Return the seconds that a request takes: by its trace id, so both calls of a pair take the same."""
    if not service:
        return 0.0
    name = TRACE.search(request)
    rng = random.Random(zlib.crc32(name.group(1).rstrip(b"+") if name else b""))
    return service * rng.lognormvariate(0, 0.4)


def upstreams(count: int, service: float) -> None:
    """Serve GET requests at so many ports of loopback; the first line out is their addresses."""
    listeners = {}
    for _ in range(count):
        listener = socket.create_server((loopback_host(), 0), backlog=512)
        listener.setblocking(False)
        listeners[listener.fileno()] = listener
    print(json.dumps(["{}:{}".format(*one.getsockname()) for one in listeners.values()]), flush=True)
    open_: dict[int, socket.socket] = {}
    got: dict[int, bytes] = {}
    due: list[tuple[float, int]] = []
    while True:
        wait = max(0.0, due[0][0] - time.monotonic()) if due else None
        # Microseconds count: what epoll waits is rounded up to milliseconds.
        for fd in select.select([*listeners, *open_], [], [], wait)[0]:
            if fd in listeners:
                with contextlib.suppress(OSError):
                    sock = listeners[fd].accept()[0]
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    open_[sock.fileno()] = sock
                continue
            data = b""
            with contextlib.suppress(OSError):
                data = open_[fd].recv(65536)
            if not data:
                open_.pop(fd).close()
                got.pop(fd, None)
                due = [(at, one) for at, one in due if one != fd]
                heapq.heapify(due)
                continue
            got[fd] = got.get(fd, b"") + data
            if got[fd].endswith(ENDING):
                heapq.heappush(due, (time.monotonic() + service_time(got.pop(fd), service), fd))
        while due and due[0][0] <= time.monotonic():
            with contextlib.suppress(OSError):
                open_[heapq.heappop(due)[1]].sendall(ANSWER)


# The clients.


class PersistentConnection:
    """A connection that is used again, and calls over it."""

    def __init__(self, address: str) -> None:
        """Not connected yet."""
        self.address = address
        self.sock: socket.socket | None = None

    def connect(self) -> None:
        """Connect; raises OSError."""
        host, _, port = self.address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=5.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close_if_ended(self) -> None:
        """Close a connection that the other side has ended, as a sidecar does with an idle one."""
        if self.sock is not None and select.select([self.sock], [], [], 0)[0]:
            self.close()

    def call(self, trace: str) -> float | None:
        """Return the seconds until the response was complete, without those to connect; None: it failed."""
        lines = ["GET /look/1 HTTP/1.1", "Host: a", f"X-Trace-Id: {trace}"]
        lines += ["X-Qos: look", "X-Expires-In-Ms: 2000"]
        text = "\r\n".join([*lines, "", ""])
        try:
            if self.sock is None:
                self.connect()
            begun = time.perf_counter()
            self.sock.sendall(text.encode())
            answer = b""
            while ENDING not in answer:
                answer += self._more()
            head, _, body = answer.partition(ENDING)
            length = LENGTH.search(head)
            while length and len(body) < int(length.group(1)):
                body += self._more()
            took = time.perf_counter() - begun
            if b"connection: close" in head.lower():
                self.close()
            return took if b" 200 " in head[:13] else None
        except OSError:
            self.close()
            return None

    def _more(self) -> bytes:
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError
        return data

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def client(
    name: str, sidecar: str, direct: list[str], rate: float, until: float, since: float, pairs: list[Any]
) -> None:
    """Make pairs of calls at random times until `until`, in random order; recorded from `since` on."""
    rng = random.Random(name)
    through, to = PersistentConnection(sidecar), [PersistentConnection(address) for address in direct]
    at, number = time.monotonic() + rng.expovariate(rate), 0
    while max(at, time.monotonic()) < until:
        time.sleep(max(0.0, at - time.monotonic()))
        one = rng.choice(to)
        trace, number = f"{name}-{number}", number + 1
        recorded, took = time.monotonic() >= since, {}
        # The last character of the direct call's trace id does not count for the time that it takes.
        calls = [(through, trace), (one, trace + "+")]
        for connection, its_trace in rng.sample(calls, 2):
            connection.close_if_ended()
            if connection.sock is None:
                with contextlib.suppress(OSError):
                    connection.connect()
            took[connection is through] = connection.call(its_trace)
        if recorded:
            pairs.append((took[False], took[True]))
        at += rng.expovariate(rate)
    for connection in (through, *to):
        connection.close()


# The trial.


def quantiles(values: Sequence[float]) -> list[float]:
    """Return the 50th, 90th and 99th percentile, milliseconds."""
    ordered = sorted(values) or [0.0]
    return [1000 * ordered[min(len(ordered) - 1, len(ordered) * part // 100)] for part in (50, 90, 99)]


def start_python(command: list[str], **more: Any) -> subprocess.Popen[bytes]:  # noqa: ANN401  # Popen's
    """Start Python with these arguments; it ends with this process."""
    return subprocess.Popen(
        [sys.executable, "-B", *command], stdin=subprocess.DEVNULL, preexec_fn=set_parent_death_signal, **more
    )


async def wait_until_ready(address: str, log: Path) -> None:
    """Wait until the sidecar accepts requests; raises `RuntimeError` where it does not."""
    until = time.monotonic() + READY_TIMEOUT
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address.split(":"))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
            if b" 200 " in answer[:13]:
                return
        await asyncio.sleep(0.05)
    raise RuntimeError(f"the sidecar is not ready: {log.read_text()[-2000:]}")


async def measured(
    seed: int, rate: float, seconds: float, sidecar: subprocess.Popen[bytes], address: str, direct: list[str]
) -> tuple[list[Any], float]:
    """Return the pairs at one rate, and the sidecar's processor time for each of its calls, seconds."""
    pairs: list[Any] = []
    now = time.monotonic()
    threads = [
        threading.Thread(
            target=client,
            args=(
                f"{seed}-{rate}-{number}", address, direct, rate / CLIENTS, now + seconds, now + FIRST, pairs,
            ),
            daemon=True,
        )
        for number in range(CLIENTS)
    ]  # fmt: skip
    for thread in threads:
        thread.start()
    await asyncio.sleep(max(0.0, now + FIRST - time.monotonic()))
    before, counted = cpu_time(sidecar.pid), len(pairs)
    await asyncio.sleep(max(0.0, now + seconds - time.monotonic()))
    cost = (cpu_time(sidecar.pid) - before) / max(1, len(pairs) - counted)
    for thread in threads:
        await asyncio.to_thread(thread.join)
    return pairs, cost


def open_to(process: subprocess.Popen[bytes], addresses: list[str]) -> int:
    """Return the number of established connections of a process to endpoints."""
    ports = {int(a.rpartition(":")[2]) for a in addresses}
    inodes = set()
    for entry in Path(f"/proc/{process.pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(entry))
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    ours = [line for line in lines if f"socket:[{line[9]}]" in inodes and line[3] == "01"]
    return sum(int(line[2].rpartition(":")[2], 16) in ports for line in ours)


async def run_trial(
    seed: int,
    sidecars: int = 1,
    root: Path = ROOT,
    fleet: bool = False,
    rates: Sequence[float] = RATES,
    count: int = 50,
    service: float = 0.0,
    seconds: float = SECONDS,
    command: Sequence[str] = ("-m", "starlingwheel"),
) -> TrialResult:
    """Print a row for each rate; milliseconds, also of the sidecar's processor time for each of its calls.

    A broken promise: more than one pair in a hundred has no answer.

    `service`: seconds that an endpoint takes, on the mean; 0: it answers at once. `command`: another way to
    start the program, as under a profiler. One sidecar is played, whatever `sidecars` and `fleet` say.
    """
    result = TrialResult()
    with tempfile.TemporaryDirectory(prefix="added-", dir=MEMORY_FOLDER) as name:
        folder = Path(name)
        endpoints = start_python(
            ["-m", "trials.added", str(count), str(service)], cwd=ROOT, stdout=subprocess.PIPE
        )
        sidecar = None
        listing = EndpointListServer(lambda: servers)
        try:
            direct = json.loads(await asyncio.to_thread(endpoints.stdout.readline))
            servers = [
                {"id": f"u{i}", "addr": address, "zone": "here", "state": "active"}
                for i, address in enumerate(direct)
            ]
            await listing.server.start()
            address = free_address()
            config = _configuration(seed, address, listing.server.address, servers)
            (folder / "config.json").write_text(json.dumps(config))
            with (folder / "log").open("ab") as log:
                environment = os.environ | {"EDGE_CONFIG": str(folder / "config.json")}
                sidecar = start_python(list(command), cwd=root, stdout=log, stderr=log, env=environment)
            await wait_until_ready(address, folder / "log")
            print("  ".join(f"{name:>9}" for name in HEADS))
            for rate in rates:
                pairs, cost = await measured(seed, rate, seconds, sidecar, address, direct)
                _report(result, rate, pairs, cost, open_to(sidecar, direct))
        finally:
            for process in (sidecar, endpoints):
                if process is not None:
                    await _end(process)
            await listing.server.stop()
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


def _report(result: TrialResult, rate: float, pairs: list[Any], cost: float, connections: int) -> None:
    """Print the row of a rate and add its figures to the verdict. `cost`: processor time a call, seconds."""
    complete = [(direct, through) for direct, through in pairs if direct is not None and through is not None]
    failed = len(pairs) - len(complete)
    if not complete or failed > len(pairs) / 100:
        result.violations.append(f"at {rate:.0f} a second {failed} of {len(pairs)} pairs failed")
    alone = quantiles([direct for direct, _ in complete])
    added = quantiles([through - direct for direct, through in complete])
    row = [*alone, *added, cost * 1000]
    counts = [f"{rate:.0f}", str(len(pairs)), str(failed)]
    figures = [*counts, *(f"{v:.2f}" for v in row), str(connections)]
    widths = [max(9, len(name)) for name in HEADS]
    print("  ".join(f"{text:>{w}}" for text, w in zip(figures, widths, strict=True)), flush=True)
    for name, value in zip(("50", "90", "99"), added, strict=True):
        result.counts[f"{rate:.0f} a second, added {name} in 100, us"] = round(value * 1000)
    result.counts[f"{rate:.0f} a second, processor time a call, us"] = round(cost * 1e6)


async def _end(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    with contextlib.suppress(subprocess.TimeoutExpired):
        await asyncio.to_thread(process.wait, 5.0)
    process.kill()
    process.wait()


if __name__ == "__main__":
    upstreams(int(sys.argv[1]), float(sys.argv[2]))
