"""Trials of the endpoint list: real sidecars, one discovery that fails in many ways, servers that drain.

What is judged, all of it counted outside of the sidecars: no attempt reaches a draining or removed server
later than the grace after the sidecar counts as notified; a request that may not be repeated runs once; each
request that a live sidecar took has one answer in time; nothing is sent for a client that has left. Times are
seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any

from fakes.discovery import Discovery, Fault, Front
from fakes.http1 import Broken, Caller, Request, Response, Server
from fakes.loopback import free_ports, own_host

from .rig import CAPS, CATEGORIES, MEMORY, ROOT, START, _die_with_parent
from .verdict import Verdict

GRACE = 0.5  # after the notice of a drain
SLACK = 0.15  # for the trial's own lateness, beside what the protocol allows
LEFT_SLACK = 0.1  # within which an attempt may still begin for a client that has left
ANSWER_SLACK = 0.5  # after its deadline an answer still counts
SERVICE = 0.01
DEADLINE = 1.0
STOP_TIME = 0.7  # beyond the longest deadline, within which a process that was told to stop has ended
METHODS = {"look": "GET", "buy": "POST", "move": "POST"}
SHARES = {"look": 0.5, "buy": 0.3, "move": 0.2}


@dataclass(eq=False)
class Asked:
    """One request of a client, and what came of it."""

    trace: str
    category: str
    sidecar: int
    process: int  # which process of that sidecar
    at: float
    end: str = "open"
    left_at: float | None = None


class Process:
    """One sidecar: its configuration, its process, and the front of discovery that it calls."""

    def __init__(self, trial: Trial, number: int, front: Front) -> None:
        self.trial, self.number, self.front = trial, number, front
        host = own_host(1 + number % 250)
        self.address = f"{host}:{free_ports(host, 1)[0]}"
        self.caller = Caller(self.address)
        self.process: subprocess.Popen[bytes] | None = None
        self.started = 0  # processes so far
        self.known = [dict(entry) for entry in trial.discovery.entries.values()]
        self.path = trial.folder / f"n{number}"

    def start(self) -> None:
        self.started += 1
        self.front.restarted()
        self.caller.close()  # what is open is the last process's
        settings = {
            "categories": CATEGORIES, "caps": CAPS, "discovery": "ask", "slotNo": self.number,
            "rules": {"mustAskIn": 10_000_000, "drainGrace": int(GRACE * 1e6)},
            "replicasOfMe": len(self.trial.discovery.fronts),
        }  # fmt: skip
        config = {
            "name": f"n{self.number}", "listen": self.address, "discovery": self.front.address,
            "seed": f"{self.trial.seed}-{self.number}-{self.started}", "settings": settings,
            "known": {"version": 1, "full": True, "servers": self.known},
        }  # fmt: skip
        self.path.with_suffix(".json").write_text(json.dumps(config))
        environment = {name: value for name, value in os.environ.items() if name != "TMPDIR"}
        with self.path.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "starlingwheel"],
                cwd=self.trial.root, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment | {"EDGE_CONFIG": str(self.path.with_suffix(".json"))},
                preexec_fn=_die_with_parent,
            )  # fmt: skip

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        if self.alive:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def ready(self) -> None:
        until = asyncio.get_running_loop().time() + START
        while asyncio.get_running_loop().time() < until and self.alive:
            with contextlib.suppress(Broken):
                if (await self.caller.call("GET", "/ready", {}))[0] == 200:
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"n{self.number} is not ready: {self.log()[-2000:]}")

    def log(self) -> str:
        return self.path.with_suffix(".log").read_text()

    def logged(self, *events: str) -> list[dict[str, Any]]:
        lines = (json.loads(line) for line in self.log().splitlines() if line.startswith("{"))
        return [line for line in lines if line["event"] in events]


class Trial:
    """Processes, discovery, servers and clients; use as a context, then call `verdict`."""

    def __init__(self, seed: int, sidecars: int, servers: int, root: Path = ROOT) -> None:
        self.seed, self.root, self.rng = seed, root, random.Random(seed)
        self.sidecar_count, self.server_count = sidecars, servers
        self.sidecars: list[Process] = []
        self.servers: dict[str, Server] = {}
        self.asked: dict[str, Asked] = {}
        self.runs: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.broken: list[str] = []
        self.clients: set[asyncio.Task[None]] = set()
        self.hanging: set[str] = set()  # servers that take requests and answer nothing

    async def __aenter__(self) -> Trial:
        self.stack = contextlib.AsyncExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory(dir=MEMORY)))
        self.discovery = Discovery(self.rng)
        for number in range(self.server_count):
            name = f"s{number}"
            server = Server(self._handler(name))
            await server.begin()
            self.servers[name] = server
            self.discovery.list(self.entry(name))
        await self.discovery.begin(self.sidecar_count)
        self.sidecars = [Process(self, number, front) for number, front in enumerate(self.discovery.fronts)]
        try:
            for sidecar in self.sidecars:
                sidecar.start()
            await asyncio.gather(*(sidecar.ready() for sidecar in self.sidecars))
            await self.until_all_are_told()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in list(self.clients):
            task.cancel()
        for sidecar in self.sidecars:
            sidecar.kill()
            sidecar.caller.close()
        await self.discovery.stop()
        for server in self.servers.values():
            await server.stop()
        await self.stack.aclose()

    def entry(self, name: str, state: str = "active") -> dict[str, Any]:
        return {"id": name, "addr": self.servers[name].address, "zone": "", "state": state}

    def drain(self, *names: str, state: str = "leaving") -> None:
        self.discovery.change(*(self.entry(name, state) for name in names))

    async def until_all_are_told(self) -> None:
        """Each sidecar has an open watch with the present version."""
        until = asyncio.get_running_loop().time() + START
        fronts = self.discovery.fronts
        while not all(
            any(c.watching and c.version == self.discovery.version for c in f.calls) for f in fronts
        ):
            if asyncio.get_running_loop().time() > until:
                raise RuntimeError("not all sidecars have a watch")
            await asyncio.sleep(0.02)

    # The servers' side: where the rules are looked at.

    def _handler(self, name: str) -> Any:
        async def answer(request: Request) -> Response:
            trace = request.headers.get("x-trace-id")
            if trace is None or trace not in self.asked:
                return Response(404)
            asked = self.asked[trace]
            self._look(name, asked)
            self.runs[trace] += 1
            if name in self.hanging:
                await asyncio.sleep(3600)
            await asyncio.sleep(SERVICE)
            return Response(200, trace.encode())

        return answer

    def _look(self, name: str, asked: Asked) -> None:
        now = asyncio.get_running_loop().time()
        self.counts["attempts"] += 1
        changed = self.discovery.changed_at.get(name)
        if changed is not None and self.discovery.entries[name]["state"] != "active":
            notified = self.sidecars[asked.sidecar].front.notified_at(*changed)
            self.counts["attempts at servers that drain"] += 1
            if now > notified + GRACE + SLACK and asked.process == self.sidecars[asked.sidecar].started:
                self.counts["after the grace"] += 1
                self.broken.append(
                    f"drain: n{asked.sidecar} to {name} {now - notified:.2f} s after the notice"
                )
        if asked.left_at is not None and now > asked.left_at + LEFT_SLACK + SLACK:
            self.counts["for clients that had left"] += 1
            self.broken.append(f"left: {asked.trace} {now - asked.left_at:.2f} s after its client")
        if asked.category == "buy" and self.runs[asked.trace]:
            self.counts["twice"] += 1
            self.broken.append(f"twice: {asked.trace}")

    # The clients.

    async def send(self, rate: float, seconds: float, leave: float = 0.0) -> None:
        """So many requests a second at each sidecar; `leave`: the share of clients that leave early."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for number in range(int(rate * seconds)):
            due = begun + number / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            for sidecar in self.sidecars:
                if sidecar.alive:
                    task = asyncio.create_task(self._ask(sidecar, leave))
                    self.clients.add(task)
                    task.add_done_callback(self.clients.discard)

    async def _ask(self, sidecar: Process, leave: float) -> None:
        loop = asyncio.get_running_loop()
        category = self.rng.choices([*SHARES], [*SHARES.values()])[0]
        trace = f"r{len(self.asked)}"
        asked = Asked(trace, category, sidecar.number, sidecar.started, loop.time())
        self.asked[trace] = asked
        headers = {"X-Trace-Id": trace, "X-Qos": category, "X-Expires-In-Ms": str(int(DEADLINE * 1000))}
        if category == "move":
            headers["Idempotency-Key"] = trace
        leaves = self.rng.random() < leave
        within = self.rng.random() * 0.1 if leaves else DEADLINE + ANSWER_SLACK
        kept = bool(sidecar.caller.idle)
        try:
            async with asyncio.timeout(within):
                call = METHODS[category], f"/{category}/1", headers
                try:
                    status, _, body = await sidecar.caller.call(*call)
                except Broken:
                    # A kept connection may have been closed between two requests: once more, on a new one.
                    if not kept or self.runs[trace]:
                        raise
                    sidecar.caller.close()
                    self.counts["sent again"] += 1
                    status, _, body = await sidecar.caller.call(*call)
            asked.end = str(status)
            if status == 200 and body != trace.encode():
                self.broken.append(f"answer: {trace} has that of another request")
        except TimeoutError:
            asked.end, asked.left_at = "left" if leaves else "late", loop.time()
        except Broken as broken:
            asked.end = str(broken)

    async def verdict(self) -> Verdict:
        if self.clients:
            await asyncio.wait(list(self.clients), timeout=DEADLINE + 2 * ANSWER_SLACK)
        for asked in self.asked.values():
            self.counts[f"answered {asked.end}" if asked.end.isdigit() else asked.end] += 1
            same = asked.process == self.sidecars[asked.sidecar].started
            if (
                asked.end in ("late", "open", "reset", "closed")
                and same
                and self.sidecars[asked.sidecar].alive
            ):
                self.broken.append(f"lost: {asked.trace} at n{asked.sidecar}: {asked.end}")
        for sidecar in self.sidecars:
            for line in sidecar.logged("defect", "module.defect", "gate.violation"):
                self.broken.append(f"n{sidecar.number} logged {line['event']}: {line.get('error', line)}")
        self.counts["requests"] = len(self.asked)
        return Verdict(dict(self.counts), self.broken)


