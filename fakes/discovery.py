"""Discovery for all sidecars of a trial: calls are answered in turn, watches stay open, both can fail.

Each sidecar has a frontend, an address of its own, so that it is known which one was notified of what, and
when. By the protocol a change counts as notified once it is written, whether or not it arrives, and 6 s after
it was missed. Times are seconds of the running loop's clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import random
from collections import deque
from dataclasses import dataclass, field
from math import inf
from typing import Any

from .http1 import abort
from .loopback import loopback_host

KEEP_ALIVE_INTERVAL = 2.0  # seconds after which an open watch has an empty line
MISSED_CHANGE_TIMEOUT = 6.0  # seconds after which what a sidecar missed counts as notified
# Seconds after which a change counts as notified whose watch was closed instead of a message.
CLOSED_WATCH_TIMEOUT = 1.68
OK_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


class Fault(enum.Enum):
    """What becomes of a message that is being written to a watch."""

    NONE = "none"
    ENDED = "ended"  # half of it, then the end of the connection
    RESET = "reset"  # half of it, then a reset
    STALLED = "stalled"  # half of it, then nothing more
    CLOSED_BEFORE = "instead"  # the end of the connection without any of it


@dataclass(eq=False)
class DiscoveryCall:
    """One call, from its request to the end of its watch."""

    frontend: Frontend
    version: int  # that the sidecar has
    writer: asyncio.StreamWriter
    watching: bool = False
    stalled: bool = False
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, data: bytes) -> None:
        """Write, if the connection is still open."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.write(data)

    def end(self) -> None:
        """Close the connection."""
        self.watching = False
        self.ended.set()


class Frontend:
    """The address that one sidecar calls, and what its present process counts as notified of."""

    def __init__(self, discovery: FakeDiscovery, number: int) -> None:
        """`number`: of the sidecar."""
        self.discovery, self.number = discovery, number
        self.server: asyncio.Server | None = None
        self.address = ""
        self.calls: set[DiscoveryCall] = set()
        self.record_process_start()

    def record_process_start(self) -> None:
        """A new process has started: only what is written to it counts."""
        self.started_at = asyncio.get_running_loop().time()
        for call in self.calls:
            call.end()  # what is still written to the last process does not count for this one
        self.written: list[tuple[float, int]] = []  # when which version was written
        self.stalled_since = inf

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._connected, loopback_host(), 0, backlog=64)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def stop(self) -> None:
        """Stop listening and reset all calls."""
        assert self.server is not None
        self.server.close()
        for call in list(self.calls):
            abort(call.writer)
            call.end()

    def notified_at(self, version: int, made_at: float) -> float:
        """Return when this process counts as notified of a change; that may be in the future."""
        written = min((at for at, written in self.written if written >= version), default=inf)
        missed = max(made_at, self.started_at, self.discovery.up_since) + MISSED_CHANGE_TIMEOUT
        if self.stalled_since < inf:
            missed = min(missed, max(made_at, self.stalled_since + MISSED_CHANGE_TIMEOUT))
        return min(written, missed)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        call = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            known = int(target.rpartition("from=")[2]) if "from=" in target else 0
            call = DiscoveryCall(self, known, writer)
            self.calls.add(call)
            self.discovery.enqueue(call)
            closed = asyncio.ensure_future(reader.read(1))
            ended = asyncio.ensure_future(call.ended.wait())
            await asyncio.wait({closed, ended}, return_when=asyncio.FIRST_COMPLETED)
            closed.cancel()
            ended.cancel()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if call is not None:
                self.calls.discard(call)
                call.end()
            writer.close()


