"""Discovery for all sidecars of a trial: calls are answered in turn, watches stay open, both can fail.

Each sidecar has a front, an address of its own, so that it is known which one was notified of what, and when.
By the protocol a change counts as notified once it is written, whether or not it arrives, and 6 s after it
was missed. Times are seconds of the running loop's clock.
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
from .loopback import own_host

KEEP_ALIVE = 2.0  # seconds after which an open watch has an empty line
NOTIFIED_WITHIN = 6.0  # seconds after which what a sidecar missed counts as notified
# After the end of a watch that ends instead of telling of a change, which then counts as notified: the least
# that was measured on the bench.
ENDED_NOTIFIED = 1.68
OK_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


class Fault(enum.Enum):
    """What becomes of a message that is being written to a watch."""

    NONE = "none"
    ENDED = "ended"  # half of it, then the end of the connection
    RESET = "reset"  # half of it, then a reset
    STALLED = "stalled"  # half of it, then nothing more
    INSTEAD = "instead"  # the connection ends instead of the message


@dataclass(eq=False)
class Call:
    """One call, from its request to the end of its watch."""

    front: Front
    version: int  # that the sidecar has
    writer: asyncio.StreamWriter
    watching: bool = False
    silent: bool = False
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, data: bytes) -> None:
        """Write, if the connection is still open."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.write(data)

    def end(self) -> None:
        """Close the connection."""
        self.watching = False
        self.ended.set()


class Front:
    """The address that one sidecar calls, and what its present process counts as notified of."""

    def __init__(self, discovery: Discovery, number: int) -> None:
        """`number`: of the sidecar."""
        self.discovery, self.number = discovery, number
        self.server: asyncio.Server | None = None
        self.address = ""
        self.calls: set[Call] = set()
        self.restarted()

    def restarted(self) -> None:
        """A new process has started: only what is written to it counts."""
        self.started_at = asyncio.get_running_loop().time()
        for call in self.calls:
            call.end()  # what is still written to the last process does not count for this one
        self.written: list[tuple[float, int]] = []  # when which version was written
        self.silent_since = inf

    async def begin(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._connected, own_host(), 0, backlog=64)
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
        missed = max(made_at, self.started_at, self.discovery.up_since) + NOTIFIED_WITHIN
        if self.silent_since < inf:
            missed = min(missed, max(made_at, self.silent_since + NOTIFIED_WITHIN))
        return min(written, missed)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        call = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            known = int(target.rpartition("from=")[2]) if "from=" in target else 0
            call = Call(self, known, writer)
            self.calls.add(call)
            self.discovery.take(call)
            gone = asyncio.ensure_future(reader.read(1))
            over = asyncio.ensure_future(call.ended.wait())
            await asyncio.wait({gone, over}, return_when=asyncio.FIRST_COMPLETED)
            gone.cancel()
            over.cancel()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if call is not None:
                self.calls.discard(call)
                call.end()
            writer.close()