# Plays.


@contextlib.asynccontextmanager
async def traffic(trial: Trial, rate: float, seconds: float, leave: float = 0.0) -> AsyncIterator[None]:
    """Clients go on for so long, whatever happens inside."""
    sending = asyncio.create_task(trial.send(rate, seconds, leave))
    try:
        yield
        await sending
    finally:
        sending.cancel()


async def played(story: Callable[[Trial], Awaitable[None]], seconds: float, seed: int, root: Path) -> Verdict:
    """A story of faults over three sidecars and four servers, with clients all the while."""
    async with Trial(seed, sidecars=3, servers=4, root=root) as trial:
        async with traffic(trial, rate=30, seconds=seconds):
            await story(trial)
        return await trial.verdict()


async def answer_nobody(trial: Trial, seconds: float) -> None:
    """Discovery can be reached, but answers no call in time: this is not the same as being down."""
    trial.discovery.down = True
    await asyncio.sleep(seconds)
    trial.discovery.down = False


async def broken_message(fault: Fault, seed: int = 1, root: Path = ROOT) -> Verdict:
    """A notice of a drain is written and does not arrive whole; discovery answers slowly from then on."""

    async def story(trial: Trial) -> None:
        await asyncio.sleep(0.7)
        trial.discovery.push_fault = fault
        trial.discovery.longest_wait = 10.0
        trial.drain("s0")
        trial.discovery.calls_per_second = 1 / 1.2
        await asyncio.sleep(trial.discovery.push_delay + 0.01)
        trial.discovery.push_fault = Fault.NONE
        await answer_nobody(trial, 2.5)

    return await played(story, 5.0, seed, root)