class FakeDiscovery:
    """The service. Its attributes are its state and its faults; a trial sets them as it goes."""

    def __init__(self, rng: random.Random) -> None:
        """An empty list; `rng` is for trials that pick faults by it."""
        self.rng = rng
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.last_changes: dict[str, tuple[int, float]] = {}  # version and time of an entry's last change
        self.frontends: list[Frontend] = []
        self.queue: deque[DiscoveryCall] = deque()
        self.call_queued = asyncio.Event()
        self.up_since = -inf
        self.down = False  # each call ends with 503 after `longest_wait`
        self.calls_per_second = inf
        self.max_wait = 2.0  # seconds after which a waiting call ends with 503
        self.push_delay = 0.05
        self.push_fault = Fault.NONE
        self.worker: asyncio.Task[None] | None = None

    async def start(self, count: int) -> None:
        """Open a frontend for each of so many sidecars."""
        for number in range(count):
            frontend = Frontend(self, number)
            await frontend.start()
            self.frontends.append(frontend)
        self.worker = asyncio.create_task(self._work())

    async def stop(self) -> None:
        """Stop all frontends."""
        if self.worker is not None:
            self.worker.cancel()
        for frontend in self.frontends:
            await frontend.stop()

    # The list.

    def add_entries(self, *entries: dict[str, Any]) -> None:
        """Add entries without a new version, as before the start."""
        self.entries |= {entry["id"]: entry for entry in entries}

    def change(self, *entries: dict[str, Any]) -> None:
        """Make a new version now; it is written to open watches after `push_delay`."""
        loop = asyncio.get_running_loop()
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.last_changes[entry["id"]] = self.version, loop.time()
        for frontend in self.frontends:
            for call in frontend.calls:
                if call.watching:
                    loop.call_later(self.push_delay, self._push, call)

    def message(self, known: int) -> bytes:
        """Encode the changes after a version; 0: the whole list."""
        full = known == 0
        named = [
            entry
            for name, entry in self.entries.items()
            if (full and entry["state"] == "active")
            or (not full and self.last_changes.get(name, (0, 0.0))[0] > known)
        ]
        return json.dumps({"version": self.version, "full": full, "servers": named}).encode() + b"\n"

    # Calls and watches.

    def enqueue(self, call: DiscoveryCall) -> None:
        """Queue a call for its turn."""
        self.queue.append(call)
        self.call_queued.set()
        asyncio.get_running_loop().call_later(self.max_wait, self._time_out, call)

    def _time_out(self, call: DiscoveryCall) -> None:
        if call in self.queue:
            self.queue.remove(call)
            call.write(UNAVAILABLE)
            call.end()

    async def _work(self) -> None:
        while True:
            if not self.queue or self.down:
                self.call_queued.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.call_queued.wait(), 0.02)
                continue
            call = self.queue.popleft()
            if call.ended.is_set():
                continue
            self._answer(call)
            await asyncio.sleep(1 / self.calls_per_second)

    def _answer(self, call: DiscoveryCall) -> None:
        loop = asyncio.get_running_loop()
        call.write(OK_HEAD)
        call.watching = True
        call.frontend.stalled_since = inf
        self._write(call, self.message(call.version), Fault.NONE)
        loop.call_later(KEEP_ALIVE_INTERVAL, self._keep_alive, call)

    def _push(self, call: DiscoveryCall) -> None:
        if call.watching and not call.stalled and call.version < self.version:
            self._write(call, self.message(call.version), self.push_fault)

    def _write(self, call: DiscoveryCall, message: bytes, fault: Fault) -> None:
        call.version = self.version
        later = CLOSED_WATCH_TIMEOUT if fault is Fault.CLOSED_BEFORE else 0.0
        call.frontend.written.append((asyncio.get_running_loop().time() + later, self.version))
        chunk = b"%x\r\n%s\r\n" % (len(message), message)
        if fault is Fault.NONE:
            call.write(chunk)
            return
        if fault is not Fault.CLOSED_BEFORE:
            call.write(chunk[: len(chunk) // 2])
        if fault is Fault.STALLED:
            call.stalled = True
            call.frontend.stalled_since = asyncio.get_running_loop().time()
            return
        if fault is Fault.RESET:
            # What was written before goes first: the kernel drops what is unread at a reset.
            asyncio.get_running_loop().call_later(0.02, abort, call.writer)
            call.watching = False
            return
        call.end()

    def _keep_alive(self, call: DiscoveryCall) -> None:
        if call.watching and not call.stalled and not call.ended.is_set():
            call.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(KEEP_ALIVE_INTERVAL, self._keep_alive, call)

    # Faults.

    def stall_watches(self) -> None:
        """Write nothing more to the open watches; calls that come later are served."""
        now = asyncio.get_running_loop().time()
        for frontend in self.frontends:
            for call in frontend.calls:
                if call.watching and not call.stalled:
                    call.stalled = True
                    frontend.stalled_since = now

    def reset_watches(self) -> None:
        """Reset all open watches."""
        for frontend in self.frontends:
            for call in list(frontend.calls):
                if call.watching:
                    abort(call.writer)
                    call.end()

    def take_down(self) -> None:
        """Reset the watches and answer no call until `come_up`."""
        self.down = True
        self.reset_watches()

    def bring_up(self) -> None:
        """Answer calls again."""
        self.down = False
        self.up_since = asyncio.get_running_loop().time()
        self.call_queued.set()
