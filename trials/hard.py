"""Hard cases one by one, each with several real processes: a timetable would meet them only by chance."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from .rig import ROOT, Cluster
from .storm import REQUEST_MIX
from .verdict import TrialResult


async def half(seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True) -> TrialResult:
    """Half of the fleet is killed at once, more than there are replicas; the others go on."""
    async with Cluster(seed, sidecars, root=root, fleet=fleet) as cluster:
        sending = asyncio.create_task(cluster.clients.send(120.0, 4.5, REQUEST_MIX))
        await asyncio.sleep(1.0)
        for sidecar in cluster.rng.sample(cluster.sidecars, sidecars // 2):
            cluster.kill_sidecar(sidecar)
        killed_at = asyncio.get_running_loop().time()
        result = await cluster.finish_and_check(sending)
        later = [w for w in cluster.clients.requests if w.started_at > killed_at + cluster.lease]
        # Requests from before the next view are outside the promise: counted, but not held against it.
        early = [w.request_id for w in cluster.clients.requests if w.started_at <= killed_at + cluster.lease]
        result.violations = [
            b for b in result.violations if not any(f" {name} " in f"{b} " for name in early)
        ]
        result.counts["after the next view"] = len(later)
        result.counts["of these finished"] = sum(w.succeeded for w in later)
        if any(not w.succeeded for w in later):
            result.violations.append("work that came after the next view was not finished")
        return result


async def bodies(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> TrialResult:
    """A loss while requests with bodies of 60 KiB are open."""
    async with Cluster(seed, sidecars, root=root, fleet=fleet) as cluster:
        cluster.clients.make_body = lambda work: work.request_id.encode().ljust(60 * 1024, b".")
        sending = asyncio.create_task(cluster.clients.send(60.0, 2.0, {"buy": 1.0, "move": 1.0}))
        await asyncio.sleep(1.0)
        lost = cluster.rng.choice(cluster.sidecars)
        affected = cluster.kill_sidecar(lost)
        result = await cluster.finish_and_check(sending)
        result.counts["in hand at the loss"] = len(affected)
        result.counts["ticketed of these"] = sum(w.request_class == "move" for w in affected)
        result.counts["of those finished"] = sum(w.request_class == "move" and w.succeeded for w in affected)
        if any(w.request_class == "move" and not w.succeeded for w in affected):
            result.violations.append("ticketed work was lost with its sidecar")
        return result


async def keeper(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> TrialResult:
    """A replica that hangs holds up no request without a name."""
    async with Cluster(seed, sidecars, root=root, fleet=fleet) as cluster:
        slow = cluster.rng.choice(cluster.sidecars)
        cluster.clients.avoided.add(slow.name)
        slow.signal(signal.SIGSTOP)
        await cluster.clients.send(100.0, 1.5, {"look": 1.0, "buy": 1.0}, keyed=False)
        slow.signal(signal.SIGCONT)
        await cluster.clients.finish(cluster.clients.timeout + 1)
        works = cluster.clients.requests
        again = [w for w in works if len(w.attempts) > 1 or not w.succeeded]
        result = TrialResult(
            {"work": len(works), "finished": sum(w.succeeded for w in works), "held up": len(again)}
        )
        if again:
            result.violations.append(f"work without a name was held up: {[w.request_id for w in again][:5]}")
        return result


async def woken(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> TrialResult:
    """A coordinator is stopped for a second with open requests, whose clients retry, and then woken."""
    async with Cluster(seed, sidecars, root=root, fleet=fleet) as cluster:
        cluster.clients.timeout = 3.0
        sending = asyncio.create_task(cluster.clients.send(150.0, 2.0, REQUEST_MIX))
        await asyncio.sleep(0.8)
        owner = cluster.rng.choice(cluster.sidecars)
        affected = cluster.open_requests(owner)
        owner.signal(signal.SIGSTOP)
        cluster.clients.avoided.add(owner.name)
        for work in affected:
            # Another client of that name does not wait until it wakes.
            others = [s.name for s in cluster.sidecars if s is not owner]
            cluster.clients.send_duplicate(work, cluster.rng.choice(others))
        await asyncio.sleep(1.0)
        owner.signal(signal.SIGCONT)
        result = await cluster.finish_and_check(sending)
        result.counts["in hand at the stop"] = len(affected)
        return result


async def stopped(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> TrialResult:
    """SIGTERM to one after another under load, each started again: nothing is lost or done twice."""
    async with Cluster(seed, sidecars, root=root, fleet=fleet) as cluster:
        sending = asyncio.create_task(cluster.clients.send(120.0, 6.0, REQUEST_MIX))
        for sidecar in cluster.sidecars[:3]:
            await asyncio.sleep(0.5)
            cluster.clients.avoided.add(sidecar.name)
            sidecar.signal(signal.SIGTERM)
            while sidecar.alive:
                await asyncio.sleep(0.02)
            sidecar.start()
            await sidecar.wait_until_ready()
            cluster.clients.avoided.discard(sidecar.name)
        result = await cluster.finish_and_check(sending)
        if any(not w.succeeded for w in cluster.clients.requests):
            lost = [w.request_id for w in cluster.clients.requests if not w.succeeded]
            result.violations.append(f"work was lost at a planned stop: {lost[:5]}")
        return result


async def cut(
    seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True, cell_size: int = 3
) -> TrialResult:
    """The fleet is cut in two, and again, under load; sidecars are lost right after, and cells are joined."""
    async with Cluster(
        seed, sidecars, root=root, fleet=fleet, lease=1, cell_size=cell_size, presharded=False
    ) as cluster:
        sending = asyncio.create_task(cluster.clients.send(80.0, 34.0, REQUEST_MIX, duplicate_rate=0.05))
        counts, lost = [1], 0
        until = asyncio.get_running_loop().time() + 33.0
        while asyncio.get_running_loop().time() < until:
            there = next(s for s in cluster.sidecars if s.alive)
            count = (await there.admin_call("GET", "/_fleet"))[1]["cells"]["count"]
            if count != counts[-1]:
                counts.append(count)
                # At each cut one is killed for good; at the last one all but two.
                away = [s for s in cluster.sidecars if s.alive and count > counts[-2]][1:]
                if not away:
                    continue
                for sidecar in cluster.rng.sample(away, 1 if count < cluster.shard_count else len(away) - 1):
                    cluster.kill_sidecar(sidecar)
                    lost += 1
                    await asyncio.sleep(cluster.lease)
            await asyncio.sleep(0.02)
        result = await cluster.finish_and_check(sending)
        result.counts |= {"changes of the cells": len(counts) - 1, "losses": lost}
        if counts != [1, 2, 4, 2]:
            result.violations.append(f"the cells were not cut and joined as their size says: {counts}")
        return result


async def gone(
    seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True, cell_size: int = 3
) -> TrialResult:
    """The arbiter is gone for many leases: each goes on by the words of more than half, of all cells."""
    async with Cluster(seed, sidecars, root=root, fleet=fleet, lease=1, cell_size=cell_size) as cluster:
        sending = asyncio.create_task(cluster.clients.send(80.0, 10.0, REQUEST_MIX))
        await asyncio.sleep(1.0)
        await cluster.store.take_down()
        await asyncio.sleep(8.0)
        reports = [(await s.admin_call("GET", "/_fleet"))[1] for s in cluster.sidecars]
        result = await cluster.finish_and_check(sending)
        doubts = sum(
            line["reason"] == "alone" for s in cluster.sidecars for line in s.log_lines("policy.doubt")
        )
        uncovered = sum(len(s.log_lines("cover.none", "cover.given_up")) for s in cluster.sidecars)
        held_up = [w.request_id for w in cluster.clients.requests if not w.succeeded or len(w.attempts) > 1]
        result.counts |= {"doubts": doubts, "uncovered or given up": uncovered, "held up": len(held_up)}
        result.counts["with a lease still"] = sum(report["lease_s"] > 0 for report in reports)
        if doubts or uncovered or held_up:
            result.violations.append(f"the arbiter's loss was seen, by {held_up[:5]}")
        return result


CASES = {
    "half": half,
    "bodies": bodies,
    "keeper": keeper,
    "woken": woken,
    "stopped": stopped,
    "cut": cut,
    "gone": gone,
}