async def silent_watch(seed: int = 1, root: Path = ROOT) -> Verdict:
    """All watches fall silent, servers drain, and a crowded discovery answers nobody for some seconds."""

    async def story(trial: Trial) -> None:
        await asyncio.sleep(0.5)
        trial.discovery.fall_silent()
        trial.discovery.down = True
        await asyncio.sleep(1.0)
        trial.drain("s0")
        await answer_nobody(trial, 7.5)

    return await played(story, 10.0, seed, root)


async def ended_instead(seed: int = 1, root: Path = ROOT) -> Verdict:
    """Watches end instead of telling of a drain, and a crowded discovery answers nobody for some seconds."""

    async def story(trial: Trial) -> None:
        await asyncio.sleep(0.5)
        trial.discovery.push_fault = Fault.INSTEAD
        trial.drain("s0")
        await answer_nobody(trial, 7.5)

    return await played(story, 9.0, seed, root)


async def restarted(seed: int = 1, root: Path = ROOT) -> Verdict:
    """Sidecars start anew with a list of before a drain, and a crowded discovery answers nobody."""

    async def story(trial: Trial) -> None:
        await asyncio.sleep(0.3)
        for sidecar in trial.sidecars:
            sidecar.kill()
        trial.discovery.down = True
        trial.drain("s0")
        for sidecar in trial.sidecars:
            sidecar.start()
        await answer_nobody(trial, 7.5)

    return await played(story, 9.0, seed, root)


