"""Changes of the fleet's policy, with faults in every phase: everywhere or nowhere, seen from outside.

Each proposed policy has a category of its own, which no other one has. A sidecar that serves it follows that
policy; one that follows another answers 404. So each answer tells under which policy it was given.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from fakes.http1 import Broken, Caller

from .rig import CAPS, CATEGORIES, ROOT, TIMES, Rig, Sidecar
from .verdict import Verdict

SLACK = 0.25  # seconds that clocks may differ, and a request may be on its way
EVERY = 0.08  # seconds between the questions to each sidecar
AHEAD = 0.2  # seconds that the clock of one of them is ahead
LEASE = 1


def body(label: str, pad: int = 0) -> dict[str, Any]:
    mark = {"name": label, "effect": "free", "payoff": 1.0} | TIMES
    settings: dict[str, Any] = {
        "categories": [*CATEGORIES, mark], "caps": CAPS, "rules": {"mustAskIn": 8_000_000},
        "discovery": "ask",
    }  # fmt: skip
    if pad:
        settings["tenants"] = [{"name": f"t{i}".ljust(50, "."), "share": 1.0} for i in range(pad)]
    cover = {"categories": [c["name"] for c in CATEGORIES], "name_header": "x-work-name", "keepers": 1}
    return {"settings": settings, "cover": cover}


@dataclass
class Seen:
    """One answer: which label was asked for, when, where, and what came."""

    label: str
    asked: float
    answered: float
    sidecar: str
    status: int


@dataclass
class Attempt:
    label: str
    at: float = 0.0  # the switch time, on the loop's clock
    taken: int = 0  # the answer to the proposal
    how: str = ""
    after: float = 0.0  # seconds from the proposal to its end
    faults: list[str] = field(default_factory=list)


class Watch:
    """Asks every sidecar all the time, under the labels that may hold."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.seen: list[Seen] = []
        self.labels = ["a0", "a1"]
        self.tasks = [asyncio.create_task(self._ask(s)) for s in rig.sidecars]
        self.number = 0

    async def _ask(self, sidecar: Sidecar) -> None:
        caller = Caller(sidecar.address)
        open_: set[asyncio.Task[None]] = set()
        while True:
            for label in self.labels[-3:]:
                task = asyncio.create_task(self._one(caller, sidecar, label))
                open_.add(task)
                task.add_done_callback(open_.discard)
            await asyncio.sleep(EVERY)

    async def _one(self, caller: Caller, sidecar: Sidecar, label: str) -> None:
        loop = asyncio.get_running_loop()
        self.number += 1
        headers = {"X-Trace-Id": f"q{self.number}", "X-Qos": label, "X-Expires-In-Ms": "1900"}
        asked = loop.time()
        with contextlib.suppress(Broken, TimeoutError):
            async with asyncio.timeout(4.0):
                status, _, _ = await caller.call("GET", f"/{label}/x", headers)
                self.seen.append(Seen(label, asked, loop.time(), sidecar.name, status))

    def follow(self, label: str) -> None:
        if label not in self.labels:
            self.labels.append(label)

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    def serves(self, sidecar: Sidecar, label: str, since: float) -> bool:
        said = [s for s in self.seen if s.sidecar == sidecar.name and s.asked > since]
        return any(s.status == 200 and s.label == label for s in said)


def now_at(rig: Rig) -> dict[str, Any] | None:
    entry = rig.arbiter.entries.get(b"/trial/policy/now")
    return json.loads(entry.value) if entry else None


def ended(rig: Rig, label: str) -> str:
    """How a change has ended, as the arbiter has it."""
    now = now_at(rig)
    if now and label in [c["name"] for c in now["policy"]["body"]["settings"]["categories"]]:
        return "decided"
    for _, key, value in rig.arbiter.written:
        if key == "/trial/policy/next" and label.encode() in value:
            open_ = rig.arbiter.entries.get(b"/trial/policy/next")
            return "" if open_ and label.encode() in open_.value else "dropped"
    return ""


Fault = tuple[str, float, float]  # kind, when (seconds from the proposal), for how long
KINDS = (
    "none", "stop", "stop", "kill", "kill", "kill_two", "cut", "cut", "down", "down", "lost", "watch", "half",
    "half_down", "ended", "no", "delay", "reset",
)  # fmt: skip


