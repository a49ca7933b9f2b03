"""Hard cases one by one, each with several real processes: a timetable would meet them only by chance."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from .rig import ROOT, Rig
from .storm import REQUEST_MIX
from .verdict import Verdict


async def half(seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True) -> Verdict:
    """Half of the fleet is killed at once, more than there are replicas; the others go on."""
    async with Rig(seed, sidecars, root=root, fleet=fleet) as rig:
        sending = asyncio.create_task(rig.clients.send(120.0, 4.5, REQUEST_MIX))
        await asyncio.sleep(1.0)
        for sidecar in rig.rng.sample(rig.sidecars, sidecars // 2):
            rig.lose(sidecar)
        killed_at = asyncio.get_running_loop().time()
        verdict = await rig.judged(sending)
        later = [w for w in rig.clients.requests if w.started_at > killed_at + rig.lease]
        # Requests from before the next view are outside the promise: counted, but not held against it.
        early = [w.request_id for w in rig.clients.requests if w.started_at <= killed_at + rig.lease]
        verdict.broken = [b for b in verdict.broken if not any(f" {name} " in f"{b} " for name in early)]
        verdict.counts["after the next view"] = len(later)
        verdict.counts["of these finished"] = sum(w.succeeded for w in later)
        if any(not w.succeeded for w in later):
            verdict.broken.append("work that came after the next view was not finished")
        return verdict


async def bodies(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> Verdict:
    """A loss while requests with bodies of 60 KiB are open."""
    async with Rig(seed, sidecars, root=root, fleet=fleet) as rig:
        rig.clients.make_body = lambda work: work.request_id.encode().ljust(60 * 1024, b".")
        sending = asyncio.create_task(rig.clients.send(60.0, 2.0, {"buy": 1.0, "move": 1.0}))
        await asyncio.sleep(1.0)
        lost = rig.rng.choice(rig.sidecars)
        affected = rig.lose(lost)
        verdict = await rig.judged(sending)
        verdict.counts["in hand at the loss"] = len(affected)
        verdict.counts["ticketed of these"] = sum(w.request_class == "move" for w in affected)
        verdict.counts["of those finished"] = sum(w.request_class == "move" and w.succeeded for w in affected)
        if any(w.request_class == "move" and not w.succeeded for w in affected):
            verdict.broken.append("ticketed work was lost with its sidecar")
        return verdict


async def keeper(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> Verdict:
    """A replica that hangs holds up no request without a name."""
    async with Rig(seed, sidecars, root=root, fleet=fleet) as rig:
        slow = rig.rng.choice(rig.sidecars)
        rig.clients.avoided.add(slow.name)
        slow.signal(signal.SIGSTOP)
        await rig.clients.send(100.0, 1.5, {"look": 1.0, "buy": 1.0}, keyed=False)
        slow.signal(signal.SIGCONT)
        await rig.clients.finish(rig.clients.timeout + 1)
        works = rig.clients.requests
        again = [w for w in works if len(w.attempts) > 1 or not w.succeeded]
        verdict = Verdict(
            {"work": len(works), "finished": sum(w.succeeded for w in works), "held up": len(again)}
        )
        if again:
            verdict.broken.append(f"work without a name was held up: {[w.request_id for w in again][:5]}")
        return verdict


async def woken(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> Verdict:
    """A coordinator is stopped for a second with open requests, whose clients retry, and then woken."""
    async with Rig(seed, sidecars, root=root, fleet=fleet) as rig:
        rig.clients.timeout = 3.0
        sending = asyncio.create_task(rig.clients.send(150.0, 2.0, REQUEST_MIX))
        await asyncio.sleep(0.8)
        owner = rig.rng.choice(rig.sidecars)
        affected = rig.open_requests(owner)
        owner.signal(signal.SIGSTOP)
        rig.clients.avoided.add(owner.name)
        for work in affected:
            # Another client of that name does not wait until it wakes.
            others = [s.name for s in rig.sidecars if s is not owner]
            rig.clients.send_duplicate(work, rig.rng.choice(others))
        await asyncio.sleep(1.0)
        owner.signal(signal.SIGCONT)
        verdict = await rig.judged(sending)
        verdict.counts["in hand at the stop"] = len(affected)
        return verdict


async def stopped(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> Verdict:
    """SIGTERM to one after another under load, each started again: nothing is lost or done twice."""
    async with Rig(seed, sidecars, root=root, fleet=fleet) as rig:
        sending = asyncio.create_task(rig.clients.send(120.0, 6.0, REQUEST_MIX))
        for sidecar in rig.sidecars[:3]:
            await asyncio.sleep(0.5)
            rig.clients.avoided.add(sidecar.name)
            sidecar.signal(signal.SIGTERM)
            while sidecar.alive:
                await asyncio.sleep(0.02)
            sidecar.start()
            await sidecar.ready()
            rig.clients.avoided.discard(sidecar.name)
        verdict = await rig.judged(sending)
        if any(not w.succeeded for w in rig.clients.requests):
            lost = [w.request_id for w in rig.clients.requests if not w.succeeded]
            verdict.broken.append(f"work was lost at a planned stop: {lost[:5]}")
        return verdict


async def cut(
    seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True, cell_size: int = 3
) -> Verdict:
    """The fleet is cut in two, and again, under load; sidecars are lost right after, and cells are joined."""
    async with Rig(seed, sidecars, root=root, fleet=fleet, lease=1, cell_size=cell_size, cut=False) as rig:
        sending = asyncio.create_task(rig.clients.send(80.0, 34.0, REQUEST_MIX, duplicate_rate=0.05))
        counts, lost = [1], 0
        until = asyncio.get_running_loop().time() + 33.0
        while asyncio.get_running_loop().time() < until:
            there = next(s for s in rig.sidecars if s.alive)
            count = (await there.admin_call("GET", "/_fleet"))[1]["cells"]["count"]
            if count != counts[-1]:
                counts.append(count)
                # At each cut one is killed for good; at the last one all but two.
                away = [s for s in rig.sidecars if s.alive and count > counts[-2]][1:]
                if not away:
                    continue
                for sidecar in rig.rng.sample(away, 1 if count < rig.cells else len(away) - 1):
                    rig.lose(sidecar)
                    lost += 1
                    await asyncio.sleep(rig.lease)
            await asyncio.sleep(0.02)
        verdict = await rig.judged(sending)
        verdict.counts |= {"changes of the cells": len(counts) - 1, "losses": lost}
        if counts != [1, 2, 4, 2]:
            verdict.broken.append(f"the cells were not cut and joined as their size says: {counts}")
        return verdict


async def gone(
    seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True, cell_size: int = 3
) -> Verdict:
    """The arbiter is gone for many leases: each goes on by the words of more than half, of all cells."""
    async with Rig(seed, sidecars, root=root, fleet=fleet, lease=1, cell_size=cell_size) as rig:
        sending = asyncio.create_task(rig.clients.send(80.0, 10.0, REQUEST_MIX))
        await asyncio.sleep(1.0)
        await rig.arbiter.take_down()
        await asyncio.sleep(8.0)
        reports = [(await s.admin_call("GET", "/_fleet"))[1] for s in rig.sidecars]
        verdict = await rig.judged(sending)
        doubts = sum(line["reason"] == "alone" for s in rig.sidecars for line in s.logged("policy.doubt"))
        uncovered = sum(len(s.logged("cover.none", "cover.given_up")) for s in rig.sidecars)
        held_up = [w.request_id for w in rig.clients.requests if not w.succeeded or len(w.attempts) > 1]
        verdict.counts |= {"doubts": doubts, "uncovered or given up": uncovered, "held up": len(held_up)}
        verdict.counts["with a lease still"] = sum(report["lease_s"] > 0 for report in reports)
        if doubts or uncovered or held_up:
            verdict.broken.append(f"the arbiter's loss was seen, by {held_up[:5]}")
        return verdict


CASES = {
    "half": half,
    "bodies": bodies,
    "keeper": keeper,
    "woken": woken,
    "stopped": stopped,
    "cut": cut,
    "gone": gone,
}