class Faults:
    """Random faults of discovery, servers and processes that overlap; a seed names the timetable."""

    def __init__(self, trial: Trial, seconds: float) -> None:
        self.trial, self.rng = trial, trial.rng
        self.until = asyncio.get_running_loop().time() + seconds
        self.standby = list(trial.servers)[: len(trial.servers) // 4]  # servers that come and go
        self.kinds = (
            self.crowd,
            self.outage,
            self.silence,
            self.reset,
            self.break_messages,
            self.replace_server,
            self.replace_server,
            self.hang_server,
            self.kill,
            self.stop,
            self.pause,
        )

    async def play(self) -> None:
        """Several at a time, each after a pause of its own."""
        await asyncio.gather(*(self._one_after_another() for _ in range(4)))

    async def _one_after_another(self) -> None:
        loop = asyncio.get_running_loop()
        while (left := self.until - loop.time()) > 4.0:
            await asyncio.sleep(self.rng.random() * 1.5)
            fault = self.rng.choice(self.kinds)
            self.trial.counts[f"fault {fault.__name__}"] += 1
            await fault(min(left, 0.5 + self.rng.random() * 7.0))

    async def crowd(self, seconds: float) -> None:
        discovery = self.trial.discovery
        discovery.calls_per_second = len(discovery.fronts) / (1.0 + 4.0 * self.rng.random())
        discovery.longest_wait = self.rng.choice((1.0, 2.0, 3.0))
        await asyncio.sleep(seconds)
        discovery.calls_per_second = inf

    async def outage(self, seconds: float) -> None:
        self.trial.discovery.go_down()
        await asyncio.sleep(seconds)
        self.trial.discovery.retry_after()

    async def silence(self, seconds: float) -> None:
        self.trial.discovery.fall_silent()
        await asyncio.sleep(seconds / 4)

    async def reset(self, seconds: float) -> None:
        self.trial.discovery.reset_watches()
        await asyncio.sleep(seconds / 4)

    async def break_messages(self, seconds: float) -> None:
        self.trial.discovery.push_fault = self.rng.choice(list(Fault))
        await asyncio.sleep(seconds)
        self.trial.discovery.push_fault = Fault.NONE

    async def replace_server(self, seconds: float) -> None:
        """One drains, goes and comes back, all the while answering whoever asks."""
        if not self.standby:
            return
        name = self.standby.pop()
        self.trial.drain(name)
        await asyncio.sleep(seconds)
        self.trial.drain(name, state="left")
        await asyncio.sleep(0.5)
        self.trial.discovery.change(self.trial.entry(name))
        self.standby.append(name)

    async def hang_server(self, seconds: float) -> None:
        name = self.rng.choice([*self.trial.servers])
        self.trial.hanging.add(name)
        await asyncio.sleep(seconds / 2)
        self.trial.hanging.discard(name)

    async def kill(self, seconds: float) -> None:
        sidecar = self.rng.choice(self.trial.sidecars)
        sidecar.kill()
        await asyncio.sleep(0.2)
        sidecar.start()

    async def stop(self, seconds: float) -> None:
        sidecar = self.rng.choice(self.trial.sidecars)
        process = sidecar.process
        sidecar.signal(signal.SIGTERM)
        until = asyncio.get_running_loop().time() + DEADLINE + STOP_TIME
        while sidecar.alive and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.05)
        if sidecar.process is process:
            sidecar.kill()
            sidecar.start()

    async def pause(self, seconds: float) -> None:
        """Held up for a little less than the 0.15 s that a process may be."""
        sidecar = self.rng.choice(self.trial.sidecars)
        sidecar.signal(signal.SIGSTOP)
        await asyncio.sleep(0.12)
        sidecar.signal(signal.SIGCONT)


async def soak(
    seed: int, sidecars: int = 24, seconds: float = 30.0, root: Path = ROOT, fleet: bool = True
) -> Verdict:
    """Random faults that overlap, over a few dozen real processes, judged by the invariants."""
    del fleet
    async with Trial(seed, sidecars=sidecars, servers=8, root=root) as trial:
        async with traffic(trial, rate=4, seconds=seconds, leave=0.05):
            await Faults(trial, seconds).play()
        return await trial.verdict()


CASES = {
    "cut-message": lambda seed, root=ROOT, fleet=True: broken_message(Fault.ENDED, seed, root),
    "reset-message": lambda seed, root=ROOT, fleet=True: broken_message(Fault.RESET, seed, root),
    "stalled-message": lambda seed, root=ROOT, fleet=True: broken_message(Fault.STALLED, seed, root),
    "silent-watch": lambda seed, root=ROOT, fleet=True: silent_watch(seed, root),
    "ended-instead": lambda seed, root=ROOT, fleet=True: ended_instead(seed, root),
    "restarted": lambda seed, root=ROOT, fleet=True: restarted(seed, root),
    "list-soak": soak,
}
