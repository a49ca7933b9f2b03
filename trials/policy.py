"""Changes of the fleet's policy, with faults in every phase: everywhere or nowhere, seen from outside."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fakes.http1 import ConnectionBrokenError

from .policy_faults import FaultInjector, FaultKind
from .policy_observer import Change, PolicyObserver, find_violations
from .rig import CAPS, CATEGORIES, ROOT, TIMES, Cluster
from .verdict import TrialResult

CLOCK_AHEAD = 0.2  # seconds that the clock of one sidecar is ahead
SMALL_MEMORY = 24.0  # MB, of one sidecar, for which a large policy is too large
LARGE_POLICY_TENANTS = 140
LEASE = 1  # seconds
POLL_INTERVAL = 0.05  # seconds
PROPOSED_AFTER = 0.7  # seconds from the first fault that may happen
ENDED_WITHIN = 12.0  # seconds from the last fault of a change
PROPOSERS = 4  # sidecars that a proposal is tried at
NOW_KEY, NEXT_KEY = b"/trial/policy/now", b"/trial/policy/next"


def policy_body(label: str, tenants: int = 0) -> dict[str, Any]:
    """A policy with a category of that name; `tenants`: to make it large."""
    category = {"name": label, "effect": "free", "payoff": 1.0} | TIMES
    settings: dict[str, Any] = {
        "categories": [*CATEGORIES, category],
        "caps": CAPS,
        "rules": {"mustAskIn": 8_000_000},
        "discovery": "ask",
    }
    if tenants:
        names = [f"t{number}".ljust(50, ".") for number in range(tenants)]
        settings["tenants"] = [{"name": name, "share": 1.0} for name in names]
    replicated = [category["name"] for category in CATEGORIES]
    cover = {"categories": replicated, "name_header": "x-work-name", "keepers": 1}
    return {"settings": settings, "cover": cover}


def decision_in_store(cluster: Cluster) -> dict[str, Any] | None:
    """The decision, as the coordination store has it."""
    entry = cluster.store.entries.get(NOW_KEY)
    return json.loads(entry.value) if entry else None


def outcome(cluster: Cluster, label: str) -> str:
    """How a change has ended, as the coordination store has it; empty: it is open, or was never proposed."""
    decision = decision_in_store(cluster)
    if decision:
        categories = decision["policy"]["body"]["settings"]["categories"]
        if label in [category["name"] for category in categories]:
            return "decided"
    for _, key, value in cluster.store.write_history:
        if key == NEXT_KEY.decode() and label.encode() in value:
            proposal = cluster.store.entries.get(NEXT_KEY)
            return "" if proposal and label.encode() in proposal.value else "dropped"
    return ""


def _make_rig(seed: int, sidecars: int, root: Path, fleet: bool) -> Cluster:
    categories = policy_body("a0")["settings"]["categories"]
    return Cluster(
        seed, sidecars, upstreams=4, service_time=0.01, root=root, fleet=fleet, lease=LEASE,
        categories=categories, clock_offsets={1: CLOCK_AHEAD}, memory_limits={2: SMALL_MEMORY},
    )  # fmt: skip


def _make_rng(seed: int) -> random.Random:
    return random.Random(f"{seed}-policy")


async def run_changes(
    seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True, count: int = 7, faulty: bool = True
) -> TrialResult:
    """`count` changes, one after another, each with faults in some phase of it."""
    async with _make_rig(seed, sidecars, root, fleet) as cluster:
        rng = _make_rng(seed)
        observer, injector = PolicyObserver(cluster), FaultInjector(cluster, rng)
        made: list[Change] = []
        await asyncio.sleep(0.5)
        for number in range(1, count + 1):
            made.append(Change(f"a{number}"))
            observer.follow(made[-1].label)
            await _change_with_faults(cluster, rng, made[-1], injector if faulty else None, fleet)
            await _wait_for_followers(cluster, observer, made, 15.0 if fleet else 3.0)
        observer.stop()
        return _verdict(cluster, observer, made)


async def _change_with_faults(
    cluster: Cluster, rng: random.Random, change: Change, injector: FaultInjector | None, fleet: bool
) -> None:
    """Make the change while faults happen, and wait until it has ended."""
    faults = injector.draw() if injector is not None else []
    change.faults = [str(fault) for fault in faults]
    begin = asyncio.get_running_loop().time() + PROPOSED_AFTER
    playing = [asyncio.create_task(injector.play(fault, begin)) for fault in faults if injector is not None]
    await asyncio.sleep(PROPOSED_AFTER)
    if fleet:
        is_too_large = any(fault.kind == FaultKind.UNFIT_POLICY for fault in faults)
        await _propose(cluster, rng, change, LARGE_POLICY_TENANTS if is_too_large else 0)
    else:
        await _rewrite_files(cluster, change)
    await asyncio.gather(*playing)
    if fleet:
        # All that failed is back by now, so the change comes to an end.
        await _wait_until(
            lambda: not change.proposal_status or bool(outcome(cluster, change.label)), ENDED_WITHIN
        )
        change.outcome = outcome(cluster, change.label)


async def _wait_for_followers(
    cluster: Cluster, observer: PolicyObserver, made: list[Change], seconds: float
) -> None:
    """Wait until all serve under the last policy that was decided; those that do not are noted."""
    loop = asyncio.get_running_loop()
    in_force = ([change for change in made if change.outcome == "decided"] or [Change("a0")])[-1]
    await asyncio.sleep(max(0.0, in_force.switch_at - loop.time()))
    since = loop.time()

    def behind() -> list[str]:
        return [s.name for s in cluster.sidecars if not observer.serves(s, in_force.label, since)]

    await _wait_until(lambda: not behind(), seconds)
    if behind():
        made[-1].faults.append(f"behind {in_force.label}: {behind()}")


async def store_outage(seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True) -> TrialResult:
    """The store is gone for twenty leases: no request is deferred for it, and a change waits."""
    async with _make_rig(seed, sidecars, root, fleet) as cluster:
        rng, change = _make_rng(seed), Change("a1")
        observer, loop = PolicyObserver(cluster), asyncio.get_running_loop()
        await _change_without_faults(cluster, rng, change, 1.0)
        gone_at = loop.time()
        await cluster.store.take_down()
        await asyncio.sleep(20.0 * LEASE)
        back_at = loop.time()
        await cluster.store.start()
        await asyncio.sleep(3.0 * LEASE)
        observer.stop()
        result = _verdict(cluster, observer, [change])
        meanwhile = [a for a in observer.answers if gone_at < a.asked_at < back_at and a.label == "a1"]
        deferred = sum(answer.status != 200 for answer in meanwhile)
        result.counts |= {"asked while it was gone": len(meanwhile), "not finished of these": deferred}
        if deferred:
            result.violations.append(f"{deferred} work items were not finished while the arbiter was gone")
        return result


async def restart_without_store(
    seed: int, sidecars: int = 6, root: Path = ROOT, fleet: bool = True
) -> TrialResult:
    """After a change all are killed while the store is gone: by what they stored they follow the new one."""
    async with _make_rig(seed, sidecars, root, fleet) as cluster:
        rng, change = _make_rng(seed), Change("a1")
        observer, loop = PolicyObserver(cluster), asyncio.get_running_loop()
        await _change_without_faults(cluster, rng, change, 0.5)
        await cluster.store.take_down()
        for sidecar in cluster.sidecars:
            sidecar.kill()
        since = loop.time()
        for sidecar in cluster.sidecars:
            sidecar.start()
        await _wait_until(lambda: all(observer.serves(s, "a1", since) for s in cluster.sidecars), 20.0)
        back = [sidecar.name for sidecar in cluster.sidecars if observer.serves(sidecar, "a1", since)]
        took = loop.time() - since
        observer.stop()
        result = _verdict(cluster, observer, [change])
        result.counts |= {"back without the arbiter": len(back), "after ms": round(1000 * took)}
        if len(back) < sidecars:
            result.violations.append(f"only {back} came back")
        return result


async def rolling_restart(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> TrialResult:
    """Sidecars are told to stop and started anew while changes are made."""
    async with _make_rig(seed, sidecars, root, fleet) as cluster:
        rng, observer = _make_rng(seed), PolicyObserver(cluster)
        made = [Change(f"a{number}") for number in range(1, 4)]
        for change in made:
            observer.follow(change.label)
            await _propose(cluster, rng, change, 0)
            for sidecar in rng.sample(cluster.sidecars, 2):
                sidecar.signal(signal.SIGTERM)
                assert sidecar.process is not None
                await asyncio.to_thread(sidecar.process.wait)
                sidecar.start()
            await _wait_until(
                lambda c=change: not c.proposal_status or bool(outcome(cluster, c.label)), ENDED_WITHIN
            )
            change.outcome = outcome(cluster, change.label)
            await asyncio.sleep(max(0.0, change.switch_at + 0.5 - asyncio.get_running_loop().time()))
        observer.stop()
        return _verdict(cluster, observer, made)


CASES = {"quiet": store_outage, "restart": restart_without_store, "replaced": rolling_restart}


async def _wait_until(holds: Callable[[], bool], seconds: float) -> None:
    until = asyncio.get_running_loop().time() + seconds
    while not holds() and asyncio.get_running_loop().time() < until:
        await asyncio.sleep(POLL_INTERVAL)


async def _change_without_faults(cluster: Cluster, rng: random.Random, change: Change, rest: float) -> None:
    """One change without faults, until `rest` seconds past its switch time."""
    await _propose(cluster, rng, change, 0)
    await _wait_until(lambda: bool(outcome(cluster, change.label)), 5.0)
    change.outcome = outcome(cluster, change.label)
    await asyncio.sleep(max(0.0, change.switch_at + rest - asyncio.get_running_loop().time()))


async def _propose(cluster: Cluster, rng: random.Random, change: Change, tenants: int) -> None:
    """Propose the change at any sidecar that takes it."""
    loop = asyncio.get_running_loop()
    for sidecar in rng.sample(cluster.sidecars, len(cluster.sidecars))[:PROPOSERS]:
        began_at = loop.time()
        with contextlib.suppress(ConnectionBrokenError, TimeoutError, OSError):
            call = {"policy": policy_body(change.label, tenants)}
            change.proposal_status, _ = await sidecar.admin_call("PUT", "/_policy/propose", call)
            if change.proposal_status in (200, 503):  # 503: it may be written, as the store tells
                break
    proposal = cluster.store.entries.get(NEXT_KEY)
    found = json.loads(proposal.value) if proposal else decision_in_store(cluster)
    if found is not None:
        change.switch_at = began_at + found["at"] - cluster.to_wall_clock(began_at)
    if change.proposal_status == 200:
        await _wait_until(lambda: bool(outcome(cluster, change.label)), 2.0)
        change.ended_after = loop.time() - began_at


async def _rewrite_files(cluster: Cluster, change: Change) -> None:
    """Without a fleet, give each sidecar another file and the signal. One file is broken."""
    cluster.categories = policy_body(change.label)["settings"]["categories"]
    for sidecar in cluster.sidecars:
        text = json.dumps(sidecar.configuration())
        sidecar.paths["json"].write_text(text if sidecar is not cluster.sidecars[-1] else text[:-5])
        sidecar.signal(signal.SIGHUP)
    change.switch_at, change.outcome = asyncio.get_running_loop().time(), "decided"


def _verdict(cluster: Cluster, observer: PolicyObserver, made: list[Change]) -> TrialResult:
    result = TrialResult()
    result.violations = find_violations(observer.answers, made, cluster.start)
    for change in made:
        behind = [fault for fault in change.faults if fault.startswith("behind")]
        if behind:
            result.violations.append(f"{change.label} ({change.outcome}): {behind[0]}")
        if change.proposal_status == 200 and not change.outcome:
            result.violations.append(f"{change.label}: neither decided nor dropped")
    if defects := cluster.defects():
        result.violations.append(f"a defect: {defects[0]}")
    if result.violations:
        result.violations += [
            f"{c.label}: {c.proposal_status} {c.outcome} at {c.switch_at - cluster.start:.3f}: {c.faults}"
            for c in made
        ]
    doubts = [line["after"] for sidecar in cluster.sidecars for line in sidecar.log_lines("policy.sure")]
    outcomes = Counter(change.outcome or "not taken" for change in made)
    times = sorted(change.ended_after for change in made if change.outcome == "decided")
    statuses = Counter(answer.status for answer in observer.answers)
    result.counts = {
        "changes": len(made),
        **outcomes,
        "answers": len(observer.answers),
        "deferred": statuses[503],
        "doubts": len(doubts),
        "doubt ms, worst": round(1000 * max(doubts, default=0)),
        "decided after ms, median": round(1000 * times[len(times) // 2]) if times else 0,
    }
    return result