class Faults:
    """What goes wrong while a change is made."""

    def __init__(self, rig: Rig, rng: random.Random) -> None:
        self.rig, self.rng = rig, rng
        self.busy: set[str] = set()

    def drawn(self) -> list[Fault]:
        kinds = [self.rng.choice(KINDS) for _ in range(self.rng.choice((1, 1, 2, 3)))]
        when = (-0.6, -0.1, 0.02, 0.1, 0.4, 1.0, 2.0, 2.7, 2.95, 3.1)
        return [(k, self.rng.choice(when), self.rng.choice((0.2, 0.8, 1.5, 3.0, 4.0))) for k in kinds]

    async def play(self, fault: Fault, start: float) -> None:
        kind, at, lasts = fault
        await asyncio.sleep(max(0.0, start + at - asyncio.get_running_loop().time()))
        rig, arbiter = self.rig, self.rig.arbiter
        free = [s for s in rig.sidecars if s.name not in self.busy]
        some = self.rng.sample(free, min(len(free), {"kill_two": 2}.get(kind, 1)))
        if kind in ("half", "half_down"):
            some = self.rng.sample(rig.sidecars, len(rig.sidecars) // 2)
        match kind:
            case "stop" | "kill" | "kill_two":
                self.busy |= {s.name for s in some}
                await asyncio.gather(*(self._lose(s, kind, lasts) for s in some))
                self.busy -= {s.name for s in some}
            case "cut" | "half" | "half_down":
                await self._cut(kind, some, lasts)
            case "down":
                await arbiter.down()
                await asyncio.sleep(lasts)
                await arbiter.begin()
            case "lost":
                arbiter.lose["/v3/kv/txn"] = self.rng.randint(1, 4)
            case "watch":
                arbiter.compact()
                arbiter.cut_watches()
            case "ended":
                for key in [k for s in some for k in arbiter.entries if f"members/{s.name}.".encode() in k]:
                    arbiter.end_lease_of(key.decode())
            case "delay":
                for way in some[0].to_arbiter.link():
                    way.delay, way.loss = 0.1, 0.2
                await asyncio.sleep(lasts)
                for way in some[0].to_arbiter.link():
                    way.delay = way.loss = 0.0
            case "reset":
                some[0].to_arbiter.reset()
                some[0].front.reset()

    async def _lose(self, sidecar: Sidecar, kind: str, lasts: float) -> None:
        if kind == "stop":
            sidecar.signal(signal.SIGSTOP)
            await asyncio.sleep(lasts)
            sidecar.signal(signal.SIGCONT)
            return
        sidecar.kill()
        await asyncio.sleep(lasts)
        sidecar.start()

    async def _cut(self, kind: str, some: list[Sidecar], lasts: float) -> None:
        """From the arbiter; `half`: also from the others, which keep it; `half_down`: and it is down."""
        ways = [way for s in some for way in s.to_arbiter.link()]
        if kind != "cut":
            others = [s for s in self.rig.sidecars if s not in some]
            ways += [way for s in some for o in others for way in self.rig.between(s, o)]
        if kind == "half_down":
            await self.rig.arbiter.down()
        for way in ways:
            way.cut = True
        await asyncio.sleep(lasts)
        for way in ways:
            way.cut = False
        if kind == "half_down":
            await self.rig.arbiter.begin()


def judge(seen: list[Seen], attempts: list[Attempt], start: float) -> list[str]:
    """Nobody under the old one after its successor's switch time, nobody ever under one that lost."""
    broken = []
    held = [Attempt("a0", at=-1e18, how="decided"), *(a for a in attempts if a.how == "decided")]
    ends = {one.label: after.at for one, after in zip(held, held[1:], strict=False)}
    begins = {one.label: one.at for one in held}
    for one in seen:
        if one.status != 200:
            continue
        where = (
            f"{one.label} at {one.sidecar}, asked {one.asked - start:.3f}, said {one.answered - start:.3f}"
        )
        if one.label not in begins:
            broken.append(f"one that was not decided: {where}")
        elif one.answered < begins[one.label] - SLACK:
            broken.append(f"before it held ({begins[one.label] - start:.3f}): {where}")
        elif one.asked > ends.get(one.label, 1e18) + SLACK:
            broken.append(f"after it held ({ends[one.label] - start:.3f}): {where}")
    return broken


async def changes(
    seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True, count: int = 7, faulty: bool = True
) -> Verdict:
    """`count` changes, one after another, each with faults in some phase of it."""
    async with _rig(seed, sidecars, root, fleet) as rig:
        rng = random.Random(f"{seed}-policy")
        watch, faults = Watch(rig), Faults(rig, rng)
        attempts: list[Attempt] = []
        await asyncio.sleep(0.5)
        for number in range(1, count + 1):
            attempt = Attempt(f"a{number}")
            attempts.append(attempt)
            watch.follow(attempt.label)
            drawn = faults.drawn() if faulty else []
            attempt.faults = [f"{kind} {at} {lasts}" for kind, at, lasts in drawn]
            begin = asyncio.get_running_loop().time() + 0.7
            playing = [asyncio.create_task(faults.play(one, begin)) for one in drawn]
            await asyncio.sleep(0.7)
            large = any(one[0] == "no" for one in drawn)
            if fleet:
                await _propose(rig, rng, attempt, 140 if large else 0)
            else:
                await _rewrite(rig, attempt)
            await asyncio.gather(*playing)
            if fleet:
                # What is gone is back: it all comes to an end.
                await _until(lambda a=attempt: not a.taken or ended(rig, a.label), 12.0)
                attempt.how = ended(rig, attempt.label)
            holds = ([a for a in attempts if a.how == "decided"] or [Attempt("a0")])[-1]
            await asyncio.sleep(max(0.0, holds.at - asyncio.get_running_loop().time()))
            since = asyncio.get_running_loop().time()

            def behind(label: str = holds.label, since: float = since) -> list[str]:
                return [s.name for s in rig.sidecars if not watch.serves(s, label, since)]

            await _until(lambda check=behind: not check(), 15.0 if fleet else 3.0)
            if behind():
                attempt.faults.append(f"behind {holds.label}: {behind()}")
        watch.stop()
        return _verdict(rig, watch, attempts)


def _rig(seed: int, sidecars: int, root: Path, fleet: bool) -> Rig:
    start_with = body("a0")["settings"]["categories"]
    return Rig(
        seed, sidecars, upstreams=4, service=0.01, root=root, fleet=fleet, lease=LEASE, categories=start_with,
        ahead={1: AHEAD}, memory={2: 24.0},
    )  # fmt: skip


async def quiet(seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True) -> Verdict:
    """The arbiter is gone for twenty leases: no work is deferred for it, and a change waits."""
    async with _rig(seed, sidecars, root, fleet) as rig:
        rng, attempt = random.Random(f"{seed}-policy"), Attempt("a1")
        watch = Watch(rig)
        await _change(rig, rng, attempt, 1.0)
        begun = asyncio.get_running_loop().time()
        await rig.arbiter.down()
        await asyncio.sleep(20.0 * LEASE)
        gone_until = asyncio.get_running_loop().time()
        await rig.arbiter.begin()
        await asyncio.sleep(3.0 * LEASE)
        watch.stop()
        verdict = _verdict(rig, watch, [attempt])
        meanwhile = [s for s in watch.seen if begun < s.asked < gone_until and s.label == "a1"]
        deferred = sum(s.status != 200 for s in meanwhile)
        verdict.counts |= {"asked while it was gone": len(meanwhile), "not finished of these": deferred}
        if deferred:
            verdict.broken.append(f"{deferred} work items were not finished while the arbiter was gone")
        return verdict


async def restart(seed: int, sidecars: int = 6, root: Path = ROOT, fleet: bool = True) -> Verdict:
    """After a change all are killed while the arbiter is gone: by what they kept they follow the new one."""
    async with _rig(seed, sidecars, root, fleet) as rig:
        rng, attempt = random.Random(f"{seed}-policy"), Attempt("a1")
        watch = Watch(rig)
        await _change(rig, rng, attempt, 0.5)
        await rig.arbiter.down()
        for sidecar in rig.sidecars:
            sidecar.kill()
        since = asyncio.get_running_loop().time()
        for sidecar in rig.sidecars:
            sidecar.start()
        await _until(lambda: all(watch.serves(s, "a1", since) for s in rig.sidecars), 20.0)
        back = [s.name for s in rig.sidecars if watch.serves(s, "a1", since)]
        took = asyncio.get_running_loop().time() - since
        watch.stop()
        verdict = _verdict(rig, watch, [attempt])
        verdict.counts |= {"back without the arbiter": len(back), "after ms": round(1000 * took)}
        if len(back) < sidecars:
            verdict.broken.append(f"only {back} came back")
        return verdict


async def replaced(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> Verdict:
    """Each is told to stop and started anew while changes are made."""
    async with _rig(seed, sidecars, root, fleet) as rig:
        rng, watch = random.Random(f"{seed}-policy"), Watch(rig)
        attempts = [Attempt(f"a{number}") for number in range(1, 4)]
        for attempt in attempts:
            watch.follow(attempt.label)
            await _propose(rig, rng, attempt, 0)
            for sidecar in rng.sample(rig.sidecars, 2):
                sidecar.signal(signal.SIGTERM)
                await asyncio.to_thread(sidecar.process.wait)
                sidecar.start()
            await _until(lambda a=attempt: not a.taken or ended(rig, a.label), 12.0)
            attempt.how = ended(rig, attempt.label)
            await asyncio.sleep(max(0.0, attempt.at + 0.5 - asyncio.get_running_loop().time()))
        watch.stop()
        return _verdict(rig, watch, attempts)


CASES = {"quiet": quiet, "restart": restart, "replaced": replaced}


async def _until(holds: Any, seconds: float) -> None:
    until = asyncio.get_running_loop().time() + seconds
    while not holds() and asyncio.get_running_loop().time() < until:
        await asyncio.sleep(0.05)


async def _change(rig: Rig, rng: random.Random, attempt: Attempt, after: float) -> None:
    """One change without faults, until so many seconds past its switch time."""
    await _propose(rig, rng, attempt, 0)
    await _until(lambda: ended(rig, attempt.label), 5.0)
    attempt.how = ended(rig, attempt.label)
    await asyncio.sleep(max(0.0, attempt.at + after - asyncio.get_running_loop().time()))


async def _propose(rig: Rig, rng: random.Random, attempt: Attempt, pad: int) -> None:
    """At anybody that takes it."""
    loop = asyncio.get_running_loop()
    for sidecar in rng.sample(rig.sidecars, len(rig.sidecars))[:4]:
        begun = loop.time()
        with contextlib.suppress(Broken, TimeoutError, OSError):
            asked = {"policy": body(attempt.label, pad)}
            attempt.taken, said = await sidecar.told("PUT", "/_policy/propose", asked)
            if attempt.taken == 200:
                break
            if attempt.taken == 503:
                break  # it may be written: the arbiter tells
    entry = rig.arbiter.entries.get(b"/trial/policy/next")
    told = json.loads(entry.value) if entry else now_at(rig)
    if told is not None:
        attempt.at = begun + told["at"] - rig.wall(begun)
    if attempt.taken == 200:
        await _until(lambda: ended(rig, attempt.label), 2.0)
        attempt.after = loop.time() - begun


async def _rewrite(rig: Rig, attempt: Attempt) -> None:
    """Each by itself: other files, and the signal. One file is broken."""
    rig.categories = body(attempt.label)["settings"]["categories"]
    for sidecar in rig.sidecars:
        told = json.dumps(sidecar.configuration())
        sidecar.paths["json"].write_text(told if sidecar is not rig.sidecars[-1] else told[:-5])
        sidecar.signal(signal.SIGHUP)
    attempt.at, attempt.how = asyncio.get_running_loop().time(), "decided"


def _verdict(rig: Rig, watch: Watch, attempts: list[Attempt]) -> Verdict:
    verdict = Verdict()
    verdict.broken = judge(watch.seen, attempts, rig.start)
    for attempt in attempts:
        late = [f for f in attempt.faults if f.startswith("behind")]
        if late:
            verdict.broken.append(f"{attempt.label} ({attempt.how}): {late[0]}")
        if attempt.taken == 200 and not attempt.how:
            verdict.broken.append(f"{attempt.label}: neither decided nor dropped")
    if defects := rig.defects():
        verdict.broken.append(f"a defect: {defects[0]}")
    if verdict.broken:
        verdict.broken += [
            f"{a.label}: {a.taken} {a.how} at {a.at - rig.start:.3f}: {a.faults}" for a in attempts
        ]
    doubts = [line for s in rig.sidecars for line in s.logged("policy.sure")]
    ends = Counter(a.how or "not taken" for a in attempts)
    quick = sorted(a.after for a in attempts if a.how == "decided")
    statuses = Counter(s.status for s in watch.seen)
    verdict.counts = {
        "changes": len(attempts), **ends, "answers": len(watch.seen), "deferred": statuses[503],
        "doubts": len(doubts), "doubt ms, worst": round(1000 * max((d["after"] for d in doubts), default=0)),
        "decided after ms, median": round(1000 * quick[len(quick) // 2]) if quick else 0,
    }  # fmt: skip
    return verdict