class Discovery:
    """The service. Its attributes are its state and its faults; a trial sets them as it goes."""

    def __init__(self, rng: random.Random) -> None:
        """An empty list; `rng` is for trials that pick faults by it."""
        self.rng = rng
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, tuple[int, float]] = {}  # version and time of an entry's last change
        self.fronts: list[Front] = []
        self.waiting: deque[Call] = deque()
        self.arrived = asyncio.Event()
        self.up_since = -inf
        self.down = False  # each call ends with 503 after `longest_wait`
        self.calls_per_second = inf
        self.longest_wait = 2.0  # seconds after which a waiting call ends with 503
        self.push_delay = 0.05
        self.push_fault = Fault.NONE
        self.worker: asyncio.Task[None] | None = None

    async def begin(self, count: int) -> None:
        """Open a front for each of so many sidecars."""
        for number in range(count):
            front = Front(self, number)
            await front.begin()
            self.fronts.append(front)
        self.worker = asyncio.create_task(self._work())

    async def stop(self) -> None:
        """Stop all fronts."""
        if self.worker is not None:
            self.worker.cancel()
        for front in self.fronts:
            await front.stop()

    # The list.

    def list(self, *entries: dict[str, Any]) -> None:
        """Add entries without a new version, as before the start."""
        self.entries |= {entry["id"]: entry for entry in entries}

    def change(self, *entries: dict[str, Any]) -> None:
        """Make a new version now; it is written to open watches after `push_delay`."""
        loop = asyncio.get_running_loop()
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.changed_at[entry["id"]] = self.version, loop.time()
        for front in self.fronts:
            for call in front.calls:
                if call.watching:
                    loop.call_later(self.push_delay, self._push, call)

    def message(self, known: int) -> bytes:
        """Encode the changes after a version; 0: the whole list."""
        full = known == 0
        named = [
            entry
            for name, entry in self.entries.items()
            if (full and entry["state"] == "active")
            or (not full and self.changed_at.get(name, (0, 0.0))[0] > known)
        ]
        return json.dumps({"version": self.version, "full": full, "servers": named}).encode() + b"\n"

    # Calls and watches.

    def take(self, call: Call) -> None:
        """Queue a call for its turn."""
        self.waiting.append(call)
        self.arrived.set()
        asyncio.get_running_loop().call_later(self.longest_wait, self._time_out, call)

    def _time_out(self, call: Call) -> None:
        if call in self.waiting:
            self.waiting.remove(call)
            call.write(BUSY)
            call.end()

    async def _work(self) -> None:
        while True:
            if not self.waiting or self.down:
                self.arrived.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.arrived.wait(), 0.02)
                continue
            call = self.waiting.popleft()
            if call.ended.is_set():
                continue
            self._answer(call)
            await asyncio.sleep(1 / self.calls_per_second)

    def _answer(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        call.write(OK_HEAD)
        call.watching = True
        call.front.silent_since = inf
        self._write(call, self.message(call.version), Fault.NONE)
        loop.call_later(KEEP_ALIVE, self._keep_alive, call)

    def _push(self, call: Call) -> None:
        if call.watching and not call.silent and call.version < self.version:
            self._write(call, self.message(call.version), self.push_fault)

    def _write(self, call: Call, message: bytes, fault: Fault) -> None:
        call.version = self.version
        later = ENDED_NOTIFIED if fault is Fault.INSTEAD else 0.0
        call.front.written.append((asyncio.get_running_loop().time() + later, self.version))
        chunk = b"%x\r\n%s\r\n" % (len(message), message)
        if fault is Fault.NONE:
            call.write(chunk)
            return
        if fault is not Fault.INSTEAD:
            call.write(chunk[: len(chunk) // 2])
        if fault is Fault.STALLED:
            call.silent = True
            call.front.silent_since = asyncio.get_running_loop().time()
            return
        if fault is Fault.RESET:
            # What was written before goes first: the kernel drops what is unread at a reset.
            asyncio.get_running_loop().call_later(0.02, abort, call.writer)
            call.watching = False
            return
        call.end()

    def _keep_alive(self, call: Call) -> None:
        if call.watching and not call.silent and not call.ended.is_set():
            call.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(KEEP_ALIVE, self._keep_alive, call)

    # Faults.

    def fall_silent(self) -> None:
        """Write nothing more to the open watches; calls that come later are served."""
        now = asyncio.get_running_loop().time()
        for front in self.fronts:
            for call in front.calls:
                if call.watching and not call.silent:
                    call.silent = True
                    front.silent_since = now

    def reset_watches(self) -> None:
        """Reset all open watches."""
        for front in self.fronts:
            for call in list(front.calls):
                if call.watching:
                    abort(call.writer)
                    call.end()

    def go_down(self) -> None:
        """Reset the watches and answer no call until `retry_after`."""
        self.down = True
        self.reset_watches()

    def retry_after(self) -> None:
        """Be up again."""
        self.down = False
        self.up_since = asyncio.get_running_loop().time()
        self.arrived.set()
