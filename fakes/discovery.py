"""A fake discovery service for all sidecars of a trial, with injectable faults of calls and watches.

Each sidecar has a frontend, which is an address of its own, so that each notification can be attributed to a
sidecar and a time. By the protocol, a sidecar counts as notified of a change when the change is written to
it, whether or not it arrives, and otherwise 6 s after it missed the change. Calls are answered one at a time,
in order of arrival. Times are seconds of the running loop's clock.
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

KEEP_ALIVE_INTERVAL = 2.0  # seconds between the empty lines on an open watch
MISSED_CHANGE_TIMEOUT = 6.0  # seconds after which a sidecar counts as notified of a change it missed
# Seconds after which a sidecar counts as notified if its watch was closed instead of sending the change.
CLOSED_WATCH_TIMEOUT = 1.68
OK_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


class Fault(enum.Enum):
    """How writing a message to a watch fails."""

    NONE = "none"
    ENDED = "ended"  # half of the message, then the connection is closed
    RESET = "reset"  # half of the message, then the connection is reset
    STALLED = "stalled"  # half of the message, then nothing, with the connection left open
    CLOSED_BEFORE = "instead"  # the connection is closed instead of sending the message


@dataclass(eq=False)
class DiscoveryCall:
    """One call, from its request to the end of its watch."""

    frontend: Frontend
    version: int  # the latest version that the sidecar has
    writer: asyncio.StreamWriter
    watching: bool = False
    stalled: bool = False
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, data: bytes) -> None:
        """Write data if the connection is still open."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.write(data)

    def close(self) -> None:
        """Stop the watch and have the connection closed."""
        self.watching = False
        self.ended.set()


class Frontend:
    """The address that one sidecar calls, with a record of what its current process was notified of."""

    def __init__(self, discovery: FakeDiscovery, number: int) -> None:
        """Create the frontend of the sidecar with that number."""
        self.discovery, self.number = discovery, number
        self.server: asyncio.Server | None = None
        self.address = ""
        self.calls: set[DiscoveryCall] = set()
        self.record_process_start()

    def record_process_start(self) -> None:
        """Record that a new process has started; only what is written to this process counts."""
        self.started_at = asyncio.get_running_loop().time()
        for call in self.calls:
            call.close()  # what is still written to the previous process does not count for this one
        self.writes: list[tuple[float, int]] = []  # time and version of each write
        self.stalled_since = inf

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._handle_connection, loopback_host(), 0, backlog=64)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def stop(self) -> None:
        """Stop listening and reset all calls."""
        assert self.server is not None
        self.server.close()
        for call in list(self.calls):
            abort(call.writer)
            call.close()

    def notified_at(self, version: int, made_at: float) -> float:
        """Return when this process counts as notified of a change, which may be in the future."""
        written_at = min((at for at, written in self.writes if written >= version), default=inf)
        missed_at = max(made_at, self.started_at, self.discovery.up_since) + MISSED_CHANGE_TIMEOUT
        if self.stalled_since < inf:
            missed_at = min(missed_at, max(made_at, self.stalled_since + MISSED_CHANGE_TIMEOUT))
        return min(written_at, missed_at)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        call = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            known_version = int(target.rpartition("from=")[2]) if "from=" in target else 0
            call = DiscoveryCall(self, known_version, writer)
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
                call.close()
            writer.close()


class FakeDiscovery:
    """The discovery service. Trials set its attributes to inject faults."""

    def __init__(self, rng: random.Random) -> None:
        """Create a service with an empty list. `rng`: for trials that pick faults at random."""
        self.rng = rng
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.last_changes: dict[str, tuple[int, float]] = {}  # version and time by entry
        self.frontends: list[Frontend] = []
        self.queue: deque[DiscoveryCall] = deque()
        self.call_queued = asyncio.Event()
        self.up_since = -inf
        self.down = False  # each call ends with 503 after `max_wait`
        self.calls_per_second = inf
        self.max_wait = 2.0  # seconds after which a waiting call ends with 503
        self.push_delay = 0.05
        self.push_fault = Fault.NONE
        self.worker: asyncio.Task[None] | None = None

    async def start(self, count: int) -> None:
        """Open a frontend for each of `count` sidecars."""
        for number in range(count):
            frontend = Frontend(self, number)
            await frontend.start()
            self.frontends.append(frontend)
        self.worker = asyncio.create_task(self._answer_calls())

    async def stop(self) -> None:
        """Stop all frontends."""
        if self.worker is not None:
            self.worker.cancel()
        for frontend in self.frontends:
            await frontend.stop()

    # The list.

    def add_entries(self, *entries: dict[str, Any]) -> None:
        """Add entries without a new version, for the list at the start."""
        self.entries |= {entry["id"]: entry for entry in entries}

    def change(self, *entries: dict[str, Any]) -> None:
        """Create a new version with these entries; it is written to open watches after `push_delay`."""
        loop = asyncio.get_running_loop()
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.last_changes[entry["id"]] = self.version, loop.time()
        for frontend in self.frontends:
            for call in frontend.calls:
                if call.watching:
                    loop.call_later(self.push_delay, self._push, call)

    def encode_changes(self, known_version: int) -> bytes:
        """Encode the changes after a version, or the whole list for version 0."""
        full = known_version == 0
        entries = [
            entry
            for name, entry in self.entries.items()
            if (full and entry["state"] == "active")
            or (not full and self.last_changes.get(name, (0, 0.0))[0] > known_version)
        ]
        return json.dumps({"version": self.version, "full": full, "servers": entries}).encode() + b"\n"

    # Calls and watches.

    def enqueue(self, call: DiscoveryCall) -> None:
        """Queue a call to be answered in order."""
        self.queue.append(call)
        self.call_queued.set()
        asyncio.get_running_loop().call_later(self.max_wait, self._time_out, call)

    def _time_out(self, call: DiscoveryCall) -> None:
        if call in self.queue:
            self.queue.remove(call)
            call.write(UNAVAILABLE)
            call.close()

    async def _answer_calls(self) -> None:
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
        self._write(call, self.encode_changes(call.version), Fault.NONE)
        loop.call_later(KEEP_ALIVE_INTERVAL, self._keep_alive, call)

    def _push(self, call: DiscoveryCall) -> None:
        if call.watching and not call.stalled and call.version < self.version:
            self._write(call, self.encode_changes(call.version), self.push_fault)

    def _write(self, call: DiscoveryCall, message: bytes, fault: Fault) -> None:
        call.version = self.version
        delay = CLOSED_WATCH_TIMEOUT if fault is Fault.CLOSED_BEFORE else 0.0
        call.frontend.writes.append((asyncio.get_running_loop().time() + delay, self.version))
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
            # Reset only after the data written before has been read: the kernel drops unread data at a reset.
            asyncio.get_running_loop().call_later(0.02, abort, call.writer)
            call.watching = False
            return
        call.close()

    def _keep_alive(self, call: DiscoveryCall) -> None:
        if call.watching and not call.stalled and not call.ended.is_set():
            call.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(KEEP_ALIVE_INTERVAL, self._keep_alive, call)

    # Faults.

    def stall_watches(self) -> None:
        """Stop writing to the open watches; later calls are served."""
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
                    call.close()

    def take_down(self) -> None:
        """Reset the watches and answer no calls until `bring_up`."""
        self.down = True
        self.reset_watches()

    def bring_up(self) -> None:
        """Answer calls again."""
        self.down = False
        self.up_since = asyncio.get_running_loop().time()
        self.call_queued.set()
